#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/admission.h>
#include <ibishinge/fleet/evacuation/evacuation.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr auto bound = 5000ms;
const std::string northKey = "evacuations/north";

std::string pathOf(int number)
{
    const auto digits = std::to_string(1000 + number);
    return "/pool-a/" + std::string(16 - digits.size(), '0') + digits;
}

} // namespace

/// Guards against starts in a data centre that the operators have evacuated.
class evacuation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evacuation_test);
    CPPUNIT_TEST(nothingStartsUntilTheRequestIsRemoved);
    CPPUNIT_TEST(requestOutlivesItsCoordinator);
    CPPUNIT_TEST(requestRemovedWithoutCoordinatorIsForgotten);
    CPPUNIT_TEST(unreadableRequestsHoldStartsBack);
    CPPUNIT_TEST(longRunningTaskIsRestartedElsewhere);
    CPPUNIT_TEST(unansweredStartIsNotRepeated);
    CPPUNIT_TEST(spareHostIsNotMovedIntoAPool);
    CPPUNIT_TEST(jobThatOnlyEvacuatedHostsCanRunIsRejected);
    CPPUNIT_TEST(invalidEntryIsRefusedAndOthersHold);
    CPPUNIT_TEST(platformWithoutEvacuationsIsNotAsked);
    CPPUNIT_TEST_SUITE_END();

    /// Half of the workers of each pool are in `north`.
    struct two_data_centres : fleet_world
    {
        explicit two_data_centres(milliseconds evacuationBound = bound)
            : fleet_world(4)
        {
            coordination.evacuationBound = evacuationBound;
            for (auto &[id, worker] : world.workers) {
                worker.entry.dataCentre = id.back() < '2' ? "north" : "south";
                world.hosts.at(worker.entry.host).dataCentre = worker.entry.dataCentre;
            }
        }

        void submitJobs(process &through, int count, int tasks = 8)
        {
            for (int i = 0; i < count; ++i) {
                ask(through, caller_operation::submit, pathOf(m_next++), simpleJob(tasks));
            }
        }

        /// Returns when a run last started in the data centre.
        [[nodiscard]] instant lastStartIn(const std::string &dataCentre) const
        {
            instant last;
            for (const auto &[id, worker] : world.workers) {
                if (worker.entry.dataCentre == dataCentre) {
                    last = std::max(last, worker.lastStartAt);
                }
            }
            return last;
        }

        /// Submits jobs for `duration`, more than half of the workers can run.
        void keepBusy(process &through, milliseconds duration)
        {
            const auto end = loop.now() + duration;
            while (loop.now() < end) {
                submitJobs(through, 1, 16);
                loop.run(150ms);
            }
        }

    private:
        int m_next = 0;
    };

