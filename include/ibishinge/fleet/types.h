#pragma once

#include <ibishinge/base/boot_clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibishinge::fleet {

using std::chrono::milliseconds;

/// Resources that a worker offers or that a task needs.
struct resources
{
    std::int64_t cpuMillis = 0; ///< thousandths of a core
    std::int64_t memoryMb = 0; ///< megabytes
    std::int64_t accelerators = 0;

    friend bool operator==(const resources &, const resources &) = default;
};

/// Component-wise sum. Thread-safe.
[[nodiscard]] constexpr resources operator+(const resources &a, const resources &b) noexcept
{
    return {a.cpuMillis + b.cpuMillis, a.memoryMb + b.memoryMb, a.accelerators + b.accelerators};
}

/// Component-wise difference; components may become negative. Thread-safe.
[[nodiscard]] constexpr resources operator-(const resources &a, const resources &b) noexcept
{
    return {a.cpuMillis - b.cpuMillis, a.memoryMb - b.memoryMb, a.accelerators - b.accelerators};
}

/// Returns true if no component of `need` exceeds that of `available`. Thread-safe.
[[nodiscard]] constexpr bool fits(const resources &need, const resources &available) noexcept
{
    return need.cpuMillis <= available.cpuMillis && need.memoryMb <= available.memoryMb
           && need.accelerators <= available.accelerators;
}

/// One step of a job: a number of tasks with the same requirements.
struct step_spec
{
    int count = 1; ///< number of tasks
    resources need; ///< of each task
    milliseconds estimate {0}; ///< run time of a task as estimated by the caller; often inaccurate
    /// Indexes of earlier steps that must be complete before this one starts.
    std::vector<int> after;
    bool checkpoints = false; ///< a stopped task can resume from its checkpoint
    bool gang = false; ///< gang scheduling: the tasks make progress only while all of them run
    bool sameRack = false; ///< tasks run more slowly if they are spread over several racks
    std::string requiredLabel; ///< label that the worker must have; empty: any worker
    std::string dataRack; ///< rack that holds the task's data, where it runs faster; empty: none
    int maxPerWorker = 0; ///< tasks of this step on one worker; 0: no limit
    /// Speculative execution: several runs of a task may overlap, and the first to end counts.
    bool speculationAllowed = false;
    /// A task runs until it is cancelled and is restarted whenever it ends.
    bool longRunning = false;
    std::string image; ///< tasks of the same image interfere with others in the same way
    /// Upper limit of the tail latency of a serving task; 0: not a serving task.
    milliseconds tailTarget {0};
    /// The tasks use spare processor time only and are not counted against `cpuMillis`.
    bool bestEffort = false;
    /// Long-running tasks that planned work may make unavailable at the same time.
    int maxUnavailable = 0;
};

/// A job as submitted by a caller.
struct job_spec
{
    std::string payload; ///< opaque to the scheduler, at most `maxPayloadBytes`
    std::vector<step_spec> steps;
    int repetitions = 0; ///< number of occurrences; 0: the job runs once, immediately
    /// Wall time at which occurrence 0 is due, milliseconds since 1970.
    std::int64_t firstDueMs = 0;
    std::int64_t intervalMs = 0; ///< milliseconds between occurrences
};

/// Maximum size of a job's payload in bytes, as set by the protocol of the callers.
inline constexpr std::size_t maxPayloadBytes = 4000;
inline constexpr std::size_t maxSteps = 64; ///< of a job

/// Duration of calls to the advice service, which tells which workers may run a step; see
/// `queue_config::advice`.
struct advice_config
{
    milliseconds decide {0}; ///< fixed part of a call's duration
    milliseconds each {0}; ///< added to the duration for each worker named in the call
    milliseconds validity {0}; ///< how long a ticket is valid
};

/// Configuration of a queue.
struct queue_config
{
    std::string name;
    std::string host; ///< host name in the requests of callers
    std::string prefix; ///< prefix of the request paths that belong to the queue
    std::string pool; ///< pool whose workers run the tasks
    int priority = 0; ///< 0 is the highest priority
    int maxAttempts = 1; ///< failed runs of a task after which its job has failed
    /// The objective of a job is its critical path times this factor, plus `objectiveSlack`.
    double objectiveFactor = 1;
    milliseconds objectiveSlack {0}; ///< added to the product of critical path and factor
    bool openToAll = false; ///< callers need no key
    std::optional<advice_config> advice;
};

/// Configuration of a pool of workers.
struct pool_config
{
    std::string name;
    /// Workers themselves reject a task that exceeds their free capacity.
    bool workersEnforceCapacity = true;
    bool spare = false; ///< a reserve pool: its hosts are switched off and cost nothing
};

/// Configuration of a customer.
struct customer_config
{
    std::string name;
    std::vector<std::string> keys; ///< API keys that identify the customer
    double weight = 1; ///< relative share under overload; 0: only what others leave
    /// Upper limit of the resources of all its running tasks; a component of 0 is unlimited.
    resources limit;
};

/// A field of the configuration whose invalid value leaves the rest of the document valid.
enum class configuration_field : std::uint8_t { priority, weight };

/// A field of a configuration document that has no valid value.
struct invalid_field
{
    configuration_field field = configuration_field::priority;
    std::string path; ///< of the field in the document, as a JSON pointer
    std::string entity; ///< name of the queue or customer
    std::string reason;
};

/// One version of the configuration that the operators publish.
struct configuration
{
    std::int64_t version = 0;
    std::vector<queue_config> queues;
    std::map<std::string, pool_config> pools; ///< by name
    std::map<std::string, customer_config> customers; ///< by name
    std::map<std::string, std::string> customerOfKey; ///< name of the customer by API key
    /// Fields that have their defaults for want of a valid value.
    std::vector<invalid_field> invalidFields;
};

