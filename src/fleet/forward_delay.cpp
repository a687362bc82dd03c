#include <ibishinge/fleet/forward_delay.h>

#include <algorithm>
#include <iterator>

namespace ibishinge::fleet {

namespace {

using std::chrono::milliseconds;

/// The lowest difference of a sender is that of one to two periods. A clock that has stood still is
/// noticed after that time; two clocks drift apart by less than a few milliseconds meanwhile.
constexpr milliseconds period {10'000};

/// A larger delay means that one of the clocks has stood still: the difference is learned anew.
constexpr milliseconds largestDelay {20'000};

} // namespace

milliseconds forward_delay::delayOf(const std::string &incarnation, std::int64_t sentAtMs,
                                    instant now)
{
    const auto difference = now.time_since_epoch().count() - sentAtMs;
    const auto [found, first] = m_senders.try_emplace(incarnation);
    auto &sender = found->second;
    const auto age = since(sender.periodStart, now);
    const bool outOfDate =
        age >= 2 * period
        || difference - std::min(sender.lowest, sender.lowestBefore) > largestDelay.count();
    if (first || outOfDate) {
        sender = {difference, difference, now};
    } else if (age >= period) {
        sender = {difference, sender.lowest, now};
    }
    sender.lowest = std::min(sender.lowest, difference);
    if (first) {
        // Runs of processes that have ended.
        for (auto each = m_senders.begin(); each != m_senders.end();) {
            const bool gone = since(each->second.periodStart, now) >= 2 * period;
            each = gone ? m_senders.erase(each) : std::next(each);
        }
    }
    return milliseconds(difference - std::min(sender.lowest, sender.lowestBefore));
}

} // namespace ibishinge::fleet
