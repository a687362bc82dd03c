#pragma once

#include <ibishinge/base/metrics.h>
#include <ibishinge/base/processor_time.h>
#include <ibishinge/base/scheduler.h>
#include <ibishinge/fleet/advice.h>
#include <ibishinge/fleet/answer_delay.h>
#include <ibishinge/fleet/caller.h>
#include <ibishinge/fleet/evacuation/evacuation_reader.h>
#include <ibishinge/fleet/host_maintenance.h>
#include <ibishinge/fleet/load_control.h>
#include <ibishinge/fleet/placement.h>
#include <ibishinge/fleet/platform_api.h>
#include <ibishinge/fleet/pool_sizing.h>
#include <ibishinge/fleet/queueing/forecast.h>
#include <ibishinge/fleet/queueing/locality.h>
#include <ibishinge/fleet/record_writer.h>
#include <ibishinge/fleet/tables.h>
#include <ibishinge/fleet/takeover_progress.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ibishinge::fleet {

/// Factor by which a time on a worker's clock may last longer in real time: the clock may be slow
/// by 2%, and the rest covers rounding.
inline constexpr double slowClockFactor = 1.021;

/// Returns `value` multiplied by `factor`, rounded down to whole milliseconds. Thread-safe.
[[nodiscard]] constexpr milliseconds scaled(milliseconds value, double factor) noexcept
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
}

/// Returns the names and numbers that identify a run in the log. Thread-safe.
[[nodiscard]] nlohmann::json describeRun(const run_key &key);

/// Durations and limits of the platform that the coordinator observes.
struct coordinator_settings
{
    milliseconds taskLease {4000}; ///< of a run; longer than an outage of the leader's record
    milliseconds maxTaskLease {10000}; ///< to which a worker shortens a longer lease
    milliseconds stopTime {200}; ///< in which a worker ends a run after a stop order
    milliseconds maintenanceTime {2000}; ///< for which a host is down for maintenance
    /// Time within which an evacuation takes effect; 0: the platform has none.
    milliseconds evacuationBound {0};
    /// Factor by which a task takes longer outside the rack of its data or its group, until it has
    /// been measured; 0: no task waits for a place in its rack.
    double farFactor = 0;
    forecast_mode forecastRejection = forecast_mode::off;
    /// Customers' weights and queues' priorities order waiting work.
    bool shareOrder = false;
    int maxConcurrentWrites = 2; ///< transactions in flight while the store is not slow
    int maxConcurrentMoves = 16; ///< host moves in flight
};

/// The leadership of this process, as recorded in the leader's record.
struct leadership
{
    store_condition record; ///< key and revision of the leader's record
    std::int64_t term = 0; ///< counts coordinators, from 1
    std::int64_t fencingToken = 0; ///< revision at which the leader's record was written
};

/// Schedules the jobs of all pools: accepts submissions, places tasks on workers, records the ends
/// of runs, moves hosts between pools and has them maintained.
///
/// One coordinator is active at a time, in the process that holds the leader's record. It sends
/// orders only until the time last given to `extendLeadership`. After that it is suspended, and
/// resumes if the record turns out to be unchanged and `extendLeadership` is called again. Not
/// thread-safe: all functions are called, and all callbacks run, on the thread of the event loop.
class coordinator : public std::enable_shared_from_this<coordinator>
{
public:
    /// `onLeadershipLost` is called once, after `close`, when the store or a worker shows that
    /// another coordinator has taken over. The referenced objects outlive the coordinator.
    [[nodiscard]] static std::shared_ptr<coordinator>
    make(platform_api &platform, worker_calls &workers, scheduler &timers,
         metrics_registry &metrics, const coordinator_settings &settings, leadership lead,
         configuration config, std::function<void()> onLeadershipLost);

    /// Loads the records from the store and polls the workers for their runs. Called once, before
    /// every other function but `extendLeadership`.
    void start();

    /// Ends all activity. Submissions that are being stored are answered with `outcome_unknown`,
    /// cancellations with `not_ready`.
    void close();

