#include <ibishinge/decision/placement.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <random>
#include <utility>

namespace ibishinge {

namespace {

using action_list = std::vector<placement_action>;

/// Largest number of jobs of one shape that are skipped in one tick because they have failed on all
/// workers with room.
constexpr int maxSkippedJobs = 16;

/// Largest number of urgent jobs for which other jobs are preempted in one tick.
constexpr int maxPreemptionsPerTick = 32;

struct placement_pass
{
    pool_tables &tables;
    wall_time now;
    std::mt19937_64 random;
    const placement_settings &settings;
    action_list actions;
    int starts = 0;
};

bool isHeldForOther(const worker_row &worker, const std::string &job, wall_time now)
{
    return !worker.heldFor.empty() && worker.heldUntil > now && worker.heldFor != job;
}

bool hasRoom(const placement_pass &pass, const worker_row &worker, const resources &need)
{
    return fits(need,
                pass.settings.safeguards.enforceWorkerCapacity ? worker.free : worker.capacity);
}

/// Examines the fitting workers with the fewest free processors, with or without accelerators, and
/// returns the one on the rack with the fewest active jobs of the queue; null if no worker fits.
const worker_row *bestWorkerInGroup(const placement_pass &pass, const job_row &job,
                                    const std::string &name, const resources &need,
                                    bool accelerators)
{
    const auto domains = pass.tables.activeByQueueAndRack.find(job.record.queue);
    const auto load = [&](const worker_row &worker) {
        if (domains == pass.tables.activeByQueueAndRack.end()) {
            return 0;
        }
        const auto found = domains->second.find(worker.rack);
        return found == domains->second.end() ? 0 : found->second;
    };
    const std::int64_t least =
        pass.settings.safeguards.enforceWorkerCapacity ? need.processors : INT64_MIN;
    const worker_row *best = nullptr;
    int bestLoad = 0;
    std::size_t candidates = 0;
    for (auto it = pass.tables.workersByFree.lower_bound({accelerators, least, ""});
         it != pass.tables.workersByFree.end() && std::get<0>(*it) == accelerators
         && candidates < pass.settings.fitCandidates;
         ++it) {
        const auto &worker = pass.tables.workers.find(std::get<2>(*it))->second;
        if (!isUsable(worker, pass.now) || !hasRoom(pass, worker, need)
            || isHeldForOther(worker, name, pass.now) || job.avoidedWorkers.contains(worker.id)) {
            continue;
        }
        ++candidates;
        const int rackLoad = load(worker);
        if (best == nullptr || rackLoad < bestLoad) {
            best = &worker;
            bestLoad = rackLoad;
        }
    }
    return best;
}

/// Clears the workers that a job avoids if no other usable worker is large enough for it.
void clearAvoidedIfNoAlternative(const placement_pass &pass, job_row &job, const resources &need)
{
    const bool canAvoid =
        std::any_of(pass.tables.workers.begin(), pass.tables.workers.end(), [&](const auto &item) {
            return isUsable(item.second, pass.now) && fits(need, item.second.capacity)
                   && !job.avoidedWorkers.contains(item.first);
        });
    if (!canAvoid) {
        job.avoidedWorkers.clear();
    }
}

const worker_row *bestWorker(const placement_pass &pass, const job_row &job,
                             const std::string &name, const resources &need)
{
    // Workers with accelerators are kept for the jobs that need them while another worker has room.
    if (need.accelerators == 0) {
        if (const auto *plain = bestWorkerInGroup(pass, job, name, need, false)) {
            return plain;
        }
    }
    return bestWorkerInGroup(pass, job, name, need, true);
}

/// Takes the name by value, since the callers pass a reference into an index that this function
/// changes.
void start(placement_pass &pass, std::string name, const worker_row &worker, const resources &need)
{
    const std::string id = worker.id;
    auto &row = pass.tables.workers.find(id)->second;
    if (row.heldFor == name) {
        row.heldFor.clear();
        pass.tables.heldWorkers.erase(id);
    }
    event_details details;
    details.worker = id;
    details.reserved = need;
    if (applyEvent(pass.tables, name, job_event::place, pass.now, details)) {
        pass.actions.push_back({placement_kind::start, std::move(name), id, need, {}});
        ++pass.starts;
    }
}

bool isBelowTeamCap(const placement_pass &pass, const std::string &team)
{
    const auto found = pass.tables.teams.find(team);
    return !pass.settings.safeguards.enforceTeamCap
           || (found != pass.tables.teams.end() && found->second.active < found->second.cap);
}

bool isBelowQueueCap(const placement_pass &pass, const std::string &queue)
{
    const auto found = pass.tables.queues.find(queue);
    return found == pass.tables.queues.end() || found->second.active < found->second.cap;
}

/// Returns the team with the fewest reserved processors relative to its weight, among the teams
/// below their cap that have placeable jobs of the class, or `std::nullopt`.
std::optional<std::string> nextTeam(const placement_pass &pass, bool normalClass)
{
    std::optional<std::string> best;
    double lowest = std::numeric_limits<double>::infinity();
    for (auto it = pass.tables.placeableShapes.lower_bound({normalClass, ""});
         it != pass.tables.placeableShapes.end() && it->first.first == normalClass; ++it) {
        const auto &team = it->first.second;
        if (!isBelowTeamCap(pass, team)) {
            continue;
        }
        const auto row = pass.tables.teams.find(team);
        const double share = row == pass.tables.teams.end()
                                 ? 0
                                 : static_cast<double>(row->second.processors) / row->second.weight;
        if (share < lowest) {
            lowest = share;
            best = team;
        }
    }
    return best;
}

/// Starts one job of the shape with the team's oldest job, or blocks the shape if no worker has
/// room for it or its queue is at its cap.
void placeFromTeam(placement_pass &pass, const std::string &team, bool normalClass)
{
    const job_shape shape = pass.tables.placeableShapes[{normalClass, team}].begin()->second;
    if (!isBelowQueueCap(pass, shape.queue)) {
        setBlocked(pass.tables, shape, true);
        return;
    }
    auto &row = pass.tables.shapes.find(shape)->second;
    int skippedJobs = 0;
    row.blockedByAvoidance = true;
    for (const auto &[submitted, name] : row.jobs) {
        auto &job = pass.tables.jobs.find(name)->second;
        const auto need = reservationFor(pass.tables, job.record, pass.settings);
        if (!job.avoidedWorkers.empty()) {
            clearAvoidedIfNoAlternative(pass, job, need);
        }
        if (const auto *worker = bestWorker(pass, job, name, need)) {
            start(pass, name, *worker, need);
            return;
        }
        if (job.avoidedWorkers.empty()) {
            row.blockedByAvoidance = false;
            break;
        }
        if (++skippedJobs == maxSkippedJobs) {
            break;
        }
    }
    setBlocked(pass.tables, shape, true);
}

/// Applies the rule without `skipBlockedShapes`: while the shape with the team's oldest job is
/// blocked, its other shapes are blocked as well.
void blockTeamBehindHead(placement_pass &pass, const std::string &team, bool normalClass)
{
    const auto open = pass.tables.placeableShapes.find({normalClass, team});
    if (open == pass.tables.placeableShapes.end()) {
        return;
    }
    const auto oldest = open->second.begin()->first;
    const auto &blocked = pass.tables.blockedShapes;
    const bool isBehind = std::any_of(blocked.begin(), blocked.end(), [&](const auto &shape) {
        return shape.team == team && *pass.tables.shapes.at(shape).jobs.begin() < oldest;
    });
    if (!isBehind) {
        return;
    }
    const auto behind = open->second;
    for (const auto &[head, shape] : behind) {
        setBlocked(pass.tables, shape, true);
    }
}

void placeWorkClass(placement_pass &pass, bool normalClass)
{
    while (pass.starts < pass.settings.maxStartsPerTick) {
        const auto team = nextTeam(pass, normalClass);
        if (!team) {
            return;
        }
        placeFromTeam(pass, *team, normalClass);
        if (!pass.settings.safeguards.skipBlockedShapes) {
            blockTeamBehindHead(pass, *team, normalClass);
        }
    }
}

void refuseOversizedJobs(placement_pass &pass)
{
    if (!pass.tables.areWorkerSizesKnown || pass.tables.capacities.empty()) {
        return;
    }
    for (const auto &shape : std::exchange(pass.tables.shapesToCheckForFit, {})) {
        const bool fitsOne =
            std::any_of(pass.tables.capacities.begin(), pass.tables.capacities.end(),
                        [&](const auto &capacity) { return fits(shape.declared, capacity.first); });
        if (fitsOne) {
            continue;
        }
        const auto jobs = pass.tables.shapes.at(shape).jobs;
        const std::string reason = "fits no worker of the pool: needs "
                                   + std::to_string(shape.declared.processors) + " processors, "
                                   + std::to_string(shape.declared.memoryMb) + " MB and "
                                   + std::to_string(shape.declared.accelerators) + " accelerators";
        for (const auto &[submitted, name] : jobs) {
            event_details details;
            details.reason = reason;
            if (applyEvent(pass.tables, name, job_event::fail, pass.now, details)) {
                pass.actions.push_back({placement_kind::refuse, name, "", {}, reason});
            }
        }
    }
}

void processExpirations(placement_pass &pass)
{
    auto &tables = pass.tables;
    while (!tables.delayed.empty() && tables.delayed.begin()->first <= pass.now) {
        const auto [time, name] = *tables.delayed.begin();
        tables.delayed.erase(tables.delayed.begin());
        auto &job = tables.jobs.at(name);
        const auto record = job.record;
        const auto revision = job.revision;
        job.revision = -1;
        putJob(tables, record, revision, pass.now);
    }
    for (auto it = tables.heldWorkers.begin(); it != tables.heldWorkers.end();) {
        auto &worker = tables.workers.at(*it);
        if (worker.heldUntil > pass.now && tables.jobs.contains(worker.heldFor)
            && tables.jobs.at(worker.heldFor).record.state == job_state::waiting) {
            ++it;
            continue;
        }
        worker.heldFor.clear();
        tables.workersWithNewRoom.insert(*it);
        it = tables.heldWorkers.erase(it);
    }
    for (auto it = tables.quarantinedWorkers.begin(); it != tables.quarantinedWorkers.end();) {
        auto &worker = tables.workers.at(*it);
        if (worker.quarantinedUntil.value_or(pass.now) > pass.now) {
            ++it;
            continue;
        }
        worker.quarantinedUntil.reset();
        worker.successes = 0;
        worker.failedJobs.clear();
        tables.workersWithNewRoom.insert(*it);
        it = tables.quarantinedWorkers.erase(it);
    }
}

void unblockShapes(placement_pass &pass)
{
    auto &tables = pass.tables;
    std::vector<const worker_row *> grown;
    resources largestFree {INT64_MIN, INT64_MIN, INT64_MIN};
    for (const auto &id : std::exchange(tables.workersWithNewRoom, {})) {
        const auto &worker = tables.workers.at(id);
        if (isUsable(worker, pass.now)) {
            grown.push_back(&worker);
            largestFree = {std::max(largestFree.processors, worker.free.processors),
                           std::max(largestFree.memoryMb, worker.free.memoryMb),
                           std::max(largestFree.accelerators, worker.free.accelerators)};
        }
    }
    const auto queuesWithNewRoom = std::exchange(tables.queuesWithNewRoom, {});
    if (grown.empty() && queuesWithNewRoom.empty()) {
        return;
    }
    std::vector<job_shape> open;
    for (const auto &shape : tables.blockedShapes) {
        if (queuesWithNewRoom.contains(shape.queue)) {
            open.push_back(shape);
            continue;
        }
        const auto &name = tables.shapes.at(shape).jobs.begin()->second;
        const auto need = reservationFor(tables, tables.jobs.at(name).record, pass.settings);
        if (fits(need, largestFree)
            && std::any_of(grown.begin(), grown.end(),
                           [&](const auto *worker) { return fits(need, worker->free); })) {
            open.push_back(shape);
        }
    }
    for (const auto &shape : open) {
        setBlocked(tables, shape, false);
    }
}

/// Jobs to throttle or checkpoint on one worker to make room for an urgent job.
struct preemption_plan
{
    placement_kind kind = placement_kind::throttle;
    std::string worker;
    std::vector<std::string> jobs;
    /// Throttled jobs, or processor-seconds of lost work.
    double cost = std::numeric_limits<double>::infinity();
};

resources halved(const resources &full)
{
    return {(full.processors + 1) / 2, full.memoryMb, full.accelerators};
}

/// Returns the work, in processor-seconds, that stopping the job may lose.
double lostWork(const job_row &job, wall_time now)
{
    const std::chrono::duration<double> ran = now - job.startedAt;
    return ran.count() * static_cast<double>(job.record.reserved.processors);
}

std::optional<preemption_plan> planThrottle(const placement_pass &pass, const worker_row &worker,
                                            const resources &need)
{
    preemption_plan plan {placement_kind::throttle, worker.id, {}, 0};
    resources room = worker.free;
    for (const auto &name : worker.jobs) {
        if (fits(need, room)) {
            break;
        }
        const auto &job = pass.tables.jobs.at(name);
        if (job.record.workClass == work_class::urgent || job.unthrottledReservation
            || job.record.state != job_state::running || job.record.reserved.processors < 2) {
            continue;
        }
        room.processors += job.record.reserved.processors - halved(job.record.reserved).processors;
        plan.jobs.push_back(name);
        plan.cost += 1;
    }
    return fits(need, room) ? std::optional(plan) : std::nullopt;
}

std::optional<preemption_plan> planCheckpoint(const placement_pass &pass, const worker_row &worker,
                                              const resources &need)
{
    preemption_plan plan {placement_kind::checkpoint, worker.id, {}, 0};
    std::vector<std::pair<double, std::string>> victims;
    resources room = worker.free;
    for (const auto &name : worker.jobs) {
        const auto &job = pass.tables.jobs.at(name);
        if (job.record.workClass == work_class::urgent || !job.record.repeatable) {
            continue;
        }
        if (job.record.state == job_state::checkpointing) {
            room += job.record.reserved;
        } else if (job.record.state == job_state::running) {
            victims.emplace_back(lostWork(job, pass.now), name);
        }
    }
    std::sort(victims.begin(), victims.end());
    for (const auto &[loss, name] : victims) {
        if (fits(need, room)) {
            break;
        }
        const auto &reserved = pass.tables.jobs.at(name).record.reserved;
        room += reserved;
        plan.jobs.push_back(name);
        plan.cost += loss;
    }
    return fits(need, room) ? std::optional(plan) : std::nullopt;
}

/// Returns the cheapest plan for a sample of the workers. Throttling is preferred to checkpoints,
/// whatever the cost.
std::optional<preemption_plan> planPreemption(placement_pass &pass, const std::string &job,
                                              const resources &need)
{
    std::optional<preemption_plan> bestThrottle;
    std::optional<preemption_plan> bestCheckpoint;
    auto &workers = pass.tables.workers;
    auto it = workers.begin();
    if (workers.size() > pass.settings.preemptionCandidates) {
        // Starting at a random worker spreads preemption over the pool. Examining all workers would
        // cost time in proportion to the size of the pool for each urgent job.
        const auto offset = pass.random() % workers.size();
        it = std::next(workers.begin(), static_cast<std::ptrdiff_t>(offset));
    }
    const std::size_t count = std::min(workers.size(), pass.settings.preemptionCandidates);
    for (std::size_t seen = 0; seen < count; ++seen, ++it) {
        it = it == workers.end() ? workers.begin() : it;
        const auto &worker = it->second;
        if (!isUsable(worker, pass.now) || !fits(need, worker.capacity)
            || isHeldForOther(worker, job, pass.now)) {
            continue;
        }
        const auto keep = [](std::optional<preemption_plan> &best,
                             std::optional<preemption_plan> plan) {
            if (plan && (!best || plan->cost < best->cost)) {
                best = std::move(plan);
            }
        };
        keep(bestThrottle, planThrottle(pass, worker, need));
        if (!bestThrottle) {
            keep(bestCheckpoint, planCheckpoint(pass, worker, need));
        }
    }
    return bestThrottle ? bestThrottle : bestCheckpoint;
}

void applyPreemption(placement_pass &pass, const std::string &urgent, const preemption_plan &plan)
{
    auto &worker = pass.tables.workers.at(plan.worker);
    worker.heldFor = urgent;
    worker.heldUntil = pass.now + pass.settings.holdTime;
    pass.tables.heldWorkers.insert(plan.worker);
    for (const auto &name : plan.jobs) {
        auto &job = pass.tables.jobs.at(name);
        if (plan.kind == placement_kind::throttle) {
            job.unthrottledReservation = job.record.reserved;
            const auto reserved = halved(job.record.reserved);
            changeReservation(pass.tables, name, reserved);
            pass.tables.throttledJobs.insert(name);
            pass.actions.push_back({placement_kind::throttle, name, plan.worker, reserved, {}});
        } else if (applyEvent(pass.tables, name, job_event::checkpoint, pass.now)) {
            pass.actions.push_back(
                {placement_kind::checkpoint, name, plan.worker, job.record.reserved, {}});
        }
    }
}

/// Stops the jobs that have not finished their checkpoint within `preemptionStep` on the workers
/// held for an urgent job.
void stopOverdueCheckpoints(placement_pass &pass, const std::string &urgent)
{
    for (const auto &id : pass.tables.heldWorkers) {
        const auto &worker = pass.tables.workers.at(id);
        if (worker.heldFor != urgent) {
            continue;
        }
        for (const auto &name : worker.jobs) {
            const auto &job = pass.tables.jobs.at(name);
            if (job.record.state == job_state::checkpointing
                && pass.now - job.record.changedAt >= pass.settings.preemptionStep) {
                pass.actions.push_back({placement_kind::stop, name, id, job.record.reserved, {}});
            }
        }
    }
}

void preemptForUrgentJobs(placement_pass &pass)
{
    if (!pass.settings.safeguards.preemptForUrgent) {
        return;
    }
    std::vector<std::string> blockedUrgentJobs;
    for (const auto &shape : pass.tables.blockedShapes) {
        if (shape.normalClass || blockedUrgentJobs.size() >= maxPreemptionsPerTick) {
            break; // Urgent shapes sort first.
        }
        if (!isBelowTeamCap(pass, shape.team) || !isBelowQueueCap(pass, shape.queue)) {
            continue;
        }
        for (const auto &[submitted, name] : pass.tables.shapes.at(shape).jobs) {
            if (blockedUrgentJobs.size() < maxPreemptionsPerTick) {
                blockedUrgentJobs.push_back(name);
            }
        }
    }
    for (const auto &name : blockedUrgentJobs) {
        auto &job = pass.tables.jobs.at(name);
        if (!isBelowTeamCap(pass, job.record.team) || !isBelowQueueCap(pass, job.record.queue)) {
            continue;
        }
        const auto need = reservationFor(pass.tables, job.record, pass.settings);
        const bool isHeld =
            std::any_of(pass.tables.heldWorkers.begin(), pass.tables.heldWorkers.end(),
                        [&](const auto &id) { return pass.tables.workers.at(id).heldFor == name; });
        if (!isHeld) {
            if (const auto plan = planPreemption(pass, name, need)) {
                job.preemptingSince = job.preemptingSince.value_or(pass.now);
                applyPreemption(pass, name, *plan);
            }
        } else {
            stopOverdueCheckpoints(pass, name);
        }
        // Throttling frees processors at once, so the job may fit already.
        if (const auto *worker = bestWorker(pass, job, name, need)) {
            start(pass, name, *worker, need);
        }
    }
}

void restoreThrottledJobs(placement_pass &pass)
{
    for (auto it = pass.tables.throttledJobs.begin(); it != pass.tables.throttledJobs.end();) {
        const std::string name = *it;
        auto &job = pass.tables.jobs.at(name);
        const auto worker = pass.tables.workers.find(job.record.worker);
        if (worker == pass.tables.workers.end() || !worker->second.heldFor.empty()) {
            ++it;
            continue;
        }
        const auto full = job.unthrottledReservation.value_or(job.record.reserved);
        resources room = worker->second.free;
        room += job.record.reserved;
        if (!fits(full, room)) {
            ++it;
            continue;
        }
        changeReservation(pass.tables, name, full);
        job.unthrottledReservation.reset();
        pass.actions.push_back({placement_kind::unthrottle, name, worker->first, full, {}});
        it = pass.tables.throttledJobs.erase(it);
    }
}

} // namespace

bool isUsable(const worker_row &worker, wall_time now) noexcept
{
    return worker.accepting && (!worker.quarantinedUntil || *worker.quarantinedUntil <= now);
}

std::vector<placement_action> placeJobs(pool_tables &tables, wall_time now, std::uint64_t seed,
                                        const placement_settings &settings)
{
    placement_pass pass {tables, now, std::mt19937_64(seed), settings, {}, 0};
    processExpirations(pass);
    refuseOversizedJobs(pass);
    restoreThrottledJobs(pass);
    unblockShapes(pass);
    placeWorkClass(pass, false);
    preemptForUrgentJobs(pass);
    placeWorkClass(pass, true);
    return std::move(pass.actions);
}

} // namespace ibishinge
