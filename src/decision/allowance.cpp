#include <ibishinge/decision/allowance.h>

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <iterator>
#include <utility>
#include <vector>

namespace ibishinge {

namespace {

// Time after which the remainder of a division passes to the next holders. Within 4 s every holder
// can read the record and adjust its grant.
constexpr std::int64_t rotationPeriodMs = 4000;

// Prefix of the ids of holders for job pools. Their grants outlive the process, because the job
// records of the pool show what is running.
constexpr std::string_view jobHolderPrefix = "jobs/";

int sumOfGrants(const allowance_record &record) noexcept
{
    int sum = 0;
    for (const auto &[id, entry] : record.holders) {
        sum += entry.grant;
    }
    return sum;
}

int grantOf(const allowance_record &record, const std::string &id) noexcept
{
    const auto found = record.holders.find(id);
    return found == record.holders.end() || found->second.reclaimableAt ? 0 : found->second.grant;
}

/// Returns true if a change of use or demand is large enough for a write.
bool changedSignificantly(int before, int after) noexcept
{
    return std::abs(after - before) > std::max(2, before / 4) || (before == 0) != (after == 0);
}

/// Raises `granted` evenly up to `wanted`, in rounds that begin at the index `first`, until `left`
/// is used up.
void distributeEvenly(std::vector<int> &granted, const std::vector<int> &wanted, int &left,
                      std::size_t first)
{
    while (left > 0) {
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < wanted.size(); ++i) {
            const std::size_t index = (first + i) % wanted.size();
            if (granted[index] < wanted[index]) {
                open.push_back(index);
            }
        }
        if (open.empty()) {
            return;
        }
        const int each = left / static_cast<int>(open.size());
        for (const std::size_t index : open) {
            const int step = std::min({std::max(1, each), wanted[index] - granted[index], left});
            granted[index] += step;
            left -= step;
        }
    }
}

/// Sets the time from which the grants of dead holders are free, and removes holders with free
/// grants.
void reclaimDeadHolders(allowance_record &record, const std::string &self,
                        const dead_holders &deadHolders, wall_time now,
                        const allowance_settings &settings)
{
    for (auto it = record.holders.begin(); it != record.holders.end();) {
        auto &[id, entry] = *it;
        const auto dead = deadHolders.find(id);
        if (!entry.reclaimableAt && dead != deadHolders.end() && id != self
            && !id.starts_with(jobHolderPrefix)) {
            entry.reclaimableAt = dead->second + settings.maxRun + settings.clockSkew;
        }
        const bool isFree = entry.reclaimableAt
                            && (*entry.reclaimableAt <= now || !settings.safeguards.waitForRunTime);
        it = isFree && settings.safeguards.reclaimDead ? record.holders.erase(it) : std::next(it);
    }
}

/// Returns true if the demand of any live holder exceeds its grant.
bool isContended(const allowance_record &record) noexcept
{
    return std::any_of(record.holders.begin(), record.holders.end(), [](const auto &item) {
        return !item.second.reclaimableAt && item.second.demand > item.second.grant;
    });
}

int nextGrant(const allowance_holder &holder, const allowance_record &next, std::int64_t rotation,
              const allowance_settings &settings)
{
    const auto &guards = settings.safeguards;
    const int grant = grantOf(next, holder.id);
    const int sum = sumOfGrants(next);
    const int minGrant = guards.grantCoversRunning ? holder.running : 0;
    if (holder.stopping) {
        return std::min(grant, minGrant);
    }
    if (sum > next.limit && guards.keepSumRule) {
        const auto cut = static_cast<std::int64_t>(grant) * next.limit / sum;
        return std::min(grant, std::max(minGrant, static_cast<int>(cut)));
    }
    const int target = fairGrant(next, holder.id, rotation, settings);
    if (target >= grant) {
        const int room = std::max(0, next.limit - (sum - grant));
        return guards.keepSumRule ? std::max(grant, std::min(target, room)) : target;
    }
    if (!guards.returnIdle) {
        return grant;
    }
    if (isContended(next)) {
        return std::min(grant, std::max(minGrant, target));
    }
    // Hysteresis: a small surplus is kept and a large one is halved, so that alternating load does
    // not cause a write each second.
    const int surplus = grant - target;
    if (surplus <= std::max(2, grant / 4)) {
        return grant;
    }
    return std::min(grant, std::max(minGrant, grant - (surplus + 1) / 2));
}

bool needsWrite(const allowance_holder &holder, const allowance_record &next)
{
    if ((holder.knownRevision == 0 && !holder.stopping)
        || next.limitVersion != holder.known.limitVersion
        || next.holders.size() != holder.known.holders.size()) {
        return true;
    }
    for (const auto &[id, entry] : next.holders) {
        const auto old = holder.known.holders.find(id);
        if (old == holder.known.holders.end() || old->second.grant != entry.grant
            || old->second.reclaimableAt != entry.reclaimableAt) {
            return true;
        }
        const bool lacked = old->second.demand > old->second.grant;
        if (lacked != (entry.demand > entry.grant)
            || changedSignificantly(old->second.demand, entry.demand)
            || changedSignificantly(old->second.use, entry.use)) {
            return true;
        }
    }
    return false;
}

} // namespace