    /// Permits orders until `until`: the leader's record is proven to be held until then.
    void extendLeadership(instant until);

    /// Sends no orders until `resume`, regardless of `extendLeadership`.
    void suspend() noexcept
    {
        m_suspended = true;
    }
    /// Ends the effect of `suspend`.
    void resume() noexcept
    {
        m_suspended = false;
    }

    /// Returns true while requests are handled: the records are loaded, and the leader's record is
    /// proven to be held.
    [[nodiscard]] bool isServing() const;
    /// Returns true once the records and the registry have been read.
    [[nodiscard]] bool isLoaded() const noexcept
    {
        return m_loaded;
    }
    /// Returns when that was. Precondition: `isLoaded`.
    [[nodiscard]] instant loadedAt() const noexcept
    {
        return m_loadedAt;
    }

    /// Returns true if tasks of inherited jobs wait until all their earlier runs are known.
    [[nodiscard]] bool holdsBackInheritedTasks() const;

    /// Returns the longest time that any pending write has been without success.
    [[nodiscard]] milliseconds storeStalledFor() const;
    /// Returns when the store last answered a write or a read of the records; the epoch if it never
    /// did.
    [[nodiscard]] instant storeAnsweredAt() const;

    /// Handles a caller's request and passes the answer to `done`, at once or when the store has
    /// answered.
    void handle(const caller_request &request, answer_handler done);

    /// Applies a configuration if its version is newer than that of the current one.
    void onConfiguration(const configuration &config);

    /// Returns the state of the fleet. The reference is valid while the coordinator exists.
    [[nodiscard]] const fleet_tables &tables() const noexcept
    {
        return m_tables;
    }

private:
    /// Last end of a worker that had been applied to the tables when a flush began.
    struct flush_mark
    {
        std::string worker;
        std::int64_t incarnation = 0;
        std::int64_t end = 0;
    };

    coordinator(platform_api &platform, worker_calls &workers, scheduler &timers,
                metrics_registry &metrics, const coordinator_settings &settings, leadership lead,
                configuration config, std::function<void()> onLeadershipLost);

    /// Wraps a reply so that it is dropped once the coordinator is closed.
    template <class T, class Function>
    reply<T> unlessClosed(Function function)
    {
        return [self = shared_from_this(), function](result<T> value) {
            if (!self->m_closed) {
                function(std::move(value));
            }
        };
    }
    void callAfter(milliseconds delay, std::function<void()> function);
    [[nodiscard]] bool mayIssueOrders() const;
    /// Returns true if starts may be sent: orders may, and the evacuations are known.
    [[nodiscard]] bool mayIssueStarts() const;

    // coordinator_takeover.cpp
    void readRecords(const std::string &prefix, const std::string &after,
                     const std::function<void(const store_item &)> &apply,
                     const std::function<void()> &next);
    void loadRecords();
    /// Counts a page for the log.
    void countPage(const store_page &page);
    /// Logs what the take-over waits for, once a second until it is complete.
    void logTakeover();
    /// Logs the first start of a task of an inherited job.
    void onTaskStarted(const run_key &key);
    /// Deletes the remaining records of a job whose final state is stored.
    void deleteRecordsOfEndedJob(const std::string &id);
    void readRegistry(const std::string &after);
    /// Called once, when the records and the registry are read.
    void beginServing();
    void watchRegistry();
    void onRegistryItem(const store_item &item);
    /// Returns the worker with this id. One that is not known yet may have runs that hold leases of
    /// an earlier coordinator.
    worker_status &findOrAddWorker(const std::string &id);
    void unregisterMissingWorkers();
    /// Writes the changed records of the roster.
    void writeRoster();
    /// Permits starts of tasks of inherited jobs, in pools where each worker has reported all its
    /// runs and ends or holds no lease any more.
    void releaseInheritedTasks();
    /// Returns when the last lease given by an earlier coordinator has expired on every worker.
    [[nodiscard]] instant inheritedLeasesEnd() const;
    /// Adds the runs of suspected tasks that an earlier coordinator may have started. They are
    /// adopted, found missing, or lost with their workers like any other.
    void addStoredSuspectRuns();

