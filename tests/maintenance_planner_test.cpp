#include <ibishinge/state/host_record.h>
#include <ibishinge/state/maintenance_planner.h>
#include <ibishinge/state/stops_record.h>

#include "standins/memory_kv_store.h"
#include "tests/support/faulty_store.h"
#include "tests/support/maintenance_world.h"
#include "tests/support/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t stepsOfScenario = 250;
constexpr std::size_t ablationScenarios = 400;

struct true_host
{
    std::int64_t work = 0;
    std::optional<wall_time> healthySince;
    wall_time rebootedFor; ///< `stoppedAt` of the stop it was rebooted for
    bool failsReboot = false;
};

/// Two planners, operators, placement of work, reboots and a host list, in virtual time. After each
/// step every new revision of the store is checked from outside.
class scenario
{
public:
    explicit scenario(const maintenance_safeguards &safeguards)
    {
        m_settings.safeguards = safeguards;
        catalogue config;
        config.pools.push_back(makePool("general", maxUnavailable(4),
                                        {{domain_level::rack, maxUnavailable(2)},
                                         {domain_level::data_centre, maxUnavailable(3)}}));
        config.pools.push_back(makePool("spare", minAvailable(2)));
        config.pools.back().spare = true;
        config.waves.push_back(makeWave("main", 1, 3, {"general", "spare"}));
        m_catalogues.push_back(config);
        m_lists.emplace_back();
        for (const std::string pool : {"general", "spare"}) {
            for (const auto &host : makeHosts(pool == "general" ? 16 : 4, pool, pool)) {
                const host_record record {pool, "", host_state::in_service, host.domains, {}};
                const conditional_write write {"host/" + host.id, 0, {}, encodeHost(record), 0};
                (void)m_store.applyBatch({&write, 1});
                m_lists[0][host.id] = host_condition::live;
                m_ids.push_back(host.id);
                m_truth[host.id] = {};
            }
        }
        for (std::size_t i = 0; i < m_planners.size(); ++i) {
            replace(i);
        }
        check();
    }

    std::set<std::string> violations;
    std::size_t stopsReached = 0;
    std::size_t movesDone = 0;
    std::size_t revoked = 0;

    void act(unsigned kind, unsigned who, unsigned amount)
    {
        auto &p = m_planners[who % m_planners.size()];
        const std::string &host = m_ids[amount % m_ids.size()];
        switch (kind % 32) {
        case 0:
            observeList(p);
            break;
        case 1:
            p.catalogueSeen = m_catalogues.size() - 1;
            break;
        case 2:
        case 3:
            m_clock.advance(std::chrono::seconds(amount % 400));
            reboot();
            break;
        case 4:
            loseRack(amount);
            break;
        case 5:
        case 6:
            recover();
            break;
        case 7:
            setCondition(host, static_cast<host_condition>(amount / 32 % 4));
            break;
        case 8:
            (void)setHostState(m_store, host,
                               amount % 3 == 0 ? host_state::drain : host_state::in_service);
            break;
        case 9:
            editCatalogue(amount);
            break;
        case 10:
            replace(who % m_planners.size());
            break;
        case 11:
            p.store->writeFault = static_cast<faulty_store::fault>(1 + amount % 4);
            break;
        case 12:
            deliverLate();
            break;
        case 13:
            p.moves = {{host, amount / 32 % 2 == 0 ? "general" : "spare"}};
            break;
        case 14:
            m_truth[host].failsReboot = amount % 2 == 0;
            break;
        case 15:
            (void)resumeHaltedWave(m_store, "main", "op" + std::to_string(++m_created));
            break;
        case 16:
        case 17:
            startWork(host);
            break;
        case 18:
        case 19:
            for (auto &[id, truth] : m_truth) {
                truth.work = (amount + id.size()) % 3 == 0 ? truth.work : 0;
            }
            break;
        case 20: // One planner is paused within its tick while the other completes ticks.
            advancePlanner(p);
            for (int i = 0; i < 4; ++i) {
                m_clock.advance(30s);
                observeList(m_planners[(who + 1) % 2]);
                tick(m_planners[(who + 1) % 2]);
            }
            break;
        default:
            advancePlanner(p);
            break;
        }
        check();
    }

