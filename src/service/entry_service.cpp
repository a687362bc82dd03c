#include <ibishinge/service/entry_service.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/service/answer.h>
#include <ibishinge/service/request_parser.h>

#include <utility>

namespace ibishinge {

std::unique_ptr<entry_service> entry_service::create(entry_service_options options,
                                                     target_client &targets)
{
    return std::unique_ptr<entry_service>(new entry_service(std::move(options), targets));
}

entry_service::entry_service(entry_service_options options, target_client &targets)
    : m_options(std::move(options))
    , m_targets(targets)
{
}

http_response entry_service::handle(const http_request &request)
{
    if (request.path == "/healthz") {
        return jsonResponse(200, "{\"status\":\"ok\"}\n");
    }
    return handleServiceRequest(request);
}

http_response entry_service::handleServiceRequest(const http_request &request)
{
    const auto parsed = parseServiceRequest(request);
    if (!parsed) {
        return errorAnswer(parsed.error(), run_state::attempt_not_run, "");
    }
    const std::uint64_t number = m_nextAttempt++;
    if (m_options.targets.empty()) {
        return errorAnswer({error_kind::not_ready, "service " + parsed->service, "no targets", {}},
                           run_state::attempt_not_run, parsed->requestId);
    }
    const endpoint &target = m_options.targets[number % m_options.targets.size()];
    target_call call {parsed->service,    parsed->team,
                      parsed->requestId,  m_options.incarnation + "-" + std::to_string(number),
                      parsed->idempotent, parsed->body};
    const auto reply = m_targets.call(target, call, parsed->deadline);
    if (!reply) {
        const auto state = answerFor(reply.error().kind).provesNotRun ? run_state::attempt_not_run
                                                                      : run_state::may_have_run;
        return errorAnswer(reply.error(), state, parsed->requestId);
    }
    return replyAnswer(*reply, parsed->requestId);
}

} // namespace ibishinge
