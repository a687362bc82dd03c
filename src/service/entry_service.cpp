#include <ibishinge/service/entry_service.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/base/secret.h>
#include <ibishinge/service/answer.h>
#include <ibishinge/state/ledger_record.h>

#include <utility>

namespace ibishinge {

namespace {

/// Time for writing a release after the deadline has passed: a few batches of the committer.
constexpr milliseconds releaseTime {250};

/// Covers all that makes two requests with the same id the same request.
std::string bodyHash(const service_request &request)
{
    return toHex(sha256(request.service + "\n", request.body));
}

attempt_outcome outcomeOf(const result<target_reply> &reply)
{
    if (reply) {
        if (reply->rejected) {
            return attempt_outcome::rejected;
        }
        return reply->status >= 500 ? attempt_outcome::error_response : attempt_outcome::complete;
    }
    switch (reply.error().kind) {
    case error_kind::unavailable:
        return attempt_outcome::unavailable;
    case error_kind::target_timeout:
        return attempt_outcome::timeout;
    default:
        return attempt_outcome::failed;
    }
}

attempt_report reportOf(const result<target_reply> &reply)
{
    attempt_report report;
    report.outcome = outcomeOf(reply);
    if (reply) {
        report.load = reply->load;
        report.leaving = reply->leaving;
    }
    return report;
}

/// Replays the response of an earlier attempt.
http_response keptAnswer(const stored_response &kept, const std::string &requestId)
{
    target_reply reply;
    reply.status = kept.status;
    reply.contentType = kept.contentType;
    reply.body = kept.body;
    return replyAnswer(reply, requestId);
}

/// Returns true if the target certainly did not run the request.
bool certainlyNotRun(const attempt_report &report)
{
    return report.outcome == attempt_outcome::unavailable
           || report.outcome == attempt_outcome::rejected;
}

} // namespace

std::unique_ptr<entry_service> entry_service::create(std::string incarnation,
                                                     const entry_dependencies &dependencies)
{
    return std::unique_ptr<entry_service>(new entry_service(std::move(incarnation), dependencies));
}

entry_service::entry_service(std::string incarnation, const entry_dependencies &dependencies)
    : m_incarnation(std::move(incarnation))
    , m_with(dependencies)
{
}

void entry_service::beginShutdown()
{
    m_stopping = true;
    m_with.dispatcher.beginShutdown();
}

http_response entry_service::handle(const http_request &request)
{
    if (request.path == "/healthz") {
        return jsonResponse(200, "{\"status\":\"ok\"}\n");
    }
    if (request.path == "/readyz") {
        return readiness();
    }
    if (request.path == "/metrics") {
        return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_with.metrics.text()};
    }
    return job_api::isJobPath(request.path) ? handleJobRequest(request)
                                            : handleServiceRequest(request);
}

http_response entry_service::handleJobRequest(const http_request &request)
{
    const auto team = authorizeJobRequest(request);
    if (!team) {
        m_with.metrics.add("ibishinge_rejected_total",
                           {{"error", std::string(nameOf(team.error().kind))}});
        return errorAnswer(team.error(), run_state::attempt_not_run, "");
    }
    http_response response = m_with.jobs.handle(request, *team);
    m_with.metrics.add("ibishinge_job_requests_total",
                       {{"team", *team}, {"status", std::to_string(response.status)}});
    return response;
}

result<std::string> entry_service::authorizeJobRequest(const http_request &request) const
{
    if (m_stopping) {
        return makeError(error_kind::shutting_down, "entry process", "shutting down");
    }
    const auto name = job_api::queueOf(request.path);
    const auto view = m_with.configuration.view();
    const queue_entry *queue = name ? findQueue(view.current->catalogue.value, *name) : nullptr;
    if (queue == nullptr) {
        return makeError(error_kind::unknown_entity, request.path, "no such queue");
    }
    const std::string team(findHeader(request.headers, "Ibishinge-Team").value_or(""));
    if (!isValidName(team)) {
        return makeError(error_kind::invalid_request, "header Ibishinge-Team",
                         "expected 1 to 64 characters of [A-Za-z0-9_-]");
    }
    const std::string key(findHeader(request.headers, "Ibishinge-Key").value_or(""));
    if (auto allowed = checkAccess(queue->access, team, key); !allowed) {
        return tl::unexpected(std::move(allowed.error()));
    }
    return team;
}

http_response entry_service::readiness() const
{
    const auto view = m_with.configuration.view();
    if (m_stopping) {
        return jsonResponse(503, "{\"status\":\"shutting_down\"}\n");
    }
    if (view.freshness.state != freshness_state::usable || view.current->revisions.catalogue == 0) {
        return errorAnswer(
            {error_kind::not_ready,
             "configuration",
             view.freshness.reason.empty() ? "no catalogue yet" : view.freshness.reason,
             {}},
            run_state::attempt_not_run, "");
    }
    if (!m_with.dispatcher.isReady()) {
        // Otherwise the balancer would send requests between the first poll of the store and the
        // first answer of the host list, and all of them would be refused.
        return errorAnswer({error_kind::not_ready, "dispatcher", "no target is known yet", {}},
                           run_state::attempt_not_run, "");
    }
    return jsonResponse(200, "{\"status\":\"ready\"}\n");
}

