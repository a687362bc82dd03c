#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/fleet/types.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ibishinge::fleet {

struct fleet_tables;
struct job_entry;
struct worker_status;

/// How long a wait for a place in the preferred rack of a step pays: the rack of its data
/// (`dataRack`) or of its group (`sameRack`). The functions are not thread-safe.

/// Returns the factor from the text of the setting; 0 if it is empty, which switches waits off.
/// Errors: `invalid_request` unless it is a finite number of at least 1. Thread-safe.
[[nodiscard]] result<double> parseFarFactor(std::string_view text);

/// Run times of the runs of a queue in and outside the racks that their steps prefer, as multiples
/// of the callers' estimates: long tasks wait more often than short ones, so that the plain mean of
/// the runs in the rack would be that of longer tasks.
struct distance_statistics
{
    int nearRuns = 0;
    double nearMean = 0;
    int farRuns = 0;
    double farMean = 0;
    double farShare = 0; ///< share of far runs among the latest ones
};

/// Records a run that took `ratio` times the caller's estimate.
void observeDistance(distance_statistics &seen, bool isNear, double ratio);

/// Returns by which factor a run takes longer outside the preferred rack: `setting` until enough
/// runs of both kinds have been observed, then the ratio of their means, at least 1.
[[nodiscard]] double farFactorOf(const distance_statistics &seen, double setting);

/// Returns the expected run time in the preferred rack. `meanMs` is that of all runs, of which some
/// were far.
[[nodiscard]] double nearRunMs(const distance_statistics &seen, double meanMs, double factor);

/// Work that steps have lately asked to run in a rack, as an exponentially decayed sum.
struct rack_demand
{
    double coreMs = 0;
    instant at; ///< to which `coreMs` applies
};

/// Adds the work of a step, in core-milliseconds.
void addDemand(rack_demand &demand, double coreMs, instant now);

/// Returns the rate of the demand as a share of what `cores` can do.
[[nodiscard]] double demandShare(const rack_demand &demand, double cores, instant now);

enum class rack_decision : std::uint8_t {
    place_here, ///< the rack has a place now
    wait,
    elsewhere, ///< a place in another rack is as good
};

/// Why a task does not wait, or no longer.
enum class no_wait_reason : std::uint8_t {
    none,
    no_worker, ///< no worker of the rack can be given the task
    too_late, ///< no place is expected before the wait would cost more than it saves
    demand, ///< the wait would delay too many others that want the rack
    bound, ///< the wait has cost as much as it could save
    objective, ///< the job would miss its objective, which it meets elsewhere
};

[[nodiscard]] std::string_view nameOf(no_wait_reason reason) noexcept;

/// What the decision depends on.
struct rack_question
{
    instant now;
    bool hasWorker = false; ///< some worker of the rack can be given the task, now or later
    /// When a place in the rack is expected; nothing: later than `latestPlace`, or unknown.
    std::optional<instant> expectedAt;
    double nearRunMs = 0; ///< expected run time in the rack
    double factor = 1; ///< by which a run takes longer elsewhere
    milliseconds waited {0}; ///< for the rack, in all waits of the step
    bool waits = false; ///< the step waits for the rack already
    /// Rate at which other steps have lately asked for work in the rack, as a share of what its
    /// workers can do.
    double demand = 0;
    milliseconds remaining {0}; ///< from the start of the task in the rack to the end of the job
    instant objectiveAt; ///< latest end that meets the job's objective
};

struct rack_answer
{
    rack_decision decision = rack_decision::elsewhere;
    no_wait_reason reason = no_wait_reason::none;
    instant until; ///< end of the wait; valid if the decision is to wait
};

/// Returns what a run elsewhere costs: the additional run time.
[[nodiscard]] milliseconds costOfDistance(const rack_question &question);

/// Returns until when the task may wait, whatever is expected, and what the end is due to.
[[nodiscard]] std::pair<instant, no_wait_reason> latestPlace(const rack_question &question);

