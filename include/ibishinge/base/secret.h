#pragma once

#include <ibishinge/base/error.h>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace ibishinge {

/// Shortest shared secret or token that is accepted, in bytes.
inline constexpr std::size_t minSecretLength = 16;

/// A SHA-256 digest.
using sha256_digest = std::array<unsigned char, 32>;

/// Returns the SHA-256 digest of `first` followed by `second`. Thread-safe.
[[nodiscard]] sha256_digest sha256(std::string_view first, std::string_view second = {});

/// Compares in a time that depends on neither the contents nor the position of a difference.
/// Thread-safe.
[[nodiscard]] bool equalInConstantTime(const sha256_digest &a, const sha256_digest &b) noexcept;

/// Compares secrets by their digests, so that the time does not tell their lengths either.
/// Thread-safe.
[[nodiscard]] bool equalSecrets(std::string_view a, std::string_view b);

/// Returns `count` random bytes as 2 * `count` hexadecimal digits, from OpenSSL's generator for
/// private values. Errors: `internal` if the generator fails. Thread-safe.
[[nodiscard]] result<std::string> randomHex(std::size_t count);

/// Returns `bytes` as hexadecimal digits. Thread-safe.
[[nodiscard]] std::string toHex(const sha256_digest &bytes);

/// Reads the first line of a file as a secret. Errors: `invalid_request` if the file cannot be read
/// or the line is shorter than `minSecretLength`; the message never holds the content. Thread-safe.
[[nodiscard]] result<std::string> readSecretFile(const std::string &path);

} // namespace ibishinge