    /// Faults end; then every host must be maintained and every stop must have returned.
    [[nodiscard]] bool waveEnds()
    {
        while (!m_late.empty()) {
            deliverLate();
        }
        m_catalogues.push_back(m_catalogues.front());
        for (const auto &id : m_ids) {
            setCondition(id, host_condition::live);
            m_truth[id].failsReboot = false;
            m_truth[id].work = 0;
            (void)setHostState(m_store, id, host_state::in_service);
        }
        (void)resumeHaltedWave(m_store, "main", "op" + std::to_string(++m_created));
        for (int round = 0; round < 400; ++round) {
            m_clock.advance(60s);
            reboot();
            auto &p = m_planners[static_cast<std::size_t>(round) % 2];
            p.store->writeFault = faulty_store::fault::none;
            p.moves.clear();
            p.phase = 0;
            p.catalogueSeen = m_catalogues.size() - 1;
            observeList(p);
            tick(p);
            check();
        }
        bool ended = m_stops.stops.empty();
        for (const auto &[id, record] : m_hosts) {
            ended = ended && record.lastMaintenance.has_value();
        }
        return ended;
    }

private:
    struct planner_process
    {
        std::unique_ptr<faulty_store> store;
        std::unique_ptr<maintenance_planner> planner;
        planner_input input;
        std::vector<proposed_move> moves;
        std::size_t listSeen = 0;
        std::size_t catalogueSeen = 0;
        int phase = 0;
    };

    void replace(std::size_t index)
    {
        auto &p = m_planners.at(index);
        const std::size_t list = p.listSeen;
        const std::size_t config = p.catalogueSeen;
        p = {};
        // A new process may be given an old host list, but its catalogue is not older.
        p.listSeen = list;
        p.catalogueSeen = config;
        p.store = std::make_unique<faulty_store>(m_store, m_late);
        p.store->onlyNextWrite = true;
        planner_options options;
        options.id = "planner-" + std::to_string(++m_created);
        options.settings = m_settings;
        p.planner = maintenance_planner::create(*p.store, options);
    }

    void observeList(planner_process &p)
    {
        p.listSeen = m_lists.size() - 1;
    }

    /// One phase of the tick. The planner may be paused for any time between two phases.
    void advancePlanner(planner_process &p)
    {
        bool succeeded = false;
        switch (p.phase) {
        case 0: {
            p.input = {};
            p.input.config = &m_catalogues[p.catalogueSeen];
            p.input.catalogueVersion = static_cast<std::int64_t>(p.catalogueSeen) + 1;
            p.input.hostListVersion = p.listSeen + 1;
            for (const auto &[id, condition] : m_lists[p.listSeen]) {
                const auto &truth = m_truth[id];
                p.input.hosts[id] = {condition,         truth.healthySince, truth.work,
                                     m_clock.wallNow(), m_clock.wallNow(),  {}};
            }
            succeeded = p.planner->refresh(m_clock.wallNow()).has_value();
            break;
        }
        case 1:
            succeeded = p.planner->writeStops(p.input, p.moves, m_clock.wallNow()).has_value();
            break;
        default:
            (void)p.planner->writeHosts();
            break;
        }
        p.phase = succeeded ? p.phase + 1 : 0;
    }

    void tick(planner_process &p)
    {
        do {
            advancePlanner(p);
        } while (p.phase != 0);
    }

    void setCondition(const std::string &host, host_condition condition)
    {
        if (m_lists.back()[host] != condition) {
            m_lists.push_back(m_lists.back());
            m_lists.back()[host] = condition;
        }
    }

    void loseRack(unsigned amount)
    {
        const std::size_t rack = amount % 4;
        m_lists.push_back(m_lists.back());
        for (std::size_t i = rack * 4; i < rack * 4 + 4; ++i) {
            m_lists.back()[m_ids[i]] = host_condition::lost;
        }
    }

    void recover()
    {
        m_lists.push_back(m_lists.back());
        for (auto &[id, condition] : m_lists.back()) {
            condition = host_condition::live;
        }
    }

    void editCatalogue(unsigned amount)
    {
        auto config = m_catalogues.front();
        config.pools[0].budget = maxUnavailable(amount % 5);
        config.pools[0].domainBudgets[0].budget = maxUnavailable(amount / 5 % 3);
        m_catalogues.push_back(std::move(config));
    }

    void deliverLate()
    {
        if (!m_late.empty()) {
            (void)m_store.applyBatch(m_late.front());
            m_late.pop_front();
        }
    }

