#include <ibishinge/fleet/store_writer.h>

#include <ibishinge/base/logging.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// First and longest pause before a transaction is repeated. The longest keeps the return of the
/// store from being noticed late; the first is a few times the store's usual response time.
constexpr milliseconds firstBackoff {25};
constexpr milliseconds longestBackoff {400};

/// One more transaction at once for each of these in the store's response time, in ms: at its usual
/// speed of about 5 ms none, and all lanes when it takes a fifth of a second.
constexpr double responseOfOneMore = 5;
constexpr double responseDecay = 0.2; ///< weight of the newest response time

} // namespace

bool transaction_limiter::enter(const std::shared_ptr<store_writer> &writer)
{
    if (m_open < allowed() && m_queue.empty()) {
        ++m_open;
        return true;
    }
    m_queue.push_back(writer);
    return false;
}

void transaction_limiter::leave(std::optional<milliseconds> taken)
{
    if (taken) {
        m_responseMs += responseDecay * (static_cast<double>(taken->count()) - m_responseMs);
    }
    --m_open;
    while (m_open < allowed() && !m_queue.empty()) {
        const auto next = m_queue.front().lock();
        m_queue.pop_front();
        if (next) {
            ++m_open;
            next->onEntered();
        }
    }
}

int transaction_limiter::allowed() const noexcept
{
    return m_usual + static_cast<int>(m_responseMs / responseOfOneMore);
}

std::shared_ptr<store_writer> store_writer::make(platform_api &platform, scheduler &timers,
                                                 store_condition leader,
                                                 std::function<void()> onLeadershipLost,
                                                 std::shared_ptr<transaction_limiter> gate)
{
    return std::shared_ptr<store_writer>(new store_writer(
        platform, timers, std::move(leader), std::move(onLeadershipLost), std::move(gate)));
}

store_writer::store_writer(platform_api &platform, scheduler &timers, store_condition leader,
                           std::function<void()> onLeadershipLost,
                           std::shared_ptr<transaction_limiter> gate)
    : m_platform(platform)
    , m_timers(timers)
    , m_leader(std::move(leader))
    , m_onDeposed(std::move(onLeadershipLost))
    , m_gate(std::move(gate))
{
}

void store_writer::add(write_unit unit)
{
    if (m_closed) {
        if (unit.done) {
            unit.done(makeError(error_kind::outcome_unknown, "store", "not the leader any more"));
        }
        return;
    }
    if (!replaceWaiting(unit)) {
        m_waiting.push_back(std::move(unit));
    }
    if (m_current.empty()) {
        requestSend();
    }
}

bool store_writer::replaceWaiting(write_unit &unit)
{
    // Marks and units that can be given up on their own keep their places.
    if (unit.changes.empty() || unit.droppable) {
        return false;
    }
    const auto namesKey = [](const write_unit &other, const std::string &key) {
        return std::any_of(other.changes.begin(), other.changes.end(),
                           [&](const key_change &change) { return change.key == key; });
    };
    // Only the last waiting unit with one of the keys: what stands behind it is not overtaken.
    const auto last =
        std::find_if(m_waiting.rbegin(), m_waiting.rend(), [&](const write_unit &other) {
            return std::any_of(
                unit.changes.begin(), unit.changes.end(),
                [&](const key_change &change) { return namesKey(other, change.key); });
        });
    const bool sameKeys =
        last != m_waiting.rend() && !last->droppable && last->guards == unit.guards
        && std::equal(last->changes.begin(), last->changes.end(), unit.changes.begin(),
                      unit.changes.end(), [](const key_change &a, const key_change &b) {
                          return a.key == b.key && a.value && b.value;
                      });
    if (!sameKeys) {
        return false;
    }
    last->changes = std::move(unit.changes);
    if (last->done && unit.done) {
        last->done = [first = std::move(last->done),
                      second = std::move(unit.done)](const result<void> &stored) {
            first(stored);
            second(stored);
        };
    } else if (unit.done) {
        last->done = std::move(unit.done);
    }
    return true;
}

void store_writer::requestSend()
{
    if (m_closed || m_waiting.empty() || m_queued) {
        return;
    }
    if (!m_gate || m_inGate) {
        sendNext();
        return;
    }
    m_inGate = m_gate->enter(shared_from_this());
    m_queued = !m_inGate;
    if (m_inGate) {
        sendNext();
    }
}

void store_writer::onEntered()
{
    m_queued = false;
    m_inGate = true;
    if (m_closed || m_waiting.empty()) {
        leaveGate(std::nullopt);
        return;
    }
    sendNext();
}

