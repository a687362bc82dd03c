#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/queueing/forecast.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

std::string idOf(int number)
{
    const auto digits = std::to_string(100000 + number);
    return std::string(16 - digits.size(), '0') + digits;
}

/// A pool of 16 cores that runs four jobs a second, and what becomes of its jobs.
struct loaded_pool : fleet_world
{
    struct outcome
    {
        instant submittedAt; ///< first
        instant acceptedAt; ///< sent; epoch: it was not accepted
        instant endsAt; ///< last task so far
        milliseconds toldAfter {0}; ///< until the answer to the first submission
        int rejections = 0;
        bool returned = false;
    };
    std::map<std::string, outcome> jobs;
    process *entry = nullptr;
    int next = 0;
    bool returns = true; ///< callers return when they were told to, each fourth one does not

    explicit loaded_pool(forecast_mode mode)
    {
        coordination.forecastRejection = mode;
        world.behaviourOf = [this](const task_name &task) {
            auto &job = jobs[task.job];
            virtual_world::behaviour planned;
            // 400 to 600 ms, by the job and the task.
            const auto ofJob = static_cast<int>(std::hash<std::string> {}(task.job) % 150);
            planned.duration = milliseconds(400 + ofJob + task.index * 6);
            job.endsAt = std::max(job.endsAt, loop.now() + planned.duration);
            return planned;
        };
        addProcess("a");
        CPPUNIT_ASSERT(waitForLeader());
        entry = &addProcess("b");
        loop.run(1s);
    }

    void submit(const std::string &id)
    {
        caller_request request;
        request.operation = caller_operation::submit;
        request.host = "jobs.example";
        request.path = "/pool-a/" + id;
        request.key = "key-north";
        request.spec = simpleJob(8);
        request.callerTimeout = 3000ms;
        const auto sentAt = loop.now();
        auto &job = jobs[id];
        job.submittedAt = job.submittedAt == instant {} ? sentAt : job.submittedAt;
        send(*entry, request, [this, id, sentAt](const caller_answer &answer) {
            auto &each = jobs[id];
            if (answer.kind == answer_kind::accepted) {
                each.acceptedAt = sentAt;
                return;
            }
            CPPUNIT_ASSERT(answer.kind == answer_kind::overloaded);
            CPPUNIT_ASSERT_EQUAL(std::string(forecastReason), answer.message);
            if (++each.rejections == 1) {
                each.toldAfter = since(sentAt, loop.now());
            }
            if (returns && each.rejections == 1 && id.back() % 4 != 0) {
                each.returned = true;
                loop.after(std::chrono::ceil<std::chrono::seconds>(answer.retryAfter),
                           [this, id] { submit(id); });
            }
        });
    }

    void submitEach(milliseconds interval, milliseconds duration)
    {
        const auto end = loop.now() + duration;
        while (loop.now() < end) {
            submit(idOf(next++));
            loop.run(interval);
        }
    }

    /// Two jobs a second for 15 s, then twenty a second for 3 s, then three a second for 10 s.
    void burst()
    {
        submitEach(500ms, 15s);
        submitEach(50ms, 3s);
        submitEach(333ms, 10s);
        loop.run(25s);
        CPPUNIT_ASSERT(world.violations.empty());
    }

    /// Time after which a job of this pool should have ended, and the time of storing and polling.
    static constexpr milliseconds objective = 1480ms + 100ms;

    [[nodiscard]] int count(const std::function<bool(const outcome &)> &holds) const
    {
        return static_cast<int>(std::count_if(
            jobs.begin(), jobs.end(), [&](const auto &each) { return holds(each.second); }));
    }
    /// Number of jobs whose end was compared with their forecast.
    [[nodiscard]] std::uint64_t measuredForecasts()
    {
        std::uint64_t sum = 0;
        for (const auto *const direction : {"early", "late"}) {
            sum += leader()
                       ->metrics
                       ->durations("ibishinge_forecast_error_seconds",
                                   {{"queue", "queue-pool-a"}, {"direction", direction}})
                       .total();
        }
        return sum;
    }
    [[nodiscard]] static bool isAccepted(const outcome &job)
    {
        return job.acceptedAt != instant {};
    }
    [[nodiscard]] static bool isLate(const outcome &job)
    {
        return isAccepted(job) && job.endsAt > job.acceptedAt + objective;
    }
};

} // namespace

