#pragma once

#include <ibishinge/base/boot_clock.h>

#include <cstdint>
#include <map>
#include <string>

namespace ibishinge::fleet {

/// Estimates how long messages of other processes were on their way, without a common clock: the
/// difference between the receiver's and the sender's clock is the lowest seen with a sender for a
/// while, and what is above it is delay. So delays that all messages of that time had do not count.
/// Not thread-safe.
class forward_delay
{
public:
    /// Returns the delay of a message that the run `incarnation` of a process sent at `sentAtMs` of
    /// its monotonic clock and that is read at `now`; 0 for the first one of a sender.
    [[nodiscard]] std::chrono::milliseconds delayOf(const std::string &incarnation,
                                                    std::int64_t sentAtMs, instant now);

private:
    struct sender_clock
    {
        std::int64_t lowest = 0; ///< lowest difference in the present period
        std::int64_t lowestBefore = 0; ///< that of the period before
        instant periodStart;
    };

    std::map<std::string, sender_clock> m_senders; ///< by incarnation
};

} // namespace ibishinge::fleet
