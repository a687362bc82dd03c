#pragma once

#include <ibishinge/fleet/queueing/forecast.h>
#include <ibishinge/fleet/tables.h>

#include <string>
#include <string_view>

namespace ibishinge::fleet {

/// Decision about a submitted job.
enum class admission_verdict : std::uint8_t {
    accept,
    later, ///< rejected for now
    never, ///< rejected for good: a task needs more than any host has
};

/// Why a submission is refused.
enum class refusal_cause : std::uint8_t {
    none,
    invalid, ///< its description is not valid
    past_deadline, ///< it arrived after its caller's time-out
    store_away,
    coordinator_behind,
    too_large, ///< a task needs more than any host has
    no_label, ///< no host has a required label
    evacuated, ///< the hosts that can run a task are evacuated
    forecast, ///< it cannot be in time
    job_memory, ///< the accepted jobs take too much memory
};

/// Returns the name of `cause` in logs and metrics. Thread-safe.
[[nodiscard]] std::string_view nameOf(refusal_cause cause) noexcept;

/// Result of `decideAdmission`.
struct admission_decision
{
    admission_verdict verdict = admission_verdict::accept;
    refusal_cause cause = refusal_cause::none;
    std::string reason; ///< why the job is rejected, for the caller; empty if it is accepted
    milliseconds predicted {0}; ///< estimated time until the job ends
    milliseconds objective {0}; ///< time until the job's objective
    milliseconds retryAfter {0}; ///< when a rejected job may be submitted again; 0: not set
};

/// Decides whether a job is accepted, by whether the hosts can run each of its steps, by the memory
/// of the accepted jobs and, if `judgement` is not null, by the forecast of its end; accepts if no
/// host is known yet, or not the capacity of each. Precondition: the job's estimates are set.
/// Thread-safe for constant tables.
[[nodiscard]] admission_decision decideAdmission(const fleet_tables &tables, const job_entry &job,
                                                 const queue_config &queue, instant now,
                                                 const forecast_judgement *judgement = nullptr);

} // namespace ibishinge::fleet
