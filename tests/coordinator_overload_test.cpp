#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

/// Jobs of two steps with six tasks of one core and 640 ms each, on pools with room for many more
/// than the coordinator's processor can handle.
constexpr int workers = 40;
constexpr std::int64_t workerCpu = 64'000;
constexpr int tasksOfStep = 6;
constexpr milliseconds taskTime {640};

/// Processor time of a callback, and of a call, of the coordinator's process.
constexpr std::chrono::microseconds callbackCost {1000};
/// Jobs a second that keep a process with these costs busy.
constexpr double jobsOfCapacity = 25;

/// Objective of such a job by its queue, and the time that it leaves until the first start.
constexpr milliseconds criticalPath = 2 * taskTime;
constexpr milliseconds objective {criticalPath * 16 / 10 + 600ms};
constexpr milliseconds startTime = objective - criticalPath;

constexpr milliseconds callerTimeout {3000};
constexpr milliseconds lookupBound = callerTimeout;
constexpr milliseconds cancellationBound {3000};

std::string pathOf(int number)
{
    const auto digits = std::to_string(number);
    return "/pool-a/" + std::string(16 - digits.size(), '0') + digits;
}

caller_request requestOf(caller_operation operation, int number)
{
    caller_request request;
    request.operation = operation;
    request.host = "jobs.example";
    request.path = pathOf(number);
    request.key = "key-north";
    request.callerTimeout = callerTimeout;
    if (operation == caller_operation::submit) {
        auto spec = simpleJob(tasksOfStep);
        spec.steps.front().estimate = taskTime;
        spec.steps.push_back(spec.steps.front());
        spec.steps.back().after = {0};
        request.spec = spec;
    }
    return request;
}

/// A process whose processor takes time, and what its callers see.
class overloaded_fleet
{
public:
    explicit overloaded_fleet(std::chrono::microseconds cost = callbackCost)
        : m_world(workers)
    {
        m_world.world.behaviourOf = [this](const task_name &task) {
            const auto number = std::stoi(task.job);
            m_firstStart.try_emplace(number, m_world.loop.now());
            if (task.step == 1) {
                m_lastStart[number] = m_world.loop.now();
            }
            return virtual_world::behaviour {taskTime, false};
        };
        for (auto &[id, worker] : m_world.world.workers) {
            worker.entry.capacity.cpuMillis = workerCpu;
            m_world.world.hosts.at(worker.entry.host).capacity = worker.entry.capacity;
        }
        m_only = &m_world.addProcess("only");
        CPPUNIT_ASSERT(m_world.waitForLeader());
        m_world.loop.run(1s);
        m_only->processor->callbackCost = cost;
        m_only->processor->callCost = cost;
    }

    /// Offers `load` times the capacity for `time`, with a lookup and now and then a cancellation
    /// of an accepted job beside it.
    void offer(double load, milliseconds time)
    {
        const int jobs =
            static_cast<int>(load * jobsOfCapacity * static_cast<double>(time.count()) / 1000);
        for (int i = 0; i < jobs; ++i) {
            m_world.loop.after(time * i / jobs, [this] { submit(); });
        }
        for (milliseconds at {0}; at < time; at += 250ms) {
            m_world.loop.after(at, [this] { lookUp(); });
        }
        for (milliseconds at {900}; at < time; at += 1000ms) {
            m_world.loop.after(at, [this] { cancel(); });
        }
        run(time);
    }

    void run(milliseconds time)
    {
        const auto end = m_world.loop.now() + time;
        while (m_world.loop.now() < end) {
            m_world.loop.run(50ms);
            for (const auto &[id, worker] : m_world.world.workers) {
                lapsedLeases += !worker.running.empty() && worker.leaseEnd < m_world.loop.now();
            }
        }
    }

    /// Returns the longest time from the acceptance of a job until its first start. A job that has
    /// not started counts until now.
    [[nodiscard]] milliseconds longestWaitForStart() const
    {
        milliseconds longest {0};
        for (const auto &[number, acceptedAt] : m_accepted) {
            const auto started = m_firstStart.find(number);
            const auto until = started == m_firstStart.end() ? m_world.loop.now() : started->second;
            if (m_cancelled.count(number) == 0) {
                longest = std::max(longest, since(acceptedAt, until));
            }
        }
        return longest;
    }

    /// Returns the number of jobs whose tasks were all done within the objective.
    [[nodiscard]] int inTime() const
    {
        int count = 0;
        for (const auto &[number, submittedAt] : m_submitted) {
            const auto last = m_lastStart.find(number);
            count += last != m_lastStart.end()
                     && since(submittedAt, last->second) + taskTime <= objective;
        }
        return count;
    }

    /// Submits jobs until one is accepted. Returns the time that it took.
    milliseconds timeUntilAccepted(milliseconds limit)
    {
        const auto from = m_world.loop.now();
        const int before = accepted;
        while (accepted == before && since(from, m_world.loop.now()) < limit) {
            submit();
            run(100ms);
        }
        return since(from, m_world.loop.now());
    }

    [[nodiscard]] const fleet_world &world() const
    {
        return m_world;
    }

