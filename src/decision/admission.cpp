#include <ibishinge/decision/admission.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace ibishinge {

namespace {

using duration_ms = std::chrono::duration<double, std::milli>;

double elapsedMs(monotonic_time from, monotonic_time to) noexcept
{
    return std::max(0.0, duration_ms(to - from).count());
}

milliseconds roundToMs(double ms) noexcept
{
    return milliseconds(std::llround(std::clamp(ms, 0.0, 1e9)));
}

void addSample(run_time_estimate &estimate, double ms, monotonic_time now) noexcept
{
    if (estimate.samples == 0) {
        estimate.meanMs = ms;
        estimate.deviationMs = ms / 2;
    } else {
        // Gains of RFC 6298: 1/4 for the deviation, 1/8 for the mean.
        estimate.deviationMs += (std::abs(ms - estimate.meanMs) - estimate.deviationMs) / 4;
        estimate.meanMs += (ms - estimate.meanMs) / 8;
    }
    ++estimate.samples;
    estimate.lastSample = now;
}

double decayedMeanMs(const admission_table &table, const run_time_estimate &estimate,
                     monotonic_time now) noexcept
{
    const double halfLife = static_cast<double>(table.settings.estimateHalfLife.count());
    return estimate.meanMs * std::exp2(-elapsedMs(estimate.lastSample, now) / halfLife);
}

double estimatedRunMs(const admission_table &table, const team_queue &queue,
                      const admission_service &service, monotonic_time now) noexcept
{
    // A mean of fewer samples depends more on single requests than on the team.
    constexpr int minTeamSamples = 8;
    if (table.settings.policy.learnRunTimes && queue.runTime.samples >= minTeamSamples) {
        return decayedMeanMs(table, queue.runTime, now);
    }
    if (table.settings.policy.learnRunTimes && service.runTime.samples > 0) {
        return decayedMeanMs(table, service.runTime, now);
    }
    return static_cast<double>(table.settings.defaultRunTime.count());
}

/// Returns the gain of an exponential average with the time constant `constant` after `elapsed` ms.
double smoothingGain(milliseconds constant, double elapsed) noexcept
{
    return 1
           - std::exp(-elapsed / static_cast<double>(std::max<std::int64_t>(1, constant.count())));
}

/// Updates the averages of the team's use to `now`. Must be called before the use changes.
void updateAverages(const admission_table &table, admission_team &team, monotonic_time now) noexcept
{
    const double elapsed = elapsedMs(team.averagedAt, now);
    team.averageRunning += smoothingGain(table.settings.ownAveragingTime, elapsed)
                           * (team.running - team.averageRunning);
    team.averageUseOfOthers += smoothingGain(table.settings.othersAveragingTime, elapsed)
                               * (team.othersRunning - team.averageUseOfOthers);
    team.averagedAt = std::max(team.averagedAt, now);
}

/// Returns the use of the team relative to its weight; the team with the lowest use is served next.
double weightedUse(const admission_table &table, const admission_team &team) noexcept
{
    const double averageUseOfOthers =
        table.settings.policy.countOtherProcesses ? team.averageUseOfOthers : 0;
    return (team.running + table.settings.recentUseWeight * team.averageRunning
            + averageUseOfOthers)
           / team.weight;
}

bool isWaiting(const team_queue &queue) noexcept
{
    return !queue.urgent.empty() || !queue.normal.empty();
}

/// Returns the slots of the service that this process uses or could use.
int slotsOfService(const admission_service &service) noexcept
{
    return std::max(1, service.running + service.freeSlots);
}

/// Returns the team's weighted share of the slots among the teams with waiting or running requests
/// for the service `name`.
double shareOfSlots(const admission_table &table, const std::string &name,
                    const admission_team &team, int slots) noexcept
{
    double weights = 0;
    for (const auto &[other, entry] : table.teams) {
        const auto queue = entry.queues.find(name);
        if (queue != entry.queues.end()
            && (isWaiting(queue->second) || queue->second.running > 0)) {
            weights += entry.weight;
        }
    }
    return weights <= 0 ? slots : slots * std::min(1.0, team.weight / weights);
}

/// Returns the estimated time until a new request would start, in ms.
double estimatedWaitMs(const admission_table &table, const waiting_request &request,
                       const admission_team &team, const team_queue &queue, double runMs)
{
    const auto found = table.services.find(request.service);
    const admission_service none;
    const auto &service = found == table.services.end() ? none : found->second;
    const std::size_t ahead = queue.urgent.size() + (request.urgent ? 0 : queue.normal.size());
    if (ahead == 0 && service.freeSlots > 0) {
        return 0;
    }
    double slots = shareOfSlots(table, request.service, team, slotsOfService(service));
    // A team gets more than its share if other teams leave slots idle.
    slots = std::max({1.0, slots, static_cast<double>(queue.running)});
    slots = std::min(slots, std::max(1.0, static_cast<double>(team.cap)));
    return (static_cast<double>(ahead) + 1) * runMs / slots;
}

error makeRefusal(const admission_table &table, error_kind kind, const waiting_request &request,
                  std::string message, double baseDelayMs)
{
    error refusal {
        kind, "team " + request.team + ", service " + request.service, std::move(message), {}};
    // Extends the delay by up to half, so that callers that were refused at the same time do not
    // retry at the same time.
    const double jitter = static_cast<double>((request.id * 0x9E3779B97F4A7C15ULL) >> 40U)
                          / static_cast<double>(1U << 25U);
    refusal.retryAfter = std::clamp(roundToMs(baseDelayMs * (1 + jitter)),
                                    table.settings.minRetryAfter, table.settings.maxRetryAfter);
    return refusal;
}

/// Distinguishes a team that uses up its limit from a fleet without free capacity.
error_kind refusalKind(const admission_team &team) noexcept
{
    return team.running + team.othersRunning >= team.limit ? error_kind::over_limit
                                                           : error_kind::overloaded;
}

error makeQueuedRefusal(const admission_table &table, const waiting_request &request,
                        const admission_team &team, const team_queue &queue, double runMs,
                        monotonic_time now)
{
    const double wait = estimatedWaitMs(table, request, team, queue, runMs);
    const bool passed = request.deadline <= now;
    return makeRefusal(
        table, refusalKind(team), request,
        passed ? "deadline passed in the queue" : "deadline cannot be met any longer", wait);
}

std::deque<team_queue::entry>::iterator findEntry(std::deque<team_queue::entry> &entries,
                                                  std::uint64_t id)
{
    return std::find_if(entries.begin(), entries.end(),
                        [id](const team_queue::entry &entry) { return entry.id == id; });
}

bool canMeetDeadline(const admission_table &table, const team_queue::entry &entry, double runMs,
                     monotonic_time now) noexcept
{
    const double left = duration_ms(entry.deadline - now).count();
    return left > (table.settings.policy.refuseByDeadline ? runMs : 0);
}

/// Refuses the entries at the front of the queue whose deadline cannot be met.
void refuseUnmeetable(admission_table &table, const admission_team &team, team_queue &queue,
                      std::deque<team_queue::entry> &entries, double runMs, monotonic_time now)
{
    while (!entries.empty() && !canMeetDeadline(table, entries.front(), runMs, now)) {
        const auto found = table.waiting.find(entries.front().id);
        table.refused.push_back(
            {found->first, makeQueuedRefusal(table, found->second, team, queue, runMs, now)});
        table.waiting.erase(found);
        entries.pop_front();
    }
}

/// A team that may start a request of the service.
struct candidate
{
    const std::string *name = nullptr;
    admission_team *team = nullptr;
    team_queue *queue = nullptr;
    bool urgentFirst = false; ///< has an urgent request and runs fewer of them than its share
    double score = 0; ///< use of the team relative to its weight
    monotonic_time oldest; ///< arrival of the request to start
};

/// Returns true if `a` starts before `b`. Not `fair`: requests start in order of arrival.
bool comesBefore(const candidate &a, const candidate &b, bool fair) noexcept
{
    if (a.urgentFirst != b.urgentFirst) {
        return a.urgentFirst;
    }
    if (fair && a.score != b.score) {
        return a.score < b.score;
    }
    return a.oldest < b.oldest;
}

candidate makeCandidate(const admission_table &table, const std::string &service, int slots,
                        const std::string &name, admission_team &team, team_queue &queue)
{
    candidate result {&name, &team, &queue, false, weightedUse(table, team), {}};
    if (!queue.urgent.empty()) {
        // A team whose share is below one slot may still run one urgent request.
        const double bound = std::max(1.0, shareOfSlots(table, service, team, slots));
        result.urgentFirst = !table.settings.policy.boundUrgent || queue.urgentRunning < bound;
        result.oldest = queue.urgent.front().queuedAt;
    } else {
        result.oldest = queue.normal.front().queuedAt;
    }
    return result;
}

/// Starts the first request of the queue, urgent requests first.
started_request startFront(admission_table &table, const std::string &service,
                           const candidate &chosen, monotonic_time now)
{
    const bool urgent = !chosen.queue->urgent.empty();
    auto &entries = urgent ? chosen.queue->urgent : chosen.queue->normal;
    const std::uint64_t id = entries.front().id;
    entries.pop_front();
    updateAverages(table, *chosen.team, now);
    ++chosen.team->running;
    ++chosen.queue->running;
    chosen.queue->urgentRunning += urgent ? 1 : 0;
    ++table.services[service].running;
    table.waiting.erase(id);
    table.running[id] = {*chosen.name, service, urgent, now};
    return {id, *chosen.name};
}

/// Refuses the entries whose deadline cannot be met, or all of them during shutdown.
void expireEntries(admission_table &table, const admission_team &team, team_queue &queue,
                   std::deque<team_queue::entry> &entries, double runMs, monotonic_time now)
{
    std::deque<team_queue::entry> kept;
    for (const auto &entry : entries) {
        const auto found = table.waiting.find(entry.id);
        if (table.shuttingDown) {
            table.refused.push_back({entry.id, makeRefusal(table, error_kind::shutting_down,
                                                           found->second, "not started", 0)});
        } else if (!canMeetDeadline(table, entry, runMs, now)) {
            table.refused.push_back(
                {entry.id, makeQueuedRefusal(table, found->second, team, queue, runMs, now)});
        } else {
            kept.push_back(entry);
            continue;
        }
        table.waiting.erase(found);
    }
    entries.swap(kept);
}

} // namespace

