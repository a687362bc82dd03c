#pragma once

#include <ibishinge/fleet/node.h>
#include <ibishinge/outside/async_http_server.h>
#include <ibishinge/outside/io_loop.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ibishinge::fleet {

/// Maximum number of concurrent request calls (and connections for them) from one process to
/// another. Requests beyond that wait and are sent in one batch with the next call.
inline constexpr int maxCallsPerPeer = 3;

/// Forwards requests to other processes over HTTP. Requests that arrive while the maximum number of
/// calls to a process is in flight are queued and sent in batches. Not thread-safe: must be used on
/// the thread of the event loop.
class http_peer_link final : public peer_link
{
public:
    /// `loop` must outlive the link.
    explicit http_peer_link(io_loop &loop)
        : m_loop(loop)
    {
    }

    void forward(const std::string &address, const std::string &request, milliseconds timeout,
                 reply<std::string> done) override;
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
        instant until;
        reply<std::string> done;
    };
    struct peer
    {
        int calls = 0;
        std::deque<waiting_request> waiting;
    };

    void sendBatch(const std::string &address);

    io_loop &m_loop;
    std::map<std::string, peer> m_peers;
};

/// Serves the HTTP calls of `http_peer_link`. Returns false, and does not call `respond`, if the
/// path of `request` does not belong to this protocol. Not thread-safe: must be used on the thread
/// of the event loop.
[[nodiscard]] bool handlePeerRequest(scheduler &timers, fleet_node &node,
                                     const http_request &request, const http_responder &respond);

} // namespace ibishinge::fleet
