#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace ibishinge {

/// State of the ledger record of a request id.
enum class ledger_state : std::uint8_t {
    claimed, ///< an attempt may run; written before the first byte is sent to a target
    finished, ///< the complete response of the target was received
    released, ///< no attempt that arrived before this write has run or will run
};

/// A complete response of a target, stored so that it can be returned for retries.
struct stored_response
{
    int status = 0;
    std::string contentType;
    std::string body; ///< any bytes
    bool operator==(const stored_response &) const = default;
};

/// Largest body of a stored response, in bytes. A larger response is not stored or replayed.
inline constexpr std::size_t maxStoredResponseBytes = 4096;

/// Stored state of one request id.
struct ledger_record
{
    ledger_state state = ledger_state::claimed;
    std::string attemptId; ///< the attempt that wrote this record
    std::string bodyHash; ///< see `ledger_attempt::bodyHash`
    /// Only in state `finished`; none if the response was too large.
    std::optional<stored_response> answer;
    bool operator==(const ledger_record &) const = default;
};

/// A record in the store with the revision of its last change.
struct versioned_record
{
    std::int64_t modRevision = 0;
    ledger_record record;
};

/// One arrival of a non-idempotent request at one process.
struct ledger_attempt
{
    std::string id; ///< incarnation of the process and a counter; never used twice
    std::string bodyHash; ///< hash of all parts of the request that a retry must repeat
    std::int64_t revisionAtArrival = 0; ///< highest store revision that the process knew on arrival
};

/// Operation on the record of a request id.
enum class ledger_operation : std::uint8_t {
    claim, ///< before the request is dispatched
    finish, ///< after the complete response of the target
    release, ///< before the caller is told "not run"; only if the attempt has not run and will not
};

/// Result of an operation.
enum class ledger_result : std::uint8_t {
    claimed, ///< this attempt may be dispatched
    finished, ///< the response of this attempt is recorded
    released, ///< no attempt that arrived before the release has run or will run
    already_finished, ///< another attempt has run
    claimed_by_other, ///< another attempt may have run or may still run
    superseded, ///< released after this attempt arrived; it must not be dispatched
    duplicate_id, ///< the id was used for a request with another body hash
    /// `finish` did not find the claim of the attempt, for example because the record expired.
    not_claimed,
    outcome_unknown, ///< a write of this attempt may take effect or may have taken effect
    unavailable, ///< no write of this operation has taken or will take effect
};

/// Result of an operation with the record it is based on.
struct ledger_outcome
{
    ledger_result result = ledger_result::outcome_unknown;
    std::optional<versioned_record> found; ///< the record that the result is based on, if known
};

/// A write of `record` that applies only if the stored record still has `expectedRevision`.
struct ledger_write
{
    std::int64_t expectedRevision = 0; ///< 0: no record must exist
    ledger_record record;
};

/// Next step of an operation: a write to send, or its result.
using ledger_step = std::variant<ledger_write, ledger_outcome>;

/// Outcome of one write.
enum class ledger_write_outcome : std::uint8_t {
    applied,
    rejected, ///< not applied, because the record had another revision
    unavailable, ///< certainly not applied, now or later
    uncertain, ///< may have been applied or may be applied later
};

/// Returns the next step of `operation` if the store has the record `found` (none: no record).
///
/// `found` may be an assumption. An operation starts with the record that its attempt knows: none
/// before a claim, its own claim afterwards. A wrong assumption costs one more write, because the
/// store returns the record that it has instead. `answer` is used only by `finish`; it is not
/// stored if its body is larger than `maxStoredResponseBytes`.
///
/// A release replaces an existing release of another attempt, because "not run" must also hold for
/// attempts that arrived between the two. Thread-safe.
[[nodiscard]] ledger_step nextStep(ledger_operation operation, const ledger_attempt &attempt,
                                   const std::optional<versioned_record> &found,
                                   const std::optional<stored_response> &answer = {});

/// Returns the step that follows the write `sent` after its `outcome` is known.
///
/// It is the same write again if it was neither applied nor rejected; the caller decides whether
/// the deadline permits that. `revision` is the store revision of an applied write.
/// `current` is the record that the store had when it rejected the write; if that is the record of
/// the write, an earlier send of it was applied. Thread-safe.
[[nodiscard]] ledger_step nextStepAfterWrite(ledger_operation operation,
                                             const ledger_attempt &attempt,
                                             const ledger_write &sent, ledger_write_outcome outcome,
                                             std::int64_t revision,
                                             const std::optional<versioned_record> &current);

/// Returns the result of an operation whose deadline passed before its outcome was known.
/// `maybeSent` is true if one of its writes may have been applied or may still be applied.
/// Thread-safe.
[[nodiscard]] ledger_outcome deadlineOutcome(bool maybeSent);

} // namespace ibishinge
