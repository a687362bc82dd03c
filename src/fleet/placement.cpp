#include <ibishinge/fleet/placement.h>

#include <algorithm>
#include <tuple>

namespace ibishinge::fleet {

namespace {

/// Weights of a choice, in shares of a worker's processors: placing a task off its data or rack
/// costs more than any difference in load; the worker of a failed run is the last choice.
constexpr double dataRackBonus = 4;
constexpr double sameRackBonus = 2;
constexpr double avoidPenalty = 8;
constexpr double slowWorkerPenalty = 1.5;
constexpr double crowdedRackPenalty = 0.2; ///< a lasting task of the step on the same rack
constexpr double maintenancePenalty = 0.1; ///< its host will be emptied soon
constexpr double maintenancePenaltyLasting = 2;
/// A step ends with the slowest of its tasks, which takes somewhat longer than the mean.
constexpr double slowRunMargin = 1.1;

constexpr double mixedRunsPenalty = 0.3; ///< a serving task beside a filling one, or the reverse

bool hasLabel(const worker_entry &worker, const std::string &label)
{
    return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

/// Returns the last label, which names the rack.
const std::string &rackOf(const worker_entry &worker)
{
    static const std::string none;
    return worker.labels.empty() ? none : worker.labels.back();
}

int countRunsOfStep(const worker_status &worker, const waiting_step &where)
{
    const task_name first {where.job->id, where.occurrence, where.step, 0};
    int count = 0;
    for (auto run = worker.runs.lower_bound({first, 0}); run != worker.runs.end(); ++run) {
        const auto &task = run->task;
        if (task.job != first.job || task.occurrence != where.occurrence
            || task.step != where.step) {
            break;
        }
        ++count;
    }
    return count;
}

/// Where the runs of a step are, by rack.
std::map<std::string, int> countRunsByRack(const fleet_tables &tables, const waiting_step &where)
{
    std::map<std::string, int> racks;
    const task_name first {where.job->id, where.occurrence, where.step, 0};
    for (auto run = tables.runs.lower_bound({first, 0}); run != tables.runs.end(); ++run) {
        const auto &task = run->first.task;
        if (task.job != first.job || task.occurrence != where.occurrence
            || task.step != where.step) {
            break;
        }
        ++racks[rackOf(tables.workers.at(run->second.worker).entry)];
    }
    return racks;
}

/// Expected time from the start of `step` to the end of the job, with a margin for slow runs.
milliseconds remainingTime(const fleet_tables &tables, const job_entry &job, std::size_t step)
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
            ends[i] = begin + expectedRunMs(tables, job.queue, steps[i]);
            longest = std::max(longest, ends[i]);
        }
    }
    return milliseconds(static_cast<std::int64_t>(longest * slowRunMargin));
}

bool hasRunsOfClass(const fleet_tables &tables, const worker_status &worker, bool bestEffort)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&](const run_key &key) {
        const auto &run = tables.runs.at(key);
        return bestEffort ? run.bestEffort : run.serving;
    });
}

} // namespace

std::map<std::string, std::vector<waiting_step>> waitingSteps(fleet_tables &tables, instant now)
{
    struct row
    {
        std::tuple<int, instant> rank;
        waiting_step where;
    };
    std::map<std::string, std::vector<row>> rowsByPool;
    for (auto &[id, job] : tables.jobs) {
        if (!job.stored || job.ending) {
            continue;
        }
        const auto queue = tables.queues.find(job.queue);
        if (queue == tables.queues.end()) {
            continue;
        }
        for (const auto &[number, occurrence] : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                if (occurrence.unfinished[step] == 0
                    || !isStepReady(job.spec, occurrence, static_cast<int>(step))) {
                    continue;
                }
                const auto &tasks = occurrence.steps[step];
                const bool waits =
                    std::any_of(tasks.begin(), tasks.end(), [now](const task_entry &task) {
                        return task.phase == task_phase::waiting && task.notBefore <= now;
                    });
                if (!waits) {
                    continue;
                }
                // Lasting tasks earn all the time they run. A job that cannot be in time any more
                // earns little, and goes behind those that can: served by objective alone, a pool
                // in a rush would end every job a little late.
                const bool longRunning = job.spec.steps[step].longRunning;
                const auto need = longRunning ? milliseconds(0) : remainingTime(tables, job, step);
                const int rank = longRunning ? 0 : (now + need <= job.objectiveAt ? 1 : 2);
                rowsByPool[queue->second->pool].push_back(
                    {{rank, job.objectiveAt}, {&job, number, static_cast<int>(step)}});
            }
        }
    }
    std::map<std::string, std::vector<waiting_step>> steps;
    for (auto &[pool, rows] : rowsByPool) {
        std::stable_sort(rows.begin(), rows.end(),
                         [](const row &a, const row &b) { return a.rank < b.rank; });
        auto &ofPool = steps[pool];
        ofPool.reserve(rows.size());
        for (const auto &each : rows) {
            ofPool.push_back(each.where);
        }
    }
    return steps;
}

