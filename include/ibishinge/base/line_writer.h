#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace ibishinge {

/// Writes lines to a file descriptor on a thread of its own, so that a reader that has fallen
/// behind never blocks the caller. Lines that do not fit are dropped and counted. Thread-safe.
class line_writer
{
public:
    /// Starts the thread. `maxBytes` bounds the lines that wait. The descriptor is not closed.
    line_writer(int descriptor, std::size_t maxBytes);

    /// Writes what waits, for a bounded time, and ends the thread.
    ~line_writer();
    line_writer(const line_writer &) = delete;
    line_writer &operator=(const line_writer &) = delete;

    /// Queues a line, which ends with a line feed. Returns false if it was dropped.
    bool write(std::string line);

    /// Waits until all lines so far are written, or `limit` has passed.
    void flush(std::chrono::milliseconds limit);

    /// Returns how many lines were dropped since the last call.
    [[nodiscard]] std::uint64_t takeDropped();

private:
    void run();

    const int m_descriptor;
    const std::size_t m_maxBytes;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::string> m_lines;
    std::size_t m_bytes = 0;
    std::uint64_t m_dropped = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace ibishinge
