#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/decision/maintenance.h>

#include <optional>
#include <string>
#include <string_view>

namespace ibishinge {

/// Prefix of the keys of host records.
inline constexpr std::string_view hostPrefix = "host/";

/// What operators want of a host.
enum class host_state : std::uint8_t {
    in_service,
    drain, ///< to be taken out of service as soon as the budgets allow
};

/// Returns the name of `state` as used in documents. Thread-safe.
[[nodiscard]] std::string_view nameOf(host_state state) noexcept;

/// A host's one record, `host/<id>`. Its pool is the only place that says where the host belongs.
struct host_record
{
    std::string pool;
    std::string homePool; ///< pool to which a lent host returns; empty if it is not lent
    host_state state = host_state::in_service;
    failure_domains domains;
    std::optional<wall_time> lastMaintenance; ///< none: never

    friend bool operator==(const host_record &, const host_record &) = default;
};

/// Returns the JSON value of a host record. Times are whole milliseconds. Thread-safe.
[[nodiscard]] std::string encodeHost(const host_record &record);

/// Parses the JSON value of a host record.
///
/// Errors: `invalid_request` with the JSON pointer of the first member that is missing, unknown, of
/// the wrong type or out of bounds. Thread-safe.
[[nodiscard]] result<host_record> decodeHost(std::string_view text);

} // namespace ibishinge
