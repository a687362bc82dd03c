#pragma once

#include <ibishinge/decision/job_table.h>
#include <ibishinge/state/document_reader.h>

#include <string>
#include <string_view>

namespace ibishinge {

inline constexpr std::string_view jobPrefix = "job/";

/// Prefix of the notes by which entry processes tell a pool's owner what is new. The owner reads
/// the notes of its pools each tick, which costs in proportion to what changed; the records
/// themselves are only listed when a pool is taken over.
inline constexpr std::string_view jobNotePrefix = "job-note/";

/// Longest payload and reason of a job, in bytes.
inline constexpr std::size_t maxJobPayload = 64U << 10U;
inline constexpr std::size_t maxJobReason = 1024;

/// Bounds of what a job may declare.
inline constexpr std::int64_t maxJobProcessors = 100'000;
inline constexpr std::int64_t maxJobMemoryMb = 100'000'000;
inline constexpr std::int64_t maxJobAccelerators = 10'000;

/// Returns the key `job/<pool>/<queue>/<id>`; `name` is as `jobName` returns it. Thread-safe.
[[nodiscard]] std::string jobKey(std::string_view pool, std::string_view name);

enum class job_note : std::uint8_t {
    submitted, ///< written before the record; the value is the time in ms since 1970-01-01 UTC
    cancel, ///< the job shall be cancelled; the value is "{}"
};

/// Returns the key `job-note/<pool>/submitted|cancel/<queue>/<id>`. Thread-safe.
[[nodiscard]] std::string jobNoteKey(std::string_view pool, job_note kind, std::string_view name);

/// Thread-safe.
[[nodiscard]] std::string encodeJobRecord(const job_record &record);

/// Reads what `encodeJobRecord` wrote; unknown, missing and mistyped members are problems.
/// Thread-safe.
[[nodiscard]] document_result<job_record> decodeJobRecord(std::string_view text);

} // namespace ibishinge
