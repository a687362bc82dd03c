#include <ibishinge/outside/jsonrpc_peer_client.h>

#include <ibishinge/base/secret.h>
#include <ibishinge/outside/jsonrpc_call.h>

#include <jsonrpccpp/server.h>
#include <nlohmann/json.hpp>

#include <stdexcept>
#include <utility>

namespace ibishinge {

namespace {

using nlohmann::json;

constexpr auto secretHeader = "Ibishinge-Peer-Secret";

json toJson(const member_info &member)
{
    return {{"incarnation", member.incarnation},
            {"address", toString(member.address)},
            {"host", member.host},
            {"data_centre", member.dataCentre},
            {"role", nameOf(member.role)}};
}

json toJson(const configuration_revisions &revisions)
{
    return {{"catalogue", revisions.catalogue}, {"keys", revisions.keys}};
}

json toJson(const exchange_message &message)
{
    json members = json::array();
    for (const auto &member : message.members) {
        members.push_back(toJson(member));
    }
    json value {
        {"sender", toJson(message.sender)},        {"revisions", toJson(message.revisions)},
        {"store_revision", message.storeRevision}, {"leaving_targets", message.leavingTargets},
        {"members", std::move(members)},           {"members_digest", message.membersDigest}};
    if (message.verificationAge) {
        value["contact_age_ms"] = message.verificationAge->count();
    }
    return value;
}

json toJson(const configuration_document &document)
{
    return {{"text", document.text}, {"revision", document.revision}};
}

json toJson(const configuration_documents &documents)
{
    return {{"catalogue", toJson(documents.catalogue)}, {"keys", toJson(documents.keys)}};
}

// The functions below throw `std::exception`s for values of an unexpected shape. Fields that are
// not known are ignored, so that members of different versions understand each other.

std::int64_t readCount(const json &value, const char *field)
{
    const json &number = value.at(field);
    // Revisions and ages are never negative, and a fraction would be cut off silently.
    if (!number.is_number_integer() || number.get<std::int64_t>() < 0) {
        throw std::invalid_argument(std::string(field) + ": expected an integer from 0");
    }
    return number.get<std::int64_t>();
}

member_info readMember(const json &value)
{
    member_info member;
    member.incarnation = value.at("incarnation").get<std::string>();
    const auto address = parseEndpoint(value.at("address").get<std::string>());
    if (!address) {
        throw std::invalid_argument(describe(address.error()));
    }
    member.address = *address;
    member.host = value.at("host").get<std::string>();
    member.dataCentre = value.at("data_centre").get<std::string>();
    member.role = value.at("role") == nameOf(member_role::control) ? member_role::control
                                                                   : member_role::entry;
    return member;
}

configuration_revisions readRevisions(const json &value)
{
    return {readCount(value, "catalogue"), readCount(value, "keys")};
}

exchange_message readMessage(const json &value)
{
    exchange_message message;
    message.sender = readMember(value.at("sender"));
    message.revisions = readRevisions(value.at("revisions"));
    message.storeRevision = readCount(value, "store_revision");
    if (value.contains("contact_age_ms")) {
        message.verificationAge = std::chrono::milliseconds(readCount(value, "contact_age_ms"));
    }
    message.leavingTargets = value.at("leaving_targets").get<std::vector<std::string>>();
    for (const auto &member : value.at("members")) {
        message.members.push_back(readMember(member));
    }
    message.membersDigest = value.value("members_digest", "");
    return message;
}

configuration_document readDocument(const json &value)
{
    return {value.at("text").get<std::string>(), readCount(value, "revision")};
}

configuration_documents readDocuments(const json &value)
{
    return {readDocument(value.at("catalogue")), readDocument(value.at("keys"))};
}

/// Carries one call over HTTP and keeps the error, which JSON-RPC has no place for.
class http_transport final : public jsonrpc_transport
{
public:
    http_transport(http_client &client, const endpoint &to, const std::string &secret,
                   std::chrono::milliseconds timeout)
        : m_client(client)
        , m_to(to)
        , m_secret(secret)
        , m_timeout(timeout)
    {
    }

    bool exchangeText(const std::string &request, std::string &response) override
    {
        http_request sent;
        sent.method = "POST";
        sent.path = peerPath;
        sent.headers = {{"Content-Type", "application/json"}, {secretHeader, m_secret}};
        sent.body = request;
        // All methods may be repeated: members take only what is newer than what they hold.
        auto answer = m_client.send(m_to, sent, m_timeout, connection_use::reuse_allowed);
        if (!answer) {
            m_error = std::move(answer.error());
            return false;
        }
        if (answer->status != 200) {
            m_error.kind =
                answer->status == 401 ? error_kind::unauthorized : error_kind::target_failed;
            m_error.place = toString(m_to);
            m_error.message = "answered with status " + std::to_string(answer->status);
            return false;
        }
        response = std::move(answer->body);
        return true;
    }
    [[nodiscard]] const error &lastError() const
    {
        return m_error;
    }

private:
    http_client &m_client;
    const endpoint &m_to;
    const std::string &m_secret;
    std::chrono::milliseconds m_timeout;
    error m_error;
};

class jsonrpc_peer_client final : public peer_client
{
public:
    jsonrpc_peer_client(http_client &client, std::string secret)
        : m_client(client)
        , m_secret(std::move(secret))
    {
    }

