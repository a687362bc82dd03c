#pragma once

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

/// State of a job as callers see it.
enum class job_state : std::uint8_t { queued, running, completed, failed, cancelled };

/// Returns the name of `state` in records and logs. Thread-safe.
[[nodiscard]] std::string_view nameOf(job_state state) noexcept;

/// Parses what `nameOf` returned. Thread-safe.
[[nodiscard]] std::optional<job_state> parseJobState(std::string_view name) noexcept;

[[nodiscard]] std::string_view nameOf(end_kind kind) noexcept;

enum class run_phase : std::uint8_t {
    starting, ///< ordered, not answered
    running,
    stopping, ///< a stop was ordered; holds its room until the end is reported
};

/// Identifies one run of one task.
struct run_key
{
    task_name task;
    std::int64_t run = 0;

    friend auto operator<=>(const run_key &, const run_key &) = default; // NOLINT
};

/// A run that exists or may exist on a worker.
struct run_entry
{
    run_key key;
    std::string worker;
    run_phase phase = run_phase::starting;
    instant orderedAt; ///< the start was sent
    instant confirmedAt; ///< the start was answered, or the run was seen
    std::optional<instant> beganAt; ///< the start was answered; unset for a run that was only seen
    resources held; ///< counted against the worker and the customer
    std::string customer;
    std::string checkpoint;
    int percent = 0;
    instant progressAt; ///< when `percent` last changed
    double usage = 0; ///< tail latency in ms of a serving run
    int speedPercent = 100; ///< share in percent at which it may work
    bool longRunning = false;
    bool serving = false; ///< has a bound on its tail latency
    milliseconds tailTarget {0};
    bool bestEffort = false;
    std::string ticket; ///< sent with its start
    int orders = 0; ///< starts sent for this run
    bool callPending = false; ///< a start or stop is on its way
    bool stopAnswered = false;
    instant stopSentAt;
    bool missingFromReport =
        false; ///< a report did not list it; removed if the next does not either
};

enum class task_phase : std::uint8_t { waiting, placed, done };

struct task_entry
{
    task_phase phase = task_phase::waiting;
    /// Runs that ended `failed`. After a take-over ends are learned in any order and more than
    /// once; the members of a gang share a run.
    std::set<std::int64_t> failedRuns;
    std::int64_t startsInTerm = 0; ///< runs ordered by this coordinator
    std::int64_t currentRun = 0; ///< the run that counts; 0: none
    std::string checkpoint;
    instant notBefore; ///< back-off, or a run of an earlier coordinator may exist until then
    std::string avoidWorker; ///< where the last run failed or stood still
};

struct occurrence_entry
{
    std::vector<std::vector<task_entry>> steps;
    std::vector<int> unfinished; ///< tasks of each step that are not done
    int unfinishedTasks = 0;
};

/// Tickets of the advice service for one step.
struct step_tickets
{
    std::map<std::string, std::string> ticketByWorker;
    instant validUntil;
    bool asked = false; ///< a call is in progress
    instant nextRequestAt;
};

struct job_entry
{
    std::string id;
    std::string queue;
    std::string pool; ///< of its queue when it was accepted
    std::string customer; ///< empty on a queue open to all
    job_spec spec;
    std::int64_t acceptedWallMs = 0;
    instant submittedAt; ///< first attempt that this coordinator saw
    instant objectiveAt; ///< completion after this is late
    milliseconds criticalPath {0}; ///< estimated longest chain of work
    double work = 0; ///< estimated core-milliseconds of all its tasks
    job_state state = job_state::queued;
    bool stored = false; ///< accepted: the record is in the store
    bool inherited = false; ///< tasks may run under an earlier coordinator's leases
    bool begun = false; ///< a task has been ordered to start
    bool ending = false; ///< its final state is being stored; nothing starts any more
    bool longRunning = false;
    std::map<int, occurrence_entry> occurrences; ///< due and not complete
    std::set<int> completeOccurrences;
    int nextOccurrence = 0;
    std::map<std::pair<int, int>, step_tickets> tickets; ///< by occurrence and step
    std::string failureReason;
};

