#pragma once

#include <chrono>

namespace ibishinge {

/// Clock that also counts the time during which the machine is suspended (CLOCK_BOOTTIME), so that
/// a lease held before a suspension is seen as expired after it.
struct boot_clock
{
    using duration = std::chrono::milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required name

    /// Thread-safe.
    [[nodiscard]] static time_point now() noexcept;
};

/// A moment on this machine. Never compared between machines.
using instant = boot_clock::time_point;

/// Returns `now` minus `then` in milliseconds. Thread-safe.
[[nodiscard]] constexpr std::chrono::milliseconds since(instant then, instant now) noexcept
{
    return now - then;
}

} // namespace ibishinge
