#include <ibishinge/fleet/coordinator.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/base/processor_time.h>
#include <ibishinge/fleet/record_codec.h>
#include <ibishinge/fleet/throttling.h>

#include <algorithm>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Interval between reads of the maintenance waves. Waves are announced tens of seconds ahead, so
/// one read a second finds them in time.
constexpr milliseconds waveReadInterval {1000};
/// Interval between reads of the host list while a maintenance wave is open, to see hosts come
/// back.
constexpr milliseconds maintenanceHostListInterval {400};
/// Added to `maintenanceHostListInterval` while no maintenance wave is open; the host list is then
/// read to find spare hosts.
constexpr milliseconds hostListInterval {600};
/// Time for tasks to end by themselves on a host to be maintained, before they are stopped.
constexpr milliseconds evacuationTimeout {2500};
/// Time after which a maintenance order without an answer is repeated.
constexpr milliseconds orderRetryDelay {600};

} // namespace

void coordinator::readWaves()
{
    if (std::exchange(m_waveReadPending, true)) {
        return;
    }
    m_nextWaveReadAt = m_timers.now() + waveReadInterval;
    m_platform.readRange(m_platform.wavePrefix(), "",
                         unlessClosed<store_page>([this](const result<store_page> &page) {
                             m_waveReadPending = false;
                             if (!page) {
                                 return; // repeated after `waveReadInterval`
                             }
                             for (const auto &item : page->items) {
                                 const auto wave = m_platform.decodeWave(item);
                                 if (!wave || m_maintenance.waves.count(wave->number) > 0) {
                                     continue;
                                 }
                                 auto &progress = m_maintenance.waves[wave->number];
                                 progress.wave = *wave;
                                 progress.dueAt = m_timers.now() + wave->deadline;
                                 for (const auto &host : wave->hosts) {
                                     progress.hosts[host].since = m_timers.now();
                                 }
                                 logEvent(log_level::info, "wave_found",
                                          {{"wave", wave->number},
                                           {"hosts", wave->hosts.size()},
                                           {"at_once", wave->maxConcurrent},
                                           {"deadline_ms", wave->deadline.count()}});
                                 readWaveRecord(wave->number);
                             }
                         }));
}

void coordinator::readWaveRecord(std::int64_t number)
{
    const auto key = std::string(ibishinge::fleet::wavePrefix) + std::to_string(number);
    m_platform.readItem(
        key, unlessClosed<store_item>([this, key, number](const result<store_item> &item) {
            if (!item) {
                callAfter(maintenanceHostListInterval, [this, number] { readWaveRecord(number); });
                return;
            }
            auto &progress = m_maintenance.waves.at(number);
            if (item->revision != 0) {
                m_writer->setKnownRevision(key, key, item->revision);
                const auto record = decodeWaveRecord(item->value);
                if (record) {
                    progress.completed = record->completed;
                    for (const auto &host : record->hosts) {
                        if (progress.hosts.count(host) > 0) {
                            // The order of an earlier coordinator was accepted: the next host list
                            // shows whether the host is up again.
                            progress.hosts[host] = {maintenance_phase::in_maintenance,
                                                    m_timers.now() - m_settings.maintenanceTime,
                                                    order_record::stored};
                        }
                    }
                    for (const auto &host : record->ordered) {
                        if (progress.hosts.count(host) > 0) {
                            // An earlier coordinator may have sent the order, and the platform may
                            // still carry it out. It is repeated once nothing runs on the host.
                            progress.hosts[host] = {maintenance_phase::evacuating, m_timers.now(),
                                                    order_record::stored};
                        }
                    }
                }
            }
            const auto status = m_platform.encodeWaveStatus(number, progress.completed);
            m_writer->add(key, {{{status.key, status.value}}, {}, false, nullptr});
            progress.known = true;
            refreshHosts();
        }));
}

void coordinator::writeWaveRecord(const wave_progress &progress,
                                  std::function<void(result<void>)> done)
{
    wave_record record;
    record.completed = progress.completed;
    for (const auto &[host, each] : progress.hosts) {
        if (each.step == maintenance_phase::in_maintenance
            || each.step == maintenance_phase::finished) {
            record.hosts.push_back(host);
        } else if (each.recorded != order_record::none) {
            record.ordered.push_back(host);
        }
    }
    const auto number = progress.wave.number;
    write_unit unit;
    unit.changes.push_back({std::string(ibishinge::fleet::wavePrefix) + std::to_string(number),
                            encodeWaveRecord(record)});
    if (progress.completed) {
        const auto status = m_platform.encodeWaveStatus(number, true);
        unit.changes.push_back({status.key, status.value});
    }
    unit.done = std::move(done);
    const auto owner = unit.changes.front().key;
    m_writer->add(owner, std::move(unit));
}