    // coordinator_callers.cpp
    [[nodiscard]] bool acceptsSubmissions() const; ///< the store is not stalled
    void submit(const caller_request &request, const queue_config &queue,
                const std::string &customer, const answer_handler &done);
    void show(const std::string &id, const answer_handler &done);
    void cancel(const std::string &id, const answer_handler &done);
    /// Cancels an id that no job has, so that a submission that arrives later is rejected.
    void withdraw(const std::string &id, const answer_handler &done);
    void endJob(job_entry &job, job_state state);
    /// Compares the end of a completed job with its forecast.
    void measureForecast(const job_entry &job);
    void pruneEnded();

    // coordinator_progress.cpp
    /// Has the progress of a job written soon.
    void markDirty(const std::string &id);
    [[nodiscard]] static write_unit progressUnit(const job_entry &job);
    /// Has `flush` called after `delay`, or soon after the flush in progress.
    void requestFlush(milliseconds delay);
    /// Writes the progress of changed jobs, then marks the ends applied so far as stored. The next
    /// flush waits for it for some time, so that a slow store gets fewer and larger ones.
    void flush();
    /// Lets the next flush begin, unless a later one than `number` has begun.
    void finishFlush(std::int64_t number);

    // coordinator_workers.cpp
    void pollIfDue(worker_status &worker);
    [[nodiscard]] milliseconds pollWait(const worker_status &worker) const;
    void onReport(const std::string &id, const worker_report &report, instant sentAt);
    void onPollFailed(const std::string &id, const error &failure);
    void onNewIncarnation(worker_status &worker, const worker_report &report, instant sentAt);
    /// Opens the occurrence of a task of which a worker lists a run or an end, if it is not due by
    /// this process's clock.
    void openListedOccurrence(const task_name &name);
    /// `delayed`: the report before may have left the end out.
    void applyEnd(worker_status &worker, const run_end &end, bool delayed);
    void finishTasks(job_entry &job, const task_name &name);
    void applyFailure(worker_status &worker, job_entry &job, task_entry &task, const run_end &end);
    void applyRunning(worker_status &worker, const running_task &seen);
    /// Removes the current run of a task, with those of its gang, if its start has not been sent.
    /// Precondition: the task exists.
    void abandonUnsentStart(const task_name &name);
    /// Removes runs that the report being applied should list but does not: stopped ones at once,
    /// running ones if the report before did not list them either.
    void removeUnlistedRuns(worker_status &worker, instant sentAt);
    void releaseTask(const run_key &key);
    /// Counts the crash of a worker, with all the runs that it had, for their tasks, and gives up
    /// those that it proves to be the cause. An exit that was announced or ordered is no crash.
    void onWorkerCrashed(const std::string &id, const std::vector<run_key> &lost);
    /// Returns true if a later worker has registered on the worker's host, which proves that this
    /// one has ended.
    [[nodiscard]] bool hasSuccessor(const worker_status &worker) const;