    /// Placement starts work only on hosts that accept it by the record.
    void startWork(const std::string &host)
    {
        const auto stop = m_stops.stops.find(host);
        const bool accepts = stop == m_stops.stops.end()
                             || stop->second.state == stop_state::admitted
                             || stop->second.state == stop_state::returned;
        m_truth[host].work += accepts ? 1 : 0;
    }

    /// Hosts reboot 2 minutes after they have stopped.
    void reboot()
    {
        for (const auto &[host, stop] : m_stops.stops) {
            auto &truth = m_truth[host];
            if (stop.reason == stop_reason::maintenance && stop.state == stop_state::stopped
                && !truth.failsReboot && truth.rebootedFor != stop.stoppedAt
                && stop.stoppedAt + 2min <= m_clock.wallNow()) {
                truth.rebootedFor = stop.stoppedAt;
                truth.healthySince = stop.stoppedAt + 2min;
            }
        }
    }

    /// Replays what is new in the store's history.
    void check()
    {
        for (const auto &change : m_store.historyFrom(m_checked + 1).first) {
            m_checked = change.revision;
            if (change.key == stopsKey) {
                auto next = decodeStops(*change.value);
                if (!next) {
                    violations.insert("unreadable record");
                    continue;
                }
                checkStops(*next);
                m_stops = std::move(*next);
            } else {
                checkHost(change.key.substr(hostPrefix.size()), *change.value);
            }
        }
    }

    void checkHost(const std::string &id, const std::string &value)
    {
        const auto next = decodeHost(value);
        if (!next || findPool(m_catalogues.front(), next->pool) == nullptr) {
            violations.insert("host in no pool");
            return;
        }
        const auto known = m_hosts.find(id);
        if (known != m_hosts.end() && known->second.pool != next->pool) {
            ++movesDone;
            const auto stop = m_stops.stops.find(id);
            if (stop == m_stops.stops.end() || stop->second.reason != stop_reason::move
                || stop->second.state != stop_state::stopped || stop->second.toPool != next->pool) {
                violations.insert("move outside the record");
            }
        }
        m_hosts[id] = *next;
    }

    static bool isActive(const planned_stop &stop)
    {
        return stop.state != stop_state::returned;
    }

    /// Counts one budget from scratch. Returns true if it holds.
    [[nodiscard]] bool
    holds(const stops_record &record, const std::string &pool, const availability_budget &budget,
          const std::optional<std::pair<domain_level, std::string>> &domain) const
    {
        const auto &list = m_lists.at(record.hostListVersion - 1);
        std::int64_t total = 0;
        std::int64_t down = 0;
        for (const auto &[id, host] : m_hosts) {
            const auto stop = record.stops.find(id);
            const bool stopped = stop != record.stops.end() && isActive(stop->second);
            const bool moving = stopped && stop->second.reason == stop_reason::move;
            if ((moving ? stop->second.pool : host.pool) != pool
                || (domain && domainAt(host.domains, domain->first) != domain->second)) {
                continue;
            }
            ++total;
            down += stopped || list.at(id) != host_condition::live ? 1 : 0;
        }
        return budget.minAvailable ? total - down >= *budget.minAvailable
                                   : down <= *budget.maxUnavailable;
    }

    [[nodiscard]] bool budgetsHold(const stops_record &record, const std::string &host) const
    {
        const auto &config = m_catalogues.at(static_cast<std::size_t>(record.catalogueVersion - 1));
        const auto &pool = *findPool(config, record.stops.at(host).pool);
        bool all = holds(record, pool.name, pool.budget, std::nullopt);
        for (const auto &domain : pool.domainBudgets) {
            all =
                all
                && holds(record, pool.name, domain.budget,
                         std::pair(domain.level, domainAt(m_hosts.at(host).domains, domain.level)));
        }
        return all;
    }

