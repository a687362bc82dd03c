#pragma once

#include <ibishinge/fleet/worker_calls.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace ibishinge::fleet {

/// Kinds of forwarded requests in order of importance: while calls to a process are scarce, those
/// of a kind named earlier are sent first.
enum class forward_kind : std::uint8_t {
    lookup, ///< of one job
    cancellation,
    repeated_submission, ///< a coordinator may have received an earlier copy
    submission,
    count,
};
inline constexpr std::size_t forwardKinds = 5;

/// Calls to other processes of the system; an interface, so that tests need no network. Replies
/// arrive exactly once, on the thread of the event loop. Not thread-safe: all calls must be made on
/// that thread.
class peer_link
{
public:
    virtual ~peer_link() = default;
    /// Forwards a caller's request, encoded by `encodeRequest`; the reply is an encoded answer.
    /// Errors: `unavailable` if no connection was made, with the system's error code if the
    /// connection was refused; `overloaded` if it was not sent because too many others wait for the
    /// process; `outcome_unknown` if the request may have been received.
    virtual void forward(const std::string &address, const std::string &request, forward_kind kind,
                         milliseconds timeout, reply<std::string> done) = 0;
    /// Asks a process to replace the leader record that has the revision `revision`. The reply is
    /// true if the process accepts. Errors: as `forward`.
    virtual void offerLeadership(const std::string &address, std::int64_t revision,
                                 reply<bool> done) = 0;
    /// Asks a process whether it would accept an offer of the leader record that has the revision
    /// `revision`: it reads the store for its answer, and starts no campaign. Errors: as `forward`.
    virtual void probeSuccessor(const std::string &address, std::int64_t revision,
                                milliseconds timeout, reply<bool> done) = 0;
    /// Sends encoded calls to workers to a relay and receives encoded results. A relay that is
    /// silent for `timeout` has failed; one that is sending has twice as long. Errors: as
    /// `forward`.
    virtual void exchangeWorkerCalls(const std::string &address, const std::string &calls,
                                     milliseconds timeout, reply<std::string> done) = 0;
};

} // namespace ibishinge::fleet
