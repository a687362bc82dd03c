#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/outside/http_message.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace ibishinge {

/// Returns the response to a request that must not be read, or nothing: its length is ambiguous
/// (both framings, two lengths, an unreadable one: RFC 9112, section 6.1), it has too many header
/// fields, or it announces a body of more than `maxBodyBytes`. Thread-safe.
[[nodiscard]] std::optional<http_response> refuseByFraming(const http_request &request,
                                                           std::size_t maxBodyBytes);

/// Returns the announced length of the body; nothing if there is none or it cannot be read.
/// Thread-safe.
[[nodiscard]] std::optional<std::uint64_t> announcedLength(const http_request &request);

/// Returns the response to a request whose body does not fit the memory budget. Thread-safe.
[[nodiscard]] http_response overBudgetResponse();

/// Returns the response for a process that is stopping. Thread-safe.
[[nodiscard]] http_response shuttingDownResponse();

/// Returns the response for a handler that ended with an exception. Thread-safe.
[[nodiscard]] http_response failedResponse();

/// Returns the response for a handler that passed on no response. Thread-safe.
[[nodiscard]] http_response unansweredResponse();

/// Returns the response to a request that was not read to its end. Thread-safe.
[[nodiscard]] http_response unreadRequestResponse(error_kind kind, std::string_view message);

/// Returns true if the body's length cannot be told for certain. Thread-safe.
[[nodiscard]] bool hasAmbiguousLength(const http_request &request);

/// CivetWeb drops further fields without an error (its constant MG_MAX_HEADERS).
inline constexpr std::size_t maxHeaderCount = 64;

} // namespace ibishinge
