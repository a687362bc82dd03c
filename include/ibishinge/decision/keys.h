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

/// The stored form of a key, which does not contain the secret.
struct key_record
{
    std::string id; ///< public; identifies the key in logs and in the operators' API
    std::string team;
    std::string salt; ///< hexadecimal
    std::string hash; ///< SHA-256 of the salt followed by the presented key, hexadecimal
    std::chrono::milliseconds createdAt {0}; ///< since 1970-01-01 UTC
    std::optional<std::chrono::milliseconds> revokedAt; ///< since 1970-01-01 UTC
};

/// All stored keys, including revoked ones.
struct key_list
{
    std::vector<key_record> keys;
};

/// Number of random bytes in the secret, the salt and the id of a key.
inline constexpr std::size_t keySecretBytes = 32;
inline constexpr std::size_t keySaltBytes = 16;
inline constexpr std::size_t keyIdBytes = 8;

/// Largest number of stored keys. With about 260 bytes for each key the document stays below the
/// store's limit of 1 MiB for a value.
inline constexpr std::size_t maxKeys = 2000;

/// Time for which a revoked key remains in the list, where operators can look it up. A key that is
/// not in the list is refused in the same way as a revoked one.
inline constexpr std::chrono::hours revokedKeyRetention {24 * 30};

/// A new key: the record to store and the full text for the team, which cannot be recovered later.
struct issued_key
{
    key_record record;
    std::string plaintext; ///< "<team>.<secret>"; must not be stored or logged
};

/// Random parts of a new key, in hexadecimal.
struct key_randomness
{
    std::string id;
    std::string salt;
    std::string secret;
};

/// Creates a key of `team`. `now` is the time since 1970-01-01 UTC. Thread-safe.
[[nodiscard]] issued_key makeKey(const std::string &team, const key_randomness &random,
                                 std::chrono::milliseconds now);

/// Adds `record` and removes keys that were revoked longer than `revokedKeyRetention` ago.
/// `now` is the time since 1970-01-01 UTC. Errors: `too_large` if the list is full.
[[nodiscard]] result<void> addKey(key_list &list, const key_record &record,
                                  std::chrono::milliseconds now);

/// Marks a key as revoked at `now` (since 1970-01-01 UTC), unless it is already revoked. Errors:
/// `unknown_entity` if the list has no such key.
[[nodiscard]] result<void> revokeKey(key_list &list, std::string_view id,
                                     std::chrono::milliseconds now);

/// Checks whether `presentedKey` permits `team` to use a service or queue with the access rule
/// `access`. No key is needed if the rule is open to all.
///
/// Errors: `unauthorized`. The message is the same for a missing, unknown or revoked key, a key of
/// another team and an unknown team, and contains no part of the key. Thread-safe.
[[nodiscard]] result<void> authorize(const key_list &keys, const catalogue &document,
                                     const access_rule &access, std::string_view team,
                                     std::string_view presentedKey);

} // namespace ibishinge
