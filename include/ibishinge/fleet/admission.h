#pragma once

#include <ibishinge/fleet/tables.h>

#include <string>

namespace ibishinge::fleet {

enum class admission_verdict : std::uint8_t {
    accept,
    later, ///< cannot end in time now
    never, ///< no worker can ever run one of its tasks
};

struct admission_decision
{
    admission_verdict verdict = admission_verdict::accept;
    std::string reason; ///< of a rejection
    milliseconds predicted {0}; ///< time until the job would end
    milliseconds objective {0};
    milliseconds retryAfter {0};
};

/// Decides whether a job is taken. Precondition: the job's estimates are set.
[[nodiscard]] admission_decision decideAdmission(const fleet_tables &tables, const job_entry &job,
                                                 const queue_config &queue, instant now);

} // namespace ibishinge::fleet
