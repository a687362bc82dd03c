#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

/// The leader's record lapses while its place is being taken over.
class lapsed_record_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lapsed_record_test);
    CPPUNIT_TEST(strongHeirsOfALapsedRecordLead);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The campaigns of three strong heirs failed together, and a weak process led before they
    /// tried again.
    void strongHeirsOfALapsedRecordLead()
    {
        fleet_world fleet;
        constexpr double weakShare = 0.12;
        for (const std::string name : {"first", "strong-1", "strong-2", "strong-3"}) {
            fleet.addProcess(name);
        }
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.shares["weak"] = weakShare;
        fleet.addProcess("weak");
        fleet.loop.run(500ms);
        const auto former = fleet.leader()->name;
        const auto record = fleet.world.items.at("fleet/leader").revision;
        fleet.kill(former, false);
        int accepted = 0;
        for (auto &[name, each] : fleet.processes) {
            if (each.node && name != "weak") {
                each.node->acceptLeadership(record, [&](bool yes) { accepted += yes ? 1 : 0; });
            }
        }
        fleet.loop.run(8ms); // they have read the record, and campaign
        CPPUNIT_ASSERT_EQUAL(3, accepted);
        fleet.world.deleteItem("fleet/leader");
        CPPUNIT_ASSERT(fleet.waitForLeader(1s));
        CPPUNIT_ASSERT(fleet.leader()->name != "weak");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lapsed_record_test);
