#pragma once

#include <ibishinge/fleet/tables.h>

namespace ibishinge::fleet {

/// Counts a successful run of a worker. Not thread-safe.
void recordRunSuccess(worker_status &worker);

/// Counts a failed run of a worker. If failures prevail, the worker is quarantined, so that it gets
/// no new tasks for a while, unless too many workers of its pool are quarantined already. Not
/// thread-safe.
void recordRunFailure(fleet_tables &tables, worker_status &worker, instant now);

/// Updates the run time statistics of the queue and of the worker with a run that ended `done`.
/// `fromStart` is false if the run resumed from a checkpoint; such a run is ignored. Not
/// thread-safe.
void learnRunTime(fleet_tables &tables, worker_status &worker, const std::string &queue,
                  const step_spec &step, milliseconds duration, bool fromStart);

/// Updates whether serving and best-effort runs share the worker. Not thread-safe.
void updateMixedWorkloads(const fleet_tables &tables, worker_status &worker);

} // namespace ibishinge::fleet
