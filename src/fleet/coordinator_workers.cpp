#include <ibishinge/fleet/coordinator.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/base/processor_time.h>
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
/// A run that makes no progress for this long, and for longer than its expected run time, is
/// stopped and placed elsewhere: reports show progress in percent at least once a second.
constexpr milliseconds stuckRunTimeout {2500};
/// A run is stopped for lack of progress only if the worker's last report is younger than this.
constexpr milliseconds maxReportAge {1500};

/// Time to receive and store the end of a stopped run before its draining worker leaves.
constexpr milliseconds evacuationMargin {700};

/// Minimum interval between polls of a worker whose ends are not stored yet.
constexpr milliseconds unstoredEndsPollInterval {100};
/// Delay before a worker that did not answer is polled again. It starts at twice the base and
/// doubles with each failed poll up to the maximum.
constexpr milliseconds pollRetryDelayBase {80};
constexpr milliseconds maxPollRetryDelay {800};

/// Delay before a task is placed again: after a failed run, and after a start that was rejected or
/// did not reach the worker.
constexpr milliseconds failedRunRetryDelay {60};
constexpr milliseconds rejectedStartRetryDelay {20};
/// Time for which a worker that rejected a start is given no new tasks.
constexpr milliseconds rejectingWorkerPause {150};

/// Delay before ends that change no record are marked as stored, unless a write does so earlier.
constexpr milliseconds lazyFlushDelay {60};

/// Time that a worker with long-running tasks waits before it answers a poll while a maintenance
/// wave is open. It is short because a task on a silent worker counts as unavailable, so that no
/// other task of its step may be stopped.
constexpr milliseconds maintenancePollWait {300};

/// Time after which a stop that was answered but has had no effect is repeated.
constexpr milliseconds stopRetryDelay {3000};
/// Time that a worker waits before it answers a poll while one of its runs is being stopped, so
/// that the end is seen soon.
constexpr milliseconds stoppingPollWait {150};

/// Time that a worker waits before it answers a poll while a run is under observation, which begins
/// and ends with a report.
constexpr milliseconds observationPollWait {150};

/// Margin for the time from the computation of a lease until the order is sent.
constexpr milliseconds sendDelayMargin {60};

/// Longest time from sending an order with a lease until a worker receives it, unless the order
/// fails.
constexpr milliseconds maxTransferTime {500};

/// A worker's clock that is further back than this has begun anew. Answers on several connections
/// overtake each other, which makes it seem to step back by less.
constexpr std::int64_t clockStepBackMs = 500;

nlohmann::json describeRun(const run_key &key)
{
    return {{"job", key.task.job},
            {"occurrence", key.task.occurrence},
            {"step", key.task.step},
            {"index", key.task.index},
            {"run", key.run}};
}

milliseconds scaled(milliseconds value, double factor)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
}

} // namespace

std::int64_t coordinator::leaseUntil(worker_status &worker)
{
    const auto now = m_timers.now();
    const auto age = since(worker.reportAt, now);
    const auto bound = now + scaled(m_settings.taskLease, slowClockFactor)
                       + scaled(age, slowClockFactor - 1) + sendDelayMargin;
    worker.leasesEndBy = std::max(worker.leasesEndBy, bound);
    const auto until = worker.clockAtReport + (age + m_settings.taskLease).count();
    worker.leaseSent = std::max(worker.leaseSent, until);
    worker.leaseSentAt = now;
    return until;
}

void coordinator::boundLeases(worker_status &worker, std::int64_t workerClockMs)
{
    const auto left = std::clamp(milliseconds(worker.leaseSent - workerClockMs), milliseconds(0),
                                 m_settings.maxTaskLease);
    worker.leasesEndBy = std::max(worker.leasesEndBy,
                                  m_timers.now() + scaled(left, slowClockFactor) + sendDelayMargin);
}

milliseconds coordinator::maxLeaseTime() const
{
    return scaled(m_settings.maxTaskLease, slowClockFactor) + sendDelayMargin;
}

void coordinator::onLeaseUnanswered(worker_status &worker, std::int64_t incarnation, instant sentBy)
{
    recordUnansweredLease(worker, incarnation, sentBy);
    worker.leasesEndBy =
        std::max(worker.leasesEndBy, lateLeasesEnd(worker, maxLeaseTime(), sentBy));
}

