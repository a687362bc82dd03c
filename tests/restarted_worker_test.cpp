#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int workersOfPool = 4;
const std::string busyPath = "/pool-a/0000000000000001";
const std::string jobPath = "/pool-a/0000000000000002";
const std::string jobId = "0000000000000002";

job_spec longRunningJob()
{
    auto spec = simpleJob(1);
    spec.steps.front().longRunning = true;
    return spec;
}

} // namespace

/// Guards against two runs of a task at once: a worker that has restarted unnoticed takes a lease
/// that was reckoned on the clock of its former process for a far longer one, and is cut off.
class restarted_worker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restarted_worker_test);
    CPPUNIT_TEST(startOnIdleWorkerThatHasRestarted);
    CPPUNIT_TEST(startOnPolledWorkerThatHasRestarted);
    CPPUNIT_TEST(unansweredStartOnWorkerThatHasRestarted);
    CPPUNIT_TEST(startOnIdleWorkerThatIsDownIsPlacedElsewhere);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;
    fleet_world::process *m_process = nullptr;

    /// Returns a worker other than `except` that runs the job; null if there is none.
    standin::virtual_worker *workerOf(const std::string &job,
                                      const standin::virtual_worker *except = nullptr)
    {
        for (auto &[id, worker] : m_fleet->world.workers) {
            const bool runs = std::any_of(worker.running.begin(), worker.running.end(),
                                          [&](const auto &run) { return run.first.job == job; });
            if (runs && worker.alive && &worker != except) {
                return &worker;
            }
        }
        return nullptr;
    }

    void submit(const std::string &path)
    {
        const auto answer =
            m_fleet->ask(*m_process, caller_operation::submit, path, longRunningJob());
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
    }

    /// The worker that runs the job is cut off. Checks that the job runs elsewhere within `limit`,
    /// and never on two workers at once.
    void cutOffAndCheck(milliseconds limit = 15s)
    {
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([this] { return workerOf(jobId) != nullptr; }, 3s));
        auto *const first = workerOf(jobId);
        first->reachable = false;
        CPPUNIT_ASSERT(
            m_fleet->loop.runUntil([&] { return workerOf(jobId, first) != nullptr; }, limit));
        const auto &violations = m_fleet->world.violations;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? std::string() : violations.front(),
                                     std::size_t {0}, violations.size());
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<fleet_world>(workersOfPool);
        m_fleet->world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms, false};
        };
        m_process = &m_fleet->addProcess("only");
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        // The clocks of the workers are far ahead of those of processes that start later.
        m_fleet->loop.run(30s);
    }

    void startOnIdleWorkerThatHasRestarted()
    {
        for (int i = 0; i < workersOfPool; ++i) {
            m_fleet->world.restartUnnoticed("pool-a-" + std::to_string(i));
        }
        submit(jobPath);
        m_fleet->loop.run(1s);
        cutOffAndCheck();
    }

    /// The worker has runs, so that a poll is waiting there when it restarts.
    void startOnPolledWorkerThatHasRestarted()
    {
        submit(busyPath);
        m_fleet->loop.run(2s);
        m_fleet->world.restartUnnoticed("pool-a-0"); // the first of equally free workers
        submit(jobPath);
        m_fleet->loop.run(20ms);
        cutOffAndCheck();
    }

    /// As before, and the answer to the start is lost. Another process of the worker may carry out
    /// the start up to 12 s later, under a lease of up to 10 s.
    void unansweredStartOnWorkerThatHasRestarted()
    {
        submit(busyPath);
        m_fleet->loop.run(2800ms);
        m_fleet->world.restartUnnoticed("pool-a-0");
        m_process->platform->loseStartAnswers = 1;
        submit(jobPath);
        cutOffAndCheck(25s);
    }

    /// Guards against starts that are sent to a worker that nobody has noticed to be down.
    void startOnIdleWorkerThatIsDownIsPlacedElsewhere()
    {
        m_fleet->world.crash("pool-a-0");
        submit(jobPath);
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([this] { return workerOf(jobId) != nullptr; }, 1s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restarted_worker_test);
