#include <ibishinge/fleet/coordinator.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/base/processor_time.h>
#include <ibishinge/fleet/backlog/occurrence_window.h>
#include <ibishinge/fleet/crash_isolation.h>
#include <ibishinge/fleet/late_orders.h>
#include <ibishinge/fleet/objective.h>
#include <ibishinge/fleet/throttling.h>
#include <ibishinge/fleet/worker_health.h>

#include <algorithm>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Time that a worker waits for the end of a run before it answers a poll. Each poll renews the
/// leases of the worker's runs.
constexpr milliseconds defaultPollWait {1000};
/// Time that a worker waits before it answers a poll if it runs best-effort tasks beside
/// latency-sensitive ones, whose tail latency has to be reported often.
constexpr milliseconds mixedWorkloadPollWait {400};

/// Minimum interval between polls of a worker whose ends are not stored yet.
constexpr milliseconds unstoredEndsPollInterval {100};
/// Delay before a worker that did not answer is polled again. It starts at twice the base and
/// doubles with each failed poll up to the maximum.
constexpr milliseconds pollRetryDelayBase {80};
constexpr milliseconds maxPollRetryDelay {800};

/// Delay before the task of a failed run is placed again.
constexpr milliseconds failedRunRetryDelay {60};

/// Delay before ends that change no record are marked as stored, unless a write does so earlier.
constexpr milliseconds lazyFlushDelay {60};

/// Time that a worker with long-running tasks waits before it answers a poll while a maintenance
/// wave is open. It is short because a task on a silent worker counts as unavailable, so that no
/// other task of its step may be stopped.
constexpr milliseconds maintenancePollWait {300};

/// Time that a worker waits before it answers a poll while one of its runs is being stopped, so
/// that the end is seen soon.
constexpr milliseconds stoppingPollWait {150};

/// Time that a worker waits before it answers a poll while a run is under observation, which begins
/// and ends with a report.
constexpr milliseconds observationPollWait {150};

/// Longest time from sending an order with a lease until a worker receives it, unless the order
/// fails.
constexpr milliseconds maxTransferTime {500};

} // namespace

void coordinator::pollIfDue(worker_status &worker)
{
    const auto now = m_timers.now();
    const bool hasRuns = !worker.runs.empty();
    const bool hasUnstoredEnds = mayHaveUnstoredEnds(worker);
    const bool toAcknowledge = worker.storedEnd > worker.acknowledgedEnd;
    const bool reachable = worker.registered || worker.leasesEndBy > now;
    const bool needed = hasRuns || toAcknowledge || worker.endsTruncated || !worker.verified;
    if (worker.openPoll != 0 || !m_recordsRead || !mayIssueOrders() || !reachable || !needed
        || worker.nextPollAt > now) {
        return;
    }
    if (hasUnstoredEnds && worker.verified && !toAcknowledge
        && now < worker.pollSentAt + unstoredEndsPollInterval) {
        return;
    }
    poll_request order;
    order.fencingToken = m_leadership.fencingToken;
    // A worker numbers its ends from 1 again after a restart, so it would take a number from before
    // the restart as an acknowledgement of its new ends. The same holds for a poll that has no
    // answer and is carried out after the restart, so none repeats an acknowledgement needlessly.
    order.acknowledgedEnd = worker.verified && toAcknowledge ? worker.storedEnd : 0;
    order.knownEnd = worker.processedEnd;
    order.knownIncarnation = worker.incarnation;
    // The ends of a worker whose lease has lapsed are as good as lost, so it is renewed until they
    // are read.
    if ((hasRuns || worker.endsTruncated) && worker.verified && !worker.awaitsContact) {
        order.leaseUntil = leaseUntil(worker);
        if (!hasUnstoredEnds) {
            order.wait = pollWait(worker);
        }
    }
    worker.openPoll = ++m_pollNumber;
    if (order.acknowledgedEnd > 0) {
        worker.openAcknowledgements.insert(worker.openPoll);
    }
    worker.pollSentAt = now;
    m_workerCalls.poll(
        worker.entry, order,
        unlessClosed<worker_report>(
            [this, id = worker.entry.id, now, order,
             number = worker.openPoll](const result<worker_report> &answer) {
                const auto found = m_tables.workers.find(id);
                if (found == m_tables.workers.end()) {
                    return;
                }
                if (!answer && order.leaseUntil > 0) {
                    onLeaseUnanswered(found->second, order.knownIncarnation, now);
                }
                if (answer && order.leaseUntil > 0 && !answer->fenced && !answer->otherIncarnation
                    && answer->incarnation != order.knownIncarnation) {
                    // The process that answered took the lease for one on its own clock.
                    found->second.leasesEndBy =
                        std::max(found->second.leasesEndBy, m_timers.now() + maxLeaseTime());
                }
                found->second.openAcknowledgements.erase(number);
                if (!answer && order.acknowledgedEnd > 0) {
                    recordUnansweredAcknowledgement(found->second, order.knownIncarnation,
                                                    m_timers.now());
                }
                if (found->second.openPoll != number) {
                    return; // another poll has replaced this one
                }
                found->second.openPoll = 0;
                if (!answer) {
                    onPollFailed(id, answer.error());
                    return;
                }
                if (!answer->fenced && !answer->otherIncarnation
                    && answer->incarnation == found->second.incarnation) {
                    found->second.acknowledgedEnd =
                        std::max(found->second.acknowledgedEnd, order.acknowledgedEnd);
                }
                onReport(id, *answer, now);
            }));
}

