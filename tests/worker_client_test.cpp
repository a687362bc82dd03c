#include "standins/worker_standin.h"
#include "tests/support/manual_clock.h"
#include "tests/support/worker_double.h"

#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/http_server.h>
#include <ibishinge/outside/http_worker_client.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds timeout {10000};

/// One worker, reached in the way under test.
struct worker_world
{
    manual_clock clock;
    std::unique_ptr<worker_client> client;
    endpoint where;

    virtual ~worker_world() = default;
    [[nodiscard]] task_start task(const std::string &job, int attempt = 1) const
    {
        task_start start;
        start.task = {"general", job, attempt};
        start.team = "amber";
        start.repeatable = true;
        start.reserved = {8, 1024, 0};
        start.payload = R"({"run_ms":20000})";
        start.workerIncarnation = "w-0";
        start.leaseUntil = clock.wallNow() + 10s;
        start.notAfter = clock.wallNow() + 3s;
        return start;
    }
    task_phase phaseOf(const task_key &key)
    {
        const auto report = client->status(where, key.pool, timeout);
        CPPUNIT_ASSERT(report.has_value());
        for (const auto &each : report->tasks) {
            if (each.task == key) {
                return each.phase;
            }
        }
        return task_phase::never_began;
    }
};

simulated_worker_options smallWorker()
{
    simulated_worker_options options;
    options.id = "w";
    options.capacity = {16, 4096, 1};
    return options;
}

struct double_world final : worker_world
{
    double_world()
    {
        auto made = std::make_unique<worker_double>();
        made->add(1, std::make_shared<simulated_worker>(clock, smallWorker()));
        where = {"127.0.0.1", 1};
        client = std::move(made);
    }
};

/// The thread sanitizer has room for about 580 threads of a process on arm64, and each world starts
/// a server.
http_server_options fewThreads()
{
    http_server_options options;
    options.threads = 8;
    return options;
}

struct http_world final : worker_world
{
    worker_standin standin {clock, smallWorker(), [] {}};
    std::unique_ptr<http_client> http = http_client::create({});
    result<std::unique_ptr<http_server>> server = http_server::start(
        fewThreads(), [this](const http_request &request) { return standin.handle(request); });

    http_world()
    {
        where = {"127.0.0.1", (*server)->port()};
        client = makeHttpWorkerClient(*http);
    }
};

} // namespace

/// Guards the contract of `worker_client` that placement relies on, over HTTP and in the double.
template <class World>
class worker_contract : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_contract);
    CPPUNIT_TEST(startIsAcceptedOnceAndRepeatable);
    CPPUNIT_TEST(startIsRefusedByRow);
    CPPUNIT_TEST(stopMarkRefusesALateStart);
    CPPUNIT_TEST(forgottenAttemptDoesNotRunAgain);
    CPPUNIT_TEST(leaseStopsATaskUnlessRenewed);
    CPPUNIT_TEST(checkpointIsResumed);
    CPPUNIT_TEST(throttledTaskIsSlower);
    CPPUNIT_TEST(usageLags);
    CPPUNIT_TEST(otherPoolsAreSeenAsAmount);
    CPPUNIT_TEST_SUITE_END();

