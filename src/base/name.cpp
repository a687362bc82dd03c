#include <ibishinge/base/name.h>

#include <algorithm>
#include <cctype>

namespace ibishinge {

bool isValidName(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= maxNameLength
           && std::all_of(text.begin(), text.end(), [](unsigned char c) {
                  return std::isalnum(c) != 0 || c == '_' || c == '-';
              });
}

} // namespace ibishinge
