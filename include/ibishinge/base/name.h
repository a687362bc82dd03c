#pragma once

#include <cstddef>
#include <string_view>

namespace ibishinge {

/// Longest name of an entity and longest request id, in characters.
inline constexpr std::size_t maxNameLength = 64;

/// Returns true for 1 to `maxNameLength` characters of [A-Za-z0-9_-]. Thread-safe.
[[nodiscard]] bool isValidName(std::string_view text) noexcept;

} // namespace ibishinge
