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

/// Failure domains of a host. The hosts of one domain can fail together.
struct failure_domains
{
    std::string rack;
    std::string dataCentre;
    std::string region;

    friend bool operator==(const failure_domains &, const failure_domains &) = default;
};

/// Returns the rack, data centre or region of `domains`, as `level` says. Thread-safe.
[[nodiscard]] const std::string &domainAt(const failure_domains &domains,
                                          domain_level level) noexcept;

/// Last known condition of a host. Every condition except `live` counts as unavailable.
enum class host_condition : std::uint8_t {
    live,
    leaving,
    lost,
    unknown, ///< no recent report, or missing from the host list
};

/// Reason of a planned stop.
enum class stop_reason : std::uint8_t { maintenance, drain, move };

/// State of a planned stop, in the order in which a stop passes through them.
enum class stop_state : std::uint8_t {
    admitted, ///< counted in the budgets; the host still accepts work
    draining, ///< the host accepts no new work
    stopped, ///< the host runs nothing and may be rebooted or moved
    returned, ///< back in service; kept until the host record has the time of maintenance
};

/// Return the names used in stored documents. Thread-safe.
[[nodiscard]] std::string_view nameOf(host_condition condition) noexcept;
[[nodiscard]] std::string_view nameOf(stop_reason reason) noexcept;
[[nodiscard]] std::string_view nameOf(stop_state state) noexcept;

/// A planned stop of one host. A time is `wall_time {}` until the stop has reached that state.
struct planned_stop
{
    std::string pool; ///< pool whose budgets count the stop; the old pool for a move
    std::string wave; ///< empty unless the reason is maintenance
    std::string toPool; ///< empty unless the reason is a move
    std::string planner; ///< process that admitted the stop
    stop_reason reason = stop_reason::maintenance;
    stop_state state = stop_state::admitted;
    bool failed = false; ///< the host was not healthy within the reboot limit
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
    std::int64_t failed = 0; ///< hosts that were not healthy within the reboot limit
    bool halted = false; ///< no host is admitted until an operator resumes the wave

    friend bool operator==(const wave_progress &, const wave_progress &) = default;
};

/// The latest move that changed the size of a pool.
struct pool_change
{
    bool grew = false; ///< true if the pool gained a host, false if it lost one
    wall_time at;

    friend bool operator==(const pool_change &, const pool_change &) = default;
};

/// All planned stops, stored in one record under the key `maintenance/stops`.
struct stops_record
{
    /// Highest versions of the catalogue and the host list that any planner has used. A planner
    /// that knows only older ones must not admit or stop hosts, since it may have missed a lost
    /// host or a tightened budget.
    std::int64_t catalogueVersion = 0;
    std::uint64_t hostListVersion = 0;
    std::string writer; ///< planner that wrote this value
    std::int64_t writeNumber = 0; ///< unique for each write, together with `writer`
    /// Incremented when a stop that changed its host's record is removed and when a drain is
    /// admitted. Until a move is removed, its stop determines the pool in which the host counts, so
    /// host records read at the same count are current for every stop of the record.
    std::int64_t hostChanges = 0;
    std::map<std::string, planned_stop> stops; ///< by host
    std::map<std::string, wave_progress> waves;
    std::map<std::string, pool_change> poolChanges; ///< by pool

    friend bool operator==(const stops_record &, const stops_record &) = default;
};

/// Slots of one service on a host.
struct host_service
{
    std::string name;
    std::int64_t slots = 0;
};

/// State of a host as known to a planner.
struct host_view
{
    std::string id;
    std::string pool;
    std::string homePool; ///< pool to which a lent host returns
    failure_domains domains;
    host_condition condition = host_condition::unknown;
    bool drainRequested = false; ///< an operator has requested a drain
    std::optional<wall_time> lastMaintenance; ///< unset if the host was never maintained
    std::optional<wall_time> healthySince; ///< start of the current series of healthy reports
    std::int64_t runningWork = 0; ///< number of running tasks and requests
    wall_time workEndsAt; ///< expected time at which the running work ends
    wall_time workReportedAt; ///< time of the report of the running work; reports lag
    std::vector<host_service> services;
};

/// Input of the planner's decisions besides the stops record. Host ids are unique.
struct maintenance_view
{
    const catalogue *config = nullptr; ///< not null
    std::int64_t catalogueVersion = 0;
    std::uint64_t hostListVersion = 0;
    std::vector<host_view> hosts;
    std::map<std::string, std::int64_t> slotsInUse; ///< by service
};

/// Safety mechanisms, all on in production. Tests switch off one at a time to show that it is
/// needed.
struct maintenance_safeguards
{
    bool countUnplannedLosses = true; ///< hosts that are not live count as unavailable
    bool countDomains = true; ///< the budgets of failure domains apply
    bool rejectStaleViews = true; ///< a view older than the record is rejected
    bool revokeOnLoss = true; ///< also forbids the step to `stopped` while a budget is exceeded
    bool waitForDrain = true; ///< a host is stopped only after a report without running work
    bool waitForHealthyRack = true; ///< a rack waits until its rebooted hosts are healthy
    bool haltWaves = true; ///< failed reboots halt the wave
    bool recordMovesAsStops = true; ///< a host changes its pool only once its stop is `stopped`
    bool conditionalWrites = true; ///< writes require the revision that was read
    /// After a write of unknown outcome, the record is read to learn it.
    bool resolveUnknownWrites = true;
};

