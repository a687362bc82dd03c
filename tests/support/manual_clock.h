#pragma once

#include <ibishinge/base/time.h>

#include <atomic>

namespace ibishinge {

/// A clock that only moves when told to. Thread-safe.
class manual_clock final : public clock_source
{
public:
    void advance(std::chrono::milliseconds by) noexcept
    {
        m_elapsed += by.count();
    }
    [[nodiscard]] monotonic_time now() const noexcept override
    {
        return monotonic_time {} + std::chrono::hours(1) + milliseconds(m_elapsed);
    }
    [[nodiscard]] wall_time wallNow() const noexcept override
    {
        return wall_time {} + std::chrono::hours(24 * 365) + milliseconds(m_elapsed);
    }

private:
    std::atomic<std::int64_t> m_elapsed {0};
};

} // namespace ibishinge
