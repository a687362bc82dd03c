#pragma once

#include <ibishinge/fleet/tables.h>

#include <map>
#include <string>

namespace ibishinge::fleet {

/// Capacity and demand of a pool. Amounts are in thousandths of a core, work is in
/// core-milliseconds.
struct pool_load
{
    int workers = 0; ///< workers that can be given tasks
    std::int64_t capacity = 0; ///< capacity of those workers
    std::int64_t longRunningHeld = 0; ///< held by long-running tasks on those workers
    std::int64_t batchHeld = 0; ///< held by other tasks on those workers
    double waitingWork = 0; ///< core-ms of waiting tasks whose earlier steps are complete
    double laterWork = 0; ///< core-ms of waiting tasks whose earlier steps are not complete
    int waitingTasks = 0; ///< waiting tasks whose earlier steps are complete
    int liveJobs = 0; ///< jobs that have not ended and have no long-running tasks
};

/// Returns the capacity and demand of all pools as of `now`, by name. Visits each worker, run and
/// job once. Thread-safe for constant tables.
[[nodiscard]] std::map<std::string, pool_load> measurePools(const fleet_tables &tables,
                                                            instant now);

} // namespace ibishinge::fleet
