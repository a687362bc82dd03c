#pragma once

#include <ibishinge/fleet/tables.h>

#include <limits>
#include <map>
#include <string>
#include <vector>

namespace ibishinge::fleet {

/// A step with tasks that wait. Valid until the job is erased.
struct waiting_step
{
    job_entry *job = nullptr;
    int occurrence = 0;
    int step = 0;
};

/// The workers of one pool during one pass. Valid until a worker is erased.
struct pool_candidates
{
    std::vector<worker_status *> usable;
    /// No worker has more room than this, by component. Room only shrinks during a pass, so that
    /// larger needs are not tried: a full pool would cost a look at each worker for each waiting
    /// step.
    resources maxFreeResources {std::numeric_limits<std::int64_t>::max(),
                                std::numeric_limits<std::int64_t>::max(),
                                std::numeric_limits<std::int64_t>::max()};
};

/// Returns by pool the steps that can start now, first come those to be served first.
[[nodiscard]] std::map<std::string, std::vector<waiting_step>> waitingSteps(fleet_tables &tables,
                                                                            instant now);

/// Returns by pool the workers that can be given new tasks.
[[nodiscard]] std::map<std::string, pool_candidates> candidatesByPool(fleet_tables &tables,
                                                                      instant now);

/// Returns true if the worker can be given new tasks.
[[nodiscard]] bool isUsable(const worker_status &worker, instant now) noexcept;

/// Returns true if the customer's limit leaves room for `need`.
[[nodiscard]] bool isWithinLimit(const fleet_tables &tables, const std::string &customer,
                                 const resources &need);

/// Chooses the worker for one task; null if none has room. `tickets` limits the choice if not null.
[[nodiscard]] worker_status *chooseWorker(const fleet_tables &tables, pool_candidates &candidates,
                                          const waiting_step &where, const task_entry &task,
                                          const step_tickets *tickets);

} // namespace ibishinge::fleet
