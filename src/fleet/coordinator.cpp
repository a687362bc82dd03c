#include <ibishinge/fleet/coordinator.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/base/processor_time.h>
#include <ibishinge/fleet/advice.h>
#include <ibishinge/fleet/crash_isolation.h>
#include <ibishinge/fleet/late_orders.h>
#include <ibishinge/fleet/placement.h>
#include <ibishinge/fleet/record_codec.h>

#include <algorithm>
#include <utility>

namespace ibishinge::fleet {

namespace {

constexpr milliseconds tickInterval {100};
/// Interval of the timers that show how late the event loop runs, and the number of those that are
/// pending: a loop that is far behind would run a single one too seldom.
constexpr milliseconds lagProbeInterval {25};
constexpr int lagProbes = 20;
/// Delay of workers' answers that counts as a lag of `lagTarget`: half of the objective's usual
/// slack of 600 ms, and less than the time-out of an order, beyond which orders are repeated.
constexpr milliseconds answerDelayTarget {300};
/// A tick that is later than this shows that the process or its host was stalled.
constexpr milliseconds processStallThreshold {500};

/// Minimum interval between scheduling passes. Events within it share one pass, as a pass visits
/// all live jobs.
constexpr milliseconds schedulingPassInterval {4};
/// The interval between scheduling passes grows by 1 ms for each group of waiting steps of this
/// size, which bounds the cost of the passes. While many steps wait, the pool is full, and a start
/// has to wait for free resources anyway.
constexpr std::size_t waitingStepsPerMs = 16;
constexpr milliseconds maxSchedulingPassInterval {25};

/// Shares of the process's time for scheduling passes, and for the periodic checks that can wait,
/// and their longest pauses. A pause is part of the time that tasks wait for their start, or hosts
/// for their move.
constexpr double passShare = 1.0 / 3;
constexpr milliseconds longestPassPause {200};
constexpr double checkShare = 0.2;
constexpr milliseconds longestCheckPause {500};

/// Maximum number of starts for a pool before replies are handled again, so that a burst of starts
/// does not delay lease renewals.
constexpr int maxStartsPerPass = 64;

/// Number of run numbers reserved for each term, so that the runs of a later term have higher
/// numbers.
constexpr std::int64_t runsPerTerm = 100000;

} // namespace

std::shared_ptr<coordinator> coordinator::make(platform_api &platform, worker_calls &workers,
                                               scheduler &timers, metrics_registry &metrics,
                                               const coordinator_settings &settings,
                                               leadership lead, configuration config,
                                               std::function<void()> onLeadershipLost)
{
    return std::shared_ptr<coordinator>(
        new coordinator(platform, workers, timers, metrics, settings, std::move(lead),
                        std::move(config), std::move(onLeadershipLost)));
}

coordinator::coordinator(platform_api &platform, worker_calls &workers, scheduler &timers,
                         metrics_registry &metrics, const coordinator_settings &settings,
                         leadership lead, configuration config,
                         std::function<void()> onLeadershipLost)
    : m_platform(platform)
    , m_workerCalls(workers)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_leadership(std::move(lead))
    , m_onLeadershipLost(std::move(onLeadershipLost))
    , m_startedAt(timers.now())
    , m_passBudget {passShare, longestPassPause, {}}
    , m_checkBudget {checkShare, longestCheckPause, {}}
{
    setConfiguration(m_tables, std::move(config));
    m_tables.evacuation.bound = settings.evacuationBound;
    m_tables.ordersByShare = settings.shareOrder;
}

void coordinator::start()
{
    m_writer =
        std::make_unique<record_writer>(m_platform, m_timers, m_leadership.record,
                                        m_settings.maxConcurrentWrites, [weak = weak_from_this()] {
                                            const auto self = weak.lock();
                                            if (self && !self->m_closed) {
                                                self->close();
                                                self->m_onLeadershipLost();
                                            }
                                        });
    loadRecords();
    followEvacuations();
    m_tickDueAt = m_timers.now() + tickInterval;
    callAfter(tickInterval, [this] { tick(); });
    for (int i = 1; i <= lagProbes; ++i) {
        measureLag(m_timers.now() + lagProbeInterval * i);
    }
}

void coordinator::measureLag(instant due)
{
    callAfter(std::max(since(m_timers.now(), due), milliseconds(0)), [this, due] {
        const auto now = m_timers.now();
        if (m_loaded) {
            // Answers wait on a full link while the event loop is idle.
            const auto linkLag =
                typicalDelay(m_answerDelay, now) * lagTarget.count() / answerDelayTarget.count();
            recordLag(m_load, std::max(since(due, now), linkLag), now);
        }
        const auto missed = since(due, now) / (lagProbeInterval * lagProbes);
        measureLag(due + lagProbeInterval * lagProbes * (missed + 1));
    });
}

void coordinator::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_evacuationReader.reset();
    m_platform.cancelPageReads();
    m_writer->close();
    for (auto &[id, handlers] : std::exchange(m_submitWaiters, {})) {
        for (const auto &done : handlers) {
            done({answer_kind::outcome_unknown, {}, 0, "the coordinator was replaced", {}, 0});
        }
    }
    // A cancellation can be repeated, so the entry process asks the next coordinator.
    for (auto &[id, handlers] : std::exchange(m_cancelWaiters, {})) {
        for (const auto &done : handlers) {
            done({answer_kind::not_ready, {}, 0, "the coordinator was replaced", {}, 0});
        }
    }
}

