#pragma once

#include <ibishinge/fleet/node.h>
#include <ibishinge/outside/http_message.h>
#include <ibishinge/outside/io_loop.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ibishinge::fleet {

/// Connections that one process opens to another at most. Each holds a thread of the other's
/// server.
inline constexpr int callsToPeer = 3;

/// Passes requests to other processes over HTTP. Requests that arrive while the calls to a process
/// are in use share the next one. Not thread-safe: used on the loop's thread.
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
    void exchangeCalls(const std::string &address, const std::string &calls, milliseconds timeout,
                       reply<std::string> done) override;

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

/// Serves the calls of `http_peer_link`. Runs on a server's thread; blocks until the node, which
/// lives on the loop's thread, has answered. Nothing for a path that is not of this protocol.
/// Thread-safe.
[[nodiscard]] std::optional<http_response> servePeer(io_loop &loop, fleet_node &node,
                                                     const http_request &request);

} // namespace ibishinge::fleet
