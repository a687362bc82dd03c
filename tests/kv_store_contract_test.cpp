#include "standins/kv_store_service.h"
#include "standins/memory_kv_store.h"
#include "tests/support/manual_clock.h"
#include "tests/support/raw_socket.h"

#include <ibishinge/outside/base64.h>
#include <ibishinge/outside/etcd_kv_store.h>
#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/http_server.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <shared_mutex>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

/// A server whose handler can be replaced. The tests share two of them because CivetWeb takes up to
/// 2 s to stop a server.
class shared_server
{
public:
    shared_server()
    {
        http_server_options options;
        options.maxBodyBytes = 8U << 20U;
        m_server = std::move(http_server::start(options, [this](const http_request &request) {
                       const std::shared_lock lock(m_mutex);
                       return m_handler ? m_handler(request) : jsonResponse(503, "");
                   })).value();
    }

    /// Waits for the calls in progress first.
    void setHandler(http_handler handler)
    {
        const std::unique_lock lock(m_mutex);
        m_handler = std::move(handler);
    }
    [[nodiscard]] endpoint where() const
    {
        return {"127.0.0.1", m_server->port()};
    }

private:
    std::shared_mutex m_mutex;
    http_handler m_handler;
    std::unique_ptr<http_server> m_server;
};

shared_server &standinServer()
{
    static shared_server server;
    return server;
}

shared_server &otherServer()
{
    static shared_server server;
    return server;
}

/// A stand-in that listens, and an adapter that talks to it.
struct etcd_setup
{
    explicit etcd_setup(const kv_store_limits &limits = {},
                        std::chrono::milliseconds attemptTimeout = 30s)
        : service(clock, limits)
    {
        standinServer().setHandler([this](const http_request &r) { return service.handle(r); });
        etcd_kv_store_options options;
        options.endpoints = {where()};
        options.attemptTimeout = attemptTimeout;
        options.callTimeout = attemptTimeout;
        store = makeEtcdKvStore(options, *client);
    }
    ~etcd_setup()
    {
        service.shutDown();
        standinServer().setHandler({});
    }
    etcd_setup(const etcd_setup &) = delete;
    etcd_setup &operator=(const etcd_setup &) = delete;

    [[nodiscard]] static endpoint where()
    {
        return standinServer().where();
    }

    manual_clock clock;
    kv_store_service service;
    std::unique_ptr<http_client> client = http_client::create({});
    std::unique_ptr<kv_store> store;
};

/// Answers every call with a fixed response.
struct fixed_server
{
    explicit fixed_server(const http_response &response)
    {
        otherServer().setHandler([response](const http_request &) { return response; });
    }
    ~fixed_server()
    {
        otherServer().setHandler({});
    }
    fixed_server(const fixed_server &) = delete;
    fixed_server &operator=(const fixed_server &) = delete;

    [[nodiscard]] static endpoint where()
    {
        return otherServer().where();
    }
};

std::unique_ptr<kv_store> connectTo(std::vector<endpoint> endpoints, http_client &client)
{
    etcd_kv_store_options options;
    options.endpoints = std::move(endpoints);
    options.attemptTimeout = 30s;
    options.callTimeout = 60s;
    return makeEtcdKvStore(options, client);
}

conditional_write put(const std::string &key, const std::string &value,
                      std::optional<store_revision> expected = std::nullopt, lease_id lease = 0)
{
    return {key, expected, std::nullopt, value, lease};
}

conditional_write erase(const std::string &key,
                        std::optional<store_revision> expected = std::nullopt)
{
    return {key, expected, std::nullopt, std::nullopt, 0};
}

conditional_write guarded(conditional_write write, const std::string &key, store_revision revision)
{
    write.guard = write_guard {key, revision};
    return write;
}

result<batch_result> applyAll(kv_store &store, const std::vector<conditional_write> &writes)
{
    return store.applyBatch(writes);
}

/// Returns the value of `key`, or "absent".
std::string valueOf(kv_store &store, const std::string &key)
{
    const auto found = store.range({key});
    CPPUNIT_ASSERT(found.has_value());
    return found->entries.empty() ? "absent" : found->entries.front().value;
}

