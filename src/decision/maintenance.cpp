#include <ibishinge/decision/maintenance.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>
#include <unordered_map>

namespace ibishinge {

namespace {

/// Returns the wave of the pools that no wave lists. They are maintained last, one host at a time.
const wave_entry &unlistedWave()
{
    static const wave_entry wave {
        "unlisted", "", work_class::normal, std::numeric_limits<std::int64_t>::max(), 1, {}};
    return wave;
}

bool isActive(const planned_stop &stop) noexcept
{
    return stop.state != stop_state::returned;
}

const planned_stop *activeStop(const stops_record &record, const std::string &host)
{
    const auto found = record.stops.find(host);
    return found != record.stops.end() && isActive(found->second) ? &found->second : nullptr;
}

std::int64_t allowedUnavailable(const availability_budget &budget, std::int64_t total) noexcept
{
    return budget.minAvailable ? total - *budget.minAvailable : budget.maxUnavailable.value_or(0);
}

/// Returns the pool in whose budgets the host counts.
const std::string &budgetPool(const stops_record &record, const host_view &host,
                              const maintenance_safeguards &safeguards)
{
    const planned_stop *stop = activeStop(record, host.id);
    return safeguards.recordMovesAsStops && stop != nullptr && stop->reason == stop_reason::move
               ? stop->pool
               : host.pool;
}

/// Fills a budget table and finds its accounts by their labels.
class budget_table_builder
{
public:
    explicit budget_table_builder(budget_table &table)
        : m_table(table)
    {
    }
    void add(std::size_t host, const std::string &label, std::int64_t weight,
             const availability_budget *budget)
    {
        const auto [found, isNew] = m_positions.emplace(label, m_table.accounts.size());
        if (isNew) {
            m_table.accounts.push_back({label, 0, 0, 0, false});
            m_budgets.push_back(budget);
        }
        auto &account = m_table.accounts[found->second];
        account.total += weight;
        account.unavailable += m_table.unavailable[host] ? weight : 0;
        m_table.chargesByHost[host].push_back({found->second, weight});
    }
    void setPoolBounds()
    {
        for (std::size_t i = 0; i < m_budgets.size(); ++i) {
            auto &account = m_table.accounts[i];
            if (m_budgets[i] != nullptr) {
                account.allowed = allowedUnavailable(*m_budgets[i], account.total);
                account.allowedFallsWithMoves = m_budgets[i]->minAvailable.has_value();
            }
        }
    }
    void setServiceBound(const service_entry &service, std::int64_t inUse)
    {
        if (const auto found = m_positions.find("service " + service.name);
            found != m_positions.end()) {
            auto &account = m_table.accounts[found->second];
            account.allowed =
                account.total - std::max<std::int64_t>(1, service.minIdleSlots + inUse);
        }
    }

private:
    budget_table &m_table;
    std::unordered_map<std::string, std::size_t> m_positions;
    std::vector<const availability_budget *> m_budgets;
};

void setUnavailable(budget_table &budgets, std::size_t host, bool unavailable)
{
    if (budgets.unavailable[host] == unavailable) {
        return;
    }
    budgets.unavailable[host] = unavailable;
    for (const auto &charge : budgets.chargesByHost[host]) {
        budgets.accounts[charge.account].unavailable +=
            unavailable ? charge.weight : -charge.weight;
    }
}

bool withinBudgets(const budget_table &budgets, std::size_t host) noexcept
{
    return std::all_of(budgets.chargesByHost[host].begin(), budgets.chargesByHost[host].end(),
                       [&](const auto &charge) {
                           const auto &account = budgets.accounts[charge.account];
                           return account.unavailable <= account.allowed;
                       });
}

/// Returns an account whose budget forbids the stop even with every other host available, or null.
const budget_account *neverAllowingBudget(const budget_table &budgets, std::size_t host) noexcept
{
    for (const auto &charge : budgets.chargesByHost[host]) {
        const auto &account = budgets.accounts[charge.account];
        if (charge.weight > account.allowed) {
            return &account;
        }
    }
    return nullptr;
}

/// Returns true if the host's pool can still be maintained after the host has moved away.
bool leavesRoomForMaintenance(const budget_table &budgets, std::size_t host) noexcept
{
    return std::none_of(budgets.chargesByHost[host].begin(), budgets.chargesByHost[host].end(),
                        [&](const auto &charge) {
                            const auto &account = budgets.accounts[charge.account];
                            return account.allowedFallsWithMoves
                                   && account.unavailable + 2 > account.allowed;
                        });
}

using position_map = std::unordered_map<std::string_view, std::size_t>;

position_map positionsOf(const maintenance_view &view)
{
    position_map positions;
    positions.reserve(view.hosts.size());
    for (std::size_t i = 0; i < view.hosts.size(); ++i) {
        positions.emplace(view.hosts[i].id, i);
    }
    return positions;
}

/// Finds the wave of a pool, which is `unlistedWave()` for a pool that no wave lists.
class wave_index
{
public:
    explicit wave_index(const catalogue &config)
    {
        for (const auto &wave : config.waves) {
            for (const auto &pool : wave.pools) {
                m_byPool.emplace(pool, &wave);
            }
        }
    }
    [[nodiscard]] const wave_entry &waveOfPool(const std::string &pool) const
    {
        const auto found = m_byPool.find(pool);
        return found == m_byPool.end() ? unlistedWave() : *found->second;
    }

private:
    std::unordered_map<std::string_view, const wave_entry *> m_byPool;
};

wall_time deadlineOf(const host_view &host, const pool_entry *pool)
{
    return host.lastMaintenance && pool != nullptr
               ? *host.lastMaintenance + pool->maintenanceInterval
               : wall_time {};
}

bool isDue(const host_view &host, const pool_entry *pool, wall_time now,
           const maintenance_settings &settings)
{
    if (pool == nullptr) {
        return false;
    }
    const auto lead = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::duration<double>(pool->maintenanceInterval) * settings.leadFraction);
    return deadlineOf(host, pool) - lead <= now;
}

/// Returns a unique key of a rack. Racks of different data centres may have the same name.
std::string rackKey(const failure_domains &domains)
{
    return domains.dataCentre + "/" + domains.rack;
}

wall_time endOfWork(const host_view &host, wall_time now) noexcept
{
    return host.runningWork == 0 ? now : std::max(now, host.workEndsAt);
}

/// A host that waits for maintenance.
struct candidate
{
    std::size_t host = 0; ///< index in the view
    const wave_entry *wave = nullptr;
    wall_time deadline;
    bool nearDeadline = false; ///< within `deadlineReserve` of its deadline
    bool longWork = false; ///< its work ends later than `maxDrain` from now
};

/// Maintenance that is due or in progress, as of one view.
struct maintenance_backlog
{
    std::vector<candidate> candidates;
    std::map<std::string, std::int64_t> active; ///< stops in progress, by wave
    /// Wave and rack of hosts that have not returned.
    std::set<std::pair<std::string, std::string>> racksAwaitingHealth;
    /// Number of candidates and active stops, by the order of their wave.
    std::map<std::int64_t, std::int64_t> pendingByOrder;
};

maintenance_backlog backlogOf(const stops_record &record, const maintenance_view &view,
                              const budget_table &budgets, wall_time now,
                              const maintenance_settings &settings)
{
    maintenance_backlog backlog;
    const wave_index waves(*view.config);
    std::unordered_map<std::string_view, const pool_entry *> pools;
    for (const auto &pool : view.config->pools) {
        pools.emplace(pool.name, &pool);
    }
    for (std::size_t i = 0; i < view.hosts.size(); ++i) {
        const auto &host = view.hosts[i];
        const auto known = pools.find(host.pool);
        const pool_entry *pool = known == pools.end() ? nullptr : known->second;
        const auto &wave = waves.waveOfPool(host.pool);
        const auto stop = record.stops.find(host.id);
        if (stop != record.stops.end()) {
            if (isActive(stop->second) && stop->second.reason == stop_reason::maintenance) {
                backlog.racksAwaitingHealth.emplace(stop->second.wave, rackKey(host.domains));
                if (!stop->second.failed) {
                    ++backlog.active[stop->second.wave];
                    ++backlog.pendingByOrder[wave.order];
                }
            }
            continue;
        }
        if (host.condition != host_condition::live || host.drainRequested
            || !isDue(host, pool, now, settings) || neverAllowingBudget(budgets, i) != nullptr) {
            continue;
        }
        const wall_time deadline = deadlineOf(host, pool);
        const bool nearDeadline =
            host.lastMaintenance && deadline - settings.deadlineReserve <= now;
        const bool longWork = endOfWork(host, now) > now + settings.maxDrain;
        backlog.candidates.push_back({i, &wave, deadline, nearDeadline, longWork});
        ++backlog.pendingByOrder[wave.order];
    }
    return backlog;
}

bool mustWaitForEarlierWave(const maintenance_backlog &backlog, const candidate &c)
{
    return !c.nearDeadline && !backlog.pendingByOrder.empty()
           && backlog.pendingByOrder.begin()->first < c.wave->order;
}

bool isHalted(const stops_record &record, const std::string &wave,
              const maintenance_settings &settings)
{
    const auto found = record.waves.find(wave);
    return settings.safeguards.haltWaves && found != record.waves.end() && found->second.halted;
}

/// Returns the number of concurrent stops that the deadlines require, times `paceReserve`.
std::int64_t pacedStops(const std::vector<const candidate *> &byDeadline,
                        const maintenance_view &view, wall_time now,
                        const maintenance_settings &settings)
{
    using hours = std::chrono::duration<double, std::ratio<3600>>;
    hours work {0};
    double needed = 0;
    for (const candidate *c : byDeadline) {
        work += endOfWork(view.hosts[c->host], now) - now;
        work += settings.rebootLimit;
        const hours left = std::max<hours>(c->deadline - now, std::chrono::hours(1));
        needed = std::max(needed, work / left);
    }
    return static_cast<std::int64_t>(std::ceil(needed * settings.paceReserve));
}

/// Returns the largest number of concurrent stops of each wave in this tick.
std::map<std::string, std::int64_t> concurrencyLimits(const maintenance_backlog &backlog,
                                                      const maintenance_view &view, wall_time now,
                                                      const maintenance_settings &settings)
{
    std::map<std::string, std::int64_t> limits;
    std::map<std::string, std::vector<const candidate *>> byWave;
    for (const auto &c : backlog.candidates) {
        limits[c.wave->name] = c.wave->concurrency;
        byWave[c.wave->name].push_back(&c);
    }
    if (!settings.paced) {
        return limits;
    }
    for (auto &[wave, candidates] : byWave) {
        std::sort(candidates.begin(), candidates.end(),
                  [](const auto *a, const auto *b) { return a->deadline < b->deadline; });
        limits[wave] =
            std::clamp<std::int64_t>(pacedStops(candidates, view, now, settings), 1, limits[wave]);
    }
    return limits;
}

/// Sorts hosts near their deadline to the front, then by the order of their wave, then by data
/// centre and rack, those whose work ends soonest first.
void sortCandidates(std::vector<candidate> &candidates, const maintenance_view &view, wall_time now)
{
    // Domains are sorted by the mean end of work of their candidates, so that a single idle host
    // does not bring a rack of busy hosts to the front.
    std::unordered_map<std::string, std::pair<double, double>> sums;
    const auto ends = [&](const candidate &c) {
        return std::chrono::duration<double>(endOfWork(view.hosts[c.host], now) - now).count();
    };
    const auto keys = [&](const candidate &c) {
        const auto &domains = view.hosts[c.host].domains;
        return std::pair("d" + domains.dataCentre, "r" + rackKey(domains));
    };
    for (const auto &c : candidates) {
        const auto [dataCentre, rack] = keys(c);
        for (const auto &key : {dataCentre, rack}) {
            sums[key].first += ends(c);
            sums[key].second += 1;
        }
    }
    struct rank
    {
        bool waits = false;
        std::int64_t order = 0;
        bool longWork = false;
        double dataCentreEnd = 0;
        std::string dataCentre;
        double rackEnd = 0;
        std::string rack;
        double end = 0;
        std::string id;
    };
    std::vector<std::pair<rank, candidate>> ranked;
    ranked.reserve(candidates.size());
    for (const auto &c : candidates) {
        const auto [dataCentre, rack] = keys(c);
        const auto &d = sums[dataCentre];
        const auto &r = sums[rack];
        ranked.push_back({{!c.nearDeadline, c.wave->order, c.longWork, d.first / d.second,
                           dataCentre, r.first / r.second, rack, ends(c), view.hosts[c.host].id},
                          c});
    }
    const auto sortKey = [](const rank &r) {
        return std::tie(r.waits, r.order, r.longWork, r.dataCentreEnd, r.dataCentre, r.rackEnd,
                        r.rack, r.end, r.id);
    };
    std::sort(ranked.begin(), ranked.end(),
              [&](const auto &a, const auto &b) { return sortKey(a.first) < sortKey(b.first); });
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        candidates[i] = ranked[i].second;
    }
}

