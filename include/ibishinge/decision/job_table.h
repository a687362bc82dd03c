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

/// State of a job, as stored in its record.
enum class job_state : std::uint8_t {
    waiting,
    starting, ///< stored before the worker is asked to start the attempt
    running,
    checkpointing, ///< the worker was asked to save the attempt's progress and stop
    done,
    failed,
    cancelled,
    lost, ///< the job is not repeatable, and its attempt may have run
};

/// Returns the name of `state` in records. Thread-safe.
[[nodiscard]] std::string_view nameOf(job_state state) noexcept;
/// Returns the state with that name in records, or `std::nullopt`. Thread-safe.
[[nodiscard]] std::optional<job_state> parseJobState(std::string_view name) noexcept;
/// Returns true for `done`, `failed`, `cancelled` and `lost`. Thread-safe.
[[nodiscard]] bool isFinal(job_state state) noexcept;
/// Returns true for `starting`, `running` and `checkpointing`, in which a worker may hold an
/// attempt of the job. Thread-safe.
[[nodiscard]] bool isActive(job_state state) noexcept;

/// Event that changes the state of a job.
enum class job_event : std::uint8_t {
    place, ///< a worker was chosen for the next attempt
    started, ///< the worker has accepted or reported the attempt
    never_started, ///< the worker has confirmed that the attempt did not start and will not start
    checkpoint, ///< the worker is asked to save the attempt's progress and to stop it
    retry, ///< the attempt has certainly ended; the next one resumes from the checkpoint, if any
    finish,
    fail,
    cancel,
    lose, ///< the attempt may have run and must not be repeated
};

/// Returns the state after `event`, or `std::nullopt` if the event is not allowed in `state`.
///
/// `checkpoint` and `retry` are allowed for repeatable jobs only; a job that is not repeatable
/// returns to `waiting` only by `never_started`. Thread-safe.
[[nodiscard]] std::optional<job_state> stateAfter(job_state state, job_event event,
                                                  bool repeatable) noexcept;

/// A job as stored under the key `job/<pool>/<queue>/<id>`.
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
    int attempt = 0; ///< number of the latest attempt, 0 before the first one
    std::string worker; ///< worker of the latest attempt
    std::string workerIncarnation; ///< process of `worker` that the attempt was sent to
    resources reserved; ///< resources reserved for the latest attempt
    std::string checkpoint; ///< reference returned by the worker; empty if there is none
    int failures = 0; ///< attempts that ended with an error
    wall_time submittedAt;
    wall_time notBefore; ///< end of the back-off before the next attempt
    wall_time changedAt; ///< time of the last state change
    std::string reason; ///< reason of the last failure, refusal or loss

    bool operator==(const job_record &) const = default;
};

/// Returns "<queue>/<id>", which identifies a job within its pool. Thread-safe.
[[nodiscard]] std::string jobName(const job_record &record);

/// In-memory state of a job in the process that owns its pool.
struct job_row
{
    job_record record;
    std::int64_t revision = 0; ///< revision of the record in the store (etcd's mod_revision)
    bool cancelRequested = false;
    std::set<std::string> avoidedWorkers; ///< workers avoided while another one can take the job
    std::set<std::string> failedWorkers; ///< all workers on which an attempt has failed
    wall_time leaseUntil; ///< end of the lease: by its clock, no worker runs the attempt later
    wall_time startedAt; ///< start of the attempt; used to compute the work lost by preemption
    /// Urgent jobs: time of the first preemption for the job.
    std::optional<wall_time> preemptingSince;
    /// Reservation before throttling; unset if not throttled.
    std::optional<resources> unthrottledReservation;
};

/// In-memory state of a worker in the process that owns its pool.
struct worker_row
{
    std::string id;
    std::string rack;
    std::string dataCentre;
    std::string incarnation; ///< empty until the worker has answered
    resources capacity;
    resources free; ///< capacity minus reservations; may be negative after either was corrected
    bool accepting = false; ///< the worker is in the pool, reachable and not leaving
    std::set<std::string> jobs; ///< active jobs placed on this worker
    resources reservedByOtherPools; ///< reserved by tasks of other pools
    double successes = 0; ///< successful attempts; each failure reduces their weight
    /// Jobs that failed on this worker, each with its weight as evidence of a fault of the worker:
    /// 1 once the job has succeeded on another worker, less the more workers the job has failed on.
    std::map<std::string, double> failedJobs;
    std::optional<wall_time> quarantinedUntil; ///< no job is placed here before
    std::string heldFor; ///< urgent job that the freed room is held for; empty if none
    wall_time heldUntil; ///< end of the hold for `heldFor`
};