void store_writer::leaveGate(std::optional<milliseconds> taken)
{
    if (m_inGate) {
        m_inGate = false;
        m_gate->leave(taken);
    }
}

void store_writer::addBarrier(std::function<void(result<void>)> done)
{
    if (m_current.empty() && m_waiting.empty() && !m_closed) {
        done({});
        return;
    }
    write_unit mark;
    mark.done = std::move(done);
    add(std::move(mark));
}

void store_writer::setKnownRevision(const std::string &key, std::int64_t revision)
{
    m_revisions[key] = revision;
}

bool store_writer::exists(const std::string &key) const
{
    return m_revisions.count(key) > 0;
}

milliseconds store_writer::stalledFor() const
{
    return m_current.empty() ? milliseconds(0) : m_timers.now() - m_currentSince;
}

void store_writer::close()
{
    m_closed = true;
    leaveGate(std::nullopt);
    auto open = std::move(m_current);
    std::move(m_waiting.begin(), m_waiting.end(), std::back_inserter(open));
    m_current.clear();
    m_waiting.clear();
    for (const auto &unit : open) {
        if (unit.done) {
            unit.done(makeError(error_kind::outcome_unknown, "store", "not the leader any more"));
        }
    }
}

std::int64_t store_writer::revisionOf(const std::string &key) const
{
    const auto known = m_revisions.find(key);
    return known == m_revisions.end() ? 0 : known->second;
}

bool store_writer::createsKey(const write_unit &unit) const
{
    return std::any_of(unit.changes.begin(), unit.changes.end(), [this](const key_change &change) {
        return change.value.has_value() && revisionOf(change.key) == 0;
    });
}

std::size_t store_writer::entriesOf(const write_unit &unit) const
{
    return 2 * unit.changes.size() + (createsKey(unit) ? unit.guards.size() : 0);
}

void store_writer::sendNext()
{
    std::size_t entries = 0;
    std::set<std::string_view> named;
    while (!m_waiting.empty()) {
        const auto &next = m_waiting.front();
        // A key may stand only once in a transaction.
        const auto isNamed = [&named](std::string_view key) { return named.count(key) > 0; };
        const bool repeated =
            std::any_of(next.changes.begin(), next.changes.end(),
                        [&](const key_change &change) { return isNamed(change.key); })
            || std::any_of(next.guards.begin(), next.guards.end(), isNamed);
        entries += entriesOf(next);
        if (repeated || entries > maxBatchEntries) {
            break;
        }
        m_current.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
        for (const auto &change : m_current.back().changes) {
            named.insert(change.key);
        }
        named.insert(m_current.back().guards.begin(), m_current.back().guards.end());
    }
    const bool marksOnly = std::all_of(m_current.begin(), m_current.end(),
                                       [](const auto &unit) { return unit.changes.empty(); });
    if (!m_current.empty() && marksOnly) {
        finishCurrent(0);
        return;
    }
    if (!m_current.empty()) {
        m_currentSince = m_timers.now();
        m_outcomeUnknown = false;
        m_backoff = milliseconds(0);
        sendCurrent();
    }
}

void store_writer::sendCurrent()
{
    store_transaction change;
    change.conditions.push_back(m_leader);
    for (const auto &unit : m_current) {
        for (const auto &each : unit.changes) {
            const auto revision = revisionOf(each.key);
            if (each.value) {
                change.conditions.push_back({each.key, revision});
                change.puts.push_back({each.key, *each.value, 0});
            } else if (revision != 0) {
                change.conditions.push_back({each.key, revision});
                change.deletes.push_back(each.key);
            }
        }
        if (createsKey(unit)) {
            for (const auto &key : unit.guards) {
                change.conditions.push_back({key, revisionOf(key)});
            }
        }
    }
    m_platform.commit(change, [self = shared_from_this()](const result<transaction_reply> &answer) {
        if (!self->m_closed) {
            self->onReply(answer);
        }
    });
}