planned_stop newStop(const host_view &host, stop_reason reason, std::string_view planner,
                     wall_time now)
{
    planned_stop stop;
    stop.pool = host.pool;
    stop.planner = planner;
    stop.reason = reason;
    stop.admittedAt = now;
    return stop;
}

bool tryAdmit(stops_record &record, budget_table &budgets, const maintenance_view &view,
              std::size_t position, planned_stop stop)
{
    const auto &host = view.hosts[position];
    if (record.stops.contains(host.id) || host.condition != host_condition::live
        || budgetExceededBy(budgets, position) != nullptr) {
        return false;
    }
    setUnavailable(budgets, position, true);
    record.stops.emplace(host.id, std::move(stop));
    return true;
}

void admitMaintenance(stops_record &record, budget_table &budgets, const maintenance_view &view,
                      wall_time now, std::string_view planner, const maintenance_settings &settings)
{
    auto backlog = backlogOf(record, view, budgets, now, settings);
    const auto limits = concurrencyLimits(backlog, view, now, settings);
    sortCandidates(backlog.candidates, view, now);
    for (const auto &c : backlog.candidates) {
        const auto &host = view.hosts[c.host];
        const auto &wave = c.wave->name;
        if (isHalted(record, wave, settings) || mustWaitForEarlierWave(backlog, c)
            || (c.longWork && !c.nearDeadline) || backlog.active[wave] >= limits.at(wave)
            || (settings.safeguards.waitForHealthyRack
                && backlog.racksAwaitingHealth.contains({wave, rackKey(host.domains)}))) {
            continue;
        }
        auto stop = newStop(host, stop_reason::maintenance, planner, now);
        stop.wave = wave;
        if (tryAdmit(record, budgets, view, c.host, std::move(stop))) {
            ++backlog.active[wave];
        }
    }
}

