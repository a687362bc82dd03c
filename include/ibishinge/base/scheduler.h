#pragma once

#include <ibishinge/base/boot_clock.h>

#include <cstdint>
#include <functional>

namespace ibishinge {

/// Clocks and timers of one event loop; an interface so that tests run in virtual time.
///
/// Not thread-safe: used on the thread of the loop only.
class scheduler
{
public:
    virtual ~scheduler() = default;
    [[nodiscard]] virtual instant now() const = 0;
    /// Returns the wall time in milliseconds since 1970. It can jump in either direction.
    [[nodiscard]] virtual std::int64_t wallMs() const = 0;
    /// Calls `function` once, `delay` from now or later.
    virtual void after(std::chrono::milliseconds delay, std::function<void()> function) = 0;
};

} // namespace ibishinge