void assertKind(const std::string &name, error_kind expected, const std::optional<error> &found)
{
    CPPUNIT_ASSERT_MESSAGE(name + ": no error", found.has_value());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name + ": " + describe(*found), std::string(nameOf(expected)),
                                 std::string(nameOf(found->kind)));
}

template <class T>
std::optional<error> errorOf(const result<T> &outcome)
{
    return outcome ? std::nullopt : std::optional(outcome.error());
}

void createsOnlyIfAbsent(kv_store &store, manual_clock & /*clock*/)
{
    const auto first = applyAll(store, {put("a", "1", 0)});
    CPPUNIT_ASSERT(first->outcomes.at(0).applied);
    CPPUNIT_ASSERT(first->outcomes[0].modRevision > 0);
    CPPUNIT_ASSERT_EQUAL(first->revision, first->outcomes[0].modRevision);
    const auto second = applyAll(store, {put("a", "2", 0)});
    CPPUNIT_ASSERT(!second->outcomes.at(0).applied);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), second->outcomes[0].current.value().value);
    CPPUNIT_ASSERT_EQUAL(first->revision, second->outcomes[0].current->modRevision);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), valueOf(store, "a"));
}

void replacesOnlyTheExpectedRevision(kv_store &store, manual_clock & /*clock*/)
{
    const auto first = applyAll(store, {put("a", "1")})->revision;
    CPPUNIT_ASSERT(applyAll(store, {put("a", "2", first)})->outcomes.at(0).applied);
    CPPUNIT_ASSERT(!applyAll(store, {put("a", "3", first)})->outcomes.at(0).applied);
    const auto entry = store.range({"a"})->entries.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), entry.value);
    CPPUNIT_ASSERT_EQUAL(first, entry.createRevision);
    CPPUNIT_ASSERT(entry.modRevision > first);
}

void decidesWritesSeparately(kv_store &store, manual_clock & /*clock*/)
{
    const auto applied =
        applyAll(store, {put("a", "1", 0), put("b", "2", 7), put("c", "3"), erase("d", 0)});
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), applied->outcomes.size());
    CPPUNIT_ASSERT(applied->outcomes[0].applied);
    CPPUNIT_ASSERT(!applied->outcomes[1].applied);
    CPPUNIT_ASSERT(!applied->outcomes[1].current.has_value());
    CPPUNIT_ASSERT(applied->outcomes[2].applied);
    CPPUNIT_ASSERT(applied->outcomes[3].applied);
    CPPUNIT_ASSERT_EQUAL(applied->outcomes[0].modRevision, applied->outcomes[2].modRevision);
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), valueOf(store, "b"));
    CPPUNIT_ASSERT_EQUAL(std::string("3"), valueOf(store, "c"));
}

void checksTheGuard(kv_store &store, manual_clock & /*clock*/)
{
    const auto owner = applyAll(store, {put("owner", "me")})->revision;
    CPPUNIT_ASSERT(
        applyAll(store, {guarded(put("a", "1", 0), "owner", owner)})->outcomes[0].applied);
    CPPUNIT_ASSERT(
        !applyAll(store, {guarded(put("b", "1", 0), "owner", owner - 1)})->outcomes[0].applied);
    CPPUNIT_ASSERT(!applyAll(store, {guarded(put("c", "1"), "owner", 0)})->outcomes[0].applied);
    CPPUNIT_ASSERT(applyAll(store, {guarded(put("d", "1"), "absent", 0)})->outcomes[0].applied);
    const auto rejected = applyAll(store, {guarded(erase("a"), "owner", 0)});
    CPPUNIT_ASSERT_EQUAL(std::string("1"), rejected->outcomes[0].current.value().value);
}

void checksConditionsBeforeTheBatch(kv_store &store, manual_clock & /*clock*/)
{
    const auto owner = applyAll(store, {put("owner", "me")})->revision;
    const auto applied =
        applyAll(store, {put("owner", "you", owner), guarded(put("a", "1", 0), "owner", owner)});
    CPPUNIT_ASSERT(applied->outcomes[0].applied);
    CPPUNIT_ASSERT(applied->outcomes[1].applied);
}

