#include <ibishinge/fleet/coordinator.h>

#include <ibishinge/base/processor_time.h>
#include <ibishinge/fleet/crash_isolation.h>
#include <ibishinge/fleet/record_codec.h>

#include <algorithm>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Delay before progress is written, so that ends of runs close together share one write.
constexpr milliseconds flushDelay {12};

/// Time after which the next flush no longer waits for the one in progress: a write without an
/// answer holds up one writer, and with it the barrier of a flush, for far longer.
constexpr milliseconds maxFlushWait {250};

} // namespace

void coordinator::markDirty(const std::string &id)
{
    m_dirtyJobs.insert(id);
    requestFlush(flushDelay);
}

void coordinator::requestFlush(milliseconds delay)
{
    if (m_flushInProgress) {
        m_flushRequested = true;
    } else if (!m_flushScheduled) {
        m_flushScheduled = true;
        callAfter(delay, [this] { flush(); });
    }
}

void coordinator::finishFlush(std::int64_t number)
{
    if (number != m_flushNumber || !m_flushInProgress) {
        return;
    }
    m_flushInProgress = false;
    if (std::exchange(m_flushRequested, false)) {
        requestFlush(flushDelay);
    }
}

write_unit coordinator::progressUnit(const job_entry &job)
{
    write_unit unit;
    unit.changes.push_back({std::string(progressPrefix) + job.id, encodeProgress(job)});
    unit.guards.push_back(std::string(jobPrefix) + job.id);
    return unit;
}

void coordinator::flush()
{
    m_flushScheduled = false;
    m_flushInProgress = true;
    const auto number = ++m_flushNumber;
    callAfter(maxFlushWait, [this, number] { finishFlush(number); });
    const processor_time_scope used(m_metrics, work_kind::progress);
    const auto flushedAt = m_timers.now();
    // Ends that the workers may forget once the records written below are in the store.
    auto marks = std::make_shared<std::vector<flush_mark>>();
    for (const auto &[id, worker] : m_tables.workers) {
        if (worker.processedEnd > worker.storedEnd) {
            marks->push_back({id, worker.incarnation, worker.processedEnd});
        }
    }
    const auto onStored = [this, marks, flushedAt, number](const result<void> &stored) {
        if (m_closed || !stored) {
            return;
        }
        finishFlush(number);
        for (const auto &mark : *marks) {
            const auto worker = m_tables.workers.find(mark.worker);
            if (worker != m_tables.workers.end()
                && worker->second.incarnation == mark.incarnation) {
                worker->second.storedEnd = std::max(worker->second.storedEnd, mark.end);
                worker->second.unstoredSince = flushedAt;
                pollIfDue(worker->second);
            }
        }
    };
    for (const auto &id : std::exchange(m_dirtyJobs, {})) {
        const auto found = m_tables.jobs.find(id);
        if (found == m_tables.jobs.end() || found->second.ending) {
            continue;
        }
        auto unit = progressUnit(found->second);
        if (found->second.hasCrashes || found->second.spec.repetitions > 1) {
            unit.done = [this, id, counts = crashCounts(found->second),
                         next = found->second.nextOccurrence](const result<void> &stored) {
                const auto job = m_tables.jobs.find(id);
                if (!m_closed && stored && job != m_tables.jobs.end()) {
                    markCrashesStored(job->second, counts);
                    auto &storedNext = job->second.storedNextOccurrence;
                    storedNext = std::max(storedNext, next);
                    requestSchedulingPass();
                }
            };
        }
        m_writer->add(id, std::move(unit));
    }
    m_writer->addBarrier(onStored);
}

} // namespace ibishinge::fleet
