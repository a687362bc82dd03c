#pragma once

#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/error.h>
#include <ibishinge/outside/http_message.h>

#include <chrono>
#include <optional>
#include <string>

namespace ibishinge {

/// One attempt to run a request at a target.
struct target_call
{
    std::string service;
    std::string team;
    std::string requestId;
    std::string attemptId; ///< differs for each attempt, also of the same request
    bool idempotent = false;
    std::string body;
};

/// A target's complete response and what it says of itself.
struct target_reply
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool rejected = false; ///< the target states that it did not run the request
    bool leaving = false; ///< the target asks for no further requests
    std::optional<int> load; ///< requests in progress at the target, from all callers
};

/// Sends requests to targets. Implementations are thread-safe and block.
class target_client
{
public:
    virtual ~target_client() = default;

    /// Errors: `unavailable` if no byte was sent to the target, so that the attempt did not run;
    /// `target_timeout` and `target_failed` otherwise.
    [[nodiscard]] virtual result<target_reply> call(const endpoint &target, const target_call &call,
                                                    std::chrono::milliseconds timeout) = 0;
};

} // namespace ibishinge
