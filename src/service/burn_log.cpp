#include <ibishinge/service/burn_log.h>

#include <utility>

namespace ibishinge {

namespace {

using nlohmann::json;

json countsJson(const request_counts &counts)
{
    return {{"good", counts.good},
            {"slow", counts.slow},
            {"failed", counts.failed},
            {"durations", counts.durations}};
}

request_counts parseCounts(const json &document)
{
    request_counts counts;
    document.at("good").get_to(counts.good);
    document.at("slow").get_to(counts.slow);
    document.at("failed").get_to(counts.failed);
    document.at("durations").get_to(counts.durations);
    return counts;
}

} // namespace

burn_log::burn_log(const clock_source &clock)
    : m_clock(clock)
    , m_since(sinceEpoch(clock.wallNow()))
{
}

std::chrono::seconds burn_log::now() const
{
    return std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch(m_clock.wallNow()));
}

void burn_log::record(const std::string &service, request_outcome verdict,
                      std::chrono::nanoseconds duration)
{
    const std::lock_guard lock(m_mutex);
    m_recorder.record(service, now(), verdict, duration);
}

std::map<std::string, service_history> burn_log::history() const
{
    const std::lock_guard lock(m_mutex);
    return m_recorder.history(now());
}

json toJson(const service_history &history)
{
    json windows = json::object();
    for (std::size_t i = 0; i < burnWindows.size(); ++i) {
        windows[std::string(burnWindows[i].name)] = countsJson(history.windows[i]);
    }
    json points = json::array();
    for (const auto &point : history.points) {
        // Plots need no durations.
        points.push_back({{"start_s", point.start.count()},
                          {"good", point.counts.good},
                          {"slow", point.counts.slow},
                          {"failed", point.counts.failed}});
    }
    return {{"windows", std::move(windows)}, {"points", std::move(points)}};
}

result<service_history> parseHistory(const json &document)
{
    try {
        service_history history;
        for (std::size_t i = 0; i < burnWindows.size(); ++i) {
            history.windows[i] =
                parseCounts(document.at("windows").at(std::string(burnWindows[i].name)));
        }
        for (const auto &item : document.at("points")) {
            burn_point point;
            point.start = std::chrono::seconds(item.at("start_s").get<std::int64_t>());
            item.at("good").get_to(point.counts.good);
            item.at("slow").get_to(point.counts.slow);
            item.at("failed").get_to(point.counts.failed);
            history.points.push_back(std::move(point));
        }
        return history;
    } catch (const json::exception &e) {
        return makeError(error_kind::invalid_request, "burn history", e.what());
    }
}

} // namespace ibishinge
