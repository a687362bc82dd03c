#include <ibishinge/state/keys_record.h>

#include <set>

namespace ibishinge {

namespace {

using nlohmann::json;

key_record readKey(object_reader &reader)
{
    constexpr std::size_t hashDigits = 64;
    key_record key;
    key.id = reader.name("id");
    key.team = reader.name("team");
    key.salt = reader.text("salt", 2 * keySaltBytes);
    key.hash = reader.text("hash", hashDigits);
    key.createdAt = std::chrono::milliseconds(reader.integer("created_at_ms", 0, INT64_MAX));
    if (reader.optional("revoked_at_ms") != nullptr) {
        key.revokedAt = std::chrono::milliseconds(reader.integer("revoked_at_ms", 0, INT64_MAX));
    }
    reader.finish();
    return key;
}

} // namespace

std::string encodeKeys(const key_list &list)
{
    json keys = json::array();
    for (const auto &key : list.keys) {
        json item {{"id", key.id},
                   {"team", key.team},
                   {"salt", key.salt},
                   {"hash", key.hash},
                   {"created_at_ms", key.createdAt.count()}};
        if (key.revokedAt) {
            item["revoked_at_ms"] = key.revokedAt->count();
        }
        keys.push_back(std::move(item));
    }
    return json {{"schema", keysSchema}, {"keys", std::move(keys)}}.dump();
}

document_result<key_list> decodeKeys(std::string_view text)
{
    auto parsed = parseDocument(text);
    if (!parsed) {
        return tl::unexpected(std::move(parsed.error()));
    }
    std::vector<document_problem> problems;
    object_reader reader(*parsed, "", problems);
    static_cast<void>(reader.integer("schema", keysSchema, keysSchema));
    key_list list;
    std::set<std::string> ids;
    const json &values = reader.array("keys");
    for (std::size_t i = 0; i < values.size(); ++i) {
        const std::string pointer = "/keys/" + std::to_string(i);
        object_reader item(values[i], pointer, problems);
        list.keys.push_back(readKey(item));
        if (!ids.insert(list.keys.back().id).second) {
            problems.push_back({pointer + "/id", "an id that is used twice", "a new id"});
        }
    }
    reader.finish();
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return list;
}

} // namespace ibishinge
