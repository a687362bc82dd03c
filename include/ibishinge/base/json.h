#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

// Instantiated once, in json.cpp, instead of in every file that uses it.
extern template class nlohmann::basic_json<>;

namespace ibishinge {

/// Parses JSON text from outside the process. Throws `nlohmann::json::exception` if it is malformed
/// or nested deeper than any document: copying and writing a value use the stack for each level. So
/// is one with more arrays and objects than any document: they take many times the memory of their
/// text. Thread-safe.
[[nodiscard]] nlohmann::json parseJson(const std::string &text);

/// Integers that a decoder accepts.
struct integer_range
{
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

/// Returns a number as an integer, without its fraction. Throws `nlohmann::json::exception` if it
/// is no number or outside the range: the library converts numbers without a check, and the result
/// of a conversion out of range differs between machines. Thread-safe.
[[nodiscard]] std::int64_t integerFrom(const nlohmann::json &value, integer_range range);

/// Returns the member `key` of an object, or `fallback` if there is none. Throws like the function
/// above.
[[nodiscard]] std::int64_t integerFrom(const nlohmann::json &object, const char *key,
                                       std::int64_t fallback, integer_range range);

/// Returns a number that lies within the bounds. Throws `nlohmann::json::exception` if it is no
/// number or outside of them. Thread-safe.
[[nodiscard]] double realFrom(const nlohmann::json &value, double lowest, double highest);

/// Encodes messages to other processes: CBOR is written faster than text, but read more slowly by
/// this library. Thread-safe.
[[nodiscard]] std::string encodeCbor(const nlohmann::json &value);

/// Decodes what `encodeCbor` returned. Nothing if the bytes are malformed, go on behind the value,
/// are nested deeper than any message (the library's reader would use up the stack), or have more
/// arrays and objects than any message. Thread-safe.
[[nodiscard]] std::optional<nlohmann::json> decodeCbor(const std::string &bytes);

} // namespace ibishinge
