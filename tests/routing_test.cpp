#include <ibishinge/decision/retry_budget.h>
#include <ibishinge/decision/routing.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <deque>
#include <set>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

constexpr monotonic_time start = monotonic_time {} + 1h;

endpoint endpointOf(int number)
{
    return {"10.0.0." + std::to_string(number), 9000};
}

listed_host hostOf(int number, const std::string &dataCentre,
                   listed_host_state state = listed_host_state::live, int slots = 8)
{
    return {"host" + std::to_string(number),
            endpointOf(number).address,
            dataCentre,
            "rack1",
            {{"search", endpointOf(number), slots, 64}},
            state};
}

host_list_snapshot listOf(std::uint64_t version, int count, int slots = 8)
{
    host_list_snapshot list;
    list.version = version;
    for (int i = 1; i <= count; ++i) {
        list.hosts.push_back(hostOf(i, "dc1", listed_host_state::live, slots));
    }
    return list;
}

const target &targetAt(const target_table &table, int number)
{
    for (const auto &[id, t] : table.targets) {
        if (t.where == endpointOf(number)) {
            return t;
        }
    }
    CPPUNIT_FAIL("no target " + std::to_string(number));
    throw std::logic_error("unreachable");
}

/// A target table with a simulated clock, a random engine and helpers for the tests.
struct scenario
{
    target_table table;
    monotonic_time now = start;
    random_engine engine {20261204};
    target_request request {"search", "dc1", 60s, true, std::nullopt};

    explicit scenario(const host_list_snapshot &list)
    {
        updateTargets(table, list, now);
    }

    result<target_reservation> select()
    {
        return selectTarget(table, request, now, engine);
    }

    void complete(const target_reservation &slot, attempt_outcome outcome,
                  std::optional<int> load = std::nullopt, bool leaving = false)
    {
        completeAttempt(table, slot.attempt, {outcome, load, leaving}, now);
    }

    void advance(milliseconds time)
    {
        constexpr milliseconds tick {100};
        for (milliseconds passed {0}; passed < time; passed += tick) {
            now += tick;
            updateTargetHealth(table, now, tick);
        }
    }

    /// Runs `count` requests in sequence and returns the number that each target received, by
    /// address. Requests at the targets `failing` end with `outcome`, all others succeed.
    std::map<std::string, int> runMany(int count, const std::set<int> &failing,
                                       attempt_outcome outcome)
    {
        std::map<std::string, int> received;
        for (int i = 0; i < count; ++i) {
            const auto slot = select();
            CPPUNIT_ASSERT(slot.has_value());
            ++received[slot->where.address];
            bool fails = false;
            for (const int number : failing) {
                fails = fails || slot->where == endpointOf(number);
            }
            complete(*slot, fails ? outcome : attempt_outcome::complete);
            advance(100ms);
        }
        return received;
    }
};

int ejectedCount(const target_table &table)
{
    int ejected = 0;
    for (const auto &[id, t] : table.targets) {
        ejected += t.state == target_state::ejected && t.cause != ejection_cause::announced_leaving
                       ? 1
                       : 0;
    }
    return ejected;
}

} // namespace

/// Guards against targets that receive more requests than they have slots, or that receive requests
/// although they are leaving, were removed or fail.
class routing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(routing_test);
    CPPUNIT_TEST(errorsNameWhatIsMissing);
    CPPUNIT_TEST(nearestDataCentreComesFirst);
    CPPUNIT_TEST(loadedDataCentreIsAvoided);
    CPPUNIT_TEST(reportedLoadDecays);
    CPPUNIT_TEST(lowerListVersionIsIgnored);
    CPPUNIT_TEST(hostAbsentFromTheListIsRemoved);
    CPPUNIT_TEST(leavingTargetReceivesNothing);
    CPPUNIT_TEST(targetThatAnnouncedLeavingReturns);
    CPPUNIT_TEST(timedOutRequestKeepsItsSlot);
    CPPUNIT_TEST(refusedConnectionEjectsAtOnce);
    CPPUNIT_TEST(probesBackOff);
    CPPUNIT_TEST(outlierIsEjected);
    CPPUNIT_TEST(longSuccessDoesNotHideFailure);
    CPPUNIT_TEST(failureOfAllTargetsEjectsNone);
    CPPUNIT_TEST(outlierIsProbedByIdempotentRequestsFirst);
    CPPUNIT_TEST(ejectionCapHoldsWhenTheServiceShrinks);
    CPPUNIT_TEST(quicklyFailingTargetsReceiveFewRequests);
    CPPUNIT_TEST(retriesAreBounded);
    CPPUNIT_TEST(invariantsHoldForRandomEvents);
    CPPUNIT_TEST(failingTargetReceivesSmallShare);
    CPPUNIT_TEST_SUITE_END();

