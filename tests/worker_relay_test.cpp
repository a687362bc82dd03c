#include "tests/support/fleet_world.h"

#include <ibishinge/base/json.h>
#include <ibishinge/fleet/worker_relay.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

/// With two pools of this size there are more workers than `workersPerRelay`, so that relays are
/// used.
constexpr int workersOfPool = 60;

std::string jobPath(int i)
{
    std::string digits = std::to_string(i);
    return (i % 2 == 0 ? "/pool-a/" : "/pool-b/") + std::string(16 - digits.size(), '0') + digits;
}

/// Returns the message that has the JSON text `text`, encoded as it is sent.
std::string message(std::string_view text)
{
    return encodeCbor(nlohmann::json::parse(text));
}

/// Answers each poll with the same report.
class fixed_report final : public worker_calls
{
public:
    worker_report report;

    void startRun(const worker_entry &, const run_order &, reply<run_command_reply>) override
    {
    }
    void stopRun(const worker_entry &, const task_name &, std::int64_t, std::int64_t,
                 reply<run_command_reply>) override
    {
    }
    void throttleRun(const worker_entry &, const task_name &, std::int64_t, int, std::int64_t,
                     reply<run_command_reply>) override
    {
    }
    void poll(const worker_entry &, const poll_request &, reply<worker_report> done) override
    {
        done(report);
    }
};

/// Passes messages of a relay client to a relay service.
class service_link : public peer_link
{
public:
    service_link(relay_service &service, virtual_loop &loop)
        : m_service(service)
        , m_loop(loop)
    {
    }
    void forward(const std::string &, const std::string &, forward_kind, milliseconds,
                 reply<std::string>) override
    {
    }
    void offerLeadership(const std::string &, std::int64_t, reply<bool>) override
    {
    }
    void probeSuccessor(const std::string &, std::int64_t, milliseconds, reply<bool>) override
    {
    }
    void exchangeWorkerCalls(const std::string &, const std::string &calls, milliseconds,
                             reply<std::string> done) override
    {
        m_service.handle(calls, m_loop.now(), [done](const std::string &text) { done(text); });
    }

private:
    relay_service &m_service;
    virtual_loop &m_loop;
};

/// A link whose answers are read late, because this process is behind.
class late_link final : public service_link
{
public:
    late_link(relay_service &service, virtual_loop &loop, milliseconds lag)
        : service_link(service, loop)
        , m_timers(loop)
        , m_lag(lag)
    {
    }
    void exchangeWorkerCalls(const std::string &address, const std::string &calls,
                             milliseconds timeout, reply<std::string> done) override
    {
        service_link::exchangeWorkerCalls(address, calls, timeout,
                                          [this, done](const result<std::string> &text) {
                                              m_timers.after(m_lag, [done, text] { done(text); });
                                          });
    }

private:
    virtual_loop &m_timers;
    const milliseconds m_lag;
};

} // namespace

/// Guards against tasks that are lost or run twice when calls to workers go through relays that are
/// killed, paused, restarted or shut down. Runs in virtual time.
class worker_relay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_relay_test);
    CPPUNIT_TEST(strongestProcessesOfADataCentreAreRelays);
    CPPUNIT_TEST(fewWorkersNeedNoRelay);
    CPPUNIT_TEST(relaysMakeTheCalls);
    CPPUNIT_TEST(killedRelayLosesNoTask);
    CPPUNIT_TEST(frozenRelayLosesNoTask);
    CPPUNIT_TEST(restartedRelayLosesNoTask);
    CPPUNIT_TEST(relayShuttingDownGetsNoNewCalls);
    CPPUNIT_TEST(newCoordinatorUsesStoredRelays);
    CPPUNIT_TEST(delayedCallsAreNotMade);
    CPPUNIT_TEST(repeatedMessageMakesNoCallAgain);
    CPPUNIT_TEST(unreadableMessageIsAnswered);
    CPPUNIT_TEST(knownEndsAreNotRelayedAgain);
    CPPUNIT_TEST(lateReadingDoesNotLoseARelay);
    CPPUNIT_TEST(relayThatLosesAResultIsReplaced);
    CPPUNIT_TEST_SUITE_END();

