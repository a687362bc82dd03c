#pragma once

#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/error.h>
#include <ibishinge/outside/http_message.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace ibishinge {

/// Which connection a request may be sent on.
enum class connection_use : std::uint8_t {
    /// An open one if there is one. libcurl sends the request again on a new connection if the
    /// server closes a reused one without a response, so this is for idempotent requests only.
    reuse_allowed,
    /// A new one, on which nothing is ever sent twice.
    fresh,
};

struct http_client_options
{
    std::chrono::milliseconds connectTimeout {1000};
    std::size_t maxResponseBytes = 8U << 20U;
    std::size_t maxIdleConnections = 64; ///< over all endpoints
};

/// An HTTP client with reused connections, on libcurl. Thread-safe; calls block.
///
/// A response is returned only if it was read completely. A connection is reused only after a
/// complete response, so that a late response cannot reach another request.
class http_client
{
public:
    [[nodiscard]] static std::unique_ptr<http_client> create(const http_client_options &options);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Sends `request` and returns the complete response, whatever its status.
    ///
    /// Errors: `unavailable` if no byte of the request was sent; `target_timeout` if the response
    /// was not complete within `timeout`; `target_failed` if the connection was cut or the response
    /// is malformed, shorter than its length, of unknown length or above the bound.
    [[nodiscard]] result<http_response> send(const endpoint &to, const http_request &request,
                                             std::chrono::milliseconds timeout,
                                             connection_use use = connection_use::fresh);

private:
    struct impl;
    explicit http_client(std::unique_ptr<impl> state) noexcept;
    std::unique_ptr<impl> m_impl;
};

} // namespace ibishinge
