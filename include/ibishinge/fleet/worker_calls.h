#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/fleet/types.h>

#include <functional>

namespace ibishinge::fleet {

/// Receives the result of a call, exactly once and on the thread of the event loop.
template <class T>
using reply = std::function<void(result<T>)>;

/// Asynchronous calls to workers.
///
/// Functions return immediately; replies arrive on the thread of the event loop. Not thread-safe:
/// all calls must be made on that thread. Errors: `unavailable` if the call certainly had no
/// effect, `outcome_unknown` if it had an effect or may still have one.
class worker_calls
{
public:
    virtual ~worker_calls() = default;

    /// Starts a run of a task.
    virtual void startRun(const worker_entry &worker, const run_order &order,
                          reply<run_command_reply> done) = 0;
    /// Stops a run of a task.
    virtual void stopRun(const worker_entry &worker, const task_name &task, std::int64_t run,
                         std::int64_t fencingToken, reply<run_command_reply> done) = 0;
    /// Sets the share, in percent, of its full speed at which a run may work.
    virtual void throttleRun(const worker_entry &worker, const task_name &task, std::int64_t run,
                             int percent, std::int64_t fencingToken,
                             reply<run_command_reply> done) = 0;
    /// Reads the running and ended runs of a worker; waits up to `order.wait` for an end.
    virtual void poll(const worker_entry &worker, const poll_request &order,
                      reply<worker_report> done) = 0;
};

} // namespace ibishinge::fleet
