#include <ibishinge/fleet/coordinator.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/fleet/crash_isolation.h>
#include <ibishinge/fleet/objective.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Time for which the rack of a group is kept while none of its tasks is placed: choosing one looks
/// at all racks of the pool, and waiting steps are visited up to every 4 ms.
constexpr milliseconds groupRackLifetime {200};

/// Time after the end of a wait at which it ends without a scheduling pass that places its tasks,
/// because the pool is full or the customer's limit is reached.
constexpr milliseconds endGrace {250};

task_name firstTaskOf(const waiting_step &where)
{
    return {where.job->id, where.occurrence, where.step, 0};
}

const step_spec &specOf(const waiting_step &where)
{
    return where.job->spec.steps[static_cast<std::size_t>(where.step)];
}

const task_list &tasksOf(const waiting_step &where)
{
    return where.job->occurrences.at(where.occurrence).steps[static_cast<std::size_t>(where.step)];
}

place_filter suitablePlaces(const waiting_step &where, const step_tickets *tickets, instant now)
{
    return [&where, tickets, now](const worker_status &worker) {
        return isSuitable(worker, where, tickets, now);
    };
}

/// Sets the exact bound of the free resources, unless a search in this pass has done so.
void boundFreeResources(pool_candidates &candidates)
{
    if (candidates.maxFreeResources.cpuMillis != std::numeric_limits<std::int64_t>::max()) {
        return;
    }
    resources largest;
    for (const auto *const worker : candidates.usable) {
        const auto left = worker->entry.capacity - worker->held;
        largest = {std::max(largest.cpuMillis, left.cpuMillis),
                   std::max(largest.memoryMb, left.memoryMb),
                   std::max(largest.accelerators, left.accelerators)};
    }
    candidates.maxFreeResources = largest;
}

/// Returns the last label, which names the rack, of the worker with the most runs of the step,
/// empty if there are none, and whether the step has runs in several racks.
std::pair<std::string, bool> rackOfRuns(const fleet_tables &tables, const waiting_step &where)
{
    std::map<std::string, int> racks;
    const auto first = firstTaskOf(where);
    for (auto run = tables.runs.lower_bound({first, 0}); run != tables.runs.end(); ++run) {
        const auto &task = run->first.task;
        if (task.job != first.job || task.occurrence != first.occurrence
            || task.step != first.step) {
            break;
        }
        const auto &labels = tables.workers.at(run->second.worker).entry.labels;
        ++racks[labels.empty() ? std::string() : labels.back()];
    }
    const auto most =
        std::max_element(racks.begin(), racks.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    return {most == racks.end() ? std::string() : most->first, racks.size() > 1};
}

} // namespace

coordinator::rack_visit coordinator::visitRack(waiting_step &where, pool_candidates &candidates,
                                               const step_tickets *tickets)
{
    rack_visit visit;
    const auto &step = specOf(where);
    if (m_settings.farFactor <= 0 || step.longRunning
        || (step.dataRack.empty() && !step.sameRack)) {
        return visit;
    }
    const auto now = m_timers.now();
    const auto first = firstTaskOf(where);
    auto &job = *where.job;
    const auto &queue = *m_tables.queues.at(job.queue);
    const auto known = m_rackWaits.find(first);
    if (known != m_rackWaits.end()) {
        known->second.placedNear = 0;
        known->second.placedFar = 0;
    }
    boundFreeResources(candidates);
    if (!fits(heldBy(step), candidates.maxFreeResources)) {
        return visit; // no task can be placed, in the rack or elsewhere
    }
    const auto &occurrence = job.occurrences.at(where.occurrence);
    const auto number = static_cast<std::size_t>(where.step);
    const auto &seen = m_tables.statistics[job.queue].distance;
    auto &question = visit.question;
    question.now = now;
    question.factor = farFactorOf(seen, m_settings.farFactor);
    const double meanMs = expectedStepMs(m_tables, job, occurrence, number);
    question.nearRunMs = nearRunMs(seen, meanMs, question.factor);
    // All that remains begins with this step, whose mean includes far runs.
    question.remaining = remainingTime(m_tables, job, occurrence, number)
                         - scaled(milliseconds(1), meanMs - question.nearRunMs);
    question.objectiveAt = *occurrence.objectiveAt;
    visit.runTime = scaled(milliseconds(1), question.nearRunMs);
    visit.tickets = tickets;
    visit.rack = step.dataRack;
    if (visit.rack.empty()) {
        visit.rack = chooseGroupRack(where, candidates, tickets, m_rackWaits[first]);
        where.preferredRack = visit.rack;
        if (visit.rack.empty()) {
            return visit;
        }
    }
    auto &wait = m_rackWaits[first];
    question.waited = wait.waitedBefore;
    question.waits = wait.since.has_value();
    if (wait.since) {
        question.waited += since(*wait.since, now);
    }
    visit.forecast = &forecastOf(queue.pool, visit.rack, candidates);
    if (!visit.forecast->places.empty()) {
        auto &demand = m_rackDemands[{queue.pool, visit.rack}];
        question.demand = demandShare(demand, visit.forecast->cores, now);
        if (!std::exchange(wait.counted, true)) {
            addDemand(demand,
                      question.nearRunMs * step.count * static_cast<double>(heldBy(step).cpuMillis)
                          / 1000,
                      now);
        }
    }
    const auto isSuitablePlace = suitablePlaces(where, tickets, now);
    question.hasWorker =
        std::any_of(visit.forecast->places.begin(), visit.forecast->places.end(),
                    [&](const auto &place) { return isSuitablePlace(*place.worker); });
    return visit;
}

