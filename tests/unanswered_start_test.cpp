#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds runTime {250};
constexpr int workersOfPool = 8;
constexpr int tasksOfJob = 8;
constexpr int coresOfWorker = 8;

std::string pathOf(int number)
{
    const auto digits = std::to_string(number);
    return "/pool-a/" + std::string(16 - digits.size(), '0') + digits;
}

job_spec twoSteps()
{
    auto spec = simpleJob(tasksOfJob);
    spec.steps.front().estimate = runTime;
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().after = {0};
    return spec;
}

} // namespace

/// Starts that workers carry out while their answers are lost, as when a relay fails.
class unanswered_start_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(unanswered_start_test);
    CPPUNIT_TEST(endBeforeTheStartAnswerIsNotLearnedFrom);
    CPPUNIT_TEST(lostStartAnswersMoveNoHosts);
    CPPUNIT_TEST(stallOfTheCoordinatorIsNotLearnedFrom);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;
    fleet_world::process *m_process = nullptr;

    /// Returns the mean run time, in seconds, that the coordinator has learned for the queue of
    /// pool-a.
    [[nodiscard]] double learnedRunSeconds() const
    {
        const auto text = m_process->metrics->text();
        const std::string name = "ibishinge_learned_run_seconds{queue=\"queue-pool-a\"} ";
        const auto at = text.find(name);
        CPPUNIT_ASSERT_MESSAGE(text, at != std::string::npos);
        return std::strtod(text.c_str() + at + name.size(), nullptr);
    }

    /// Returns the number of hosts in a pool or being moved to it.
    [[nodiscard]] int hostsInPool(const std::string &pool) const
    {
        return static_cast<int>(
            std::count_if(m_fleet->world.hosts.begin(), m_fleet->world.hosts.end(),
                          [&](const auto &each) { return each.second.pool == pool; }));
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<fleet_world>(workersOfPool);
        m_fleet->world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {runTime, false};
        };
        m_process = &m_fleet->addProcess("only");
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        m_fleet->loop.run(1s);
    }

    /// Guards against a wrong run time of a run whose start was not answered: the time since the
    /// clock's epoch was learned instead.
    void endBeforeTheStartAnswerIsNotLearnedFrom()
    {
        m_process->platform->loseStartAnswers = tasksOfJob / 2;
        m_fleet->ask(*m_process, caller_operation::submit, pathOf(1), twoSteps());
        CPPUNIT_ASSERT(m_fleet->waitForState(*m_process, pathOf(1), job_state::completed, 5s));
        m_fleet->loop.run(1100ms);
        CPPUNIT_ASSERT(learnedRunSeconds() < 2 * 0.25);
    }

    /// Guards against run times that include a stall of the coordinator while the runs were in
    /// progress.
    void stallOfTheCoordinatorIsNotLearnedFrom()
    {
        m_fleet->ask(*m_process, caller_operation::submit, pathOf(1), twoSteps());
        m_fleet->loop.run(50ms);
        m_fleet->loop.standStill(2s);
        CPPUNIT_ASSERT(m_fleet->waitForState(*m_process, pathOf(1), job_state::completed, 5s));
        m_fleet->loop.run(1100ms);
        CPPUNIT_ASSERT(learnedRunSeconds() < 2 * 0.25);
    }

    /// Guards against needless moves of hosts: wrong run times of unanswered starts made the pool's
    /// work look larger by orders of magnitude, and hosts of the other pools were moved to it.
    void lostStartAnswersMoveNoHosts()
    {
        // Hosts are taken from a pool whose peak is over, so the other pool has one first.
        m_fleet->ask(*m_process, caller_operation::submit, "/pool-b/0000000000000001",
                     simpleJob(workersOfPool * coresOfWorker));
        m_fleet->loop.run(3s);
        m_process->platform->loseStartAnswers = tasksOfJob / 2;
        constexpr int jobs = 20;
        int most = 0;
        for (int i = 0; i < jobs; ++i) {
            m_fleet->ask(*m_process, caller_operation::submit, pathOf(i), twoSteps());
            m_fleet->loop.run(250ms);
            most = std::max(most, hostsInPool("pool-a"));
        }
        // One of the pool's eight workers is enough for each job.
        CPPUNIT_ASSERT_EQUAL(workersOfPool, most);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unanswered_start_test);
