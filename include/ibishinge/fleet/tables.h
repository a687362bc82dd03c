#pragma once

#include <ibishinge/fleet/backlog/task_list.h>
#include <ibishinge/fleet/evacuation/evacuation.h>
#include <ibishinge/fleet/load_control.h>
#include <ibishinge/fleet/queueing/locality.h>
#include <ibishinge/fleet/queueing/shares.h>
#include <ibishinge/fleet/types.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge::fleet {

/// State of a job as shown to callers.
enum class job_state : std::uint8_t { queued, running, completed, failed, cancelled };

/// Returns the name of `state` in records and logs. Thread-safe.
[[nodiscard]] std::string_view nameOf(job_state state) noexcept;

/// Returns the state with this name, or nothing if there is none. Thread-safe.
[[nodiscard]] std::optional<job_state> parseJobState(std::string_view name) noexcept;

/// Returns the name of `kind` in logs and metrics. Thread-safe.
[[nodiscard]] std::string_view nameOf(end_kind kind) noexcept;

/// Phase of a run.
enum class run_phase : std::uint8_t {
    starting, ///< the start was requested and has not been answered
    running,
    stopping, ///< a stop was requested; the run holds its resources until its end is reported
};

/// Identifies one run of one task.
struct run_key
{
    task_name task;
    std::int64_t run = 0;

    friend auto operator<=>(const run_key &, const run_key &) = default; // NOLINT
};

/// A run that exists on a worker, or may exist there.
struct run_entry
{
    run_key key;
    std::string worker;
    run_phase phase = run_phase::starting;
    instant orderedAt; ///< when the start was last sent
    instant confirmedAt; ///< when the start was answered or the run was first reported
    /// When the start was answered; unset for a run known from reports only.
    std::optional<instant> beganAt;
    resources held; ///< resources counted against the worker and the customer
    std::string customer;
    std::string pool; ///< in which the resources are counted, set by `addRun`
    bool pastBound = false; ///< was started because of `starvationBound`
    std::string checkpoint;
    int percent = 0; ///< reported progress
    instant progressAt; ///< when `percent` last changed
    double usage = 0; ///< tail latency in milliseconds of a serving run, else processor usage
    int speedPercent = 100; ///< percentage of full speed at which a best-effort run may work
    bool longRunning = false;
    bool serving = false; ///< `tailTarget` is set
    milliseconds tailTarget {0};
    bool bestEffort = false; ///< uses spare processor time only
    /// Under observation: workers crashed under earlier runs of the task, so no other run is
    /// started beside this one until it has run for a while. Changed by `endObservation`.
    bool observed = false;
    std::string ticket; ///< ticket of the advice service that is sent with the start
    int orders = 0; ///< number of start requests sent for this run
    bool seenOnWorker = false; ///< the worker answered the start or listed the run
    /// Known only from the record of its suspected task: an earlier coordinator may have started
    /// it.
    bool fromRecord = false;
    bool callPending = false; ///< a start or stop request has not been answered yet
    bool unanswered = false; ///< the last start or stop request that has ended had no answer
    bool stopAnswered = false; ///< the worker answered the stop request
    instant stopSentAt;
    std::int64_t listedInReport = 0; ///< number of the last report that listed the run
    /// The last report did not list the run; it is removed if the next one does not either.
    bool missingFromReport = false;
};

/// Returns true if the start of the run waits to be sent. Thread-safe.
[[nodiscard]] constexpr bool isUnsent(const run_entry &run) noexcept
{
    return run.phase == run_phase::starting && run.orders == 0;
}

/// Run times of the tasks of one step that have ended `done`.
struct step_run_times
{
    int runs = 0;
    double meanMs = 0; ///< milliseconds
};

/// How long a step has had tasks that wait. Not stored: a new coordinator begins with the
/// submission, or with what it knows of later steps.
struct step_wait
{
    instant readySince; ///< epoch: no task waits
    instant lastStartAt; ///< of a task of the step since then; epoch: none
};

/// Tasks of one occurrence of a job.
struct occurrence_entry
{
    /// Latest completion that meets the objective; unset until `updateObjective`.
    std::optional<instant> objectiveAt;
    std::vector<step_run_times> runTimes; ///< by step; empty until the first run has ended
    std::vector<step_wait> waits; ///< by step; empty unless `order_rules` ask for any
    std::vector<task_list> steps;
    std::vector<int> unfinished; ///< number of unfinished tasks by step
    int unfinishedTasks = 0;
};

