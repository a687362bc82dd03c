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
constexpr milliseconds lateStartDelay {8000};

} // namespace

/// Guards against two runs of a task at once: a worker lists a run that an earlier coordinator
/// started, while this coordinator is about to start the task, too. The worker has restarted since
/// it answered this coordinator, and carries out the earlier start late.
class second_run_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(second_run_test);
    CPPUNIT_TEST(unsentStartGivesWayToAListedRun);
    CPPUNIT_TEST(taskIsNotStartedBesideARunThatIsBeingStopped);
    CPPUNIT_TEST(gangIsNotStartedBesideAListedMember);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;
    fleet_world::process *m_successor = nullptr;

    standin::virtual_worker &worker(int number)
    {
        return m_fleet->world.workers.at("pool-a-" + std::to_string(number));
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

    /// Sets the limit of the customer in thousandths of a core; 0: none.
    void setLimit(std::int64_t cpuMillis)
    {
        auto &config = m_fleet->world.config;
        config.customers.at("north").limit.cpuMillis = cpuMillis;
        ++config.version;
        m_fleet->world.putItem("configuration", "", 0);
        m_fleet->loop.run(20ms);
    }

    /// A coordinator sends the start of the job's first task to the first worker, gets no answer
    /// and ends. Its successor, which may not start the task because of the customer's limit, has
    /// polled the worker when the worker restarts unnoticed and carries out the start.
    void takeOverBeforeALateStart(const job_spec &spec)
    {
        auto &leader = *m_fleet->leader();
        leader.platform->delayStarts = 1;
        leader.platform->startDelay = lateStartDelay;
        const auto answer = m_fleet->ask(leader, caller_operation::submit, jobPath, spec);
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
        CPPUNIT_ASSERT(
            m_fleet->loop.runUntil([&] { return leader.platform->delayStarts == 0; }, 1s));
        worker(0).reachable = false; // starts of other tasks are lost
        setLimit(1);
        m_fleet->kill(leader.name, false);
        worker(0).reachable = true;
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        m_successor = m_fleet->leader();
        m_fleet->loop.run(1s);
        m_fleet->world.restartUnnoticed("pool-a-0");
        CPPUNIT_ASSERT(
            m_fleet->loop.runUntil([this] { return !worker(0).running.empty(); }, lateStartDelay));
        m_successor->platform->unansweredStops.insert("pool-a-0");
    }

    static job_spec longRunningJob()
    {
        auto spec = simpleJob(1);
        spec.steps.front().longRunning = true;
        return spec;
    }

    void checkNeverTwice()
    {
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

    /// The start waits for the answer to a poll, which lists the earlier run.
    void unsentStartGivesWayToAListedRun()
    {
        takeOverBeforeALateStart(longRunningJob());
        setLimit(0);
        m_fleet->loop.run(20s);
        checkNeverTwice();
        CPPUNIT_ASSERT_EQUAL(1, liveRuns());
    }

    /// The task is started on a worker that crashes, and the earlier run, which is listed
    /// meanwhile, cannot be stopped.
    void taskIsNotStartedBesideARunThatIsBeingStopped()
    {
        takeOverBeforeALateStart(longRunningJob());
        worker(0).reachable = false;
        m_successor->platform->delayStarts = 1;
        m_successor->platform->startDelay = 11s;
        setLimit(0);
        CPPUNIT_ASSERT(
            m_fleet->loop.runUntil([this] { return m_successor->platform->delayStarts == 0; }, 2s));
        m_fleet->world.crash("pool-a-1");
        worker(0).reachable = true;
        m_fleet->loop.run(30s);
        checkNeverTwice();
        CPPUNIT_ASSERT_EQUAL(1, liveRuns());
        m_successor->platform->unansweredStops.clear();
        m_fleet->loop.run(5s);
        checkNeverTwice();
        CPPUNIT_ASSERT_EQUAL(1, liveRuns());
    }

    /// The other members were not started, so that the listed one ends after some time.
    void gangIsNotStartedBesideAListedMember()
    {
        auto spec = simpleJob(2);
        spec.steps.front().gang = true;
        takeOverBeforeALateStart(spec);
        setLimit(0);
        m_fleet->loop.run(5s);
        checkNeverTwice();
        CPPUNIT_ASSERT_EQUAL(1, liveRuns());
        m_fleet->world.end(worker(0), {jobId, 0, 0, 0}, end_kind::gang_incomplete);
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([this] { return liveRuns() == 2; }, 10s));
        checkNeverTwice();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(second_run_test);
