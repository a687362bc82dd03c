#include <ibishinge/outside/http_host_list.h>

#include <nlohmann/json.hpp>

#include <mutex>
#include <optional>
#include <set>
#include <utility>

namespace ibishinge {

namespace {

using nlohmann::json;

constexpr std::int64_t maxSlots = 100000;

/// Reads fields and keeps the first problem, so that each reader needs no check of its own.
class field_reader
{
public:
    explicit field_reader(std::optional<error> &problem)
        : m_problem(problem)
    {
    }

    std::string text(const json &from, const std::string &place, const char *name)
    {
        const auto found = from.find(name);
        if (found == from.end() || !found->is_string()
            || found->get_ref<const std::string &>().empty()) {
            fail(place + "/" + name, "expected a non-empty text");
            return {};
        }
        return found->get<std::string>();
    }

    std::int64_t integer(const json &from, const std::string &place, const char *name,
                         std::int64_t minimum, std::int64_t maximum)
    {
        const auto found = from.find(name);
        if (found == from.end() || !found->is_number_integer()) {
            fail(place + "/" + name, "expected an integer");
            return 0;
        }
        const bool tooLarge = found->is_number_unsigned()
                              && found->get<std::uint64_t>() > static_cast<std::uint64_t>(maximum);
        const auto value = tooLarge ? maximum : found->get<std::int64_t>();
        if (tooLarge || value < minimum) {
            fail(place + "/" + name, "expected an integer from " + std::to_string(minimum) + " to "
                                         + std::to_string(maximum));
        }
        return value;
    }

    const json &array(const json &from, const std::string &place, const char *name)
    {
        static const json none = json::array();
        const auto found = from.is_object() ? from.find(name) : from.end();
        if (!from.is_object() || found == from.end() || !found->is_array()) {
            fail(place + "/" + name, "expected an array");
            return none;
        }
        return *found;
    }

    bool isObject(const json &value, const std::string &place)
    {
        if (!value.is_object()) {
            fail(place, "expected an object");
        }
        return value.is_object();
    }

    void fail(const std::string &place, const std::string &message)
    {
        if (!m_problem) {
            m_problem = error {error_kind::invalid_request, place, message, {}};
        }
    }

private:
    std::optional<error> &m_problem;
};

listed_service readService(const json &from, const std::string &place, field_reader &reader)
{
    listed_service service;
    service.name = reader.text(from, place, "name");
    const auto where = parseEndpoint(reader.text(from, place, "endpoint"));
    if (where) {
        service.where = *where;
    } else {
        reader.fail(place + "/endpoint", where.error().message);
    }
    service.slots = static_cast<int>(reader.integer(from, place, "slots", 1, maxSlots));
    service.connections = static_cast<int>(reader.integer(from, place, "connections", 1, maxSlots));
    return service;
}

listed_host readHost(const json &from, const std::string &place, field_reader &reader)
{
    listed_host host;
    host.id = reader.text(from, place, "id");
    host.address = reader.text(from, place, "address");
    host.dataCentre = reader.text(from, place, "data_centre");
    host.rack = reader.text(from, place, "rack");
    const std::string state = reader.text(from, place, "state");
    if (state == "leaving") {
        host.state = listed_host_state::leaving;
    } else if (state != "live") {
        reader.fail(place + "/state", "expected live or leaving");
    }
    std::size_t index = 0;
    for (const auto &service : reader.array(from, place, "services")) {
        const std::string servicePlace = place + "/services/" + std::to_string(index++);
        if (reader.isObject(service, servicePlace)) {
            host.services.push_back(readService(service, servicePlace, reader));
        }
    }
    return host;
}

class http_host_list final : public host_list
{
public:
    http_host_list(http_client &client, endpoint server)
        : m_client(client)
        , m_server(std::move(server))
    {
    }

    result<host_list_snapshot> fetch(std::chrono::milliseconds timeout) override
    {
        http_request request;
        request.path = "/hosts";
        const std::lock_guard lock(m_mutex);
        if (!m_tag.empty()) {
            request.headers.push_back({"If-None-Match", m_tag});
        }
        auto response = m_client.send(m_server, request, timeout, connection_use::reuse_allowed);
        if (!response) {
            return tl::unexpected(response.error());
        }
        const std::string place = toString(m_server) + "/hosts";
        if (response->status == 304 && !m_tag.empty()) {
            return m_last;
        }
        if (response->status != 200) {
            return makeError(error_kind::target_failed, place,
                             "status " + std::to_string(response->status));
        }
        auto list = parseHostList(response->body);
        if (!list) {
            return makeError(error_kind::target_failed, place, describe(list.error()));
        }
        m_tag = findHeader(response->headers, "ETag").value_or("");
        if (!m_tag.empty()) {
            m_last = *list;
        }
        return list;
    }

private:
    http_client &m_client;
    endpoint m_server;
    std::mutex m_mutex;
    std::string m_tag; ///< of `m_last`; empty: the server gave none
    host_list_snapshot m_last;
};

} // namespace

std::unique_ptr<host_list> makeHttpHostList(http_client &client, endpoint server)
{
    return std::make_unique<http_host_list>(client, std::move(server));
}

result<host_list_snapshot> parseHostList(const std::string &body)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object()) {
        return makeError(error_kind::invalid_request, "/", "expected a JSON object");
    }
    std::optional<error> problem;
    field_reader reader(problem);
    host_list_snapshot list;
    list.version = static_cast<std::uint64_t>(
        reader.integer(document, "", "version", 0, std::numeric_limits<std::int64_t>::max()));
    std::set<std::string> ids;
    std::size_t index = 0;
    for (const auto &host : reader.array(document, "", "hosts")) {
        const std::string place = "/hosts/" + std::to_string(index++);
        if (!reader.isObject(host, place)) {
            break;
        }
        list.hosts.push_back(readHost(host, place, reader));
        if (!ids.insert(list.hosts.back().id).second) {
            reader.fail(place + "/id", "listed twice");
        }
    }
    if (problem) {
        return tl::unexpected(*problem);
    }
    return list;
}

nlohmann::json toJson(const listed_host &host)
{
    json services = json::array();
    for (const auto &service : host.services) {
        services.push_back({{"name", service.name},
                            {"endpoint", toString(service.where)},
                            {"slots", service.slots},
                            {"connections", service.connections}});
    }
    return {{"id", host.id},
            {"address", host.address},
            {"data_centre", host.dataCentre},
            {"rack", host.rack},
            {"services", std::move(services)},
            {"state", host.state == listed_host_state::live ? "live" : "leaving"}};
}

std::string formatHostList(const host_list_snapshot &list)
{
    json hosts = json::array();
    for (const auto &host : list.hosts) {
        hosts.push_back(toJson(host));
    }
    return json {{"version", list.version}, {"hosts", std::move(hosts)}}.dump() + "\n";
}

} // namespace ibishinge
