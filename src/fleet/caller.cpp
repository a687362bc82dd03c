#include <ibishinge/fleet/caller.h>

#include <ibishinge/base/json.h>
#include <ibishinge/fleet/record_codec.h>

#include <algorithm>
#include <array>

namespace ibishinge::fleet {

namespace {

using nlohmann::json;

constexpr integer_range patienceRange {0, 3'600'000}; ///< milliseconds
constexpr integer_range clockRange {0, std::int64_t {1} << 52U}; ///< milliseconds

constexpr std::array<std::pair<answer_kind, std::string_view>, 11> answerNames {{
    {answer_kind::accepted, "accepted"},
    {answer_kind::job_found, "shown"},
    {answer_kind::counted, "counted"},
    {answer_kind::cancelled, "cancelled"},
    {answer_kind::no_such_queue, "no_such_queue"},
    {answer_kind::no_such_job, "no_such_job"},
    {answer_kind::unauthorized, "unauthorized"},
    {answer_kind::invalid, "invalid"},
    {answer_kind::overloaded, "overloaded"},
    {answer_kind::not_ready, "not_ready"},
    {answer_kind::outcome_unknown, "outcome_unknown"},
}};

} // namespace

std::string_view nameOf(answer_kind kind) noexcept
{
    return std::find_if(answerNames.begin(), answerNames.end(),
                        [kind](const auto &row) { return row.first == kind; })
        ->second;
}

std::string encodeRequest(const caller_request &request)
{
    json out = {{"operation", static_cast<int>(request.operation)},
                {"host", request.host},
                {"path", request.path},
                {"key", request.key},
                {"patience", request.callerTimeout.count()},
                {"sender", request.sender},
                {"sender_share", request.senderProcessorShare},
                {"sender_data_centre", request.senderDataCentre},
                {"version", request.servedConfigVersion}};
    if (request.sentAtMs > 0) {
        out["sent_at"] = request.sentAtMs;
        out["sender_incarnation"] = request.senderIncarnation;
    }
    if (request.maxHold.count() > 0) {
        out["max_hold"] = request.maxHold.count();
    }
    if (request.spec) {
        out["spec"] = encodeSpec(*request.spec);
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<caller_request> decodeRequest(const std::string &text)
{
    try {
        const json in = parseJson(text);
        caller_request request;
        const auto operation = in.at("operation").get<int>();
        if (operation < 0 || operation > static_cast<int>(caller_operation::count_waiting)) {
            return makeError(error_kind::invalid_request, "forwarded request",
                             "unknown value of `operation`");
        }
        request.operation = static_cast<caller_operation>(operation);
        request.host = in.at("host").get<std::string>();
        request.path = in.at("path").get<std::string>();
        request.key = in.at("key").get<std::string>();
        request.callerTimeout = milliseconds(integerFrom(in.at("patience"), patienceRange));
        request.senderProcessorShare = in.value("sender_share", 0.0);
        request.sender = in.value("sender", std::string());
        request.senderDataCentre = in.value("sender_data_centre", std::string());
        request.servedConfigVersion = in.at("version").get<std::int64_t>();
        // Processes of an earlier version send none of these.
        if (in.contains("sent_at")) {
            request.sentAtMs = integerFrom(in.at("sent_at"), clockRange);
        }
        if (in.contains("max_hold")) {
            request.maxHold = milliseconds(integerFrom(in.at("max_hold"), patienceRange));
        }
        request.senderIncarnation = in.value("sender_incarnation", std::string());
        if (in.contains("spec")) {
            auto spec = decodeSpec(in.at("spec"));
            if (!spec) {
                return tl::unexpected(spec.error());
            }
            request.spec = std::move(*spec);
        }
        return request;
    } catch (const std::exception &problem) {
        return makeError(error_kind::invalid_request, "forwarded request", problem.what());
    }
}

std::string encodeAnswer(const caller_answer &answer)
{
    json out = {{"kind", nameOf(answer.kind)}, {"version", answer.version}};
    if (answer.kind == answer_kind::job_found) {
        out["state"] = nameOf(answer.state);
    }
    if (answer.kind == answer_kind::counted) {
        out["waiting"] = answer.waiting;
    }
    if (!answer.message.empty()) {
        out["message"] = answer.message;
    }
    if (answer.retryAfter.count() > 0) {
        out["retry_after"] = answer.retryAfter.count();
    }
    if (!answer.coordinator.empty()) {
        out["coordinator"] = answer.coordinator;
    }
    if (answer.coordinatorOverloaded) {
        out["coordinator_overloaded"] = true;
    }
    return encodeCbor(out);
}

result<caller_answer> decodeAnswer(const std::string &text)
{
    const auto decoded = decodeCbor(text);
    if (!decoded) {
        return makeError(error_kind::invalid_request, "answer",
                         "unreadable: not a valid CBOR value");
    }
    try {
        const json &in = *decoded;
        caller_answer answer;
        const auto name = in.at("kind").get<std::string>();
        const auto *const row = std::find_if(answerNames.begin(), answerNames.end(),
                                             [&](const auto &each) { return each.second == name; });
        if (row == answerNames.end()) {
            return makeError(error_kind::invalid_request, "answer",
                             "unknown value of `kind`: " + name);
        }
        answer.kind = row->first;
        answer.state =
            parseJobState(in.value("state", std::string("queued"))).value_or(job_state::queued);
        answer.waiting = in.value("waiting", 0);
        answer.message = in.value("message", std::string());
        answer.retryAfter = milliseconds(in.value("retry_after", std::int64_t {0}));
        answer.version = in.value("version", std::int64_t {0});
        answer.coordinator = in.value("coordinator", std::string());
        answer.coordinatorOverloaded = in.value("coordinator_overloaded", false);
        return answer;
    } catch (const json::exception &problem) {
        return makeError(error_kind::invalid_request, "answer", problem.what());
    }
}

} // namespace ibishinge::fleet
