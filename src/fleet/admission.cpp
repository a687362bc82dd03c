#include <ibishinge/fleet/admission.h>

#include <ibishinge/fleet/placement.h>

#include <algorithm>

namespace ibishinge::fleet {

admission_decision decideAdmission(const fleet_tables &tables, const job_entry &job,
                                   const queue_rule & /*queue*/, instant now)
{
    admission_decision decision;
    decision.objective = since(job.submittedAt, job.objectiveAt);
    decision.predicted = job.chain;
    static_cast<void>(tables);
    static_cast<void>(now);
    return decision;
}

} // namespace ibishinge::fleet
