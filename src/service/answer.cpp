#include <ibishinge/service/answer.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace ibishinge {

namespace {

/// Told to callers when the error does not say when to come back.
constexpr std::chrono::milliseconds defaultRetryAfter {1000};

std::string wholeSeconds(std::chrono::milliseconds time)
{
    return std::to_string(std::max<std::int64_t>(1, (time.count() + 999) / 1000));
}

} // namespace

http_response errorAnswer(const error &e, run_state state, const std::string &requestId)
{
    const auto &answer = answerFor(e.kind);
    nlohmann::json body {{"error", answer.name},
                         {"run", nameOf(state)},
                         {"message", e.place + ": " + e.message},
                         {"request_id", requestId}};
    std::vector<http_header> headers {{"Content-Type", "application/json"},
                                      {"Ibishinge-Run", std::string(nameOf(state))}};
    if (answer.retryable) {
        const auto after = e.retryAfter.count() > 0 ? e.retryAfter : defaultRetryAfter;
        body["retry_after_ms"] = after.count();
        headers.push_back({"Retry-After", wholeSeconds(after)});
    }
    return {answer.httpStatus, std::move(headers),
            body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

http_response replyAnswer(const target_reply &reply, const std::string &requestId)
{
    return {reply.status,
            {{"Content-Type", reply.contentType},
             {"Ibishinge-Run", std::string(nameOf(run_state::ran))},
             {"Ibishinge-Request-Id", requestId}},
            reply.body};
}

} // namespace ibishinge