    void checkStops(const stops_record &next)
    {
        if (next.catalogueVersion < m_stops.catalogueVersion
            || next.hostListVersion < m_stops.hostListVersion) {
            violations.insert("versions go back");
        }
        for (const auto &[host, stop] : m_stops.stops) {
            revoked += stop.state < stop_state::stopped && !next.stops.contains(host) ? 1 : 0;
            if (stop.state == stop_state::stopped && stop.reason == stop_reason::maintenance
                && !next.stops.contains(host)) {
                violations.insert("stopped host forgotten");
            }
        }
        for (const auto &[host, stop] : next.stops) {
            const auto before = m_stops.stops.find(host);
            const bool isNew = before == m_stops.stops.end()
                               || before->second.admittedAt != stop.admittedAt
                               || before->second.planner != stop.planner;
            const bool isStopping = stop.state == stop_state::stopped
                                    && (isNew || before->second.state != stop_state::stopped);
            if ((isNew || isStopping) && !budgetsHold(next, host)) {
                violations.insert(isNew ? "admitted beyond a budget" : "stopped beyond a budget");
            }
            if (stop.state < stop_state::stopped && !budgetsHold(next, host)) {
                violations.insert("pending stop in a broken budget");
            }
            if (isStopping) {
                ++stopsReached;
                if (m_truth.at(host).work > 0) {
                    violations.insert("stopped with running work");
                }
            }
            if (stop.state == stop_state::returned && stop.reason == stop_reason::maintenance
                && m_truth.at(host).rebootedFor != stop.stoppedAt) {
                violations.insert("returned without a reboot");
            }
            if (isNew && stop.reason == stop_reason::maintenance) {
                checkOrder(next, host, stop);
            }
        }
    }

    void checkOrder(const stops_record &next, const std::string &host, const planned_stop &stop)
    {
        const auto wave = m_stops.waves.find(stop.wave);
        if (wave != m_stops.waves.end() && wave->second.halted) {
            violations.insert("halted wave goes on");
        }
        for (const auto &[id, other] : m_stops.stops) {
            // A stop that was revoked and admitted anew by the same write belongs to the new batch.
            const auto still = next.stops.find(id);
            if (id != host && still != next.stops.end() && isActive(still->second)
                && still->second.admittedAt == other.admittedAt
                && other.reason == stop_reason::maintenance && other.wave == stop.wave
                && m_hosts.at(id).domains == m_hosts.at(host).domains) {
                violations.insert("rack not proved healthy");
            }
        }
    }

    maintenance_settings m_settings;
    manual_clock m_clock;
    memory_kv_store m_store {m_clock};
    std::deque<std::vector<conditional_write>> m_late;
    std::deque<catalogue> m_catalogues; ///< by version - 1; planners hold pointers
    std::vector<std::map<std::string, host_condition>> m_lists; ///< by version - 1
    std::vector<std::string> m_ids;
    std::map<std::string, true_host> m_truth;
    std::array<planner_process, 2> m_planners;
    int m_created = 0;
    // As of the last revision checked.
    store_revision m_checked = 0;
    stops_record m_stops;
    std::map<std::string, host_record> m_hosts;
};

struct switch_row
{
    const char *name;
    bool maintenance_safeguards::*field;
    std::set<std::string> violations; ///< of which one must be found
};

} // namespace

class maintenance_planner_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(maintenance_planner_test);
    CPPUNIT_TEST(budgetsHoldInAnyInterleaving);
    CPPUNIT_TEST(scenariosReachWhatTheyTest);
    CPPUNIT_TEST(eachMechanismIsNeeded);
    CPPUNIT_TEST(onlyOneOfTwoPlannersStopsOneOfTheLastTwo);
    CPPUNIT_TEST(lostResponseIsResolvedByReadingBack);
    CPPUNIT_TEST(frozenPlannerIsRefused);
    CPPUNIT_TEST(frozenPlannerDoesNotRepeatAMove);
    CPPUNIT_TEST(ownerGuardRefusesAFormerOwner);
    CPPUNIT_TEST(idleTickCostsOneRead);
    CPPUNIT_TEST(lentHostRemembersItsHome);
    CPPUNIT_TEST(stopsRecordSurvivesCodec);
    CPPUNIT_TEST(hostRecordSurvivesCodec);
    CPPUNIT_TEST(codecsRejectWhatTheyDoNotKnow);
    CPPUNIT_TEST(unreadableRecordStopsThePlanner);
    CPPUNIT_TEST_SUITE_END();

