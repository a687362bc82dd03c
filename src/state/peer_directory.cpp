#include <ibishinge/state/peer_directory.h>

#include <ibishinge/base/secret.h>

#include <algorithm>
#include <utility>

namespace ibishinge {

namespace {

constexpr std::size_t digestDigits = 16; ///< 64 bits: equal digests of different sets do not occur

} // namespace

peer_directory::peer_directory(member_info self)
    : m_self(std::move(self))
    , m_lastAsked(toString(m_self.address))
{
}

peer_directory::peer *peer_directory::add(const member_info &info, monotonic_time now)
{
    if (info.incarnation == m_self.incarnation || info.address == m_self.address) {
        return nullptr;
    }
    const auto [entry, isNew] = m_peers.try_emplace(toString(info.address));
    if (isNew) {
        entry->second.info = info;
        entry->second.report.incarnation = info.incarnation;
    }
    entry->second.lastSign = now;
    return &entry->second;
}

void peer_directory::noteListed(const std::vector<member_info> &listed, monotonic_time now)
{
    for (auto &[address, known] : m_peers) {
        known.listed = false;
    }
    for (const auto &info : listed) {
        if (peer *known = add(info, now)) {
            known->listed = true;
        }
    }
    std::erase_if(m_peers, [&](const auto &item) {
        const peer &known = item.second;
        const bool isGone =
            known.report.state == member_state::refused && now - known.lastSign > memberMemory;
        return !known.listed && (isGone || m_absentHosts.contains(known.info.host));
    });
}

void peer_directory::noteNamed(const std::vector<member_info> &named, monotonic_time now)
{
    for (const auto &info : named) {
        if (!m_peers.contains(toString(info.address))) {
            add(info, now);
        }
    }
}

void peer_directory::noteCaller(const member_info &caller, monotonic_time now)
{
    add(caller, now);
}

void peer_directory::noteAbsentHosts(std::set<std::string> hosts)
{
    m_absentHosts = std::move(hosts);
}

void peer_directory::noteAnswer(const endpoint &from, const exchange_message &answer,
                                monotonic_time startedAt)
{
    const auto found = m_peers.find(toString(from));
    if (found == m_peers.end()) {
        return;
    }
    peer &known = found->second;
    if (known.report.startedAt > startedAt) {
        return;
    }
    const endpoint address = known.info.address;
    known.info = answer.sender;
    known.info.address = address;
    known.lastSign = startedAt;
    known.report = {answer.sender.incarnation, member_state::reachable, startedAt,
                    answer.verificationAge, answer.revisions};
}

void peer_directory::noteRefusal(const endpoint &from, monotonic_time startedAt)
{
    const auto found = m_peers.find(toString(from));
    if (found == m_peers.end() || found->second.report.startedAt > startedAt) {
        return;
    }
    found->second.report.state = member_state::refused;
    found->second.report.startedAt = startedAt;
}

std::vector<member_info> peer_directory::members() const
{
    std::vector<member_info> all;
    all.reserve(m_peers.size());
    for (const auto &[address, known] : m_peers) {
        all.push_back(known.info);
    }
    return all;
}

std::vector<member_info> peer_directory::nextMembers(std::size_t count)
{
    std::vector<member_info> next;
    for (std::size_t i = 0; i < std::min(count, m_peers.size()); ++i) {
        auto found = m_peers.upper_bound(m_lastAsked);
        if (found == m_peers.end()) {
            found = m_peers.begin();
        }
        m_lastAsked = found->first;
        next.push_back(found->second.info);
    }
    return next;
}

std::string peer_directory::digest() const
{
    std::set<std::string> addresses {toString(m_self.address)};
    for (const auto &[address, known] : m_peers) {
        addresses.insert(address);
    }
    std::string text;
    for (const auto &address : addresses) {
        text += address + "\n";
    }
    return toHex(sha256(text, {})).substr(0, digestDigits);
}

std::vector<member_report> peer_directory::reports() const
{
    std::vector<member_report> all;
    all.reserve(m_peers.size());
    for (const auto &[address, known] : m_peers) {
        all.push_back(known.report);
        if (m_absentHosts.contains(known.info.host)) {
            all.back().state = member_state::host_absent;
        }
    }
    return all;
}

} // namespace ibishinge
