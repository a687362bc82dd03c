#include <ibishinge/fleet/coordinator.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/base/processor_time.h>
#include <ibishinge/fleet/admission.h>
#include <ibishinge/fleet/backlog/job_memory.h>
#include <ibishinge/fleet/backlog/occurrence_window.h>
#include <ibishinge/fleet/objective.h>
#include <ibishinge/fleet/record_codec.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// The store counts as unavailable if a write has been without success for this long: twice its
/// response time when it is slow.
constexpr milliseconds storeTimeout {500};

/// Time after which callers are told to retry while the store is unavailable or the coordinator is
/// not ready.
constexpr milliseconds retryAfterUnavailable {1000};

/// Retention time of final states; callers may ask for them for two minutes.
constexpr std::int64_t endedRetentionMs = 240'000;
constexpr milliseconds pruneInterval {5000};
constexpr std::size_t maxPrunedAtOnce = 200;

/// Maximum number of ids without a job whose cancellation is remembered.
/// A coordinator reads them when it takes over, in pages of some 500.
constexpr std::size_t maxWithdrawnIds = 5'000;
constexpr milliseconds retryAfterTooManyWithdrawn {10'000};
constexpr std::string_view tooLateMessage = "the submission arrived after its caller's time-out";
constexpr std::string_view withdrawnMessage = "the job was cancelled before it was submitted";

/// Length of a job's id in hexadecimal digits, set by the callers' protocol.
constexpr std::size_t jobIdLength = 16;

bool isJobId(std::string_view text)
{
    return text.size() == jobIdLength
           && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

caller_answer answerOf(answer_kind kind, std::string message = {}, milliseconds retryAfter = {})
{
    caller_answer answer;
    answer.kind = kind;
    answer.message = std::move(message);
    answer.retryAfter = retryAfter;
    return answer;
}

/// Returns the fields of log lines that tell a forecast, counted from `now`.
nlohmann::json describeForecast(const forecast_judgement &judgement, instant now)
{
    auto fields = nlohmann::json::object();
    if (judgement.forecast) {
        fields = {{"forecast_ms", since(now, judgement.forecast->end).count()},
                  {"ahead_core_ms", std::round(judgement.forecast->aheadCoreMs)},
                  {"capacity_cores", judgement.forecast->capacityCores}};
    }
    return fields;
}

admission_decision refusalFor(refusal_cause cause)
{
    admission_decision decision;
    decision.cause = cause;
    return decision;
}

/// Returns the answer to a submission whose job was not stored, as far as the writer knows.
caller_answer answerToUnstoredSubmission(error_kind kind)
{
    switch (kind) {
    case error_kind::conflict:
        // The store holds a final state of this job, so it must not be answered as rejected.
        return answerOf(answer_kind::outcome_unknown, "the job has ended");
    case error_kind::outcome_unknown:
        // An attempt without an answer may have stored the job, and a later coordinator runs it.
        return answerOf(answer_kind::outcome_unknown, "the coordinator was replaced");
    default:
        return answerOf(answer_kind::not_ready, "the store is away", retryAfterUnavailable);
    }
}

/// Answers all callers that wait for the job `id`.
void answerWaiters(std::map<std::string, std::vector<answer_handler>> &waiters,
                   const std::string &id, const caller_answer &answer)
{
    const auto found = waiters.find(id);
    if (found == waiters.end()) {
        return;
    }
    const auto handlers = std::move(found->second);
    waiters.erase(found);
    for (const auto &done : handlers) {
        done(answer);
    }
}

} // namespace

void coordinator::handle(const caller_request &request, answer_handler done)
{
    const processor_time_scope used(m_metrics, work_kind::callers);
    const auto version = m_tables.config.version;
    const auto finish = [version, done = std::move(done)](caller_answer answer) {
        answer.version = version;
        done(answer);
    };
    if (!isServing() || request.servedConfigVersion > version) {
        finish(answerOf(answer_kind::not_ready, "the coordinator is not ready",
                        retryAfterUnavailable));
        return;
    }
    const auto *const queue = findQueue(m_tables.config, request.host, request.path);
    if (queue == nullptr) {
        finish(answerOf(answer_kind::no_such_queue, "no queue has this host and path"));
        return;
    }
    std::string customer;
    const auto owner = m_tables.config.customerOfKey.find(request.key);
    if (owner != m_tables.config.customerOfKey.end()) {
        customer = owner->second;
    } else if (!queue->openToAll) {
        finish(answerOf(answer_kind::unauthorized, "the key is not known"));
        return;
    }
    const auto id = request.path.substr(queue->prefix.size());
    if (request.operation == caller_operation::count_waiting || id.empty()) {
        auto answer = answerOf(answer_kind::counted);
        for (const auto &[name, job] : m_tables.jobs) {
            answer.waiting += job.stored && !job.begun && job.queue == queue->name ? 1 : 0;
        }
        finish(std::move(answer));
        return;
    }
    if (!isJobId(id)) {
        finish(answerOf(answer_kind::invalid, "a job's id has 16 hexadecimal digits"));
        return;
    }
    switch (request.operation) {
    case caller_operation::submit:
        submit(request, *queue, customer, finish);
        break;
    case caller_operation::show:
        show(id, finish);
        break;
    case caller_operation::cancel:
        cancel(id, finish);
        break;
    case caller_operation::count_waiting:
        break;
    }
}

bool coordinator::acceptsSubmissions() const
{
    return m_writer->stalledFor() <= storeTimeout;
}

void coordinator::submit(const caller_request &request, const queue_config &queue,
                         const std::string &customer, const answer_handler &done)
{
    const auto id = request.path.substr(queue.prefix.size());
    const auto known = m_tables.jobs.find(id);
    if (known != m_tables.jobs.end()) {
        if (known->second.stored) {
            done(answerOf(answer_kind::accepted));
        } else {
            m_submitWaiters[id].push_back(done);
        }
        return;
    }
    if (m_tables.ended.count(id) > 0) {
        done(answerOf(answer_kind::accepted));
        return;
    }
    const auto withdrawn = m_tables.withdrawn.find(id);
    if (withdrawn != m_tables.withdrawn.end()) {
        if (withdrawn->second.stored) {
            done(answerOf(answer_kind::invalid, std::string(withdrawnMessage)));
        } else {
            m_submitWaiters[id].push_back(done);
        }
        return;
    }
    const auto reject = [&](const caller_answer &answer, const admission_decision &decision,
                            const forecast_judgement &judgement = {}) {
        auto fields = describeForecast(judgement, m_timers.now());
        fields.update({{"job", id},
                       {"queue", queue.name},
                       {"customer", customer},
                       {"answer", nameOf(answer.kind)},
                       {"reason", answer.message},
                       {"cause", nameOf(decision.cause)},
                       {"predicted_ms", decision.predicted.count()},
                       {"objective_ms", decision.objective.count()},
                       {"retry_after_ms", answer.retryAfter.count()},
                       {"config", m_tables.config.version}});
        logEvent(log_level::info, "job_refused", fields);
        m_metrics.add("ibishinge_jobs_refused_total",
                      {{"reason", std::string(nameOf(decision.cause))}});
        done(answer);
    };
    if (request.validUntil && m_timers.now() >= *request.validUntil) {
        // Nobody waits for the answer any more, and the caller has been told that the outcome is
        // unknown.
        reject(answerOf(answer_kind::not_ready, std::string(tooLateMessage), retryAfterUnavailable),
               refusalFor(refusal_cause::past_deadline));
        return;
    }
    if (!request.spec) {
        reject(answerOf(answer_kind::invalid, "a submission needs a description of the job"),
               refusalFor(refusal_cause::invalid));
        return;
    }
    if (const auto problem = findProblem(*request.spec)) {
        reject(answerOf(answer_kind::invalid, *problem), refusalFor(refusal_cause::invalid));
        return;
    }
    if (!acceptsSubmissions()) {
        reject(answerOf(answer_kind::not_ready, "the store is away", retryAfterUnavailable),
               refusalFor(refusal_cause::store_away));
        return;
    }
    const auto tasks =
        std::accumulate(request.spec->steps.begin(), request.spec->steps.end(), 0,
                        [](int sum, const step_spec &step) { return sum + step.count; });
    if (const auto retryAfter = limitSubmission(m_load, tasks, m_timers.now())) {
        ++m_rejectedForLag;
        auto answer = answerOf(answer_kind::overloaded, "the coordinator is behind", *retryAfter);
        answer.coordinatorOverloaded = true;
        reject(answer, refusalFor(refusal_cause::coordinator_behind));
        return;
    }
    job_entry job;
    job.id = id;
    job.queue = queue.name;
    job.pool = queue.pool;
    job.customer = customer;
    job.spec = *request.spec;
    job.acceptedWallMs = m_timers.wallMs();
    job.submittedAt = m_timers.now();
    for (const auto &step : job.spec.steps) {
        job.longRunning = job.longRunning || step.longRunning;
    }
    estimateJob(m_tables, job);
    auto record = encodeJob(job);
    if (record.size() > maxJobRecordBytes) {
        reject(answerOf(answer_kind::invalid,
                        "the description takes " + std::to_string(record.size())
                            + " bytes in the store, at most " + std::to_string(maxJobRecordBytes)),
               refusalFor(refusal_cause::invalid));
        return;
    }
    auto decision = decideAdmission(m_tables, job, queue, m_timers.now());
    forecast_judgement judgement;
    const bool forecasts = m_settings.forecastRejection != forecast_mode::off;
    // A job that no host can run gets no forecast, which would remember its labels.
    if (forecasts && decision.verdict == admission_verdict::accept) {
        judgement =
            judgeForecast(m_forecast, m_tables, m_sizing, job,
                          m_settings.forecastRejection == forecast_mode::on, m_timers.now());
        decision = decideAdmission(m_tables, job, queue, m_timers.now(), &judgement);
    }
    if (decision.verdict != admission_verdict::accept) {
        if (decision.cause == refusal_cause::forecast) {
            recordRejection(m_forecast, m_tables, job, judgement, m_timers.now());
        }
        reject(answerOf(decision.verdict == admission_verdict::never ? answer_kind::invalid
                                                                     : answer_kind::overloaded,
                        decision.reason, decision.retryAfter),
               decision, judgement);
        return;
    }
    if (forecasts) {
        if (judgement.objectiveFrom < job.submittedAt) {
            job.submittedAt = judgement.objectiveFrom;
            estimateJob(m_tables, job);
        }
        if (judgement.forecast) {
            job.forecastEnd = judgement.forecast->end;
            job.forecastWithoutReturns = judgement.endWithoutReturns;
        }
        recordAcceptance(m_forecast, m_tables, job, m_timers.now());
    }
    auto fields = describeForecast(judgement, m_timers.now());
    fields.update({{"job", id},
                   {"queue", queue.name},
                   {"customer", customer},
                   {"predicted_ms", decision.predicted.count()},
                   {"objective_ms", decision.objective.count()},
                   {"config", m_tables.config.version}});
    logEvent(log_level::info, "job_admitted", fields);
    m_submitWaiters[id].push_back(done);
    write_unit unit;
    unit.changes.push_back({std::string(jobPrefix) + id, std::move(record)});
    unit.guards.push_back(std::string(endedPrefix) + id);
    unit.droppable = true;
    unit.done = [this, id, since = m_timers.now()](const result<void> &stored) {
        const auto found = m_tables.jobs.find(id);
        if (m_closed || found == m_tables.jobs.end()) {
            return;
        }
        if (!stored) {
            removeJob(m_tables, id, m_timers.now());
            answerWaiters(m_submitWaiters, id, answerToUnstoredSubmission(stored.error().kind));
            return;
        }
        found->second.stored = true;
        m_metrics.observe("ibishinge_store_job_seconds", {}, m_timers.now() - since);
        logEvent(log_level::info, "job_accepted", {{"job", id}});
        answerWaiters(m_submitWaiters, id, answerOf(answer_kind::accepted));
        openDueOccurrences(found->second, m_timers.wallMs(), 0);
        m_windowMoved = m_windowMoved || found->second.spec.repetitions > 1;
        requestSchedulingPass();
    };
    addJob(m_tables, std::move(job));
    m_writer->add(id, std::move(unit));
    // If the store is slow, the caller is told early that the outcome is unknown, while it still
    // has time to repeat the request.
    callAfter(storeTimeout, [this, id] {
        const auto found = m_tables.jobs.find(id);
        if (found != m_tables.jobs.end() && !found->second.stored) {
            ++m_unresolvedSubmissions;
            logEvent(log_level::warning, "submission_open",
                     {{"job", id},
                      {"store_waiting", m_writer->waiting()},
                      {"store_stalled_ms", m_writer->stalledFor().count()}});
            answerWaiters(m_submitWaiters, id,
                          answerOf(answer_kind::outcome_unknown, "the store has not answered"));
        }
    });
}

void coordinator::show(const std::string &id, const answer_handler &done)
{
    auto answer = answerOf(answer_kind::job_found);
    const auto live = m_tables.jobs.find(id);
    const auto ended = m_tables.ended.find(id);
    if (ended != m_tables.ended.end()) {
        answer.state = ended->second.first;
    } else if (live != m_tables.jobs.end() && live->second.stored) {
        answer.state = live->second.state;
    } else if (live != m_tables.jobs.end()) {
        answer = answerOf(answer_kind::not_ready, "the job is being stored", retryAfterUnavailable);
    } else {
        answer.kind = answer_kind::no_such_job;
    }
    done(answer);
}

void coordinator::cancel(const std::string &id, const answer_handler &done)
{
    if (m_tables.ended.count(id) > 0) {
        done(answerOf(answer_kind::cancelled));
        return;
    }
    const auto found = m_tables.jobs.find(id);
    if (found == m_tables.jobs.end()) {
        withdraw(id, done);
        return;
    }
    auto &job = found->second;
    if (!job.stored) {
        done(answerOf(answer_kind::not_ready, "the job is being stored", retryAfterUnavailable));
        return;
    }
    logEvent(log_level::info, "job_cancelling", {{"job", id}, {"queue", job.queue}});
    m_cancelWaiters[id].push_back(done);
    if (!job.ending) {
        endJob(job, job_state::cancelled);
    }
}

void coordinator::withdraw(const std::string &id, const answer_handler &done)
{
    const auto wallMs = m_timers.wallMs();
    const auto known = m_tables.withdrawn.find(id);
    m_forecast.returns.erase(id);
    if (known != m_tables.withdrawn.end()) {
        if (!known->second.stored) {
            m_cancelWaiters[id].push_back(done);
            return;
        }
        if (wallMs - known->second.wallMs < endedRetentionMs / 2) {
            done(answerOf(answer_kind::no_such_job));
            return;
        }
    }
    if (!acceptsSubmissions()) {
        done(answerOf(answer_kind::not_ready, "the store is away", retryAfterUnavailable));
        return;
    }
    if (known == m_tables.withdrawn.end() && m_tables.withdrawn.size() >= maxWithdrawnIds) {
        done(answerOf(answer_kind::overloaded, "too many cancellations of unknown jobs",
                      retryAfterTooManyWithdrawn));
        return;
    }
    const auto before = std::exchange(m_tables.withdrawn[id], {wallMs, false});
    m_cancelWaiters[id].push_back(done);
    write_unit unit;
    unit.changes.push_back(
        {std::string(endedPrefix) + id, encodeEnded({job_state::cancelled, wallMs, false})});
    unit.droppable = true;
    unit.done = [this, id, before](const result<void> &stored) {
        if (m_closed) {
            return;
        }
        auto toCancellation = answerOf(answer_kind::no_such_job);
        auto toSubmission = answerOf(answer_kind::invalid, std::string(withdrawnMessage));
        if (stored) {
            m_tables.withdrawn.at(id).stored = true;
            logEvent(log_level::info, "job_withdrawn", {{"job", id}});
        } else {
            toCancellation =
                answerOf(answer_kind::not_ready, "the store is away", retryAfterUnavailable);
            if (before.stored) {
                m_tables.withdrawn.at(id) = before;
            } else {
                m_tables.withdrawn.erase(id);
                toSubmission = toCancellation;
            }
        }
        answerWaiters(m_cancelWaiters, id, toCancellation);
        answerWaiters(m_submitWaiters, id, toSubmission);
    };
    m_writer->add(id, std::move(unit));
    callAfter(storeTimeout, [this, id] {
        const auto found = m_tables.withdrawn.find(id);
        if (found != m_tables.withdrawn.end() && !found->second.stored) {
            const auto answer =
                answerOf(answer_kind::outcome_unknown, "the store has not answered");
            answerWaiters(m_cancelWaiters, id, answer);
            answerWaiters(m_submitWaiters, id, answer);
        }
    });
}

void coordinator::measureForecast(const job_entry &job)
{
    const auto now = m_timers.now();
    if (!job.forecastEnd || job.spec.repetitions > 0) {
        return;
    }
    const auto error = forecastError(job, now);
    auto &errors = m_forecast.errors[job.queue];
    logEvent(log_level::info, "job_finished",
             {{"job", job.id},
              {"queue", job.queue},
              {"forecast_ms", since(job.submittedAt, *job.forecastEnd).count()},
              {"actual_ms", since(job.submittedAt, now).count()},
              {"objective_ms", since(job.submittedAt, job.objectiveAt).count()},
              {"error_ms", error.count()},
              {"margin_ms", errors.margin.count()},
              {"observed", errors.observed}});
    m_metrics.observe("ibishinge_forecast_error_seconds",
                      {{"queue", job.queue}, {"direction", error.count() < 0 ? "early" : "late"}},
                      std::chrono::abs(error));
    observeForecastError(errors, error);
}

void coordinator::endJob(job_entry &job, job_state state)
{
    job.ending = true;
    if (state == job_state::completed) {
        measureForecast(job);
    }
    write_unit unit;
    unit.changes.push_back(
        {std::string(endedPrefix) + job.id, encodeEnded({state, m_timers.wallMs(), true})});
    unit.changes.push_back({std::string(jobPrefix) + job.id, std::nullopt});
    unit.changes.push_back({std::string(progressPrefix) + job.id, std::nullopt});
    unit.done = [this, id = job.id, state](const result<void> &stored) {
        if (m_closed) {
            return;
        }
        if (!stored) {
            // This happens only if the coordinator was replaced; the next one finds the job
            // unchanged.
            logEvent(log_level::warning, "job_end_not_stored", {{"job", id}});
            return;
        }
        const auto found = m_tables.jobs.find(id);
        m_metrics.add("ibishinge_jobs_ended_total", {{"state", std::string(nameOf(state))}});
        if (state == job_state::completed) {
            m_metrics.observe("ibishinge_job_seconds", {{"queue", found->second.queue}},
                              m_timers.now() - found->second.submittedAt);
        }
        logEvent(log_level::info, "job_ended",
                 {{"job", id},
                  {"state", nameOf(state)},
                  {"reason", found->second.failureReason},
                  {"age_ms", since(found->second.submittedAt, m_timers.now()).count()},
                  {"objective_ms",
                   since(found->second.submittedAt, found->second.objectiveAt).count()}});
        m_tables.ended[id] = {state, m_timers.wallMs()};
        m_dirtyJobs.erase(id);
        removeJob(m_tables, id, m_timers.now());
        stopRunsOf(id, "job_ended");
        answerWaiters(m_cancelWaiters, id, answerOf(answer_kind::cancelled));
        requestSchedulingPass();
    };
    m_writer->add(job.id, std::move(unit));
}

void coordinator::pruneEnded()
{
    m_nextPruneAt = m_timers.now() + pruneInterval;
    const auto oldest = m_timers.wallMs() - endedRetentionMs;
    const auto prune = [&](auto &entries, const auto &isOld) {
        std::size_t pruned = 0;
        for (auto entry = entries.begin(); entry != entries.end() && pruned < maxPrunedAtOnce;) {
            if (!isOld(entry->second)) {
                ++entry;
                continue;
            }
            write_unit unit;
            unit.changes.push_back({std::string(endedPrefix) + entry->first, std::nullopt});
            m_writer->add(entry->first, std::move(unit));
            entry = entries.erase(entry);
            ++pruned;
        }
    };
    prune(m_tables.ended, [oldest](const auto &ended) { return ended.second <= oldest; });
    prune(m_tables.withdrawn,
          [oldest](const withdrawn_id &each) { return each.stored && each.wallMs <= oldest; });
}

} // namespace ibishinge::fleet
