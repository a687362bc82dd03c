#include <ibishinge/service/control_service.h>

#include <ibishinge/base/logging.h>

#include <array>
#include <cstdint>
#include <utility>

namespace ibishinge {

namespace {

/// FNV-1a with a final mix; all processes must agree on it, which std::hash does not promise.
std::uint64_t hashOf(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037U;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdU;
    return hash ^ (hash >> 33U);
}

} // namespace

std::string preferredOwner(std::string_view pool, const std::set<std::string> &members)
{
    std::string best;
    std::uint64_t highest = 0;
    for (const auto &member : members) {
        const auto hash = hashOf(std::string(pool) + "/" + member);
        if (best.empty() || hash > highest) {
            best = member;
            highest = hash;
        }
    }
    return best;
}

std::unique_ptr<control_service> control_service::create(kv_store &store, const clock_source &clock,
                                                         host_list &hosts, worker_client &workers,
                                                         configuration_source configuration,
                                                         control_service_options options)
{
    return std::unique_ptr<control_service>(new control_service(
        store, clock, hosts, workers, std::move(configuration), std::move(options)));
}

control_service::control_service(kv_store &store, const clock_source &clock, host_list &hosts,
                                 worker_client &workers, configuration_source configuration,
                                 control_service_options options)
    : m_store(store)
    , m_clock(clock)
    , m_hosts(hosts)
    , m_workers(workers)
    , m_configuration(std::move(configuration))
    , m_options(std::move(options))
    , m_membership(membership::create(store, m_options.self))
{
}

void control_service::tick()
{
    const bool hasContact = renew();
    readHosts();
    const auto current = m_configuration();
    if (hasContact) {
        takePools(*current);
    }
    for (auto it = m_pools.begin(); it != m_pools.end();) {
        const auto verdict = it->second->tick(m_proof, current->catalogue.value,
                                              current->revisions.catalogue, workersOf(it->first));
        if (verdict == owner_verdict::stale) {
            logEvent(log_level::warning, "pool_lost", {{"pool", it->first}});
            it = m_pools.erase(it);
        } else {
            ++it;
        }
    }
    publishStatus();
}

void control_service::handOver()
{
    while (!m_pools.empty()) {
        m_pools.begin()->second->flush();
        giveUp(m_pools.begin()->first);
    }
    if (const auto left = m_membership->leave(); !left) {
        logEvent(log_level::warning, "member_record_not_deleted",
                 {{"reason", describe(left.error())}});
    }
    publishStatus();
}

bool control_service::renew()
{
    const auto renewed = m_membership->renew();
    const lease_id lease = m_membership->lease();
    if (lease != m_lease) {
        // The ownership records vanished with the earlier lease.
        m_pools.clear();
        m_notPreferredSince.clear();
        m_lease = lease;
    }
    if (!renewed) {
        logEvent(log_level::warning, "member_not_renewed", {{"reason", describe(renewed.error())}});
        return false;
    }
    return m_lease != 0;
}

void control_service::readHosts()
{
    const auto now = m_clock.now();
    if (now >= m_nextHostList) {
        m_nextHostList = now + m_options.hostListInterval;
        if (auto listed = m_hosts.fetch(m_options.hostListTimeout)) {
            m_listed = std::move(*listed);
        }
    }
    if (now < m_nextHostRecords) {
        return;
    }
    const auto read = m_store.range({std::string(hostPrefix), true, false});
    if (!read) {
        return;
    }
    m_nextHostRecords = now + m_options.hostRecordInterval;
    m_hostRecords.clear();
    for (const auto &entry : read->entries) {
        const auto record = decodeHost(entry.value);
        if (record) {
            m_hostRecords[entry.key.substr(hostPrefix.size())] = *record;
        } else {
            logEvent(log_level::error, "host_record_malformed",
                     {{"key", entry.key}, {"problems", describe(record.error())}});
        }
    }
}

void control_service::takePools(const configuration &current)
{
    // The read proves the ownership as of its start, since it may be served at any time after.
    const ownership_proof started {m_clock.now(), m_clock.wallNow()};
    const auto read = m_store.range({std::string(ownerPrefix), true, false});
    if (!read) {
        return;
    }
    m_proof = started;
    std::map<std::string, const kv_entry *> owners;
    for (const auto &entry : read->entries) {
        owners[entry.key.substr(ownerPrefix.size())] = &entry;
    }
    std::set<std::string> members {m_options.self.incarnation};
    for (const auto &member : m_membership->others()) {
        if (member.role == member_role::control) {
            members.insert(member.incarnation);
        }
    }
    std::vector<conditional_write> claims;
    for (const auto &pool : current.catalogue.value.pools) {
        const auto owner = owners.find(pool.name);
        const bool isPreferred = preferredOwner(pool.name, members) == m_options.self.incarnation;
        if (owner == owners.end()) {
            m_pools.erase(pool.name);
            if (isPreferred) {
                claims.push_back({std::string(ownerPrefix) + pool.name,
                                  0,
                                  {},
                                  m_options.self.incarnation,
                                  m_lease});
            }
            continue;
        }
        const auto &entry = *owner->second;
        // A record under an earlier lease of this process is about to vanish.
        const bool isOwn = entry.value == m_options.self.incarnation && entry.lease == m_lease;
        const auto held = m_pools.find(pool.name);
        if (!isOwn || (held != m_pools.end() && held->second->revision() != entry.modRevision)) {
            m_pools.erase(pool.name);
        }
        if (isOwn) {
            adopt(pool.name, entry.modRevision);
        }
        if (isPreferred || !isOwn) {
            m_notPreferredSince.erase(pool.name);
        } else if (const auto since =
                       m_notPreferredSince.try_emplace(pool.name, m_clock.now()).first;
                   m_clock.now() - since->second >= m_options.rebalanceAfter) {
            m_pools.at(pool.name)->flush();
            giveUp(pool.name);
        }
    }
    for (std::size_t first = 0; first < claims.size(); first += maxBatchWrites) {
        const auto batch =
            std::span(claims).subspan(first, std::min(maxBatchWrites, claims.size() - first));
        const auto written = m_store.applyBatch(batch);
        if (!written) {
            return; // What took effect is found by the next tick.
        }
        for (std::size_t i = 0; i < batch.size(); ++i) {
            if (written->outcomes[i].applied) {
                adopt(batch[i].key.substr(ownerPrefix.size()), written->outcomes[i].modRevision);
            }
        }
    }
}

void control_service::adopt(const std::string &pool, store_revision revision)
{
    if (m_pools.contains(pool)) {
        return;
    }
    logEvent(log_level::info, "pool_taken", {{"pool", pool}, {"revision", revision}});
    m_pools.emplace(pool, std::make_unique<pool_owner>(pool, revision, m_clock.wallNow(), m_store,
                                                       m_clock, m_workers, m_options.owner));
}

void control_service::giveUp(const std::string &pool)
{
    const auto found = m_pools.find(pool);
    const std::array<conditional_write, 1> write {
        {{std::string(ownerPrefix) + pool, found->second->revision(), {}, {}, 0}}};
    // From here on nothing is done for the pool, whether or not the deletion is known to be done.
    m_pools.erase(found);
    m_notPreferredSince.erase(pool);
    if (const auto written = m_store.applyBatch(write); !written) {
        logEvent(log_level::warning, "pool_not_released",
                 {{"pool", pool}, {"reason", describe(written.error())}});
    }
}

std::vector<pool_worker> control_service::workersOf(const std::string &pool) const
{
    std::vector<pool_worker> workers;
    for (const auto &host : m_listed.hosts) {
        const auto record = m_hostRecords.find(host.id);
        if (record == m_hostRecords.end() || record->second.pool != pool) {
            continue;
        }
        for (const auto &service : host.services) {
            if (service.name == workerService) {
                workers.push_back({host.id, service.where, host.rack, host.dataCentre,
                                   host.state == listed_host_state::live
                                       && record->second.state == host_state::in_service});
            }
        }
    }
    return workers;
}

void control_service::publishStatus()
{
    nlohmann::json pools = nlohmann::json::object();
    for (const auto &[name, owner] : m_pools) {
        const auto &tables = owner->tables();
        int waiting = 0;
        int active = 0;
        for (const auto &[team, row] : tables.teams) {
            waiting += row.waiting;
            active += row.active;
        }
        pools[name] = {{"waiting", waiting},
                       {"active", active},
                       {"workers", tables.workers.size()},
                       {"set_aside", tables.quarantinedWorkers.size()}};
    }
    const std::string text = nlohmann::json {
        {"incarnation", m_options.self.incarnation},
        {"pools",
         std::move(pools)}}.dump();
    const std::lock_guard lock(m_statusMutex);
    m_status = text;
}

std::string control_service::statusJson() const
{
    const std::lock_guard lock(m_statusMutex);
    return m_status;
}

} // namespace ibishinge
