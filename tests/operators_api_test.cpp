#include "tests/support/member_simulation.h"

#include <ibishinge/service/operators_api.h>

#include <cppunit/extensions/HelperMacros.h>
#include <glog/logging.h>
#include <rapidcheck.h>

#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <string>
#include <vector>

using namespace ibishinge;
using nlohmann::json;

namespace {

const std::string token = "0123456789abcdef-operators";

json sample()
{
    std::ifstream in(IBISHINGE_SOURCE_DIR "/examples/catalogue.json");
    return json::parse(in);
}

json edited(int limit)
{
    json document = sample();
    document["teams"][0]["upper_limit"] = limit;
    return document;
}

http_request request(std::string method, std::string path, std::string body = "",
                     std::string ifMatch = "")
{
    http_request r;
    r.method = std::move(method);
    r.path = std::move(path);
    r.body = std::move(body);
    r.headers = {{"Authorization", "Bearer " + token}};
    if (!ifMatch.empty()) {
        r.headers.push_back({"If-Match", std::move(ifMatch)});
    }
    return r;
}

/// Runs a hook before each write, as another operator who is faster.
class racing_kv_store final : public kv_store
{
public:
    explicit racing_kv_store(kv_store &store)
        : m_store(store)
    {
    }
    std::function<void()> beforeWrite;

    result<range_result> range(const range_query &query) override
    {
        return m_store.range(query);
    }
    result<batch_result> applyBatch(std::span<const conditional_write> writes) override
    {
        if (beforeWrite) {
            std::exchange(beforeWrite, nullptr)();
        }
        return m_store.applyBatch(writes);
    }
    result<lease_id> grantLease(std::chrono::seconds ttl) override
    {
        return m_store.grantLease(ttl);
    }
    result<void> keepAlive(lease_id lease) override
    {
        return m_store.keepAlive(lease);
    }
    result<void> revokeLease(lease_id lease) override
    {
        return m_store.revokeLease(lease);
    }

private:
    kv_store &m_store;
};

/// Two entry processes with one operator each.
struct two_operators
{
    explicit two_operators(configuration_publisher publish = {})
    {
        configuration_cache_options second;
        second.self.incarnation = "second";
        cacheB = configuration_cache::create(store, clock, second);
        a = operators_api::create(racing, clock, *cacheA, {token, std::move(publish)});
        b = operators_api::create(store, clock, *cacheB, {token, {}});
    }

    /// Returns the revision in the store.
    store_revision put(operators_api &api, int limit, store_revision base)
    {
        const auto done =
            api.handle(request("PUT", "/v1/catalogue", edited(limit).dump(), std::to_string(base)));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(done.body, 200, done.status);
        return json::parse(done.body)["revision"];
    }
    json get(const std::string &path)
    {
        const auto found = b->handle(request("GET", path));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(found.body, 200, found.status);
        return json::parse(found.body);
    }

    manual_clock clock;
    memory_kv_store store {clock};
    racing_kv_store racing {store};
    std::unique_ptr<configuration_cache> cacheA = configuration_cache::create(store, clock, {});
    std::unique_ptr<configuration_cache> cacheB;
    std::unique_ptr<operators_api> a;
    std::unique_ptr<operators_api> b;
};

int limitOf(const json &record)
{
    return record["catalogue"]["teams"][0]["upper_limit"];
}

} // namespace

