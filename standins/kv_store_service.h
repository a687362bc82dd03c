#pragma once

#include "memory_kv_store.h"

#include <ibishinge/outside/base64.h>
#include <ibishinge/outside/http_message.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ibishinge {

/// What goes wrong with the calls to the stand-in.
enum class service_fault : std::uint8_t {
    none,
    down, ///< no effect; answers 503, or closes the connection
    slow, ///< delays the effect and the response
    late, ///< takes effect at once and delays the response
    lost_response, ///< takes effect and closes the connection without a response
};

struct service_fault_settings
{
    service_fault mode = service_fault::none;
    std::chrono::milliseconds delay {0}; ///< of `slow` and `late`; ends early if the fault changes
    bool closeConnection = false; ///< of `down`: no response at all
};

struct kv_store_limits
{
    int writesPerSecond = 400;
    int readsPerSecond = 2000;
};

/// Calls since the start. Rejected calls are counted as reads or writes too.
struct kv_store_counters
{
    std::int64_t reads = 0; ///< ranges and watches
    std::int64_t writes = 0; ///< transactions and lease operations
    std::int64_t waitingWatches = 0; ///< watches that wait now
    std::int64_t rejected = 0; ///< calls above the rates
};

/// Admits up to a rate of calls a second, in bursts of up to one second's calls.
class call_rate
{
public:
    call_rate(int perSecond, monotonic_time now)
        : m_perSecond(perSecond)
        , m_available(perSecond)
        , m_updated(now)
    {
    }

    [[nodiscard]] bool admit(monotonic_time now)
    {
        const std::chrono::duration<double> elapsed = now - m_updated;
        m_updated = now;
        m_available = std::min(m_perSecond, m_available + elapsed.count() * m_perSecond);
        if (m_available < 1) {
            return false;
        }
        m_available -= 1;
        return true;
    }

private:
    double m_perSecond;
    double m_available;
    monotonic_time m_updated;
};

/// The store's stand-in as an HTTP handler: etcd v3's JSON mapping on a store in memory, with call
/// rates, injected faults and an admin API. Thread-safe.
///
/// It takes the transactions that ibishinge sends: a list of nested transactions, each with at most
/// two comparisons of a mod revision and one put or delete, or one such transaction by itself.
/// `/v3/watch` is a long poll: it returns the first changes at or after `start_revision` as one
/// response, or none after `watchTimeout`.
class kv_store_service
{
public:
    /// Precondition: `clock` outlives the service.
    explicit kv_store_service(const clock_source &clock, const kv_store_limits &limits = {},
                              std::size_t historyLimit = memory_kv_store::defaultHistoryLimit)
        : m_clock(clock)
        , m_store(clock, historyLimit)
        , m_writeRate(limits.writesPerSecond, clock.now())
        , m_readRate(limits.readsPerSecond, clock.now())
    {
    }

    [[nodiscard]] http_response handle(const http_request &request)
    {
        try {
            if (request.path.starts_with("/admin/")) {
                return handleAdmin(request);
            }
            const call_scope scope(*this);
            return handleCall(request);
        } catch (const std::exception &problem) {
            return errorResponse(400, invalidArgument, problem.what());
        }
    }

    /// The data, for tests.
    [[nodiscard]] memory_kv_store &store() noexcept
    {
        return m_store;
    }

    [[nodiscard]] kv_store_counters counters() const
    {
        const std::lock_guard lock(m_mutex);
        return m_counters;
    }

    /// Also ends the delays in progress.
    void setFault(const service_fault_settings &fault)
    {
        const std::lock_guard lock(m_mutex);
        m_fault = fault;
        ++m_faultVersion;
        m_changed.notify_all();
    }

    /// Waits until `count` calls are delayed by `slow` or `late`.
    void waitForDelayedCalls(int count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_delayed == count; });
    }

    /// Waits until `count` watches are waiting.
    void waitForWatches(int count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_counters.waitingWatches == count; });
    }

    /// Waits until no call is in progress.
    void waitUntilIdle()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_inProgress == 0; });
    }

    /// Ends waiting watches and delays, so that the server can stop.
    void shutDown()
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }

