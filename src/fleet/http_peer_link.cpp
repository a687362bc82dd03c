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

/// Requests that could not be sent for this long are given back.
constexpr milliseconds maxWaitingTime {silentCallTime};

/// Bounds the number of silent calls to one process.
constexpr milliseconds maxCallTime {3000};

/// Maximum number of requests in one call. A call is answered when all its requests are.
constexpr std::size_t maxRequestsPerCall = 32;

/// A call with more requests is rejected: each takes far more memory than its bytes in the body.
constexpr std::size_t maxRequestsAccepted = 32 * maxRequestsPerCall;

/// A silent call fails if a call that was sent at least this much later has been answered.
constexpr milliseconds clearlyLater {silentCallTime / 2};

constexpr milliseconds probeTimeout {1000};
/// Pause after a probe that failed.
constexpr milliseconds probePause {500};

error allCallsInUse(const std::string &address)
{
    error failure;
    failure.kind = error_kind::overloaded;
    failure.place = address;
    failure.message = "timed out while all calls to the process were in use";
    return failure;
}

bool waitsForStore(forward_kind kind)
{
    return kind != forward_kind::lookup && kind != forward_kind::count;
}

} // namespace

void http_peer_link::forward(const std::string &address, const std::string &request,
                             forward_kind kind, milliseconds timeout, reply<std::string> done)
{
    auto &queue = m_peers[address].waiting.at(static_cast<std::size_t>(kind));
    const auto now = m_loop.now();
    if (kind == forward_kind::submission && queue.size() >= maxWaitingSubmissions) {
        m_loop.after(milliseconds(0), [address, done = std::move(done)] {
            done(makeError(error_kind::overloaded, address,
                           "too many submissions wait for the process"));
        });
        return;
    }
    queue.push_back(
        {request, now + std::min(timeout, maxWaitingTime), now + timeout, std::move(done)});
    sendWaiting(address);
}

std::vector<forward_kind> http_peer_link::kindsToSend(const peer &to)
{
    const auto isWaiting = [&to](forward_kind kind) {
        return !to.waiting.at(static_cast<std::size_t>(kind)).empty();
    };
    std::vector<forward_kind> atOnce {forward_kind::lookup, forward_kind::count};
    std::vector<forward_kind> stored {forward_kind::cancellation, forward_kind::repeated_submission,
                                      forward_kind::submission};
    if (to.calls >= maxCallsPerPeer) {
        return {};
    }
    if (isWaiting(forward_kind::lookup)) {
        return atOnce;
    }
    if (to.storeCalls < maxStoreCallsPerPeer
        && std::any_of(stored.begin(), stored.end(), isWaiting)) {
        return stored;
    }
    return isWaiting(forward_kind::count) ? atOnce : std::vector<forward_kind> {};
}

void http_peer_link::sendWaiting(const std::string &address)
{
    auto &to = m_peers[address];
    const auto now = m_loop.now();
    std::vector<waiting_request> expired;
    for (auto kinds = kindsToSend(to); !kinds.empty(); kinds = kindsToSend(to)) {
        const auto next = std::make_shared<call>();
        next->waitsForStore = waitsForStore(kinds.front());
        for (const auto kind : kinds) {
            auto &queue = to.waiting.at(static_cast<std::size_t>(kind));
            while (!queue.empty() && next->batch.size() < maxRequestsPerCall) {
                auto &target = queue.front().sendBy <= now ? expired : next->batch;
                target.push_back(std::move(queue.front()));
                queue.pop_front();
            }
        }
        if (!next->batch.empty()) {
            send(address, next);
        }
    }
    for (const auto &each : expired) {
        each.done(tl::unexpected(allCallsInUse(address)));
    }
}