/// Guards against an edit that is lost without a word, a change reported wrongly after a lost
/// response, and access without the operators' token.
class operators_api_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operators_api_test);
    CPPUNIT_TEST(everyResourceNeedsTheToken);
    CPPUNIT_TEST(requestsAreAnsweredByTheTable);
    CPPUNIT_TEST(changeIsStoredInEffectAndInTheHistory);
    CPPUNIT_TEST(raceIsAnsweredWithBothSides);
    CPPUNIT_TEST(raceBetweenReadAndWriteIsAnsweredWithBothSides);
    CPPUNIT_TEST(lostResponsesAreResolved);
    CPPUNIT_TEST(acceptedAndOvertakenChangeIsReportedAsAccepted);
    CPPUNIT_TEST(noEditIsSilentlyLost);
    CPPUNIT_TEST(keyIsShownOnceAndWorksUntilItIsWithdrawn);
    CPPUNIT_TEST(racingKeyEditsAreBothKept);
    CPPUNIT_TEST(lostResponsesOfKeyEditsAreResolved);
    CPPUNIT_TEST(answerNamesTheMembersWithTheChange);
    CPPUNIT_TEST(oversizedCatalogueIsRejected);
    CPPUNIT_TEST(historyIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    operators_api_test()
    {
        FLAGS_minloglevel = google::GLOG_FATAL; // Thousands of changes are not worth a line each.
    }

    void everyResourceNeedsTheToken()
    {
        two_operators o;
        const std::vector<std::vector<http_header>> headers {
            {},
            {{"Authorization", ""}},
            {{"Authorization", "Bearer "}},
            {{"Authorization", "Bearer " + token + "x"}},
            {{"Authorization", "Bearer " + token.substr(1)}},
            {{"Authorization", token}},
            {{"Authorization", "Basic " + token}},
        };
        const std::vector<std::pair<std::string, std::string>> resources {
            {"GET", "/v1/catalogue"},
            {"PUT", "/v1/catalogue"},
            {"POST", "/v1/catalogue/check"},
            {"GET", "/v1/catalogue/history"},
            {"GET", "/v1/catalogue/history/1"},
            {"GET", "/v1/keys"},
            {"POST", "/v1/keys"},
            {"DELETE", "/v1/keys/a"},
            {"GET", "/v1/status"},
            {"GET", "/v1/hosts"},
            {"GET", "/v1/burn"},
            {"GET", "/none"},
        };
        for (const auto &[method, path] : resources) {
            for (const auto &wrong : headers) {
                auto r = request(method, path, "{}", "0");
                r.headers = wrong;
                const auto refused = o.a->handle(r);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 401, refused.status);
                CPPUNIT_ASSERT(refused.body.find(token) == std::string::npos);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), o.store.readCalls() + o.store.writeCalls());
        // A service without a token accepts nobody, least of all an empty one.
        const auto closed = operators_api::create(o.store, o.clock, *o.cacheA, {"", {}});
        auto r = request("GET", "/v1/catalogue");
        r.headers = {{"Authorization", "Bearer "}};
        CPPUNIT_ASSERT_EQUAL(401, closed->handle(r).status);
    }

    void requestsAreAnsweredByTheTable()
    {
        two_operators o;
        const std::string good = sample().dump();
        struct row
        {
            http_request given;
            int status;
        };
        const std::vector<row> rows {
            {request("GET", "/v1/catalogue"), 200},
            {request("GET", "/v1/catalogue/history"), 200},
            {request("GET", "/v1/catalogue/history/1"), 404},
            {request("GET", "/v1/catalogue/history/x"), 404},
            {request("GET", "/v1/catalogue/history/-1"), 404},
            {request("GET", "/v1/catalogues"), 404},
            {request("DELETE", "/v1/catalogue"), 404},
            {request("PUT", "/v1/catalogue", good), 400},
            {request("PUT", "/v1/catalogue", good, "x"), 400},
            {request("PUT", "/v1/catalogue", good, "-1"), 400},
            {request("PUT", "/v1/catalogue", good, "*"), 400},
            {request("PUT", "/v1/catalogue", "{", "0"), 400},
            {request("PUT", "/v1/catalogue", "{}", "0"), 400},
            {request("PUT", "/v1/catalogue", good, "7"), 409},
            {request("PUT", "/v1/catalogue", good, "\"0\""), 200},
            {request("PUT", "/v1/catalogue", good, "0"), 409},
            {request("GET", "/v1/catalogue/history/1"), 200},
            {request("POST", "/v1/catalogue/check", "{}"), 200},
            {request("POST", "/v1/catalogue/check", good), 200},
            {request("POST", "/v1/keys", ""), 400},
            {request("POST", "/v1/keys", "{}"), 400},
            {request("POST", "/v1/keys", R"({"team":"amber","more":1})"), 400},
            {request("POST", "/v1/keys", R"({"team":"nobody"})"), 404},
            {request("POST", "/v1/keys", R"({"team":"amber"})"), 201},
            {request("DELETE", "/v1/keys/none"), 404},
        };
        for (const auto &r : rows) {
            const auto answer = o.a->handle(r.given);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(r.given.method + " " + r.given.path + answer.body,
                                         r.status, answer.status);
        }
        o.store.setFaultHook([](std::string_view) { return store_fault::unavailable; });
        for (const auto &r : rows) {
            const auto answer = o.a->handle(r.given);
            const bool needsNoStore = r.given.path == "/v1/catalogue/check";
            CPPUNIT_ASSERT(needsNoStore || answer.status >= 400);
            CPPUNIT_ASSERT(answer.status != 500);
        }
    }

    void changeIsStoredInEffectAndInTheHistory()
    {
        two_operators o;
        const auto first = o.put(*o.a, 10, 0);
        const auto second = o.put(*o.b, 20, first);
        CPPUNIT_ASSERT_EQUAL(second, o.cacheB->view().current->revisions.catalogue);
        CPPUNIT_ASSERT_EQUAL(first, o.cacheA->view().current->revisions.catalogue);
        CPPUNIT_ASSERT(o.cacheA->poll().has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(20),
                             o.cacheA->view().current->catalogue.value.teams[0].upperLimit);
        const auto history = o.get("/v1/catalogue/history")["versions"];
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), history.size());
        CPPUNIT_ASSERT(history[0]["revision"] == first && history[1]["revision"] == second);
        CPPUNIT_ASSERT_EQUAL(10, limitOf(o.get("/v1/catalogue/history/1")));
        CPPUNIT_ASSERT_EQUAL(20, limitOf(o.get("/v1/catalogue")));
    }

    void raceIsAnsweredWithBothSides()
    {
        two_operators o;
        const auto base = o.put(*o.a, 10, 0);
        const auto winner = o.put(*o.b, 20, base);
        expectConflict(
            o,
            o.a->handle(request("PUT", "/v1/catalogue", edited(30).dump(), std::to_string(base))),
            base, winner);
    }

    void raceBetweenReadAndWriteIsAnsweredWithBothSides()
    {
        two_operators o;
        const auto base = o.put(*o.a, 10, 0);
        store_revision winner = 0;
        o.racing.beforeWrite = [&] { winner = o.put(*o.b, 20, base); };
        const auto answer =
            o.a->handle(request("PUT", "/v1/catalogue", edited(30).dump(), std::to_string(base)));
        expectConflict(o, answer, base, winner);
    }

    void lostResponsesAreResolved()
    {
        struct row
        {
            store_fault fault;
            int times;
            int status;
        };
        const std::vector<row> rows {
            {store_fault::lost_response, 1, 200},  {store_fault::lost_response, 3, 200},
            {store_fault::lost_call, 1, 200},      {store_fault::lost_call, 3, 200},
            {store_fault::lost_response, 99, 500}, {store_fault::lost_call, 99, 500},
            {store_fault::unavailable, 1, 503},
        };
        for (const auto &r : rows) {
            two_operators o;
            const auto base = o.put(*o.a, 10, 0);
            int left = r.times;
            o.store.setFaultHook([&](std::string_view operation) {
                return operation == "applyBatch" && left-- > 0 ? r.fault : store_fault::none;
            });
            const auto answer = o.a->handle(
                request("PUT", "/v1/catalogue", edited(20).dump(), std::to_string(base)));
            o.store.setFaultHook({});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, r.status, answer.status);
            const auto now = o.get("/v1/catalogue");
            const auto body = json::parse(answer.body);
            if (r.status == 200) {
                CPPUNIT_ASSERT_EQUAL(20, limitOf(now));
                CPPUNIT_ASSERT(now["revision"] == body["revision"]);
                CPPUNIT_ASSERT(now["change_id"] == body["change_id"]);
                CPPUNIT_ASSERT(now["version"] == 2);
            } else if (r.status == 503) {
                CPPUNIT_ASSERT_EQUAL(10, limitOf(now));
            } else {
                CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"), std::string(body["error"]));
                CPPUNIT_ASSERT(body.contains("change_id"));
            }
        }
    }

    void acceptedAndOvertakenChangeIsReportedAsAccepted()
    {
        two_operators o;
        const auto base = o.put(*o.a, 10, 0);
        bool isFirst = true;
        o.store.setFaultHook([&](std::string_view operation) {
            return operation == "applyBatch" && std::exchange(isFirst, false)
                       ? store_fault::lost_response
                       : store_fault::none;
        });
        // The second attempt of operator A finds that B has built on A's accepted change.
        int writes = 0;
        std::function<void()> hook = [&] {
            if (++writes == 2) {
                const auto accepted = o.get("/v1/catalogue");
                CPPUNIT_ASSERT_EQUAL(20, limitOf(accepted));
                static_cast<void>(o.put(*o.b, 30, accepted["revision"]));
            } else {
                o.racing.beforeWrite = hook;
            }
        };
        o.racing.beforeWrite = hook;
        const auto answer =
            o.a->handle(request("PUT", "/v1/catalogue", edited(20).dump(), std::to_string(base)));
        CPPUNIT_ASSERT_EQUAL(2, writes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 200, answer.status);
        CPPUNIT_ASSERT_EQUAL(20, limitOf(o.get("/v1/catalogue/history/2")));
        CPPUNIT_ASSERT_EQUAL(30, limitOf(o.get("/v1/catalogue")));
    }

    void noEditIsSilentlyLost()
    {
        CPPUNIT_ASSERT(rc::check("each accepted edit is in the history, built on its base", [] {
            two_operators o;
            const auto faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
            std::size_t call = 0;
            o.store.setFaultHook([&](std::string_view) {
                const int fault = call < faults.size() ? faults[call++] : 0;
                return fault < 9 ? store_fault::none : static_cast<store_fault>(fault - 8);
            });
            // Each operator works on the revision seen last, as a person with an open editor does.
            std::array<store_revision, 2> bases {};
            std::map<int, store_revision> accepted; // limit -> revision
            std::map<int, store_revision> builtOn;
            std::set<int> refused;
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
            int limit = 100;
            for (const int step : steps) {
                const auto who = static_cast<std::size_t>(step % 2);
                auto &api = who == 0 ? *o.a : *o.b;
                if (step < 2) {
                    const auto read = api.handle(request("GET", "/v1/catalogue"));
                    if (read.status == 200) {
                        bases[who] = json::parse(read.body)["revision"];
                    }
                    continue;
                }
                ++limit;
                const auto done = api.handle(request("PUT", "/v1/catalogue", edited(limit).dump(),
                                                     std::to_string(bases[who])));
                if (done.status == 200) {
                    builtOn[limit] = bases[who];
                    accepted[limit] = json::parse(done.body)["revision"];
                    bases[who] = accepted[limit];
                } else if (done.status == 409 || done.status == 503) {
                    refused.insert(limit);
                }
            }
            o.store.setFaultHook({});
            std::map<int, store_revision> stored;
            store_revision before = 0;
            const json history = o.get("/v1/catalogue/history");
            for (const auto &item : history["versions"]) {
                const auto record =
                    o.get("/v1/catalogue/history/" + std::to_string(std::int64_t(item["version"])));
                const int value = limitOf(record);
                stored[value] = item["revision"];
                RC_ASSERT(!refused.contains(value));
                if (builtOn.contains(value)) {
                    RC_ASSERT(builtOn[value] == before);
                }
                before = item["revision"];
            }
            for (const auto &[value, revision] : accepted) {
                RC_ASSERT(stored.contains(value));
                RC_ASSERT(stored[value] == revision);
            }
            RC_ASSERT(before == o.get("/v1/catalogue")["revision"]);
        }));
    }

    void keyIsShownOnceAndWorksUntilItIsWithdrawn()
    {
        two_operators o;
        static_cast<void>(o.put(*o.a, 10, 0));
        const auto made = o.a->handle(request("POST", "/v1/keys", R"({"team":"amber"})"));
        const auto body = json::parse(made.body);
        const std::string key = body["key"];
        const std::string id = body["id"];
        const auto accepts = [&] {
            const auto current = o.cacheA->view().current;
            return authorize(current->keys, current->catalogue.value, {false, {"amber"}}, "amber",
                             key)
                .has_value();
        };
        CPPUNIT_ASSERT(accepts());
        const auto listed = o.get("/v1/keys");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), listed["keys"].size());
        CPPUNIT_ASSERT(listed["keys"][0]["id"] == id);
        CPPUNIT_ASSERT(!listed["keys"][0].contains("hash") && !listed["keys"][0].contains("salt"));
        CPPUNIT_ASSERT(listed.dump().find(key.substr(key.find('.') + 1)) == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(200, o.a->handle(request("DELETE", "/v1/keys/" + id)).status);
        CPPUNIT_ASSERT(!accepts());
        const auto revokedAt = o.get("/v1/keys")["keys"][0]["revoked_at_ms"];
        o.clock.advance(std::chrono::seconds(5));
        CPPUNIT_ASSERT_EQUAL(200, o.a->handle(request("DELETE", "/v1/keys/" + id)).status);
        CPPUNIT_ASSERT(o.get("/v1/keys")["keys"][0]["revoked_at_ms"] == revokedAt);
    }

    void racingKeyEditsAreBothKept()
    {
        two_operators o;
        static_cast<void>(o.put(*o.a, 10, 0));
        const auto first = o.b->handle(request("POST", "/v1/keys", R"({"team":"birch"})"));
        const std::string id = json::parse(first.body)["id"];
        o.racing.beforeWrite = [&] {
            CPPUNIT_ASSERT_EQUAL(200, o.b->handle(request("DELETE", "/v1/keys/" + id)).status);
        };
        CPPUNIT_ASSERT_EQUAL(
            201, o.a->handle(request("POST", "/v1/keys", R"({"team":"amber"})")).status);
        const auto keys = o.get("/v1/keys")["keys"];
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), keys.size());
        CPPUNIT_ASSERT(keys[0].contains("revoked_at_ms"));
        CPPUNIT_ASSERT(!keys[1].contains("revoked_at_ms"));
    }

    void lostResponsesOfKeyEditsAreResolved()
    {
        for (const auto fault : {store_fault::lost_response, store_fault::lost_call}) {
            for (const int times : {1, 3, 99}) {
                two_operators o;
                static_cast<void>(o.put(*o.a, 10, 0));
                int left = times;
                o.store.setFaultHook([&](std::string_view operation) {
                    return operation == "applyBatch" && left-- > 0 ? fault : store_fault::none;
                });
                const auto made = o.a->handle(request("POST", "/v1/keys", R"({"team":"amber"})"));
                // Reading back settles a write that took effect, however many responses are lost.
                const bool settled = times < 99 || fault == store_fault::lost_response;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(made.body, settled ? 201 : 500, made.status);
                const std::string id = json::parse(made.body)["id"];
                left = times;
                const auto gone = o.a->handle(request("DELETE", "/v1/keys/" + id));
                o.store.setFaultHook({});
                const auto keys = o.get("/v1/keys")["keys"];
                CPPUNIT_ASSERT_EQUAL(settled ? std::size_t(1) : 0, keys.size());
                if (settled) {
                    CPPUNIT_ASSERT_EQUAL(200, gone.status);
                    CPPUNIT_ASSERT(keys[0].contains("revoked_at_ms"));
                }
            }
        }
    }

    void answerNamesTheMembersWithTheChange()
    {
        const member_info near {"m1", {"127.0.0.1", 1}, "h1", "dc1", member_role::entry};
        const member_info far {"m2", {"127.0.0.1", 2}, "h2", "dc2", member_role::control};
        configuration_documents published;
        two_operators o([&](const configuration_documents &documents) {
            published = documents;
            return std::vector<member_effect> {{near, true, ""}, {far, false, "no answer"}};
        });
        const auto done = o.a->handle(request("PUT", "/v1/catalogue", edited(1).dump(), "0"));
        const auto body = json::parse(done.body);
        CPPUNIT_ASSERT(body["in_effect_here"] == true);
        CPPUNIT_ASSERT(body["members"][0]["in_effect"] == true);
        CPPUNIT_ASSERT(body["members"][1]["in_effect"] == false);
        CPPUNIT_ASSERT(body["members"][1]["detail"] == "no answer");
        CPPUNIT_ASSERT(body["members"][1]["incarnation"] == "m2");
        CPPUNIT_ASSERT(body["revision"] == published.catalogue.revision);
    }

    void oversizedCatalogueIsRejected()
    {
        two_operators o;
        json document = sample();
        const json team = document["teams"][0];
        for (int i = 0; i < 6000; ++i) {
            document["teams"].push_back(team);
            document["teams"].back()["name"] = "team" + std::to_string(i);
        }
        const auto answer = o.a->handle(request("PUT", "/v1/catalogue", document.dump(), "0"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 413, answer.status);
        CPPUNIT_ASSERT(o.store.range({"config", true, true})->entries.empty());
    }

    void historyIsBounded()
    {
        two_operators o;
        catalogue_record record {keptVersions, "old", milliseconds(1), *parseCatalogue(sample())};
        const std::array<conditional_write, 2> writes {
            {{std::string(catalogueKey), 0, {}, encodeCatalogueRecord(record), 0},
             {historyKey(1), 0, {}, encodeCatalogueRecord(record), 0}}};
        const auto base = o.store.applyBatch(writes)->outcomes[0].modRevision;
        static_cast<void>(o.put(*o.a, 10, base));
        const auto versions = o.get("/v1/catalogue/history")["versions"];
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), versions.size());
        CPPUNIT_ASSERT(versions[0]["version"] == keptVersions + 1);
    }

private:
    static void expectConflict(two_operators &o, const http_response &answer, store_revision base,
                               store_revision winner)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, 409, answer.status);
        const auto body = json::parse(answer.body);
        CPPUNIT_ASSERT(body["expected_revision"] == base);
        CPPUNIT_ASSERT(body["current_revision"] == winner);
        CPPUNIT_ASSERT(body["yours"]["teams"][0]["upper_limit"] == 30);
        CPPUNIT_ASSERT(body["current"]["teams"][0]["upper_limit"] == 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), body["differences"].size());
        CPPUNIT_ASSERT(body["differences"][0]["place"] == "/teams/amber/upper_limit");
        CPPUNIT_ASSERT_EQUAL(20, limitOf(o.get("/v1/catalogue")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), o.get("/v1/catalogue/history")["versions"].size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operators_api_test);
