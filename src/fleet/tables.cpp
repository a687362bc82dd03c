#include <ibishinge/fleet/tables.h>

#include <ibishinge/fleet/crash_isolation.h>

#include <algorithm>
#include <array>
#include <utility>

namespace ibishinge::fleet {

namespace {

constexpr std::array<std::pair<job_state, std::string_view>, 5> jobStateNames {{
    {job_state::queued, "queued"},
    {job_state::running, "running"},
    {job_state::completed, "completed"},
    {job_state::failed, "failed"},
    {job_state::cancelled, "cancelled"},
}};

constexpr std::array<std::pair<end_kind, std::string_view>, 6> endKindNames {{
    {end_kind::done, "done"},
    {end_kind::failed, "failed"},
    {end_kind::stopped, "stopped"},
    {end_kind::lease_expired, "lease_expired"},
    {end_kind::gang_broken, "gang_broken"},
    {end_kind::gang_incomplete, "gang_alone"},
}};

/// Limits of one job, so that a malformed or hostile specification cannot exhaust the memory.
constexpr int maxTasksOfStep = 1000;
constexpr int maxTasksOfJob = 4000;
constexpr int maxRepetitions = 100000;

/// Number of observed runs at which the observed run time and the caller's estimate have equal
/// weight.
constexpr double priorSamples = 4;

} // namespace

std::string_view nameOf(job_state state) noexcept
{
    return std::find_if(jobStateNames.begin(), jobStateNames.end(),
                        [state](const auto &row) { return row.first == state; })
        ->second;
}

std::optional<job_state> parseJobState(std::string_view name) noexcept
{
    for (const auto &[state, text] : jobStateNames) {
        if (text == name) {
            return state;
        }
    }
    return std::nullopt;
}

std::string_view nameOf(end_kind kind) noexcept
{
    return std::find_if(endKindNames.begin(), endKindNames.end(),
                        [kind](const auto &row) { return row.first == kind; })
        ->second;
}

const queue_config *findQueue(const configuration &config, std::string_view host,
                              std::string_view path) noexcept
{
    const queue_config *best = nullptr;
    for (const auto &queue : config.queues) {
        if (queue.host == host && path.starts_with(queue.prefix)
            && (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

void keepFieldsOf(const configuration *before, configuration &config)
{
    for (const auto &invalid : config.invalidFields) {
        const auto isNamed = [&](const queue_config &queue) {
            return queue.name == invalid.entity;
        };
        if (invalid.field == configuration_field::priority) {
            const auto queue = std::find_if(config.queues.begin(), config.queues.end(), isNamed);
            if (queue == config.queues.end()) {
                continue;
            }
            queue->priority = queue_config {}.priority;
            if (before != nullptr) {
                const auto old =
                    std::find_if(before->queues.begin(), before->queues.end(), isNamed);
                queue->priority = old == before->queues.end() ? queue->priority : old->priority;
            }
        } else if (const auto customer = config.customers.find(invalid.entity);
                   customer != config.customers.end()) {
            customer->second.weight =
                before == nullptr ? customer_config {}.weight : weightOf(*before, invalid.entity);
        }
    }
}

void setConfiguration(fleet_tables &tables, configuration config)
{
    tables.config = std::move(config);
    tables.queues.clear();
    for (const auto &queue : tables.config.queues) {
        tables.queues[queue.name] = &queue;
    }
}

std::optional<std::string> findProblem(const job_spec &spec)
{
    if (spec.payload.size() > maxPayloadBytes) {
        return "the payload has more than 4000 bytes";
    }
    if (spec.steps.empty() || spec.steps.size() > maxSteps) {
        return "a job has 1 to 64 steps";
    }
    if (spec.repetitions < 0 || spec.repetitions > maxRepetitions
        || (spec.repetitions > 1 && spec.intervalMs <= 0)) {
        return "repetitions or their interval are out of bounds";
    }
    int tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const auto &step = spec.steps[i];
        if (step.count < 1 || step.count > maxTasksOfStep) {
            return "step " + std::to_string(i) + " has no valid number of tasks";
        }
        tasks += step.count;
        const auto &need = step.need;
        if (need.cpuMillis < 0 || need.memoryMb < 0 || need.accelerators < 0) {
            return "step " + std::to_string(i) + " has a negative need";
        }
        const auto longest =
            std::max({step.requiredLabel.size(), step.dataRack.size(), step.image.size()});
        if (longest > maxPayloadBytes || step.after.size() > maxSteps) {
            return "step " + std::to_string(i) + " has a text or a list that is too long";
        }
        for (const int earlier : step.after) {
            if (earlier < 0 || static_cast<std::size_t>(earlier) >= i) {
                return "step " + std::to_string(i) + " waits for a step that is not before it";
            }
        }
    }
    if (tasks > maxTasksOfJob) {
        return "the job has more than 4000 tasks";
    }
    return std::nullopt;
}

bool isStepReady(const job_spec &spec, const occurrence_entry &occurrence, int step)
{
    const auto &after = spec.steps[static_cast<std::size_t>(step)].after;
    return std::all_of(after.begin(), after.end(), [&](int earlier) {
        return occurrence.unfinished[static_cast<std::size_t>(earlier)] == 0;
    });
}

namespace {

/// Returns the list that holds the task, or null if the job has ended or the task does not exist.
const task_list *findList(const fleet_tables &tables, const task_name &name)
{
    const auto job = tables.jobs.find(name.job);
    if (job == tables.jobs.end()) {
        return nullptr;
    }
    const auto occurrence = job->second.occurrences.find(name.occurrence);
    if (occurrence == job->second.occurrences.end() || name.step < 0 || name.index < 0) {
        return nullptr;
    }
    const auto &steps = occurrence->second.steps;
    if (static_cast<std::size_t>(name.step) >= steps.size()) {
        return nullptr;
    }
    const auto &tasks = steps[static_cast<std::size_t>(name.step)];
    return static_cast<std::size_t>(name.index) < tasks.count ? &tasks : nullptr;
}

} // namespace

const task_entry *findTask(const fleet_tables &tables, const task_name &name)
{
    const auto *const tasks = findList(tables, name);
    return tasks == nullptr ? nullptr : &taskAt(*tasks, static_cast<std::size_t>(name.index));
}

task_entry *changeTask(fleet_tables &tables, const task_name &name)
{
    const auto *const task = findTask(tables, name);
    if (task == nullptr || task->phase == task_phase::done) {
        return nullptr;
    }
    return &changeTask(tables.jobs.at(name.job)
                           .occurrences.at(name.occurrence)
                           .steps[static_cast<std::size_t>(name.step)],
                       static_cast<std::size_t>(name.index));
}

bool finishTask(job_entry &job, const task_name &name)
{
    auto &occurrence = job.occurrences.at(name.occurrence);
    const auto step = static_cast<std::size_t>(name.step);
    markDone(occurrence.steps[step], static_cast<std::size_t>(name.index));
    --occurrence.unfinished[step];
    if (--occurrence.unfinishedTasks > 0) {
        return false;
    }
    job.occurrences.erase(name.occurrence);
    std::erase_if(job.tickets,
                  [&name](const auto &each) { return each.first.first == name.occurrence; });
    return job.occurrences.empty() && job.nextOccurrence >= std::max(job.spec.repetitions, 1);
}

run_entry makeRun(const job_entry &job, const run_key &key, const std::string &worker)
{
    const auto &step = job.spec.steps[static_cast<std::size_t>(key.task.step)];
    run_entry run;
    run.key = key;
    run.worker = worker;
    run.held = heldBy(step);
    run.customer = job.customer;
    run.longRunning = step.longRunning;
    run.serving = step.tailTarget.count() > 0;
    run.tailTarget = step.tailTarget;
    run.bestEffort = step.bestEffort;
    run.observed = isSuspected(job, key.task);
    return run;
}

run_entry &addRun(fleet_tables &tables, run_entry run)
{
    const auto key = run.key;
    auto &worker = tables.workers[run.worker];
    worker.runs.insert(key);
    worker.held = worker.held + run.held;
    worker.observedRuns += run.observed ? 1 : 0;
    auto &customer = tables.customerHeld[run.customer];
    customer = customer + run.held;
    run.pool = worker.entry.pool;
    countPoolUse(tables, run, true);
    return tables.runs.insert_or_assign(key, std::move(run)).first->second;
}

void removeRun(fleet_tables &tables, const run_key &key)
{
    const auto found = tables.runs.find(key);
    if (found == tables.runs.end()) {
        return;
    }
    auto &worker = tables.workers[found->second.worker];
    worker.runs.erase(key);
    worker.held = worker.held - found->second.held;
    worker.observedRuns -= found->second.observed ? 1 : 0;
    auto &customer = tables.customerHeld[found->second.customer];
    customer = customer - found->second.held;
    countPoolUse(tables, found->second, false);
    tables.runs.erase(found);
}

bool hasRun(const fleet_tables &tables, const task_name &name)
{
    const auto run = tables.runs.lower_bound({name, 0});
    return run != tables.runs.end() && run->first.task == name;
}

void endObservation(fleet_tables &tables, run_entry &run)
{
    --tables.workers[run.worker].observedRuns;
    run.observed = false;
}

resources heldBy(const step_spec &step) noexcept
{
    resources held = step.need;
    if (step.bestEffort) {
        held.cpuMillis = 0;
    }
    return held;
}

double expectedRunMs(const fleet_tables &tables, const std::string &queue, const step_spec &step)
{
    const auto estimate = static_cast<double>(step.estimate.count());
    const auto found = tables.statistics.find(queue);
    if (found == tables.statistics.end() || found->second.samples == 0) {
        return estimate;
    }
    const auto &learned = found->second;
    const double weight = learned.samples / (learned.samples + priorSamples);
    return weight * learned.meanRunMs + (1 - weight) * estimate;
}

} // namespace ibishinge::fleet