std::string coordinator::chooseGroupRack(const waiting_step &where,
                                         const pool_candidates &candidates,
                                         const step_tickets *tickets, rack_wait &wait)
{
    const auto now = m_timers.now();
    const auto [placedIn, spread] = rackOfRuns(m_tables, where);
    wait.spread = wait.spread || spread;
    if (!placedIn.empty()) {
        wait.rack = placedIn;
        return wait.rack;
    }
    const auto &pool = m_tables.queues.at(where.job->queue)->pool;
    const bool lost = !wait.rack.empty() && forecastOf(pool, wait.rack, candidates).places.empty();
    if (!lost && now < wait.chosenAt + groupRackLifetime) {
        return wait.rack;
    }
    const auto &step = specOf(where);
    const task_group group {heldBy(step), static_cast<int>(countWaiting(tasksOf(where))),
                            step.maxPerWorker};
    std::set<std::string> racks;
    for (const auto *const worker : candidates.usable) {
        if (!worker->entry.labels.empty()) {
            racks.insert(worker->entry.labels.back());
        }
    }
    const auto isSuitablePlace = suitablePlaces(where, tickets, now);
    std::optional<std::pair<instant, std::int64_t>> best;
    wait.rack.clear();
    wait.chosenAt = now;
    for (const auto &rack : racks) {
        const auto &forecast = forecastOf(pool, rack, candidates);
        const auto at =
            whenAllFit(forecast, group, best ? best->first + milliseconds(1) : instant::max(),
                       isSuitablePlace);
        if (!at) {
            continue;
        }
        // Among equals the one with the least room, so that others stay free for larger groups.
        std::int64_t room = 0;
        for (const auto &place : forecast.places) {
            room += place.available.cpuMillis;
        }
        if (!best || std::pair(*at, room) < *best) {
            best = {*at, room};
            wait.rack = rack;
        }
    }
    return wait.rack;
}

rack_forecast &coordinator::forecastOf(const std::string &pool, const std::string &rack,
                                       const pool_candidates &candidates)
{
    const std::pair key(pool, rack);
    auto found = m_rackForecasts.find(key);
    if (found == m_rackForecasts.end()) {
        found = m_rackForecasts
                    .emplace(key, makeRackForecast(m_tables, candidates.usable, rack,
                                                   m_settings.farFactor, m_timers.now()))
                    .first;
    }
    return found->second;
}

