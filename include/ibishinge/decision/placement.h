#pragma once

#include <ibishinge/decision/job_table.h>

#include <cstdint>
#include <string>
#include <vector>

namespace ibishinge {

enum class placement_kind : std::uint8_t {
    start, ///< the tables already hold the job as `starting`
    refuse, ///< fits no worker of the pool; the tables already hold it as `failed`
    throttle, ///< the worker shall run the task with `reserved`; the tables already hold that
    unthrottle, ///< like `throttle`, back to the full size
    checkpoint, ///< the tables already hold the job as `checkpointing`
    stop, ///< the task shall be stopped; the state changes when the worker confirms it
};

/// Something to write and to tell a worker.
struct placement_action
{
    placement_kind kind = placement_kind::start;
    std::string job; ///< as `jobName` returns it
    std::string worker;
    resources reserved;
    std::string reason; ///< of a refusal
};

/// Returns true if new jobs may be sent to the worker. Thread-safe.
[[nodiscard]] bool isUsable(const worker_row &worker, wall_time now) noexcept;

/// Decides what starts where, and what makes room for urgent work; changes the tables accordingly.
///
/// Urgent jobs come before all others. Among teams, the one with the fewest reserved processors for
/// its weight is next. The cost grows with what changed since the last call: a group of equal jobs
/// for which no worker had room is skipped until a worker gains room.
///
/// \code
/// for (const auto &action : placeJobs(tables, clock.wallNow(), seed, settings)) { ... }
/// \endcode
[[nodiscard]] std::vector<placement_action> placeJobs(pool_tables &tables, wall_time now,
                                                      std::uint64_t seed,
                                                      const placement_settings &settings);

} // namespace ibishinge
