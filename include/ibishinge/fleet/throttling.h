#pragma once

#include <ibishinge/fleet/tables.h>

#include <vector>

namespace ibishinge::fleet {

/// Pace of a run that is not known, so that it has to be set.
inline constexpr int unknownSpeed = -1;

/// Pace is reconsidered this often: the tail latency that workers report covers half a second.
inline constexpr milliseconds throttleInterval {500};

struct throttle_change
{
    run_key key;
    int percent = 100;
    double worstTailShare = 0; ///< highest tail latency against its target that decided it
};

/// Decides at which share the filling runs of a worker may work, from the tail latency of the
/// serving runs beside them.
[[nodiscard]] std::vector<throttle_change> decideThrottling(const fleet_tables &tables,
                                                            const worker_status &worker);

} // namespace ibishinge::fleet
