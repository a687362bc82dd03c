#include <ibishinge/ctl/burn_report.h>

#include <ibishinge/base/time.h>
#include <ibishinge/ctl/text_table.h>
#include <ibishinge/service/burn_log.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <utility>

namespace ibishinge {

namespace {

using nlohmann::json;

constexpr double medianQuantile = 0.5;
constexpr double highQuantile = 0.99;
constexpr double percent = 100;
constexpr double millisecondsPerSecond = 1000;

std::string number(double value, const char *format = "%.2f")
{
    std::array<char, 64> text {};
    std::snprintf(text.data(), text.size(), format, value);
    return text.data();
}

std::string inMilliseconds(double seconds)
{
    return std::isinf(seconds) ? "above bounds" : number(seconds * millisecondsPerSecond, "%.4g");
}

const request_counts &longest(const service_burn &service)
{
    return service.history.windows.back();
}

std::string escaped(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

/// Returns the notes that a reader of the figures needs.
std::vector<std::string> notesOf(const burn_report &report)
{
    std::vector<std::string> notes;
    const auto counted =
        std::chrono::duration_cast<std::chrono::minutes>(report.now - report.since).count();
    notes.push_back("Merged from " + std::to_string(report.merged.size())
                    + " entry processes. Counts are kept in memory and lost by a restart; the "
                      "youngest process has counted for "
                    + std::to_string(counted) + " min.");
    for (const auto &problem : report.problems) {
        notes.push_back("INCOMPLETE: " + problem);
    }
    for (const auto &incarnation : report.missing()) {
        notes.push_back("INCOMPLETE: entry process " + incarnation
                        + " is known to the others but was not asked; add its operators' address");
    }
    return notes;
}

table_row rowOf(const std::string &name, const service_burn &service)
{
    const double availability = service.objective.availability;
    const auto &counts = longest(service);
    table_row row {name,
                   std::string(nameOf(classifyBurnRate(service.history.windows, availability))),
                   number(availability * percent, "%.4g") + "% in "
                       + std::to_string(service.objective.latency.count()) + " ms",
                   number(remainingErrorBudget(counts, availability) * percent, "%.1f") + "%"};
    for (const auto &window : service.history.windows) {
        row.push_back(window.total() == 0 ? "-" : number(burnRate(window, availability)));
    }
    row.push_back(std::to_string(counts.total()));
    row.push_back(std::to_string(counts.failed));
    row.push_back(std::to_string(counts.slow));
    row.push_back(inMilliseconds(durationQuantile(counts, medianQuantile)));
    row.push_back(inMilliseconds(durationQuantile(counts, highQuantile)));
    return row;
}

table_row heading()
{
    table_row row {"SERVICE", "STATE", "OBJECTIVE", "BUDGET LEFT"};
    for (const auto &window : burnWindows) {
        row.push_back("BURN " + std::string(window.name));
    }
    for (const char *name : {"REQUESTS 3d", "FAILED", "SLOW", "P50 MS", "P99 MS"}) {
        row.emplace_back(name);
    }
    return row;
}

/// Returns a plot of the burn rate of each interval over the longest window.
std::string plot(const service_burn &service, std::chrono::seconds now)
{
    constexpr double width = 864; // Two pixels for each of the 432 intervals.
    constexpr double height = 80;
    constexpr double barWidth = 2;
    constexpr double lowestTop = 2; // The line of a burn rate of 1 is never at the upper edge.
    const std::int64_t first = (now - burnWindows.back().length) / coarseBucket + 1;
    double top = lowestTop;
    for (const auto &point : service.history.points) {
        top = std::max(top, burnRate(point.counts, service.objective.availability));
    }
    std::string svg = "<svg viewBox=\"0 0 " + number(width, "%.0f") + " " + number(height, "%.0f")
                      + "\" role=\"img\"><title>burn rate, 10 min "
                        "intervals over 3 d, 0 to "
                      + number(top) + "</title>";
    for (const auto &point : service.history.points) {
        const auto column = static_cast<double>(point.start / coarseBucket - first);
        const double rate = burnRate(point.counts, service.objective.availability);
        const double bar = rate / top * height;
        if (column < 0 || bar <= 0) {
            continue;
        }
        svg += "<rect class=\"" + std::string(rate >= 1 ? "over" : "under") + "\" x=\""
               + number(column * barWidth, "%.0f") + "\" y=\"" + number(height - bar)
               + "\" width=\"" + number(barWidth, "%.0f") + "\" height=\"" + number(bar) + "\"/>";
    }
    const std::string line = number(height - height / top);
    return svg + "<line x1=\"0\" x2=\"" + number(width, "%.0f") + "\" y1=\"" + line + "\" y2=\""
           + line + "\"/></svg>";
}

} // namespace

std::vector<std::string> burn_report::missing() const
{
    std::vector<std::string> list;
    std::set_difference(known.begin(), known.end(), merged.begin(), merged.end(),
                        std::back_inserter(list));
    return list;
}

result<void> addAnswer(burn_report &report, const json &answer)
{
    constexpr auto place = "answer to GET /v1/burn";
    try {
        const auto incarnation = answer.at("incarnation").get<std::string>();
        if (report.merged.contains(incarnation)) {
            return {};
        }
        const auto others = answer.at("other_entries").get<std::vector<std::string>>();
        const auto revision = answer.at("catalogue_revision").get<std::int64_t>();
        const milliseconds since(answer.at("since_ms").get<std::int64_t>());
        const milliseconds now(answer.at("now_ms").get<std::int64_t>());
        std::map<std::string, service_burn> read;
        for (const auto &[name, item] : answer.at("services").items()) {
            auto history = parseHistory(item);
            if (!history) {
                return tl::unexpected(history.error());
            }
            const service_objective objective {
                milliseconds(item.at("latency_objective_ms").get<std::int64_t>()),
                item.at("availability_objective").get<double>()};
            if (!(objective.availability > 0 && objective.availability < 1)) {
                return makeError(error_kind::invalid_request, place,
                                 "availability_objective of " + name + " is not within 0 to 1");
            }
            read.emplace(name, service_burn {objective, std::move(*history)});
        }
        const bool isNewer = revision > report.catalogueRevision || report.merged.empty();
        for (auto &[name, service] : read) {
            auto [at, added] = report.services.try_emplace(name);
            if (added || isNewer) {
                at->second.objective = service.objective;
            }
            merge(at->second.history, service.history);
        }
        report.merged.insert(incarnation);
        report.known.insert(others.begin(), others.end());
        report.catalogueRevision = std::max(report.catalogueRevision, revision);
        report.since = std::max(report.since, since);
        report.now = std::max(report.now, now);
        return {};
    } catch (const json::exception &e) {
        return makeError(error_kind::invalid_request, place, e.what());
    }
}

json toJson(const burn_report &report)
{
    json services = json::object();
    for (const auto &[name, service] : report.services) {
        const double availability = service.objective.availability;
        json windows = json::object();
        for (std::size_t i = 0; i < burnWindows.size(); ++i) {
            const auto &counts = service.history.windows[i];
            windows[std::string(burnWindows[i].name)] = {
                {"total", counts.total()},
                {"failed", counts.failed},
                {"slow", counts.slow},
                {"burn_rate", burnRate(counts, availability)},
                {"p50_s", durationQuantile(counts, medianQuantile)},
                {"p99_s", durationQuantile(counts, highQuantile)}};
        }
        services[name] = {
            {"state", nameOf(classifyBurnRate(service.history.windows, availability))},
            {"latency_objective_ms", service.objective.latency.count()},
            {"availability_objective", availability},
            {"budget_left", remainingErrorBudget(longest(service), availability)},
            {"windows", std::move(windows)}};
    }
    return {{"complete", report.isComplete()},
            {"merged", report.merged},
            {"missing", report.missing()},
            {"problems", report.problems},
            {"catalogue_revision", report.catalogueRevision},
            {"since_ms", report.since.count()},
            {"now_ms", report.now.count()},
            {"services", std::move(services)}};
}

std::string toText(const burn_report &report)
{
    std::vector<table_row> rows;
    for (const auto &[name, service] : report.services) {
        rows.push_back(rowOf(name, service));
    }
    std::string text = formatTable(heading(), rows) + "\n";
    for (const auto &note : notesOf(report)) {
        text += note + "\n";
    }
    return text;
}

std::string toHtml(const burn_report &report)
{
    std::string html =
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
        "<title>Service level burn</title>\n<style>body{font:14px sans-serif;margin:2em}"
        "table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ccc;"
        "text-align:right}td:first-child,th:first-child{text-align:left}svg{width:864px;"
        "height:80px;background:#f4f4f4}line{stroke:#333;stroke-dasharray:4}.over{fill:#c22}"
        ".under{fill:#58a}.fast_burn{color:#c22}.slow_burn{color:#a60}</style></head><body>\n"
        "<h1>Service level burn</h1>\n<table><tr>";
    for (const auto &cell : heading()) {
        html += "<th>" + escaped(cell) + "</th>";
    }
    html += "</tr>\n";
    for (const auto &[name, service] : report.services) {
        const auto state =
            classifyBurnRate(service.history.windows, service.objective.availability);
        html += "<tr class=\"" + std::string(nameOf(state)) + "\">";
        for (const auto &cell : rowOf(name, service)) {
            html += "<td>" + escaped(cell) + "</td>";
        }
        html += "</tr>\n";
    }
    html += "</table>\n";
    for (const auto &note : notesOf(report)) {
        html += "<p>" + escaped(note) + "</p>\n";
    }
    const auto now = std::chrono::duration_cast<std::chrono::seconds>(report.now);
    for (const auto &[name, service] : report.services) {
        html += "<h2>" + escaped(name) + "</h2>\n" + plot(service, now) + "\n";
    }
    return html
           + "<p>Each bar is the burn rate of 10 minutes over the last 3 days; the line is a "
             "rate of 1.</p>\n</body></html>\n";
}

} // namespace ibishinge
