#include "standins/memory_kv_store.h"

#include <ibishinge/outside/jsonrpc_peer_client.h>
#include <ibishinge/service/configuration_agent.h>
#include <ibishinge/service/operators_api.h>
#include <ibishinge/state/keys_record.h>

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

const std::string secret = "0123456789abcdef-peers";

/// Returns fixed answers and keeps what it was given.
class recording_handler final : public peer_handler
{
public:
    exchange_message exchange(const exchange_message &message) override
    {
        ++calls;
        const std::lock_guard lock(m_mutex);
        received = message;
        return answer;
    }
    configuration_documents fetchConfiguration() override
    {
        ++calls;
        return documents;
    }
    configuration_revisions push(const configuration_documents &pushed) override
    {
        ++calls;
        const std::lock_guard lock(m_mutex);
        documents = pushed;
        return {pushed.catalogue.revision, pushed.keys.revision};
    }

    std::atomic<int> calls {0};
    exchange_message received;
    exchange_message answer;
    configuration_documents documents;

private:
    std::mutex m_mutex;
};

exchange_message message(std::string incarnation)
{
    exchange_message m;
    m.sender = {std::move(incarnation), {"127.0.0.1", 7}, "h", "dc", member_role::control};
    m.revisions = {(std::int64_t(1) << 53) + 1, 3}; // Not representable as a double.
    m.storeRevision = INT64_MAX;
    m.verificationAge = 1234ms;
    m.leavingTargets = {"127.0.0.1:1", "127.0.0.1:2"};
    m.members = {{"x", {"127.0.0.1", 8}, "h2", "dc2", member_role::entry}};
    return m;
}

bool isSame(const exchange_message &a, const exchange_message &b)
{
    return a.sender == b.sender && a.revisions == b.revisions && a.storeRevision == b.storeRevision
           && a.verificationAge == b.verificationAge && a.leavingTargets == b.leavingTargets
           && a.members == b.members;
}

std::unique_ptr<http_server> serve(http_handler handler, std::size_t maxBody = maxPeerBodyBytes)
{
    http_server_options options;
    options.threads = 16;
    options.maxBodyBytes = maxBody;
    return std::move(*http_server::start(options, std::move(handler)));
}

/// Serves a handler over the peer protocol.
class served_handler
{
public:
    explicit served_handler(peer_handler &handler)
        : m_peers(jsonrpc_peer_server::create(handler, secret))
        , m_http(serve([this](const http_request &r) { return m_peers->handle(r); }))
    {
    }
    [[nodiscard]] endpoint where() const
    {
        return {"127.0.0.1", m_http->port()};
    }
    [[nodiscard]] jsonrpc_peer_server &peers()
    {
        return *m_peers;
    }

private:
    std::unique_ptr<jsonrpc_peer_server> m_peers;
    std::unique_ptr<http_server> m_http;
};

/// Passes calls on to a handler that is made after its server, whose port it has to know.
class late_handler final : public peer_handler
{
public:
    exchange_message exchange(const exchange_message &given) override
    {
        return target->exchange(given);
    }
    configuration_documents fetchConfiguration() override
    {
        return target->fetchConfiguration();
    }
    configuration_revisions push(const configuration_documents &given) override
    {
        return target->push(given);
    }

    peer_handler *target = nullptr;
};

/// A socket on which connections are not accepted until it is full, so that the next is dropped.
class full_listener
{
public:
    full_listener()
    {
        m_sockets.push_back(socket(AF_INET, SOCK_STREAM, 0));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto *raw = reinterpret_cast<sockaddr *>(&address); // NOLINT
        socklen_t length = sizeof address;
        CPPUNIT_ASSERT_EQUAL(0, bind(m_sockets[0], raw, length));
        getsockname(m_sockets[0], raw, &length);
        m_port = ntohs(address.sin_port);
        CPPUNIT_ASSERT_EQUAL(0, listen(m_sockets[0], 0));
        for (int i = 0; i < 4; ++i) {
            m_sockets.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            static_cast<void>(connect(m_sockets.back(), raw, length));
        }
    }
    ~full_listener()
    {
        for (const int s : m_sockets) {
            close(s);
        }
    }
    full_listener(const full_listener &) = delete;
    full_listener &operator=(const full_listener &) = delete;

    [[nodiscard]] endpoint where() const
    {
        return {"127.0.0.1", m_port};
    }

private:
    std::vector<int> m_sockets;
    std::uint16_t m_port = 0;
};

endpoint unusedEndpoint()
{
    return {"127.0.0.1", serve([](const http_request &) { return http_response {}; })->port()};
}

} // namespace

