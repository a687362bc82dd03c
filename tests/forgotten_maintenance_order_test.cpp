#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

/// Guards against more hosts in maintenance at once than a wave allows: a coordinator does not know
/// of an order that another one sent.
class forgotten_maintenance_order_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(forgotten_maintenance_order_test);
    CPPUNIT_TEST(orderOfACoordinatorCutOffFromTheStoreCounts);
    CPPUNIT_TEST(orderCarriedOutLateCounts);
    CPPUNIT_TEST(orderIsNotSentBeforeItIsRecorded);
    CPPUNIT_TEST(hostListedAsInMaintenanceCounts);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds longestWave {60000};

    /// A wave over all hosts, one at a time.
    struct world_with_wave
    {
        fleet_world fleet;
        maintenance_wave wave;

        world_with_wave()
        {
            for (const std::string name : {"one", "two", "three"}) {
                fleet.addProcess(name);
            }
            CPPUNIT_ASSERT(fleet.waitForLeader());
            // Requests of all processes, so that the coordinator can offer its place to them.
            for (auto &[name, process] : fleet.processes) {
                fleet.ask(process, caller_operation::count_waiting, "/pool-a/");
            }
            fleet.loop.run(1s);
        }

        void announceWave()
        {
            wave.number = 1;
            wave.deadline = 40s;
            wave.maxConcurrent = 1;
            for (const auto &[name, host] : fleet.world.hosts) {
                wave.hosts.push_back(name);
            }
            fleet.world.waves.push_back(wave);
            fleet.world.putItem("waves/1", "", 0);
        }

        [[nodiscard]] int countDown() const
        {
            const auto &hosts = fleet.world.hosts;
            return static_cast<int>(std::count_if(hosts.begin(), hosts.end(), [](const auto &row) {
                return row.second.state == host_state::maintenance;
            }));
        }

        /// Runs until the wave is completed, with at most one host down at any time.
        void checkUntilCompleted(const std::string &what)
        {
            const auto isCompleted = [&] {
                CPPUNIT_ASSERT_MESSAGE(what, countDown() <= wave.maxConcurrent);
                const auto status = fleet.world.items.find("wave-status/1");
                return status != fleet.world.items.end() && status->second.value == "completed";
            };
            CPPUNIT_ASSERT_MESSAGE(what, fleet.loop.runUntil(isCompleted, longestWave));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, wave.hosts.size(), fleet.world.maintained.size());
        }
    };

    /// Cuts the coordinator off from the store for 4 s, once in each play at another moment of the
    /// wave.
    static void cutLeaderAtAllMoments(milliseconds lateMaintenance)
    {
        constexpr auto cutTime = 4s;
        constexpr auto lastCut = 4s;
        constexpr auto step = 40ms;
        for (auto cutAt = 0ms; cutAt <= lastCut; cutAt += step) {
            world_with_wave play;
            auto &fleet = play.fleet;
            play.announceWave();
            auto &leader = *fleet.leader();
            leader.platform->lateMaintenance = lateMaintenance;
            fleet.loop.run(cutAt);
            leader.platform->storeCut = true;
            fleet.loop.after(cutTime, [&leader] {
                leader.platform->storeCut = false;
                leader.platform->lateMaintenance = 0ms;
            });
            play.checkUntilCompleted("cut after " + std::to_string(cutAt.count()) + " ms");
        }
    }

public:
    void orderOfACoordinatorCutOffFromTheStoreCounts()
    {
        cutLeaderAtAllMoments(0ms);
    }

    /// The platform carries the orders of the former coordinator out while its successor leads.
    void orderCarriedOutLateCounts()
    {
        cutLeaderAtAllMoments(2500ms);
    }

    void orderIsNotSentBeforeItIsRecorded()
    {
        world_with_wave play;
        auto &fleet = play.fleet;
        auto &leader = *fleet.leader();
        leader.platform->refuseCommits = true;
        play.announceWave();
        fleet.loop.run(2s);
        CPPUNIT_ASSERT(leader.node->isReady());
        CPPUNIT_ASSERT(fleet.world.maintained.empty());
        leader.platform->refuseCommits = false;
        play.checkUntilCompleted("after the refused writes");
    }

    /// The order may come from a coordinator of an earlier version, which records none before.
    void hostListedAsInMaintenanceCounts()
    {
        world_with_wave play;
        auto &fleet = play.fleet;
        const auto first = fleet.world.hosts.begin()->first;
        auto &host = fleet.world.hosts.at(first);
        host.state = host_state::maintenance;
        play.announceWave();
        fleet.loop.run(4s);
        CPPUNIT_ASSERT(fleet.world.maintained.empty());
        host.state = host_state::up;
        play.checkUntilCompleted("after the host is up");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forgotten_maintenance_order_test);