    // coordinator_orders.cpp
    /// Sends a stop of each ended run whose start an earlier process of the worker has not
    /// answered: the present process would carry it out as if it were new. Returns true if any was
    /// sent.
    bool blockLateStarts(worker_status &worker);
    /// Repeats the starts and stops that the worker has not answered. Returns true if any was sent.
    bool repeatUnansweredOrders(worker_status &worker);
    /// Returns true if the task exists and its job is not ending.
    [[nodiscard]] bool isLive(const task_name &task);
    /// Returns true if a start of the run may be sent: its task is live and its worker is not
    /// leaving.
    [[nodiscard]] bool mayStart(const run_entry &run);
    void stopGangMembers(const task_name &member);
    void stopRunsOf(const std::string &job, std::string_view reason);
    /// Stops a run. While no orders may be sent, the stop is remembered and sent later: what makes
    /// it necessary, such as a stored cancellation, does not happen again.
    void orderStop(const run_key &key, std::string_view reason);
    /// Sends a start, after a poll if the worker may have ended or restarted since its last report:
    /// a lease is reckoned on the worker's clock, which a new worker process begins anew, and a
    /// crash is held against a suspect only if it followed its start.
    void startWhenContacted(const run_key &key);
    /// Sends the starts that wait for an answer of the worker.
    void sendAwaitingStarts(const worker_status &worker);
    /// Removes runs whose starts wait for an answer of the worker, so that they are placed
    /// elsewhere.
    void abandonAwaitingStarts(worker_status &worker);
    void sendStart(const run_key &key);
    void onStarted(const run_key &key, const result<run_command_reply> &answer);
    /// Removes a run that did not start, so that its task is placed again; with `avoid` preferably
    /// on another worker.
    void abandonStart(const run_key &key, bool avoid);
    /// `incarnation` is that of the worker when the stop was sent.
    void onStopped(const run_key &key, std::int64_t incarnation,
                   const result<run_command_reply> &answer);
    [[nodiscard]] std::int64_t leaseUntil(worker_status &worker);
    /// Returns the longest time that a lease of any worker lasts.
    [[nodiscard]] milliseconds maxLeaseTime() const;
    /// Records that an order with a lease has no answer. A process that replaces the one to which
    /// it was sent may still carry it out.
    void onLeaseUnanswered(worker_status &worker, std::int64_t incarnation, instant sentBy);
    /// Extends the time by which the worker's leases end to what its clock implies, which is the
    /// longest lease if the worker has restarted since the lease was reckoned.
    void boundLeases(worker_status &worker, std::int64_t workerClockMs);
    void checkRuns();
    void evacuateDrainingWorkers();
    void stopStuckRuns();

    // coordinator.cpp
    void requestSchedulingPass();
    void runSchedulingPass();
    void scheduleWaitingSteps(const std::vector<waiting_step> &steps, pool_candidates &candidates);
    bool startTask(const waiting_step &where, const task_name &name, worker_status &worker,
                   const std::string &proof, std::int64_t run);
    /// Sends the start of a suspected task once the store holds where it is started.
    void startWhenStored(const run_key &key);
    void startGang(const waiting_step &waitingStep, pool_candidates &candidates);
    /// Returns true if a later coordinator will know that tasks of the job may run in this pool;
    /// has that stored if need be.
    bool ensurePoolStored(job_entry &job, const std::string &pool);
    /// Asks the advice service for tickets for a step, unless it has just been asked. With the
    /// scope `ready`, which is for steps that have tickets for other workers, one call is open at a
    /// time: the service handles the calls of this process in turn, and first calls come before
    /// further ones.
    void requestTickets(const waiting_step &where, const pool_candidates &candidates,
                        advice_scope scope);
    /// Handles the answer of the advice service for the step of the task `first`.
    void onAdvice(const task_name &first, const result<ticket_reply> &answer);
    void tick();
    /// The parts of `tick` that can wait: pool sizes, maintenance, logs.
    void runDeferrableChecks();
    /// Records how late a timer runs that is due at `due`, and of others from then on.
    void measureLag(instant due);
    /// Returns true, and records the time, if the next tick is overdue because the process or its
    /// host was stalled.
    bool detectProcessStall();
    void expireWorkers();
    void adjustThrottling();