void coordinator::extendLeadership(instant until)
{
    const bool wasSuspended = !mayIssueOrders();
    m_leadershipProvenUntil = std::max(m_leadershipProvenUntil, until);
    if (wasSuspended && mayIssueOrders() && m_loaded) {
        logEvent(log_level::info, "coordinator_resumed", {{"term", m_leadership.term}});
        requestSchedulingPass();
    }
}

bool coordinator::mayIssueOrders() const
{
    return !m_closed && !m_suspended && m_timers.now() < m_leadershipProvenUntil;
}

bool coordinator::mayIssueStarts() const
{
    return mayIssueOrders() && permitsStarts(m_tables.evacuation, m_timers.now());
}

bool coordinator::isServing() const
{
    return m_loaded && mayIssueOrders();
}

milliseconds coordinator::storeStalledFor() const
{
    return m_writer->stalledFor();
}

instant coordinator::storeAnsweredAt() const
{
    return std::max(m_writer->answeredAt(), m_pageReadAt);
}

void coordinator::callAfter(milliseconds delay, std::function<void()> function)
{
    m_timers.after(delay, [weak = weak_from_this(), function = std::move(function)] {
        const auto self = weak.lock();
        if (self && !self->m_closed) {
            function();
        }
    });
}

void coordinator::onConfiguration(const configuration &config)
{
    if (config.version <= m_tables.config.version) {
        return;
    }
    setConfiguration(m_tables, config);
    requestSchedulingPass();
}

bool coordinator::detectProcessStall()
{
    const auto now = m_timers.now();
    const bool processStalled = now - m_tickDueAt > processStallThreshold;
    if (processStalled) {
        m_lastProcessStallAt = now;
    }
    return processStalled;
}

void coordinator::tick()
{
    const auto now = m_timers.now();
    const auto delay = now - m_tickDueAt;
    const bool processStalled = detectProcessStall();
    if (processStalled) {
        logEvent(log_level::warning, "stood_still", {{"tick_delay_ms", delay.count()}});
    }
    const processor_time_scope used(m_metrics, work_kind::periodic_checks);
    m_longestTickDelay = std::max(m_longestTickDelay, delay);
    m_tickDueAt = now + tickInterval;
    callAfter(tickInterval, [this] { tick(); });
    logTakeover();
    if (!mayIssueOrders() || processStalled) {
        pauseSizing(m_sizing, now);
    }
    if (!mayIssueOrders()) {
        return;
    }
    for (auto &[id, worker] : m_tables.workers) {
        pollIfDue(worker);
    }
    expireWorkers();
    if (!m_loaded) {
        return;
    }
    checkEvacuationAge();
    checkRuns();
    evacuateDrainingWorkers();
    for (const auto &id : endObservations(m_tables)) {
        markDirty(id);
    }
    adjustThrottling();
    checkRackWaits();
    openOccurrences();
    releaseInheritedTasks(); // the leases of silent workers may have ended
    if (now >= m_checkBudget.notBefore) {
        const auto begin = m_timers.now();
        runDeferrableChecks();
        chargeWork(m_checkBudget, begin, m_timers.now());
    }
    requestSchedulingPass();
}

