#pragma once

#include <ibishinge/fleet/placement.h>
#include <ibishinge/fleet/tables.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ibishinge::fleet {

/// A task may crash each worker that starts it. Which of the runs on a crashed worker was the cause
/// is not known, so all of them are suspected. Suspects are started apart from each other, and
/// after a second crash alone; a task is given up once `provingCrashes` workers have crashed while
/// it ran alone. All members of a gang share one count, kept by the member with index 0.
///
/// The functions are not thread-safe.

/// Number of workers that have to crash under a task while it runs alone before its job has failed.
/// One such crash may be a coincidence.
inline constexpr int provingCrashes = 2;

/// Returns the task that counts the crashes of `name`. Precondition: the step exists.
[[nodiscard]] task_name crashCounterOf(const job_entry &job, task_name name);

/// Returns how the next run of the task has to be isolated. Precondition: the task exists.
[[nodiscard]] run_isolation isolationOf(const job_entry &job, const task_name &name);

/// Returns true if the crashes counted for the task are stored. A task is not started before, so
/// that a later coordinator knows them. Precondition: the task exists.
[[nodiscard]] bool areCrashesStored(const job_entry &job, const task_name &name);

/// Returns the crashes counted for the tasks of a job, without those that have none.
[[nodiscard]] std::vector<std::pair<task_name, int>> crashCounts(const job_entry &job);

/// Records that `counts` is stored.
void markCrashesStored(job_entry &job, const std::vector<std::pair<task_name, int>> &counts);

/// Tasks affected by the crash of a worker.
struct crash_outcome
{
    std::set<std::string> suspectedJobs; ///< ids of jobs with changed counts
    std::vector<task_name> proven; ///< tasks to give up
};

/// Counts the crash of a worker for the tasks of the runs lost with it. Precondition: `lost` are
/// all runs that the worker had.
[[nodiscard]] crash_outcome recordCrash(fleet_tables &tables, const std::vector<run_key> &lost);

/// Returns true if the isolation of a new run of `name`, and of the runs that the worker has,
/// permits the run on the worker.
[[nodiscard]] bool permitsIsolation(const fleet_tables &tables, const worker_status &worker,
                                    const task_name &name, run_isolation isolation);

/// Reserves a worker for a task that has to run alone, so that the runs on it end and no others
/// start. Chooses the worker with the least to wait for; does nothing if the task has a reservation
/// or too many of the workers are reserved.
void reserveWorker(const fleet_tables &tables, pool_candidates &candidates,
                   const waiting_step &where, const task_name &name, const step_tickets *tickets);

/// Removes the reservations for tasks that no longer wait to run alone.
void removeStaleReservations(fleet_tables &tables);

/// Ends the isolation of long-running tasks that have run long enough without a crash, and forgets
/// old crashes. Returns the ids of the jobs whose counts have changed.
[[nodiscard]] std::set<std::string> endProbations(fleet_tables &tables, instant now);

} // namespace ibishinge::fleet
