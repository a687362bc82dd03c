#pragma once

#include <ibishinge/base/metrics.h>
#include <ibishinge/base/time.h>
#include <ibishinge/outside/http_message.h>
#include <ibishinge/outside/target_client.h>
#include <ibishinge/service/burn_log.h>
#include <ibishinge/service/job_api.h>
#include <ibishinge/service/request_dispatcher.h>
#include <ibishinge/service/request_parser.h>
#include <ibishinge/state/configuration_cache.h>
#include <ibishinge/state/recent_answers.h>
#include <ibishinge/state/request_ledger.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace ibishinge {

/// What the request path works with.
struct entry_dependencies
{
    configuration_cache &configuration;
    request_dispatcher &dispatcher;
    request_ledger &ledger;
    target_client &targets;
    metrics_registry &metrics;
    const clock_source &clock;
    job_api &jobs;
    burn_log *burn = nullptr; ///< counts requests against their objectives; may be null
};

/// The request path of an entry process: from a caller's HTTP request to its response.
class entry_service
{
public:
    /// Precondition: the dependencies outlive the service; `incarnation` differs for each run of
    /// the process.
    [[nodiscard]] static std::unique_ptr<entry_service>
    create(std::string incarnation, const entry_dependencies &dependencies);

    /// Handles one request of the callers' port. Thread-safe; blocks until the response is known.
    [[nodiscard]] http_response handle(const http_request &request);

    /// From here on `/readyz` fails and new requests are refused with `shutting_down`.
    void beginShutdown();

private:
    /// One request on its way through the process.
    struct request_context
    {
        service_request request;
        const service_entry *service = nullptr;
        std::shared_ptr<const configuration> config; ///< keeps `service` alive
        monotonic_time arrival;
        monotonic_time deadline;
        request_attempt attempt; ///< used for non-idempotent requests only
    };

    entry_service(std::string incarnation, const entry_dependencies &dependencies);

    [[nodiscard]] http_response handleJobRequest(const http_request &request);
    [[nodiscard]] result<std::string> authorizeJobRequest(const http_request &request) const;
    [[nodiscard]] result<void> checkAccess(const access_rule &access, const std::string &team,
                                           const std::string &key) const;
    [[nodiscard]] http_response handleServiceRequest(const http_request &request);
    [[nodiscard]] http_response readiness() const;
    void countAgainstObjective(const service_entry &service, const http_response &response,
                               std::chrono::nanoseconds duration) const;
    void countRefusal(const http_request &request, const http_response &response) const;
    [[nodiscard]] result<request_context> accept(const http_request &request);
    [[nodiscard]] result<void> checkAuthorized(const request_context &context) const;
    [[nodiscard]] http_response run(request_context &context);
    [[nodiscard]] http_response runInSlot(request_context &context, dispatch_slot &slot);
    [[nodiscard]] http_response callTarget(request_context &context, dispatch_slot &slot);
    [[nodiscard]] http_response afterClaim(request_context &context, const ledger_outcome &outcome);
    [[nodiscard]] http_response refuse(request_context &context, error reason);
    [[nodiscard]] http_response finishRun(request_context &context, const target_reply &reply);
    [[nodiscard]] milliseconds timeLeft(const request_context &context) const;

    const std::string m_incarnation;
    entry_dependencies m_with;
    recent_answers m_recent;
    std::atomic<std::uint64_t> m_nextAttempt {0};
    std::atomic<bool> m_stopping {false};
};

} // namespace ibishinge
