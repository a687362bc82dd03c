#include <ibishinge/state/maintenance_planner.h>

#include <ibishinge/state/stops_record.h>

#include <algorithm>
#include <array>
#include <span>

namespace ibishinge {

namespace {

/// Returns the time as it reads back from the store.
wall_time toStoredTime(wall_time time) noexcept
{
    return wall_time {} + sinceEpoch(time);
}

result<std::optional<kv_entry>> readOne(kv_store &store, const std::string &key)
{
    auto read = store.range({key, false, false});
    if (!read) {
        return tl::unexpected(read.error());
    }
    return read->entries.empty() ? std::nullopt : std::optional(std::move(read->entries.front()));
}

tl::unexpected<error> unreadable(error reason, const std::string &key)
{
    reason.place.insert(0, key);
    return tl::unexpected(std::move(reason));
}

result<void> writeOne(kv_store &store, const std::string &key, store_revision expected,
                      std::string value)
{
    const conditional_write write {key, expected, {}, std::move(value), 0};
    const auto written = store.applyBatch({&write, 1});
    if (!written) {
        return tl::unexpected(written.error());
    }
    if (!written->outcomes.front().applied) {
        return makeError(error_kind::conflict, key, "changed in the meantime");
    }
    return {};
}

bool differs(const stops_record &a, stops_record b)
{
    b.writer = a.writer;
    b.writeNumber = a.writeNumber;
    return !(a == b);
}

} // namespace

std::unique_ptr<maintenance_planner> maintenance_planner::create(kv_store &store,
                                                                 planner_options options)
{
    return std::unique_ptr<maintenance_planner>(new maintenance_planner(store, std::move(options)));
}

maintenance_planner::maintenance_planner(kv_store &store, planner_options options)
    : m_store(store)
    , m_options(std::move(options))
{
}

const stops_record &maintenance_planner::record() const noexcept
{
    return m_record;
}

result<void> maintenance_planner::noteStops(const std::optional<kv_entry> &entry)
{
    if (!entry) {
        m_record = {};
        m_revision = 0;
        m_isKnown = true;
        return {};
    }
    auto decoded = decodeStops(entry->value);
    if (!decoded) {
        return unreadable(decoded.error(), entry->key);
    }
    m_record = std::move(*decoded);
    m_revision = entry->modRevision;
    m_isKnown = true;
    return {};
}

result<void> maintenance_planner::readStops()
{
    m_isKnown = false;
    const auto entry = readOne(m_store, std::string(stopsKey));
    return entry ? noteStops(*entry) : tl::unexpected(entry.error());
}

result<void> maintenance_planner::readHosts(wall_time now)
{
    const auto changes = m_record.hostChanges;
    const auto read = m_store.range({std::string(hostPrefix), true, false});
    if (!read) {
        return tl::unexpected(read.error());
    }
    std::map<std::string, known_host> hosts;
    for (const auto &entry : read->entries) {
        auto decoded = decodeHost(entry.value);
        if (!decoded) {
            return unreadable(decoded.error(), entry.key);
        }
        hosts.emplace(entry.key.substr(hostPrefix.size()),
                      known_host {std::move(*decoded), entry.modRevision});
    }
    m_hosts = std::move(hosts);
    m_hostsReadAt = now;
    m_hostsReadChanges = changes;
    return {};
}

result<void> maintenance_planner::refresh(wall_time now)
{
    // The order matters: host records that are read after the record of stops are at least as new.
    if (auto read = readStops(); !read) {
        return read;
    }
    const bool mayDiffer = !m_hostsReadAt || m_hostsReadChanges != m_record.hostChanges
                           || now - *m_hostsReadAt >= m_options.hostReadInterval
                           || now < *m_hostsReadAt;
    if (!mayDiffer) {
        return {};
    }
    auto read = readHosts(now);
    m_isKnown = m_isKnown && read;
    return read;
}

maintenance_view maintenance_planner::viewOf(const planner_input &input) const
{
    maintenance_view view {
        input.config, input.catalogueVersion, input.hostListVersion, {}, input.slotsInUse};
    view.hosts.reserve(m_hosts.size());
    for (const auto &[id, known] : m_hosts) {
        host_view host;
        host.id = id;
        host.pool = known.record.pool;
        host.homePool = known.record.homePool;
        host.domains = known.record.domains;
        host.drainRequested = known.record.state == host_state::drain;
        host.lastMaintenance = known.record.lastMaintenance;
        if (const auto seen = input.hosts.find(id); seen != input.hosts.end()) {
            host.condition = seen->second.condition;
            host.healthySince = seen->second.healthySince;
            host.runningWork = seen->second.runningWork;
            host.workEndsAt = seen->second.workEndsAt;
            host.workReportedAt = seen->second.workReportedAt;
            host.services = seen->second.services;
        }
        view.hosts.push_back(std::move(host));
    }
    return view;
}

result<void> maintenance_planner::writeStops(const planner_input &input,
                                             const std::vector<proposed_move> &moves, wall_time now)
{
    if (!m_isKnown) {
        return makeError(error_kind::not_ready, std::string(stopsKey), "not read yet");
    }
    const auto view = viewOf(input);
    const auto &settings = m_options.settings;
    if (settings.safeguards.rejectStaleViews && !isFresh(m_record, view)) {
        return makeError(error_kind::not_ready, std::string(stopsKey),
                         "another planner knows a newer host list or catalogue");
    }
    auto next = updateStops(m_record, view, toStoredTime(now), m_options.id, moves, settings);
    // Versions alone are worth a write only while somebody may act on them.
    const bool isIdle = m_record.stops.empty() && next.stops.empty();
    if (isIdle) {
        next.catalogueVersion = m_record.catalogueVersion;
        next.hostListVersion = m_record.hostListVersion;
    }
    return differs(m_record, next) ? commitStops(std::move(next)) : result<void>();
}

result<void> maintenance_planner::commitStops(stops_record next)
{
    const auto &safeguards = m_options.settings.safeguards;
    next.writer = m_options.id;
    next.writeNumber = ++m_writes;
    conditional_write write {std::string(stopsKey), m_revision, {}, encodeStops(next), 0};
    if (!safeguards.conditionalWrites) {
        write.expectedRevision.reset();
    }
    const auto written = m_store.applyBatch({&write, 1});
    if (!written && written.error().kind == error_kind::outcome_unknown) {
        if (!safeguards.resolveUnknownWrites) {
            m_record = std::move(next);
            return {};
        }
        // The call may still be under way. If it takes effect later, it does so only on the
        // revision it was made for, and the next write of any planner finds it.
        if (auto read = readStops(); !read) {
            return read;
        }
        const bool applied =
            m_record.writer == next.writer && m_record.writeNumber == next.writeNumber;
        return applied ? result<void>() : tl::unexpected(written.error());
    }
    if (!written) {
        return tl::unexpected(written.error());
    }
    const auto &outcome = written->outcomes.front();
    if (!outcome.applied) {
        m_isKnown = false;
        return makeError(error_kind::conflict, std::string(stopsKey),
                         "another planner wrote first");
    }
    m_record = std::move(next);
    m_revision = outcome.modRevision;
    return {};
}

result<void> maintenance_planner::writeHosts()
{
    if (!m_isKnown) {
        return makeError(error_kind::not_ready, std::string(stopsKey), "not read yet");
    }
    std::vector<std::pair<std::string, host_record>> changes;
    for (const auto &[id, stop] : m_record.stops) {
        const auto known = m_hosts.find(id);
        if (known == m_hosts.end()) {
            continue;
        }
        auto record = known->second.record;
        const bool mayMove =
            stop.state == stop_state::stopped || !m_options.settings.safeguards.recordMovesAsStops;
        if (stop.reason == stop_reason::move && mayMove && record.pool != stop.toPool) {
            // The first pool a host is lent from is its home; back there it is no longer lent.
            const auto home = record.homePool.empty() ? stop.pool : record.homePool;
            record.homePool = home == stop.toPool ? std::string() : home;
            record.pool = stop.toPool;
        }
        if (stop.reason == stop_reason::maintenance && stop.state == stop_state::returned) {
            record.lastMaintenance =
                std::max(record.lastMaintenance.value_or(wall_time {}), stop.returnedAt);
        }
        if (!(record == known->second.record)) {
            changes.emplace_back(id, std::move(record));
        }
    }
    for (std::size_t first = 0; first < changes.size(); first += maxBatchWrites) {
        if (auto written = writeSome(changes, first); !written) {
            return written;
        }
    }
    return {};
}

result<void>
maintenance_planner::writeSome(const std::vector<std::pair<std::string, host_record>> &changes,
                               std::size_t first)
{
    std::vector<conditional_write> writes;
    const std::size_t last = std::min(first + maxBatchWrites, changes.size());
    for (std::size_t i = first; i < last; ++i) {
        const auto &[id, record] = changes[i];
        const auto &known = m_hosts.at(id);
        conditional_write write {
            std::string(hostPrefix) + id, known.revision, {}, encodeHost(record), 0};
        if (m_options.ownerGuard) {
            write.guard = m_options.ownerGuard(known.record.pool);
        }
        if (!m_options.settings.safeguards.conditionalWrites) {
            write.expectedRevision.reset();
        }
        writes.push_back(std::move(write));
    }
    const auto written = m_store.applyBatch(writes);
    if (!written) {
        // Reading all host records again shows whether the writes took effect.
        m_hostsReadAt.reset();
        return tl::unexpected(written.error());
    }
    bool isRefused = false;
    for (std::size_t i = first; i < last; ++i) {
        const auto &outcome = written->outcomes[i - first];
        if (outcome.applied) {
            m_hosts.at(changes[i].first) = {changes[i].second, outcome.modRevision};
        } else {
            isRefused = true;
        }
    }
    if (isRefused) {
        m_hostsReadAt.reset();
        return makeError(error_kind::conflict, std::string(hostPrefix),
                         "a host record has changed");
    }
    return {};
}

result<void> maintenance_planner::tick(const planner_input &input,
                                       const std::vector<proposed_move> &moves, wall_time now)
{
    if (auto read = refresh(now); !read) {
        return read;
    }
    if (auto written = writeStops(input, moves, now); !written) {
        return written;
    }
    return writeHosts();
}

result<void> setHostState(kv_store &store, const std::string &host, host_state state)
{
    const std::string key = std::string(hostPrefix) + host;
    const auto entry = readOne(store, key);
    if (!entry) {
        return tl::unexpected(entry.error());
    }
    if (!*entry) {
        return makeError(error_kind::unknown_entity, key, "no such host");
    }
    auto record = decodeHost((*entry)->value);
    if (!record) {
        return unreadable(record.error(), key);
    }
    if (record->state == state) {
        return {};
    }
    record->state = state;
    return writeOne(store, key, (*entry)->modRevision, encodeHost(*record));
}

result<void> resumeHaltedWave(kv_store &store, const std::string &wave, const std::string &writer)
{
    const std::string key(stopsKey);
    const auto entry = readOne(store, key);
    if (!entry) {
        return tl::unexpected(entry.error());
    }
    if (!*entry) {
        return makeError(error_kind::unknown_entity, key, "no wave has run");
    }
    auto record = decodeStops((*entry)->value);
    if (!record) {
        return unreadable(record.error(), key);
    }
    auto next = resumeWave(*record, wave);
    if (next == *record) {
        return {};
    }
    next.writer = writer;
    next.writeNumber = 1;
    return writeOne(store, key, (*entry)->modRevision, encodeStops(next));
}

} // namespace ibishinge
