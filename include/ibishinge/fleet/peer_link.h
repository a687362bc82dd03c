#pragma once

#include <ibishinge/fleet/worker_calls.h>

#include <string>

namespace ibishinge::fleet {

/// Calls to other processes of the system; an interface so that tests need no network.
class peer_link
{
public:
    virtual ~peer_link() = default;
    /// Passes a caller's request on. Errors: `unavailable` if no connection was made, with the
    /// system's error if it was refused; `outcome_unknown` if the request may have been received.
    virtual void forward(const std::string &address, const std::string &request,
                         milliseconds timeout, reply<std::string> done) = 0;
    /// Asks a process to replace the leader's record of `revision`. Errors: as `forward`.
    virtual void offerLeadership(const std::string &address, std::int64_t revision,
                                 reply<bool> done) = 0;
    /// Sends calls to workers to a relay and receives results. Errors: as `forward`.
    virtual void exchangeWorkerCalls(const std::string &address, const std::string &calls,
                                     milliseconds timeout, reply<std::string> done) = 0;
};

} // namespace ibishinge::fleet
