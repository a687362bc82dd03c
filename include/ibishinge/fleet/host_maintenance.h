#pragma once

#include <ibishinge/fleet/tables.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ibishinge::fleet {

enum class maintenance_phase : std::uint8_t {
    waiting, ///< not yet chosen
    evacuating, ///< its tasks end or move away
    ordered, ///< the order was sent, its outcome is not known
    in_maintenance, ///< accepted; the host is down
    finished,
};

/// Maintenance of one host in a wave.
struct host_maintenance
{
    maintenance_phase step = maintenance_phase::waiting;
    instant since; ///< of the step
};

struct wave_progress
{
    maintenance_wave wave;
    instant dueAt;
    std::map<std::string, host_maintenance> hosts;
    bool known = false; ///< what an earlier coordinator did was read
    bool completed = false;
};

struct maintenance_state
{
    std::map<std::int64_t, wave_progress> waves;
};

/// Returns the next hosts of a wave to empty, at most as many as may be away at once and one ahead.
/// Prefers hosts whose workers hold least, so that little work has to move, and leaves those of
/// busy pools until the deadline presses. Hosts in `moving` are on their way to a pool that needs
/// them. `timePerHost`: from emptying a host to its return.
[[nodiscard]] std::vector<std::string> hostsToEvacuate(fleet_tables &tables,
                                                       const wave_progress &progress,
                                                       const std::set<std::string> &busyPools,
                                                       const std::set<std::string> &moving,
                                                       milliseconds timePerHost, instant now);

/// Returns the worker that runs on a host, or null.
[[nodiscard]] worker_status *workerOf(fleet_tables &tables, const std::string &host);

/// Returns true if nothing runs on the worker for certain: it has told this coordinator so, or the
/// leases of an earlier one have run out. A worker that was not asked yet only seems empty.
[[nodiscard]] bool isConfirmedIdle(const worker_status &worker, instant now) noexcept;

/// Returns how many hosts of the wave are or may be down for their maintenance.
[[nodiscard]] int countUnavailableHosts(const wave_progress &progress);

/// Marks the workers whose hosts are due for maintenance or being emptied.
void markMaintenance(fleet_tables &tables, const maintenance_state &state);

/// Returns how many lasting tasks of a step are not known to be at work: waiting, starting, not at
/// full percentage, or on a worker that has not reported lately.
[[nodiscard]] int countUnavailableTasks(const fleet_tables &tables, const job_entry &job,
                                        int occurrence, int step, instant now);

/// Returns true if planned work may end this run now without breaking the bound of its step.
[[nodiscard]] bool mayInterrupt(const fleet_tables &tables, const run_entry &run, instant now);

} // namespace ibishinge::fleet
