#include <ibishinge/service/pool_owner.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/state/job_record.h>
#include <ibishinge/state/membership.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace ibishinge {

namespace {

/// Notes taken in one tick. Each may cost one read; a read takes about a millisecond.
constexpr int maxNotesPerTick = 256;

/// A note without a record is dropped after this time. Longer than an entry process waits between
/// the two writes.
constexpr milliseconds maxNoteAge {60000};

/// Rounds of writing in one tick; later rounds repeat what an uncertain earlier write overtook.
constexpr int maxWriteRounds = 3;

std::string ownerKey(const std::string &pool)
{
    return "owner/" + pool;
}

} // namespace

pool_owner::pool_owner(std::string pool, store_revision revision, wall_time acquiredAt,
                       kv_store &store, const clock_source &clock, worker_client &workers,
                       pool_owner_options options)
    : m_pool(std::move(pool))
    , m_revision(revision)
    , m_acquiredAt(acquiredAt)
    , m_store(store)
    , m_clock(clock)
    , m_workers(workers)
    , m_options(std::move(options))
    , m_prefix(jobKey(m_pool, ""))
    , m_allowance(allowance_manager::create("jobs/" + m_pool, store))
    , m_proof {clock.now(), acquiredAt}
    , m_seed(static_cast<std::uint64_t>(revision))
{
    if (m_options.safeguards.guardWrites) {
        m_allowance->setGuard({ownerKey(m_pool), m_revision});
    }
}

owner_verdict pool_owner::tick(const ownership_proof &proof, const catalogue &catalogue,
                               std::int64_t catalogueRevision,
                               const std::vector<pool_worker> &workers)
{
    m_proof = proof;
    if (!m_loaded && !load()) {
        return owner_verdict::owns;
    }
    takeConfiguration(catalogue, catalogueRevision);
    takeWorkers(workers);
    takeNotes();
    callWorkers();
    stopCancelled();
    adjustAllowance();
    place();
    if (writeDirty()) {
        callActions();
        startWritten();
    }
    return m_stale ? owner_verdict::stale : owner_verdict::owns;
}

void pool_owner::flush()
{
    static_cast<void>(writeDirty());
}

bool pool_owner::load()
{
    const auto read = m_store.range({m_prefix, true, false});
    if (!read) {
        logEvent(log_level::warning, "pool_load_failed",
                 {{"pool", m_pool}, {"reason", describe(read.error())}});
        return false;
    }
    const auto now = m_clock.wallNow();
    for (const auto &entry : read->entries) {
        auto record = decodeJobRecord(entry.value);
        if (!record) {
            logEvent(log_level::error, "job_record_malformed",
                     {{"key", entry.key}, {"problems", describe(record.error())}});
            continue;
        }
        const std::string name = jobName(*record);
        putJob(m_tables, std::move(*record), entry.modRevision, now);
        auto &row = m_tables.jobs.at(name);
        // The last owner's leases count from its last proof, which was before this ownership.
        row.leaseUntil = m_acquiredAt + m_options.taskLease;
        row.startedAt = row.record.changedAt;
        if (isActive(row.record.state)) {
            m_unseen.insert(name);
        }
    }
    m_loaded = true;
    m_loadedAt = m_clock.now();
    logEvent(log_level::info, "pool_loaded", {{"pool", m_pool}, {"jobs", m_tables.jobs.size()}});
    return true;
}

bool pool_owner::isProofFresh() const
{
    return m_clock.now() - m_proof.at < memberTtl;
}

void pool_owner::takeConfiguration(const catalogue &catalogue, std::int64_t revision)
{
    if (revision <= m_catalogueRevision) {
        return;
    }
    m_catalogueRevision = revision;
    std::map<std::string, int> limits;
    for (const auto &team : catalogue.teams) {
        limits[team.name] = static_cast<int>(team.upperLimit);
        setTeam(m_tables, team.name, team.shareWeight, 0);
    }
    for (const auto &queue : catalogue.queues) {
        if (queue.pool == m_pool) {
            setQueue(m_tables, queue.name, queue.maxRunning);
        }
    }
    m_allowance->setLimits(limits, revision);
}

