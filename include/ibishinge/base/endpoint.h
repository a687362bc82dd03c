#pragma once

#include <ibishinge/base/error.h>

#include <cstdint>
#include <string>

namespace ibishinge {

/// Address of a server: an IP address and a port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint &, const endpoint &) = default;
};

/// Returns "address:port". Thread-safe.
[[nodiscard]] std::string toString(const endpoint &where);

/// Parses "address:port". Errors: `invalid_request`. Thread-safe.
[[nodiscard]] result<endpoint> parseEndpoint(const std::string &text);

} // namespace ibishinge
