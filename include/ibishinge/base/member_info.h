#pragma once

#include <ibishinge/base/endpoint.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace ibishinge {

enum class member_role : std::uint8_t { entry, control };

/// Returns the name of `role` as used in records. Thread-safe.
[[nodiscard]] constexpr std::string_view nameOf(member_role role) noexcept
{
    return role == member_role::entry ? "entry" : "control";
}

/// One running process of the system.
struct member_info
{
    std::string incarnation;
    endpoint address; ///< where it serves the peer protocol
    std::string host; ///< as named in the host list
    std::string dataCentre;
    member_role role = member_role::entry;

    friend bool operator==(const member_info &, const member_info &) = default;
};

} // namespace ibishinge
