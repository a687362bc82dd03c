#include <ibishinge/base/periodic_task.h>

#include <utility>

namespace ibishinge {

periodic_task::periodic_task(std::chrono::milliseconds interval, std::function<void()> function)
    : m_interval(interval)
    , m_function(std::move(function))
    , m_thread([this] { run(); })
{
}

periodic_task::~periodic_task()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void periodic_task::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const auto next = std::chrono::steady_clock::now() + m_interval;
        lock.unlock();
        m_function();
        lock.lock();
        m_changed.wait_until(lock, next, [this] { return m_stopping; });
    }
}

} // namespace ibishinge
