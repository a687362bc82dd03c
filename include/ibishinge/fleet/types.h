#pragma once

#include <ibishinge/base/boot_clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibishinge::fleet {

using std::chrono::milliseconds;

/// An amount of what a worker offers or a task needs.
struct resources
{
    std::int64_t cpuMillis = 0; ///< thousandths of a core
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    friend bool operator==(const resources &, const resources &) = default;
};

/// Arithmetic by component. Thread-safe.
[[nodiscard]] constexpr resources operator+(const resources &a, const resources &b) noexcept
{
    return {a.cpuMillis + b.cpuMillis, a.memoryMb + b.memoryMb, a.accelerators + b.accelerators};
}

[[nodiscard]] constexpr resources operator-(const resources &a, const resources &b) noexcept
{
    return {a.cpuMillis - b.cpuMillis, a.memoryMb - b.memoryMb, a.accelerators - b.accelerators};
}

/// Returns true if `need` fits into `available` in each component. Thread-safe.
[[nodiscard]] constexpr bool fits(const resources &need, const resources &available) noexcept
{
    return need.cpuMillis <= available.cpuMillis && need.memoryMb <= available.memoryMb
           && need.accelerators <= available.accelerators;
}

/// One step of a job: tasks of the same shape.
struct step_spec
{
    int count = 1;
    resources need;
    milliseconds estimate {0}; ///< the caller's guess of a task's run time; often far off
    std::vector<int> after; ///< earlier steps that must be done first
    bool checkpoints = false; ///< a stopped task can resume from its checkpoint
    bool gang = false; ///< tasks work only while all of them run
    bool sameRack = false; ///< slower if spread over racks
    std::string requiredLabel; ///< label that the worker must have; may be empty
    std::string dataRack; ///< rack on which the task is fast; may be empty
    int maxPerWorker = 0; ///< 0: no bound
    bool speculationAllowed =
        false; ///< several runs of a task may overlap, the first to end counts
    bool longRunning = false; ///< runs until cancelled, and is restarted however it ends
    std::string image; ///< tasks of one image interfere alike
    milliseconds tailTarget {0}; ///< bound on the tail latency of a serving task; 0: none
    bool bestEffort =
        false; ///< uses spare processor time only and is not counted against `cpuMillis`
    int maxUnavailable = 0; ///< lasting tasks that planned work may keep away at once
};

/// What a caller asks for.
struct job_spec
{
    std::string payload; ///< opaque, at most `maxPayloadBytes`
    std::vector<step_spec> steps;
    int repetitions = 0; ///< 0: runs once, at once
    std::int64_t firstDueMs = 0; ///< wall time of occurrence 0, milliseconds since 1970
    std::int64_t intervalMs = 0; ///< between occurrences
};

/// Largest payload of a job, in bytes. From the callers' protocol.
inline constexpr std::size_t maxPayloadBytes = 4000;

/// Cost of asking which workers may run a step; see `queue_config::advice`.
struct advice_config
{
    milliseconds decide {0}; ///< for each call
    milliseconds each {0}; ///< for each worker named in the call
    milliseconds validity {0}; ///< of a ticket
};

/// A queue of the configuration.
struct queue_config
{
    std::string name;
    std::string host; ///< host name that callers use
    std::string prefix; ///< of the path
    std::string pool; ///< whose workers run the tasks
    int priority = 0; ///< 0 goes first
    int maxAttempts = 1; ///< failed runs of a task after which its job has failed
    double objectiveFactor = 1; ///< of the longest chain of work, for the objective
    milliseconds objectiveSlack {0}; ///< added to the stretched chain
    bool openToAll = false; ///< no key is required
    std::optional<advice_config> advice;
};

struct pool_config
{
    std::string name;
    bool workersEnforceCapacity = true; ///< a worker rejects a task that does not fit
    bool spare = false; ///< its hosts are switched off and cost nothing
};

