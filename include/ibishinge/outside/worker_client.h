#pragma once

#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/error.h>
#include <ibishinge/base/time.h>
#include <ibishinge/decision/job_table.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge {

/// One attempt of a job.
struct task_key
{
    std::string pool;
    std::string job; ///< "<queue>/<id>"
    int attempt = 0;

    friend auto operator<=>(const task_key &,
                            const task_key &) = default; // NOLINT(modernize-use-nullptr)
};

enum class task_phase : std::uint8_t {
    running,
    checkpointing, ///< saves its progress and then stops
    done,
    failed,
    checkpointed, ///< stopped with its progress saved
    stopped, ///< stopped on request; progress since the last checkpoint is lost
    expired, ///< stopped because its lease expired
    never_began, ///< the worker will refuse to start this attempt
};

/// Returns the name of `phase` as used in the protocol. Thread-safe.
[[nodiscard]] std::string_view nameOf(task_phase phase) noexcept;
/// Returns true if the task no longer runs. Thread-safe.
[[nodiscard]] bool hasEnded(task_phase phase) noexcept;

/// What a worker is asked to start.
struct task_start
{
    task_key task;
    std::string team;
    bool repeatable = false;
    resources reserved; ///< the task gets no more than this
    std::string payload;
    std::string checkpoint; ///< to resume from; "" to begin anew
    std::string workerIncarnation; ///< a worker that was restarted since refuses
    wall_time leaseUntil; ///< the worker stops the task at this time
    wall_time notAfter; ///< the worker refuses from this time on
};

struct start_reply
{
    bool accepted = false; ///< false: this attempt has not begun by this call
    std::string reason;
};

struct task_report
{
    task_key task;
    task_phase phase = task_phase::running;
    resources reserved;
    std::optional<resources> used; ///< lags behind the actual use
    milliseconds ran {0};
    std::string checkpoint; ///< last one saved
    std::string reason; ///< of a failure
};

/// A worker and the tasks of one pool at it.
struct worker_report
{
    std::string incarnation; ///< differs for each run of the worker
    resources capacity;
    resources others; ///< reserved by the tasks of other pools
    bool leaving = false; ///< refuses new tasks
    std::vector<task_report> tasks; ///< running, and ended ones until they are forgotten
};

struct lease_renewal
{
    std::string pool;
    std::vector<task_key> tasks; ///< whose leases are extended
    wall_time leaseUntil; ///< an earlier time than the present one has no effect
    std::vector<task_key> forget; ///< ended tasks whose result has been recorded
};

/// Calls workers. Implementations are thread-safe and block.
///
/// Errors of all functions: `unavailable` if no byte was sent, so that the call had no effect;
/// `target_timeout` and `target_failed` if it may have had an effect.
class worker_client
{
public:
    virtual ~worker_client() = default;

    /// Starts an attempt. Repeating the call for an attempt that runs is accepted.
    [[nodiscard]] virtual result<start_reply> start(const endpoint &worker, const task_start &task,
                                                    std::chrono::milliseconds timeout) = 0;

    /// Extends the leases of all given tasks and returns what `status` returns.
    [[nodiscard]] virtual result<worker_report> renew(const endpoint &worker,
                                                      const lease_renewal &renewal,
                                                      std::chrono::milliseconds timeout) = 0;

    /// Stops an attempt. One that the worker does not know is marked, so that a late start of it is
    /// refused; the report then has the phase `never_began`.
    [[nodiscard]] virtual result<task_report> stop(const endpoint &worker, const task_key &task,
                                                   std::chrono::milliseconds timeout) = 0;

    /// Asks a task to save its progress and to stop then.
    [[nodiscard]] virtual result<task_report>
    checkpoint(const endpoint &worker, const task_key &task, std::chrono::milliseconds timeout) = 0;

    /// Changes what a task may use. Errors: also `conflict` if the worker has no room for it.
    [[nodiscard]] virtual result<task_report> throttle(const endpoint &worker, const task_key &task,
                                                       const resources &reserved,
                                                       std::chrono::milliseconds timeout) = 0;

    [[nodiscard]] virtual result<worker_report>
    status(const endpoint &worker, const std::string &pool, std::chrono::milliseconds timeout) = 0;
};

} // namespace ibishinge
