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

/// A request that asks to be started.
struct waiting_request
{
    std::uint64_t id = 0; ///< differs for each request of the process
    std::string team;
    std::string service;
    bool urgent = false;
    monotonic_time deadline; ///< the complete response is needed by then
};

/// A request that may be dispatched now.
struct started_request
{
    std::uint64_t id = 0;
    std::string team;
};

/// A queued request that gets its final response now.
struct refused_request
{
    std::uint64_t id = 0;
    error reason;
};

/// Mean and mean deviation of run times, as exponentially weighted averages (RFC 6298).
struct run_time_estimate
{
    double meanMs = 0;
    double deviationMs = 0;
    int samples = 0;
    monotonic_time lastSample;
};

/// Parts of the decision. Only tests and benchmarks turn one off, to show what it is worth.
struct admission_policy
{
    bool fairQueueing = true; ///< off: first come, first served
    bool boundQueues = true; ///< refuse when the queue of a team and service is full
    bool refuseByDeadline = true; ///< refuse and expire by learned run times
    bool boundUrgent = true; ///< off: urgent work always comes first
    bool learnRunTimes = true; ///< off: `defaultRunTime` for all
    bool countOtherProcesses = true; ///< include the use by other processes
};

struct admission_settings
{
    /// Waiting requests for each team and service. 128 requests of 100 ms on 10 slots wait 1.3 s.
    std::size_t queueBound = 128;
    /// Waiting requests for each team over all services. Each one holds a thread of the server, so
    /// that without this bound one team's burst on many services would take all threads.
    std::size_t teamBound = 1024;
    milliseconds defaultRunTime {100}; ///< run time before anything was learned
    milliseconds ownAveragingTime {2000}; ///< time constant of the average of a team's use
    double recentUseWeight = 0.5; ///< weight of the average beside the use at present
    /// Time constant of the average of the use by others. All processes see each other's use with a
    /// lag of 1 to 2 s and react to it alike; without a longer average their reactions add up to
    /// oscillation.
    milliseconds othersAveragingTime {15000};
    /// Unused estimates halve in this time. A spell of slow responses would otherwise raise an
    /// estimate above all deadlines, so that nothing runs and nothing corrects it.
    milliseconds estimateHalfLife {5000};
    milliseconds minRetryAfter {100};
    milliseconds maxRetryAfter {30000};
    admission_policy policy;
};

/// One team's work on one service.
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

struct admission_team
{
    double weight = 1;
    int running = 0; ///< of this process
    int cap = 0; ///< how many this process may have running
    int limit = 0; ///< over the fleet
    int othersRunning = 0; ///< of other processes; lags
    double averageRunning = 0; ///< average of `running` over `ownAveragingTime`
    double averageUseOfOthers = 0; ///< average of `othersRunning` over `othersAveragingTime`
    monotonic_time averagedAt;
    std::map<std::string, team_queue> queues; ///< by service
};

struct admission_service
{
    int running = 0; ///< of this process
    std::size_t queueBound = 0; ///< waiting requests for each team; 0: that of the settings
    int freeSlots = 0; ///< when `startNext` was last called
    run_time_estimate runTime;
};

struct running_request
{
    std::string team;
    std::string service;
    bool urgent = false;
    monotonic_time startedAt;
};

/// Everything that waits or runs in one process. Not thread-safe.
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
    std::vector<refused_request> refused; ///< returned by the next `expire`
    bool shuttingDown = false;
};

/// A team's limits as seen by this process.
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

/// Updates what the team may use. Precondition: the team was added.
void setAllowance(admission_table &table, const std::string &team,
                  const admission_allowance &allowance, monotonic_time now);

/// Queues `request`, or refuses it at once. Precondition: its id is not in the table.
///
/// Errors: `not_ready` (team not in the catalogue in effect), `over_limit`, `overloaded` (queue
/// full or deadline cannot be met), `shutting_down`; each with `retryAfter`.
[[nodiscard]] result<void> submit(admission_table &table, const waiting_request &request,
                                  monotonic_time now);

/// Asks for a unit of a team's allowance; returns false if none is left.
using reserve_function = std::function<bool(const std::string &team)>;

/// Starts up to `freeSlots` requests of `service` and returns them in order.
///
/// Urgent requests come first while the team's urgent work is below its share of the service's
/// slots; all else goes to the team with the lowest use for its weight. A team without allowance is
/// passed over. `reserve` is asked before each start, so that the caller's count decides.
[[nodiscard]] std::vector<started_request> startNext(admission_table &table,
                                                     const std::string &service, int freeSlots,
                                                     monotonic_time now,
                                                     const reserve_function &reserve = {});

/// Removes and returns the requests whose deadline has passed or can no longer be met, and after
/// `beginShutdown` all that wait. Call it at least every 100 ms.
[[nodiscard]] std::vector<refused_request> expire(admission_table &table, monotonic_time now);

/// Whether a finished run says how long the service takes.
enum class run_sample : std::uint8_t {
    complete, ///< complete response, or the run time bound was reached
    none, ///< ended early, for example refused by the target
};

/// Removes a running request. Unknown ids are ignored.
void finish(admission_table &table, std::uint64_t id, run_sample sample, monotonic_time now);

/// Removes a waiting request. Returns false if it is not waiting, for example started already.
[[nodiscard]] bool cancel(admission_table &table, std::uint64_t id);

/// From here on `submit` refuses everything, and `expire` returns all that wait.
void beginShutdown(admission_table &table) noexcept;

/// Returns how many requests of the team wait, over all services.
[[nodiscard]] int queuedRequests(const admission_table &table, const std::string &team) noexcept;

/// Returns the learned run time of a team on a service, or of the service, or the default.
[[nodiscard]] milliseconds expectedRun(const admission_table &table, const std::string &team,
                                       const std::string &service, monotonic_time now);

} // namespace ibishinge
