#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/base/time.h>
#include <ibishinge/base/work_class.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ibishinge {

/// An amount of a worker's resources.
struct resources
{
    std::int64_t processors = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    friend auto operator<=>(const resources &,
                            const resources &) = default; // NOLINT(modernize-use-nullptr)
    resources &operator+=(const resources &other) noexcept;
    resources &operator-=(const resources &other) noexcept;
};

/// Returns true if each amount of `need` is at most that of `available`. Thread-safe.
[[nodiscard]] bool fits(const resources &need, const resources &available) noexcept;

enum class job_state : std::uint8_t {
    waiting,
    starting, ///< written before the worker is asked to start the attempt
    running,
    checkpointing, ///< the worker was asked to save the attempt's progress and stop
    done,
    failed,
    cancelled,
    lost, ///< not repeatable, and may have run
};

/// Returns the name of `state` as used in records. Thread-safe.
[[nodiscard]] std::string_view nameOf(job_state state) noexcept;
/// Returns the state called `name`, or nothing. Thread-safe.
[[nodiscard]] std::optional<job_state> parseJobState(std::string_view name) noexcept;
/// Returns true for `done`, `failed`, `cancelled` and `lost`. Thread-safe.
[[nodiscard]] bool isFinal(job_state state) noexcept;
/// Returns true if an attempt of the job may be at a worker. Thread-safe.
[[nodiscard]] bool isActive(job_state state) noexcept;

enum class job_event : std::uint8_t {
    place, ///< a worker was chosen for the next attempt
    started, ///< the worker has the attempt
    never_started, ///< the worker confirmed that the attempt never began and never will
    checkpoint, ///< the worker is asked to save the attempt's progress and stop it
    retry, ///< the attempt has certainly ended; the next one resumes from the checkpoint
    finish,
    fail,
    cancel,
    lose, ///< the attempt may have run and must not be repeated
};

/// Returns the state after `event`, or nothing if the event is not allowed in `state`.
///
/// `retry` is only allowed for repeatable jobs; a job that is not repeatable goes back to `waiting`
/// only by `never_started`. Thread-safe.
[[nodiscard]] std::optional<job_state> stateAfter(job_state state, job_event event,
                                                  bool repeatable) noexcept;

/// Value of `job/<pool>/<queue>/<id>`.
struct job_record
{
    std::string id; ///< unique within the queue
    std::string queue;
    std::string team;
    work_class workClass = work_class::normal;
    bool repeatable = false;
    resources declared;
    milliseconds declaredRunTime {0};
    std::string payload; ///< passed to the worker
    job_state state = job_state::waiting;
    int attempt = 0; ///< number of the last attempt; 0: none yet
    std::string worker; ///< of the last attempt
    std::string workerIncarnation; ///< run of the worker process that the attempt was sent to
    resources reserved; ///< what the last attempt holds at its worker
    std::string checkpoint; ///< reference from the worker; "" if there is none
    int failures = 0; ///< attempts that ended with an error
    wall_time submittedAt;
    wall_time notBefore; ///< back-off of the next attempt
    wall_time changedAt; ///< last transition
    std::string reason; ///< of the last failure, refusal or loss

    bool operator==(const job_record &) const = default;
};

/// Returns "<queue>/<id>", which identifies a job within its pool. Thread-safe.
[[nodiscard]] std::string jobName(const job_record &record);

/// A job as its pool's owner holds it.
struct job_row
{
    job_record record;
    std::int64_t revision = 0; ///< mod_revision of the record in the store
    bool cancelRequested = false;
    std::set<std::string> avoidedWorkers; ///< workers to avoid while others are possible
    std::set<std::string> failedWorkers; ///< all workers on which it failed
    wall_time leaseUntil; ///< no worker runs the attempt after this, by the worker's clock
    wall_time startedAt; ///< of the attempt; for the choice of what to stop
    std::optional<wall_time> preemptingSince; ///< urgent: when room was first made for it
    std::optional<resources> unthrottledReservation; ///< reservation before the throttling
};

