#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <thread>

namespace ibishinge {

/// Calls a function at regular times on a thread of its own, the first time at once. A call that
/// takes longer than the period delays the next one.
class tick_thread
{
public:
    tick_thread(std::chrono::milliseconds period, std::function<void()> tick);
    ~tick_thread();
    tick_thread(const tick_thread &) = delete;
    tick_thread &operator=(const tick_thread &) = delete;

    /// Waits until a call in progress has returned; there are no more afterwards.
    void stop();

private:
    void run();

    const std::chrono::milliseconds m_period;
    const std::function<void()> m_tick;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

/// Returns a function that calls another one for 0 to count-1, on up to `threads` threads, and
/// returns when all calls have.
[[nodiscard]] std::function<void(std::size_t, const std::function<void(std::size_t)> &)>
parallelFor(std::size_t threads);

} // namespace ibishinge
