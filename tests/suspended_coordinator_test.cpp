#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string jobPath = "/pool-a/0000000000000001";

} // namespace

/// Guards against work that is left undone because it became due while the coordinator could not
/// send orders.
class suspended_coordinator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(suspended_coordinator_test);
    CPPUNIT_TEST(runsOfCancelledJobsAreStoppedAfterAnOutage);
    CPPUNIT_TEST(gangMembersAreStoppedAfterAnOutage);
    CPPUNIT_TEST(cancellationIsAnsweredByTheNextCoordinator);
    CPPUNIT_TEST_SUITE_END();

    static void cutStore(fleet_world &fleet, bool cut)
    {
        for (auto &[name, process] : fleet.processes) {
            process.platform->storeCut = cut;
        }
    }

    /// Returns a process that does not coordinate. All of them have sent requests, so that the
    /// coordinator offers its place to them when it loses the store.
    static fleet_world::process &findFollower(fleet_world &fleet)
    {
        const auto *const leader = fleet.leader();
        fleet_world::process *follower = nullptr;
        for (auto &[name, process] : fleet.processes) {
            if (&process != leader) {
                fleet.ask(process, caller_operation::show, jobPath);
                follower = &process;
            }
        }
        return *follower;
    }

    static void begin(fleet_world &fleet)
    {
        fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms, false};
        };
        for (const std::string name : {"one", "two", "three"}) {
            fleet.addProcess(name).platform->silence = 800ms;
        }
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.loop.run(1s);
    }

    static std::size_t countRuns(const fleet_world &fleet)
    {
        std::size_t runs = 0;
        for (const auto &[id, worker] : fleet.world.workers) {
            runs += worker.alive ? worker.running.size() : 0;
        }
        return runs;
    }

public:
    /// A job is cancelled while the store is away. The store answers the write again at a moment
    /// when the coordinator may not send orders: it offers its place, or its lease is not proven.
    void runsOfCancelledJobsAreStoppedAfterAnOutage()
    {
        constexpr auto longestOutage = 2600ms;
        constexpr auto step = 50ms;
        for (auto outage = 600ms; outage <= longestOutage; outage += step) {
            fleet_world fleet;
            begin(fleet);
            auto &through = findFollower(fleet);
            auto spec = simpleJob(3);
            spec.steps.front().longRunning = true;
            fleet.ask(through, caller_operation::submit, jobPath, spec);
            fleet.loop.run(500ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t {3}, countRuns(fleet));

            cutStore(fleet, true);
            caller_request request;
            request.operation = caller_operation::cancel;
            request.host = "jobs.example";
            request.path = jobPath;
            request.key = "key-north";
            request.callerTimeout = 3000ms;
            through.node->handle(request, [](const caller_answer &) {});
            fleet.loop.run(outage);
            cutStore(fleet, false);

            const auto what = std::to_string(outage.count()) + " ms";
            const auto isCancelled = [&] {
                return fleet.ask(through, caller_operation::cancel, jobPath).kind
                       == answer_kind::cancelled;
            };
            CPPUNIT_ASSERT_MESSAGE(what, fleet.loop.runUntil(isCancelled, 6s));
            fleet.loop.run(1s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t {0}, countRuns(fleet));
        }
    }

    /// One member of a gang ends while the coordinator may not send orders. The others cannot go
    /// on, and the gang starts anew.
    void gangMembersAreStoppedAfterAnOutage()
    {
        constexpr auto longestOutage = 2600ms;
        constexpr auto step = 100ms;
        constexpr int members = 3;
        for (auto outage = 600ms; outage <= longestOutage; outage += step) {
            fleet_world fleet;
            begin(fleet);
            fleet.world.maxAttempts = 4;
            auto &through = findFollower(fleet);
            auto spec = simpleJob(members);
            spec.steps.front().gang = true;
            spec.steps.front().longRunning = true;
            fleet.ask(through, caller_operation::submit, jobPath, spec);
            fleet.loop.run(500ms);
            CPPUNIT_ASSERT_EQUAL(members, static_cast<int>(countRuns(fleet)));

            cutStore(fleet, true);
            fleet.loop.run(outage - 50ms);
            const auto member =
                std::find_if(fleet.world.workers.begin(), fleet.world.workers.end(),
                             [](const auto &each) { return !each.second.running.empty(); });
            const auto failed = member->second.running.begin()->first;
            fleet.world.end(member->second, failed, end_kind::failed);
            fleet.loop.run(50ms);
            cutStore(fleet, false);

            CPPUNIT_ASSERT_MESSAGE(
                std::to_string(outage.count()) + " ms",
                fleet.loop.runUntil([&] { return fleet.world.starts == 2 * members; }, 8s));
        }
    }

    /// Guards against a cancellation without an answer: it waits for the store at a coordinator
    /// that stops, and its caller is connected to the same process.
    void cancellationIsAnsweredByTheNextCoordinator()
    {
        fleet_world fleet;
        begin(fleet);
        auto &leader = *fleet.leader();
        auto spec = simpleJob(1);
        spec.steps.front().longRunning = true;
        fleet.ask(leader, caller_operation::submit, jobPath, spec);
        fleet.loop.run(500ms);

        leader.platform->refuseCommits = true;
        std::optional<caller_answer> answer;
        caller_request request;
        request.operation = caller_operation::cancel;
        request.host = "jobs.example";
        request.path = jobPath;
        request.key = "key-north";
        request.callerTimeout = 3000ms;
        leader.node->handle(request, [&](const caller_answer &value) { answer = value; });
        fleet.loop.run(100ms);
        leader.node->resign();
        CPPUNIT_ASSERT(fleet.loop.runUntil([&] { return answer.has_value(); }, 3s));
        CPPUNIT_ASSERT(answer->kind == answer_kind::cancelled);
        CPPUNIT_ASSERT(fleet.loop.runUntil([&] { return countRuns(fleet) == 0; }, 3s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(suspended_coordinator_test);