/// Returns true if the host has reported healthy for `minHealthyTime` since its reboot.
bool isHealthyAfterReboot(const host_view &host, const planned_stop &stop, wall_time now,
                          const maintenance_settings &settings)
{
    return host.condition == host_condition::live && host.healthySince
           && *host.healthySince > stop.stoppedAt
           && *host.healthySince + settings.minHealthyTime <= now;
}

bool mayReturn(const host_view &host, const planned_stop &stop, wall_time now,
               const maintenance_settings &settings)
{
    switch (stop.reason) {
    case stop_reason::maintenance:
        return isHealthyAfterReboot(host, stop, now, settings);
    case stop_reason::drain:
        return !host.drainRequested && host.condition == host_condition::live;
    case stop_reason::move:
        return host.pool == stop.toPool;
    }
    return false;
}

void recordFailedReboot(stops_record &record, planned_stop &stop,
                        const maintenance_settings &settings)
{
    stop.failed = true;
    auto &wave = record.waves[stop.wave];
    ++wave.failed;
    wave.halted = wave.halted || wave.failed > wave.returned / settings.returnsPerToleratedFailure;
}

void recordReturn(stops_record &record, planned_stop &stop, wall_time now)
{
    stop.state = stop_state::returned;
    stop.returnedAt = now;
    if (stop.reason == stop_reason::maintenance) {
        ++record.waves[stop.wave].returned;
    } else if (stop.reason == stop_reason::move) {
        record.poolChanges[stop.pool] = {false, now};
        record.poolChanges[stop.toPool] = {true, now};
    }
}

