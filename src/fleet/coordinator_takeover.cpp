#include <ibishinge/fleet/coordinator.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/fleet/backlog/job_memory.h>
#include <ibishinge/fleet/objective.h>
#include <ibishinge/fleet/record_codec.h>

#include <algorithm>
#include <map>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Delay before a failed read is repeated.
constexpr milliseconds readRetryDelay {80};

/// Interval of the log lines that tell what a take-over waits for.
constexpr milliseconds takeoverLogInterval {1000};

/// Timeout of one watch call. A watch whose connection is lost unnoticed hides changes for this
/// long.
constexpr milliseconds watchTimeout {1000};

/// Margin added to the time at which runs of an earlier coordinator have ended: their task lease,
/// on a worker's clock that is 2% slow.
constexpr milliseconds inheritedLeaseMargin {150};

/// Returns the id of the job that a record belongs to, or the key if it belongs to none.
std::string_view ownerOf(std::string_view key)
{
    for (const auto prefix : {jobPrefix, progressPrefix, endedPrefix}) {
        if (key.starts_with(prefix)) {
            return key.substr(prefix.size());
        }
    }
    return key;
}

} // namespace

void coordinator::readRecords(const std::string &prefix, const std::string &after,
                              const std::function<void(const store_item &)> &apply,
                              const std::function<void()> &next)
{
    m_platform.readRange(prefix, after,
                         unlessClosed<store_page>([this, prefix, after, apply,
                                                   next](const result<store_page> &page) {
                             if (!page) {
                                 ++m_takeover.failedReads;
                                 logEvent(log_level::warning, "read_failed",
                                          {{"prefix", prefix}, {"error", describe(page.error())}});
                                 callAfter(readRetryDelay, [this, prefix, after, apply, next] {
                                     readRecords(prefix, after, apply, next);
                                 });
                                 return;
                             }
                             countPage(*page);
                             for (const auto &item : page->items) {
                                 m_writer->setKnownRevision(ownerOf(item.key), item.key,
                                                            item.revision);
                                 apply(item);
                             }
                             if (page->more && !page->items.empty()) {
                                 readRecords(prefix, page->items.back().key, apply, next);
                             } else {
                                 next();
                             }
                         }));
}

void coordinator::loadRecords()
{
    const auto applyRoster = [this](const store_item &item) {
        const auto workers = decodeRoster(item.value);
        if (!workers) {
            logEvent(log_level::error, "record_unreadable",
                     {{"key", item.key}, {"error", describe(workers.error())}});
            return;
        }
        for (const auto &entry : *workers) {
            auto &worker = findOrAddWorker(entry.id);
            setWorkerEntry(m_tables, worker, entry);
            worker.registered = false;
            worker.onRoster = item.key == rosterKeyOf(entry.id);
        }
    };
    const auto applyJob = [this](const store_item &item) {
        auto job = decodeJob(item.key.substr(jobPrefix.size()), item.value);
        if (!job) {
            logEvent(log_level::error, "record_unreadable",
                     {{"key", item.key}, {"error", describe(job.error())}});
            return;
        }
        job->submittedAt =
            m_timers.now()
            - milliseconds(std::max<std::int64_t>(0, m_timers.wallMs() - job->acceptedWallMs));
        job->fromRecord = true;
        job->inherited = true;
        estimateJob(m_tables, *job);
        addJob(m_tables, std::move(*job));
    };
    const auto applyProgressItem = [this](const store_item &item) {
        const auto job = m_tables.jobs.find(item.key.substr(progressPrefix.size()));
        if (job == m_tables.jobs.end()) {
            return; // the job ended between the reads of two pages
        }
        if (const auto applied = applyProgress(job->second, item.value); !applied) {
            logEvent(log_level::error, "record_unreadable",
                     {{"key", item.key}, {"error", describe(applied.error())}});
        }
        job->second.state = job_state::running;
    };
    const auto applyEnded = [this](const store_item &item) {
        const auto ended = decodeEnded(item.value);
        if (!ended) {
            logEvent(log_level::error, "record_unreadable",
                     {{"key", item.key}, {"error", describe(ended.error())}});
            return;
        }
        const auto id = item.key.substr(endedPrefix.size());
        if (ended->submitted) {
            m_tables.ended[id] = {ended->state, ended->wallMs};
        } else {
            m_tables.withdrawn[id] = {ended->wallMs, true};
        }
        if (removeJob(m_tables, id, m_timers.now())) {
            deleteRecordsOfEndedJob(id);
        }
    };
    const auto applyBaselines = [this](const store_item &item) {
        if (const auto baselines = decodeBaselines(item.value)) {
            setBaselines(*baselines);
            // An earlier coordinator wrote the record, so the workers had registered before this
            // one read the registry.
            m_sizing.settled = true;
        }
    };
    m_takeover.stageSince = m_startedAt;
    m_takeover.nextLogAt = m_startedAt + takeoverLogInterval;
    readRecords(std::string(baselinesKey), "", applyBaselines, [] {});
    readRecords(std::string(rosterPrefix), "", applyRoster, [=, this] {
        enterStage(m_takeover, takeover_stage::jobs, m_timers.now());
        readRecords(std::string(jobPrefix), "", applyJob, [=, this] {
            enterStage(m_takeover, takeover_stage::progress, m_timers.now());
            readRecords(std::string(progressPrefix), "", applyProgressItem, [=, this] {
                enterStage(m_takeover, takeover_stage::ended, m_timers.now());
                readRecords(std::string(endedPrefix), "", applyEnded, [this] {
                    openOccurrences();
                    addStoredSuspectRuns();
                    m_recordsRead = true;
                    enterStage(m_takeover, takeover_stage::registry, m_timers.now());
                    readRegistry("");
                });
            });
        });
    });
}

