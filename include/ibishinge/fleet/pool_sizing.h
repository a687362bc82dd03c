#pragma once

#include <ibishinge/fleet/host_maintenance.h>
#include <ibishinge/fleet/pool_load.h>
#include <ibishinge/fleet/tables.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibishinge::fleet {

/// What is remembered of one pool.
struct pool_history
{
    int baselineHosts = 0; ///< hosts that the operators gave it, before any move
    instant lastPeakAt; ///< when its demand last was high; epoch: never
    bool peaking = false;
};

/// A host on its way to another pool.
struct host_move
{
    std::string host;
    std::string from;
    std::string to;
    instant orderedAt;
    bool accepted = false;
};

struct pool_sizing_state
{
    bool baselinesKnown = false; ///< `pool_history::baselineHosts` is set
    bool settled = false; ///< the workers of all hosts have been seen
    instant hostsFirstSeen; ///< of the list of hosts
    std::map<std::string, pool_history> pools;
    std::map<std::string, host_move> moves; ///< by host
    std::map<std::string, instant> movedAt; ///< by host
    std::map<std::string, instant> idleSince; ///< by worker without runs
    std::set<std::pair<std::string, std::string>> incompatible; ///< kind of host and pool
};

/// Returns how many hosts each pool has.
[[nodiscard]] std::map<std::string, int> countHosts(const fleet_tables &tables);

/// Chooses hosts to move now. Answers this load: the pools' demand rises by turns to more than a
/// pool holds, while the others are nearly idle.
///
/// A pool in demand gets hosts from the spare pool, then idle ones of the pools whose peak is over.
/// The pool that has gone longest without a peak keeps its home size, as it may be next; the others
/// give their idle hosts back. Only hosts without runs are moved, so that a move ends no task.
///
/// Call `pauseSizing` instead while no jobs can be submitted.
[[nodiscard]] std::vector<host_move> planMoves(fleet_tables &tables, pool_sizing_state &state,
                                               const maintenance_state &maintenance,
                                               int maxConcurrentMoves, instant now);

/// Keeps the pools as they are while jobs cannot be submitted: that none come says nothing of the
/// demand then, so that neither peaks end nor hosts count as idle.
void pauseSizing(pool_sizing_state &state, instant now);

} // namespace ibishinge::fleet
