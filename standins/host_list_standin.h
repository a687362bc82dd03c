#pragma once

#include <ibishinge/base/incarnation.h>
#include <ibishinge/base/time.h>
#include <ibishinge/outside/http_host_list.h>
#include <ibishinge/outside/http_message.h>

#include <nlohmann/json.hpp>

#include <deque>
#include <mutex>
#include <string>

namespace ibishinge {

/// Stand-in for the platform's host list, which shows a change only after a lag. Thread-safe.
///
/// `POST /admin/hosts` replaces the list: `{"hosts": [...], "lag_ms": N}`; `lag_ms` is optional.
/// `GET /hosts` returns the newest list whose lag has passed, with an `ETag`, or 304.
class host_list_standin
{
public:
    /// Precondition: `clock` outlives the object.
    host_list_standin(const clock_source &clock, milliseconds lag)
        : m_clock(clock)
        , m_lag(lag)
    {
    }

    [[nodiscard]] http_response handle(const http_request &request)
    {
        if (request.method == "GET" && request.path == "/hosts") {
            const auto list = shown();
            // Versions start again with each run, so the tag names the run too.
            const std::string tag = "\"" + m_run + "-" + std::to_string(list.version) + "\"";
            if (findHeader(request.headers, "If-None-Match") == tag) {
                return http_response {304, {{"ETag", tag}}, {}};
            }
            auto response = jsonResponse(200, formatHostList(list));
            response.headers.push_back({"ETag", tag});
            return response;
        }
        if (request.method == "POST" && request.path == "/admin/hosts") {
            return post(request.body);
        }
        return jsonResponse(404, "{\"error\":\"unknown_entity\"}\n");
    }

private:
    struct pending_list
    {
        monotonic_time shownFrom;
        host_list_snapshot list;
    };

    [[nodiscard]] host_list_snapshot shown()
    {
        const std::lock_guard lock(m_mutex);
        while (!m_pending.empty() && m_pending.front().shownFrom <= m_clock.now()) {
            m_shown = std::move(m_pending.front().list);
            m_pending.pop_front();
        }
        return m_shown;
    }

    [[nodiscard]] http_response post(const std::string &body)
    {
        auto document = nlohmann::json::parse(body, nullptr, false);
        if (!document.is_object()) {
            return jsonResponse(400, "{\"error\":\"invalid_request\"}\n");
        }
        const std::lock_guard lock(m_mutex);
        const auto lag = document.find("lag_ms");
        const milliseconds delay = lag != document.end() && lag->is_number_unsigned()
                                       ? milliseconds(lag->get<std::uint32_t>())
                                       : m_lag;
        document["version"] = m_posted + 1;
        auto list = parseHostList(document.dump());
        if (!list) {
            return jsonResponse(400, nlohmann::json {{"error", describe(list.error())}}.dump());
        }
        ++m_posted;
        // Lists are shown in the order of their versions, also if a later one has a shorter lag.
        auto from = m_clock.now() + delay;
        if (!m_pending.empty()) {
            from = std::max(from, m_pending.back().shownFrom);
        }
        m_pending.push_back({from, std::move(*list)});
        return jsonResponse(200, nlohmann::json {{"version", m_posted}}.dump() + "\n");
    }

    const clock_source &m_clock;
    milliseconds m_lag;
    std::mutex m_mutex;
    const std::string m_run = makeIncarnation();
    std::uint64_t m_posted = 0;
    std::deque<pending_list> m_pending;
    host_list_snapshot m_shown;
};

} // namespace ibishinge