void coordinator::countPage(const store_page &page)
{
    ++m_takeover.pages;
    m_pageReadAt = m_timers.now();
    for (const auto &item : page.items) {
        m_takeover.bytes += item.key.size() + item.value.size();
    }
}

void coordinator::logTakeover()
{
    const auto now = m_timers.now();
    if (m_takeover.stage == takeover_stage::complete || now < m_takeover.nextLogAt) {
        return;
    }
    m_takeover.nextLogAt = now + takeoverLogInterval;
    const auto jobs = std::count_if(m_tables.jobs.begin(), m_tables.jobs.end(),
                                    [](const auto &job) { return job.second.inherited; });
    const auto unheard =
        std::count_if(m_tables.workers.begin(), m_tables.workers.end(), [now](const auto &worker) {
            return !worker.second.contacted && mayHaveUnreportedRuns(worker.second, now);
        });
    const auto truncated =
        std::count_if(m_tables.workers.begin(), m_tables.workers.end(), [now](const auto &worker) {
            return worker.second.contacted && mayHaveUnreportedRuns(worker.second, now);
        });
    if (m_takeover.stage == takeover_stage::reports && jobs == 0) {
        enterStage(m_takeover, takeover_stage::complete, now);
        return;
    }
    logEvent(log_level::info, "takeover_waits",
             {{"stage", nameOf(m_takeover.stage)},
              {"stage_ms", since(m_takeover.stageSince, now).count()},
              {"elapsed_ms", since(m_startedAt, now).count()},
              {"pages", m_takeover.pages},
              {"bytes", m_takeover.bytes},
              {"failed_reads", m_takeover.failedReads},
              {"jobs", jobs},
              {"workers_unheard", unheard},
              {"workers_truncated", truncated}});
}

void coordinator::onTaskStarted(const run_key &key)
{
    const auto job = m_tables.jobs.find(key.task.job);
    if (m_takeover.hasStarted || job == m_tables.jobs.end() || !job->second.fromRecord) {
        return;
    }
    m_takeover.hasStarted = true;
    const auto now = m_timers.now();
    m_metrics.observe("ibishinge_takeover_first_start_seconds", {}, now - m_startedAt);
    auto line = describeRun(key);
    line["after_ms"] = since(m_startedAt, now).count();
    logEvent(log_level::info, "takeover_first_start", line);
}

void coordinator::deleteRecordsOfEndedJob(const std::string &id)
{
    logEvent(log_level::warning, "job_record_after_its_end", {{"job", id}});
    write_unit unit;
    unit.changes.push_back({std::string(jobPrefix) + id, std::nullopt});
    unit.changes.push_back({std::string(progressPrefix) + id, std::nullopt});
    m_writer->add(id, std::move(unit));
}