/// Guards against a peer protocol that loses or alters values, confuses a dropped connection with a
/// refused one, lets in callers without the secret, or fails on a malformed message.
class peer_contract_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_contract_test);
    CPPUNIT_TEST(valuesSurviveTheExchange);
    CPPUNIT_TEST(documentsSurviveFetchAndPush);
    CPPUNIT_TEST(wrongSecretIsRejected);
    CPPUNIT_TEST(malformedAnswersAreErrors);
    CPPUNIT_TEST(malformedRequestsReachNoHandler);
    CPPUNIT_TEST(onlyARefusedConnectionCountsAsRefused);
    CPPUNIT_TEST(concurrentCallsAreNotMixedUp);
    CPPUNIT_TEST(revocationReachesAMemberCutFromTheStore);
    CPPUNIT_TEST(agentKeepsMembersCurrent);
    CPPUNIT_TEST_SUITE_END();

public:
    void valuesSurviveTheExchange()
    {
        recording_handler handler;
        handler.answer = message("b");
        handler.answer.verificationAge.reset();
        handler.answer.members.clear();
        const served_handler server(handler);
        const auto answer = m_peers->exchange(server.where(), message("a"), 2s);
        CPPUNIT_ASSERT_MESSAGE(answer ? "" : describe(answer.error()), answer.has_value());
        CPPUNIT_ASSERT(isSame(*answer, handler.answer));
        CPPUNIT_ASSERT(isSame(handler.received, message("a")));
    }

    void documentsSurviveFetchAndPush()
    {
        recording_handler handler;
        const served_handler server(handler);
        std::string difficult = "\"\\/\b\n\t\x7f \xc3\xa9\xe2\x82\xac {}[]";
        difficult.resize(difficult.size() + 1); // A zero byte.
        difficult += std::string(maxValueBytes - difficult.size(), '"');
        const configuration_documents sent {{difficult, 5}, {"{}", 6}};
        const auto pushed = m_peers->push(server.where(), sent, 10s);
        CPPUNIT_ASSERT_MESSAGE(pushed ? "" : describe(pushed.error()), pushed.has_value());
        CPPUNIT_ASSERT(*pushed == (configuration_revisions {5, 6}));
        const auto fetched = m_peers->fetchConfiguration(server.where(), 10s);
        CPPUNIT_ASSERT_MESSAGE(fetched ? "" : describe(fetched.error()), fetched.has_value());
        CPPUNIT_ASSERT(fetched->catalogue.text == difficult);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), fetched->catalogue.revision);
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), fetched->keys.text);
    }

    void wrongSecretIsRejected()
    {
        recording_handler handler;
        const served_handler server(handler);
        for (const std::string &wrong :
             {secret + "x", secret.substr(1), std::string(), std::string(22, '0')}) {
            const auto peers = makeJsonrpcPeerClient(*m_client, wrong);
            const auto refused = peers->exchange(server.where(), message("a"), 2s);
            CPPUNIT_ASSERT(!refused.has_value());
            CPPUNIT_ASSERT(refused.error().kind == error_kind::unauthorized);
            CPPUNIT_ASSERT(!peers->push(server.where(), {}, 2s).has_value());
            CPPUNIT_ASSERT(!peers->fetchConfiguration(server.where(), 2s).has_value());
        }
        const auto open = jsonrpc_peer_server::create(handler, "");
        CPPUNIT_ASSERT_EQUAL(401, open->handle({}).status);
        CPPUNIT_ASSERT_EQUAL(0, handler.calls.load());
    }

    void malformedAnswersAreErrors()
    {
        const auto answerOf = [](const std::string &result) {
            return R"({"jsonrpc":"2.0","id":1,"result":)" + result + "}";
        };
        const std::string sender = R"("sender":{"incarnation":"a","address":"127.0.0.1:1",)"
                                   R"("host":"h","data_centre":"d","role":"entry"},)";
        const std::string rest = R"("store_revision":1,"leaving_targets":[],"members":[]})";
        const std::vector<std::pair<int, std::string>> answers {
            {200, ""},
            {200, "not JSON"},
            {200, "[]"},
            {200, "{}"},
            {200, answerOf("1")},
            {200, answerOf("[]")},
            {200, answerOf("null")},
            {200, answerOf("{}")},
            {200, answerOf("{" + sender + R"("revisions":{"catalogue":-1,"keys":1},)" + rest)},
            {200, answerOf("{" + sender + R"("revisions":{"catalogue":1.5,"keys":1},)" + rest)},
            {200, answerOf("{" + sender + R"("revisions":{"catalogue":"1","keys":1},)" + rest)},
            {200, answerOf("{" + sender + R"("revisions":{"keys":1},)" + rest)},
            {200, R"({"jsonrpc":"2.0","id":1,"error":{"code":-32603,"message":"no"}})"},
            {200, R"({"jsonrpc":"2.0","id":1,"error":7})"},
            {500, answerOf("{}")},
            {404, ""},
        };
        http_response next;
        const auto server = serve([&next](const http_request &) { return next; });
        const endpoint where {"127.0.0.1", server->port()};
        for (const auto &[status, body] : answers) {
            next = {status, {}, body};
            const auto answer = m_peers->exchange(where, message("a"), 2s);
            CPPUNIT_ASSERT_MESSAGE(body, !answer.has_value());
            CPPUNIT_ASSERT_MESSAGE(describe(answer.error()),
                                   answer.error().kind == error_kind::target_failed);
        }
        // The cases above fail for the reason given and not for the frame around it.
        next = jsonResponse(
            200, answerOf("{" + sender + R"("revisions":{"catalogue":1,"keys":1},)" + rest));
        CPPUNIT_ASSERT(m_peers->exchange(where, message("a"), 2s).has_value());
    }

    void malformedRequestsReachNoHandler()
    {
        recording_handler handler;
        served_handler server(handler);
        const std::vector<std::string> bodies {
            "",
            "not JSON",
            "[]",
            "{}",
            "7",
            R"({"jsonrpc":"2.0","id":1,"method":"unknown","params":{}})",
            R"({"jsonrpc":"2.0","id":1,"method":"exchange"})",
            R"({"jsonrpc":"2.0","id":1,"method":"exchange","params":[]})",
            R"({"jsonrpc":"2.0","id":1,"method":"exchange","params":{"message":{}}})",
            R"({"jsonrpc":"2.0","id":1,"method":"push","params":{"documents":{"keys":1}}})",
            R"({"jsonrpc":"2.0","id":1,"method":7,"params":{}})",
            std::string(500, '['),
            std::string(5000, '['),
            R"(["\"]",)" + std::string(900, '['),
            R"([']", )" + std::string(900, '['),
            "/*\"*/" + std::string(900, '['),
        };
        for (const auto &body : bodies) {
            http_request r;
            r.method = "POST";
            r.path = "/v1/peer";
            r.headers = {{"Ibishinge-Peer-Secret", secret}};
            r.body = body;
            const auto answer = m_client->send(server.where(), r, 2s);
            CPPUNIT_ASSERT_MESSAGE(body, answer.has_value());
            CPPUNIT_ASSERT_MESSAGE(body + answer->body,
                                   answer->body.find("error") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(0, handler.calls.load());
        CPPUNIT_ASSERT(m_peers->fetchConfiguration(server.where(), 2s).has_value());
    }

    void onlyARefusedConnectionCountsAsRefused()
    {
        const auto refused = m_peers->exchange(unusedEndpoint(), message("a"), 2s);
        CPPUNIT_ASSERT(refused.error().kind == error_kind::unavailable);
        CPPUNIT_ASSERT(isConnectionRefused(refused.error()));

        const full_listener full;
        const auto dropped = m_peers->exchange(full.where(), message("a"), 200ms);
        CPPUNIT_ASSERT(!dropped.has_value());
        CPPUNIT_ASSERT(!isConnectionRefused(dropped.error()));

        std::promise<void> release;
        const auto released = release.get_future().share();
        const auto frozen = serve([released](const http_request &) {
            released.wait();
            return http_response {};
        });
        const auto silent = m_peers->exchange({"127.0.0.1", frozen->port()}, message("a"), 200ms);
        release.set_value();
        CPPUNIT_ASSERT(silent.error().kind == error_kind::target_timeout);
        CPPUNIT_ASSERT(!isConnectionRefused(silent.error()));
    }

    void concurrentCallsAreNotMixedUp()
    {
        class echo final : public peer_handler
        {
        public:
            exchange_message exchange(const exchange_message &given) override
            {
                return given;
            }
            configuration_documents fetchConfiguration() override
            {
                return {};
            }
            configuration_revisions push(const configuration_documents &given) override
            {
                return {given.catalogue.revision, given.keys.revision};
            }
        } handler;
        const served_handler server(handler);
        std::atomic<int> wrong {0};
        std::vector<std::thread> threads;
        threads.reserve(8);
        for (int t = 0; t < 8; ++t) {
            threads.emplace_back([&, t] {
                for (int i = 0; i < 50; ++i) {
                    const auto sent = message(std::to_string(t) + "-" + std::to_string(i));
                    const auto answer = m_peers->exchange(server.where(), sent, 10s);
                    wrong += answer && isSame(*answer, sent) ? 0 : 1;
                    const auto pushed =
                        m_peers->push(server.where(), {{"", t + 1}, {"", i + 1}}, 10s);
                    wrong += pushed && *pushed == configuration_revisions {t + 1, i + 1} ? 0 : 1;
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(0, wrong.load());
    }

    void revocationReachesAMemberCutFromTheStore()
    {
        const system_clock_source clock;
        memory_kv_store store(clock);
        memory_kv_store cut(clock);
        cut.setFaultHook([](std::string_view) { return store_fault::unavailable; });
        late_handler handlerA;
        late_handler handlerB;
        const served_handler serverA(handlerA);
        const served_handler serverB(handlerB);
        const auto optionsA = options("a", serverA.where());
        const auto optionsB = options("b", serverB.where());
        const auto a = configuration_cache::create(store, clock, optionsA);
        const auto b = configuration_cache::create(cut, clock, optionsB);
        handlerA.target = a.get();
        handlerB.target = b.get();
        a->noteListed({optionsB.self});

        const auto key = makeKey("amber", {"k1", "salt", "0123456789"}, 1ms);
        key_list list {{key.record}};
        catalogue_record record {1, "c", 1ms, {}};
        record.value.teams = {{"amber", "o", work_class::normal, 1, 1}};
        const std::array<conditional_write, 2> writes {
            {{std::string(catalogueKey), 0, {}, encodeCatalogueRecord(record), 0},
             {std::string(keysKey), 0, {}, encodeKeys(list), 0}}};
        CPPUNIT_ASSERT(store.applyBatch(writes).has_value());
        CPPUNIT_ASSERT(a->poll().has_value());
        const auto publish = makePublisher(*a, *m_peers);
        CPPUNIT_ASSERT(publish(a->fetchConfiguration())[0].inEffect);
        const auto accepts = [&] {
            const auto current = b->view().current;
            return authorize(current->keys, current->catalogue.value, {false, {"amber"}}, "amber",
                             key.plaintext)
                .has_value();
        };
        CPPUNIT_ASSERT(accepts());
        // Holding the documents is no proof that they are current; an exchange with A is.
        CPPUNIT_ASSERT(b->view().freshness.state == freshness_state::stopped);
        b->noteListed({optionsA.self});
        CPPUNIT_ASSERT(b->exchangeWith(b->members().front(), *m_peers).has_value());
        CPPUNIT_ASSERT(b->view().freshness.state == freshness_state::usable);

        const std::string token = "0123456789abcdef";
        const auto api = operators_api::create(store, clock, *a, {token, publish});
        http_request r;
        r.method = "DELETE";
        r.path = "/v1/keys/k1";
        r.headers = {{"Authorization", "Bearer " + token}};
        const auto done = api->handle(r);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(done.body, 200, done.status);
        const auto body = nlohmann::json::parse(done.body);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(done.body, true, bool(body["members"][0]["in_effect"]));
        CPPUNIT_ASSERT(!accepts());
    }

    void agentKeepsMembersCurrent()
    {
        const system_clock_source clock;
        memory_kv_store store(clock);
        std::promise<std::vector<std::string>> learned;
        std::atomic<bool> isLearned {false};
        late_handler handlerA;
        late_handler handlerB;
        const served_handler serverA(handlerA);
        const served_handler serverB(handlerB);
        auto optionsA = options("a", serverA.where());
        optionsA.leavingTargets = [] { return std::vector<std::string> {"127.0.0.1:9"}; };
        auto optionsB = options("b", serverB.where());
        std::atomic<configuration_cache *> cacheB {nullptr};
        optionsB.learnLeavingTargets = [&](const std::vector<std::string> &targets) {
            const auto *cache = cacheB.load();
            const bool isUsable =
                cache != nullptr && cache->view().freshness.state == freshness_state::usable;
            if (isUsable && !isLearned.exchange(true)) {
                learned.set_value(targets);
            }
        };
        const auto a = configuration_cache::create(store, clock, optionsA);
        const auto b = configuration_cache::create(store, clock, optionsB);
        handlerA.target = a.get();
        handlerB.target = b.get();
        cacheB = b.get();
        const auto membersA = membership::create(store, optionsA.self);
        const auto membersB = membership::create(store, optionsB.self);
        const auto agentA = configuration_agent::start(*membersA, *a, *m_peers);
        const auto agentB = configuration_agent::start(*membersB, *b, *m_peers);
        auto outcome = learned.get_future();
        CPPUNIT_ASSERT(outcome.wait_for(20s) == std::future_status::ready);
        CPPUNIT_ASSERT(outcome.get() == std::vector<std::string> {"127.0.0.1:9"});
    }

private:
    static configuration_cache_options options(const std::string &incarnation,
                                               const endpoint &address)
    {
        configuration_cache_options made;
        made.self = {incarnation, address, "h" + incarnation, "dc", member_role::entry};
        return made;
    }

    std::unique_ptr<http_client> m_client = http_client::create({});
    std::unique_ptr<peer_client> m_peers = makeJsonrpcPeerClient(*m_client, secret);
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_contract_test);
