#include <ibishinge/base/incarnation.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <random>

namespace ibishinge {

std::string makeIncarnation()
{
    std::random_device source;
    const std::uint64_t value = (static_cast<std::uint64_t>(source()) << 32U) | source();
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

} // namespace ibishinge
