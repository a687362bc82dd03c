#include <ibishinge/fleet/queueing/pool_outlook.h>

#include <ibishinge/fleet/objective.h>
#include <ibishinge/fleet/placement.h>

#include <algorithm>
#include <limits>
#include <set>

namespace ibishinge::fleet {

namespace {

/// Time of a move, and from its end until the worker of the host can be given tasks.
constexpr milliseconds moveTime {1500};
constexpr milliseconds registrationTime {300};

/// Share of its expected time that a run is expected to take further when that time is over.
constexpr double overdueShare = 0.1;

/// Time in milliseconds for which a run of a job that has ended holds its resources: until its stop
/// takes effect.
constexpr double stoppingMs = 200;

constexpr double unlimited = std::numeric_limits<double>::infinity();

double toCores(std::int64_t cpuMillis)
{
    return static_cast<double>(cpuMillis) / 1000;
}

double msUntil(instant now, instant then)
{
    return std::max(0.0, static_cast<double>(since(now, then).count()));
}

/// Returns the mean run time of the tasks of a step, as expected, in milliseconds.
double meanRunMs(const fleet_tables &tables, const job_entry &job,
                 const occurrence_entry &occurrence, std::size_t step)
{
    const bool observed = step < occurrence.runTimes.size() && occurrence.runTimes[step].runs > 0;
    return observed ? occurrence.runTimes[step].meanMs
                    : expectedRunMs(tables, job.queue, job.spec.steps[step]);
}

/// Collects the parts of an outlook.
struct outlook_builder
{
    const fleet_tables &tables;
    const pool_sizing_state &sizing;
    work_groups &groups;
    const std::string &pool;
    instant now;
    pool_outlook outlook;
    /// Workers of the pool, and from when they can be given tasks, in milliseconds from `now`.
    std::map<std::string, double> workers;
    std::vector<capacity_step> arrivals;
    /// Capacity that has a label, or accelerators, in cores.
    std::map<std::string, double> coresByLabel;
    double coresWithAccelerators = 0;
    /// Core-milliseconds and megabyte-milliseconds of waiting work by group.
    std::map<int, std::pair<double, double>> workOfGroup;

    void addHost(double at, const resources &capacity, const std::vector<std::string> &labels)
    {
        const double cores = toCores(capacity.cpuMillis);
        outlook.events.push_back({at, -1, 0, cores});
        arrivals.push_back({at, cores});
        for (const auto &label : labels) {
            coresByLabel[label] += cores;
        }
        coresWithAccelerators += capacity.accelerators > 0 ? cores : 0;
    }

