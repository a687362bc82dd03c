#include <ibishinge/fleet/pool_sizing.h>

#include <ibishinge/fleet/placement.h>

#include <algorithm>
#include <cmath>

namespace ibishinge::fleet {

namespace {

/// Work that waits is to be begun within this time: about the wait that objectives leave.
constexpr double waitingWorkTargetMs = 1200;

/// Later steps follow over a job's life, a few times that.
constexpr double laterWorkTargetMs = 4000;

/// Demand above this share of its home size is a peak of the pool.
constexpr double peakShare = 0.5;

/// A peak is over after this time without high demand.
constexpr milliseconds peakHoldTime {1000};

/// A host without runs is given back after this time: about where a second in a pool costs as much
/// as a move.
constexpr milliseconds returnAfterIdle {1500};

/// A host stays at least this long where it was moved to, unless a pool in demand needs it.
constexpr milliseconds minimumStay {3000};

/// Hosts kept free in a pool whose peak is over.
constexpr int reserveHosts = 1;

/// No move is made before all workers have registered, or this time has passed.
constexpr milliseconds registrationTimeout {6000};

/// A worker that failed to answer this often in a row does not count for its pool.
constexpr int failedPollsOfLostWorker = 3;

struct idle_host
{
    instant since;
    std::string name;
};

/// A pool's wish and what it has.
struct pool_demand
{
    std::string name;
    pool_load load;
    int hosts = 0; ///< present or on their way in
    int wanted = 0;
    bool returnsHosts = false;
    std::vector<idle_host> idle; ///< can be moved away, longest idle first
};

bool isInMaintenance(const maintenance_state &maintenance, const std::string &host)
{
    return std::any_of(maintenance.waves.begin(), maintenance.waves.end(), [&](const auto &each) {
        const auto found = each.second.hosts.find(host);
        return !each.second.completed && found != each.second.hosts.end()
               && found->second.step != maintenance_phase::waiting
               && found->second.step != maintenance_phase::finished;
    });
}

const std::string &kindOf(const host_entry &host)
{
    static const std::string none;
    return host.labels.empty() ? none : host.labels.front();
}

/// Cores of one host of the fleet, in thousandths.
double coresOfHost(const fleet_tables &tables)
{
    double sum = 0;
    for (const auto &[name, host] : tables.hosts) {
        sum += static_cast<double>(host.capacity.cpuMillis);
    }
    return tables.hosts.empty() ? 1 : std::max(1.0, sum / static_cast<double>(tables.hosts.size()));
}

void updateIdleWorkers(const fleet_tables &tables, pool_sizing_state &state, instant now)
{
    for (const auto &[id, worker] : tables.workers) {
        if (worker.runs.empty() && worker.storedEnd >= worker.processedEnd) {
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

/// Forgets moves that have arrived, and orders that the platform must have carried out or lost.
void removeCompletedMoves(const fleet_tables &tables, pool_sizing_state &state, instant now)
{
    constexpr milliseconds longestMove {6000};
    for (auto move = state.moves.begin(); move != state.moves.end();) {
        const auto &each = move->second;
        const bool arrived =
            std::any_of(tables.workers.begin(), tables.workers.end(), [&](const auto &entry) {
                return entry.second.entry.host == each.host && entry.second.registered
                       && entry.second.entry.pool == each.to;
            });
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

pool_demand measureDemand(fleet_tables &tables, pool_sizing_state &state,
                          const maintenance_state &maintenance, const std::string &name,
                          double hostCores, instant now)
{
    pool_demand pool;
    pool.name = name;
    pool.load = measurePool(tables, name, now);
    for (const auto &[id, worker] : tables.workers) {
        if (worker.entry.pool != name || !worker.registered
            || worker.entry.state != worker_state::ready
            || worker.failedPolls >= failedPollsOfLostWorker) {
            continue;
        }
        ++pool.hosts;
        const auto since = state.idleSince.find(id);
        if (since != state.idleSince.end() && isUsable(worker, now) && !worker.entry.host.empty()
            && state.moves.count(worker.entry.host) == 0
            && !isInMaintenance(maintenance, worker.entry.host)) {
            pool.idle.push_back({since->second, worker.entry.host});
        }
    }
    std::sort(pool.idle.begin(), pool.idle.end(),
              [](const idle_host &a, const idle_host &b) { return a.since < b.since; });
    for (const auto &[host, move] : state.moves) {
        pool.hosts += move.to == name ? 1 : 0;
        pool.hosts -= move.from == name ? 1 : 0;
    }
    auto &memory = state.pools[name];
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
    pool.wanted = static_cast<int>(std::ceil(demand / hostCores)) + reserveHosts;
    return pool;
}

/// Returns true once the workers of all hosts that are up have registered: before that, pools look
/// smaller than they are.
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
    std::vector<pool_demand> pools;
    const double hostCores = coresOfHost(tables);
    for (const auto &[name, rule] : tables.config.pools) {
        if (rule.spare) {
            spareName = name;
        } else {
            pools.push_back(measureDemand(tables, state, maintenance, name, hostCores, now));
        }
    }
    instant oldestPeak = now;
    for (const auto &pool : pools) {
        const auto &memory = state.pools.at(pool.name);
        if (!memory.peaking) {
            oldestPeak = std::min(oldestPeak, memory.lastPeakAt);
        }
    }
    for (auto &pool : pools) {
        const auto &memory = state.pools.at(pool.name);
        pool.returnsHosts = !memory.peaking && memory.lastPeakAt > oldestPeak;
        if (!pool.returnsHosts) {
            pool.wanted = std::max(pool.wanted, memory.baselineHosts);
        }
    }

    std::vector<std::string> spare;
    for (const auto &[name, host] : tables.hosts) {
        if (host.pool == spareName && !spareName.empty() && host.state == host_state::up
            && state.moves.count(name) == 0 && !isInMaintenance(maintenance, name)) {
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
    // Those whose peak is most recent are the last to need their hosts again.
    std::vector<pool_demand *> donors;
    donors.reserve(pools.size());
    for (auto &pool : pools) {
        donors.push_back(&pool);
    }
    std::sort(donors.begin(), donors.end(), [&](const pool_demand *a, const pool_demand *b) {
        return state.pools.at(a->name).lastPeakAt > state.pools.at(b->name).lastPeakAt;
    });
    std::vector<pool_demand *> receivers;
    receivers.reserve(pools.size());
    for (auto &pool : pools) {
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
                return each != receiver && each->hosts > each->wanted && !each->idle.empty()
                       && isCompatible(each->idle.front().name, receiver->name);
            });
            if (donor == donors.end()) {
                break;
            }
            add((*donor)->idle.front().name, (*donor)->name, receiver->name);
            (*donor)->idle.erase((*donor)->idle.begin());
            --(*donor)->hosts;
            ++receiver->hosts;
        }
    }
    if (spareName.empty()) {
        return moves;
    }
    for (auto *donor : donors) {
        // A pool at its peak gives hosts to others in demand only: its own may rise again.
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
