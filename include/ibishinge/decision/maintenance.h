#pragma once

#include <ibishinge/base/time.h>
#include <ibishinge/decision/catalogue.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge {

/// Where a host stands; hosts of one domain can fail together.
struct failure_domains
{
    std::string rack;
    std::string dataCentre;
    std::string region;

    friend bool operator==(const failure_domains &, const failure_domains &) = default;
};

/// Returns the domain of `domains` at `level`. Thread-safe.
[[nodiscard]] const std::string &domainAt(const failure_domains &domains,
                                          domain_level level) noexcept;

/// What is known of a host. Every condition but `live` counts as unavailable.
enum class host_condition : std::uint8_t {
    live,
    leaving,
    lost,
    unknown, ///< no recent report, or missing from the host list
};

enum class stop_reason : std::uint8_t { maintenance, drain, move };

enum class stop_state : std::uint8_t {
    admitted, ///< counted in the budgets; the host still accepts work
    draining, ///< the host accepts no new work
    stopped, ///< the host runs nothing and may be rebooted or moved
    returned, ///< healthy again; kept until its host record shows the maintenance
};

/// Return the names used in documents. Thread-safe.
[[nodiscard]] std::string_view nameOf(host_condition condition) noexcept;
[[nodiscard]] std::string_view nameOf(stop_reason reason) noexcept;
[[nodiscard]] std::string_view nameOf(stop_state state) noexcept;

/// One planned stop. A time of `wall_time {}` means "not yet".
struct planned_stop
{
    std::string pool; ///< pool whose budgets the stop is counted in, for a move the old pool
    std::string wave; ///< empty unless the reason is maintenance
    std::string toPool; ///< empty unless the reason is a move
    std::string planner; ///< process that admitted the stop
    stop_reason reason = stop_reason::maintenance;
    stop_state state = stop_state::admitted;
    bool failed = false; ///< not healthy within the reboot limit
    wall_time admittedAt;
    wall_time drainingAt;
    wall_time stoppedAt;
    wall_time returnedAt;

    friend bool operator==(const planned_stop &, const planned_stop &) = default;
};

/// Results of the current round of a wave.
struct wave_progress
{
    std::int64_t returned = 0; ///< hosts that were healthy after their reboot
    std::int64_t failed = 0; ///< hosts that were not
    bool halted = false; ///< admits nothing until an operator resumes the wave

    friend bool operator==(const wave_progress &, const wave_progress &) = default;
};

/// The last move that changed the size of a pool.
struct pool_change
{
    bool grew = false;
    wall_time at;

    friend bool operator==(const pool_change &, const pool_change &) = default;
};

/// The one record of planned stops, `maintenance/stops`.
struct stops_record
{
    /// Highest versions that any planner has used. A planner that knows only older ones may not
    /// admit or stop, since it may have missed a loss or a tightened budget.
    std::int64_t catalogueVersion = 0;
    std::uint64_t hostListVersion = 0;
    std::string writer; ///< planner that wrote this value
    std::int64_t writeNumber = 0; ///< with `writer`, unique for each write
    /// Grows when a stop that changed its host's record is dropped and when a drain is admitted.
    /// Until a move is dropped, the stop itself says in which pool the host counts, so host records
    /// read at the same count are not out of date for any stop of the record.
    std::int64_t hostChanges = 0;
    std::map<std::string, planned_stop> stops; ///< by host
    std::map<std::string, wave_progress> waves;
    std::map<std::string, pool_change> poolChanges; ///< by pool

    friend bool operator==(const stops_record &, const stops_record &) = default;
};

struct host_service
{
    std::string name;
    std::int64_t slots = 0;
};

/// A host as a planner sees it.
struct host_view
{
    std::string id;
    std::string pool;
    std::string homePool; ///< pool to which a lent host returns
    failure_domains domains;
    host_condition condition = host_condition::unknown;
    bool drainRequested = false; ///< by an operator
    std::optional<wall_time> lastMaintenance; ///< none: never
    std::optional<wall_time> healthySince; ///< start of the current run of good reports
    std::int64_t runningWork = 0; ///< tasks and requests
    wall_time workEndsAt; ///< expected end of the running work
    wall_time workReportedAt; ///< time of the report of running work, which lags
    std::vector<host_service> services;
};

/// Everything a decision depends on besides the record. Host ids are unique.
struct maintenance_view
{
    const catalogue *config = nullptr; ///< not null
    std::int64_t catalogueVersion = 0;
    std::uint64_t hostListVersion = 0;
    std::vector<host_view> hosts;
    std::map<std::string, std::int64_t> slotsInUse; ///< by service
};

/// Mechanisms that tests switch off, one at a time, to show that each is needed.
struct maintenance_safeguards
{
    bool countUnplannedLosses = true;
    bool countDomains = true;
    bool rejectStaleViews = true;
    bool revokeOnLoss = true; ///< and no step to `stopped` while a budget is broken
    bool waitForDrain = true;
    bool waitForHealthyRack = true;
    bool haltWaves = true;
    bool recordMovesAsStops = true;
    bool conditionalWrites = true;
    bool resolveUnknownWrites = true;
};

