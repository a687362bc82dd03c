#include <ibishinge/fleet/pool_load.h>

#include <ibishinge/fleet/backlog/occurrence_window.h>
#include <ibishinge/fleet/placement.h>

#include <algorithm>

namespace ibishinge::fleet {

namespace {

/// Adds the tasks of the occurrences that wait behind the window of a job.
void addDelayedWork(pool_load &load, const fleet_tables &tables, const job_entry &job)
{
    const int delayed = countDelayedOccurrences(job);
    for (const auto &spec : job.spec.steps) {
        if (delayed > 0 && !spec.longRunning) {
            (spec.after.empty() ? load.waitingWork : load.laterWork) +=
                expectedRunMs(tables, job.queue, spec) * static_cast<double>(spec.need.cpuMillis)
                / 1000 * spec.count * delayed;
        }
    }
}

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
            const auto waiting = countWaiting(occurrence.steps[step]);
            const double each = expectedRunMs(tables, job.queue, spec)
                                * static_cast<double>(spec.need.cpuMillis) / 1000;
            (ready ? load.waitingWork : load.laterWork) += each * static_cast<double>(waiting);
            load.waitingTasks += ready ? static_cast<int>(waiting) : 0;
        }
    }
}

} // namespace

std::map<std::string, pool_load> measurePools(const fleet_tables &tables, instant now)
{
    std::map<std::string, pool_load> loads;
    for (const auto &[name, pool] : tables.config.pools) {
        loads[name];
    }
    for (const auto &[id, worker] : tables.workers) {
        const auto load = loads.find(worker.entry.pool);
        if (load == loads.end() || !isUsable(worker, now)) {
            continue;
        }
        ++load->second.workers;
        load->second.capacity += worker.entry.capacity.cpuMillis;
    }
    for (const auto &[key, run] : tables.runs) {
        const auto &worker = tables.workers.at(run.worker);
        const auto load = loads.find(worker.entry.pool);
        if (load != loads.end() && isUsable(worker, now)) {
            (run.longRunning ? load->second.longRunningHeld : load->second.batchHeld) +=
                run.held.cpuMillis;
        }
    }
    for (const auto &[id, job] : tables.jobs) {
        const auto queue = tables.queues.find(job.queue);
        if (queue == tables.queues.end() || job.ending || job.longRunning) {
            continue;
        }
        const auto load = loads.find(queue->second->pool);
        if (load != loads.end()) {
            ++load->second.liveJobs;
            addWaitingWork(load->second, tables, job);
            addDelayedWork(load->second, tables, job);
        }
    }
    return loads;
}

} // namespace ibishinge::fleet