void pool_owner::takeWorkers(const std::vector<pool_worker> &workers)
{
    std::set<std::string> listed;
    for (const auto &worker : workers) {
        listed.insert(worker.id);
        m_contacts[worker.id].worker = worker;
    }
    for (auto it = m_contacts.begin(); it != m_contacts.end();) {
        auto &[id, known] = *it;
        const auto row = m_tables.workers.find(id);
        if (listed.contains(id)) {
            ++it;
        } else if (row != m_tables.workers.end() && !row->second.jobs.empty()) {
            // A worker that left the list or the pool is called as long as it may have tasks.
            known.worker.inService = false;
            ++it;
        } else {
            removeWorker(m_tables, id);
            it = m_contacts.erase(it);
        }
    }
    for (auto &[id, known] : m_contacts) {
        const auto row = m_tables.workers.find(id);
        if (row != m_tables.workers.end() && row->second.accepting && !known.worker.inService) {
            auto changed = row->second;
            changed.accepting = false;
            putWorker(m_tables, changed);
        }
    }
    m_tables.areWorkerSizesKnown =
        !m_contacts.empty()
        && (m_clock.now() - m_loadedAt >= m_options.poolKnownAfter
            || std::all_of(m_contacts.begin(), m_contacts.end(),
                           [](const auto &item) { return item.second.hasAnswered; }));
}

void pool_owner::takeNotes()
{
    const std::string prefix = std::string(jobNotePrefix) + m_pool + "/";
    const auto read = m_store.range({prefix, true, false});
    if (!read) {
        return;
    }
    int taken = 0;
    for (const auto &note : read->entries) {
        if (m_absorbed.contains(note.key)) {
            continue; // Its deletion is not certain yet.
        }
        if (++taken > maxNotesPerTick || !isProofFresh()) {
            return;
        }
        const std::string_view rest = std::string_view(note.key).substr(prefix.size());
        if (rest.starts_with("submitted/")) {
            takeSubmitted(note);
        } else if (rest.starts_with("cancel/")) {
            takeCancel(note);
        }
    }
}

result<std::optional<pool_owner::stored_job>> pool_owner::readJob(const std::string &name)
{
    const auto read = m_store.range({jobKey(m_pool, name), false, false});
    if (!read) {
        return tl::unexpected(read.error());
    }
    if (read->entries.empty()) {
        return std::optional<stored_job>();
    }
    auto record = decodeJobRecord(read->entries.front().value);
    if (!record) {
        return makeError(error_kind::internal, read->entries.front().key, describe(record.error()));
    }
    return std::optional(stored_job {std::move(*record), read->entries.front().modRevision});
}

void pool_owner::takeSubmitted(const kv_entry &note)
{
    const std::string name = note.key.substr(jobNoteKey(m_pool, job_note::submitted, "").size());
    if (m_tables.jobs.contains(name)) {
        m_absorbed[note.key] = note.modRevision;
        return;
    }
    auto found = readJob(name);
    if (!found) {
        logEvent(log_level::warning, "job_not_read", {{"reason", describe(found.error())}});
        return;
    }
    if (!*found) {
        // The note is written before the record, which may still be on its way.
        std::int64_t notedAt = 0;
        const auto &text = note.value;
        std::from_chars(text.data(), text.data() + text.size(), notedAt);
        if (sinceEpoch(m_clock.wallNow()).count() - notedAt > maxNoteAge.count()) {
            m_absorbed[note.key] = note.modRevision;
        }
        return;
    }
    m_absorbed[note.key] = note.modRevision;
    if (!isFinal((*found)->record.state)) {
        putJob(m_tables, std::move((*found)->record), (*found)->revision, m_clock.wallNow());
    }
}

