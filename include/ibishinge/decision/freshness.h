#pragma once

#include <ibishinge/base/time.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge {

/// Up to this age of the last verification against the store, work that needs a key is accepted
/// without consulting other members. Two polls may fail within this time. A key that is revoked
/// right after the last verification is still refused well within the 6 s in which a configuration
/// must take effect.
inline constexpr std::chrono::milliseconds maxVerificationAge {3000};

/// Longest age of an exchange with a member that is still taken into account. It covers one lost
/// exchange (started 1 s after the last successful one, timed out after 1 s) and the start of the
/// next. It is below `maxVerificationAge`, so that exchanges with members do not extend that bound.
inline constexpr std::chrono::milliseconds maxExchangeAge {2500};

/// Interval between polls of the store, and between rounds of exchanges with members.
inline constexpr std::chrono::milliseconds pollInterval {1000};

/// Above this age of the last verification, each round queries all members. At this age one poll
/// has failed, and the round that follows it still ends within `maxVerificationAge`.
inline constexpr std::chrono::milliseconds fullRoundVerificationAge {1250};

/// Number of members that are queried in a round while the last verification is more recent than
/// `fullRoundVerificationAge`. Each member is also queried by as many others, and both sides of an
/// exchange learn new revisions, so a change reaches all of 16 members within 3 rounds.
inline constexpr std::size_t membersPerRound = 2;

/// Time within which a member must answer in an exchange. Not longer than `pollInterval`, so that
/// rounds do not overlap.
inline constexpr std::chrono::milliseconds exchangeTimeout {1000};

/// Store revisions of the documents of the configuration; 0: the document was never read.
struct configuration_revisions
{
    std::int64_t catalogue = 0;
    std::int64_t keys = 0;

    friend bool operator==(const configuration_revisions &,
                           const configuration_revisions &) = default;
};

/// Returns true if no document in `b` is newer than in `a`. Thread-safe.
[[nodiscard]] constexpr bool covers(const configuration_revisions &a,
                                    const configuration_revisions &b) noexcept
{
    return a.catalogue >= b.catalogue && a.keys >= b.keys;
}

/// Result of the last exchange with a member of the system.
enum class member_state : std::uint8_t {
    unresponsive, ///< no answer in time, as from a frozen process, or no exchange yet
    reachable, ///< answered
    refused, ///< refused the connection: the process has ended
    host_absent, ///< its host is not in the host list
};

/// The last exchange with one member.
struct member_report
{
    std::string incarnation;
    member_state state = member_state::unresponsive;
    monotonic_time startedAt; ///< start of the exchange
    /// Age of the last verification of the configuration against the store, as reported by the
    /// member; none: the member has never verified it.
    std::optional<std::chrono::milliseconds> verificationAge;
    configuration_revisions revisions; ///< held by the member when it answered
};

/// Input of `decideFreshness`.
struct freshness_input
{
    monotonic_time now;
    /// Time of the last verification: start of the last read, by this process or by a member, that
    /// showed that the held revisions are the current ones of the store. None: never verified.
    std::optional<monotonic_time> verifiedAt;
    configuration_revisions held; ///< revisions that this process holds
    std::vector<member_report> members; ///< all known members except this process
};

/// Whether the held configuration may be used for work that needs a key.
enum class freshness_state : std::uint8_t {
    usable, ///< work that needs a key may be accepted
    /// Such work is refused, because a revocation may exist that this process has not seen.
    stopped,
};

/// Result of `decideFreshness`.
struct freshness_decision
{
    freshness_state state = freshness_state::stopped;
    std::string reason; ///< for logs and operators
    /// Time of the last verification, including those by reachable members whose revisions are all
    /// held by this process.
    std::optional<monotonic_time> verifiedAt;
    /// Incarnation of the member to fetch newer documents from.
    std::optional<std::string> fetchFrom;
};

/// Switches for tests, which show that revocations are effective only because of the rule.
struct freshness_policy
{
    bool enforced = true; ///< false: any configuration is usable at any age
};

/// Decides whether the held configuration may be used for work that needs a key.
///
/// The configuration may be used up to `maxVerificationAge` after its last verification. Later it
/// may be used only if every known member is accounted for: within `maxExchangeAge` the member
/// answered and held no newer revision, or refused the connection; or its host is not in the host
/// list. No known process can then have made a change that this process does not hold.
///
/// A process adopts the verification time of a reachable member if it holds all revisions of that
/// member, because it then knows everything that the member knew. Without this rule, processes
/// whose last polls before an outage were up to `pollInterval` apart would make each other stop.
/// Thread-safe.
[[nodiscard]] freshness_decision decideFreshness(const freshness_input &input,
                                                 const freshness_policy &policy = {});

/// Returns the name of `state` as used in JSON bodies and logs. Thread-safe.
[[nodiscard]] std::string_view nameOf(freshness_state state) noexcept;

} // namespace ibishinge
