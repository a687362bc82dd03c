#include <ibishinge/fleet/placement.h>

#include <ibishinge/fleet/advice.h>
#include <ibishinge/fleet/crash_isolation.h>
#include <ibishinge/fleet/late_orders.h>
#include <ibishinge/fleet/objective.h>

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Weights of the score of a worker, as fractions of its processors. Placing a task away from its
/// data or its rack costs more than any difference in load, and the worker on which the last run
/// failed is the last choice.
constexpr double dataRackBonus = 4;
constexpr double sameRackBonus = 2;
constexpr double avoidPenalty = 8;
constexpr double slowWorkerPenalty = 1.5;
/// For each long-running task of the step on the same rack.
constexpr double crowdedRackPenalty = 0.2;
constexpr double maintenancePenalty = 0.1; ///< the host is part of an unfinished maintenance wave
constexpr double maintenancePenaltyLasting = 2;

constexpr double mixedRunsPenalty = 0.3; ///< a serving and a best-effort task on the same worker

/// Returns the last label, which names the rack; empty if there are no labels.
const std::string &rackOf(const worker_entry &worker)
{
    static const std::string none;
    return worker.labels.empty() ? none : worker.labels.back();
}

/// Returns the number of runs of a step on a worker.
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

/// Returns the number of runs of a step by rack.
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

/// Returns true if the worker has best-effort runs, or serving runs if `bestEffort` is false.
bool hasRunsOfClass(const fleet_tables &tables, const worker_status &worker, bool bestEffort)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&](const run_key &key) {
        const auto &run = tables.runs.at(key);
        return bestEffort ? run.bestEffort : run.serving;
    });
}

constexpr std::array<std::pair<start_obstacle, std::string_view>, 14> obstacleNames {{
    {start_obstacle::unregistered, "unregistered"},
    {start_obstacle::silent, "silent"},
    {start_obstacle::not_on_roster, "not_on_roster"},
    {start_obstacle::cordoned, "cordoned"},
    {start_obstacle::evacuated, "evacuated"},
    {start_obstacle::draining, "draining"},
    {start_obstacle::quarantined, "quarantined"},
    {start_obstacle::no_room, "no_room"},
    {start_obstacle::wrong_label, "wrong_label"},
    {start_obstacle::no_ticket, "no_ticket"},
    {start_obstacle::ticket_denied, "ticket_denied"},
    {start_obstacle::step_limit, "step_limit"},
    {start_obstacle::crash_isolation, "crash_isolation"},
    {start_obstacle::late_acknowledgement, "late_acknowledgement"},
}};

/// Returns how long the step has had tasks that wait. Precondition: it has any now.
step_wait &waitOf(const job_entry &job, occurrence_entry &occurrence, std::size_t step, instant now)
{
    occurrence.waits.resize(occurrence.steps.size());
    auto &wait = occurrence.waits[step];
    if (wait.readySince == instant {}) {
        const bool sinceSubmission =
            !job.begun && job.spec.repetitions == 0 && job.spec.steps[step].after.empty();
        wait.readySince = sinceSubmission ? job.submittedAt : now;
    }
    return wait;
}

/// Returns the class of a step with waiting tasks. Precondition: its objective is set.
step_class classOf(const fleet_tables &tables, const job_entry &job,
                   const occurrence_entry &occurrence, std::size_t step, instant now)
{
    if (job.spec.steps[step].longRunning) {
        return step_class::long_running;
    }
    const auto need = remainingTime(tables, job, occurrence, step);
    return now + need <= *occurrence.objectiveAt ? step_class::timely : step_class::late;
}

/// Returns why a usable worker cannot be given tasks of a step even if other runs leave room there;
/// nothing if it can.
std::optional<start_obstacle> obstacleToStep(const worker_status &worker, const waiting_step &where,
                                             const step_tickets *tickets, instant now)
{
    const auto &step = where.job->spec.steps[static_cast<std::size_t>(where.step)];
    if (!fits(heldBy(step), worker.entry.capacity)) {
        return start_obstacle::no_room;
    }
    if (!step.requiredLabel.empty() && !hasLabel(worker.entry, step.requiredLabel)) {
        return start_obstacle::wrong_label;
    }
    if (tickets != nullptr && findTicket(*tickets, worker, now) == nullptr) {
        return isDenied(*tickets, worker) ? start_obstacle::ticket_denied
                                          : start_obstacle::no_ticket;
    }
    if (step.maxPerWorker > 0 && countRunsOfStep(worker, where) >= step.maxPerWorker) {
        return start_obstacle::step_limit;
    }
    // A long-running task is started again however its run has ended.
    if (!step.longRunning && mayForgetUnreadEnds(worker, now)) {
        return start_obstacle::late_acknowledgement;
    }
    return std::nullopt;
}

/// Returns why a usable worker cannot be given a task now; nothing if it can.
std::optional<start_obstacle> obstacleTo(const fleet_tables &tables, const worker_status &worker,
                                         const waiting_step &where, const task_name &name,
                                         const step_tickets *tickets, instant now)
{
    const auto &step = where.job->spec.steps[static_cast<std::size_t>(where.step)];
    if (!fits(heldBy(step), worker.entry.capacity - worker.held)) {
        return start_obstacle::no_room;
    }
    if (const auto obstacle = obstacleToStep(worker, where, tickets, now)) {
        return obstacle;
    }
    if (!permitsStart(tables, worker, name, isSuspected(*where.job, name), now)) {
        return start_obstacle::crash_isolation;
    }
    return std::nullopt;
}

} // namespace

