#pragma once

#include <ibishinge/base/time.h>
#include <ibishinge/decision/maintenance.h>

#include <map>
#include <string>
#include <vector>

namespace ibishinge {

/// Relative weights of the measures of pool sizing, chosen by an operator.
struct profile_weights
{
    double capacityMatch = 1; ///< closeness of each pool's capacity to its demand
    double moves = 1; ///< number of moves
    double waveDuration = 1; ///< duration of a wave
};

/// Deployment profiles: the first keeps pool sizes close to the demand, the second avoids moves and
/// shortens waves.
inline constexpr profile_weights capacityMatchProfile {4, 1, 1};
inline constexpr profile_weights lowChurnProfile {1, 4, 4};

/// Settings of the policy that moves hosts between pools.
struct move_settings
{
    /// Time constant of the mean demand. Peaks of the queues last seconds: 30 s at five times the
    /// mean raise the estimate by a fifth of the mean, which a pool below `lowUtilization` can
    /// absorb.
    std::chrono::seconds demandTimeConstant {600};
    /// Mean utilization above which a pool is short of hosts.
    double highUtilization = 0.9;
    /// Mean utilization, computed with one host fewer, below which a pool has a surplus. In a pool
    /// of four or more hosts, the gap to `highUtilization` is wider than the effect of one host, so
    /// that a move never reverses the condition that caused it.
    double lowUtilization = 0.7;
    /// Cost of a move: the time in which the host serves no pool, because it is drained and set up
    /// again.
    std::chrono::minutes moveCost {5};
    /// Time after a change of a pool's size in which no policy changes the size in the other
    /// direction. Equals three time constants, after which the estimate has settled to 95%.
    std::chrono::minutes minReversalInterval {30};
    /// Factor on the cost of a move for a pool with a surplus. A surplus waits longer than a
    /// shortage, since it only leaves hosts idle, while a shortage delays work.
    double surplusFactor = 4;
    profile_weights weights;
    /// Mechanisms that are all on in production. Tests switch off one at a time to show that it is
    /// needed.
    struct move_safeguards
    {
        bool smoothDemand = true; ///< uses the mean demand, not the latest sample
        /// Moves only once the accumulated imbalance equals the cost of a move.
        bool requireMoveCost = true;
        bool limitReversals = true; ///< applies `minReversalInterval`
    } safeguards;
};

/// Demand of a pool as observed by one process. A new process starts without an estimate and waits
/// until its own samples justify a move.
struct pool_demand_estimate
{
    double mean = 0; ///< mean number of hosts in use or waited for
    wall_time at; ///< time of the latest sample
    double shortage = 0; ///< accumulated shortage, in host-minutes
    double surplus = 0; ///< accumulated time for which one host was not needed, in host-minutes
};

using pool_demand_estimates = std::map<std::string, pool_demand_estimate>;

/// Returns the settings of maintenance for a profile: hosts are stopped at the pace that the
/// deadlines require if `capacityMatch` has more weight than `waveDuration`, else as fast as the
/// wave and the budgets allow. Thread-safe.
[[nodiscard]] maintenance_settings maintenanceSettingsFor(const profile_weights &weights);

/// Updates the estimate of each pool in `hostsWanted`, which states the running and waiting work in
/// hosts. Not thread-safe for the same `estimates`.
void updateDemandEstimates(pool_demand_estimates &estimates,
                           const std::map<std::string, double> &hostsWanted,
                           const stops_record &record, const maintenance_view &view, wall_time now,
                           const move_settings &settings = {});

/// Returns the moves that a lasting imbalance justifies, at most one for each host.
///
/// A pool receives hosts once its accumulated shortage equals the cost of a move times the ratio of
/// the weights `moves` and `capacityMatch`. Waiting until the loss equals that cost bounds the
/// total cost to twice that of an optimal decision with knowledge of the future demand. Spare hosts
/// go first to pools with unavailable hosts, then to other pools that are short of hosts; pools
/// with a surplus lend hosts only when no spare host is left. Lent hosts return when the pool that
/// borrowed them has a surplus. Thread-safe.
[[nodiscard]] std::vector<proposed_move> planMoves(const stops_record &record,
                                                   const maintenance_view &view,
                                                   const pool_demand_estimates &estimates,
                                                   wall_time now,
                                                   const move_settings &settings = {});

} // namespace ibishinge
