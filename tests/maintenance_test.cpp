#include <ibishinge/decision/maintenance.h>

#include "tests/support/maintenance_world.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

/// One pool in one wave, with the stops record and the view of a planner.
struct fixture
{
    catalogue config;
    maintenance_view view;
    stops_record record;
    wall_time now = simulationStart;

    fixture(std::size_t hosts, availability_budget budget, std::vector<domain_budget> domains = {},
            std::int64_t concurrency = 100)
    {
        config.pools.push_back(makePool("general", budget, std::move(domains)));
        config.waves.push_back(makeWave("main", 1, concurrency, {"general"}));
        view.hosts = makeHosts(hosts, "general");
        view.catalogueVersion = 1;
        view.hostListVersion = 1;
    }

    std::set<std::string> admit(const std::vector<proposed_move> &moves = {},
                                const maintenance_settings &settings = {})
    {
        view.config = &config;
        const auto next = admitStops(record, view, now, "p1", moves, settings);
        std::set<std::string> added;
        for (const auto &[host, stop] : next.stops) {
            if (!record.stops.contains(host)) {
                added.insert(host);
            }
        }
        record = next;
        return added;
    }
    void step(std::chrono::seconds passed, const maintenance_settings &settings = {})
    {
        view.config = &config;
        now += passed;
        for (auto &host : view.hosts) {
            host.workReportedAt = now;
        }
        record = updateStops(record, view, now, "p1", {}, settings);
    }
    host_view &host(std::size_t index)
    {
        return view.hosts[index];
    }
    planned_stop &addStop(std::size_t index, stop_state state, stop_reason reason)
    {
        auto &stop = record.stops[host(index).id];
        stop.pool = host(index).pool;
        stop.planner = "p2";
        stop.state = state;
        stop.reason = reason;
        stop.admittedAt = now;
        stop.wave = reason == stop_reason::maintenance ? "main" : "";
        return stop;
    }
    wait_explanation explain(std::size_t index, const maintenance_settings &settings = {})
    {
        view.config = &config;
        return explainWait(record, view, host(index).id, now, settings);
    }
};

} // namespace

