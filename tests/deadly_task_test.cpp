#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/backlog/occurrence_window.h>
#include <ibishinge/fleet/crash_isolation.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int workersOfPool = 6;
constexpr int harmlessJobs = 60;
constexpr int tasksOfJob = 4;

/// After this many crashes a task may be started at most `toleratedStarts` times more.
constexpr int provingCrashes = 3;
constexpr int toleratedStarts = 2;

std::string pathOf(int number)
{
    const auto digits = std::to_string(number);
    return "/pool-a/" + std::string(16 - digits.size(), '0') + digits;
}

std::string idOf(int number)
{
    return pathOf(number).substr(std::string("/pool-a/").size());
}

constexpr int firstDeadlyJob = 900;

bool isDeadly(const task_name &task)
{
    return task.job >= idOf(firstDeadlyJob) && task.index == 1;
}

} // namespace

/// Guards against a task that crashes each worker that starts it, and is started again without end,
/// with all that runs beside it lost each time.
class deadly_task_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(deadly_task_test);
    CPPUNIT_TEST(deadlyTaskIsGivenUp);
    CPPUNIT_TEST(deadlyTaskIsGivenUpIfWorkersKeepTheirIds);
    CPPUNIT_TEST(deadlyTaskOnIdleWorkersIsGivenUp);
    CPPUNIT_TEST(taskThatCrashesIdleWorkersBeforeTheyAnswerIsGivenUp);
    CPPUNIT_TEST(crashesBeforeTheAnswerAreRememberedAfterTakeovers);
    CPPUNIT_TEST(crashesAreRememberedAfterTakeovers);
    CPPUNIT_TEST(crashesAreRememberedWhileTheStoreIsAway);
    CPPUNIT_TEST(deadlyLongRunningTaskIsGivenUp);
    CPPUNIT_TEST(deadlyGangIsGivenUp);
    CPPUNIT_TEST(taskThatCrashesItsWorkersLateIsGivenUp);
    CPPUNIT_TEST(severalDeadlyTasksCondemnNoOthers);
    CPPUNIT_TEST(unrelatedCrashesCondemnNoTask);
    CPPUNIT_TEST(startsOnCrashedWorkersCondemnNoTask);
    CPPUNIT_TEST(unansweredStartsOnIdleWorkersProveNothing);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;

    void submit(int number, const job_spec &spec)
    {
        caller_request request;
        request.operation = caller_operation::submit;
        request.host = "jobs.example";
        request.path = pathOf(number);
        request.key = "key-north";
        request.callerTimeout = 3000ms;
        request.spec = spec;
        auto &through = *m_fleet->processes.rbegin();
        through.second.node->handle(request, [](const caller_answer &) {});
    }

    /// Submits jobs without deadly tasks for six seconds, and `deadlyJobs` jobs with one each in
    /// the first second.
    void submitAll(int deadlyJobs, const job_spec &deadlySpec)
    {
        for (int i = 0; i < harmlessJobs; ++i) {
            m_fleet->loop.after(milliseconds(100 * i),
                                [this, i] { submit(i, simpleJob(tasksOfJob)); });
        }
        for (int i = 0; i < deadlyJobs; ++i) {
            m_fleet->loop.after(milliseconds(350 + 70 * i),
                                [this, i, deadlySpec] { submit(firstDeadlyJob + i, deadlySpec); });
        }
    }

    void checkHarmlessJobsComplete()
    {
        auto &through = m_fleet->processes.rbegin()->second;
        for (int i = 0; i < harmlessJobs; ++i) {
            const bool completed =
                m_fleet->waitForState(through, pathOf(i), job_state::completed, 20s);
            CPPUNIT_ASSERT_MESSAGE("job " + std::to_string(i), completed);
        }
        const auto &violations = m_fleet->world.violations;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? std::string() : violations.front(),
                                     std::size_t {0}, violations.size());
    }

    void checkDeadlyJobsAreGivenUp(int deadlyJobs)
    {
        auto &through = m_fleet->processes.rbegin()->second;
        for (int i = 0; i < deadlyJobs; ++i) {
            CPPUNIT_ASSERT_MESSAGE(
                "deadly job " + std::to_string(i),
                m_fleet->waitForState(through, pathOf(firstDeadlyJob + i), job_state::failed, 40s));
        }
        for (const auto &[task, crashes] : m_fleet->world.crashesByTask) {
            CPPUNIT_ASSERT_MESSAGE(task.job + ": " + std::to_string(crashes) + " crashes",
                                   crashes <= provingCrashes + toleratedStarts);
        }
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<fleet_world>(workersOfPool);
        m_fleet->world.behaviourOf = [](const task_name &task) {
            return virtual_world::behaviour {isDeadly(task) ? 0ms : 500ms, false, isDeadly(task)};
        };
        for (const std::string name : {"one", "two", "three"}) {
            m_fleet->addProcess(name);
        }
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        m_fleet->loop.run(1s);
    }

    void deadlyTaskIsGivenUp()
    {
        submitAll(1, simpleJob(tasksOfJob));
        checkDeadlyJobsAreGivenUp(1);
        checkHarmlessJobsComplete();
    }

    void deadlyTaskIsGivenUpIfWorkersKeepTheirIds()
    {
        m_fleet->world.restartsInPlace = true;
        submitAll(1, simpleJob(tasksOfJob));
        checkDeadlyJobsAreGivenUp(1);
        checkHarmlessJobsComplete();
    }

    /// Nothing else is to be done, so that no worker is polled when the task is started there.
    void deadlyTaskOnIdleWorkersIsGivenUp()
    {
        m_fleet->loop.run(5s);
        submit(firstDeadlyJob, simpleJob(tasksOfJob));
        checkDeadlyJobsAreGivenUp(1);
    }

    /// The same, and no start is answered. Workers return with a new id, or with the same.
    void taskThatCrashesIdleWorkersBeforeTheyAnswerIsGivenUp()
    {
        m_fleet->world.crashDelay = 0ms;
        for (const bool inPlace : {false, true}) {
            m_fleet->world.restartsInPlace = inPlace;
            m_fleet->loop.run(5s);
            const int number = firstDeadlyJob + (inPlace ? 1 : 0);
            submit(number, simpleJob(tasksOfJob));
            auto &through = m_fleet->processes.rbegin()->second;
            CPPUNIT_ASSERT(m_fleet->waitForState(through, pathOf(number), job_state::failed, 40s));
        }
        checkDeadlyJobsAreGivenUp(2);
    }

    /// The same, and the coordinator is killed after each of the first crashes, some of which only
    /// the next one finds.
    void crashesBeforeTheAnswerAreRememberedAfterTakeovers()
    {
        m_fleet->world.crashDelay = 0ms;
        m_fleet->loop.run(5s);
        submit(firstDeadlyJob, simpleJob(tasksOfJob));
        const task_name deadly {idOf(firstDeadlyJob), 0, 0, 1};
        for (int seen = 1; seen <= 3; ++seen) {
            CPPUNIT_ASSERT(m_fleet->loop.runUntil(
                [&] { return m_fleet->world.crashesByTask[deadly] >= seen; }, 20s));
            m_fleet->loop.run(seen == 1 ? 2500ms : 100ms);
            if (auto *const leader = m_fleet->leader()) {
                m_fleet->kill(leader->name, true);
            }
        }
        checkDeadlyJobsAreGivenUp(1);
    }

    /// The coordinator is killed whenever a crash has been stored for a second.
    void crashesAreRememberedAfterTakeovers()
    {
        submitAll(1, simpleJob(tasksOfJob));
        const auto crashes = [this] {
            int sum = 0;
            for (const auto &[task, count] : m_fleet->world.crashesByTask) {
                sum += count;
            }
            return sum;
        };
        for (int seen = 1; seen <= 2; ++seen) {
            CPPUNIT_ASSERT(m_fleet->loop.runUntil([&] { return crashes() >= seen; }, 20s));
            m_fleet->loop.run(2500ms);
            if (auto *const leader = m_fleet->leader()) {
                m_fleet->kill(leader->name, true);
            }
        }
        checkDeadlyJobsAreGivenUp(1);
        checkHarmlessJobsComplete();
    }

    /// The store answers nobody from the first crash on for three seconds; then another process
    /// coordinates.
    void crashesAreRememberedWhileTheStoreIsAway()
    {
        submitAll(1, simpleJob(tasksOfJob));
        CPPUNIT_ASSERT(
            m_fleet->loop.runUntil([this] { return !m_fleet->world.crashesByTask.empty(); }, 20s));
        for (auto &[name, process] : m_fleet->processes) {
            process.platform->storeCut = true;
        }
        m_fleet->loop.run(3s);
        for (auto &[name, process] : m_fleet->processes) {
            process.platform->storeCut = false;
        }
        checkDeadlyJobsAreGivenUp(1);
    }

    void deadlyLongRunningTaskIsGivenUp()
    {
        auto spec = simpleJob(tasksOfJob);
        spec.steps.front().longRunning = true;
        m_fleet->world.behaviourOf = [](const task_name &task) {
            const bool endsByItself = task.job < idOf(firstDeadlyJob);
            return virtual_world::behaviour {endsByItself ? 500ms : 0ms, false, isDeadly(task)};
        };
        submitAll(1, spec);
        checkDeadlyJobsAreGivenUp(1);
        checkHarmlessJobsComplete();
    }

    void deadlyGangIsGivenUp()
    {
        auto spec = simpleJob(tasksOfJob);
        spec.steps.front().gang = true;
        submitAll(1, spec);
        checkDeadlyJobsAreGivenUp(1);
        checkHarmlessJobsComplete();
    }

    void taskThatCrashesItsWorkersLateIsGivenUp()
    {
        m_fleet->world.crashDelay = 1500ms;
        submitAll(1, simpleJob(tasksOfJob));
        checkDeadlyJobsAreGivenUp(1);
        checkHarmlessJobsComplete();
    }

    void severalDeadlyTasksCondemnNoOthers()
    {
        constexpr int deadlyJobs = 4;
        submitAll(deadlyJobs, simpleJob(tasksOfJob));
        checkDeadlyJobsAreGivenUp(deadlyJobs);
        checkHarmlessJobsComplete();
    }

    /// Every worker of the pool crashes three times, as in outages of a rack, with no deadly task.
    void unrelatedCrashesCondemnNoTask()
    {
        submitAll(0, {});
        for (int round = 0; round < 3; ++round) {
            m_fleet->loop.run(2200ms);
            std::vector<std::string> ids;
            for (const auto &[id, worker] : m_fleet->world.workers) {
                if (worker.alive && worker.entry.pool == "pool-a") {
                    ids.push_back(id);
                }
            }
            for (const auto &id : ids) {
                m_fleet->world.crashAndReturn(id);
            }
        }
        checkHarmlessJobsComplete();
    }

    /// Guards against a long-running task that is taken for the cause because it is started on
    /// workers that crashed while they were idle, which nobody has noticed. All workers but one
    /// crash at once.
    void startsOnCrashedWorkersCondemnNoTask()
    {
        m_fleet->world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms, false};
        };
        m_fleet->world.crashDownTime = 6s;
        auto spec = simpleJob(2);
        spec.steps.front().longRunning = true;
        submit(0, spec);
        m_fleet->loop.run(2s);
        std::vector<std::string> ids;
        for (const auto &[id, worker] : m_fleet->world.workers) {
            if (worker.alive && worker.entry.pool == "pool-a") {
                ids.push_back(id);
            }
        }
        ids.pop_back();
        for (const auto &id : ids) {
            m_fleet->world.crashAndReturn(id);
        }
        m_fleet->loop.run(15s);
        auto &through = m_fleet->processes.rbegin()->second;
        CPPUNIT_ASSERT_EQUAL(job_state::running, m_fleet->stateOf(through, pathOf(0)));
    }

    /// The same, on the count itself: a start without an answer proves something only on a worker
    /// that reported shortly before it.
    void unansweredStartsOnIdleWorkersProveNothing()
    {
        struct row
        {
            milliseconds reportAge; ///< at the start
            bool answered;
            bool proven; ///< by two crashes
        };
        const std::vector<row> rows = {
            {5000ms, false, false}, {100ms, false, true}, {5000ms, true, true}};
        for (const auto &each : rows) {
            const instant now = instant {} + 100s;
            fleet_tables tables;
            job_entry job;
            job.id = "job";
            job.spec = simpleJob(1);
            job.stored = true;
            job.hasCrashes = true;
            openDueOccurrences(job, 0);
            tables.jobs.emplace(job.id, job);
            changeTask(tables, {"job", 0, 0, 0})->crashes = 1;
            crash_outcome outcome;
            for (int number = 1; number <= 2; ++number) {
                const auto crashedAt = now + number * 20s;
                const run_key key {{"job", 0, 0, 0}, number};
                auto run = makeRun(tables.jobs.at("job"), key, "worker-" + std::to_string(number));
                run.orderedAt = crashedAt - 300ms;
                run.orders = 1;
                run.phase = each.answered ? run_phase::running : run_phase::starting;
                run.seenOnWorker = each.answered;
                addRun(tables, run);
                auto &worker = tables.workers.at(run.worker);
                worker.reportAt = run.orderedAt - each.reportAge;
                worker.unreachableSince = crashedAt;
                outcome = recordCrash(tables, worker, {key}, crashedAt + 500ms);
                removeRun(tables, key);
            }
            CPPUNIT_ASSERT_EQUAL(each.proven, !outcome.proven.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(deadly_task_test);
