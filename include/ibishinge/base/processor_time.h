#pragma once

#include <ibishinge/base/metrics.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace ibishinge {

/// Kinds of work whose processor time is measured.
enum class work_kind : std::uint8_t {
    callers, ///< requests of callers, direct or forwarded
    relay_messages, ///< messages to and from relays, without the results that they carry
    worker_reports, ///< reports of workers
    scheduling,
    pool_sizing,
    maintenance, ///< lists of hosts and maintenance waves
    periodic_checks, ///< the other checks of all workers, runs and jobs
    progress, ///< writing the progress of jobs
};

inline constexpr std::array allWorkKinds {
    work_kind::callers,         work_kind::relay_messages, work_kind::worker_reports,
    work_kind::scheduling,      work_kind::pool_sizing,    work_kind::maintenance,
    work_kind::periodic_checks, work_kind::progress,
};

/// Returns the name of `kind` in logs and metrics. Thread-safe.
[[nodiscard]] std::string_view nameOf(work_kind kind) noexcept;

/// Adds the processor time that its thread uses during its lifetime to the counter
/// `ibishinge_processor_us_total`, in microseconds, labelled with the kind of work. Time within
/// nested scopes counts for these only. Scopes must be destroyed in the reverse order of their
/// construction, on the same thread.
class processor_time_scope
{
public:
    /// `metrics` must outlive the scope.
    processor_time_scope(metrics_registry &metrics, work_kind kind) noexcept;
    ~processor_time_scope();
    processor_time_scope(const processor_time_scope &) = delete;
    processor_time_scope &operator=(const processor_time_scope &) = delete;

private:
    metrics_registry &m_metrics;
    work_kind m_kind;
    processor_time_scope *m_outer;
    std::chrono::nanoseconds m_startedAt;
    std::chrono::nanoseconds m_inner {0}; ///< used by nested scopes
};

/// Returns the processor time counted for `kind` so far, in microseconds. Thread-safe.
[[nodiscard]] std::uint64_t processorTimeUs(const metrics_registry &metrics, work_kind kind);

} // namespace ibishinge
