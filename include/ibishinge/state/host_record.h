#pragma once

#include <ibishinge/state/document_reader.h>

#include <string>
#include <string_view>

namespace ibishinge {

inline constexpr std::string_view hostPrefix = "host/";

enum class host_state : std::uint8_t {
    in_service,
    draining, ///< receives no new work
    stopped,
};

/// Value of `host/<id>`: the pool that the host belongs to, and its state there.
struct host_record
{
    std::string pool;
    host_state state = host_state::in_service;

    friend bool operator==(const host_record &, const host_record &) = default;
};

/// Thread-safe.
[[nodiscard]] std::string encodeHostRecord(const host_record &record);

/// Thread-safe.
[[nodiscard]] document_result<host_record> decodeHostRecord(std::string_view text);

} // namespace ibishinge