private:
    using json = nlohmann::json;

    // Codes of gRPC's status.
    static constexpr int invalidArgument = 3;
    static constexpr int notFound = 5;
    static constexpr int resourceExhausted = 8;
    static constexpr int unimplemented = 12;
    static constexpr int unavailable = 14;

    static constexpr std::chrono::seconds watchTimeout {30};
    /// Leases expire on access, so a watch looks at the store this often.
    static constexpr std::chrono::milliseconds watchInterval {100};

    class call_scope
    {
    public:
        explicit call_scope(kv_store_service &service)
            : m_service(service)
        {
            const std::lock_guard lock(m_service.m_mutex);
            ++m_service.m_inProgress;
        }
        ~call_scope()
        {
            const std::lock_guard lock(m_service.m_mutex);
            --m_service.m_inProgress;
            m_service.m_changed.notify_all();
        }
        call_scope(const call_scope &) = delete;
        call_scope &operator=(const call_scope &) = delete;

    private:
        kv_store_service &m_service;
    };

    static std::string dump(const json &value)
    {
        return value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    }

    static http_response errorResponse(int status, int code, std::string_view message)
    {
        return jsonResponse(status,
                            dump({{"error", message}, {"code", code}, {"message", message}}));
    }

    static http_response errorResponse(const error &problem)
    {
        switch (problem.kind) {
        case error_kind::too_large:
            return errorResponse(400, invalidArgument, "etcdserver: request is too large");
        case error_kind::unknown_entity:
            return errorResponse(404, notFound, "etcdserver: requested lease not found");
        default:
            return errorResponse(503, unavailable, "etcdserver: request timed out");
        }
    }

    http_response handleCall(const http_request &request)
    {
        const bool isRead = request.path == "/v3/kv/range" || request.path == "/v3/watch";
        if (!admit(isRead)) {
            auto response = errorResponse(429, resourceExhausted, "etcdserver: too many requests");
            response.headers.push_back({"Retry-After", "1"});
            return response;
        }
        std::unique_lock lock(m_mutex);
        const service_fault_settings fault = m_fault;
        const std::int64_t version = m_faultVersion;
        if (fault.mode == service_fault::down) {
            return fault.closeConnection ? http_response {noResponseStatus, {}, {}}
                                         : errorResponse(503, unavailable, "etcdserver: no leader");
        }
        if (fault.mode == service_fault::slow) {
            delay(lock, fault.delay, version);
        }
        lock.unlock();
        auto response = dispatch(request);
        lock.lock();
        if (fault.mode == service_fault::late) {
            delay(lock, fault.delay, version);
        }
        if (fault.mode == service_fault::lost_response) {
            response.status = noResponseStatus;
        }
        return response;
    }

    bool admit(bool isRead)
    {
        const std::lock_guard lock(m_mutex);
        ++(isRead ? m_counters.reads : m_counters.writes);
        const bool admitted = (isRead ? m_readRate : m_writeRate).admit(m_clock.now());
        if (!admitted) {
            ++m_counters.rejected;
        }
        return admitted;
    }

    void delay(std::unique_lock<std::mutex> &lock, std::chrono::milliseconds time,
               std::int64_t version)
    {
        ++m_delayed;
        m_changed.notify_all();
        m_changed.wait_for(lock, time, [&] { return m_stopping || m_faultVersion != version; });
        --m_delayed;
        m_changed.notify_all();
    }

    http_response dispatch(const http_request &request)
    {
        const json body = json::parse(request.body);
        if (request.path == "/v3/kv/range") {
            return range(body);
        }
        if (request.path == "/v3/kv/txn") {
            return txn(body);
        }
        if (request.path == "/v3/lease/grant") {
            return grantLease(body);
        }
        if (request.path == "/v3/lease/keepalive") {
            return keepAlive(body);
        }
        if (request.path == "/v3/lease/revoke") {
            return revokeLease(body);
        }
        if (request.path == "/v3/watch") {
            return watch(body);
        }
        return errorResponse(404, notFound, "Not Found");
    }

    /// The JSON mapping accepts 64-bit numbers as strings and as numbers.
    static std::int64_t number(const json &object, const char *name)
    {
        const auto found = object.find(name);
        if (found == object.end()) {
            return 0;
        }
        if (found->is_number_integer()) {
            return found->get<std::int64_t>();
        }
        const auto &text = found->get_ref<const std::string &>();
        std::int64_t value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size()) {
            throw std::invalid_argument(std::string(name) + ": expected a 64-bit number");
        }
        return value;
    }

    static std::string bytes(const json &object, const char *name)
    {
        const auto found = object.find(name);
        if (found == object.end()) {
            return {};
        }
        auto decoded = decodeBase64(found->get_ref<const std::string &>());
        if (!decoded) {
            throw std::invalid_argument(std::string(name) + ": expected base64");
        }
        return *std::move(decoded);
    }

    /// Sets a field unless it is zero, which the JSON mapping leaves out.
    static void setNumber(json &object, const char *name, std::int64_t value)
    {
        if (value != 0) {
            object[name] = std::to_string(value);
        }
    }

    static json header(store_revision revision)
    {
        json fields = {{"cluster_id", "1"}, {"member_id", "1"}, {"raft_term", "1"}};
        setNumber(fields, "revision", revision);
        return fields;
    }

    static json toJson(const kv_entry &entry)
    {
        json kv = {{"key", encodeBase64(entry.key)}};
        setNumber(kv, "create_revision", entry.createRevision);
        setNumber(kv, "mod_revision", entry.modRevision);
        setNumber(kv, "lease", entry.lease);
        if (!entry.value.empty()) {
            kv["value"] = encodeBase64(entry.value);
        }
        return kv;
    }

    static json rangeJson(const std::vector<kv_entry> &entries, store_revision revision)
    {
        json response = {{"header", header(revision)}};
        for (const auto &entry : entries) {
            response["kvs"].push_back(toJson(entry));
        }
        setNumber(response, "count", static_cast<std::int64_t>(entries.size()));
        return response;
    }

    static bool inRange(const std::string &key, const std::string &first, const std::string &end)
    {
        if (end.empty()) {
            return key == first;
        }
        return key >= first && (end == std::string(1, '\0') || key < end);
    }

    http_response range(const json &body)
    {
        const std::string first = bytes(body, "key");
        const std::string end = bytes(body, "range_end");
        if (first.empty()) {
            return errorResponse(400, invalidArgument, "etcdserver: key is not provided");
        }
        range_query query {first, false, body.value("keys_only", false),
                           number(body, "min_mod_revision")};
        if (!end.empty()) {
            // The common prefix of the bounds covers the range.
            const auto differ =
                std::mismatch(first.begin(), first.end(), end.begin(), end.end()).first;
            query.prefix = true;
            query.key = std::string(first.begin(), differ);
            if (end == std::string(1, '\0')) {
                query.key.clear();
            }
        }
        auto found = m_store.range(query);
        if (!found) {
            return errorResponse(found.error());
        }
        std::erase_if(found->entries,
                      [&](const kv_entry &entry) { return !inRange(entry.key, first, end); });
        return jsonResponse(200, dump(rangeJson(found->entries, found->revision)));
    }

    /// Reads a transaction of comparisons and one put or delete.
    static conditional_write toWrite(const json &txn)
    {
        const json &operations = txn.at("success");
        if (operations.size() != 1) {
            throw std::invalid_argument("expected one operation");
        }
        const json &operation = operations.at(0);
        conditional_write write;
        if (const auto put = operation.find("request_put"); put != operation.end()) {
            write.key = bytes(*put, "key");
            write.value = bytes(*put, "value");
            write.lease = number(*put, "lease");
        } else {
            write.key = bytes(operation.at("request_delete_range"), "key");
        }
        for (const auto &compare : txn.value("compare", json::array())) {
            addCompare(compare, write);
        }
        return write;
    }

    static void addCompare(const json &compare, conditional_write &write)
    {
        if (compare.value("target", "") != "MOD" || compare.value("result", "") != "EQUAL") {
            throw std::invalid_argument("expected a comparison of a mod revision for equality");
        }
        const std::string key = bytes(compare, "key");
        const store_revision revision = number(compare, "mod_revision");
        if (key == write.key && !write.expectedRevision) {
            write.expectedRevision = revision;
        } else if (!write.guard) {
            write.guard = write_guard {key, revision};
        } else {
            throw std::invalid_argument("expected at most two comparisons");
        }
    }

    static json outcomeJson(const conditional_write &write, const write_outcome &outcome,
                            store_revision revision)
    {
        json response = {{"header", header(revision)}};
        if (outcome.applied) {
            response["succeeded"] = true;
            const char *name = write.value ? "response_put" : "response_delete_range";
            response["responses"] = json::array({{{name, {{"header", header(revision)}}}}});
            return response;
        }
        std::vector<kv_entry> entries;
        if (outcome.current) {
            entries.push_back(*outcome.current);
        }
        response["responses"] = json::array({{{"response_range", rangeJson(entries, revision)}}});
        return response;
    }

    http_response txn(const json &body)
    {
        const json &operations = body.at("success");
        const bool nested = !operations.empty() && operations.at(0).contains("request_txn");
        std::vector<conditional_write> writes;
        if (nested && body.contains("compare") && !body.at("compare").empty()) {
            return errorResponse(501, unimplemented, "comparisons of a whole batch");
        }
        if (operations.size() > maxBatchWrites) {
            return errorResponse(400, invalidArgument,
                                 "etcdserver: too many operations in txn request");
        }
        if (nested) {
            for (const auto &operation : operations) {
                writes.push_back(toWrite(operation.at("request_txn")));
            }
        } else if (!operations.empty()) {
            writes.push_back(toWrite(body));
        }
        if (hasDuplicateKey(writes)) {
            return errorResponse(400, invalidArgument,
                                 "etcdserver: duplicate key given in txn request");
        }
        const auto applied = m_store.applyBatch(writes);
        if (!applied) {
            return errorResponse(applied.error());
        }
        notifyWatches();
        json response = {{"header", header(applied->revision)},
                         {"succeeded", true},
                         {"responses", json::array()}};
        for (std::size_t i = 0; i < writes.size(); ++i) {
            json outcome = outcomeJson(writes[i], applied->outcomes[i], applied->revision);
            if (!nested) {
                return jsonResponse(200, dump(outcome));
            }
            response["responses"].push_back({{"response_txn", std::move(outcome)}});
        }
        return jsonResponse(200, dump(response));
    }

    static bool hasDuplicateKey(const std::vector<conditional_write> &writes)
    {
        std::vector<std::string_view> keys;
        keys.reserve(writes.size());
        for (const auto &write : writes) {
            keys.push_back(write.key);
        }
        std::sort(keys.begin(), keys.end());
        return std::adjacent_find(keys.begin(), keys.end()) != keys.end();
    }

    http_response grantLease(const json &body)
    {
        const std::int64_t ttl = number(body, "TTL");
        const auto lease = m_store.grantLease(std::chrono::seconds(ttl));
        if (!lease) {
            return errorResponse(lease.error());
        }
        const json response = {{"header", header(revision())},
                               {"ID", std::to_string(*lease)},
                               {"TTL", std::to_string(ttl)}};
        return jsonResponse(200, dump(response));
    }

    http_response keepAlive(const json &body)
    {
        const lease_id lease = number(body, "ID");
        const auto renewed = m_store.keepAlive(lease);
        if (!renewed && renewed.error().kind != error_kind::unknown_entity) {
            return errorResponse(renewed.error());
        }
        json response = {{"header", header(revision())}, {"ID", std::to_string(lease)}};
        if (renewed) {
            response["TTL"] = "1"; // etcd gives the lease's TTL; without the field it has expired.
        }
        return jsonResponse(200, dump({{"result", response}}));
    }

    http_response revokeLease(const json &body)
    {
        const lease_id lease = number(body, "ID");
        // The store in memory accepts unknown leases; etcd reports them.
        if (!m_store.hasLease(lease)) {
            return errorResponse(404, notFound, "etcdserver: requested lease not found");
        }
        if (const auto revoked = m_store.revokeLease(lease); !revoked) {
            return errorResponse(revoked.error());
        }
        notifyWatches();
        return jsonResponse(200, dump({{"header", header(revision())}}));
    }

    http_response watch(const json &body)
    {
        const json &request = body.at("create_request");
        const std::string first = bytes(request, "key");
        const std::string end = bytes(request, "range_end");
        const store_revision start =
            request.contains("start_revision") ? number(request, "start_revision") : revision() + 1;
        const auto deadline = std::chrono::steady_clock::now() + watchTimeout;
        std::unique_lock lock(m_mutex);
        ++m_counters.waitingWatches;
        m_changed.notify_all();
        json events = json::array();
        while (true) {
            events = eventsFrom(start, first, end);
            if (!events.empty() || m_stopping || std::chrono::steady_clock::now() >= deadline) {
                break;
            }
            m_changed.wait_for(lock, watchInterval);
        }
        --m_counters.waitingWatches;
        m_changed.notify_all();
        json response = {{"header", header(revision())}, {"created", true}};
        if (!events.empty()) {
            response["events"] = std::move(events);
        }
        return jsonResponse(200, dump({{"result", response}}));
    }

    json eventsFrom(store_revision start, const std::string &first, const std::string &end)
    {
        json events = json::array();
        static_cast<void>(revision()); // Expires leases.
        for (const auto &change : m_store.historyFrom(start).first) {
            if (!inRange(change.key, first, end)) {
                continue;
            }
            kv_entry entry;
            entry.key = change.key;
            entry.value = change.value.value_or("");
            entry.modRevision = change.revision;
            json event = {{"kv", toJson(entry)}};
            if (!change.value) {
                event["type"] = "DELETE"; // "PUT" is the default, which is left out.
            }
            events.push_back(std::move(event));
        }
        return events;
    }

    store_revision revision()
    {
        const auto found = m_store.range({"", false, true});
        return found ? found->revision : 0;
    }

    void notifyWatches()
    {
        const std::lock_guard lock(m_mutex);
        m_changed.notify_all();
    }

    http_response handleAdmin(const http_request &request)
    {
        if (request.path == "/admin/counters") {
            const auto counted = counters();
            return jsonResponse(200, dump({{"reads", counted.reads},
                                           {"writes", counted.writes},
                                           {"waiting_watches", counted.waitingWatches},
                                           {"rejected", counted.rejected}}));
        }
        if (request.path == "/admin/history") {
            return jsonResponse(200, dump(historyJson(request.query)));
        }
        if (request.path == "/admin/fault" && request.method == "POST") {
            return setFaultFrom(json::parse(request.body));
        }
        return errorResponse(404, notFound, "Not Found");
    }

    /// The query is empty or "from=REVISION".
    json historyJson(std::string_view query) const
    {
        store_revision first = 0;
        if (query.starts_with("from=")) {
            query.remove_prefix(5);
            if (std::from_chars(query.data(), query.data() + query.size(), first).ec
                != std::errc {}) {
                throw std::invalid_argument("from: expected a revision");
            }
        }
        const auto [changes, dropped] = m_store.historyFrom(first);
        json list = json::array();
        for (const auto &change : changes) {
            list.push_back({{"revision", change.revision},
                            {"key", change.key},
                            {"value", change.value ? json(*change.value) : json(nullptr)}});
        }
        return {{"changes", std::move(list)}, {"dropped", dropped}};
    }

    http_response setFaultFrom(const json &body)
    {
        static constexpr std::array<std::pair<std::string_view, service_fault>, 5> modes {{
            {"none", service_fault::none},
            {"down", service_fault::down},
            {"slow", service_fault::slow},
            {"late", service_fault::late},
            {"lost_response", service_fault::lost_response},
        }};
        const std::string name = body.at("mode").get<std::string>();
        const auto *const found = std::find_if(
            modes.begin(), modes.end(), [&name](const auto &mode) { return mode.first == name; });
        const std::int64_t delayMs = number(body, "delay_ms");
        if (found == modes.end() || delayMs < 0) {
            return errorResponse(400, invalidArgument, "unknown mode or negative delay_ms");
        }
        setFault({found->second, std::chrono::milliseconds(delayMs), body.value("close", false)});
        return jsonResponse(200, "{}\n");
    }

    const clock_source &m_clock;
    memory_kv_store m_store;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    kv_store_counters m_counters;
    call_rate m_writeRate;
    call_rate m_readRate;
    service_fault_settings m_fault;
    std::int64_t m_faultVersion = 0;
    int m_delayed = 0;
    int m_inProgress = 0;
    bool m_stopping = false;
};

} // namespace ibishinge