/// Load: a queue asks for five times what its pool holds for three seconds. Guards against an
/// overload in which all jobs are accepted and the last ones end late.
class forecast_burst_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(forecast_burst_test);
    CPPUNIT_TEST(withoutRejectionTheLastJobsEndLate);
    CPPUNIT_TEST(observedForecastsRejectNothing);
    CPPUNIT_TEST(withRejectionAcceptedJobsEndInTime);
    CPPUNIT_TEST(nothingIsRejectedAfterATakeover);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Also guards against forecasts that deployments pay for which do not ask for them.
    void withoutRejectionTheLastJobsEndLate()
    {
        loaded_pool pool(forecast_mode::off);
        pool.burst();
        const auto late = pool.count(loaded_pool::isLate);
        std::cout << "\n  without rejection: " << pool.jobs.size() << " jobs, " << late << " late"
                  << std::flush;
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(pool.jobs.size()),
                             pool.count(loaded_pool::isAccepted));
        CPPUNIT_ASSERT(late > 15);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), pool.measuredForecasts());
    }

    /// Guards against observed forecasts that change what is accepted.
    void observedForecastsRejectNothing()
    {
        loaded_pool pool(forecast_mode::observe);
        pool.burst();
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(pool.jobs.size()),
                             pool.count(loaded_pool::isAccepted));
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(pool.jobs.size()),
                             pool.measuredForecasts());
    }

    /// Also guards against rejections that come late, rejected jobs that start, and callers that
    /// are rejected again when they return as they were told.
    void withRejectionAcceptedJobsEndInTime()
    {
        for (const int firstId : {0, 1000, 2000, 3000}) { // other run times
            loaded_pool pool(forecast_mode::on);
            pool.next = firstId;
            pool.burst();
            const auto late = pool.count(loaded_pool::isLate);
            const auto rejected = pool.count([](const auto &job) { return job.rejections > 0; });
            const auto returned = pool.count([](const auto &job) { return job.returned; });
            const auto again = pool.count([](const auto &job) { return job.rejections > 1; });
            std::cout << "\n  with rejection: " << pool.jobs.size() << " jobs, " << rejected
                      << " rejected, " << late << " of the accepted late; " << returned
                      << " returned, " << again << " of them rejected again" << std::flush;
            CPPUNIT_ASSERT(rejected > 15);
            CPPUNIT_ASSERT_EQUAL(0, late);
            CPPUNIT_ASSERT_EQUAL(0, again);
            for (const auto &[id, job] : pool.jobs) {
                CPPUNIT_ASSERT(job.toldAfter <= 50ms);
                CPPUNIT_ASSERT(loaded_pool::isAccepted(job) == (job.endsAt != instant {}));
            }
        }
    }

    /// Guards against rejections by a coordinator that has seen no forecast fail or hold.
    void nothingIsRejectedAfterATakeover()
    {
        loaded_pool pool(forecast_mode::on);
        pool.submitEach(500ms, 15s);
        pool.submitEach(50ms, 1500ms);
        CPPUNIT_ASSERT(pool.count([](const auto &job) { return job.rejections > 0; }) > 0);
        const auto leader = pool.leader()->name;
        pool.entry = &pool.processes.at(leader == "a" ? "b" : "a");
        pool.kill(leader, true);
        CPPUNIT_ASSERT(pool.waitForLeader(20s));
        pool.loop.run(5s);
        const auto first = pool.next;
        pool.submitEach(50ms, 900ms);
        pool.loop.run(5s);
        for (int i = first; i < pool.next; ++i) {
            CPPUNIT_ASSERT_EQUAL(0, pool.jobs.at(idOf(i)).rejections);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forecast_burst_test);