milliseconds coordinator::pollWait(const worker_status &worker) const
{
    bool stopping = false;
    bool longRunning = false;
    for (const auto &key : worker.runs) {
        const auto &run = m_tables.runs.at(key);
        if (run.unanswered && run.phase != run_phase::running) {
            return milliseconds(0); // the order is repeated when the poll is answered
        }
        stopping = stopping || run.phase == run_phase::stopping;
        longRunning = longRunning || run.longRunning;
    }
    if (stopping) {
        return stoppingPollWait;
    }
    if (worker.observedRuns > 0 || worker.reservedFor) {
        return observationPollWait;
    }
    if (longRunning && m_maintenanceOpen) {
        return maintenancePollWait;
    }
    return worker.hasMixedWorkloads ? mixedWorkloadPollWait : defaultPollWait;
}

void coordinator::onPollFailed(const std::string &id, const error &failure)
{
    auto &worker = m_tables.workers.at(id);
    if (worker.failedPolls++ == 0) {
        worker.unreachableSince = m_timers.now();
        logEvent(log_level::warning, "worker_silent",
                 {{"worker", id},
                  {"error", describe(failure)},
                  {"runs", worker.runs.size()},
                  {"registered", worker.registered}});
    }
    worker.verified = false;
    const auto pause =
        std::min(pollRetryDelayBase * (1 << std::min(worker.failedPolls, 5)), maxPollRetryDelay);
    worker.nextPollAt = m_timers.now() + pause;
    abandonAwaitingStarts(worker);
}