    result<exchange_message> exchange(const endpoint &to, const exchange_message &message,
                                      std::chrono::milliseconds timeout) override
    {
        return call(to, "exchange", {{"message", toJson(message)}}, timeout, readMessage);
    }
    result<configuration_documents> fetchConfiguration(const endpoint &to,
                                                       std::chrono::milliseconds timeout) override
    {
        return call(to, "fetchConfiguration", json::object(), timeout, readDocuments);
    }
    result<configuration_revisions> push(const endpoint &to,
                                         const configuration_documents &documents,
                                         std::chrono::milliseconds timeout) override
    {
        return call(to, "push", {{"documents", toJson(documents)}}, timeout, readRevisions);
    }

private:
    template <class T>
    result<T> call(const endpoint &to, const std::string &method, const json &parameters,
                   std::chrono::milliseconds timeout, T (*read)(const json &))
    {
        http_transport transport(m_client, to, m_secret, timeout);
        const auto outcome = callJsonrpc(
            transport, method, parameters.dump(-1, ' ', false, json::error_handler_t::replace));
        if (outcome.state == jsonrpc_outcome::status::not_carried) {
            return tl::unexpected(transport.lastError());
        }
        if (outcome.state == jsonrpc_outcome::status::rejected) {
            return makeError(error_kind::target_failed, toString(to), outcome.text);
        }
        try {
            return read(json::parse(outcome.text));
        } catch (const std::exception &e) {
            return makeError(error_kind::target_failed, toString(to),
                             std::string("malformed answer: ") + e.what());
        }
    }

    http_client &m_client;
    const std::string m_secret;
};

/// Passes texts between our HTTP server and the library.
class text_connector final : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }
    bool StopListening() override
    {
        return true;
    }
    bool SendResponse(const std::string &response, void *addInfo) override
    {
        *static_cast<std::string *>(addInfo) = response;
        return true;
    }
};

/// Deepest nesting of a request. jsoncpp parses by recursion and accepts 1,000 levels, which
/// overflow the stack of a thread of CivetWeb.
constexpr int maxNesting = 32;

/// Returns true if no value in `text` lies more than `limit` levels deep.
/// Precondition: `text` is valid JSON; jsoncpp also accepts comments, which could hide brackets.
bool isNestedWithin(std::string_view text, int limit) noexcept
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString) {
            i += c == '\\' ? 1 : 0; // Skips the escaped character.
            isInString = c != '"';
        } else if (c == '"') {
            isInString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > limit) {
                return false;
            }
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return true;
}

json toNlohmann(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return json::parse(Json::writeString(builder, value));
}

Json::Value toJsoncpp(const json &value)
{
    const std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value converted;
    reader->parse(text.data(), text.data() + text.size(), &converted, nullptr);
    return converted;
}

/// Maps the methods of the protocol to a `peer_handler`.
class method_table final : public jsonrpc::AbstractServer<method_table>
{
public:
    method_table(jsonrpc::AbstractServerConnector &connector, peer_handler &target)
        : AbstractServer(connector, jsonrpc::JSONRPC_SERVER_V2)
        , m_handler(target)
    {
        using jsonrpc::Procedure;
        bindAndAddMethod(Procedure("exchange", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                                   "message", jsonrpc::JSON_OBJECT, nullptr),
                         &method_table::exchange);
        bindAndAddMethod(
            Procedure("fetchConfiguration", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
            &method_table::fetchConfiguration);
        bindAndAddMethod(Procedure("push", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                                   "documents", jsonrpc::JSON_OBJECT, nullptr),
                         &method_table::push);
    }

private:
    void exchange(const Json::Value &parameters, Json::Value &answer)
    {
        answer = toJsoncpp(toJson(m_handler.exchange(read(parameters["message"], readMessage))));
    }
    void fetchConfiguration(const Json::Value &, Json::Value &answer)
    {
        answer = toJsoncpp(toJson(m_handler.fetchConfiguration()));
    }
    void push(const Json::Value &parameters, Json::Value &answer)
    {
        answer = toJsoncpp(toJson(m_handler.push(read(parameters["documents"], readDocuments))));
    }

    template <class T>
    static T read(const Json::Value &value, T (*reader)(const json &))
    {
        try {
            return reader(toNlohmann(value));
        } catch (const std::exception &e) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, e.what());
        }
    }

    peer_handler &m_handler;
};

} // namespace

std::unique_ptr<peer_client> makeJsonrpcPeerClient(http_client &client, std::string secret)
{
    return std::make_unique<jsonrpc_peer_client>(client, std::move(secret));
}

struct jsonrpc_peer_server::impl
{
    impl(peer_handler &handler, std::string sharedSecret)
        : secret(std::move(sharedSecret))
        , methods(connector, handler)
    {
    }

    std::string secret;
    text_connector connector;
    method_table methods;
};

std::unique_ptr<jsonrpc_peer_server> jsonrpc_peer_server::create(peer_handler &handler,
                                                                 std::string secret)
{
    return std::unique_ptr<jsonrpc_peer_server>(
        new jsonrpc_peer_server(std::make_unique<impl>(handler, std::move(secret))));
}

jsonrpc_peer_server::jsonrpc_peer_server(std::unique_ptr<impl> state) noexcept
    : m_impl(std::move(state))
{
}

jsonrpc_peer_server::~jsonrpc_peer_server() = default;

http_response jsonrpc_peer_server::handle(const http_request &request)
{
    const auto presented = findHeader(request.headers, secretHeader).value_or("");
    if (m_impl->secret.empty() || !equalSecrets(presented, m_impl->secret)) {
        return jsonResponse(401, "{\"error\":\"unauthorized\"}\n");
    }
    if (request.method != "POST" || request.path != peerPath) {
        return jsonResponse(404, "{\"error\":\"unknown_entity\"}\n");
    }
    if (!json::accept(request.body) || !isNestedWithin(request.body, maxNesting)) {
        return jsonResponse(400, "{\"error\":\"invalid_request\"}\n");
    }
    std::string response;
    m_impl->connector.OnRequest(request.body, &response);
    return jsonResponse(200, std::move(response));
}

} // namespace ibishinge
