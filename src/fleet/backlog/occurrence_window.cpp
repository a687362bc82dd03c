#include <ibishinge/fleet/backlog/occurrence_window.h>

#include <algorithm>
#include <limits>
#include <optional>

namespace ibishinge::fleet {

namespace {

int repetitionsOf(const job_entry &job) noexcept
{
    return std::max(job.spec.repetitions, 1);
}

int cellsOf(const job_entry &job, int occurrences) noexcept
{
    const auto cells = std::int64_t {cellsOf(job.spec)} * occurrences;
    return static_cast<int>(std::min<std::int64_t>(cells, std::numeric_limits<int>::max()));
}

/// Returns the number of occurrences that are due at `wallMs`.
int countDue(const job_entry &job, std::int64_t wallMs) noexcept
{
    const auto &spec = job.spec;
    if (spec.repetitions == 0) {
        return 1;
    }
    if (wallMs < spec.firstDueMs) {
        return 0;
    }
    if (spec.intervalMs <= 0) {
        return spec.repetitions;
    }
    const auto due = (wallMs - spec.firstDueMs) / spec.intervalMs + 1;
    return static_cast<int>(std::min<std::int64_t>(due, spec.repetitions));
}

int countUnstartedTasks(const job_entry &job)
{
    int tasks = 0;
    for (const auto &[number, occurrence] : job.occurrences) {
        tasks += isStarted(occurrence) ? 0 : occurrence.unfinishedTasks;
    }
    return tasks;
}

} // namespace

int cellsOf(const job_spec &spec) noexcept
{
    int tasks = 0;
    for (const auto &step : spec.steps) {
        tasks += step.count;
    }
    return static_cast<int>(spec.steps.size()) + tasks / tasksPerCell;
}

int extraCells(const job_entry &job) noexcept
{
    return cellsOf(job, std::max(static_cast<int>(job.occurrences.size()) - 1, 0));
}

extra_cells countExtraCells(const fleet_tables &tables)
{
    extra_cells used;
    for (const auto &[id, job] : tables.jobs) {
        if (job.occurrences.size() > 1) {
            const int cells = extraCells(job);
            used.all += cells;
            used.byCustomer[job.customer] += cells;
        }
    }
    return used;
}

int roomFor(const extra_cells &used, const std::string &customer)
{
    const auto own = used.byCustomer.find(customer);
    const int ofCustomer = own == used.byCustomer.end() ? 0 : own->second;
    // Each cell that the customer adds is one that the others no longer have.
    return std::max((maxExtraCells - used.all - ofCustomer) / 2, 0);
}

bool openDueOccurrences(job_entry &job, std::int64_t wallMs, int room)
{
    job.dueOccurrences = std::max(job.nextOccurrence, countDue(job, wallMs));
    const int cells = cellsOf(job.spec);
    std::optional<int> unstarted; // counted only if a further occurrence may be opened
    bool opened = false;
    while (job.nextOccurrence < job.dueOccurrences) {
        if (!job.occurrences.empty()) {
            unstarted = unstarted ? *unstarted : countUnstartedTasks(job);
            const int unstored = job.nextOccurrence - job.storedNextOccurrence;
            if (*unstarted >= maxUnstartedTasks || cells > room
                || cellsOf(job, static_cast<int>(job.occurrences.size()) + 1) > maxOpenCells
                || cellsOf(job, unstored + 1) > maxUnstoredCells) {
                break;
            }
            room -= cells;
        }
        openOccurrence(job, job.nextOccurrence);
        if (unstarted) {
            *unstarted += job.occurrences.rbegin()->second.unfinishedTasks;
        }
        opened = true;
    }
    return opened;
}

bool openDueOccurrences(fleet_tables &tables, std::int64_t wallMs)
{
    auto used = countExtraCells(tables);
    bool opened = false;
    for (auto &[id, job] : tables.jobs) {
        if (!job.stored || job.ending || job.nextOccurrence >= repetitionsOf(job)) {
            continue;
        }
        const int before = extraCells(job);
        if (openDueOccurrences(job, wallMs, roomFor(used, job.customer))) {
            opened = true;
            const int added = extraCells(job) - before;
            used.all += added;
            used.byCustomer[job.customer] += added;
        }
    }
    return opened;
}

void openOccurrence(job_entry &job, int number)
{
    job.nextOccurrence = std::max(job.nextOccurrence, number + 1);
    const auto [place, added] = job.occurrences.try_emplace(number);
    if (!added) {
        return;
    }
    auto &occurrence = place->second;
    occurrence.steps.reserve(job.spec.steps.size());
    occurrence.unfinished.reserve(job.spec.steps.size());
    for (const auto &step : job.spec.steps) {
        occurrence.steps.push_back({static_cast<std::size_t>(step.count), {}, {}, 0});
        occurrence.unfinished.push_back(step.count);
        occurrence.unfinishedTasks += step.count;
    }
}

void openOccurrencesUpTo(job_entry &job, int number)
{
    const int end = std::min(number + 1, repetitionsOf(job));
    while (job.nextOccurrence < end) {
        openOccurrence(job, job.nextOccurrence);
    }
}

bool isStarted(const occurrence_entry &occurrence)
{
    return !std::all_of(occurrence.steps.begin(), occurrence.steps.end(), isUnchanged);
}

int countDelayedOccurrences(const job_entry &job) noexcept
{
    return std::max(job.dueOccurrences - job.nextOccurrence, 0);
}

bool needsProgressRecord(const job_entry &job) noexcept
{
    return job.spec.repetitions > 1
           && cellsOf(job, job.nextOccurrence - job.storedNextOccurrence) > maxUnstoredCells / 2;
}

} // namespace ibishinge::fleet