public:
    void startIsAcceptedOnceAndRepeatable()
    {
        const auto task = m_world.task("batch/a");
        CPPUNIT_ASSERT(m_world.client->start(m_world.where, task, timeout)->accepted);
        CPPUNIT_ASSERT(m_world.client->start(m_world.where, task, timeout)->accepted);
        const auto report = m_world.client->status(m_world.where, "general", timeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report->tasks.size());
        CPPUNIT_ASSERT(report->tasks[0].reserved == task.reserved);
        CPPUNIT_ASSERT(report->capacity == smallWorker().capacity);
    }

    void startIsRefusedByRow()
    {
        struct row
        {
            const char *reason;
            std::function<void(task_start &)> change;
        };
        const std::array<row, 4> rows {{
            {"restarted", [](task_start &task) { task.workerIncarnation = "w-1"; }},
            {"late", [this](task_start &task) { task.notAfter = m_world.clock.wallNow(); }},
            {"late", [this](task_start &task) { task.leaseUntil = m_world.clock.wallNow(); }},
            {"no_room", [](task_start &task) { task.reserved.memoryMb = 4097; }},
        }};
        for (const auto &row : rows) {
            auto task = m_world.task("batch/a");
            row.change(task);
            const auto reply = m_world.client->start(m_world.where, task, timeout);
            CPPUNIT_ASSERT_MESSAGE(row.reason, reply && !reply->accepted);
            CPPUNIT_ASSERT_EQUAL(std::string(row.reason), reply->reason);
        }
    }

    void stopMarkRefusesALateStart()
    {
        const auto task = m_world.task("batch/a");
        const auto stopped = m_world.client->stop(m_world.where, task.task, timeout);
        CPPUNIT_ASSERT(stopped->phase == task_phase::never_began);
        CPPUNIT_ASSERT(!m_world.client->start(m_world.where, task, timeout)->accepted);
        // The mark concerns one attempt only.
        CPPUNIT_ASSERT(
            m_world.client->start(m_world.where, m_world.task("batch/a", 2), timeout)->accepted);
    }

    void forgottenAttemptDoesNotRunAgain()
    {
        auto task = m_world.task("batch/a");
        task.payload = R"({"run_ms":100})";
        CPPUNIT_ASSERT(m_world.client->start(m_world.where, task, timeout)->accepted);
        m_world.clock.advance(200ms);
        CPPUNIT_ASSERT(m_world.phaseOf(task.task) == task_phase::done);
        lease_renewal renewal {"general", {}, {}, {task.task}};
        CPPUNIT_ASSERT(m_world.client->renew(m_world.where, renewal, timeout)->tasks.empty());
        CPPUNIT_ASSERT(!m_world.client->start(m_world.where, task, timeout)->accepted);
        // It did begin, so it must not be reported as never begun.
        CPPUNIT_ASSERT(m_world.client->stop(m_world.where, task.task, timeout)->phase
                       == task_phase::stopped);
    }

    void leaseStopsATaskUnlessRenewed()
    {
        const auto kept = m_world.task("batch/kept");
        const auto dropped = m_world.task("batch/dropped");
        CPPUNIT_ASSERT(m_world.client->start(m_world.where, kept, timeout)->accepted);
        CPPUNIT_ASSERT(m_world.client->start(m_world.where, dropped, timeout)->accepted);
        m_world.clock.advance(9s);
        const lease_renewal renewal {"general", {kept.task}, m_world.clock.wallNow() + 10s, {}};
        CPPUNIT_ASSERT(m_world.client->renew(m_world.where, renewal, timeout).has_value());
        m_world.clock.advance(2s);
        CPPUNIT_ASSERT(m_world.phaseOf(kept.task) == task_phase::running);
        CPPUNIT_ASSERT(m_world.phaseOf(dropped.task) == task_phase::expired);
    }

    void checkpointIsResumed()
    {
        const auto first = m_world.task("batch/a");
        CPPUNIT_ASSERT(m_world.client->start(m_world.where, first, timeout)->accepted);
        m_world.clock.advance(5s);
        CPPUNIT_ASSERT(m_world.client->checkpoint(m_world.where, first.task, timeout)->phase
                       == task_phase::checkpointing);
        m_world.clock.advance(1s);
        const auto report = m_world.client->status(m_world.where, "general", timeout);
        CPPUNIT_ASSERT(report->tasks.at(0).phase == task_phase::checkpointed);
        auto second = m_world.task("batch/a", 2);
        second.checkpoint = report->tasks[0].checkpoint;
        second.leaseUntil = m_world.clock.wallNow() + 60s;
        CPPUNIT_ASSERT(m_world.client->start(m_world.where, second, timeout)->accepted);
        m_world.clock.advance(16s); // 20 s are needed, 5 of which were done before.
        CPPUNIT_ASSERT(m_world.phaseOf(second.task) == task_phase::done);
    }

    void throttledTaskIsSlower()
    {
        auto task = m_world.task("batch/a");
        task.leaseUntil = m_world.clock.wallNow() + 60s;
        CPPUNIT_ASSERT(m_world.client->start(m_world.where, task, timeout)->accepted);
        CPPUNIT_ASSERT(
            m_world.client->throttle(m_world.where, task.task, {4, 1024, 0}, timeout).has_value());
        m_world.clock.advance(25s);
        CPPUNIT_ASSERT(m_world.phaseOf(task.task) == task_phase::running);
        m_world.clock.advance(16s);
        CPPUNIT_ASSERT(m_world.phaseOf(task.task) == task_phase::done);
        const auto unknown = m_world.client->throttle(m_world.where, task.task, {1, 1, 0}, timeout);
        CPPUNIT_ASSERT(unknown.error().kind == error_kind::conflict);
    }

    void usageLags()
    {
        auto task = m_world.task("batch/a");
        task.leaseUntil = m_world.clock.wallNow() + 60s;
        task.payload = R"({"run_ms":60000,"use":{"processors":3,"memory_mb":700}})";
        CPPUNIT_ASSERT(m_world.client->start(m_world.where, task, timeout)->accepted);
        m_world.clock.advance(9s);
        CPPUNIT_ASSERT(
            !m_world.client->status(m_world.where, "general", timeout)->tasks.at(0).used);
        m_world.clock.advance(2s);
        CPPUNIT_ASSERT(m_world.client->status(m_world.where, "general", timeout)->tasks.at(0).used
                       == (resources {3, 700, 0}));
    }

    void otherPoolsAreSeenAsAmount()
    {
        CPPUNIT_ASSERT(
            m_world.client->start(m_world.where, m_world.task("batch/a"), timeout)->accepted);
        const auto report = m_world.client->status(m_world.where, "other", timeout);
        CPPUNIT_ASSERT(report->tasks.empty());
        CPPUNIT_ASSERT(report->others == (resources {8, 1024, 0}));
    }

