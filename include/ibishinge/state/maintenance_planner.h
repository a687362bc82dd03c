#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/decision/maintenance.h>
#include <ibishinge/outside/kv_store.h>
#include <ibishinge/state/host_record.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ibishinge {

/// What one process has observed of a host, from the host list and the worker's reports.
struct host_observation
{
    host_condition condition = host_condition::unknown;
    std::optional<wall_time> healthySince; ///< start of the current run of good reports
    std::int64_t runningWork = 0;
    wall_time workEndsAt; ///< expected end of the running work
    wall_time workReportedAt; ///< time of the report
    std::vector<host_service> services;
};

/// What a tick depends on besides the store. Hosts without an observation are unknown.
struct planner_input
{
    const catalogue *config = nullptr; ///< not null
    std::int64_t catalogueVersion = 0;
    std::uint64_t hostListVersion = 0;
    std::map<std::string, host_observation> hosts;
    std::map<std::string, std::int64_t> slotsInUse; ///< by service
};

struct planner_options
{
    /// Differs for each run of a process, so that a write can be recognized when it is read back.
    std::string id;
    maintenance_settings settings;
    /// Longest time between two reads of all host records. They change without a change of the
    /// record of stops only when an operator asks for a drain or adds or removes a host.
    std::chrono::seconds hostReadInterval {60};
    /// Returns the guard for writes to host records of a pool; none if unset.
    std::function<std::optional<write_guard>(const std::string &pool)> ownerGuard;
};

/// Plans stops and moves against the store. Any number of planners may run at the same time; one
/// that was paused finds its writes refused.
///
/// \code
/// auto planner = maintenance_planner::create(store, {incarnation, settings, 60s, {}});
/// const auto done = planner->tick(input, moves, clock.wallNow());
/// \endcode
///
/// Not thread-safe. Errors of all members that call the store: those of the store; `conflict` if
/// another planner wrote first; `not_ready` if the input is older than the record; and
/// `invalid_request` for a record that cannot be read. After any error the next tick starts over
/// from what the store holds.
class maintenance_planner
{
public:
    /// Precondition: `store` outlives the planner; `options.id` is a valid name.
    [[nodiscard]] static std::unique_ptr<maintenance_planner> create(kv_store &store,
                                                                     planner_options options);

    /// Runs the three steps below: 1 or 2 reads, and 1 write for each kind of record that changes.
    [[nodiscard]] result<void> tick(const planner_input &input,
                                    const std::vector<proposed_move> &moves, wall_time now);

    /// Reads the record of stops, and the host records if they may have changed.
    [[nodiscard]] result<void> refresh(wall_time now);

    /// Takes the record of stops to its next state, in one conditional write if that differs.
    /// Precondition: a successful `refresh` since the last error.
    [[nodiscard]] result<void> writeStops(const planner_input &input,
                                          const std::vector<proposed_move> &moves, wall_time now);

    /// Writes the new pool of hosts whose move has stopped, and the time of maintenance of hosts
    /// that have returned; one conditional write for each host, in batches.
    [[nodiscard]] result<void> writeHosts();

    /// Returns what the last `refresh` and write have shown.
    [[nodiscard]] const stops_record &record() const noexcept;
    [[nodiscard]] maintenance_view viewOf(const planner_input &input) const;

private:
    struct known_host
    {
        host_record record;
        store_revision revision = 0;
    };

    maintenance_planner(kv_store &store, planner_options options);

    [[nodiscard]] result<void> readStops();
    [[nodiscard]] result<void> readHosts(wall_time now);
    [[nodiscard]] result<void> noteStops(const std::optional<kv_entry> &entry);
    [[nodiscard]] result<void> commitStops(stops_record next);
    [[nodiscard]] result<void>
    writeSome(const std::vector<std::pair<std::string, host_record>> &changes, std::size_t first);

    kv_store &m_store;
    const planner_options m_options;
    stops_record m_record;
    store_revision m_revision = 0;
    bool m_isKnown = false; ///< `m_record` was in the store when it was last read or written
    std::map<std::string, known_host> m_hosts;
    std::optional<wall_time> m_hostsReadAt;
    std::int64_t m_hostsReadChanges = 0; ///< `hostChanges` of the record at the last read
    std::int64_t m_writes = 0;
};

/// Asks for a host to be taken out of service, or back into it: one read and one write. Errors:
/// `unknown_entity`, `conflict`, `invalid_request` and those of the store; on `outcome_unknown` the
/// call may be repeated.
[[nodiscard]] result<void> setHostState(kv_store &store, const std::string &host, host_state state);

/// Lets a halted wave go on: one read and one write. `writer` is a valid name that is unique to the
/// call. Errors as of `setHostState`.
[[nodiscard]] result<void> resumeHaltedWave(kv_store &store, const std::string &wave,
                                            const std::string &writer);

} // namespace ibishinge
