#include <ibishinge/fleet/coordinator.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/base/processor_time.h>
#include <ibishinge/fleet/crash_isolation.h>
#include <ibishinge/fleet/placement.h>
#include <ibishinge/fleet/pool_load.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Interval at which the load of each pool is logged.
constexpr milliseconds summaryInterval {1000};

/// A task that has waited for longer than this is logged with the reason. At most so many are
/// looked at for each summary, as each look visits all workers.
constexpr milliseconds longWait {2000};
constexpr int maxWaitsExamined = 20;

/// Returns the value, or null if it is infinite.
nlohmann::json finiteOrNull(double value)
{
    return std::isfinite(value) ? nlohmann::json(value) : nlohmann::json();
}

} // namespace

nlohmann::json describeRun(const run_key &key)
{
    return {{"job", key.task.job},
            {"occurrence", key.task.occurrence},
            {"step", key.task.step},
            {"index", key.task.index},
            {"run", key.run}};
}

void coordinator::logSummary()
{
    const auto now = m_timers.now();
    m_nextSummaryAt = now + summaryInterval;
    for (const auto &[name, load] : measurePools(m_tables, now)) {
        if (m_tables.config.pools.at(name).spare) {
            continue;
        }
        logEvent(log_level::info, "pool_load",
                 {{"pool", name},
                  {"workers", load.workers},
                  {"capacity", load.capacity},
                  {"lasting", load.longRunningHeld},
                  {"batch", load.batchHeld},
                  {"waiting_core_ms", std::round(load.waitingWork)},
                  {"later_core_ms", std::round(load.laterWork)},
                  {"waiting_tasks", load.waitingTasks},
                  {"jobs", load.liveJobs}});
    }
    logShares();
    logCoordinatorLoad();
    logLearnedRunTimes();
    logBacklog();
    logWaitingTasks();
    logUnprovenRuns();
}

void coordinator::logShares()
{
    const auto capacities = usableCapacityByPool(m_tables, m_timers.now());
    for (const auto &[pool, use] : m_tables.poolUse) {
        const auto found = capacities.find(pool);
        const auto capacity = found == capacities.end() ? resources {} : found->second;
        for (const auto &[customer, held] : use.byCustomer) {
            m_metrics.set("ibishinge_customer_share", {{"pool", pool}, {"customer", customer}},
                          dominantShare(held, capacity));
        }
    }
    for (const auto &[pool, shares] : m_tables.shares) {
        auto above = nlohmann::json::array();
        for (const auto &[customer, share] : shares.customers) {
            if (isAboveShare(share)) {
                above.push_back({{"customer", customer},
                                 {"weight", share.weight},
                                 {"share", share.dominantShare},
                                 {"entitlement", finiteOrNull(share.entitlement)}});
            }
        }
        if (!above.empty()) {
            logEvent(log_level::info, "shares",
                     {{"pool", pool}, {"level", finiteOrNull(shares.level)}, {"above", above}});
        }
    }
}

void coordinator::logCoordinatorLoad()
{
    const auto now = m_timers.now();
    std::int64_t unstoredEnds = 0;
    milliseconds oldestUnstored {0};
    for (const auto &[id, worker] : m_tables.workers) {
        if (worker.processedEnd > worker.storedEnd) {
            unstoredEnds += worker.processedEnd - worker.storedEnd;
            oldestUnstored = std::max(oldestUnstored, since(worker.unstoredSince, now));
        }
    }
    auto processorUs = nlohmann::json::object();
    for (const auto kind : allWorkKinds) {
        const auto total = processorTimeUs(m_metrics, kind);
        auto &before = m_processorUsBefore[kind];
        processorUs[std::string(nameOf(kind))] = total - std::exchange(before, total);
    }
    m_metrics.set("ibishinge_coordinator_lag_seconds", {},
                  std::chrono::duration<double>(currentLag(m_load)).count());
    logEvent(log_level::info, "coordinator_load",
             {{"tick_delay_ms", std::exchange(m_longestTickDelay, milliseconds(0)).count()},
              {"lag_ms", currentLag(m_load).count()},
              {"answer_delay_ms", typicalDelay(m_answerDelay, now).count()},
              {"rejected_for_lag", std::exchange(m_rejectedForLag, 0)},
              {"tasks_per_second_limit", m_load.limiting ? std::round(m_load.tasksPerSecond) : 0},
              {"ends_unstored", unstoredEnds},
              {"end_unstored_ms", oldestUnstored.count()},
              {"ends_listed_again", std::exchange(m_endsListedAgain, 0)},
              {"reports", std::exchange(m_reports, 0)},
              {"processor_us", std::move(processorUs)},
              {"store_waiting", m_writer->waiting()},
              {"store_stalled_ms", m_writer->stalledFor().count()},
              {"submissions_open", std::exchange(m_unresolvedSubmissions, 0)},
              {"starts_unanswered", std::exchange(m_unansweredStarts, 0)},
              {"waiting_steps", m_waitingSteps},
              {"jobs", m_tables.jobs.size()},
              {"runs", m_tables.runs.size()}});
}

void coordinator::logLearnedRunTimes()
{
    for (const auto &[name, learned] : m_tables.statistics) {
        logEvent(log_level::info, "queue_learned",
                 {{"queue", name},
                  {"mean_run_ms", static_cast<std::int64_t>(learned.meanRunMs)},
                  {"runs", learned.samples}});
        m_metrics.set("ibishinge_learned_run_seconds", {{"queue", name}}, learned.meanRunMs / 1000);
    }
}