void coordinator::onReport(const std::string &id, const worker_report &report, instant sentAt)
{
    const processor_time_scope used(m_metrics, work_kind::worker_reports);
    auto &worker = m_tables.workers.at(id);
    const auto now = m_timers.now();
    ++m_reports;
    ++m_reportNumber;
    if (report.fenced) {
        logEvent(log_level::warning, "deposed_by_worker",
                 {{"worker", id}, {"token", m_leadership.fencingToken}});
        close();
        m_onLeadershipLost();
        return;
    }
    if (report.otherIncarnation) {
        worker.verified = false;
        worker.nextPollAt = now + maxPollRetryDelay;
        abandonAwaitingStarts(worker);
        return;
    }
    if (worker.failedPolls > 0) {
        logEvent(log_level::info, "worker_answers",
                 {{"worker", id}, {"failed_looks", worker.failedPolls}});
    }
    const bool hadUnreportedRuns = mayHaveUnreportedRuns(worker, now);
    worker.failedPolls = 0;
    worker.clockAtReport = report.workerClockMs;
    worker.reportAt = now;
    // The incarnation may be known from a stored run before the first contact.
    const bool incarnationKnown = worker.contacted || worker.incarnation != 0;
    if (incarnationKnown && report.incarnation != worker.incarnation) {
        onNewIncarnation(worker, report, sentAt);
    }
    boundLeases(worker, report.workerClockMs);
    worker.incarnation = report.incarnation;
    worker.verified = true;
    worker.contacted = true;
    worker.ended = false;
    if (isTruncated(report) && !worker.endsTruncated) {
        logEvent(log_level::info, "ends_truncated",
                 {{"worker", id},
                  {"life", worker.incarnation},
                  {"known_end", worker.processedEnd},
                  {"stored_end", worker.storedEnd},
                  {"runs", worker.runs.size()}});
    }
    const bool endsDelayed = std::exchange(worker.endsTruncated, isTruncated(report));

    const auto endsBefore = worker.processedEnd;
    for (const auto &end : report.ended) {
        if (end.number > worker.processedEnd) {
            if (worker.processedEnd == worker.storedEnd) {
                worker.unstoredSince = now;
            }
            worker.processedEnd = end.number;
            applyEnd(worker, end, endsDelayed);
        } else {
            ++m_endsListedAgain;
        }
    }
    if (!m_endsToLog.empty()) {
        logEvent(log_level::info, "runs_ended",
                 {{"worker", id},
                  {"life", worker.incarnation},
                  {"number_job_task_run_end_ms", m_endsToLog}});
        m_endsToLog = nlohmann::json::array();
    }
    for (const auto &seen : report.running) {
        applyRunning(worker, seen);
    }
    if (!worker.endsTruncated) {
        removeUnlistedRuns(worker, sentAt);
    }
    updateMixedWorkloads(m_tables, worker);
    if (worker.processedEnd > endsBefore) {
        requestFlush(lazyFlushDelay);
    }
    if (hadUnreportedRuns && !mayHaveUnreportedRuns(worker, now)) {
        releaseInheritedTasks();
    }
    // The connection of the poll is free now. A worker may reset any further one, so that an order
    // beside a poll never arrives; these orders come before the next poll.
    const bool repeated = repeatUnansweredOrders(worker);
    if (std::exchange(worker.awaitsContact, false)) {
        // The worker is polled again when it has answered a start: a report that was requested at
        // the same time as the start would not tell whether the run is gone.
        sendAwaitingStarts(worker);
    } else if (!repeated) {
        pollIfDue(worker);
    }
    requestSchedulingPass();
}

void coordinator::onNewIncarnation(worker_status &worker, const worker_report &report,
                                   instant sentAt)
{
    logEvent(log_level::warning, "worker_restarted",
             {{"worker", worker.entry.id},
              {"life", report.incarnation},
              {"life_before", worker.incarnation},
              {"runs", worker.runs.size()}});
    std::vector<run_key> gone;
    for (const auto &key : worker.runs) {
        const auto &run = m_tables.runs.at(key);
        const bool listed =
            std::any_of(report.running.begin(), report.running.end(), [&](const auto &seen) {
                return seen.task == key.task && seen.run == key.run;
            });
        if (!run.callPending && !isUnsent(run) && run.orderedAt < sentAt && !listed) {
            gone.push_back(key);
        }
    }
    const auto startedAfter =
        m_timers.now() - scaled(milliseconds(report.workerClockMs), slowClockFactor);
    if (worker.leaseSentAt + maxTransferTime > startedAfter) {
        // A lease that was reckoned on the former clock may have reached the new process, for which
        // its end lies far ahead.
        worker.leasesEndBy =
            std::max(worker.leasesEndBy, m_timers.now() + maxTransferTime + maxLeaseTime());
    }
    worker.leaseSent = 0;
    worker.processedEnd = 0;
    worker.storedEnd = 0;
    worker.acknowledgedEnd = 0;
    onWorkerCrashed(worker.entry.id, gone);
    expectLateAcknowledgement(worker, m_timers.now());
    worker.incarnation = report.incarnation;
    worker.leasesEndBy =
        std::max(worker.leasesEndBy, lateLeasesEnd(worker, maxLeaseTime(), startedAfter));
    const auto late = startsToBlock(worker, m_timers.now());
    for (const auto &key : gone) {
        if (std::find(late.begin(), late.end(), key) == late.end()) {
            removeRun(m_tables, key);
            releaseTask(key);
            continue;
        }
        // The new process may still carry out the start. Once it has answered a stop, it rejects
        // the start, and the task may run elsewhere.
        if (const auto run = m_tables.runs.find(key); run != m_tables.runs.end()) {
            run->second.stopAnswered = false;
            orderStop(key, "worker_restarted");
        }
    }
    blockLateStarts(worker);
}

