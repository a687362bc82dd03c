#include <ibishinge/decision/pool_moves.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <tuple>

namespace ibishinge {

namespace {

struct pool_state
{
    const pool_entry *entry = nullptr;
    std::int64_t total = 0;
    std::int64_t available = 0;
    std::int64_t incoming = 0; ///< hosts of admitted moves to this pool
    bool isMoving = false; ///< source or destination of a move that has not returned
    std::vector<const host_view *> movableHosts; ///< hosts that can be moved, the least busy first
};

using pool_states = std::map<std::string, pool_state>;

pool_states collectPoolStates(const stops_record &record, const maintenance_view &view)
{
    pool_states states;
    for (const auto &pool : view.config->pools) {
        states[pool.name].entry = &pool;
    }
    for (const auto &host : view.hosts) {
        const auto found = states.find(host.pool);
        if (found == states.end()) {
            continue;
        }
        auto &pool = found->second;
        ++pool.total;
        const bool isStopped = record.stops.contains(host.id);
        if (host.condition == host_condition::live && !isStopped) {
            ++pool.available;
            if (!host.drainRequested) {
                pool.movableHosts.push_back(&host);
            }
        }
    }
    for (const auto &[host, stop] : record.stops) {
        if (stop.reason == stop_reason::move) {
            ++states[stop.toPool].incoming;
            states[stop.toPool].isMoving = true;
            states[stop.pool].isMoving = true;
        }
    }
    std::erase_if(states, [](const auto &state) { return state.second.entry == nullptr; });
    for (auto &[name, pool] : states) {
        // Of equally busy hosts, the one maintained last comes first: its next maintenance is the
        // furthest away.
        std::sort(pool.movableHosts.begin(), pool.movableHosts.end(),
                  [](const auto *a, const auto *b) {
                      const auto rank = [](const host_view &host) {
                          return std::tuple(
                              host.runningWork,
                              -host.lastMaintenance.value_or(wall_time {}).time_since_epoch(),
                              std::string_view(host.id));
                      };
                      return rank(*a) < rank(*b);
                  });
    }
    return states;
}

bool mayChangeSize(const stops_record &record, const std::string &pool, bool grow, wall_time now,
                   const move_settings &settings)
{
    const auto found = record.poolChanges.find(pool);
    return !settings.safeguards.limitReversals || found == record.poolChanges.end()
           || found->second.grew == grow || found->second.at + settings.minReversalInterval <= now;
}

/// Returns the accumulated host-minutes that justify a move.
double moveThreshold(const move_settings &settings)
{
    return settings.safeguards.requireMoveCost
               ? double(settings.moveCost.count()) * settings.weights.moves
                     / settings.weights.capacityMatch
               : 0;
}

/// Plans the moves of one tick. Each host is chosen at most once.
class move_planner
{
public:
    move_planner(const stops_record &record, const maintenance_view &view,
                 const pool_demand_estimates &estimates, wall_time now,
                 const move_settings &settings)
        : m_record(record)
        , m_estimates(estimates)
        , m_now(now)
        , m_settings(settings)
        , m_pools(collectPoolStates(record, view))
    {
    }

    std::vector<proposed_move> plan()
    {
        for (const auto &name : shortPools()) {
            coverShortage(name);
        }
        for (auto &[name, pool] : m_pools) {
            returnLentHost(name, pool);
        }
        return std::move(m_moves);
    }

private:
    /// Returns the number of hosts that a pool is to receive; 0 or less if none.
    [[nodiscard]] std::int64_t missingHosts(const std::string &name, const pool_state &pool) const
    {
        const auto found = m_estimates.find(name);
        if (pool.entry->spare || found == m_estimates.end()
            || found->second.shortage < moveThreshold(m_settings) || found->second.shortage <= 0) {
            return 0;
        }
        const auto wanted =
            std::int64_t(std::ceil(found->second.mean / m_settings.highUtilization));
        return std::min(wanted - pool.available - pool.incoming,
                        pool.entry->maxHosts - pool.total - pool.incoming);
    }

    /// Returns the pools that are to receive hosts: those with unavailable hosts first, then by the
    /// number of missing hosts, the largest first.
    [[nodiscard]] std::vector<std::string> shortPools() const
    {
        std::vector<std::tuple<bool, std::int64_t, std::string>> found;
        for (const auto &[name, pool] : m_pools) {
            const bool hasUnavailable = pool.available < pool.total;
            const auto lacking = missingHosts(name, pool);
            // A loss is covered even if the pool shrank a short time ago.
            if (lacking > 0
                && (hasUnavailable || mayChangeSize(m_record, name, true, m_now, m_settings))) {
                found.emplace_back(!hasUnavailable, -lacking, name);
            }
        }
        std::sort(found.begin(), found.end());
        std::vector<std::string> names;
        names.reserve(found.size());
        for (auto &[allAvailable, lacking, name] : found) {
            names.push_back(std::move(name));
        }
        return names;
    }