void coordinator::refreshHosts()
{
    if (m_hostListPending) {
        return;
    }
    m_hostListPending = true;
    m_nextHostListAt = m_timers.now() + maintenanceHostListInterval;
    m_platform.listHosts(unlessClosed<std::vector<
                             host_entry>>([this, sentAt = m_timers.now()](
                                              const result<std::vector<host_entry>> &hosts) {
        m_hostListPending = false;
        if (!hosts) {
            logEvent(log_level::warning, "host_list_failed", {{"error", describe(hosts.error())}});
            return;
        }
        m_tables.hosts.clear();
        for (const auto &host : *hosts) {
            m_tables.hosts[host.name] = host;
        }
        m_tables.hostsReadAt = sentAt;
        retireEndedWorkers();
        maintainHosts();
    }));
}

void coordinator::maintainHosts()
{
    const processor_time_scope used(m_metrics, work_kind::maintenance);
    const auto now = m_timers.now();
    bool open = false;
    std::set<std::string> busyPools;
    for (const auto &[name, memory] : m_sizing.pools) {
        if (memory.peaking) {
            busyPools.insert(name);
        }
    }
    std::set<std::string> moving;
    for (const auto &[host, move] : m_sizing.moves) {
        moving.insert(host);
    }
    const auto timePerHost = m_settings.maintenanceTime + evacuationTimeout;
    for (auto &[number, progress] : m_maintenance.waves) {
        if (progress.completed || !progress.known || m_tables.hosts.empty()) {
            open = open || (progress.known && !progress.completed);
            continue;
        }
        open = true;
        for (const auto &host :
             hostsToEvacuate(m_tables, progress, busyPools, moving, timePerHost, now)) {
            progress.hosts.at(host) = {maintenance_phase::evacuating, now};
            logEvent(log_level::info, "host_emptying", {{"host", host}, {"wave", number}});
        }
        for (auto &[host, each] : progress.hosts) {
            advanceMaintenance(progress, host, each);
        }
        const bool complete =
            std::all_of(progress.hosts.begin(), progress.hosts.end(), [](const auto &each) {
                return each.second.step == maintenance_phase::finished;
            });
        if (complete) {
            progress.completed = true;
            logEvent(log_level::info, "wave_completed",
                     {{"wave", number}, {"left_ms", since(now, progress.dueAt).count()}});
            writeWaveRecord(progress);
        }
    }
    markMaintenance(m_tables, m_maintenance);
    m_maintenanceOpen = open;
    if (open && now >= m_nextHostListAt) {
        refreshHosts();
    }
}

void coordinator::advanceMaintenance(wave_progress &progress, const std::string &host,
                                     host_maintenance &each)
{
    const auto now = m_timers.now();
    const auto listed = m_tables.hosts.find(host);
    if (listed == m_tables.hosts.end()) {
        // The host list is complete, so a host missing from it was removed and needs no
        // maintenance.
        if (m_tables.hostsReadAt > each.since && each.step != maintenance_phase::finished) {
            each = {maintenance_phase::finished, now};
        }
        return;
    }
    switch (each.step) {
    case maintenance_phase::waiting:
    case maintenance_phase::finished:
        return;
    case maintenance_phase::evacuating: {
        auto *worker = workerOf(m_tables, host);
        if (worker == nullptr && !listed->second.worker.empty()) {
            return; // the registry is older than the host list
        }
        if (worker != nullptr && !isConfirmedIdle(*worker, now)) {
            worker->cordoned = true;
            stopRunsForMaintenance(*worker, since(each.since, now) > evacuationTimeout);
            return;
        }
        if (each.recorded == order_record::stored) {
            orderMaintenance(progress, host, each);
        } else if (each.recorded == order_record::none
                   && countUnavailableHosts(m_tables, progress) < progress.wave.maxConcurrent) {
            recordOrder(progress, host, each);
        }
        return;
    }
    case maintenance_phase::ordered:
        if (since(each.since, now) > orderRetryDelay) {
            orderMaintenance(progress, host, each);
        }
        return;
    case maintenance_phase::in_maintenance:
        // Only a host list that was requested after the maintenance must have ended counts: an
        // older one may show the host before it went down.
        if (m_tables.hostsReadAt > each.since + m_settings.maintenanceTime
            && listed->second.state == host_state::up) {
            each = {maintenance_phase::finished, now};
            logEvent(log_level::info, "host_back",
                     {{"host", host}, {"wave", progress.wave.number}});
        }
        return;
    }
}

