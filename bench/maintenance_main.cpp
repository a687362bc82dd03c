#include <ibishinge/decision/pool_moves.h>
#include <ibishinge/state/host_record.h>
#include <ibishinge/state/maintenance_planner.h>
#include <ibishinge/state/stops_record.h>

#include "standins/memory_kv_store.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

constexpr unsigned seed = 20261204;
constexpr auto tickTime = 60s;
constexpr auto rebootTime = 10min;
constexpr auto meanWork = 40min; ///< mean duration of a task, exponentially distributed
constexpr auto longestRun = 14 * 24h;

class virtual_clock final : public clock_source
{
public:
    wall_time time = wall_time {} + 24h * 365;
    [[nodiscard]] monotonic_time now() const noexcept override
    {
        return monotonic_time {} + time.time_since_epoch();
    }
    [[nodiscard]] wall_time wallNow() const noexcept override
    {
        return time;
    }
};

struct size_row
{
    const char *name;
    std::size_t workers;
    std::size_t pools; ///< without the spare pool
    std::size_t spares;
    std::size_t dataCentres;
    std::int64_t concurrency;
    double lossesPerDay; ///< single hosts, each down for an hour
};

struct bench_host
{
    std::string id;
    host_record record;
    wall_time busyUntil;
    wall_time lostUntil;
    wall_time healthyAt;
    bool rebooting = false;
};

struct outcome
{
    double rollOutHours = 0;
    bool complete = false;
    std::size_t poolMoves = 0;
    std::size_t tasksCheckpointed = 0;
    double idleHours = 0; ///< held down or idle: spare hosts and hosts without work
    double shortHours = 0; ///< host-hours by which pools missed their demand
    std::size_t plannedViolations = 0; ///< stops begun beyond a budget
    double brokenMinutes = 0; ///< time in which planned stops were part of a broken budget
    std::int64_t reads = 0;
    std::int64_t writes = 0;
};

/// A fleet in which a task starts on each host in service, and every host is due for maintenance.
class fleet
{
public:
    fleet(const size_row &size, virtual_clock &clock)
        : m_clock(clock)
        , m_random(seed)
        , m_size(size)
    {
        const std::size_t perPool = size.workers / size.pools;
        const auto down = static_cast<std::int64_t>(std::max<std::size_t>(2, perPool / 10));
        wave_entry wave;
        wave.name = "all";
        wave.concurrency = size.concurrency;
        for (std::size_t i = 0; i <= size.pools; ++i) {
            pool_entry pool;
            pool.name = i == size.pools ? "spare" : "p" + std::to_string(i);
            pool.spare = i == size.pools;
            pool.maxHosts = 10'000;
            pool.budget = pool.spare ? availability_budget {1, {}} : availability_budget {{}, down};
            if (!pool.spare) {
                pool.domainBudgets = {{domain_level::rack, {{}, 2}},
                                      {domain_level::data_centre, {{}, down}}};
            }
            pool.maintenanceInterval = 504h;
            wave.pools.push_back(pool.name);
            config.pools.push_back(std::move(pool));
        }
        config.waves.push_back(std::move(wave));
        for (std::size_t i = 0; i < size.workers + size.spares; ++i) {
            bench_host host;
            host.id = "h" + std::to_string(i);
            const std::size_t rack = i / 4;
            host.record.pool = i < size.workers
                                   ? "p" + std::to_string(std::min(i / perPool, size.pools - 1))
                                   : "spare";
            const std::size_t centre = rack % size.dataCentres;
            host.record.domains = {"r" + std::to_string(rack), "d" + std::to_string(centre),
                                   "g" + std::to_string(centre * 2 / 5)};
            hosts.push_back(std::move(host));
        }
    }

    catalogue config;
    std::vector<bench_host> hosts;

    [[nodiscard]] bool isLive(const bench_host &host) const
    {
        return host.lostUntil <= m_clock.time;
    }