void http_peer_link::send(const std::string &address, const std::shared_ptr<call> &sent)
{
    auto &to = m_peers[address];
    ++to.calls;
    to.storeCalls += sent->waitsForStore ? 1 : 0;
    sent->sentAt = m_loop.now();
    json texts = json::array();
    milliseconds timeout {0};
    for (const auto &each : sent->batch) {
        texts.push_back(each.text);
        timeout = std::max(timeout, each.until - sent->sentAt);
    }
    outgoing_request request {"POST", address,      requestsPath,
                              {},     texts.dump(), std::min(timeout, maxCallTime)};
    request.freshConnection = !to.silentCalls.empty();
    m_loop.send(std::move(request), [this, address, sent](const result<http_response> &response) {
        onAnswered(address, sent, response);
    });
    m_loop.after(silentCallTime, [this, address, sent] { markSilent(address, sent); });
}

void http_peer_link::onAnswered(const std::string &address, const std::shared_ptr<call> &sent,
                                const result<http_response> &response)
{
    if (response) {
        failSilentCalls(address, sent->sentAt);
    }
    if (std::exchange(sent->ended, true)) {
        return;
    }
    releaseSlot(address, *sent);
    json answers;
    if (response && response->status == 200) {
        answers = decodeCbor(response->body).value_or(json());
    }
    const auto batch = std::move(sent->batch);
    const bool complete = answers.is_array() && answers.size() == batch.size();
    for (std::size_t i = 0; i < batch.size(); ++i) {
        const auto &done = batch[i].done;
        if (complete && answers[i].is_string()) {
            done(answers[i].get<std::string>());
        } else if (!response) {
            done(tl::unexpected(response.error()));
        } else {
            done(makeError(error_kind::outcome_unknown, address,
                           "answered with HTTP status " + std::to_string(response->status)));
        }
    }
    sendWaiting(address);
}

void http_peer_link::releaseSlot(const std::string &address, const call &sent)
{
    auto &to = m_peers[address];
    if (sent.silent) {
        const auto found = std::find_if(to.silentCalls.begin(), to.silentCalls.end(),
                                        [&sent](const auto &each) { return each.get() == &sent; });
        if (found != to.silentCalls.end()) {
            to.silentCalls.erase(found);
        }
        return;
    }
    --to.calls;
    to.storeCalls -= sent.waitsForStore ? 1 : 0;
}

void http_peer_link::markSilent(const std::string &address, const std::shared_ptr<call> &sent)
{
    if (sent->ended) {
        return;
    }
    releaseSlot(address, *sent);
    sent->silent = true;
    m_peers[address].silentCalls.push_back(sent);
    probe(address);
    sendWaiting(address);
}

void http_peer_link::probe(const std::string &address)
{
    auto &to = m_peers[address];
    if (to.silentCalls.empty() || std::exchange(to.probing, true)) {
        return;
    }
    outgoing_request request {"POST", address, requestsPath, {}, "[]", probeTimeout};
    request.freshConnection = true;
    m_loop.send(std::move(request),
                [this, address, sentAt = m_loop.now()](const result<http_response> &response) {
                    m_peers[address].probing = false;
                    if (response) {
                        failSilentCalls(address, sentAt);
                    }
                    if (!m_peers[address].silentCalls.empty()) {
                        m_loop.after(probePause, [this, address] { probe(address); });
                    }
                });
}

void http_peer_link::failSilentCalls(const std::string &address, instant answeredSentAt)
{
    for (const auto &each : std::vector(m_peers[address].silentCalls)) {
        if (each->ended || answeredSentAt - each->sentAt < clearlyLater) {
            continue;
        }
        each->ended = true;
        releaseSlot(address, *each);
        for (const auto &request : std::exchange(each->batch, {})) {
            request.done(makeError(error_kind::outcome_unknown, address,
                                   "no answer, while later calls to the process are answered"));
        }
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
    json requests;
    try {
        requests = parseJson(body);
    } catch (const json::exception &) {
        requests = nullptr; // rejected below
    }
    if (!requests.is_array() || requests.size() > maxRequestsAccepted) {
        respond(jsonResponse(400,
                             R"({"message":"body is not a JSON array of at most 1024 requests"})"));
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
        auto call =
            decodeRequest(requests[i].is_string() ? requests[i].get<std::string>() : std::string());
        if (call) {
            node.handleForwarded(std::move(*call), [answers, i](const caller_answer &answer) {
                answers->set(i, answer);
            });
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
