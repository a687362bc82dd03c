#pragma once

#include <cstdint>
#include <string_view>

namespace ibishinge {

/// Priority class of a request, a job or a catalogue entry.
enum class work_class : std::uint8_t { normal, urgent };

/// Returns the name of `value` as used in headers and documents. Thread-safe.
[[nodiscard]] constexpr std::string_view nameOf(work_class value) noexcept
{
    return value == work_class::urgent ? "urgent" : "normal";
}

} // namespace ibishinge