    /// Returns true if pool `name` can give away a host.
    [[nodiscard]] bool hasSurplus(const std::string &name, const pool_state &pool) const
    {
        const auto found = m_estimates.find(name);
        return !pool.isMoving && found != m_estimates.end()
               && found->second.surplus > moveThreshold(m_settings) * m_settings.surplusFactor
               && found->second.mean <= double(pool.available - 1) * m_settings.lowUtilization
               && mayChangeSize(m_record, name, false, m_now, m_settings);
    }

    void coverShortage(const std::string &name)
    {
        auto &pool = m_pools.at(name);
        std::int64_t lacking = missingHosts(name, pool);
        for (auto &[donorName, donor] : m_pools) {
            while (lacking > 0 && donor.entry->spare && move(donorName, donor, name)) {
                --lacking;
            }
        }
        // Pools that run work lend one host at a time, and only if neither pool takes part in a
        // move.
        for (auto &[donorName, donor] : m_pools) {
            if (lacking > 0 && !pool.isMoving && donorName != name && !donor.entry->spare
                && hasSurplus(donorName, donor) && move(donorName, donor, name)) {
                donor.isMoving = true;
                pool.isMoving = true;
            }
        }
    }

    void returnLentHost(const std::string &name, pool_state &pool)
    {
        if (pool.entry->spare || !hasSurplus(name, pool)) {
            return;
        }
        const auto lent = std::find_if(
            pool.movableHosts.begin(), pool.movableHosts.end(), [&](const host_view *host) {
                return !host->homePool.empty() && host->homePool != name
                       && m_pools.contains(host->homePool) && !m_movedHosts.contains(host->id);
            });
        if (lent != pool.movableHosts.end()) {
            m_movedHosts.insert((*lent)->id);
            m_moves.push_back({(*lent)->id, (*lent)->homePool});
        }
    }

    bool move(const std::string &fromName, pool_state &from, const std::string &to)
    {
        for (const host_view *host : from.movableHosts) {
            if (host->pool == fromName && m_movedHosts.insert(host->id).second) {
                m_moves.push_back({host->id, to});
                return true;
            }
        }
        return false;
    }

    const stops_record &m_record;
    const pool_demand_estimates &m_estimates;
    wall_time m_now;
    const move_settings &m_settings;
    pool_states m_pools;
    std::set<std::string> m_movedHosts;
    std::vector<proposed_move> m_moves;
};

} // namespace

maintenance_settings maintenanceSettingsFor(const profile_weights &weights)
{
    maintenance_settings settings;
    settings.paced = weights.waveDuration < weights.capacityMatch;
    return settings;
}

void updateDemandEstimates(pool_demand_estimates &estimates,
                           const std::map<std::string, double> &hostsWanted,
                           const stops_record &record, const maintenance_view &view, wall_time now,
                           const move_settings &settings)
{
    const auto pools = collectPoolStates(record, view);
    for (const auto &[name, wanted] : hostsWanted) {
        const auto pool = pools.find(name);
        if (pool == pools.end()) {
            continue;
        }
        const auto [known, isNew] = estimates.try_emplace(name);
        auto &estimate = known->second;
        if (isNew) {
            // The first sample may be a peak, which must not count as the mean.
            estimate.mean =
                settings.safeguards.smoothDemand
                    ? std::min(wanted, double(pool->second.total) * settings.lowUtilization)
                    : wanted;
            estimate.at = now;
            continue;
        }
        const auto passed = std::chrono::duration<double>(std::max(now, estimate.at) - estimate.at);
        const double decay =
            settings.safeguards.smoothDemand
                ? std::exp(-passed / std::chrono::duration<double>(settings.demandTimeConstant))
                : 0;
        estimate.mean = decay * estimate.mean + (1 - decay) * wanted;
        estimate.at = std::max(now, estimate.at);
        const double minutes = passed.count() / 60;
        const auto available = double(pool->second.available);
        const double lack = estimate.mean / settings.highUtilization - available;
        estimate.shortage = lack > 0 ? estimate.shortage + lack * minutes : 0;
        const bool canSpare = estimate.mean <= (available - 1) * settings.lowUtilization;
        estimate.surplus = canSpare ? estimate.surplus + minutes : 0;
    }
}

std::vector<proposed_move> planMoves(const stops_record &record, const maintenance_view &view,
                                     const pool_demand_estimates &estimates, wall_time now,
                                     const move_settings &settings)
{
    return move_planner(record, view, estimates, now, settings).plan();
}

} // namespace ibishinge
