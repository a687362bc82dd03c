#include <ibishinge/decision/keys.h>

#include <ibishinge/base/secret.h>

#include <openssl/crypto.h>

#include <algorithm>

namespace ibishinge {

namespace {

std::string hashOf(std::string_view salt, std::string_view presentedKey)
{
    return toHex(sha256(salt, presentedKey));
}

bool matches(const key_record &key, std::string_view presentedKey)
{
    const std::string hash = hashOf(key.salt, presentedKey);
    return hash.size() == key.hash.size()
           && CRYPTO_memcmp(hash.data(), key.hash.data(), hash.size()) == 0;
}

bool hasValidKey(const key_list &keys, std::string_view team, std::string_view presentedKey)
{
    if (presentedKey.substr(0, presentedKey.find('.')) != team) {
        return false;
    }
    bool valid = false;
    // All keys of the team are compared, so that the duration does not show which key matched.
    for (const auto &key : keys.keys) {
        if (key.team == team && matches(key, presentedKey)) {
            valid = valid || !key.revokedAt.has_value();
        }
    }
    return valid;
}

} // namespace

issued_key makeKey(const std::string &team, const key_randomness &random,
                   std::chrono::milliseconds now)
{
    issued_key issued;
    issued.plaintext = team + "." + random.secret;
    issued.record = {random.id, team, random.salt, hashOf(random.salt, issued.plaintext), now, {}};
    return issued;
}

result<void> addKey(key_list &list, const key_record &record, std::chrono::milliseconds now)
{
    std::erase_if(list.keys, [now](const key_record &key) {
        return key.revokedAt && *key.revokedAt + revokedKeyRetention < now;
    });
    if (list.keys.size() >= maxKeys) {
        return makeError(error_kind::too_large, "keys",
                         "found " + std::to_string(list.keys.size()) + " keys, allowed are at most "
                             + std::to_string(maxKeys));
    }
    list.keys.push_back(record);
    return {};
}

result<void> revokeKey(key_list &list, std::string_view id, std::chrono::milliseconds now)
{
    const auto found = std::find_if(list.keys.begin(), list.keys.end(),
                                    [&](const key_record &key) { return key.id == id; });
    if (found == list.keys.end()) {
        return makeError(error_kind::unknown_entity, "key " + std::string(id),
                         "no key with this id");
    }
    if (!found->revokedAt) {
        found->revokedAt = now;
    }
    return {};
}

result<void> authorize(const key_list &keys, const catalogue &document, const access_rule &access,
                       std::string_view team, std::string_view presentedKey)
{
    if (access.openToAll) {
        return {};
    }
    if (!hasValidKey(keys, team, presentedKey) || findTeam(document, team) == nullptr) {
        return makeError(error_kind::unauthorized, "header Ibishinge-Key",
                         "the key is missing or not a valid key of the team");
    }
    if (!access.lists(team)) {
        return makeError(error_kind::unauthorized, "header Ibishinge-Team",
                         "the service or queue is not open to the team");
    }
    return {};
}

} // namespace ibishinge