bool coordinator::waitsForRack(rack_visit &visit, const waiting_step &where, int index)
{
    // A suspected task goes where the cause of a crash is clear. Once a task of the step is better
    // placed elsewhere, so are those after it, which would wait longer.
    const task_name name {where.job->id, where.occurrence, where.step, index};
    if (visit.forecast == nullptr || visit.reason != no_wait_reason::none
        || isSuspected(*where.job, name)) {
        return false;
    }
    const auto now = m_timers.now();
    auto &forecast = *visit.forecast;
    const auto &step = specOf(where);
    const task_group group {heldBy(step), step.gang ? step.count : 1, step.maxPerWorker};
    if (step.gang) {
        const auto &tasks = tasksOf(where);
        if (countPlaceable(tasks, now) < tasks.count) {
            return false;
        }
    }
    // The worker on which the last run failed is no reason to wait.
    const auto &avoided = taskAt(tasksOf(where), static_cast<std::size_t>(index)).avoidWorker;
    std::int64_t room = 0;
    for (const auto &place : forecast.places) {
        if (room < group.count && place.worker->entry.id != avoided
            && canTakeTask(m_tables, *place.worker, where, index, visit.tickets, now)) {
            room += countFitting(group, place.worker->entry.capacity - place.worker->held);
        }
    }
    auto &question = visit.question;
    question.expectedAt.reset();
    if (room >= group.count) {
        question.expectedAt = now;
    } else if (question.hasWorker) {
        const auto limit = latestPlace(question).first;
        const auto isSuitablePlace = [&](const worker_status &worker) {
            return worker.entry.id != avoided && isSuitable(worker, where, visit.tickets, now);
        };
        if (step.gang) {
            question.expectedAt = whenAllFit(forecast, group, limit, isSuitablePlace);
        }
        if (!step.gang || question.expectedAt) {
            for (int i = 0; i < group.count; ++i) {
                const auto at =
                    takePlace(forecast, group.need, visit.runTime, limit, isSuitablePlace);
                if (!step.gang) {
                    question.expectedAt = at;
                }
            }
        }
        // A run that is being stopped holds its resources until it has ended.
        if (question.expectedAt) {
            question.expectedAt = std::max(*question.expectedAt, now + milliseconds(1));
        }
    }
    const auto answer = decideRack(question);
    if (avoided.empty() || step.gang) {
        visit.reason = answer.reason;
    }
    if (answer.decision != rack_decision::wait) {
        return false;
    }
    ++visit.held;
    auto &wait = m_rackWaits[firstTaskOf(where)];
    wait.until = answer.until;
    if (!wait.since) {
        wait.rack = visit.rack;
        wait.since = now;
        wait.expected = since(now, *question.expectedAt);
        wait.cost = costOfDistance(question);
        wait.factor = question.factor;
        logEvent(log_level::info, "locality_wait",
                 {{"job", name.job},
                  {"occurrence", name.occurrence},
                  {"step", name.step},
                  {"rack", wait.rack},
                  {"expected_ms", wait.expected.count()},
                  {"cost_ms", wait.cost.count()},
                  {"factor", wait.factor}});
    }
    wakeForRack(answer.until);
    return true;
}

void coordinator::leaveRack(const rack_visit &visit, const waiting_step &where)
{
    if (visit.forecast == nullptr || visit.held > 0) {
        return;
    }
    const auto found = m_rackWaits.find(firstTaskOf(where));
    if (found == m_rackWaits.end() || !found->second.since) {
        return;
    }
    auto &wait = found->second;
    if (visit.reason != no_wait_reason::none || wait.placedFar > 0) {
        endRackWait(found->first, wait, "elsewhere", visit.reason);
    } else if (wait.placedNear > 0) {
        endRackWait(found->first, wait, "local", no_wait_reason::none);
    }
}

void coordinator::recordRackPlacement(const job_entry &job, const task_name &name,
                                      const worker_status &worker)
{
    if (m_rackForecasts.empty()) {
        return;
    }
    const auto &step = job.spec.steps[static_cast<std::size_t>(name.step)];
    const auto runTime =
        scaled(milliseconds(1), expectedStepMs(m_tables, job, job.occurrences.at(name.occurrence),
                                               static_cast<std::size_t>(name.step)));
    for (auto &[key, forecast] : m_rackForecasts) {
        if (key.first == worker.entry.pool) {
            recordPlacement(forecast, worker, heldBy(step), m_timers.now() + runTime);
        }
    }
    const auto wait = m_rackWaits.find({name.job, name.occurrence, name.step, 0});
    if (wait != m_rackWaits.end() && !wait->second.rack.empty()) {
        const bool isNear = hasLabel(worker.entry, wait->second.rack);
        ++(isNear ? wait->second.placedNear : wait->second.placedFar);
        wait->second.spread = wait->second.spread || !isNear;
    }
}

