#pragma once

#include <ibishinge/base/endpoint.h>

#include <optional>
#include <string>
#include <string_view>

namespace ibishinge {

/// Identifies a holder of grants, in a form that allows its death to be proved: an entry process by
/// its host, its address and its run.
struct holder_id
{
    std::string host; ///< as named in the host list
    endpoint address; ///< callers' address; only one process can listen there at a time
    std::string incarnation;

    friend bool operator==(const holder_id &, const holder_id &) = default;
};

/// Returns "host/address:port/incarnation". Thread-safe.
[[nodiscard]] std::string toString(const holder_id &id);

/// Parses what `toString` returned; none for holders of another kind, such as `jobs/<pool>`.
/// Thread-safe.
[[nodiscard]] std::optional<holder_id> parseHolderId(std::string_view text);

} // namespace ibishinge
