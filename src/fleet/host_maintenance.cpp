#include <ibishinge/fleet/host_maintenance.h>

#include <algorithm>

namespace ibishinge::fleet {

namespace {

/// Hosts evacuated in advance, so that the next one is ready when one returns.
constexpr int evacuatedAhead = 1;

/// Reserve before the deadline of a wave, for hosts that take longer to evacuate.
constexpr milliseconds deadlineSlack {5000};

/// A long-running task is available at this percentage.
constexpr int availablePercent = 100;

/// A run counts as available only while the last report of its worker is at most this old, because
/// a worker that stopped reporting may have lost its runs.
constexpr milliseconds longestReportAge {700};

} // namespace

worker_status *workerOf(fleet_tables &tables, const std::string &host)
{
    const auto listed = tables.hosts.find(host);
    if (listed == tables.hosts.end()) {
        return nullptr;
    }
    const auto worker = tables.workers.find(listed->second.worker);
    return worker == tables.workers.end() ? nullptr : &worker->second;
}

bool isConfirmedIdle(const worker_status &worker, instant now) noexcept
{
    return worker.runs.empty() && worker.storedEnd >= worker.processedEnd
           && !mayHaveUnreportedRuns(worker, now);
}

int countUnavailableHosts(const fleet_tables &tables, const wave_progress &progress)
{
    return static_cast<int>(
        std::count_if(progress.hosts.begin(), progress.hosts.end(), [&](const auto &row) {
            const auto &[host, each] = row;
            if (each.step == maintenance_phase::finished) {
                return false;
            }
            const auto listed = tables.hosts.find(host);
            return each.step == maintenance_phase::ordered
                   || each.step == maintenance_phase::in_maintenance
                   || each.recorded != order_record::none
                   || (listed != tables.hosts.end()
                       && listed->second.state == host_state::maintenance);
        }));
}

std::vector<std::string> hostsToEvacuate(fleet_tables &tables, const wave_progress &progress,
                                         const std::set<std::string> &busyPools,
                                         const std::set<std::string> &moving,
                                         milliseconds timePerHost, instant now)
{
    int open = 0;
    std::vector<std::pair<std::int64_t, std::string>> waiting;
    for (const auto &[host, each] : progress.hosts) {
        if (each.step == maintenance_phase::waiting) {
            const auto *worker = workerOf(tables, host);
            waiting.emplace_back(worker == nullptr ? -1 : worker->held.cpuMillis, host);
        } else if (each.step != maintenance_phase::finished) {
            ++open;
        }
    }
    std::sort(waiting.begin(), waiting.end());
    const auto rounds =
        (static_cast<std::int64_t>(waiting.size()) + progress.wave.maxConcurrent - 1)
        / std::max(progress.wave.maxConcurrent, 1);
    const bool deadlineNear = now + rounds * timePerHost + deadlineSlack >= progress.dueAt;
    std::vector<std::string> chosen;
    for (const auto &[load, host] : waiting) {
        if (open + static_cast<int>(chosen.size())
            >= progress.wave.maxConcurrent + evacuatedAhead) {
            break;
        }
        const auto listed = tables.hosts.find(host);
        if (moving.count(host) > 0
            || (listed != tables.hosts.end() && listed->second.state == host_state::moving)) {
            continue;
        }
        const bool busy =
            listed != tables.hosts.end() && load >= 0 && busyPools.count(listed->second.pool) > 0;
        if (!busy || deadlineNear) {
            chosen.push_back(host);
        }
    }
    return chosen;
}

void markMaintenance(fleet_tables &tables, const maintenance_state &state)
{
    for (auto &[id, worker] : tables.workers) {
        worker.maintenanceDue = false;
        worker.cordoned = false;
    }
    for (const auto &[number, progress] : state.waves) {
        if (progress.completed) {
            continue;
        }
        for (const auto &[host, each] : progress.hosts) {
            auto *worker = workerOf(tables, host);
            if (worker == nullptr || each.step == maintenance_phase::finished) {
                continue;
            }
            worker->maintenanceDue = true;
            worker->cordoned = each.step != maintenance_phase::waiting;
        }
    }
}

int countUnavailableTasks(const fleet_tables &tables, const job_entry &job, int occurrence,
                          int step, instant now)
{
    const auto found = job.occurrences.find(occurrence);
    if (found == job.occurrences.end()) {
        return 0;
    }
    int away = 0;
    const auto &tasks = found->second.steps[static_cast<std::size_t>(step)];
    for (std::size_t index = 0; index < tasks.count; ++index) {
        const auto &task = taskAt(tasks, index);
        const auto run = tables.runs.find(
            {{job.id, occurrence, step, static_cast<int>(index)}, task.currentRun});
        bool working = task.phase == task_phase::placed && run != tables.runs.end()
                       && run->second.phase == run_phase::running
                       && run->second.percent >= availablePercent;
        if (working) {
            const auto &worker = tables.workers.at(run->second.worker);
            working = worker.verified && since(worker.reportAt, now) <= longestReportAge;
        }
        away += working ? 0 : 1;
    }
    return away;
}

bool mayInterrupt(const fleet_tables &tables, const run_entry &run, instant now)
{
    const auto &name = run.key.task;
    const auto job = tables.jobs.find(name.job);
    if (job == tables.jobs.end()) {
        return true;
    }
    const auto &step = job->second.spec.steps[static_cast<std::size_t>(name.step)];
    const int allowed = std::max(step.maxUnavailable, 1);
    return countUnavailableTasks(tables, job->second, name.occurrence, name.step, now) < allowed;
}

} // namespace ibishinge::fleet
