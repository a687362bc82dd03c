#include <ibishinge/fleet/admission.h>

#include <ibishinge/fleet/backlog/job_memory.h>

#include <algorithm>
#include <array>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Time after which a job is worth resubmitting if no host has its label: workers join within
/// seconds.
constexpr milliseconds missingLabelRetry {5000};

constexpr std::array<std::pair<refusal_cause, std::string_view>, 10> causeNames {{
    {refusal_cause::none, "none"},
    {refusal_cause::invalid, "invalid"},
    {refusal_cause::past_deadline, "past_deadline"},
    {refusal_cause::store_away, "store_away"},
    {refusal_cause::coordinator_behind, "coordinator_behind"},
    {refusal_cause::too_large, "too_large"},
    {refusal_cause::no_label, "no_label"},
    {refusal_cause::evacuated, "evacuated"},
    {refusal_cause::forecast, "forecast"},
    {refusal_cause::job_memory, "job_memory"},
}};

bool hasLabel(const std::vector<std::string> &labels, const std::string &label)
{
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

/// Result of comparing a step with the hosts.
struct step_fit
{
    bool anyFits = false; ///< a host is large enough
    bool anyLabelled = false; ///< a host is large enough and has the label
    bool hostsKnown = false; ///< at least one worker or host is known
    bool anyOpen = false; ///< a host is large enough, has the label and is not evacuated
    bool capacityMissing = false; ///< a worker's capacity is not known
};

/// Compares a step with the workers of its pool and with all hosts, because any host can be moved
/// to the pool.
step_fit compareWithHosts(const fleet_tables &tables, const step_spec &step,
                          const std::string &pool)
{
    step_fit fit;
    // Returns true once a host is found that can run the step.
    const auto consider = [&](const resources &capacity, const std::vector<std::string> &labels,
                              const std::string &dataCentre) {
        fit.hostsKnown = true;
        if (fits(heldBy(step), capacity) && step.need.cpuMillis <= capacity.cpuMillis) {
            fit.anyFits = true;
            const bool labelled = hasLabel(labels, step.requiredLabel);
            fit.anyLabelled = fit.anyLabelled || labelled;
            fit.anyOpen = labelled && !isEvacuated(tables.evacuation, dataCentre);
        }
        return fit.anyOpen;
    };
    for (const auto &[id, worker] : tables.workers) {
        if (worker.entry.pool != pool) {
            continue;
        }
        if (worker.entry.capacity == resources {}) {
            // Known by the roster only; its host may be listed.
            fit.capacityMissing =
                fit.capacityMissing || tables.hosts.find(worker.entry.host) == tables.hosts.end();
        } else if (consider(worker.entry.capacity, worker.entry.labels, worker.entry.dataCentre)) {
            return fit;
        }
    }
    for (const auto &[name, host] : tables.hosts) {
        if (consider(host.capacity, host.labels, host.dataCentre)) {
            return fit;
        }
    }
    return fit;
}

} // namespace

std::string_view nameOf(refusal_cause cause) noexcept
{
    return std::find_if(causeNames.begin(), causeNames.end(),
                        [cause](const auto &row) { return row.first == cause; })
        ->second;
}

admission_decision decideAdmission(const fleet_tables &tables, const job_entry &job,
                                   const queue_config &queue, instant now,
                                   const forecast_judgement *judgement)
{
    admission_decision decision;
    decision.objective = since(job.submittedAt, job.objectiveAt);
    decision.predicted = job.criticalPath;
    for (const auto &step : job.spec.steps) {
        const auto fit = compareWithHosts(tables, step, queue.pool);
        if (fit.capacityMissing) {
            continue;
        }
        if (fit.hostsKnown && !fit.anyFits) {
            decision.verdict = admission_verdict::never;
            decision.cause = refusal_cause::too_large;
            decision.reason = "a task needs more than any host has";
            return decision;
        }
        if (fit.hostsKnown && !fit.anyLabelled) {
            decision.verdict = admission_verdict::later;
            decision.cause = refusal_cause::no_label;
            decision.reason = "no host has the label " + step.requiredLabel;
            decision.retryAfter = missingLabelRetry;
            return decision;
        }
        if (fit.hostsKnown && !fit.anyOpen) {
            decision.verdict = admission_verdict::later;
            decision.cause = refusal_cause::evacuated;
            decision.reason = "the hosts that can run a task are evacuated";
            decision.retryAfter = missingLabelRetry;
            return decision;
        }
    }
    if (const auto retryAfter = limitJobMemory(tables, job.customer, memoryOf(job), now)) {
        decision.verdict = admission_verdict::later;
        decision.cause = refusal_cause::job_memory;
        decision.reason = "the jobs accepted before take too much memory";
        decision.retryAfter = *retryAfter;
        return decision;
    }
    if (judgement != nullptr && judgement->rejected) {
        decision.verdict = admission_verdict::later;
        decision.cause = refusal_cause::forecast;
        decision.reason = forecastReason;
        decision.retryAfter = judgement->retryAfter;
    }
    return decision;
}

} // namespace ibishinge::fleet
