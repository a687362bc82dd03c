#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t taskCpu = 2000;
constexpr std::int64_t fullCapacity = 8000;
constexpr std::int64_t smallCapacity = 2000;
const std::string shrunkWorker = "pool-a-0";

} // namespace

/// Guards against starts beyond the capacity of workers that start whatever they are told to, when
/// the capacity shrinks and grows while they run.
class worker_capacity_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_capacity_test);
    CPPUNIT_TEST(noStartExceedsAShrunkCapacity);
    CPPUNIT_TEST(newCoordinatorKeepsToAShrunkCapacity);
    CPPUNIT_TEST(runsBeingStoppedCount);
    CPPUNIT_TEST(regrownCapacityIsUsed);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;
    int m_jobs = 0;

    [[nodiscard]] std::int64_t usedCpu(const std::string &worker) const
    {
        return taskCpu
               * static_cast<std::int64_t>(m_fleet->world.workers.at(worker).running.size());
    }

    void setCapacity(std::int64_t cpu)
    {
        m_fleet->world.workers.at(shrunkWorker).entry.capacity.cpuMillis = cpu;
        m_fleet->world.putItem("workers/" + shrunkWorker, shrunkWorker, 0);
    }

    /// Submits more work than the pool can hold for `time` and checks that the used capacity of the
    /// worker rises at no moment beyond `limit`.
    void loadAndCheck(milliseconds time, std::int64_t limit)
    {
        auto used = usedCpu(shrunkWorker);
        const auto end = m_fleet->loop.now() + time;
        for (auto nextJobAt = m_fleet->loop.now(); m_fleet->loop.now() < end;) {
            if (m_fleet->loop.now() >= nextJobAt) {
                nextJobAt += 100ms;
                submit();
            }
            m_fleet->loop.run(1ms);
            const auto now = usedCpu(shrunkWorker);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(now), now <= std::max(used, limit));
            used = now;
        }
        CPPUNIT_ASSERT(m_fleet->world.violations.empty());
    }

    void submit()
    {
        const auto digits = std::to_string(++m_jobs);
        caller_request request;
        request.operation = caller_operation::submit;
        request.host = "jobs.example";
        request.path = "/pool-a/" + std::string(16 - digits.size(), '0') + digits;
        request.key = "key-north";
        request.callerTimeout = 3000ms;
        request.spec = simpleJob(4, taskCpu);
        m_fleet->processes.rbegin()->second.node->handle(request, [](const caller_answer &) {});
    }

public:
    void setUp() override
    {
        m_jobs = 0;
        m_fleet = std::make_unique<fleet_world>(2);
        m_fleet->world.config.pools.at("pool-a").workersEnforceCapacity = false;
        for (const std::string name : {"one", "two"}) {
            m_fleet->addProcess(name);
        }
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        m_fleet->loop.run(1s);
        loadAndCheck(2s, fullCapacity);
        CPPUNIT_ASSERT_EQUAL(fullCapacity, usedCpu(shrunkWorker));
        setCapacity(smallCapacity);
        m_fleet->loop.run(20ms);
    }

    void noStartExceedsAShrunkCapacity()
    {
        loadAndCheck(5s, smallCapacity);
    }

    void newCoordinatorKeepsToAShrunkCapacity()
    {
        m_fleet->kill(m_fleet->leader()->name, true);
        loadAndCheck(8s, smallCapacity);
    }

    void runsBeingStoppedCount()
    {
        for (auto &[name, process] : m_fleet->processes) {
            process.platform->unansweredStops.insert(shrunkWorker);
        }
        m_fleet->world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms, false};
        };
        loadAndCheck(1s, smallCapacity);
        auto &through = m_fleet->processes.rbegin()->second;
        for (int job = 1; job <= m_jobs; ++job) {
            const auto digits = std::to_string(job);
            m_fleet->ask(through, caller_operation::cancel,
                         "/pool-a/" + std::string(16 - digits.size(), '0') + digits);
        }
        loadAndCheck(3s, smallCapacity);
    }

    void regrownCapacityIsUsed()
    {
        loadAndCheck(3s, smallCapacity);
        setCapacity(fullCapacity);
        loadAndCheck(3s, fullCapacity);
        CPPUNIT_ASSERT_EQUAL(fullCapacity, usedCpu(shrunkWorker));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_capacity_test);
