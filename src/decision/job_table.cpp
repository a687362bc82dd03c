#include <ibishinge/decision/job_table.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <random>

namespace ibishinge {

namespace {

constexpr std::array<std::string_view, 8> stateNames {
    "waiting", "starting", "running", "checkpointing", "done", "failed", "cancelled", "lost"};

/// Jobs to which a row of the transition table applies.
enum class allowed_for : std::uint8_t { all, repeatable };

struct transition
{
    job_state from;
    job_event event;
    job_state to;
    allowed_for jobs = allowed_for::all;
};

using enum job_state;

constexpr std::array transitions {
    transition {waiting, job_event::place, starting},
    transition {waiting, job_event::fail, failed},
    transition {waiting, job_event::cancel, cancelled},
    transition {starting, job_event::started, running},
    transition {starting, job_event::never_started, waiting},
    transition {starting, job_event::retry, waiting, allowed_for::repeatable},
    transition {starting, job_event::finish, done},
    transition {starting, job_event::fail, failed},
    transition {starting, job_event::cancel, cancelled},
    transition {starting, job_event::lose, lost},
    transition {running, job_event::checkpoint, checkpointing, allowed_for::repeatable},
    transition {running, job_event::retry, waiting, allowed_for::repeatable},
    transition {running, job_event::finish, done},
    transition {running, job_event::fail, failed},
    transition {running, job_event::cancel, cancelled},
    transition {running, job_event::lose, lost},
    transition {checkpointing, job_event::retry, waiting, allowed_for::repeatable},
    transition {checkpointing, job_event::finish, done},
    transition {checkpointing, job_event::fail, failed},
    transition {checkpointing, job_event::cancel, cancelled},
    transition {checkpointing, job_event::lose, lost},
};

std::tuple<bool, std::int64_t, std::string> freeKey(const worker_row &worker)
{
    return {worker.capacity.accelerators > 0, worker.free.processors, worker.id};
}

/// Reserves or releases resources of a worker and updates the index by free resources.
void changeFree(pool_tables &tables, worker_row &worker, const resources &reserved, bool release)
{
    tables.workersByFree.erase(freeKey(worker));
    if (release) {
        worker.free += reserved;
        tables.workersWithNewRoom.insert(worker.id);
    } else {
        worker.free -= reserved;
    }
    tables.workersByFree.insert(freeKey(worker));
}

std::pair<bool, std::string> placeableKey(const job_shape &shape)
{
    return {shape.normalClass, shape.team};
}

void removePlaceable(pool_tables &tables, const job_shape &shape, const shape_row &row)
{
    const auto open = tables.placeableShapes.find(placeableKey(shape));
    if (open == tables.placeableShapes.end() || row.jobs.empty()) {
        return;
    }
    open->second.erase({*row.jobs.begin(), shape});
    if (open->second.empty()) {
        tables.placeableShapes.erase(open);
    }
}

void addPlaceable(pool_tables &tables, const job_shape &shape, const shape_row &row)
{
    if (!row.blocked && !row.jobs.empty()) {
        tables.placeableShapes[placeableKey(shape)].insert({*row.jobs.begin(), shape});
    }
}

void unindexWaiting(pool_tables &tables, const job_record &record, const std::string &name)
{
    tables.delayed.erase({record.notBefore, name});
    const auto shape = tables.shapes.find(shapeOf(record));
    if (shape == tables.shapes.end()) {
        return;
    }
    removePlaceable(tables, shape->first, shape->second);
    shape->second.jobs.erase({record.submittedAt, name});
    if (shape->second.jobs.empty()) {
        tables.blockedShapes.erase(shape->first);
        tables.shapesToCheckForFit.erase(shape->first);
        tables.shapes.erase(shape);
    } else {
        addPlaceable(tables, shape->first, shape->second);
    }
}

void indexWaiting(pool_tables &tables, const job_record &record, const std::string &name,
                  wall_time now)
{
    if (record.notBefore > now) {
        tables.delayed.insert({record.notBefore, name});
        return;
    }
    const auto [shape, isNew] = tables.shapes.try_emplace(shapeOf(record));
    removePlaceable(tables, shape->first, shape->second);
    shape->second.jobs.insert({record.submittedAt, name});
    if (shape->second.blocked && shape->second.blockedByAvoidance) {
        shape->second.blocked = false;
        tables.blockedShapes.erase(shape->first);
    }
    addPlaceable(tables, shape->first, shape->second);
    if (isNew) {
        tables.shapesToCheckForFit.insert(shape->first);
    }
}

void indexActive(pool_tables &tables, const job_record &record, const std::string &name, bool add)
{
    auto &team = tables.teams[record.team];
    team.active += add ? 1 : -1;
    team.processors += add ? record.reserved.processors : -record.reserved.processors;
    if (const auto queue = tables.queues.find(record.queue); queue != tables.queues.end()) {
        queue->second.active += add ? 1 : -1;
        if (!add && queue->second.active < queue->second.cap) {
            tables.queuesWithNewRoom.insert(record.queue);
        }
    }
    const auto worker = tables.workers.find(record.worker);
    if (worker == tables.workers.end()) {
        return;
    }
    if (add != (worker->second.jobs.count(name) == 0)) {
        return;
    }
    if (add) {
        worker->second.jobs.insert(name);
    } else {
        worker->second.jobs.erase(name);
    }
    changeFree(tables, worker->second, record.reserved, !add);
    tables.activeByQueueAndRack[record.queue][worker->second.rack] += add ? 1 : -1;
}

void index(pool_tables &tables, const job_record &record, const std::string &name, bool add,
           wall_time now)
{
    if (record.state == waiting) {
        tables.teams[record.team].waiting += add ? 1 : -1;
        if (add) {
            indexWaiting(tables, record, name, now);
        } else {
            unindexWaiting(tables, record, name);
        }
    } else if (isActive(record.state)) {
        indexActive(tables, record, name, add);
    }
}

/// Returns the weight of a job's failure as evidence of a fault of one worker, if the job has
/// failed on that many workers.
double failureWeight(std::size_t workers)
{
    return workers <= 1 ? 0.5 : workers == 2 ? 0.2 : 0.05;
}

/// Returns the failure score of a worker: the summed weights of the jobs that failed on it.
double failureScoreOf(const worker_row &worker)
{
    double sum = 0;
    for (const auto &[job, weight] : worker.failedJobs) {
        sum += weight;
    }
    return sum;
}

/// Returns the estimated probability that a failure on `worker` is a fault of the worker; 1 while
/// it is in quarantine.
double faultProbability(const worker_row &worker)
{
    const double score = failureScoreOf(worker);
    return worker.quarantinedUntil ? 1 : score / (score + worker.successes + 1);
}

double medianFailureScore(const pool_tables &tables)
{
    std::vector<double> all;
    for (const auto &[id, worker] : tables.workers) {
        all.push_back(failureScoreOf(worker));
    }
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
    std::nth_element(all.begin(), middle, all.end());
    return *middle;
}

void setFailureWeight(pool_tables &tables, const job_row &job, const std::string &name,
                      double weight)
{
    for (const auto &id : job.failedWorkers) {
        const auto worker = tables.workers.find(id);
        if (worker != tables.workers.end() && worker->second.failedJobs.contains(name)) {
            worker->second.failedJobs[name] = weight;
        }
    }
}

void recordSuccess(worker_row &worker)
{
    // The bound lets a worker that becomes faulty after many successes be recognized after a few
    // failures.
    constexpr double maxSuccesses = 10;
    worker.successes = std::min(maxSuccesses, worker.successes + 1);
    for (auto it = worker.failedJobs.begin(); it != worker.failedJobs.end();) {
        it->second /= 2;
        it = it->second < 0.1 ? worker.failedJobs.erase(it) : std::next(it);
    }
}

void quarantineIfSuspect(pool_tables &tables, worker_row &worker, wall_time now,
                         const placement_settings &settings)
{
    const bool hasRoom =
        static_cast<double>(tables.quarantinedWorkers.size() + 1)
        <= settings.maxQuarantinedShare * static_cast<double>(tables.workers.size());
    if (worker.quarantinedUntil || !hasRoom
        || static_cast<int>(worker.failedJobs.size()) < settings.minDistinctFailedJobs) {
        return;
    }
    // Many faulty jobs raise the scores of all workers; a faulty worker raises only its own.
    const double score = failureScoreOf(worker);
    if (settings.safeguards.attributeFailures
        && (score < settings.quarantineFailureScore
            || faultProbability(worker) < settings.quarantineFaultProbability
            || score < settings.quarantineMedianFactor * medianFailureScore(tables))) {
        return;
    }
    worker.quarantinedUntil = now + settings.quarantineTime;
    tables.quarantinedWorkers.insert(worker.id);
}

void updateMeanAndDeviation(double &mean, double &deviation, double sample, int samples)
{
    const double weight = std::max(0.1, 1.0 / (samples + 1));
    deviation += weight * (std::abs(sample - mean) - deviation);
    mean += weight * (sample - mean);
}

} // namespace

resources &resources::operator+=(const resources &other) noexcept
{
    processors += other.processors;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

resources &resources::operator-=(const resources &other) noexcept
{
    processors -= other.processors;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

bool fits(const resources &need, const resources &available) noexcept
{
    return need.processors <= available.processors && need.memoryMb <= available.memoryMb
           && need.accelerators <= available.accelerators;
}

std::string_view nameOf(job_state state) noexcept
{
    return stateNames[static_cast<std::size_t>(state)];
}

std::optional<job_state> parseJobState(std::string_view name) noexcept
{
    const auto *const found = std::find(stateNames.begin(), stateNames.end(), name);
    if (found == stateNames.end()) {
        return std::nullopt;
    }
    return static_cast<job_state>(found - stateNames.begin());
}

bool isFinal(job_state state) noexcept
{
    return state == done || state == failed || state == cancelled || state == lost;
}

bool isActive(job_state state) noexcept
{
    return state == starting || state == running || state == checkpointing;
}

std::optional<job_state> stateAfter(job_state state, job_event event, bool repeatable) noexcept
{
    for (const auto &row : transitions) {
        if (row.from == state && row.event == event
            && (repeatable || row.jobs == allowed_for::all)) {
            return row.to;
        }
    }
    return std::nullopt;
}

std::string jobName(const job_record &record)
{
    return record.queue + "/" + record.id;
}

void putJob(pool_tables &tables, job_record record, std::int64_t revision, wall_time now)
{
    const std::string name = jobName(record);
    const auto found = tables.jobs.find(name);
    if (found != tables.jobs.end()) {
        if (found->second.revision >= revision) {
            return;
        }
        index(tables, found->second.record, name, false, now);
    }
    auto &row = tables.jobs[name];
    row.record = std::move(record);
    row.revision = revision;
    index(tables, row.record, name, true, now);
}

void removeJob(pool_tables &tables, const std::string &name)
{
    const auto found = tables.jobs.find(name);
    if (found != tables.jobs.end()) {
        index(tables, found->second.record, name, false, {});
        tables.jobs.erase(found);
    }
}

result<void> applyEvent(pool_tables &tables, const std::string &name, job_event event,
                        wall_time now, const event_details &details)
{
    const auto found = tables.jobs.find(name);
    if (found == tables.jobs.end()) {
        return makeError(error_kind::internal, "job " + name, "unknown");
    }
    auto &record = found->second.record;
    const auto next = stateAfter(record.state, event, record.repeatable);
    if (!next) {
        return makeError(error_kind::internal, "job " + name,
                         "event " + std::to_string(static_cast<int>(event))
                             + " is not allowed in state " + std::string(nameOf(record.state)));
    }
    index(tables, record, name, false, now);
    record.state = *next;
    record.changedAt = now;
    record.reason = details.reason.value_or(record.reason);
    record.checkpoint = details.checkpoint.value_or(record.checkpoint);
    record.notBefore = details.notBefore.value_or(record.notBefore);
    record.reserved = details.reserved.value_or(record.reserved);
    if (event == job_event::place) {
        ++record.attempt;
        record.worker = details.worker.value_or(record.worker);
        const auto worker = tables.workers.find(record.worker);
        record.workerIncarnation = worker == tables.workers.end() ? "" : worker->second.incarnation;
        found->second.preemptingSince.reset();
        found->second.startedAt = now;
    }
    if (!isActive(*next)) {
        tables.throttledJobs.erase(name);
        found->second.unthrottledReservation.reset();
    }
    index(tables, record, name, true, now);
    return {};
}

void changeReservation(pool_tables &tables, const std::string &name, const resources &reserved)
{
    const auto found = tables.jobs.find(name);
    if (found == tables.jobs.end() || !isActive(found->second.record.state)) {
        return;
    }
    auto &record = found->second.record;
    indexActive(tables, record, name, false);
    record.reserved = reserved;
    indexActive(tables, record, name, true);
}

void setBlocked(pool_tables &tables, const job_shape &shape, bool blocked)
{
    const auto found = tables.shapes.find(shape);
    if (found == tables.shapes.end() || found->second.blocked == blocked) {
        return;
    }
    removePlaceable(tables, shape, found->second);
    found->second.blocked = blocked;
    addPlaceable(tables, shape, found->second);
    if (blocked) {
        tables.blockedShapes.insert(shape);
    } else {
        tables.blockedShapes.erase(shape);
    }
}

job_shape shapeOf(const job_record &record)
{
    return {record.workClass != work_class::urgent, record.team, record.queue, record.declared};
}

void putWorker(pool_tables &tables, const worker_row &worker)
{
    const auto found = tables.workers.find(worker.id);
    const bool isNew = found == tables.workers.end();
    worker_row &row = tables.workers[worker.id];
    if (!isNew && row.capacity == worker.capacity
        && row.reservedByOtherPools == worker.reservedByOtherPools
        && row.accepting == worker.accepting && row.incarnation == worker.incarnation) {
        return;
    }
    if (!isNew) {
        tables.workersByFree.erase(freeKey(row));
        if (--tables.capacities[row.capacity] == 0) {
            tables.capacities.erase(row.capacity);
        }
    }
    row.id = worker.id;
    row.rack = worker.rack;
    row.dataCentre = worker.dataCentre;
    row.incarnation = worker.incarnation;
    row.capacity = worker.capacity;
    row.reservedByOtherPools = worker.reservedByOtherPools;
    row.accepting = worker.accepting;
    if (isNew) {
        // Jobs may be loaded before their workers are known.
        for (const auto &[name, job] : tables.jobs) {
            if (isActive(job.record.state) && job.record.worker == row.id) {
                row.jobs.insert(name);
                ++tables.activeByQueueAndRack[job.record.queue][row.rack];
            }
        }
    }
    row.free = row.capacity;
    row.free -= row.reservedByOtherPools;
    for (const auto &name : row.jobs) {
        row.free -= tables.jobs[name].record.reserved;
    }
    tables.workersByFree.insert(freeKey(row));
    ++tables.capacities[row.capacity];
    tables.workersWithNewRoom.insert(row.id);
}

void removeWorker(pool_tables &tables, const std::string &id)
{
    const auto found = tables.workers.find(id);
    if (found == tables.workers.end()) {
        return;
    }
    auto &row = found->second;
    for (const auto &name : row.jobs) {
        --tables.activeByQueueAndRack[tables.jobs[name].record.queue][row.rack];
    }
    tables.workersByFree.erase(freeKey(row));
    if (--tables.capacities[row.capacity] == 0) {
        tables.capacities.erase(row.capacity);
    }
    tables.quarantinedWorkers.erase(id);
    tables.heldWorkers.erase(id);
    tables.workersWithNewRoom.erase(id);
    const bool wasLastOfSize = !tables.capacities.contains(row.capacity);
    tables.workers.erase(found);
    if (wasLastOfSize) {
        // The remaining workers may be too small for some of the waiting jobs.
        for (const auto &[shape, shapeRow] : tables.shapes) {
            tables.shapesToCheckForFit.insert(shape);
        }
    }
}

void setTeam(pool_tables &tables, const std::string &team, double weight, int cap)
{
    auto &row = tables.teams[team];
    row.weight = weight;
    row.cap = cap;
}

void setQueue(pool_tables &tables, const std::string &queue, std::int64_t cap)
{
    const auto [row, isNew] = tables.queues.try_emplace(queue);
    if (isNew) {
        for (const auto &[name, job] : tables.jobs) {
            const bool counts = job.record.queue == queue && isActive(job.record.state);
            row->second.active += counts ? 1 : 0;
        }
    }
    if (cap > row->second.cap) {
        tables.queuesWithNewRoom.insert(queue);
    }
    row->second.cap = cap;
}

resources reservationFor(const pool_tables &tables, const job_record &record,
                         const placement_settings &settings)
{
    const auto found = tables.usageCorrections.find({record.queue, record.team});
    if (found == tables.usageCorrections.end()
        || found->second.samples < settings.minCorrectionSamples) {
        return record.declared;
    }
    const auto &known = found->second;
    const auto scale = [&](std::int64_t declared, double mean, double deviation) {
        // Two mean deviations above the mean cover most jobs of a queue.
        const double factor =
            std::clamp(mean + 2 * deviation, settings.minCorrection, settings.maxCorrection);
        const auto scaled = std::ceil(static_cast<double>(declared) * factor);
        return std::max<std::int64_t>(declared > 0 ? 1 : 0, static_cast<std::int64_t>(scaled));
    };
    // Accelerators are allocated as whole devices, and their use is not measured.
    resources size {scale(record.declared.processors, known.processors, known.processorsDeviation),
                    scale(record.declared.memoryMb, known.memory, known.memoryDeviation),
                    record.declared.accelerators};
    // A correction alone must not make a job too large for every worker.
    if (!tables.capacities.empty()) {
        resources largest;
        for (const auto &[capacity, count] : tables.capacities) {
            if (fits(record.declared, capacity)) {
                largest.processors = std::max(largest.processors, capacity.processors);
                largest.memoryMb = std::max(largest.memoryMb, capacity.memoryMb);
            }
        }
        size.processors =
            std::min(size.processors, std::max(largest.processors, record.declared.processors));
        size.memoryMb =
            std::min(size.memoryMb, std::max(largest.memoryMb, record.declared.memoryMb));
    }
    return size;
}

void recordUsage(pool_tables &tables, const std::string &name, const resources &used,
                 milliseconds ran, const placement_settings &settings)
{
    const auto found = tables.jobs.find(name);
    if (found == tables.jobs.end() || ran < settings.minObservedRun
        || found->second.unthrottledReservation) {
        return;
    }
    const auto &record = found->second.record;
    auto &known = tables.usageCorrections[{record.queue, record.team}];
    if (record.declared.processors > 0) {
        updateMeanAndDeviation(known.processors, known.processorsDeviation,
                               static_cast<double>(used.processors)
                                   / static_cast<double>(record.declared.processors),
                               known.samples);
    }
    if (record.declared.memoryMb > 0) {
        updateMeanAndDeviation(known.memory, known.memoryDeviation,
                               static_cast<double>(used.memoryMb)
                                   / static_cast<double>(record.declared.memoryMb),
                               known.samples);
    }
    ++known.samples;
    std::vector<job_shape> affected;
    for (const auto &shape : tables.blockedShapes) {
        if (shape.queue == record.queue && shape.team == record.team) {
            affected.push_back(shape);
        }
    }
    for (const auto &shape : affected) {
        setBlocked(tables, shape, false);
    }
}

bool recordOutcome(pool_tables &tables, const std::string &name, const std::string &worker,
                   bool succeeded, wall_time now, const placement_settings &settings)
{
    const auto job = tables.jobs.find(name);
    if (job == tables.jobs.end()) {
        return false;
    }
    auto &row = job->second;
    const auto attemptWorker = tables.workers.find(worker);
    if (succeeded) {
        setFailureWeight(tables, row, name, 1);
        for (const auto &id : row.failedWorkers) {
            if (const auto other = tables.workers.find(id); other != tables.workers.end()) {
                quarantineIfSuspect(tables, other->second, now, settings);
            }
        }
        if (attemptWorker != tables.workers.end()) {
            recordSuccess(attemptWorker->second);
        }
        return false;
    }
    ++row.record.failures;
    row.avoidedWorkers.insert(worker);
    row.failedWorkers.insert(worker);
    if (attemptWorker != tables.workers.end()) {
        attemptWorker->second.failedJobs[name] = 0;
        attemptWorker->second.successes *= 0.7;
        setFailureWeight(tables, row, name, failureWeight(row.failedWorkers.size()));
        quarantineIfSuspect(tables, attemptWorker->second, now, settings);
    }
    double score = 0;
    for (const auto &id : row.failedWorkers) {
        const auto other = tables.workers.find(id);
        const bool isAttributed =
            settings.safeguards.attributeFailures && other != tables.workers.end();
        score += isAttributed ? 1 - faultProbability(other->second) : 1;
    }
    return score >= settings.maxJobFailureScore || row.record.failures >= settings.maxAttempts;
}

milliseconds backOff(int failures, std::uint64_t seed, const placement_settings &settings) noexcept
{
    const int doublings = std::clamp(failures - 1, 0, 20);
    const auto longest =
        std::min(settings.maxBackOff.count(), settings.firstBackOff.count()
                                                  << static_cast<unsigned>(doublings));
    std::mt19937_64 random(seed);
    return milliseconds(
        longest / 2
        + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(longest / 2 + 1)));
}

} // namespace ibishinge