void coordinator::recordOrder(const wave_progress &progress, const std::string &host,
                              host_maintenance &each)
{
    // The order is sent once the record is stored: a successor must know of each host that may go
    // down, also if this coordinator loses the store before the platform answers.
    each.recorded = order_record::being_written;
    writeWaveRecord(progress,
                    [this, host, number = progress.wave.number](const result<void> &stored) {
                        if (m_closed || !stored) {
                            return;
                        }
                        auto &wave = m_maintenance.waves.at(number);
                        auto &state = wave.hosts.at(host);
                        state.recorded = order_record::stored;
                        advanceMaintenance(wave, host, state);
                    });
}

void coordinator::orderMaintenance(wave_progress &progress, const std::string &host,
                                   host_maintenance &each)
{
    if (!mayIssueOrders()) {
        return;
    }
    each = {maintenance_phase::ordered, m_timers.now(), order_record::stored};
    logEvent(log_level::info, "maintenance_ordered",
             {{"host", host},
              {"wave", progress.wave.number},
              {"away", countUnavailableHosts(m_tables, progress)},
              {"at_once", progress.wave.maxConcurrent},
              {"host_list_age_ms", since(m_tables.hostsReadAt, m_timers.now()).count()}});
    m_platform.maintainHost(
        host, progress.wave.number, m_leadership.fencingToken,
        unlessClosed<host_order_outcome>(
            [this, host, number = progress.wave.number](const result<host_order_outcome> &outcome) {
                auto &wave = m_maintenance.waves.at(number);
                auto &state = wave.hosts.at(host);
                if (state.step != maintenance_phase::ordered || !outcome) {
                    return; // `advanceMaintenance` repeats the order
                }
                switch (*outcome) {
                case host_order_outcome::accepted:
                    state = {maintenance_phase::in_maintenance, m_timers.now()};
                    retireWorker(host);
                    writeWaveRecord(wave);
                    break;
                case host_order_outcome::not_of_wave:
                case host_order_outcome::invalid:
                    logEvent(log_level::warning, "maintenance_rejected", {{"host", host}});
                    state = {maintenance_phase::finished, m_timers.now()};
                    break;
                case host_order_outcome::busy:
                case host_order_outcome::fenced:
                    break;
                }
            }));
}

void coordinator::resizePools()
{
    const processor_time_scope used(m_metrics, work_kind::pool_sizing);
    const auto now = m_timers.now();
    if (m_tables.hostsReadAt == instant {}) {
        refreshHosts();
        return;
    }
    if (!m_sizing.baselinesKnown && !m_tables.hosts.empty()) {
        const auto baselines = countHosts(m_tables);
        setBaselines(baselines);
        m_writer->add(
            baselinesKey,
            {{{std::string(baselinesKey), encodeBaselines(baselines)}}, {}, false, nullptr});
    }
    if (now >= m_nextHostListAt + hostListInterval) {
        refreshHosts();
    }
    if (acceptsSubmissions()) {
        for (const auto &move :
             planMoves(m_tables, m_sizing, m_maintenance, m_settings.maxConcurrentMoves, now)) {
            orderMove(move);
        }
    } else {
        pauseSizing(m_sizing, now);
    }
    for (auto &[id, worker] : m_tables.workers) {
        worker.cordoned = worker.cordoned || m_sizing.moves.count(worker.entry.host) > 0;
    }
}

void coordinator::retireWorker(const std::string &host)
{
    // The order has ended the worker, although the registry lists it until its entry expires.
    for (auto &[id, worker] : m_tables.workers) {
        if (worker.entry.host == host && worker.runs.empty()) {
            worker.registered = false;
            worker.verified = false;
            worker.leasesEndBy = m_timers.now(); // it has ended, so there is nobody to poll
        }
    }
}

