#pragma once

#include <ibishinge/decision/keys.h>
#include <ibishinge/state/document_reader.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace ibishinge {

/// Key of the list of keys in the store.
inline constexpr std::string_view keysKey = "config/keys";

/// Version of the document format. Documents of another version are rejected.
inline constexpr std::int64_t keysSchema = 1;

/// Thread-safe.
[[nodiscard]] std::string encodeKeys(const key_list &list);

/// Reports all problems at once. Thread-safe.
[[nodiscard]] document_result<key_list> decodeKeys(std::string_view text);

} // namespace ibishinge
