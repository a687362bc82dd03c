#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/backlog/occurrence_window.h>
#include <ibishinge/fleet/crash_isolation.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string lastingId = "0000000000000001";
const std::string lastingPath = "/pool-a/" + lastingId;
const std::string busyWorker = "pool-a-2";
const std::string busyLabel = "busy";

std::string shortPath(int number)
{
    const auto digits = std::to_string(1000 + number);
    return "/pool-a/" + std::string(16 - digits.size(), '0') + digits;
}

} // namespace

/// Guards against a suspected task that waits for a worker which is reserved for it and can never
/// be given it.
class reserved_worker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reserved_worker_test);
    CPPUNIT_TEST(workerAtTheStepLimitIsNotReserved);
    CPPUNIT_TEST(reservationEndsWhenTheWorkerCannotTakeTheTask);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Two long-running tasks of a step, one on a worker; the third worker always has short tasks
    /// that have not settled. One of the first two is lost.
    void workerAtTheStepLimitIsNotReserved()
    {
        fleet_world fleet(3);
        auto &busy = fleet.world.workers.at(busyWorker);
        busy.entry.labels.insert(busy.entry.labels.begin(), busyLabel);
        fleet.world.hosts.at(busy.entry.host).labels = busy.entry.labels;
        fleet.world.behaviourOf = [](const task_name &task) {
            return virtual_world::behaviour {task.job == lastingId ? 0ms : 300ms};
        };
        auto &process = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        auto lasting = simpleJob(2);
        lasting.steps.front().longRunning = true;
        lasting.steps.front().maxPerWorker = 1;
        fleet.ask(process, caller_operation::submit, lastingPath, lasting);
        auto &lost = fleet.world.workers.at("pool-a-1");
        CPPUNIT_ASSERT(fleet.loop.runUntil([&] { return !lost.running.empty(); }, 2s));
        fleet.loop.run(3s);

        auto brief = simpleJob(1, 100);
        brief.steps.front().requiredLabel = busyLabel;
        int number = 0;
        const auto submitBrief = [&] {
            fleet.ask(process, caller_operation::submit, shortPath(number++), brief);
            fleet.loop.run(140ms);
        };
        for (int i = 0; i < 10; ++i) {
            submitBrief();
        }
        fleet.world.crash("pool-a-1");
        fleet.world.hosts.at(lost.entry.host).worker.clear();
        fleet.world.deleteItem("workers/pool-a-1");
        const auto crashedAt = fleet.loop.now();
        const auto runsAgain = [&] {
            return std::any_of(busy.running.begin(), busy.running.end(),
                               [](const auto &run) { return run.first.job == lastingId; });
        };
        while (!runsAgain() && fleet.loop.now() < crashedAt + 9s) {
            submitBrief();
        }
        CPPUNIT_ASSERT(runsAgain());
    }

    void reservationEndsWhenTheWorkerCannotTakeTheTask()
    {
        fleet_tables tables;
        auto &job = tables.jobs[lastingId];
        job.id = lastingId;
        job.spec = simpleJob(1);
        job.spec.steps.front().longRunning = true;
        openDueOccurrences(job, 0);
        const task_name task {lastingId, 0, 0, 0};
        pool_candidates candidates;
        for (const std::string id : {"a", "b"}) {
            auto &worker = tables.workers[id];
            worker.entry.id = id;
            worker.entry.capacity = {8000, 100000, 0};
            candidates.usable.push_back(&worker);
        }
        const instant now = instant {} + 100s;
        const waiting_step where {&job, 0, 0};
        reserveWorker(tables, candidates, where, task, nullptr, now);
        CPPUNIT_ASSERT(tables.workers.at("a").reservedFor == task);
        CPPUNIT_ASSERT(!tables.workers.at("b").reservedFor);
        // Its capacity shrinks below the need of the task.
        tables.workers.at("a").entry.capacity = {500, 100000, 0};
        reserveWorker(tables, candidates, where, task, nullptr, now);
        CPPUNIT_ASSERT(!tables.workers.at("a").reservedFor);
        CPPUNIT_ASSERT(tables.workers.at("b").reservedFor == task);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reserved_worker_test);