void coordinator::retireEndedWorkers()
{
    const auto now = m_timers.now();
    bool retired = false;
    for (auto &[id, worker] : m_tables.workers) {
        const auto host = m_tables.hosts.find(worker.entry.host);
        const bool listed = host != m_tables.hosts.end();
        const bool missing = !listed && !worker.entry.host.empty() && !m_tables.hosts.empty();
        const bool missingBefore = std::exchange(worker.hostMissing, missing);
        // Nothing is concluded for a worker that answers or that was silent only after the list was
        // requested, as the list may be older.
        if (worker.failedPolls == 0 || worker.verified
            || worker.unreachableSince >= m_tables.hostsReadAt) {
            continue;
        }
        // A worker does not survive a restart of its host: if the list shows another worker on the
        // host, or none because the host is off or restarting, this one has ended. A host that is
        // not listed was removed, and its worker with it; a list may miss a host while others are
        // being removed, so two lists and the registry have to agree.
        const bool replaced = listed && host->second.worker != id;
        const bool removed = missing && missingBefore && !worker.registered;
        if (!replaced && !removed) {
            continue;
        }
        logEvent(log_level::info, "worker_replaced",
                 {{"worker", id},
                  {"host", worker.entry.host},
                  {"runs", worker.runs.size()},
                  {"host_listed", listed},
                  {"worker_now", listed ? host->second.worker : ""}});
        worker.registered = false;
        worker.ended = true;
        worker.leasesEndBy = now;
        retired = true;
    }
    if (retired) {
        expireWorkers();
        releaseInheritedTasks();
    }
}

void coordinator::setBaselines(const std::map<std::string, int> &baselines)
{
    for (const auto &[pool, count] : baselines) {
        m_sizing.pools[pool].baselineHosts = count;
    }
    m_sizing.baselinesKnown = true;
}

void coordinator::orderMove(const host_move &move)
{
    m_sizing.moves[move.host] = move;
    m_sizing.movedAt[move.host] = move.orderedAt;
    logEvent(log_level::info, "move_ordered",
             {{"host", move.host},
              {"from", move.from},
              {"to", move.to},
              {"host_list_age_ms", since(m_tables.hostsReadAt, m_timers.now()).count()}});
    m_metrics.add("ibishinge_moves_total");
    m_platform.moveHost(
        move.host, move.to, m_leadership.fencingToken,
        unlessClosed<host_order_outcome>([this, move](const result<host_order_outcome> &outcome) {
            const auto found = m_sizing.moves.find(move.host);
            if (found == m_sizing.moves.end()) {
                return;
            }
            if (outcome && *outcome == host_order_outcome::accepted) {
                found->second.accepted = true;
                retireWorker(move.host);
                return;
            }
            if (!outcome) {
                // The move may still be carried out, so it is kept until its maximum duration has
                // passed.
                logEvent(log_level::warning, "move_unanswered",
                         {{"host", move.host}, {"error", describe(outcome.error())}});
                return;
            }
            logEvent(log_level::info, "move_rejected",
                     {{"host", move.host}, {"outcome", static_cast<int>(*outcome)}});
            const auto listed = m_tables.hosts.find(move.host);
            if (*outcome == host_order_outcome::invalid && listed != m_tables.hosts.end()
                && !listed->second.labels.empty()) {
                m_sizing.incompatible.insert({listed->second.labels.front(), move.to});
            }
            m_sizing.moves.erase(found);
        }));
}

void coordinator::stopRunsForMaintenance(worker_status &worker, bool gracePeriodOver)
{
    std::vector<run_key> toStop;
    for (const auto &key : worker.runs) {
        const auto &run = m_tables.runs.at(key);
        if (run.phase == run_phase::stopping) {
            continue;
        }
        if (run.longRunning ? mayInterrupt(m_tables, run, m_timers.now()) : gracePeriodOver) {
            toStop.push_back(key);
        }
    }
    for (const auto &key : toStop) {
        const auto &run = m_tables.runs.at(key);
        if (!run.longRunning || mayInterrupt(m_tables, run, m_timers.now())) {
            orderStop(key, "planned_work");
        }
    }
}

void coordinator::adjustThrottling()
{
    const auto now = m_timers.now();
    for (auto &[id, worker] : m_tables.workers) {
        if (!worker.verified || worker.nextThrottlingAt > now) {
            continue;
        }
        worker.nextThrottlingAt = now + throttleInterval;
        for (const auto &change : decideThrottling(m_tables, worker)) {
            auto &run = m_tables.runs.at(change.key);
            run.speedPercent = change.percent;
            logEvent(log_level::info, "run_paced",
                     {{"job", change.key.task.job},
                      {"index", change.key.task.index},
                      {"worker", id},
                      {"percent", change.percent},
                      {"worst_tail_share", change.worstTailShare}});
            m_workerCalls.throttleRun(
                worker.entry, change.key.task, change.key.run, change.percent,
                m_leadership.fencingToken,
                unlessClosed<run_command_reply>(
                    [this, key = change.key](const result<run_command_reply> &answer) {
                        const auto found = m_tables.runs.find(key);
                        if (!answer && found != m_tables.runs.end()) {
                            found->second.speedPercent = unknownSpeed;
                        }
                    }));
        }
    }
}

} // namespace ibishinge::fleet
