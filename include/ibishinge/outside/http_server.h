#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/outside/http_message.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace ibishinge {

struct http_server_options
{
    std::string address = "127.0.0.1"; ///< IP address to listen on
    std::uint16_t port = 0; ///< 0: any free port
    int threads = 64; ///< largest number of connections served at once
    std::size_t maxBodyBytes = 1U << 20U;
    std::size_t maxHeaderBytes = 16U << 10U;
    /// Bound on a slow sender: for each wait, and for the whole body between two reads.
    std::chrono::milliseconds receiveTimeout {10000};
    std::chrono::milliseconds keepAliveTimeout {2000}; ///< an idle connection is closed after this
};

/// Handles one request. Called from several threads at once; may block.
using http_handler = std::function<http_response(const http_request &)>;

/// An HTTP server with one thread for each connection, on CivetWeb.
///
/// Answers malformed requests and those with 64 header fields or more with 400, bodies above the
/// bound with 413 and bodies that end early not at all: the handler is only called with a complete
/// request.
class http_server
{
public:
    /// Starts to listen. Errors: `unavailable` if the address cannot be bound.
    [[nodiscard]] static result<std::unique_ptr<http_server>>
    start(const http_server_options &options, http_handler handler);

    /// Answers new requests with 503 `shutting_down`, waits until the responses of the handlers in
    /// progress are written, and stops to listen.
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Returns the port in use. Thread-safe.
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    struct impl;
    explicit http_server(std::unique_ptr<impl> state) noexcept;
    std::unique_ptr<impl> m_impl;
};

} // namespace ibishinge
