#include <ibishinge/decision/burn.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <tuple>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds start = 500000h; ///< a multiple of all interval lengths
constexpr double tolerance = 1e-9;

/// Records one request for each second, of which every `badEvery`th fails (0: none).
void recordSeconds(request_history_recorder &recorder, std::chrono::seconds from,
                   std::chrono::seconds until, int badEvery)
{
    int number = 0;
    for (auto t = from; t < until; t += 1s) {
        const bool bad = badEvery > 0 && ++number % badEvery == 0;
        recorder.record("search", t, bad ? request_outcome::failed : request_outcome::good, 5ms);
    }
}

windowed_counts windowsWithRates(const std::vector<double> &rates, double availability)
{
    constexpr std::uint64_t total = 1000000;
    windowed_counts windows;
    for (std::size_t i = 0; i < windows.size(); ++i) {
        windows[i].failed = static_cast<std::uint64_t>(
            std::llround(rates[i] * (1 - availability) * static_cast<double>(total)));
        windows[i].good = total - windows[i].failed;
    }
    return windows;
}

} // namespace

/// Guards against a burn rate that differs from the one computed from the requests, requests
/// counted twice or in the wrong window, and faults of callers that use up the error budget of a
/// service.
class burn_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(burn_test);
    CPPUNIT_TEST(responsesAreClassifiedByStatusAndDuration);
    CPPUNIT_TEST(burnRateIsBadShareOverAllowedShare);
    CPPUNIT_TEST(eachWindowCountsItsOwnSpan);
    CPPUNIT_TEST(intervalsLeaveWindowsAndAreReused);
    CPPUNIT_TEST(backwardClockLosesNoRequest);
    CPPUNIT_TEST(mergedHistoriesEqualOneProcess);
    CPPUNIT_TEST(quantilesComeFromAllProcesses);
    CPPUNIT_TEST(stateFollowsBurnRates);
    CPPUNIT_TEST_SUITE_END();

