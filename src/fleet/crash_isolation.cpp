#include <ibishinge/fleet/crash_isolation.h>

#include <algorithm>

namespace ibishinge::fleet {

namespace {

/// Time after which a run that has begun is not expected to crash its worker any more.
constexpr milliseconds settlingTime {500};

/// Each crash after the first multiplies the time of observation, so that a task that crashes its
/// worker later than `settlingTime` is found too.
constexpr int observationGrowth = 4;
constexpr int maxObservationGrowths = 3;

/// A long-running task that has run for this long without a crash is no longer suspected.
constexpr milliseconds crashMemory {120'000};

/// One in this many of a pool's workers may be reserved at the same time.
constexpr std::size_t workersPerReservation = 4;

/// Workers that may have crashed at the same time had an outage if they are more than one in
/// `workersPerCrashOfOutage` of the pool's workers, or if one in `workersPerUnexplainedCrash` had
/// no run under observation. It takes at least `crashesOfOutage` besides the one considered.
constexpr std::ptrdiff_t workersPerCrashOfOutage = 2;
constexpr std::ptrdiff_t workersPerUnexplainedCrash = 4;
constexpr std::ptrdiff_t crashesOfOutage = 2;

/// Evidence of a crash under observation: of one worker only, or while others may have crashed too
/// or the start was not answered; and the sum at which a task is given up.
constexpr int clearEvidence = 2;
constexpr int unclearEvidence = 1;
constexpr int provingEvidence = 2;

/// A start without an answer counts only on a worker that reported at most this long before: one
/// that was idle may have crashed unnoticed.
constexpr milliseconds maxReportAgeAtStart {500};

/// Longest time from the first failed poll until the crash is proved.
constexpr milliseconds longestCrashProof {10'000};

milliseconds observationTime(int crashes)
{
    auto time = settlingTime;
    for (int i = 1; i < std::min(crashes, maxObservationGrowths + 1); ++i) {
        time *= observationGrowth;
    }
    return time;
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

/// Returns when the run has settled, as far as is known at `now`.
instant settledAt(const run_entry &run, instant now)
{
    return (run.phase == run_phase::starting ? now : run.confirmedAt) + settlingTime;
}

/// Returns the evidence of the crash of `worker` against a suspect under observation.
int evidenceOfCrash(const fleet_tables &tables, const worker_status &worker,
                    const worker_crash &crash)
{
    std::ptrdiff_t others = 0;
    std::ptrdiff_t unexplained = 0;
    const auto consider = [&](const worker_crash &other) {
        if (other.after <= crash.before && crash.after <= other.before) {
            ++others;
            unexplained += other.observed ? 0 : 1;
        }
    };
    for (const auto &other : tables.recentCrashes) {
        consider(other);
    }
    std::ptrdiff_t inPool = 0;
    for (const auto &[id, other] : tables.workers) {
        inPool += other.entry.pool == worker.entry.pool ? 1 : 0;
        if (&other != &worker && other.failedPolls > 0 && !other.runs.empty()) {
            consider({other.reportAt, other.unreachableSince, other.observedRuns > 0});
        }
    }
    const bool outage =
        (others >= crashesOfOutage && others + 1 > inPool / workersPerCrashOfOutage)
        || unexplained >= std::max(crashesOfOutage, inPool / workersPerUnexplainedCrash);
    if (outage) {
        return 0;
    }
    return others > 0 ? unclearEvidence : clearEvidence;
}

/// Returns the most that a crash of the worker can be evidence against the task of a run.
int evidenceOfStart(const worker_status &worker, const run_entry &run)
{
    if (run.phase != run_phase::starting) {
        return clearEvidence;
    }
    return since(worker.reportAt, run.orderedAt) <= maxReportAgeAtStart ? unclearEvidence : 0;
}

} // namespace

task_name crashCounterOf(const job_entry &job, task_name name)
{
    const auto step = static_cast<std::size_t>(name.step);
    if (step < job.spec.steps.size() && job.spec.steps[step].gang) {
        name.index = 0;
    }
    return name;
}

bool isSuspected(const job_entry &job, const task_name &name)
{
    return job.hasCrashes && taskAt(job, crashCounterOf(job, name)).crashes > 0;
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

crash_outcome recordCrash(fleet_tables &tables, const worker_status &worker,
                          const std::vector<run_key> &lost, instant now)
{
    crash_outcome outcome;
    struct lost_task
    {
        bool observed = false;
        int evidence = 0; ///< at most, by what is known of the start
    };
    std::map<task_name, lost_task> counters;
    for (const auto &key : lost) {
        const auto *task = findTask(tables, key.task);
        if (task != nullptr && task->phase != task_phase::done
            && !tables.jobs.at(key.task.job).ending) {
            const auto &run = tables.runs.at(key);
            auto &each = counters[crashCounterOf(tables.jobs.at(key.task.job), key.task)];
            each.observed = each.observed || run.observed;
            each.evidence = std::max(each.evidence, evidenceOfStart(worker, run));
        }
    }
    // A restart that no poll has run into is noticed by the report that shows it.
    const bool noticedBefore = since(worker.unreachableSince, now) < longestCrashProof;
    const bool anyObserved = std::any_of(
        lost.begin(), lost.end(), [&](const run_key &key) { return tables.runs.at(key).observed; });
    const auto noticedAt = noticedBefore ? worker.unreachableSince : now;
    const worker_crash crash {std::min(worker.reportAt, noticedAt), noticedAt, anyObserved};
    const int evidence = evidenceOfCrash(tables, worker, crash);
    std::erase_if(tables.recentCrashes, [now](const worker_crash &other) {
        return since(other.before, now) > longestCrashProof;
    });
    tables.recentCrashes.push_back(crash);
    for (const auto &[name, each] : counters) {
        const bool onlySuspect =
            each.observed
            && std::all_of(lost.begin(), lost.end(), [&, &counted = name](const auto &key) {
                   return shareCounter(tables, key.task, counted) || !tables.runs.at(key).observed;
               });
        auto &counter = *findTask(tables, name);
        ++counter.crashes;
        tables.jobs.at(name.job).hasCrashes = true;
        outcome.suspectedJobs.insert(name.job);
        if (onlySuspect) {
            counter.crashEvidence += std::min(evidence, each.evidence);
        }
        if (counter.crashEvidence >= provingEvidence) {
            outcome.proven.push_back(name);
        }
    }
    return outcome;
}

bool permitsStart(const fleet_tables &tables, const worker_status &worker, const task_name &name,
                  bool suspected, instant now)
{
    if (worker.reservedFor && !shareCounter(tables, *worker.reservedFor, name)) {
        return false;
    }
    if (!suspected) {
        return worker.observedRuns == 0;
    }
    return std::all_of(worker.runs.begin(), worker.runs.end(), [&](const run_key &key) {
        const auto &run = tables.runs.at(key);
        return shareCounter(tables, key.task, name)
               || (!run.observed && settledAt(run, now) <= now);
    });
}

void reserveWorker(const fleet_tables &tables, pool_candidates &candidates,
                   const waiting_step &where, const task_name &name, const step_tickets *tickets,
                   instant now)
{
    const auto &step = where.job->spec.steps[static_cast<std::size_t>(where.step)];
    worker_status *best = nullptr;
    std::pair<bool, instant> bestRank;
    std::size_t reserved = 0;
    for (auto *const worker : candidates.usable) {
        if (worker->reservedFor) {
            if (shareCounter(tables, *worker->reservedFor, name)) {
                return;
            }
            ++reserved;
            continue;
        }
        if (worker->observedRuns > 0 || !fits(heldBy(step), worker->entry.capacity)
            || (!step.requiredLabel.empty() && !hasLabel(worker->entry, step.requiredLabel))
            || (tickets != nullptr && tickets->ticketByWorker.count(worker->entry.id) == 0)) {
            continue;
        }
        // A worker without room now has to finish runs first.
        std::pair<bool, instant> rank {!fits(heldBy(step), worker->entry.capacity - worker->held),
                                       now};
        for (const auto &key : worker->runs) {
            rank.second = std::max(rank.second, settledAt(tables.runs.at(key), now));
        }
        if (best == nullptr || rank < bestRank) {
            best = worker;
            bestRank = rank;
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
        if (!worker.reservedFor) {
            continue;
        }
        const auto *task = findTask(tables, *worker.reservedFor);
        if (task == nullptr || task->phase != task_phase::waiting) {
            worker.reservedFor.reset();
        }
    }
}

std::set<std::string> endObservations(fleet_tables &tables)
{
    std::set<std::string> changed;
    for (auto &[key, run] : tables.runs) {
        if (run.phase != run_phase::running || (!run.observed && !run.longRunning)) {
            continue;
        }
        const auto job = tables.jobs.find(key.task.job);
        if (job == tables.jobs.end() || !job->second.hasCrashes) {
            continue;
        }
        auto *const found = findTask(tables, crashCounterOf(job->second, key.task));
        if (found == nullptr) {
            continue; // the occurrence is complete
        }
        auto &counter = *found;
        // Only a report shows that the worker still runs.
        const auto ranFor = since(run.confirmedAt, tables.workers.at(run.worker).reportAt);
        if (run.observed && ranFor > observationTime(counter.crashes)) {
            endObservation(tables, run);
        }
        if (run.longRunning && counter.crashes > 0 && ranFor > crashMemory) {
            counter.crashes = 0;
            counter.crashEvidence = 0;
            if (auto *const task = findTask(tables, key.task)) {
                task->suspectRun.reset();
            }
            changed.insert(key.task.job);
        }
    }
    return changed;
}

} // namespace ibishinge::fleet
