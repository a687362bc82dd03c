#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string jobId = "0000000000000001";
const std::string jobPath = "/pool-a/" + jobId;
const std::string laterPath = "/pool-a/0000000000000002";
const std::string fullWorker = "pool-a-0";

/// More tasks than a worker lists ends in one report.
constexpr int tasks = 700;

} // namespace

/// Guards against a list of ends that the worker has truncated and that is taken for a complete
/// one: what it leaves out then counts as never run.
class truncated_report_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(truncated_report_test);
    CPPUNIT_TEST(finishedTasksDoNotRunAgainAfterATakeOver);
    CPPUNIT_TEST(finishedTasksWaitForASlowStore);
    CPPUNIT_TEST(newJobsDoNotWait);
    CPPUNIT_TEST(tasksOfALostWorkerAreReleased);
    CPPUNIT_TEST(hostIsNotMaintainedBeforeItsEndsAreStored);
    CPPUNIT_TEST(unlistedEndIsNoLackOfProgress);
    CPPUNIT_TEST(runTimesAreNotLearnedFromLateEnds);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;

    fleet_world::process &successor()
    {
        return m_fleet->processes.at("two");
    }

    virtual_platform &platformOf(const std::string &process)
    {
        return *m_fleet->processes.at(process).platform;
    }

    standin::virtual_worker &worker()
    {
        return m_fleet->world.workers.at(fullWorker);
    }

    void submit(fleet_world::process &through, const std::string &path, const job_spec &spec)
    {
        const auto answer = m_fleet->ask(through, caller_operation::submit, path, spec);
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
    }

    void checkNothingRanTwice()
    {
        const auto &violations = m_fleet->world.violations;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? std::string() : violations.front(),
                                     std::size_t {0}, violations.size());
    }

    /// Runs all tasks on one worker; none of their ends is stored. Then ends the coordinator.
    void endTasksAndCoordinator()
    {
        platformOf("one").refuseCommits = true;
        CPPUNIT_ASSERT(m_fleet->loop.runUntil(
            [this] { return worker().ended.size() == static_cast<std::size_t>(tasks); }, 5s));
        m_fleet->kill("one", false);
    }

    /// Runs all tasks on one worker; their ends are stored 2 s later.
    void endTasksWithoutTheStore()
    {
        platformOf("one").refuseCommits = true;
        m_fleet->loop.run(4s);
        platformOf("one").refuseCommits = false;
        CPPUNIT_ASSERT(
            m_fleet->waitForState(m_fleet->processes.at("one"), jobPath, job_state::completed, 2s));
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<fleet_world>(2);
        m_fleet->world.behaviourOf = [](const task_name &task) {
            return virtual_world::behaviour {task.job == jobId ? 2000ms : 200ms};
        };
        auto &first = m_fleet->addProcess("one");
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        m_fleet->addProcess("two");
        submit(first, jobPath, simpleJob(tasks, 10));
        CPPUNIT_ASSERT(m_fleet->loop.runUntil(
            [this] { return worker().running.size() == static_cast<std::size_t>(tasks); }, 1500ms));
    }

    void finishedTasksDoNotRunAgainAfterATakeOver()
    {
        endTasksAndCoordinator();
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        CPPUNIT_ASSERT(m_fleet->waitForState(successor(), jobPath, job_state::completed, 15s));
        checkNothingRanTwice();
        CPPUNIT_ASSERT_EQUAL(tasks, m_fleet->world.starts);
    }

    /// The further ends stay unlisted for longer than the leases of the former coordinator last.
    void finishedTasksWaitForASlowStore()
    {
        endTasksAndCoordinator();
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        platformOf("two").refuseCommits = true;
        m_fleet->loop.run(8s);
        platformOf("two").refuseCommits = false;
        CPPUNIT_ASSERT(m_fleet->waitForState(successor(), jobPath, job_state::completed, 15s));
        checkNothingRanTwice();
        CPPUNIT_ASSERT_EQUAL(tasks, m_fleet->world.starts);
    }

    /// Guards against a take-over that keeps new work waiting for the ends of earlier work.
    void newJobsDoNotWait()
    {
        endTasksAndCoordinator();
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        submit(successor(), laterPath, simpleJob(1));
        platformOf("two").refuseCommits = true;
        CPPUNIT_ASSERT(
            m_fleet->loop.runUntil([this] { return m_fleet->world.starts == tasks + 1; }, 500ms));
        checkNothingRanTwice();
    }

    /// Guards against tasks that wait for ever for the ends of a worker that is gone.
    void tasksOfALostWorkerAreReleased()
    {
        endTasksAndCoordinator();
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        platformOf("two").refuseCommits = true;
        m_fleet->loop.run(1s);
        m_fleet->world.crash(fullWorker);
        platformOf("two").refuseCommits = false;
        CPPUNIT_ASSERT(m_fleet->waitForState(successor(), jobPath, job_state::completed, 40s));
    }

    /// Guards against planned work on a host that takes unread ends with it.
    void hostIsNotMaintainedBeforeItsEndsAreStored()
    {
        platformOf("two").pollTime =
            400ms; // the further ends are read after the check of the hosts
        endTasksAndCoordinator();
        maintenance_wave wave;
        wave.number = 1;
        wave.hosts = {worker().entry.host};
        wave.deadline = 30s;
        m_fleet->world.waves.push_back(wave);
        m_fleet->world.putItem("waves/1", "", 0);
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        CPPUNIT_ASSERT(m_fleet->waitForState(successor(), jobPath, job_state::completed, 15s));
        CPPUNIT_ASSERT(
            m_fleet->loop.runUntil([this] { return !m_fleet->world.maintained.empty(); }, 15s));
        checkNothingRanTwice();
    }

    /// Guards against a sound worker that is quarantined for runs that ended while the store was
    /// slow.
    void unlistedEndIsNoLackOfProgress()
    {
        endTasksWithoutTheStore();
        // Fills both workers.
        submit(m_fleet->processes.at("one"), laterPath, simpleJob(2, 8000));
        CPPUNIT_ASSERT(
            m_fleet->loop.runUntil([this] { return m_fleet->world.starts == tasks + 2; }, 100ms));
        checkNothingRanTwice();
    }

    void runTimesAreNotLearnedFromLateEnds()
    {
        endTasksWithoutTheStore();
        m_fleet->loop.run(2s);
        const std::string name = "ibishinge_learned_run_seconds{queue=\"queue-pool-a\"} ";
        const auto text = m_fleet->processes.at("one").metrics->text();
        const auto at = text.find(name);
        CPPUNIT_ASSERT(at != std::string::npos);
        CPPUNIT_ASSERT(std::stod(text.substr(at + name.size())) < 2.2); // the tasks take 2 s
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(truncated_report_test);
