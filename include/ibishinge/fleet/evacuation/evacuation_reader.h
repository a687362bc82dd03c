#pragma once

#include <ibishinge/base/metrics.h>
#include <ibishinge/base/scheduler.h>
#include <ibishinge/fleet/platform_api.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace ibishinge::fleet {

/// Reads the operators' evacuation requests from the store again and again. A watch would not do:
/// one whose connection is lost unnoticed hides requests, and a read is also the proof that there
/// are no others.
///
/// Not thread-safe: all functions are called, and the callback runs, on the thread of the event
/// loop.
class evacuation_reader
{
public:
    /// Receives the names of the evacuated data centres, and when the read was sent.
    using read_handler = std::function<void(const std::set<std::string> &, instant)>;

    /// Precondition: `interval` is positive. The referenced objects outlive the reader.
    [[nodiscard]] static std::unique_ptr<evacuation_reader>
    make(platform_api &platform, scheduler &timers, metrics_registry &metrics,
         milliseconds interval, read_handler onRead);

    /// Sends the first read. Reads go on until the reader is destroyed.
    void start();

private:
    evacuation_reader(platform_api &platform, scheduler &timers, metrics_registry &metrics,
                      milliseconds interval, read_handler onRead);
    void readAfter(milliseconds delay);
    void readPage(const std::string &after, instant sentAt);
    void onItem(const store_item &item);

    platform_api &m_platform;
    scheduler &m_timers;
    metrics_registry &m_metrics;
    const milliseconds m_interval;
    read_handler m_onRead;
    std::set<std::string> m_found; ///< by the read in progress
    std::map<std::string, std::int64_t> m_refused; ///< revisions of invalid entries, by key
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace ibishinge::fleet
