#include <ibishinge/base/line_writer.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

namespace ibishinge {

namespace {

/// Wait for a reader that does not read, between looks at whether to stop.
constexpr int pollMs = 100;

/// Time for writing what waits when the process ends.
constexpr std::chrono::milliseconds lastWrites {300};

} // namespace

line_writer::line_writer(int descriptor, std::size_t maxBytes)
    : m_descriptor(descriptor)
    , m_maxBytes(maxBytes)
    , m_thread([this] { run(); })
{
}

line_writer::~line_writer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

bool line_writer::write(std::string line)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_bytes + line.size() > m_maxBytes) {
            ++m_dropped;
            return false;
        }
        m_bytes += line.size();
        m_lines.push_back(std::move(line));
    }
    m_changed.notify_one();
    return true;
}

void line_writer::flush(std::chrono::milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, limit, [this] { return m_bytes == 0; });
}

std::uint64_t line_writer::takeDropped()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_dropped, 0);
}

void line_writer::run()
{
    using steady = std::chrono::steady_clock;
    std::string text;
    std::size_t written = 0;
    steady::time_point end {};
    while (true) {
        if (written == text.size()) {
            std::unique_lock lock(m_mutex);
            m_bytes -= text.size();
            text.clear();
            written = 0;
            if (m_bytes == 0) {
                m_changed.notify_all();
            }
            m_changed.wait(lock, [this] { return m_stopping || !m_lines.empty(); });
            for (const auto &line : m_lines) {
                text += line;
            }
            m_lines.clear();
            if (m_stopping && end == steady::time_point {}) {
                end = steady::now() + lastWrites;
            }
            if (text.empty()) {
                return;
            }
        }
        pollfd ready {m_descriptor, POLLOUT, 0};
        const int count = poll(&ready, 1, pollMs);
        if (count > 0) {
            // A pipe is writable when a page of it is free: larger writes could block.
            constexpr std::size_t page = 4096;
            const auto done =
                ::write(m_descriptor, text.data() + written, std::min(page, text.size() - written));
            if (done < 0 && errno != EINTR && errno != EAGAIN) {
                return; // the reader is gone
            }
            written += done > 0 ? static_cast<std::size_t>(done) : 0;
        }
        const std::lock_guard lock(m_mutex);
        if (m_stopping) {
            if (end == steady::time_point {}) {
                end = steady::now() + lastWrites;
            }
            if (steady::now() >= end) {
                return;
            }
        }
    }
}

} // namespace ibishinge