http_response entry_service::handleServiceRequest(const http_request &request)
{
    auto context = accept(request);
    if (!context) {
        const auto id = findHeader(request.headers, "Ibishinge-Request-Id").value_or("");
        m_with.metrics.add("ibishinge_rejected_total",
                           {{"error", std::string(nameOf(context.error().kind))}});
        auto refusal = errorAnswer(context.error(), run_state::attempt_not_run, std::string(id));
        countRefusal(request, refusal);
        return refusal;
    }
    http_response response = run(*context);
    const metric_labels labels {{"team", context->request.team},
                                {"service", context->request.service},
                                {"status", std::to_string(response.status)}};
    m_with.metrics.add("ibishinge_requests_total", labels);
    m_with.metrics.observe("ibishinge_request_seconds",
                           {{"team", context->request.team}, {"service", context->request.service}},
                           m_with.clock.now() - context->arrival);
    countAgainstObjective(*context->service, response, m_with.clock.now() - context->arrival);
    return response;
}

void entry_service::countAgainstObjective(const service_entry &service,
                                          const http_response &response,
                                          std::chrono::nanoseconds duration) const
{
    if (m_with.burn == nullptr) {
        return;
    }
    const bool ran = findHeader(response.headers, "Ibishinge-Run") == nameOf(run_state::ran);
    m_with.burn->record(service.name,
                        classifyRequest(response.status, ran, duration, service.latencyObjective),
                        duration);
}

void entry_service::countRefusal(const http_request &request, const http_response &response) const
{
    // Only a refusal for a state of the system, such as a configuration that is not fresh, counts.
    const auto parsed = parseServiceRequest(request);
    const auto config = m_with.configuration.view().current;
    const service_entry *service =
        parsed ? findService(config->catalogue.value, parsed->service) : nullptr;
    if (service != nullptr) {
        countAgainstObjective(*service, response, std::chrono::nanoseconds(0));
    }
}

result<entry_service::request_context> entry_service::accept(const http_request &request)
{
    request_context context;
    context.arrival = m_with.clock.now();
    context.attempt.attempt.revisionAtArrival = m_with.ledger.seenRevision();
    auto parsed = parseServiceRequest(request);
    if (!parsed) {
        return tl::unexpected(std::move(parsed.error()));
    }
    context.request = std::move(*parsed);
    context.deadline = context.arrival + context.request.deadline;
    context.config = m_with.configuration.view().current;
    context.service = findService(context.config->catalogue.value, context.request.service);
    if (context.service == nullptr) {
        return makeError(error_kind::unknown_entity, "service " + context.request.service,
                         "not in the catalogue");
    }
    auto authorized = checkAuthorized(context);
    if (!authorized) {
        return tl::unexpected(std::move(authorized.error()));
    }
    if (context.service->access.openToAll
        && !authorize(context.config->keys, context.config->catalogue.value,
                      {false, {context.request.team}}, context.request.team, context.request.key)) {
        context.request.team = openTeam;
    }
    context.attempt.team = context.request.team;
    context.attempt.requestId = context.request.requestId;
    context.attempt.attempt.id = m_incarnation + "-" + std::to_string(m_nextAttempt++);
    context.attempt.attempt.bodyHash = bodyHash(context.request);
    return context;
}

result<void> entry_service::checkAuthorized(const request_context &context) const
{
    return checkAccess(context.service->access, context.request.team, context.request.key);
}

result<void> entry_service::checkAccess(const access_rule &access, const std::string &team,
                                        const std::string &key) const
{
    const auto view = m_with.configuration.view();
    if (!access.openToAll && view.freshness.state != freshness_state::usable) {
        return makeError(error_kind::not_ready, "configuration", view.freshness.reason);
    }
    return authorize(view.current->keys, view.current->catalogue.value, access, team, key);
}

http_response entry_service::run(request_context &context)
{
    // Claimed before a slot is taken, so that no slot is idle while the claim is written.
    if (!context.request.idempotent) {
        const auto recent =
            m_recent.find(ledgerKey(context.attempt.team, context.attempt.requestId),
                          context.attempt.attempt.bodyHash);
        if (recent) {
            return keptAnswer(*recent, context.request.requestId);
        }
        if (m_with.ledger.isStoreFailing()) {
            return refuse(context, {error_kind::not_ready, "store", "the store is failing", {}});
        }
        const ledger_outcome claimed = m_with.ledger.claim(context.attempt, context.deadline);
        if (claimed.result != ledger_result::claimed) {
            return afterClaim(context, claimed);
        }
    }
    const dispatch_request wanted {context.request.team,      context.request.service,
                                   context.request.workClass, context.request.idempotent,
                                   context.service->maxRun,   context.deadline};
    auto slot = m_with.dispatcher.acquire(wanted);
    if (!slot) {
        return refuse(context, std::move(slot.error()));
    }
    return runInSlot(context, *slot);
}

