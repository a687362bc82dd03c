#include <ibishinge/fleet/evacuation/evacuation_reader.h>

#include <ibishinge/base/logging.h>

#include <utility>

namespace ibishinge::fleet {

namespace {

constexpr milliseconds readRetryDelay {150};

} // namespace

std::unique_ptr<evacuation_reader>
evacuation_reader::make(platform_api &platform, scheduler &timers, metrics_registry &metrics,
                        milliseconds interval, read_handler onRead)
{
    return std::unique_ptr<evacuation_reader>(
        new evacuation_reader(platform, timers, metrics, interval, std::move(onRead)));
}

evacuation_reader::evacuation_reader(platform_api &platform, scheduler &timers,
                                     metrics_registry &metrics, milliseconds interval,
                                     read_handler onRead)
    : m_platform(platform)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_interval(interval)
    , m_onRead(std::move(onRead))
{
}

void evacuation_reader::start()
{
    readPage("", m_timers.now());
}

void evacuation_reader::readAfter(milliseconds delay)
{
    m_timers.after(delay, [this, alive = std::weak_ptr<int>(m_alive)] {
        if (!alive.expired()) {
            readPage("", m_timers.now());
        }
    });
}

void evacuation_reader::readPage(const std::string &after, instant sentAt)
{
    if (after.empty()) {
        m_found.clear();
    }
    m_platform.readRange(
        m_platform.evacuationPrefix(), after,
        [this, sentAt, alive = std::weak_ptr<int>(m_alive)](const result<store_page> &page) {
            if (alive.expired()) {
                return;
            }
            if (!page) {
                logEvent(log_level::warning, "evacuation_read_failed",
                         {{"error", describe(page.error())}});
                readAfter(readRetryDelay);
                return;
            }
            for (const auto &item : page->items) {
                onItem(item);
            }
            if (page->more && !page->items.empty()) {
                readPage(page->items.back().key, sentAt);
                return;
            }
            m_onRead(m_found, sentAt);
            readAfter(m_interval);
        });
}

void evacuation_reader::onItem(const store_item &item)
{
    auto dataCentre = m_platform.decodeEvacuation(item);
    if (dataCentre) {
        m_found.insert(std::move(*dataCentre));
        return;
    }
    auto &refused = m_refused[item.key];
    if (std::exchange(refused, item.revision) != item.revision) {
        m_metrics.add("ibishinge_invalid_entries_total", {{"kind", "evacuation"}});
        logEvent(log_level::error, "evacuation_entry_invalid",
                 {{"key", item.key},
                  {"revision", item.revision},
                  {"error", describe(dataCentre.error())}});
    }
}

} // namespace ibishinge::fleet
