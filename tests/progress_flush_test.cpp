#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <utility>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

/// Time within which the platform expects an end to be acknowledged.
constexpr milliseconds acknowledgementTime {8000};

constexpr int workersOfPool = 8;
constexpr int jobsPerSecond = 120;
constexpr std::chrono::seconds loadTime {20};

/// Returns the path of a job in one of the pools.
std::string pathOf(int number)
{
    const auto digits = std::to_string(number);
    return (number % 2 == 0 ? "/pool-a/" : "/pool-b/") + std::string(16 - digits.size(), '0')
           + digits;
}

/// Measures how long workers list ends that are not acknowledged.
class acknowledgement_watch
{
public:
    explicit acknowledgement_watch(fleet_world &fleet)
        : m_fleet(fleet)
    {
    }

    void observe()
    {
        const auto now = m_fleet.loop.now();
        for (const auto &[id, worker] : m_fleet.world.workers) {
            for (const auto &end : worker.ended) {
                const auto since = m_firstListedAt.try_emplace({id, end.number}, now);
                m_longest = std::max(m_longest, now - since.first->second);
            }
        }
    }

    [[nodiscard]] milliseconds longest() const noexcept
    {
        return m_longest;
    }

private:
    fleet_world &m_fleet;
    std::map<std::pair<std::string, std::int64_t>, instant> m_firstListedAt;
    milliseconds m_longest {0};
};

} // namespace

/// Guards against ends of runs that are not stored while the writers always have something to
/// write: the workers then list them again in each report, and their hosts do not count as idle.
class progress_flush_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(progress_flush_test);
    CPPUNIT_TEST(endsAreAcknowledgedWhileTheWritersAreBusy);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The store takes 100 ms, as it seems to a coordinator whose event loop is behind, and new
    /// jobs arrive all the time.
    void endsAreAcknowledgedWhileTheWritersAreBusy()
    {
        fleet_world fleet(workersOfPool);
        fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {50ms, false};
        };
        auto &only = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.loop.run(1s);
        only.platform->storeTime = 100ms;

        const int jobs = jobsPerSecond * static_cast<int>(loadTime.count());
        for (int i = 0; i < jobs; ++i) {
            fleet.loop.after(milliseconds(loadTime) * i / jobs, [&only, i] {
                caller_request request;
                request.operation = caller_operation::submit;
                request.host = "jobs.example";
                request.path = pathOf(i);
                request.key = "key-north";
                request.callerTimeout = 3000ms;
                auto spec = simpleJob(2, 500);
                spec.steps.push_back(spec.steps.front());
                spec.steps.back().after = {0};
                request.spec = spec;
                only.node->handle(request, [](const caller_answer &) {});
            });
        }
        acknowledgement_watch watch(fleet);
        const auto end = fleet.loop.now() + loadTime;
        while (fleet.loop.now() < end) {
            fleet.loop.run(20ms);
            watch.observe();
        }
        CPPUNIT_ASSERT_MESSAGE("an end was listed for " + std::to_string(watch.longest().count())
                                   + " ms",
                               watch.longest() <= acknowledgementTime);
        CPPUNIT_ASSERT(fleet.world.violations.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(progress_flush_test);