void coordinator::openListedOccurrence(const task_name &name)
{
    const auto job = m_tables.jobs.find(name.job);
    if (job != m_tables.jobs.end() && name.occurrence >= job->second.nextOccurrence) {
        openOccurrencesUpTo(job->second, name.occurrence);
    }
}

void coordinator::applyEnd(worker_status &worker, const run_end &end, bool delayed)
{
    openListedOccurrence(end.task);
    const run_key key {end.task, end.run};
    const auto found = m_tables.runs.find(key);
    const bool known = found != m_tables.runs.end() && found->second.worker == worker.entry.id;
    // The run time is unknown if no answer told when the run began, or if the report of the end was
    // delayed, by a stall of this process or by the ends before it.
    std::optional<milliseconds> ranFor;
    detectProcessStall();
    if (known && !delayed && found->second.beganAt
        && *found->second.beganAt > m_lastProcessStallAt) {
        ranFor = since(*found->second.beganAt, m_timers.now());
    }
    m_endsToLog.push_back({end.number, end.task.job,
                           std::to_string(end.task.occurrence) + "." + std::to_string(end.task.step)
                               + "." + std::to_string(end.task.index),
                           end.run, nameOf(end.kind), ranFor ? ranFor->count() : -1});
    m_metrics.add("ibishinge_runs_ended_total", {{"end", std::string(nameOf(end.kind))}});
    addEvents(m_load.ended, 1, m_timers.now());
    if (known) {
        const bool ranToItsEnd = end.kind == end_kind::done || end.kind == end_kind::failed;
        const bool survived = found->second.observed && ranToItsEnd;
        removeRun(m_tables, key);
        if (survived && recordSurvival(m_tables, end.task)) {
            markDirty(end.task.job);
        }
    }
    auto *task = changeTask(m_tables, end.task);
    if (task == nullptr) {
        return;
    }
    auto &job = m_tables.jobs.at(end.task.job);
    const auto &step = job.spec.steps[static_cast<std::size_t>(end.task.step)];
    const bool current = task->currentRun == end.run || task->phase == task_phase::waiting;
    if (!end.checkpoint.empty() && current) {
        task->checkpoint = end.checkpoint;
    }
    if (end.kind == end_kind::done && !step.longRunning) {
        recordRunSuccess(worker);
        if (ranFor && ranFor->count() > 0) {
            learnRunTime(m_tables, worker, job.queue, step, *ranFor, task->checkpoint.empty());
            if (task->checkpoint.empty()) {
                observeRunTime(m_tables, job, end.task, *ranFor);
                observeRack(job, end.task, worker, *ranFor);
            }
        }
        finishTasks(job, end.task);
        return;
    }
    if (end.kind == end_kind::failed) {
        applyFailure(worker, job, *task, end);
    }
    if (task->currentRun == end.run) {
        releaseTask(key);
        if (end.kind == end_kind::failed) {
            task->notBefore = m_timers.now() + failedRunRetryDelay;
        }
        if (step.gang) {
            stopGangMembers(end.task);
        }
    }
}

