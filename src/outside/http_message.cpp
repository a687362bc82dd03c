#include <ibishinge/outside/http_message.h>

#include <algorithm>
#include <cctype>

namespace ibishinge {

namespace {

bool equalIgnoringCase(std::string_view a, std::string_view b) noexcept
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

} // namespace

std::optional<std::string_view> findHeader(const std::vector<http_header> &headers,
                                           std::string_view name) noexcept
{
    for (const auto &header : headers) {
        if (equalIgnoringCase(header.name, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

http_response jsonResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace ibishinge