std::map<std::string, pool_candidates> candidatesByPool(fleet_tables &tables, instant now)
{
    std::map<std::string, pool_candidates> candidates;
    for (auto &[id, worker] : tables.workers) {
        if (isUsable(worker, now)) {
            candidates[worker.entry.pool].usable.push_back(&worker);
        }
    }
    return candidates;
}

bool isUsable(const worker_status &worker, instant now) noexcept
{
    return worker.registered && worker.verified && worker.onRoster && !worker.cordoned
           && worker.entry.state == worker_state::ready && worker.quarantinedUntil <= now;
}

bool isWithinLimit(const fleet_tables &tables, const std::string &customer, const resources &need)
{
    const auto rule = tables.config.customers.find(customer);
    if (rule == tables.config.customers.end()) {
        return true;
    }
    const auto found = tables.customerHeld.find(customer);
    const resources held = found == tables.customerHeld.end() ? resources {} : found->second;
    const resources after = held + need;
    const auto &limit = rule->second.limit;
    return (limit.cpuMillis == 0 || after.cpuMillis <= limit.cpuMillis)
           && (limit.memoryMb == 0 || after.memoryMb <= limit.memoryMb)
           && (limit.accelerators == 0 || after.accelerators <= limit.accelerators);
}

worker_status *chooseWorker(const fleet_tables &tables, pool_candidates &candidates,
                            const waiting_step &where, const task_entry &task,
                            const step_tickets *tickets)
{
    const auto &step = where.job->spec.steps[static_cast<std::size_t>(where.step)];
    const auto held = heldBy(step);
    if (!fits(held, candidates.maxFreeResources)) {
        return nullptr;
    }
    const auto racks = step.sameRack || step.longRunning ? countRunsByRack(tables, where)
                                                         : std::map<std::string, int> {};
    worker_status *best = nullptr;
    double bestScore = 0;
    resources largest;
    for (auto *const candidate : candidates.usable) {
        auto &worker = *candidate;
        const auto &id = worker.entry.id;
        const auto left = worker.entry.capacity - worker.held;
        largest = {std::max(largest.cpuMillis, left.cpuMillis),
                   std::max(largest.memoryMb, left.memoryMb),
                   std::max(largest.accelerators, left.accelerators)};
        if (!fits(held, left)
            || (!step.requiredLabel.empty() && !hasLabel(worker.entry, step.requiredLabel))
            || (tickets != nullptr && tickets->ticketByWorker.count(id) == 0)
            || (step.maxPerWorker > 0 && countRunsOfStep(worker, where) >= step.maxPerWorker)) {
            continue;
        }
        const auto &capacity = worker.entry.capacity;
        const double cores = std::max<double>(1, static_cast<double>(capacity.cpuMillis));
        // The fullest worker that has room: others stay free for large tasks, or to be given back.
        double score = static_cast<double>(worker.held.cpuMillis) / cores;
        score -= slowWorkerPenalty * std::max(0.0, worker.runTimeRatio - 1);
        if (!step.dataRack.empty() && hasLabel(worker.entry, step.dataRack)) {
            score += dataRackBonus;
        }
        const auto rack = racks.find(rackOf(worker.entry));
        if (rack != racks.end()) {
            score += step.sameRack ? sameRackBonus : -crowdedRackPenalty * rack->second;
        }
        if (worker.maintenanceDue) {
            score -= step.longRunning ? maintenancePenaltyLasting : maintenancePenalty;
        }
        if (id == task.avoidWorker) {
            score -= avoidPenalty;
        }
        const bool serving = step.tailTarget.count() > 0;
        if ((serving && hasRunsOfClass(tables, worker, true))
            || (step.bestEffort && hasRunsOfClass(tables, worker, false))) {
            score -= mixedRunsPenalty;
        }
        if (best == nullptr || score > bestScore) {
            best = &worker;
            bestScore = score;
        }
    }
    candidates.maxFreeResources = largest;
    return best;
}

} // namespace ibishinge::fleet
