#include <ibishinge/outside/etcd_kv_store.h>

#include <ibishinge/base/time.h>
#include <ibishinge/outside/base64.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cstddef>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace ibishinge {

namespace {

using nlohmann::json;

// Codes of gRPC's status that etcd reports in the body of an error.
constexpr int grpcInvalidArgument = 3;
constexpr int grpcNotFound = 5;
constexpr int grpcPermissionDenied = 7;
constexpr int grpcResourceExhausted = 8;
constexpr int grpcFailedPrecondition = 9;
constexpr int grpcOutOfRange = 11;
constexpr int grpcUnimplemented = 12;
constexpr int grpcUnavailable = 14;
constexpr int grpcUnauthenticated = 16;

/// Thrown while a response is decoded, and caught in `decoded`.
class malformed_response : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// The JSON mapping writes 64-bit numbers as strings and leaves out zeros.
std::int64_t numberField(const json &object, const char *name)
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
        throw malformed_response(std::string("field ") + name + " is no number");
    }
    return value;
}

std::string bytesField(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return {};
    }
    auto bytes = decodeBase64(found->get_ref<const std::string &>());
    if (!bytes) {
        throw malformed_response(std::string("field ") + name + " is no base64");
    }
    return *std::move(bytes);
}

/// Precondition of a usable response: it has a header.
store_revision headerRevision(const json &response)
{
    return numberField(response.at("header"), "revision");
}

kv_entry toEntry(const json &kv)
{
    return {bytesField(kv, "key"), bytesField(kv, "value"), numberField(kv, "create_revision"),
            numberField(kv, "mod_revision"), numberField(kv, "lease")};
}

std::vector<kv_entry> toEntries(const json &range)
{
    std::vector<kv_entry> entries;
    if (const auto kvs = range.find("kvs"); kvs != range.end()) {
        for (const auto &kv : *kvs) {
            entries.push_back(toEntry(kv));
        }
    }
    return entries;
}

range_result toRangeResult(const json &response)
{
    if (response.value("more", false)) {
        throw malformed_response("the range is incomplete");
    }
    return {toEntries(response), headerRevision(response)};
}

write_outcome toOutcome(const json &nested, store_revision revision)
{
    const json &response = nested.at("response_txn");
    write_outcome outcome;
    outcome.applied = response.value("succeeded", false);
    if (outcome.applied) {
        outcome.modRevision = revision;
        return outcome;
    }
    auto entries = toEntries(response.at("responses").at(0).at("response_range"));
    if (!entries.empty()) {
        outcome.current = std::move(entries.front());
    }
    return outcome;
}

batch_result toBatchResult(const json &response, std::size_t writes)
{
    batch_result batch;
    batch.revision = headerRevision(response);
    const json &responses = response.at("responses");
    if (responses.size() != writes) {
        throw malformed_response("number of outcomes differs from number of writes");
    }
    for (const auto &nested : responses) {
        batch.outcomes.push_back(toOutcome(nested, batch.revision));
    }
    return batch;
}

