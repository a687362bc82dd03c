#include <ibishinge/state/stops_record.h>

#include <ibishinge/base/name.h>
#include <ibishinge/state/document_reader.h>

#include <nlohmann/json.hpp>

#include <functional>

namespace ibishinge {

namespace {

using nlohmann::json;

// 2^43 ms is in the year 2248; the bound keeps times within the clock's nanoseconds.
constexpr std::int64_t maxTimeMs = std::int64_t {1} << 43U;

wall_time readTime(object_reader &reader, const std::string &name)
{
    return wall_time {} + milliseconds(reader.integer(name, 0, maxTimeMs));
}

std::string readOptionalName(object_reader &reader, const std::string &name)
{
    return reader.optional(name) == nullptr ? std::string() : reader.name(name);
}

using problem_list = std::vector<document_problem>;

/// Reads each member of the object called `list`, whose names are entity names.
void readMembers(object_reader &parent, const std::string &list, problem_list &problems,
                 const std::function<void(const std::string &, object_reader &)> &read)
{
    const json *members = parent.required(list, "an object");
    if (members == nullptr) {
        return;
    }
    if (!members->is_object()) {
        parent.report(parent.pointerTo(list), "another type", "an object");
        return;
    }
    for (const auto &item : members->items()) {
        const std::string pointer = parent.pointerTo(list) + "/" + item.key();
        if (!isValidName(item.key())) {
            problems.push_back({pointer, "an invalid name", "1 to 64 of [A-Za-z0-9_-]"});
            continue;
        }
        object_reader reader(item.value(), pointer, problems);
        read(item.key(), reader);
        reader.finish();
    }
}

planned_stop readStop(object_reader &reader)
{
    planned_stop stop;
    stop.pool = reader.name("pool");
    stop.wave = readOptionalName(reader, "wave");
    stop.toPool = readOptionalName(reader, "to_pool");
    stop.planner = reader.name("planner");
    stop.reason =
        static_cast<stop_reason>(reader.choice("reason", {"maintenance", "drain", "move"}));
    stop.state = static_cast<stop_state>(
        reader.choice("state", {"admitted", "draining", "stopped", "returned"}));
    stop.failed = reader.flag("failed", false);
    stop.admittedAt = readTime(reader, "admitted_ms");
    stop.drainingAt = readTime(reader, "draining_ms");
    stop.stoppedAt = readTime(reader, "stopped_ms");
    stop.returnedAt = readTime(reader, "returned_ms");
    if ((stop.reason == stop_reason::move) == stop.toPool.empty()) {
        reader.report(reader.pointerTo("to_pool"), stop.toPool.empty() ? "none" : stop.toPool,
                      "a pool for moves only");
    }
    return stop;
}

json stopJson(const planned_stop &stop)
{
    json value {{"pool", stop.pool},
                {"planner", stop.planner},
                {"reason", nameOf(stop.reason)},
                {"state", nameOf(stop.state)},
                {"admitted_ms", sinceEpoch(stop.admittedAt).count()},
                {"draining_ms", sinceEpoch(stop.drainingAt).count()},
                {"stopped_ms", sinceEpoch(stop.stoppedAt).count()},
                {"returned_ms", sinceEpoch(stop.returnedAt).count()}};
    if (!stop.wave.empty()) {
        value["wave"] = stop.wave;
    }
    if (!stop.toPool.empty()) {
        value["to_pool"] = stop.toPool;
    }
    if (stop.failed) {
        value["failed"] = true;
    }
    return value;
}

} // namespace

std::string encodeStops(const stops_record &record)
{
    json stops = json::object();
    for (const auto &[host, stop] : record.stops) {
        stops[host] = stopJson(stop);
    }
    json waves = json::object();
    for (const auto &[name, wave] : record.waves) {
        waves[name] = {
            {"returned", wave.returned}, {"failed", wave.failed}, {"halted", wave.halted}};
    }
    json changes = json::object();
    for (const auto &[pool, change] : record.poolChanges) {
        changes[pool] = {{"grew", change.grew}, {"at_ms", sinceEpoch(change.at).count()}};
    }
    return json {{"catalogue_version", record.catalogueVersion},
                 {"host_list_version", record.hostListVersion},
                 {"writer", record.writer},
                 {"write_number", record.writeNumber},
                 {"host_changes", record.hostChanges},
                 {"stops", std::move(stops)},
                 {"waves", std::move(waves)},
                 {"pool_changes", std::move(changes)}}
        .dump();
}

result<stops_record> decodeStops(std::string_view text)
{
    const auto invalid = [](const problem_list &problems) {
        const auto &first = problems.front();
        return makeError(error_kind::invalid_request, first.pointer.empty() ? "/" : first.pointer,
                         "found " + first.found + ", expected " + first.allowed);
    };
    const auto parsed = parseDocument(text);
    if (!parsed) {
        return invalid(parsed.error());
    }
    problem_list problems;
    object_reader reader(*parsed, "", problems);
    stops_record record;
    record.catalogueVersion = reader.integer("catalogue_version", 0, INT64_MAX);
    record.hostListVersion =
        static_cast<std::uint64_t>(reader.integer("host_list_version", 0, INT64_MAX));
    record.writer = reader.name("writer");
    record.writeNumber = reader.integer("write_number", 0, INT64_MAX);
    record.hostChanges = reader.integer("host_changes", 0, INT64_MAX);
    readMembers(reader, "stops", problems, [&](const std::string &host, object_reader &member) {
        record.stops.emplace(host, readStop(member));
    });
    readMembers(reader, "waves", problems, [&](const std::string &name, object_reader &member) {
        auto &wave = record.waves[name];
        wave.returned = member.integer("returned", 0, INT64_MAX);
        wave.failed = member.integer("failed", 0, INT64_MAX);
        if (member.required("halted", "true or false") != nullptr) {
            wave.halted = member.flag("halted", false);
        }
    });
    readMembers(reader, "pool_changes", problems,
                [&](const std::string &pool, object_reader &member) {
                    auto &change = record.poolChanges[pool];
                    if (member.required("grew", "true or false") != nullptr) {
                        change.grew = member.flag("grew", false);
                    }
                    change.at = readTime(member, "at_ms");
                });
    reader.finish();
    if (!problems.empty()) {
        return invalid(problems);
    }
    return record;
}

} // namespace ibishinge