/// Learned mean ratio of used to declared resources and its mean deviation, for one queue and team.
struct usage_correction
{
    double processors = 1;
    double processorsDeviation = 0;
    double memory = 1;
    double memoryDeviation = 0;
    int samples = 0; ///< number of usage reports
};

/// Settings and counts of one team in the pool.
struct team_row
{
    double weight = 1; ///< divides the team's reserved processors when teams are compared
    int cap = 0; ///< largest number of active jobs of the team in this pool
    int active = 0;
    int waiting = 0; ///< waiting jobs, including those in back-off
    std::int64_t processors = 0; ///< processors reserved by the team's active jobs
};

/// Cap and count of one queue's active jobs.
struct queue_row
{
    std::int64_t cap = 0; ///< largest number of active jobs of the queue
    std::int64_t active = 0;
};

/// Attributes that determine where a job can be placed. If no worker has room for one job, the
/// other jobs of the same shape need no search.
struct job_shape
{
    bool normalClass = true; ///< urgent shapes sort first
    std::string team;
    std::string queue;
    resources declared;

    friend auto operator<=>(const job_shape &,
                            const job_shape &) = default; // NOLINT(modernize-use-nullptr)
};

/// Jobs of one shape that may be placed.
struct shape_row
{
    std::set<std::pair<wall_time, std::string>> jobs; ///< by time of submission and name
    bool blocked = false; ///< skipped until a worker or the queue gains room
    /// All jobs that were tried have failed on the workers with room; another job may still be
    /// placed on them.
    bool blockedByAvoidance = false;
};

/// Rules of placement, all on in production. Tests switch off one at a time to show that it is
/// needed.
struct placement_safeguards
{
    bool enforceWorkerCapacity = true; ///< reservations stay within a worker's capacity
    bool enforceTeamCap = true; ///< a team's active jobs stay within its cap
    bool skipBlockedShapes = true; ///< off: a team's oldest job blocks its other jobs
    bool preemptForUrgent = true; ///< normal jobs are throttled or stopped for urgent ones
    /// Off: each failure counts fully against both the job and the worker.
    bool attributeFailures = true;
};

/// Settings of placement and of the failure attribution.
struct placement_settings
{
    int maxStartsPerTick = 512; ///< fills four write batches of the store
    int maxAttempts = 8; ///< failures after which a job is given up
    double maxJobFailureScore = 2.0; ///< failures attributed to a job at which it is given up
    double quarantineFailureScore = 1.2; ///< a worker with a lower score is not quarantined
    /// A worker that less probably causes the failures on it is not quarantined.
    double quarantineFaultProbability = 0.5;
    /// A worker is quarantined only if its failure score is at least this multiple of the median
    /// of its pool.
    double quarantineMedianFactor = 3;
    int minDistinctFailedJobs = 3; ///< a worker with fewer failed jobs is not quarantined
    double maxQuarantinedShare = 0.3; ///< largest fraction of the pool's workers in quarantine
    milliseconds quarantineTime {300000};
    milliseconds firstBackOff {1000}; ///< doubled with each further failure
    milliseconds maxBackOff {300000};
    /// Usage reports of younger tasks are ignored: the task has not reached its usual size, and
    /// reports lag.
    milliseconds minObservedRun {15000};
    double minCorrection = 0.1; ///< smallest factor on the declared resources
    double maxCorrection = 8; ///< largest factor on the declared resources
    int minCorrectionSamples = 3; ///< usage reports before a correction is applied
    /// Time without room for an urgent job after which the next harsher action is taken. Two steps
    /// and one tick stay below the 4.9 s within which urgent work has to start.
    milliseconds preemptionStep {1200};
    milliseconds holdTime {5000}; ///< how long freed room is held for an urgent job
    std::size_t preemptionCandidates = 128; ///< workers examined for one urgent job
    std::size_t fitCandidates = 16; ///< fitting workers examined to spread jobs over racks
    placement_safeguards safeguards;
};

/// In-memory tables of one pool. Change them only with the functions below, which keep the indexes
/// consistent. Not thread-safe.
struct pool_tables
{
    std::unordered_map<std::string, job_row> jobs; ///< by `jobName`
    std::map<std::string, worker_row> workers;
    std::map<std::string, team_row> teams;
    std::map<std::string, queue_row> queues; ///< a queue without an entry has no cap
    std::map<std::pair<std::string, std::string>, usage_correction>
        usageCorrections; ///< by queue and team