public:
    void errorsNameWhatIsMissing()
    {
        scenario s(listOf(1, 1, 1));
        target_request unknown = s.request;
        unknown.service = "nothing";
        CPPUNIT_ASSERT(selectTarget(s.table, unknown, s.now, s.engine).error().kind
                       == error_kind::unknown_entity);
        CPPUNIT_ASSERT(s.select().has_value());
        CPPUNIT_ASSERT(s.select().error().kind == error_kind::overloaded);
        markLeaving(s.table, endpointOf(1), s.now);
        CPPUNIT_ASSERT(s.select().error().kind == error_kind::not_ready);
    }

    void nearestDataCentreComesFirst()
    {
        scenario s({1, {hostOf(1, "dc1"), hostOf(2, "dc2"), hostOf(3, "dc2")}});
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT(s.select()->where == endpointOf(1));
        }
        // The target in the own data centre is now clearly more loaded than those in the other one,
        // which therefore receive the next requests. No request is refused before all are full.
        std::map<std::string, int> received;
        for (int i = 0; i < 20; ++i) {
            const auto slot = s.select();
            CPPUNIT_ASSERT(slot.has_value());
            ++received[slot->where.address];
        }
        CPPUNIT_ASSERT_EQUAL(4, received["10.0.0.1"]);
        CPPUNIT_ASSERT_EQUAL(16, received["10.0.0.2"] + received["10.0.0.3"]);
        CPPUNIT_ASSERT(s.select().error().kind == error_kind::overloaded);
    }

    /// Guards against ignoring the load of other processes, which is known only from the reports of
    /// the targets.
    void loadedDataCentreIsAvoided()
    {
        struct row
        {
            int load;
            int expected;
        };
        const std::array<row, 4> rows {{{0, 1}, {3, 1}, {4, 2}, {8, 2}}};
        for (const auto &row : rows) {
            scenario s({1, {hostOf(1, "dc1"), hostOf(2, "dc2")}});
            s.complete(*s.select(), attempt_outcome::complete, row.load);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(row.load),
                                   s.select()->where == endpointOf(row.expected));
        }
    }

    void reportedLoadDecays()
    {
        scenario s({1, {hostOf(1, "dc1"), hostOf(2, "dc2")}});
        s.complete(*s.select(), attempt_outcome::complete, 8);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8.0, estimatedLoad(s.table, targetAt(s.table, 1), s.now),
                                     0.01);
        s.advance(3000ms);
        CPPUNIT_ASSERT(targetAt(s.table, 1).reportAge == 3000ms);
        CPPUNIT_ASSERT(s.select()->where == endpointOf(1));
    }

    void lowerListVersionIsIgnored()
    {
        scenario s(listOf(7, 3));
        CPPUNIT_ASSERT(!updateTargets(s.table, listOf(6, 1), s.now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), s.table.targets.size());
        CPPUNIT_ASSERT(updateTargets(s.table, listOf(7, 3), s.now));
    }

    void hostAbsentFromTheListIsRemoved()
    {
        scenario s(listOf(1, 1));
        const auto slot = s.select();
        CPPUNIT_ASSERT(updateTargets(s.table, {2, {}}, s.now));
        CPPUNIT_ASSERT(!s.select().has_value());
        s.complete(*slot, attempt_outcome::complete);
        CPPUNIT_ASSERT(s.table.targets.empty());
        CPPUNIT_ASSERT(s.select().error().kind == error_kind::unknown_entity);
    }

    void leavingTargetReceivesNothing()
    {
        enum class source { list, response, peer };
        for (const auto from : {source::list, source::response, source::peer}) {
            scenario s(listOf(1, 2));
            if (from == source::list) {
                host_list_snapshot list = listOf(2, 2);
                list.hosts[0].state = listed_host_state::leaving;
                updateTargets(s.table, list, s.now);
            } else if (from == source::peer) {
                markLeaving(s.table, endpointOf(1), s.now);
            } else {
                auto slot = s.select();
                while (slot->where != endpointOf(1)) {
                    slot = s.select();
                }
                s.complete(*slot, attempt_outcome::complete, std::nullopt, true);
            }
            // Because of its lag, the host list may still show the target as live in later
            // versions.
            updateTargets(s.table, from == source::list ? host_list_snapshot {1, {}} : listOf(3, 2),
                          s.now);
            for (int i = 0; i < 8; ++i) {
                const auto slot = s.select();
                CPPUNIT_ASSERT(!slot.has_value() || slot->where == endpointOf(2));
            }
        }
    }

    /// Guards against the permanent loss of a target that restarts before the host list shows that
    /// it is leaving.
    void targetThatAnnouncedLeavingReturns()
    {
        scenario s(listOf(1, 1));
        markLeaving(s.table, endpointOf(1), s.now);
        s.advance(59s);
        CPPUNIT_ASSERT(!s.select().has_value());
        s.advance(2s);
        const auto probe = s.select();
        CPPUNIT_ASSERT(probe.has_value() && probe->probe);
        CPPUNIT_ASSERT(!s.select().has_value());
        s.complete(*probe, attempt_outcome::complete);
        CPPUNIT_ASSERT(s.select().has_value());

        markLeaving(s.table, endpointOf(1), s.now);
        host_list_snapshot list = listOf(2, 1);
        list.hosts[0].state = listed_host_state::leaving;
        updateTargets(s.table, list, s.now);
        s.advance(120s);
        CPPUNIT_ASSERT(!s.select().has_value());
        updateTargets(s.table, listOf(3, 1), s.now);
        CPPUNIT_ASSERT(s.select().has_value());
    }

    /// Guards against exceeding the slots of a target that still runs a timed-out request.
    void timedOutRequestKeepsItsSlot()
    {
        scenario s(listOf(1, 1, 1));
        s.request.maxRun = 10s;
        const auto first = s.select();
        s.advance(1s);
        s.complete(*first, attempt_outcome::timeout);
        s.advance(8900ms);
        CPPUNIT_ASSERT(s.select().error().kind == error_kind::overloaded);
        s.advance(200ms);
        const auto second = s.select();
        CPPUNIT_ASSERT(second.has_value());
        CPPUNIT_ASSERT(!completeAttempt(s.table, first->attempt, {}, s.now));

        s.complete(*second, attempt_outcome::timeout);
        CPPUNIT_ASSERT(!s.select().has_value());
        CPPUNIT_ASSERT(completeAttempt(s.table, second->attempt, {}, s.now));
        CPPUNIT_ASSERT(s.select().has_value());
    }

    void refusedConnectionEjectsAtOnce()
    {
        scenario s(listOf(1, 10));
        const auto slot = s.select();
        s.complete(*slot, attempt_outcome::unavailable);
        CPPUNIT_ASSERT_EQUAL(1, ejectedCount(s.table));
        for (int i = 0; i < 72; ++i) {
            CPPUNIT_ASSERT(s.select()->where != slot->where);
        }
        CPPUNIT_ASSERT(s.select().error().kind == error_kind::overloaded);
    }

    void probesBackOff()
    {
        scenario s(listOf(1, 10));
        const auto slot = s.select();
        s.complete(*slot, attempt_outcome::unavailable);
        int probes = 0;
        for (milliseconds passed {0}; passed < 60s; passed += 100ms) {
            s.advance(100ms);
            const auto next = s.select();
            if (next->probe) {
                ++probes;
                CPPUNIT_ASSERT(next->where == slot->where);
            }
            s.complete(*next,
                       next->probe ? attempt_outcome::unavailable : attempt_outcome::complete);
        }
        // Probes are sent after 1, 3, 7, 15 and 31 s; the next one is due after 61 s.
        CPPUNIT_ASSERT_EQUAL(5, probes);
        s.advance(2s);
        const auto probe = s.select();
        CPPUNIT_ASSERT(probe->probe);
        s.complete(*probe, attempt_outcome::complete);
        CPPUNIT_ASSERT_EQUAL(0, ejectedCount(s.table));
    }

    void outlierIsEjected()
    {
        for (const auto outcome : {attempt_outcome::failed, attempt_outcome::error_response,
                                   attempt_outcome::rejected, attempt_outcome::timeout}) {
            scenario s(listOf(1, 10));
            s.request.maxRun = 1s;
            s.runMany(600, {4}, outcome);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(static_cast<int>(outcome)),
                                   targetAt(s.table, 4).cause == ejection_cause::outlier);
            CPPUNIT_ASSERT_EQUAL(1, ejectedCount(s.table));
        }
    }

    /// Guards against failure statistics in which many earlier successes hide a failure that
    /// begins.
    void longSuccessDoesNotHideFailure()
    {
        scenario s(listOf(1, 10));
        for (int i = 0; i < 20000; ++i) {
            s.complete(*s.select(), attempt_outcome::complete);
        }
        s.advance(100ms);
        int failures = 0;
        for (int i = 0; i < 400 && ejectedCount(s.table) == 0; ++i) {
            const auto slot = s.select();
            const bool fails = slot->where == endpointOf(4);
            failures += fails ? 1 : 0;
            s.complete(*slot, fails ? attempt_outcome::failed : attempt_outcome::complete);
            s.advance(100ms);
        }
        CPPUNIT_ASSERT(targetAt(s.table, 4).state == target_state::ejected);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(failures), failures <= 12);
    }

    /// Guards against ejecting targets because of requests that fail at every target.
    void failureOfAllTargetsEjectsNone()
    {
        scenario s(listOf(1, 10));
        s.runMany(300, {1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, attempt_outcome::failed);
        CPPUNIT_ASSERT_EQUAL(0, ejectedCount(s.table));
    }

    /// Guards against probing an outlier with a request that must run at most once: the probe is
    /// likely to fail, and such a request cannot be retried.
    void outlierIsProbedByIdempotentRequestsFirst()
    {
        scenario s(listOf(1, 10));
        s.runMany(200, {4}, attempt_outcome::failed);
        CPPUNIT_ASSERT(targetAt(s.table, 4).state == target_state::ejected);
        s.request.idempotent = false;
        s.advance(targetAt(s.table, 4).probeAt > s.now
                      ? std::chrono::ceil<milliseconds>(targetAt(s.table, 4).probeAt - s.now)
                      : 0ms);
        CPPUNIT_ASSERT(!s.select()->probe);
        s.advance(30s);
        CPPUNIT_ASSERT(s.select()->probe);
        s.request.idempotent = true;
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT(!s.select()->probe); // Only one probe is in flight at a time.
        }
    }

    void ejectionCapHoldsWhenTheServiceShrinks()
    {
        scenario s(listOf(1, 10));
        for (int i = 0; i < 3; ++i) {
            s.complete(*s.select(), attempt_outcome::unavailable);
        }
        CPPUNIT_ASSERT_EQUAL(3, ejectedCount(s.table));
        host_list_snapshot list {2, {}};
        for (const auto &[id, t] : s.table.targets) {
            if (t.state == target_state::ejected || list.hosts.size() < 2) {
                list.hosts.push_back({t.hostId,
                                      t.where.address,
                                      "dc1",
                                      "rack1",
                                      {{"search", t.where, 8, 64}},
                                      listed_host_state::live});
            }
        }
        updateTargets(s.table, list, s.now);
        CPPUNIT_ASSERT(ejectedCount(s.table) * 100
                       <= 30 * static_cast<int>(s.table.targets.size()));
    }

    /// Guards against failing targets that receive most of the requests, because they have nothing
    /// in flight or because the bound on ejected targets keeps them in use.
    void quicklyFailingTargetsReceiveFewRequests()
    {
        struct row
        {
            int targets;
            std::set<int> failing;
            attempt_outcome outcome;
            int most; ///< largest permitted number of the 1000 requests
        };
        const std::array<row, 5> rows {{
            {10, {1}, attempt_outcome::failed, 40},
            {10, {1}, attempt_outcome::unavailable, 40},
            {10, {1, 2, 3, 4}, attempt_outcome::unavailable, 160},
            {3, {1}, attempt_outcome::unavailable, 40},
            {3, {1}, attempt_outcome::failed, 120},
        }};
        for (const auto &row : rows) {
            scenario s(listOf(1, row.targets));
            const auto received = s.runMany(1000, row.failing, row.outcome);
            int wasted = 0;
            for (const int number : row.failing) {
                const auto found = received.find(endpointOf(number).address);
                wasted += found != received.end() ? found->second : 0;
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(row.targets) + " targets, "
                                       + std::to_string(row.failing.size())
                                       + " failing: " + std::to_string(wasted),
                                   wasted <= row.most);
        }
    }

    void retriesAreBounded()
    {
        CPPUNIT_ASSERT(rc::check("retries are at most 10% of first attempts and a burst", [] {
            const auto steps = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
            retry_budget budget;
            int firsts = 0;
            int retries = 0;
            for (const bool first : steps) {
                if (first) {
                    recordFirstAttempt(budget);
                    ++firsts;
                } else if (takeRetry(budget)) {
                    ++retries;
                }
                RC_ASSERT(retries * 10 <= firsts + 50);
            }
        }));
        retry_budget budget;
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            recordFirstAttempt(budget);
            retries += takeRetry(budget) ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries >= 100 && retries <= 105);
    }

    /// Checks for random sequences of all events that no target has more requests than slots, no
    /// leaving target receives a request, ejections stay within their bound, and the count of
    /// requests in flight agrees with the open attempts.
    void invariantsHoldForRandomEvents()
    {
        CPPUNIT_ASSERT(rc::check("routing invariants", [] {
            const int count = *rc::gen::inRange(1, 12);
            const int slots = *rc::gen::inRange(1, 9);
            const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 1000)));
            scenario s(listOf(1, count, slots));
            s.request.maxRun = 2s;
            std::deque<target_reservation> open;
            std::set<std::string> leaving;
            std::uint64_t version = 1;
            for (const auto &[kind, value] : events) {
                if (kind <= 5) {
                    const auto slot = s.select();
                    if (slot) {
                        RC_ASSERT(leaving.count(slot->where.address) == 0U);
                        open.push_back(*slot);
                    }
                } else if (kind <= 8 && !open.empty()) {
                    const auto index = static_cast<std::size_t>(value) % open.size();
                    const auto slot = open[index];
                    const auto outcome = static_cast<attempt_outcome>(value % 6);
                    if (outcome != attempt_outcome::timeout || value % 2 == 0) {
                        open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
                    }
                    const bool leaves = value % 17 == 0;
                    if (leaves
                        && completeAttempt(s.table, slot.attempt, {outcome, value % 12, true},
                                           s.now)) {
                        leaving.insert(slot.where.address);
                    } else if (!leaves) {
                        s.complete(slot, outcome, value % 12);
                    }
                } else if (kind == 9) {
                    s.advance(milliseconds(100 * (value % 20)));
                } else if (kind == 10) {
                    // The new list shows one host as leaving or not at all, or all hosts as live.
                    auto list = listOf(++version, count, slots);
                    auto &host = list.hosts[static_cast<std::size_t>(value % count)];
                    if (value % 3 == 0) {
                        leaving.insert(host.address);
                        host.state = listed_host_state::leaving;
                    } else if (value % 3 == 1) {
                        leaving.insert(host.address);
                        list.hosts.erase(list.hosts.begin() + value % count);
                    }
                    // In this test, hosts that were leaving or removed earlier remain leaving.
                    for (auto &other : list.hosts) {
                        if (leaving.count(other.address) != 0U) {
                            other.state = listed_host_state::leaving;
                        }
                    }
                    updateTargets(s.table, list, s.now);
                }
                std::map<target_id, int> counted;
                for (const auto &[number, attempt] : s.table.attempts) {
                    ++counted[attempt.target];
                }
                int listed = 0;
                for (const auto &[id, t] : s.table.targets) {
                    listed += t.listed ? 1 : 0;
                    RC_ASSERT(t.inFlight == counted[id]);
                    RC_ASSERT(t.inFlight <= t.slots);
                }
                RC_ASSERT(ejectedCount(s.table) * 100 <= 30 * listed);
            }
        }));
    }

    /// Guards against a target that fails each request at once and receives most of the requests,
    /// because it always looks idle while requests at the other targets take time.
    void failingTargetReceivesSmallShare()
    {
        CPPUNIT_ASSERT(rc::check("a target that fails at once receives a small share", [] {
            const int count = *rc::gen::inRange(4, 12);
            const auto outcome =
                *rc::gen::element(attempt_outcome::failed, attempt_outcome::error_response,
                                  attempt_outcome::rejected, attempt_outcome::unavailable);
            scenario s(listOf(1, count));
            s.engine.seed(*rc::gen::arbitrary<std::uint64_t>());
            std::deque<std::pair<monotonic_time, target_reservation>> running;
            int sent = 0;
            int wasted = 0;
            // Each tick of 100 ms brings two requests for each target, which run for 200 ms.
            for (int tick = 0; tick < 100; ++tick) {
                while (!running.empty() && running.front().first <= s.now) {
                    s.complete(running.front().second, attempt_outcome::complete, 0);
                    running.pop_front();
                }
                for (int i = 0; i < 2 * count; ++i) {
                    const auto slot = s.select();
                    RC_ASSERT(slot.has_value());
                    ++sent;
                    if (slot->where == endpointOf(1)) {
                        ++wasted;
                        s.complete(*slot, outcome, 0);
                    } else {
                        running.emplace_back(s.now + 200ms, *slot);
                    }
                }
                s.advance(100ms);
            }
            // An even share would be 1 / `count`; at most a quarter of it is permitted.
            RC_ASSERT(wasted * count * 4 <= sent);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_test);
