#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

/// Checks that hosts are moved between pools whose demand exceeds their capacity in turns.
class pool_sizing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pool_sizing_test);
    CPPUNIT_TEST(hostsMoveToPoolsInDemand);
    CPPUNIT_TEST(moveDoesNotEndRuns);
    CPPUNIT_TEST(workersOfMovedHostsAreNotPolled);
    CPPUNIT_TEST(noMoveBeforeAllWorkersRegistered);
    CPPUNIT_TEST(assignedHostCountsSurviveRestart);
    CPPUNIT_TEST(movingHostIsNotSelectedForMaintenance);
    CPPUNIT_TEST(hostWithUnreadEndsIsNotMoved);
    CPPUNIT_TEST(hostOfAnIncompatibleKindIsPassedOver);
    CPPUNIT_TEST(poolKeepsHostsWhileSubmissionsAreRejected);
    CPPUNIT_TEST_SUITE_END();

    const instant m_now = instant {} + 100s;

    struct outcome
    {
        int inTime = 0;
        int jobs = 0;
        std::size_t moves = 0;
        int terms = 0;
    };

    /// Replays the load of a deployment with a fixed seed: four turns in which one pool receives 30
    /// jobs a second for 4.5 s, which need 1.3 times its cores, and then almost none.
    static outcome replay(fleet_world &fleet)
    {
        std::mt19937_64 random(20261204);
        fleet.world.behaviourOf = [&random](const task_name &) {
            return virtual_world::behaviour {milliseconds(350 + random() % 600), false};
        };
        auto &process = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.loop.run(8s);
        const auto counted = std::make_shared<outcome>();
        int number = 0;
        for (int turn = 0; turn < 4; ++turn) {
            const std::string pool = turn % 2 == 0 ? "/pool-a/" : "/pool-b/";
            for (int i = 0; i < 135; ++i) {
                const auto at = milliseconds(4500 * turn + 4500 * i / 135);
                fleet.loop.after(at, [&fleet, &process, counted, pool, id = number++] {
                    char text[17];
                    std::snprintf(text, sizeof text, "%016d", id);
                    const auto path = pool + text;
                    caller_request request;
                    request.operation = caller_operation::submit;
                    request.host = "jobs.example";
                    request.path = path;
                    request.key = "key-north";
                    request.callerTimeout = 3000ms;
                    request.spec = simpleJob(6, 1800);
                    ++counted->jobs;
                    process.node->handle(request, [](const caller_answer &) {});
                    // In time: the job is shown as completed within 2.2 s.
                    fleet.loop.after(2200ms, [&process, counted, path] {
                        caller_request show;
                        show.host = "jobs.example";
                        show.path = path;
                        show.key = "key-north";
                        process.node->handle(show, [counted](const caller_answer &answer) {
                            counted->inTime += answer.kind == answer_kind::job_found
                                                       && answer.state == job_state::completed
                                                   ? 1
                                                   : 0;
                        });
                    });
                });
            }
        }
        fleet.loop.run(30s);
        counted->moves = fleet.world.moved.size();
        return *counted;
    }

    static void addHosts(fleet_world &fleet, int spare)
    {
        for (auto &[id, worker] : fleet.world.workers) {
            worker.entry.capacity.cpuMillis = 32000;
            fleet.world.hosts.at(worker.entry.host).capacity.cpuMillis = 32000;
        }
        for (int i = 0; i < spare; ++i) {
            const std::string name = "spare-" + std::to_string(i);
            fleet.world.hosts[name] = {
                name, "spare", host_state::up, {"a", "rack-2"}, {32000, 100000, 0}, ""};
        }
    }

