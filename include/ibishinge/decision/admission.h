#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/base/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace ibishinge {

/// A request that waits to be dispatched.
struct waiting_request
{
    std::uint64_t id = 0; ///< unique within the process
    std::string team;
    std::string service;
    bool urgent = false;
    monotonic_time deadline; ///< latest useful time of the complete response
};

/// A request that the caller may dispatch now.
struct started_request
{
    std::uint64_t id = 0;
    std::string team;
};

/// A queued request that was refused and must be answered with `reason`.
struct refused_request
{
    std::uint64_t id = 0;
    error reason;
};

/// Exponentially weighted mean and mean deviation of run times, as in RFC 6298.
struct run_time_estimate
{
    double meanMs = 0;
    double deviationMs = 0;
    int samples = 0;
    monotonic_time lastSample;
};

/// Parts of the admission decision. Only tests and benchmarks switch one off, to measure its
/// effect.
struct admission_policy
{
    bool fairQueueing = true; ///< off: requests start in order of arrival
    bool boundQueues = true; ///< refuse requests when a queue is full
    bool refuseByDeadline = true; ///< consider run times when a deadline is checked
    bool boundUrgent = true; ///< off: urgent requests always start first
    bool learnRunTimes = true; ///< off: `defaultRunTime` applies to all requests
    bool countOtherProcesses = true; ///< include the requests that other processes run
};

struct admission_settings
{
    /// Largest number of waiting requests for each team and service. 128 requests of 100 ms each on
    /// 10 slots wait 1.3 s.
    std::size_t queueBound = 128;
    /// Largest number of waiting requests for each team over all services. Each waiting request
    /// holds a thread of the server, so without this bound a burst of one team on many services
    /// would take all threads.
    std::size_t teamBound = 1024;
    milliseconds defaultRunTime {100}; ///< assumed run time without any samples
    milliseconds ownAveragingTime {2000}; ///< time constant of the average of a team's own use
    double recentUseWeight = 0.5; ///< weight of that average relative to the present use
    /// Time constant of the average of the use by other processes. All processes see each other's
    /// use with a lag of 1 to 2 s and react in the same way; without averaging over a longer time
    /// their reactions cause oscillation.
    milliseconds othersAveragingTime {15000};
    /// Half-life of a run time estimate that gets no new samples. Without decay, a period of slow
    /// responses could raise an estimate above all deadlines; then no request would run, and no
    /// sample would correct the estimate.
    milliseconds estimateHalfLife {5000};
    milliseconds minRetryAfter {100};
    milliseconds maxRetryAfter {30000};
    admission_policy policy;
};

/// Requests of one team for one service.
struct team_queue
{
    struct entry
    {
        std::uint64_t id = 0;
        monotonic_time queuedAt;
        monotonic_time deadline;
    };
    std::deque<entry> urgent;
    std::deque<entry> normal;
    int running = 0;
    int urgentRunning = 0;
    run_time_estimate runTime;
};

/// State of one team in this process.
struct admission_team
{
    double weight = 1; ///< share of the slots, relative to the weights of the other teams
    int running = 0; ///< running requests of this process
    int cap = 0; ///< largest number of running requests of this process
    int limit = 0; ///< largest number of running requests over the fleet
    int othersRunning = 0; ///< running requests of other processes; lags by a second or more
    double averageRunning = 0; ///< average of `running` over `ownAveragingTime`
    double averageUseOfOthers = 0; ///< average of `othersRunning` over `othersAveragingTime`
    monotonic_time averagedAt; ///< time for which the two averages were computed
    std::map<std::string, team_queue> queues; ///< by service
};

/// State of one service in this process.
struct admission_service
{
    int running = 0; ///< running requests of this process
    std::size_t queueBound = 0; ///< bound of each team's queue; 0: `admission_settings::queueBound`
    int freeSlots = 0; ///< free slots after the last `startNext` or `finish`
    run_time_estimate runTime;
};

/// A dispatched request whose end has not been reported.
struct running_request
{
    std::string team;
    std::string service;
    bool urgent = false;
    monotonic_time startedAt;
};