void deletes(kv_store &store, manual_clock & /*clock*/)
{
    const auto first = applyAll(store, {put("a", "1")})->revision;
    CPPUNIT_ASSERT(!applyAll(store, {erase("a", first + 1)})->outcomes[0].applied);
    CPPUNIT_ASSERT(applyAll(store, {erase("a", first)})->outcomes[0].applied);
    const auto after = store.range({"a"});
    CPPUNIT_ASSERT(after->entries.empty());
    CPPUNIT_ASSERT(after->revision > first);
    const auto again = applyAll(store, {erase("a")});
    CPPUNIT_ASSERT(again->outcomes[0].applied);
    CPPUNIT_ASSERT_EQUAL(after->revision, again->revision);
    CPPUNIT_ASSERT_EQUAL(after->revision, again->outcomes[0].modRevision);
}

void keepsBytesOfKeysAndValues(kv_store &store, manual_clock & /*clock*/)
{
    std::string bytes;
    for (int value = 0; value < 256; ++value) {
        bytes += static_cast<char>(value);
    }
    // One, two and three bytes take different padding in base64.
    for (const std::string &value : {bytes, bytes + "x", bytes + "xy", std::string()}) {
        CPPUNIT_ASSERT(applyAll(store, {put("k" + bytes, value)})->outcomes[0].applied);
        CPPUNIT_ASSERT(valueOf(store, "k" + bytes) == value);
    }
}

void readsByPrefix(kv_store &store, manual_clock & /*clock*/)
{
    const std::string last = "p\xff";
    const auto written = applyAll(store, {put("p/b", "2"), put("p/a", "1"), put("p", "0"),
                                          put("q/a", "3"), put(last + "x", "4"), put("p0", "5")});
    const auto found = store.range({"p/", true});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), found->entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("p/a"), found->entries[0].key);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), found->entries[1].value);
    CPPUNIT_ASSERT_EQUAL(written->revision, found->entries[0].modRevision);
    CPPUNIT_ASSERT_EQUAL(written->revision, found->revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.range({last, true})->entries.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), store.range({"p", true})->entries.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), store.range({"", true})->entries.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.range({"p"})->entries.size());
    const auto keys = store.range({"p/", true, true});
    CPPUNIT_ASSERT_EQUAL(std::string(), keys->entries.at(0).value);
    CPPUNIT_ASSERT_EQUAL(written->revision, keys->entries[0].modRevision);

    // Guards against a reader of changes that misses one or is sent unchanged entries.
    const auto later = applyAll(store, {put("p/a", "6")});
    const auto changed = store.range({"p/", true, false, written->revision + 1});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), changed->entries.size());
    CPPUNIT_ASSERT_EQUAL(std::string("6"), changed->entries[0].value);
    CPPUNIT_ASSERT_EQUAL(later->revision, changed->revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), store.range({"p/", true, false, 1})->entries.size());
    CPPUNIT_ASSERT(store.range({"p/", true, false, later->revision + 1})->entries.empty());
}

void enforcesBounds(kv_store &store, manual_clock & /*clock*/)
{
    CPPUNIT_ASSERT(
        applyAll(store, {put("a", std::string(maxValueBytes, 'x'))})->outcomes[0].applied);
    CPPUNIT_ASSERT_EQUAL(maxValueBytes, valueOf(store, "a").size());
    assertKind("value", error_kind::too_large,
               errorOf(applyAll(store, {put("b", std::string(maxValueBytes + 1, 'x'))})));
    assertKind("batch bytes", error_kind::too_large,
               errorOf(applyAll(store, {put("b", std::string(maxValueBytes, 'x')),
                                        put("c", std::string(maxValueBytes, 'x'))})));
    std::vector<conditional_write> writes;
    writes.reserve(maxBatchWrites + 1);
    for (std::size_t i = 0; i < maxBatchWrites; ++i) {
        writes.push_back(put("n" + std::to_string(i), "1", 0));
    }
    const auto applied = applyAll(store, writes);
    CPPUNIT_ASSERT_EQUAL(maxBatchWrites, applied->outcomes.size());
    CPPUNIT_ASSERT(applied->outcomes.back().applied);
    writes.push_back(put("m", "1"));
    assertKind("writes", error_kind::too_large, errorOf(applyAll(store, writes)));
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), valueOf(store, "b"));
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), valueOf(store, "m"));
}

