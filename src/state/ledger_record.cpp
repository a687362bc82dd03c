#include <ibishinge/state/ledger_record.h>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <array>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace ibishinge {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 3> stateNames {"claimed", "finished", "released"};

std::string toBase64(const std::string &bytes)
{
    // EVP_EncodeBlock also writes a terminating zero byte.
    std::vector<unsigned char> text(4 * ((bytes.size() + 2) / 3) + 1);
    const int length =
        EVP_EncodeBlock(text.data(), reinterpret_cast<const unsigned char *>(bytes.data()),
                        static_cast<int>(bytes.size()));
    return {text.begin(), text.begin() + length};
}

std::optional<std::string> fromBase64(const std::string &text)
{
    std::vector<unsigned char> bytes(3 * (text.size() / 4) + 1);
    const int length =
        EVP_DecodeBlock(bytes.data(), reinterpret_cast<const unsigned char *>(text.data()),
                        static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    std::string decoded(bytes.begin(), bytes.begin() + length);
    // EVP_DecodeBlock returns padding as zero bytes and accepts some malformed input.
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    decoded.resize(decoded.size() - padding);
    return toBase64(decoded) == text ? std::optional(decoded) : std::nullopt;
}

bool hasExactly(const json &object, const std::set<std::string> &names)
{
    if (!object.is_object() || object.size() != names.size()) {
        return false;
    }
    for (const auto &name : names) {
        if (!object.contains(name)) {
            return false;
        }
    }
    return true;
}

result<stored_response> decodeAnswer(const std::string &place, const json &object)
{
    if (!hasExactly(object, {"status", "content_type", "body"})
        || !object["status"].is_number_integer() || !object["content_type"].is_string()
        || !object["body"].is_string()) {
        return makeError(error_kind::internal, place + "#/answer",
                         "not an object of status, content_type and body");
    }
    const auto status = object["status"].get<std::int64_t>();
    auto body = fromBase64(object["body"].get<std::string>());
    if (status < 100 || status > 599 || !body) {
        return makeError(error_kind::internal, place + "#/answer",
                         "status out of range or body not in Base64");
    }
    return stored_response {static_cast<int>(status), object["content_type"].get<std::string>(),
                            std::move(*body)};
}

} // namespace

std::string ledgerKey(std::string_view team, std::string_view requestId)
{
    std::string key = "request/";
    key.append(team).append("/").append(requestId);
    return key;
}

std::string encodeLedgerRecord(const ledger_record &record)
{
    json object {{"state", stateNames.at(static_cast<std::size_t>(record.state))},
                 {"attempt", record.attemptId},
                 {"body_hash", record.bodyHash}};
    if (record.answer) {
        object["answer"] = {{"status", record.answer->status},
                            {"content_type", record.answer->contentType},
                            {"body", toBase64(record.answer->body)}};
    }
    // A target may send a content type that is not UTF-8.
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<ledger_record> decodeLedgerRecord(const std::string &place, std::string_view text)
{
    const json object = json::parse(text, nullptr, false);
    std::set<std::string> names {"state", "attempt", "body_hash"};
    if (object.is_object() && object.contains("answer")) {
        names.insert("answer");
    }
    if (!hasExactly(object, names) || !object["state"].is_string() || !object["attempt"].is_string()
        || !object["body_hash"].is_string()) {
        return makeError(error_kind::internal, place,
                         "not an object of state, attempt, body_hash and possibly answer");
    }
    ledger_record record;
    std::size_t state = 0;
    while (state < stateNames.size() && object["state"].get<std::string>() != stateNames[state]) {
        ++state;
    }
    if (state == stateNames.size()) {
        return makeError(error_kind::internal, place + "#/state", "unknown state");
    }
    record.state = static_cast<ledger_state>(state);
    record.attemptId = object["attempt"].get<std::string>();
    record.bodyHash = object["body_hash"].get<std::string>();
    if (names.contains("answer")) {
        if (record.state != ledger_state::finished) {
            return makeError(error_kind::internal, place + "#/answer", "only allowed if finished");
        }
        auto answer = decodeAnswer(place, object["answer"]);
        if (!answer) {
            return tl::unexpected<error>(answer.error());
        }
        record.answer = std::move(*answer);
    }
    return record;
}

} // namespace ibishinge
