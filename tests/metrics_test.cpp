#include <ibishinge/base/metrics.h>
#include <ibishinge/base/processor_time.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

/// Guards against metrics that scrapers cannot parse and against quantiles below the true value.
class metrics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metrics_test);
    CPPUNIT_TEST(textHoldsEverySeries);
    CPPUNIT_TEST(quantileIsAnUpperBound);
    CPPUNIT_TEST(quantileAboveTheHighestBoundIsInfinite);
    CPPUNIT_TEST(processorTimeOfNestedScopesIsCountedOnce);
    CPPUNIT_TEST(bucketsAreThoseOfTheHistograms);
    CPPUNIT_TEST_SUITE_END();

public:
    void textHoldsEverySeries()
    {
        metrics_registry metrics;
        metrics.add("requests_total", {{"team", "a\"b"}}, 2);
        metrics.set("queue_length", {}, 3);
        metrics.observe("request_seconds", {}, 7ms);
        const std::string text = metrics.text();
        CPPUNIT_ASSERT(text.find("requests_total{team=\"a\\\"b\"} 2\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("queue_length 3\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("request_seconds_count 1\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("request_seconds_bucket{le=\"+Inf\"} 1\n") != std::string::npos);
    }

    void quantileIsAnUpperBound()
    {
        metrics_registry metrics;
        for (int i = 1; i <= 100; ++i) {
            metrics.observe("s", {}, std::chrono::milliseconds(i));
        }
        const auto summary = metrics.durations("s", {});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(100), summary.total());
        CPPUNIT_ASSERT(summary.quantileSeconds(0.5) >= 0.050);
        CPPUNIT_ASSERT(summary.quantileSeconds(0.5) < 0.050 * 1.6);
        CPPUNIT_ASSERT(summary.quantileSeconds(0.99) >= 0.099);
    }

    void quantileAboveTheHighestBoundIsInfinite()
    {
        metrics_registry metrics;
        metrics.observe("s", {}, 1ms);
        metrics.observe("s", {}, 2000s);
        CPPUNIT_ASSERT(metrics.durations("s", {}).quantileSeconds(0.5) < 0.01);
        CPPUNIT_ASSERT(std::isinf(metrics.durations("s", {}).quantileSeconds(1)));
        CPPUNIT_ASSERT_EQUAL(0.0, duration_summary {}.quantileSeconds(1));
    }

    void processorTimeOfNestedScopesIsCountedOnce()
    {
        metrics_registry metrics;
        const auto burn = [](std::clock_t ticks) {
            const auto end = std::clock() + ticks;
            while (std::clock() < end) { }
        };
        {
            const processor_time_scope outer(metrics, work_kind::scheduling);
            const processor_time_scope inner(metrics, work_kind::callers);
            burn(CLOCKS_PER_SEC / 50);
        }
        const auto inner = processorTimeUs(metrics, work_kind::callers);
        CPPUNIT_ASSERT(inner > 0);
        CPPUNIT_ASSERT(processorTimeUs(metrics, work_kind::scheduling) < inner / 2);
        for (const auto kind : allWorkKinds) {
            CPPUNIT_ASSERT(!nameOf(kind).empty());
        }
    }

    void bucketsAreThoseOfTheHistograms()
    {
        for (const auto duration : std::vector<std::chrono::nanoseconds> {
                 -1s, 0s, 1ns, 99us, 100us, 101us, 7ms, 1s, 999s, 1000s, 1001s, 100h}) {
            metrics_registry metrics;
            metrics.observe("s", {}, std::max(duration, std::chrono::nanoseconds(0)));
            const auto summary = metrics.durations("s", {});
            CPPUNIT_ASSERT(summary.upperBoundsSeconds == durationBoundsSeconds());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), summary.counts.at(durationBucket(duration)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_test);