public:
    /// Compares the jobs that end in time with and without moves: moves must gain more than a tenth
    /// of all jobs.
    void hostsMoveToPoolsInDemand()
    {
        fleet_world moving(5);
        addHosts(moving, 4);
        const auto withMoves = replay(moving);
        // Baseline without moves: no spare hosts, all hosts of different kinds, and the platform
        // rejects moves.
        fleet_world fixed(5);
        addHosts(fixed, 0);
        fixed.world.config.pools.erase("spare");
        for (auto &[name, host] : fixed.world.hosts) {
            host.labels = {"kind-" + name, "rack-1"};
        }
        fixed.world.refuseMoves = true;
        const auto without = replay(fixed);
        CPPUNIT_ASSERT_EQUAL(540, withMoves.jobs);
        CPPUNIT_ASSERT(withMoves.moves > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, without.moves);
        CPPUNIT_ASSERT_MESSAGE("in time: " + std::to_string(withMoves.inTime) + " against "
                                   + std::to_string(without.inTime),
                               withMoves.inTime > without.inTime + 540 / 10);
        CPPUNIT_ASSERT(moving.world.violations.empty());
    }

    /// Fault: a coordinator that was cut off from the store rejected all jobs, took their absence
    /// for the end of the pool's peak and moved a third of its hosts away.
    void poolKeepsHostsWhileSubmissionsAreRejected()
    {
        fleet_world fleet(4);
        addHosts(fleet, 0);
        fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {250ms, false};
        };
        auto &only = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.loop.run(8s);
        int number = 0;
        const auto load = [&](milliseconds time) {
            for (const auto end = fleet.loop.now() + time; fleet.loop.now() < end;) {
                char text[17];
                std::snprintf(text, sizeof text, "%016d", ++number);
                fleet.ask(only, caller_operation::submit, std::string("/pool-a/") + text,
                          simpleJob(24));
                fleet.loop.run(60ms);
            }
        };
        load(2s);
        CPPUNIT_ASSERT(fleet.world.moved.empty());
        only.platform->storeCut = true;
        load(2500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.world.moved.size());
        only.platform->storeCut = false;
        load(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.world.moved.size());
        // When jobs can be submitted again, their absence counts as low demand.
        fleet.loop.run(6s);
        CPPUNIT_ASSERT(!fleet.world.moved.empty());
    }

    /// Checks that a host is moved only while its worker has no runs and no ends to report.
    void moveDoesNotEndRuns()
    {
        fleet_world fleet(4);
        addHosts(fleet, 2);
        bool cut = false;
        fleet.world.onTakeDown = [&](const standin::virtual_worker &worker) {
            cut = cut || !worker.running.empty() || !worker.ended.empty();
        };
        replay(fleet);
        CPPUNIT_ASSERT(!fleet.world.moved.empty());
        CPPUNIT_ASSERT(!cut);
    }

    /// Guards against calls to workers that a move has ended, which fail until their leases would
    /// have expired.
    void workersOfMovedHostsAreNotPolled()
    {
        fleet_world fleet(4);
        addHosts(fleet, 2);
        replay(fleet);
        CPPUNIT_ASSERT(!fleet.world.moved.empty());
        CPPUNIT_ASSERT_EQUAL(0, fleet.processes.at("only").platform->pollsOfEndedWorkers);
    }

    /// Fault: while workers were still starting, their pools appeared too small, and the first pool
    /// received all spare hosts.
    void noMoveBeforeAllWorkersRegistered()
    {
        fleet_world fleet(4);
        addHosts(fleet, 4);
        std::vector<std::string> late;
        for (const auto &[id, worker] : fleet.world.workers) {
            if (worker.entry.pool == "pool-b") {
                late.push_back(id);
            }
        }
        for (const auto &id : late) {
            fleet.world.deleteItem("workers/" + id);
            fleet.loop.after(3s, [&fleet, id] { fleet.world.putItem("workers/" + id, id, 0); });
        }
        fleet.addProcess("only");
        fleet.loop.run(10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, fleet.world.moved.size());
    }

    /// Fault seen in a simulated day: hosts that were being moved to a pool at its peak appeared
    /// free, as nothing ran on them, and were selected for maintenance when they arrived.
    void movingHostIsNotSelectedForMaintenance()
    {
        fleet_tables tables;
        wave_progress progress;
        progress.wave.maxConcurrent = 3;
        progress.dueAt = m_now + 60s;
        for (const std::string name : {"idle", "leaving", "ordered"}) {
            tables.hosts[name] = {name, "pool-a", host_state::up, {"a"}, {32000, 1, 0}, ""};
            progress.hosts[name] = {};
        }
        tables.hosts["leaving"].state = host_state::moving;
        const auto chosen = hostsToEvacuate(tables, progress, {}, {"ordered"}, 4500ms, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, chosen.size());
        CPPUNIT_ASSERT_EQUAL(std::string("idle"), chosen.front());
        // This holds close to the deadline too: an order for a host that is being moved is
        // rejected.
        const auto pressed =
            hostsToEvacuate(tables, progress, {}, {"ordered"}, 4500ms, m_now + 59s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, pressed.size());
    }

    /// Guards against a move that takes ends with it which the worker has not listed yet.
    void hostWithUnreadEndsIsNotMoved()
    {
        fleet_tables tables;
        pool_sizing_state state;
        state.baselinesKnown = true;
        state.settled = true;
        state.pools["pool-a"].baselineHosts = 1;
        state.pools["pool-b"].baselineHosts = 4;
        for (const std::string pool : {"pool-a", "pool-b"}) {
            tables.config.pools[pool] = {pool, true, false};
        }
        for (int i = 0; i < 4; ++i) {
            const auto name = std::to_string(i);
            auto &worker = tables.workers[name];
            worker.entry.id = name;
            worker.entry.host = "host-" + name;
            worker.entry.pool = "pool-a";
            worker.verified = true;
            worker.contacted = true;
            worker.onRoster = true;
            worker.endsTruncated = i < 3;
            tables.hosts[worker.entry.host] = {worker.entry.host, "pool-a", host_state::up, {"a"},
                                               {32000, 1, 0},     name};
        }
        const auto moves = planMoves(tables, state, {}, 16, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, moves.size());
        CPPUNIT_ASSERT_EQUAL(std::string("host-3"), moves.front().host);
    }

    /// Guards against a pool that gets no host because the longest idle one of another pool is of a
    /// kind that it cannot take.
    void hostOfAnIncompatibleKindIsPassedOver()
    {
        fleet_tables tables;
        pool_sizing_state state;
        state.baselinesKnown = true;
        state.settled = true;
        state.pools["pool-a"].baselineHosts = 1;
        state.pools["pool-b"].baselineHosts = 4;
        state.incompatible.insert({"special", "pool-b"});
        for (const std::string pool : {"pool-a", "pool-b"}) {
            tables.config.pools[pool] = {pool, true, false};
        }
        for (int i = 0; i < 4; ++i) {
            const auto name = std::to_string(i);
            auto &worker = tables.workers[name];
            worker.entry.id = name;
            worker.entry.host = "host-" + name;
            worker.entry.pool = "pool-a";
            worker.verified = true;
            worker.contacted = true;
            worker.onRoster = true;
            state.idleSince[name] = m_now - 10s + i * 1s;
            auto &host = tables.hosts[worker.entry.host];
            host.name = worker.entry.host;
            host.pool = "pool-a";
            host.labels = {i == 0 ? "special" : "usual"};
            host.capacity = {32000, 1, 0};
            host.worker = name;
        }
        const auto moves = planMoves(tables, state, {}, 16, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, moves.size());
        CPPUNIT_ASSERT_EQUAL(std::string("host-1"), moves.front().host);
    }

    /// Guards against a new coordinator that takes the pool sizes after a move for the assigned
    /// ones.
    void assignedHostCountsSurviveRestart()
    {
        fleet_world fleet(4);
        addHosts(fleet, 2);
        fleet.addProcess("one");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.loop.run(2s);
        const auto before = fleet.world.items.at("fleet/homes").value;
        fleet.world.hosts.begin()->second.pool = "pool-b"; // as after a move
        fleet.kill("one", true);
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.loop.run(2s);
        CPPUNIT_ASSERT_EQUAL(before, fleet.world.items.at("fleet/homes").value);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_sizing_test);
