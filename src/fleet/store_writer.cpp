#include <ibishinge/fleet/store_writer.h>

#include <ibishinge/base/logging.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Bounds of the delay before a transaction is retried. The minimum is a few times the usual
/// response time of the store; the maximum limits how late the recovery of the store is noticed.
constexpr milliseconds minBackoff {25};
constexpr milliseconds maxBackoff {400};

/// The limit rises by one for each of these milliseconds of the store's mean response time. It adds
/// none at the usual response time of about 5 ms; at 200 ms every writer may send.
constexpr double responseMsPerExtraTransaction = 5;
constexpr double newestResponseWeight = 0.2; ///< weight of the newest response time in the mean

} // namespace

bool transaction_limiter::tryAcquire(const std::shared_ptr<store_writer> &writer)
{
    if (m_inFlight < limit() && m_waitingWriters.empty()) {
        ++m_inFlight;
        return true;
    }
    m_waitingWriters.push_back(writer);
    return false;
}

void transaction_limiter::release(std::optional<milliseconds> responseTime)
{
    if (responseTime) {
        m_responseMs +=
            newestResponseWeight * (static_cast<double>(responseTime->count()) - m_responseMs);
    }
    --m_inFlight;
    while (m_inFlight < limit() && !m_waitingWriters.empty()) {
        const auto next = m_waitingWriters.front().lock();
        m_waitingWriters.pop_front();
        if (next) {
            ++m_inFlight;
            next->onPermitGranted();
        }
    }
}

int transaction_limiter::limit() const noexcept
{
    return m_baseLimit + static_cast<int>(m_responseMs / responseMsPerExtraTransaction);
}

std::shared_ptr<store_writer> store_writer::make(platform_api &platform, scheduler &timers,
                                                 store_condition leader,
                                                 std::function<void()> onLeadershipLost,
                                                 std::shared_ptr<transaction_limiter> limiter)
{
    return std::shared_ptr<store_writer>(new store_writer(
        platform, timers, std::move(leader), std::move(onLeadershipLost), std::move(limiter)));
}

store_writer::store_writer(platform_api &platform, scheduler &timers, store_condition leader,
                           std::function<void()> onLeadershipLost,
                           std::shared_ptr<transaction_limiter> limiter)
    : m_platform(platform)
    , m_timers(timers)
    , m_leader(std::move(leader))
    , m_onLeadershipLost(std::move(onLeadershipLost))
    , m_limiter(std::move(limiter))
{
}

void store_writer::add(write_unit unit)
{
    if (m_closed) {
        if (unit.done) {
            unit.done(makeError(error_kind::outcome_unknown, "store",
                                "this process is not the leader any more"));
        }
        return;
    }
    if (!replaceWaitingUnit(unit)) {
        m_waiting.push_back(std::move(unit));
    }
    if (m_currentBatch.empty()) {
        requestSend();
    }
}

bool store_writer::replaceWaitingUnit(write_unit &unit)
{
    // Barriers and droppable units are not merged: each completes on its own.
    if (unit.changes.empty() || unit.droppable) {
        return false;
    }
    const auto namesKey = [](const write_unit &other, const std::string &key) {
        return std::any_of(other.changes.begin(), other.changes.end(),
                           [&](const key_change &change) { return change.key == key; });
    };
    // Only the last queued unit that shares a key may be replaced: replacing an earlier one would
    // move this change ahead of the units behind it.
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
    if (m_closed || m_waiting.empty() || m_waitsForPermit) {
        return;
    }
    if (!m_limiter || m_holdsPermit) {
        sendNextBatch();
        return;
    }
    m_holdsPermit = m_limiter->tryAcquire(shared_from_this());
    m_waitsForPermit = !m_holdsPermit;
    if (m_holdsPermit) {
        sendNextBatch();
    }
}

void store_writer::onPermitGranted()
{
    m_waitsForPermit = false;
    m_holdsPermit = true;
    if (m_closed || m_waiting.empty()) {
        releasePermit(std::nullopt);
        return;
    }
    sendNextBatch();
}

void store_writer::releasePermit(std::optional<milliseconds> responseTime)
{
    if (m_holdsPermit) {
        m_holdsPermit = false;
        m_limiter->release(responseTime);
    }
}

