#pragma once

#include <ibishinge/fleet/types.h>

#include <deque>
#include <optional>

namespace ibishinge::fleet {

/// Number of events a second over about the last second; older ones fade.
struct event_rate
{
    double perSecond = 0; ///< at `at`
    instant at;
};

/// Adds `count` events at `now`. Not thread-safe for the same rate.
void addEvents(event_rate &rate, double count, instant now);
/// Returns the events a second at `now`. Thread-safe for a constant rate.
[[nodiscard]] double eventsPerSecond(const event_rate &rate, instant now);

/// Largest lag of the event loop that needs no action. A job of two steps waits for the loop about
/// eight times, which stays within a slack of 600 ms in its objective. Lookups and cancellations
/// (3 s) and renewals of leases (4 s, each second) wait for it twice.
inline constexpr milliseconds lagTarget {75};
/// Time for which the lag may be above `lagTarget`, as after a burst of starts; less if it is
/// larger, in proportion.
inline constexpr milliseconds lagInterval {200};

/// How far the event loop of the coordinator is behind, and the rate of new work that it admits
/// meanwhile. Work is counted in tasks, as each costs a start, reports and an end.
///
/// Admission is limited once the lag has stayed above its target, until nothing has had to be
/// rejected for some time. The limit follows the lag: above the target less is admitted, from twice
/// the target on nothing, and below it the limit grows.
struct load_control
{
    struct lag_sample
    {
        instant at;
        milliseconds lag {0};
    };
    std::deque<lag_sample> samples; ///< of the last `lagInterval`, and the one before them
    event_rate offered; ///< tasks of new submissions
    event_rate rejected; ///< tasks of new submissions that were rejected
    event_rate started; ///< tasks
    event_rate ended; ///< tasks
    bool limiting = false;
    double tasksPerSecond = 0; ///< limit of what is admitted, while limiting
    double credit = 0; ///< tasks that may be admitted now; negative after a large job
    instant updatedAt; ///< of limit and credit
    instant rejectedAt; ///< last rejection
};

/// Records that a timer of the event loop ran, or has not run yet, `lag` after it was due. Not
/// thread-safe for the same control.
void recordLag(load_control &control, milliseconds lag, instant now);

/// Returns the least of the most recent lags, which a single stall does not raise. Thread-safe for
/// a constant control.
[[nodiscard]] milliseconds currentLag(const load_control &control);

/// Decides whether a new submission of `tasks` tasks is admitted. Returns nothing if it is,
/// otherwise the time after which it is expected to be admitted. Not thread-safe for the same
/// control.
[[nodiscard]] std::optional<milliseconds> limitSubmission(load_control &control, int tasks,
                                                          instant now);

/// Work that can wait and is done again and again: the longer it takes, the later it is done again,
/// so that renewals of leases, stops and answers keep their turn.
struct work_budget
{
    double share = 1; ///< of the process's time, at most
    milliseconds longestPause {0}; ///< after which it may be done again in any case
    instant notBefore; ///< of the next time
};

/// Records that the work was done from `begin` to `end`. Not thread-safe for the same budget.
void chargeWork(work_budget &budget, instant begin, instant end);

} // namespace ibishinge::fleet