/// Guards against planned stops that exceed a budget, stop running work or miss a deadline.
class maintenance_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(maintenance_test);
    CPPUNIT_TEST(eachBudgetBoundsTheStops);
    CPPUNIT_TEST(everyConditionButLiveCountsAsUnavailable);
    CPPUNIT_TEST(serviceKeepsItsIdleSlots);
    CPPUNIT_TEST(racksOfDifferentDataCentresAreDistinct);
    CPPUNIT_TEST(stopsOfOtherPlannersCount);
    CPPUNIT_TEST(movingHostCountsInItsOldPool);
    CPPUNIT_TEST(staleViewAdmitsNothing);
    CPPUNIT_TEST(lossRevokesLatestPendingStops);
    CPPUNIT_TEST(lossOfAHostBeforeItStopsRemovesItsStop);
    CPPUNIT_TEST(drainWaitsForAReportMadeAfterItBegan);
    CPPUNIT_TEST(longDrainIsReportedForCheckpoint);
    CPPUNIT_TEST(operatorDrainEndsOnlyOnRequest);
    CPPUNIT_TEST(idleAndSoonestEndingHostsComeFirst);
    CPPUNIT_TEST(oneDataCentreAtATimeWhereBudgetsAllow);
    CPPUNIT_TEST(rackWaitsUntilRebootedHostsAreHealthy);
    CPPUNIT_TEST(waveHaltsWhenAHostFailsAfterReboot);
    CPPUNIT_TEST(fewFailuresAreToleratedAfterManyReturns);
    CPPUNIT_TEST(wavesRunInOrder);
    CPPUNIT_TEST(hostsNearDeadlineDoNotWaitForEarlierWaves);
    CPPUNIT_TEST(pacedWaveRunsNoMoreStopsThanDeadlinesNeed);
    CPPUNIT_TEST(everyHostIsMaintainedOnceInItsInterval);
    CPPUNIT_TEST(explanationNamesTheCause);
    CPPUNIT_TEST(explanationAgreesWithAdmission);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against budgets of a level or kind that the admission ignores.
    void eachBudgetBoundsTheStops()
    {
        struct row
        {
            availability_budget pool;
            std::vector<domain_budget> domains;
            std::size_t admitted;
        };
        // 16 hosts, 4 racks, 2 data centres, 1 region.
        const std::vector<row> rows {
            {maxUnavailable(3), {}, 3},
            {maxUnavailable(0), {}, 0},
            {minAvailable(11), {}, 5},
            {minAvailable(16), {}, 0},
            {minAvailable(17), {}, 0},
            {maxUnavailable(16), {}, 16},
            {maxUnavailable(16), {{domain_level::rack, maxUnavailable(1)}}, 4},
            {maxUnavailable(16), {{domain_level::rack, minAvailable(1)}}, 12},
            {maxUnavailable(16), {{domain_level::data_centre, maxUnavailable(3)}}, 6},
            {maxUnavailable(16), {{domain_level::region, maxUnavailable(2)}}, 2},
            {maxUnavailable(5),
             {{domain_level::rack, maxUnavailable(2)},
              {domain_level::data_centre, minAvailable(7)}},
             2},
        };
        for (std::size_t i = 0; i < rows.size(); ++i) {
            fixture f(16, rows[i].pool, rows[i].domains);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("row " + std::to_string(i), rows[i].admitted,
                                         f.admit().size());
            CPPUNIT_ASSERT(f.admit().empty());
        }
    }

    /// Guards against a planned stop that exceeds a budget because an unavailable host was not
    /// counted.
    void everyConditionButLiveCountsAsUnavailable()
    {
        for (const auto condition :
             {host_condition::leaving, host_condition::lost, host_condition::unknown}) {
            fixture f(16, maxUnavailable(2));
            f.host(15).condition = condition;
            const auto admitted = f.admit();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), admitted.size());
            CPPUNIT_ASSERT(!admitted.contains("h15"));
        }
    }

    void serviceKeepsItsIdleSlots()
    {
        fixture f(8, maxUnavailable(8));
        service_entry service;
        service.name = "search";
        service.minIdleSlots = 10;
        f.config.services.push_back(service);
        for (auto &host : f.view.hosts) {
            host.services.push_back({"search", 8});
        }
        f.view.slotsInUse["search"] = 20;
        // 64 slots, of which 30 must stay.
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), f.admit().size());
        // A service with no minimum of idle slots still keeps one slot.
        fixture last(2, maxUnavailable(2));
        service.minIdleSlots = 0;
        last.config.services.push_back(service);
        for (auto &host : last.view.hosts) {
            host.services.push_back({"search", 8});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), last.admit().size());
    }

    /// Guards against treating racks of equal name in different data centres as one, which would
    /// admit too few or too many stops.
    void racksOfDifferentDataCentresAreDistinct()
    {
        fixture f(16, maxUnavailable(16), {{domain_level::rack, maxUnavailable(1)}});
        for (auto &host : f.view.hosts) {
            host.domains.rack = "r0";
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), f.admit().size());
    }

    void stopsOfOtherPlannersCount()
    {
        for (const auto state : {stop_state::admitted, stop_state::draining, stop_state::stopped}) {
            for (const auto reason :
                 {stop_reason::maintenance, stop_reason::drain, stop_reason::move}) {
                fixture f(16, maxUnavailable(1));
                f.addStop(15, state, reason).toPool =
                    reason == stop_reason::move ? "elsewhere" : "";
                CPPUNIT_ASSERT(f.admit().empty());
            }
        }
        fixture f(16, maxUnavailable(1));
        f.addStop(15, stop_state::returned, stop_reason::maintenance);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.admit().size());
    }

    /// Guards against a moving host that counts in no pool, or in a pool whose planner does not
    /// expect it yet, between the write of its host record and the return of its move.
    void movingHostCountsInItsOldPool()
    {
        fixture f(2, maxUnavailable(1));
        f.config.pools.push_back(makePool("other", maxUnavailable(1)));
        const auto more = makeHosts(2, "other", "o");
        f.view.hosts.insert(f.view.hosts.end(), more.begin(), more.end());
        f.addStop(0, stop_state::stopped, stop_reason::move).toPool = "other";
        for (const std::string pool : {"general", "other"}) {
            f.host(0).pool = pool;
            f.view.config = &f.config;
            const auto budgets = computeBudgets(f.record, f.view);
            for (const auto &account : budgets.accounts) {
                CPPUNIT_ASSERT_EQUAL(std::int64_t(2), account.total);
                CPPUNIT_ASSERT_EQUAL(std::int64_t(account.label == "pool general" ? 1 : 0),
                                     account.unavailable);
            }
        }
    }

    /// Guards against admissions by a planner that has missed a lost host or a tightened budget.
    void staleViewAdmitsNothing()
    {
        fixture f(16, maxUnavailable(4));
        f.record.hostListVersion = 2;
        CPPUNIT_ASSERT(f.admit().empty());
        f.record.hostListVersion = 1;
        f.record.catalogueVersion = 2;
        CPPUNIT_ASSERT(f.admit().empty());
        f.view.catalogueVersion = 2;
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), f.admit().size());
    }

    void lossRevokesLatestPendingStops()
    {
        fixture f(16, maxUnavailable(4));
        const std::vector<stop_state> states {stop_state::stopped, stop_state::draining,
                                              stop_state::draining, stop_state::admitted};
        for (std::size_t i = 0; i < states.size(); ++i) {
            f.addStop(i * 4, states[i], stop_reason::maintenance);
            f.now += 1s;
        }
        f.view.config = &f.config;
        f.host(13).condition = host_condition::lost;
        f.host(14).condition = host_condition::lost;
        const auto two = revokeStops(f.record, f.view);
        CPPUNIT_ASSERT(two.stops.contains("h0") && two.stops.contains("h4"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), two.stops.size());
        for (auto &host : f.view.hosts) {
            host.condition = host.id == "h0" ? host.condition : host_condition::lost;
        }
        const auto all = revokeStops(f.record, f.view);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), all.stops.size());
        CPPUNIT_ASSERT(all.stops.contains("h0"));
    }

    void lossOfAHostBeforeItStopsRemovesItsStop()
    {
        fixture f(16, maxUnavailable(4));
        f.addStop(0, stop_state::draining, stop_reason::maintenance);
        f.host(0).condition = host_condition::lost;
        f.view.config = &f.config;
        CPPUNIT_ASSERT(revokeStops(f.record, f.view).stops.empty());
    }

    /// Guards against stopping a host that started work after its last report.
    void drainWaitsForAReportMadeAfterItBegan()
    {
        fixture f(16, maxUnavailable(4));
        f.addStop(0, stop_state::draining, stop_reason::maintenance).drainingAt = f.now;
        f.view.config = &f.config;
        const auto stateAt = [&](wall_time report, std::int64_t work) {
            f.host(0).workReportedAt = report;
            f.host(0).runningWork = work;
            return advanceStops(f.record, f.view, f.now + 10s).stops.at("h0").state;
        };
        CPPUNIT_ASSERT(stateAt(f.now - 1s, 0) == stop_state::draining);
        CPPUNIT_ASSERT(stateAt(f.now + 1s, 1) == stop_state::draining);
        CPPUNIT_ASSERT(stateAt(f.now + 1s, 0) == stop_state::stopped);
    }

    void longDrainIsReportedForCheckpoint()
    {
        fixture f(16, maxUnavailable(4));
        f.addStop(0, stop_state::draining, stop_reason::maintenance).drainingAt = f.now;
        f.host(0).runningWork = 1;
        f.view.config = &f.config;
        CPPUNIT_ASSERT(hostsToCheckpoint(f.record, f.view, f.now + 239min).empty());
        CPPUNIT_ASSERT(hostsToCheckpoint(f.record, f.view, f.now + 240min)
                       == std::vector<std::string> {"h0"});
    }

    void operatorDrainEndsOnlyOnRequest()
    {
        fixture f(4, maxUnavailable(1));
        for (auto &host : f.view.hosts) {
            host.lastMaintenance = f.now;
        }
        f.host(2).drainRequested = true;
        f.host(3).drainRequested = true;
        for (int i = 0; i < 10; ++i) {
            f.step(10min);
        }
        // The budget allows one stop, so the second drain waits for the first.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.record.stops.size());
        CPPUNIT_ASSERT(f.record.stops.at("h2").state == stop_state::stopped);
        f.host(2).drainRequested = false;
        f.step(1min);
        CPPUNIT_ASSERT(!f.record.stops.contains("h2"));
        CPPUNIT_ASSERT(f.record.stops.contains("h3"));
    }

    void idleAndSoonestEndingHostsComeFirst()
    {
        fixture f(4, maxUnavailable(1));
        const std::vector<std::chrono::minutes> ends {60min, 10min, 30min, 300min};
        for (std::size_t i = 0; i < ends.size(); ++i) {
            f.host(i).runningWork = 1;
            f.host(i).workEndsAt = f.now + ends[i];
        }
        CPPUNIT_ASSERT(f.admit() == std::set<std::string> {"h1"});
        f.record = {};
        f.host(2).runningWork = 0;
        CPPUNIT_ASSERT(f.admit() == std::set<std::string> {"h2"});
        // A host whose work outlasts the drain limit waits, unless its deadline is near.
        f.record = {};
        for (std::size_t i = 0; i < 3; ++i) {
            f.host(i).lastMaintenance = f.now;
        }
        CPPUNIT_ASSERT(f.admit().empty());
        f.host(3).lastMaintenance = f.now - 460h;
        CPPUNIT_ASSERT(f.admit() == std::set<std::string> {"h3"});
    }

    void oneDataCentreAtATimeWhereBudgetsAllow()
    {
        fixture f(16, maxUnavailable(6), {{domain_level::rack, maxUnavailable(2)}});
        CPPUNIT_ASSERT((f.admit() == std::set<std::string> {"h0", "h1", "h4", "h5", "h10", "h11"}));
        fixture g(16, maxUnavailable(4));
        CPPUNIT_ASSERT((g.admit() == std::set<std::string> {"h0", "h1", "h2", "h3"}));
    }

    /// Guards against stopping more hosts of a rack while its rebooted hosts may be broken.
    void rackWaitsUntilRebootedHostsAreHealthy()
    {
        fixture f(8, maxUnavailable(2), {{domain_level::rack, maxUnavailable(2)}}, 1);
        f.step(1s);
        f.step(1s);
        f.step(1s);
        CPPUNIT_ASSERT(f.record.stops.at("h0").state == stop_state::stopped);
        f.config.waves[0].concurrency = 2;
        f.step(1s);
        CPPUNIT_ASSERT(f.record.stops.contains("h4") && !f.record.stops.contains("h1"));
        f.host(0).healthySince = f.now;
        f.step(119s);
        CPPUNIT_ASSERT(f.record.stops.at("h0").state == stop_state::stopped);
        f.step(1s);
        CPPUNIT_ASSERT(f.record.stops.at("h0").state == stop_state::returned);
        CPPUNIT_ASSERT(f.record.stops.contains("h1"));
        f.host(0).lastMaintenance = f.now;
        f.step(1s);
        CPPUNIT_ASSERT(!f.record.stops.contains("h0"));
    }

    /// Guards against a wave that takes down a whole pool because the same fault breaks each host.
    void waveHaltsWhenAHostFailsAfterReboot()
    {
        fixture f(16, maxUnavailable(1));
        for (int i = 0; i < 100; ++i) {
            f.step(1min);
        }
        CPPUNIT_ASSERT(f.record.waves.at("main").halted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.record.stops.size());
        CPPUNIT_ASSERT(f.record.stops.at("h0").failed);
        f.config.pools[0].budget = maxUnavailable(3);
        f.step(1min);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.record.stops.size());
        f.record = resumeWave(f.record, "main");
        f.step(1min);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), f.record.stops.size());
    }

    void fewFailuresAreToleratedAfterManyReturns()
    {
        for (const std::int64_t returned : {19, 20}) {
            fixture f(16, maxUnavailable(1));
            f.step(1s);
            f.step(1s);
            f.step(1s);
            f.record.waves["main"].returned = returned;
            f.step(31min);
            CPPUNIT_ASSERT_EQUAL(returned < 20, f.record.waves.at("main").halted);
        }
    }

    void wavesRunInOrder()
    {
        fixture f(4, maxUnavailable(1));
        f.config.pools.push_back(makePool("late", maxUnavailable(1)));
        f.config.pools.push_back(makePool("equal", maxUnavailable(1)));
        f.config.waves.push_back(makeWave("second", 2, 1, {"late"}));
        f.config.waves.push_back(makeWave("beside", 1, 1, {"equal"}));
        for (const std::string pool : {"late", "equal"}) {
            const auto more = makeHosts(4, pool, pool);
            f.view.hosts.insert(f.view.hosts.end(), more.begin(), more.end());
        }
        CPPUNIT_ASSERT((f.admit() == std::set<std::string> {"h0", "equal0"}));
        for (auto &host : f.view.hosts) {
            if (host.pool != "late") {
                host.lastMaintenance = f.now;
            }
        }
        CPPUNIT_ASSERT(f.admit().empty());
        f.record = {};
        CPPUNIT_ASSERT(f.admit() == std::set<std::string> {"late0"});
    }

    void hostsNearDeadlineDoNotWaitForEarlierWaves()
    {
        fixture f(4, maxUnavailable(0));
        f.config.pools[0].budget = maxUnavailable(1);
        f.host(0).condition = host_condition::lost;
        f.config.pools.push_back(makePool("late", maxUnavailable(1)));
        f.config.waves.push_back(makeWave("second", 2, 1, {"late"}));
        const auto more = makeHosts(1, "late", "late");
        f.view.hosts.insert(f.view.hosts.end(), more.begin(), more.end());
        f.host(4).lastMaintenance = f.now - 450h;
        CPPUNIT_ASSERT(f.admit().empty());
        f.host(4).lastMaintenance = f.now - 456h;
        CPPUNIT_ASSERT(f.admit() == std::set<std::string> {"late0"});
    }

    void pacedWaveRunsNoMoreStopsThanDeadlinesNeed()
    {
        maintenance_settings paced;
        paced.paced = true;
        fixture f(48, maxUnavailable(20));
        for (auto &host : f.view.hosts) {
            host.lastMaintenance = f.now - 400h; // 104 h left
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), f.admit({}, paced).size());
        f.record = {};
        for (auto &host : f.view.hosts) {
            host.lastMaintenance = f.now - 494h; // 48 half hours of work in 10 h
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), f.admit({}, paced).size());
        f.record = {};
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), f.admit().size());
    }

    void everyHostIsMaintainedOnceInItsInterval()
    {
        for (const bool isPaced : {false, true}) {
            maintenance_settings settings;
            settings.paced = isPaced;
            fixture f(50, maxUnavailable(4), {{domain_level::rack, maxUnavailable(1)}}, 4);
            for (std::size_t i = 0; i < 50; ++i) {
                f.host(i).lastMaintenance = f.now - std::chrono::hours(i * 10);
            }
            std::map<std::string, int> count;
            std::chrono::seconds longest {0};
            // Four intervals of 3 weeks, 10 minutes for a reboot.
            for (int minutes = 0; minutes < 4 * 504 * 60; minutes += 5) {
                f.step(5min, settings);
                for (auto &host : f.view.hosts) {
                    const auto stop = f.record.stops.find(host.id);
                    if (stop == f.record.stops.end()) {
                        continue;
                    }
                    if (stop->second.state == stop_state::stopped
                        && stop->second.stoppedAt + 10min <= f.now && host.healthySince < f.now) {
                        host.healthySince = stop->second.stoppedAt + 5min;
                    }
                    if (stop->second.state == stop_state::returned) {
                        longest =
                            std::max(longest, std::chrono::duration_cast<std::chrono::seconds>(
                                                  stop->second.returnedAt - *host.lastMaintenance));
                        host.lastMaintenance = stop->second.returnedAt;
                        ++count[host.id];
                    }
                }
            }
            CPPUNIT_ASSERT(longest <= 504h);
            CPPUNIT_ASSERT_EQUAL(std::size_t(50), count.size());
            for (const auto &[host, times] : count) {
                // 4 intervals contain at least 4 deadlines of a host and, as maintenance may be a
                // third of an interval early, at most 6 rounds.
                CPPUNIT_ASSERT_MESSAGE(host, times >= 3 && times <= 7);
            }
        }
    }

    void explanationNamesTheCause()
    {
        fixture f(16, maxUnavailable(2), {{domain_level::rack, maxUnavailable(1)}}, 3);
        CPPUNIT_ASSERT(f.explain(0).reason == wait_reason::none);
        f.addStop(0, stop_state::draining, stop_reason::maintenance);
        CPPUNIT_ASSERT(f.explain(0).reason == wait_reason::stop_draining);
        CPPUNIT_ASSERT(f.explain(1).reason == wait_reason::domain_not_healthy);
        CPPUNIT_ASSERT_EQUAL(std::string("d0/r0"), f.explain(1).detail);
        f.host(15).condition = host_condition::unknown;
        CPPUNIT_ASSERT(f.explain(15).reason == wait_reason::not_available);
        CPPUNIT_ASSERT(f.explain(4).reason == wait_reason::budget);
        CPPUNIT_ASSERT_EQUAL(std::string("pool general: 2 unavailable, 2 allowed"),
                             f.explain(4).detail);
        f.config.pools[0].budget = maxUnavailable(16);
        CPPUNIT_ASSERT(f.explain(12).reason == wait_reason::budget);
        CPPUNIT_ASSERT_EQUAL(std::string("pool general, rack d1/r3: 1 unavailable, 1 allowed"),
                             f.explain(12).detail);
        f.config.waves[0].concurrency = 1;
        CPPUNIT_ASSERT(f.explain(4).reason == wait_reason::concurrency);
        f.host(4).runningWork = 1;
        f.host(4).workEndsAt = f.now + 5h;
        CPPUNIT_ASSERT(f.explain(4).reason == wait_reason::long_work);
        f.host(4).lastMaintenance = f.now;
        CPPUNIT_ASSERT(f.explain(4).reason == wait_reason::not_due);
        f.record.waves["main"].halted = true;
        CPPUNIT_ASSERT(f.explain(8).reason == wait_reason::wave_halted);
        f.record.hostListVersion = 5;
        CPPUNIT_ASSERT(f.explain(8).reason == wait_reason::stale_view);
        f.record.hostListVersion = 0;
        f.config.pools[0].budget = minAvailable(16);
        CPPUNIT_ASSERT(f.explain(8).reason == wait_reason::budget_never_allows);
        f.record.stops.at("h0").failed = true;
        CPPUNIT_ASSERT(f.explain(0).reason == wait_reason::reboot_failed);
        f.view.hosts.pop_back();
        CPPUNIT_ASSERT(explainWait(f.record, f.view, "h15", f.now).reason
                       == wait_reason::unknown_host);
    }

    /// Guards against an explanation that contradicts the admission: a host without a reason to
    /// wait that is not admitted, or an admitted host with a reason.
    void explanationAgreesWithAdmission()
    {
        CPPUNIT_ASSERT(rc::check("admitted hosts have no reason to wait", [] {
            fixture f(16, maxUnavailable(*rc::gen::inRange(0, 5)),
                      {{domain_level::rack, maxUnavailable(*rc::gen::inRange(1, 3))}},
                      *rc::gen::inRange(1, 5));
            for (auto &host : f.view.hosts) {
                host.condition =
                    static_cast<host_condition>(std::max(0, *rc::gen::inRange(-12, 4)));
                host.runningWork = *rc::gen::inRange(0, 2);
                host.workEndsAt = f.now + std::chrono::minutes(*rc::gen::inRange(0, 400));
                if (*rc::gen::inRange(0, 3) == 0) {
                    host.lastMaintenance = f.now - std::chrono::hours(*rc::gen::inRange(0, 600));
                }
            }
            std::vector<wait_reason> before;
            for (std::size_t i = 0; i < 16; ++i) {
                before.push_back(f.explain(i).reason);
            }
            const auto admitted = f.admit();
            bool anyFree = false;
            for (std::size_t i = 0; i < 16; ++i) {
                anyFree = anyFree || before[i] == wait_reason::none;
                if (admitted.contains(f.host(i).id)) {
                    RC_ASSERT(before[i] == wait_reason::none);
                }
            }
            RC_ASSERT(anyFree == !admitted.empty());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(maintenance_test);