    // queueing/coordinator_locality.cpp
    /// Racks of one scheduling pass, by pool and label. Forecasts are made when a step asks.
    using rack_forecasts = std::map<std::pair<std::string, std::string>, rack_forecast>;
    /// A step of the scheduling pass that has a preferred rack.
    struct rack_visit
    {
        rack_forecast *forecast = nullptr; ///< null: the step does not wait for a rack
        rack_question question; ///< without `expectedAt`
        milliseconds runTime {0}; ///< expected in the rack
        std::string rack;
        const step_tickets *tickets = nullptr;
        int held = 0; ///< tasks that wait for the rack
        no_wait_reason reason = no_wait_reason::none; ///< why tasks go elsewhere
    };
    /// Begins the placement of a step. Sets the preferred rack of `where` if the step is a group.
    [[nodiscard]] rack_visit visitRack(waiting_step &where, pool_candidates &candidates,
                                       const step_tickets *tickets);
    /// Returns the rack for the tasks of a group that wait; empty if there is none.
    std::string chooseGroupRack(const waiting_step &where, const pool_candidates &candidates,
                                const step_tickets *tickets, rack_wait &wait);
    rack_forecast &forecastOf(const std::string &pool, const std::string &rack,
                              const pool_candidates &candidates);
    /// Returns true if the task, or the gang that it begins, waits for a place in its rack.
    bool waitsForRack(rack_visit &visit, const waiting_step &where, int index);
    /// Ends the placement of a step: its wait ends if no task of it waits for the rack any more.
    void leaveRack(const rack_visit &visit, const waiting_step &where);
    /// Applies the start of a run to the forecasts of the pass.
    void recordRackPlacement(const job_entry &job, const task_name &name,
                             const worker_status &worker);
    void endRackWait(const task_name &step, rack_wait &wait, std::string_view outcome,
                     no_wait_reason reason);
    /// Ends the waits of steps that no longer wait, or whose rack has no usable worker, and forgets
    /// steps that are complete.
    void checkRackWaits();
    /// Has a scheduling pass run at `until`, when a wait ends.
    void wakeForRack(instant until);
    /// Learns how much longer runs take outside the preferred rack.
    void observeRack(const job_entry &job, const task_name &name, const worker_status &worker,
                     milliseconds duration);

    // backlog/coordinator_backlog.cpp
    /// Opens due occurrences and has the store learn of it.
    void openOccurrences();
    /// Logs the jobs whose occurrences wait behind their window.
    void logBacklog();

    // coordinator_logs.cpp
    void logSummary();
    /// Logs the pools in which a customer holds more than its share while work waits.
    void logShares();
    void logCoordinatorLoad();
    void logLearnedRunTimes();
    /// Logs tasks that wait although a worker of their pool may have room, with the reasons for
    /// which each worker is not given one.
    void logWaitingTasks();
    /// Logs why the task waits, unless its pool is full, the queues there have the same priority
    /// and its customer is within its share. Precondition: its queue is configured.
    void logWaitingTask(const waiting_step &where, int index);
    /// Logs tasks whose run may exist on a worker that does not answer, with what proves its end.
    void logUnprovenRuns();

    // evacuation/coordinator_evacuation.cpp
    /// Reads the evacuations, if there are any on this platform.
    void followEvacuations();
    void onEvacuationsRead(const std::set<std::string> &dataCentres, instant readAt);
    /// Takes back the starts that are decided and not sent to workers of evacuated data centres.
    void abandonEvacuatedStarts();
    /// Logs that no starts are sent, or are sent again, as the age of the last read demands.
    void checkEvacuationAge();

    // coordinator_hosts.cpp
    void readWaves();
    void refreshHosts();
    void maintainHosts();
    void readWaveRecord(std::int64_t number);
    void writeWaveRecord(const wave_progress &progress,
                         std::function<void(result<void>)> done = nullptr);
    void advanceMaintenance(wave_progress &progress, const std::string &host,
                            host_maintenance &each);
    void recordOrder(const wave_progress &progress, const std::string &host,
                     host_maintenance &each);
    void orderMaintenance(wave_progress &progress, const std::string &host, host_maintenance &each);
    void stopRunsForMaintenance(worker_status &worker, bool gracePeriodOver);
    void resizePools();
    void setBaselines(const std::map<std::string, int> &baselines);
    void orderMove(const host_move &move);
    void retireWorker(const std::string &host);
    void retireEndedWorkers();

