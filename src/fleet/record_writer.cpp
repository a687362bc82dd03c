#include <ibishinge/fleet/record_writer.h>

#include <algorithm>
#include <functional>

namespace ibishinge::fleet {

namespace {

/// Number of writers, which limits the transactions in progress when the store is slow.
constexpr std::size_t writerCount = 16;

} // namespace

record_writer::record_writer(platform_api &platform, scheduler &timers,
                             const store_condition &leader, int maxConcurrent,
                             const std::function<void()> &onLeadershipLost)
{
    const auto gate = std::make_shared<transaction_limiter>(maxConcurrent);
    for (std::size_t i = 0; i < writerCount; ++i) {
        m_writers.push_back(store_writer::make(platform, timers, leader, onLeadershipLost, gate));
    }
}

store_writer &record_writer::writerOf(std::string_view owner) const
{
    return *m_writers[std::hash<std::string_view> {}(owner) % m_writers.size()];
}

void record_writer::add(std::string_view owner, write_unit unit)
{
    writerOf(owner).add(std::move(unit));
}

void record_writer::addBarrier(const std::function<void(result<void>)> &done)
{
    const auto open = std::make_shared<std::size_t>(m_writers.size());
    for (const auto &writer : m_writers) {
        writer->addBarrier([open, done](const result<void> &stored) {
            if (stored && --*open == 0) {
                done({});
            }
        });
    }
}

void record_writer::setKnownRevision(std::string_view owner, const std::string &key,
                                     std::int64_t revision)
{
    writerOf(owner).setKnownRevision(key, revision);
}

milliseconds record_writer::stalledFor() const
{
    milliseconds longest {0};
    for (const auto &writer : m_writers) {
        longest = std::max(longest, writer->stalledFor());
    }
    return longest;
}

instant record_writer::answeredAt() const
{
    instant newest;
    for (const auto &writer : m_writers) {
        newest = std::max(newest, writer->answeredAt());
    }
    return newest;
}

std::size_t record_writer::waiting() const
{
    std::size_t count = 0;
    for (const auto &writer : m_writers) {
        count += writer->waiting();
    }
    return count;
}

void record_writer::close()
{
    for (const auto &writer : m_writers) {
        writer->close();
    }
}

} // namespace ibishinge::fleet
