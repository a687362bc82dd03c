#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

/// One pool of 64 cores, and jobs of two steps with six tasks of one core and 640 ms each.
constexpr int workers = 8;
constexpr int tasksOfStep = 6;
constexpr milliseconds taskTime {640};
/// Jobs a second that the pool can complete.
constexpr double jobsOfCapacity = 64.0 / (2 * tasksOfStep * 0.64);

job_spec twoSteps(int tasks = tasksOfStep)
{
    auto spec = simpleJob(tasks);
    spec.steps.front().estimate = taskTime;
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().after = {0};
    return spec;
}

caller_request submission(int number, const job_spec &spec)
{
    caller_request request;
    request.operation = caller_operation::submit;
    request.host = "jobs.example";
    const auto digits = std::to_string(number);
    request.path = "/pool-a/" + std::string(16 - digits.size(), '0') + digits;
    request.key = "key-north";
    request.callerTimeout = 3000ms;
    request.spec = spec;
    return request;
}

} // namespace

/// Checks what an overloaded pool completes, in virtual time.
class fleet_load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_load_test);
    CPPUNIT_TEST(goodputAtCapacity);
    CPPUNIT_TEST(goodputAtTwiceTheCapacity);
    CPPUNIT_TEST(goodputAtFiveTimesTheCapacity);
    CPPUNIT_TEST(lateJobsCompleteAfterOverload);
    CPPUNIT_TEST(slowStoreDoesNotDelaySubmissions);
    CPPUNIT_TEST(largeWaveDoesNotDelaySubmissions);
    CPPUNIT_TEST_SUITE_END();

public:
    void goodputAtCapacity()
    {
        checkGoodput(0.9, 0.8);
    }

    void goodputAtTwiceTheCapacity()
    {
        checkGoodput(2, 0.8);
    }

    void goodputAtFiveTimesTheCapacity()
    {
        checkGoodput(5, 0.8);
    }

    void lateJobsCompleteAfterOverload()
    {
        const auto seen = runLoad(2, 8s);
        CPPUNIT_ASSERT_EQUAL(seen.accepted, seen.completed);
    }

    /// Guards against records queueing behind a slow store. The store answers 50 times more slowly
    /// than usual, and sixty small jobs a second are still accepted before their submissions are
    /// answered with an open outcome.
    void slowStoreDoesNotDelaySubmissions()
    {
        fleet_world fleet(workers);
        fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {50ms, false};
        };
        auto &only = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.loop.run(1s);
        only.platform->storeTime = 200ms;
        checkSubmissions(fleet, only);
    }

    /// Guards against the records of a maintenance wave delaying submissions. A wave over
    /// 200 hosts, 50 at once, writes each of its steps to one record while sixty jobs a second are
    /// submitted.
    void largeWaveDoesNotDelaySubmissions()
    {
        constexpr int workersOfPool = 100;
        fleet_world fleet(workersOfPool);
        fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {50ms, false};
        };
        auto &only = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.loop.run(1s);
        only.platform->storeTime = 20ms;
        maintenance_wave wave;
        wave.number = 1;
        wave.deadline = 20s;
        wave.maxConcurrent = workersOfPool / 2;
        for (const auto &[name, host] : fleet.world.hosts) {
            wave.hosts.push_back(name);
        }
        fleet.world.waves.push_back(wave);
        fleet.world.putItem("waves/1", "", 0);
        checkSubmissions(fleet, only);
        CPPUNIT_ASSERT(fleet.world.maintained.size() > workersOfPool);
    }

private:
    /// Submits sixty small jobs a second and checks that all are accepted, before their submissions
    /// would be answered with an open outcome.
    static void checkSubmissions(fleet_world &fleet, fleet_world::process &only)
    {
        int accepted = 0;
        milliseconds slowest {0};
        constexpr int jobs = 600;
        for (int i = 0; i < jobs; ++i) {
            fleet.loop.after(10s * i / jobs, [&, i, &node = *only.node] {
                const auto request = submission(i, twoSteps(1));
                node.handle(request, [&, at = fleet.loop.now()](const caller_answer &answer) {
                    accepted += answer.kind == answer_kind::accepted ? 1 : 0;
                    slowest = std::max(slowest, since(at, fleet.loop.now()));
                });
            });
        }
        fleet.loop.run(15s);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(slowest.count()) + " ms", jobs, accepted);
    }

    struct load_outcome
    {
        int accepted = 0;
        int completed = 0;
        int inTime = 0;
    };

    /// Checks that goodput does not drop beyond capacity: the jobs that end in time are at least
    /// `share` of what the pool could complete in the same time.
    static void checkGoodput(double load, double share)
    {
        constexpr std::chrono::seconds loadTime {8};
        const auto seen = runLoad(load, loadTime);
        const double possible =
            std::min(1.0, load) * jobsOfCapacity * static_cast<double>(loadTime.count());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(seen.inTime) + " of " + std::to_string(possible),
                               seen.inTime >= share * possible);
    }

    /// Submits `load` times the capacity for the time `loadTime`, then waits until all jobs have
    /// ended.
    static load_outcome runLoad(double load, std::chrono::seconds loadTime)
    {
        fleet_world fleet(workers);
        fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {taskTime, false};
        };
        auto &only = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.loop.run(1s);

        load_outcome result;
        std::map<std::string, instant> open;
        const auto objective = milliseconds(static_cast<std::int64_t>(1.6 * 2 * taskTime.count()))
                               + 600ms; // factor and slack of the queue's objective
        const int jobs =
            static_cast<int>(load * jobsOfCapacity * static_cast<double>(loadTime.count()));
        for (int i = 0; i < jobs; ++i) {
            fleet.loop.after(loadTime * i / jobs, [&, i] {
                const auto request = submission(i, twoSteps());
                only.node->handle(request, [&, path = request.path](const caller_answer &answer) {
                    if (answer.kind == answer_kind::accepted) {
                        ++result.accepted;
                        open[path] = fleet.loop.now();
                    }
                });
            });
        }
        const auto end = fleet.loop.now() + loadTime + 40s;
        while (fleet.loop.now() < end) {
            fleet.loop.run(50ms);
            for (auto job = open.begin(); job != open.end();) {
                if (fleet.stateOf(only, job->first) == job_state::completed) {
                    ++result.completed;
                    result.inTime += fleet.loop.now() - job->second <= objective ? 1 : 0;
                    job = open.erase(job);
                } else {
                    ++job;
                }
            }
        }
        CPPUNIT_ASSERT(fleet.world.violations.empty());
        return result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_load_test);
