#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/record_codec.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int workersOfPool = 4;
const std::string firstJob = "0000000000000001";
const std::string secondJob = "0000000000000002";
const std::string earlierJob = "0000000000000003";

/// Long enough for an order that was sent at first to be carried out, and for the longest lease.
constexpr milliseconds observedTime {30000};

std::string pathOf(const std::string &job)
{
    return "/pool-a/" + job;
}

job_spec longRunningJob()
{
    auto spec = simpleJob(1);
    spec.steps.front().longRunning = true;
    return spec;
}

} // namespace

/// Guards against orders that have no answer and are carried out seconds later by a new process of
/// their worker: runs that no one wants, leases that last longer than reckoned, and ends that are
/// forgotten before they were read.
class late_start_review_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_start_review_test);
    CPPUNIT_TEST(endUnreadWhenAPollIsCarriedOutLate);
    CPPUNIT_TEST(cancelledBeforeTheStartFailed);
    CPPUNIT_TEST(restartFoundBeforeTheStartFailed);
    CPPUNIT_TEST(workerThatReturnsAfterItWasForgotten);
    CPPUNIT_TEST(leaseOfAWorkerThatReturnsAfterItWasForgotten);
    CPPUNIT_TEST(replacedWorkerIsForgottenAtOnce);
    CPPUNIT_TEST(stopAnsweredByTheFormerProcess);
    CPPUNIT_TEST(workerThatRestartsTwice);
    CPPUNIT_TEST(gangMemberOnARestartedWorker);
    CPPUNIT_TEST(stopUnansweredAtARestartedWorker);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;
    fleet_world::process *m_process = nullptr;

    standin::virtual_worker &worker(int number)
    {
        return m_fleet->world.workers.at("pool-a-" + std::to_string(number));
    }

    standin::virtual_worker *workerOf(const std::string &job, int index = 0)
    {
        for (auto &[id, worker] : m_fleet->world.workers) {
            const bool runs =
                std::any_of(worker.running.begin(), worker.running.end(), [&](const auto &run) {
                    return run.first.job == job && run.first.index == index;
                });
            if (runs && worker.alive && worker.leaseEnd >= m_fleet->loop.now()) {
                return &worker;
            }
        }
        return nullptr;
    }

    void submit(const std::string &job, const job_spec &spec)
    {
        const auto answer = m_fleet->ask(*m_process, caller_operation::submit, pathOf(job), spec);
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
    }

    /// Submits a long-running job whose first start goes to the first worker, has no answer and is
    /// carried out after `delay`.
    void submitWithLateStart(const std::string &job, milliseconds delay)
    {
        m_process->platform->delayStarts = 1;
        m_process->platform->startDelay = delay;
        submit(job, longRunningJob());
        waitFor([this] { return m_process->platform->delayStarts == 0; }, 1s);
    }

    void waitFor(const std::function<bool()> &condition, milliseconds limit)
    {
        CPPUNIT_ASSERT(m_fleet->loop.runUntil(condition, limit));
    }

    void waitForRun(const std::string &job)
    {
        waitFor([&] { return workerOf(job) != nullptr; }, 3s);
    }

    void announce(int number)
    {
        const auto &id = worker(number).entry.id;
        m_fleet->world.putItem("workers/" + id, id, 0);
    }

    void setState(int number, worker_state state)
    {
        worker(number).entry.state = state;
        worker(number).entry.remaining = 60s;
        announce(number);
    }

    void setStateOfOthers(worker_state state)
    {
        for (int i = 1; i < workersOfPool; ++i) {
            setState(i, state);
        }
    }

    /// Loses the answer to the next poll that renews leases; it is carried out after `delay`.
    void loseAPoll(milliseconds delay)
    {
        m_process->platform->delayPolls = 1;
        m_process->platform->pollDelay = delay;
        waitFor([this] { return m_process->platform->delayPolls == 0; }, 3s);
    }

    /// The run of the job, on the first worker, moves elsewhere because that worker drains.
    void moveElsewhere(const std::string &job)
    {
        waitForRun(job);
        CPPUNIT_ASSERT(workerOf(job) == &worker(0));
        setState(0, worker_state::draining);
        waitFor([&] { return workerOf(job) != nullptr && workerOf(job) != &worker(0); }, 3s);
    }

    void restartFirstWorker()
    {
        m_fleet->world.restartUnnoticed("pool-a-0");
        worker(0).entry.state = worker_state::ready;
        announce(0);
    }

    void checkNoViolation()
    {
        const auto &violations = m_fleet->world.violations;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? std::string() : violations.front(),
                                     std::size_t {0}, violations.size());
    }

    void checkNeverTwice(const std::string &job)
    {
        m_fleet->loop.run(observedTime);
        checkNoViolation();
        CPPUNIT_ASSERT(workerOf(job) != nullptr);
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

    /// A poll of the former process, which had nothing to acknowledge, is carried out while the end
    /// of a task has not been read because of a cut.
    void endUnreadWhenAPollIsCarriedOutLate()
    {
        m_fleet->world.behaviourOf = [](const task_name &task) {
            return virtual_world::behaviour {task.job == firstJob ? 0ms : 2000ms};
        };
        setStateOfOthers(worker_state::draining);
        submit(firstJob, longRunningJob());
        waitForRun(firstJob);
        submit(earlierJob, simpleJob(1));
        CPPUNIT_ASSERT(
            m_fleet->waitForState(*m_process, pathOf(earlierJob), job_state::completed, 3s));
        m_fleet->loop.run(2s);
        CPPUNIT_ASSERT(worker(0).ended.empty());
        loseAPoll(6s);
        m_fleet->world.restartUnnoticed("pool-a-0");
        m_fleet->loop.run(700ms);
        CPPUNIT_ASSERT(workerOf(firstJob) == &worker(0));
        submit(secondJob, simpleJob(1));
        waitForRun(secondJob);
        m_fleet->loop.run(1900ms);
        worker(0).reachable = false;
        m_fleet->loop.run(4s);
        worker(0).reachable = true;
        m_fleet->loop.run(observedTime);
        checkNoViolation();
        CPPUNIT_ASSERT(
            m_fleet->waitForState(*m_process, pathOf(secondJob), job_state::completed, 5s));
    }

    /// The run is stopped and removed before its start is given up.
    void cancelledBeforeTheStartFailed()
    {
        m_process->platform->silence = 1500ms;
        submitWithLateStart(firstJob, 5s);
        const auto answer = m_fleet->ask(*m_process, caller_operation::cancel, pathOf(firstJob));
        CPPUNIT_ASSERT(answer.kind == answer_kind::cancelled);
        m_fleet->loop.run(2s);
        restartFirstWorker();
        m_fleet->loop.run(4s);
        CPPUNIT_ASSERT(workerOf(firstJob) == nullptr);
    }

    /// A start is sent before its worker restarts and given up after the restart was noticed. It
    /// extends the leases of the next process, which then is cut off.
    void restartFoundBeforeTheStartFailed()
    {
        setStateOfOthers(worker_state::draining);
        submit(firstJob, longRunningJob());
        waitForRun(firstJob);
        m_fleet->loop.run(2s);
        m_process->platform->silence = 1500ms;
        submitWithLateStart(secondJob, 5s);
        m_fleet->world.restartUnnoticed("pool-a-0");
        m_fleet->loop.run(4900ms);
        CPPUNIT_ASSERT(workerOf(firstJob) == &worker(0));
        setStateOfOthers(worker_state::ready);
        m_fleet->loop.run(200ms);
        worker(0).reachable = false;
        checkNeverTwice(firstJob);
    }

    void workerThatReturnsAfterItWasForgotten()
    {
        submitWithLateStart(firstJob, 11s);
        moveElsewhere(firstJob);
        m_fleet->world.crash("pool-a-0");
        m_fleet->loop.run(2s);
        m_fleet->world.deleteItem("workers/pool-a-0");
        m_fleet->loop.run(6s);
        restartFirstWorker();
        checkNeverTwice(firstJob);
    }

    /// Guards against a take-over that waits for a worker whose host runs another one: it is on the
    /// roster for as long as it is not forgotten.
    void replacedWorkerIsForgottenAtOnce()
    {
        submit(firstJob, longRunningJob());
        waitForRun(firstJob);
        const auto id = workerOf(firstJob)->entry.id;
        const auto isOnRoster = [&] {
            const auto &items = m_fleet->world.items;
            return std::any_of(items.begin(), items.end(), [&](const auto &item) {
                return item.first.starts_with(rosterPrefix)
                       && item.second.value.find('"' + id + '"') != std::string::npos;
            });
        };
        CPPUNIT_ASSERT(isOnRoster());
        m_fleet->world.crashAndReturn(id);
        waitFor([&] { return !isOnRoster(); }, 4s);
        checkNeverTwice(firstJob);
    }

    /// A poll without an answer renews the leases of the process that returns.
    void leaseOfAWorkerThatReturnsAfterItWasForgotten()
    {
        submit(secondJob, longRunningJob());
        waitForRun(secondJob);
        CPPUNIT_ASSERT(workerOf(secondJob) == &worker(0));
        loseAPoll(11s);
        m_fleet->world.crash("pool-a-0");
        m_fleet->loop.run(2s);
        m_fleet->world.deleteItem("workers/pool-a-0");
        m_fleet->loop.run(6s);
        setStateOfOthers(worker_state::draining);
        m_fleet->loop.run(200ms);
        restartFirstWorker();
        m_fleet->loop.run(2500ms);
        CPPUNIT_ASSERT(workerOf(secondJob) == &worker(0));
        setStateOfOthers(worker_state::ready);
        m_fleet->loop.run(400ms);
        worker(0).reachable = false;
        checkNeverTwice(secondJob);
    }

    /// The answer to a stop is read after the next process has reported.
    void stopAnsweredByTheFormerProcess()
    {
        submitWithLateStart(firstJob, 8s);
        waitForRun(firstJob);
        m_fleet->loop.run(1500ms);
        m_process->platform->stopAnswerDelay = 600ms;
        setState(0, worker_state::draining);
        waitFor([this] { return worker(0).running.empty(); }, 2s);
        m_fleet->world.restartUnnoticed("pool-a-0");
        m_fleet->loop.run(50ms);
        m_process->platform->stopAnswerDelay = 0ms;
        checkNeverTwice(firstJob);
    }

    void workerThatRestartsTwice()
    {
        submitWithLateStart(firstJob, 9s);
        moveElsewhere(firstJob);
        restartFirstWorker();
        m_fleet->loop.run(1500ms);
        restartFirstWorker();
        checkNeverTwice(firstJob);
    }

    void gangMemberOnARestartedWorker()
    {
        m_process->platform->delayStarts = 1;
        m_process->platform->startDelay = 6s;
        auto spec = simpleJob(2, 5000);
        spec.steps.front().gang = true;
        submit(firstJob, spec);
        waitFor(
            [this] { return workerOf(firstJob, 0) != nullptr && workerOf(firstJob, 1) != nullptr; },
            3s);
        auto *const other = workerOf(firstJob, 1);
        m_fleet->world.restartUnnoticed(workerOf(firstJob, 0)->entry.id);
        m_fleet->world.end(*other, {firstJob, 0, 0, 1}, end_kind::gang_broken);
        checkNeverTwice(firstJob);
    }

    /// The next process is cut off before it can be told to stop the run.
    void stopUnansweredAtARestartedWorker()
    {
        submitWithLateStart(firstJob, 6s);
        waitForRun(firstJob);
        m_process->platform->unansweredStops.insert("pool-a-0");
        m_fleet->world.restartUnnoticed("pool-a-0");
        m_fleet->loop.run(2s);
        worker(0).reachable = false;
        checkNeverTwice(firstJob);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_start_review_test);
