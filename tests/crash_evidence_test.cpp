#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/backlog/occurrence_window.h>
#include <ibishinge/fleet/crash_isolation.h>
#include <ibishinge/fleet/record_codec.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int workersOfPool = 8;
const task_name taskName {"job", 0, 0, 0};

std::string pathOf(int number)
{
    const auto digits = std::to_string(number);
    return "/pool-a/" + std::string(16 - digits.size(), '0') + digits;
}

/// What is known of one start of a task whose worker crashed 300 ms later.
struct crashed_start
{
    bool sent = true;
    bool answered = true;
    milliseconds reportAge {100}; ///< of the worker at the start
    bool othersCrash = false; ///< another worker crashes at the same time
};

/// Tables with one job of one task, which has crashed one worker before.
fleet_tables tablesWithSuspect()
{
    fleet_tables tables;
    job_entry job;
    job.id = taskName.job;
    job.spec = simpleJob(1);
    job.stored = true;
    job.hasCrashes = true;
    openDueOccurrences(job, 0);
    tables.jobs.emplace(job.id, job);
    changeTask(tables, taskName)->crashes = 1;
    return tables;
}

/// Records the crash under start `number` and returns true if it proves the task to be the cause.
bool crashProves(fleet_tables &tables, const crashed_start &start, int number)
{
    const auto crashedAt = instant {} + 100s + number * 20s;
    const run_key key {taskName, number};
    auto run = makeRun(tables.jobs.at(taskName.job), key, "worker-" + std::to_string(number));
    run.orderedAt = crashedAt - 300ms;
    run.orders = start.sent ? 1 : 0;
    run.phase = start.answered ? run_phase::running : run_phase::starting;
    run.seenOnWorker = start.answered;
    addRun(tables, run);
    auto &worker = tables.workers.at(run.worker);
    worker.reportAt = run.orderedAt - start.reportAge;
    worker.unreachableSince = crashedAt;
    if (start.othersCrash) {
        tables.recentCrashes.push_back({crashedAt - 200ms, crashedAt});
    }
    const auto outcome = recordCrash(tables, worker, {key}, crashedAt + 500ms);
    removeRun(tables, key);
    return !outcome.proven.empty();
}

} // namespace

/// Guards against a sound task that is given up because workers crash under it by chance.
class crash_evidence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_evidence_test);
    CPPUNIT_TEST(evidenceNeedsRunsOnCrashedWorkers);
    CPPUNIT_TEST(survivalRefutesEvidence);
    CPPUNIT_TEST(startsOnDeadWorkerAreNoCrashes);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Two observed starts in a row have to end with a crash of the worker, and the worker has to
    /// have had the run.
    void evidenceNeedsRunsOnCrashedWorkers()
    {
        struct row
        {
            const char *what;
            std::vector<crashed_start> starts;
            bool proven;
        };
        const crashed_start clear;
        const crashed_start unsent {false, false, 100ms};
        const crashed_start unansweredByIdle {true, false, 5000ms};
        const crashed_start unansweredAfterReport {true, false, 100ms};
        const crashed_start inOutage {true, true, 100ms, true};
        const std::vector<row> rows = {
            {"one crash", {clear}, false},
            {"two crashes", {clear, clear}, true},
            {"two, one of them before the answer", {clear, unansweredAfterReport}, true},
            {"starts that were never sent", {clear, unsent, unsent, unsent}, false},
            {"starts on a worker of unknown state", {clear, unansweredByIdle}, false},
            {"crashes while others crash", {inOutage, inOutage, inOutage}, false},
            {"many of these", {inOutage, inOutage, inOutage, inOutage}, true},
        };
        for (const auto &each : rows) {
            auto tables = tablesWithSuspect();
            bool proven = false;
            int number = 0;
            for (const auto &start : each.starts) {
                proven = crashProves(tables, start, ++number);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.what, each.proven, proven);
        }
    }

    /// A start that runs to its end between two crashes shows that the task does not crash each
    /// worker that starts it.
    void survivalRefutesEvidence()
    {
        auto tables = tablesWithSuspect();
        CPPUNIT_ASSERT(!crashProves(tables, {}, 1));
        CPPUNIT_ASSERT(recordSurvival(tables, taskName));
        CPPUNIT_ASSERT(!crashProves(tables, {}, 2));
        CPPUNIT_ASSERT(crashProves(tables, {}, 3));
    }

    /// An idle worker is already down when several jobs are started on it, so that it starts none.
    /// Later one worker crashes under one of them.
    void startsOnDeadWorkerAreNoCrashes()
    {
        fleet_world fleet(workersOfPool);
        auto &world = fleet.world;
        world.restartsInPlace = true;
        world.crashDownTime = 2000ms;
        world.behaviourOf = [](const task_name &) { return virtual_world::behaviour {2s, false}; };
        auto &process = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.loop.run(3s);

        const std::string first = "pool-a-0"; // of workers that are equally free
        world.crashAndReturn(first);
        constexpr int jobs = 8;
        for (int i = 0; i < jobs; ++i) {
            fleet.ask(process, caller_operation::submit, pathOf(i), simpleJob(1));
        }
        const auto hasRun = [](const standin::virtual_worker &worker) {
            return worker.alive && worker.entry.pool == "pool-a" && !worker.running.empty();
        };
        const auto findBusy = [&] {
            return std::find_if(world.workers.begin(), world.workers.end(),
                                [&](const auto &each) { return hasRun(each.second); });
        };
        CPPUNIT_ASSERT(fleet.loop.runUntil([&] { return findBusy() != world.workers.end(); }, 10s));
        fleet.loop.run(300ms); // within the observation of a suspect
        world.crashAndReturn(findBusy()->first);
        for (int i = 0; i < jobs; ++i) {
            CPPUNIT_ASSERT_MESSAGE(
                "job " + std::to_string(i),
                fleet.waitForState(process, pathOf(i), job_state::completed, 40s));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_evidence_test);
