#pragma once

#include <ibishinge/base/boot_clock.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge {

/// Identifies a request in a budget; none is used twice.
using receive_number = std::uint64_t;

/// A request from its headers until it is answered or its connection ends.
struct received_request
{
    std::string address; ///< of the client
    std::size_t chargedBytes = 0;
    std::size_t readBytes = 0; ///< of the body
    instant since; ///< its first line was read
    bool complete = false; ///< has been read to its end: it may run, so its memory stays charged
    bool mayReclaim = true; ///< other requests may be ended to make room for its body
};

/// Memory of the requests that are being read or have no answer yet.
struct receive_state
{
    std::size_t totalBytes = 0; ///< the bound
    std::size_t usedBytes = 0;
    std::map<receive_number, received_request> requests;
    std::map<std::string, std::size_t> usedByAddress;
    /// The last address below its share whose request was refused, and when.
    std::string refusedAddress;
    std::optional<instant> refusedAt;
};

struct charge_decision
{
    bool granted = false;
    std::vector<receive_number> reclaimed; ///< to be ended first; empty if not granted
};

/// Returns whether request `number` may take `bytes` more, and which requests to end for it.
///
/// An eighth of the bound is kept for small requests, so that large bodies cannot displace them.
/// Among requests that have been open for `minReclaimAge`, large ones are ended before small ones,
/// and those with the least progress for that time first. While another address waits, one address
/// gets at most half of the bound, and unfinished requests beyond its half are ended at any age.
/// Precondition: the request is in `state`. Thread-safe.
[[nodiscard]] charge_decision decideCharge(const receive_state &state, receive_number number,
                                           std::size_t bytes, instant now);

/// Returns true if an unfinished body has not made the least progress that is required for its age.
/// None is required of a body whose announced length is small: on a path that loses packets, an
/// ordinary one may stand still for longer, and it takes little memory. Thread-safe.
[[nodiscard]] bool isWithoutProgress(std::size_t readBytes,
                                     std::optional<std::size_t> announcedBytes, instant since,
                                     instant now) noexcept;

/// A connection without a complete request.
struct waiting_connection
{
    int descriptor = -1;
    instant since; ///< accepted, answered, or its unfinished request began
};

/// Returns the connections to close so that new ones can be accepted: those beyond seven eighths of
/// `maxConnections` that have waited longest, at least a second. Thread-safe.
[[nodiscard]] std::vector<int> chooseClosed(std::vector<waiting_connection> waiting,
                                            std::size_t open, std::size_t maxConnections,
                                            instant now);

enum class shed_reason : std::uint8_t {
    refused, ///< its body did not fit: answered with 503
    reclaimed, ///< ended in favour of another request
    no_progress,
    connections, ///< closed so that new connections can be accepted
};

/// Returns the name used in logs and metrics. Thread-safe.
[[nodiscard]] std::string_view nameOf(shed_reason reason) noexcept;

/// A request that was refused or ended to protect the process.
struct shed_request
{
    std::string address;
    std::size_t bytes = 0; ///< charged
    std::chrono::milliseconds age {0};
    shed_reason reason = shed_reason::refused;
};

/// Bounds the memory of the requests of all servers of a process. Not thread-safe: used on the
/// thread of the servers' loop.
///
/// \code
/// receive_budget budget(24U << 20U);
/// const auto number = budget.open("10.0.0.1", loop.now(), true, [] { closeConnection(); });
/// if (!budget.charge(number, length, loop.now())) { /* answer with 503 */ }
/// budget.release(number);
/// \endcode
class receive_budget
{
public:
    explicit receive_budget(std::size_t totalBytes);

    /// Called for each request that is shed.
    void onShed(std::function<void(const shed_request &)> observer);

    /// Adds a request without a charge. `end` is called if it is ended in favour of another one:
    /// it must free the body and close the connection, and must not call the budget.
    [[nodiscard]] receive_number open(const std::string &address, instant since, bool mayReclaim,
                                      std::function<void()> end);

    /// Charges `bytes` more to a request. Returns false if they do not fit; the request then keeps
    /// no charge. A request that is not in the budget is refused.
    [[nodiscard]] bool charge(receive_number number, std::size_t bytes, instant now);

    /// Counts bytes of a body that were read.
    void addRead(receive_number number, std::size_t bytes);

    /// The request has been read to its end.
    void setComplete(receive_number number);

    /// Ends the charge. Has no effect on a request that is not in the budget.
    void release(receive_number number);

    /// Reports a request or connection that a server has ended.
    void report(const shed_request &shed) const;

    [[nodiscard]] std::size_t usedBytes() const noexcept;

private:
    void setCharge(received_request &request, std::size_t bytes);

    receive_state m_state;
    std::map<receive_number, std::function<void()>> m_ends;
    receive_number m_last = 0;
    std::function<void(const shed_request &)> m_observer;
};

} // namespace ibishinge
