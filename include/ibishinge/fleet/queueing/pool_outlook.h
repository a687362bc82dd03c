#pragma once

#include <ibishinge/fleet/pool_sizing.h>
#include <ibishinge/fleet/queueing/work_groups.h>
#include <ibishinge/fleet/tables.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibishinge::fleet {

/// Expected work of one step of a live job, spread evenly over the time in which it could run if
/// the pool were empty. Times are in milliseconds from `pool_outlook::at`.
struct work_flow
{
    instant objectiveAt; ///< of its job
    bool late = false; ///< its job can no longer meet its objective, or is not expected to
    int group = 0;
    double begin = 0;
    double end = 0;
    double cores = 0; ///< that it occupies between `begin` and `end`
    bool follows = false; ///< it is of a later step than the flow before, of the same job
    double latestBegin = 0; ///< of a flow that does not follow: to meet the objective
};

/// Change of the free cores of a pool, or the begin or end of a flow.
struct outlook_event
{
    double at = 0; ///< milliseconds from `pool_outlook::at`
    int flow = -1; ///< index of the flow; -1: the event changes the free cores
    int group = 0; ///< whose share of the cores changes as well; 0: none
    double cores = 0; ///< change, in cores
};

/// Cores of a pool from a time on, without regard to the runs on them.
struct capacity_step
{
    double at = 0; ///< milliseconds from `pool_outlook::at`
    double cores = 0;
};

/// Expected use of a pool, as of one moment.
struct pool_outlook
{
    instant at;
    std::vector<work_flow> flows;
    std::vector<outlook_event> events; ///< by time
    std::vector<capacity_step> capacity; ///< by time; cumulated
    std::map<int, double> groupCores; ///< cores that a limited group may use further at `at`
};

/// Work that is ahead of a job without being a flow of the outlook.
struct promised_work
{
    double coreMs = 0;
    double cores = 0; ///< that it occupies while it runs
};

/// Place of a job in the order of waiting work.
struct order_place
{
    instant objectiveAt;
};

/// Returns true if the work goes before a job at `place`. The only statement of the order here; it
/// follows `waitingSteps`. Thread-safe.
[[nodiscard]] bool goesFirst(const work_flow &work, const order_place &place) noexcept;

/// Returns the expected use of a pool. Capacity counts as available if that is in doubt: a worker
/// that does not answer may answer soon, and spare hosts may come to this pool. Visits each worker,
/// host, run and job once. Not thread-safe.
[[nodiscard]] pool_outlook measureOutlook(const fleet_tables &tables,
                                          const pool_sizing_state &sizing, work_groups &groups,
                                          const std::string &pool, instant now);

/// Marks the work as late that the work with earlier objectives will delay beyond its latest begin
/// by more than `tolerance`. It will be behind new jobs by the time that it could begin, so that
/// they need not wait for it. Not thread-safe.
void setAsideHopelessWork(pool_outlook &outlook, milliseconds tolerance);

/// Adds the work of a job whose occurrences are not open yet. Not thread-safe.
void addNewJob(pool_outlook &outlook, const fleet_tables &tables, work_groups &groups,
               const job_entry &job, instant now);

/// Returns the first time, in milliseconds from `outlook.at` and at least `from`, at which the work
/// that goes before `place` and the promised work of each group leave `cores` of the pool free to
/// work of `group`; nothing if they never do. Thread-safe for constant arguments.
[[nodiscard]] std::optional<double> findRoom(const pool_outlook &outlook, const order_place &place,
                                             const std::map<int, promised_work> &promised,
                                             double from, int group, double cores);

/// Returns the work ahead of `place` that has not begun, in core-milliseconds, without promised
/// work. Thread-safe for a constant outlook.
[[nodiscard]] double workAhead(const pool_outlook &outlook, const order_place &place);

/// Returns the cores of the pool at `time`, in milliseconds from `outlook.at`. Thread-safe for a
/// constant outlook.
[[nodiscard]] double coresAt(const pool_outlook &outlook, double time);

} // namespace ibishinge::fleet
