#pragma once

#include <ibishinge/decision/catalogue.h>
#include <ibishinge/state/document_reader.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace ibishinge {

/// Key of the catalogue in the store.
inline constexpr std::string_view catalogueKey = "config/catalogue";

/// Prefix of the accepted versions of the catalogue. It lies outside `config/`, whose keys every
/// process reads each second: at 1,900 changes a day the history would soon exceed the 16 KB/s that
/// a daemon may use.
inline constexpr std::string_view historyPrefix = "config-history/";

/// Version of the document format. Documents of another version are rejected.
inline constexpr std::int64_t catalogueSchema = 1;

/// Reads a catalogue document. Reports all problems at once: unknown fields, wrong types, values
/// out of bounds, names used twice and references to entries that do not exist. Thread-safe.
[[nodiscard]] document_result<catalogue> parseCatalogue(const nlohmann::json &document);

/// Returns the document of `value`, which `parseCatalogue` reads back as the same. Thread-safe.
[[nodiscard]] nlohmann::json toJson(const catalogue &value);

/// Returns `found` as JSON. Thread-safe.
[[nodiscard]] nlohmann::json toJson(const std::vector<catalogue_difference> &found);

/// The catalogue as it is stored, in `config/catalogue` and in the history.
struct catalogue_record
{
    std::int64_t version = 0; ///< counts the accepted changes from 1
    std::string changeId; ///< differs for each change; recognizes a write whose response was lost
    std::chrono::milliseconds changedAt {0}; ///< since 1970-01-01 UTC
    catalogue value;
};

/// Key of one version in the history; keys sort by version. Thread-safe.
[[nodiscard]] std::string historyKey(std::int64_t version);

/// Thread-safe.
[[nodiscard]] std::string encodeCatalogueRecord(const catalogue_record &record);

/// Thread-safe.
[[nodiscard]] document_result<catalogue_record> decodeCatalogueRecord(std::string_view text);

} // namespace ibishinge