void setTeam(admission_table &table, const std::string &team, double weight)
{
    table.teams[team].weight = weight;
}

void setAllowance(admission_table &table, const std::string &team,
                  const admission_allowance &allowance, monotonic_time now)
{
    auto &entry = table.teams[team];
    if (entry.averagedAt == monotonic_time {}) {
        entry.averageUseOfOthers = allowance.othersRunning;
        entry.averagedAt = now;
    }
    updateAverages(table, entry, now);
    entry.cap = allowance.cap;
    entry.limit = allowance.limit;
    entry.othersRunning = allowance.othersRunning;
}

void setService(admission_table &table, const std::string &service, std::size_t queueBound)
{
    table.services[service].queueBound = queueBound;
}

result<void> submit(admission_table &table, const waiting_request &request, monotonic_time now)
{
    if (table.shuttingDown) {
        return tl::unexpected(
            makeRefusal(table, error_kind::shutting_down, request, "this process is stopping", 0));
    }
    const auto found = table.teams.find(request.team);
    if (found == table.teams.end()) {
        return tl::unexpected(makeRefusal(table, error_kind::not_ready, request,
                                          "the team is not in the configuration in effect", 1000));
    }
    auto &team = found->second;
    auto &queue = team.queues[request.service];
    const double runMs = estimatedRunMs(table, queue, table.services[request.service], now);
    const double wait = estimatedWaitMs(table, request, team, queue, runMs);
    const std::size_t queued = queue.urgent.size() + queue.normal.size();
    const std::size_t ownBound = table.services[request.service].queueBound;
    const std::size_t bound = ownBound > 0 ? ownBound : table.settings.queueBound;
    const bool isFull = queued >= bound
                        || static_cast<std::size_t>(queuedRequests(table, request.team))
                               >= table.settings.teamBound;
    if (table.settings.policy.boundQueues && isFull) {
        return tl::unexpected(
            makeRefusal(table, refusalKind(team), request, "the queue is full", wait));
    }
    const double left = duration_ms(request.deadline - now).count();
    // A request that can start at once is not refused because of the run time estimate. It may run
    // as a probe, whose duration corrects an estimate that is too high.
    const bool tooLate = wait > 0 && table.settings.policy.refuseByDeadline && wait + runMs > left;
    if (left <= 0 || tooLate) {
        return tl::unexpected(makeRefusal(
            table, refusalKind(team), request,
            "the deadline cannot be met: expected wait " + std::to_string(roundToMs(wait).count())
                + " ms, run " + std::to_string(roundToMs(runMs).count()) + " ms",
            std::max(wait, wait + runMs - left)));
    }
    (request.urgent ? queue.urgent : queue.normal).push_back({request.id, now, request.deadline});
    table.waiting[request.id] = request;
    return {};
}

