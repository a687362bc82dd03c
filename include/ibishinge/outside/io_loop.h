#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/base/scheduler.h>
#include <ibishinge/outside/http_message.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ibishinge {

/// One HTTP request to another process.
struct outgoing_request
{
    std::string method = "GET";
    std::string address; ///< "ip:port"
    std::string target = "/"; ///< path and query
    std::vector<http_header> headers;
    std::string body;
    std::chrono::milliseconds timeout {1000}; ///< for the whole exchange
    /// Longest time in which no byte of the request is sent and none of the response arrives, for
    /// exchanges whose duration depends on the bandwidth; 0: only `timeout` applies.
    std::chrono::milliseconds stallTimeout {0};
    /// Use no connection of earlier requests, for example because one of them may have gone silent.
    bool freshConnection = false;
};

/// Identifies a request that was sent; none is used twice.
using request_number = std::uint64_t;

using response_handler = std::function<void(result<http_response>)>;

/// Event loop with timers and an HTTP client for many requests at once, on libcurl.
///
/// Requests other than GET are sent once at most: if a connection ends without a response, the
/// error is `outcome_unknown`.
///
/// All functions but `post` and `stop` are called on the loop's thread. An exception that leaves a
/// function called by the loop is logged and ends that function only. Responses arrive on that
/// thread. A connection on which a request timed out is not used again, and for some seconds
/// further requests to its address use new connections, because idle ones may have gone silent with
/// it.
class io_loop final : public scheduler
{
public:
    /// Errors: `internal` if libcurl cannot be set up.
    [[nodiscard]] static result<std::unique_ptr<io_loop>> make();
    ~io_loop() override;
    io_loop(const io_loop &) = delete;
    io_loop &operator=(const io_loop &) = delete;

    [[nodiscard]] instant now() const override;
    [[nodiscard]] std::int64_t wallMs() const override;
    void after(std::chrono::milliseconds delay, std::function<void()> function) override;

    /// Returns a time; input that arrived before it has been handled.
    [[nodiscard]] instant polledAt() const;

    /// Errors passed to `done`: `unavailable` if no connection was made, `outcome_unknown` if the
    /// request may have been received.
    request_number send(outgoing_request request, response_handler done);

    /// Ends a request, which may have been received, without a call of its handler. Has no effect
    /// if the handler was called.
    void cancel(request_number number);

    /// Calls `onReadable` whenever `descriptor` can be read, until `removeReadable`. The descriptor
    /// stays the caller's. Precondition: not added already.
    void addReadable(int descriptor, std::function<void()> onReadable);
    /// Precondition: `descriptor` was added and is still open.
    void removeReadable(int descriptor);

    /// Calls `function` on the loop's thread. Thread-safe.
    void post(std::function<void()> function);

    /// Runs until `stop` is called.
    void run();

    /// Makes `run` return. Thread-safe.
    void stop();

private:
    struct impl;
    explicit io_loop(std::unique_ptr<impl> state) noexcept;
    std::unique_ptr<impl> m_impl;
};

} // namespace ibishinge
