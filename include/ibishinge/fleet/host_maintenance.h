#pragma once

#include <ibishinge/fleet/tables.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ibishinge::fleet {

/// Phase of the maintenance of a host.
enum class maintenance_phase : std::uint8_t {
    waiting, ///< not selected yet
    evacuating, ///< gets no new tasks; its tasks end or are moved to other hosts
    ordered, ///< maintenance was requested and the outcome is not known
    in_maintenance, ///< the request was accepted; the host is down
    finished,
};

/// Whether the record of the wave in the store says that an order to the host may have been sent.
enum class order_record : std::uint8_t {
    none,
    being_written,
    stored, ///< the order may be sent
};

/// Maintenance of one host in a wave.
struct host_maintenance
{
    maintenance_phase step = maintenance_phase::waiting;
    instant since; ///< when the phase began
    order_record recorded = order_record::none;
};

/// State of a maintenance wave.
struct wave_progress
{
    maintenance_wave wave;
    instant dueAt; ///< deadline of the wave
    std::map<std::string, host_maintenance> hosts; ///< by host name
    bool known = false; ///< the record of the wave by earlier coordinators has been read
    bool completed = false; ///< maintenance of all hosts is finished
};

/// State of all maintenance waves.
struct maintenance_state
{
    std::map<std::int64_t, wave_progress> waves; ///< by number of the wave
};

/// Returns the next hosts of a wave to evacuate. Evacuates at most as many hosts as may be down at
/// the same time and one more, so that the next host is ready when one returns. Prefers hosts whose
/// workers hold the fewest processors, so that little work has to be moved, and skips hosts of
/// `busyPools` until the deadline is near. Hosts in `moving` are skipped, as they are being moved
/// to a pool that needs them. `timePerHost` is the time from the evacuation of a host to its
/// return. Not thread-safe.
[[nodiscard]] std::vector<std::string> hostsToEvacuate(fleet_tables &tables,
                                                       const wave_progress &progress,
                                                       const std::set<std::string> &busyPools,
                                                       const std::set<std::string> &moving,
                                                       milliseconds timePerHost, instant now);

/// Returns the worker that runs on a host; null if the host or its worker is not known. Not
/// thread-safe.
[[nodiscard]] worker_status *workerOf(fleet_tables &tables, const std::string &host);

/// Returns true if it is certain that nothing runs on the worker and that it holds no end whose
/// effects are not in the store: it has reported so to this coordinator, or it cannot be reached
/// and its leases have expired. A worker that has not answered yet may have runs although none is
/// known. Thread-safe for a constant worker.
[[nodiscard]] bool isConfirmedIdle(const worker_status &worker, instant now) noexcept;

/// Returns the number of hosts of the wave that are or may be down for maintenance, whichever
/// coordinator ordered it: those with an order, those whose order is or may be recorded, and those
/// that the platform lists as in maintenance. Thread-safe for constant arguments.
[[nodiscard]] int countUnavailableHosts(const fleet_tables &tables, const wave_progress &progress);

/// Sets `maintenanceDue` of the workers whose hosts are part of an unfinished wave, and `cordoned`
/// of those whose maintenance has begun; clears both for all other workers. Not thread-safe.
void markMaintenance(fleet_tables &tables, const maintenance_state &state);

/// Returns the number of long-running tasks of a step that may be unavailable: those waiting,
/// starting, below full percentage, or on a worker that has not reported recently. Thread-safe for
/// constant arguments.
[[nodiscard]] int countUnavailableTasks(const fleet_tables &tables, const job_entry &job,
                                        int occurrence, int step, instant now);

/// Returns true if planned work may end this run now without exceeding `step_spec::maxUnavailable`
/// of its step; a limit of 0 counts as 1. Thread-safe for constant arguments.
[[nodiscard]] bool mayInterrupt(const fleet_tables &tables, const run_entry &run, instant now);

} // namespace ibishinge::fleet
