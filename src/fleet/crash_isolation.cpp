#include <ibishinge/fleet/crash_isolation.h>

#include <algorithm>

namespace ibishinge::fleet {

namespace {

/// Number of crashes after which a task has to run alone.
constexpr int crashesBeforeAlone = 2;

/// Time for which a long-running task is isolated after one crash; it doubles with each further
/// crash, so that a task that crashes its worker later is found too.
constexpr milliseconds shortestProbation {2000};
constexpr int maxProbationDoublings = 5;

/// A long-running task that has run for this long without a crash is no longer suspected.
constexpr milliseconds crashMemory {120'000};

/// Largest part of a pool's workers that may be reserved at the same time.
constexpr std::size_t workersPerReservation = 4;

milliseconds probationOf(int crashes)
{
    return shortestProbation * (1 << std::clamp(crashes - 1, 0, maxProbationDoublings));
}

const task_entry &taskAt(const job_entry &job, const task_name &name)
{
    return job.occurrences.at(name.occurrence)
        .steps[static_cast<std::size_t>(name.step)][static_cast<std::size_t>(name.index)];
}

/// Returns true if both names count crashes together.
bool shareCounter(const fleet_tables &tables, const task_name &a, const task_name &b)
{
    if (a == b) {
        return true;
    }
    const auto job = tables.jobs.find(a.job);
    return job != tables.jobs.end() && a.job == b.job
           && crashCounterOf(job->second, a) == crashCounterOf(job->second, b);
}

/// Returns true if the run stays while a task on probation runs beside it: a long-running task that
/// is not suspected may never end, so no worker would become free of it.
bool mayStayBesideAlone(const run_entry &run)
{
    return run.longRunning && run.isolation == run_isolation::none;
}

bool waitsToRunAlone(fleet_tables &tables, const task_name &name)
{
    const auto *task = findTask(tables, name);
    return task != nullptr && task->phase == task_phase::waiting
           && isolationOf(tables.jobs.at(name.job), name) == run_isolation::alone;
}

} // namespace

task_name crashCounterOf(const job_entry &job, task_name name)
{
    if (job.spec.steps[static_cast<std::size_t>(name.step)].gang) {
        name.index = 0;
    }
    return name;
}

run_isolation isolationOf(const job_entry &job, const task_name &name)
{
    if (!job.hasCrashes) {
        return run_isolation::none;
    }
    const int crashes = taskAt(job, crashCounterOf(job, name)).crashes;
    if (crashes == 0) {
        return run_isolation::none;
    }
    return crashes < crashesBeforeAlone ? run_isolation::apart : run_isolation::alone;
}

bool areCrashesStored(const job_entry &job, const task_name &name)
{
    if (!job.hasCrashes) {
        return true;
    }
    const auto &counter = taskAt(job, crashCounterOf(job, name));
    return counter.storedCrashes == counter.crashes;
}

std::vector<std::pair<task_name, int>> crashCounts(const job_entry &job)
{
    std::vector<std::pair<task_name, int>> counts;
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto &tasks = occurrence.steps[step];
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].crashes != tasks[index].storedCrashes) {
                    counts.push_back(
                        {{job.id, number, static_cast<int>(step), static_cast<int>(index)},
                         tasks[index].crashes});
                }
            }
        }
    }
    return counts;
}

void markCrashesStored(job_entry &job, const std::vector<std::pair<task_name, int>> &counts)
{
    for (const auto &[name, crashes] : counts) {
        const auto occurrence = job.occurrences.find(name.occurrence);
        if (occurrence != job.occurrences.end()) {
            occurrence->second
                .steps[static_cast<std::size_t>(name.step)][static_cast<std::size_t>(name.index)]
                .storedCrashes = crashes;
        }
    }
}

