#include <ibishinge/decision/freshness.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

const monotonic_time now = monotonic_time {} + 1h;

member_report report(member_state state, milliseconds exchangeAge = 0ms,
                     std::optional<milliseconds> verificationAge = {},
                     configuration_revisions revisions = {5, 7})
{
    return {"m", state, now - exchangeAge, verificationAge, revisions};
}

freshness_input input(std::optional<milliseconds> verificationAge,
                      std::vector<member_report> members)
{
    std::optional<monotonic_time> verifiedAt;
    if (verificationAge) {
        verifiedAt = now - *verificationAge;
    }
    return {now, verifiedAt, {5, 7}, std::move(members)};
}

std::optional<milliseconds> arbitraryAge()
{
    if (*rc::gen::inRange(0, 4) == 0) {
        return std::nullopt;
    }
    return milliseconds(*rc::gen::inRange(0, 8000));
}

member_report arbitraryReport()
{
    return report(*rc::gen::element(member_state::unresponsive, member_state::reachable,
                                    member_state::refused, member_state::host_absent),
                  milliseconds(*rc::gen::inRange(0, 8000)), arbitraryAge(),
                  {*rc::gen::inRange(4, 7), *rc::gen::inRange(6, 9)});
}

freshness_input arbitraryInput()
{
    std::vector<member_report> members;
    for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
        members.push_back(arbitraryReport());
    }
    return input(arbitraryAge(), members);
}

} // namespace

/// Guards against accepting work that needs a key while a revocation may exist that this process
/// has not seen, for example because only this process lost the store. Also guards against refusing
/// such work when the store is unavailable to all processes, so that no revocation is possible.
class freshness_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(freshness_test);
    CPPUNIT_TEST(stateFollowsVerificationAndMembers);
    CPPUNIT_TEST(newerConfigurationIsFetched);
    CPPUNIT_TEST(oneUnresponsiveMemberStopsWithoutRecentVerification);
    CPPUNIT_TEST(timeAndLostAnswersNeverMakeItUsable);
    CPPUNIT_TEST(verificationTimeHasAValidSource);
    CPPUNIT_TEST(constantsKeepRevocationWithinItsBound);
    CPPUNIT_TEST_SUITE_END();

public:
    void stateFollowsVerificationAndMembers()
    {
        using enum member_state;
        struct row
        {
            const char *what;
            freshness_input given;
            bool usable;
        };
        const std::vector<row> rows {
            {"recent contact alone", input(3000ms, {report(unresponsive)}), true},
            {"old contact, silent member", input(3001ms, {report(unresponsive)}), false},
            {"never any contact", input({}, {}), false},
            {"never any contact, members gone", input({}, {report(refused)}), false},
            {"old contact, nobody else known", input(1h, {}), true},
            {"old contact, all refuse", input(1h, {report(refused), report(refused)}), true},
            {"old contact, old refusal", input(1h, {report(refused, 2501ms)}), false},
            {"old contact, host gone", input(1h, {report(host_absent, 1h)}), true},
            {"old contact, all the same", input(1h, {report(reachable, 1s, 1h)}), true},
            {"old contact, old answer", input(1h, {report(reachable, 2501ms, 1h)}), false},
            {"newer contact and same revisions", input(1h, {report(reachable, 1s, 1s)}), true},
            {"newer keys at a member", input(1h, {report(reachable, 1s, 1h, {5, 8})}), false},
            {"newer catalogue at a member", input(1h, {report(reachable, 1s, 1h, {6, 7})}), false},
            {"member lags behind", input(1h, {report(reachable, 1s, 1h, {4, 6})}), true},
            {"member without configuration", input(1h, {report(reachable, 1s, {}, {})}), true},
            {"one of three silent",
             input(1h, {report(reachable, 1s, 1h), report(refused), report(unresponsive)}), false},
            {"taken over from a member", input({}, {report(reachable, 1s, 1s)}), true},
            {"taken over from a member that is itself old", input({}, {report(reachable, 1s, 1h)}),
             true},
            {"newer contact and newer keys at a member",
             input(1h, {report(reachable, 1s, 0ms, {5, 8})}), false},
            {"recent contact, newer keys at a member",
             input(1s, {report(reachable, 1s, 0ms, {5, 8})}), true},
        };
        for (const auto &r : rows) {
            const auto decision = decideFreshness(r.given);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(r.what) + ": " + decision.reason, r.usable,
                                         decision.state == freshness_state::usable);
        }
    }

    void newerConfigurationIsFetched()
    {
        auto lagging = report(member_state::reachable, 1s, 1s, {4, 7});
        auto newer = report(member_state::reachable, 1s, 1s, {5, 9});
        newer.incarnation = "newer";
        auto stale = report(member_state::reachable, 1h, 1s, {9, 9});
        CPPUNIT_ASSERT(decideFreshness(input(1s, {lagging, newer, stale})).fetchFrom == "newer");
        CPPUNIT_ASSERT(!decideFreshness(input(1s, {lagging, stale})).fetchFrom);
    }

    void oneUnresponsiveMemberStopsWithoutRecentVerification()
    {
        CPPUNIT_ASSERT(rc::check("a silent member stops a process without recent proof", [] {
            auto given = arbitraryInput();
            given.members.push_back(report(member_state::unresponsive));
            const auto decision = decideFreshness(given);
            const bool recent =
                decision.verifiedAt && now - *decision.verifiedAt <= maxVerificationAge;
            RC_ASSERT((decision.state == freshness_state::usable) == recent);
        }));
    }

    void timeAndLostAnswersNeverMakeItUsable()
    {
        CPPUNIT_ASSERT(rc::check("time alone and lost answers never make it usable", [] {
            auto given = arbitraryInput();
            const auto before = decideFreshness(given);
            given.now += milliseconds(*rc::gen::inRange(0, 8000));
            for (auto &member : given.members) {
                if (member.state != member_state::host_absent && *rc::gen::arbitrary<bool>()) {
                    member.state = member_state::unresponsive;
                }
            }
            if (before.state == freshness_state::stopped) {
                RC_ASSERT(decideFreshness(given).state == freshness_state::stopped);
            }
        }));
    }

    void verificationTimeHasAValidSource()
    {
        CPPUNIT_ASSERT(rc::check("the contact is the own one or a member's with no newer data", [] {
            const auto given = arbitraryInput();
            const auto decision = decideFreshness(given);
            if (!decision.verifiedAt || decision.verifiedAt == given.verifiedAt) {
                return;
            }
            bool found = false;
            for (const auto &member : given.members) {
                found = found
                        || (covers(given.held, member.revisions) && member.verificationAge
                            && member.startedAt - *member.verificationAge == *decision.verifiedAt);
            }
            RC_ASSERT(found);
        }));
    }

    void constantsKeepRevocationWithinItsBound()
    {
        CPPUNIT_ASSERT(maxExchangeAge < maxVerificationAge);
        CPPUNIT_ASSERT(exchangeTimeout <= pollInterval);
        CPPUNIT_ASSERT(maxVerificationAge + pollInterval < 6s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(freshness_test);
