#include <ibishinge/base/logging.h>

#include <ibishinge/base/line_writer.h>

#include <glog/logging.h>

#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <mutex>
#include <utility>

namespace ibishinge {

namespace {

constexpr std::string_view structuredPrefix = "\x01";

std::string utcTime()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()
        % 1000;
    // The text of a second is made once for each thread: lines come in hundreds a second.
    thread_local std::time_t cachedSecond = -1;
    thread_local std::string cachedText;
    if (seconds != cachedSecond) {
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 40> text {};
        const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        cachedText.assign(text.data(), length);
        cachedSecond = seconds;
    }
    std::array<char, 8> fraction {};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(millis));
    return cachedText + fraction.data();
}

/// Lines that wait for a slow reader of standard output.
constexpr std::size_t maxWaitingBytes = 1U << 20U;

/// A process that ends waits this long for its reader.
constexpr std::chrono::milliseconds longestFlush {200};

/// Lines of level `info` in one second; more are dropped and counted, so that the volume stays
/// bounded under load. Warnings and errors have a bound of their own.
constexpr int infoLinesPerSecond = 4000;
constexpr int otherLinesPerSecond = 1000;

/// Counts the lines of the current second.
class line_budget
{
public:
    explicit line_budget(int perSecond)
        : m_perSecond(perSecond)
    {
    }

    /// Returns false if the second's lines are used up. Precondition: calls do not overlap.
    bool take(std::int64_t second)
    {
        if (second != m_second) {
            m_second = second;
            m_used = 0;
        }
        return m_used++ < m_perSecond;
    }

private:
    int m_perSecond;
    std::int64_t m_second = 0;
    int m_used = 0;
};

/// Turns each glog message into one JSON line.
class json_line_sink final : public google::LogSink
{
public:
    explicit json_line_sink(std::string process)
        : m_process(std::move(process))
    {
    }

    void send(google::LogSeverity severity, const char * /*fullFilename*/, const char *baseFilename,
              int line, const google::LogMessageTime & /*time*/, const char *message,
              std::size_t length) override
    {
        const std::string_view text(message, length);
        std::string body;
        if (text.starts_with(structuredPrefix)) {
            body = text.substr(structuredPrefix.size());
        } else {
            body =
                nlohmann::json({{"event", "library_message"},
                                {"message", text},
                                {"source", std::string(baseFilename) + ":" + std::to_string(line)}})
                    .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        }
        const char *level = severity == google::INFO      ? "info"
                            : severity == google::WARNING ? "warning"
                                                          : "error";
        const std::lock_guard lock(m_mutex);
        auto &budget = severity == google::INFO ? m_infoBudget : m_otherBudget;
        if (!budget.take(std::time(nullptr))) {
            ++m_overBudget;
            return;
        }
        const auto dropped = std::exchange(m_overBudget, 0) + m_writer.takeDropped();
        if (dropped > 0) {
            m_writer.write(head("warning") + R"("event":"log_lines_dropped","lines":)"
                           + std::to_string(dropped) + "}\n");
        }
        m_writer.write(head(level) + body.substr(1) + "\n");
    }

    void flush()
    {
        m_writer.flush(longestFlush);
    }

private:
    [[nodiscard]] std::string head(const char *level) const
    {
        return R"({"time":")" + utcTime() + R"(","level":")" + level + R"(","process":)"
               + nlohmann::json(m_process).dump() + ",";
    }

    std::string m_process;
    std::mutex m_mutex;
    line_budget m_infoBudget {infoLinesPerSecond};
    line_budget m_otherBudget {otherLinesPerSecond};
    std::uint64_t m_overBudget = 0;
    line_writer m_writer {STDOUT_FILENO, maxWaitingBytes};
};

int severityOf(log_level level)
{
    switch (level) {
    case log_level::info:
        return google::INFO;
    case log_level::warning:
        return google::WARNING;
    case log_level::error:
        break;
    }
    return google::ERROR;
}

json_line_sink *startedSink = nullptr;

} // namespace

void startLogging(const std::string &process, log_level lowest)
{
    static json_line_sink sink(process);
    startedSink = &sink;
    google::InitGoogleLogging(process.c_str());
    // glog's own files and standard error output are off; the sink writes every line.
    for (int severity = google::INFO; severity <= google::FATAL; ++severity) {
        google::SetLogDestination(severity, "");
    }
    FLAGS_stderrthreshold = google::FATAL;
    FLAGS_minloglevel = severityOf(lowest);
    google::AddLogSink(&sink);
}

void flushLogs()
{
    if (startedSink != nullptr) {
        startedSink->flush();
    }
}

void logEvent(log_level level, std::string_view event, const nlohmann::json &fields)
{
    nlohmann::json line = fields;
    line["event"] = event;
    google::LogMessage(__FILE__, __LINE__, severityOf(level)).stream()
        << structuredPrefix << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace ibishinge
