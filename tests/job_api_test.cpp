#include "tests/support/control_world.h"

#include <ibishinge/service/job_api.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

/// The API on a store in memory; `loseNext` loses the response of a write.
struct api_world
{
    manual_clock clock;
    memory_kv_store store {clock};
    std::shared_ptr<configuration> configured = std::make_shared<configuration>();
    store_fault nextFault = store_fault::none;
    std::unique_ptr<job_api> api;

    api_world()
    {
        queue_entry queue;
        queue.name = "batch";
        queue.pool = "general";
        queue.access.teams = {"amber", "birch"};
        configured->catalogue.value.queues = {queue};
        api = job_api::create(
            store, clock,
            [this](const conditional_write &write, monotonic_time) -> result<write_outcome> {
                const auto isRecord = write.key.starts_with(jobPrefix);
                const auto fault =
                    isRecord ? std::exchange(nextFault, store_fault::none) : store_fault::none;
                store.setFaultHook([fault](std::string_view) { return fault; });
                const std::array<conditional_write, 1> batch {{write}};
                auto written = store.applyBatch(batch);
                store.setFaultHook({});
                return written ? result<write_outcome>(written->outcomes.at(0))
                               : tl::unexpected(written.error());
            },
            [this] { return configured; });
    }

    http_response call(const std::string &method, const std::string &path,
                       const std::string &body = "", const std::string &team = "amber")
    {
        http_request request;
        request.method = method;
        request.path = path;
        request.body = body;
        return api->handle(request, team);
    }
    std::size_t count(const std::string &prefix)
    {
        return store.range({prefix, true, false})->entries.size();
    }
};

std::string fieldOf(const http_response &response, const char *name)
{
    return nlohmann::json::parse(response.body).at(name).get<std::string>();
}

constexpr auto valid = R"({"id":"a","processors":2,"memory_mb":10,"repeatable":true})";

} // namespace