void expiresLeases(kv_store &store, manual_clock &clock)
{
    const auto lease = store.grantLease(3s).value();
    CPPUNIT_ASSERT(lease != 0);
    CPPUNIT_ASSERT(applyAll(store, {put("a", "1", 0, lease)})->outcomes[0].applied);
    CPPUNIT_ASSERT_EQUAL(lease, store.range({"a"})->entries.at(0).lease);
    clock.advance(2s);
    CPPUNIT_ASSERT(store.keepAlive(lease).has_value());
    clock.advance(2s);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), valueOf(store, "a"));
    clock.advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), valueOf(store, "a"));
    assertKind("keepAlive", error_kind::unknown_entity, errorOf(store.keepAlive(lease)));
}

void revokesLeases(kv_store &store, manual_clock & /*clock*/)
{
    const auto lease = store.grantLease(3s).value();
    const auto other = store.grantLease(3s).value();
    CPPUNIT_ASSERT(lease != other);
    static_cast<void>(applyAll(store, {put("a", "1", 0, lease), put("b", "2", 0, other)}));
    CPPUNIT_ASSERT(store.revokeLease(lease).has_value());
    CPPUNIT_ASSERT(store.revokeLease(lease).has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), valueOf(store, "a"));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), valueOf(store, "b"));
}

void unknownLeaseRejectsTheBatch(kv_store &store, manual_clock & /*clock*/)
{
    assertKind("batch", error_kind::unknown_entity,
               errorOf(applyAll(store, {put("a", "1"), put("b", "2", 0, 4711)})));
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), valueOf(store, "a"));
}

struct contract_case
{
    const char *name;
    void (*run)(kv_store &store, manual_clock &clock);
};

constexpr std::array<contract_case, 12> contractCases {{
    {"creates only if absent", createsOnlyIfAbsent},
    {"replaces only the expected revision", replacesOnlyTheExpectedRevision},
    {"decides writes separately", decidesWritesSeparately},
    {"checks the guard", checksTheGuard},
    {"checks conditions before the batch", checksConditionsBeforeTheBatch},
    {"deletes", deletes},
    {"keeps bytes of keys and values", keepsBytesOfKeysAndValues},
    {"reads by prefix", readsByPrefix},
    {"enforces bounds", enforcesBounds},
    {"expires leases", expiresLeases},
    {"revokes leases", revokesLeases},
    {"unknown lease rejects the batch", unknownLeaseRejectsTheBatch},
}};

/// The calls of the interface, for tables that go through all of them.
struct store_call
{
    const char *name;
    bool isWrite;
    std::function<std::optional<error>(kv_store &)> run;
};

std::vector<store_call> storeCalls()
{
    return {
        {"range", false, [](kv_store &s) { return errorOf(s.range({"a"})); }},
        {"applyBatch", true, [](kv_store &s) { return errorOf(applyAll(s, {put("a", "2", 1)})); }},
        {"grantLease", true, [](kv_store &s) { return errorOf(s.grantLease(3s)); }},
        {"keepAlive", true, [](kv_store &s) { return errorOf(s.keepAlive(1)); }},
        {"revokeLease", true, [](kv_store &s) { return errorOf(s.revokeLease(1)); }},
    };
}

std::string statusBody(int code, const std::string &message)
{
    return R"({"error":")" + message + R"(","code":)" + std::to_string(code) + R"(,"message":")"
           + message + R"("})";
}

} // namespace

