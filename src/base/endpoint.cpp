#include <ibishinge/base/endpoint.h>

#include <charconv>

namespace ibishinge {

std::string toString(const endpoint &where)
{
    return where.address + ":" + std::to_string(where.port);
}

result<endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string::npos || colon == 0) {
        return makeError(error_kind::invalid_request, text, "expected ADDRESS:PORT");
    }
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const auto parsed = std::from_chars(first, last, port);
    if (parsed.ec != std::errc {} || parsed.ptr != last || port == 0) {
        return makeError(error_kind::invalid_request, text, "expected a port from 1 to 65535");
    }
    return endpoint {text.substr(0, colon), port};
}

} // namespace ibishinge
