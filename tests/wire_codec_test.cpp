#include "platform/callers_api.h"
#include "platform/wire_codec.h"

#include <ibishinge/fleet/tables.h>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <array>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace ibishinge::platform;

/// Guards against a codec that departs from the formats in the platform's documentation, and
/// against decoders that accept malformed input: other clients write to the same store and
/// registry.
class wire_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(wire_codec_test);
    CPPUNIT_TEST(taskNamesRoundTrip);
    CPPUNIT_TEST(decodesWorkerReports);
    CPPUNIT_TEST(decodesRepliesToRunStarts);
    CPPUNIT_TEST(malformedRegistryEntriesAreRejected);
    CPPUNIT_TEST(oddRegistryEntriesAreRejected);
    CPPUNIT_TEST(oddNumbersAreRejected);
    CPPUNIT_TEST(deeplyNestedDocumentsAreRejected);
    CPPUNIT_TEST(largeJobsAreNotKept);
    CPPUNIT_TEST(decodesConfiguration);
    CPPUNIT_TEST(invalidConfigurationFieldsAreListed);
    CPPUNIT_TEST(decodesJobs);
    CPPUNIT_TEST(callerAnswersAndRequests);
    CPPUNIT_TEST(decodesStorePages);
    CPPUNIT_TEST_SUITE_END();

