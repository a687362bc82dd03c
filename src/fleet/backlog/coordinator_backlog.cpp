#include <ibishinge/base/logging.h>
#include <ibishinge/fleet/backlog/occurrence_window.h>
#include <ibishinge/fleet/coordinator.h>

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
    m_metrics.set("ibishinge_occurrences_delayed", {}, static_cast<double>(delayed));
    m_metrics.set("ibishinge_occurrence_cells", {}, countExtraCells(m_tables).all);
}

} // namespace ibishinge::fleet