void store_writer::onReply(const result<transaction_reply> &answer)
{
    if (answer) {
        m_answeredAt = m_timers.now();
    }
    if (answer && answer->applied) {
        finishCurrent(answer->revision);
        return;
    }
    if (answer) {
        onConflict(answer->current);
        return;
    }
    m_outcomeUnknown = m_outcomeUnknown || answer.error().kind == error_kind::outcome_unknown;
    if (m_backoff == milliseconds(0)) {
        logEvent(log_level::warning, "store_write_failed",
                 {{"error", describe(answer.error())}, {"units", m_current.size()}});
    }
    if (!m_outcomeUnknown) {
        // Nothing was done: what can be given up is, so that its caller hears of it at once.
        std::vector<write_unit> kept;
        std::vector<write_unit> dropped;
        for (auto &unit : m_current) {
            (unit.droppable ? dropped : kept).push_back(std::move(unit));
        }
        m_current = std::move(kept);
        for (const auto &unit : dropped) {
            unit.done(tl::unexpected(answer.error()));
        }
        if (m_closed) {
            return;
        }
        if (m_current.empty()) {
            leaveGate(std::nullopt);
            requestSend();
            return;
        }
    }
    retryLater();
}

void store_writer::retryLater()
{
    m_backoff = std::clamp(2 * m_backoff, firstBackoff, longestBackoff);
    m_timers.after(m_backoff, [self = shared_from_this()] {
        if (!self->m_closed && !self->m_current.empty()) {
            self->sendCurrent();
        }
    });
}

void store_writer::onConflict(const std::vector<store_item> &current)
{
    std::map<std::string, const store_item *> found;
    for (const auto &item : current) {
        if (item.revision != 0 && !item.deleted) {
            found[item.key] = &item;
        }
    }
    const auto leader = found.find(m_leader.key);
    if (leader == found.end() || leader->second->revision != m_leader.revision) {
        logEvent(log_level::warning, "deposed_by_store", {{"revision", m_leader.revision}});
        const auto onLeadershipLost = m_onDeposed;
        close();
        onLeadershipLost();
        return;
    }
    failUnitsWithChangedGuards(found);
    if (m_closed) {
        return;
    }
    if (m_current.empty()) {
        leaveGate(std::nullopt);
        requestSend();
        return;
    }
    // Either an earlier attempt took effect, or a revision was not known. Only this coordinator
    // writes these keys, so that the values found can be replaced.
    bool allApplied = true;
    std::int64_t revision = 0;
    for (const auto &unit : m_current) {
        for (const auto &each : unit.changes) {
            const auto item = found.find(each.key);
            if (item == found.end()) {
                m_revisions.erase(each.key);
                allApplied = allApplied && !each.value;
                continue;
            }
            m_revisions[each.key] = item->second->revision;
            revision = std::max(revision, item->second->revision);
            allApplied = allApplied && each.value && item->second->value == *each.value;
        }
    }
    if (allApplied) {
        finishCurrent(revision);
        return;
    }
    retryLater();
}

void store_writer::failUnitsWithChangedGuards(
    const std::map<std::string, const store_item *> &found)
{
    const auto hasChanged = [&](const std::string &key) {
        const auto item = found.find(key);
        return revisionOf(key) != (item == found.end() ? 0 : item->second->revision);
    };
    const auto changedGuard = [&](const write_unit &unit) -> const std::string * {
        const auto guard = std::find_if(unit.guards.begin(), unit.guards.end(), hasChanged);
        return createsKey(unit) && guard != unit.guards.end() ? &*guard : nullptr;
    };
    std::vector<write_unit> kept;
    std::vector<std::pair<write_unit, std::string>> failed;
    for (auto &unit : m_current) {
        if (const auto *const key = changedGuard(unit)) {
            failed.emplace_back(std::move(unit), *key);
        } else {
            kept.push_back(std::move(unit));
        }
    }
    m_current = std::move(kept);
    for (const auto &[unit, key] : failed) {
        logEvent(log_level::error, "store_guard_changed",
                 {{"key", key}, {"known_revision", revisionOf(key)}});
        if (unit.done) {
            unit.done(makeError(error_kind::conflict, key, "changed since it was read"));
        }
    }
}

void store_writer::finishCurrent(std::int64_t revision)
{
    const auto finished = std::move(m_current);
    m_current.clear();
    const bool sent = std::any_of(finished.begin(), finished.end(),
                                  [](const auto &unit) { return !unit.changes.empty(); });
    leaveGate(sent ? std::optional(m_timers.now() - m_currentSince) : std::nullopt);
    for (const auto &unit : finished) {
        for (const auto &each : unit.changes) {
            if (each.value) {
                m_revisions[each.key] = revision;
            } else {
                m_revisions.erase(each.key);
            }
        }
    }
    for (const auto &unit : finished) {
        if (unit.done) {
            unit.done({});
        }
    }
    if (!m_closed && m_current.empty()) {
        requestSend();
    }
}

} // namespace ibishinge::fleet