/// Settings of the maintenance decisions.
struct maintenance_settings
{
    /// Fraction of the maintenance interval, before a host's deadline, in which the host may be
    /// maintained. Of an interval of three weeks, a third leaves one week for losses, halted waves
    /// and long work.
    double leadFraction = 1.0 / 3;
    /// Hosts this close to their deadline no longer wait for earlier waves or for long work.
    std::chrono::hours deadlineReserve {48};
    /// Longest wait for running work to end; after it, the work has to be checkpointed.
    std::chrono::minutes maxDrain {240};
    /// A host that is not healthy this long after it was stopped has failed. A reboot takes
    /// minutes.
    std::chrono::minutes rebootLimit {30};
    /// Time for which a rebooted host must report healthy, since a host may also fail shortly after
    /// its reboot.
    std::chrono::minutes minHealthyTime {2};
    /// Returned hosts for each tolerated failure of a wave. About 1% of the hosts fail each day
    /// without maintenance, hence 0.02% within a reboot limit. A failure rate of 5% therefore
    /// points to the maintenance as the cause.
    std::int64_t returnsPerToleratedFailure = 20;
    /// If true, runs only as many stops at a time as the deadlines require, which makes less
    /// capacity unavailable; otherwise as many as the wave and the budgets allow.
    bool paced = false;
    /// Factor on the paced number of stops. At 2, half of the time may be lost to halted waves.
    double paceReserve = 2;
    maintenance_safeguards safeguards;
};

/// An availability budget and the amounts that count against it, in hosts, or in slots for a
/// service.
struct budget_account
{
    std::string label; ///< "pool general", "pool general, rack r1" or "service search"
    std::int64_t total = 0;
    std::int64_t unavailable = 0;
    std::int64_t allowed = 0; ///< largest `unavailable` within the budget; may be negative
    bool allowedFallsWithMoves = false; ///< `allowed` decreases with each host that is moved away
};

/// All budgets of the catalogue, computed from one view and record.
struct budget_table
{
    std::vector<budget_account> accounts;
    /// Amount that a host counts in one account.
    struct charge
    {
        std::size_t account = 0; ///< index into `accounts`
        std::int64_t weight = 1;
    };
    std::vector<std::vector<charge>> chargesByHost; ///< by index of the host in the view
    std::vector<bool> unavailable; ///< by index of the host in the view
};

/// Computes the budgets. Hosts that are not live or have an active stop count as unavailable. A
/// host that is being moved counts in its old pool until the stop is `returned`. Thread-safe.
[[nodiscard]] budget_table computeBudgets(const stops_record &record, const maintenance_view &view,
                                          const maintenance_safeguards &safeguards = {});

/// Returns the first account whose budget the stop of the host at index `position` would exceed, or
/// null. Thread-safe.
[[nodiscard]] const budget_account *budgetExceededBy(const budget_table &budgets,
                                                     std::size_t position) noexcept;

/// Returns true if neither version of `view` is older than the one in the record. Thread-safe.
[[nodiscard]] bool isFresh(const stops_record &record, const maintenance_view &view) noexcept;

/// A move of a host to another pool that a policy proposes.
struct proposed_move
{
    std::string host;
    std::string toPool;
};

/// Returns the record without the stops that must not go on: of those not yet `stopped`, the stops
/// of lost or unknown hosts, and as many others as needed to restore a budget that a loss has
/// exceeded, the latest admitted first. Their hosts return to service. Thread-safe.
[[nodiscard]] stops_record revokeStops(stops_record record, const maintenance_view &view,
                                       const maintenance_settings &settings = {});

/// Advances each stop to its next state if the conditions for that hold, and halts waves whose
/// hosts are not healthy after their reboot. Thread-safe.
[[nodiscard]] stops_record advanceStops(stops_record record, const maintenance_view &view,
                                        wall_time now, const maintenance_settings &settings = {});

/// Admits operators' drains, then `moves`, then maintenance, as far as no budget is exceeded. A
/// move must also leave the old pool room for one more stop, since a pool at its minimum number of
/// hosts could never be maintained. `planner` is stored in the new stops. Thread-safe.
[[nodiscard]] stops_record admitStops(stops_record record, const maintenance_view &view,
                                      wall_time now, std::string_view planner,
                                      const std::vector<proposed_move> &moves = {},
                                      const maintenance_settings &settings = {});

/// Applies `revokeStops`, `advanceStops` and `admitStops` to `record` and stores the view's
/// versions in it. Returns `record` unchanged if the view is older than the record. Thread-safe.
[[nodiscard]] stops_record updateStops(const stops_record &record, const maintenance_view &view,
                                       wall_time now, std::string_view planner,
                                       const std::vector<proposed_move> &moves = {},
                                       const maintenance_settings &settings = {});

/// Resumes a halted wave and resets its counts to zero. Thread-safe.
[[nodiscard]] stops_record resumeWave(stops_record record, std::string_view wave);

/// Returns the hosts that have been draining for at least `maxDrain` and still run work, which has
/// to be checkpointed. Thread-safe.
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
    stop_draining, ///< the host's work has not ended
    stop_stopped, ///< the host reboots, or has not been healthy for long enough
    reboot_failed,
    earlier_wave,
    wave_halted,
    concurrency,
    domain_not_healthy, ///< another host of its rack is not healthy yet after its reboot
    long_work, ///< the host's work ends later than `maxDrain` from now
    budget,
    budget_never_allows, ///< the budget forbids the stop even with every host available
};

/// Returns the name of `reason` for operators. Thread-safe.
[[nodiscard]] std::string_view nameOf(wait_reason reason) noexcept;

/// A reason and the budget, wave or rack it refers to.
struct wait_explanation
{
    wait_reason reason = wait_reason::none;
    std::string detail; ///< empty if the reason says it all
};

/// Returns why `host` is not stopped yet. Thread-safe.
[[nodiscard]] wait_explanation explainWait(const stops_record &record, const maintenance_view &view,
                                           std::string_view host, wall_time now,
                                           const maintenance_settings &settings = {});

} // namespace ibishinge