std::vector<started_request> startNext(admission_table &table, const std::string &service,
                                       int freeSlots, monotonic_time now,
                                       const reserve_function &reserve)
{
    std::vector<started_request> started;
    auto &entry = table.services[service];
    entry.freeSlots = std::max(0, freeSlots);
    std::vector<candidate> candidates;
    for (auto &[name, team] : table.teams) {
        const auto queue = team.queues.find(service);
        if (queue != team.queues.end() && isWaiting(queue->second)) {
            updateAverages(table, team, now);
            candidates.push_back({&name, &team, &queue->second, false, 0, {}});
        }
    }
    while (entry.freeSlots > 0 && !candidates.empty()) {
        const int slots = slotsOfService(entry);
        auto best = candidates.end();
        for (auto it = candidates.begin(); it != candidates.end();) {
            const double runMs = estimatedRunMs(table, *it->queue, entry, now);
            if (it->team->running < it->team->cap) {
                // While the team runs nothing for the service, the run time estimate is not used:
                // the next request runs as a probe, whose duration corrects the estimate.
                const double bound = it->queue->running == 0 ? 0 : runMs;
                refuseUnmeetable(table, *it->team, *it->queue, it->queue->urgent, bound, now);
                refuseUnmeetable(table, *it->team, *it->queue, it->queue->normal, bound, now);
            }
            if (it->team->running >= it->team->cap || !isWaiting(*it->queue)) {
                it = candidates.erase(it);
                best = candidates.end();
                continue;
            }
            *it = makeCandidate(table, service, slots, *it->name, *it->team, *it->queue);
            ++it;
        }
        best = std::min_element(candidates.begin(), candidates.end(),
                                [&](const auto &a, const auto &b) {
                                    return comesBefore(a, b, table.settings.policy.fairQueueing);
                                });
        if (best == candidates.end()) {
            break;
        }
        if (reserve && !reserve(*best->name)) {
            candidates.erase(best);
            continue;
        }
        started.push_back(startFront(table, service, *best, now));
        --entry.freeSlots;
    }
    return started;
}