void coordinator::finishTasks(job_entry &job, const task_name &name)
{
    const auto id = job.id;
    const bool gang = job.spec.steps[static_cast<std::size_t>(name.step)].gang;
    const int count = job.spec.steps[static_cast<std::size_t>(name.step)].count;
    bool complete = false;
    for (int index = 0; index < count; ++index) {
        task_name member = name;
        member.index = index;
        if (!gang && index != name.index) {
            continue;
        }
        const auto *task = findTask(m_tables, member);
        if (task == nullptr || task->phase == task_phase::done) {
            continue;
        }
        // Any other run of the task is no longer needed.
        const run_key other {member, task->currentRun};
        const bool runs = task->currentRun != 0 && m_tables.runs.count(other) > 0;
        complete = finishTask(job, member) || complete;
        if (runs && !gang) {
            orderStop(other, "task_done");
        }
    }
    if (complete && !job.ending) {
        endJob(job, job_state::completed);
        return;
    }
    m_windowMoved = m_windowMoved || job.spec.repetitions > 1;
    markDirty(id);
}

void coordinator::applyFailure(worker_status &worker, job_entry &job, task_entry &task,
                               const run_end &end)
{
    recordRunFailure(m_tables, worker, m_timers.now());
    task.avoidWorker = worker.entry.id;
    const auto &step = job.spec.steps[static_cast<std::size_t>(end.task.step)];
    if (step.longRunning) {
        return;
    }
    task_name counted = end.task;
    if (step.gang) {
        counted.index = 0; // all members of a gang share one count of failures
    }
    auto *counter = changeTask(m_tables, counted);
    if (counter == nullptr || !counter->failedRuns.insert(end.run).second) {
        return;
    }
    const auto failures = static_cast<int>(counter->failedRuns.size());
    const auto queue = m_tables.queues.find(job.queue);
    if (queue != m_tables.queues.end() && failures >= queue->second->maxAttempts && !job.ending) {
        job.failureReason = "task " + std::to_string(end.task.step) + "."
                            + std::to_string(end.task.index) + " failed " + std::to_string(failures)
                            + " times";
        endJob(job, job_state::failed);
        return;
    }
    markDirty(job.id);
}

void coordinator::applyRunning(worker_status &worker, const running_task &seen)
{
    const run_key key {seen.task, seen.run};
    const auto now = m_timers.now();
    const auto found = m_tables.runs.find(key);
    if (found != m_tables.runs.end() && found->second.worker == worker.entry.id) {
        auto &run = found->second;
        if (run.phase == run_phase::starting && !run.callPending) {
            run.phase = run_phase::running;
            run.confirmedAt = now;
        }
        if (seen.percent != run.percent) {
            run.percent = seen.percent;
            run.progressAt = now;
        }
        run.seenOnWorker = true;
        run.listedInReport = m_reportNumber;
        run.missingFromReport = false;
        run.usage = seen.usage;
        run.checkpoint = seen.checkpoint;
        if (const auto *task = findTask(m_tables, seen.task);
            task != nullptr && task->currentRun == seen.run && !seen.checkpoint.empty()) {
            changeTask(m_tables, seen.task)->checkpoint = seen.checkpoint;
        }
        return;
    }
    // The run was started by an earlier coordinator.
    openListedOccurrence(seen.task);
    const auto *task = findTask(m_tables, seen.task);
    const bool live = task != nullptr && !m_tables.jobs.at(seen.task.job).ending;
    run_entry run;
    run.key = key;
    run.worker = worker.entry.id;
    if (task != nullptr) {
        auto &job = m_tables.jobs.at(seen.task.job);
        run = makeRun(job, key, worker.entry.id);
        run.speedPercent = run.bestEffort ? unknownSpeed : 100;
        job.begun = true;
        job.state = job_state::running;
    }
    run.phase = run_phase::running;
    run.orderedAt = now;
    run.confirmedAt = now;
    run.progressAt = now;
    run.percent = seen.percent;
    run.checkpoint = seen.checkpoint;
    run.usage = seen.usage;
    run.seenOnWorker = true;
    run.listedInReport = m_reportNumber;
    addRun(m_tables, std::move(run));
    auto line = describeRun(key);
    line["worker"] = worker.entry.id;
    if (live) {
        abandonUnsentStart(seen.task);
    }
    task = findTask(m_tables, seen.task); // its start may just have been abandoned
    if (live && task->phase == task_phase::waiting) {
        auto &adopted = *changeTask(m_tables, seen.task);
        adopted.phase = task_phase::placed;
        adopted.currentRun = seen.run;
        adopted.checkpoint = seen.checkpoint;
        logEvent(log_level::info, "run_adopted", line);
        return;
    }
    orderStop(key, live ? "second_run" : "no_live_task");
}