/// A worker as its pool's owner holds it.
struct worker_row
{
    std::string id;
    std::string rack;
    std::string dataCentre;
    std::string incarnation; ///< "" until the worker has answered
    resources capacity;
    resources free; ///< capacity less reservations; may be negative after a correction
    bool accepting = false; ///< in the pool, reachable and not leaving
    std::set<std::string> jobs; ///< active jobs placed here
    resources reservedByOtherPools; ///< held by tasks of other pools
    double successes = 0; ///< attempts that ended well; older ones count less with each failure
    /// Jobs that failed here, with the weight of that as evidence against the worker: 1 once the
    /// job succeeded elsewhere, little once it failed elsewhere too.
    std::map<std::string, double> failedJobs;
    std::optional<wall_time> quarantinedUntil;
    std::string heldFor; ///< urgent job for which room is being made; "" if none
    wall_time heldUntil;
};

/// Learned ratio of used to declared amounts, for one queue and team.
struct usage_correction
{
    double processors = 1;
    double processorsDeviation = 0;
    double memory = 1;
    double memoryDeviation = 0;
    int samples = 0;
};

struct team_row
{
    double weight = 1;
    int cap = 0; ///< active jobs that this pool may have of the team
    int active = 0;
    int waiting = 0; ///< including those in back-off
    std::int64_t processors = 0; ///< reserved by its active jobs
};

struct queue_row
{
    std::int64_t cap = 0; ///< active jobs that the queue may have
    std::int64_t active = 0;
};

/// Jobs that placement treats alike. One failed search then covers all of them.
struct job_shape
{
    bool normalClass = true; ///< urgent shapes sort first
    std::string team;
    std::string queue;
    resources declared;

    friend auto operator<=>(const job_shape &,
                            const job_shape &) = default; // NOLINT(modernize-use-nullptr)
};

struct shape_row
{
    std::set<std::pair<wall_time, std::string>> jobs; ///< by submission
    bool blocked = false; ///< no worker had room, and none has gained any since
    /// The workers with room had failed all jobs that were tried; another job may still fit there.
    bool blockedByAvoidance = false;
};

/// Rules of placement. Only tests switch one off, to show that it is needed.
struct placement_safeguards
{
    bool enforceWorkerCapacity = true;
    bool enforceTeamCap = true;
    bool skipBlockedShapes = true; ///< off: the head of a team's queue blocks the rest
    bool preemptForUrgent = true;
    bool attributeFailures = true; ///< off: each failure counts fully against both sides
};

struct placement_settings
{
    int maxStartsPerTick = 512; ///< four batches of the store
    int maxAttempts = 8;
    double maxJobFailureScore = 2.0;
    double quarantineFailureScore = 1.2;
    double quarantineFaultProbability = 0.5; ///< share of its failures that a worker is blamed for
    double quarantineMedianFactor =
        3; ///< blame of a worker that is set aside, relative to the median
    int minDistinctFailedJobs = 3; ///< jobs, before a worker is set aside
    double maxQuarantinedShare = 0.3; ///< share of the pool
    milliseconds quarantineTime {300000};
    milliseconds firstBackOff {1000};
    milliseconds maxBackOff {300000};
    /// A young task has not reached its usual size, and reports lag.
    milliseconds minObservedRun {15000};
    double minCorrection = 0.1;
    double maxCorrection = 8;
    int minCorrectionSamples = 3;
    /// Escalation for urgent work: after this time without room the next harder action is taken.
    /// Two steps and one tick stay below the 4.9 s in which urgent work starts.
    milliseconds preemptionStep {1200};
    milliseconds holdTime {5000};
    std::size_t preemptionCandidates = 128; ///< workers that are looked at for one urgent job
    std::size_t fitCandidates = 16; ///< fitting workers among which the domains are spread
    placement_safeguards safeguards;
};

/// The tables of one pool. Change them only by the functions below, which keep the indexes.
struct pool_tables
{
    std::unordered_map<std::string, job_row> jobs; ///< by `jobName`
    std::map<std::string, worker_row> workers;
    std::map<std::string, team_row> teams;
    std::map<std::string, queue_row> queues; ///< a queue that is missing has no bound
    std::map<std::pair<std::string, std::string>, usage_correction>
        usageCorrections; ///< queue, team

