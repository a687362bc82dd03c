#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ibishinge {

/// Labels of one time series, such as `{{"team", "north"}}`.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Counts of durations in buckets, on Boost.Histogram. Buckets are the same in every process, so
/// that histograms of several processes can be added up.
struct duration_summary
{
    std::vector<double> upperBoundsSeconds; ///< the last bucket is unbounded and not listed
    std::vector<std::uint64_t> counts; ///< one more than bounds
    double sumSeconds = 0;

    [[nodiscard]] std::uint64_t total() const noexcept;

    /// Returns an upper bound of the given quantile, in seconds; 0 if empty, infinity if the
    /// quantile lies above the highest bound.
    /// Precondition: 0 <= quantile <= 1.
    [[nodiscard]] double quantileSeconds(double quantile) const noexcept;
};

/// Returns the upper bounds of the buckets of all duration histograms, in ascending order; the last
/// bucket is unbounded and not listed. Thread-safe.
[[nodiscard]] const std::vector<double> &durationBoundsSeconds();

/// Returns the bucket that a duration is counted in. Thread-safe.
[[nodiscard]] std::size_t durationBucket(std::chrono::nanoseconds duration);

/// Counters, gauges and duration histograms of one process. All functions are thread-safe.
///
/// \code
/// metrics_registry metrics;
/// metrics.add("ibishinge_requests_total", {{"team", "north"}, {"result", "ok"}});
/// metrics.observe("ibishinge_request_seconds", {{"team", "north"}}, std::chrono::milliseconds(7));
/// \endcode
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry &) = delete;
    metrics_registry &operator=(const metrics_registry &) = delete;

    /// Adds to a counter, which only grows.
    void add(std::string_view name, const metric_labels &labels = {}, std::uint64_t count = 1);

    /// Sets a gauge.
    void set(std::string_view name, const metric_labels &labels, double value);

    /// Adds a duration to a histogram.
    void observe(std::string_view name, const metric_labels &labels,
                 std::chrono::nanoseconds duration);

    /// Returns a counter's value, 0 if it was never added to.
    [[nodiscard]] std::uint64_t counter(std::string_view name, const metric_labels &labels) const;

    /// Returns a histogram's content, empty if nothing was observed.
    [[nodiscard]] duration_summary durations(std::string_view name,
                                             const metric_labels &labels) const;

    /// Returns everything in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string text() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace ibishinge