void pool_owner::takeCancel(const kv_entry &note)
{
    const std::string name = note.key.substr(jobNoteKey(m_pool, job_note::cancel, "").size());
    if (!m_tables.jobs.contains(name)) {
        auto found = readJob(name);
        if (!found) {
            return;
        }
        if (!*found || isFinal((*found)->record.state)) {
            m_absorbed[note.key] = note.modRevision;
            return;
        }
        putJob(m_tables, std::move((*found)->record), (*found)->revision, m_clock.wallNow());
    }
    // The note stays until the final state is in the store, so that a later owner sees it too.
    m_tables.jobs.at(name).cancelRequested = true;
    m_cancelNotes[name] = {note.key, note.modRevision};
}

void pool_owner::callWorkers()
{
    struct call
    {
        std::string id;
        endpoint where;
        lease_renewal renewal;
        std::optional<result<worker_report>> answer;
    };
    const auto now = m_clock.now();
    std::vector<call> calls;
    for (auto &[id, known] : m_contacts) {
        if (now < known.nextCall) {
            continue;
        }
        call next {id, known.worker.where, {m_pool, {}, leaseUntil(), known.forget}, {}};
        const auto active = activeAt(id);
        for (const auto &name : active) {
            if (known.isSilent) {
                break; // The leases of a worker that does not answer must come to an end.
            }
            auto &job = m_tables.jobs.at(name);
            next.renewal.tasks.push_back(keyOf(job.record));
            // Set before the call, which may take effect without an answer.
            job.leaseUntil = std::max(job.leaseUntil, next.renewal.leaseUntil);
        }
        const bool isBusy = !active.empty() || !known.forget.empty();
        known.nextCall = now + (isBusy ? m_options.renewInterval : m_options.statusInterval);
        calls.push_back(std::move(next));
    }
    forEach(calls.size(), [&](std::size_t i) {
        if (isProofFresh() || !m_options.safeguards.leaseFromProof) {
            calls[i].answer =
                m_workers.renew(calls[i].where, calls[i].renewal, m_options.callTimeout);
        }
    });
    for (const auto &made : calls) {
        if (!made.answer) {
            continue;
        }
        if (*made.answer) {
            auto &forget = m_contacts.at(made.id).forget;
            forget.clear();
            takeReport(made.id, **made.answer);
        } else {
            takeSilence(made.id);
        }
    }
    endOrphans();
}

std::set<std::string> pool_owner::activeAt(const std::string &worker) const
{
    const auto row = m_tables.workers.find(worker);
    if (row != m_tables.workers.end()) {
        return row->second.jobs;
    }
    std::set<std::string> jobs;
    for (const auto &name : m_unseen) {
        if (m_tables.jobs.at(name).record.worker == worker) {
            jobs.insert(name);
        }
    }
    return jobs;
}

/// Ends jobs that were active when the pool was taken over and whose worker has left the list.
void pool_owner::endOrphans()
{
    std::vector<std::string> ended;
    for (auto it = m_unseen.begin(); it != m_unseen.end();) {
        const auto &job = m_tables.jobs.at(*it);
        if (m_tables.workers.contains(job.record.worker) || !isActive(job.record.state)) {
            it = m_unseen.erase(it);
            continue;
        }
        if (!m_contacts.contains(job.record.worker)
            && m_clock.wallNow() >= job.leaseUntil + m_options.clockSkew) {
            ended.push_back(*it);
        }
        ++it;
    }
    for (const auto &name : ended) {
        m_unseen.erase(name);
        endWithoutResult(name, "the worker is gone");
    }
}

