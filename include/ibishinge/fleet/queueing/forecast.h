#pragma once

#include <ibishinge/fleet/queueing/pool_outlook.h>
#include <ibishinge/fleet/tables.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ibishinge::fleet {

/// Use that is made of forecasts.
enum class forecast_mode : std::uint8_t {
    off, ///< nothing is computed
    observe, ///< forecasts and their errors are computed and shown; nothing is rejected
    on, ///< submissions that cannot be in time are rejected as well
};

/// Returns the name of a mode, as in settings. Thread-safe.
[[nodiscard]] std::string_view nameOf(forecast_mode mode) noexcept;

/// Returns the mode with this name; nothing if there is none. Thread-safe.
[[nodiscard]] std::optional<forecast_mode> findForecastMode(std::string_view name) noexcept;

/// Reason of rejections by forecast, in answers, logs and metrics.
inline constexpr std::string_view forecastReason = "forecast";

/// Number of ended jobs of a queue before any is rejected by forecast.
inline constexpr std::size_t minForecastObservations = 20;

/// Number of rejected jobs that are remembered, and for how long at least.
inline constexpr std::size_t maxPromisedReturns = 4096;
inline constexpr milliseconds promisedReturnMemory {30'000};

/// Work of a rejected job counts as ahead of new jobs until this long after the time at which it
/// was told to return.
inline constexpr milliseconds promiseGrace {1000};

/// Forecast of the end of a job.
struct job_forecast
{
    instant end;
    double aheadCoreMs = 0; ///< work that goes before the job, in core-milliseconds
    double capacityCores = 0; ///< cores of the pool when the job is expected to begin
};

/// Recent differences between the actual and the forecast ends of the jobs of a queue.
struct forecast_errors
{
    static constexpr std::size_t capacity = 64;
    std::array<std::int64_t, capacity> recentMs {}; ///< actual minus forecast, milliseconds
    std::size_t next = 0; ///< index of the oldest
    std::size_t observed = 0; ///< number ever observed
    milliseconds margin {0}; ///< upper quartile of the recent absolute values
};

/// A rejected job that was told when to return.
struct promised_return
{
    std::string pool;
    instant arrivedAt; ///< when it was first submitted and rejected
    instant rejectedAt; ///< when it was told `returnAt`
    instant returnAt; ///< when it may return, by the whole seconds that its caller was told
    std::int64_t number = 0; ///< order of the first rejections
    int group = -1; ///< of its work, see `groupOf`; -1: does not count
    double coreMs = 0; ///< its work
    double durationMs = 0; ///< its critical path
    bool missed = false; ///< it has not returned in its time
};

/// What is kept for forecasts. It is not stored: a new coordinator begins without.
struct forecast_state
{
    work_groups groups;
    std::map<std::string, pool_outlook> outlooks; ///< by pool, each measured up to 100 ms ago
    std::map<std::string, forecast_errors> errors; ///< by queue
    std::map<std::string, promised_return> returns; ///< by id of the job
    /// Share of the recent promises whose callers returned, by pool.
    std::map<std::string, double> returnShares;
    std::int64_t lastReturn = 0; ///< number of the last promised return
};

/// What the forecast says about a submitted job.
struct forecast_judgement
{
    /// Nothing if the pool has no capacity, or never enough of it for the job.
    std::optional<job_forecast> forecast;
    bool rejected = false;
    /// When a rejected job has room, counted from the judgement; at most five times its objective,
    /// or 38 s if that is more. At least 1 s, except for what is left of a time told before.
    milliseconds retryAfter {0};
    /// The forecast if no rejected job returned. They may fail to; the actual end is expected
    /// between the two.
    instant endWithoutReturns;
    instant arrivedAt; ///< when the job was first submitted
    /// From when the objective of the job counts: its first arrival, or as much later as it needs
    /// to meet it, as a job that cannot is behind all others.
    instant objectiveFrom;
};

/// Returns the forecast and, if `mayReject`, whether the job is rejected by it. Rejected is a job
/// that runs once, has no long-running step, and would end after its objective by more than the
/// recent error of its queue. The objective of a job that returns counts from its return, as it was
/// told that there is room then. Refreshes the outlook of the pool. Preconditions: the job's
/// estimates are set as of `now`. Not thread-safe.
[[nodiscard]] forecast_judgement judgeForecast(forecast_state &state, const fleet_tables &tables,
                                               const pool_sizing_state &sizing,
                                               const job_entry &job, bool mayReject, instant now);

/// Remembers the return that a rejected job was promised, until it has returned and been accepted,
/// or until 30 s after its first rejection and 1 s after its time. Not thread-safe.
void recordRejection(forecast_state &state, const fleet_tables &tables, const job_entry &job,
                     const forecast_judgement &judgement, instant now);

/// Counts the work of an accepted job, and forgets its promised return. Not thread-safe.
void recordAcceptance(forecast_state &state, const fleet_tables &tables, const job_entry &job,
                      instant now);

/// Returns by how much a job that has ended at `end` missed its forecast, which is a range: see
/// `forecast_judgement::endWithoutReturns`; positive: it ended later. Thread-safe for a constant
/// job.
[[nodiscard]] milliseconds forecastError(const job_entry &job, instant end);

/// Adds the difference between the actual and the forecast end of a job. Not thread-safe.
void observeForecastError(forecast_errors &errors, milliseconds actualMinusForecast);

/// Returns by how much the forecasts of a queue are usually wrong, in either direction; nothing
/// before `minForecastObservations` jobs have ended. Thread-safe for constant errors.
[[nodiscard]] std::optional<milliseconds> forecastMargin(const forecast_errors &errors);

} // namespace ibishinge::fleet