int runningCap(const allowance_holder &holder, const allowance_settings &settings) noexcept
{
    if (holder.stopping || holder.knownRevision == 0) {
        return 0;
    }
    const int recorded = grantOf(holder.known, holder.id);
    int cap = recorded;
    if (holder.pending) {
        const int written = grantOf(holder.pending->record, holder.id);
        cap =
            settings.safeguards.lowerWhilePending ? std::min(cap, written) : std::max(cap, written);
    }
    if (settings.safeguards.capByOthers) {
        const int limit =
            holder.limitVersion > holder.known.limitVersion ? holder.limit : holder.known.limit;
        cap = std::min(cap, limit - (sumOfGrants(holder.known) - recorded));
    }
    return std::max(0, std::min(cap, holder.startLimit));
}

void updateDemand(allowance_holder &holder) noexcept
{
    holder.demand = std::max(holder.running + holder.queued, holder.demand * 7 / 10);
}

void updateStartLimit(allowance_holder &holder, wall_time now, const allowance_settings &settings)
{
    holder.startLimit = std::numeric_limits<int>::max();
    allowance_record record = holder.known;
    const auto own = record.holders.find(holder.id);
    if (own == record.holders.end() || !settings.safeguards.returnIdle) {
        return;
    }
    own->second.demand = holder.demand;
    if (isContended(record)) {
        holder.startLimit =
            fairGrant(record, holder.id, sinceEpoch(now).count() / rotationPeriodMs, settings);
    }
}

int fairGrant(const allowance_record &record, const std::string &id, std::int64_t rotation,
              const allowance_settings &settings)
{
    int left = record.limit;
    std::size_t own = 0;
    bool found = false;
    std::vector<int> demands;
    std::vector<int> wanted;
    for (const auto &[holder, entry] : record.holders) {
        if (entry.reclaimableAt) {
            left -= entry.grant;
            continue;
        }
        if (holder == id) {
            own = demands.size();
            found = true;
        }
        // One unit more than the demand, so that an urgent request does not wait for the end of a
        // run.
        demands.push_back(entry.demand + (entry.demand > 0 ? 1 : 0));
        wanted.push_back(entry.demand + std::max(settings.minHeadroom, entry.use / 4));
    }
    if (!found) {
        return 0;
    }
    std::vector<int> granted(demands.size(), 0);
    const std::size_t first = static_cast<std::size_t>(rotation) % demands.size();
    distributeEvenly(granted, demands, left, first);
    distributeEvenly(granted, wanted, left, first);
    return granted[own];
}

int othersRunning(const allowance_record &record, std::string_view id) noexcept
{
    int use = 0;
    for (const auto &[holder, entry] : record.holders) {
        use += holder == id ? 0 : entry.use;
    }
    return use;
}

std::optional<allowance_record> planWrite(const allowance_holder &holder,
                                          const dead_holders &deadHolders, wall_time now,
                                          const allowance_settings &settings)
{
    if (holder.pending) {
        return holder.pending->record;
    }
    if (holder.limitVersion == 0 && holder.knownRevision == 0) {
        return std::nullopt; // The configuration with the limit was not read yet.
    }
    allowance_record next = holder.known;
    if (holder.limitVersion > next.limitVersion) {
        next.limit = holder.limit;
        next.limitVersion = holder.limitVersion;
    }
    reclaimDeadHolders(next, holder.id, deadHolders, now, settings);

    const auto known = holder.known.holders.find(holder.id);
    const bool declaredDead = known != holder.known.holders.end() && known->second.reclaimableAt;
    if (holder.stopping && holder.running == 0) {
        next.holders.erase(holder.id);
    } else if (!declaredDead) {
        auto &own = next.holders[holder.id];
        own.use = holder.running;
        own.demand = holder.stopping ? holder.running : holder.demand;
        const std::int64_t rotation = sinceEpoch(now).count() / rotationPeriodMs;
        own.grant = nextGrant(holder, next, rotation, settings);
        if (holder.stopping) {
            // Requests that still run at targets may outlive this process by at most `maxRun`.
            own.reclaimableAt = now + settings.maxRun + settings.clockSkew;
        }
    }
    if (!needsWrite(holder, next)) {
        return std::nullopt;
    }
    return next;
}

void beginWrite(allowance_holder &holder, allowance_record record)
{
    if (!holder.pending) {
        holder.pending = pending_allowance {std::move(record), holder.knownRevision};
    }
}

void onWriteApplied(allowance_holder &holder, std::int64_t revision)
{
    if (!holder.pending) {
        return;
    }
    holder.known = std::move(holder.pending->record);
    holder.knownRevision = revision;
    holder.pending.reset();
}

void onRecordRead(allowance_holder &holder, allowance_record record, std::int64_t revision)
{
    if (revision < holder.knownRevision) {
        return;
    }
    holder.known = std::move(record);
    holder.knownRevision = revision;
    if (holder.pending && holder.pending->expectedRevision != revision) {
        holder.pending.reset();
    }
}

} // namespace ibishinge