void pool_owner::takeReport(const std::string &id, const worker_report &report)
{
    auto &known = m_contacts.at(id);
    known.hasAnswered = true;
    known.isSilent = false;
    worker_row worker;
    worker.id = id;
    worker.rack = known.worker.rack;
    worker.dataCentre = known.worker.dataCentre;
    worker.incarnation = report.incarnation;
    worker.capacity = report.capacity;
    worker.reservedByOtherPools = report.others;
    worker.accepting = known.worker.inService && !report.leaving;
    putWorker(m_tables, worker);
    std::map<task_key, const task_report *> tasks;
    for (const auto &task : report.tasks) {
        tasks[task.task] = &task;
    }
    const auto jobs = m_tables.workers.at(id).jobs;
    for (const auto &name : jobs) {
        const auto &record = m_tables.jobs.at(name).record;
        const auto found = tasks.find(keyOf(record));
        if (record.workerIncarnation != report.incarnation) {
            endWithoutResult(name, "the worker was restarted");
        } else if (found == tasks.end()) {
            resolveUnknown(name);
        } else {
            takeTask(name, *found->second);
        }
    }
    // What has ended and concerns no present attempt was recorded earlier, perhaps by another
    // owner.
    for (const auto &task : report.tasks) {
        const auto job = m_tables.jobs.find(task.task.job);
        const bool isPresent = job != m_tables.jobs.end() && keyOf(job->second.record) == task.task
                               && isActive(job->second.record.state);
        if (hasEnded(task.phase) && !isPresent && !m_dirty.contains(task.task.job)) {
            known.forget.push_back(task.task);
        }
    }
}

void pool_owner::takeSilence(const std::string &id)
{
    m_contacts.at(id).isSilent = true;
    if (const auto row = m_tables.workers.find(id); row != m_tables.workers.end()) {
        auto changed = row->second;
        changed.accepting = false;
        putWorker(m_tables, changed);
    }
    for (const auto &name : activeAt(id)) {
        const auto until = m_tables.jobs.at(name).leaseUntil + m_options.clockSkew;
        if (m_clock.wallNow() >= until || !m_options.safeguards.waitForLease) {
            endWithoutResult(name, "the worker does not answer and its lease has expired");
        }
    }
}

void pool_owner::takeTask(const std::string &name, const task_report &task)
{
    auto &job = m_tables.jobs.at(name);
    if (hasEnded(task.phase)) {
        takeEnded(name, task);
        return;
    }
    if (job.record.state == job_state::starting) {
        apply(name, job_event::started);
    }
    if (task.phase == task_phase::checkpointing && job.record.state == job_state::running
        && job.record.repeatable) {
        apply(name, job_event::checkpoint);
    } else if (task.phase == task_phase::running && job.record.state == job_state::checkpointing) {
        // The worker has not been reached with the request yet.
        m_actions.push_back(
            {placement_kind::checkpoint, name, job.record.worker, job.record.reserved, {}});
    }
    if (task.reserved != job.record.reserved) {
        if (task.reserved == job.unthrottledReservation) {
            // The throttling did not reach the worker.
            job.unthrottledReservation.reset();
            m_tables.throttledJobs.erase(name);
        }
        changeReservation(m_tables, name, task.reserved);
        m_dirty.insert(name);
    }
    if (task.used) {
        recordUsage(m_tables, name, *task.used, task.ran, m_options.placement);
    }
}

void pool_owner::takeEnded(const std::string &name, const task_report &task)
{
    auto &job = m_tables.jobs.at(name);
    const auto now = m_clock.wallNow();
    const std::string worker = job.record.worker;
    event_details details;
    if (!task.checkpoint.empty()) {
        details.checkpoint = task.checkpoint;
    }
    switch (task.phase) {
    case task_phase::done:
        static_cast<void>(recordOutcome(m_tables, name, worker, true, now, m_options.placement));
        apply(name, job_event::finish);
        return;
    case task_phase::failed: {
        const bool givenUp = recordOutcome(m_tables, name, worker, false, now, m_options.placement);
        details.reason = task.reason;
        details.notBefore = now + backOff(job.record.failures, ++m_seed, m_options.placement);
        if (job.cancelRequested) {
            apply(name, job_event::cancel, details);
        } else {
            apply(name, job.record.repeatable && !givenUp ? job_event::retry : job_event::fail,
                  details);
        }
        return;
    }
    case task_phase::never_began:
        apply(name, job.cancelRequested                       ? job_event::cancel
                    : job.record.state == job_state::starting ? job_event::never_started
                    : job.record.repeatable                   ? job_event::retry
                                                              : job_event::lose);
        return;
    default:
        break;
    }
    if (job.cancelRequested) {
        apply(name, job_event::cancel);
    } else if (job.record.repeatable) {
        apply(name, job_event::retry, details);
    } else {
        details.reason = "the worker stopped the task: " + std::string(nameOf(task.phase));
        apply(name, job_event::lose, details);
    }
}

