#pragma once

#include <ibishinge/fleet/tables.h>

namespace ibishinge::fleet {

/// Counts a run that ended well for its worker.
void recordRunSuccess(worker_status &worker);

/// Counts a failed run against its worker and sets the worker aside for a while if failures prevail
/// there, unless too many of its pool are set aside already.
void recordRunFailure(fleet_tables &tables, worker_status &worker, instant now);

/// Learns from the duration of a run that ended `done`. `fromStart`: it did not resume from a
/// checkpoint.
void learnRunTime(fleet_tables &tables, worker_status &worker, const std::string &queue,
                  const step_spec &step, milliseconds duration, bool fromStart);

/// Notes whether serving and filling runs share the worker.
void updateMixedWorkloads(const fleet_tables &tables, worker_status &worker);

} // namespace ibishinge::fleet
