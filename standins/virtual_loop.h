#pragma once

#include <ibishinge/base/scheduler.h>

#include <functional>
#include <map>
#include <utility>

namespace ibishinge::standin {

/// Event loop in virtual time: timers run in order, and time passes only between them.
class virtual_loop final : public scheduler
{
public:
    [[nodiscard]] instant now() const override
    {
        return m_now;
    }
    [[nodiscard]] std::int64_t wallMs() const override
    {
        return wallStart + m_now.time_since_epoch().count() + wallOffset;
    }
    void after(std::chrono::milliseconds delay, std::function<void()> function) override
    {
        m_timers.emplace(m_now + delay, std::move(function));
    }

    /// Runs what is due within the next `time`.
    void run(std::chrono::milliseconds time)
    {
        const auto end = m_now + time;
        while (!m_timers.empty() && m_timers.begin()->first <= end) {
            auto timer = m_timers.extract(m_timers.begin());
            m_now = std::max(m_now, timer.key());
            timer.mapped()();
        }
        m_now = end;
    }

    /// Lets time pass while nothing runs: what falls due meanwhile runs late.
    void standStill(std::chrono::milliseconds time)
    {
        m_now += time;
    }

    /// Runs until `condition` holds. Returns false if it does not within `limit`.
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
    {
        const auto end = m_now + limit;
        while (!condition()) {
            if (m_now >= end) {
                return false;
            }
            run(std::chrono::milliseconds(1));
        }
        return true;
    }

    std::int64_t wallOffset = 0; ///< a step of the time of day

private:
    static constexpr std::int64_t wallStart = 1'700'000'000'000;
    instant m_now {std::chrono::milliseconds(1'000'000)};
    std::multimap<instant, std::function<void()>> m_timers;
};

} // namespace ibishinge::standin
