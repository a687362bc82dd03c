#pragma once

#include <ibishinge/base/time.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge {

/// Longest age of the last proof of the store's state with which work that needs a key is accepted
/// without asking anyone. Two polls may fail; a revocation made right after the last proof is
/// still refused well within the 6 s in which a configuration takes effect.
inline constexpr std::chrono::milliseconds maxVerificationAge {3000};

/// Longest age of an exchange with a member that still counts. It covers one lost exchange (started
/// 1 s after the last good one, given up after 1 s) and the start of the next, and stays below
/// `maxVerificationAge`, so that accounting for members does not weaken the bound above.
inline constexpr std::chrono::milliseconds maxExchangeAge {2500};

/// Time from one poll of the store, and from one round of exchanges, to the next.
inline constexpr std::chrono::milliseconds pollInterval {1000};

/// Age of the proof above which every member is asked in each round. One poll has then failed, and
/// the round after it still ends within `maxVerificationAge`.
inline constexpr std::chrono::milliseconds fullRoundVerificationAge {1250};

/// Members asked in a round while the proof is younger. Each is also asked by as many others, and
/// both sides learn from an exchange, so that news is with all of 16 members within 3 rounds.
inline constexpr std::size_t membersPerRound = 2;

/// Time within which a member has to answer an exchange. Not longer than `pollInterval`, so that
/// rounds do not overlap.
inline constexpr std::chrono::milliseconds exchangeTimeout {1000};

/// Store revisions of the documents of the configuration. 0: none seen.
struct configuration_revisions
{
    std::int64_t catalogue = 0;
    std::int64_t keys = 0;

    friend bool operator==(const configuration_revisions &,
                           const configuration_revisions &) = default;
};

/// Returns true if no document of `b` is newer than in `a`. Thread-safe.
[[nodiscard]] constexpr bool covers(const configuration_revisions &a,
                                    const configuration_revisions &b) noexcept
{
    return a.catalogue >= b.catalogue && a.keys >= b.keys;
}

/// How a member of the system behaved in the last exchange with it.
enum class member_state : std::uint8_t {
    unresponsive, ///< no answer in time, or none sought yet; a frozen process looks like this
    reachable, ///< answered
    refused, ///< refused the connection: the process is gone
    host_absent, ///< its host is not in the host list
};

/// The last exchange with one member.
struct member_report
{
    std::string incarnation;
    member_state state = member_state::unresponsive;
    monotonic_time startedAt; ///< when the exchange was started
    /// Age that the member gave for its proof of the store's state; none: it never had one.
    std::optional<std::chrono::milliseconds> verificationAge;
    configuration_revisions revisions; ///< held by the member when it answered
};

struct freshness_input
{
    monotonic_time now;
    /// Start of the last read that proved the held revisions to be the store's, own or taken over.
    std::optional<monotonic_time> verifiedAt;
    configuration_revisions held;
    std::vector<member_report> members; ///< all other known members
};

enum class freshness_state : std::uint8_t {
    usable, ///< work that needs a key may be accepted
    stopped, ///< a revocation may exist that this process has not seen
};

struct freshness_decision
{
    freshness_state state = freshness_state::stopped;
    std::string reason; ///< for logs and operators
    /// Time of the proof, including those of reachable members whose revisions are all held.
    std::optional<monotonic_time> verifiedAt;
    std::optional<std::string> fetchFrom; ///< incarnation of a member with newer documents
};

/// Switches for tests, which show that the rule is what makes revocations effective.
struct freshness_policy
{
    bool enforced = true; ///< false: any configuration is usable at any age
};

/// Decides whether the held configuration may be used for work that needs a key.
///
/// It may be used while the proof is younger than `maxVerificationAge`. With an older proof it may
/// be used only if every known member is accounted for: it answered within `maxExchangeAge` and
/// holds nothing newer, or it refused the connection, or its host is not in the host list. Then no
/// known process can have changed anything that is not held here.
///
/// A process takes over the proof of a reachable member whose revisions it holds: it then knows
/// all that the member knew. This also keeps processes whose last polls before an outage lie up to
/// `pollInterval` apart from stopping because of each other. Thread-safe.
[[nodiscard]] freshness_decision decideFreshness(const freshness_input &input,
                                                 const freshness_policy &policy = {});

/// Returns the name of `state` as used in JSON bodies and logs. Thread-safe.
[[nodiscard]] std::string_view nameOf(freshness_state state) noexcept;

} // namespace ibishinge
