#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/base/name.h>
#include <ibishinge/base/time.h>
#include <ibishinge/base/work_class.h>
#include <ibishinge/outside/http_message.h>

#include <chrono>
#include <string>

namespace ibishinge {

/// Team to which work on open services counts that came without the named team's key; otherwise
/// anybody could use up the limit of a team. Not a valid name, so no team can have it.
inline constexpr std::string_view openTeam = "*open*";

/// What a caller asks of a service, checked but not yet authorized.
struct service_request
{
    std::string service;
    std::string requestId;
    std::string team;
    std::string key; ///< secret; never logged
    std::chrono::milliseconds deadline {0}; ///< relative to the arrival
    work_class workClass = work_class::normal;
    bool idempotent = false;
    std::string body;
};

/// Bounds of what callers may ask for.
inline constexpr std::size_t maxRequestIdLength = maxNameLength;
inline constexpr std::chrono::milliseconds minDeadline {1};
/// Shorter than the retention time of ledger records, so that a record outlives all attempts.
inline constexpr std::chrono::milliseconds maxDeadline {600000};

/// Parses `POST /v1/services/<service>/requests`.
///
/// Errors: `invalid_request` with the header and what is allowed; `unknown_entity` for another
/// path. Thread-safe.
[[nodiscard]] result<service_request> parseServiceRequest(const http_request &request);

} // namespace ibishinge
