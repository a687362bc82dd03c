#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace ibishinge {

/// Calls a function on a thread of its own, again and again.
///
/// The time between two starts is `interval`, or longer if the function takes longer. The first
/// call is made at once. The destructor waits for a call in progress.
class periodic_task
{
public:
    periodic_task(std::chrono::milliseconds interval, std::function<void()> function);
    ~periodic_task();
    periodic_task(const periodic_task &) = delete;
    periodic_task &operator=(const periodic_task &) = delete;

private:
    void run();

    const std::chrono::milliseconds m_interval;
    const std::function<void()> m_function;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace ibishinge