/// Answer of the advice service whether one worker may run a step.
struct worker_advice
{
    std::int64_t incarnation = 0; ///< of the worker; its next process may be of another kind
    std::string ticket; ///< empty: the worker may not run the step
    instant validUntil;
};

/// A call of the advice service that has not been answered yet.
struct advice_call
{
    std::map<std::string, std::int64_t> incarnations; ///< of the workers that it names, by id
    bool namesNew = false; ///< some of them had not been named before
    instant sentAt;
};

/// Answers of the advice service for one step.
struct step_tickets
{
    std::map<std::string, worker_advice> adviceByWorker; ///< last answers, by id of the worker
    std::optional<advice_call> openCall;
    instant nextRequestAt; ///< earliest time of the next call
};

/// A job that has not ended.
struct job_entry
{
    std::string id;
    std::string queue;
    std::string pool; ///< pool of the queue when the job was accepted
    /// Other pools in which tasks were or are to be started, and whether the store holds that,
    /// which is required before a start.
    std::map<std::string, bool> otherPools;
    std::string customer; ///< empty on a queue that is open to all
    job_spec spec;
    std::int64_t acceptedWallMs = 0; ///< wall time, milliseconds since 1970
    instant submittedAt; ///< when this coordinator first received the submission
    /// Latest completion of a job that runs once, as expected at its submission.
    instant objectiveAt;
    milliseconds criticalPath {0}; ///< estimated length of the critical path
    std::optional<instant> forecastEnd; ///< as forecast at its submission; unset: not known
    /// The same if no rejected job returned.
    std::optional<instant> forecastWithoutReturns;
    double work = 0; ///< estimated work of all tasks, in core-milliseconds
    job_state state = job_state::queued;
    bool stored = false; ///< the job is accepted: its record is in the store
    bool fromRecord = false; ///< accepted by an earlier coordinator
    /// Accepted by an earlier coordinator, whose runs may go on, or have ended, unknown to this
    /// one. No task is started until it is known.
    bool inherited = false;
    bool begun = false; ///< the start of at least one task has been requested
    bool ending = false; ///< the final state is being stored; no more tasks are started
    bool longRunning = false;
    bool hasCrashes = false; ///< crashes are or were counted for a task
    /// Open occurrences by number: those that may run now, of which a window is open, see
    /// `occurrence_window.h`. Those before `nextOccurrence` that are not open are complete.
    std::map<int, occurrence_entry> occurrences;
    int nextOccurrence = 0; ///< first occurrence that has not been open yet
    int storedNextOccurrence = 0; ///< value of `nextOccurrence` in the store
    int dueOccurrences = 0; ///< occurrences that were due when last looked at, from number 0
    std::map<std::pair<int, int>, step_tickets> tickets; ///< by occurrence and step
    std::string failureReason;
    std::size_t memory = 0; ///< estimated, in bytes, set by `addJob`
};

/// A worker that reported longer ago may have ended or restarted unnoticed.
inline constexpr milliseconds maxReportAgeAtStart {500};

/// A start that a worker has not answered and may carry out later, see `late_orders.h`.
struct unanswered_start
{
    instant possibleUntil;
    /// Incarnation of the worker at which the start has no effect any more: it was sent to this
    /// one, which rejects a run that has ended there, or this one has answered a stop of the run.
    std::int64_t harmlessAt = 0;
    bool stopPending = false; ///< a stop that blocks the start has not been answered yet
};

/// An order with a lease that a worker has not answered.
struct unanswered_lease
{
    instant sentBy; ///< the order was sent then or earlier; epoch: there is none
    std::int64_t incarnation = 0; ///< of the worker when the order was sent
};

