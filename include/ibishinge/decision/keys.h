#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/decision/catalogue.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge {

/// A key as it is stored: without its secret.
struct key_record
{
    std::string id; ///< not secret; names the key in logs and in the operators' API
    std::string team;
    std::string salt; ///< hexadecimal
    std::string hash; ///< SHA-256 of the salt followed by the presented key, hexadecimal
    std::chrono::milliseconds createdAt {0}; ///< since 1970-01-01 UTC
    std::optional<std::chrono::milliseconds> revokedAt;
};

/// All keys, also revoked ones.
struct key_list
{
    std::vector<key_record> keys;
};

/// Bytes of randomness in a secret, a salt and an id.
inline constexpr std::size_t keySecretBytes = 32;
inline constexpr std::size_t keySaltBytes = 16;
inline constexpr std::size_t keyIdBytes = 8;

/// Largest number of stored keys. At about 260 bytes each the document stays below the store's
/// bound of 1 MiB for a value.
inline constexpr std::size_t maxKeys = 2000;

/// Time after which a revoked key is dropped from the list. Operators can look it up until then;
/// a dropped key is refused in the same way as a revoked one.
inline constexpr std::chrono::hours revokedKeyRetention {24 * 30};

/// A new key: the record to store and the text to hand out, which cannot be recovered later.
struct issued_key
{
    key_record record;
    std::string plaintext; ///< secret: "<team>.<secret>"
};

/// Random parts of a new key, hexadecimal.
struct key_randomness
{
    std::string id;
    std::string salt;
    std::string secret;
};

/// Makes a key of `team`. Thread-safe.
[[nodiscard]] issued_key makeKey(const std::string &team, const key_randomness &random,
                                 std::chrono::milliseconds now);

/// Adds `record` and drops keys that were revoked longer ago than the retention.
/// Errors: `too_large` if the list is full.
[[nodiscard]] result<void> addKey(key_list &list, const key_record &record,
                                  std::chrono::milliseconds now);

/// Marks a key as revoked; keeps the first revocation time. Errors: `unknown_entity`.
[[nodiscard]] result<void> revokeKey(key_list &list, std::string_view id,
                                     std::chrono::milliseconds now);

/// Decides whether `presentedKey` allows `team` to use an entry of the catalogue with the access
/// rule `access`. Entries open to all need no key.
///
/// Errors: `unauthorized`. The message is the same for a missing, unknown or revoked key, a key of
/// another team and an unknown team, and holds no part of the key. Thread-safe.
[[nodiscard]] result<void> authorize(const key_list &keys, const catalogue &document,
                                     const access_rule &access, std::string_view team,
                                     std::string_view presentedKey);

} // namespace ibishinge