/// Guards against a difference between the store in memory, on which most tests run, and the store
/// behind the adapter.
class kv_store_contract_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(kv_store_contract_test);
    CPPUNIT_TEST(memoryStoreKeepsTheContract);
    CPPUNIT_TEST(etcdStoreKeepsTheContract);
    CPPUNIT_TEST(rateLimitsAreUnavailable);
    CPPUNIT_TEST(batchIsOneCall);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryStoreKeepsTheContract()
    {
        for (const auto &row : contractCases) {
            manual_clock clock;
            memory_kv_store store(clock);
            runCase(row, store, clock);
        }
    }

    void etcdStoreKeepsTheContract()
    {
        for (const auto &row : contractCases) {
            etcd_setup setup;
            runCase(row, *setup.store, setup.clock);
        }
    }

    /// A rejected call has no effect and says when to come back.
    void rateLimitsAreUnavailable()
    {
        kv_store_limits limits;
        limits.writesPerSecond = 2;
        limits.readsPerSecond = 3;
        etcd_setup setup(limits);
        CPPUNIT_ASSERT(applyAll(*setup.store, {put("a", "1")}).has_value());
        CPPUNIT_ASSERT(applyAll(*setup.store, {put("a", "2")}).has_value());
        const auto rejected = applyAll(*setup.store, {put("a", "3")});
        assertKind("write", error_kind::unavailable, errorOf(rejected));
        CPPUNIT_ASSERT(rejected.error().retryAfter == 1s);
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("2"), valueOf(*setup.store, "a"));
        }
        assertKind("read", error_kind::unavailable, errorOf(setup.store->range({"a"})));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), setup.service.counters().rejected);
        setup.clock.advance(500ms);
        CPPUNIT_ASSERT(applyAll(*setup.store, {put("a", "4")}).has_value());
        assertKind("write", error_kind::unavailable,
                   errorOf(applyAll(*setup.store, {put("a", "5")})));
    }

    void batchIsOneCall()
    {
        etcd_setup setup;
        std::vector<conditional_write> writes;
        writes.reserve(100);
        for (int i = 0; i < 100; ++i) {
            writes.push_back(put("k" + std::to_string(i), "1", 0));
        }
        CPPUNIT_ASSERT(applyAll(*setup.store, writes).has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), setup.service.counters().writes);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), setup.service.counters().reads);
    }

