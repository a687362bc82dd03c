#include <ibishinge/state/host_record.h>

#include <ibishinge/state/document_reader.h>

#include <nlohmann/json.hpp>

#include <array>

namespace ibishinge {

using nlohmann::json;

std::string_view nameOf(host_state state) noexcept
{
    constexpr std::array<std::string_view, 2> names {"in_service", "drain"};
    return names.at(static_cast<std::size_t>(state));
}

std::string encodeHost(const host_record &record)
{
    json value {{"pool", record.pool},
                {"state", nameOf(record.state)},
                {"rack", record.domains.rack},
                {"data_centre", record.domains.dataCentre},
                {"region", record.domains.region}};
    if (!record.homePool.empty()) {
        value["home_pool"] = record.homePool;
    }
    if (record.lastMaintenance) {
        value["last_maintenance_ms"] = sinceEpoch(*record.lastMaintenance).count();
    }
    return value.dump();
}

result<host_record> decodeHost(std::string_view text)
{
    const auto invalid = [](const std::vector<document_problem> &problems) {
        const auto &first = problems.front();
        return makeError(error_kind::invalid_request, first.pointer.empty() ? "/" : first.pointer,
                         "found " + first.found + ", expected " + first.allowed);
    };
    const auto parsed = parseDocument(text);
    if (!parsed) {
        return invalid(parsed.error());
    }
    std::vector<document_problem> problems;
    object_reader reader(*parsed, "", problems);
    host_record record;
    record.pool = reader.name("pool");
    if (reader.optional("home_pool") != nullptr) {
        record.homePool = reader.name("home_pool");
    }
    record.state = static_cast<host_state>(reader.choice("state", {"in_service", "drain"}));
    record.domains.rack = reader.name("rack");
    record.domains.dataCentre = reader.name("data_centre");
    record.domains.region = reader.name("region");
    if (reader.optional("last_maintenance_ms") != nullptr) {
        // 2^43 ms is in the year 2248; the bound keeps times within the clock's nanoseconds.
        record.lastMaintenance =
            wall_time {}
            + milliseconds(reader.integer("last_maintenance_ms", 0, std::int64_t {1} << 43U));
    }
    reader.finish();
    if (!problems.empty()) {
        return invalid(problems);
    }
    return record;
}

} // namespace ibishinge