std::string_view nameOf(start_obstacle obstacle) noexcept
{
    return std::find_if(obstacleNames.begin(), obstacleNames.end(),
                        [obstacle](const auto &row) { return row.first == obstacle; })
        ->second;
}

std::map<std::string, std::vector<waiting_step>> waitingSteps(fleet_tables &tables, instant now)
{
    const auto rules = orderRulesByPool(tables);
    std::map<std::string, std::vector<queued_step>> stepsByPool;
    // Found by address: the names of pools would be compared for each job.
    std::unordered_map<const queue_config *, std::pair<order_rules, std::vector<queued_step> *>>
        poolOfQueue;
    for (auto &[id, job] : tables.jobs) {
        if (!job.stored || job.ending || job.inherited) {
            continue;
        }
        const auto queue = tables.queues.find(job.queue);
        if (queue == tables.queues.end()) {
            continue;
        }
        auto &[rulesOfPool, ofPool] = poolOfQueue[queue->second];
        if (ofPool == nullptr) {
            rulesOfPool = rules.at(queue->second->pool);
            ofPool = &stepsByPool[queue->second->pool];
        }
        for (auto &[number, occurrence] : job.occurrences) {
            if (!occurrence.objectiveAt) {
                updateObjective(tables, job, number);
            }
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                if (occurrence.unfinished[step] == 0
                    || !isStepReady(job.spec, occurrence, static_cast<int>(step))) {
                    continue;
                }
                const auto &tasks = occurrence.steps[step];
                if (!hasPlaceable(tasks, now)) {
                    if (step < occurrence.waits.size()) {
                        occurrence.waits[step] = {};
                    }
                    continue;
                }
                auto &queued = ofPool->emplace_back();
                queued.where = {&job, number, static_cast<int>(step)};
                auto &key = queued.where.key;
                key.priority = queue->second->priority;
                key.objectiveAt = *occurrence.objectiveAt;
                key.stepClass = classOf(tables, job, occurrence, step, now);
                // What the order does not need is not looked at: the pass visits all live jobs.
                if (rulesOfPool.any()) {
                    const auto &spec = job.spec.steps[step];
                    const auto &wait = waitOf(job, occurrence, step, now);
                    queued.waitingTasks = static_cast<int>(countPlaceable(tasks, now));
                    queued.need = heldBy(spec);
                    queued.gang = spec.gang;
                    queued.waitsSince = std::max(wait.readySince, wait.lastStartAt);
                }
            }
        }
    }
    std::erase_if(stepsByPool, [](const auto &each) { return each.second.empty(); });
    return orderWaitingSteps(tables, std::move(stepsByPool), rules, now);
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
    return !obstacleOf(worker, now);
}

std::optional<start_obstacle> obstacleOf(const worker_status &worker, instant now) noexcept
{
    if (!worker.registered) {
        return start_obstacle::unregistered;
    }
    if (!worker.verified) {
        return start_obstacle::silent;
    }
    if (!worker.onRoster) {
        return start_obstacle::not_on_roster;
    }
    if (worker.cordoned) {
        return start_obstacle::cordoned;
    }
    if (worker.evacuated) {
        return start_obstacle::evacuated;
    }
    if (worker.entry.state != worker_state::ready) {
        return start_obstacle::draining;
    }
    if (worker.quarantinedUntil > now) {
        return start_obstacle::quarantined;
    }
    return std::nullopt;
}

bool canTakeTask(const fleet_tables &tables, const worker_status &worker, const waiting_step &where,
                 int index, const step_tickets *tickets, instant now)
{
    const task_name name {where.job->id, where.occurrence, where.step, index};
    return !obstacleTo(tables, worker, where, name, tickets, now);
}

bool isSuitable(const worker_status &worker, const waiting_step &where, const step_tickets *tickets,
                instant now)
{
    return !obstacleToStep(worker, where, tickets, now);
}

std::map<start_obstacle, int> countObstacles(const fleet_tables &tables, const std::string &pool,
                                             const waiting_step &where, int index,
                                             const step_tickets *tickets, instant now)
{
    const task_name name {where.job->id, where.occurrence, where.step, index};
    std::map<start_obstacle, int> counts;
    for (const auto &[id, worker] : tables.workers) {
        if (worker.entry.pool != pool) {
            continue;
        }
        auto obstacle = obstacleOf(worker, now);
        if (!obstacle) {
            obstacle = obstacleTo(tables, worker, where, name, tickets, now);
        }
        if (obstacle) {
            ++counts[*obstacle];
        }
    }
    return counts;
}

bool hasLabel(const worker_entry &worker, const std::string &label)
{
    return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
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
                            const waiting_step &where, int index, const step_tickets *tickets,
                            instant now)
{
    const task_name name {where.job->id, where.occurrence, where.step, index};
    const auto &task = taskAt(
        where.job->occurrences.at(where.occurrence).steps[static_cast<std::size_t>(where.step)],
        static_cast<std::size_t>(index));
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
        if (obstacleTo(tables, worker, where, name, tickets, now)) {
            continue;
        }
        const auto &capacity = worker.entry.capacity;
        const double cores = std::max<double>(1, static_cast<double>(capacity.cpuMillis));
        // Prefers the fullest worker with enough free resources, so that others stay free for large
        // tasks or can be moved to another pool.
        double score = static_cast<double>(worker.held.cpuMillis) / cores;
        score -= slowWorkerPenalty * std::max(0.0, worker.runTimeRatio - 1);
        if (!step.dataRack.empty() && hasLabel(worker.entry, step.dataRack)) {
            score += dataRackBonus;
        }
        if (!where.preferredRack.empty() && hasLabel(worker.entry, where.preferredRack)) {
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
