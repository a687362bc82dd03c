#pragma once

#include <ibishinge/fleet/tables.h>

namespace ibishinge::fleet {

/// Records that a task of a step has ended `done` after `duration`, and updates the objective of
/// its occurrence. Precondition: the occurrence is open. Not thread-safe.
void observeRunTime(const fleet_tables &tables, job_entry &job, const task_name &name,
                    milliseconds duration);

/// Returns the expected time in milliseconds of the slowest task of a step: from the tasks of this
/// step that have ended, or else from the caller's estimate and the queue's statistics.
/// Thread-safe for constant tables.
[[nodiscard]] double expectedStepMs(const fleet_tables &tables, const job_entry &job,
                                    const occurrence_entry &occurrence, std::size_t step);

/// Returns the expected time from the start of `step` to the end of the occurrence. Thread-safe for
/// constant tables.
[[nodiscard]] milliseconds remainingTime(const fleet_tables &tables, const job_entry &job,
                                         const occurrence_entry &occurrence, std::size_t step);

/// Sets the work, the critical path and the objective of a job whose occurrences are not open yet.
/// Not thread-safe.
void estimateJob(const fleet_tables &tables, job_entry &job);

/// Sets the objective of an open occurrence. Callers estimate run times badly, so the objective
/// follows the run times that its steps turn out to have: with a fixed one, jobs of long tasks
/// would count as late, and be placed behind all others, while they can still be in time. Not
/// thread-safe.
void updateObjective(const fleet_tables &tables, job_entry &job, int occurrence);

} // namespace ibishinge::fleet