http_response entry_service::runInSlot(request_context &context, dispatch_slot &slot)
{
    const attempt_report notSent {attempt_outcome::rejected, {}, false};
    // The key may have been withdrawn while the request waited, or while the process was frozen.
    if (auto authorized = checkAuthorized(context); !authorized) {
        m_with.dispatcher.complete(slot, notSent);
        return refuse(context, std::move(authorized.error()));
    }
    return callTarget(context, slot);
}

milliseconds entry_service::timeLeft(const request_context &context) const
{
    return std::chrono::duration_cast<milliseconds>(context.deadline - m_with.clock.now());
}

http_response entry_service::callTarget(request_context &context, dispatch_slot &slot)
{
    const target_call call {context.request.service,    context.request.team,
                            context.request.requestId,  context.attempt.attempt.id,
                            context.request.idempotent, context.request.body};
    bool retried = false;
    bool mayHaveRun = false; // At a target that was tried before.
    for (;;) {
        const auto reply = m_with.targets.call(slot.target.where, call, timeLeft(context));
        const attempt_report report = reportOf(reply);
        const bool notRun = certainlyNotRun(report);
        const bool repeatable =
            notRun || (context.request.idempotent && report.outcome == attempt_outcome::failed);
        if (repeatable && !retried && timeLeft(context).count() > 0) {
            retried = true;
            m_with.metrics.add("ibishinge_retries_total", {{"service", context.request.service}});
            if (auto moved = m_with.dispatcher.moveToOtherTarget(slot, report); moved) {
                mayHaveRun = !notRun;
                continue;
            }
            m_with.dispatcher.complete(slot, report);
        } else {
            m_with.dispatcher.complete(slot, report);
        }
        if (reply && !reply->rejected) {
            return finishRun(context, *reply);
        }
        error reason =
            reply ? error {error_kind::overloaded, "target", "the target is full or leaving", {}}
                  : reply.error();
        if (notRun && !mayHaveRun) {
            return refuse(context, std::move(reason));
        }
        return errorAnswer(reason, run_state::may_have_run, context.request.requestId);
    }
}

http_response entry_service::finishRun(request_context &context, const target_reply &reply)
{
    if (!context.request.idempotent) {
        const stored_response answer {reply.status, reply.contentType, reply.body};
        m_recent.note(ledgerKey(context.attempt.team, context.attempt.requestId),
                      context.attempt.attempt.bodyHash, answer);
        m_with.ledger.finishLater(context.attempt, answer);
    }
    return replyAnswer(reply, context.request.requestId);
}

http_response entry_service::afterClaim(request_context &context, const ledger_outcome &outcome)
{
    const std::string place = "request " + context.request.requestId;
    const std::string &id = context.request.requestId;
    switch (outcome.result) {
    case ledger_result::already_finished:
        if (outcome.found && outcome.found->record.answer) {
            return keptAnswer(*outcome.found->record.answer, id);
        }
        return errorAnswer({error_kind::outcome_unknown,
                            place,
                            "the request has run; its response was too large to be kept",
                            {}},
                           run_state::may_have_run, id);
    case ledger_result::claimed_by_other:
        return errorAnswer({error_kind::in_progress,
                            place,
                            "another attempt with this id may have run or may be running",
                            {}},
                           run_state::may_have_run, id);
    case ledger_result::duplicate_id:
        return errorAnswer(
            {error_kind::duplicate_id, place, "the id was used with another service or body", {}},
            run_state::attempt_not_run, id);
    case ledger_result::superseded:
        return refuse(context, {error_kind::superseded, place, "a later attempt was refused", {}});
    default:
        return refuse(context,
                      {error_kind::not_ready, "store", "the request could not be recorded", {}});
    }
}

http_response entry_service::refuse(request_context &context, error reason)
{
    const std::string &id = context.request.requestId;
    const auto logRefusal = [&](run_state state) {
        m_with.metrics.add("ibishinge_refused_total", {{"team", context.request.team},
                                                       {"error", std::string(nameOf(reason.kind))},
                                                       {"run", std::string(nameOf(state))}});
    };
    if (context.request.idempotent) {
        logRefusal(run_state::attempt_not_run);
        return errorAnswer(reason, run_state::attempt_not_run, id);
    }
    if (m_with.ledger.isStoreFailing()) {
        logRefusal(run_state::attempt_not_run);
        return errorAnswer(reason, run_state::attempt_not_run, id);
    }
    const auto outcome = m_with.ledger.release(context.attempt, m_with.clock.now() + releaseTime);
    if (outcome.result == ledger_result::released) {
        logRefusal(run_state::not_run);
        return errorAnswer(reason, run_state::not_run, id);
    }
    if (outcome.result == ledger_result::already_finished) {
        return afterClaim(context, outcome);
    }
    if (outcome.result == ledger_result::claimed_by_other) {
        logRefusal(run_state::may_have_run);
        return errorAnswer(reason, run_state::may_have_run, id);
    }
    // Without a release nothing is known of other attempts, but this one never runs.
    logRefusal(run_state::attempt_not_run);
    return errorAnswer(reason, run_state::attempt_not_run, id);
}

} // namespace ibishinge