void coordinator::runDeferrableChecks()
{
    const auto now = m_timers.now();
    stopStuckRuns();
    if (now >= m_nextWaveReadAt) {
        readWaves();
    }
    maintainHosts();
    resizePools();
    if (now >= m_nextPruneAt) {
        pruneEnded();
    }
    if (now >= m_nextSummaryAt) {
        logSummary();
    }
}

void coordinator::requestSchedulingPass()
{
    if (m_schedulingPassPending) {
        return;
    }
    m_schedulingPassPending = true;
    const milliseconds backOff(static_cast<std::int64_t>(m_waitingSteps / waitingStepsPerMs));
    const auto earliest =
        std::max(m_lastSchedulingPassAt
                     + std::min(schedulingPassInterval + backOff, maxSchedulingPassInterval),
                 m_passBudget.notBefore);
    const auto now = m_timers.now();
    callAfter(earliest > now ? earliest - now : milliseconds(0), [this] {
        m_schedulingPassPending = false;
        m_lastSchedulingPassAt = m_timers.now();
        runSchedulingPass();
        if (currentLag(m_load) > lagTarget / 2) {
            chargeWork(m_passBudget, m_lastSchedulingPassAt, m_timers.now());
        }
    });
}

void coordinator::runSchedulingPass()
{
    if (!isServing() || !mayIssueStarts()) {
        return;
    }
    const processor_time_scope used(m_metrics, work_kind::scheduling);
    if (m_windowMoved) {
        openOccurrences();
    }
    const auto now = m_timers.now();
    const auto waiting = waitingSteps(m_tables, now);
    m_waitingSteps = 0;
    for (const auto &[name, steps] : waiting) {
        m_waitingSteps += steps.size();
    }
    if (waiting.empty()) {
        return;
    }
    removeStaleReservations(m_tables);
    m_rackForecasts.clear();
    auto candidatesOfPools = candidatesByPool(m_tables, now);
    for (const auto &[name, steps] : waiting) {
        const auto pool = m_tables.config.pools.find(name);
        if (pool != m_tables.config.pools.end() && !pool->second.spare) {
            scheduleWaitingSteps(steps, candidatesOfPools[name]);
        }
    }
    if (m_windowMoved) {
        requestSchedulingPass();
    }
}

