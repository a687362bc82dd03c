#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/base/time.h>
#include <ibishinge/decision/burn.h>

#include <nlohmann/json.hpp>

#include <map>
#include <mutex>
#include <string>

namespace ibishinge {

/// Counts the requests of one process against their services' objectives. Kept in memory only: a
/// restart loses it. Thread-safe.
class burn_log
{
public:
    /// Precondition: `clock` outlives the object.
    explicit burn_log(const clock_source &clock);

    void record(const std::string &service, request_outcome verdict,
                std::chrono::nanoseconds duration);

    [[nodiscard]] std::map<std::string, service_history> history() const;

    /// Returns when counting began.
    [[nodiscard]] milliseconds since() const noexcept
    {
        return m_since;
    }

private:
    [[nodiscard]] std::chrono::seconds now() const;

    const clock_source &m_clock;
    const milliseconds m_since;
    mutable std::mutex m_mutex;
    request_history_recorder m_recorder;
};

/// Returns `history` as JSON for `parseHistory`, without the durations of its points. Thread-safe.
[[nodiscard]] nlohmann::json toJson(const service_history &history);

/// Errors: `invalid_request` for another shape. Thread-safe.
[[nodiscard]] result<service_history> parseHistory(const nlohmann::json &document);

} // namespace ibishinge
