#pragma once

#include <chrono>

namespace ibishinge {

using std::chrono::milliseconds;

/// Time that never goes back. Decision code receives it as an argument and reads no clock itself.
using monotonic_time = std::chrono::steady_clock::time_point;

/// Wall-clock time, for deadlines that are compared on another machine.
using wall_time = std::chrono::system_clock::time_point;

/// Source of both times; an interface so that tests pass virtual time. Implementations are
/// thread-safe.
class clock_source
{
public:
    virtual ~clock_source() = default;
    [[nodiscard]] virtual monotonic_time now() const noexcept = 0;
    [[nodiscard]] virtual wall_time wallNow() const noexcept = 0;
};

/// The clocks of this machine. Thread-safe.
class system_clock_source final : public clock_source
{
public:
    [[nodiscard]] monotonic_time now() const noexcept override
    {
        return std::chrono::steady_clock::now();
    }
    [[nodiscard]] wall_time wallNow() const noexcept override
    {
        return std::chrono::system_clock::now();
    }
};

/// Returns `time` as milliseconds since 1970-01-01 UTC. Thread-safe.
[[nodiscard]] inline milliseconds sinceEpoch(wall_time time) noexcept
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

} // namespace ibishinge