/// Removes the counts of waves that have no stops or candidates left and are not halted.
void resetFinishedWaves(stops_record &record, const maintenance_view &view, wall_time now,
                        const maintenance_settings &settings)
{
    const auto backlog = backlogOf(record, view, computeBudgets(record, view), now, settings);
    std::set<std::string> open;
    for (const auto &[host, stop] : record.stops) {
        open.insert(stop.wave);
    }
    for (const auto &c : backlog.candidates) {
        open.insert(c.wave->name);
    }
    std::erase_if(record.waves, [&](const auto &wave) {
        return !wave.second.halted && !open.contains(wave.first);
    });
}

} // namespace

const std::string &domainAt(const failure_domains &domains, domain_level level) noexcept
{
    switch (level) {
    case domain_level::rack:
        return domains.rack;
    case domain_level::data_centre:
        return domains.dataCentre;
    case domain_level::region:
        break;
    }
    return domains.region;
}

std::string_view nameOf(host_condition condition) noexcept
{
    constexpr std::array<std::string_view, 4> names {"live", "leaving", "lost", "unknown"};
    return names.at(static_cast<std::size_t>(condition));
}

std::string_view nameOf(stop_reason reason) noexcept
{
    constexpr std::array<std::string_view, 3> names {"maintenance", "drain", "move"};
    return names.at(static_cast<std::size_t>(reason));
}

