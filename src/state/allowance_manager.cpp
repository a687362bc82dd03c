#include <ibishinge/state/allowance_manager.h>

#include <ibishinge/state/allowance_record.h>

#include <algorithm>
#include <set>
#include <utility>

namespace ibishinge {

std::unique_ptr<allowance_manager> allowance_manager::create(std::string holder, kv_store &store,
                                                             allowance_settings settings)
{
    return std::unique_ptr<allowance_manager>(
        new allowance_manager(std::move(holder), store, settings));
}

allowance_manager::allowance_manager(std::string holder, kv_store &store,
                                     allowance_settings settings)
    : m_id(std::move(holder))
    , m_store(store)
    , m_settings(settings)
{
}

allowance_holder &allowance_manager::holderOf(const std::string &team)
{
    auto &holder = m_teams[team];
    holder.id = m_id;
    holder.stopping = m_stopping;
    return holder;
}

void allowance_manager::setLimits(const std::map<std::string, int> &limits, std::int64_t version)
{
    const std::lock_guard lock(m_mutex);
    if (version <= m_limitVersion) {
        return;
    }
    m_limitVersion = version;
    for (const auto &[team, limit] : limits) {
        if (!m_teams.contains(team)) {
            m_readAll = true; // Earlier reads passed over its record.
        }
        (void)holderOf(team);
    }
    for (auto &[team, holder] : m_teams) {
        const auto found = limits.find(team);
        holder.limit = found == limits.end() ? 0 : found->second;
        holder.limitVersion = version;
    }
}

void allowance_manager::setLongestRun(milliseconds longest)
{
    const std::lock_guard lock(m_mutex);
    m_settings.maxRun = m_longestRunKnown ? std::max(m_settings.maxRun, longest) : longest;
    m_longestRunKnown = true;
}

bool allowance_manager::tryStart(const std::string &team)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_teams.find(team);
    if (found == m_teams.end() || found->second.running >= runningCap(found->second, m_settings)) {
        return false;
    }
    ++found->second.running;
    return true;
}

void allowance_manager::finished(const std::string &team)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_teams.find(team);
    if (found != m_teams.end() && found->second.running > 0) {
        --found->second.running;
    }
}

void allowance_manager::setRunning(const std::string &team, int running)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_teams.find(team);
    if (found != m_teams.end()) {
        found->second.running = running;
    }
}

void allowance_manager::setGuard(write_guard guard)
{
    const std::lock_guard lock(m_mutex);
    m_guard = std::move(guard);
}

void allowance_manager::setQueued(const std::string &team, int queued)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_teams.find(team);
    if (found != m_teams.end()) {
        found->second.queued = queued;
    }
}

void allowance_manager::provedDead(const std::string &holder, wall_time now)
{
    const std::lock_guard lock(m_mutex);
    m_proofs.emplace(holder, now);
}

std::vector<std::string> allowance_manager::holders() const
{
    std::set<std::string> ids;
    const std::lock_guard lock(m_mutex);
    for (const auto &[name, team] : m_teams) {
        for (const auto &[id, grant] : team.known.holders) {
            ids.insert(id);
        }
    }
    return {ids.begin(), ids.end()};
}

team_allowance allowance_manager::stateOf(const std::string &team) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_teams.find(team);
    if (found == m_teams.end()) {
        return {};
    }
    const auto &holder = found->second;
    return {holder.running, runningCap(holder, m_settings), holder.limit,
            othersRunning(holder.known, m_id)};
}

result<void> allowance_manager::readChanged()
{
    store_revision from = 0;
    {
        const std::lock_guard lock(m_mutex);
        from = std::exchange(m_readAll, false) ? 0 : m_readFrom;
    }
    const auto read = m_store.range({std::string(allowancePrefix), true, false, from});
    result<void> outcome;
    const std::lock_guard lock(m_mutex);
    if (!read) {
        m_readAll = m_readAll || from == 0;
        return tl::unexpected(read.error());
    }
    m_readFrom = read->revision + 1;
    for (const auto &entry : read->entries) {
        const auto team = entry.key.substr(allowancePrefix.size());
        auto record = decodeAllowance(entry.value);
        if (!record) {
            record.error().place = entry.key + record.error().place;
            outcome = tl::unexpected(record.error());
            m_readAll = true; // Reported until it can be read.
            continue;
        }
        if (const auto found = m_teams.find(team); found != m_teams.end()) {
            onRecordRead(found->second, std::move(*record), entry.modRevision);
        }
    }
    for (auto &[team, holder] : m_teams) {
        updateDemand(holder);
    }
    return outcome;
}

std::vector<std::string>
allowance_manager::planAll(wall_time now, std::vector<conditional_write> &writes, bool &resends)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> teams;
    for (auto &[team, holder] : m_teams) {
        updateStartLimit(holder, now, m_settings);
        resends = resends || holder.pending;
        auto next = planWrite(holder, m_proofs, now, m_settings);
        if (!next) {
            continue;
        }
        conditional_write write;
        write.key = std::string(allowancePrefix) + team;
        write.value = encodeAllowance(*next);
        write.guard = m_guard;
        beginWrite(holder, std::move(*next));
        if (m_settings.safeguards.conditionalWrites) {
            write.expectedRevision = holder.pending->expectedRevision;
        }
        writes.push_back(std::move(write));
        teams.push_back(team);
    }
    return teams;
}

result<bool> allowance_manager::writeSome(std::span<const std::string> teams,
                                          std::span<const conditional_write> writes)
{
    const auto written = m_store.applyBatch(writes);
    const std::lock_guard lock(m_mutex);
    if (!written) {
        // The writes stay pending even if this call certainly had no effect, since they may be
        // repetitions of uncertain ones. That costs at most one second of a lower grant.
        return tl::unexpected(written.error());
    }
    bool hasConflict = false;
    for (std::size_t i = 0; i < teams.size() && i < written->outcomes.size(); ++i) {
        auto &holder = m_teams[teams[i]];
        const auto &outcome = written->outcomes[i];
        if (outcome.applied) {
            onWriteApplied(holder, outcome.modRevision);
            continue;
        }
        hasConflict = true;
        if (!outcome.current) {
            continue;
        }
        auto current = decodeAllowance(outcome.current->value);
        if (current) {
            onRecordRead(holder, std::move(*current), outcome.current->modRevision);
        }
    }
    return hasConflict;
}

result<void> allowance_manager::adjust(wall_time now)
{
    auto read = readChanged();
    // A record that cannot be read concerns one team only; the others go on.
    if (!read && read.error().kind != error_kind::invalid_request) {
        return read;
    }
    constexpr int rounds = 2;
    for (int round = 0; round < rounds; ++round) {
        std::vector<conditional_write> writes;
        bool again = false;
        const auto teams = planAll(now, writes, again);
        for (std::size_t first = 0; first < teams.size(); first += maxBatchWrites) {
            const std::size_t count = std::min(maxBatchWrites, teams.size() - first);
            const auto some = writeSome(std::span(teams).subspan(first, count),
                                        std::span(writes).subspan(first, count));
            if (!some) {
                return tl::unexpected(some.error());
            }
            again = again || *some;
        }
        if (!again) {
            break;
        }
    }
    return read;
}

result<void> allowance_manager::release(wall_time now)
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        for (auto &[team, holder] : m_teams) {
            holder.stopping = true;
        }
    }
    return adjust(now);
}

} // namespace ibishinge