std::vector<refused_request> expire(admission_table &table, monotonic_time now)
{
    for (auto &[name, team] : table.teams) {
        for (auto &[service, queue] : team.queues) {
            if (!isWaiting(queue)) {
                continue;
            }
            const double runMs = estimatedRunMs(table, queue, table.services[service], now);
            expireEntries(table, team, queue, queue.urgent, runMs, now);
            expireEntries(table, team, queue, queue.normal, runMs, now);
        }
    }
    return std::exchange(table.refused, {});
}

void finish(admission_table &table, std::uint64_t id, run_sample sample, monotonic_time now)
{
    const auto found = table.running.find(id);
    if (found == table.running.end()) {
        return;
    }
    const auto run = std::move(found->second);
    table.running.erase(found);
    auto &team = table.teams[run.team];
    auto &queue = team.queues[run.service];
    auto &service = table.services[run.service];
    updateAverages(table, team, now);
    --team.running;
    --queue.running;
    queue.urgentRunning -= run.urgent ? 1 : 0;
    --service.running;
    ++service.freeSlots;
    if (sample == run_sample::complete) {
        const double ms = elapsedMs(run.startedAt, now);
        addSample(queue.runTime, ms, now);
        addSample(service.runTime, ms, now);
    }
}

bool cancel(admission_table &table, std::uint64_t id)
{
    const auto found = table.waiting.find(id);
    if (found == table.waiting.end()) {
        return false;
    }
    auto &queue = table.teams[found->second.team].queues[found->second.service];
    auto &entries = found->second.urgent ? queue.urgent : queue.normal;
    entries.erase(findEntry(entries, id));
    table.waiting.erase(found);
    return true;
}

void beginShutdown(admission_table &table) noexcept
{
    table.shuttingDown = true;
}

int queuedRequests(const admission_table &table, const std::string &team) noexcept
{
    const auto found = table.teams.find(team);
    std::size_t queued = 0;
    if (found != table.teams.end()) {
        for (const auto &[service, queue] : found->second.queues) {
            queued += queue.urgent.size() + queue.normal.size();
        }
    }
    return static_cast<int>(queued);
}

milliseconds expectedRun(const admission_table &table, const std::string &team,
                         const std::string &service, monotonic_time now)
{
    const auto found = table.services.find(service);
    const auto owner = table.teams.find(team);
    const admission_service none;
    const team_queue empty;
    const team_queue *queue = &empty;
    if (owner != table.teams.end()) {
        const auto it = owner->second.queues.find(service);
        queue = it == owner->second.queues.end() ? &empty : &it->second;
    }
    return roundToMs(
        estimatedRunMs(table, *queue, found == table.services.end() ? none : found->second, now));
}

} // namespace ibishinge