std::string_view nameOf(stop_state state) noexcept
{
    constexpr std::array<std::string_view, 4> names {"admitted", "draining", "stopped", "returned"};
    return names.at(static_cast<std::size_t>(state));
}

std::string_view nameOf(wait_reason reason) noexcept
{
    constexpr std::array<std::string_view, 16> names {"none",
                                                      "unknown_host",
                                                      "not_available",
                                                      "not_due",
                                                      "stale_view",
                                                      "stop_admitted",
                                                      "stop_draining",
                                                      "stop_stopped",
                                                      "reboot_failed",
                                                      "earlier_wave",
                                                      "wave_halted",
                                                      "concurrency",
                                                      "domain_not_healthy",
                                                      "long_work",
                                                      "budget",
                                                      "budget_never_allows"};
    return names.at(static_cast<std::size_t>(reason));
}

budget_table computeBudgets(const stops_record &record, const maintenance_view &view,
                            const maintenance_safeguards &safeguards)
{
    budget_table table;
    table.chargesByHost.resize(view.hosts.size());
    table.unavailable.resize(view.hosts.size());
    budget_table_builder builder(table);
    std::unordered_map<std::string_view, const pool_entry *> pools;
    for (const auto &pool : view.config->pools) {
        pools.emplace(pool.name, &pool);
    }
    for (std::size_t i = 0; i < view.hosts.size(); ++i) {
        const auto &host = view.hosts[i];
        const bool isLost =
            safeguards.countUnplannedLosses && host.condition != host_condition::live;
        table.unavailable[i] = isLost || activeStop(record, host.id) != nullptr;
        for (const auto &service : host.services) {
            builder.add(i, "service " + service.name, service.slots, nullptr);
        }
        const auto found = pools.find(budgetPool(record, host, safeguards));
        if (found == pools.end()) {
            continue;
        }
        const auto &pool = *found->second;
        builder.add(i, "pool " + pool.name, 1, &pool.budget);
        if (!safeguards.countDomains) {
            continue;
        }
        for (const auto &domain : pool.domainBudgets) {
            const std::string place = domain.level == domain_level::rack
                                          ? rackKey(host.domains)
                                          : domainAt(host.domains, domain.level);
            builder.add(
                i, "pool " + pool.name + ", " + std::string(nameOf(domain.level)) + " " + place, 1,
                &domain.budget);
        }
    }
    builder.setPoolBounds();
    for (const auto &service : view.config->services) {
        const auto used = view.slotsInUse.find(service.name);
        builder.setServiceBound(service, used == view.slotsInUse.end() ? 0 : used->second);
    }
    return table;
}

const budget_account *budgetExceededBy(const budget_table &budgets, std::size_t position) noexcept
{
    for (const auto &charge : budgets.chargesByHost[position]) {
        const auto &account = budgets.accounts[charge.account];
        if (account.unavailable + charge.weight > account.allowed) {
            return &account;
        }
    }
    return nullptr;
}

bool isFresh(const stops_record &record, const maintenance_view &view) noexcept
{
    return view.catalogueVersion >= record.catalogueVersion
           && view.hostListVersion >= record.hostListVersion;
}

