#pragma once

#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/http_server.h>
#include <ibishinge/outside/peer_client.h>

#include <memory>
#include <string>

namespace ibishinge {

/// Largest request body of the peer protocol, in bytes: two documents of the store, with room for
/// the escapes that JSON adds to a text.
inline constexpr std::size_t maxPeerBodyBytes = 6U << 20U;

/// Path of the peer protocol.
inline constexpr auto peerPath = "/v1/peer";

/// Calls other members by JSON-RPC 2.0 as `POST /v1/peer` over HTTP.
///
/// Preconditions: `client` outlives the returned object; `secret` is not empty.
[[nodiscard]] std::unique_ptr<peer_client> makeJsonrpcPeerClient(http_client &client,
                                                                 std::string secret);

/// The server side of `makeJsonrpcPeerClient`. Thread-safe.
class jsonrpc_peer_server
{
public:
    /// Preconditions: `handler` outlives the object; `secret` is not empty.
    [[nodiscard]] static std::unique_ptr<jsonrpc_peer_server> create(peer_handler &handler,
                                                                     std::string secret);
    ~jsonrpc_peer_server();
    jsonrpc_peer_server(const jsonrpc_peer_server &) = delete;
    jsonrpc_peer_server &operator=(const jsonrpc_peer_server &) = delete;

    /// Handles one request. Requests without the shared secret are answered with 401.
    [[nodiscard]] http_response handle(const http_request &request);

private:
    struct impl;
    explicit jsonrpc_peer_server(std::unique_ptr<impl> state) noexcept;
    std::unique_ptr<impl> m_impl;
};

} // namespace ibishinge
