#include <ibishinge/base/metrics.h>

#include <boost/histogram.hpp>

#include <cmath>
#include <limits>
#include <mutex>
#include <set>
#include <sstream>
#include <tuple>

namespace ibishinge {

namespace {

namespace bh = boost::histogram;

// Five buckets for each factor of ten, from 0.1 ms to 1000 s: a quantile is at most 58% too high.
constexpr double lowestBoundSeconds = 1e-4;
constexpr double highestBoundSeconds = 1e3;
constexpr unsigned bucketCount = 35;

using duration_axis = bh::axis::regular<double, bh::axis::transform::log>;
using duration_histogram = decltype(bh::make_histogram(duration_axis()));

using series_key = std::pair<std::string, std::string>; ///< name and rendered labels

std::string escaped(const std::string &value)
{
    std::string out;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            out += '\\';
        }
        if (c == '\n') {
            out += "\\n";
        } else {
            out += c;
        }
    }
    return out;
}

std::string render(const metric_labels &labels)
{
    std::string out;
    for (const auto &[name, value] : labels) {
        out += (out.empty() ? "" : ",") + name + "=\"" + escaped(value) + "\"";
    }
    return out;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

duration_axis makeDurationAxis()
{
    return {bucketCount, lowestBoundSeconds, highestBoundSeconds, "seconds"};
}

struct duration_series
{
    duration_histogram histogram = bh::make_histogram(makeDurationAxis());
    double sumSeconds = 0;
};

duration_summary summarize(const duration_series &series)
{
    duration_summary summary;
    const auto &axis = series.histogram.axis();
    // Index -1 is the underflow bucket: everything below the lowest bound.
    for (int i = -1; i < static_cast<int>(axis.size()); ++i) {
        summary.upperBoundsSeconds.push_back(axis.value(i + 1));
        summary.counts.push_back(static_cast<std::uint64_t>(series.histogram.at(i)));
    }
    summary.counts.push_back(
        static_cast<std::uint64_t>(series.histogram.at(static_cast<int>(axis.size()))));
    summary.sumSeconds = series.sumSeconds;
    return summary;
}

void writeType(std::ostringstream &out, std::string &previous, const std::string &name,
               const char *type)
{
    if (name != previous) {
        out << "# TYPE " << name << " " << type << "\n";
        previous = name;
    }
}

void writeHistogram(std::ostringstream &out, const series_key &key, const duration_series &series)
{
    const auto &[name, labels] = key;
    const duration_summary summary = summarize(series);
    const std::string prefix = labels.empty() ? "" : labels + ",";
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < summary.upperBoundsSeconds.size(); ++i) {
        cumulative += summary.counts[i];
        out << name << "_bucket{" << prefix << "le=\"" << summary.upperBoundsSeconds[i] << "\"} "
            << cumulative << "\n";
    }
    out << name << "_bucket{" << prefix << "le=\"+Inf\"} " << summary.total() << "\n"
        << name << "_sum" << braced(labels) << " " << summary.sumSeconds << "\n"
        << name << "_count" << braced(labels) << " " << summary.total() << "\n";
}

} // namespace

std::uint64_t duration_summary::total() const noexcept
{
    std::uint64_t sum = 0;
    for (const auto count : counts) {
        sum += count;
    }
    return sum;
}

double duration_summary::quantileSeconds(double quantile) const noexcept
{
    const auto rank =
        static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(total())));
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < upperBoundsSeconds.size(); ++i) {
        cumulative += counts[i];
        if (cumulative >= rank && cumulative > 0) {
            return upperBoundsSeconds[i];
        }
    }
    return cumulative == total() ? 0 : std::numeric_limits<double>::infinity();
}

const std::vector<double> &durationBoundsSeconds()
{
    static const std::vector<double> bounds = summarize({}).upperBoundsSeconds;
    return bounds;
}

std::size_t durationBucket(std::chrono::nanoseconds duration)
{
    static const duration_axis axis = makeDurationAxis();
    // The axis numbers the bucket below the lowest bound -1. Negative durations have no logarithm.
    const double seconds = std::chrono::duration<double>(duration).count();
    return seconds < lowestBoundSeconds ? 0 : static_cast<std::size_t>(axis.index(seconds) + 1);
}

struct metrics_registry::impl
{
    mutable std::mutex mutex;
    std::map<series_key, std::uint64_t> counters;
    std::map<series_key, double> gauges;
    std::map<series_key, duration_series> histograms;
};

metrics_registry::metrics_registry()
    : m_impl(std::make_unique<impl>())
{
}

metrics_registry::~metrics_registry() = default;

void metrics_registry::add(std::string_view name, const metric_labels &labels, std::uint64_t count)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->counters[{std::string(name), render(labels)}] += count;
}

void metrics_registry::set(std::string_view name, const metric_labels &labels, double value)
{
    const std::lock_guard lock(m_impl->mutex);
    m_impl->gauges[{std::string(name), render(labels)}] = value;
}

void metrics_registry::observe(std::string_view name, const metric_labels &labels,
                               std::chrono::nanoseconds duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    const std::lock_guard lock(m_impl->mutex);
    auto &series = m_impl->histograms[{std::string(name), render(labels)}];
    series.histogram(seconds);
    series.sumSeconds += seconds;
}

std::uint64_t metrics_registry::counter(std::string_view name, const metric_labels &labels) const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->counters.find({std::string(name), render(labels)});
    return found == m_impl->counters.end() ? 0 : found->second;
}

duration_summary metrics_registry::durations(std::string_view name,
                                             const metric_labels &labels) const
{
    const std::lock_guard lock(m_impl->mutex);
    const auto found = m_impl->histograms.find({std::string(name), render(labels)});
    return found == m_impl->histograms.end() ? duration_summary {} : summarize(found->second);
}

std::string metrics_registry::text() const
{
    const std::lock_guard lock(m_impl->mutex);
    std::ostringstream out;
    std::string previous;
    for (const auto &[key, value] : m_impl->counters) {
        writeType(out, previous, key.first, "counter");
        out << key.first << braced(key.second) << " " << value << "\n";
    }
    for (const auto &[key, value] : m_impl->gauges) {
        writeType(out, previous, key.first, "gauge");
        out << key.first << braced(key.second) << " " << value << "\n";
    }
    for (const auto &[key, series] : m_impl->histograms) {
        writeType(out, previous, key.first, "histogram");
        writeHistogram(out, key, series);
    }
    return out.str();
}

} // namespace ibishinge
