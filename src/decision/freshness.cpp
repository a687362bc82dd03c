#include <ibishinge/decision/freshness.h>

#include <algorithm>

namespace ibishinge {

namespace {

bool isRecent(const member_report &member, monotonic_time now)
{
    return now - member.startedAt <= maxExchangeAge;
}

bool hasRecentAnswer(const member_report &member, monotonic_time now)
{
    return member.state == member_state::reachable && isRecent(member, now);
}

/// Returns the reason for which a member is not accounted for; "" if it is accounted for.
std::string_view whyNotAccountedFor(const member_report &member, const freshness_input &input)
{
    switch (member.state) {
    case member_state::host_absent:
        return "";
    case member_state::unresponsive:
        break;
    case member_state::refused:
        // A refusal ages like an answer, because another process may have started at the address.
        return isRecent(member, input.now) ? "" : "was not contacted recently";
    case member_state::reachable:
        if (!isRecent(member, input.now)) {
            return "has not answered recently";
        }
        return covers(input.held, member.revisions) ? "" : "holds a newer configuration";
    }
    return "does not answer";
}

std::optional<monotonic_time> latestVerification(const freshness_input &input)
{
    auto latest = input.verifiedAt;
    for (const auto &member : input.members) {
        if (member.state == member_state::reachable && member.verificationAge
            && covers(input.held, member.revisions)) {
            // The member measured the age after the exchange started, so it verified the
            // configuration at this time or later; the earlier time is safe.
            const auto verifiedAt = member.startedAt - *member.verificationAge;
            latest = latest ? std::max(*latest, verifiedAt) : verifiedAt;
        }
    }
    return latest;
}

std::optional<std::string> memberWithNewestRevisions(const freshness_input &input)
{
    const member_report *newest = nullptr;
    for (const auto &member : input.members) {
        if (!hasRecentAnswer(member, input.now) || covers(input.held, member.revisions)) {
            continue;
        }
        const auto sum = [](const member_report &m) {
            return m.revisions.catalogue + m.revisions.keys;
        };
        if (newest == nullptr || sum(member) > sum(*newest)) {
            newest = &member;
        }
    }
    return newest != nullptr ? std::optional(newest->incarnation) : std::nullopt;
}

} // namespace

freshness_decision decideFreshness(const freshness_input &input, const freshness_policy &policy)
{
    freshness_decision decision;
    decision.verifiedAt = latestVerification(input);
    decision.fetchFrom = memberWithNewestRevisions(input);
    if (!policy.enforced) {
        decision.state = freshness_state::usable;
        decision.reason = "the freshness check is disabled";
        return decision;
    }
    if (!decision.verifiedAt) {
        decision.reason = "the configuration was never verified to be current";
        return decision;
    }
    if (input.now - *decision.verifiedAt <= maxVerificationAge) {
        decision.state = freshness_state::usable;
        decision.reason = "verified to be current within the last "
                          + std::to_string(maxVerificationAge.count()) + " ms";
        return decision;
    }
    for (const auto &member : input.members) {
        const auto reason = whyNotAccountedFor(member, input);
        if (!reason.empty()) {
            decision.reason = "no recent verification, and member " + member.incarnation + " ";
            decision.reason += reason;
            return decision;
        }
    }
    decision.state = freshness_state::usable;
    decision.reason = "no recent verification, but every known member is accounted for";
    return decision;
}

std::string_view nameOf(freshness_state state) noexcept
{
    return state == freshness_state::usable ? "usable" : "stopped";
}

} // namespace ibishinge