    /// Advances the time by one tick: losses, and work on each host that `accepts` it.
    template <class Accepts>
    void advance(const Accepts &accepts)
    {
        m_clock.time += tickTime;
        std::exponential_distribution<double> duration(
            1 / std::chrono::duration<double>(meanWork).count());
        std::uniform_real_distribution<double> chance(0, 1);
        const double lossChance = m_size.lossesPerDay / (24 * 60) / double(hosts.size());
        for (auto &host : hosts) {
            if (chance(m_random) < lossChance) {
                host.lostUntil = m_clock.time + 1h;
                host.busyUntil = m_clock.time;
            }
            const double length = duration(m_random);
            const bool starts = chance(m_random) < 0.1; // idle for 10 minutes in the mean
            if (starts && host.record.pool != "spare" && isLive(host)
                && host.busyUntil <= m_clock.time && accepts(host)) {
                host.busyUntil = m_clock.time + std::chrono::seconds(std::llround(length));
            }
        }
        // Once, one hour into the wave, a whole rack is lost for two hours.
        if (++m_ticks == 60) {
            for (std::size_t i = 8; i < 12; ++i) {
                hosts[i].lostUntil = m_clock.time + 2h;
                hosts[i].busyUntil = m_clock.time;
            }
        }
    }

    [[nodiscard]] maintenance_view view() const
    {
        maintenance_view seen;
        seen.config = &config;
        for (const auto &host : hosts) {
            host_view v;
            v.id = host.id;
            v.pool = host.record.pool;
            v.domains = host.record.domains;
            v.condition = isLive(host) ? host_condition::live : host_condition::lost;
            seen.hosts.push_back(std::move(v));
        }
        return seen;
    }

    /// Host-minutes of this tick without work, and by which pools miss four fifths of their size.
    void measure(const std::set<std::string> &down, outcome &into) const
    {
        std::map<std::string, std::pair<double, double>> pools; // available, nominal
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            const auto &host = hosts[i];
            const bool isUp = isLive(host) && !down.contains(host.id);
            if (i < m_size.workers) {
                const auto perPool = m_size.workers / m_size.pools;
                pools["p" + std::to_string(std::min(i / perPool, m_size.pools - 1))].second += 1;
            }
            pools[host.record.pool].first += isUp ? 1 : 0;
            if (down.contains(host.id) || host.record.pool == "spare") {
                into.idleHours += host.busyUntil <= m_clock.time ? 1.0 / 60 : 0;
            }
        }
        for (const auto &[name, pool] : pools) {
            into.shortHours += std::max(0.0, wantedShare * pool.second - pool.first) / 60;
        }
    }

    static constexpr double wantedShare = 0.88;

private:
    virtual_clock &m_clock;
    std::mt19937_64 m_random;
    size_row m_size;
    int m_ticks = 0;
};

/// Counts stops in broken budgets, with the losses that are true.
void countBroken(const fleet &world, const stops_record &record, const std::set<std::string> &begun,
                 outcome &into)
{
    const auto view = world.view();
    const auto budgets = computeBudgets(record, view);
    bool isBroken = false;
    for (std::size_t i = 0; i < view.hosts.size(); ++i) {
        const bool broken = record.stops.contains(view.hosts[i].id)
                            && std::any_of(budgets.chargesByHost[i].begin(),
                                           budgets.chargesByHost[i].end(), [&](const auto &share) {
                                               const auto &account =
                                                   budgets.accounts[share.account];
                                               return account.unavailable > account.allowed;
                                           });
        isBroken = isBroken || broken;
        into.plannedViolations += broken && begun.contains(view.hosts[i].id) ? 1 : 0;
    }
    into.brokenMinutes += isBroken ? 1 : 0;
}