void coordinator::scheduleWaitingSteps(const std::vector<waiting_step> &steps,
                                       pool_candidates &candidates)
{
    const auto now = m_timers.now();
    int starts = 0;
    for (auto waitingStep : steps) {
        auto &job = *waitingStep.job;
        const auto &queue = *m_tables.queues.at(job.queue);
        const auto &step = job.spec.steps[static_cast<std::size_t>(waitingStep.step)];
        const step_tickets *tickets = nullptr;
        if (queue.advice) {
            tickets = &job.tickets[{waitingStep.occurrence, waitingStep.step}];
            if (!hasTicket(*tickets, now)) {
                requestTickets(waitingStep, candidates, advice_scope::suitable);
                continue;
            }
        }
        auto rack = visitRack(waitingStep, candidates, tickets);
        if (step.gang) {
            if (!waitsForRack(rack, waitingStep, 0)) {
                startGang(waitingStep, candidates);
            }
            leaveRack(rack, waitingStep);
            continue;
        }
        auto &tasks = job.occurrences.at(waitingStep.occurrence)
                          .steps[static_cast<std::size_t>(waitingStep.step)];
        auto placed = nlohmann::json::array();
        int startsOfStep = 0;
        for (std::size_t index = 0; index < tasks.count; ++index) {
            const auto &task = taskAt(tasks, index);
            const task_name name {job.id, waitingStep.occurrence, waitingStep.step,
                                  static_cast<int>(index)};
            if (task.phase != task_phase::waiting || task.notBefore > now
                || !areCrashesStored(job, name) || hasRun(m_tables, name)) {
                continue;
            }
            if (!isWithinLimit(m_tables, job.customer, heldBy(step))) {
                break;
            }
            if (waitsForRack(rack, waitingStep, name.index)) {
                continue; // others of the step may be started elsewhere
            }
            auto *worker =
                chooseWorker(m_tables, candidates, waitingStep, name.index, tickets, now);
            if (worker == nullptr && tickets != nullptr) {
                requestTickets(waitingStep, candidates, advice_scope::ready);
            }
            if (worker == nullptr && isSuspected(job, name)) {
                reserveWorker(m_tables, candidates, waitingStep, name, tickets, now);
                continue; // others of the step may be started
            }
            if (worker == nullptr || !ensurePoolStored(job, worker->entry.pool)) {
                break;
            }
            const auto proof =
                tickets != nullptr ? *findTicket(*tickets, *worker, now) : std::string();
            const auto run =
                (m_leadership.term - 1) * runsPerTerm + ++changeTask(tasks, index).startsInTerm;
            placed.push_back({index, worker->entry.id, run});
            startTask(waitingStep, name, *worker, proof, run);
            ++startsOfStep;
            if (++starts >= maxStartsPerPass || startsOfStep >= waitingStep.maxTasks) {
                break;
            }
        }
        leaveRack(rack, waitingStep);
        if (!placed.empty()) {
            logEvent(log_level::info, "tasks_placed",
                     {{"job", job.id},
                      {"occurrence", waitingStep.occurrence},
                      {"step", waitingStep.step},
                      {"waited_ms", since(job.submittedAt, now).count()},
                      {"index_worker_run", placed}});
        }
        if (starts >= maxStartsPerPass) {
            requestSchedulingPass();
            return;
        }
    }
}

bool coordinator::startTask(const waiting_step &where, const task_name &name, worker_status &worker,
                            const std::string &proof, std::int64_t run)
{
    auto &job = *where.job;
    auto &task = *changeTask(m_tables, name);
    const auto now = m_timers.now();
    auto &waits = job.occurrences.at(where.occurrence).waits;
    if (!waits.empty()) { // the configuration asks for shares or priorities
        auto &wait = waits[static_cast<std::size_t>(where.step)];
        m_metrics.observe("ibishinge_wait_seconds", {{"customer", job.customer}},
                          now - std::max(wait.readySince, task.waitsSince));
        wait.lastStartAt = now;
    }
    auto entry = makeRun(job, {name, run}, worker.entry.id);
    entry.orderedAt = now;
    entry.progressAt = now;
    entry.checkpoint = task.checkpoint;
    entry.ticket = proof;
    entry.pastBound = !where.key.withinBound;
    const bool suspected = entry.observed;
    addRun(m_tables, std::move(entry));
    recordRackPlacement(job, name, worker);
    task.phase = task_phase::placed;
    task.currentRun = run;
    job.begun = true;
    job.state = job_state::running;
    m_windowMoved = m_windowMoved || job.spec.repetitions > 1;
    if (suspected) {
        task.suspectRun = {worker.entry.id, worker.incarnation, run};
        startWhenStored({name, run});
    } else {
        startWhenContacted({name, run});
    }
    return true;
}

void coordinator::startWhenStored(const run_key &key)
{
    m_tables.runs.at(key).callPending = true;
    write_unit unit = progressUnit(m_tables.jobs.at(key.task.job));
    unit.done = [this, key](const result<void> &stored) {
        const auto run = m_tables.runs.find(key);
        if (m_closed || !stored || run == m_tables.runs.end()
            || run->second.phase != run_phase::starting) {
            return;
        }
        run->second.callPending = false;
        if (mayIssueStarts()) {
            startWhenContacted(key); // otherwise `checkRuns` sends it
        }
    };
    m_writer->add(key.task.job, std::move(unit));
}