void coordinator::readRegistry(const std::string &after)
{
    if (after.empty()) {
        m_listedWorkers.clear();
    }
    m_platform.readRange(m_platform.workerPrefix(), after,
                         unlessClosed<store_page>([this, after](const result<store_page> &page) {
                             if (!page) {
                                 ++m_takeover.failedReads;
                                 logEvent(log_level::warning, "registry_read_failed",
                                          {{"error", describe(page.error())}});
                                 callAfter(readRetryDelay, [this, after] { readRegistry(after); });
                                 return;
                             }
                             countPage(*page);
                             if (after.empty()) {
                                 m_registryRevision = page->revision;
                             }
                             for (const auto &item : page->items) {
                                 onRegistryItem(item);
                                 m_listedWorkers.insert(
                                     item.key.substr(m_platform.workerPrefix().size()));
                             }
                             if (page->more && !page->items.empty()) {
                                 readRegistry(page->items.back().key);
                                 return;
                             }
                             unregisterMissingWorkers();
                             watchRegistry();
                             if (!m_loaded) {
                                 beginServing();
                             }
                             refreshHosts();
                             writeRoster();
                             requestSchedulingPass();
                         }));
}

void coordinator::beginServing()
{
    m_loaded = true;
    for (auto &[id, worker] : m_tables.workers) {
        pollIfDue(worker);
    }
    const auto now = m_timers.now();
    m_loadedAt = now;
    enterStage(m_takeover, takeover_stage::reports, now);
    m_metrics.observe("ibishinge_takeover_seconds", {}, now - m_startedAt);
    logEvent(log_level::info, "coordinator_loaded",
             {{"term", m_leadership.term},
              {"token", m_leadership.fencingToken},
              {"jobs", m_tables.jobs.size()},
              {"ended", m_tables.ended.size()},
              {"workers", m_tables.workers.size()},
              {"pages", m_takeover.pages},
              {"bytes", m_takeover.bytes},
              {"failed_reads", m_takeover.failedReads},
              {"took_ms", since(m_startedAt, now).count()}});
    releaseInheritedTasks();
}

worker_status &coordinator::findOrAddWorker(const std::string &id)
{
    const auto [worker, added] = m_tables.workers.try_emplace(id);
    if (added) {
        worker->second.leasesEndBy = inheritedLeasesEnd();
    }
    return worker->second;
}

instant coordinator::inheritedLeasesEnd() const
{
    const auto lease = static_cast<double>(m_settings.taskLease.count()) * slowClockFactor;
    return m_startedAt + milliseconds(static_cast<std::int64_t>(lease)) + inheritedLeaseMargin;
}

bool coordinator::holdsBackInheritedTasks() const
{
    return std::any_of(m_tables.jobs.begin(), m_tables.jobs.end(),
                       [](const auto &each) { return each.second.inherited; });
}

void coordinator::addStoredSuspectRuns()
{
    for (auto &[id, job] : m_tables.jobs) {
        for (auto &[number, occurrence] : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size() && job.hasCrashes; ++step) {
                for (auto &[index, task] : occurrence.steps[step].changed) {
                    if (!task.suspectRun || task.phase != task_phase::waiting) {
                        continue;
                    }
                    const run_key key {
                        {id, number, static_cast<int>(step), static_cast<int>(index)},
                        task.suspectRun->run};
                    auto &worker = findOrAddWorker(task.suspectRun->worker);
                    worker.entry.id = task.suspectRun->worker;
                    worker.incarnation = task.suspectRun->incarnation;
                    auto run = makeRun(job, key, worker.entry.id);
                    run.phase = run_phase::running;
                    run.orders = 1;
                    run.fromRecord = true;
                    run.orderedAt = m_startedAt;
                    run.confirmedAt = m_startedAt;
                    run.progressAt = m_timers.now();
                    addRun(m_tables, std::move(run));
                    task.phase = task_phase::placed;
                    task.currentRun = key.run;
                }
            }
        }
    }
}

void coordinator::releaseInheritedTasks()
{
    if (!m_loaded || !holdsBackInheritedTasks()) {
        return;
    }
    bool released = false;
    std::set<std::string> incompletePools;
    for (const auto &[id, worker] : m_tables.workers) {
        if (mayHaveUnreportedRuns(worker, m_timers.now())) {
            incompletePools.insert(worker.entry.pool);
        }
    }
    for (auto &[id, job] : m_tables.jobs) {
        if (!job.inherited) {
            continue;
        }
        const auto queue = m_tables.queues.find(job.queue);
        const bool leftPoolIsIncomplete =
            std::any_of(job.otherPools.begin(), job.otherPools.end(),
                        [&](const auto &pool) { return incompletePools.count(pool.first) > 0; });
        if (incompletePools.count(job.pool) > 0 || leftPoolIsIncomplete
            || (queue != m_tables.queues.end() && incompletePools.count(queue->second->pool) > 0)) {
            continue;
        }
        job.inherited = false;
        released = true;
    }
    if (released) {
        requestSchedulingPass();
    }
}