private:
    World m_world;
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_contract<double_world>);
CPPUNIT_TEST_SUITE_REGISTRATION(worker_contract<http_world>);

/// Guards the stand-in's faults and the adapter's reading of malformed answers.
class worker_standin_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(worker_standin_test);
    CPPUNIT_TEST(failedTasksAreLogged);
    CPPUNIT_TEST(stalledCallTimesOut);
    CPPUNIT_TEST(malformedAnswersAreErrors);
    CPPUNIT_TEST(malformedRequestsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    static http_response post(http_world &world, const std::string &path, const std::string &body)
    {
        http_request request;
        request.method = body.empty() ? "GET" : "POST";
        request.path = path;
        request.body = body;
        const auto response = world.http->send(world.where, request, timeout);
        CPPUNIT_ASSERT(response.has_value());
        return *response;
    }

    void failedTasksAreLogged()
    {
        http_world world;
        CPPUNIT_ASSERT_EQUAL(200, post(world, "/admin/fault", R"({"mode":"fail_all"})").status);
        CPPUNIT_ASSERT_EQUAL(400, post(world, "/admin/fault", R"({"mode":"odd"})").status);
        const auto task = world.task("batch/a");
        CPPUNIT_ASSERT(world.client->start(world.where, task, timeout)->accepted);
        world.clock.advance(1s);
        CPPUNIT_ASSERT(world.phaseOf(task.task) == task_phase::failed);
        const auto log = nlohmann::json::parse(post(world, "/admin/log", "").body);
        const auto &run = log.at("runs").at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), run.at("ended").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("amber"), run.at("team").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(50, run.at("end_ms").get<int>() - run.at("start_ms").get<int>());
    }

    void stalledCallTimesOut()
    {
        http_world world;
        CPPUNIT_ASSERT_EQUAL(200, post(world, "/admin/fault", R"({"mode":"stall"})").status);
        const auto reply = world.client->status(world.where, "general", 100ms);
        CPPUNIT_ASSERT(reply.error().kind == error_kind::target_timeout);
        CPPUNIT_ASSERT_EQUAL(200, post(world, "/admin/fault", R"({"mode":"none"})").status);
        CPPUNIT_ASSERT(world.client->status(world.where, "general", timeout).has_value());
    }

    void malformedAnswersAreErrors()
    {
        for (const char *body :
             {"", "[]", "{}", R"({"incarnation":"w","capacity":{},"others":{},"leaving":false})",
              // NOLINTNEXTLINE(bugprone-suspicious-missing-comma): one literal over three lines.
              R"({"incarnation":"w","capacity":{"processors":1,"memory_mb":1,"accelerators":1},)"
              R"("others":{"processors":1,"memory_mb":1,"accelerators":1},"leaving":false,)"
              R"("tasks":[{"task":{"pool":"p","job":"q/a","attempt":1},"phase":"odd"}]})"}) {
            const auto server = http_server::start(
                {}, [body](const http_request &) { return jsonResponse(200, body); });
            const auto http = http_client::create({});
            const auto client = makeHttpWorkerClient(*http);
            const auto reply = client->status({"127.0.0.1", (*server)->port()}, "general", timeout);
            CPPUNIT_ASSERT_MESSAGE(body, !reply.has_value());
            CPPUNIT_ASSERT(reply.error().kind == error_kind::target_failed);
        }
    }

    void malformedRequestsAreRefused()
    {
        http_world world;
        for (const char *path : {"/v1/start", "/v1/renew", "/v1/stop", "/v1/throttle"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 400, post(world, path, R"({"task":7})").status);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_standin_test);