    void addWorkers();
    void addMovingHosts();
    void addRun(const run_entry &run, const job_entry *job);
    void addJob(const job_entry &job, const std::map<std::pair<int, int>, double> &runsEnd);
    void setGroupCores();
};

/// Returns from when the worker can be given tasks; nothing if it is leaving.
std::optional<double> availableFrom(const worker_status &worker, const pool_sizing_state &sizing,
                                    instant now)
{
    const auto move = sizing.moves.find(worker.entry.host);
    const bool leaves = move != sizing.moves.end() && move->second.to != worker.entry.pool;
    if (!worker.registered || worker.ended || worker.evacuated || leaves
        || worker.entry.state != worker_state::ready) {
        return std::nullopt;
    }
    if (worker.cordoned) {
        return static_cast<double>((moveTime + registrationTime).count());
    }
    return msUntil(now, worker.quarantinedUntil);
}

void outlook_builder::addWorkers()
{
    for (const auto &[id, worker] : tables.workers) {
        if (worker.entry.pool != pool) {
            continue;
        }
        if (const auto from = availableFrom(worker, sizing, now)) {
            workers[id] = *from;
            addHost(*from, worker.entry.capacity, worker.entry.labels);
        }
    }
}

/// Returns the hosts that may come from another pool: its idle hosts, if its peak is over and
/// another pool has been without a peak for longer, or else those beyond its assigned number.
int hostsToGive(const pool_sizing_state &sizing, const std::string &pool, int hosts, int idle)
{
    const auto memory = sizing.pools.find(pool);
    if (memory == sizing.pools.end()) {
        return 0;
    }
    const bool earlierPeak =
        std::any_of(sizing.pools.begin(), sizing.pools.end(), [&](const auto &each) {
            return !each.second.peaking && each.second.lastPeakAt < memory->second.lastPeakAt;
        });
    const bool returns = !memory->second.peaking && earlierPeak;
    return returns ? idle : std::min(idle, std::max(0, hosts - memory->second.baselineHosts));
}

void outlook_builder::addMovingHosts()
{
    std::set<std::string> present;
    std::map<std::string, int> hosts;
    std::map<std::string, std::vector<const worker_status *>> idle;
    for (const auto &[id, worker] : tables.workers) {
        if (workers.count(id) > 0) {
            present.insert(worker.entry.host);
        } else if (worker.registered && !worker.entry.host.empty()) {
            ++hosts[worker.entry.pool];
            if (sizing.idleSince.count(id) > 0 && isUsable(worker, now)
                && sizing.moves.count(worker.entry.host) == 0) {
                idle[worker.entry.pool].push_back(&worker);
            }
        }
    }
    const auto isCompatible = [&](const std::vector<std::string> &labels) {
        return labels.empty() || sizing.incompatible.count({labels.front(), pool}) == 0;
    };
    constexpr auto arrival = moveTime + registrationTime;
    for (const auto &[name, host] : tables.hosts) {
        const auto move = sizing.moves.find(name);
        if (move != sizing.moves.end()) {
            if (move->second.to == pool && present.count(name) == 0) {
                addHost(msUntil(now, move->second.orderedAt + arrival), host.capacity, host.labels);
            }
            continue;
        }
        const auto from = tables.config.pools.find(host.pool);
        if (from != tables.config.pools.end() && from->second.spare && host.pool != pool
            && host.state == host_state::up && !isEvacuated(tables.evacuation, host.dataCentre)
            && isCompatible(host.labels)) {
            addHost(static_cast<double>(arrival.count()), host.capacity, host.labels);
        }
    }
    for (const auto &[other, ofPool] : idle) {
        const auto from = tables.config.pools.find(other);
        if (other == pool || from == tables.config.pools.end() || from->second.spare) {
            continue;
        }
        int left = hostsToGive(sizing, other, hosts[other], static_cast<int>(ofPool.size()));
        for (const auto *worker : ofPool) {
            if (left > 0 && isCompatible(worker->entry.labels)) {
                addHost(static_cast<double>(arrival.count()), worker->entry.capacity,
                        worker->entry.labels);
                --left;
            }
        }
    }
}

void outlook_builder::addRun(const run_entry &run, const job_entry *job)
{
    const auto worker = workers.find(run.worker);
    if (worker == workers.end() || run.held.cpuMillis == 0) {
        return;
    }
    const double cores = toCores(run.held.cpuMillis);
    outlook.events.push_back({worker->second, -1, 0, -cores});
    if (run.longRunning) {
        arrivals.push_back({worker->second, -cores});
        return;
    }
    double left = stoppingMs;
    int group = 0;
    if (job != nullptr) {
        const auto step = static_cast<std::size_t>(run.key.task.step);
        const auto occurrence = job->occurrences.find(run.key.task.occurrence);
        const double expected = occurrence == job->occurrences.end()
                                    ? expectedRunMs(tables, job->queue, job->spec.steps[step])
                                    : meanRunMs(tables, *job, occurrence->second, step);
        const double elapsed =
            msUntil(run.beganAt.value_or(std::max(run.orderedAt, run.confirmedAt)), now);
        left = std::max(expected - elapsed, overdueShare * expected);
        group = groupOf(tables, groups, run.customer, job->spec.steps[step]).value_or(0);
    }
    outlook.events.push_back({std::max(left, worker->second), -1, group, cores});
}

/// Adds the flows, without their events, of a job whose occurrences are not open yet.
void addFlowsOfNewJob(pool_outlook &outlook, const fleet_tables &tables, work_groups &groups,
                      const job_entry &job, instant now)
{
    if (job.spec.repetitions > 0) {
        return;
    }
    const auto first = outlook.flows.size();
    std::vector<double> ends;
    for (const auto &step : job.spec.steps) {
        double begin = msUntil(outlook.at, now);
        for (const int earlier : step.after) {
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        }
        const double mean = expectedRunMs(tables, job.queue, step);
        ends.push_back(begin + mean);
        const auto group = groupOf(tables, groups, job.customer, step);
        if (group && !step.longRunning && mean > 0 && heldBy(step).cpuMillis > 0) {
            const auto latestBegin = since(outlook.at, job.objectiveAt) - job.criticalPath;
            outlook.flows.push_back({job.objectiveAt, false, *group, begin, begin + mean,
                                     toCores(heldBy(step).cpuMillis) * step.count,
                                     outlook.flows.size() > first,
                                     static_cast<double>(latestBegin.count())});
        }
    }
}

void outlook_builder::addJob(const job_entry &job,
                             const std::map<std::pair<int, int>, double> &runsEnd)
{
    if (!job.stored) {
        addFlowsOfNewJob(outlook, tables, groups, job, now);
        return;
    }
    std::vector<double> ends;
    for (const auto &[number, occurrence] : job.occurrences) {
        ends.assign(occurrence.steps.size(), 0);
        std::optional<bool> late;
        double latestBegin = 0;
        const auto first = outlook.flows.size();
        const auto objectiveAt = occurrence.objectiveAt.value_or(job.objectiveAt);
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto &spec = job.spec.steps[step];
            if (spec.longRunning || occurrence.unfinished[step] == 0) {
                continue;
            }
            double begin = 0;
            for (const int earlier : spec.after) {
                begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
            }
            const auto running = runsEnd.find({number, static_cast<int>(step)});
            ends[step] = running == runsEnd.end() ? begin : std::max(begin, running->second);
            const auto waiting = countWaiting(occurrence.steps[step]);
            if (waiting == 0) {
                continue;
            }
            if (!late) {
                const auto need = remainingTime(tables, job, occurrence, step);
                late = now + need > objectiveAt;
                latestBegin = static_cast<double>(since(now + need, objectiveAt).count());
            }
            const double mean = meanRunMs(tables, job, occurrence, step);
            ends[step] = std::max(ends[step], begin + mean);
            const bool follows = outlook.flows.size() > first;
            const auto group = groupOf(tables, groups, job.customer, spec);
            if (group && mean > 0 && heldBy(spec).cpuMillis > 0) {
                const auto count = static_cast<double>(waiting);
                const double cores = toCores(heldBy(spec).cpuMillis) * count;
                outlook.flows.push_back(
                    {objectiveAt, *late, *group, begin, begin + mean, cores, follows, latestBegin});
                auto &work = workOfGroup[*group];
                work.first += cores * mean;
                work.second += static_cast<double>(spec.need.memoryMb) * count * mean;
            }
        }
    }
}

void outlook_builder::setGroupCores()
{
    std::set<int> ofCustomers;
    for (const auto &[key, number] : groups.numbers) {
        const auto &[customer, label, accelerators] = key;
        double cores = unlimited;
        if (!customer.empty()) {
            ofCustomers.insert(number);
            const auto rule = tables.config.customers.find(customer);
            const auto found = tables.customerHeld.find(customer);
            const auto limit =
                rule == tables.config.customers.end() ? resources {} : rule->second.limit;
            const auto left =
                limit - (found == tables.customerHeld.end() ? resources {} : found->second);
            cores = limit.cpuMillis > 0 ? toCores(left.cpuMillis) : unlimited;
            const auto work = workOfGroup.find(number);
            if (limit.memoryMb > 0 && work != workOfGroup.end() && work->second.second > 0) {
                cores = std::min(cores, static_cast<double>(left.memoryMb) * work->second.first
                                            / work->second.second);
            }
        } else if (!label.empty()) {
            const auto found = coresByLabel.find(label);
            cores = found == coresByLabel.end() ? 0 : found->second;
        }
        outlook.groupCores[number] = accelerators ? std::min(cores, coresWithAccelerators) : cores;
    }
    // The ends of runs give back the limit of their customer only.
    for (auto &event : outlook.events) {
        event.group = ofCustomers.count(event.group) > 0 ? event.group : 0;
    }
}

void addFlowEvents(pool_outlook &outlook, std::size_t index)
{
    const auto &flow = outlook.flows[index];
    const auto number = static_cast<int>(index);
    outlook.events.push_back({flow.begin, number, flow.group, flow.cores});
    outlook.events.push_back({flow.end, number, flow.group, -flow.cores});
}

bool isEarlier(const outlook_event &a, const outlook_event &b)
{
    return a.at < b.at;
}

} // namespace