    platform_api &m_platform;
    worker_calls &m_workerCalls;
    scheduler &m_timers;
    metrics_registry &m_metrics;
    const coordinator_settings m_settings;
    const leadership m_leadership;
    std::function<void()> m_onLeadershipLost;
    std::unique_ptr<record_writer> m_writer;
    fleet_tables m_tables;
    maintenance_state m_maintenance;
    pool_sizing_state m_sizing;
    forecast_state m_forecast;

    bool m_closed = false;
    bool m_suspended = false;
    /// The records of all jobs are read. Before that, reported ends would be taken for those of
    /// ended jobs and then forgotten by their workers.
    bool m_recordsRead = false;
    bool m_loaded = false; ///< the records and the registry are read
    instant m_startedAt;
    takeover_progress m_takeover;
    instant m_loadedAt;
    instant m_leadershipProvenUntil;
    instant m_pageReadAt; ///< when the last page of the records or the registry arrived
    std::int64_t m_registryRevision = 0;
    std::set<std::string> m_listedWorkers; ///< workers seen by the registry read in progress
    std::set<std::string> m_changedRosterKeys; ///< keys of the roster records to write
    /// Callers that wait until their jobs are stored, by id of the job.
    std::map<std::string, std::vector<answer_handler>> m_submitWaiters;
    /// Callers that wait until the cancellation of their jobs is stored, by id of the job.
    std::map<std::string, std::vector<answer_handler>> m_cancelWaiters;
    std::set<std::string> m_dirtyJobs; ///< ids of jobs with progress to write
    bool m_flushScheduled = false;
    bool m_flushInProgress = false;
    std::int64_t m_flushNumber = 0; ///< number of the last flush
    bool m_flushRequested = false; ///< there are changes that the flush in progress does not cover
    nlohmann::json m_endsToLog = nlohmann::json::array(); ///< ends in the report being applied
    bool m_windowMoved = false; ///< further occurrences of a job may be opened
    bool m_schedulingPassPending = false;
    instant m_lastSchedulingPassAt;
    std::size_t m_waitingSteps = 0; ///< steps with waiting tasks at the last scheduling pass
    instant m_tickDueAt;
    instant m_lastProcessStallAt; ///< end of the last stall; epoch: none
    milliseconds m_longestTickDelay {0}; ///< since the last summary
    load_control m_load;
    answer_delay m_answerDelay; ///< of starts
    work_budget m_passBudget;
    work_budget m_checkBudget; ///< of the periodic checks that can wait
    rack_forecasts m_rackForecasts; ///< of the present scheduling pass
    std::map<task_name, rack_wait> m_rackWaits; ///< by the first task of the step
    /// By pool and label of the rack.
    std::map<std::pair<std::string, std::string>, rack_demand> m_rackDemands;
    instant m_rackWakeAt; ///< pending scheduling pass for the end of a wait
    bool m_furtherAdvicePending = false; ///< a call for a step that has tickets is open
    int m_rejectedForLag = 0; ///< submissions since the last summary
    int m_unansweredStarts = 0; ///< since the last summary
    std::int64_t m_pollNumber = 0; ///< number of the last poll of any worker
    std::int64_t m_reportNumber = 0; ///< number of the report being applied
    int m_reports = 0; ///< reports of workers since the last summary
    /// Ends since the last summary that were applied before, listed again for want of an
    /// acknowledgement.
    int m_endsListedAgain = 0;
    /// Processor time at the last summary, in microseconds.
    std::map<work_kind, std::uint64_t> m_processorUsBefore;
    /// Submissions answered with `outcome_unknown` since the last summary, as the store was slow.
    int m_unresolvedSubmissions = 0;
    std::unique_ptr<evacuation_reader> m_evacuationReader; ///< null: no evacuations
    bool m_startsHeldBack = false; ///< the evacuations are not known
    bool m_hostListPending = false;
    bool m_waveReadPending = false;
    bool m_maintenanceOpen = false; ///< a maintenance wave is open
    instant m_nextHostListAt;
    instant m_nextWaveReadAt;
    instant m_nextPruneAt;
    instant m_nextSummaryAt;
};

} // namespace ibishinge::fleet
