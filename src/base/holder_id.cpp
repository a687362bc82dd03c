#include <ibishinge/base/holder_id.h>

namespace ibishinge {

std::string toString(const holder_id &id)
{
    return id.host + "/" + toString(id.address) + "/" + id.incarnation;
}

std::optional<holder_id> parseHolderId(std::string_view text)
{
    const auto first = text.find('/');
    const auto last = text.rfind('/');
    if (first == std::string_view::npos || first == last || first == 0 || last + 1 == text.size()) {
        return std::nullopt;
    }
    const auto address = parseEndpoint(std::string(text.substr(first + 1, last - first - 1)));
    if (!address) {
        return std::nullopt;
    }
    return holder_id {std::string(text.substr(0, first)), *address,
                      std::string(text.substr(last + 1))};
}

} // namespace ibishinge
