#pragma once

#include <ibishinge/fleet/placement.h>
#include <ibishinge/fleet/tables.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ibishinge::fleet {

/// A task may crash each worker that starts it. Which of the runs on a crashed worker was the cause
/// is not known, so all of them are suspected. A suspect is started under observation: on a worker
/// whose other runs have run for a while, and which starts nothing else until the suspect has too.
/// A crash meanwhile is evidence that the suspect is the cause, less if other workers may have
/// crashed at the same time. One such crash may be a coincidence: at least two starts in a row that
/// end so prove it, and the task is given up. A start that survives its observation refutes what
/// the starts before it seemed to show.
/// All members of a gang share one count, kept by the member with index 0.
///
/// The functions are not thread-safe.

/// Returns the task that counts the crashes of `name`.
[[nodiscard]] task_name crashCounterOf(const job_entry &job, task_name name);

/// Returns true if a worker has crashed under the task. Precondition: the task exists.
[[nodiscard]] bool isSuspected(const job_entry &job, const task_name &name);

/// Returns true if the crashes counted for the task are stored. A task is not started before, so
/// that a later coordinator knows them. Precondition: the task exists.
[[nodiscard]] bool areCrashesStored(const job_entry &job, const task_name &name);

/// Returns the crashes counted for the tasks of a job, without those that are stored.
[[nodiscard]] std::vector<std::pair<task_name, int>> crashCounts(const job_entry &job);

/// Records that `counts` is stored.
void markCrashesStored(job_entry &job, const std::vector<std::pair<task_name, int>> &counts);

/// Tasks affected by the crash of a worker.
struct crash_outcome
{
    std::set<std::string> suspectedJobs; ///< ids of jobs with changed counts
    std::vector<task_name> proven; ///< tasks to give up
};

/// Counts the crash of a worker for the tasks of the runs lost with it, but not for runs whose
/// start was never sent. Precondition: `lost` are all runs that the worker had.
[[nodiscard]] crash_outcome recordCrash(fleet_tables &tables, const worker_status &worker,
                                        const std::vector<run_key> &lost, instant now);

/// Returns true if a start of `name` on the worker would leave the cause of a crash clear.
[[nodiscard]] bool permitsStart(const fleet_tables &tables, const worker_status &worker,
                                const task_name &name, bool suspected, instant now);

/// Reserves a worker for a suspect, so that it starts nothing else until the runs on it have run
/// for a while. Chooses the worker that is ready first; does nothing if the task has a reservation
/// or too many of the workers are reserved. A reservation of a worker that can no longer be given
/// the task is removed.
void reserveWorker(const fleet_tables &tables, pool_candidates &candidates,
                   const waiting_step &where, const task_name &name, const step_tickets *tickets,
                   instant now);

/// Removes the reservations for tasks that no longer wait.
void removeStaleReservations(fleet_tables &tables);

/// Ends the observation of runs that have run long enough, and forgets the crashes of long-running
/// tasks that have run far longer. Returns the ids of the jobs whose counts have changed.
[[nodiscard]] std::set<std::string> endObservations(fleet_tables &tables);

/// Records that a run of the task is no longer observed and its worker has not crashed. Returns
/// true if that changed the task's counts. Does nothing while another member of its gang is
/// observed.
[[nodiscard]] bool recordSurvival(fleet_tables &tables, const task_name &name);

} // namespace ibishinge::fleet