void pool_owner::resolveUnknown(const std::string &name)
{
    const auto &record = m_tables.jobs.at(name).record;
    const auto *where = endpointOf(record.worker);
    if (!m_options.safeguards.markBeforeRetry) {
        task_report report;
        report.task = keyOf(record);
        report.phase = task_phase::never_began;
        takeEnded(name, report);
        return;
    }
    if (where == nullptr || !isProofFresh()) {
        return;
    }
    // A start of an earlier owner may still be under way; the mark refuses it.
    const auto report = m_workers.stop(*where, keyOf(record), m_options.callTimeout);
    if (report) {
        takeEnded(name, *report);
    }
}

void pool_owner::endWithoutResult(const std::string &name, const std::string &reason)
{
    auto &job = m_tables.jobs.at(name);
    event_details details;
    details.reason = reason;
    if (job.cancelRequested) {
        apply(name, job_event::cancel, details);
    } else {
        apply(name, job.record.repeatable ? job_event::retry : job_event::lose, details);
    }
}

void pool_owner::stopCancelled()
{
    std::vector<std::string> active;
    for (const auto &[name, note] : m_cancelNotes) {
        const auto found = m_tables.jobs.find(name);
        if (found == m_tables.jobs.end() || isFinal(found->second.record.state)) {
            continue;
        }
        if (found->second.record.state == job_state::waiting) {
            apply(name, job_event::cancel);
        } else {
            active.push_back(name);
        }
    }
    std::vector<std::optional<result<task_report>>> answers(active.size());
    forEach(active.size(), [&](std::size_t i) {
        const auto &record = m_tables.jobs.at(active[i]).record;
        const auto *where = endpointOf(record.worker);
        if (where != nullptr && isProofFresh()) {
            answers[i] = m_workers.stop(*where, keyOf(record), m_options.callTimeout);
        }
    });
    for (std::size_t i = 0; i < active.size(); ++i) {
        if (answers[i] && *answers[i]) {
            takeEnded(active[i], **answers[i]);
        }
    }
}

void pool_owner::adjustAllowance()
{
    for (const auto &[team, row] : m_tables.teams) {
        m_allowance->setRunning(team, row.active);
        m_allowance->setQueued(team, row.waiting);
    }
    if (m_clock.now() >= m_nextAdjust) {
        m_nextAdjust = m_clock.now() + m_options.renewInterval;
        if (const auto adjusted = m_allowance->adjust(m_clock.wallNow()); !adjusted) {
            logEvent(log_level::warning, "allowance_not_adjusted",
                     {{"pool", m_pool}, {"reason", describe(adjusted.error())}});
        }
    }
    for (auto &[team, row] : m_tables.teams) {
        row.cap = m_allowance->stateOf(team).cap;
    }
}

void pool_owner::place()
{
    // Without the store nothing can start, and each try would use up an attempt.
    if (!m_sent.empty() || !isProofFresh()) {
        return;
    }
    auto actions = placeJobs(m_tables, m_clock.wallNow(), ++m_seed, m_options.placement);
    for (auto &action : actions) {
        if (action.kind == placement_kind::start) {
            auto &job = m_tables.jobs.at(action.job);
            job.leaseUntil = leaseUntil();
            m_startWritten[action.job] = job.record.attempt;
        }
        if (action.kind != placement_kind::stop) {
            m_dirty.insert(action.job);
        }
        m_actions.push_back(std::move(action));
    }
}

lease_id pool_owner::retentionLease()
{
    const auto now = m_clock.now();
    if (m_retentionLease == 0 || now - m_retentionLeaseAt >= m_options.retentionPeriod) {
        const auto granted = m_store.grantLease(m_options.retention + m_options.retentionPeriod);
        m_retentionLease = granted ? *granted : 0;
        m_retentionLeaseAt = now;
    }
    return m_retentionLease;
}