    // Indexes.
    std::map<job_shape, shape_row> shapes; ///< jobs that may be placed
    std::set<std::pair<wall_time, std::string>> delayed; ///< jobs in back-off
    /// Workers by (has accelerators, free processors, id).
    std::set<std::tuple<bool, std::int64_t, std::string>> workersByFree;
    std::map<resources, int> capacities; ///< number of workers of each size
    std::set<std::string> workersWithNewRoom; ///< gained room since the last placement
    std::set<std::string> queuesWithNewRoom; ///< fell below their cap since the last placement
    std::set<job_shape> shapesToCheckForFit; ///< whose fit to the pool's workers is to be checked
    /// Shapes that are not blocked, by (normal class, team), the oldest first.
    std::map<std::pair<bool, std::string>,
             std::set<std::pair<std::pair<wall_time, std::string>, job_shape>>>
        placeableShapes;
    std::set<job_shape> blockedShapes;
    std::set<std::string> heldWorkers;
    std::set<std::string> quarantinedWorkers;
    std::set<std::string> throttledJobs;
    /// True once every worker of the pool has answered or has had the time to. Before, the sizes of
    /// the workers are not known and no job is refused for its size.
    bool areWorkerSizesKnown = false;
    std::map<std::string, std::map<std::string, int>>
        activeByQueueAndRack; ///< queue -> rack -> active
};

/// Adds a job or replaces the held version of it; an older `revision` than the held one is ignored.
void putJob(pool_tables &tables, job_record record, std::int64_t revision, wall_time now);
void removeJob(pool_tables &tables, const std::string &name);

/// What an event changes in a record beside the state. Unset members leave the record as it is.
struct event_details
{
    std::optional<std::string> reason;
    std::optional<std::string> checkpoint;
    std::optional<wall_time> notBefore;
    std::optional<std::string> worker; ///< with `place`: also counts the attempt
    std::optional<resources> reserved;
};

/// Applies `event` to a job and changes its record and the indexes. Errors: `internal` for an
/// unknown job or a transition that is not in the table; nothing is changed then.
[[nodiscard]] result<void> applyEvent(pool_tables &tables, const std::string &name, job_event event,
                                      wall_time now, const event_details &details = {});

/// Changes what an active job holds at its worker, for throttling and its end.
void changeReservation(pool_tables &tables, const std::string &name, const resources &reserved);

/// Marks a shape as one that no worker has room for, or as one to be tried again.
void setBlocked(pool_tables &tables, const job_shape &shape, bool blocked);

/// Returns the shape of a job. Thread-safe.
[[nodiscard]] job_shape shapeOf(const job_record &record);

/// Adds a worker or updates its size and state.
void putWorker(pool_tables &tables, const worker_row &worker);
void removeWorker(pool_tables &tables, const std::string &id);

/// Sets a team's weight and cap. A raised cap makes its jobs candidates again by itself.
void setTeam(pool_tables &tables, const std::string &team, double weight, int cap);

/// Sets a queue's bound of active jobs.
void setQueue(pool_tables &tables, const std::string &queue, std::int64_t cap);

/// Returns the amounts to reserve for a job by what is known of its queue and team.
[[nodiscard]] resources reservationFor(const pool_tables &tables, const job_record &record,
                                       const placement_settings &settings);

/// Learns from a usage report of an attempt that has run for `ran`.
void recordUsage(pool_tables &tables, const std::string &name, const resources &used,
                 milliseconds ran, const placement_settings &settings);

/// Records that an attempt ended well, or with an error, on `worker`.
///
/// A failure counts against the worker as far as the job did well elsewhere, and against the job as
/// far as the worker did well with others; both are corrected when more becomes known. A worker is
/// set aside if it stands out from the others. Returns true if the job must not be tried again.
[[nodiscard]] bool recordOutcome(pool_tables &tables, const std::string &name,
                                 const std::string &worker, bool succeeded, wall_time now,
                                 const placement_settings &settings);

/// Returns the back-off before the next attempt of a job with `failures` failures; jittered by
/// `seed`.
[[nodiscard]] milliseconds backOff(int failures, std::uint64_t seed,
                                   const placement_settings &settings) noexcept;

} // namespace ibishinge