struct maintenance_settings
{
    /// Share of the maintenance interval before a host's deadline in which it may be maintained.
    /// A third leaves a week of three for losses, halted waves and long work.
    double leadFraction = 1.0 / 3;
    /// Hosts this near to their deadline no longer wait for earlier waves or for long work.
    std::chrono::hours deadlineReserve {48};
    /// Longest wait for running work; later it has to be checkpointed.
    std::chrono::minutes maxDrain {240};
    /// A reboot takes minutes; a host that takes this long has failed.
    std::chrono::minutes rebootLimit {30};
    /// Reboots fail late too: a host must report healthy for this long.
    std::chrono::minutes minHealthyTime {2};
    /// Returned hosts for each tolerated failure of a wave. About 1% of the hosts fail each day
    /// without maintenance, hence 0.02% within a reboot limit; 5% is no coincidence.
    std::int64_t returnsPerToleratedFailure = 20;
    /// Runs only as many stops as the deadlines need, which holds less capacity down; otherwise as
    /// many as the wave and the budgets allow.
    bool paced = false;
    /// Factor on the paced number of stops, so that half of the time may be lost to halts.
    double paceReserve = 2;
    maintenance_safeguards safeguards;
};

/// One availability budget with what counts against it, in hosts, or in slots for a service.
struct budget_account
{
    std::string label; ///< "pool general", "pool general, rack r1" or "service search"
    std::int64_t total = 0;
    std::int64_t unavailable = 0;
    std::int64_t allowed = 0; ///< largest `unavailable` within the budget; may be negative
    bool allowedFallsWithMoves = false; ///< `allowed` falls with each host that is moved away
};

/// All budgets of the catalogue, filled from one view and record.
struct budget_table
{
    std::vector<budget_account> accounts;
    struct charge
    {
        std::size_t account = 0;
        std::int64_t weight = 1;
    };
    std::vector<std::vector<charge>> chargesByHost; ///< by position of the host in the view
    std::vector<bool> unavailable; ///< by position of the host in the view
};

/// Fills the budgets: hosts that are not live or have an active stop count as unavailable. A host
/// that is being moved belongs to its old pool until the move has returned. Thread-safe.
[[nodiscard]] budget_table computeBudgets(const stops_record &record, const maintenance_view &view,
                                          const maintenance_safeguards &safeguards = {});

/// Returns the first account that the stop of the host at `position` would break, or null.
/// Thread-safe.
[[nodiscard]] const budget_account *budgetExceededBy(const budget_table &budgets,
                                                     std::size_t position) noexcept;

/// Returns true if `view` is at least as new as what the record was last written with.
/// Thread-safe.
[[nodiscard]] bool isFresh(const stops_record &record, const maintenance_view &view) noexcept;

/// A move that a policy wants.
struct proposed_move
{
    std::string host;
    std::string toPool;
};

/// Returns the record without the stops that must not go on: those of lost hosts, and as many that
/// are not yet stopped as it takes to restore a budget that a loss broke; the latest admitted go
/// first. Their hosts return to service. Thread-safe.
[[nodiscard]] stops_record revokeStops(stops_record record, const maintenance_view &view,
                                       const maintenance_settings &settings = {});

/// Takes each stop to its next state where its conditions hold, and halts waves whose hosts fail
/// after their reboot. Thread-safe.
[[nodiscard]] stops_record advanceStops(stops_record record, const maintenance_view &view,
                                        wall_time now, const maintenance_settings &settings = {});

/// Admits operators' drains, then `moves`, then maintenance, as far as every budget stays intact.
/// A move must also leave the old pool room for one more stop, since a pool at its least number of
/// hosts could never be maintained.
/// `planner` is noted in the new stops. Thread-safe.
[[nodiscard]] stops_record admitStops(stops_record record, const maintenance_view &view,
                                      wall_time now, std::string_view planner,
                                      const std::vector<proposed_move> &moves = {},
                                      const maintenance_settings &settings = {});

/// Returns what the three functions above make of `record`, with the view's versions noted.
/// Returns `record` unchanged if the view is older than the record. Thread-safe.
[[nodiscard]] stops_record updateStops(const stops_record &record, const maintenance_view &view,
                                       wall_time now, std::string_view planner,
                                       const std::vector<proposed_move> &moves = {},
                                       const maintenance_settings &settings = {});

/// Lets a halted wave go on, with its counts at zero. Thread-safe.
[[nodiscard]] stops_record resumeWave(stops_record record, std::string_view wave);

/// Returns the hosts that have drained for longer than `maxDrain` and still run work, which is to
/// be checkpointed. Thread-safe.
[[nodiscard]] std::vector<std::string> hostsToCheckpoint(const stops_record &record,
                                                         const maintenance_view &view,
                                                         wall_time now,
                                                         const maintenance_settings &settings = {});

/// Returns the time by which `host` must have been maintained; `wall_time {}` if it never was.
/// Thread-safe.
[[nodiscard]] wall_time deadlineOf(const host_view &host, const catalogue &config);

/// Why a host has not been stopped for maintenance.
enum class wait_reason : std::uint8_t {
    none, ///< it would be admitted now
    unknown_host,
    not_available, ///< the host itself is not live
    not_due,
    stale_view,
    stop_admitted,
    stop_draining, ///< its work has not ended
    stop_stopped, ///< it reboots, or has not been healthy for long enough
    reboot_failed,
    earlier_wave,
    wave_halted,
    concurrency,
    domain_not_healthy, ///< another host of its rack has not proved healthy
    long_work, ///< its work ends later than the drain limit
    budget,
    budget_never_allows, ///< the budget forbids the stop even with every host available
};

[[nodiscard]] std::string_view nameOf(wait_reason reason) noexcept;

struct wait_explanation
{
    wait_reason reason = wait_reason::none;
    std::string detail; ///< budget, wave or rack that the reason is about
};

/// Returns why `host` is not stopped yet. Thread-safe.
[[nodiscard]] wait_explanation explainWait(const stops_record &record, const maintenance_view &view,
                                           std::string_view host, wall_time now,
                                           const maintenance_settings &settings = {});

} // namespace ibishinge