public:
    void strongestProcessesOfADataCentreAreRelays()
    {
        const std::vector<relay_peer> peers = {
            {"1", "north", 0.12}, {"2", "north", 0.5}, {"3", "north", 0.25}, {"4", "south", 0.12}};
        const auto relays = chooseRelays(peers, {{"north", workersPerRelay + 1}, {"south", 10}});
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, relays.size());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), relays[0].address);
        CPPUNIT_ASSERT_EQUAL(std::string("3"), relays[1].address);
        CPPUNIT_ASSERT_EQUAL(std::string("4"), relays[2].address);
    }

    void fewWorkersNeedNoRelay()
    {
        const std::vector<relay_peer> peers = {{"1", "north", 1}};
        CPPUNIT_ASSERT(chooseRelays(peers, {{"north", workersPerRelay}}).empty());
    }

    void relaysMakeTheCalls()
    {
        fleet_world fleet(workersOfPool);
        startProcesses(fleet);
        submit(fleet, 40);
        auto *const leader = fleet.leader();
        const int callsBefore = leader->platform->workerCalls;
        CPPUNIT_ASSERT(waitForAll(fleet, 40, 6s));
        int others = 0;
        for (auto &[name, process] : fleet.processes) {
            others += &process == leader ? 0 : process.platform->workerCalls;
        }
        CPPUNIT_ASSERT_EQUAL(callsBefore, leader->platform->workerCalls);
        CPPUNIT_ASSERT(others >= 40 * 4); // at least the start of each task
        CPPUNIT_ASSERT(fleet.exchanges < others / 2);
        CPPUNIT_ASSERT(fleet.world.violations.empty());
    }

    void killedRelayLosesNoTask()
    {
        fleet_world fleet(workersOfPool);
        startProcesses(fleet);
        submit(fleet, 40);
        fleet.loop.run(100ms);
        fleet.kill(busiestRelay(fleet), false);
        CPPUNIT_ASSERT(waitForAll(fleet, 40, 9s));
        CPPUNIT_ASSERT(fleet.world.violations.empty());
    }

    void frozenRelayLosesNoTask()
    {
        fleet_world fleet(workersOfPool);
        startProcesses(fleet);
        submit(fleet, 40);
        fleet.loop.run(60ms);
        const auto relay = busiestRelay(fleet);
        fleet.processes.at(relay).platform->freeze();
        fleet.loop.run(3s);
        fleet.processes.at(relay).platform->thaw();
        CPPUNIT_ASSERT(waitForAll(fleet, 40, 9s));
        CPPUNIT_ASSERT(fleet.world.violations.empty());
    }

    void restartedRelayLosesNoTask()
    {
        fleet_world fleet(workersOfPool);
        startProcesses(fleet);
        submit(fleet, 40);
        for (int i = 0; i < 4; ++i) {
            fleet.loop.run(130ms);
            fleet.kill(busiestRelay(fleet), true);
        }
        CPPUNIT_ASSERT(waitForAll(fleet, 40, 9s));
        CPPUNIT_ASSERT(fleet.world.violations.empty());
    }

    void relayShuttingDownGetsNoNewCalls()
    {
        fleet_world fleet(workersOfPool);
        startProcesses(fleet);
        submit(fleet, 20);
        const auto relay = busiestRelay(fleet);
        fleet.processes.at(relay).node->resign();
        // Polls in progress end within a second; from then on no coordinator gives this relay new
        // calls.
        fleet.loop.run(1500ms);
        const int calls = fleet.processes.at(relay).platform->workerCalls;
        submit(fleet, 20, 20);
        CPPUNIT_ASSERT(waitForAll(fleet, 40, 6s));
        CPPUNIT_ASSERT_EQUAL(calls, fleet.processes.at(relay).platform->workerCalls);
        CPPUNIT_ASSERT(fleet.world.violations.empty());
    }

    /// Guards against a new coordinator that polls every worker itself: it polls them all at its
    /// start, before it has received a request from any other process.
    void newCoordinatorUsesStoredRelays()
    {
        fleet_world fleet(workersOfPool);
        startProcesses(fleet);
        submit(fleet, 20);
        const auto former = fleet.leader()->name;
        std::map<std::string, int> before;
        for (auto &[name, process] : fleet.processes) {
            before[name] = process.platform->workerCalls;
        }
        fleet.processes.at(former).node->resign();
        fleet.loop.run(30ms);
        CPPUNIT_ASSERT(fleet.waitForLeader());
        auto &successor = *fleet.leader();
        fleet.loop.run(100ms);
        CPPUNIT_ASSERT(successor.name != former);
        const int calls = successor.platform->workerCalls - before.at(successor.name);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls), calls < workersOfPool);
        CPPUNIT_ASSERT(waitForAll(fleet, 20, 9s));
        CPPUNIT_ASSERT(fleet.world.violations.empty());
    }

    void delayedCallsAreNotMade()
    {
        fleet_world fleet;
        fleet.loop.run(5s);
        standin::virtual_platform platform(fleet.world);
        relay_service service(platform, fleet.loop, "one");
        std::string answer;
        const auto take = [&](const std::string &text) { answer = text; };
        const auto calls = message(R"({"session":"s","payloads":{"j":""},)"
                                   R"("calls":[[7,0,"pool-a-0","x:1","j",0,0,0,1,9000,5,"",""]]})");
        service.handle(calls, fleet.loop.now() - 1s, take);
        CPPUNIT_ASSERT(fleet.loop.runUntil([&] { return !answer.empty(); }, 400ms));
        CPPUNIT_ASSERT(answer.find("unavailable") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, platform.workerCalls);

        answer.clear();
        service.handle(calls, fleet.loop.now(), take);
        CPPUNIT_ASSERT(fleet.loop.runUntil([&] { return !answer.empty(); }, 400ms));
        CPPUNIT_ASSERT_EQUAL(1, platform.workerCalls);
    }

    void repeatedMessageMakesNoCallAgain()
    {
        fleet_world fleet;
        fleet.loop.run(5s);
        standin::virtual_platform platform(fleet.world);
        relay_service service(platform, fleet.loop, "one");
        const auto calls = message(R"({"session":"s","number":1,"payloads":{"j":""},)"
                                   R"("calls":[[7,0,"pool-a-0","x:1","j",0,0,0,1,9000,5,"",""]]})");
        int answers = 0;
        for (int i = 0; i < 2; ++i) {
            service.handle(calls, fleet.loop.now(), [&](const std::string &) { ++answers; });
            fleet.loop.run(400ms);
        }
        CPPUNIT_ASSERT_EQUAL(2, answers);
        CPPUNIT_ASSERT_EQUAL(1, platform.workerCalls);
    }

    void unreadableMessageIsAnswered()
    {
        fleet_world fleet;
        standin::virtual_platform platform(fleet.world);
        relay_service service(platform, fleet.loop, "one");
        const std::vector<std::string> texts {
            "",
            "[]",
            std::string(100000, '\x81'), // an array in an array, and so on
            message("[]"),
            message("7"),
            message(R"({"session":"s"})"),
            message(R"({"session":7,"calls":[]})"),
            message(R"({"session":"s","calls":{"a":1}})"),
            message(R"({"session":"s","number":"x","calls":[]})"),
            message(R"({"session":"s","calls":[],"payloads":[]})"),
            message(R"({"session":"s","calls":[[1]],"payloads":{}})"),
            message(R"({"session":"s","calls":[7,"x",null,[],[1,99]],"payloads":{}})"),
            message(R"({"session":"s","calls":[[1,0,2,3]],"payloads":{}})"),
        };
        for (const auto &text : texts) {
            int answers = 0;
            service.handle(text, fleet.loop.now(), [&](const std::string &) { ++answers; });
            fleet.loop.run(400ms);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 1, answers);
        }
    }

    /// Guards against messages that grow with the ends that are not stored yet, and against ends of
    /// a restarted worker, whose numbers begin at 1 again, that are taken for known ones.
    void knownEndsAreNotRelayedAgain()
    {
        constexpr std::int64_t incarnation = 7;
        struct row
        {
            int listedEnds;
            std::int64_t knownEnd;
            std::int64_t knownIncarnation;
            std::size_t relayedEnds;
        };
        const int truncated = static_cast<int>(maxReportedEnds);
        const std::vector<row> rows = {
            {3, 0, 0, 3},
            {3, 2, incarnation, 1},
            {3, 3, incarnation, 0},
            {3, 2, incarnation - 1, 3},
            {truncated, 2, incarnation, maxReportedEnds},
        };
        for (const auto &each : rows) {
            virtual_loop loop;
            metrics_registry metrics;
            fixed_report worker;
            worker.report.incarnation = incarnation;
            for (int number = 1; number <= each.listedEnds; ++number) {
                worker.report.ended.push_back(
                    {number, {"job", 0, 0, number}, 1, end_kind::done, ""});
            }
            relay_service service(worker, loop, "relay-1");
            service_link link(service, loop);
            relay_client client(worker, link, loop, metrics, "session-1");
            client.useRelays({{"relay:1", "north", 1}});
            poll_request order;
            order.knownEnd = each.knownEnd;
            order.knownIncarnation = each.knownIncarnation;
            std::optional<worker_report> seen;
            client.poll({}, order, [&](const result<worker_report> &report) { seen = *report; });
            loop.run(400ms);
            CPPUNIT_ASSERT(seen);
            CPPUNIT_ASSERT_EQUAL(each.relayedEnds, seen->ended.size());
        }
    }

    /// Guards against a coordinator that is behind and takes its own delay for that of its relays:
    /// all calls that were open there were repeated, which put it further behind.
    void lateReadingDoesNotLoseARelay()
    {
        virtual_loop loop;
        metrics_registry metrics;
        fixed_report worker;
        fixed_report direct;
        relay_service service(worker, loop, "relay-1");
        late_link link(service, loop, 700ms);
        relay_client client(direct, link, loop, metrics, "session-1");
        client.useRelays({{"relay:1", "north", 1}});
        int sent = 0;
        int answered = 0;
        for (milliseconds at {0}; at < 10s; at += 50ms) {
            loop.after(at, [&] {
                ++sent;
                client.poll({}, {}, [&](const result<worker_report> &) { ++answered; });
            });
        }
        loop.run(14s);
        CPPUNIT_ASSERT_EQUAL(sent, answered);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {0}, metrics.counter("ibishinge_relays_lost_total", {}));
    }

    /// A relay that answers but returns no result for a call is still taken for failed, also by a
    /// process that is behind.
    void relayThatLosesAResultIsReplaced()
    {
        for (const milliseconds lag : {0ms, 300ms}) {
            virtual_loop loop;
            metrics_registry metrics;
            fixed_report worker; // never answers a start
            relay_service service(worker, loop, "relay-1");
            late_link link(service, loop, lag);
            relay_client client(worker, link, loop, metrics, "session-1");
            client.useRelays({{"relay:1", "north", 1}});
            std::optional<error_kind> failure;
            client.startRun({}, {}, [&](const result<run_command_reply> &answer) {
                failure = answer.error().kind;
            });
            CPPUNIT_ASSERT(loop.runUntil([&] { return failure.has_value(); }, 3s));
            CPPUNIT_ASSERT(*failure == error_kind::outcome_unknown);
        }
    }

