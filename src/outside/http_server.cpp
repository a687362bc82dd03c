#include <ibishinge/outside/http_server.h>

#include <ibishinge/base/civetweb_library.h>
#include <ibishinge/base/logging.h>
#include <ibishinge/outside/request_framing.h>

#include <civetweb.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <exception>
#include <mutex>
#include <utility>
#include <vector>

namespace ibishinge {

struct http_server::impl
{
    http_server_options options;
    http_handler handler;
    mg_context *context = nullptr;
    std::uint16_t port = 0;

    std::mutex mutex;
    std::condition_variable changed;
    int handling = 0; ///< requests from the call of the handler until the response is written
    bool stopping = false;

    /// Returns false if the server is stopping and the handler must not be called.
    bool enter()
    {
        const std::lock_guard lock(mutex);
        handling += stopping ? 0 : 1;
        return !stopping;
    }

    void leave()
    {
        const std::lock_guard lock(mutex);
        --handling;
        changed.notify_all();
    }

    void drain()
    {
        std::unique_lock lock(mutex);
        stopping = true;
        changed.wait(lock, [this] { return handling == 0; });
    }
};

namespace {

constexpr std::size_t readChunkBytes = 16384;

/// mg_read returns only when it has filled its buffer, or when one wait has exceeded the timeout. A
/// sender of single bytes is noticed after this many of them.
constexpr std::size_t firstReadBytes = 16;

/// Reads that take longer do not increase the size of the next one.
constexpr std::chrono::milliseconds fastRead {1};

enum class body_status { complete, cut, too_large, over_budget, malformed };

/// Memory of the bodies that all servers of the process hold: each thread may hold one.
constexpr std::size_t heldBytesBound = 24U << 20U;

/// An eighth of the bound is kept for requests of this size.
constexpr std::size_t smallBodyBytes = 16U << 10U;

std::atomic<std::size_t> heldBytes {0};

/// The share of one request in `heldBytes`.
class held_body
{
public:
    explicit held_body(std::size_t maxBodyBytes)
        : m_bound(std::max(heldBytesBound, 4 * maxBodyBytes))
    {
    }
    held_body(const held_body &) = delete;
    held_body &operator=(const held_body &) = delete;
    ~held_body()
    {
        heldBytes -= m_bytes;
    }