void coordinator::startGang(const waiting_step &waitingStep, pool_candidates &candidates)
{
    auto &job = *waitingStep.job;
    const int occurrence = waitingStep.occurrence;
    const int stepNumber = waitingStep.step;
    const auto now = m_timers.now();
    const auto &step = job.spec.steps[static_cast<std::size_t>(stepNumber)];
    const auto &queue = *m_tables.queues.at(job.queue);
    auto &tasks = job.occurrences.at(occurrence).steps[static_cast<std::size_t>(stepNumber)];
    const task_name first {job.id, occurrence, stepNumber, 0};
    if (!areCrashesStored(job, first)) {
        return;
    }
    std::int64_t starts = 0;
    auto member = first;
    for (std::size_t index = 0; index < tasks.count; ++index) {
        const auto &task = taskAt(tasks, index);
        if (!isPlaceable(task, now) || hasRun(m_tables, member)) {
            return;
        }
        ++member.index;
        starts = std::max(starts, task.startsInTerm);
    }
    resources all;
    for (int i = 0; i < step.count; ++i) {
        all = all + heldBy(step);
    }
    if (!isWithinLimit(m_tables, job.customer, all)) {
        return;
    }
    const step_tickets *tickets =
        queue.advice ? &job.tickets.at({occurrence, stepNumber}) : nullptr;
    const auto run = (m_leadership.term - 1) * runsPerTerm + starts + 1;
    // All members are added as runs before any is started, so that the choice of a worker for one
    // member counts the resources of the members before it.
    std::vector<run_key> placed;
    const auto freeResourcesBefore = candidates.maxFreeResources;
    for (std::size_t index = 0; index < tasks.count; ++index) {
        auto *worker =
            chooseWorker(m_tables, candidates, waitingStep, static_cast<int>(index), tickets, now);
        if (worker == nullptr) {
            for (const auto &key : placed) {
                removeRun(m_tables, key);
            }
            if (isSuspected(job, first)) {
                reserveWorker(m_tables, candidates, waitingStep, first, tickets, now);
            }
            // Removing the runs has freed their resources, so that a smaller task may still fit.
            candidates.maxFreeResources = freeResourcesBefore;
            if (tickets != nullptr) {
                requestTickets(waitingStep, candidates, advice_scope::ready);
            }
            return;
        }
        const run_key key {{job.id, occurrence, stepNumber, static_cast<int>(index)}, run};
        placed.push_back(key);
        addRun(m_tables, makeRun(job, key, worker->entry.id));
    }
    if (!ensurePoolStored(job, queue.pool)) {
        for (const auto &key : placed) {
            removeRun(m_tables, key);
        }
        candidates.maxFreeResources = freeResourcesBefore;
        return;
    }
    for (const auto &key : placed) {
        auto &worker = m_tables.workers.at(m_tables.runs.at(key).worker);
        const auto proof = tickets != nullptr ? *findTicket(*tickets, worker, now) : std::string();
        removeRun(m_tables, key);
        changeTask(tasks, static_cast<std::size_t>(key.task.index)).startsInTerm = starts + 1;
        startTask(waitingStep, key.task, worker, proof, run);
    }
}

bool coordinator::ensurePoolStored(job_entry &job, const std::string &pool)
{
    if (pool == job.pool) {
        return true;
    }
    const auto [found, added] = job.otherPools.try_emplace(pool, false);
    if (added) {
        write_unit unit = progressUnit(job);
        unit.done = [this, id = job.id, pool](const result<void> &stored) {
            const auto live = m_tables.jobs.find(id);
            if (!m_closed && stored && live != m_tables.jobs.end()) {
                live->second.otherPools[pool] = true;
                requestSchedulingPass();
            }
        };
        m_writer->add(job.id, std::move(unit));
    }
    return found->second;
}