void coordinator::endRackWait(const task_name &step, rack_wait &wait, std::string_view outcome,
                              no_wait_reason reason)
{
    const auto waited = since(*wait.since, m_timers.now());
    wait.waitedBefore += waited;
    wait.since.reset();
    logEvent(log_level::info, "locality_wait",
             {{"job", step.job},
              {"occurrence", step.occurrence},
              {"step", step.step},
              {"rack", wait.rack},
              {"expected_ms", wait.expected.count()},
              {"cost_ms", wait.cost.count()},
              {"factor", wait.factor},
              {"waited_ms", waited.count()},
              {"outcome", outcome},
              {"reason", nameOf(reason)}});
    m_metrics.add("ibishinge_locality_waits_total", {{"outcome", std::string(outcome)}});
    m_metrics.observe("ibishinge_locality_wait_seconds", {}, waited);
}

void coordinator::checkRackWaits()
{
    const auto now = m_timers.now();
    std::map<std::string, std::set<std::string>> labels; // of usable workers, by pool
    if (!m_rackWaits.empty()) {
        for (const auto &[id, worker] : m_tables.workers) {
            if (isUsable(worker, now)) {
                labels[worker.entry.pool].insert(worker.entry.labels.begin(),
                                                 worker.entry.labels.end());
            }
        }
    }
    for (auto each = m_rackWaits.begin(); each != m_rackWaits.end();) {
        auto &[name, wait] = *each;
        const auto job = m_tables.jobs.find(name.job);
        const bool live = job != m_tables.jobs.end() && !job->second.ending
                          && job->second.occurrences.count(name.occurrence) > 0;
        if (wait.since) {
            const auto queue =
                live ? m_tables.queues.find(job->second.queue) : m_tables.queues.end();
            if (queue == m_tables.queues.end()
                || countWaiting(job->second.occurrences.at(name.occurrence)
                                    .steps[static_cast<std::size_t>(name.step)])
                       == 0) {
                endRackWait(name, wait, "abandoned", no_wait_reason::none);
            } else if (labels[queue->second->pool].count(wait.rack) == 0) {
                endRackWait(name, wait, "elsewhere", no_wait_reason::no_worker);
                requestSchedulingPass();
            } else if (wait.until + endGrace <= now) {
                endRackWait(name, wait, "elsewhere", no_wait_reason::bound);
                requestSchedulingPass();
            }
        }
        each = live ? std::next(each) : m_rackWaits.erase(each);
    }
}

void coordinator::wakeForRack(instant until)
{
    const auto now = m_timers.now();
    if (m_rackWakeAt > now && m_rackWakeAt <= until) {
        return;
    }
    m_rackWakeAt = until;
    callAfter(since(now, until), [this] { requestSchedulingPass(); });
}

void coordinator::observeRack(const job_entry &job, const task_name &name,
                              const worker_status &worker, milliseconds duration)
{
    const auto &step = job.spec.steps[static_cast<std::size_t>(name.step)];
    if (m_settings.farFactor <= 0 || step.estimate.count() <= 0) {
        return;
    }
    std::string rack = step.dataRack;
    bool spread = false;
    if (rack.empty() && step.sameRack) {
        const auto wait = m_rackWaits.find({name.job, name.occurrence, name.step, 0});
        if (wait != m_rackWaits.end()) {
            rack = wait->second.rack;
            spread = wait->second.spread;
        }
    }
    const bool isNear = hasLabel(worker.entry, rack);
    if (rack.empty() || (isNear && spread)) {
        return; // the tasks of a spread group may all be slower
    }
    observeDistance(m_tables.statistics[job.queue].distance, isNear,
                    static_cast<double>(duration.count())
                        / static_cast<double>(step.estimate.count()));
}

} // namespace ibishinge::fleet
