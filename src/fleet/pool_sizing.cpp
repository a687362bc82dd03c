#include <ibishinge/fleet/pool_sizing.h>

#include <ibishinge/fleet/placement.h>

#include <algorithm>
#include <cmath>

namespace ibishinge::fleet {

namespace {

/// Milliseconds within which waiting work is to be started: about the waiting time that objectives
/// allow.
constexpr double waitingWorkTargetMs = 1200;

/// Milliseconds over which the work of later steps is spread: it follows during a job's run time,
/// which is a few times `waitingWorkTargetMs`.
constexpr double laterWorkTargetMs = 4000;

/// Share of a pool's assigned hosts; a higher demand is a peak.
constexpr double peakShare = 0.5;

/// Time without high demand after which a peak is over.
constexpr milliseconds peakHoldTime {1000};

/// Time after which a host without runs is returned to the spare pool; keeping a host in a pool for
/// about this long costs as much as a move.
constexpr milliseconds returnAfterIdle {1500};

/// Minimum time that a host stays in a pool after a move, unless a pool in demand needs it.
constexpr milliseconds minimumStay {3000};

/// Upper bound of the demand of a pool, in hosts; callers' estimates have none.
constexpr double mostHosts = 1'000'000;

/// Hosts added to the demand of each pool as a reserve.
constexpr int reserveHosts = 1;

/// Maximum time to wait for all workers to register before the first move.
constexpr milliseconds registrationTimeout {6000};

/// Number of consecutive unanswered calls after which a worker does not count for its pool.
constexpr int failedPollsOfLostWorker = 3;

/// A host whose worker has no runs, and since when.
struct idle_host
{
    instant since;
    std::string name;
};

/// Demand and hosts of a pool in one decision.
struct pool_demand
{
    std::string name;
    pool_load load;
    int hosts = 0; ///< hosts present or being moved to the pool
    int wanted = 0; ///< hosts that the demand requires
    /// Its peak is over, and another pool has been without a peak for longer.
    bool returnsHosts = false;
    std::vector<idle_host> idle; ///< hosts that can be moved away, the longest idle first
};

/// Returns true if the maintenance of the host has begun and is not finished.
bool isInMaintenance(const maintenance_state &maintenance, const std::string &host)
{
    return std::any_of(maintenance.waves.begin(), maintenance.waves.end(), [&](const auto &each) {
        const auto found = each.second.hosts.find(host);
        return !each.second.completed && found != each.second.hosts.end()
               && found->second.step != maintenance_phase::waiting
               && found->second.step != maintenance_phase::finished;
    });
}

/// Returns the first label, which names the kind of host; empty if there are no labels.
const std::string &kindOf(const host_entry &host)
{
    static const std::string none;
    return host.labels.empty() ? none : host.labels.front();
}

/// Returns the mean number of cores of a host, in thousandths of a core.
double coresOfHost(const fleet_tables &tables)
{
    double sum = 0;
    for (const auto &[name, host] : tables.hosts) {
        sum += static_cast<double>(host.capacity.cpuMillis);
    }
    return tables.hosts.empty() ? 1 : std::max(1.0, sum / static_cast<double>(tables.hosts.size()));
}

/// Records since when workers have had no runs.
void updateIdleWorkers(const fleet_tables &tables, pool_sizing_state &state, instant now)
{
    for (const auto &[id, worker] : tables.workers) {
        if (worker.runs.empty() && !mayHaveUnstoredEnds(worker)) {
            state.idleSince.emplace(id, now);
        } else {
            state.idleSince.erase(id);
        }
    }
    for (auto entry = state.idleSince.begin(); entry != state.idleSince.end();) {
        entry = tables.workers.count(entry->first) == 0 ? state.idleSince.erase(entry)
                                                        : std::next(entry);
    }
}

/// Removes moves that have completed, and those requested so long ago that the platform must have
/// completed or lost them.
void removeCompletedMoves(const fleet_tables &tables, pool_sizing_state &state, instant now)
{
    constexpr milliseconds longestMove {6000};
    if (state.moves.empty()) {
        return;
    }
    std::set<std::string> arrivedHosts;
    for (const auto &[id, worker] : tables.workers) {
        const auto move = state.moves.find(worker.entry.host);
        if (move != state.moves.end() && worker.registered
            && worker.entry.pool == move->second.to) {
            arrivedHosts.insert(move->first);
        }
    }
    for (auto move = state.moves.begin(); move != state.moves.end();) {
        const auto &each = move->second;
        const bool arrived = arrivedHosts.count(each.host) > 0;
        const auto listed = tables.hosts.find(each.host);
        const bool spare = tables.hostsReadAt > each.orderedAt && listed != tables.hosts.end()
                           && listed->second.pool == each.to
                           && listed->second.state == host_state::up
                           && tables.config.pools.at(each.to).spare;
        if (arrived || spare || since(each.orderedAt, now) > longestMove) {
            move = state.moves.erase(move);
        } else {
            ++move;
        }
    }
}

/// Counts the hosts of the pools and finds the idle ones. Visits each worker once.
void countPoolHosts(const fleet_tables &tables, const pool_sizing_state &state,
                    const maintenance_state &maintenance, std::map<std::string, pool_demand> &pools,
                    instant now)
{
    for (const auto &[id, worker] : tables.workers) {
        const auto pool = pools.find(worker.entry.pool);
        if (pool == pools.end() || !worker.registered || worker.evacuated
            || worker.entry.state != worker_state::ready
            || worker.failedPolls >= failedPollsOfLostWorker) {
            continue;
        }
        ++pool->second.hosts;
        const auto since = state.idleSince.find(id);
        if (since != state.idleSince.end() && isUsable(worker, now) && !worker.entry.host.empty()
            && state.moves.count(worker.entry.host) == 0
            && !isInMaintenance(maintenance, worker.entry.host)) {
            pool->second.idle.push_back({since->second, worker.entry.host});
        }
    }
    for (auto &[name, pool] : pools) {
        std::sort(pool.idle.begin(), pool.idle.end(),
                  [](const idle_host &a, const idle_host &b) { return a.since < b.since; });
    }
    for (const auto &[host, move] : state.moves) {
        if (const auto to = pools.find(move.to); to != pools.end()) {
            ++to->second.hosts;
        }
        if (const auto from = pools.find(move.from); from != pools.end()) {
            --from->second.hosts;
        }
    }
}

/// Sets how many hosts a pool wants, and updates its peak.
void updateDemand(pool_sizing_state &state, pool_demand &pool, double hostCores, instant now)
{
    auto &memory = state.pools[pool.name];
    const double demand =
        static_cast<double>(pool.load.longRunningHeld + pool.load.batchHeld)
        + (pool.load.waitingWork / waitingWorkTargetMs + pool.load.laterWork / laterWorkTargetMs)
              * 1000;
    if (demand - static_cast<double>(pool.load.longRunningHeld)
        > peakShare * memory.baselineHosts * hostCores) {
        memory.lastPeakAt = now;
    }
    memory.peaking =
        memory.lastPeakAt != instant {} && since(memory.lastPeakAt, now) < peakHoldTime;
    pool.wanted =
        static_cast<int>(std::min(std::ceil(demand / hostCores), mostHosts)) + reserveHosts;
}

/// Returns true when the workers of all hosts that should run one have registered, or the wait has
/// timed out. Before that, pools appear smaller than they are.
bool haveAllRegistered(const fleet_tables &tables, pool_sizing_state &state, instant now)
{
    if (state.settled || tables.hosts.empty()) {
        return state.settled;
    }
    if (state.hostsFirstSeen == instant {}) {
        state.hostsFirstSeen = now;
    }
    const bool all = std::all_of(tables.hosts.begin(), tables.hosts.end(), [&](const auto &each) {
        const auto pool = tables.config.pools.find(each.second.pool);
        const bool expected = pool != tables.config.pools.end() && !pool->second.spare;
        const auto worker = tables.workers.find(each.second.worker);
        return !expected || (worker != tables.workers.end() && worker->second.registered);
    });
    state.settled = all || since(state.hostsFirstSeen, now) > registrationTimeout;
    return state.settled;
}

} // namespace

std::map<std::string, int> countHosts(const fleet_tables &tables)
{
    std::map<std::string, int> counts;
    for (const auto &[name, host] : tables.hosts) {
        ++counts[host.pool];
    }
    return counts;
}

std::vector<host_move> planMoves(fleet_tables &tables, pool_sizing_state &state,
                                 const maintenance_state &maintenance, int maxConcurrentMoves,
                                 instant now)
{
    updateIdleWorkers(tables, state, now);
    removeCompletedMoves(tables, state, now);
    if (!state.baselinesKnown || !haveAllRegistered(tables, state, now)) {
        return {};
    }
    std::string spareName;
    std::map<std::string, pool_demand> pools;
    const double hostCores = coresOfHost(tables);
    for (const auto &[name, load] : measurePools(tables, now)) {
        if (tables.config.pools.at(name).spare) {
            spareName = name;
        } else {
            pools[name].name = name;
            pools[name].load = load;
        }
    }
    countPoolHosts(tables, state, maintenance, pools, now);
    for (auto &[name, pool] : pools) {
        updateDemand(state, pool, hostCores, now);
    }
    instant oldestPeak = now;
    for (const auto &[name, pool] : pools) {
        const auto &memory = state.pools.at(name);
        if (!memory.peaking) {
            oldestPeak = std::min(oldestPeak, memory.lastPeakAt);
        }
    }
    for (auto &[name, pool] : pools) {
        const auto &memory = state.pools.at(name);
        pool.returnsHosts = !memory.peaking && memory.lastPeakAt > oldestPeak;
        if (!pool.returnsHosts) {
            pool.wanted = std::max(pool.wanted, memory.baselineHosts);
        }
    }

    std::vector<std::string> spare;
    for (const auto &[name, host] : tables.hosts) {
        if (host.pool == spareName && !spareName.empty() && host.state == host_state::up
            && !isEvacuated(tables.evacuation, host.dataCentre) && state.moves.count(name) == 0
            && !isInMaintenance(maintenance, name)) {
            spare.push_back(name);
        }
    }
    std::vector<host_move> moves;
    const auto add = [&](const std::string &host, const std::string &from, const std::string &to) {
        moves.push_back({host, from, to, now, false});
    };
    const auto isCompatible = [&](const std::string &host, const std::string &to) {
        const auto listed = tables.hosts.find(host);
        return listed != tables.hosts.end()
               && state.incompatible.count({kindOf(listed->second), to}) == 0;
    };
    // Returns the longest idle host that the pool `to` can take.
    const auto findIdle = [&](pool_demand &donor, const std::string &to) {
        return std::find_if(donor.idle.begin(), donor.idle.end(),
                            [&](const auto &host) { return isCompatible(host.name, to); });
    };
    // The pools with the most recent peak are the last to need their hosts again.
    std::vector<pool_demand *> donors;
    donors.reserve(pools.size());
    for (auto &[name, pool] : pools) {
        donors.push_back(&pool);
    }
    std::sort(donors.begin(), donors.end(), [&](const pool_demand *a, const pool_demand *b) {
        return state.pools.at(a->name).lastPeakAt > state.pools.at(b->name).lastPeakAt;
    });
    std::vector<pool_demand *> receivers;
    receivers.reserve(pools.size());
    for (auto &[name, pool] : pools) {
        receivers.push_back(&pool);
    }
    std::sort(receivers.begin(), receivers.end(), [](const pool_demand *a, const pool_demand *b) {
        return a->load.waitingWork > b->load.waitingWork;
    });
    const auto mayMove = [&] {
        return state.moves.size() + moves.size() < static_cast<std::size_t>(maxConcurrentMoves);
    };
    for (auto *receiver : receivers) {
        while (receiver->hosts < receiver->wanted && mayMove()) {
            const auto source = std::find_if(spare.begin(), spare.end(), [&](const auto &host) {
                return isCompatible(host, receiver->name);
            });
            if (source != spare.end()) {
                add(*source, spareName, receiver->name);
                spare.erase(source);
                ++receiver->hosts;
                continue;
            }
            const auto donor = std::find_if(donors.begin(), donors.end(), [&](pool_demand *each) {
                return each != receiver && each->hosts > each->wanted
                       && findIdle(*each, receiver->name) != each->idle.end();
            });
            if (donor == donors.end()) {
                break;
            }
            const auto idle = findIdle(**donor, receiver->name);
            add(idle->name, (*donor)->name, receiver->name);
            (*donor)->idle.erase(idle);
            --(*donor)->hosts;
            ++receiver->hosts;
        }
    }
    if (spareName.empty()) {
        return moves;
    }
    for (auto *donor : donors) {
        // A pool at its peak does not return hosts to the spare pool, because its demand may rise
        // again; it only gives them to pools in demand.
        while (!state.pools.at(donor->name).peaking && donor->hosts > donor->wanted
               && !donor->idle.empty() && mayMove()) {
            const auto host = donor->idle.front();
            donor->idle.erase(donor->idle.begin());
            const auto moved = state.movedAt.find(host.name);
            const bool idleLong = since(host.since, now) >= returnAfterIdle;
            const bool stayedLongEnough =
                moved == state.movedAt.end() || since(moved->second, now) >= minimumStay;
            if (idleLong && stayedLongEnough && isCompatible(host.name, spareName)) {
                add(host.name, donor->name, spareName);
                --donor->hosts;
            }
        }
    }
    return moves;
}

void pauseSizing(pool_sizing_state &state, instant now)
{
    state.idleSince.clear();
    for (auto &[name, memory] : state.pools) {
        if (memory.peaking) {
            memory.lastPeakAt = now;
        }
    }
}

} // namespace ibishinge::fleet
