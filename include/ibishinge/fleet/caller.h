#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/fleet/tables.h>

#include <functional>
#include <optional>
#include <string>

namespace ibishinge::fleet {

/// Operations of callers, written as numbers in messages between processes.
enum class caller_operation : std::uint8_t { submit, show, cancel, count_waiting };

/// A caller's request, decoded from the callers' protocol.
struct caller_request
{
    caller_operation operation = caller_operation::show;
    std::string host; ///< host name of the queue
    /// Path prefix of the queue and, except for `count_waiting`, the id of the job.
    std::string path;
    std::string key; ///< secret key of a customer; may be empty
    std::optional<job_spec> spec; ///< set for a submission
    /// Time until the caller stops waiting, counted from `sentAtMs` in a forwarded request; 0: not
    /// told.
    milliseconds callerTimeout {0};
    std::string sender; ///< address of the process that forwards the request; empty: not forwarded
    /// When the sender forwarded the request, in ms of its own monotonic clock; 0: not told. Only
    /// differences between values with the same `senderIncarnation` mean anything.
    std::int64_t sentAtMs = 0;
    std::string senderIncarnation;
    /// How long a process that is about to coordinate may hold the answer until it does.
    milliseconds maxHold {0};
    /// Processor share of the sender, in cores; 0: it is shutting down.
    double senderProcessorShare = 0;
    std::string senderDataCentre;
    /// Newest configuration version on which an answer of the sender was based.
    std::int64_t servedConfigVersion = 0;
    /// When the caller stops waiting, as far as the process that handles the request knows; not
    /// part of the encoding.
    std::optional<instant> validUntil;
};

/// Outcome of a caller's request.
enum class answer_kind : std::uint8_t {
    accepted, ///< the job is stored
    job_found, ///< `state` is set
    counted, ///< `waiting` is set
    cancelled,
    no_such_queue,
    no_such_job,
    unauthorized,
    invalid, ///< rejected: the job description can never be served
    overloaded, ///< rejected because of load; the job never runs
    not_ready, ///< not accepted by this attempt; may be retried
    /// It is unknown whether the request was accepted; the caller asks again with the same id.
    outcome_unknown,
};

/// Returns the name of `kind` as used in logs and in messages between processes. Thread-safe.
[[nodiscard]] std::string_view nameOf(answer_kind kind) noexcept;

/// Answer to a caller's request.
struct caller_answer
{
    answer_kind kind = answer_kind::not_ready;
    job_state state = job_state::queued;
    int waiting = 0;
    std::string message;
    milliseconds retryAfter {0}; ///< when the caller may retry; 0: not told
    /// Version of the configuration by which the request was handled; 0: no coordinator handled it.
    std::int64_t version = 0;
    /// Address of the coordinating process as known to a process that does not coordinate itself;
    /// may be empty.
    std::string coordinator {};
    /// The coordinator rejects new submissions of any kind until `retryAfter` has passed.
    bool coordinatorOverloaded = false;
};

/// Receives the answer to a request, on the thread of the event loop.
using answer_handler = std::function<void(const caller_answer &)>;

/// Encoding of requests and answers in messages between processes. The decoders return
/// `invalid_request` for a text that cannot be read. Thread-safe.
[[nodiscard]] std::string encodeRequest(const caller_request &request);
[[nodiscard]] result<caller_request> decodeRequest(const std::string &text);
[[nodiscard]] std::string encodeAnswer(const caller_answer &answer);
[[nodiscard]] result<caller_answer> decodeAnswer(const std::string &text);

} // namespace ibishinge::fleet