/// State of a worker in the registry.
enum class worker_state : std::uint8_t { ready, draining };

/// Entry of a worker in the registry, written by the worker.
struct worker_entry
{
    std::string id;
    std::string address; ///< "ip:port"
    std::string pool;
    std::string dataCentre;
    std::string host; ///< host that the worker runs on; empty: not reported
    worker_state state = worker_state::ready;
    resources capacity;
    std::vector<std::string> labels; ///< kind of host first, rack last
    /// Start time of this run of the worker process, which identifies it, in milliseconds since
    /// 1970; 0: not reported.
    std::int64_t incarnation = 0;
    milliseconds remaining {0}; ///< lower bound of the time until a draining worker exits
};

/// Identifies a task by job, occurrence, step and index in the step.
struct task_name
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend auto operator<=>(const task_name &, const task_name &) = default; // NOLINT
};

/// Request to a worker to start a run of a task.
struct run_order
{
    task_name task;
    std::int64_t run = 0; ///< number of the run; increases with each start of the task
    std::string payload;
    std::int64_t leaseUntil = 0; ///< end of the lease on the worker's clock, in milliseconds
    std::int64_t fencingToken = 0; ///< increases with each coordinator
    std::string checkpoint; ///< where to resume; empty: from the start
    std::string ticket; ///< ticket from the advice service; empty if none is needed
};

/// Answer of a worker to a request that starts, stops or changes a run.
enum class run_command_outcome : std::uint8_t {
    running, ///< the request was accepted, by this call or by an earlier one
    fenced, ///< rejected: the worker has seen a newer fencing token
    /// Rejected: a run with this number or a higher one has been stopped or has ended there.
    stale_run,
    lease_past, ///< rejected: the lease has already expired on the worker's clock
    no_capacity, ///< rejected: the task exceeds the free capacity
    bad_ticket, ///< rejected: the ticket is not valid
    unhealthy, ///< rejected: the worker is unhealthy and did nothing
    other_incarnation, ///< rejected: another worker process listens at that address
    invalid, ///< rejected: the request is invalid
};

/// Answer of a worker with its clock at that time.
struct run_command_reply
{
    run_command_outcome outcome = run_command_outcome::running;
    std::int64_t workerClockMs = 0; ///< 0: not reported
};

/// How a run ended.
enum class end_kind : std::uint8_t {
    done,
    failed,
    stopped,
    lease_expired,
    gang_broken,
    gang_incomplete
};

/// End of a run, as reported by the worker.
struct run_end
{
    /// Sequence number of the end in this run of the worker process, from 1.
    std::int64_t number = 0;
    task_name task;
    std::int64_t run = 0;
    end_kind kind = end_kind::failed;
    std::string checkpoint;
};

/// State of a running task, as reported by the worker.
struct running_task
{
    task_name task;
    std::int64_t run = 0;
    std::string checkpoint;
    int percent = 0; ///< progress of the task
    /// Tail latency in milliseconds of a serving task; processor usage of other tasks.
    double usage = 0;
};

/// State of a worker: the running tasks, and the runs that ended after the last acknowledged end.
struct worker_report
{
    std::int64_t workerClockMs = 0;
    std::int64_t incarnation = 0;
    std::vector<running_task> running;
    std::vector<run_end> ended;
    bool fenced = false; ///< the worker has seen a newer fencing token; the lists are empty
    /// Another worker process listens at that address; the lists are empty.
    bool otherIncarnation = false;
};

/// Length at which a worker truncates the list of ends in its report. It lists the further ends
/// once those before them are acknowledged.
inline constexpr std::size_t maxReportedEnds = 500;

/// Returns true if the worker may have ends that the report does not list. Thread-safe for a
/// constant report.
[[nodiscard]] inline bool isTruncated(const worker_report &report) noexcept
{
    return report.ended.size() >= maxReportedEnds;
}

/// Request for the state of a worker, which also renews leases and acknowledges ends.
struct poll_request
{
    /// New end of the leases on the worker's clock, milliseconds; 0: leases are not renewed.
    std::int64_t leaseUntil = 0;
    std::int64_t fencingToken = 0;
    std::int64_t acknowledgedEnd = 0; ///< the worker forgets ends up to this number
    milliseconds wait {0}; ///< how long the worker may delay the answer until a run ends
    /// The caller knows the ends up to this number of the worker process `knownIncarnation`, so
    /// that a relay need not repeat them.
    std::int64_t knownEnd = 0;
    std::int64_t knownIncarnation = 0;
};

/// State of a host as listed by the platform.
enum class host_state : std::uint8_t { up, moving, maintenance, down };

/// A host as listed by the platform's machine interface.
struct host_entry
{
    std::string name;
    std::string pool;
    host_state state = host_state::up;
    std::vector<std::string> labels;
    resources capacity;
    std::string worker; ///< id of the worker on the host; empty: none
    std::string dataCentre {}; ///< empty: not reported
};

/// Answer of the platform to a request for maintenance or a move of a host.
enum class host_order_outcome : std::uint8_t { accepted, fenced, busy, not_of_wave, invalid };

/// Maintenance of a group of hosts, requested by the operators.
struct maintenance_wave
{
    std::int64_t number = 0;
    std::vector<std::string> hosts;
    milliseconds deadline {0}; ///< counted from the time when the wave was written
    int maxConcurrent = 1; ///< hosts that may be down at the same time
};

} // namespace ibishinge::fleet
