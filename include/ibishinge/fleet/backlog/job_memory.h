#pragma once

#include <ibishinge/fleet/tables.h>

#include <cstddef>
#include <optional>
#include <string>

namespace ibishinge::fleet {

/// Estimated memory that the jobs of all customers may take, in bytes. What they take beyond it,
/// open occurrences and runs, has bounds of its own. The smallest host grants a process 160 MB.
inline constexpr std::size_t maxJobMemory = 48'000'000;

/// Largest record of a job that the store takes for certain, in bytes.
inline constexpr std::size_t maxJobRecordBytes = 1'000'000;

/// Returns the estimated memory of a job with one open occurrence, in bytes: an upper bound for one
/// of which no task has been started. Thread-safe for a constant job.
[[nodiscard]] std::size_t memoryOf(const job_entry &job) noexcept;

/// Adds a job and counts its memory. Returns the job as held. Precondition: no job has its id. Not
/// thread-safe.
job_entry &addJob(fleet_tables &tables, job_entry job);

/// Removes a job, if there is one with this id, and its memory from the count. Returns true if
/// there was one. Not thread-safe.
bool removeJob(fleet_tables &tables, const std::string &id, instant now);

/// Returns the estimated memory of all jobs and of the final states that are kept, in bytes.
/// Thread-safe for constant tables.
[[nodiscard]] std::size_t usedJobMemory(const fleet_tables &tables) noexcept;

/// Returns when a job that takes `bytes` may be submitted again if there is no room for it now,
/// otherwise nothing. A customer may take as much as is then left for the others, so that there is
/// always room for a further customer. The time is that in which the jobs that have lately ended
/// freed as much as is missing. Thread-safe for constant tables.
[[nodiscard]] std::optional<milliseconds> limitJobMemory(const fleet_tables &tables,
                                                         const std::string &customer,
                                                         std::size_t bytes, instant now);

} // namespace ibishinge::fleet