void addNewJob(pool_outlook &outlook, const fleet_tables &tables, work_groups &groups,
               const job_entry &job, instant now)
{
    const auto first = outlook.flows.size();
    addFlowsOfNewJob(outlook, tables, groups, job, now);
    const auto sorted = static_cast<std::ptrdiff_t>(outlook.events.size());
    for (std::size_t i = first; i < outlook.flows.size(); ++i) {
        addFlowEvents(outlook, i);
    }
    const auto middle = outlook.events.begin() + sorted;
    std::stable_sort(middle, outlook.events.end(), isEarlier);
    std::inplace_merge(outlook.events.begin(), middle, outlook.events.end(), isEarlier);
}

pool_outlook measureOutlook(const fleet_tables &tables, const pool_sizing_state &sizing,
                            work_groups &groups, const std::string &pool, instant now)
{
    outlook_builder builder {tables, sizing, groups, pool, now, {}, {}, {}, {}, 0, {}};
    builder.outlook.at = now;
    builder.addWorkers();
    builder.addMovingHosts();
    // Jobs and runs are both sorted by the id of the job.
    auto run = tables.runs.begin();
    std::map<std::pair<int, int>, double> runsEnd;
    for (const auto &[id, job] : tables.jobs) {
        for (; run != tables.runs.end() && run->first.task.job < id; ++run) {
            builder.addRun(run->second, nullptr);
        }
        runsEnd.clear();
        for (; run != tables.runs.end() && run->first.task.job == id; ++run) {
            const auto before = builder.outlook.events.size();
            builder.addRun(run->second, job.ending ? nullptr : &job);
            if (builder.outlook.events.size() > before && !run->second.longRunning) {
                auto &end = runsEnd[{run->first.task.occurrence, run->first.task.step}];
                end = std::max(end, builder.outlook.events.back().at);
            }
        }
        const auto queue = tables.queues.find(job.queue);
        if (queue != tables.queues.end() && queue->second->pool == pool && !job.ending) {
            builder.addJob(job, runsEnd);
        }
    }
    for (; run != tables.runs.end(); ++run) {
        builder.addRun(run->second, nullptr);
    }
    builder.setGroupCores();
    auto &outlook = builder.outlook;
    outlook.events.reserve(outlook.events.size() + 2 * outlook.flows.size());
    for (std::size_t i = 0; i < outlook.flows.size(); ++i) {
        addFlowEvents(outlook, i);
    }
    std::stable_sort(outlook.events.begin(), outlook.events.end(), isEarlier);
    auto &arrivals = builder.arrivals;
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    double cores = 0;
    for (const auto &each : arrivals) {
        cores += each.cores;
        if (!outlook.capacity.empty() && outlook.capacity.back().at == each.at) {
            outlook.capacity.back().cores = cores;
        } else {
            outlook.capacity.push_back({each.at, cores});
        }
    }
    return outlook;
}

} // namespace ibishinge::fleet