public:
    void taskNamesRoundTrip()
    {
        const task_name name {"5c0e7a21d94b36f8", 0, 1, 17};
        CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.0.1.17"), encodeTaskName(name));
        CPPUNIT_ASSERT(decodeTaskName(encodeTaskName(name)) == name);
        for (const char *bad : {"", "a", "a.1", "a.1.2", "a.1.2.x", "a.1.2.3.4", "a..1.2"}) {
            CPPUNIT_ASSERT(!decodeTaskName(bad));
        }
    }

    void decodesWorkerReports()
    {
        const auto report = decodeReport(200, R"({"clock-ms":482113,"born":7,
            "running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,12.5]],
            "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
        CPPUNIT_ASSERT(report);
        CPPUNIT_ASSERT_EQUAL(std::int64_t {7}, report->incarnation);
        CPPUNIT_ASSERT_EQUAL(41, report->running.at(0).percent);
        CPPUNIT_ASSERT(report->ended.at(0).kind == end_kind::done);
        CPPUNIT_ASSERT(decodeReport(409, R"({"clock-ms":1,"reason":"fence"})")->fenced);
        CPPUNIT_ASSERT(decodeReport(421, "")->otherIncarnation);
        CPPUNIT_ASSERT(!decodeReport(200, "{"));
        CPPUNIT_ASSERT(
            !decodeReport(200, R"({"clock-ms":1,"running":[],"ended":[[1,"a",1,"x",""]]})"));
    }

    void decodesRepliesToRunStarts()
    {
        struct row
        {
            int status;
            const char *body;
            run_command_outcome outcome;
        };
        constexpr std::array<row, 9> rows {{
            {200, R"({"clock-ms":5})", run_command_outcome::running},
            {409, R"({"clock-ms":5,"reason":"fence"})", run_command_outcome::fenced},
            {409, R"({"clock-ms":5,"reason":"old"})", run_command_outcome::stale_run},
            {409, R"({"clock-ms":5,"reason":"late"})", run_command_outcome::lease_past},
            {409, R"({"clock-ms":5,"reason":"room"})", run_command_outcome::no_capacity},
            {409, R"({"clock-ms":5,"reason":"ticket"})", run_command_outcome::bad_ticket},
            {421, "", run_command_outcome::other_incarnation},
            {503, "", run_command_outcome::unhealthy},
            {400, "", run_command_outcome::invalid},
        }};
        for (const auto &row : rows) {
            const auto reply = decodeStartReply(row.status, row.body);
            CPPUNIT_ASSERT(reply && reply->outcome == row.outcome);
        }
        CPPUNIT_ASSERT(decodeStartReply(500, "").error().kind == error_kind::outcome_unknown);
    }

    void malformedRegistryEntriesAreRejected()
    {
        const std::string good = R"({"service":"s","address":"10.0.0.1:1","zone":"z",
            "state":"ready","labels":["a","r1"],"capacity":{"cpu":1},"machine":"m","born":3})";
        const auto worker = decodeWorkerEntry("i", good);
        CPPUNIT_ASSERT(worker);
        CPPUNIT_ASSERT_EQUAL(std::string("m"), worker->host);
        for (
            const char *bad :
            {"", "\xff\xfe", "[]", "{}", R"({"service":1})",
             R"({"service":"s","address":"a","zone":"z","state":"strange","labels":[],"capacity":{}})",
             R"({"service":"s","address":"a","zone":"z","state":"ready","labels":7,"capacity":{}})",
             R"({"service":"s","address":["a"],"zone":"z","state":"ready","labels":[],"capacity":{}})"}) {
            CPPUNIT_ASSERT(!decodeWorkerEntry("i", bad));
        }
    }

    /// Guards against entries of another writer that are well-formed but name no worker: numbers
    /// out of range, whose conversion is undefined, and addresses that cannot be called.
    void oddRegistryEntriesAreRejected()
    {
        const auto entry = [](const std::string &member, const std::string &value) {
            nlohmann::json out = nlohmann::json::parse(R"({"service":"s","address":"10.0.0.1:1",
                "zone":"z","state":"ready","labels":["a","r1"],"machine":"m","born":3,
                "capacity":{"cpu":1,"mem-mb":1,"gpu":0},"remaining-ms":1})");
            out[nlohmann::json::json_pointer(member)] = nlohmann::json::parse(value);
            return out.dump();
        };
        struct row
        {
            const char *member;
            const char *value;
        };
        constexpr std::array<row, 19> rows {{
            {"/capacity/cpu", "1e300"},
            {"/capacity/cpu", "-1"},
            {"/capacity/cpu", "9223372036854775807"},
            {"/capacity/mem-mb", "18446744073709551615"},
            {"/capacity/gpu", "true"},
            {"/born", "99999999999999999999"},
            {"/born", "-5"},
            {"/remaining-ms", "9223372036854775807"},
            {"/remaining-ms", "-1e300"},
            {"/address", "\"10.0.0.1:99999\""},
            {"/address", "\"10.0.0.1:0\""},
            {"/address", "\"10.0.0.1:-1\""},
            {"/address", "\"10.0.0.1\""},
            {"/address", "\":80\""},
            {"/address", "\"\""},
            {"/address", "\"user@10.0.0.1:80\""},
            {"/address", "\"10.0.0.1/path:80\""},
            {"/address", "\"10.0.0.1:80\\r\\nX: y\""},
            {"/labels", "[[[1]]]"},
        }};
        CPPUNIT_ASSERT(decodeWorkerEntry("i", entry("/born", "3")));
        CPPUNIT_ASSERT(decodeWorkerEntry("i", entry("/capacity/cpu", "32000.0")));
        for (const auto &each : rows) {
            CPPUNIT_ASSERT_MESSAGE(std::string(each.member) + " " + each.value,
                                   !decodeWorkerEntry("i", entry(each.member, each.value)));
        }
        for (const auto &id :
             {std::string(), std::string("a b"), std::string("a\r\nX: y"), std::string(300, 'a')}) {
            CPPUNIT_ASSERT(!decodeWorkerEntry(id, entry("/born", "3")));
        }
    }

    /// The same for what workers, the machine interface, the advice service and callers send.
    void oddNumbersAreRejected()
    {
        CPPUNIT_ASSERT(!decodeReport(200, R"({"clock-ms":1e300,"running":[],"ended":[]})"));
        CPPUNIT_ASSERT(!decodeReport(
            200, R"({"clock-ms":1,"running":[["a.0.0.0",1,"",1e300,0]],"ended":[]})"));
        CPPUNIT_ASSERT(!decodeReport(
            200, R"({"clock-ms":1,"running":[["a.0.0.0",1e300,"",1,0]],"ended":[]})"));
        CPPUNIT_ASSERT(!decodeReport(
            200, R"({"clock-ms":1,"running":[],"ended":[[-1,"a.0.0.0",1,"done",""]]})"));
        CPPUNIT_ASSERT(!decodeStartReply(200, R"({"clock-ms":18446744073709551615})"));
        CPPUNIT_ASSERT(!decodeAdvice(R"({"good":[],"validity-ms":9223372036854775807})"));
        CPPUNIT_ASSERT(!decodeLease(R"({"lease":1,"ttl-ms":1e300})"));
        CPPUNIT_ASSERT(!decodeWave(R"({"wave":1,"machines":[],"deadline-s":1e300,"cap":1})"));
        CPPUNIT_ASSERT(!decodeHosts(R"({"machines":[{"machine":"m","pool":"p","state":"up",
            "capacity":{"cpu":1e300}}]})"));
        for (const char *step :
             {R"({"count":1e300})", R"({"count":4294967297})",
              R"({"count":1,"cpu":9223372036854775807})", R"({"count":1,"cpu":-1})",
              R"({"count":1,"estimate-ms":1e300})", R"({"count":1,"after":[1e300]})"}) {
            CPPUNIT_ASSERT_MESSAGE(
                step, !decodeJob(std::string(R"({"spec":"a","steps":[)") + step + "]}"));
        }
        http_request request;
        request.method = "GET";
        request.path = "/p/00";
        request.headers = {{"Host", "a.example"}, {"Request-Deadline", "9223372036854775807"}};
        CPPUNIT_ASSERT(decodeCall(request)->callerTimeout < std::chrono::hours(24));
    }

    /// Guards against the end of a process whose stack a nested document uses up.
    /// Guards against jobs that take many times the memory of their text while they wait.
    void largeJobsAreNotKept()
    {
        const auto job = [](const std::string &text, const std::string &steps) {
            return R"({"spec":")" + text + R"(","steps":[{"count":1)" + steps + "}]}";
        };
        const std::string text(500'000, 'x');
        std::string steps;
        std::string after = R"(,"after":[0)";
        for (int i = 0; i < 20'000; ++i) {
            steps += R"(},{"count":1)";
            after += ",0";
        }
        for (const auto &body :
             {job(text, ""), job("", R"(,"image":")" + text + "\""), job("", steps),
              job("", R"(,"affinity":")" + text + "\""), job("", after + "]")}) {
            const auto spec = decodeJob(body);
            CPPUNIT_ASSERT(spec && findProblem(*spec));
            caller_request request;
            request.spec = *spec;
            CPPUNIT_ASSERT(encodeRequest(request).size() < 20'000);
        }
        CPPUNIT_ASSERT(!findProblem(*decodeJob(job(std::string(4000, 'x'), ""))));
        std::string lists = "[[]";
        for (int i = 0; i < 300'000; ++i) {
            lists += ",[]";
        }
        CPPUNIT_ASSERT(!decodeJob(R"({"spec":"a","steps":)" + lists + "]}"));
    }

    void deeplyNestedDocumentsAreRejected()
    {
        constexpr std::size_t depth = 200'000;
        const std::string nested = std::string(depth, '[') + std::string(depth, ']');
        CPPUNIT_ASSERT(!decodeWorkerEntry("i", R"({"service":)" + nested + "}"));
        CPPUNIT_ASSERT(!decodeHosts(R"({"machines":[],"next-token":)" + nested + "}"));
        CPPUNIT_ASSERT(!decodeConfiguration(R"({"version":1,"routes":[],"services":[],"tenants":)"
                                            + nested + "}"));
        CPPUNIT_ASSERT(!decodeJob(R"({"spec":"a","steps":)" + nested + "}"));
        CPPUNIT_ASSERT(!decodeReport(200, R"({"clock-ms":1,"running":)" + nested + "}"));
        const auto page = decodePage(R"({"items":[{"key":"servers/[[[[","value":"W1tb","revision":4,
            "text":"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["}],"current-rev":4})");
        CPPUNIT_ASSERT(page); // brackets in strings do not count
    }

    void decodesConfiguration()
    {
        const auto config = decodeConfiguration(R"({"version":7,"routes":[{"name":"r",
            "host":"a.example","prefix":"/p/","service":"s","priority":1,"max-attempts":3,
            "stretch":1.6,"target-latency-ms":600,"skip-auth":true,
            "advice":{"decide-ms":5,"each-ms":1,"validity-ms":3000}}],
            "services":[{"name":"s","rejects-overload":false},{"name":"t","spare":true}],
            "tenants":[{"name":"n","api-keys":["k1","k2"],"weight":5,"cap":{"cpu":1000}}]})");
        CPPUNIT_ASSERT(config);
        CPPUNIT_ASSERT(config->queues.at(0).advice.has_value());
        CPPUNIT_ASSERT(config->queues.at(0).openToAll);
        CPPUNIT_ASSERT(!config->pools.at("s").workersEnforceCapacity);
        CPPUNIT_ASSERT(config->pools.at("t").spare);
        CPPUNIT_ASSERT_EQUAL(std::string("n"), config->customerOfKey.at("k2"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t {1000}, config->customers.at("n").limit.cpuMillis);
        CPPUNIT_ASSERT(!decodeConfiguration(R"({"version":"seven"})"));
    }

    /// Guards against a document that is refused, or takes effect with a wrong number, because of
    /// one invalid weight or priority.
    void invalidConfigurationFieldsAreListed()
    {
        for (const char *bad : {"-1", "\"high\"", "null", "true", "1e300", "[]"}) {
            const auto config = decodeConfiguration(
                std::string(
                    R"({"version":7,"routes":[{"name":"q","host":"h","prefix":"/","service":"s",
                "priority":1},{"name":"r","host":"h","prefix":"/r","service":"s","priority":)")
                + bad
                + R"(}],"services":[],"tenants":[{"name":"m","weight":5},{"name":"n","weight":)"
                + bad + "}]}");
            CPPUNIT_ASSERT_MESSAGE(bad, config.has_value());
            CPPUNIT_ASSERT_EQUAL(std::size_t {2}, config->invalidFields.size());
            const auto &priority = config->invalidFields.at(0);
            const auto &weight = config->invalidFields.at(1);
            CPPUNIT_ASSERT(priority.field == configuration_field::priority);
            CPPUNIT_ASSERT_EQUAL(std::string("/routes/1/priority"), priority.path);
            CPPUNIT_ASSERT_EQUAL(std::string("r"), priority.entity);
            CPPUNIT_ASSERT(weight.field == configuration_field::weight);
            CPPUNIT_ASSERT_EQUAL(std::string("/tenants/1/weight"), weight.path);
            CPPUNIT_ASSERT(!weight.reason.empty());
            CPPUNIT_ASSERT_EQUAL(1, config->queues.at(0).priority);
            CPPUNIT_ASSERT_EQUAL(5.0, config->customers.at("m").weight);
        }
        CPPUNIT_ASSERT(!decodeConfiguration(R"({"version":7,"routes":[{"priority":-1}],
            "services":[]})")); // a queue without a name
    }

    void decodesJobs()
    {
        const auto spec = decodeJob(R"({"spec":"text","unknown":1,"steps":[{"count":4,"cpu":500,
            "mem-mb":256,"estimate-ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,"after":[0],
            "checkpointing":true,"persistent":true,"max-unavailable":2,"fills":true}]})");
        CPPUNIT_ASSERT(spec);
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), spec->steps.at(0).dataRack);
        CPPUNIT_ASSERT(spec->steps.at(1).longRunning && spec->steps.at(1).bestEffort);
        CPPUNIT_ASSERT_EQUAL(2, spec->steps.at(1).maxUnavailable);
        for (const char *bad : {"", "{", "[]", "{}", R"({"spec":1,"steps":[]})",
                                R"({"spec":"a","steps":[{"cpu":1}]})",
                                R"({"spec":"a","steps":[{"count":"four"}]})"}) {
            CPPUNIT_ASSERT(!decodeJob(bad));
        }
    }

    void callerAnswersAndRequests()
    {
        struct row
        {
            answer_kind kind;
            int status;
        };
        constexpr std::array<row, 9> rows {{
            {answer_kind::accepted, 200},
            {answer_kind::cancelled, 200},
            {answer_kind::no_such_queue, 404},
            {answer_kind::no_such_job, 410},
            {answer_kind::unauthorized, 401},
            {answer_kind::invalid, 400},
            {answer_kind::overloaded, 429},
            {answer_kind::not_ready, 503},
            {answer_kind::outcome_unknown, 504},
        }};
        for (const auto &row : rows) {
            caller_answer answer;
            answer.kind = row.kind;
            CPPUNIT_ASSERT_EQUAL(row.status, encodeCallAnswer(answer).status);
        }
        caller_answer retryAnswer;
        retryAnswer.retryAfter = milliseconds(1200);
        const auto response = encodeCallAnswer(retryAnswer);
        CPPUNIT_ASSERT(findHeader(response.headers, "Retry-After") == "2");

        http_request request;
        request.method = "GET";
        request.path = "/p/00";
        request.headers = {
            {"Host", "a.example:80"}, {"Authorization", "Bearer k1"}, {"Request-Deadline", "2500"}};
        const auto call = decodeCall(request);
        CPPUNIT_ASSERT(call && call->host == "a.example" && call->key == "k1");
        CPPUNIT_ASSERT(call->callerTimeout == milliseconds(2500));
        request.method = "PATCH";
        CPPUNIT_ASSERT(!decodeCall(request));
    }

    void decodesStorePages()
    {
        const auto page = decodePage(R"({"events":[{"key":"a","value":"bm9kZS0x","revision":412,
            "created":412,"lease":0},{"key":"b","revision":413,"deleted":true}],"current-rev":413})");
        CPPUNIT_ASSERT(page);
        CPPUNIT_ASSERT_EQUAL(std::string("node-1"), page->items.at(0).value);
        CPPUNIT_ASSERT(page->items.at(1).deleted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t {413}, page->revision);
        CPPUNIT_ASSERT(!decodePage("<html>"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wire_codec_test);
