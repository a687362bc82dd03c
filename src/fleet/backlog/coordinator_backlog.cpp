#include <ibishinge/base/logging.h>
#include <ibishinge/fleet/backlog/job_memory.h>
#include <ibishinge/fleet/backlog/occurrence_window.h>
#include <ibishinge/fleet/coordinator.h>

#include <algorithm>
#include <string>

namespace ibishinge::fleet {

namespace {

/// Maximum number of jobs with delayed occurrences that are logged at once.
constexpr int maxDelayedLogged = 20;

} // namespace

void coordinator::openOccurrences()
{
    m_windowMoved = false;
    openDueOccurrences(m_tables, m_timers.wallMs());
    for (const auto &[id, job] : m_tables.jobs) {
        if (job.stored && !job.ending && needsProgressRecord(job)) {
            markDirty(id);
        }
    }
}

void coordinator::logBacklog()
{
    std::int64_t delayed = 0;
    int logged = 0;
    for (const auto &[id, job] : m_tables.jobs) {
        const int ofJob = countDelayedOccurrences(job);
        delayed += ofJob;
        if (ofJob > 0 && logged < maxDelayedLogged) {
            ++logged;
            logEvent(log_level::info, "occurrences_delayed",
                     {{"job", id},
                      {"queue", job.queue},
                      {"customer", job.customer},
                      {"due", job.dueOccurrences},
                      {"opened", job.nextOccurrence},
                      {"open", job.occurrences.size()},
                      {"stored", job.storedNextOccurrence}});
        }
    }
    const auto memory = usedJobMemory(m_tables);
    m_metrics.set("ibishinge_job_memory_bytes", {}, static_cast<double>(memory));
    if (memory > maxJobMemory / 2) {
        const auto &byCustomer = m_tables.jobMemory.byCustomer;
        const auto largest =
            std::max_element(byCustomer.begin(), byCustomer.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; });
        logEvent(log_level::warning, "job_memory",
                 {{"bytes", memory},
                  {"bound", maxJobMemory},
                  {"jobs", m_tables.jobs.size()},
                  {"ended", m_tables.ended.size()},
                  {"largest", largest == byCustomer.end() ? std::string() : largest->first},
                  {"largest_bytes", largest == byCustomer.end() ? 0 : largest->second}});
    }
    m_metrics.set("ibishinge_occurrences_delayed", {}, static_cast<double>(delayed));
    m_metrics.set("ibishinge_occurrence_cells", {}, countExtraCells(m_tables).all);
}

} // namespace ibishinge::fleet
