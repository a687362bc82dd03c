#pragma once

#include <ibishinge/base/endpoint.h>
#include <ibishinge/outside/http_message.h>
#include <ibishinge/outside/target_client.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace ibishinge {

struct entry_service_options
{
    std::string incarnation; ///< differs for each run of the process
    std::vector<endpoint> targets;
};

/// The request path of an entry process: from a caller's HTTP request to its response.
class entry_service
{
public:
    /// Precondition: `targets` outlives the service.
    [[nodiscard]] static std::unique_ptr<entry_service> create(entry_service_options options,
                                                               target_client &targets);

    /// Handles one request of the callers' port. Thread-safe; blocks until the response is known.
    [[nodiscard]] http_response handle(const http_request &request);

private:
    entry_service(entry_service_options options, target_client &targets);

    [[nodiscard]] http_response handleServiceRequest(const http_request &request);

    entry_service_options m_options;
    target_client &m_targets;
    std::atomic<std::uint64_t> m_nextAttempt {0};
};

} // namespace ibishinge