stops_record revokeStops(stops_record record, const maintenance_view &view,
                         const maintenance_settings &settings)
{
    const auto positions = positionsOf(view);
    std::vector<std::pair<wall_time, std::string>> revocable;
    for (auto it = record.stops.begin(); it != record.stops.end();) {
        const bool isPending = it->second.state < stop_state::stopped;
        const auto found = positions.find(it->first);
        const bool isGone = found == positions.end()
                            || view.hosts[found->second].condition == host_condition::lost
                            || view.hosts[found->second].condition == host_condition::unknown;
        if (isPending && isGone) {
            it = record.stops.erase(it);
            continue;
        }
        if (isPending) {
            revocable.emplace_back(it->second.admittedAt, it->first);
        }
        ++it;
    }
    if (!settings.safeguards.revokeOnLoss || revocable.empty()) {
        return record;
    }
    auto budgets = computeBudgets(record, view, settings.safeguards);
    std::sort(revocable.rbegin(), revocable.rend());
    for (const auto &[time, id] : revocable) {
        const std::size_t position = positions.at(id);
        if (withinBudgets(budgets, position)) {
            continue;
        }
        record.stops.erase(id);
        setUnavailable(budgets, position, view.hosts[position].condition != host_condition::live);
    }
    return record;
}

stops_record advanceStops(stops_record record, const maintenance_view &view, wall_time now,
                          const maintenance_settings &settings)
{
    const auto positions = positionsOf(view);
    const auto budgets = computeBudgets(record, view, settings.safeguards);
    for (auto it = record.stops.begin(); it != record.stops.end();) {
        auto &[id, stop] = *it;
        const auto found = positions.find(std::string_view(id));
        if (found == positions.end()) {
            // A host that is not in the view cannot return to service.
            it = record.stops.erase(it);
            continue;
        }
        const auto &host = view.hosts[found->second];
        switch (stop.state) {
        case stop_state::admitted:
            stop.state = stop_state::draining;
            stop.drainingAt = now;
            break;
        case stop_state::draining: {
            // A report made before the drain does not show work that started between the report and
            // the drain.
            const bool isDrained = host.runningWork == 0 && host.workReportedAt > stop.drainingAt;
            const bool allowed =
                !settings.safeguards.revokeOnLoss || withinBudgets(budgets, found->second);
            if ((isDrained || !settings.safeguards.waitForDrain) && allowed) {
                stop.state = stop_state::stopped;
                stop.stoppedAt = now;
            }
            break;
        }
        case stop_state::stopped:
            if (mayReturn(host, stop, now, settings)) {
                recordReturn(record, stop, now);
            } else if (stop.reason == stop_reason::maintenance && !stop.failed
                       && stop.stoppedAt + settings.rebootLimit < now) {
                recordFailedReboot(record, stop, settings);
            }
            break;
        case stop_state::returned:
            break;
        }
        const bool isMaintenanceRecorded =
            stop.reason != stop_reason::maintenance
            || (host.lastMaintenance && *host.lastMaintenance >= stop.stoppedAt);
        if (stop.state == stop_state::returned && isMaintenanceRecorded) {
            ++record.hostChanges;
            it = record.stops.erase(it);
        } else {
            ++it;
        }
    }
    if (!record.waves.empty()) {
        resetFinishedWaves(record, view, now, settings);
    }
    return record;
}

stops_record admitStops(stops_record record, const maintenance_view &view, wall_time now,
                        std::string_view planner, const std::vector<proposed_move> &moves,
                        const maintenance_settings &settings)
{
    if (settings.safeguards.rejectStaleViews && !isFresh(record, view)) {
        return record;
    }
    auto budgets = computeBudgets(record, view, settings.safeguards);
    for (std::size_t i = 0; i < view.hosts.size(); ++i) {
        const auto &host = view.hosts[i];
        if (host.drainRequested
            && tryAdmit(record, budgets, view, i,
                        newStop(host, stop_reason::drain, planner, now))) {
            ++record.hostChanges;
        }
    }
    if (!moves.empty()) {
        const auto positions = positionsOf(view);
        for (const auto &move : moves) {
            const auto found = positions.find(std::string_view(move.host));
            if (found == positions.end() || view.hosts[found->second].pool == move.toPool
                || findPool(*view.config, move.toPool) == nullptr) {
                continue;
            }
            if (!leavesRoomForMaintenance(budgets, found->second)) {
                continue;
            }
            auto stop = newStop(view.hosts[found->second], stop_reason::move, planner, now);
            stop.toPool = move.toPool;
            (void)tryAdmit(record, budgets, view, found->second, std::move(stop));
        }
    }
    admitMaintenance(record, budgets, view, now, planner, settings);
    return record;
}