/// What is known of one worker.
struct worker_status
{
    worker_entry entry;
    bool registered = true; ///< the registry lists it
    bool verified = false; ///< a look of this coordinator was answered, and no call failed since
    bool contacted = false; ///< a look of this coordinator was answered at least once
    std::int64_t incarnation = 0; ///< `incarnation` of the life that reported last
    std::int64_t clockAtReport = 0; ///< worker's clock, ms
    instant reportAt; ///< when `clockAtReport` was received
    instant leasesEndBy; ///< no run of this coordinator outlives this without a renewal
    std::int64_t processedEnd = 0; ///< highest end applied to the tables
    std::int64_t storedEnd = 0; ///< highest end whose meaning is in the store
    std::int64_t acknowledgedEnd = 0; ///< highest end that the worker was told to forget
    bool hasMixedWorkloads = false; ///< serving runs share it with filling ones
    bool pollInProgress = false;
    instant pollSentAt;
    instant nextPollAt;
    int failedPolls = 0; ///< in a row
    instant unreachableSince; ///< of the first failed look in a row
    resources held;
    std::set<run_key> runs;
    instant drainingSince;
    bool onRoster = false; ///< the stored roster names it; required before a start
    bool maintenanceDue = false; ///< its host will go down for maintenance
    bool cordoned = false; ///< gets no new tasks: planned work
    instant nextThrottlingAt;
    double failureScore = 0; ///< decayed count of runs that failed here
    double successScore = 0; ///< decayed count of runs that ended well here
    instant quarantinedUntil;
    double runTimeRatio = 1; ///< learned ratio of run times to those of other workers
};

/// Learned about a queue's tasks.
struct queue_statistics
{
    double meanRunMs = 0; ///< of runs that ended `done`
    double meanRatio = 1; ///< of run time to the caller's estimate
    int samples = 0;
};

/// All that the coordinator knows. Plain data; changed by free functions and the coordinator.
struct fleet_tables
{
    configuration config;
    std::map<std::string, const queue_config *> queues; ///< into `config`
    std::map<std::string, job_entry> jobs; ///< live
    std::map<std::string, std::pair<job_state, std::int64_t>> ended; ///< state and wall time, ms
    std::map<run_key, run_entry> runs;
    std::map<std::string, worker_status> workers;
    std::map<std::string, resources> customerHeld;
    std::map<std::string, queue_statistics> statistics; ///< by queue
    std::map<std::string, host_entry> hosts;
    instant hostsReadAt; ///< when the list of hosts was asked for; epoch: never
};

/// Returns the queue that serves a path, by host name and longest prefix; null if there is none.
/// Thread-safe for a constant configuration.
[[nodiscard]] const queue_config *findQueue(const configuration &config, std::string_view host,
                                            std::string_view path) noexcept;

/// Replaces the configuration and the index into it.
void setConfiguration(fleet_tables &tables, configuration config);

/// Returns the first problem of a job's description, or nothing. Thread-safe.
[[nodiscard]] std::optional<std::string> findProblem(const job_spec &spec);

/// Returns the longest chain of run times over the steps, each task taking `runTime(step)`.
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

/// Makes the tasks of occurrences that are due at `wallMs`. Returns true if there are new ones.
bool openDueOccurrences(job_entry &job, std::int64_t wallMs);

/// Returns the wall time at which the next occurrence is due; nothing if all are open.
[[nodiscard]] std::optional<std::int64_t> nextDueMs(const job_entry &job);

/// Returns true if the earlier steps of `step` are done.
[[nodiscard]] bool isStepReady(const job_spec &spec, const occurrence_entry &occurrence, int step);

/// Returns the task, or null if the job or task is not live. Not thread-safe.
[[nodiscard]] task_entry *findTask(fleet_tables &tables, const task_name &name);

/// Marks a task as done. Returns true if that completed the whole job. Precondition: it is not
/// done.
bool finishTask(job_entry &job, const task_name &name);

/// Enters a run and counts what it holds against its worker and its customer.
run_entry &addRun(fleet_tables &tables, run_entry run);

/// Removes a run and returns what it held.
void removeRun(fleet_tables &tables, const run_key &key);

/// What a run of a step holds on its worker: a filling step uses only spare processor time.
[[nodiscard]] resources heldBy(const step_spec &step) noexcept;

/// Returns the expected run time of a task in ms, from the caller's estimate and what was learned.
[[nodiscard]] double expectedRunMs(const fleet_tables &tables, const std::string &queue,
                                   const step_spec &step);

} // namespace ibishinge::fleet