public:
    void budgetsHoldInAnyInterleaving()
    {
        CPPUNIT_ASSERT(rc::check("budgets hold on every revision and every wave ends", [] {
            // Shrinking runs thousands of scenarios and mostly ends in the same length.
            const auto steps =
                *rc::gen::noShrink(rc::gen::container<std::vector<std::array<unsigned, 3>>>(
                    stepsOfScenario,
                    rc::gen::container<std::array<unsigned, 3>>(rc::gen::inRange(0U, 1U << 16U))));
            scenario s({});
            for (const auto &step : steps) {
                s.act(step[0], step[1], step[2]);
            }
            RC_ASSERT(s.violations == std::set<std::string>());
            RC_ASSERT(s.waveEnds());
            RC_ASSERT(s.violations == std::set<std::string>());
        }));
    }

    /// Guards against scenarios in which nothing happens.
    void scenariosReachWhatTheyTest()
    {
        std::size_t stops = 0;
        std::size_t moves = 0;
        std::size_t revoked = 0;
        for (std::size_t seed = 0; seed < 50; ++seed) {
            auto s = run({}, seed);
            CPPUNIT_ASSERT(s->violations.empty());
            stops += s->stopsReached;
            moves += s->movesDone;
            revoked += s->revoked;
        }
        std::cerr << "\n50 scenarios: " << stops << " stops, " << moves << " moves, " << revoked
                  << " revocations\n";
        CPPUNIT_ASSERT(stops > 100 && moves > 10 && revoked > 50);
    }

    void eachMechanismIsNeeded()
    {
        using field = maintenance_safeguards;
        const std::vector<switch_row> rows {
            {"countLosses", &field::countUnplannedLosses, {"admitted beyond a budget"}},
            {"countDomains", &field::countDomains, {"admitted beyond a budget"}},
            {"fenceViews", &field::rejectStaleViews, {"admitted beyond a budget"}},
            {"revokeOnLoss", &field::revokeOnLoss, {"stopped beyond a budget"}},
            {"awaitDrained", &field::waitForDrain, {"stopped with running work"}},
            {"awaitHealthy", &field::waitForHealthyRack, {"rack not proved healthy"}},
            {"haltWaves", &field::haltWaves, {"halted wave goes on"}},
            {"moveThroughRecord", &field::recordMovesAsStops, {"move outside the record"}},
            {"conditionalWrites", &field::conditionalWrites, {"admitted beyond a budget"}},
            {"readBack", &field::resolveUnknownWrites, {"move outside the record"}},
        };
        for (const auto &row : rows) {
            maintenance_safeguards off;
            off.*row.field = false;
            std::size_t seed = 0;
            bool isFound = false;
            while (!isFound && seed < ablationScenarios) {
                const auto s = run(off, seed++);
                for (const auto &violation : row.violations) {
                    isFound = isFound || s->violations.contains(violation);
                }
            }
            std::cerr << "\nwithout " << row.name << ": "
                      << (isFound ? "violation in scenario " + std::to_string(seed) : "none");
            CPPUNIT_ASSERT_MESSAGE(row.name, isFound);
        }
        std::cerr << '\n';
    }

    void onlyOneOfTwoPlannersStopsOneOfTheLastTwo()
    {
        addHosts(2);
        m_config.pools.push_back(makePool("general", minAvailable(1)));
        auto a = planner("a");
        auto b = planner("b");
        CPPUNIT_ASSERT(a->refresh(now()) && b->refresh(now()));
        CPPUNIT_ASSERT(a->writeStops(input(), {}, now()));
        const auto refused = b->writeStops(input(), {}, now());
        CPPUNIT_ASSERT(!refused && refused.error().kind == error_kind::conflict);
        CPPUNIT_ASSERT(b->tick(input(), {}, now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), b->record().stops.size());
    }

    void lostResponseIsResolvedByReadingBack()
    {
        addHosts(4);
        m_config.pools.push_back(makePool("general", maxUnavailable(1)));
        auto a = planner("a");
        m_store.setFaultHook([](std::string_view operation) {
            return operation == "applyBatch" ? store_fault::lost_response : store_fault::none;
        });
        CPPUNIT_ASSERT(a->tick(input(), {}, now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), a->record().stops.size());
        m_store.setFaultHook([](std::string_view operation) {
            return operation == "applyBatch" ? store_fault::lost_call : store_fault::none;
        });
        const auto lost = a->tick(input(), {}, now());
        CPPUNIT_ASSERT(!lost && lost.error().kind == error_kind::outcome_unknown);
        CPPUNIT_ASSERT(a->record().stops.begin()->second.state == stop_state::admitted);
        m_store.setFaultHook({});
        CPPUNIT_ASSERT(a->tick(input(), {}, now()));
        CPPUNIT_ASSERT(a->record().stops.begin()->second.state == stop_state::draining);
    }

    void frozenPlannerIsRefused()
    {
        addHosts(4);
        m_config.pools.push_back(makePool("general", maxUnavailable(1)));
        auto frozen = planner("frozen");
        CPPUNIT_ASSERT(frozen->refresh(now()));
        auto other = planner("other");
        for (int i = 0; i < 3; ++i) {
            m_clock.advance(1s);
            CPPUNIT_ASSERT(other->tick(input(), {}, now()));
        }
        const auto refused = frozen->writeStops(input(), {}, now());
        CPPUNIT_ASSERT(!refused && refused.error().kind == error_kind::conflict);
        // It also does not act on what it had read.
        CPPUNIT_ASSERT(!frozen->writeHosts());
        CPPUNIT_ASSERT(!frozen->writeStops(input(), {}, now()));
    }

    void frozenPlannerDoesNotRepeatAMove()
    {
        addHosts(4);
        m_config.pools.push_back(makePool("general", maxUnavailable(2)));
        m_config.pools.push_back(makePool("other", maxUnavailable(2)));
        m_isMaintained = true;
        auto a = planner("a");
        auto frozen = planner("frozen");
        const auto runUntilStopped = [&](const std::string &to) {
            for (int i = 0; i < 2; ++i) {
                m_clock.advance(1s);
                CPPUNIT_ASSERT(a->tick(input(), {{"h0", to}}, now()));
            }
            m_clock.advance(1s);
            CPPUNIT_ASSERT(a->refresh(now()) && a->writeStops(input(), {}, now()));
        };
        runUntilStopped("other");
        CPPUNIT_ASSERT(frozen->refresh(now())); // Sees the move stopped and is paused.
        CPPUNIT_ASSERT(a->writeHosts());
        m_clock.advance(1s);
        CPPUNIT_ASSERT(a->tick(input(), {}, now()));
        runUntilStopped("general");
        CPPUNIT_ASSERT(a->writeHosts());
        CPPUNIT_ASSERT_EQUAL(std::string("general"), poolOf("h0"));
        const auto refused = frozen->writeHosts();
        CPPUNIT_ASSERT(!refused && refused.error().kind == error_kind::conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("general"), poolOf("h0"));
    }

    void ownerGuardRefusesAFormerOwner()
    {
        addHosts(2);
        m_config.pools.push_back(makePool("general", maxUnavailable(2)));
        m_config.pools.push_back(makePool("other", maxUnavailable(2)));
        m_isMaintained = true;
        planner_options options;
        options.id = "a";
        options.ownerGuard = [](const std::string &pool) {
            return write_guard {"owner/" + pool, 1'000'000};
        };
        auto a = maintenance_planner::create(m_store, options);
        for (int i = 0; i < 2; ++i) {
            m_clock.advance(1s);
            CPPUNIT_ASSERT(a->tick(input(), {{"h0", "other"}}, now()));
        }
        m_clock.advance(1s);
        CPPUNIT_ASSERT(!a->tick(input(), {}, now()));
        CPPUNIT_ASSERT_EQUAL(std::string("general"), poolOf("h0"));
    }

    void idleTickCostsOneRead()
    {
        addHosts(4);
        m_config.pools.push_back(makePool("general", maxUnavailable(0)));
        auto a = planner("a");
        CPPUNIT_ASSERT(a->tick(input(), {}, now()));
        const auto reads = m_store.readCalls();
        const auto writes = m_store.writeCalls();
        CPPUNIT_ASSERT(a->tick(input(), {}, now()));
        CPPUNIT_ASSERT_EQUAL(reads + 1, m_store.readCalls());
        CPPUNIT_ASSERT_EQUAL(writes, m_store.writeCalls());
        m_clock.advance(60s);
        CPPUNIT_ASSERT(a->tick(input(), {}, now()));
        CPPUNIT_ASSERT_EQUAL(reads + 3, m_store.readCalls());
    }

    void lentHostRemembersItsHome()
    {
        addHosts(2);
        m_config.pools.push_back(makePool("general", maxUnavailable(2)));
        m_config.pools.push_back(makePool("other", maxUnavailable(2)));
        m_isMaintained = true;
        auto a = planner("a");
        for (const std::string to : {"other", "general"}) {
            for (int i = 0; i < 5; ++i) {
                m_clock.advance(1s);
                CPPUNIT_ASSERT(a->tick(input(),
                                       i == 0 ? std::vector<proposed_move> {{"h0", to}}
                                              : std::vector<proposed_move> {},
                                       now()));
            }
            CPPUNIT_ASSERT_EQUAL(to, poolOf("h0"));
            CPPUNIT_ASSERT_EQUAL(std::string(to == "other" ? "general" : ""), host("h0").homePool);
            CPPUNIT_ASSERT(a->record().stops.empty());
            CPPUNIT_ASSERT(a->record().poolChanges.at(to).grew);
        }
    }

    void stopsRecordSurvivesCodec()
    {
        CPPUNIT_ASSERT(rc::check("decode(encode(record)) == record", [] {
            const auto time = [] {
                return wall_time {} + milliseconds(*rc::gen::inRange<std::int64_t>(0, 1LL << 43U));
            };
            stops_record record;
            record.catalogueVersion = *rc::gen::inRange<std::int64_t>(0, INT64_MAX);
            record.hostListVersion = *rc::gen::inRange<std::uint64_t>(0, INT64_MAX);
            record.writer = "writer";
            record.writeNumber = *rc::gen::inRange<std::int64_t>(0, INT64_MAX);
            record.hostChanges = *rc::gen::inRange<std::int64_t>(0, INT64_MAX);
            for (int i = *rc::gen::inRange(0, 8); i > 0; --i) {
                auto &stop = record.stops["h" + std::to_string(i)];
                stop.pool = "general";
                stop.planner = "p";
                stop.reason = static_cast<stop_reason>(*rc::gen::inRange(0, 3));
                stop.state = static_cast<stop_state>(*rc::gen::inRange(0, 4));
                stop.toPool = stop.reason == stop_reason::move ? "spare" : "";
                stop.wave = stop.reason == stop_reason::maintenance ? "main" : "";
                stop.failed = *rc::gen::arbitrary<bool>();
                stop.admittedAt = time();
                stop.drainingAt = time();
                stop.stoppedAt = time();
                stop.returnedAt = time();
            }
            record.waves["main"] = {*rc::gen::inRange(0, 99), *rc::gen::inRange(0, 99),
                                    *rc::gen::arbitrary<bool>()};
            record.poolChanges["general"] = {*rc::gen::arbitrary<bool>(), time()};
            RC_ASSERT(*decodeStops(encodeStops(record)) == record);
        }));
    }

    void hostRecordSurvivesCodec()
    {
        host_record record {"general", "", host_state::in_service, {"r", "d", "g"}, {}};
        CPPUNIT_ASSERT(*decodeHost(encodeHost(record)) == record);
        record.homePool = "spare";
        record.state = host_state::drain;
        record.lastMaintenance = simulationStart;
        CPPUNIT_ASSERT(*decodeHost(encodeHost(record)) == record);
    }

    void codecsRejectWhatTheyDoNotKnow()
    {
        const std::string host =
            R"({"pool":"p","state":"in_service","rack":"r","data_centre":"d","region":"g")";
        const std::vector<std::pair<std::string, std::string>> hosts {
            {"", "/"},
            {"[]", "/"},
            {host + R"(,"x":1})", "/x"},
            {host + R"(,"pool":"q"})", "/pool"},
            {host + R"(,"home_pool":""})", "/home_pool"},
            {host + R"(,"last_maintenance_ms":-1})", "/last_maintenance_ms"},
            {R"({"pool":"p","state":"gone","rack":"r","data_centre":"d","region":"g"})", "/state"},
            {R"({"pool":"p","state":"drain","rack":"r","data_centre":"d"})", "/region"},
        };
        for (const auto &[text, place] : hosts) {
            const auto decoded = decodeHost(text);
            CPPUNIT_ASSERT_MESSAGE(text, !decoded.has_value());
            CPPUNIT_ASSERT_EQUAL(place, decoded.error().place);
        }
        const std::string head = R"({"catalogue_version":1,"host_list_version":1,"writer":"w",)"
                                 R"("write_number":1,"host_changes":0,"pool_changes":{},"waves":)";
        const std::string stop = head + R"({},"stops":{"h":{"pool":"p","planner":"a",)";
        const std::string times =
            R"("admitted_ms":0,"draining_ms":0,"stopped_ms":0,"returned_ms":0)";
        const std::vector<std::pair<std::string, std::string>> stops {
            {"{", "/"},
            {head + R"({},"stops":[]})", "/stops"},
            {head + R"({}})", "/stops"},
            {head + R"({"w":{"returned":0,"failed":0}},"stops":{}})", "/waves/w/halted"},
            {stop + R"("reason":"other","state":"admitted",)" + times + "}}}", "/stops/h/reason"},
            {stop + R"("reason":"drain","state":"gone",)" + times + "}}}", "/stops/h/state"},
            {stop + R"("reason":"move","state":"admitted",)" + times + "}}}", "/stops/h/to_pool"},
            {stop + R"("reason":"drain","state":"admitted","y":1,)" + times + "}}}", "/stops/h/y"},
            {stop + R"("reason":"drain","state":"admitted"}}})", "/stops/h/admitted_ms"},
            {head + R"({},"stops":{"a b":{}}})", "/stops/a b"},
        };
        for (const auto &[text, place] : stops) {
            const auto decoded = decodeStops(text);
            CPPUNIT_ASSERT_MESSAGE(text, !decoded.has_value());
            CPPUNIT_ASSERT_EQUAL(place, decoded.error().place);
        }
    }

    /// Guards against planning without what another version has written.
    void unreadableRecordStopsThePlanner()
    {
        addHosts(2);
        m_config.pools.push_back(makePool("general", maxUnavailable(1)));
        const conditional_write write {std::string(stopsKey), 0, {}, "{}", 0};
        CPPUNIT_ASSERT(m_store.applyBatch({&write, 1}));
        auto a = planner("a");
        const auto refused = a->tick(input(), {}, now());
        CPPUNIT_ASSERT(!refused && refused.error().kind == error_kind::invalid_request);
        CPPUNIT_ASSERT(!a->writeStops(input(), {}, now()));
    }

