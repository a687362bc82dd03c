#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/fleet/types.h>

#include <functional>

namespace ibishinge::fleet {

/// Receives the result of a call, on the thread of the loop and exactly once.
template <class T>
using reply = std::function<void(result<T>)>;

/// Calls to workers, asynchronous.
///
/// Functions return at once; replies arrive on the thread of the loop. Not thread-safe: all calls
/// are made on that thread. Errors: `unavailable` if the call certainly had no effect,
/// `outcome_unknown` if it may have taken effect or still can.
class worker_calls
{
public:
    virtual ~worker_calls() = default;

    virtual void startRun(const worker_entry &worker, const run_order &order,
                          reply<run_command_reply> done) = 0;
    virtual void stopRun(const worker_entry &worker, const task_name &task, std::int64_t run,
                         std::int64_t fencingToken, reply<run_command_reply> done) = 0;
    virtual void throttleRun(const worker_entry &worker, const task_name &task, std::int64_t run,
                             int percent, std::int64_t fencingToken,
                             reply<run_command_reply> done) = 0;
    virtual void poll(const worker_entry &worker, const poll_request &order,
                      reply<worker_report> done) = 0;
};

} // namespace ibishinge::fleet
