#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace ibishinge {

enum class ledger_state : std::uint8_t {
    claimed, ///< written before the first byte is sent to a target
    finished, ///< the target's complete response was received
    released, ///< no attempt that arrived before this write has run or will run
};

/// A target's complete response, kept for retries.
struct stored_response
{
    int status = 0;
    std::string contentType;
    std::string body; ///< any bytes
    bool operator==(const stored_response &) const = default;
};

/// Largest body of a kept answer, in bytes. Larger ones are not replayed.
inline constexpr std::size_t maxStoredResponseBytes = 4096;

/// Record of one request id.
struct ledger_record
{
    ledger_state state = ledger_state::claimed;
    std::string attemptId; ///< the attempt that wrote this record
    std::string bodyHash;
    std::optional<stored_response> answer; ///< only if `finished`; none if it was too large
    bool operator==(const ledger_record &) const = default;
};

/// A record as found in the store.
struct versioned_record
{
    std::int64_t modRevision = 0;
    ledger_record record;
};

/// One arrival of a non-idempotent request at one process.
struct ledger_attempt
{
    std::string id; ///< incarnation and counter; never used twice
    std::string bodyHash; ///< covers everything that makes two requests the same request
    std::int64_t revisionAtArrival = 0; ///< highest store revision the process had seen on arrival
};

enum class ledger_operation : std::uint8_t {
    claim, ///< before dispatch
    finish, ///< after the target's complete response
    release, ///< before saying "not run"; only if the attempt has not run and will not run
};

enum class ledger_result : std::uint8_t {
    claimed, ///< this attempt may be dispatched
    finished, ///< the response of this attempt is recorded
    released, ///< no attempt that arrived before the release has run or will run
    already_finished, ///< another attempt has run
    claimed_by_other, ///< another attempt may have run or may be running
    superseded, ///< released after this attempt arrived; it must not be dispatched
    duplicate_id, ///< the id was used with another body
    not_claimed, ///< a finish found no claim of its own, for example because the record expired
    outcome_unknown, ///< a write of this attempt may take effect or may have taken effect
    unavailable, ///< no write of this operation has taken or will take effect
};

/// Result of an intent.
struct ledger_outcome
{
    ledger_result result = ledger_result::outcome_unknown;
    std::optional<versioned_record> found; ///< the entry that the result is based on, if known
};

/// A write of `record` on condition that the entry still has `expectedRevision`.
struct ledger_write
{
    std::int64_t expectedRevision = 0; ///< 0: must not exist
    ledger_record record;
};

/// The write to send next, or the result.
using ledger_step = std::variant<ledger_write, ledger_outcome>;

/// What one write led to.
enum class ledger_write_outcome : std::uint8_t {
    applied,
    rejected, ///< its condition did not hold
    unavailable, ///< certainly not applied
    uncertain, ///< may be applied, now or later
};

/// Returns the step of `operation` for an entry that is found or assumed; none: absent.
///
/// An operation starts with the entry its attempt knows: absent before a claim, its own claim after
/// one. A wrong assumption costs one more write, since the store returns the entry it found.
/// `answer` is used by `finish` only; it is dropped if it is above `maxStoredResponseBytes`.
///
/// A release replaces an existing release, because "not run" must also hold for attempts that
/// arrived between the two.
[[nodiscard]] ledger_step nextStep(ledger_operation operation, const ledger_attempt &attempt,
                                   const std::optional<versioned_record> &found,
                                   const std::optional<stored_response> &answer = {});

/// Returns the step after `sent` led to `outcome`: the same write again as long as its outcome is
/// not certain, whether or not the attempt still has time (that is up to the caller).
///
/// `revision` is that of the write if it was applied; `current` is the entry found if it was
/// rejected. A rejected write whose record is the current entry was applied by an earlier send.
[[nodiscard]] ledger_step nextStepAfterWrite(ledger_operation operation,
                                             const ledger_attempt &attempt,
                                             const ledger_write &sent, ledger_write_outcome outcome,
                                             std::int64_t revision,
                                             const std::optional<versioned_record> &current);

/// Result for an operation whose time is over before it was decided. `maybeSent`: a write of it may
/// have been applied or may still be applied.
[[nodiscard]] ledger_outcome deadlineOutcome(bool maybeSent);

} // namespace ibishinge
