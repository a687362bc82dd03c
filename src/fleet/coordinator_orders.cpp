#include <ibishinge/fleet/coordinator.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/fleet/late_orders.h>
#include <ibishinge/fleet/worker_health.h>

#include <algorithm>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// A run that makes no progress for this long, and for longer than its expected run time, is
/// stopped and placed elsewhere: reports show progress in percent at least once a second.
constexpr milliseconds stuckRunTimeout {2500};

/// A run is stopped for lack of progress only if the worker's last report is younger than this.
constexpr milliseconds maxReportAge {1500};

/// Time to receive and store the end of a stopped run before its draining worker leaves.
constexpr milliseconds evacuationMargin {700};

/// Delay before a task is placed again after a start that was rejected or did not reach the worker.
constexpr milliseconds rejectedStartRetryDelay {20};

/// Time for which a worker that rejected a start is given no new tasks.
constexpr milliseconds rejectingWorkerPause {150};

/// Time after which a stop that was answered but has had no effect is repeated.
constexpr milliseconds stopRetryDelay {3000};

/// Margin for the time from the computation of a lease until the order is sent.
constexpr milliseconds sendDelayMargin {60};

/// A worker's clock that is further back than this has begun anew. Answers on several connections
/// overtake each other, which makes it seem to step back by less.
constexpr std::int64_t clockStepBackMs = 500;

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
        if (found->second.phase != run_phase::starting || !mayStart(found->second)) {
            orderStop(key, "unanswered");
        } else if (mayIssueStarts()) {
            sendStart(key); // otherwise `checkRuns` does
        }
    }
    const bool blocked = blockLateStarts(worker);
    return blocked || !unanswered.empty();
}

bool coordinator::isLive(const task_name &task)
{
    return findTask(m_tables, task) != nullptr && !m_tables.jobs.at(task.job).ending;
}

bool coordinator::mayStart(const run_entry &run)
{
    const auto &worker = m_tables.workers.at(run.worker);
    return isLive(run.key.task) && worker.entry.state == worker_state::ready && !worker.evacuated;
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
        auto line = describeRun(key);
        line["worker"] = worker.entry.id;
        line["life"] = worker.incarnation;
        line["possible_for_ms"] = since(m_timers.now(), start.possibleUntil).count();
        logEvent(log_level::info, "late_start_blocked", line);
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
            [this, key, incarnation = m_tables.workers.at(run.worker).incarnation](
                const result<run_command_reply> &answer) { onStopped(key, incarnation, answer); }));
}

void coordinator::onStopped(const run_key &key, std::int64_t incarnation,
                            const result<run_command_reply> &answer)
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
    // An earlier process of the worker may have answered, which does not block a late start.
    run.stopAnswered = answer->outcome != run_command_outcome::other_incarnation
                       && incarnation == worker.incarnation;
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
    const auto now = m_timers.now();
    if (!worker.verified || !mayStart(run)
        || (!run.longRunning && mayForgetUnreadEnds(worker, now))) {
        abandonStart(key, true);
        return;
    }
    if (!worker.awaitsContact && since(worker.reportAt, now) <= maxReportAgeAtStart) {
        sendStart(key);
        return;
    }
    if (!std::exchange(worker.awaitsContact, true)) {
        // A poll that is waiting at the worker may not break off when the worker restarts.
        worker.openPoll = 0;
    }
    worker.nextPollAt = now;
    pollIfDue(worker);
}

void coordinator::sendAwaitingStarts(const worker_status &worker)
{
    if (!mayIssueStarts()) {
        return; // `checkRuns` sends them
    }
    std::vector<run_key> awaiting;
    for (const auto &key : worker.runs) {
        const auto &run = m_tables.runs.at(key);
        if (isUnsent(run) && !run.callPending) {
            awaiting.push_back(key);
        }
    }
    const auto now = m_timers.now();
    for (const auto &key : awaiting) {
        const auto run = m_tables.runs.find(key);
        if (run == m_tables.runs.end()) {
            continue; // removed with another member of its gang
        }
        if (!mayStart(run->second)
            || (!run->second.longRunning && mayForgetUnreadEnds(worker, now))) {
            abandonStart(key, true);
        } else {
            sendStart(key);
        }
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
        addEvents(m_load.started, 1, run.orderedAt);
    }
    ++run.orders;
    run.callPending = true;
    if (run.orders > 1) {
        auto line = describeRun(key);
        line["worker"] = run.worker;
        line["attempt"] = run.orders;
        logEvent(log_level::info, "start_repeated", line);
    }
    m_workerCalls.startRun(worker.entry, order,
                           unlessClosed<run_command_reply>(
                               [this, key, id = worker.entry.id, incarnation = worker.incarnation](
                                   const result<run_command_reply> &answer) {
                                   const auto to = m_tables.workers.find(id);
                                   if (!answer && answer.error().kind != error_kind::unavailable
                                       && to != m_tables.workers.end()) {
                                       recordUnansweredStart(to->second, key, incarnation,
                                                             m_timers.now());
                                       onLeaseUnanswered(to->second, incarnation, m_timers.now());
                                   }
                                   onStarted(key, answer);
                               }));
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
    if (run.orders == 1) {
        recordAnswer(m_answerDelay, run.worker, now - run.orderedAt, now);
    }
    if (!answer) {
        ++m_unansweredStarts;
        worker.verified = false;
        worker.nextPollAt = now;
        auto line = describeRun(key);
        line["worker"] = run.worker;
        line["error"] = describe(answer.error());
        logEvent(log_level::warning, "start_unanswered", line);
        if (answer.error().kind == error_kind::unavailable && run.orders == 1
            && run.phase == run_phase::starting) {
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
            onTaskStarted(key);
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
            job->second.tickets[{key.task.occurrence, key.task.step}].adviceByWorker.erase(
                run.worker);
        }
    }
    abandonStart(key, false);
}

void coordinator::abandonStart(const run_key &key, bool avoid)
{
    const auto worker = m_tables.runs.at(key).worker;
    removeRun(m_tables, key);
    releaseTask(key);
    if (findTask(m_tables, key.task) == nullptr) {
        return;
    }
    if (auto *task = changeTask(m_tables, key.task)) {
        task->notBefore = m_timers.now() + rejectedStartRetryDelay;
        if (avoid) {
            task->avoidWorker = worker;
        }
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
    const bool startsPermitted = mayIssueStarts();
    for (auto &[key, run] : m_tables.runs) {
        if (run.callPending || run.phase == run_phase::running) {
            continue;
        }
        if (run.phase == run_phase::starting) {
            // The order may have been carried out or may still be. Repeating it is safe: the worker
            // gives the same answer. On a silent worker the lease of the run expires.
            if (!mayStart(run)) {
                toStop.push_back(key);
            } else if (!startsPermitted) {
                continue;
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
        // A truncated report may have left out the end of a run that it does not list.
        if (worker.verified && reportIsYoung && !worker.endsTruncated && !step.gang
            && since(run.progressAt, now) > expected) {
            toStop.push_back(key);
        }
    }
    for (const auto &key : toStop) {
        const auto &run = m_tables.runs.at(key);
        if (auto *task = changeTask(m_tables, key.task)) {
            task->avoidWorker = run.worker;
        }
        recordRunFailure(m_tables, m_tables.workers.at(run.worker), now);
        orderStop(key, "no_progress");
    }
}

} // namespace ibishinge::fleet