void coordinator::watchRegistry()
{
    m_platform.watch(m_platform.workerPrefix(), m_registryRevision, watchTimeout,
                     unlessClosed<store_page>([this](const result<store_page> &page) {
                         if (!page) {
                             const bool historyGone = page.error().kind == error_kind::conflict;
                             callAfter(historyGone ? milliseconds(0) : readRetryDelay,
                                       [this, historyGone] {
                                           if (historyGone) {
                                               readRegistry("");
                                           } else {
                                               watchRegistry();
                                           }
                                       });
                             return;
                         }
                         m_registryRevision = std::max(m_registryRevision, page->revision);
                         for (const auto &item : page->items) {
                             onRegistryItem(item);
                         }
                         writeRoster();
                         requestSchedulingPass();
                         watchRegistry();
                     }));
}

void coordinator::onRegistryItem(const store_item &item)
{
    const auto id = item.key.substr(m_platform.workerPrefix().size());
    const auto known = m_tables.workers.find(id);
    if (item.deleted) {
        if (known != m_tables.workers.end() && known->second.registered) {
            known->second.registered = false;
            logEvent(
                log_level::info, "worker_unregistered",
                {{"worker", id}, {"runs", known->second.runs.size()}, {"revision", item.revision}});
        }
        return;
    }
    const auto entry = m_platform.decodeWorker(item);
    if (!entry) {
        return; // the decoder has logged the reason
    }
    const bool isNew = known == m_tables.workers.end() || !known->second.registered;
    auto &worker = findOrAddWorker(id);
    const bool addressChanged = worker.entry.address != entry->address;
    const bool otherIncarnation =
        entry->incarnation != 0 && worker.contacted && entry->incarnation != worker.incarnation;
    const bool draining =
        entry->state == worker_state::draining && worker.entry.state != worker_state::draining;
    setWorkerEntry(m_tables, worker, *entry);
    worker.evacuated = isEvacuated(m_tables.evacuation, entry->dataCentre);
    worker.registered = true;
    if (!worker.onRoster || addressChanged) {
        m_changedRosterKeys.insert(rosterKeyOf(id));
    }
    if (isNew || addressChanged || otherIncarnation) {
        worker.verified = false;
        worker.nextPollAt = m_timers.now();
        logEvent(log_level::info, "worker_registered",
                 {{"worker", id},
                  {"pool", entry->pool},
                  {"address", entry->address},
                  {"host", entry->host},
                  {"life", entry->incarnation},
                  {"revision", item.revision}});
    }
    if (draining) {
        worker.drainingSince = m_timers.now();
        logEvent(log_level::info, "worker_draining",
                 {{"worker", id}, {"runs", worker.runs.size()}, {"revision", item.revision}});
    }
    pollIfDue(worker);
}

void coordinator::unregisterMissingWorkers()
{
    for (auto &[id, worker] : m_tables.workers) {
        if (worker.registered && m_listedWorkers.count(id) == 0) {
            worker.registered = false;
            logEvent(log_level::info, "worker_unregistered",
                     {{"worker", id}, {"runs", worker.runs.size()}});
        }
    }
}

void coordinator::writeRoster()
{
    std::map<std::string, std::vector<worker_entry>> parts;
    for (const auto &key : std::exchange(m_changedRosterKeys, {})) {
        parts[key];
    }
    if (parts.empty()) {
        return;
    }
    for (const auto &[id, worker] : m_tables.workers) {
        const auto part = parts.find(rosterKeyOf(id));
        if (part != parts.end()) {
            part->second.push_back(worker.entry);
        }
    }
    for (auto &[key, workers] : parts) {
        write_unit unit;
        unit.changes.push_back({key, encodeRoster(workers)});
        unit.done = [this, named = std::move(workers)](const result<void> &stored) {
            if (m_closed || !stored) {
                return;
            }
            for (const auto &entry : named) {
                const auto worker = m_tables.workers.find(entry.id);
                if (worker != m_tables.workers.end()) {
                    worker->second.onRoster = true;
                }
            }
            requestSchedulingPass();
        };
        m_writer->add(key, std::move(unit));
    }
}

} // namespace ibishinge::fleet
