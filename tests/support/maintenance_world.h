#pragma once

#include <ibishinge/decision/maintenance.h>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace ibishinge {

/// Time at which the simulated hosts start.
inline constexpr wall_time simulationStart = wall_time {} + std::chrono::hours(24 * 365);

/// Returns a pool that is maintained every 3 weeks.
inline pool_entry makePool(std::string name, availability_budget budget,
                           std::vector<domain_budget> domains = {})
{
    pool_entry pool;
    pool.name = std::move(name);
    pool.maxHosts = 10'000;
    pool.budget = budget;
    pool.domainBudgets = std::move(domains);
    pool.maintenanceInterval = std::chrono::hours(504);
    return pool;
}

inline availability_budget maxUnavailable(std::int64_t hosts)
{
    return {std::nullopt, hosts};
}

inline availability_budget minAvailable(std::int64_t hosts)
{
    return {hosts, std::nullopt};
}

inline wave_entry makeWave(std::string name, std::int64_t order, std::int64_t concurrency,
                           std::vector<std::string> pools)
{
    wave_entry wave;
    wave.name = std::move(name);
    wave.order = order;
    wave.concurrency = concurrency;
    wave.pools = std::move(pools);
    return wave;
}

/// Returns live, idle hosts h0, h1, ... that are due, four to a rack and two racks to a data
/// centre.
inline std::vector<host_view> makeHosts(std::size_t count, const std::string &pool,
                                        const std::string &prefix = "h")
{
    std::vector<host_view> hosts(count);
    for (std::size_t i = 0; i < count; ++i) {
        auto &host = hosts[i];
        host.id = prefix + std::to_string(i);
        host.pool = pool;
        host.domains = {"r" + std::to_string(i / 4), "d" + std::to_string(i / 8), "region"};
        host.condition = host_condition::live;
        host.workReportedAt = simulationStart;
        host.workEndsAt = simulationStart;
    }
    return hosts;
}

} // namespace ibishinge
