#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/decision/maintenance.h>

#include <string>
#include <string_view>

namespace ibishinge {

/// Key of the record of planned stops.
inline constexpr std::string_view stopsKey = "maintenance/stops";

/// Returns the JSON value of the record of planned stops. Times are whole milliseconds.
/// Thread-safe.
[[nodiscard]] std::string encodeStops(const stops_record &record);

/// Parses the JSON value of the record of planned stops.
///
/// Errors: `invalid_request` with the JSON pointer of the first member that is missing, unknown, of
/// the wrong type or out of bounds. Thread-safe.
[[nodiscard]] result<stops_record> decodeStops(std::string_view text);

} // namespace ibishinge
