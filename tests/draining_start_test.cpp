#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string jobPath = "/pool-a/0000000000000001";

} // namespace

/// Guards against a start on a worker that is leaving: the start was placed before, and is sent or
/// repeated when the worker is known to drain.
class draining_start_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(draining_start_test);
    CPPUNIT_TEST(unansweredStartIsNotRepeated);
    CPPUNIT_TEST(startThatWaitsForContactIsNotSent);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;
    fleet_world::process *m_process = nullptr;
    standin::virtual_worker *m_leaving = nullptr;

    void submit(const std::string &path)
    {
        const auto answer = m_fleet->ask(*m_process, caller_operation::submit, path, simpleJob(1));
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
    }

    void drain()
    {
        m_leaving->entry.state = worker_state::draining;
        m_leaving->entry.remaining = 20s;
        m_fleet->world.putItem("workers/pool-a-0", "pool-a-0", 0);
    }

    void checkRunsOnTheOtherWorker()
    {
        const auto &other = m_fleet->world.workers.at("pool-a-1");
        CPPUNIT_ASSERT(m_fleet->loop.runUntil(
            [&] { return !other.running.empty() || !m_leaving->running.empty(); }, 3s));
        CPPUNIT_ASSERT(m_leaving->running.empty());
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<fleet_world>(2);
        m_process = &m_fleet->addProcess("only");
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        m_fleet->loop.run(2s);
        m_leaving = &m_fleet->world.workers.at("pool-a-0");
    }

    void unansweredStartIsNotRepeated()
    {
        auto &platform = *m_process->platform;
        platform.delayStarts = 1;
        platform.startDelay = 60s;
        submit(jobPath);
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([&] { return platform.delayStarts == 0; }, 1s));
        drain();
        checkRunsOnTheOtherWorker();
    }

    /// The worker has not reported for a while, so that it is polled before the start.
    void startThatWaitsForContactIsNotSent()
    {
        m_process->platform->pollTime = 300ms;
        submit(jobPath);
        drain();
        checkRunsOnTheOtherWorker();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(draining_start_test);
