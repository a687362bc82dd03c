#include <ibishinge/fleet/backlog/job_memory.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Parts of the estimate, in bytes, with the overhead of their allocations: the job's entries in
/// the tables and in the writers of its records; one of its steps, in the specification and in an
/// open occurrence.
constexpr std::size_t memoryOfJob = 1200;
constexpr std::size_t memoryOfStep = sizeof(step_spec) + sizeof(task_list) + 200;
constexpr std::size_t bitsOfByte = 8;
constexpr std::size_t overheadOfText = 32;

/// Memory of the final state of a job that has ended.
constexpr std::size_t memoryOfEnded = 400;

constexpr milliseconds shortestRetry {1000};
constexpr milliseconds longestRetry {30'000};

std::size_t memoryOf(const std::string &text) noexcept
{
    return text.empty() ? 0 : text.size() + overheadOfText;
}

} // namespace

std::size_t memoryOf(const job_entry &job) noexcept
{
    std::size_t bytes = memoryOfJob + memoryOf(job.spec.payload) + memoryOf(job.customer)
                        + memoryOf(job.queue) + memoryOf(job.pool);
    for (const auto &step : job.spec.steps) {
        bytes += memoryOfStep + memoryOf(step.requiredLabel) + memoryOf(step.dataRack)
                 + memoryOf(step.image) + step.after.size() * sizeof(int)
                 + static_cast<std::size_t>(step.count) / bitsOfByte;
    }
    return bytes;
}

job_entry &addJob(fleet_tables &tables, job_entry job)
{
    job.memory = memoryOf(job);
    auto &used = tables.jobMemory;
    used.all += job.memory;
    used.byCustomer[job.customer] += job.memory;
    auto id = job.id;
    return tables.jobs.emplace(std::move(id), std::move(job)).first->second;
}

bool removeJob(fleet_tables &tables, const std::string &id, instant now)
{
    const auto found = tables.jobs.find(id);
    if (found == tables.jobs.end()) {
        return false;
    }
    const auto bytes = found->second.memory;
    auto &used = tables.jobMemory;
    used.all -= bytes;
    addEvents(used.freed, static_cast<double>(bytes), now);
    const auto own = used.byCustomer.find(found->second.customer);
    if (own != used.byCustomer.end()) {
        own->second -= bytes;
        if (own->second == 0) {
            used.byCustomer.erase(own);
        }
    }
    tables.jobs.erase(found);
    return true;
}

std::size_t usedJobMemory(const fleet_tables &tables) noexcept
{
    return tables.jobMemory.all + tables.ended.size() * memoryOfEnded;
}

std::optional<milliseconds> limitJobMemory(const fleet_tables &tables, const std::string &customer,
                                           std::size_t bytes, instant now)
{
    const auto &used = tables.jobMemory;
    const auto found = used.byCustomer.find(customer);
    const auto own = bytes + (found == used.byCustomer.end() ? 0 : found->second);
    const auto all = bytes + usedJobMemory(tables);
    if (own + all <= maxJobMemory) {
        return std::nullopt;
    }
    const auto missing = static_cast<double>(own + all - maxJobMemory);
    const double freedPerSecond = eventsPerSecond(used.freed, now);
    // Without ends the time is not known.
    const auto seconds = freedPerSecond * longestRetry.count() / 1000 > missing
                             ? missing / freedPerSecond
                             : static_cast<double>(longestRetry.count()) / 1000;
    return std::max(milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000))),
                    shortestRetry);
}

} // namespace ibishinge::fleet