json modRevisionCompare(const std::string &key, store_revision revision)
{
    return {{"key", encodeBase64(key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", std::to_string(revision)}};
}

json nestedTxn(const conditional_write &write)
{
    const std::string key = encodeBase64(write.key);
    json compare = json::array();
    if (write.expectedRevision) {
        compare.push_back(modRevisionCompare(write.key, *write.expectedRevision));
    }
    if (write.guard) {
        compare.push_back(modRevisionCompare(write.guard->key, write.guard->modRevision));
    }
    json operation;
    if (write.value) {
        operation["request_put"] = {{"key", key},
                                    {"value", encodeBase64(*write.value)},
                                    {"lease", std::to_string(write.lease)}};
    } else {
        operation["request_delete_range"] = {{"key", key}};
    }
    const json current = {{"request_range", {{"key", key}}}};
    const json txn = {{"compare", std::move(compare)},
                      {"success", json::array({std::move(operation)})},
                      {"failure", json::array({current})}};
    return {{"request_txn", txn}};
}

/// Returns the end of the range of all keys with `prefix`; a zero byte stands for "no end".
std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        if (last < 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return {'\0'};
}

json rangeRequest(const range_query &query)
{
    // etcd rejects an empty key; a zero byte is the smallest key.
    const std::string key = query.prefix && query.key.empty() ? std::string(1, '\0') : query.key;
    json request = {{"key", encodeBase64(key)}};
    if (query.prefix) {
        request["range_end"] = encodeBase64(prefixEnd(query.key));
    }
    if (query.keysOnly) {
        request["keys_only"] = true;
    }
    if (query.minModRevision > 0) {
        request["min_mod_revision"] = std::to_string(query.minModRevision);
    }
    return request;
}

/// How a failed attempt is treated.
struct attempt_failure
{
    error reason;
    bool withoutEffect = false; ///< the attempt certainly changed nothing
    bool tryNext = false; ///< another endpoint may do better
};

/// What the body of an error response says.
struct etcd_status
{
    int code = 0; ///< gRPC's code, 0 if the body is not etcd's
    std::string message;
};

etcd_status parseStatus(const std::string &body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return {};
    }
    etcd_status status;
    if (const auto code = parsed.find("code"); code != parsed.end() && code->is_number_integer()) {
        status.code = code->get<int>();
    }
    // Versions of the gateway differ in the name of the field.
    for (const char *name : {"message", "error"}) {
        const auto found = parsed.find(name);
        if (status.message.empty() && found != parsed.end() && found->is_string()) {
            status.message = found->get<std::string>();
        }
    }
    return status;
}

bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

/// Returns the kind of a response by which the service refuses a call before it takes effect, or
/// nothing if the response proves no such thing.
std::optional<error_kind> refusalKind(int httpStatus, const etcd_status &status)
{
    if (contains(status.message, "request is too large")
        || contains(status.message, "too many operations")
        || contains(status.message, "larger than max")) {
        return error_kind::too_large; // gRPC reports a message above its bound with code 8 too.
    }
    switch (status.code) {
    case grpcInvalidArgument:
    case grpcFailedPrecondition:
    case grpcOutOfRange:
    case grpcUnimplemented:
        return error_kind::invalid_request;
    case grpcNotFound:
        return error_kind::unknown_entity;
    case grpcPermissionDenied:
    case grpcUnauthenticated:
        return error_kind::unauthorized;
    case grpcResourceExhausted:
        return error_kind::unavailable;
    case grpcUnavailable:
        // etcd also uses this code for "request timed out" and "leader changed", after which a
        // proposed write may still be applied.
        if (contains(status.message, "etcdserver: no leader")) {
            return error_kind::unavailable;
        }
        return std::nullopt;
    default:
        break;
    }
    switch (httpStatus) {
    case 400:
    case 404:
    case 405:
        return error_kind::invalid_request;
    case 401:
    case 403:
        return error_kind::unauthorized;
    case 413:
        return error_kind::too_large;
    case 429:
        return error_kind::unavailable;
    default:
        return std::nullopt;
    }
}

std::optional<milliseconds> retryAfter(const http_response &response)
{
    const auto text = findHeader(response.headers, "Retry-After");
    unsigned seconds = 0;
    if (!text
        || std::from_chars(text->data(), text->data() + text->size(), seconds).ec != std::errc {}) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

enum class effect : std::uint8_t { read, write };

class etcd_kv_store final : public kv_store
{
public:
    etcd_kv_store(etcd_kv_store_options options, http_client &client)
        : m_options(std::move(options))
        , m_client(client)
    {
    }

    result<range_result> range(const range_query &query) override
    {
        const store_revision seen = m_highestRevision;
        return call<range_result>(
            effect::read, "/v3/kv/range", rangeRequest(query), [seen](const json &response) {
                auto found = toRangeResult(response);
                if (found.revision < seen) {
                    throw malformed_response("stale revision " + std::to_string(found.revision)
                                             + ", seen " + std::to_string(seen));
                }
                return found;
            });
    }

    result<batch_result> applyBatch(std::span<const conditional_write> writes) override
    {
        if (auto checked = checkBatchBounds(writes); !checked) {
            return tl::unexpected(std::move(checked).error());
        }
        json operations = json::array();
        for (const auto &write : writes) {
            operations.push_back(nestedTxn(write));
        }
        const json request = {{"success", std::move(operations)}};
        return call<batch_result>(
            effect::write, "/v3/kv/txn", request,
            [count = writes.size()](const json &r) { return toBatchResult(r, count); });
    }

    result<lease_id> grantLease(std::chrono::seconds ttl) override
    {
        const json request = {{"TTL", std::to_string(ttl.count())}};
        return call<lease_id>(effect::write, "/v3/lease/grant", request, [](const json &response) {
            const lease_id id = numberField(response, "ID");
            if (id == 0) {
                throw malformed_response("lease without an id");
            }
            return id;
        });
    }

    result<void> keepAlive(lease_id lease) override
    {
        // The call is a stream of one response, which the mapping wraps in "result".
        const auto ttl = call<std::int64_t>(
            effect::write, "/v3/lease/keepalive", {{"ID", std::to_string(lease)}},
            [](const json &response) { return numberField(response.at("result"), "TTL"); });
        if (!ttl) {
            return tl::unexpected(ttl.error());
        }
        if (*ttl <= 0) {
            return makeError(error_kind::unknown_entity, "lease", "expired or never granted");
        }
        return {};
    }

    result<void> revokeLease(lease_id lease) override
    {
        const auto revoked =
            call<store_revision>(effect::write, "/v3/lease/revoke", {{"ID", std::to_string(lease)}},
                                 [](const json &response) { return headerRevision(response); });
        if (!revoked && revoked.error().kind != error_kind::unknown_entity) {
            return tl::unexpected(revoked.error());
        }
        return {};
    }

private:
    template <class T>
    using decoder = std::function<T(const json &)>;

    /// Sends one call, to one endpoint after the other as long as no attempt had an effect.
    template <class T>
    result<T> call(effect kind, const std::string &path, const json &body, const decoder<T> &decode)
    {
        http_request request;
        request.method = "POST";
        request.path = path;
        request.headers = {{"Content-Type", "application/json"}};
        request.body = body.dump();

        const auto deadline = std::chrono::steady_clock::now() + m_options.callTimeout;
        const std::size_t count = m_options.endpoints.size();
        const std::size_t first = m_preferred;
        tl::unexpected<error> last = makeError(error_kind::unavailable, "store", "no endpoint");
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t index = (first + i) % count;
            const auto left = std::chrono::duration_cast<milliseconds>(
                deadline - std::chrono::steady_clock::now());
            if (left.count() <= 0) {
                break;
            }
            auto outcome = attempt<T>(kind, m_options.endpoints[index], request,
                                      std::min(left, m_options.attemptTimeout), decode);
            if (outcome) {
                m_preferred = index;
                return *std::move(outcome);
            }
            const attempt_failure &failure = outcome.error();
            last = tl::unexpected(failure.reason);
            if (failure.tryNext) {
                m_preferred = (index + 1) % count; // Also for the calls that follow.
            }
            if (!failure.tryNext || (kind == effect::write && !failure.withoutEffect)) {
                break;
            }
        }
        return last;
    }

    template <class T>
    tl::expected<T, attempt_failure> attempt(effect kind, const endpoint &to,
                                             const http_request &request, milliseconds timeout,
                                             const decoder<T> &decode)
    {
        // libcurl repeats a request if a reused connection is closed. A repeated conditional write
        // would find its own first effect and be reported as not applied.
        const auto use =
            kind == effect::read ? connection_use::reuse_allowed : connection_use::fresh;
        const auto response = m_client.send(to, request, timeout, use);
        if (!response) {
            const bool refused = response.error().kind == error_kind::unavailable;
            return failed(kind, to, response.error().message, refused);
        }
        if (response->status != 200) {
            return tl::unexpected(refusal(kind, to, *response));
        }
        try {
            const json parsed = json::parse(response->body);
            T value = decode(parsed);
            const auto header = parsed.find("header");
            noteRevision(header == parsed.end() ? 0 : numberField(*header, "revision"));
            return value;
        } catch (const std::exception &problem) {
            return failed(kind, to, std::string("bad response: ") + problem.what(), false);
        }
    }

    static tl::unexpected<attempt_failure> failed(effect kind, const endpoint &to,
                                                  std::string message, bool withoutEffect)
    {
        const bool certain = withoutEffect || kind == effect::read;
        const auto reason = certain ? error_kind::unavailable : error_kind::outcome_unknown;
        return tl::unexpected(attempt_failure {
            error {reason, toString(to), std::move(message), milliseconds {0}}, certain, true});
    }

    [[nodiscard]] attempt_failure refusal(effect kind, const endpoint &to,
                                          const http_response &response) const
    {
        const etcd_status status = parseStatus(response.body);
        std::string message = "status " + std::to_string(response.status);
        if (!status.message.empty()) {
            message += ": " + status.message;
        }
        const auto refused = refusalKind(response.status, status);
        if (!refused) {
            return failed(kind, to, std::move(message), false).value();
        }
        attempt_failure failure {{*refused, toString(to), std::move(message), milliseconds {0}},
                                 true,
                                 status.code == grpcUnavailable};
        if (*refused == error_kind::unavailable && !failure.tryNext) {
            failure.reason.retryAfter = retryAfter(response).value_or(m_options.defaultRetryAfter);
        }
        return failure;
    }

    void noteRevision(store_revision revision)
    {
        store_revision highest = m_highestRevision;
        while (revision > highest && !m_highestRevision.compare_exchange_weak(highest, revision)) {
        }
    }

    const etcd_kv_store_options m_options;
    http_client &m_client;
    std::atomic<std::size_t> m_preferred {0};
    std::atomic<store_revision> m_highestRevision {0};
};

} // namespace

std::unique_ptr<kv_store> makeEtcdKvStore(etcd_kv_store_options options, http_client &client)
{
    return std::make_unique<etcd_kv_store>(std::move(options), client);
}

} // namespace ibishinge