outcome runPlanner(const size_row &size, const profile_weights &weights)
{
    virtual_clock clock;
    fleet world(size, clock);
    memory_kv_store store(clock, 1);
    for (const auto &host : world.hosts) {
        const conditional_write write {"host/" + host.id, 0, {}, encodeHost(host.record), 0};
        static_cast<void>(store.applyBatch({&write, 1}));
    }
    planner_options options;
    options.id = "bench";
    options.settings = maintenanceSettingsFor(weights);
    const auto planner = maintenance_planner::create(store, options);
    move_settings moveOptions;
    moveOptions.weights = weights;
    pool_demand_estimates estimates;
    outcome found;
    const auto begin = clock.time;
    const auto writesBefore = store.writeCalls();
    std::map<std::string, planned_stop> known;
    while (clock.time - begin < longestRun) {
        world.advance([&](const bench_host &host) {
            const auto stop = planner->record().stops.find(host.id);
            return stop == planner->record().stops.end()
                   || stop->second.state == stop_state::admitted
                   || stop->second.state == stop_state::returned;
        });
        planner_input input;
        input.config = &world.config;
        input.catalogueVersion = 1;
        input.hostListVersion = static_cast<std::uint64_t>((clock.time - begin) / tickTime);
        for (auto &host : world.hosts) {
            const auto stop = planner->record().stops.find(host.id);
            const bool isStopped =
                stop != planner->record().stops.end() && stop->second.state == stop_state::stopped;
            if (isStopped) {
                host.healthyAt = stop->second.stoppedAt + rebootTime;
            }
            host_observation seen;
            seen.condition = world.isLive(host) ? host_condition::live : host_condition::lost;
            seen.runningWork = host.busyUntil > clock.time ? 1 : 0;
            seen.workEndsAt = host.busyUntil;
            seen.workReportedAt = clock.time;
            if (host.healthyAt != wall_time {} && host.healthyAt <= clock.time) {
                seen.healthySince = host.healthyAt;
            }
            input.hosts.emplace(host.id, std::move(seen));
        }
        if (!planner->refresh(clock.time)) {
            std::abort();
        }
        const auto view = planner->viewOf(input);
        std::map<std::string, double> demand;
        for (std::size_t i = 0; i < size.workers; ++i) {
            const auto perPool = size.workers / size.pools;
            demand["p" + std::to_string(std::min(i / perPool, size.pools - 1))] +=
                fleet::wantedShare * moveOptions.highUtilization;
        }
        updateDemandEstimates(estimates, demand, planner->record(), view, clock.time, moveOptions);
        const auto moves = planMoves(planner->record(), view, estimates, clock.time, moveOptions);
        if (!planner->writeStops(input, moves, clock.time) || !planner->writeHosts()) {
            std::abort();
        }
        for (const auto &id :
             hostsToCheckpoint(planner->record(), view, clock.time, options.settings)) {
            ++found.tasksCheckpointed;
            std::find_if(world.hosts.begin(), world.hosts.end(), [&](const auto &host) {
                return host.id == id;
            })->busyUntil = clock.time;
        }
        std::set<std::string> down;
        std::set<std::string> begun;
        for (const auto &[id, stop] : planner->record().stops) {
            if (stop.state != stop_state::returned) {
                down.insert(id);
            }
            const auto before = known.find(id);
            if (before == known.end()
                || (before->second.state != stop.state && stop.state == stop_state::stopped)) {
                begun.insert(id);
                found.poolMoves +=
                    before == known.end() && stop.reason == stop_reason::move ? 1 : 0;
            }
        }
        known = planner->record().stops;
        std::size_t open = 0;
        const auto after = planner->viewOf(input);
        for (std::size_t i = 0; i < after.hosts.size(); ++i) {
            open += after.hosts[i].lastMaintenance ? 0 : 1;
        }
        std::map<std::string, const host_view *> byId;
        for (const auto &host : after.hosts) {
            byId.emplace(host.id, &host);
        }
        for (auto &host : world.hosts) {
            host.record.pool = byId.at(host.id)->pool;
        }
        countBroken(world, planner->record(), begun, found);
        world.measure(down, found);
        if (open == 0) {
            found.complete = true;
            break;
        }
    }
    found.rollOutHours =
        std::chrono::duration<double, std::ratio<3600>>(clock.time - begin).count();
    found.reads = store.readCalls();
    found.writes = store.writeCalls() - writesBefore;
    return found;
}