stops_record updateStops(const stops_record &record, const maintenance_view &view, wall_time now,
                         std::string_view planner, const std::vector<proposed_move> &moves,
                         const maintenance_settings &settings)
{
    if (settings.safeguards.rejectStaleViews && !isFresh(record, view)) {
        return record;
    }
    auto next = revokeStops(record, view, settings);
    next = advanceStops(std::move(next), view, now, settings);
    next = admitStops(std::move(next), view, now, planner, moves, settings);
    next.catalogueVersion = std::max(next.catalogueVersion, view.catalogueVersion);
    next.hostListVersion = std::max(next.hostListVersion, view.hostListVersion);
    return next;
}

stops_record resumeWave(stops_record record, std::string_view wave)
{
    if (const auto found = record.waves.find(std::string(wave)); found != record.waves.end()) {
        found->second = {};
    }
    return record;
}

std::vector<std::string> hostsToCheckpoint(const stops_record &record, const maintenance_view &view,
                                           wall_time now, const maintenance_settings &settings)
{
    std::vector<std::string> hosts;
    for (const auto &host : view.hosts) {
        const planned_stop *stop = activeStop(record, host.id);
        if (stop != nullptr && stop->state == stop_state::draining && host.runningWork > 0
            && stop->drainingAt + settings.maxDrain <= now) {
            hosts.push_back(host.id);
        }
    }
    return hosts;
}

wall_time deadlineOf(const host_view &host, const catalogue &config)
{
    return deadlineOf(host, findPool(config, host.pool));
}

wait_explanation explainWait(const stops_record &record, const maintenance_view &view,
                             std::string_view host, wall_time now,
                             const maintenance_settings &settings)
{
    const auto positions = positionsOf(view);
    const auto known = positions.find(host);
    if (known == positions.end()) {
        return {wait_reason::unknown_host, std::string(host)};
    }
    const std::size_t position = known->second;
    const auto &seen = view.hosts[position];
    if (const planned_stop *stop = activeStop(record, seen.id)) {
        if (stop->failed) {
            return {wait_reason::reboot_failed, stop->wave};
        }
        constexpr std::array reasons {wait_reason::stop_admitted, wait_reason::stop_draining,
                                      wait_reason::stop_stopped};
        return {reasons.at(static_cast<std::size_t>(stop->state)),
                std::string(nameOf(stop->reason))};
    }
    if (seen.condition != host_condition::live) {
        return {wait_reason::not_available, std::string(nameOf(seen.condition))};
    }
    if (!isFresh(record, view)) {
        return {wait_reason::stale_view, ""};
    }
    if (!isDue(seen, findPool(*view.config, seen.pool), now, settings)) {
        return {wait_reason::not_due, ""};
    }
    const auto budgets = computeBudgets(record, view);
    if (const auto *account = neverAllowingBudget(budgets, position)) {
        return {wait_reason::budget_never_allows, account->label};
    }
    const auto backlog = backlogOf(record, view, budgets, now, settings);
    const auto found = std::find_if(backlog.candidates.begin(), backlog.candidates.end(),
                                    [&](const candidate &c) { return c.host == position; });
    if (found == backlog.candidates.end()) {
        return {};
    }
    const auto &wave = found->wave->name;
    const auto active = backlog.active.find(wave);
    if (isHalted(record, wave, settings)) {
        return {wait_reason::wave_halted, wave};
    }
    if (mustWaitForEarlierWave(backlog, *found)) {
        return {wait_reason::earlier_wave,
                "order " + std::to_string(backlog.pendingByOrder.begin()->first)};
    }
    if (backlog.racksAwaitingHealth.contains({wave, rackKey(seen.domains)})) {
        return {wait_reason::domain_not_healthy, rackKey(seen.domains)};
    }
    if (const auto *account = budgetExceededBy(budgets, position)) {
        return {wait_reason::budget, account->label + ": " + std::to_string(account->unavailable)
                                         + " unavailable, " + std::to_string(account->allowed)
                                         + " allowed"};
    }
    if (found->longWork && !found->nearDeadline) {
        return {wait_reason::long_work, ""};
    }
    const auto limits = concurrencyLimits(backlog, view, now, settings);
    if (active != backlog.active.end() && active->second >= limits.at(wave)) {
        return {wait_reason::concurrency, wave};
    }
    return {};
}

} // namespace ibishinge