public:
    void nothingStartsUntilTheRequestIsRemoved()
    {
        two_data_centres fleet;
        auto &process = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.keepBusy(process, 2s);
        CPPUNIT_ASSERT(fleet.lastStartIn("north") != instant {});

        fleet.world.putItem(northKey, "{}", 0);
        const auto requestedAt = fleet.loop.now();
        fleet.keepBusy(process, 8s);
        CPPUNIT_ASSERT(fleet.lastStartIn("north") < requestedAt + bound);
        CPPUNIT_ASSERT(fleet.lastStartIn("south") > fleet.loop.now() - 500ms);

        fleet.world.deleteItem(northKey);
        const auto removedAt = fleet.loop.now();
        fleet.keepBusy(process, 3s);
        CPPUNIT_ASSERT(fleet.lastStartIn("north") > removedAt);
        CPPUNIT_ASSERT(fleet.world.violations.empty());
    }

    /// A coordinator that dies takes what it knew with it.
    void requestOutlivesItsCoordinator()
    {
        two_data_centres fleet;
        fleet.addProcess("a");
        fleet.addProcess("b");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.world.putItem(northKey, "{}", 0);
        const auto requestedAt = fleet.loop.now();
        fleet.loop.run(2s);
        const auto former = fleet.leader()->name;
        fleet.kill(former, false);
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.keepBusy(*fleet.leader(), 6s);
        CPPUNIT_ASSERT(fleet.lastStartIn("south") > requestedAt + bound);
        CPPUNIT_ASSERT_EQUAL(instant {}.time_since_epoch().count(),
                             fleet.lastStartIn("north").time_since_epoch().count());
    }

    void requestRemovedWithoutCoordinatorIsForgotten()
    {
        two_data_centres fleet;
        fleet.addProcess("a");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.world.putItem(northKey, "{}", 0);
        fleet.loop.run(2s);
        fleet.kill("a", false);
        fleet.world.deleteItem(northKey);
        auto &next = fleet.addProcess("b");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.keepBusy(next, 3s);
        CPPUNIT_ASSERT(fleet.lastStartIn("north") != instant {});
    }

    /// A coordinator that keeps its leadership but cannot read the requests must not start past the
    /// bound on the ground that it knows of none.
    void unreadableRequestsHoldStartsBack()
    {
        two_data_centres fleet;
        auto &process = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.keepBusy(process, 2s);
        process.platform->unansweredPages.insert("evacuations/");
        fleet.world.putItem(northKey, "{}", 0);
        const auto requestedAt = fleet.loop.now();
        fleet.keepBusy(process, 8s);
        CPPUNIT_ASSERT(fleet.lastStartIn("north") < requestedAt + bound);
        CPPUNIT_ASSERT(fleet.lastStartIn("south") < requestedAt + bound);

        process.platform->unansweredPages.clear();
        const auto readableAt = fleet.loop.now();
        fleet.keepBusy(process, 3s);
        CPPUNIT_ASSERT(fleet.lastStartIn("south") > readableAt);
        CPPUNIT_ASSERT(fleet.lastStartIn("north") < requestedAt + bound);
        CPPUNIT_ASSERT(fleet.world.violations.empty());
    }

    void longRunningTaskIsRestartedElsewhere()
    {
        two_data_centres fleet;
        fleet.world.behaviourOf = [](const task_name &) { return virtual_world::behaviour {0ms}; };
        auto &process = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        auto job = simpleJob(4);
        job.steps.front().longRunning = true;
        job.steps.front().maxPerWorker = 1;
        fleet.ask(process, caller_operation::submit, pathOf(1), job);
        fleet.loop.run(1s);
        auto &lost = fleet.world.workers.at("pool-a-0");
        CPPUNIT_ASSERT(!lost.running.empty());
        fleet.world.putItem(northKey, "{}", 0);
        fleet.loop.run(bound);
        CPPUNIT_ASSERT(!fleet.world.workers.at("pool-a-1").running.empty()); // what runs goes on
        const auto task = lost.running.begin()->first;
        fleet.world.end(lost, task, end_kind::failed);
        const auto endedAt = fleet.loop.now();
        fleet.loop.run(3s);
        CPPUNIT_ASSERT(fleet.lastStartIn("north") < endedAt);
    }

    /// A start without an answer may not have reached the worker, and would be sent again.
    void unansweredStartIsNotRepeated()
    {
        two_data_centres fleet;
        auto &process = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.world.putItem("evacuations/south", "{}", 0);
        fleet.loop.run(2s);
        process.platform->workersCut = true;
        fleet.submitJobs(process, 1, 4);
        fleet.loop.run(100ms);
        fleet.world.deleteItem("evacuations/south");
        fleet.world.putItem(northKey, "{}", 0);
        const auto requestedAt = fleet.loop.now();
        fleet.loop.run(bound + 500ms);
        process.platform->workersCut = false;
        fleet.loop.run(15s);
        CPPUNIT_ASSERT(fleet.lastStartIn("north") < requestedAt + bound);
        CPPUNIT_ASSERT(fleet.lastStartIn("south") > requestedAt);
    }

    void spareHostIsNotMovedIntoAPool()
    {
        two_data_centres fleet;
        for (const std::string place : {"north", "south"}) {
            const auto name = "spare-" + place;
            fleet.world.hosts[name] = {
                name, "spare", host_state::up, {"a", "rack-1"}, {8000, 100000, 0}, "", place};
        }
        fleet.world.putItem(northKey, "{}", 0);
        auto &process = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.keepBusy(process, 8s);
        const auto isMoved = [&](const std::string &host) {
            return std::any_of(fleet.world.moved.begin(), fleet.world.moved.end(),
                               [&](const auto &move) { return move.first == host; });
        };
        CPPUNIT_ASSERT(isMoved("spare-south"));
        CPPUNIT_ASSERT(!isMoved("spare-north"));
    }

    void jobThatOnlyEvacuatedHostsCanRunIsRejected()
    {
        two_data_centres fleet;
        for (auto &[id, worker] : fleet.world.workers) {
            if (worker.entry.dataCentre == "north") {
                worker.entry.labels.emplace_back("rack-north");
                fleet.world.hosts.at(worker.entry.host).labels = worker.entry.labels;
            }
        }
        auto &process = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.world.putItem(northKey, "{}", 0);
        fleet.loop.run(2s);
        auto job = simpleJob(1);
        job.steps.front().requiredLabel = "rack-north";
        const auto rejected = fleet.ask(process, caller_operation::submit, pathOf(1), job);
        CPPUNIT_ASSERT(rejected.kind == answer_kind::overloaded);
        CPPUNIT_ASSERT(rejected.retryAfter.count() > 0);
        fleet.world.deleteItem(northKey);
        fleet.loop.run(2s);
        const auto accepted = fleet.ask(process, caller_operation::submit, pathOf(1), job);
        CPPUNIT_ASSERT(accepted.kind == answer_kind::accepted);
    }

    void invalidEntryIsRefusedAndOthersHold()
    {
        for (const auto *name : {"", "no rth", "a/b", "\xc3\xa6"}) {
            CPPUNIT_ASSERT(!parseEvacuatedDataCentre(name));
        }
        CPPUNIT_ASSERT(!parseEvacuatedDataCentre(std::string(201, 'a')));
        CPPUNIT_ASSERT_EQUAL(std::string("fi-1.b_2"), *parseEvacuatedDataCentre("fi-1.b_2"));

        two_data_centres fleet;
        fleet.world.putItem("evacuations/no rth", "{}", 0);
        fleet.world.putItem("evacuations/south", "{}", 0);
        fleet.world.putItem("evacuations/unknown", "{}", 0);
        auto &process = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.keepBusy(process, 4s);
        CPPUNIT_ASSERT(fleet.lastStartIn("south") == instant {});
        CPPUNIT_ASSERT(fleet.lastStartIn("north") != instant {});
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t {1},
            process.metrics->counter("ibishinge_invalid_entries_total", {{"kind", "evacuation"}}));
    }

    void platformWithoutEvacuationsIsNotAsked()
    {
        two_data_centres fleet(0ms);
        fleet.world.putItem(northKey, "{}", 0);
        auto &process = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.keepBusy(process, 3s);
        CPPUNIT_ASSERT(fleet.lastStartIn("north") != instant {});
        CPPUNIT_ASSERT(
            std::none_of(process.platform->pagesRead.begin(), process.platform->pagesRead.end(),
                         [](const auto &page) { return page.starts_with("evacuations/"); }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_test);