void coordinator::requestTickets(const waiting_step &where, const pool_candidates &candidates,
                                 advice_scope scope)
{
    const auto &step = where.job->spec.steps[static_cast<std::size_t>(where.step)];
    const bool further = scope == advice_scope::ready;
    auto &tickets = where.job->tickets[{where.occurrence, where.step}];
    const auto now = m_timers.now();
    if (tickets.openCall || tickets.nextRequestAt > now
        || (further
            && (m_furtherAdvicePending || !fits(heldBy(step), candidates.maxFreeResources)))) {
        return;
    }
    const auto workers = workersToAskAbout(m_tables, candidates, where, tickets, scope, now);
    if (workers.empty()) {
        return;
    }
    recordAdviceCall(tickets, m_tables, workers, now);
    m_furtherAdvicePending = m_furtherAdvicePending || further;
    const task_name first {where.job->id, where.occurrence, where.step, 0};
    m_platform.requestTickets(
        first.job, first.occurrence, first.step, workers,
        unlessClosed<ticket_reply>([this, first, further](const result<ticket_reply> &answer) {
            m_furtherAdvicePending = m_furtherAdvicePending && !further;
            onAdvice(first, answer);
        }));
}

void coordinator::onAdvice(const task_name &first, const result<ticket_reply> &answer)
{
    const auto job = m_tables.jobs.find(first.job);
    if (job == m_tables.jobs.end()) {
        return;
    }
    const auto found = job->second.tickets.find({first.occurrence, first.step});
    if (found == job->second.tickets.end()) {
        return; // the occurrence is complete
    }
    auto &tickets = found->second;
    const auto now = m_timers.now();
    nlohmann::json line = {{"job", first.job},
                           {"occurrence", first.occurrence},
                           {"step", first.step},
                           {"asked", tickets.openCall->incarnations.size()},
                           {"took_ms", since(tickets.openCall->sentAt, now).count()}};
    recordAdvice(tickets, answer, now);
    if (!answer) {
        line["error"] = describe(answer.error());
        logEvent(log_level::warning, "advice_failed", line);
        return;
    }
    line["granted"] = answer->tickets.size();
    logEvent(log_level::info, "advice", line);
    requestSchedulingPass();
}

void coordinator::expireWorkers()
{
    const auto now = m_timers.now();
    std::vector<run_key> expired;
    std::vector<std::string> crashed;
    std::vector<std::string> gone;
    for (auto &[id, worker] : m_tables.workers) {
        if (worker.leasesEndBy > now) {
            continue;
        }
        // Most workers without a lease are idle; the search for a successor visits all others.
        const bool hasEnded = !worker.runs.empty() && (worker.ended || hasSuccessor(worker));
        const auto isHeld = [&, &worker = worker](const auto &key) {
            const bool reachable = worker.registered && worker.verified;
            const auto &run = m_tables.runs.at(key);
            return (isUnsent(run) && reachable)
                   || (!hasEnded && mayRunUnreported(worker, key, maxLeaseTime(), now));
        };
        if (std::any_of(worker.runs.begin(), worker.runs.end(), isHeld)) {
            std::copy_if(worker.runs.begin(), worker.runs.end(), std::back_inserter(expired),
                         [&](const auto &key) { return !isHeld(key); });
            continue;
        }
        if (hasEnded) {
            crashed.push_back(id);
        }
        for (const auto &key : worker.runs) {
            expired.push_back(key);
        }
        // A worker that returns under its id may carry out orders to its earlier process. One whose
        // host runs another worker does not return.
        if (!worker.registered && m_loaded
            && (worker.ended || !mayReceiveLateOrders(worker, now))) {
            gone.push_back(id);
        }
    }
    for (const auto &id : crashed) {
        const auto &lost = m_tables.workers.at(id).runs;
        onWorkerCrashed(id, {lost.begin(), lost.end()});
    }
    for (const auto &key : expired) {
        const auto run = m_tables.runs.at(key);
        logEvent(log_level::warning, "run_lapsed",
                 {{"job", key.task.job},
                  {"step", key.task.step},
                  {"index", key.task.index},
                  {"run", key.run},
                  {"worker", run.worker}});
        removeRun(m_tables, key);
        releaseTask(key);
    }
    for (const auto &id : gone) {
        logEvent(log_level::info, "worker_forgotten", {{"worker", id}});
        m_tables.workers.erase(id);
        m_changedRosterKeys.insert(rosterKeyOf(id));
    }
    writeRoster();
    if (!expired.empty()) {
        requestSchedulingPass();
    }
}

} // namespace ibishinge::fleet