    /// Returns false if `bytes` more do not fit.
    bool add(std::size_t bytes)
    {
        const auto bound = m_bytes + bytes <= smallBodyBytes ? m_bound : m_bound - m_bound / 8;
        if ((heldBytes += bytes) > bound) {
            heldBytes -= bytes;
            return false;
        }
        m_bytes += bytes;
        return true;
    }

private:
    std::size_t m_bound;
    std::size_t m_bytes = 0;
};

body_status readBody(mg_connection *connection, long long contentLength,
                     const http_server_options &options, held_body &held, std::string &body)
{
    using steady = std::chrono::steady_clock;
    const std::size_t limit = options.maxBodyBytes;
    if (contentLength >= 0 && static_cast<unsigned long long>(contentLength) > limit) {
        return body_status::too_large;
    }
    if (contentLength > 0) {
        if (!held.add(static_cast<std::size_t>(contentLength))) {
            return body_status::over_budget;
        }
        body.reserve(static_cast<std::size_t>(contentLength));
    }
    const auto deadline = steady::now() + options.receiveTimeout;
    std::array<char, readChunkBytes> chunk;
    std::size_t wanted = firstReadBytes;
    while (contentLength < 0 || body.size() < static_cast<std::size_t>(contentLength)) {
        const auto begin = steady::now();
        if (begin >= deadline) {
            return body_status::cut;
        }
        const int count = mg_read(connection, chunk.data(), wanted);
        if (count < 0) {
            return body_status::cut;
        }
        if (count == 0) {
            break;
        }
        // A body without an announced length grows to twice its size at most.
        if (contentLength < 0 && !held.add(2 * static_cast<std::size_t>(count))) {
            return body_status::over_budget;
        }
        body.append(chunk.data(), static_cast<std::size_t>(count));
        if (body.size() > limit) {
            return body_status::too_large;
        }
        wanted =
            steady::now() - begin <= fastRead ? std::min(2 * wanted, chunk.size()) : firstReadBytes;
    }
    const bool complete =
        contentLength < 0 || body.size() == static_cast<std::size_t>(contentLength);
    return complete ? body_status::complete : body_status::cut;
}

void send(mg_connection *connection, const http_response &response)
{
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " "
                       + mg_get_response_code_text(connection, response.status) + "\r\n";
    for (const auto &header : response.headers) {
        head += header.name + ": " + header.value + "\r\n";
    }
    head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    head += response.body;
    mg_write(connection, head.data(), head.size());
}

http_request toRequest(const mg_request_info &info)
{
    http_request request;
    request.method = info.request_method != nullptr ? info.request_method : "";
    request.path = info.local_uri != nullptr ? info.local_uri : "/";
    request.query = info.query_string != nullptr ? info.query_string : "";
    request.remoteAddress = info.remote_addr; // NOLINT(bugprone-*)
    for (int i = 0; i < info.num_headers; ++i) {
        request.headers.push_back({info.http_headers[i].name, info.http_headers[i].value});
    }
    return request;
}

long long bodyLength(const http_request &request, const mg_request_info &info)
{
    const bool chunked = findHeader(request.headers, "Transfer-Encoding").has_value();
    if (!chunked && info.content_length < 0) {
        return 0; // A request without a length has no body.
    }
    return info.content_length;
}

/// An exception must not unwind through CivetWeb's C code, which would end the process.
http_response callHandler(const http_handler &handler, const http_request &request) noexcept
{
    try {
        return handler(request);
    } catch (const std::exception &e) {
        logEvent(log_level::error, "handler_failed",
                 {{"path", request.path}, {"reason", e.what()}});
        return failedResponse();
    }
}

template <class Impl>
int handleRequest(mg_connection *connection, void *data)
{
    auto &state = *static_cast<Impl *>(data);
    const mg_request_info &info = *mg_get_request_info(connection);
    http_request request = toRequest(info);
    held_body held(state.options.maxBodyBytes);
    auto status = body_status::malformed;
    const bool tooManyHeaders = request.headers.size() >= maxHeaderCount;
    if (!tooManyHeaders && !hasAmbiguousLength(request)) {
        status = readBody(connection, bodyLength(request, info), state.options, held, request.body);
    }
    switch (status) {
    case body_status::cut:
        mg_close_connection(connection);
        return 499; // Only for the access log: the caller is gone.
    case body_status::too_large:
        send(connection, unreadRequestResponse(error_kind::too_large, "body above the bound"));
        return 413;
    case body_status::over_budget:
        send(connection, overBudgetResponse());
        return answerFor(error_kind::overloaded).httpStatus;
    case body_status::malformed:
        send(connection,
             unreadRequestResponse(error_kind::invalid_request,
                                   tooManyHeaders ? "too many headers" : "ambiguous body length"));
        return 400;
    case body_status::complete:
        break;
    }
    if (!state.enter()) {
        send(connection, shuttingDownResponse());
        return answerFor(error_kind::shutting_down).httpStatus;
    }
    const http_response response = callHandler(state.handler, request);
    if (response.status == noResponseStatus) {
        mg_close_connection(connection);
    } else {
        send(connection, response);
    }
    state.leave();
    return response.status == noResponseStatus ? 499 : response.status; // For the access log.
}

} // namespace

result<std::unique_ptr<http_server>> http_server::start(const http_server_options &options,
                                                        http_handler handler)
{
    initializeCivetweb();
    auto state = std::make_unique<impl>();
    state->options = options;
    state->handler = std::move(handler);

    const std::string listen = options.address + ":" + std::to_string(options.port);
    const std::string threads = std::to_string(options.threads);
    const std::string headerBytes = std::to_string(options.maxHeaderBytes);
    const std::string receiveTimeout = std::to_string(options.receiveTimeout.count());
    const std::string keepAlive = std::to_string(options.keepAliveTimeout.count());
    const std::array<const char *, 17> settings {"listening_ports",
                                                 listen.c_str(),
                                                 "num_threads",
                                                 threads.c_str(),
                                                 "max_request_size",
                                                 headerBytes.c_str(),
                                                 "request_timeout_ms",
                                                 receiveTimeout.c_str(),
                                                 "enable_keep_alive",
                                                 "yes",
                                                 "keep_alive_timeout_ms",
                                                 keepAlive.c_str(),
                                                 "tcp_nodelay",
                                                 "1",
                                                 "decode_url",
                                                 "no",
                                                 nullptr};
    mg_callbacks callbacks {};
    state->context = mg_start(&callbacks, state.get(),
                              const_cast<const char **>(settings.data())); // NOLINT
    if (state->context == nullptr) {
        return makeError(error_kind::unavailable, listen, "cannot listen");
    }
    mg_server_port port {};
    mg_get_server_ports(state->context, 1, &port);
    state->port = static_cast<std::uint16_t>(port.port);
    mg_set_request_handler(state->context, "/", handleRequest<impl>, state.get());
    return std::unique_ptr<http_server>(new http_server(std::move(state)));
}

http_server::http_server(std::unique_ptr<impl> state) noexcept
    : m_impl(std::move(state))
{
}

http_server::~http_server()
{
    // mg_stop makes mg_write fail at once, so that responses in progress would be lost.
    m_impl->drain();
    mg_stop(m_impl->context);
}

std::uint16_t http_server::port() const noexcept
{
    return m_impl->port;
}

} // namespace ibishinge
