#pragma once

#include <ibishinge/base/metrics.h>
#include <ibishinge/base/time.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge {

/// How a request counts towards the objectives of its service.
enum class request_outcome : std::uint8_t {
    good, ///< answered within the latency objective
    slow, ///< answered after the latency objective
    failed, ///< refused for lack of capacity, failed, or answered with a server error
    ignored, ///< caused by the caller: malformed, unauthorized or over the limit of its team
};

/// Classifies a response. `ran` is true if it is a target's complete response. Thread-safe.
[[nodiscard]] request_outcome classifyRequest(int status, bool ran,
                                              std::chrono::nanoseconds duration,
                                              milliseconds latencyObjective) noexcept;

/// Number of requests of one service in one span of time.
struct request_counts
{
    std::uint64_t good = 0;
    std::uint64_t slow = 0;
    std::uint64_t failed = 0;
    /// Good, slow and failed requests by the buckets of `durationBoundsSeconds`; empty if there
    /// were no requests.
    std::vector<std::uint64_t> durations;

    /// Returns the number of requests that miss an objective.
    [[nodiscard]] std::uint64_t bad() const noexcept
    {
        return slow + failed;
    }
    [[nodiscard]] std::uint64_t total() const noexcept
    {
        return good + bad();
    }
    friend bool operator==(const request_counts &, const request_counts &) = default;
};

/// Adds `from` to `to`. Thread-safe for distinct `to`.
void merge(request_counts &to, const request_counts &from);

/// Service level objectives of a service.
struct service_objective
{
    milliseconds latency {0};
    double availability = 0; ///< share of good requests, above 0 and below 1
};

/// A span of time over which the burn rate is computed.
struct burn_window
{
    std::string_view name;
    std::chrono::seconds length;
};
/// All windows, in ascending order of length.
inline constexpr std::array<burn_window, 4> burnWindows {{{"5m", std::chrono::minutes(5)},
                                                          {"1h", std::chrono::hours(1)},
                                                          {"6h", std::chrono::hours(6)},
                                                          {"3d", std::chrono::hours(72)}}};

/// Request counts for each of `burnWindows`.
using windowed_counts = std::array<request_counts, burnWindows.size()>;

/// Request counts of one interval of length `coarseBucket`.
struct burn_point
{
    std::chrono::seconds start {0}; ///< since 1970-01-01 UTC, a multiple of `coarseBucket`
    request_counts counts;
};

/// Request counts of one service over the last three days.
struct service_history
{
    windowed_counts windows;
    std::vector<burn_point> points; ///< intervals with requests, in ascending order of `start`
};

/// Adds `from` to `to`; points with the same start are added up. Thread-safe for distinct `to`.
void merge(service_history &to, const service_history &from);

/// Length of the intervals for windows of up to 1 h. A window ends with the current interval, which
/// has not ended yet, so it is short by up to one interval.
inline constexpr std::chrono::seconds fineBucket {10};

/// Length of the intervals for longer windows and for plots.
inline constexpr std::chrono::seconds coarseBucket {600};

/// Counts the requests of each service over the last three days, in ring buffers of time intervals.
/// The intervals start at the same wall times in all processes, so that the histories of several
/// processes can be added up. Not thread-safe.
///
/// Memory use is at most (360 + 432) intervals of about 350 bytes for each service, 280 KB in all.
/// The counts are lost on restart.
class request_history_recorder
{
public:
    /// Counts one request that was answered at `now` (since 1970-01-01 UTC). If the wall clock went
    /// back, the request counts in the newest interval.
    void record(const std::string &service, std::chrono::seconds now, request_outcome outcome,
                std::chrono::nanoseconds duration);

    /// Returns the histories of the services that had requests within the longest window before
    /// `now` (since 1970-01-01 UTC).
    [[nodiscard]] std::map<std::string, service_history> history(std::chrono::seconds now) const;

private:
    struct interval
    {
        std::int64_t index = -1; ///< start divided by the length
        request_counts counts;
    };
    struct rings
    {
        std::vector<interval> fine;
        std::vector<interval> coarse;
    };
    std::map<std::string, rings> m_services;
    std::chrono::seconds m_newest {0};
};

/// Returns the factor by which the error budget is used faster than allowed: the share of bad
/// requests divided by the share that the objective allows; 0 without requests. Thread-safe.
/// Precondition: 0 < availability < 1.
[[nodiscard]] double burnRate(const request_counts &counts, double availability) noexcept;

/// Returns the share of the error budget that is left; negative if the budget is overspent.
/// Thread-safe. Precondition: 0 < availability < 1.
[[nodiscard]] double remainingErrorBudget(const request_counts &counts,
                                          double availability) noexcept;

/// Returns an upper bound of a quantile of the durations in seconds: 0 without requests, infinity
/// if it is above the highest bucket bound. Thread-safe. Precondition: 0 <= quantile <= 1.
[[nodiscard]] double durationQuantile(const request_counts &counts, double quantile);

/// Alert state of a service.
enum class burn_state : std::uint8_t {
    ok,
    slow_burn, ///< the error budget of 30 days will not last; to be examined within days
    fast_burn, ///< the error budget of 30 days will be used up within days; needs action now
};

/// Returns the name of `state` as used in reports. Thread-safe.
[[nodiscard]] std::string_view nameOf(burn_state state) noexcept;

/// Returns the alert state for the burn rates in `burnWindows`.
///
/// An alert needs a high rate in a long window, which shows that a relevant part of the budget was
/// used, and in a short window, which shows that the cause persists. An alert therefore ends soon
/// after its cause. Thread-safe. Precondition: 0 < availability < 1.
[[nodiscard]] burn_state classifyBurnRate(const windowed_counts &windows,
                                          double availability) noexcept;

} // namespace ibishinge