/// Guards against jobs that are accepted twice, accepted without a record, or shown to others.
class job_api_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_api_test);
    CPPUNIT_TEST(acceptedMeansRecordAndNote);
    CPPUNIT_TEST(repetitionIsTheSameJob);
    CPPUNIT_TEST(otherContentIsADuplicate);
    CPPUNIT_TEST(failedWritesAcceptNothing);
    CPPUNIT_TEST(lostResponseIsRepeatable);
    CPPUNIT_TEST(malformedSubmissionsAreRejected);
    CPPUNIT_TEST(pathsAndMethodsAreChecked);
    CPPUNIT_TEST(otherTeamsSeeNothing);
    CPPUNIT_TEST(cancellationLeavesANote);
    CPPUNIT_TEST(submittedJobRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptedMeansRecordAndNote()
    {
        api_world world;
        const auto response = world.call("POST", "/v1/queues/batch/jobs", valid);
        CPPUNIT_ASSERT_EQUAL(201, response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.count("job/general/batch/a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.count("job-note/general/submitted/batch/a"));
        const auto shown = world.call("GET", "/v1/jobs/batch/a");
        CPPUNIT_ASSERT_EQUAL(200, shown.status);
        CPPUNIT_ASSERT_EQUAL(std::string("waiting"), fieldOf(shown, "state"));
        const auto listed = world.call("GET", "/v1/queues/batch/jobs");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), nlohmann::json::parse(listed.body).at("jobs").size());
        // Without an id of the caller each submission is a job of its own.
        const auto body = R"({"processors":1})";
        CPPUNIT_ASSERT_EQUAL(201, world.call("POST", "/v1/queues/batch/jobs", body).status);
        CPPUNIT_ASSERT_EQUAL(201, world.call("POST", "/v1/queues/batch/jobs", body).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), world.count("job/"));
    }

    void repetitionIsTheSameJob()
    {
        api_world world;
        CPPUNIT_ASSERT_EQUAL(201, world.call("POST", "/v1/queues/batch/jobs", valid).status);
        world.clock.advance(5s);
        CPPUNIT_ASSERT_EQUAL(200, world.call("POST", "/v1/queues/batch/jobs", valid).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.count("job/"));
    }

    void otherContentIsADuplicate()
    {
        api_world world;
        CPPUNIT_ASSERT_EQUAL(201, world.call("POST", "/v1/queues/batch/jobs", valid).status);
        for (const char *other :
             {R"({"id":"a","processors":3,"memory_mb":10,"repeatable":true})",
              R"({"id":"a","processors":2,"memory_mb":10,"repeatable":false})",
              R"({"id":"a","processors":2,"memory_mb":10,"repeatable":true,"payload":"x"})",
              R"({"id":"a","processors":2,"memory_mb":10,"repeatable":true,"class":"urgent"})"}) {
            const auto response = world.call("POST", "/v1/queues/batch/jobs", other);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(other, 409, response.status);
            CPPUNIT_ASSERT_EQUAL(std::string("duplicate_id"), fieldOf(response, "error"));
        }
        CPPUNIT_ASSERT_EQUAL(409,
                             world.call("POST", "/v1/queues/batch/jobs", valid, "birch").status);
    }

    void failedWritesAcceptNothing()
    {
        api_world world;
        world.nextFault = store_fault::unavailable;
        const auto response = world.call("POST", "/v1/queues/batch/jobs", valid);
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not_ready"), fieldOf(response, "error"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.count("job/"));
    }

    void lostResponseIsRepeatable()
    {
        api_world world;
        world.nextFault = store_fault::lost_response;
        const auto lost = world.call("POST", "/v1/queues/batch/jobs", valid);
        CPPUNIT_ASSERT_EQUAL(std::string("may_have_run"), fieldOf(lost, "run"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.count("job-note/general/submitted/batch/a"));
        world.clock.advance(1s);
        CPPUNIT_ASSERT_EQUAL(200, world.call("POST", "/v1/queues/batch/jobs", valid).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.count("job/"));
    }

    void malformedSubmissionsAreRejected()
    {
        api_world world;
        for (const char *body :
             {"", "[]", "{}", R"({"processors":0})", R"({"processors":"2"})",
              R"({"processors":2,"id":"a/b"})", R"({"processors":2,"odd":1})",
              R"({"processors":2,"class":"odd"})", R"({"processors":2,"memory_mb":-1})",
              R"({"processors":2,"processors":2})", R"({"processors":2,"run_ms":1.5})"}) {
            const auto response = world.call("POST", "/v1/queues/batch/jobs", body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400, response.status);
            CPPUNIT_ASSERT_EQUAL(std::string("attempt_not_run"), fieldOf(response, "run"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.count("job"));
    }

    void pathsAndMethodsAreChecked()
    {
        api_world world;
        struct row
        {
            const char *method;
            const char *path;
            int status;
        };
        const std::array<row, 8> rows {{
            {"GET", "/v1/queues/odd/jobs", 404},
            {"GET", "/v1/queues//jobs", 404},
            {"GET", "/v1/queues/batch/jobs/a", 404},
            {"GET", "/v1/jobs/batch", 404},
            {"GET", "/v1/jobs/batch/a/b", 404},
            {"GET", "/v1/jobs/batch/unknown", 404},
            {"PUT", "/v1/jobs/batch/a", 400},
            {"DELETE", "/v1/queues/batch/jobs", 400},
        }};
        for (const auto &row : rows) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.path, row.status,
                                         world.call(row.method, row.path).status);
        }
        CPPUNIT_ASSERT(job_api::queueOf("/v1/jobs/batch/a") == "batch");
        CPPUNIT_ASSERT(job_api::queueOf("/v1/queues/batch/jobs") == "batch");
        CPPUNIT_ASSERT(!job_api::queueOf("/v1/services/batch/requests"));
        CPPUNIT_ASSERT(!job_api::isJobPath("/v1/services/batch/requests"));
    }

    void otherTeamsSeeNothing()
    {
        api_world world;
        CPPUNIT_ASSERT_EQUAL(201, world.call("POST", "/v1/queues/batch/jobs", valid).status);
        CPPUNIT_ASSERT_EQUAL(404, world.call("GET", "/v1/jobs/batch/a", "", "birch").status);
        CPPUNIT_ASSERT_EQUAL(404, world.call("DELETE", "/v1/jobs/batch/a", "", "birch").status);
        const auto listed = world.call("GET", "/v1/queues/batch/jobs", "", "birch");
        CPPUNIT_ASSERT(nlohmann::json::parse(listed.body).at("jobs").empty());
    }

    void cancellationLeavesANote()
    {
        api_world world;
        CPPUNIT_ASSERT_EQUAL(201, world.call("POST", "/v1/queues/batch/jobs", valid).status);
        CPPUNIT_ASSERT_EQUAL(202, world.call("DELETE", "/v1/jobs/batch/a").status);
        CPPUNIT_ASSERT_EQUAL(202, world.call("DELETE", "/v1/jobs/batch/a").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.count("job-note/general/cancel/batch/a"));
    }

    /// The API and the pool's owner must agree on keys and values.
    void submittedJobRuns()
    {
        control_world world;
        world.add("a");
        world.run(3s);
        auto configured = std::make_shared<configuration>();
        queue_entry queue;
        queue.name = "batch";
        queue.pool = "general";
        configured->catalogue.value.queues = {queue};
        const auto api = job_api::create(
            world.store(), world.clock(),
            [&world](const conditional_write &write, monotonic_time) -> result<write_outcome> {
                const std::array<conditional_write, 1> batch {{write}};
                return world.store().applyBatch(batch)->outcomes.at(0);
            },
            [configured] { return configured; });
        http_request request;
        request.method = "POST";
        request.path = "/v1/queues/batch/jobs";
        request.body = valid;
        CPPUNIT_ASSERT_EQUAL(201, api->handle(request, "amber").status);
        world.run(10s);
        request.method = "GET";
        request.path = "/v1/jobs/batch/a";
        CPPUNIT_ASSERT_EQUAL(std::string("done"), fieldOf(api->handle(request, "amber"), "state"));
        request.method = "DELETE"; // A final job stays as it is.
        CPPUNIT_ASSERT_EQUAL(200, api->handle(request, "amber").status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_api_test);
