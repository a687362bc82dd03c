#pragma once

#include <ibishinge/base/member_info.h>
#include <ibishinge/base/time.h>
#include <ibishinge/decision/freshness.h>
#include <ibishinge/outside/peer_client.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibishinge {

/// Time for which a member that is no longer in the store and refuses connections is still asked.
/// A process that is started again at the same address is then noticed without the store.
inline constexpr std::chrono::minutes memberMemory {10};

/// The other members that this process knows of, by address, and the last exchange with each.
///
/// Members are added from the store's list, from exchanges and from what other members know. An
/// expired lease does not remove a member, because its process may only be frozen or cut off from
/// the store. Not thread-safe.
class peer_directory
{
public:
    explicit peer_directory(member_info self);

    /// Takes the store's list of members.
    void noteListed(const std::vector<member_info> &listed, monotonic_time now);

    /// Adds members that another member named.
    void noteNamed(const std::vector<member_info> &named, monotonic_time now);

    /// Records that a member called this process.
    void noteCaller(const member_info &caller, monotonic_time now);

    /// Takes the hosts that the host list does not contain.
    void noteAbsentHosts(std::set<std::string> hosts);

    /// Records an answer. An answer with another incarnation proves that the one known before is
    /// gone, since only one process can listen at an address.
    void noteAnswer(const endpoint &from, const exchange_message &answer, monotonic_time startedAt);
    void noteRefusal(const endpoint &from, monotonic_time startedAt);

    /// Returns all known members.
    [[nodiscard]] std::vector<member_info> members() const;
    /// Returns the members to exchange with in a round in which `count` are enough; the following
    /// calls go on from there, in the order of addresses that starts behind the own one.
    [[nodiscard]] std::vector<member_info> nextMembers(std::size_t count);
    /// Returns a digest of the addresses of all known members and the own one.
    [[nodiscard]] std::string digest() const;
    /// Returns all known members as the freshness rule sees them.
    [[nodiscard]] std::vector<member_report> reports() const;

private:
    struct peer
    {
        member_info info;
        member_report report;
        monotonic_time lastSign; ///< last time it was listed, named, called or answered
        bool listed = false;
    };

    peer *add(const member_info &info, monotonic_time now);

    member_info m_self;
    std::map<std::string, peer> m_peers; ///< by address
    std::set<std::string> m_absentHosts;
    std::string m_lastAsked; ///< address after which `nextMembers` goes on
};

} // namespace ibishinge