    // Indexes.
    std::map<job_shape, shape_row> shapes; ///< waiting jobs that are not in back-off
    std::set<std::pair<wall_time, std::string>> delayed; ///< jobs in back-off, by its end
    /// Workers by (has accelerators, free processors, id).
    std::set<std::tuple<bool, std::int64_t, std::string>> workersByFree;
    std::map<resources, int> capacities; ///< number of workers of each capacity
    std::set<std::string> workersWithNewRoom; ///< workers that gained room since the last placement
    /// Queues that fell below their cap since the last placement.
    std::set<std::string> queuesWithNewRoom;
    /// Shapes not yet compared with the workers' capacities.
    std::set<job_shape> shapesToCheckForFit;
    /// Shapes that are not blocked, by (normal class, team), the one with the oldest job first.
    std::map<std::pair<bool, std::string>,
             std::set<std::pair<std::pair<wall_time, std::string>, job_shape>>>
        placeableShapes;
    std::set<job_shape> blockedShapes;
    std::set<std::string> heldWorkers;
    std::set<std::string> quarantinedWorkers;
    std::set<std::string> throttledJobs;
    /// True once every worker of the pool has answered or its time to answer has passed. Until then
    /// the workers' capacities are unknown, and no job is refused for its size.
    bool areWorkerSizesKnown = false;
    std::map<std::string, std::map<std::string, int>>
        activeByQueueAndRack; ///< active jobs by queue and rack
};

/// Adds a job or replaces the version in the table. Ignored unless `revision` is higher than the
/// revision in the table.
void putJob(pool_tables &tables, job_record record, std::int64_t revision, wall_time now);
/// Removes a job. No effect if it is not in the table.
void removeJob(pool_tables &tables, const std::string &name);

/// Changes of a record's fields that come with an event. Unset members leave the field unchanged.
struct event_details
{
    std::optional<std::string> reason;
    std::optional<std::string> checkpoint;
    std::optional<wall_time> notBefore;
    std::optional<std::string> worker; ///< for `place` only: worker of the new attempt
    std::optional<resources> reserved;
};

/// Applies `event` to a job and updates its record and the indexes. Errors: `internal` for an
/// unknown job or an event that `stateAfter` does not allow; the tables are then unchanged.
[[nodiscard]] result<void> applyEvent(pool_tables &tables, const std::string &name, job_event event,
                                      wall_time now, const event_details &details = {});

/// Changes the resources that an active job reserves on its worker, when it is throttled or
/// restored. No effect if the job is not active.
void changeReservation(pool_tables &tables, const std::string &name, const resources &reserved);

/// Marks a shape as blocked, so that placement skips it, or as one to be tried again.
void setBlocked(pool_tables &tables, const job_shape &shape, bool blocked);

/// Returns the shape of a job. Thread-safe.
[[nodiscard]] job_shape shapeOf(const job_record &record);

/// Adds a worker or updates its capacity, its resources reserved by other pools and whether it
/// accepts jobs.
void putWorker(pool_tables &tables, const worker_row &worker);
/// Removes a worker but not the jobs placed on it. No effect if the worker is not in the table.
void removeWorker(pool_tables &tables, const std::string &id);

/// Sets a team's weight and cap. Placement compares the cap at each tick, so no shape needs to be
/// unblocked when the cap rises.
void setTeam(pool_tables &tables, const std::string &team, double weight, int cap);

/// Sets a queue's cap of active jobs.
void setQueue(pool_tables &tables, const std::string &queue, std::int64_t cap);

/// Returns the resources to reserve for a job: the declared ones, corrected by the usage learned
/// for its queue and team.
[[nodiscard]] resources reservationFor(const pool_tables &tables, const job_record &record,
                                       const placement_settings &settings);

/// Updates the usage correction of the job's queue and team from a report of an attempt that has
/// run for `ran`. Reports of young or throttled attempts are ignored.
void recordUsage(pool_tables &tables, const std::string &name, const resources &used,
                 milliseconds ran, const placement_settings &settings);

/// Records the success or failure of an attempt on `worker`.
///
/// A failure is attributed to the worker as far as the job succeeds on other workers, and to the
/// job as far as the worker succeeds with other jobs; later outcomes revise both. A worker whose
/// failure score is an outlier in its pool is quarantined. Returns true if the job must not be
/// tried again.
[[nodiscard]] bool recordOutcome(pool_tables &tables, const std::string &name,
                                 const std::string &worker, bool succeeded, wall_time now,
                                 const placement_settings &settings);

/// Returns the back-off before the next attempt of a job with `failures` failures, with jitter
/// derived from `seed`. Thread-safe.
[[nodiscard]] milliseconds backOff(int failures, std::uint64_t seed,
                                   const placement_settings &settings) noexcept;

} // namespace ibishinge