/// Decides where a task goes. It waits only if a place in the rack is expected before the wait has
/// cost as much as a run elsewhere, and no longer than that: as in the ski-rental problem, this
/// costs at most twice the best choice in hindsight.
///
/// A task that waits also delays those after it until the rack has a free place again. So a wait
/// begins only if it is expected to take less than the cost times (1 - demand / 2). Otherwise the
/// tasks for a rack that is asked for much more than it can do all wait for as long as a run
/// elsewhere costs, and no more of them run there.
[[nodiscard]] rack_answer decideRack(const rack_question &question);

/// Expected releases of resources by the runs on the workers of one rack, and places taken in
/// advance for the tasks that go first. The places are not reserved: they are for the forecast
/// only.
struct rack_forecast
{
    struct place
    {
        worker_status *worker = nullptr;
        resources available; ///< at `clock`
    };
    struct release
    {
        instant at;
        std::size_t place = 0;
        resources released;
    };

    std::vector<place> places; ///< usable workers of the rack
    double cores = 0; ///< of these workers
    std::vector<release> releases; ///< a heap, the earliest first
    instant clock; ///< up to which `releases` are applied
    /// Need and limit of the last search without a result. In a rack that is in demand thousands of
    /// tasks get the same answer.
    std::optional<std::pair<resources, instant>> failed;
};

/// Predicate on the workers of a rack: whether they can be given tasks of a step.
using place_filter = std::function<bool(const worker_status &)>;

/// Returns the forecast for the workers of `usable` that have the label `rack`, without those that
/// are kept for or by a suspected task. `setting` is the far factor of queues without observations.
[[nodiscard]] rack_forecast makeRackForecast(const fleet_tables &tables,
                                             const std::vector<worker_status *> &usable,
                                             const std::string &rack, double setting, instant now);

/// Returns when `need` fits on a worker of the rack, and takes that place in advance for `runTime`;
/// nothing if that is not before `limit` or not known.
[[nodiscard]] std::optional<instant> takePlace(rack_forecast &forecast, const resources &need,
                                               milliseconds runTime, instant limit,
                                               const place_filter &isSuitablePlace);

/// A number of equal tasks that are to be placed together.
struct task_group
{
    resources need; ///< of each task
    int count = 0;
    int maxPerWorker = 0; ///< tasks on one worker; 0: no limit
};

/// Returns how many tasks of the group fit into `available`. Thread-safe.
[[nodiscard]] std::int64_t countFitting(const task_group &group, const resources &available);

/// Returns when the tasks fit on the workers of the rack together; nothing if that is not before
/// `limit` or not known.
[[nodiscard]] std::optional<instant> whenAllFit(const rack_forecast &forecast,
                                                const task_group &group, instant limit,
                                                const place_filter &isSuitablePlace);

/// Applies the start of a run, expected to end at `endsAt`, on a worker, which may be in another
/// rack.
void recordPlacement(rack_forecast &forecast, const worker_status &worker, const resources &held,
                     instant endsAt);

/// The wait of one step for its rack. It is kept until the occurrence is complete, so that all
/// waits of a step count against its bound.
struct rack_wait
{
    std::string rack;
    bool counted = false; ///< the work of the step is part of the demand for the rack
    instant chosenAt; ///< when the rack was chosen for a group
    bool spread = false; ///< a task was placed in another rack
    std::optional<instant> since; ///< begin of the present wait; nothing: the step does not wait
    instant until; ///< end of the present wait
    milliseconds waitedBefore {0}; ///< in earlier waits
    milliseconds expected {0}; ///< when the present wait began
    milliseconds cost {0}; ///< likewise
    double factor = 1; ///< likewise
    int placedNear = 0; ///< tasks placed in the rack in the present scheduling pass
    int placedFar = 0; ///< tasks placed elsewhere in the present scheduling pass
};

} // namespace ibishinge::fleet