void coordinator::pollIfDue(worker_status &worker)
{
    const auto now = m_timers.now();
    const bool hasRuns = !worker.runs.empty();
    const bool hasUnstoredEnds = worker.processedEnd > worker.storedEnd;
    const bool toAcknowledge = worker.storedEnd > worker.acknowledgedEnd;
    const bool reachable = worker.registered || worker.leasesEndBy > now;
    const bool needed = hasRuns || toAcknowledge || !worker.verified;
    if (worker.pollInProgress || !m_recordsRead || !mayIssueOrders() || !reachable || !needed
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
    // the restart as an acknowledgement of its new ends.
    order.acknowledgedEnd = worker.verified ? worker.storedEnd : 0;
    order.knownEnd = worker.processedEnd;
    order.knownIncarnation = worker.incarnation;
    if (hasRuns && worker.verified && !worker.awaitsContact) {
        order.leaseUntil = leaseUntil(worker);
        if (!hasUnstoredEnds) {
            order.wait = pollWait(worker);
        }
    }
    worker.pollInProgress = true;
    worker.pollSentAt = now;
    m_workerCalls.poll(worker.entry, order,
                       unlessClosed<worker_report>([this, id = worker.entry.id, now,
                                                    order](const result<worker_report> &answer) {
                           const auto found = m_tables.workers.find(id);
                           if (found == m_tables.workers.end()) {
                               return;
                           }
                           found->second.pollInProgress = false;
                           if (!answer) {
                               if (order.leaseUntil > 0) {
                                   onLeaseUnanswered(found->second, order.knownIncarnation, now);
                               }
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
    const bool firstContact = !worker.contacted;
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

    const auto endsBefore = worker.processedEnd;
    for (const auto &end : report.ended) {
        if (end.number > worker.processedEnd) {
            if (worker.processedEnd == worker.storedEnd) {
                worker.unstoredSince = now;
            }
            worker.processedEnd = end.number;
            applyEnd(worker, end);
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
    if (report.ended.size() < maxReportedEnds) {
        removeUnlistedRuns(worker, sentAt);
    }
    updateMixedWorkloads(m_tables, worker);
    if (worker.processedEnd > endsBefore) {
        requestFlush(lazyFlushDelay);
    }
    if (firstContact) {
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

bool coordinator::repeatUnansweredOrders(worker_status &worker)
{
    if (!mayIssueOrders()) {
        return false;
    }
    std::vector<run_key> unanswered;
    for (const auto &key : worker.runs) {
        const auto &run = m_tables.runs.at(key);
        if (run.unanswered && !run.callPending && run.phase != run_phase::running) {
            unanswered.push_back(key);
        }
    }
    for (const auto &key : unanswered) {
        const auto found = m_tables.runs.find(key);
        if (found == m_tables.runs.end()) {
            continue; // removed with another member of its gang
        }
        if (found->second.phase == run_phase::starting && isLive(key.task)) {
            sendStart(key);
        } else {
            orderStop(key, "unanswered");
        }
    }
    const bool blocked = blockLateStarts(worker);
    return blocked || !unanswered.empty();
}

bool coordinator::isLive(const task_name &task)
{
    return findTask(m_tables, task) != nullptr && !m_tables.jobs.at(task.job).ending;
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
        m_tables.runs.at(key).stopAnswered = false;
        orderStop(key, "worker_restarted");
    }
    blockLateStarts(worker);
}

bool coordinator::blockLateStarts(worker_status &worker)
{
    if (!mayIssueOrders() || worker.unansweredStarts.empty()) {
        return false;
    }
    bool sent = false;
    for (const auto &key : startsToBlock(worker, m_timers.now())) {
        auto &start = worker.unansweredStarts.at(key);
        if (start.stopPending || m_tables.runs.count(key) > 0) {
            continue;
        }
        start.stopPending = true;
        sent = true;
        m_workerCalls.stopRun(
            worker.entry, key.task, key.run, m_leadership.fencingToken,
            unlessClosed<run_command_reply>(
                [this, id = worker.entry.id, key,
                 incarnation = worker.incarnation](const result<run_command_reply> &answer) {
                    const auto found = m_tables.workers.find(id);
                    if (found == m_tables.workers.end()
                        || found->second.unansweredStarts.count(key) == 0) {
                        return;
                    }
                    auto &late = found->second.unansweredStarts.at(key);
                    late.stopPending = false;
                    if (answer && answer->outcome == run_command_outcome::running) {
                        late.harmlessAt = incarnation;
                    }
                }));
    }
    return sent;
}

void coordinator::applyEnd(worker_status &worker, const run_end &end)
{
    const run_key key {end.task, end.run};
    const auto found = m_tables.runs.find(key);
    const bool known = found != m_tables.runs.end() && found->second.worker == worker.entry.id;
    // The run time is unknown if no answer told when the run began, or if a stall of this process
    // delayed the report of the end.
    std::optional<milliseconds> ranFor;
    detectProcessStall();
    if (known && found->second.beganAt && *found->second.beganAt > m_lastProcessStallAt) {
        ranFor = since(*found->second.beganAt, m_timers.now());
    }
    m_endsToLog.push_back({end.number, end.task.job,
                           std::to_string(end.task.occurrence) + "." + std::to_string(end.task.step)
                               + "." + std::to_string(end.task.index),
                           end.run, nameOf(end.kind), ranFor ? ranFor->count() : -1});
    m_metrics.add("ibishinge_runs_ended_total", {{"end", std::string(nameOf(end.kind))}});
    if (known) {
        const bool ranToItsEnd = end.kind == end_kind::done || end.kind == end_kind::failed;
        const bool survived = found->second.observed && ranToItsEnd;
        removeRun(m_tables, key);
        if (survived && recordSurvival(m_tables, end.task)) {
            markDirty(end.task.job);
        }
    }
    auto *task = findTask(m_tables, end.task);
    if (task == nullptr || task->phase == task_phase::done) {
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
        auto *task = findTask(m_tables, member);
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
    auto *counter = findTask(m_tables, counted);
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
        if (auto *task = findTask(m_tables, seen.task);
            task != nullptr && task->currentRun == seen.run && !seen.checkpoint.empty()) {
            task->checkpoint = seen.checkpoint;
        }
        return;
    }
    // The run was started by an earlier coordinator.
    auto *task = findTask(m_tables, seen.task);
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
    if (live && task->phase == task_phase::waiting) {
        task->phase = task_phase::placed;
        task->currentRun = seen.run;
        task->checkpoint = seen.checkpoint;
        logEvent(log_level::info, "run_adopted", line);
        return;
    }
    orderStop(key, live ? "second_run" : "no_live_task");
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
    auto *task = findTask(m_tables, key.task);
    if (task != nullptr && task->phase == task_phase::placed && task->currentRun == key.run) {
        task->phase = task_phase::waiting;
        task->waitsSince = m_timers.now();
        task->currentRun = 0;
        task->suspectRun.reset();
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

void coordinator::stopGangMembers(const task_name &member)
{
    const auto &job = m_tables.jobs.at(member.job);
    const int count = job.spec.steps[static_cast<std::size_t>(member.step)].count;
    for (int index = 0; index < count; ++index) {
        task_name other = member;
        other.index = index;
        const auto *task = findTask(m_tables, other);
        if (task != nullptr && task->phase == task_phase::placed) {
            orderStop({other, task->currentRun}, "gang_broken");
        }
    }
}

void coordinator::stopRunsOf(const std::string &job, std::string_view reason)
{
    std::vector<run_key> keys;
    for (auto run = m_tables.runs.lower_bound({{job, 0, 0, 0}, 0}); run != m_tables.runs.end();
         ++run) {
        if (run->first.task.job != job) {
            break;
        }
        keys.push_back(run->first);
    }
    for (const auto &key : keys) {
        orderStop(key, reason);
    }
}

void coordinator::orderStop(const run_key &key, std::string_view reason)
{
    const auto found = m_tables.runs.find(key);
    if (found == m_tables.runs.end()) {
        return;
    }
    auto &run = found->second;
    if (isUnsent(run)) {
        removeRun(m_tables, key);
        releaseTask(key);
        return;
    }
    if (run.phase != run_phase::stopping) {
        auto line = describeRun(key);
        line["worker"] = run.worker;
        line["reason"] = reason;
        line["suspended"] = !mayIssueOrders();
        logEvent(log_level::info, "run_stopping", line);
        run.phase = run_phase::stopping;
        run.stopAnswered = false;
    }
    if (!mayIssueOrders()) {
        return; // `checkRuns` sends the stop, if this process goes on as coordinator
    }
    run.callPending = true;
    run.stopSentAt = m_timers.now();
    m_workerCalls.stopRun(
        m_tables.workers.at(run.worker).entry, key.task, key.run, m_leadership.fencingToken,
        unlessClosed<run_command_reply>(
            [this, key](const result<run_command_reply> &answer) { onStopped(key, answer); }));
}

void coordinator::onStopped(const run_key &key, const result<run_command_reply> &answer)
{
    const auto found = m_tables.runs.find(key);
    if (found == m_tables.runs.end()) {
        return;
    }
    auto &run = found->second;
    auto &worker = m_tables.workers.at(run.worker);
    run.callPending = false;
    run.unanswered = !answer;
    if (!answer) {
        worker.verified = false;
        worker.nextPollAt = m_timers.now();
        auto line = describeRun(key);
        line["worker"] = run.worker;
        line["error"] = describe(answer.error());
        logEvent(log_level::warning, "stop_unanswered", line);
        return;
    }
    if (answer->outcome == run_command_outcome::fenced) {
        close();
        m_onLeadershipLost();
        return;
    }
    if (!run.stopAnswered) {
        // Only a report that was requested after this time shows whether the run is gone.
        run.confirmedAt = m_timers.now();
    }
    run.stopAnswered = answer->outcome != run_command_outcome::other_incarnation;
    if (run.stopAnswered) {
        recordBlockedStart(worker, key);
    }
    worker.nextPollAt = m_timers.now();
    pollIfDue(worker);
}

void coordinator::startWhenContacted(const run_key &key)
{
    const auto &run = m_tables.runs.at(key);
    auto &worker = m_tables.workers.at(run.worker);
    if (!worker.verified) {
        abandonStart(key, true);
        return;
    }
    const auto now = m_timers.now();
    // A waiting poll breaks off when its worker ends, but too late for a suspect: only a worker
    // that was up at the start can have been crashed by it.
    const bool mayHaveEnded = (run.observed || !worker.pollInProgress)
                              && since(worker.reportAt, now) > maxReportAgeAtStart;
    if (!worker.awaitsContact && !mayHaveEnded) {
        sendStart(key);
        return;
    }
    worker.awaitsContact = true;
    worker.nextPollAt = now;
    pollIfDue(worker);
}

void coordinator::sendAwaitingStarts(const worker_status &worker)
{
    if (!mayIssueOrders()) {
        return; // `checkRuns` sends them
    }
    std::vector<run_key> awaiting;
    for (const auto &key : worker.runs) {
        const auto &run = m_tables.runs.at(key);
        if (isUnsent(run) && !run.callPending) {
            awaiting.push_back(key);
        }
    }
    for (const auto &key : awaiting) {
        sendStart(key);
    }
}

void coordinator::abandonAwaitingStarts(worker_status &worker)
{
    worker.awaitsContact = false;
    const auto runs = worker.runs; // abandoning a member of a gang removes other runs too
    for (const auto &key : runs) {
        const auto run = m_tables.runs.find(key);
        if (run != m_tables.runs.end() && isUnsent(run->second) && !run->second.callPending) {
            abandonStart(key, true);
        }
    }
}

void coordinator::sendStart(const run_key &key)
{
    auto &run = m_tables.runs.at(key);
    auto &worker = m_tables.workers.at(run.worker);
    const auto &job = m_tables.jobs.at(key.task.job);
    run_order order;
    order.task = key.task;
    order.run = key.run;
    order.payload = job.spec.payload;
    order.leaseUntil = leaseUntil(worker);
    order.fencingToken = m_leadership.fencingToken;
    order.checkpoint = run.checkpoint;
    order.ticket = run.ticket;
    if (run.orders == 0) {
        run.orderedAt = m_timers.now();
    }
    ++run.orders;
    run.callPending = true;
    if (run.orders > 1) {
        auto line = describeRun(key);
        line["worker"] = run.worker;
        line["attempt"] = run.orders;
        logEvent(log_level::info, "start_repeated", line);
    }
    m_workerCalls.startRun(
        worker.entry, order,
        unlessClosed<run_command_reply>(
            [this, key](const result<run_command_reply> &answer) { onStarted(key, answer); }));
}

void coordinator::onStarted(const run_key &key, const result<run_command_reply> &answer)
{
    const auto found = m_tables.runs.find(key);
    if (found == m_tables.runs.end()) {
        return;
    }
    auto &run = found->second;
    auto &worker = m_tables.workers.at(run.worker);
    const auto now = m_timers.now();
    run.callPending = false;
    run.unanswered = !answer;
    m_metrics.observe("ibishinge_start_seconds", {}, now - run.orderedAt);
    if (!answer) {
        ++m_unansweredStarts;
        worker.verified = false;
        worker.nextPollAt = now;
        auto line = describeRun(key);
        line["worker"] = run.worker;
        line["error"] = describe(answer.error());
        logEvent(log_level::warning, "start_unanswered", line);
        if (answer.error().kind != error_kind::unavailable) {
            recordUnansweredStart(worker, key, now);
            onLeaseUnanswered(worker, worker.incarnation, now);
        } else if (run.orders == 1 && run.phase == run_phase::starting) {
            abandonStart(key, true);
        }
        // Otherwise the order may still be carried out; `checkRuns` repeats it or stops the run.
        return;
    }
    if (answer->workerClockMs > 0) {
        boundLeases(worker, answer->workerClockMs);
        if (answer->workerClockMs + clockStepBackMs < worker.clockAtReport) {
            // The worker has restarted; the next report tells of which runs that is the end.
            worker.verified = false;
            worker.nextPollAt = now;
        }
        worker.clockAtReport = answer->workerClockMs;
        worker.reportAt = now;
    }
    if (answer->outcome == run_command_outcome::running) {
        run.seenOnWorker = true;
        run.confirmedAt = now;
        if (run.phase == run_phase::starting) {
            run.phase = run_phase::running;
            if (run.orders == 1) {
                run.beganAt = now;
            }
            m_metrics.observe("ibishinge_run_ordered_to_running_seconds", {}, now - run.orderedAt);
        }
        pollIfDue(worker);
        return;
    }
    if (answer->outcome == run_command_outcome::fenced) {
        logEvent(log_level::warning, "deposed_by_worker",
                 {{"worker", run.worker}, {"token", m_leadership.fencingToken}});
        close();
        m_onLeadershipLost();
        return;
    }
    auto line = describeRun(key);
    line["worker"] = run.worker;
    line["outcome"] = static_cast<int>(answer->outcome);
    logEvent(log_level::info, "start_rejected", line);
    m_metrics.add("ibishinge_starts_rejected_total");
    switch (answer->outcome) {
    case run_command_outcome::no_capacity:
        worker.quarantinedUntil = std::max(worker.quarantinedUntil, now + rejectingWorkerPause);
        break;
    case run_command_outcome::unhealthy:
        recordRunFailure(m_tables, worker, now);
        worker.quarantinedUntil = std::max(worker.quarantinedUntil, now + rejectingWorkerPause);
        break;
    case run_command_outcome::other_incarnation:
        worker.verified = false;
        worker.nextPollAt = now;
        break;
    default:
        break;
    }
    if (run.orders > 1 || run.phase == run_phase::stopping) {
        // An earlier order without an answer may still be carried out; only a stop prevents that.
        orderStop(key, "start_rejected");
        return;
    }
    if (answer->outcome == run_command_outcome::bad_ticket) {
        const auto job = m_tables.jobs.find(key.task.job);
        if (job != m_tables.jobs.end()) {
            job->second.tickets.erase({key.task.occurrence, key.task.step});
        }
    }
    abandonStart(key, false);
}

void coordinator::abandonStart(const run_key &key, bool avoid)
{
    const auto worker = m_tables.runs.at(key).worker;
    removeRun(m_tables, key);
    releaseTask(key);
    auto *task = findTask(m_tables, key.task);
    if (task == nullptr) {
        return;
    }
    task->notBefore = m_timers.now() + rejectedStartRetryDelay;
    if (avoid) {
        task->avoidWorker = worker;
    }
    const auto &job = m_tables.jobs.at(key.task.job);
    if (job.spec.steps[static_cast<std::size_t>(key.task.step)].gang) {
        stopGangMembers(key.task);
    }
    requestSchedulingPass();
}

void coordinator::checkRuns()
{
    std::vector<run_key> toStart;
    std::vector<run_key> toResend;
    std::vector<run_key> toStop;
    const auto now = m_timers.now();
    for (auto &[key, run] : m_tables.runs) {
        if (run.callPending || run.phase == run_phase::running) {
            continue;
        }
        if (run.phase == run_phase::starting) {
            // The order may have been carried out or may still be. Repeating it is safe: the worker
            // gives the same answer. On a silent worker the lease of the run expires.
            if (!isLive(key.task)) {
                toStop.push_back(key);
            } else if (run.orders == 0) {
                toStart.push_back(key);
            } else if (m_tables.workers.at(run.worker).verified) {
                toResend.push_back(key);
            }
        } else if (run.phase == run_phase::stopping
                   && (!run.stopAnswered || now - run.stopSentAt > stopRetryDelay)) {
            toStop.push_back(key);
        }
    }
    for (auto &[id, worker] : m_tables.workers) {
        if (worker.verified) {
            blockLateStarts(worker);
        }
    }
    for (const auto &key : toStart) {
        if (m_tables.runs.count(key) > 0) { // not removed with another member of its gang
            startWhenContacted(key);
        }
    }
    for (const auto &key : toResend) {
        if (m_tables.runs.count(key) > 0) {
            sendStart(key);
        }
    }
    for (const auto &key : toStop) {
        orderStop(key, "unanswered");
    }
}

void coordinator::evacuateDrainingWorkers()
{
    const auto now = m_timers.now();
    std::vector<run_key> toStop;
    for (const auto &[id, worker] : m_tables.workers) {
        if (worker.entry.state != worker_state::draining || !worker.verified) {
            continue;
        }
        const auto left = worker.drainingSince + worker.entry.remaining - now;
        for (const auto &key : worker.runs) {
            const auto &run = m_tables.runs.at(key);
            if (run.phase != run_phase::running) {
                continue;
            }
            // Long-running tasks lose least if they move at once; others may end before the worker
            // leaves.
            if (run.longRunning || left <= m_settings.stopTime + evacuationMargin) {
                toStop.push_back(key);
            }
        }
    }
    for (const auto &key : toStop) {
        orderStop(key, "worker_draining");
    }
}

void coordinator::stopStuckRuns()
{
    const auto now = m_timers.now();
    std::vector<run_key> toStop;
    for (const auto &[key, run] : m_tables.runs) {
        if (run.phase != run_phase::running || run.longRunning || run.speedPercent != 100
            || since(run.progressAt, now) <= stuckRunTimeout) {
            continue;
        }
        const auto job = m_tables.jobs.find(key.task.job);
        if (job == m_tables.jobs.end()) {
            continue;
        }
        const auto &step = job->second.spec.steps[static_cast<std::size_t>(key.task.step)];
        const auto expected = milliseconds(
            static_cast<std::int64_t>(expectedRunMs(m_tables, job->second.queue, step)));
        const auto &worker = m_tables.workers.at(run.worker);
        const bool reportIsYoung = since(worker.reportAt, now) < maxReportAge;
        if (worker.verified && reportIsYoung && !step.gang
            && since(run.progressAt, now) > expected) {
            toStop.push_back(key);
        }
    }
    for (const auto &key : toStop) {
        const auto &run = m_tables.runs.at(key);
        if (auto *task = findTask(m_tables, key.task)) {
            task->avoidWorker = run.worker;
        }
        recordRunFailure(m_tables, m_tables.workers.at(run.worker), now);
        orderStop(key, "no_progress");
    }
}

} // namespace ibishinge::fleet