public:
    void responsesAreClassifiedByStatusAndDuration()
    {
        struct row
        {
            int status;
            bool ran;
            std::chrono::nanoseconds duration;
            request_outcome outcome;
        };
        const std::vector<row> rows {
            {200, true, 100ms, request_outcome::good},
            {200, true, 101ms, request_outcome::slow},
            {404, true, 1ms, request_outcome::good},
            {404, true, 1s, request_outcome::slow},
            {500, true, 1ms, request_outcome::failed},
            {400, false, 1ms, request_outcome::ignored},
            {401, false, 1s, request_outcome::ignored},
            {409, false, 1ms, request_outcome::ignored},
            {429, false, 1ms, request_outcome::ignored},
            {502, false, 1ms, request_outcome::failed},
            {503, false, 1ms, request_outcome::failed},
            {504, false, 1s, request_outcome::failed},
        };
        for (const auto &row : rows) {
            CPPUNIT_ASSERT(row.outcome
                           == classifyRequest(row.status, row.ran, row.duration, 100ms));
        }
    }

    void burnRateIsBadShareOverAllowedShare()
    {
        struct row
        {
            request_counts counts;
            double availability;
            double rate;
        };
        const std::vector<row> rows {
            {{0, 0, 0, {}}, 0.999, 0},        {{1000, 0, 0, {}}, 0.999, 0},
            {{999, 0, 1, {}}, 0.999, 1},      {{999, 1, 0, {}}, 0.999, 1},
            {{998, 1, 1, {}}, 0.999, 2},      {{0, 0, 10, {}}, 0.99, 100},
            {{856, 44, 100, {}}, 0.99, 14.4}, {{995, 5, 0, {}}, 0.99, 0.5},
        };
        for (const auto &row : rows) {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(row.rate, burnRate(row.counts, row.availability),
                                         tolerance * 100);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(
                1 - row.rate, remainingErrorBudget(row.counts, row.availability), tolerance * 100);
        }
    }

    void eachWindowCountsItsOwnSpan()
    {
        // Three days with one request each second. 1 in 10 is bad in the last hour, 1 in 2 in the
        // last 5 minutes, and none before.
        request_history_recorder recorder;
        const auto end = start + 72h;
        recordSeconds(recorder, start, end - 1h, 0);
        recordSeconds(recorder, end - 1h, end - 5min, 10);
        recordSeconds(recorder, end - 5min, end, 2);
        const auto found = recorder.history(end - 1s).at("search");
        const std::vector<std::uint64_t> totals {300, 3600, 21600, 259200};
        const std::vector<std::uint64_t> bad {150, 480, 480, 480};
        for (std::size_t i = 0; i < burnWindows.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(totals[i], found.windows[i].total());
            CPPUNIT_ASSERT_EQUAL(bad[i], found.windows[i].bad());
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, burnRate(found.windows[0], 0.99), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(480.0 / 36, burnRate(found.windows[1], 0.99), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(480.0 / 216, burnRate(found.windows[2], 0.99), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(480.0 / 2592, burnRate(found.windows[3], 0.99), 1e-6);
        CPPUNIT_ASSERT_EQUAL(std::size_t(432), found.points.size());
        CPPUNIT_ASSERT(found.points.front().start == start);
        CPPUNIT_ASSERT(found.points.back().start == end - 10min);
    }

    void intervalsLeaveWindowsAndAreReused()
    {
        request_history_recorder recorder;
        recorder.record("search", start, request_outcome::failed, 5ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             recorder.history(start).at("search").windows[0].bad());
        struct row
        {
            std::chrono::seconds later;
            std::vector<std::uint64_t> bad;
        };
        for (const auto &[later, bad] : std::vector<row> {{4min + 59s, {1, 1, 1, 1}},
                                                          {5min, {0, 1, 1, 1}},
                                                          {59min + 59s, {0, 1, 1, 1}},
                                                          {1h, {0, 0, 1, 1}},
                                                          {6h, {0, 0, 0, 1}},
                                                          {72h - 1s, {0, 0, 0, 1}}}) {
            const auto found = recorder.history(start + later).at("search");
            for (std::size_t i = 0; i < bad.size(); ++i) {
                CPPUNIT_ASSERT_EQUAL(bad[i], found.windows[i].bad());
            }
        }
        CPPUNIT_ASSERT(recorder.history(start + 72h).empty());
        // The same slots of the ring buffers, one cycle later.
        recorder.record("search", start + 72h, request_outcome::good, 5ms);
        const auto found = recorder.history(start + 72h).at("search");
        for (const auto &counts : found.windows) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), counts.bad());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counts.total());
        }
    }

    void backwardClockLosesNoRequest()
    {
        request_history_recorder recorder;
        recorder.record("search", start + 1h, request_outcome::good, 5ms);
        recorder.record("search", start, request_outcome::failed, 5ms);
        const auto found = recorder.history(start).at("search");
        for (const auto &counts : found.windows) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), counts.total());
        }
    }

    void mergedHistoriesEqualOneProcess()
    {
        const bool holds = rc::check("requests spread over processes have the burn of one", [] {
            const auto requests = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
                rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 72 * 3600),
                               rc::gen::inRange(0, 4), rc::gen::inRange(0, 5000)));
            std::vector<request_history_recorder> processes(3);
            request_history_recorder one;
            auto sorted = requests;
            std::sort(sorted.begin(), sorted.end(),
                      [](const auto &a, const auto &b) { return std::get<1>(a) < std::get<1>(b); });
            for (const auto &[process, at, outcome, ms] : sorted) {
                const auto time = start + std::chrono::seconds(at);
                const auto requestOutcome = static_cast<request_outcome>(outcome);
                processes[static_cast<std::size_t>(process)].record("search", time, requestOutcome,
                                                                    std::chrono::milliseconds(ms));
                one.record("search", time, requestOutcome, std::chrono::milliseconds(ms));
            }
            const auto end = start + 72h - 1s;
            std::map<std::string, service_history> merged;
            for (const auto &process : processes) {
                for (const auto &[name, history] : process.history(end)) {
                    merge(merged[name], history);
                }
            }
            const auto whole = one.history(end);
            RC_ASSERT(whole.size() == merged.size());
            for (const auto &[name, history] : whole) {
                RC_ASSERT(history.windows == merged[name].windows);
                RC_ASSERT(history.points.size() == merged[name].points.size());
                for (std::size_t i = 0; i < history.points.size(); ++i) {
                    RC_ASSERT(history.points[i].start == merged[name].points[i].start);
                    RC_ASSERT(history.points[i].counts == merged[name].points[i].counts);
                }
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    void quantilesComeFromAllProcesses()
    {
        request_history_recorder fast;
        request_history_recorder slow;
        for (int i = 0; i < 90; ++i) {
            fast.record("search", start, request_outcome::good, 1ms);
        }
        for (int i = 0; i < 10; ++i) {
            slow.record("search", start, request_outcome::slow, 1s);
        }
        auto all = fast.history(start).at("search");
        merge(all, slow.history(start).at("search"));
        CPPUNIT_ASSERT(durationQuantile(all.windows[0], 0.5) >= 0.001);
        CPPUNIT_ASSERT(durationQuantile(all.windows[0], 0.5) < 0.0016);
        CPPUNIT_ASSERT(durationQuantile(all.windows[0], 0.95) >= 1);
        CPPUNIT_ASSERT(durationQuantile(all.windows[0], 0.95) < 1.6);
        CPPUNIT_ASSERT_EQUAL(0.0, durationQuantile({}, 0.5));
    }

    void stateFollowsBurnRates()
    {
        struct row
        {
            std::vector<double> rates;
            burn_state state;
        };
        const std::vector<row> rows {
            {{0, 0, 0, 0}, burn_state::ok},
            {{100, 10, 5, 0.5}, burn_state::ok}, // The burn has only just begun.
            {{15, 15, 3, 0.5}, burn_state::fast_burn},
            {{0, 15, 3, 0.5}, burn_state::ok}, // The burn has ended.
            {{7, 7, 7, 1}, burn_state::fast_burn},
            {{0, 0, 7, 2}, burn_state::slow_burn},
            {{1.5, 1.5, 1.5, 1.5}, burn_state::slow_burn},
            {{0, 0, 0.5, 1.5}, burn_state::ok}, // The burn has ended.
        };
        for (const auto &[rates, state] : rows) {
            CPPUNIT_ASSERT_EQUAL(
                std::string(nameOf(state)),
                std::string(nameOf(classifyBurnRate(windowsWithRates(rates, 0.99), 0.99))));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(burn_test);
