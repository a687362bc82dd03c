#include <ibishinge/fleet/crash_isolation.h>

#include <algorithm>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Time after which a run that has begun is not expected to crash its worker any more.
constexpr milliseconds settlingTime {500};

/// Each crash of a run that had survived its observation multiplies the time of the next one, so
/// that a task that crashes its worker later than `settlingTime` is found too.
constexpr int observationGrowth = 8;
constexpr int maxObservationGrowths = 2;

/// A long-running task that has run for this long without a crash is no longer suspected, as it
/// does not crash the workers that start it. Its worker may crash at any time for another reason,
/// and a longer observation would mostly catch that.
constexpr milliseconds longRunningCrashMemory {2000};

/// One in this many of a pool's workers may be reserved at the same time.
constexpr std::size_t workersPerReservation = 4;

/// Evidence of a crash under observation: of one worker only, or while others may have crashed too;
/// and the sum at which a task is given up.
constexpr int clearEvidence = 2;
constexpr int unclearEvidence = 1;
constexpr int provingEvidence = 4;

/// Longest time from the first failed poll until the crash is proved.
constexpr milliseconds longestCrashProof {10'000};

/// Returns how long a run of the task is observed.
milliseconds observationTime(const task_entry &counter, bool longRunning)
{
    auto time = settlingTime;
    for (int i = 0; i < std::min(counter.lateCrashes, maxObservationGrowths); ++i) {
        time *= observationGrowth;
    }
    return longRunning ? std::min(time, longRunningCrashMemory) : time;
}

const task_entry &taskAt(const job_entry &job, const task_name &name)
{
    const auto &steps = job.occurrences.at(name.occurrence).steps;
    return taskAt(steps[static_cast<std::size_t>(name.step)], static_cast<std::size_t>(name.index));
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
    const auto overlaps = [&crash](instant after, instant before) {
        return after <= crash.before && crash.after <= before;
    };
    const bool othersCrashed =
        std::any_of(tables.recentCrashes.begin(), tables.recentCrashes.end(),
                    [&](const worker_crash &other) { return overlaps(other.after, other.before); });
    const bool othersMayHave =
        std::any_of(tables.workers.begin(), tables.workers.end(), [&](const auto &each) {
            const auto &other = each.second;
            return &other != &worker && other.failedPolls > 0 && !other.runs.empty()
                   && overlaps(other.reportAt, other.unreachableSince);
        });
    return othersCrashed || othersMayHave ? unclearEvidence : clearEvidence;
}

/// Returns the most that a crash of the worker can be evidence against the task of a run.
int evidenceOfStart(const worker_status &worker, const run_entry &run)
{
    if (run.seenOnWorker || since(worker.reportAt, run.orderedAt) <= maxReportAgeAtStart) {
        return clearEvidence;
    }
    return run.fromRecord ? unclearEvidence : 0;
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
            for (const auto &[index, task] : occurrence.steps[step].changed) {
                if (task.crashes != task.storedCrashes) {
                    counts.push_back(
                        {{job.id, number, static_cast<int>(step), static_cast<int>(index)},
                         task.crashes});
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
        if (occurrence == job.occurrences.end()) {
            continue;
        }
        auto &changed = occurrence->second.steps[static_cast<std::size_t>(name.step)].changed;
        const auto task = changed.find(static_cast<std::size_t>(name.index));
        if (task != changed.end()) {
            task->second.storedCrashes = crashes;
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
        const auto &run = tables.runs.at(key);
        const auto *task = findTask(tables, key.task);
        const bool neverSent = run.orders == 0 && !run.seenOnWorker;
        if (neverSent || task == nullptr || task->phase == task_phase::done
            || tables.jobs.at(key.task.job).ending) {
            continue;
        }
        auto &each = counters[crashCounterOf(tables.jobs.at(key.task.job), key.task)];
        each.observed = each.observed || run.observed;
        each.evidence = std::max(each.evidence, evidenceOfStart(worker, run));
    }
    // A restart that no poll has run into is noticed by the report that shows it.
    const bool noticedBefore = since(worker.unreachableSince, now) < longestCrashProof;
    const auto noticedAt = noticedBefore ? worker.unreachableSince : now;
    const worker_crash crash {std::min(worker.reportAt, noticedAt), noticedAt};
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
        auto &counter = *changeTask(tables, name);
        counter.lateCrashes += counter.crashes > 0 && !each.observed ? 1 : 0;
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
        const bool suitable = isSuitable(*worker, where, tickets, now);
        if (worker->reservedFor) {
            if (!shareCounter(tables, *worker->reservedFor, name)) {
                ++reserved;
                continue;
            }
            if (suitable) {
                return;
            }
            worker->reservedFor.reset();
        }
        if (worker->observedRuns > 0 || !suitable) {
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
        auto *const found = changeTask(tables, crashCounterOf(job->second, key.task));
        if (found == nullptr) {
            continue; // the task is done
        }
        auto &counter = *found;
        // Only a report shows that the worker still runs.
        const auto ranFor = since(run.confirmedAt, tables.workers.at(run.worker).reportAt);
        if (run.observed && ranFor > observationTime(counter, run.longRunning)) {
            endObservation(tables, run);
            if (recordSurvival(tables, key.task)) {
                changed.insert(key.task.job);
            }
        }
        if (run.longRunning && counter.crashes > 0 && ranFor > longRunningCrashMemory) {
            counter.crashes = 0;
            counter.lateCrashes = 0;
            counter.crashEvidence = 0;
            if (auto *const task = changeTask(tables, key.task)) {
                task->suspectRun.reset();
            }
            changed.insert(key.task.job);
        }
    }
    return changed;
}

bool recordSurvival(fleet_tables &tables, const task_name &name)
{
    const auto job = tables.jobs.find(name.job);
    if (job == tables.jobs.end()) {
        return false;
    }
    for (auto run = tables.runs.lower_bound({{name.job, 0, 0, 0}, 0});
         run != tables.runs.end() && run->first.task.job == name.job; ++run) {
        if (run->second.observed && shareCounter(tables, run->first.task, name)) {
            return false; // the worker of another member of the gang may still crash
        }
    }
    auto *const counter = changeTask(tables, crashCounterOf(job->second, name));
    return counter != nullptr && std::exchange(counter->crashEvidence, 0) > 0;
}

} // namespace ibishinge::fleet
