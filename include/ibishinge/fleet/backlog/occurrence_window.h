#pragma once

#include <ibishinge/fleet/tables.h>

#include <cstdint>
#include <map>
#include <string>

namespace ibishinge::fleet {

/// A job's occurrences become due at a rate that its caller chooses, while the tasks run at the
/// rate that the workers allow. The state of an occurrence, the passes over it and its part of the
/// job's progress record therefore exist only for a window of occurrences, and those behind it wait
/// as a number. Sizes are counted in cells: one for each step and one for each `tasksPerCell`
/// tasks.
inline constexpr int tasksPerCell = 16;

/// The window of a job is not extended beyond the first of these: tasks of occurrences of which
/// nothing has been started; cells of the open occurrences; cells of occurrences of which the
/// store does not know that they have been opened, all of which a successor may have to open.
inline constexpr int maxUnstartedTasks = 256;
inline constexpr int maxOpenCells = 1024;
inline constexpr int maxUnstoredCells = 1024;

/// Cells of all jobs together, without the first open occurrence of each.
inline constexpr int maxExtraCells = 8192;

/// Returns the number of cells of one occurrence. Precondition: `spec` is valid. Thread-safe.
[[nodiscard]] int cellsOf(const job_spec &spec) noexcept;

/// Returns the cells of the open occurrences of a job, without one. Thread-safe for a constant job.
[[nodiscard]] int extraCells(const job_entry &job) noexcept;

/// Cells of open occurrences without the first of each job.
struct extra_cells
{
    int all = 0;
    std::map<std::string, int> byCustomer;
};

/// Returns the cells in use. Thread-safe for constant tables.
[[nodiscard]] extra_cells countExtraCells(const fleet_tables &tables);

/// Returns how many cells a customer may add: it may have as many as are then left for the others,
/// so that a customer with a single job finds some however many another one uses. Thread-safe.
[[nodiscard]] int roomFor(const extra_cells &used, const std::string &customer);

/// Opens occurrences that are due at `wallMs`, in milliseconds since 1970: the next one if none is
/// open, and further ones as far as the window allows, in at most `room` cells. Returns true if any
/// was opened. Not thread-safe.
bool openDueOccurrences(job_entry &job, std::int64_t wallMs, int room = maxOpenCells);

/// Opens due occurrences of all accepted jobs. Returns true if any was opened. Not thread-safe.
bool openDueOccurrences(fleet_tables &tables, std::int64_t wallMs);

/// Opens the occurrences up to `number`, whether they are due or not and whatever the window: an
/// earlier coordinator has begun it. Not thread-safe.
void openOccurrencesUpTo(job_entry &job, int number);

/// Opens one occurrence, unless it is open. Not thread-safe.
void openOccurrence(job_entry &job, int number);

/// Returns true if a task of the occurrence has been started or otherwise changed. Thread-safe for
/// a constant occurrence.
[[nodiscard]] bool isStarted(const occurrence_entry &occurrence);

/// Returns the number of occurrences that are due and wait behind the window, as far as was known
/// when they were last looked at. Thread-safe for a constant job.
[[nodiscard]] int countDelayedOccurrences(const job_entry &job) noexcept;

/// Returns true if the store should learn which occurrences have been opened before the window
/// comes to its bound. Thread-safe for a constant job.
[[nodiscard]] bool needsProgressRecord(const job_entry &job) noexcept;

} // namespace ibishinge::fleet
