#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string jobPath = "/pool-a/0000000000000001";

} // namespace

/// Guards against a task that stands still for an unanswered start on a worker whose host was
/// removed, and against a second run if the worker is only cut off.
class removed_host_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(removed_host_test);
    CPPUNIT_TEST(taskOfARemovedHostRunsElsewhere);
    CPPUNIT_TEST(registeredWorkerMayStillRun);
    CPPUNIT_TEST(workerOfAListedHostMayStillRun);
    CPPUNIT_TEST(workerThatAnswersIsNotGone);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;
    standin::virtual_worker *m_first = nullptr; ///< worker with the first start

    /// Submits a job. Its start has no answer, and is carried out 500 ms later if the worker can.
    void submitWithUnansweredStart()
    {
        auto &process = m_fleet->processes.at("only");
        process.platform->delayStarts = 1;
        process.platform->startDelay = 500ms;
        auto spec = simpleJob(1);
        spec.steps.front().longRunning = true;
        const auto answer = m_fleet->ask(process, caller_operation::submit, jobPath, spec);
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
        CPPUNIT_ASSERT(
            m_fleet->loop.runUntil([&] { return process.platform->delayStarts == 0; }, 1s));
    }

    void checkNothingRanTwice()
    {
        const auto &violations = m_fleet->world.violations;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? std::string() : violations.front(),
                                     std::size_t {0}, violations.size());
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<fleet_world>(3);
        m_fleet->world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms};
        };
        m_fleet->addProcess("only");
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        m_fleet->loop.run(2s);
        m_first = &m_fleet->world.workers.at("pool-a-0");
    }

    void taskOfARemovedHostRunsElsewhere()
    {
        submitWithUnansweredStart();
        m_fleet->world.crash("pool-a-0");
        m_fleet->world.hosts.erase(m_first->entry.host);
        m_fleet->world.deleteItem("workers/pool-a-0");
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([this] { return m_fleet->world.starts == 1; }, 4s));
        checkNothingRanTwice();
    }

    void registeredWorkerMayStillRun()
    {
        submitWithUnansweredStart();
        m_first->reachable = false;
        m_fleet->world.hosts.erase(m_first->entry.host);
        m_fleet->loop.run(9s);
        checkNothingRanTwice();
        CPPUNIT_ASSERT_EQUAL(1, m_fleet->world.starts);
    }

    void workerOfAListedHostMayStillRun()
    {
        submitWithUnansweredStart();
        m_first->reachable = false;
        m_fleet->world.deleteItem("workers/pool-a-0");
        m_fleet->loop.run(9s);
        checkNothingRanTwice();
        CPPUNIT_ASSERT_EQUAL(1, m_fleet->world.starts);
    }

    void workerThatAnswersIsNotGone()
    {
        submitWithUnansweredStart();
        m_fleet->world.hosts.erase(m_first->entry.host);
        m_fleet->world.deleteItem("workers/pool-a-0");
        m_fleet->loop.run(9s);
        checkNothingRanTwice();
        CPPUNIT_ASSERT_EQUAL(1, m_fleet->world.starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(removed_host_test);