struct customer_config
{
    std::string name;
    std::vector<std::string> keys;
    double weight = 1; ///< share when all is full, in jobs a second
    resources limit; ///< of all its running tasks; a component of 0 is no limit
};

/// One version of the operators' configuration.
struct configuration
{
    std::int64_t version = 0;
    std::vector<queue_config> queues;
    std::map<std::string, pool_config> pools;
    std::map<std::string, customer_config> customers;
    std::map<std::string, std::string> customerOfKey;
};

enum class worker_state : std::uint8_t { ready, draining };

/// What a worker says of itself in the registry.
struct worker_entry
{
    std::string id;
    std::string address; ///< "ip:port"
    std::string pool;
    std::string dataCentre;
    std::string host; ///< the machine that it runs on, if told
    worker_state state = worker_state::ready;
    resources capacity;
    std::vector<std::string> labels; ///< kind and rack
    std::int64_t incarnation =
        0; ///< start of this life of the worker, milliseconds since 1970; 0: not told
    milliseconds remaining {0}; ///< least time left while it drains
};

/// Name of one task: job, occurrence, step and index.
struct task_name
{
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend auto operator<=>(const task_name &, const task_name &) = default; // NOLINT
};

/// Order to start a run of a task.
struct run_order
{
    task_name task;
    std::int64_t run = 0; ///< rises with each start of the task
    std::string payload;
    std::int64_t leaseUntil = 0; ///< on the worker's clock, in ms
    std::int64_t fencingToken = 0;
    std::string checkpoint;
    std::string ticket; ///< from the advice service; empty if none is needed
};

enum class run_command_outcome : std::uint8_t {
    running, ///< accepted, now or by an earlier call
    fenced, ///< a newer coordinator has been seen
    stale_run, ///< a run at least as high was stopped or has ended there
    lease_past, ///< the lease time lies in the past
    no_capacity,
    bad_ticket,
    unhealthy, ///< nothing was done
    other_incarnation, ///< another worker listens there
    invalid,
};

struct run_command_reply
{
    run_command_outcome outcome = run_command_outcome::running;
    std::int64_t workerClockMs = 0; ///< 0: not told
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

struct run_end
{
    std::int64_t number = 0; ///< counts the ends of this life of the worker, from 1
    task_name task;
    std::int64_t run = 0;
    end_kind kind = end_kind::failed;
    std::string checkpoint;
};

struct running_task
{
    task_name task;
    std::int64_t run = 0;
    std::string checkpoint;
    int percent = 0;
    double usage = 0; ///< tail latency in ms of a serving task, processor use of any other
};

/// A worker's answer to a look: what runs and what has ended since `acknowledgedEnd`.
struct worker_report
{
    std::int64_t workerClockMs = 0;
    std::int64_t incarnation = 0;
    std::vector<running_task> running;
    std::vector<run_end> ended;
    bool fenced = false; ///< a newer coordinator has been seen; the lists are empty
    bool otherIncarnation = false; ///< another worker listens there; the lists are empty
};

struct poll_request
{
    std::int64_t leaseUntil = 0; ///< on the worker's clock; 0: leaves the leases alone
    std::int64_t fencingToken = 0;
    std::int64_t acknowledgedEnd = 0; ///< ends up to this number are forgotten
    milliseconds wait {0}; ///< for an end
};

enum class host_state : std::uint8_t { up, moving, maintenance, down };

/// A host as the platform's interface to machines shows it.
struct host_entry
{
    std::string name;
    std::string pool;
    host_state state = host_state::up;
    std::vector<std::string> labels;
    resources capacity;
    std::string worker; ///< id of the worker on it; may be empty
};

enum class host_order_outcome : std::uint8_t { accepted, fenced, busy, not_of_wave, invalid };

/// Maintenance that operators ask for.
struct maintenance_wave
{
    std::int64_t number = 0;
    std::vector<std::string> hosts;
    milliseconds deadline {0}; ///< from the time the wave was written
    int maxConcurrent = 1;
};

} // namespace ibishinge::fleet