void coordinator::logWaitingTasks()
{
    const auto now = m_timers.now();
    int examined = 0;
    for (auto &entry : m_tables.jobs) {
        auto &job = entry.second;
        if (!job.stored || job.ending || m_tables.queues.count(job.queue) == 0) {
            continue;
        }
        for (const auto &[number, occurrence] : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto &tasks = occurrence.steps[step];
                const auto first = findFirst(tasks, [&](const task_entry &task) {
                    const auto since = std::max({task.waitsSince, m_startedAt, job.submittedAt});
                    return task.phase == task_phase::waiting && now - since > longWait;
                });
                if (!first || !isStepReady(job.spec, occurrence, static_cast<int>(step))) {
                    continue;
                }
                if (++examined > maxWaitsExamined) {
                    return;
                }
                logWaitingTask({&job, number, static_cast<int>(step)}, static_cast<int>(*first));
            }
        }
    }
}

void coordinator::logWaitingTask(const waiting_step &where, int index)
{
    const auto now = m_timers.now();
    const auto &job = *where.job;
    const task_name name {job.id, where.occurrence, where.step, index};
    const auto &queue = *m_tables.queues.at(job.queue);
    const auto &task = *findTask(m_tables, name);
    const auto known = job.tickets.find({where.occurrence, where.step});
    static const step_tickets none;
    const step_tickets *tickets = nullptr;
    if (queue.advice) {
        tickets = known == job.tickets.end() ? &none : &known->second;
    }
    const auto obstacles = countObstacles(m_tables, queue.pool, where, index, tickets, now);
    const bool poolIsFull =
        task.notBefore <= now && obstacles.count(start_obstacle::no_room) > 0
        && std::all_of(obstacles.begin(), obstacles.end(), [](const auto &each) {
               return each.first <= start_obstacle::no_room
                      && each.first != start_obstacle::not_on_roster;
           });
    const auto shares = m_tables.shares.find(queue.pool);
    const customer_share *share = nullptr;
    if (shares != m_tables.shares.end()) {
        const auto found = shares->second.customers.find(job.customer);
        share = found == shares->second.customers.end() ? nullptr : &found->second;
    }
    const bool byPriority = orderRulesByPool(m_tables).at(queue.pool).byPriority;
    if (poolIsFull && !byPriority && (share == nullptr || !isAboveShare(*share))) {
        return;
    }
    auto workers = nlohmann::json::object();
    for (const auto &[obstacle, count] : obstacles) {
        workers[std::string(nameOf(obstacle))] = count;
    }
    std::string reserved;
    for (const auto &[worker, status] : m_tables.workers) {
        if (status.reservedFor == name) {
            reserved = worker;
        }
    }
    const auto &spec = job.spec.steps[static_cast<std::size_t>(where.step)];
    const auto &waits = job.occurrences.at(where.occurrence).waits;
    const auto wait = static_cast<std::size_t>(where.step) < waits.size()
                          ? waits[static_cast<std::size_t>(where.step)]
                          : step_wait {};
    const auto waitsSince = std::max(wait.readySince, wait.lastStartAt);
    const auto stepWait = waitsSince == instant {} ? milliseconds(0) : since(waitsSince, now);
    const auto ownShare =
        share == nullptr ? nlohmann::json() : nlohmann::json(share->dominantShare);
    const auto entitlement = share == nullptr ? nlohmann::json() : finiteOrNull(share->entitlement);
    logEvent(log_level::info, "task_waits",
             {{"job", job.id},
              {"customer", job.customer},
              {"priority", queue.priority},
              {"share", ownShare},
              {"entitlement", entitlement},
              {"step_waits_ms", stepWait.count()},
              {"occurrence", where.occurrence},
              {"step", where.step},
              {"index", index},
              {"long_running", spec.longRunning},
              {"inherited", job.inherited},
              {"not_before_ms", std::max<std::int64_t>(0, (task.notBefore - now).count())},
              {"within_limit", isWithinLimit(m_tables, job.customer, heldBy(spec))},
              {"suspected", isSuspected(job, name)},
              {"crashes_stored", areCrashesStored(job, name)},
              {"reserved_worker", reserved},
              {"workers", workers}});
}

void coordinator::logUnprovenRuns()
{
    const auto now = m_timers.now();
    int lines = 0;
    for (const auto &[key, run] : m_tables.runs) {
        const auto &worker = m_tables.workers.at(run.worker);
        if (worker.verified || now - worker.reportAt < longWait) {
            continue;
        }
        if (++lines > maxWaitsExamined) {
            return;
        }
        const auto late = worker.unansweredStarts.find(key);
        const auto host = m_tables.hosts.find(worker.entry.host);
        const auto left = [now](instant until) {
            return std::max<std::int64_t>(0, (until - now).count());
        };
        logEvent(log_level::info, "run_unproven",
                 {{"job", key.task.job},
                  {"occurrence", key.task.occurrence},
                  {"step", key.task.step},
                  {"index", key.task.index},
                  {"run", key.run},
                  {"worker", run.worker},
                  {"registered", worker.registered},
                  {"phase", static_cast<int>(run.phase)},
                  {"orders", run.orders},
                  {"failed_polls", worker.failedPolls},
                  {"host", worker.entry.host},
                  {"host_listed", host != m_tables.hosts.end()},
                  {"worker_now", host == m_tables.hosts.end() ? "" : host->second.worker},
                  {"host_list_age_ms", since(m_tables.hostsReadAt, now).count()},
                  {"leases_left_ms", left(worker.leasesEndBy)},
                  {"late_start_left_ms",
                   late == worker.unansweredStarts.end() ? 0 : left(late->second.possibleUntil)}});
    }
}

} // namespace ibishinge::fleet