/// State of one worker as known to the coordinator.
struct worker_status
{
    worker_entry entry;
    bool registered = true; ///< listed in the registry
    bool verified = false; ///< the worker answered this coordinator, and no call has failed since
    bool contacted = false; ///< the worker has answered this coordinator at least once
    bool ended = false; ///< the list of hosts shows that the worker is no longer there
    bool hostMissing = false; ///< its host is not in the last list of hosts
    std::int64_t incarnation = 0; ///< of the worker process that reported last
    std::int64_t clockAtReport = 0; ///< worker's clock in the last report, milliseconds
    instant reportAt; ///< when the last report was received
    /// Leases of this coordinator's runs expire by this time unless they are renewed.
    instant leasesEndBy;
    /// Latest end of a lease sent to the present worker process, on its clock, in milliseconds.
    std::int64_t leaseSent = 0;
    instant leaseSentAt; ///< when a lease was last sent to the worker
    std::map<run_key, unanswered_start> unansweredStarts;
    unanswered_lease unansweredLease; ///< the last one
    std::set<std::int64_t> openAcknowledgements; ///< numbers of open polls that acknowledge ends
    /// When the last acknowledgement of ends to the present process had no answer; epoch: none.
    instant acknowledgementUnansweredAt;
    /// Until then the present process may carry out an acknowledgement meant for an earlier one.
    instant mayForgetEndsUntil;
    bool awaitsContact = false; ///< starts wait for the answer to a poll
    std::int64_t processedEnd = 0; ///< number of the last end that was applied to the tables
    std::int64_t storedEnd = 0; ///< number of the last end whose effects are in the store
    bool endsTruncated = false; ///< the last report may not have listed all ends
    /// When the oldest end whose effects are not in the store was applied. Valid if there is one.
    instant unstoredSince;
    /// Number of the last end that was acknowledged to the worker.
    std::int64_t acknowledgedEnd = 0;
    bool hasMixedWorkloads = false; ///< serving and best-effort runs share the worker
    std::int64_t openPoll = 0; ///< number of the poll whose answer is awaited; 0: none
    instant pollSentAt;
    instant nextPollAt;
    int failedPolls = 0; ///< consecutive failures
    instant unreachableSince; ///< time of the first of the consecutive failures
    resources held;
    std::set<run_key> runs;
    int observedRuns = 0; ///< number of runs under observation
    /// Task to be started under observation; no other task is started until then.
    std::optional<task_name> reservedFor;
    instant drainingSince;
    /// Listed in the stored roster, which is required before a run is started.
    bool onRoster = false;
    bool maintenanceDue = false; ///< its host is part of an unfinished maintenance wave
    /// Gets no new tasks, because its host is being prepared for maintenance or a move.
    bool cordoned = false;
    bool evacuated = false; ///< its data centre is evacuated: nothing starts there
    instant nextThrottlingAt;
    double failureScore = 0; ///< exponentially decayed count of failed runs
    double successScore = 0; ///< exponentially decayed count of successful runs
    instant quarantinedUntil;
    double runTimeRatio = 1; ///< observed ratio of run times here to those on other workers
};

/// Returns true if the worker has ends, or may have ends, whose effects are not in the store. They
/// are lost if its host goes down. Thread-safe for a constant worker.
[[nodiscard]] constexpr bool mayHaveUnstoredEnds(const worker_status &worker) noexcept
{
    return worker.endsTruncated || worker.processedEnd > worker.storedEnd;
}

/// Returns true if the worker may have runs or ends that it has not reported to this coordinator.
/// Thread-safe for a constant worker.
[[nodiscard]] constexpr bool mayHaveUnreportedRuns(const worker_status &worker,
                                                   instant now) noexcept
{
    if (worker.contacted && !worker.endsTruncated) {
        return false;
    }
    // All that an unreachable worker runs ends with its leases.
    return worker.verified || worker.leasesEndBy > now;
}

/// Run times observed for the tasks of a queue.
struct queue_statistics
{
    double meanRunMs = 0; ///< mean run time of runs that ended `done`, milliseconds
    double meanRatio = 1; ///< mean ratio of run time to the caller's estimate
    int samples = 0; ///< number of runs observed
    distance_statistics distance;
};

/// Crash of a worker that had runs.
struct worker_crash
{
    instant after; ///< the worker's last report
    instant before; ///< when the crash was noticed
};

/// An id that was cancelled while no job had it.
struct withdrawn_id
{
    std::int64_t wallMs = 0; ///< time of the cancellation, milliseconds since 1970
    bool stored = false;
};

/// Estimated memory of the jobs that have not ended, in bytes.
struct job_memory
{
    std::size_t all = 0;
    std::map<std::string, std::size_t> byCustomer;
    event_rate freed; ///< bytes of jobs that have ended
};

