#pragma once

#include <ibishinge/fleet/tables.h>

#include <string>

namespace ibishinge::fleet {

/// What a pool offers and is asked for, in thousandths of a core and core-milliseconds.
struct pool_load
{
    int workers = 0; ///< that can be given tasks
    std::int64_t capacity = 0; ///< of those workers
    std::int64_t longRunningHeld = 0; ///< by lasting tasks on them
    std::int64_t batchHeld = 0; ///< by other tasks on them
    double waitingWork = 0; ///< core-ms of tasks whose turn has come
    double laterWork = 0; ///< core-ms of tasks of later steps
    double runningWork = 0; ///< core-ms that running tasks still need
    int waitingTasks = 0; ///< whose turn has come
    int liveJobs = 0; ///< that are not lasting
};

/// Sums up a pool as of `now`.
[[nodiscard]] pool_load measurePool(const fleet_tables &tables, const std::string &pool,
                                    instant now);

} // namespace ibishinge::fleet
