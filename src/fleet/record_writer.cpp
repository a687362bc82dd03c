#include <ibishinge/fleet/record_writer.h>

#include <algorithm>
#include <functional>

namespace ibishinge::fleet {

namespace {

/// As many transactions are on their way at most, when the store is slow.
constexpr std::size_t lanes = 16;

} // namespace

record_writer::record_writer(platform_api &platform, scheduler &timers,
                             const store_condition &leader, int maxConcurrent,
                             const std::function<void()> &onLeadershipLost)
{
    const auto gate = std::make_shared<transaction_limiter>(maxConcurrent);
    for (std::size_t i = 0; i < lanes; ++i) {
        m_lanes.push_back(store_writer::make(platform, timers, leader, onLeadershipLost, gate));
    }
}

store_writer &record_writer::laneOf(std::string_view owner) const
{
    return *m_lanes[std::hash<std::string_view> {}(owner) % m_lanes.size()];
}

void record_writer::add(std::string_view owner, write_unit unit)
{
    laneOf(owner).add(std::move(unit));
}

void record_writer::addBarrier(const std::function<void(result<void>)> &done)
{
    const auto open = std::make_shared<std::size_t>(m_lanes.size());
    for (const auto &lane : m_lanes) {
        lane->addBarrier([open, done](const result<void> &stored) {
            if (stored && --*open == 0) {
                done({});
            }
        });
    }
}

void record_writer::setKnownRevision(std::string_view owner, const std::string &key,
                                     std::int64_t revision)
{
    laneOf(owner).setKnownRevision(key, revision);
}

milliseconds record_writer::stalledFor() const
{
    milliseconds longest {0};
    for (const auto &lane : m_lanes) {
        longest = std::max(longest, lane->stalledFor());
    }
    return longest;
}

instant record_writer::answeredAt() const
{
    instant newest;
    for (const auto &lane : m_lanes) {
        newest = std::max(newest, lane->answeredAt());
    }
    return newest;
}

std::size_t record_writer::waiting() const
{
    std::size_t count = 0;
    for (const auto &lane : m_lanes) {
        count += lane->waiting();
    }
    return count;
}

void record_writer::close()
{
    for (const auto &lane : m_lanes) {
        lane->close();
    }
}

} // namespace ibishinge::fleet
