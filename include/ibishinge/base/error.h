#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

#include <tl/expected.hpp>

namespace ibishinge {

/// The closed list of error kinds. Every failure that a caller or operator can see has one of them.
enum class error_kind : std::uint8_t {
    invalid_request = 1, ///< malformed or out-of-bounds input
    unauthorized, ///< no key, unknown key, revoked key or key of another team
    unknown_entity, ///< unknown service, queue, team, job or host
    duplicate_id, ///< the request id was used with another body
    in_progress, ///< another attempt with the same id is being run
    conflict, ///< the record or document was changed in the meantime
    too_large, ///< body, header or value above its bound
    over_limit, ///< the team's upper limit is in use
    overloaded, ///< queue full, or the deadline cannot be met
    not_ready, ///< no recent configuration, or the store is needed and unavailable
    shutting_down, ///< the process no longer accepts work
    superseded, ///< a later release of the same id was found
    target_failed, ///< connection cut, bad length or malformed response
    target_timeout, ///< no complete response within the deadline
    outcome_unknown, ///< a write or a run may or may not have taken effect
    unavailable, ///< the other side was certainly not reached
    internal, ///< a defect in ibishinge
};

/// What is known about the run of a request when its response is sent.
enum class run_state : std::uint8_t {
    not_run, ///< no attempt with this id has run or will run
    attempt_not_run, ///< this attempt did not run and will not
    may_have_run, ///< nothing certain is known
    ran, ///< the response is the target's complete response
};

/// How a kind of error is presented to callers.
struct error_answer
{
    error_kind kind;
    std::string_view name; ///< name in the JSON body and in logs
    int httpStatus;
    bool provesNotRun; ///< true if the attempt certainly did not run
    bool retryable; ///< true if the response carries Retry-After
};

/// Returns the row of the answer table for `kind`. Thread-safe.
[[nodiscard]] const error_answer &answerFor(error_kind kind) noexcept;

/// Returns the name of `kind` as used in JSON bodies and logs. Thread-safe.
[[nodiscard]] std::string_view nameOf(error_kind kind) noexcept;

/// Returns the name of `state` as used in JSON bodies and logs. Thread-safe.
[[nodiscard]] std::string_view nameOf(run_state state) noexcept;

/// Category of `std::error_code` values made from `error_kind`. Thread-safe.
[[nodiscard]] const std::error_category &errorCategory() noexcept;

/// Found by argument-dependent lookup when an `error_kind` is assigned to a `std::error_code`.
[[nodiscard]] std::error_code make_error_code(error_kind kind) noexcept; // NOLINT

/// An error with the place it belongs to.
///
/// \code
/// return makeError(error_kind::invalid_request, "header Ibishinge-Team", "missing");
/// \endcode
struct error
{
    error_kind kind = error_kind::internal;
    std::string place; ///< setting, header, JSON pointer, address or key that the error is about
    std::string message;
    std::chrono::milliseconds retryAfter {0}; ///< when to come back; 0 if unknown
    int systemError = 0; ///< errno of a connection that could not be made; 0 if not known

    [[nodiscard]] std::error_code code() const noexcept
    {
        return make_error_code(kind);
    }
};

/// Returns true if the other side's system refused the connection, which shows that no process
/// listens there. A lost packet or an unreachable network does not. Thread-safe.
[[nodiscard]] bool isConnectionRefused(const error &e) noexcept;

/// Holds a value or an `error`.
template <class T>
using result = tl::expected<T, error>;

/// Returns an unexpected `error` that converts to any `result`. Thread-safe.
[[nodiscard]] tl::unexpected<error> makeError(error_kind kind, std::string place,
                                              std::string message);

/// Returns "place: message (kind)". Thread-safe.
[[nodiscard]] std::string describe(const error &e);

} // namespace ibishinge

template <>
struct std::is_error_code_enum<ibishinge::error_kind> : std::true_type
{
};
