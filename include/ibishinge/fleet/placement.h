#pragma once

#include <ibishinge/fleet/tables.h>

#include <functional>
#include <string>
#include <vector>

namespace ibishinge::fleet {

/// A step with tasks that wait, in the order in which steps are served.
struct waiting_step
{
    std::string job;
    int occurrence = 0;
    int step = 0;
};

/// Returns the steps of a pool that can start now, first come those to be served first.
[[nodiscard]] std::vector<waiting_step> waitingSteps(const fleet_tables &tables,
                                                     const std::string &pool, instant now);

/// Returns true if the worker can be given new tasks.
[[nodiscard]] bool isUsable(const worker_status &worker, instant now) noexcept;

/// Returns true if the customer's limit leaves room for `need`.
[[nodiscard]] bool isWithinLimit(const fleet_tables &tables, const std::string &customer,
                                 const resources &need);

/// Chooses the worker for one task; null if none has room. `tickets` limits the choice if not null.
[[nodiscard]] worker_status *chooseWorker(fleet_tables &tables, const job_entry &job,
                                          const queue_rule &queue, const waiting_step &where,
                                          const task_entry &task, const step_tickets *tickets,
                                          instant now);

} // namespace ibishinge::fleet