private:
    static void startProcesses(fleet_world &fleet)
    {
        for (const std::string name : {"one", "two", "three"}) {
            fleet.addProcess(name);
        }
        CPPUNIT_ASSERT(fleet.waitForLeader());
        // A request through each process makes the process known to the coordinator.
        for (int i = 0; i < 3; ++i) {
            for (auto &[name, process] : fleet.processes) {
                fleet.ask(process, caller_operation::count_waiting, "/pool-a/");
            }
            fleet.loop.run(400ms);
        }
    }

    static void submit(fleet_world &fleet, int jobs, int first = 0)
    {
        auto &through = *fleet.leader();
        for (int i = first; i < first + jobs; ++i) {
            const auto answer =
                fleet.ask(through, caller_operation::submit, jobPath(i), simpleJob(4));
            CPPUNIT_ASSERT_EQUAL(answer_kind::accepted, answer.kind);
        }
    }

    static bool waitForAll(fleet_world &fleet, int jobs, milliseconds limit)
    {
        return fleet.loop.runUntil(
            [&] {
                auto *const leader = fleet.leader();
                if (leader == nullptr) {
                    return false;
                }
                for (int i = 0; i < jobs; ++i) {
                    if (fleet.stateOf(*leader, jobPath(i)) != job_state::completed) {
                        return false;
                    }
                }
                return true;
            },
            limit);
    }

    /// Returns the name of the process other than the leader that made the most calls to workers.
    static std::string busiestRelay(fleet_world &fleet)
    {
        std::string busiest;
        int most = 0;
        auto *const leader = fleet.leader();
        for (auto &[name, process] : fleet.processes) {
            if (&process != leader && process.node && process.platform->workerCalls > most) {
                busiest = name;
                most = process.platform->workerCalls;
            }
        }
        CPPUNIT_ASSERT(!busiest.empty());
        return busiest;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_relay_test);
