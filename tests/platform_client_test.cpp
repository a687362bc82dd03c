#include "platform/platform_client.h"
#include "tests/support/slow_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace ibishinge::platform;
using namespace std::chrono_literals;

namespace {

/// Returns a page of a store or events of a watch: 500 items with values of 1.5 KB.
std::string pageOf(const std::string &list)
{
    nlohmann::json items = nlohmann::json::array();
    for (int i = 0; i < 500; ++i) {
        const auto number = std::to_string(i);
        items.push_back({{"key", "fleet/job/" + std::string(16 - number.size(), '0') + number},
                         {"value", std::string(2000, 'A')},
                         {"revision", 100 + i}});
    }
    return nlohmann::json({{list, items}, {"current-rev", 1000}, {"more-pages", true}}).dump();
}

} // namespace

/// Guards against calls that a narrow link can never complete: a response that keeps arriving for
/// longer than a silent store is waited for was given up, and repeated from its beginning.
class platform_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_client_test);
    CPPUNIT_TEST(pageThatArrivesSlowlyIsRead);
    CPPUNIT_TEST(eventsThatArriveSlowlyAreRead);
    CPPUNIT_TEST(itemThatArrivesSlowlyIsRead);
    CPPUNIT_TEST(hostsThatArriveSlowlyAreRead);
    CPPUNIT_TEST(conflictThatArrivesSlowlyIsRead);
    CPPUNIT_TEST(reportThatArrivesSlowlyIsRead);
    CPPUNIT_TEST(cancelledReadLeavesTheLink);
    CPPUNIT_TEST_SUITE_END();

    /// A response of so many pieces arrives within 2.4 s, three times as long as a silent store is
    /// waited for.
    static constexpr int pieces = 24;
    static constexpr std::chrono::milliseconds pause {100};
    /// For reports, which are small.
    static constexpr std::chrono::milliseconds shortPause {30};

    /// Makes a call to a server whose every response is `body`. Returns its result, after checking
    /// that one request was sent.
    template <class T>
    static result<T>
    call(const std::string &body,
         const std::function<void(platform_client &, const std::string &, reply<T>)> &send,
         int status = 200, std::chrono::milliseconds between = pause)
    {
        const slow_server server(status, body, pieces, between);
        auto loop = io_loop::make();
        CPPUNIT_ASSERT(loop.has_value());
        const auto address = server.address();
        platform_client client(**loop, {address, address, address, "holder"});
        std::optional<result<T>> outcome;
        (*loop)->after(0ms, [&] {
            send(client, address, [&](result<T> value) {
                outcome = std::move(value);
                (*loop)->stop();
            });
        });
        (*loop)->run();
        loop->reset();
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
        return *outcome;
    }

public:
    void pageThatArrivesSlowlyIsRead()
    {
        const auto page =
            call<store_page>(pageOf("items"), [](auto &client, const auto &, auto done) {
                client.readRange("fleet/job/", "", done);
            });
        CPPUNIT_ASSERT_MESSAGE(page ? "" : describe(page.error()), page.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t {500}, page->items.size());
        CPPUNIT_ASSERT(page->more);
    }

    void eventsThatArriveSlowlyAreRead()
    {
        const auto page =
            call<store_page>(pageOf("events"), [](auto &client, const auto &, auto done) {
                client.watch("fleet/job/", 5, 500ms, done);
            });
        CPPUNIT_ASSERT_MESSAGE(page ? "" : describe(page.error()), page.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t {500}, page->items.size());
    }

    void itemThatArrivesSlowlyIsRead()
    {
        const nlohmann::json body = {
            {"key", "op/config"}, {"value", std::string(400000, 'A')}, {"revision", 7}};
        const auto item = call<store_item>(body.dump(), [](auto &client, const auto &, auto done) {
            client.readItem("op/config", done);
        });
        CPPUNIT_ASSERT_MESSAGE(item ? "" : describe(item.error()), item.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t {7}, item->revision);
    }

    void hostsThatArriveSlowlyAreRead()
    {
        nlohmann::json hosts = nlohmann::json::array();
        for (int i = 0; i < 2000; ++i) {
            hosts.push_back({{"machine", "host-" + std::to_string(i)},
                             {"pool", "pool-a"},
                             {"state", "up"},
                             {"capacity", {{"cpu", 8000}, {"mem-mb", 1000}, {"gpu", 0}}},
                             {"labels", {"a"}},
                             {"id", ""}});
        }
        const auto listed = call<std::vector<host_entry>>(
            nlohmann::json({{"machines", hosts}}).dump(),
            [](auto &client, const auto &, auto done) { client.listHosts(done); });
        CPPUNIT_ASSERT_MESSAGE(listed ? "" : describe(listed.error()), listed.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t {2000}, listed->size());
    }

    /// The response to a transaction that was not applied contains the items of its conditions.
    void conflictThatArrivesSlowlyIsRead()
    {
        const auto answer = call<transaction_reply>(
            pageOf("items"), [](auto &client, const auto &, auto done) { client.commit({}, done); },
            412);
        CPPUNIT_ASSERT_MESSAGE(answer ? "" : describe(answer.error()), answer.has_value());
        CPPUNIT_ASSERT(!answer->applied);
        CPPUNIT_ASSERT_EQUAL(std::size_t {500}, answer->current.size());
    }

    void reportThatArrivesSlowlyIsRead()
    {
        nlohmann::json ended = nlohmann::json::array();
        for (int i = 1; i <= 500; ++i) {
            ended.push_back({i, "5c0e7a21d94b36f8.0.1." + std::to_string(i), 1, "done", ""});
        }
        const nlohmann::json body = {{"clock-ms", 482113},
                                     {"born", 7},
                                     {"running", nlohmann::json::array()},
                                     {"ended", ended}};
        const auto report = call<worker_report>(
            body.dump(),
            [](auto &client, const auto &address, auto done) {
                worker_entry worker;
                worker.id = "worker";
                worker.address = address;
                client.poll(worker, {}, done);
            },
            200, shortPause);
        CPPUNIT_ASSERT_MESSAGE(report ? "" : describe(report.error()), report.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t {500}, report->ended.size());
    }

    /// Guards against a page that goes on filling the link after nobody waits for it any more.
    void cancelledReadLeavesTheLink()
    {
        slow_server server(200, pageOf("items"), 100, pause);
        auto loop = io_loop::make();
        CPPUNIT_ASSERT(loop.has_value());
        platform_client client(**loop, {server.address(), "", "", "holder"});
        bool replied = false;
        (*loop)->after(0ms, [&] {
            client.readRange("fleet/job/", "", [&](const result<store_page> &) { replied = true; });
        });
        (*loop)->after(500ms, [&] { client.cancelPageReads(); });
        const auto end = (*loop)->now() + 5s;
        std::function<void()> check = [&] {
            if (server.brokenOff() || (*loop)->now() >= end) {
                (*loop)->stop();
            } else {
                (*loop)->after(10ms, check);
            }
        };
        check();
        (*loop)->run();
        CPPUNIT_ASSERT(server.brokenOff());
        CPPUNIT_ASSERT(!replied);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_client_test);