/// All waiting and running requests of one process. Not thread-safe.
///
/// \code
/// setTeam(table, "search", 2.0);
/// setAllowance(table, "search", {cap, limit, othersRunning}, now);
/// if (auto queued = submit(table, request, now); !queued) {
///     return queued.error();
/// }
/// for (const auto &started : startNext(table, "index", freeSlots, now)) {
///     dispatch(started.id);
/// }
/// \endcode
struct admission_table
{
    admission_settings settings;
    std::map<std::string, admission_team> teams;
    std::map<std::string, admission_service> services;
    std::unordered_map<std::uint64_t, waiting_request> waiting;
    std::unordered_map<std::uint64_t, running_request> running;
    /// Refused by `startNext`; the next `expire` returns them.
    std::vector<refused_request> refused;
    bool shuttingDown = false;
};

/// Limits of a team in this process and over the fleet, see `admission_team`.
struct admission_allowance
{
    int cap = 0;
    int limit = 0;
    int othersRunning = 0;
};

/// Adds a team or changes its weight. Precondition: `weight` > 0.
void setTeam(admission_table &table, const std::string &team, double weight);

/// Sets the bound of each team's queue for `service`. Precondition: `queueBound` > 0.
void setService(admission_table &table, const std::string &service, std::size_t queueBound);

/// Updates the limits of a team. Precondition: `setTeam` has added the team.
void setAllowance(admission_table &table, const std::string &team,
                  const admission_allowance &allowance, monotonic_time now);

/// Queues `request` or refuses it. Precondition: its id is not in the table.
///
/// Errors, each with `retryAfter`: `not_ready` if the catalogue in effect does not list the team;
/// `over_limit` or `overloaded` if the queue is full or the deadline cannot be met, depending on
/// whether the team uses up its limit; `shutting_down`.
[[nodiscard]] result<void> submit(admission_table &table, const waiting_request &request,
                                  monotonic_time now);

/// Reserves one unit of a team's allowance. Returns false if no unit is left.
using reserve_function = std::function<bool(const std::string &team)>;

/// Starts up to `freeSlots` requests of `service` and returns them in order.
///
/// Urgent requests start first as long as the team runs fewer of them than its share of the
/// service's slots. Otherwise the team with the lowest use relative to its weight is next. Teams
/// without allowance are skipped. `reserve` is called before each start and has the final say.
[[nodiscard]] std::vector<started_request> startNext(admission_table &table,
                                                     const std::string &service, int freeSlots,
                                                     monotonic_time now,
                                                     const reserve_function &reserve = {});

/// Removes and returns the waiting requests whose deadline has passed or can no longer be met;
/// after `beginShutdown`, all waiting requests. Must be called at least every 100 ms.
[[nodiscard]] std::vector<refused_request> expire(admission_table &table, monotonic_time now);

/// Whether the duration of a finished run is a sample of the run time of the service.
enum class run_sample : std::uint8_t {
    complete, ///< a complete response was received, or the run time bound was reached
    none, ///< the run ended early, for example because the target refused it
};

/// Removes a running request and records its run time. Unknown ids are ignored.
void finish(admission_table &table, std::uint64_t id, run_sample sample, monotonic_time now);

/// Removes a waiting request. Returns false if it does not wait, for example because it was
/// started.
[[nodiscard]] bool cancel(admission_table &table, std::uint64_t id);

/// Makes `submit` refuse all requests and `expire` return all waiting requests from now on.
void beginShutdown(admission_table &table) noexcept;

/// Returns the number of waiting requests of the team over all services.
[[nodiscard]] int queuedRequests(const admission_table &table, const std::string &team) noexcept;

/// Returns the estimated run time of the team's requests for the service. With too few samples of
/// the team it is the estimate of the service; without samples it is the default.
[[nodiscard]] milliseconds expectedRun(const admission_table &table, const std::string &team,
                                       const std::string &service, monotonic_time now);

} // namespace ibishinge