bool pool_owner::writeDirty()
{
    for (int round = 0; round < maxWriteRounds && !m_stale; ++round) {
        std::vector<conditional_write> writes;
        const std::optional<write_guard> guard =
            m_options.safeguards.guardWrites
                ? std::optional(write_guard {ownerKey(m_pool), m_revision})
                : std::nullopt;
        for (const auto &name : m_dirty) {
            const auto &job = m_tables.jobs.at(name);
            lease_id lease = 0;
            if (isFinal(job.record.state)) {
                lease = retentionLease();
                if (lease == 0) {
                    continue;
                }
            }
            writes.push_back(
                {jobKey(m_pool, name), job.revision, guard, encodeJobRecord(job.record), lease});
            m_sent[name].insert(*writes.back().value);
        }
        for (const auto &[key, revision] : m_absorbed) {
            writes.push_back({key, revision, guard, {}, 0});
        }
        if (writes.empty()) {
            return true;
        }
        std::size_t first = 0;
        while (first < writes.size()) {
            std::size_t count = 0;
            std::size_t bytes = 0;
            while (first + count < writes.size() && count < maxBatchWrites) {
                const auto &write = writes[first + count];
                bytes += write.key.size() + (write.value ? write.value->size() : 0);
                if (count > 0 && bytes > maxBatchBytes) {
                    break;
                }
                ++count;
            }
            const auto batch = std::span(writes).subspan(first, count);
            const auto written = m_store.applyBatch(batch);
            if (!written) {
                if (written.error().kind == error_kind::unknown_entity) {
                    m_retentionLease = 0;
                }
                logEvent(log_level::warning, "job_records_not_written",
                         {{"pool", m_pool}, {"reason", describe(written.error())}});
                return !m_options.safeguards.writeBeforeStart;
            }
            for (std::size_t i = 0; i < count; ++i) {
                if (!takeOutcome(batch[i], written->outcomes[i])) {
                    m_stale = true;
                    return false;
                }
            }
            first += count;
        }
    }
    return !m_stale;
}

bool pool_owner::takeOutcome(const conditional_write &write, const write_outcome &outcome)
{
    if (!write.value) {
        const auto present = outcome.current ? outcome.current->modRevision : 0;
        if (!outcome.applied && present == write.expectedRevision) {
            return false; // Only the guard can have failed.
        }
        m_absorbed.erase(write.key);
        return true;
    }
    const std::string name = write.key.substr(m_prefix.size());
    if (outcome.applied) {
        takeApplied(name, outcome.modRevision, *write.value);
        return true;
    }
    if (!outcome.current) {
        // The record is gone, for example because its retention time has passed.
        logEvent(log_level::warning, "job_record_gone", {{"key", write.key}});
        m_unseen.erase(name);
        m_cancelNotes.erase(name);
        removeJob(m_tables, name);
        m_dirty.erase(name);
        m_sent.erase(name);
        return true;
    }
    if (outcome.current->modRevision == write.expectedRevision) {
        return false; // Only the guard can have failed.
    }
    if (m_sent[name].contains(outcome.current->value)) {
        // An earlier send, whose outcome was not known, was applied.
        takeApplied(name, outcome.current->modRevision, outcome.current->value);
        return true;
    }
    return false; // Another owner has changed the record.
}

void pool_owner::takeApplied(const std::string &name, store_revision revision,
                             const std::string &value)
{
    auto &job = m_tables.jobs.at(name);
    job.revision = revision;
    m_sent.erase(name);
    if (value != encodeJobRecord(job.record)) {
        return; // The record has changed since; it stays dirty.
    }
    m_dirty.erase(name);
    if (!isFinal(job.record.state)) {
        return;
    }
    const auto note = m_cancelNotes.find(name);
    if (note != m_cancelNotes.end()) {
        m_absorbed[note->second.first] = note->second.second;
        m_cancelNotes.erase(note);
    }
    // Only the store keeps the record from here on.
    m_unseen.erase(name);
    removeJob(m_tables, name);
}

