#include "standins/host_list_standin.h"
#include "tests/support/manual_clock.h"

#include <ibishinge/outside/http_host_list.h>
#include <ibishinge/outside/http_server.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

const std::string validHost =
    R"({"id":"h1","address":"10.0.0.1","data_centre":"dc1","rack":"r1","state":"live",)"
    R"("services":[{"name":"search","endpoint":"10.0.0.1:9000","slots":8,"connections":64}]})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    CPPUNIT_ASSERT_MESSAGE(from, at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

/// Guards against an incomplete host list: a host that it leaves out counts as gone.
class host_list_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(host_list_test);
    CPPUNIT_TEST(validListSurvivesFormatting);
    CPPUNIT_TEST(invalidListIsRejectedAsAWhole);
    CPPUNIT_TEST(changeIsShownAfterTheLag);
    CPPUNIT_TEST(unchangedListCostsNoBody);
    CPPUNIT_TEST(failedResponsesAreErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    void validListSurvivesFormatting()
    {
        const auto list = parseHostList(R"({"version":3,"hosts":[)" + validHost + "]}");
        CPPUNIT_ASSERT(list.has_value());
        const auto again = parseHostList(formatHostList(*list));
        CPPUNIT_ASSERT(again.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), again->version);
        const auto &host = again->hosts.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), host.id);
        CPPUNIT_ASSERT_EQUAL(std::string("dc1"), host.dataCentre);
        CPPUNIT_ASSERT(host.state == listed_host_state::live);
        CPPUNIT_ASSERT(host.services.at(0).where == endpoint({"10.0.0.1", 9000}));
        CPPUNIT_ASSERT_EQUAL(64, host.services.at(0).connections);
    }

    void invalidListIsRejectedAsAWhole()
    {
        struct row
        {
            const char *from;
            const char *to;
            const char *place;
        };
        const std::array<row, 8> rows {{
            {R"("id":"h1")", R"("id":"")", "/hosts/0/id"},
            {R"("id":"h1")", R"("id":7)", "/hosts/0/id"},
            {R"("state":"live")", R"("state":"gone")", "/hosts/0/state"},
            {R"("rack":"r1",)", "", "/hosts/0/rack"},
            {"10.0.0.1:9000", "10.0.0.1", "/hosts/0/services/0/endpoint"},
            {R"("slots":8)", R"("slots":0)", "/hosts/0/services/0/slots"},
            {R"("slots":8)", R"("slots":99999999999999999999)", "/hosts/0/services/0/slots"},
            {R"("services":[)", R"("services":[7,)", "/hosts/0/services/0"},
        }};
        for (const auto &row : rows) {
            const std::string host = replaced(validHost, row.from, row.to);
            const auto list = parseHostList(R"({"version":3,"hosts":[)" + host + "]}");
            CPPUNIT_ASSERT_MESSAGE(row.to, !list.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string(row.place), list.error().place);
        }
        for (const char *body :
             {"", "[]", "{", R"({"hosts":[]})", R"({"version":-1,"hosts":[]})", R"({"version":1})",
              R"({"version":1,"hosts":{}})", R"({"version":1,"hosts":[7]})"}) {
            CPPUNIT_ASSERT_MESSAGE(body, !parseHostList(body).has_value());
        }
        const auto twice =
            parseHostList(R"({"version":3,"hosts":[)" + validHost + "," + validHost + "]}");
        CPPUNIT_ASSERT_EQUAL(std::string("/hosts/1/id"), twice.error().place);
    }

    void changeIsShownAfterTheLag()
    {
        manual_clock clock;
        host_list_standin standin(clock, 5s);
        const auto server = http_server::start(
            {}, [&standin](const http_request &request) { return standin.handle(request); });
        const auto client = http_client::create({});
        const endpoint where {"127.0.0.1", (*server)->port()};
        const auto hosts = makeHttpHostList(*client, where);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), hosts->fetch(10s)->version);

        http_request post;
        post.method = "POST";
        post.path = "/admin/hosts";
        post.body = R"({"hosts":[)" + validHost + "]}";
        CPPUNIT_ASSERT_EQUAL(200, client->send(where, post, 10s)->status);
        post.body = R"({"hosts":[7]})";
        CPPUNIT_ASSERT_EQUAL(400, client->send(where, post, 10s)->status);
        // A shorter lag does not let a later list overtake an earlier one.
        post.body = R"({"hosts":[],"lag_ms":0})";
        CPPUNIT_ASSERT_EQUAL(200, client->send(where, post, 10s)->status);
        clock.advance(4999ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), hosts->fetch(10s)->version);
        clock.advance(1ms);
        const auto list = hosts->fetch(10s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), list->version);
        CPPUNIT_ASSERT(list->hosts.empty());
    }

    /// Guards against polls that transfer the whole list each second, and against a 304 that is
    /// taken for an empty list, which would count all hosts as gone.
    void unchangedListCostsNoBody()
    {
        manual_clock clock;
        host_list_standin standin(clock, 0s);
        std::vector<int> statuses;
        const auto server = http_server::start({}, [&](const http_request &request) {
            auto response = standin.handle(request);
            statuses.push_back(response.status);
            return response;
        });
        const auto client = http_client::create({});
        const endpoint where {"127.0.0.1", (*server)->port()};
        const auto hosts = makeHttpHostList(*client, where);
        http_request post;
        post.method = "POST";
        post.path = "/admin/hosts";
        post.body = R"({"hosts":[)" + validHost + "]}";
        CPPUNIT_ASSERT_EQUAL(200, client->send(where, post, 10s)->status);
        for (int i = 0; i < 3; ++i) {
            const auto list = hosts->fetch(10s);
            CPPUNIT_ASSERT(list.has_value());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), list->hosts.size());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), list->version);
        }
        post.body = R"({"hosts":[]})";
        CPPUNIT_ASSERT_EQUAL(200, client->send(where, post, 10s)->status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), hosts->fetch(10s)->version);
        CPPUNIT_ASSERT(statuses == (std::vector<int> {200, 200, 304, 304, 200, 200}));
    }

    void failedResponsesAreErrors()
    {
        struct row
        {
            int status;
            const char *body;
        };
        const std::array<row, 4> rows {{{304, ""}, // Nothing was asked that it could answer.
                                        {500, R"({"version":1,"hosts":[]})"},
                                        {200, "<html>"},
                                        {200, R"({"version":1,"hosts":[{}]})"}}};
        for (const auto &row : rows) {
            const auto server = http_server::start(
                {}, [&row](const http_request &) { return jsonResponse(row.status, row.body); });
            const auto client = http_client::create({});
            const auto hosts = makeHttpHostList(*client, {"127.0.0.1", (*server)->port()});
            CPPUNIT_ASSERT(hosts->fetch(10s).error().kind == error_kind::target_failed);
        }
        const auto client = http_client::create({});
        endpoint closed;
        {
            const auto server =
                http_server::start({}, [](const http_request &) { return http_response {}; });
            closed = {"127.0.0.1", (*server)->port()};
        }
        CPPUNIT_ASSERT(makeHttpHostList(*client, closed)->fetch(10s).error().kind
                       == error_kind::unavailable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_list_test);
