#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/outside/http_message.h>
#include <ibishinge/outside/target_client.h>

#include <string>

namespace ibishinge {

/// Returns the response to a caller whose request failed or was rejected.
///
/// The body is JSON with `error`, `run`, `message`, `request_id` and, if the kind is retryable,
/// `retry_after_ms`; such responses also carry `Retry-After` in whole seconds. Thread-safe.
[[nodiscard]] http_response errorAnswer(const error &e, run_state state,
                                        const std::string &requestId);

/// Returns the response that carries a target's complete reply. Thread-safe.
[[nodiscard]] http_response replyAnswer(const target_reply &reply, const std::string &requestId);

} // namespace ibishinge
