#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace ibishinge {

enum class log_level : std::uint8_t { info, warning, error };

/// Starts logging: one JSON object a line on standard output, through glog. Lines are written by a
/// thread of their own; a reader that falls behind, or a flood of lines, costs lines, not time.
///
/// Lines hold `time`, `level`, `process`, `event` and the fields of the event. Messages of
/// libraries that use glog themselves become the event `library_message`. Call once, at the start
/// of `main`.
void startLogging(const std::string &process, log_level lowest);

/// Waits until the lines so far are written, for a bounded time. For processes that end without
/// destructors. Thread-safe.
void flushLogs();

/// Writes one line. Thread-safe. Fields must not hold keys or other secrets.
///
/// \code
/// logEvent(log_level::warning, "target_left", {{"target", "127.0.0.1:9001"}});
/// \endcode
void logEvent(log_level level, std::string_view event,
              const nlohmann::json &fields = nlohmann::json::object());

} // namespace ibishinge
