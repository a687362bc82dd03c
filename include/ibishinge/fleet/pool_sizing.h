#pragma once

#include <ibishinge/fleet/host_maintenance.h>
#include <ibishinge/fleet/pool_load.h>
#include <ibishinge/fleet/tables.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibishinge::fleet {

/// State of one pool that is kept between decisions.
struct pool_history
{
    int baselineHosts = 0; ///< number of hosts that the operators assigned, before any move
    instant lastPeakAt; ///< when its demand was last high; epoch: never
    bool peaking = false; ///< the demand is or recently was high
};

/// Move of a host to another pool.
struct host_move
{
    std::string host;
    std::string from;
    std::string to;
    instant orderedAt; ///< when the move was requested
    bool accepted = false; ///< the platform accepted the move
};

/// State of the pool sizing that is kept between decisions.
struct pool_sizing_state
{
    bool baselinesKnown = false; ///< the number of assigned hosts of each pool is set
    /// The workers of all hosts have registered, or the wait for them has timed out.
    bool settled = false;
    instant hostsFirstSeen; ///< when the list of hosts was first read; epoch: not read yet
    std::map<std::string, pool_history> pools; ///< by name
    std::map<std::string, host_move> moves; ///< moves in progress, by host
    std::map<std::string, instant> movedAt; ///< when a move was last requested, by host
    std::map<std::string, instant> idleSince; ///< when a worker without runs became idle, by worker
    /// Kinds of hosts and the pools that they cannot be moved to.
    std::set<std::pair<std::string, std::string>> incompatible;
};

/// Returns the number of listed hosts by pool. Thread-safe for constant tables.
[[nodiscard]] std::map<std::string, int> countHosts(const fleet_tables &tables);

/// Chooses hosts to move now. Designed for pools whose demand exceeds their capacity in turns,
/// while the other pools are nearly idle.
///
/// A pool in demand gets hosts from the spare pool first, then idle hosts of pools whose peak is
/// over. The pool whose last peak is the oldest keeps its assigned number of hosts, because its
/// next peak may come first; the other pools return their idle hosts to the spare pool. Only hosts
/// without runs are moved, so a move never ends a task.
///
/// Returns nothing before the assigned numbers of hosts are known and the workers have registered.
/// `maxConcurrentMoves` limits the moves in progress, including those returned. While no jobs can
/// be submitted, call `pauseSizing` instead. Not thread-safe.
[[nodiscard]] std::vector<host_move> planMoves(fleet_tables &tables, pool_sizing_state &state,
                                               const maintenance_state &maintenance,
                                               int maxConcurrentMoves, instant now);

/// Keeps the pools unchanged while no jobs can be submitted. The absence of jobs says nothing about
/// the demand at that time, so peaks do not end and hosts do not count as idle. Not thread-safe.
void pauseSizing(pool_sizing_state &state, instant now);

} // namespace ibishinge::fleet