crash_outcome recordCrash(fleet_tables &tables, const std::vector<run_key> &lost)
{
    crash_outcome outcome;
    std::set<task_name> counters;
    for (const auto &key : lost) {
        const auto *task = findTask(tables, key.task);
        if (task != nullptr && task->phase != task_phase::done
            && !tables.jobs.at(key.task.job).ending) {
            counters.insert(crashCounterOf(tables.jobs.at(key.task.job), key.task));
        }
    }
    for (const auto &name : counters) {
        const bool alone = std::all_of(lost.begin(), lost.end(), [&](const run_key &key) {
            return shareCounter(tables, key.task, name) || mayStayBesideAlone(tables.runs.at(key));
        });
        auto &counter = *findTask(tables, name);
        ++counter.crashes;
        counter.crashesAlone += alone ? 1 : 0;
        tables.jobs.at(name.job).hasCrashes = true;
        outcome.suspectedJobs.insert(name.job);
        if (counter.crashesAlone >= provingCrashes) {
            outcome.proven.push_back(name);
        }
    }
    return outcome;
}

bool permitsIsolation(const fleet_tables &tables, const worker_status &worker,
                      const task_name &name, run_isolation isolation)
{
    if (worker.reservedFor && !shareCounter(tables, *worker.reservedFor, name)) {
        return false;
    }
    if (isolation == run_isolation::none) {
        return worker.runsAlone == 0;
    }
    return std::all_of(worker.runs.begin(), worker.runs.end(), [&](const run_key &key) {
        const auto &run = tables.runs.at(key);
        return shareCounter(tables, key.task, name)
               || (isolation == run_isolation::apart ? run.isolation == run_isolation::none
                                                     : mayStayBesideAlone(run));
    });
}

void reserveWorker(const fleet_tables &tables, pool_candidates &candidates,
                   const waiting_step &where, const task_name &name, const step_tickets *tickets)
{
    const auto &step = where.job->spec.steps[static_cast<std::size_t>(where.step)];
    worker_status *best = nullptr;
    std::int64_t leastToEnd = 0;
    std::size_t reserved = 0;
    for (auto *const worker : candidates.usable) {
        if (worker->reservedFor) {
            if (shareCounter(tables, *worker->reservedFor, name)) {
                return;
            }
            ++reserved;
            continue;
        }
        resources toEnd;
        for (const auto &key : worker->runs) {
            const auto &run = tables.runs.at(key);
            toEnd = toEnd + (mayStayBesideAlone(run) ? resources {} : run.held);
        }
        const bool suitable =
            worker->runsAlone == 0
            && fits(heldBy(step), worker->entry.capacity - worker->held + toEnd)
            && (step.requiredLabel.empty() || hasLabel(worker->entry, step.requiredLabel))
            && (tickets == nullptr || tickets->ticketByWorker.count(worker->entry.id) > 0);
        if (suitable && (best == nullptr || toEnd.cpuMillis < leastToEnd)) {
            best = worker;
            leastToEnd = toEnd.cpuMillis;
        }
    }
    const auto limit = std::max<std::size_t>(1, candidates.usable.size() / workersPerReservation);
    if (best != nullptr && reserved < limit) {
        best->reservedFor = name;
    }
}

void removeStaleReservations(fleet_tables &tables)
{
    for (auto &[id, worker] : tables.workers) {
        if (worker.reservedFor && !waitsToRunAlone(tables, *worker.reservedFor)) {
            worker.reservedFor.reset();
        }
    }
}

std::set<std::string> endProbations(fleet_tables &tables, instant now)
{
    std::set<std::string> changed;
    for (auto &[key, run] : tables.runs) {
        if (!run.longRunning || run.phase != run_phase::running) {
            continue;
        }
        const auto job = tables.jobs.find(key.task.job);
        if (job == tables.jobs.end() || !job->second.hasCrashes) {
            continue;
        }
        auto &counter = *findTask(tables, crashCounterOf(job->second, key.task));
        const auto ranFor = since(run.confirmedAt, now);
        if (run.isolation != run_isolation::none && ranFor > probationOf(counter.crashes)) {
            setIsolation(tables, run, run_isolation::none);
        }
        if (counter.crashes > 0 && ranFor > crashMemory) {
            counter.crashes = 0;
            counter.crashesAlone = 0;
            changed.insert(key.task.job);
        }
    }
    return changed;
}

} // namespace ibishinge::fleet
