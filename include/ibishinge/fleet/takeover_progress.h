#pragma once

#include <ibishinge/base/boot_clock.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace ibishinge::fleet {

/// What a new coordinator does until all inherited tasks may be started, in this order.
enum class takeover_stage : std::uint8_t {
    roster, ///< reads the roster
    jobs, ///< reads the records of the jobs
    progress, ///< reads the progress of the jobs
    ended, ///< reads the final states of ended jobs
    registry, ///< reads the registry of the workers
    reports, ///< serves; not all workers have reported all their runs and ends
    complete,
};

/// Returns the name of `stage` in the log. Thread-safe.
[[nodiscard]] std::string_view nameOf(takeover_stage stage) noexcept;

/// How far a take-over has come.
struct takeover_progress
{
    takeover_stage stage = takeover_stage::roster;
    instant stageSince;
    int pages = 0; ///< pages read from the store
    std::size_t bytes = 0; ///< keys and values in them
    int failedReads = 0;
    instant nextLogAt;
    bool hasStarted = false; ///< a task of an inherited job was started
};

/// Moves on to `stage` unless a later one has been reached.
void enterStage(takeover_progress &takeover, takeover_stage stage, instant now) noexcept;

} // namespace ibishinge::fleet
