#pragma once

#include <ibishinge/base/time.h>
#include <ibishinge/decision/maintenance.h>

#include <map>
#include <string>
#include <vector>

namespace ibishinge {

/// How much an operator cares about each measure, relative to the others.
struct profile_weights
{
    double capacityMatch = 1; ///< closeness of each pool's capacity to its demand
    double moves = 1; ///< number of moves
    double waveDuration = 1; ///< duration of a wave
};

/// The two deployment profiles of design.md.
inline constexpr profile_weights capacityMatchProfile {4, 1, 1};
inline constexpr profile_weights lowChurnProfile {1, 4, 4};

struct move_settings
{
    /// Time constant of the mean demand. Queues peak for seconds: 30 s at five times the mean raise
    /// the estimate by a fifth of the mean, which a pool within `lowUtilization` bears.
    std::chrono::seconds demandTimeConstant {600};
    /// Mean use above which a pool is short of hosts.
    double highUtilization = 0.9;
    /// Mean use, with one host fewer, below which a pool has a surplus. The gap to
    /// `highUtilization` is wider than what one host changes in a pool of four or more, so that a
    /// move never reverses the condition that caused it.
    double lowUtilization = 0.7;
    /// What a move costs: the time in which the host is in no pool, drained and set up again.
    std::chrono::minutes moveCost {5};
    /// A pool whose size has changed keeps that direction for this long, whichever policy changed
    /// it. Three time constants, after which the estimate has settled to 95%.
    std::chrono::minutes minReversalInterval {30};
    /// A surplus costs idle hosts only, a shortage delays work; surplus therefore waits longer.
    double surplusFactor = 4;
    profile_weights weights;
    /// Mechanisms that tests switch off, one at a time, to show that each is needed.
    struct move_safeguards
    {
        bool smoothDemand = true;
        bool requireMoveCost = true;
        bool limitReversals = true;
    } safeguards;
};

/// Demand of a pool as one process has seen it. A new process starts without and waits until its
/// own estimate justifies a move.
struct pool_demand_estimate
{
    double mean = 0; ///< hosts in use or waited for
    wall_time at; ///< of the last sample
    double shortage = 0; ///< accumulated lack of hosts, in host-minutes
    double surplus = 0; ///< time for which a host could have been spared, in host-minutes
};

using pool_demand_estimates = std::map<std::string, pool_demand_estimate>;

/// Returns the settings of maintenance for a profile: hosts are stopped at the pace the deadlines
/// need unless the duration of a wave weighs more than closeness to share. Thread-safe.
[[nodiscard]] maintenance_settings maintenanceSettingsFor(const profile_weights &weights);

/// Updates the estimate of each pool in `hostsWanted`, in hosts' worth of work running and waiting.
void updateDemandEstimates(pool_demand_estimates &estimates,
                           const std::map<std::string, double> &hostsWanted,
                           const stops_record &record, const maintenance_view &view, wall_time now,
                           const move_settings &settings = {});

/// Returns the moves that lasting imbalance justifies, at most one for each host.
///
/// A pool is helped once its accumulated shortage equals the cost of a move, times the weight of
/// moves over that of closeness to share. Waiting until the loss equals the price bounds the total
/// cost at twice that of a decision made with knowledge of the future. Spare hosts go to pools with
/// unavailable hosts first, then to other short pools; pools with a surplus lend only when no spare
/// host is left. Lent hosts return when their pool can do without them. Thread-safe.
[[nodiscard]] std::vector<proposed_move> planMoves(const stops_record &record,
                                                   const maintenance_view &view,
                                                   const pool_demand_estimates &estimates,
                                                   wall_time now,
                                                   const move_settings &settings = {});

} // namespace ibishinge
