#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ibishinge {

/// Returns `bytes` in base64 with padding (RFC 4648, section 4). Thread-safe.
[[nodiscard]] std::string encodeBase64(std::string_view bytes);

/// Returns the bytes that `text` stands for, or nothing if it is not padded base64. Thread-safe.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

} // namespace ibishinge