/// Racks in fixed order, one at a time, without counting losses; work is checkpointed at once.
outcome runNaive(const size_row &size)
{
    virtual_clock clock;
    fleet world(size, clock);
    outcome found;
    const auto begin = clock.time;
    std::size_t next = 0;
    stops_record record;
    while (next < world.hosts.size() || !record.stops.empty()) {
        world.advance([&](const bench_host &host) { return !record.stops.contains(host.id); });
        std::erase_if(record.stops, [&](const auto &stop) {
            return stop.second.stoppedAt + rebootTime <= clock.time;
        });
        std::set<std::string> begun;
        if (record.stops.empty()) {
            for (const std::size_t last = std::min(next + 4, world.hosts.size()); next < last;
                 ++next) {
                auto &host = world.hosts[next];
                auto &stop = record.stops[host.id];
                stop.pool = host.record.pool;
                stop.state = stop_state::stopped;
                stop.stoppedAt = clock.time;
                begun.insert(host.id);
                found.tasksCheckpointed += host.busyUntil > clock.time ? 1 : 0;
                host.busyUntil = clock.time;
            }
        }
        std::set<std::string> down;
        for (const auto &[id, stop] : record.stops) {
            down.insert(id);
        }
        countBroken(world, record, begun, found);
        world.measure(down, found);
    }
    found.rollOutHours =
        std::chrono::duration<double, std::ratio<3600>>(clock.time - begin).count();
    found.complete = true;
    return found;
}

/// Hosts over stops at a time, each as long as a reboot with its proof of health: no plan that
/// keeps the budgets and the wave's concurrency is faster, even without running work or losses.
double boundHours(const size_row &size)
{
    const std::size_t perPool = size.workers / size.pools;
    const double down = double(std::max<std::size_t>(2, perPool / 10)) * double(size.pools);
    const double atOnce = std::min(double(size.concurrency), down + double(size.spares) - 1);
    const double each = std::chrono::duration<double, std::ratio<3600>>(rebootTime + 2min).count();
    return std::ceil(double(size.workers + size.spares) / atOnce) * each;
}

void print(const char *size, const char *plan, const outcome &o)
{
    std::printf("| %s | %s | %.1f%s | %zu | %zu | %.0f | %.1f | %zu | %.0f | %lld | %lld |\n", size,
                plan, o.rollOutHours, o.complete ? "" : " (not complete)", o.poolMoves,
                o.tasksCheckpointed, o.idleHours, o.shortHours, o.plannedViolations,
                o.brokenMinutes, static_cast<long long>(o.reads), static_cast<long long>(o.writes));
}

/// CPU time of one decision, with nothing due and with every host due and 1% lost.
void timeTick(const size_row &size)
{
    virtual_clock clock;
    const fleet world(size, clock);
    for (const bool isMuch : {false, true}) {
        auto view = world.view();
        for (std::size_t i = 0; i < view.hosts.size(); ++i) {
            if (!isMuch) {
                view.hosts[i].lastMaintenance = clock.time;
            } else if (i % 100 == 0) {
                view.hosts[i].condition = host_condition::lost;
            }
        }
        constexpr int rounds = 50;
        std::vector<double> times;
        for (int i = 0; i < rounds; ++i) {
            const auto begin = std::chrono::steady_clock::now();
            const auto next = updateStops({}, view, clock.time, "bench");
            const auto end = std::chrono::steady_clock::now();
            times.push_back(std::chrono::duration<double, std::milli>(end - begin).count());
            if (next.stops.empty() == isMuch) {
                std::abort();
            }
        }
        std::sort(times.begin(), times.end());
        std::printf("| %s | %s | %.2f | %.2f |\n", size.name,
                    isMuch ? "all due, 1% lost" : "none due", times[rounds / 2], times.back());
    }
}

} // namespace

/// Prints tables of a whole wave, in virtual time, and of the CPU time of one decision.
int main()
{
    const std::vector<size_row> sizes {{"today", 50, 2, 8, 4, 4, 0.5},
                                       {"two years", 2500, 42, 50, 5, 60, 26}};
    std::printf(
        "| size | plan | roll-out h | pool moves | tasks checkpointed | idle host-h | short "
        "host-h | stops beyond a budget | minutes broken | reads | writes |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto &size : sizes) {
        print(size.name, "profile share", runPlanner(size, capacityMatchProfile));
        print(size.name, "profile moves", runPlanner(size, lowChurnProfile));
        print(size.name, "naive", runNaive(size));
        std::printf("| %s | bound | %.1f | 0 | 0 | - | - | 0 | - | - | - |\n", size.name,
                    boundHours(size));
    }
    std::printf("\n| size | changed | median ms | worst ms |\n| --- | --- | --- | --- |\n");
    for (const auto &size : sizes) {
        timeTick(size);
    }
    return 0;
}
