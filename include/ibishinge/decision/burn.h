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

/// How a request counts against its service's objectives.
enum class request_outcome : std::uint8_t {
    good, ///< answered within the latency objective
    slow, ///< answered later
    failed, ///< refused for lack of capacity, or failed, or answered with a server error
    ignored, ///< the caller's own doing: malformed, unauthorized, over its team's limit
};

/// Classifies a response. `ran` tells that it is a target's complete response. Thread-safe.
[[nodiscard]] request_outcome classifyRequest(int status, bool ran,
                                              std::chrono::nanoseconds duration,
                                              milliseconds latencyObjective) noexcept;

/// Requests of one service in one span of time.
struct request_counts
{
    std::uint64_t good = 0;
    std::uint64_t slow = 0;
    std::uint64_t failed = 0;
    /// Of all three, by the buckets of `durationBoundsSeconds`; empty if there were none.
    std::vector<std::uint64_t> durations;

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

/// Adds `from` to `to`. Thread-safe.
void merge(request_counts &to, const request_counts &from);

/// What a service promises.
struct service_objective
{
    milliseconds latency {0};
    double availability = 0; ///< share of good requests, above 0 and below 1
};

/// Spans of time over which the burn is measured, short ones first.
struct burn_window
{
    std::string_view name;
    std::chrono::seconds length;
};
inline constexpr std::array<burn_window, 4> burnWindows {{{"5m", std::chrono::minutes(5)},
                                                          {"1h", std::chrono::hours(1)},
                                                          {"6h", std::chrono::hours(6)},
                                                          {"3d", std::chrono::hours(72)}}};

/// Counts in each of `burnWindows`.
using windowed_counts = std::array<request_counts, burnWindows.size()>;

/// Counts in one interval of `coarseBucket`.
struct burn_point
{
    std::chrono::seconds start {0}; ///< since 1970-01-01 UTC, a multiple of `coarseBucket`
    request_counts counts;
};

/// What is known about one service at one moment.
struct service_history
{
    windowed_counts windows;
    std::vector<burn_point> points; ///< those with requests, in ascending order
};

/// Adds `from` to `to`, points of the same interval together. Thread-safe.
void merge(service_history &to, const service_history &from);

/// Width of the intervals for windows up to 1 h, and for longer windows and plots. A window ends
/// with the current interval, which is not over yet, so it is short by up to one interval.
inline constexpr std::chrono::seconds fineBucket {10};
inline constexpr std::chrono::seconds coarseBucket {600};

/// Counts of each service over the last three days, in rings of time intervals. They start at wall
/// times that are the same in all processes, so that histories can be added up. Not thread-safe.
///
/// The memory is at most (360 + 432) intervals for each service, each with about 350 bytes, 280 KB
/// in all. Nothing is kept over a restart.
class request_history_recorder
{
public:
    /// Counts one request. If the wall clock goes back, the request counts for the newest interval.
    void record(const std::string &service, std::chrono::seconds now, request_outcome outcome,
                std::chrono::nanoseconds duration);

    /// Returns the services that had requests within the longest window before `now`.
    [[nodiscard]] std::map<std::string, service_history> history(std::chrono::seconds now) const;

private:
    struct interval
    {
        std::int64_t index = -1; ///< start divided by the width
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

/// Returns how many times faster than allowed the error budget is used: the share of bad requests
/// divided by the share that the objective allows; 0 without requests. Thread-safe.
/// Precondition: 0 < availability < 1.
[[nodiscard]] double burnRate(const request_counts &counts, double availability) noexcept;

/// Returns the share of the error budget that is left; negative if more than all was used.
/// Precondition as for `burnRate`. Thread-safe.
[[nodiscard]] double remainingErrorBudget(const request_counts &counts,
                                          double availability) noexcept;

/// Returns an upper bound of a quantile of the durations, in seconds; 0 if there are none, infinity
/// above the highest bound. Thread-safe. Precondition: 0 <= quantile <= 1.
[[nodiscard]] double durationQuantile(const request_counts &counts, double quantile);

enum class burn_state : std::uint8_t {
    ok,
    slow_burn, ///< the budget of 30 days would not last; look at it within days
    fast_burn, ///< the budget of 30 days would be gone within days; act now
};

/// Returns the name of `state` as used in reports. Thread-safe.
[[nodiscard]] std::string_view nameOf(burn_state state) noexcept;

/// Judges the burn rates in `burnWindows`. A long window shows that the burn matters, a short one
/// that it is still going on, so a state ends soon after its cause. Thread-safe.
[[nodiscard]] burn_state classifyBurnRate(const windowed_counts &windows,
                                          double availability) noexcept;

} // namespace ibishinge
