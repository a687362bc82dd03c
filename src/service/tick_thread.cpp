#include <ibishinge/service/tick_thread.h>

#include <algorithm>
#include <atomic>
#include <utility>
#include <vector>

namespace ibishinge {

tick_thread::tick_thread(std::chrono::milliseconds period, std::function<void()> tick)
    : m_period(period)
    , m_tick(std::move(tick))
    , m_thread([this] { run(); })
{
}

tick_thread::~tick_thread()
{
    stop();
}

void tick_thread::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void tick_thread::run()
{
    auto next = std::chrono::steady_clock::now();
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        m_tick();
        next = std::max(next + m_period, std::chrono::steady_clock::now());
        lock.lock();
        m_changed.wait_until(lock, next, [this] { return m_stopping; });
    }
}

std::function<void(std::size_t, const std::function<void(std::size_t)> &)>
parallelFor(std::size_t threads)
{
    return [threads](std::size_t count, const std::function<void(std::size_t)> &act) {
        std::atomic<std::size_t> next {0};
        const auto work = [&] {
            for (std::size_t i = next++; i < count; i = next++) {
                act(i);
            }
        };
        std::vector<std::thread> helpers;
        for (std::size_t i = 1; i < std::min(threads, count); ++i) {
            helpers.emplace_back(work);
        }
        work();
        for (auto &helper : helpers) {
            helper.join();
        }
    };
}

} // namespace ibishinge
