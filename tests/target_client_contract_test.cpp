#include "standins/target_standin.h"

#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/http_target_client.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <future>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

target_call callOf(const std::string &id, const std::string &body, bool idempotent)
{
    return {"search", "team1", id, "attempt-" + id, idempotent, body};
}

http_request runRequest(const std::string &id, int runMilliseconds)
{
    http_request request;
    request.method = "POST";
    request.path = "/run";
    request.headers = {{"Ibishinge-Request-Id", id},
                       {"Ibishinge-Team", "team1"},
                       {"Standin-Run-Ms", std::to_string(runMilliseconds)}};
    return request;
}

} // namespace

/// Guards against a target's fault being reported as something that it is not: a partial response
/// as complete, a run as "not run", or another request's response as one's own.
class target_client_contract_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(target_client_contract_test);
    CPPUNIT_TEST(faultsAreReported);
    CPPUNIT_TEST(lateResponseReachesNobodyElse);
    CPPUNIT_TEST(slotsAndConnectionsAreBounds);
    CPPUNIT_TEST(drainingTargetEndsWhatItRuns);
    CPPUNIT_TEST(faultIsSetOverHttp);
    CPPUNIT_TEST_SUITE_END();

public:
    void faultsAreReported()
    {
        struct row
        {
            const char *name;
            target_fault fault;
            std::optional<error_kind> error;
            int status;
            bool leaving;
            bool completedAtTarget;
        };
        const std::array<row, 8> rows {{
            {"none", target_fault::none, {}, 200, false, true},
            {"leave", target_fault::leave, {}, 200, true, true},
            {"stall", target_fault::stall, error_kind::target_timeout, 0, false, true},
            {"fail", target_fault::fail, {}, 500, false, false},
            {"cut", target_fault::cut, error_kind::target_failed, 0, false, true},
            {"late", target_fault::late, error_kind::target_timeout, 0, false, false},
            {"wrong length", target_fault::wrong_length, error_kind::target_failed, 0, false, true},
            {"close", target_fault::close, error_kind::target_failed, 0, false, true},
        }};
        const auto target = target_standin::start({});
        int number = 0;
        for (const auto &row : rows) {
            for (const bool idempotent : {false, true}) {
                const std::string id = "id" + std::to_string(++number);
                const auto http = http_client::create({});
                const auto client = makeHttpTargetClient(*http);
                const bool timesOut = row.error == error_kind::target_timeout;
                target->setFault(row.fault, 1s);
                const std::string body(10000, 'x');
                const auto reply = client->call(target->where(), callOf(id, body, idempotent),
                                                timesOut ? 300ms : 10s);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, !row.error, reply.has_value());
                if (row.error) {
                    CPPUNIT_ASSERT_MESSAGE(row.name, reply.error().kind == *row.error);
                    // Each of these may have run, so none may be reported as not run.
                    CPPUNIT_ASSERT_MESSAGE(row.name, !answerFor(reply.error().kind).provesNotRun);
                } else {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.status, reply->status);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.leaving, reply->leaving);
                    CPPUNIT_ASSERT_MESSAGE(row.name, !reply->rejected);
                    CPPUNIT_ASSERT_MESSAGE(row.name, reply->load == 0);
                }
                if (row.status == 200) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(id).append(":").append(body),
                                                 reply->body);
                }
                int runs = 0;
                const auto log = target->log();
                for (const auto &run : log["runs"]) {
                    if (run["attempt_id"] == "attempt-" + id) {
                        ++runs;
                        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.completedAtTarget,
                                                     run["completed"].get<bool>());
                    }
                }
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 1, runs);
                // The target works again as soon as its fault has gone.
                target->setFault(target_fault::none);
                const auto next =
                    client->call(target->where(), callOf("n" + id, "y", idempotent), 10s);
                CPPUNIT_ASSERT_MESSAGE(row.name, next.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, "n" + id + ":y", next->body);
            }
        }
    }

    /// Many callers with timeouts around the response time: each gets its own response or an error.
    void lateResponseReachesNobodyElse()
    {
        const auto target = target_standin::start({});
        target->setFault(target_fault::late, 20ms);
        const auto http = http_client::create({});
        const auto client = makeHttpTargetClient(*http);
        std::vector<std::future<std::pair<int, int>>> callers;
        callers.reserve(8);
        for (int caller = 0; caller < 8; ++caller) {
            callers.push_back(std::async(std::launch::async, [&, caller] {
                int answered = 0;
                int wrong = 0;
                for (int i = 0; i < 40; ++i) {
                    std::string id = std::to_string(caller);
                    id += "-";
                    id += std::to_string(i);
                    const std::string body = "b" + id;
                    const auto reply =
                        client->call(target->where(), callOf(id, body, true),
                                     i % 2 == 0 ? 10s : std::chrono::milliseconds(20 + i % 10));
                    answered += reply ? 1 : 0;
                    wrong +=
                        reply && reply->body != std::string(id).append(":").append(body) ? 1 : 0;
                }
                return std::pair(answered, wrong);
            }));
        }
        for (auto &caller : callers) {
            const auto [answered, wrong] = caller.get();
            CPPUNIT_ASSERT(answered >= 20);
            CPPUNIT_ASSERT_EQUAL(0, wrong);
        }
    }

    void slotsAndConnectionsAreBounds()
    {
        target_standin_options options;
        options.slots = 2;
        options.connections = 5;
        options.runTime = 300ms;
        const auto target = target_standin::start(options);
        const auto http = http_client::create({});
        const auto client = makeHttpTargetClient(*http);
        std::vector<std::future<result<target_reply>>> replies;
        replies.reserve(12);
        for (int i = 0; i < 12; ++i) {
            replies.push_back(std::async(std::launch::async, [&, i] {
                return client->call(target->where(), callOf(std::to_string(i), "", false), 10s);
            }));
        }
        int ran = 0;
        std::set<std::string> rejected;
        for (std::size_t i = 0; i < replies.size(); ++i) {
            const auto reply = replies[i].get();
            CPPUNIT_ASSERT(reply.has_value());
            CPPUNIT_ASSERT(reply->load.has_value() && *reply->load <= 5);
            ran += reply->rejected ? 0 : 1;
            if (reply->rejected) {
                rejected.insert(std::to_string(i));
            }
        }
        CPPUNIT_ASSERT(ran >= 5 && !rejected.empty());
        const auto log = target->log();
        CPPUNIT_ASSERT_EQUAL(2, log["highest"].get<int>());
        CPPUNIT_ASSERT_EQUAL(2, log["highest_by_team"]["team1"].get<int>());
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(ran), log["runs"].size());
        for (const auto &run : log["runs"]) {
            CPPUNIT_ASSERT(rejected.count(run["request_id"].get<std::string>()) == 0U);
        }
    }

    void drainingTargetEndsWhatItRuns()
    {
        const auto target = target_standin::start({});
        const auto http = http_client::create({});
        auto running = std::async(std::launch::async, [&] {
            return http->send(target->where(), runRequest("long", 500), 10s);
        });
        while (target->log()["runs"].empty()) {
            std::this_thread::yield();
        }
        auto drained = std::async(std::launch::async, [&] { target->drain(); });
        // Each request is either run completely or rejected as not run, and says which.
        const auto client = makeHttpTargetClient(*http);
        int rejected = 0;
        for (int i = 0; rejected == 0; ++i) {
            const auto reply =
                client->call(target->where(), callOf("n" + std::to_string(i), "", false), 10s);
            CPPUNIT_ASSERT(reply.has_value());
            if (reply->rejected) {
                ++rejected;
                CPPUNIT_ASSERT(reply->leaving);
            }
        }
        const auto response = running.get();
        CPPUNIT_ASSERT(response.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("long:"), response->body);
        CPPUNIT_ASSERT(findHeader(response->headers, "Ibishinge-Leaving") == "true");
        CPPUNIT_ASSERT(findHeader(response->headers, "Standin-Body-Sha256").value_or("").size()
                       == 64);
        drained.get();
    }

    void faultIsSetOverHttp()
    {
        const auto target = target_standin::start({});
        const auto http = http_client::create({});
        const auto client = makeHttpTargetClient(*http);
        http_request request;
        request.method = "POST";
        request.path = "/admin/fault";
        for (const char *bad : {"", "{}", R"({"mode":"melt"})", R"({"mode":7})"}) {
            request.body = bad;
            CPPUNIT_ASSERT_EQUAL(400, http->send(target->where(), request, 10s)->status);
        }
        request.body = R"({"mode":"fail"})";
        CPPUNIT_ASSERT_EQUAL(200, http->send(target->where(), request, 10s)->status);
        CPPUNIT_ASSERT_EQUAL(500,
                             client->call(target->where(), callOf("a", "", true), 10s)->status);
        http_request log;
        log.path = "/admin/log";
        const auto body = nlohmann::json::parse(http->send(target->where(), log, 10s)->body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), body["runs"].size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_client_contract_test);
