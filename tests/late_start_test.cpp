#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int workersOfPool = 4;
const std::string jobPath = "/pool-a/0000000000000001";
const std::string jobId = "0000000000000001";

/// Long enough for a start that was sent at first to be carried out, and for the longest lease.
constexpr milliseconds observedTime {30000};

} // namespace

/// Guards against two runs of a task at once: a start without an answer is carried out seconds
/// later by a new process of its worker, which knows nothing of the runs before.
class late_start_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_start_test);
    CPPUNIT_TEST(repeatedStartAtARestartedWorker);
    CPPUNIT_TEST(startAtAWorkerThatRestartedBehindACut);
    CPPUNIT_TEST(confirmedStartAtAWorkerThatRestartedBehindACut);
    CPPUNIT_TEST(stoppedRunAtARestartedWorker);
    CPPUNIT_TEST(taskOfAWorkerThatStaysSilentRunsElsewhere);
    CPPUNIT_TEST(lateRenewalAtARestartedWorker);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;
    fleet_world::process *m_process = nullptr;

    standin::virtual_worker &worker(int number)
    {
        return m_fleet->world.workers.at("pool-a-" + std::to_string(number));
    }

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

    /// Submits a long-running job whose first start goes to the first worker, has no answer and is
    /// carried out after `delay`.
    void submitWithLateStart(milliseconds delay)
    {
        m_process->platform->delayStarts = 1;
        m_process->platform->startDelay = delay;
        auto spec = simpleJob(1);
        spec.steps.front().longRunning = true;
        const auto answer = m_fleet->ask(*m_process, caller_operation::submit, jobPath, spec);
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
        CPPUNIT_ASSERT(
            m_fleet->loop.runUntil([this] { return m_process->platform->delayStarts == 0; }, 1s));
    }

    void checkNeverTwice()
    {
        m_fleet->loop.run(observedTime);
        const auto &violations = m_fleet->world.violations;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? std::string() : violations.front(),
                                     std::size_t {0}, violations.size());
        CPPUNIT_ASSERT(workerOf(jobId) != nullptr);
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

    /// The start is repeated and answered before the worker restarts.
    void repeatedStartAtARestartedWorker()
    {
        submitWithLateStart(5s);
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([this] { return workerOf(jobId) != nullptr; }, 3s));
        m_fleet->world.restartUnnoticed(workerOf(jobId)->entry.id);
        checkNeverTwice();
    }

    /// The worker is cut off before the start is repeated, and its lease ends meanwhile.
    void startAtAWorkerThatRestartedBehindACut()
    {
        submitWithLateStart(8s);
        worker(0).reachable = false;
        m_fleet->loop.run(2s);
        m_fleet->world.restartUnnoticed("pool-a-0");
        checkNeverTwice();
    }

    void confirmedStartAtAWorkerThatRestartedBehindACut()
    {
        submitWithLateStart(10s);
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([this] { return workerOf(jobId) != nullptr; }, 3s));
        worker(0).reachable = false;
        m_fleet->loop.run(1s);
        m_fleet->world.restartUnnoticed("pool-a-0");
        checkNeverTwice();
    }

    /// The run is stopped, because its worker drains, and goes on elsewhere.
    void stoppedRunAtARestartedWorker()
    {
        submitWithLateStart(6s);
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([this] { return workerOf(jobId) != nullptr; }, 3s));
        auto *const first = workerOf(jobId);
        first->entry.state = worker_state::draining;
        first->entry.remaining = 20s;
        m_fleet->world.putItem("workers/" + first->entry.id, first->entry.id, 0);
        CPPUNIT_ASSERT(m_fleet->loop.runUntil(
            [&] { return workerOf(jobId) != nullptr && workerOf(jobId) != first; }, 3s));
        m_fleet->world.restartUnnoticed(first->entry.id);
        m_fleet->world.putItem("workers/" + first->entry.id, first->entry.id, 0);
        checkNeverTwice();
    }

    /// Guards against a task that waits for ever for a worker that is never heard of again.
    void taskOfAWorkerThatStaysSilentRunsElsewhere()
    {
        submitWithLateStart(8s);
        m_fleet->world.crash("pool-a-0");
        checkNeverTwice();
    }

    /// A poll without an answer renews the lease of a run of the next process, on whose clock it
    /// lasts far longer. Then the worker is cut off.
    void lateRenewalAtARestartedWorker()
    {
        auto spec = simpleJob(1);
        spec.steps.front().longRunning = true;
        const auto answer = m_fleet->ask(*m_process, caller_operation::submit, jobPath, spec);
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([this] { return workerOf(jobId) != nullptr; }, 3s));
        m_process->platform->delayPolls = 1;
        m_process->platform->pollDelay = 6s;
        CPPUNIT_ASSERT(
            m_fleet->loop.runUntil([this] { return m_process->platform->delayPolls == 0; }, 3s));
        // No other worker can take the task, so that it runs there again.
        for (int i = 1; i < workersOfPool; ++i) {
            worker(i).entry.state = worker_state::draining;
            worker(i).entry.remaining = 20s;
            m_fleet->world.putItem("workers/" + worker(i).entry.id, worker(i).entry.id, 0);
        }
        m_fleet->world.restartUnnoticed("pool-a-0");
        m_fleet->loop.run(4900ms);
        CPPUNIT_ASSERT(workerOf(jobId) == &worker(0));
        for (int i = 1; i < workersOfPool; ++i) {
            worker(i).entry.state = worker_state::ready;
            m_fleet->world.putItem("workers/" + worker(i).entry.id, worker(i).entry.id, 0);
        }
        m_fleet->loop.run(1200ms);
        worker(0).reachable = false;
        checkNeverTwice();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_start_test);