    int accepted = 0;
    int rejected = 0;
    int undecided = 0; ///< submissions with another answer
    int lapsedLeases = 0;
    milliseconds slowestLookup {0};
    milliseconds slowestCancellation {0};
    milliseconds slowestRejection {0};
    milliseconds longestRetryAfter {0};

private:
    void submit()
    {
        const int number = ++m_jobs;
        const auto at = m_world.loop.now();
        m_submitted[number] = at;
        fleet_world::send(*m_only, requestOf(caller_operation::submit, number),
                          [this, number, at](const caller_answer &answer) {
                              const auto now = m_world.loop.now();
                              if (answer.kind == answer_kind::accepted) {
                                  ++accepted;
                                  m_accepted[number] = now;
                                  m_open.push_back(number);
                              } else if (answer.kind == answer_kind::overloaded) {
                                  ++rejected;
                                  slowestRejection = std::max(slowestRejection, since(at, now));
                                  longestRetryAfter =
                                      std::max(longestRetryAfter, answer.retryAfter);
                              } else {
                                  ++undecided;
                              }
                          });
    }

    void lookUp()
    {
        if (!m_open.empty()) {
            ask(caller_operation::show, m_open[m_open.size() / 2], slowestLookup);
        }
    }

    void cancel()
    {
        if (!m_open.empty()) {
            m_cancelled.insert(m_open.back());
            ask(caller_operation::cancel, m_open.back(), slowestCancellation);
            m_open.pop_back();
        }
    }

    void ask(caller_operation operation, int number, milliseconds &slowest)
    {
        fleet_world::send(*m_only, requestOf(operation, number),
                          [this, &slowest, at = m_world.loop.now()](const caller_answer &) {
                              slowest = std::max(slowest, since(at, m_world.loop.now()));
                          });
    }

    fleet_world m_world;
    fleet_world::process *m_only = nullptr;
    int m_jobs = 0;
    std::map<int, instant> m_submitted;
    std::map<int, instant> m_accepted;
    std::map<int, instant> m_firstStart;
    std::map<int, instant> m_lastStart; ///< of the last task of the last step
    std::vector<int> m_open; ///< accepted jobs that are not cancelled
    std::set<int> m_cancelled;
};

} // namespace

/// Checks what a coordinator does whose processor cannot carry what is asked of it, in virtual
/// time.
class coordinator_overload_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(coordinator_overload_test);
    CPPUNIT_TEST(overloadedCoordinatorStartsWhatItAccepted);
    CPPUNIT_TEST(overloadEndsByItself);
    CPPUNIT_TEST(goodputHoldsBeyondCapacity);
    CPPUNIT_TEST(strongCoordinatorRejectsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void overloadedCoordinatorStartsWhatItAccepted()
    {
        overloaded_fleet fleet;
        fleet.offer(4, 20s);
        fleet.run(5s);
        assertAtMost(startTime, fleet.longestWaitForStart(), "wait for the first start");
        assertAtMost(lookupBound, fleet.slowestLookup, "lookup");
        assertAtMost(cancellationBound, fleet.slowestCancellation, "cancellation");
        CPPUNIT_ASSERT_EQUAL(0, fleet.lapsedLeases);
        CPPUNIT_ASSERT(fleet.accepted > 0);
        CPPUNIT_ASSERT(fleet.rejected > 0);
    }

    void overloadEndsByItself()
    {
        overloaded_fleet fleet;
        fleet.offer(4, 20s);
        assertAtMost(2s, fleet.timeUntilAccepted(30s), "until a job is accepted again");
        fleet.run(5s);
        const int rejected = fleet.rejected;
        fleet.offer(0.5, 5s);
        CPPUNIT_ASSERT_EQUAL(rejected, fleet.rejected);
        fleet.run(5s);
        assertAtMost(startTime, fleet.longestWaitForStart(), "wait for the first start");
    }

    void goodputHoldsBeyondCapacity()
    {
        std::map<int, int> inTime;
        int best = 0;
        std::string all;
        for (const int load : {1, 2, 4}) {
            overloaded_fleet fleet;
            fleet.offer(load, 20s);
            fleet.run(20s);
            inTime[load] = fleet.inTime();
            best = std::max(best, inTime[load]);
            all += " " + std::to_string(inTime[load]);
        }
        CPPUNIT_ASSERT_MESSAGE("jobs in time at 1, 2 and 4 times the capacity:" + all,
                               inTime[4] >= 0.8 * best);
    }

    /// Costs of a twentieth: the load is four times what the processor in the other tests carries,
    /// and a fifth of what this one does.
    void strongCoordinatorRejectsNothing()
    {
        overloaded_fleet fleet(callbackCost / 20);
        fleet.offer(4, 10s);
        fleet.run(3s);
        CPPUNIT_ASSERT_EQUAL(0, fleet.rejected);
        CPPUNIT_ASSERT_EQUAL(0, fleet.undecided);
    }

private:
    static void assertAtMost(milliseconds bound, milliseconds measured, const std::string &what)
    {
        CPPUNIT_ASSERT_MESSAGE(what + ": " + std::to_string(measured.count()) + " ms of "
                                   + std::to_string(bound.count()),
                               measured <= bound);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(coordinator_overload_test);
