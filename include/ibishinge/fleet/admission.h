#pragma once

#include <ibishinge/fleet/queueing/forecast.h>
#include <ibishinge/fleet/tables.h>

#include <string>

namespace ibishinge::fleet {

/// Decision about a submitted job.
enum class admission_verdict : std::uint8_t {
    accept,
    later, ///< rejected for now: no host has a required label, or it cannot be in time
    never, ///< rejected for good: a task needs more than any host has
};

/// Result of `decideAdmission`.
struct admission_decision
{
    admission_verdict verdict = admission_verdict::accept;
    std::string reason; ///< why the job is rejected; empty if it is accepted
    milliseconds predicted {0}; ///< estimated time until the job ends
    milliseconds objective {0}; ///< time until the job's objective
    milliseconds retryAfter {0}; ///< when a rejected job may be submitted again; 0: not set
};

/// Decides whether a job is accepted, by whether the hosts can run each of its steps and, if
/// `judgement` is not null, by the forecast of its end; accepts if no host is known yet, or not the
/// capacity of each. Precondition: the job's estimates are set. Thread-safe for constant tables.
[[nodiscard]] admission_decision decideAdmission(const fleet_tables &tables, const job_entry &job,
                                                 const queue_config &queue, instant now,
                                                 const forecast_judgement *judgement = nullptr);

} // namespace ibishinge::fleet
