#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/fleet/tables.h>

#include <functional>
#include <optional>
#include <string>

namespace ibishinge::fleet {

enum class caller_operation : std::uint8_t { submit, show, cancel, count_waiting };

/// What a caller asks, decoded from its protocol.
struct caller_request
{
    caller_operation operation = caller_operation::show;
    std::string host; ///< host name of the queue
    std::string path; ///< prefix of the queue and, but for `count_waiting`, the job's id
    std::string key; ///< secret of a customer; may be empty
    std::optional<job_spec> spec; ///< of a submission
    milliseconds callerTimeout {0}; ///< time until the caller stops waiting
    std::string sender; ///< address of the process that passes it on; empty: none does
    double senderProcessorShare = 0; ///< its share of a processor, in cores; 0: it will end soon
    std::string senderDataCentre;
    std::int64_t servedConfigVersion = 0; ///< newest configuration that the entry process has shown
};

enum class answer_kind : std::uint8_t {
    accepted, ///< the job is stored
    job_found, ///< `state` is set
    counted, ///< `waiting` is set
    cancelled,
    no_such_queue,
    no_such_job,
    unauthorized,
    invalid, ///< not accepted; the description can never be served
    overloaded, ///< not accepted and never runs
    not_ready, ///< not accepted by this attempt
    outcome_unknown, ///< may or may not be accepted; the caller asks again with the same id
};

/// Returns the name of `kind` as used in logs and between processes. Thread-safe.
[[nodiscard]] std::string_view nameOf(answer_kind kind) noexcept;

struct caller_answer
{
    answer_kind kind = answer_kind::not_ready;
    job_state state = job_state::queued;
    int waiting = 0;
    std::string message;
    milliseconds retryAfter {0}; ///< 0: not told
    std::int64_t version = 0; ///< configuration by which it was handled; 0: none
    /// Address of the process that coordinates, as far as one that does not knows; may be empty.
    std::string coordinator {};
};

using answer_handler = std::function<void(const caller_answer &)>;

/// Encodings between processes. Errors of the decoders: `invalid_request`. Thread-safe.
[[nodiscard]] std::string encodeRequest(const caller_request &request);
[[nodiscard]] result<caller_request> decodeRequest(const std::string &text);
[[nodiscard]] std::string encodeAnswer(const caller_answer &answer);
[[nodiscard]] result<caller_answer> decodeAnswer(const std::string &text);

} // namespace ibishinge::fleet
