#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

// Instantiated once, in json.cpp, instead of in every file that uses it.
extern template class nlohmann::basic_json<>;

namespace ibishinge {

/// Encodes messages to other processes: CBOR is written faster than text, but read more slowly by
/// this library. Thread-safe.
[[nodiscard]] std::string encodeCbor(const nlohmann::json &value);

/// Decodes what `encodeCbor` returned. Nothing if the bytes are malformed, go on behind the value,
/// or are nested deeper than any message: the library's reader would use up the stack. Thread-safe.
[[nodiscard]] std::optional<nlohmann::json> decodeCbor(const std::string &bytes);

} // namespace ibishinge
