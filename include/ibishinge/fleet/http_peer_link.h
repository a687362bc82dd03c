#pragma once

#include <ibishinge/fleet/node.h>
#include <ibishinge/outside/async_http_server.h>
#include <ibishinge/outside/io_loop.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ibishinge::fleet {

/// Maximum number of concurrent request calls (and connections for them) from one process to
/// another, but for those without an answer for `silentCallTime`. Requests beyond that wait and are
/// sent in one batch with the next call.
inline constexpr int maxCallsPerPeer = 3;

/// Maximum number of them with requests whose answers wait for the store.
inline constexpr int maxStoreCallsPerPeer = 2;

/// Maximum number of new submissions that wait to be sent to one process; further ones fail at
/// once.
inline constexpr std::size_t maxWaitingSubmissions = 128;

/// After this time, a call without an answer no longer keeps others from being sent: a connection
/// can go silent for good.
inline constexpr milliseconds silentCallTime {1100};

/// Forwards requests to other processes over HTTP. Requests that arrive while the maximum number of
/// calls to a process is in flight are queued and sent in batches, in the order of their kinds. A
/// batch has either requests whose answers wait for the store or others, because it is answered
/// when all its requests are.
///
/// A call without an answer for `silentCallTime` fails once a call that was sent clearly later has
/// been answered; an empty call shows whether the process answers. Otherwise it may still be
/// answered until its time-out.
///
/// Not thread-safe: must be used on the thread of the event loop.
class http_peer_link final : public peer_link
{
public:
    /// `loop` must outlive the link.
    explicit http_peer_link(io_loop &loop)
        : m_loop(loop)
    {
    }

    void forward(const std::string &address, const std::string &request, forward_kind kind,
                 milliseconds timeout, reply<std::string> done) override;
    void offerLeadership(const std::string &address, std::int64_t revision,
                         reply<bool> done) override;
    void probeSuccessor(const std::string &address, std::int64_t revision, milliseconds timeout,
                        reply<bool> done) override;
    void exchangeWorkerCalls(const std::string &address, const std::string &calls,
                             milliseconds timeout, reply<std::string> done) override;

private:
    struct waiting_request
    {
        std::string text;
        instant sendBy;
        instant until; ///< end of the time-out
        reply<std::string> done;
    };
    /// One call in flight.
    struct call
    {
        std::vector<waiting_request> batch;
        instant sentAt;
        bool waitsForStore = false;
        bool silent = false; ///< without an answer for `silentCallTime`
        bool ended = false; ///< answered or failed
    };
    struct peer
    {
        int calls = 0; ///< in flight, without the silent ones
        int storeCalls = 0; ///< those of them whose answers wait for the store
        std::vector<std::shared_ptr<call>> silentCalls;
        bool probing = false; ///< an empty call is in flight
        std::array<std::deque<waiting_request>, forwardKinds> waiting; ///< by `forward_kind`
    };

    void sendWaiting(const std::string &address);
    [[nodiscard]] static std::vector<forward_kind> kindsToSend(const peer &to);
    void send(const std::string &address, const std::shared_ptr<call> &sent);
    void onAnswered(const std::string &address, const std::shared_ptr<call> &sent,
                    const result<http_response> &response);
    void releaseSlot(const std::string &address, const call &sent);
    void markSilent(const std::string &address, const std::shared_ptr<call> &sent);
    void probe(const std::string &address);
    void failSilentCalls(const std::string &address, instant answeredSentAt);

    io_loop &m_loop;
    std::map<std::string, peer> m_peers;
};

/// Serves the HTTP calls of `http_peer_link`. Returns false, and does not call `respond`, if the
/// path of `request` does not belong to this protocol. Not thread-safe: must be used on the thread
/// of the event loop.
[[nodiscard]] bool handlePeerRequest(scheduler &timers, fleet_node &node,
                                     const http_request &request, const http_responder &respond);

} // namespace ibishinge::fleet
