#include <ibishinge/fleet/objective.h>

#include <algorithm>

namespace ibishinge::fleet {

namespace {

/// Factor on mean run times: a step ends with its slowest task, which takes longer than the mean.
constexpr double slowRunMargin = 1.1;

milliseconds wholeMs(double value)
{
    return milliseconds(static_cast<std::int64_t>(value));
}

/// Returns how long after it is due a job with this critical path should end.
milliseconds objectiveFor(const fleet_tables &tables, const job_entry &job, double criticalPath)
{
    const auto queue = tables.queues.find(job.queue);
    if (queue == tables.queues.end()) {
        return wholeMs(criticalPath);
    }
    return wholeMs(queue->second->objectiveFactor * criticalPath) + queue->second->objectiveSlack;
}

} // namespace

void observeRunTime(const fleet_tables &tables, job_entry &job, const task_name &name,
                    milliseconds duration)
{
    auto &occurrence = job.occurrences.at(name.occurrence);
    occurrence.runTimes.resize(occurrence.steps.size());
    auto &observed = occurrence.runTimes[static_cast<std::size_t>(name.step)];
    ++observed.runs;
    observed.meanMs += (static_cast<double>(duration.count()) - observed.meanMs) / observed.runs;
    updateObjective(tables, job, name.occurrence);
}

double expectedStepMs(const fleet_tables &tables, const job_entry &job,
                      const occurrence_entry &occurrence, std::size_t step)
{
    const bool observed = step < occurrence.runTimes.size() && occurrence.runTimes[step].runs > 0;
    const double mean = observed ? occurrence.runTimes[step].meanMs
                                 : expectedRunMs(tables, job.queue, job.spec.steps[step]);
    return mean * slowRunMargin;
}

milliseconds remainingTime(const fleet_tables &tables, const job_entry &job,
                           const occurrence_entry &occurrence, std::size_t step)
{
    const auto &steps = job.spec.steps;
    std::vector<double> ends(steps.size(), 0);
    double longest = 0;
    for (std::size_t i = step; i < steps.size(); ++i) {
        double begin = i == step ? 0 : -1;
        for (const int earlier : steps[i].after) {
            const auto end = ends[static_cast<std::size_t>(earlier)];
            begin = end > 0 ? std::max(begin, end) : begin;
        }
        if (begin >= 0) {
            ends[i] = begin + expectedStepMs(tables, job, occurrence, i);
            longest = std::max(longest, ends[i]);
        }
    }
    return wholeMs(longest);
}

void estimateJob(const fleet_tables &tables, job_entry &job)
{
    job.work = 0;
    for (const auto &step : job.spec.steps) {
        job.work += expectedRunMs(tables, job.queue, step) * step.count
                    * static_cast<double>(step.need.cpuMillis) / 1000;
    }
    const double criticalPath = criticalPathLength(job.spec, [&](const step_spec &step) {
        return expectedRunMs(tables, job.queue, step) * slowRunMargin;
    });
    job.criticalPath = wholeMs(criticalPath);
    job.objectiveAt = job.submittedAt + objectiveFor(tables, job, criticalPath);
}

void updateObjective(const fleet_tables &tables, job_entry &job, int occurrence)
{
    auto &entry = job.occurrences.at(occurrence);
    const double criticalPath = criticalPathLength(job.spec, [&](const step_spec &step) {
        const auto number = static_cast<std::size_t>(&step - job.spec.steps.data());
        return expectedStepMs(tables, job, entry, number);
    });
    const auto dueAfter =
        job.spec.repetitions == 0
            ? 0
            : job.spec.firstDueMs + occurrence * job.spec.intervalMs - job.acceptedWallMs;
    entry.objectiveAt = job.submittedAt + milliseconds(std::max<std::int64_t>(0, dueAfter))
                        + objectiveFor(tables, job, criticalPath);
}

} // namespace ibishinge::fleet
