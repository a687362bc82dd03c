#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string jobPath = "/pool-a/0000000000000001";
const std::string jobId = "0000000000000001";

} // namespace

/// Guards against two runs of a task at once: a start of a former coordinator that has no answer is
/// carried out after its successor has taken over.
class late_start_after_takeover_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_start_after_takeover_test);
    CPPUNIT_TEST(workerThatHasAnsweredTheSuccessor);
    CPPUNIT_TEST(workerThatRestartsBeforeItAnswers);
    CPPUNIT_TEST(workerThatRestartsAndRegistersAfterItsAnswer);
    CPPUNIT_TEST(silentWorkerThatDoesNotRestart);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;

    standin::virtual_worker &firstWorker()
    {
        return m_fleet->world.workers.at("pool-a-0");
    }

    int liveRuns()
    {
        int count = 0;
        for (auto &[id, worker] : m_fleet->world.workers) {
            const auto live = std::count_if(worker.running.begin(), worker.running.end(),
                                            [](const auto &run) { return run.first.job == jobId; });
            const bool holds = worker.alive && worker.leaseEnd >= m_fleet->loop.now();
            count += holds ? static_cast<int>(live) : 0;
        }
        return count;
    }

    /// The coordinator sends the start of a task to the first worker, which carries it out after
    /// `delay`, and ends without an answer.
    void endCoordinatorWithLateStart(milliseconds delay)
    {
        auto &leader = *m_fleet->leader();
        leader.platform->delayStarts = 1;
        leader.platform->startDelay = delay;
        auto spec = simpleJob(1);
        spec.steps.front().longRunning = true;
        const auto answer = m_fleet->ask(leader, caller_operation::submit, jobPath, spec);
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
        CPPUNIT_ASSERT(
            m_fleet->loop.runUntil([&] { return leader.platform->delayStarts == 0; }, 1s));
        m_fleet->kill(leader.name, false);
    }

    void checkRunsOnce()
    {
        m_fleet->loop.run(30s);
        const auto &violations = m_fleet->world.violations;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? std::string() : violations.front(),
                                     std::size_t {0}, violations.size());
        CPPUNIT_ASSERT_EQUAL(1, liveRuns());
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<fleet_world>(4);
        m_fleet->world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms, false};
        };
        m_fleet->addProcess("one");
        m_fleet->addProcess("two");
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        // The clocks of the workers are far ahead of those of processes that start later.
        m_fleet->loop.run(30s);
    }

    /// It rejects the start, because it has seen a higher fencing token.
    void workerThatHasAnsweredTheSuccessor()
    {
        endCoordinatorWithLateStart(8s);
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        checkRunsOnce();
    }

    /// The start is carried out before the first poll, which lists the run.
    void workerThatRestartsBeforeItAnswers()
    {
        endCoordinatorWithLateStart(2s);
        m_fleet->world.restartUnnoticed("pool-a-0");
        m_fleet->loop.run(2100ms);
        CPPUNIT_ASSERT_EQUAL(1, liveRuns());
        checkRunsOnce();
        CPPUNIT_ASSERT_EQUAL(1, m_fleet->world.starts);
    }

    /// The new process is polled when it has registered, before it could carry out the start.
    void workerThatRestartsAndRegistersAfterItsAnswer()
    {
        endCoordinatorWithLateStart(8s);
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        m_fleet->loop.run(1s);
        m_fleet->world.restartUnnoticed("pool-a-0");
        m_fleet->world.putItem("workers/pool-a-0", "pool-a-0", 0);
        checkRunsOnce();
    }

    /// The lease in the order is past when it is carried out, or the run ends with that lease.
    void silentWorkerThatDoesNotRestart()
    {
        endCoordinatorWithLateStart(3s);
        firstWorker().reachable = false;
        checkRunsOnce();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_start_after_takeover_test);