/// State of the coordinator. Plain data, changed by free functions and by the coordinator. Not
/// thread-safe.
struct fleet_tables
{
    configuration config;
    std::map<std::string, const queue_config *> queues; ///< queues by name; point into `config`
    /// Jobs that have not ended, by id. Changed by `addJob` and `removeJob`.
    std::map<std::string, job_entry> jobs;
    job_memory jobMemory;
    /// Final state, and wall time of the end in milliseconds since 1970, by job.
    std::map<std::string, std::pair<job_state, std::int64_t>> ended;
    /// Ids that were cancelled while no job had them. A submission that was under way is rejected
    /// when it arrives.
    std::map<std::string, withdrawn_id> withdrawn;
    std::map<run_key, run_entry> runs;
    std::map<std::string, worker_status> workers;
    std::map<std::string, resources> customerHeld; ///< resources of all runs, by customer
    std::map<std::string, pool_use> poolUse; ///< resources of all runs, by pool of the worker
    std::map<std::string, pool_shares> shares; ///< at the last scheduling pass, by pool
    bool ordersByShare = true; ///< customers' weights and queues' priorities order waiting work
    std::map<std::string, queue_statistics> statistics; ///< by queue
    std::vector<worker_crash> recentCrashes; ///< without old ones
    std::map<std::string, host_entry> hosts;
    instant hostsReadAt; ///< when the list of hosts was requested; epoch: never
    evacuation_state evacuation;
};

/// Returns the queue with this host name and the longest prefix that matches `path`; null if there
/// is none. Thread-safe as long as the configuration is not changed.
[[nodiscard]] const queue_config *findQueue(const configuration &config, std::string_view host,
                                            std::string_view path) noexcept;

/// Gives each invalid field of `config` the value that it has in `before`, or its default if
/// `before` is null or does not have the queue or customer. Not thread-safe.
void keepFieldsOf(const configuration *before, configuration &config);

/// Replaces the configuration and rebuilds the index of queues. Not thread-safe.
void setConfiguration(fleet_tables &tables, configuration config);

/// Returns a description of the first problem of a job's specification, or nothing if it is valid.
/// Thread-safe.
[[nodiscard]] std::optional<std::string> findProblem(const job_spec &spec);

/// Returns the length of the critical path over the steps, where a task of a step takes
/// `runTime(step)`. Precondition: `spec` is valid.
template <class Function>
[[nodiscard]] double criticalPathLength(const job_spec &spec, Function runTime)
{
    std::vector<double> ends;
    double longest = 0;
    for (const auto &step : spec.steps) {
        double begin = 0;
        for (const int earlier : step.after) {
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        }
        ends.push_back(begin + runTime(step));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

/// Returns true if all steps that `step` depends on are complete. Thread-safe for constant
/// arguments.
[[nodiscard]] bool isStepReady(const job_spec &spec, const occurrence_entry &occurrence, int step);

/// Returns the task, or null if the job has ended or the task does not exist. Thread-safe for
/// constant tables.
[[nodiscard]] const task_entry *findTask(const fleet_tables &tables, const task_name &name);

/// Returns the task for a change, or null if the job has ended, or the task is done or does not
/// exist. Not thread-safe.
[[nodiscard]] task_entry *changeTask(fleet_tables &tables, const task_name &name);

/// Marks a task as done. Returns true if that completed the job. Preconditions: the task exists and
/// is not done. Not thread-safe.
bool finishTask(job_entry &job, const task_name &name);

/// Returns a run of a task with the properties of its step. Precondition: the task exists.
/// Thread-safe for a constant job.
[[nodiscard]] run_entry makeRun(const job_entry &job, const run_key &key,
                                const std::string &worker);

/// Adds a run and counts its resources against its worker and its customer. Precondition: no run
/// with this key exists. Not thread-safe.
run_entry &addRun(fleet_tables &tables, run_entry run);

/// Removes a run, if it exists, and releases its resources. Not thread-safe.
void removeRun(fleet_tables &tables, const run_key &key);

/// Returns true if there is a run of the task that has not ended, as far as is known. Thread-safe
/// for constant tables.
[[nodiscard]] bool hasRun(const fleet_tables &tables, const task_name &name);

/// Ends the observation of a run. Precondition: it is under observation. Not thread-safe.
void endObservation(fleet_tables &tables, run_entry &run);

/// Returns the resources that a run of `step` holds on its worker; a best-effort run holds no
/// processors. Thread-safe.
[[nodiscard]] resources heldBy(const step_spec &step) noexcept;

/// Returns the expected run time of a task in milliseconds, from the caller's estimate and the run
/// times observed for the queue. Thread-safe for constant tables.
[[nodiscard]] double expectedRunMs(const fleet_tables &tables, const std::string &queue,
                                   const step_spec &step);

} // namespace ibishinge::fleet