void coordinator::abandonUnsentStart(const task_name &name)
{
    const auto *task = findTask(m_tables, name);
    const run_key key {name, task->currentRun};
    const auto run = m_tables.runs.find(key);
    if (task->phase != task_phase::placed || run == m_tables.runs.end() || !isUnsent(run->second)) {
        return;
    }
    const auto &job = m_tables.jobs.at(name.job);
    if (job.spec.steps[static_cast<std::size_t>(name.step)].gang) {
        stopGangMembers(name);
    } else {
        orderStop(key, "second_run");
    }
}

void coordinator::removeUnlistedRuns(worker_status &worker, instant sentAt)
{
    std::vector<run_key> gone;
    for (const auto &key : worker.runs) {
        auto &run = m_tables.runs.at(key);
        if (run.listedInReport == m_reportNumber || run.callPending || run.confirmedAt >= sentAt) {
            continue;
        }
        if (run.phase == run_phase::stopping && run.stopAnswered) {
            gone.push_back(key);
        } else if (run.phase == run_phase::running) {
            if (run.missingFromReport) {
                gone.push_back(key);
            }
            run.missingFromReport = true;
        }
    }
    for (const auto &key : gone) {
        auto line = describeRun(key);
        line["worker"] = worker.entry.id;
        logEvent(log_level::info, "run_absent", line);
        removeRun(m_tables, key);
        releaseTask(key);
    }
}

void coordinator::releaseTask(const run_key &key)
{
    const auto *found = findTask(m_tables, key.task);
    if (found != nullptr && found->phase == task_phase::placed && found->currentRun == key.run) {
        auto &task = *changeTask(m_tables, key.task);
        task.phase = task_phase::waiting;
        task.waitsSince = m_timers.now();
        task.currentRun = 0;
        task.suspectRun.reset();
    }
}

void coordinator::onWorkerCrashed(const std::string &id, const std::vector<run_key> &lost)
{
    const auto &worker = m_tables.workers.at(id);
    if (lost.empty() || worker.entry.state == worker_state::draining || worker.cordoned) {
        return;
    }
    const auto outcome = recordCrash(m_tables, worker, lost, m_timers.now());
    auto suspects = nlohmann::json::array();
    for (const auto &key : lost) {
        const auto &run = m_tables.runs.at(key);
        auto line = describeRun(key);
        line["seen"] = run.seenOnWorker;
        line["observed"] = run.observed;
        line["orders"] = run.orders;
        const auto *const task = findTask(m_tables, key.task);
        line["evidence"] = task == nullptr ? 0 : task->crashEvidence;
        suspects.push_back(std::move(line));
    }
    logEvent(log_level::warning, "worker_crashed", {{"worker", id}, {"suspects", suspects}});
    m_metrics.add("ibishinge_workers_crashed_total");
    for (const auto &job : outcome.suspectedJobs) {
        markDirty(job);
    }
    for (const auto &name : outcome.proven) {
        auto &job = m_tables.jobs.at(name.job);
        if (job.ending) {
            continue;
        }
        job.failureReason = "task " + std::to_string(name.step) + "." + std::to_string(name.index)
                            + " crashed workers under observation, "
                            + std::to_string(findTask(m_tables, name)->crashes) + " in all";
        endJob(job, job_state::failed);
    }
}

bool coordinator::hasSuccessor(const worker_status &worker) const
{
    return std::any_of(m_tables.workers.begin(), m_tables.workers.end(), [&](const auto &each) {
        const auto &other = each.second;
        return other.registered && !worker.entry.host.empty()
               && other.entry.host == worker.entry.host && other.entry.id != worker.entry.id
               && other.entry.incarnation > worker.incarnation;
    });
}

} // namespace ibishinge::fleet
