#include <ibishinge/state/allowance_record.h>

#include <nlohmann/json.hpp>

#include <limits>

namespace ibishinge {

namespace {

using nlohmann::json;

// Bounds the sums of grants well inside an int.
constexpr std::int64_t maxCount = 1'000'000;

result<std::int64_t> readInteger(const json &object, const std::string &place, const char *name,
                                 std::int64_t highest)
{
    const auto found = object.find(name);
    const std::string pointer = place + "/" + name;
    if (found == object.end()) {
        return makeError(error_kind::invalid_request, pointer, "missing");
    }
    if (!found->is_number_integer()) {
        return makeError(error_kind::invalid_request, pointer, "expected an integer");
    }
    // Checked as unsigned first: a value above the range of int64 would wrap to a valid one.
    const bool isTooLarge = found->is_number_unsigned()
                            && found->get<std::uint64_t>() > static_cast<std::uint64_t>(highest);
    if (isTooLarge || found->get<std::int64_t>() < 0) {
        return makeError(error_kind::invalid_request, pointer,
                         "expected 0 to " + std::to_string(highest));
    }
    return found->get<std::int64_t>();
}

result<int> readCount(const json &object, const std::string &place, const char *name)
{
    return readInteger(object, place, name, maxCount).map([](std::int64_t value) {
        return static_cast<int>(value);
    });
}

result<holder_grant> readHolder(const json &object, const std::string &place)
{
    if (!object.is_object()) {
        return makeError(error_kind::invalid_request, place, "expected an object");
    }
    for (const auto &item : object.items()) {
        if (item.key() != "grant" && item.key() != "use" && item.key() != "need"
            && item.key() != "free_at_ms") {
            return makeError(error_kind::invalid_request, place + "/" + item.key(),
                             "unknown member");
        }
    }
    const auto grant = readCount(object, place, "grant");
    const auto use = readCount(object, place, "use");
    const auto demand = readCount(object, place, "need");
    for (const auto *count : {&grant, &use, &demand}) {
        if (!*count) {
            return tl::unexpected(count->error());
        }
    }
    holder_grant holder {*grant, *use, *demand, std::nullopt};
    if (object.contains("free_at_ms")) {
        // 2^43 ms is in the year 2248; the bound keeps sums within the clock's nanoseconds.
        const auto reclaimableAt =
            readInteger(object, place, "free_at_ms", std::int64_t {1} << 43U);
        if (!reclaimableAt) {
            return tl::unexpected(reclaimableAt.error());
        }
        holder.reclaimableAt = wall_time {} + milliseconds(*reclaimableAt);
    }
    return holder;
}

} // namespace

std::string encodeAllowance(const allowance_record &record)
{
    json holders = json::object();
    for (const auto &[id, entry] : record.holders) {
        json &holder = holders[id];
        holder = {{"grant", entry.grant}, {"use", entry.use}, {"need", entry.demand}};
        if (entry.reclaimableAt) {
            holder["free_at_ms"] = sinceEpoch(*entry.reclaimableAt).count();
        }
    }
    const json value = {{"limit", record.limit},
                        {"limit_version", record.limitVersion},
                        {"holders", std::move(holders)}};
    return value.dump();
}

result<allowance_record> decodeAllowance(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return makeError(error_kind::invalid_request, "/", "expected a JSON object");
    }
    for (const auto &item : value.items()) {
        if (item.key() != "limit" && item.key() != "limit_version" && item.key() != "holders") {
            return makeError(error_kind::invalid_request, "/" + item.key(), "unknown member");
        }
    }
    const auto limit = readCount(value, "", "limit");
    if (!limit) {
        return tl::unexpected(limit.error());
    }
    const auto version =
        readInteger(value, "", "limit_version", std::numeric_limits<std::int64_t>::max());
    if (!version) {
        return tl::unexpected(version.error());
    }
    const auto holders = value.find("holders");
    if (holders == value.end() || !holders->is_object()) {
        return makeError(error_kind::invalid_request, "/holders", "expected an object");
    }
    allowance_record record {*limit, *version, {}};
    for (const auto &item : holders->items()) {
        auto holder = readHolder(item.value(), "/holders/" + item.key());
        if (!holder) {
            return tl::unexpected(holder.error());
        }
        record.holders.emplace(item.key(), *holder);
    }
    return record;
}

} // namespace ibishinge