void pool_owner::callActions()
{
    const auto actions = std::exchange(m_actions, {});
    std::vector<std::optional<result<task_report>>> answers(actions.size());
    forEach(actions.size(), [&](std::size_t i) {
        const auto &action = actions[i];
        const auto job = m_tables.jobs.find(action.job);
        const auto *where = endpointOf(action.worker);
        if (action.kind == placement_kind::start || action.kind == placement_kind::refuse
            || job == m_tables.jobs.end() || !isActive(job->second.record.state)
            || job->second.record.worker != action.worker || where == nullptr || !isProofFresh()) {
            return;
        }
        const auto key = keyOf(job->second.record);
        if (action.kind == placement_kind::checkpoint) {
            answers[i] = m_workers.checkpoint(*where, key, m_options.callTimeout);
        } else if (action.kind == placement_kind::stop) {
            answers[i] = m_workers.stop(*where, key, m_options.callTimeout);
        } else {
            answers[i] = m_workers.throttle(*where, key, action.reserved, m_options.callTimeout);
        }
    });
    for (std::size_t i = 0; i < actions.size(); ++i) {
        if (actions[i].kind == placement_kind::stop && answers[i] && *answers[i]) {
            takeEnded(actions[i].job, **answers[i]);
        }
    }
}

void pool_owner::startWritten()
{
    struct call
    {
        std::string name;
        endpoint where;
        task_start start;
        std::optional<result<start_reply>> answer;
    };
    std::vector<call> calls;
    for (const auto &[name, attempt] : std::exchange(m_startWritten, {})) {
        if (!m_tables.jobs.contains(name)) {
            continue;
        }
        const auto &job = m_tables.jobs.at(name);
        const auto *where = endpointOf(job.record.worker);
        const bool isWritten = !m_dirty.contains(name) || !m_options.safeguards.writeBeforeStart;
        if (job.record.state != job_state::starting || job.record.attempt != attempt || !isWritten
            || where == nullptr) {
            continue;
        }
        const auto base = m_options.safeguards.leaseFromProof ? m_proof.wallAt : m_clock.wallNow();
        calls.push_back(
            {name,
             *where,
             {keyOf(job.record), job.record.team, job.record.repeatable, job.record.reserved,
              job.record.payload, job.record.checkpoint, job.record.workerIncarnation,
              job.leaseUntil, base + m_options.startWindow},
             {}});
    }
    forEach(calls.size(), [&](std::size_t i) {
        if (isProofFresh() || !m_options.safeguards.leaseFromProof) {
            calls[i].answer =
                m_workers.start(calls[i].where, calls[i].start, m_options.callTimeout);
        }
    });
    for (const auto &made : calls) {
        // Without an answer, the next report of the worker shows what became of the attempt.
        if (!made.answer || !*made.answer) {
            continue;
        }
        apply(made.name, (*made.answer)->accepted ? job_event::started : job_event::never_started);
        // The worker's tasks are to be seen from the next tick on.
        m_contacts.at(m_tables.jobs.at(made.name).record.worker).nextCall = m_clock.now();
    }
}

void pool_owner::apply(const std::string &name, job_event event, const event_details &details)
{
    const auto applied = applyEvent(m_tables, name, event, m_clock.wallNow(), details);
    if (applied) {
        m_dirty.insert(name);
    } else {
        logEvent(log_level::error, "job_transition_rejected",
                 {{"pool", m_pool}, {"reason", describe(applied.error())}});
    }
}

task_key pool_owner::keyOf(const job_record &record) const
{
    return {m_pool, jobName(record), record.attempt};
}

const endpoint *pool_owner::endpointOf(const std::string &worker) const
{
    const auto found = m_contacts.find(worker);
    return found == m_contacts.end() ? nullptr : &found->second.worker.where;
}

wall_time pool_owner::leaseUntil() const
{
    return (m_options.safeguards.leaseFromProof ? m_proof.wallAt : m_clock.wallNow())
           + m_options.taskLease;
}

void pool_owner::forEach(std::size_t count, const std::function<void(std::size_t)> &act) const
{
    if (m_options.forEach) {
        m_options.forEach(count, act);
        return;
    }
    for (std::size_t i = 0; i < count; ++i) {
        act(i);
    }
}

} // namespace ibishinge