private:
    static void runCase(const contract_case &row, kv_store &store, manual_clock &clock)
    {
        try {
            row.run(store, clock);
        } catch (CppUnit::Exception &failure) {
            failure.setMessage(
                CppUnit::Message(std::string("case: ") + row.name, failure.message().details()));
            throw;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(kv_store_contract_test);

/// Guards against a fault of the store that is reported as more certain than it is.
class kv_store_fault_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(kv_store_fault_test);
    CPPUNIT_TEST(faultsAreReportedAndLeaveTheStoreAsStated);
    CPPUNIT_TEST(responsesAreMappedToErrors);
    CPPUNIT_TEST(callMovesOnOnlyWithoutEffect);
    CPPUNIT_TEST(staleReadIsUnavailable);
    CPPUNIT_TEST(lostResponseIsNotRepeated);
    CPPUNIT_TEST(watchReturnsChanges);
    CPPUNIT_TEST(adminApiReportsCallsAndHistory);
    CPPUNIT_TEST_SUITE_END();

public:
    void faultsAreReportedAndLeaveTheStoreAsStated()
    {
        struct row
        {
            const char *name;
            service_fault_settings fault;
            error_kind writeError;
            const char *duringFault; ///< value when the call has failed
            const char *afterFault; ///< value when no call is in progress any more
        };
        // The delays are ended by the change of the fault, never by their length.
        const std::array<row, 5> rows {{
            {"down", {service_fault::down, 0ms, false}, error_kind::unavailable, "1", "1"},
            {"down, connection closed",
             {service_fault::down, 0ms, true},
             error_kind::outcome_unknown,
             "1",
             "1"},
            {"slow", {service_fault::slow, 1h, false}, error_kind::outcome_unknown, "1", "2"},
            {"late", {service_fault::late, 1h, false}, error_kind::outcome_unknown, "2", "2"},
            {"lost response",
             {service_fault::lost_response, 0ms, false},
             error_kind::outcome_unknown,
             "2",
             "2"},
        }};
        for (const auto &row : rows) {
            const bool delayed = row.fault.delay > 0ms;
            etcd_setup setup({}, delayed ? 500ms : 30s);
            const auto first = setup.service.store().applyBatch(std::array {put("a", "1")});
            setup.service.setFault(row.fault);
            const auto written = applyAll(*setup.store, {put("a", "2", first->revision)});
            assertKind(row.name, row.writeError, errorOf(written));
            if (delayed) {
                setup.service.waitForDelayedCalls(1);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(row.duringFault),
                                         valueOf(setup.service.store(), "a"));
            assertKind(row.name, error_kind::unavailable, errorOf(setup.store->range({"a"})));
            setup.service.setFault({});
            setup.service.waitUntilIdle();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(row.afterFault),
                                         valueOf(*setup.store, "a"));
        }
    }

    /// A write is "unavailable" only if the response proves that it had no effect.
    void responsesAreMappedToErrors()
    {
        struct row
        {
            const char *name;
            http_response response;
            error_kind readError;
            error_kind writeError;
            std::chrono::milliseconds retryAfter {0};
        };
        const auto unavailable = error_kind::unavailable;
        const auto unknown = error_kind::outcome_unknown;
        const std::vector<row> rows {
            {"429 without a body", jsonResponse(429, ""), unavailable, unavailable, 1000ms},
            {"429 with a time",
             {429, {{"Retry-After", "7"}}, ""},
             unavailable,
             unavailable,
             7000ms},
            {"resource exhausted",
             jsonResponse(503, statusBody(8, "etcdserver: too many requests")), unavailable,
             unavailable, 1000ms},
            {"message too large",
             jsonResponse(429, statusBody(8, "grpc: received message larger than max")),
             error_kind::too_large, error_kind::too_large},
            {"request too large",
             jsonResponse(400, statusBody(3, "etcdserver: request is too large")),
             error_kind::too_large, error_kind::too_large},
            {"no leader", jsonResponse(503, statusBody(14, "etcdserver: no leader")), unavailable,
             unavailable},
            {"leader changed", jsonResponse(503, statusBody(14, "etcdserver: leader changed")),
             unavailable, unknown},
            {"request timed out",
             jsonResponse(503, statusBody(14, "etcdserver: request timed out")), unavailable,
             unknown},
            {"503 of a proxy", {503, {}, "<html>"}, unavailable, unknown},
            {"500", jsonResponse(500, "{}"), unavailable, unknown},
            {"504", jsonResponse(504, statusBody(4, "context deadline exceeded")), unavailable,
             unknown},
            {"not allowed", jsonResponse(403, statusBody(7, "etcdserver: permission denied")),
             error_kind::unauthorized, error_kind::unauthorized},
            {"no JSON", jsonResponse(200, "ok"), unavailable, unknown},
            {"array", jsonResponse(200, "[]"), unavailable, unknown},
            {"empty object", jsonResponse(200, "{}"), unavailable, unknown},
            {"revision is no number", jsonResponse(200, R"({"header":{"revision":"x"}})"),
             unavailable, unknown},
            {"no response", {noResponseStatus, {}, ""}, unavailable, unknown},
        };
        const auto client = http_client::create({});
        for (const auto &row : rows) {
            const fixed_server server(row.response);
            const auto store = connectTo({server.where()}, *client);
            for (const auto &call : storeCalls()) {
                const auto name = std::string(row.name) + ", " + call.name;
                const auto failure = call.run(*store);
                assertKind(name, call.isWrite ? row.writeError : row.readError, failure);
                CPPUNIT_ASSERT_MESSAGE(name, failure->retryAfter == row.retryAfter);
            }
        }
    }

    void callMovesOnOnlyWithoutEffect()
    {
        struct row
        {
            const char *name;
            std::optional<http_response> first; ///< none: the connection is refused
            bool readMovesOn;
            bool writeMovesOn;
        };
        const std::vector<row> rows {
            {"refused", std::nullopt, true, true},
            {"no leader", jsonResponse(503, statusBody(14, "etcdserver: no leader")), true, true},
            {"timed out", jsonResponse(503, statusBody(14, "etcdserver: request timed out")), true,
             false},
            {"no response", http_response {noResponseStatus, {}, ""}, true, false},
            {"no JSON", jsonResponse(200, "ok"), true, false},
            {"call rate", jsonResponse(429, ""), false, false},
        };
        const bound_socket refusing;
        for (const auto &row : rows) {
            for (const bool write : {false, true}) {
                etcd_setup second;
                const auto first = row.first ? std::make_unique<fixed_server>(*row.first) : nullptr;
                const auto store =
                    connectTo({first ? first->where() : refusing.where(), etcd_setup::where()},
                              *second.client);
                const auto failure = write ? errorOf(applyAll(*store, {put("a", "1", 0)}))
                                           : errorOf(store->range({"a"}));
                const bool movesOn = write ? row.writeMovesOn : row.readMovesOn;
                const auto name = std::string(row.name) + (write ? ", write" : ", read");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, movesOn, !failure.has_value());
                const auto counted = second.service.counters();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::int64_t(movesOn ? 1 : 0),
                                             counted.reads + counted.writes);
            }
        }
    }

    /// A replica that lags behind would bring back a configuration that was replaced.
    void staleReadIsUnavailable()
    {
        std::atomic<int> revision {5};
        otherServer().setHandler([&revision](const http_request &) {
            return jsonResponse(200,
                                R"({"header":{"revision":")" + std::to_string(revision) + R"("}})");
        });
        const auto client = http_client::create({});
        const auto store = connectTo({otherServer().where()}, *client);
        CPPUNIT_ASSERT_EQUAL(store_revision(5), store->range({"a"})->revision);
        revision = 4;
        assertKind("lower", error_kind::unavailable, errorOf(store->range({"a"})));
        revision = 5;
        CPPUNIT_ASSERT(store->range({"a"}).has_value());
        revision = 9;
        CPPUNIT_ASSERT(store->revokeLease(1).has_value());
        revision = 8;
        assertKind("lower than a write's", error_kind::unavailable, errorOf(store->range({"a"})));
        otherServer().setHandler({});
    }

    /// libcurl repeats a request on a reused connection that was closed. A repeated conditional
    /// write finds its own first effect and would be reported as not applied.
    void lostResponseIsNotRepeated()
    {
        etcd_setup setup;
        CPPUNIT_ASSERT(setup.store->range({"a"}).has_value()); // Leaves an open connection.
        setup.service.setFault({service_fault::lost_response, 0ms, false});
        assertKind("write", error_kind::outcome_unknown,
                   errorOf(applyAll(*setup.store, {put("a", "1", 0)})));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), setup.service.counters().writes);
    }

    void watchReturnsChanges()
    {
        etcd_setup setup;
        const endpoint where = etcd_setup::where();
        http_request request;
        request.method = "POST";
        request.path = "/v3/watch";
        request.body = R"({"create_request":{"key":")" + encodeBase64("a/") + R"(","range_end":")"
                       + encodeBase64("a0") + R"("}})";
        auto watched =
            std::async(std::launch::async, [&] { return setup.client->send(where, request, 60s); });
        setup.service.waitForWatches(1);
        CPPUNIT_ASSERT(applyAll(*setup.store, {put("b", "0")}).has_value());
        CPPUNIT_ASSERT(applyAll(*setup.store, {put("a/1", "1")}).has_value());
        const auto response = watched.get();
        const auto events = nlohmann::json::parse(response.value().body).at("result").at("events");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), events.size());
        CPPUNIT_ASSERT_EQUAL(encodeBase64("a/1"), events[0].at("kv").at("key").get<std::string>());
        const auto counted = setup.service.counters();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), counted.reads);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), counted.waitingWatches);
    }

    void adminApiReportsCallsAndHistory()
    {
        etcd_setup setup;
        const auto first = applyAll(*setup.store, {put("a", "1")})->revision;
        CPPUNIT_ASSERT(applyAll(*setup.store, {erase("a")}).has_value());
        static_cast<void>(setup.store->range({"a"}));
        const auto counters = admin(setup, "GET", "/admin/counters", "", 200);
        CPPUNIT_ASSERT_EQUAL(2, counters.at("writes").get<int>());
        CPPUNIT_ASSERT_EQUAL(1, counters.at("reads").get<int>());
        CPPUNIT_ASSERT_EQUAL(0, counters.at("rejected").get<int>());
        const auto changes = admin(setup, "GET", "/admin/history", "", 200).at("changes");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes.size());
        CPPUNIT_ASSERT_EQUAL(first, changes[0].at("revision").get<store_revision>());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), changes[0].at("value").get<std::string>());
        CPPUNIT_ASSERT(changes[1].at("value").is_null());
        admin(setup, "POST", "/admin/fault", R"({"mode":"unknown"})", 400);
        admin(setup, "POST", "/admin/fault", R"({"mode":"down","delay_ms":0})", 200);
        assertKind("down", error_kind::unavailable, errorOf(setup.store->range({"a"})));
    }

private:
    static nlohmann::json admin(etcd_setup &setup, const std::string &method,
                                const std::string &path, const std::string &body, int status)
    {
        http_request request;
        request.method = method;
        request.path = path;
        request.body = body;
        const auto response = setup.client->send(etcd_setup::where(), request, 30s);
        CPPUNIT_ASSERT_EQUAL(status, response.value().status);
        return nlohmann::json::parse(response->body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(kv_store_fault_test);
