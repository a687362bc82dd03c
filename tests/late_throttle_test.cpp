#include <ibishinge/fleet/throttling.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

/// Guards against a best-effort run that works on beside a task over its latency target, because an
/// earlier order without an answer was carried out after the one that stopped it.
class late_throttle_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_throttle_test);
    CPPUNIT_TEST(stoppedRunThatWorksIsStoppedAgain);
    CPPUNIT_TEST(stoppedRunThatIsIdleIsLeftAlone);
    CPPUNIT_TEST(runBesideATaskWithinItsTargetIsSpedUp);
    CPPUNIT_TEST_SUITE_END();

    const run_key m_serving {{"0000000000000001", 0, 0, 0}, 1};
    const run_key m_bestEffort {{"0000000000000002", 0, 0, 0}, 1};
    fleet_tables m_tables;
    worker_status m_worker;

public:
    /// The serving run is over its target, and the best-effort run has been ordered to stop.
    void setUp() override
    {
        m_worker.entry.id = "worker-1";
        m_worker.runs = {m_serving, m_bestEffort};
        auto &serving = m_tables.runs[m_serving];
        serving.key = m_serving;
        serving.phase = run_phase::running;
        serving.serving = true;
        serving.percent = 100;
        serving.tailTarget = 100ms;
        serving.usage = 150;
        auto &bestEffort = m_tables.runs[m_bestEffort];
        bestEffort.key = m_bestEffort;
        bestEffort.phase = run_phase::running;
        bestEffort.bestEffort = true;
        bestEffort.speedPercent = 0;
    }

    void stoppedRunThatWorksIsStoppedAgain()
    {
        m_tables.runs.at(m_bestEffort).usage = 800;
        const auto changes = decideThrottling(m_tables, m_worker);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, changes.size());
        CPPUNIT_ASSERT(changes.front().key == m_bestEffort);
        CPPUNIT_ASSERT_EQUAL(0, changes.front().percent);
    }

    void stoppedRunThatIsIdleIsLeftAlone()
    {
        CPPUNIT_ASSERT(decideThrottling(m_tables, m_worker).empty());
    }

    void runBesideATaskWithinItsTargetIsSpedUp()
    {
        m_tables.runs.at(m_serving).usage = 50;
        m_tables.runs.at(m_bestEffort).usage = 800;
        const auto changes = decideThrottling(m_tables, m_worker);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, changes.size());
        CPPUNIT_ASSERT(changes.front().percent > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_throttle_test);
