#pragma once

#include <ibishinge/fleet/tables.h>

#include <vector>

namespace ibishinge::fleet {

/// Marks a run whose speed on the worker is not known, so that it has to be set.
inline constexpr int unknownSpeed = -1;

/// Interval between decisions for a worker: the tail latency that workers report covers 500 ms.
inline constexpr milliseconds throttleInterval {500};

/// New speed of a best-effort run.
struct throttle_change
{
    run_key key;
    int percent = 100; ///< of full speed
    /// Highest ratio of tail latency to target among the serving runs of the worker.
    double worstTailShare = 0;
};

/// Returns the changes of speed of the best-effort runs of a worker, decided by the tail latency of
/// the serving runs on the same worker. Thread-safe for constant tables.
[[nodiscard]] std::vector<throttle_change> decideThrottling(const fleet_tables &tables,
                                                            const worker_status &worker);

} // namespace ibishinge::fleet
