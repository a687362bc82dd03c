#include <ibishinge/fleet/http_peer_link.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <future>
#include <mutex>
#include <utility>

namespace ibishinge::fleet {

namespace {

using nlohmann::json;

constexpr const char *requestsPath = "/v1/fleet/requests";
constexpr const char *leadershipPath = "/v1/fleet/leadership";
constexpr const char *callsPath = "/v1/fleet/worker-calls";

/// The other process reads the store before it answers an offer.
constexpr milliseconds offerTimeout {1000};

/// Requests in one call; a call is answered when all of them are.
constexpr std::size_t requestsPerCall = 32;

/// The node answers each request in bounded time; this only frees the thread if it does not.
constexpr milliseconds longestAnswer {4000};

error timedOut(const std::string &address)
{
    error failure;
    failure.kind = error_kind::unavailable;
    failure.place = address;
    failure.message = "all calls to the process are in use";
    return failure;
}

} // namespace

void http_peer_link::forward(const std::string &address, const std::string &request,
                             milliseconds timeout, reply<std::string> done)
{
    auto &to = m_peers[address];
    to.waiting.push_back({request, m_loop.now() + timeout, std::move(done)});
    sendBatch(address);
}

void http_peer_link::sendBatch(const std::string &address)
{
    auto &to = m_peers[address];
    if (to.calls >= callsToPeer || to.waiting.empty()) {
        return;
    }
    const auto now = m_loop.now();
    auto batch = std::make_shared<std::vector<waiting_request>>();
    std::vector<waiting_request> late;
    json texts = json::array();
    milliseconds timeout {0};
    while (!to.waiting.empty() && batch->size() < requestsPerCall) {
        auto each = std::move(to.waiting.front());
        to.waiting.pop_front();
        if (each.until <= now) {
            late.push_back(std::move(each));
            continue;
        }
        timeout = std::max(timeout, each.until - now);
        texts.push_back(each.text);
        batch->push_back(std::move(each));
    }
    if (!batch->empty()) {
        ++to.calls;
        m_loop.send({"POST", address, requestsPath, {}, texts.dump(), timeout},
                    [this, address, batch](const result<http_response> &response) {
                        --m_peers[address].calls;
                        json answers;
                        if (response && response->status == 200) {
                            answers = json::parse(response->body, nullptr, false);
                        }
                        const bool complete = answers.is_array() && answers.size() == batch->size();
                        for (std::size_t i = 0; i < batch->size(); ++i) {
                            auto &done = (*batch)[i].done;
                            if (complete && answers[i].is_string()) {
                                done(answers[i].get<std::string>());
                            } else if (!response) {
                                done(tl::unexpected(response.error()));
                            } else {
                                done(makeError(error_kind::outcome_unknown, address,
                                               "status " + std::to_string(response->status)));
                            }
                        }
                        sendBatch(address);
                    });
    }
    for (const auto &each : late) {
        each.done(tl::unexpected(timedOut(address)));
    }
}

void http_peer_link::offerLeadership(const std::string &address, std::int64_t revision,
                                     reply<bool> done)
{
    m_loop.send({"POST", address, leadershipPath, {}, std::to_string(revision), offerTimeout},
                [done = std::move(done)](const result<http_response> &response) {
                    if (response) {
                        done(response->status == 200);
                    } else {
                        done(tl::unexpected(response.error()));
                    }
                });
}

void http_peer_link::exchangeCalls(const std::string &address, const std::string &calls,
                                   milliseconds timeout, reply<std::string> done)
{
    m_loop.send({"POST", address, callsPath, {}, calls, timeout},
                [address, done = std::move(done)](const result<http_response> &response) {
                    if (!response) {
                        done(tl::unexpected(response.error()));
                    } else if (response->status != 200) {
                        done(makeError(error_kind::outcome_unknown, address,
                                       "status " + std::to_string(response->status)));
                    } else {
                        done(response->body);
                    }
                });
}

std::optional<http_response> servePeer(io_loop &loop, fleet_node &node, const http_request &request)
{
    if (request.path == leadershipPath) {
        const auto accepted = std::make_shared<std::promise<bool>>();
        const auto revision = std::strtoll(request.body.c_str(), nullptr, 10);
        loop.post([&node, accepted, revision] {
            node.acceptLeadership(revision, [accepted](bool value) { accepted->set_value(value); });
        });
        auto answer = accepted->get_future();
        const bool yes =
            answer.wait_for(longestAnswer) == std::future_status::ready && answer.get();
        return http_response {yes ? 200 : 409, {}, ""};
    }
    if (request.path == callsPath) {
        const auto answered = std::make_shared<std::promise<std::string>>();
        loop.post([&node, answered, calls = request.body, readAt = loop.now()] {
            node.handleCalls(calls, readAt, [answered](std::string text) {
                answered->set_value(std::move(text));
            });
        });
        auto answer = answered->get_future();
        if (answer.wait_for(longestAnswer) != std::future_status::ready) {
            return jsonResponse(504, R"({"message":"the calls were not answered"})");
        }
        return jsonResponse(200, answer.get());
    }
    if (request.path != requestsPath) {
        return std::nullopt;
    }
    const auto texts = json::parse(request.body, nullptr, false);
    if (!texts.is_array()) {
        return jsonResponse(400, R"({"message":"not a list of requests"})");
    }

    struct gathering
    {
        std::mutex mutex;
        std::condition_variable changed;
        std::vector<std::string> answers;
        std::size_t open = 0;
    };
    const auto gathered = std::make_shared<gathering>();
    gathered->answers.resize(texts.size());
    gathered->open = texts.size();
    std::vector<result<caller_request>> calls;
    calls.reserve(texts.size());
    for (const auto &text : texts) {
        calls.push_back(decodeRequest(text.is_string() ? text.get<std::string>() : std::string()));
    }
    loop.post([&node, gathered, calls = std::move(calls)] {
        for (std::size_t i = 0; i < calls.size(); ++i) {
            const auto finish = [gathered, i](const caller_answer &answer) {
                const std::lock_guard lock(gathered->mutex);
                gathered->answers[i] = encodeAnswer(answer);
                if (--gathered->open == 0) {
                    gathered->changed.notify_all();
                }
            };
            if (calls[i]) {
                node.handleForwarded(*calls[i], finish);
            } else {
                caller_answer invalid;
                invalid.kind = answer_kind::invalid;
                invalid.message = calls[i].error().message;
                finish(invalid);
            }
        }
    });
    std::unique_lock lock(gathered->mutex);
    const bool all =
        gathered->changed.wait_for(lock, longestAnswer, [&] { return gathered->open == 0; });
    if (!all) {
        return jsonResponse(504, R"({"message":"not all requests were answered"})");
    }
    return jsonResponse(200, json(gathered->answers).dump());
}

} // namespace ibishinge::fleet
