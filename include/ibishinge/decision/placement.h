#pragma once

#include <ibishinge/decision/job_table.h>

#include <cstdint>
#include <string>
#include <vector>

namespace ibishinge {

/// Kind of a placement action.
enum class placement_kind : std::uint8_t {
    start, ///< the job is already `starting` in the tables
    refuse, ///< the job fits no worker of the pool and is already `failed` in the tables
    throttle, ///< the worker has to limit the task to `reserved`, as the tables already do
    unthrottle, ///< like `throttle`, with the full reservation
    checkpoint, ///< the job is already `checkpointing` in the tables
    stop, ///< the task has to be stopped; the state changes when the worker confirms it
};

/// A decision of placement, to be stored and sent to the worker.
struct placement_action
{
    placement_kind kind = placement_kind::start;
    std::string job; ///< as `jobName` returns it
    std::string worker;
    resources reserved;
    std::string reason; ///< reason of a refusal
};

/// Returns true if new jobs may be sent to the worker: it accepts jobs and is not in quarantine at
/// `now`. Thread-safe.
[[nodiscard]] bool isUsable(const worker_row &worker, wall_time now) noexcept;

/// Chooses workers for waiting jobs and preempts normal jobs for urgent ones. Updates the tables
/// accordingly.
///
/// Urgent jobs are placed first. Among teams, the one with the fewest reserved processors relative
/// to its weight is next. The cost grows with the number of changes since the last call: a shape
/// for which no worker had room is skipped until a worker gains room. `seed` varies the workers
/// examined for preemption. Not thread-safe for the same `tables`.
///
/// \code
/// for (const auto &action : placeJobs(tables, clock.wallNow(), seed, settings)) { ... }
/// \endcode
[[nodiscard]] std::vector<placement_action> placeJobs(pool_tables &tables, wall_time now,
                                                      std::uint64_t seed,
                                                      const placement_settings &settings);

} // namespace ibishinge
