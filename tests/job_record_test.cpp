#include <ibishinge/state/host_record.h>
#include <ibishinge/state/job_record.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

job_record fullRecord()
{
    job_record record;
    record.id = "j-1";
    record.queue = "batch";
    record.team = "amber";
    record.workClass = work_class::urgent;
    record.repeatable = true;
    record.declared = {4, 1024, 1};
    record.declaredRunTime = 60s;
    record.payload = "{\"run_ms\":5}";
    record.state = job_state::running;
    record.attempt = 3;
    record.worker = "w1";
    record.workerIncarnation = "abc";
    record.reserved = {2, 512, 1};
    record.checkpoint = "4000";
    record.failures = 2;
    record.submittedAt = wall_time {} + 1000s;
    record.notBefore = wall_time {} + 1001s;
    record.changedAt = wall_time {} + 1002s;
    record.reason = "exit status 1";
    return record;
}

} // namespace

/// Guards against a record that is misread, which could run a job twice or drop it.
class job_record_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_record_test);
    CPPUNIT_TEST(recordsReadBack);
    CPPUNIT_TEST(malformedRecordsAreRejected);
    CPPUNIT_TEST(keysDoNotCollide);
    CPPUNIT_TEST(hostRecordsReadBack);
    CPPUNIT_TEST_SUITE_END();

public:
    void recordsReadBack()
    {
        job_record minimal;
        minimal.id = "a";
        minimal.queue = "b";
        minimal.team = "c";
        for (const auto &record : {fullRecord(), minimal}) {
            const auto read = decodeJobRecord(encodeJobRecord(record));
            CPPUNIT_ASSERT_MESSAGE(read ? "" : describe(read.error()), read.has_value());
            CPPUNIT_ASSERT(*read == record);
        }
    }

    void malformedRecordsAreRejected()
    {
        struct row
        {
            const char *pointer;
            std::function<void(nlohmann::json &)> change;
        };
        const std::array<row, 10> rows {{
            {"/id", [](auto &object) { object.erase("id"); }},
            {"/id", [](auto &object) { object["id"] = "a/b"; }},
            {"/state", [](auto &object) { object["state"] = "gone"; }},
            {"/state", [](auto &object) { object.erase("worker"); }},
            {"/attempt", [](auto &object) { object["attempt"] = -1; }},
            {"/attempt", [](auto &object) { object["attempt"] = "1"; }},
            {"/repeatable", [](auto &object) { object.erase("repeatable"); }},
            {"/declared/memory_mb", [](auto &object) { object["declared"]["memory_mb"] = 1.5; }},
            {"/reserved/odd", [](auto &object) { object["reserved"]["odd"] = 1; }},
            {"/odd", [](auto &object) { object["odd"] = 1; }},
        }};
        for (const auto &row : rows) {
            auto object = nlohmann::json::parse(encodeJobRecord(fullRecord()));
            row.change(object);
            const auto read = decodeJobRecord(object.dump());
            CPPUNIT_ASSERT_MESSAGE(row.pointer, !read.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string(row.pointer), read.error().at(0).pointer);
        }
        CPPUNIT_ASSERT(!decodeJobRecord("[]").has_value());
        CPPUNIT_ASSERT(!decodeJobRecord("").has_value());
    }

    void keysDoNotCollide()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("job/general/batch/a"), jobKey("general", "batch/a"));
        CPPUNIT_ASSERT_EQUAL(std::string("job-note/general/cancel/batch/a"),
                             jobNoteKey("general", job_note::cancel, "batch/a"));
        CPPUNIT_ASSERT_EQUAL(std::string("job-note/general/submitted/batch/a"),
                             jobNoteKey("general", job_note::submitted, "batch/a"));
    }

    void hostRecordsReadBack()
    {
        for (const auto state : {host_state::in_service, host_state::drain}) {
            const host_record record {"general", "spare", state, {"r1", "dc1", "eu"}, wall_time {}};
            CPPUNIT_ASSERT(decodeHost(encodeHost(record)) == record);
        }
        for (const char *text :
             {"", "{}", R"({"pool":"general"})", R"({"pool":"a/b","state":"drain"})",
              R"({"pool":"general","state":"odd"})",
              R"({"pool":"general","state":"drain","odd":1})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !decodeHost(text).has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_record_test);
