#include <ibishinge/base/logging.h>

#include <glog/logging.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>

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
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text {};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction {};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(millis));
    return std::string(text.data(), length) + fraction.data();
}

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
        nlohmann::json fields;
        if (text.starts_with(structuredPrefix)) {
            fields = nlohmann::json::parse(text.substr(structuredPrefix.size()), nullptr, false);
        } else {
            fields = {{"event", "library_message"},
                      {"message", text},
                      {"source", std::string(baseFilename) + ":" + std::to_string(line)}};
        }
        fields["time"] = utcTime();
        fields["level"] = severity == google::INFO      ? "info"
                          : severity == google::WARNING ? "warning"
                                                        : "error";
        fields["process"] = m_process;
        const std::string out =
            fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
        std::fwrite(out.data(), 1, out.size(), stderr);
    }

private:
    std::string m_process;
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

} // namespace

void startLogging(const std::string &process, log_level lowest)
{
    static json_line_sink sink(process);
    google::InitGoogleLogging(process.c_str());
    // glog's own files and standard error output are off; the sink writes every line.
    for (int severity = google::INFO; severity <= google::FATAL; ++severity) {
        google::SetLogDestination(severity, "");
    }
    FLAGS_stderrthreshold = google::FATAL;
    FLAGS_minloglevel = severityOf(lowest);
    google::AddLogSink(&sink);
}

void logEvent(log_level level, std::string_view event, const nlohmann::json &fields)
{
    nlohmann::json line = fields;
    line["event"] = event;
    google::LogMessage(__FILE__, __LINE__, severityOf(level)).stream()
        << structuredPrefix << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace ibishinge
