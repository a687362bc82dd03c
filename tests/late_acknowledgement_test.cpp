#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string lastingJob = "0000000000000001";
const std::string earlierJob = "0000000000000002";
const std::string laterJob = "0000000000000003";

std::string pathOf(const std::string &job)
{
    return "/pool-a/" + job;
}

} // namespace

/// Guards against a task that runs again after its end: an acknowledgement without an answer is
/// carried out by the next process of the worker, which forgets an end that has not been read.
class late_acknowledgement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_acknowledgement_test);
    CPPUNIT_TEST(unreadEndIsForgotten);
    CPPUNIT_TEST(restartIsNoticedWhileThePollIsOpen);
    CPPUNIT_TEST(workerReturnsUnderItsId);
    CPPUNIT_TEST(workerLeavesTheRegistryAndReturnsUnderItsId);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;
    fleet_world::process *m_process = nullptr;

    bool runs(const std::string &job)
    {
        return m_fleet->world.workers.at("pool-a-0").running.count({job, 0, 0, 0}) > 0;
    }

    void submit(const std::string &job, bool longRunning)
    {
        auto spec = simpleJob(1);
        spec.steps.front().longRunning = longRunning;
        const auto answer = m_fleet->ask(*m_process, caller_operation::submit, pathOf(job), spec);
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([&] { return runs(job); }, 15s));
    }

    void checkRunsOnce()
    {
        const auto &violations = m_fleet->world.violations;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? std::string() : violations.front(),
                                     std::size_t {0}, violations.size());
        CPPUNIT_ASSERT(
            m_fleet->waitForState(*m_process, pathOf(laterJob), job_state::completed, 5s));
    }

    /// The acknowledgement of an idle worker's end has no answer. The worker crashes, returns under
    /// its id and is given a task; the acknowledgement is carried out while its end is unread.
    void returnOfAnIdleWorker(bool leavesRegistry)
    {
        const std::string key = "workers/pool-a-0";
        auto &worker = m_fleet->world.workers.at("pool-a-0");
        submit(earlierJob, false);
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([&] { return !worker.ended.empty(); }, 4s));
        m_fleet->loop.run(5ms);
        worker.reachable = false;
        const auto sentAt = m_fleet->loop.now();
        const auto at = [&](milliseconds time) {
            return std::max(0ms, time - since(sentAt, m_fleet->loop.now()));
        };
        m_fleet->loop.run(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, worker.ended.size());
        m_fleet->world.crash("pool-a-0");
        if (leavesRegistry) {
            m_fleet->world.deleteItem(key);
        }
        m_fleet->loop.after(at(11s), [&worker] {
            std::erase_if(worker.ended, [](const run_end &end) { return end.number <= 1; });
        });
        m_fleet->loop.run(at(8s));
        m_fleet->world.restartUnnoticed("pool-a-0");
        worker.reachable = true;
        m_fleet->world.putItem(key, "pool-a-0", 0);
        submit(laterJob, false);
        m_fleet->loop.run(1900ms);
        worker.reachable = false;
        m_fleet->loop.run(at(11200ms));
        worker.reachable = true;
        m_fleet->loop.run(30s);
        checkRunsOnce();
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<fleet_world>(1);
        m_fleet->world.behaviourOf = [](const task_name &task) {
            return virtual_world::behaviour {task.job == lastingJob ? 0ms : 2000ms};
        };
        m_process = &m_fleet->addProcess("only");
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
    }

    void unreadEndIsForgotten()
    {
        auto &platform = *m_process->platform;
        auto &worker = m_fleet->world.workers.at("pool-a-0");
        submit(lastingJob, true);
        submit(earlierJob, false);
        platform.delayedAcknowledgement = 1;
        platform.pollDelay = 6s;
        platform.delayPolls = 1;
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([&] { return platform.delayPolls == 0; }, 4s));
        m_fleet->world.restartUnnoticed("pool-a-0");
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([this] { return runs(lastingJob); }, 2s));
        submit(laterJob, false);
        m_fleet->loop.run(1900ms);
        worker.reachable = false;
        m_fleet->loop.run(4s);
        worker.reachable = true;
        m_fleet->loop.run(30s);
        checkRunsOnce();
    }

    /// A poll before a start meets the next process while the acknowledgement has neither an answer
    /// nor failed.
    void restartIsNoticedWhileThePollIsOpen()
    {
        auto &platform = *m_process->platform;
        auto &worker = m_fleet->world.workers.at("pool-a-0");
        submit(lastingJob, true);
        submit(earlierJob, false);
        platform.silence = 1500ms;
        platform.delayedAcknowledgement = 1;
        platform.pollDelay = 6s;
        platform.delayPolls = 1;
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([&] { return platform.delayPolls == 0; }, 4s));
        m_fleet->world.restartUnnoticed("pool-a-0");
        m_fleet->loop.run(600ms);
        submit(laterJob, false);
        m_fleet->loop.run(1900ms);
        worker.reachable = false;
        m_fleet->loop.run(4s);
        worker.reachable = true;
        m_fleet->loop.run(30s);
        checkRunsOnce();
    }

    void workerReturnsUnderItsId()
    {
        returnOfAnIdleWorker(false);
    }

    void workerLeavesTheRegistryAndReturnsUnderItsId()
    {
        returnOfAnIdleWorker(true);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_acknowledgement_test);
