#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string jobId = "0000000000000001";
const std::string jobPath = "/pool-a/" + jobId;
constexpr std::int64_t workerCpu = 8000;
/// More than are named in one call.
constexpr int workers = 60;

/// Returns the id of the pool's worker with this position in the order of ids.
std::string workerAt(int position)
{
    std::set<std::string> ids;
    for (int i = 0; i < workers; ++i) {
        ids.insert("pool-a-" + std::to_string(i));
    }
    return *std::next(ids.begin(), position);
}

} // namespace

/// Guards against a task that waits beside free workers that its queue's policy permits, because
/// the advice service is not asked about them.
class advice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(advice_test);
    CPPUNIT_TEST(workersBeyondTheFirstCallAreAskedAbout);
    CPPUNIT_TEST(fullPermittedWorkerDoesNotHideOthers);
    CPPUNIT_TEST(gangGathersTicketsFromSeveralCalls);
    CPPUNIT_TEST(manyJobsFindTheirWorkers);
    CPPUNIT_TEST(workerThatJoinsIsAskedAbout);
    CPPUNIT_TEST(nextProcessOfAWorkerIsAskedAbout);
    CPPUNIT_TEST(denialsAreNotAskedForAtOnce);
    CPPUNIT_TEST(failedCallsArePaced);
    CPPUNIT_TEST(stepWithoutPermittedWorkersDoesNotDelayOthers);
    CPPUNIT_TEST(fullPoolIsNotAskedAboutForEachFreeWorker);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;
    fleet_world::process *m_process = nullptr;
    std::set<std::string> m_permitted;
    milliseconds m_taskTime {300};

    virtual_platform &platform()
    {
        return *m_process->platform;
    }

    void submit(const std::string &path, const job_spec &spec)
    {
        const auto answer = m_fleet->ask(*m_process, caller_operation::submit, path, spec);
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
    }

    bool completes(const std::string &path, milliseconds limit)
    {
        return m_fleet->waitForState(*m_process, path, job_state::completed, limit);
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<fleet_world>(workers);
        auto &world = m_fleet->world;
        world.permits = [this](const std::string &, const standin::virtual_worker &worker) {
            return m_permitted.count(worker.entry.id) > 0;
        };
        world.behaviourOf = [this](const task_name &) {
            return virtual_world::behaviour {m_taskTime};
        };
        world.config.queues.front().advice = advice_config {20ms, 1ms, 3000ms};
        m_process = &m_fleet->addProcess("only");
        platform().adviceTime = 20ms;
        platform().adviceTimeOfWorker = 1ms;
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        m_fleet->loop.run(1s);
    }

    void workersBeyondTheFirstCallAreAskedAbout()
    {
        m_permitted = {workerAt(workers - 1)};
        submit(jobPath, simpleJob(4));
        CPPUNIT_ASSERT(completes(jobPath, 1s));
    }

    void fullPermittedWorkerDoesNotHideOthers()
    {
        m_permitted = {workerAt(0), workerAt(workers - 1)};
        m_taskTime = 5s;
        submit(jobPath, simpleJob(3, workerCpu));
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([this] { return m_fleet->world.starts == 2; }, 1s));
    }

    void gangGathersTicketsFromSeveralCalls()
    {
        m_permitted = {workerAt(5), workerAt(30), workerAt(40), workerAt(workers - 1)};
        auto spec = simpleJob(4, workerCpu);
        spec.steps.front().gang = true;
        submit(jobPath, spec);
        CPPUNIT_ASSERT(completes(jobPath, 2s));
    }

    void manyJobsFindTheirWorkers()
    {
        m_permitted = {workerAt(workers - 2), workerAt(workers - 1)};
        for (int i = 0; i < 10; ++i) {
            submit("/pool-a/000000000000010" + std::to_string(i), simpleJob(1));
        }
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT(completes("/pool-a/000000000000010" + std::to_string(i), 3s));
        }
    }

    void workerThatJoinsIsAskedAbout()
    {
        m_permitted = {"pool-a-new"};
        submit(jobPath, simpleJob(1));
        m_fleet->loop.run(10s);
        m_fleet->world.addWorker("pool-a-new", "pool-a", workerCpu);
        CPPUNIT_ASSERT(completes(jobPath, 1s));
    }

    /// The next process of a worker may be of another kind.
    void nextProcessOfAWorkerIsAskedAbout()
    {
        const auto id = workerAt(7);
        submit(jobPath, simpleJob(1));
        m_fleet->loop.run(900ms);
        const auto denied = platform().adviceCalls.size();
        CPPUNIT_ASSERT(denied >= 3); // all workers have been named
        m_fleet->world.restartUnnoticed(id);
        m_fleet->world.putItem("workers/" + id, id, 0);
        m_permitted = {id};
        CPPUNIT_ASSERT(completes(jobPath, 1s));
    }

    /// Guards against calls that ask for the same denials without a pause.
    void denialsAreNotAskedForAtOnce()
    {
        submit(jobPath, simpleJob(1));
        m_fleet->loop.run(10s);
        std::map<std::string, instant> lastNamed;
        for (const auto &call : platform().adviceCalls) {
            CPPUNIT_ASSERT(call.workers.size() <= 100);
            for (const auto &id : call.workers) {
                const auto before = lastNamed.find(id);
                CPPUNIT_ASSERT(before == lastNamed.end() || call.sentAt - before->second >= 1s);
                lastNamed[id] = call.sentAt;
            }
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(workers), lastNamed.size());
    }

    void failedCallsArePaced()
    {
        m_permitted = {workerAt(0)};
        platform().refuseAdvice = true;
        submit(jobPath, simpleJob(1));
        m_fleet->loop.run(3s);
        const auto &calls = platform().adviceCalls;
        CPPUNIT_ASSERT(calls.size() > 1);
        for (std::size_t i = 1; i < calls.size(); ++i) {
            CPPUNIT_ASSERT(calls[i].sentAt - calls[i - 1].sentAt >= 150ms);
        }
        platform().refuseAdvice = false;
        CPPUNIT_ASSERT(completes(jobPath, 1s));
    }

    void stepWithoutPermittedWorkersDoesNotDelayOthers()
    {
        m_fleet->world.permits = [](const std::string &job, const standin::virtual_worker &) {
            return job == jobId;
        };
        for (int i = 0; i < 5; ++i) {
            submit("/pool-a/000000000000010" + std::to_string(i), simpleJob(1));
        }
        m_fleet->loop.run(5s);
        submit(jobPath, simpleJob(4));
        CPPUNIT_ASSERT(completes(jobPath, 1s));
    }

    /// Guards against a call for each worker that becomes free while tasks wait in a full pool: the
    /// service handles one call at a time, and first calls of new jobs wait behind them.
    void fullPoolIsNotAskedAboutForEachFreeWorker()
    {
        for (int i = 0; i < workers; ++i) {
            m_permitted.insert(workerAt(i));
        }
        for (int i = 0; i < 10; ++i) {
            submit("/pool-a/000000000000010" + std::to_string(i), simpleJob(200, workerCpu / 2));
        }
        m_fleet->loop.run(1s); // first calls
        const auto first = platform().adviceCalls.size();
        m_fleet->loop.run(3s);
        instant busyUntil;
        const auto &calls = platform().adviceCalls;
        for (std::size_t i = first; i < calls.size(); ++i) {
            busyUntil = std::max(busyUntil, calls[i].sentAt) + 20ms + 1ms * calls[i].workers.size();
            CPPUNIT_ASSERT(busyUntil - calls[i].sentAt < 200ms);
        }
        CPPUNIT_ASSERT(m_fleet->world.startsWithTicket > 1000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(advice_test);
