#pragma once

#include <ibishinge/fleet/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ibishinge::fleet {

/// Phase of a task.
enum class task_phase : std::uint8_t { waiting, placed, done };

/// Where a suspected task was started. Stored before the start, so that a later coordinator learns
/// whether the worker crashed.
struct suspect_run
{
    std::string worker;
    std::int64_t incarnation = 0; ///< of the worker
    std::int64_t run = 0;
};

/// State of one task.
struct task_entry
{
    task_phase phase = task_phase::waiting;
    /// Numbers of the runs that ended `failed`. A set, because a new coordinator receives ends in
    /// any order and more than once, and because the members of a gang share a run number.
    std::set<std::int64_t> failedRuns;
    std::int64_t startsInTerm = 0; ///< runs requested by this coordinator
    std::int64_t currentRun = 0; ///< number of the current run; 0: none
    std::string checkpoint;
    instant notBefore; ///< earliest start: end of a back-off
    instant waitsSince; ///< when its last run ended; epoch: it had none under this coordinator
    std::string avoidWorker; ///< worker on which the last run failed or made no progress
    int crashes = 0; ///< workers that crashed while they may have had a run of the task
    int lateCrashes = 0; ///< those under runs that had survived their observation
    /// That the task crashes the workers that start it: sum over its last starts in a row that were
    /// observed and ended with a crash, see `crash_isolation.h`.
    int crashEvidence = 0;
    int storedCrashes = 0; ///< value of `crashes` in the store
    std::optional<suspect_run> suspectRun; ///< current run, if the task is suspected
};

/// Tasks of one step of an occurrence, by index. Only those that have been started or otherwise
/// changed, and are not done, have an entry: the others are described by their number, so that the
/// memory follows what runs and not what waits.
struct task_list
{
    std::size_t count = 0; ///< number of tasks
    std::map<std::size_t, task_entry> changed; ///< entries of changed tasks that are not done
    std::vector<bool> done; ///< by index; empty if no task is done
    std::size_t doneCount = 0;
};

/// Returns the phase of a task. Precondition: `index` is less than `tasks.count`. Thread-safe for a
/// constant list.
[[nodiscard]] task_phase phaseOf(const task_list &tasks, std::size_t index);

/// Returns the state of a task; all those that are done, and all that are unchanged, share one.
/// Precondition: `index` is less than `tasks.count`. Thread-safe for a constant list.
[[nodiscard]] const task_entry &taskAt(const task_list &tasks, std::size_t index);

/// Returns the state of a task for a change. Preconditions: `index` is less than `tasks.count`, and
/// the task is not done. Not thread-safe.
[[nodiscard]] task_entry &changeTask(task_list &tasks, std::size_t index);

/// Marks a task as done and drops its entry. Preconditions as for `changeTask`. Not thread-safe.
void markDone(task_list &tasks, std::size_t index);

/// Returns true if no task has been started or otherwise changed. Thread-safe for a constant list.
[[nodiscard]] bool isUnchanged(const task_list &tasks) noexcept;

/// Returns true if the task can be placed at `now`. Thread-safe for a constant entry.
[[nodiscard]] bool isPlaceable(const task_entry &task, instant now) noexcept;

/// Returns the number of tasks that can be placed at `now`. Thread-safe for a constant list.
[[nodiscard]] std::size_t countPlaceable(const task_list &tasks, instant now);

/// Returns true if any task can be placed at `now`. Thread-safe for a constant list.
[[nodiscard]] bool hasPlaceable(const task_list &tasks, instant now);

/// Returns the number of tasks that wait, whether they may start yet or not. Thread-safe for a
/// constant list.
[[nodiscard]] std::size_t countWaiting(const task_list &tasks);

/// Returns the index of the first task for which `matches` returns true, or nothing. Thread-safe
/// for a constant list.
[[nodiscard]] std::optional<std::size_t>
findFirst(const task_list &tasks, const std::function<bool(const task_entry &)> &matches);

} // namespace ibishinge::fleet
