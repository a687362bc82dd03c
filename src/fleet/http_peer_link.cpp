#include <ibishinge/fleet/http_peer_link.h>

#include <ibishinge/base/json.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace ibishinge::fleet {

namespace {

using nlohmann::json;

const http_header cborContent {"Content-Type", "application/cbor"};

constexpr const char *requestsPath = "/v1/fleet/requests";
constexpr const char *leadershipPath = "/v1/fleet/leadership";
constexpr const char *successorProbePath = "/v1/fleet/successor-probe";
constexpr const char *callsPath = "/v1/fleet/worker-calls";

/// Time-out of an offer; the other process reads the store before it answers.
constexpr milliseconds offerTimeout {1000};

/// Maximum number of requests in one call. A call is answered when all its requests are.
constexpr std::size_t maxRequestsPerCall = 32;

error allCallsInUse(const std::string &address)
{
    error failure;
    failure.kind = error_kind::unavailable;
    failure.place = address;
    failure.message = "timed out while all calls to the process were in use";
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
    if (to.calls >= maxCallsPerPeer || to.waiting.empty()) {
        return;
    }
    const auto now = m_loop.now();
    auto batch = std::make_shared<std::vector<waiting_request>>();
    std::vector<waiting_request> expired;
    json texts = json::array();
    milliseconds timeout {0};
    while (!to.waiting.empty() && batch->size() < maxRequestsPerCall) {
        auto each = std::move(to.waiting.front());
        to.waiting.pop_front();
        if (each.until <= now) {
            expired.push_back(std::move(each));
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
                            answers = decodeCbor(response->body).value_or(json());
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
                                               "answered with HTTP status "
                                                   + std::to_string(response->status)));
                            }
                        }
                        sendBatch(address);
                    });
    }
    for (const auto &each : expired) {
        each.done(tl::unexpected(allCallsInUse(address)));
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

void http_peer_link::probeSuccessor(const std::string &address, std::int64_t revision,
                                    milliseconds timeout, reply<bool> done)
{
    m_loop.send({"POST", address, successorProbePath, {}, std::to_string(revision), timeout},
                [done = std::move(done)](const result<http_response> &response) {
                    if (response) {
                        // A process of an earlier version does not know the path. Its answer shows
                        // that the link works, and it reads the store before it accepts an offer.
                        done(response->status == 200 || response->status == 404);
                    } else {
                        done(tl::unexpected(response.error()));
                    }
                });
}

void http_peer_link::exchangeWorkerCalls(const std::string &address, const std::string &calls,
                                         milliseconds timeout, reply<std::string> done)
{
    m_loop.send(
        {"POST", address, callsPath, {cborContent}, calls, 2 * timeout, timeout},
        [address, done = std::move(done)](const result<http_response> &response) {
            if (!response) {
                done(tl::unexpected(response.error()));
            } else if (response->status != 200) {
                done(makeError(error_kind::outcome_unknown, address,
                               "answered with HTTP status " + std::to_string(response->status)));
            } else {
                done(response->body);
            }
        });
}

namespace {

/// Collects the answers to the requests of one call, in the order of the requests, and responds
/// when all have arrived.
struct batch_answers
{
    std::vector<std::string> texts;
    std::size_t open = 0;
    http_responder respond;

    void set(std::size_t at, const caller_answer &answer)
    {
        texts[at] = encodeAnswer(answer);
        if (--open == 0) {
            respond({200, {cborContent}, encodeCbor(texts)});
        }
    }
};

void serveRequests(fleet_node &node, const std::string &body, http_responder respond)
{
    const auto requests = json::parse(body, nullptr, false);
    if (!requests.is_array()) {
        respond(jsonResponse(400, R"({"message":"body is not a JSON array of requests"})"));
        return;
    }
    const auto answers = std::make_shared<batch_answers>();
    answers->texts.resize(requests.size());
    answers->open = requests.size();
    answers->respond = std::move(respond);
    if (requests.empty()) {
        answers->respond({200, {cborContent}, encodeCbor(json::array())});
        return;
    }
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const auto call =
            decodeRequest(requests[i].is_string() ? requests[i].get<std::string>() : std::string());
        if (call) {
            node.handleForwarded(
                *call, [answers, i](const caller_answer &answer) { answers->set(i, answer); });
        } else {
            caller_answer invalid;
            invalid.kind = answer_kind::invalid;
            invalid.message = call.error().message;
            answers->set(i, invalid);
        }
    }
}

} // namespace

bool handlePeerRequest(scheduler &timers, fleet_node &node, const http_request &request,
                       const http_responder &respond)
{
    if (request.path == leadershipPath) {
        const auto revision = std::strtoll(request.body.c_str(), nullptr, 10);
        node.acceptLeadership(revision, [respond](bool accepted) {
            respond({accepted ? 200 : 409, {}, ""});
        });
        return true;
    }
    if (request.path == successorProbePath) {
        const auto revision = std::strtoll(request.body.c_str(), nullptr, 10);
        node.answerSuccessorProbe(revision, [respond](bool able) {
            respond({able ? 200 : 409, {}, ""});
        });
        return true;
    }
    if (request.path == callsPath) {
        node.handleWorkerCalls(request.body, timers.now(), [respond](std::string text) {
            respond(jsonResponse(200, std::move(text)));
        });
        return true;
    }
    if (request.path == requestsPath) {
        serveRequests(node, request.body, respond);
        return true;
    }
    return false;
}

} // namespace ibishinge::fleet
