#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string busyPath = "/pool-a/0000000000000001";
const std::string jobPath = "/pool-a/0000000000000002";
const std::string jobId = "0000000000000002";

} // namespace

/// Guards against two runs of a task at once: a coordinator ends after it has started a task on a
/// worker that is then cut off, and its successor starts the task again before that run's lease has
/// ended.
class inherited_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(inherited_lease_test);
    CPPUNIT_TEST(startOnPolledWorkerThatHasRestarted);
    CPPUNIT_TEST(unansweredStartOnPolledWorkerThatHasRestarted);
    CPPUNIT_TEST(tasksDoNotWaitForTheLongestLease);
    CPPUNIT_TEST(runInAPoolThatTheQueueHasLeft);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;

    standin::virtual_worker *workerOf(const std::string &job)
    {
        for (auto &[id, worker] : m_fleet->world.workers) {
            const bool runs = std::any_of(worker.running.begin(), worker.running.end(),
                                          [&](const auto &run) { return run.first.job == job; });
            if (runs && worker.alive && worker.leaseEnd >= m_fleet->loop.now()) {
                return &worker;
            }
        }
        return nullptr;
    }

    void submit(const std::string &path)
    {
        auto spec = simpleJob(1);
        spec.steps.front().longRunning = true;
        const auto answer = m_fleet->ask(*m_fleet->leader(), caller_operation::submit, path, spec);
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
    }

    void routeTo(const std::string &pool)
    {
        auto &config = m_fleet->world.config;
        config.queues.front().pool = pool;
        ++config.version;
        m_fleet->world.putItem("configuration", "", 0);
        m_fleet->loop.run(50ms);
    }

    /// Cuts off the worker of the job and ends the coordinator. Checks that the job runs on another
    /// worker within `limit` after its successor has taken over, and never on both.
    void cutOffWithItsCoordinatorAndCheck(milliseconds limit)
    {
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([this] { return workerOf(jobId) != nullptr; }, 3s));
        auto *const first = workerOf(jobId);
        first->reachable = false;
        m_fleet->kill(m_fleet->leader()->name, false);
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        CPPUNIT_ASSERT(m_fleet->loop.runUntil(
            [&] {
                auto *const now = workerOf(jobId);
                return !m_fleet->world.violations.empty() || (now != nullptr && now != first);
            },
            limit));
        const auto &violations = m_fleet->world.violations;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? std::string() : violations.front(),
                                     std::size_t {0}, violations.size());
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

    /// The worker has runs, so that a poll is waiting there when it restarts.
    void startOnPolledWorkerThatHasRestarted()
    {
        submit(busyPath);
        m_fleet->loop.run(2800ms);
        m_fleet->world.restartUnnoticed("pool-a-0"); // the fullest worker
        submit(jobPath);
        cutOffWithItsCoordinatorAndCheck(15s);
    }

    void unansweredStartOnPolledWorkerThatHasRestarted()
    {
        submit(busyPath);
        m_fleet->loop.run(2800ms);
        m_fleet->world.restartUnnoticed("pool-a-0");
        m_fleet->leader()->platform->loseStartAnswers = 1;
        submit(jobPath);
        cutOffWithItsCoordinatorAndCheck(15s);
    }

    /// Guards against a successor that waits for leases longer than they can last.
    void tasksDoNotWaitForTheLongestLease()
    {
        submit(jobPath);
        m_fleet->loop.run(2s);
        cutOffWithItsCoordinatorAndCheck(5s);
    }

    /// A run of a queue that was routed to another pool for a time goes on there.
    void runInAPoolThatTheQueueHasLeft()
    {
        routeTo("spare");
        submit(jobPath);
        m_fleet->loop.run(100ms);
        routeTo("pool-b");
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([this] { return workerOf(jobId) != nullptr; }, 1s));
        routeTo("pool-a");
        cutOffWithItsCoordinatorAndCheck(6s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(inherited_lease_test);
