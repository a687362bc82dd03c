#include <ibishinge/fleet/load_control.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds probeInterval {25};

/// A control and its time.
struct measured_loop
{
    load_control control;
    instant now {1000s};

    /// Lets `time` pass with the same lag throughout.
    void lagFor(milliseconds lag, milliseconds time)
    {
        for (const auto end = now + time; now < end; now += probeInterval) {
            recordLag(control, lag, now);
        }
    }

    /// Offers submissions of `tasks` tasks each 10 ms for `time`, with the given lag, while `ended`
    /// tasks end each 10 ms. Returns the tasks a second that were admitted.
    double offer(int tasks, milliseconds lag, milliseconds time, int ended = 4)
    {
        int admitted = 0;
        const auto end = now + time;
        for (auto probeAt = now; now < end; now += 10ms) {
            if (now >= probeAt) {
                recordLag(control, lag, now);
                probeAt += probeInterval;
            }
            if (!limitSubmission(control, tasks, now)) {
                admitted += tasks;
                addEvents(control.started, tasks, now);
            }
            addEvents(control.ended, ended, now);
        }
        return admitted / std::chrono::duration<double>(time).count();
    }
};

} // namespace

/// Checks when new submissions are rejected because the coordinator is behind.
class load_control_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_control_test);
    CPPUNIT_TEST(singleStallRejectsNothing);
    CPPUNIT_TEST(shortBurstRejectsNothing);
    CPPUNIT_TEST(standingLagLimits);
    CPPUNIT_TEST(largeLagLimitsSooner);
    CPPUNIT_TEST(nothingIsAdmittedFarBehind);
    CPPUNIT_TEST(lagAtItsTargetKeepsTheProcessUsed);
    CPPUNIT_TEST(limitEndsWithoutRejections);
    CPPUNIT_TEST(limitBegunBeforeTheDemandAdmitsIt);
    CPPUNIT_TEST(largeJobIsAdmittedUnderALowLimit);
    CPPUNIT_TEST(retryAfterIsBounded);
    CPPUNIT_TEST(rateForgetsOldEvents);
    CPPUNIT_TEST(workKeepsToItsShare);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A process that was stopped for two seconds is not overloaded.
    void singleStallRejectsNothing()
    {
        measured_loop loop;
        loop.lagFor(2ms, 1s);
        loop.now += 2s;
        for (milliseconds lag {2000}; lag > 1500ms; lag -= probeInterval) {
            recordLag(loop.control, lag, loop.now);
        }
        CPPUNIT_ASSERT(!limitSubmission(loop.control, 1, loop.now));
        loop.now += probeInterval;
        loop.lagFor(2ms, 1s);
        CPPUNIT_ASSERT(!loop.control.limiting);
    }

    void shortBurstRejectsNothing()
    {
        measured_loop loop;
        loop.lagFor(2ms, 1s);
        loop.lagFor(lagTarget + 1ms, lagInterval / 2);
        loop.lagFor(2ms, 1s);
        CPPUNIT_ASSERT(!loop.control.limiting);
        loop.lagFor(lagTarget, 10s);
        CPPUNIT_ASSERT(!loop.control.limiting);
    }

    void standingLagLimits()
    {
        measured_loop loop;
        loop.lagFor(2ms, 1s);
        loop.lagFor(lagTarget + 1ms, lagInterval + 2 * probeInterval);
        CPPUNIT_ASSERT(loop.control.limiting);
    }

    void largeLagLimitsSooner()
    {
        measured_loop loop;
        loop.lagFor(2ms, 1s);
        loop.lagFor(lagTarget * 4, lagInterval / 4 + 2 * probeInterval);
        CPPUNIT_ASSERT(loop.control.limiting);
    }

    void nothingIsAdmittedFarBehind()
    {
        measured_loop loop;
        loop.offer(4, 2ms, 2s);
        loop.offer(16, lagTarget * 2, 1s);
        CPPUNIT_ASSERT_EQUAL(0.0, loop.offer(16, lagTarget * 2, 2s));
    }

    /// What the process has carried so far is admitted while its lag is at the target.
    void lagAtItsTargetKeepsTheProcessUsed()
    {
        measured_loop loop;
        const double carried = loop.offer(4, 2ms, 3s);
        loop.offer(4, lagTarget + 1ms, lagInterval + 2 * probeInterval);
        CPPUNIT_ASSERT(loop.control.limiting);
        const double admitted = loop.offer(16, lagTarget, 4s);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(carried, admitted, 0.2 * carried);
    }

    /// With the demand that it had before, nothing is rejected within two seconds after the lag,
    /// and the limit ends.
    void limitEndsWithoutRejections()
    {
        measured_loop loop;
        const double carried = loop.offer(4, 2ms, 3s);
        loop.offer(16, lagTarget * 3, 3s);
        CPPUNIT_ASSERT(loop.control.limiting);
        loop.offer(4, 2ms, 2s);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(carried, loop.offer(4, 2ms, 3s), 0.01 * carried);
        CPPUNIT_ASSERT(!loop.control.limiting);
    }

    /// A process that was behind when nothing was submitted, as after a take-over, admits a quarter
    /// of what is submitted next at once, and all of it after three seconds.
    void limitBegunBeforeTheDemandAdmitsIt()
    {
        measured_loop loop;
        loop.lagFor(lagTarget * 2, 1s);
        CPPUNIT_ASSERT(loop.control.limiting);
        loop.lagFor(2ms, 500ms);
        CPPUNIT_ASSERT(loop.offer(4, 2ms, 1s, 0) >= 40);
        loop.offer(4, 2ms, 2s, 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(400, loop.offer(4, 2ms, 1s, 0), 4);
    }

    void largeJobIsAdmittedUnderALowLimit()
    {
        measured_loop loop;
        loop.offer(1, 2ms, 1s);
        loop.lagFor(lagTarget * 2, 5s);
        CPPUNIT_ASSERT(loop.control.limiting);
        loop.lagFor(2ms, 1s);
        CPPUNIT_ASSERT(!limitSubmission(loop.control, 10'000, loop.now));
        loop.lagFor(2ms, 2s);
        CPPUNIT_ASSERT(!limitSubmission(loop.control, 1, loop.now));
    }

    void retryAfterIsBounded()
    {
        measured_loop loop;
        loop.offer(16, lagTarget * 4, 2s);
        for (int i = 0; i < 10'000; ++i) {
            const auto retryAfter = limitSubmission(loop.control, 100, loop.now);
            CPPUNIT_ASSERT(retryAfter);
            CPPUNIT_ASSERT(*retryAfter >= 1s && *retryAfter <= 8s);
        }
    }

    void rateForgetsOldEvents()
    {
        event_rate rate;
        instant now {1000s};
        for (int i = 0; i < 500; ++i, now += 10ms) {
            addEvents(rate, 2, now);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200, eventsPerSecond(rate, now), 4);
        CPPUNIT_ASSERT(eventsPerSecond(rate, now + 10s) < 1);
    }

    void workKeepsToItsShare()
    {
        struct row
        {
            milliseconds took;
            milliseconds pause;
        };
        const instant begin {1000s};
        for (const auto &each : {row {0ms, 0ms}, row {10ms, 30ms}, row {2000ms, 200ms}}) {
            work_budget budget {0.25, 200ms, {}};
            chargeWork(budget, begin, begin + each.took);
            CPPUNIT_ASSERT_EQUAL((each.took + each.pause).count(),
                                 (budget.notBefore - begin).count());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_control_test);