private:
    static std::unique_ptr<scenario> run(const maintenance_safeguards &safeguards, std::size_t seed)
    {
        std::mt19937 random(static_cast<unsigned>(20261204 + seed));
        auto s = std::make_unique<scenario>(safeguards);
        for (std::size_t i = 0; i < stepsOfScenario; ++i) {
            const auto kind = static_cast<unsigned>(random());
            const auto who = static_cast<unsigned>(random()) >> 8U;
            s->act(kind, who, static_cast<unsigned>(random()) >> 8U);
        }
        return s;
    }

    void addHosts(std::size_t count)
    {
        for (const auto &view : makeHosts(count, "general")) {
            const host_record record {"general", "", host_state::in_service, view.domains, {}};
            const conditional_write write {"host/" + view.id, 0, {}, encodeHost(record), 0};
            CPPUNIT_ASSERT(m_store.applyBatch({&write, 1}));
            m_observed[view.id].condition = host_condition::live;
        }
    }
    [[nodiscard]] planner_input input()
    {
        planner_input in {&m_config, 1, 1, m_observed, {}};
        for (auto &[id, observed] : in.hosts) {
            observed.workReportedAt = now();
        }
        // Hosts of pools whose interval has just begun are not due.
        for (auto &pool : m_config.pools) {
            pool.maintenanceInterval = 504h;
        }
        if (m_isMaintained) {
            markMaintained();
        }
        return in;
    }
    void markMaintained()
    {
        for (const auto &[id, observed] : m_observed) {
            auto record = host(id);
            if (!record.lastMaintenance) {
                record.lastMaintenance = now();
                const conditional_write write {"host/" + id, {}, {}, encodeHost(record), 0};
                CPPUNIT_ASSERT(m_store.applyBatch({&write, 1}));
            }
        }
    }
    [[nodiscard]] host_record host(const std::string &id)
    {
        return *decodeHost(m_store.range({"host/" + id})->entries.front().value);
    }
    [[nodiscard]] std::string poolOf(const std::string &id)
    {
        return host(id).pool;
    }
    [[nodiscard]] std::unique_ptr<maintenance_planner> planner(const std::string &id)
    {
        planner_options options;
        options.id = id;
        return maintenance_planner::create(m_store, options);
    }
    [[nodiscard]] wall_time now() const
    {
        return m_clock.wallNow();
    }

    manual_clock m_clock;
    memory_kv_store m_store {m_clock};
    catalogue m_config;
    std::map<std::string, host_observation> m_observed;
    bool m_isMaintained = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(maintenance_planner_test);
