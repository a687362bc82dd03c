#include <ibishinge/fleet/pool_load.h>

#include <ibishinge/fleet/placement.h>

#include <algorithm>

namespace ibishinge::fleet {

namespace {

/// Minimum share of its expected run time that a running task is assumed to need still, also after
/// it has exceeded that time.
constexpr double minimumRemainingShare = 0.2;

/// Adds the waiting tasks of a job, except long-running ones, to `load`.
void addWaitingWork(pool_load &load, const fleet_tables &tables, const job_entry &job)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto &spec = job.spec.steps[step];
            if (spec.longRunning || occurrence.unfinished[step] == 0) {
                continue;
            }
            const bool ready = isStepReady(job.spec, occurrence, static_cast<int>(step));
            const auto waiting =
                std::count_if(occurrence.steps[step].begin(), occurrence.steps[step].end(),
                              [](const auto &task) { return task.phase == task_phase::waiting; });
            const double each = expectedRunMs(tables, job.queue, spec)
                                * static_cast<double>(spec.need.cpuMillis) / 1000;
            (ready ? load.waitingWork : load.laterWork) += each * static_cast<double>(waiting);
            load.waitingTasks += ready ? static_cast<int>(waiting) : 0;
        }
    }
}

} // namespace

pool_load measurePool(const fleet_tables &tables, const std::string &pool, instant now)
{
    pool_load load;
    for (const auto &[id, worker] : tables.workers) {
        if (worker.entry.pool != pool || !isUsable(worker, now)) {
            continue;
        }
        ++load.workers;
        load.capacity += worker.entry.capacity.cpuMillis;
        for (const auto &key : worker.runs) {
            const auto &run = tables.runs.at(key);
            (run.longRunning ? load.longRunningHeld : load.batchHeld) += run.held.cpuMillis;
            const auto job = tables.jobs.find(key.task.job);
            if (run.longRunning || job == tables.jobs.end()) {
                continue;
            }
            const auto &step = job->second.spec.steps[static_cast<std::size_t>(key.task.step)];
            const double expected = expectedRunMs(tables, job->second.queue, step);
            const auto ran = static_cast<double>(since(run.orderedAt, now).count());
            load.runningWork += std::max(expected - ran, minimumRemainingShare * expected)
                                * static_cast<double>(run.held.cpuMillis) / 1000;
        }
    }
    for (const auto &[id, job] : tables.jobs) {
        const auto queue = tables.queues.find(job.queue);
        if (queue != tables.queues.end() && queue->second->pool == pool && !job.ending
            && !job.longRunning) {
            ++load.liveJobs;
            addWaitingWork(load, tables, job);
        }
    }
    return load;
}

} // namespace ibishinge::fleet
