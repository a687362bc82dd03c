#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/outside/http_message.h>
#include <ibishinge/outside/io_loop.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace ibishinge {

class receive_budget;

struct async_http_server_options
{
    std::string address = "127.0.0.1"; ///< IPv4 address to listen on
    std::uint16_t port = 0; ///< 0: any free port
    unsigned int maxConnections = 1024; ///< further ones wait in the listen queue
    std::size_t maxBodyBytes = 1U << 20U;
    /// Bounds the memory of requests together with other servers; must outlive the server. None: a
    /// budget of the server's own, of `defaultReceiveBytes`.
    receive_budget *budget = nullptr;
    /// Memory of one connection while it receives: bounds the request line and the headers.
    std::size_t connectionBytes = 16U << 10U;
    /// Bound on a slow peer: for a whole body, and for reading a whole response.
    std::chrono::milliseconds transferTimeout {10000};
    /// Bound on a connection without a complete request: idle, or slow with its headers.
    std::chrono::milliseconds keepAliveTimeout {10000};
    /// A request whose handler passes on nothing for this long is answered as one of unknown
    /// outcome. Above the patience of callers, who then have given up already.
    std::chrono::milliseconds handlerTimeout {35000};
};

/// Memory of requests that are being read or have no answer yet.
inline constexpr std::size_t defaultReceiveBytes = 24U << 20U;

/// Passes on the response to a request, on the loop's thread, at any time. Without effect if the
/// connection is gone or a response was passed on before.
using http_responder = std::function<void(http_response)>;

/// Handles one request on the loop's thread. Must not block. The request is valid until it returns.
using async_http_handler = std::function<void(const http_request &, http_responder)>;

/// An HTTP server on the thread of an event loop, on libmicrohttpd. A request that waits for its
/// response occupies a connection but no thread.
///
/// Malformed requests and those with an ambiguous length are answered with 400, bodies above the
/// bound with 413, at their end if their length is not announced; bodies that do not fit the memory
/// budget with 503. A connection that sends on for long after that is closed. Peers that are slower
/// than the bounds are disconnected, and near `maxConnections` those that have waited longest
/// without a complete request. Not thread-safe: used on the loop's thread.
class async_http_server
{
public:
    /// Starts to listen. The loop must outlive the server. Errors: `unavailable` if the address
    /// cannot be bound.
    [[nodiscard]] static result<std::unique_ptr<async_http_server>>
    start(io_loop &loop, const async_http_server_options &options, async_http_handler handler);

    /// Answers open requests with 503 and stops to listen.
    ~async_http_server();
    async_http_server(const async_http_server &) = delete;
    async_http_server &operator=(const async_http_server &) = delete;

    /// Returns the port in use.
    [[nodiscard]] std::uint16_t port() const noexcept;

    /// Returns the number of requests that have been read, also in part, and whose response is not
    /// written yet.
    [[nodiscard]] std::size_t openRequests() const noexcept;

    /// Returns true if there may be requests that have arrived and of which nothing has been read.
    [[nodiscard]] bool hasUnreadInput() const noexcept;

    /// From now on each response closes its connection.
    void closeAfterResponses() noexcept;

private:
    struct impl;
    explicit async_http_server(std::unique_ptr<impl> state) noexcept;
    std::unique_ptr<impl> m_impl;
};

} // namespace ibishinge