void store_writer::addBarrier(std::function<void(result<void>)> done)
{
    if (m_currentBatch.empty() && m_waiting.empty() && !m_closed) {
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
    return m_currentBatch.empty() ? milliseconds(0) : m_timers.now() - m_currentBatchSince;
}

void store_writer::close()
{
    m_closed = true;
    releasePermit(std::nullopt);
    auto open = std::move(m_currentBatch);
    std::move(m_waiting.begin(), m_waiting.end(), std::back_inserter(open));
    m_currentBatch.clear();
    m_waiting.clear();
    for (const auto &unit : open) {
        if (unit.done) {
            unit.done(makeError(error_kind::outcome_unknown, "store",
                                "this process is not the leader any more"));
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

std::size_t store_writer::entryCount(const write_unit &unit) const
{
    return 2 * unit.changes.size() + (createsKey(unit) ? unit.guards.size() : 0);
}

void store_writer::sendNextBatch()
{
    std::size_t entries = 0;
    std::set<std::string_view> batchKeys;
    while (!m_waiting.empty()) {
        const auto &next = m_waiting.front();
        // The store accepts a key only once in a transaction.
        const auto isInBatch = [&batchKeys](std::string_view key) {
            return batchKeys.count(key) > 0;
        };
        const bool repeated =
            std::any_of(next.changes.begin(), next.changes.end(),
                        [&](const key_change &change) { return isInBatch(change.key); })
            || std::any_of(next.guards.begin(), next.guards.end(), isInBatch);
        entries += entryCount(next);
        if (repeated || entries > maxBatchEntries) {
            break;
        }
        m_currentBatch.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
        for (const auto &change : m_currentBatch.back().changes) {
            batchKeys.insert(change.key);
        }
        batchKeys.insert(m_currentBatch.back().guards.begin(), m_currentBatch.back().guards.end());
    }
    const bool marksOnly = std::all_of(m_currentBatch.begin(), m_currentBatch.end(),
                                       [](const auto &unit) { return unit.changes.empty(); });
    if (!m_currentBatch.empty() && marksOnly) {
        completeCurrentBatch(0);
        return;
    }
    if (!m_currentBatch.empty()) {
        m_currentBatchSince = m_timers.now();
        m_outcomeUnknown = false;
        m_backoff = milliseconds(0);
        sendCurrentBatch();
    }
}

void store_writer::sendCurrentBatch()
{
    store_transaction change;
    change.conditions.push_back(m_leader);
    for (const auto &unit : m_currentBatch) {
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
        completeCurrentBatch(answer->revision);
        return;
    }
    if (answer) {
        onConflict(answer->current);
        return;
    }
    m_outcomeUnknown = m_outcomeUnknown || answer.error().kind == error_kind::outcome_unknown;
    if (m_backoff == milliseconds(0)) {
        logEvent(log_level::warning, "store_write_failed",
                 {{"error", describe(answer.error())}, {"units", m_currentBatch.size()}});
    }
    if (!m_outcomeUnknown) {
        // The store applied no attempt. Droppable units fail now, so that their callers are
        // answered without a delay.
        std::vector<write_unit> kept;
        std::vector<write_unit> dropped;
        for (auto &unit : m_currentBatch) {
            (unit.droppable ? dropped : kept).push_back(std::move(unit));
        }
        m_currentBatch = std::move(kept);
        for (const auto &unit : dropped) {
            unit.done(tl::unexpected(answer.error()));
        }
        if (m_closed) {
            return;
        }
        if (m_currentBatch.empty()) {
            releasePermit(std::nullopt);
            requestSend();
            return;
        }
    }
    retryLater();
}

void store_writer::retryLater()
{
    m_backoff = std::clamp(2 * m_backoff, minBackoff, maxBackoff);
    m_timers.after(m_backoff, [self = shared_from_this()] {
        if (!self->m_closed && !self->m_currentBatch.empty()) {
            self->sendCurrentBatch();
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
        const auto onLeadershipLost = m_onLeadershipLost;
        close();
        onLeadershipLost();
        return;
    }
    failUnitsWithChangedGuards(found);
    if (m_closed) {
        return;
    }
    if (m_currentBatch.empty()) {
        releasePermit(std::nullopt);
        requestSend();
        return;
    }
    // Either an earlier attempt was applied or a known revision was out of date. Only this
    // coordinator writes these keys, so the values found may be overwritten.
    bool allApplied = true;
    std::int64_t revision = 0;
    for (const auto &unit : m_currentBatch) {
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
        completeCurrentBatch(revision);
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
    for (auto &unit : m_currentBatch) {
        if (const auto *const key = changedGuard(unit)) {
            failed.emplace_back(std::move(unit), *key);
        } else {
            kept.push_back(std::move(unit));
        }
    }
    m_currentBatch = std::move(kept);
    for (const auto &[unit, key] : failed) {
        logEvent(log_level::error, "store_guard_changed",
                 {{"key", key}, {"known_revision", revisionOf(key)}});
        if (unit.done) {
            unit.done(makeError(error_kind::conflict, key,
                                "guard key has changed since its revision was last known"));
        }
    }
}

void store_writer::completeCurrentBatch(std::int64_t revision)
{
    const auto finished = std::move(m_currentBatch);
    m_currentBatch.clear();
    const bool sent = std::any_of(finished.begin(), finished.end(),
                                  [](const auto &unit) { return !unit.changes.empty(); });
    releasePermit(sent ? std::optional(m_timers.now() - m_currentBatchSince) : std::nullopt);
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
    if (!m_closed && m_currentBatch.empty()) {
        requestSend();
    }
}

} // namespace ibishinge::fleet
