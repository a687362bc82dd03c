#pragma once

#include "standins/virtual_loop.h"

#include <ibishinge/fleet/evacuation/evacuation.h>
#include <ibishinge/fleet/platform_api.h>
#include <ibishinge/fleet/tables.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ibishinge::standin {

using namespace ibishinge::fleet;

/// One worker of the virtual platform.
struct virtual_worker
{
    struct live_run
    {
        std::int64_t run = 0;
        instant startedAt;
        instant endsAt; ///< epoch: never
        bool fails = false;
    };

    worker_entry entry;
    bool alive = true;
    bool reachable = true;
    std::int64_t fence = 0;
    instant leaseEnd;
    instant startedAt;
    instant lastStartAt; ///< of a run; epoch: never
    std::map<task_name, live_run> running;
    std::map<task_name, std::int64_t> closedRuns; ///< highest run stopped or ended
    std::vector<run_end> ended;
    std::int64_t endCount = 0;
    std::vector<std::function<void()>> waitingLooks;
};

/// The platform in virtual time: store, workers and hosts, shared by the clients of all processes.
/// Checks what must hold for tasks whenever one starts.
class virtual_world
{
public:
    explicit virtual_world(virtual_loop &virtualLoop)
        : loop(virtualLoop)
    {
    }

    virtual_worker &addWorker(const std::string &id, const std::string &pool, std::int64_t cpu)
    {
        auto &worker = workers[id];
        worker.entry.id = id;
        worker.entry.address = id + ":1";
        worker.entry.pool = pool;
        worker.entry.host = "host-" + id;
        worker.entry.capacity = {cpu, 100000, 0};
        worker.entry.labels = {"a", "rack-1"};
        worker.entry.incarnation = ++lives;
        worker.startedAt = loop.now();
        auto &host = hosts[worker.entry.host];
        host = {worker.entry.host,     pool, host_state::up,         worker.entry.labels,
                worker.entry.capacity, id,   worker.entry.dataCentre};
        putItem("workers/" + id, id, 0);
        return worker;
    }

    /// Ends a worker without a word, as a crash does.
    void crash(const std::string &id)
    {
        auto &worker = workers.at(id);
        worker.alive = false;
        worker.running.clear();
        worker.ended.clear();
    }

    /// Crashes a worker and brings it back on the same host after `crashDownTime`: as the same
    /// entry of the registry if `restartsInPlace`, else as a new one.
    void crashAndReturn(const std::string &id)
    {
        crash(id);
        const auto host = workers.at(id).entry.host;
        if (restartsInPlace) {
            loop.after(crashDownTime, [this, id] {
                restartUnnoticed(id);
                putItem("workers/" + id, id, 0);
            });
            return;
        }
        hosts.at(host).worker.clear();
        loop.after(crashDownTime, [this, id, host] {
            deleteItem("workers/" + id);
            const auto &before = workers.at(id).entry;
            const auto fresh = "w" + std::to_string(lives + 1);
            auto &worker = addWorker(fresh, before.pool, before.capacity.cpuMillis);
            hosts.erase(worker.entry.host);
            worker.entry.host = host;
            hosts.at(host).worker = fresh;
            putItem("workers/" + fresh, fresh, 0);
        });
    }

    /// Replaces the process of a worker by a new one that nobody hears of before it answers: its
    /// entry in the registry stays.
    void restartUnnoticed(const std::string &id)
    {
        crash(id);
        auto &worker = workers.at(id);
        worker.alive = true;
        worker.entry.incarnation = ++lives;
        worker.startedAt = loop.now();
        worker.leaseEnd = {};
        worker.fence = 0;
        worker.endCount = 0;
        worker.closedRuns.clear();
    }

    /// Renews the lease of a worker until a time on its clock; one that is too long is shortened.
    void extendLease(virtual_worker &worker, std::int64_t until) const
    {
        worker.leaseEnd = std::max(worker.leaseEnd, std::min(worker.startedAt + milliseconds(until),
                                                             loop.now() + maxTaskLease));
    }

    void putItem(const std::string &key, const std::string &value, std::int64_t lease)
    {
        auto &item = items[key];
        item = {key, value, ++revision, false};
        leaseOf[key] = lease;
        notify(item);
    }

    void deleteItem(const std::string &key)
    {
        if (items.erase(key) > 0) {
            leaseOf.erase(key);
            notify({key, "", ++revision, true});
        }
    }

    void endLease(std::int64_t lease)
    {
        leaseEnds.erase(lease);
        std::vector<std::string> keys;
        for (const auto &[key, id] : leaseOf) {
            if (id == lease) {
                keys.push_back(key);
            }
        }
        for (const auto &key : keys) {
            deleteItem(key);
        }
    }

    void renew(std::int64_t lease, milliseconds ttl)
    {
        leaseEnds[lease] = loop.now() + ttl;
        loop.after(ttl, [this, lease] {
            const auto found = leaseEnds.find(lease);
            if (found != leaseEnds.end() && found->second <= loop.now()) {
                endLease(lease);
            }
        });
    }

    transaction_reply apply(const store_transaction &change)
    {
        transaction_reply answer;
        for (const auto &condition : change.conditions) {
            const auto found = items.find(condition.key);
            const auto current = found == items.end() ? 0 : found->second.revision;
            if (current != condition.revision) {
                answer.current.clear();
                for (const auto &each : change.conditions) {
                    const auto item = items.find(each.key);
                    if (item != items.end()) {
                        answer.current.push_back(item->second);
                    }
                }
                return answer;
            }
        }
        for (const auto &put : change.puts) {
            if (put.lease != 0 && leaseEnds.count(put.lease) == 0) {
                answer.leaseExpired = true;
                return answer;
            }
        }
        const auto changed = ++revision;
        for (const auto &put : change.puts) {
            items[put.key] = {put.key, put.value, changed, false};
            leaseOf[put.key] = put.lease;
            notify(items[put.key]);
        }
        for (const auto &key : change.deletes) {
            items.erase(key);
            notify({key, "", changed, true});
        }
        ++transactions;
        answer.applied = true;
        answer.revision = changed;
        return answer;
    }

    run_command_reply start(virtual_worker &worker, const run_order &order)
    {
        const auto clock = clockOf(worker);
        if (order.fencingToken < worker.fence) {
            return {run_command_outcome::fenced, clock};
        }
        worker.fence = order.fencingToken;
        const auto running = worker.running.find(order.task);
        if (running != worker.running.end() && running->second.run == order.run) {
            extendLease(worker, order.leaseUntil);
            return {run_command_outcome::running, clock};
        }
        const auto closed = worker.closedRuns.find(order.task);
        if (closed != worker.closedRuns.end() && order.run <= closed->second) {
            extendLease(worker, order.leaseUntil);
            return {run_command_outcome::stale_run, clock};
        }
        if (order.leaseUntil <= clock) {
            return {run_command_outcome::lease_past, clock};
        }
        if (!order.ticket.empty() && order.ticket != ticketFor(worker)) {
            return {run_command_outcome::bad_ticket, clock};
        }
        for (auto &[id, other] : workers) {
            if (other.leaseEnd < loop.now()) {
                other.running.clear(); // lapsed
            }
            const auto run = other.running.find(order.task);
            if (other.alive && run != other.running.end()) {
                violations.push_back("two runs of " + order.task.job);
            }
        }
        if (doneTasks.count(order.task) > 0) {
            violations.push_back("start after the end of " + order.task.job);
        }
        if (static_cast<int>(failures[order.task]) >= maxAttempts) {
            violations.push_back("start beyond the attempts of " + order.task.job);
        }
        ++starts;
        worker.lastStartAt = loop.now();
        startsWithTicket += order.ticket.empty() ? 0 : 1;
        extendLease(worker, order.leaseUntil);
        auto planned = behaviourOf(order.task);
        planned.duration = milliseconds(static_cast<std::int64_t>(
            static_cast<double>(planned.duration.count()) * slowdownOf(order.task, worker)));
        virtual_worker::live_run run;
        run.run = order.run;
        run.startedAt = loop.now();
        run.fails = planned.fails;
        if (planned.duration.count() > 0) {
            run.endsAt = loop.now() + planned.duration;
            loop.after(planned.duration, [this, id = worker.entry.id, order, planned,
                                          incarnation = worker.entry.incarnation] {
                auto &at = workers.at(id);
                const auto found = at.running.find(order.task);
                if (at.alive && at.entry.incarnation == incarnation && found != at.running.end()
                    && found->second.run == order.run) {
                    end(at, order.task, planned.fails ? end_kind::failed : end_kind::done);
                }
            });
        }
        worker.running[order.task] = run;
        if (planned.crashesWorker && crashDelay.count() == 0) {
            ++startsOfDeadlyTasks[order.task];
            ++crashesByTask[order.task];
            crashAndReturn(worker.entry.id);
        } else if (planned.crashesWorker) {
            ++startsOfDeadlyTasks[order.task];
            loop.after(crashDelay,
                       [this, id = worker.entry.id, order, incarnation = worker.entry.incarnation] {
                           auto &at = workers.at(id);
                           const auto found = at.running.find(order.task);
                           if (at.alive && at.entry.incarnation == incarnation
                               && found != at.running.end() && found->second.run == order.run) {
                               ++crashesByTask[order.task];
                               crashAndReturn(id);
                           }
                       });
        }
        return {run_command_outcome::running, clock};
    }

    void end(virtual_worker &worker, const task_name &task, end_kind kind)
    {
        const auto run = worker.running.at(task).run;
        worker.running.erase(task);
        worker.closedRuns[task] = std::max(worker.closedRuns[task], run);
        worker.ended.push_back({++worker.endCount, task, run, kind, ""});
        if (kind == end_kind::done) {
            doneTasks.insert(task);
        }
        if (kind == end_kind::failed) {
            ++failures[task];
        }
        for (const auto &wake : std::exchange(worker.waitingLooks, {})) {
            wake();
        }
    }

    worker_report report(virtual_worker &worker)
    {
        worker_report out;
        out.workerClockMs = clockOf(worker);
        out.incarnation = worker.entry.incarnation;
        for (const auto &[task, run] : worker.running) {
            int percent = 100;
            if (reportsProgress && run.endsAt > run.startedAt) {
                percent = static_cast<int>(100 * (loop.now() - run.startedAt)
                                           / (run.endsAt - run.startedAt));
            }
            out.running.push_back({task, run.run, "", percent, 0});
        }
        const auto listed = std::min(worker.ended.size(), maxReportedEnds);
        out.ended.assign(worker.ended.begin(),
                         worker.ended.begin() + static_cast<std::ptrdiff_t>(listed));
        return out;
    }

    /// Returns the ticket of the advice service, which holds for one process of a worker.
    [[nodiscard]] static std::string ticketFor(const virtual_worker &worker)
    {
        return worker.entry.id + "/" + std::to_string(worker.entry.incarnation);
    }

    [[nodiscard]] std::int64_t clockOf(const virtual_worker &worker) const
    {
        return (loop.now() - worker.startedAt).count() + 1;
    }

    struct behaviour
    {
        milliseconds duration {500}; ///< 0: runs until it is stopped
        bool fails = false;
        bool crashesWorker = false; ///< `crashDelay` after its start
    };

    void notify(const store_item &item)
    {
        history.push_back(item);
        for (const auto &wake : std::exchange(watchers, {})) {
            wake();
        }
    }

    virtual_loop &loop;
    std::map<std::string, store_item> items;
    std::map<std::string, std::int64_t> leaseOf;
    std::map<std::int64_t, instant> leaseEnds;
    std::int64_t nextLease = 1;
    std::int64_t revision = 100;
    std::vector<store_item> history;
    std::vector<std::function<void()>> watchers;
    std::map<std::string, virtual_worker> workers;
    std::map<std::string, host_entry> hosts;
    std::int64_t lives = 0;
    std::function<behaviour(const task_name &)> behaviourOf = [](const task_name &) {
        return behaviour {};
    };
    /// Factor on the duration of a task by the worker.
    std::function<double(const task_name &, const virtual_worker &)> slowdownOf =
        [](const task_name &, const virtual_worker &) { return 1.0; };
    bool reportsProgress = false; ///< else runs that take long count as stuck
    /// Policy of the advice service: which workers may run the steps of a job.
    std::function<bool(const std::string &job, const virtual_worker &)> permits =
        [](const std::string &, const virtual_worker &) { return true; };
    configuration config;
    std::vector<maintenance_wave> waves;
    int maxAttempts = 2;
    milliseconds crashDelay {50}; ///< 0: the start that crashes a worker is not answered
    milliseconds crashDownTime {1500};
    milliseconds maxTaskLease {10000};
    bool restartsInPlace = false; ///< a crashed worker keeps its entry in the registry
    std::map<task_name, int> startsOfDeadlyTasks;
    std::map<task_name, int> crashesByTask;
    std::set<task_name> doneTasks;
    std::map<task_name, int> failures;
    std::vector<std::string> violations;
    std::vector<std::string> maintained; ///< hosts, in the order of their maintenance
    std::set<std::pair<std::int64_t, std::string>> maintenanceBegun; ///< wave and host
    std::vector<std::pair<std::string, std::string>> moved; ///< host and pool
    bool refuseMoves = false;
    std::function<void(const virtual_worker &)> onTakeDown; ///< before a move or maintenance
    int starts = 0;
    int startsWithTicket = 0;
    int transactions = 0;
};

/// The platform as one process sees it. Faults are set by the fields.
class virtual_platform final : public platform_api
{
public:
    explicit virtual_platform(virtual_world &world)
        : m_world(world)
    {
    }

    bool storeCut = false; ///< the store does not answer this process
    bool watchesSilent = false; ///< watches are cut without a word: changes do not wake them
    bool refuseCommits = false; ///< commits are answered, and certainly not done
    int loseCommits = 0; ///< so many commits take effect without an answer
    int delayCommits =
        0; ///< so many commits have no answer and are carried out `commitDelay` later
    milliseconds commitDelay {3000};
    bool workersCut = false;

    /// The process stands still: it hears no replies until it goes on, and then all of them.
    void freeze()
    {
        m_frozen = true;
    }
    void thaw()
    {
        m_frozen = false;
        for (const auto &reply : std::exchange(m_heldReplies, {})) {
            reply();
        }
    }

    std::set<std::string> unansweredStops; ///< workers whose stops fail
    milliseconds stopAnswerDelay {0}; ///< until the answer to a stop that was carried out is read
    /// Workers that accept one connection of this process: they reset further ones, so that a call
    /// beside another has no answer.
    std::set<std::string> singleConnection;
    int workerCalls = 0; ///< of all kinds
    int pollsOfEndedWorkers = 0;
    int renewals = 0; ///< of leases, sent
    milliseconds pollTime {2}; ///< until a look is answered
    milliseconds storeTime {5}; ///< until the store answers
    std::size_t pageSize = 500; ///< items in one answer of the store
    /// Time that one item of a page takes on the link of this process. Answers arrive in the order
    /// in which they were sent, so that those after a page wait for it.
    milliseconds itemTime {0};
    /// Time-out of a page that is arriving, as of the client.
    milliseconds pageTimeout {20800};
    int breakPages = 0; ///< so many full pages break off half-way
    std::set<std::string> unansweredPages; ///< prefixes of which no page arrives
    std::vector<std::string> pagesRead; ///< prefix and last key before, of each page that arrived
    /// Calls to the advice service, which handles those of one process in turn.
    struct advice_call
    {
        instant sentAt;
        std::string job;
        std::vector<std::string> workers;
    };
    std::vector<advice_call> adviceCalls;
    milliseconds adviceTime {2}; ///< fixed part of the time that a call to it takes
    milliseconds adviceTimeOfWorker {0}; ///< added for each worker that a call names
    milliseconds adviceValidity {3000};
    bool refuseAdvice = false; ///< calls to the advice service fail
    milliseconds silence {300}; ///< until a call without an answer is given up
    int refuseStarts = 0; ///< so many starts find no connection
    int loseStartAnswers = 0; ///< so many starts are carried out without an answer
    /// So many starts have no answer and are carried out `startDelay` later, by the process that
    /// the worker has then.
    int delayStarts = 0;
    milliseconds startDelay {3000};
    /// So many polls with a lease have no answer and are carried out `pollDelay` later, by the
    /// process that the worker has then.
    int delayPolls = 0;
    milliseconds pollDelay {3000};
    std::int64_t delayedAcknowledgement = 0; ///< those polls acknowledge at least this end
    /// Unless 0, orders of maintenance have no answer and are carried out so much later.
    milliseconds lateMaintenance {0};

    /// Returns when an answer that is sent now, and takes `transfer` on the link of this process,
    /// has arrived.
    instant receive(milliseconds transfer)
    {
        m_linkFreeAt = std::max(m_linkFreeAt, m_world.loop.now()) + transfer;
        return m_linkFreeAt;
    }

    void readItem(const std::string &key, reply<store_item> done) override
    {
        atStore<store_item>(done, [this, key]() -> result<store_item> {
            const auto found = m_world.items.find(key);
            return found == m_world.items.end() ? store_item {key, "", 0, true} : found->second;
        });
    }

    void readRange(const std::string &prefix, const std::string &after,
                   reply<store_page> done) override
    {
        if (storeCut || unansweredPages.count(prefix) > 0) {
            fail<store_page>(std::move(done), error_kind::outcome_unknown);
            return;
        }
        m_world.loop.after(storeTime, [this, prefix, after, done = std::move(done)] {
            transferPage(prefix + after, pageAt(prefix, after), done);
        });
    }

    void cancelPageReads() override
    {
        ++m_reads;
    }

    void watch(const std::string &prefix, std::int64_t revision, milliseconds wait,
               reply<store_page> done) override
    {
        waitForChange(prefix, revision, m_world.loop.now() + wait, std::move(done));
    }

    void commit(const store_transaction &change, reply<transaction_reply> done) override
    {
        if (refuseCommits) {
            fail<transaction_reply>(std::move(done), error_kind::unavailable);
            return;
        }
        if ((loseCommits > 0 || delayCommits > 0) && !storeCut) {
            const bool late = loseCommits == 0;
            --(late ? delayCommits : loseCommits);
            m_world.loop.after(late ? commitDelay : storeTime,
                               [&world = m_world, change] { world.apply(change); });
            fail<transaction_reply>(std::move(done), error_kind::outcome_unknown);
            return;
        }
        atStore<transaction_reply>(
            done, [this, change]() -> result<transaction_reply> { return m_world.apply(change); });
    }

    void grantLease(milliseconds ttl, reply<store_lease> done) override
    {
        atStore<store_lease>(done, [this, ttl]() -> result<store_lease> {
            const auto id = m_world.nextLease++;
            m_world.renew(id, ttl);
            m_ttl = ttl;
            return store_lease {id, ttl};
        });
    }

    void renewLease(std::int64_t lease, reply<store_lease> done) override
    {
        ++renewals;
        atStore<store_lease>(done, [this, lease]() -> result<store_lease> {
            if (m_world.leaseEnds.count(lease) == 0) {
                return makeError(error_kind::unknown_entity, "lease", "ended");
            }
            m_world.renew(lease, m_ttl);
            return store_lease {lease, m_ttl};
        });
    }

    void endLease(std::int64_t lease, reply<void> done) override
    {
        atStore<void>(done, [this, lease]() -> result<void> {
            m_world.endLease(lease);
            return {};
        });
    }

    void startRun(const worker_entry &worker, const run_order &order,
                  reply<run_command_reply> done) override
    {
        if (refuseStarts > 0) {
            --refuseStarts;
            fail<run_command_reply>(std::move(done), error_kind::unavailable);
            return;
        }
        if (loseStartAnswers > 0 || delayStarts > 0) {
            const bool late = loseStartAnswers == 0;
            --(late ? delayStarts : loseStartAnswers);
            m_world.loop.after(late ? startDelay : workerTime,
                               [&world = m_world, id = worker.id, order] {
                                   auto &at = world.workers.at(id);
                                   if (at.alive) {
                                       world.start(at, order);
                                   }
                               });
            fail<run_command_reply>(std::move(done), error_kind::outcome_unknown);
            return;
        }
        atWorker<run_command_reply>(worker.id, done,
                                    [this, order](virtual_worker &at) -> result<run_command_reply> {
                                        return m_world.start(at, order);
                                    });
    }

    void stopRun(const worker_entry &worker, const task_name &task, std::int64_t run,
                 std::int64_t fencingToken, reply<run_command_reply> done) override
    {
        if (unansweredStops.count(worker.id) > 0) {
            fail<run_command_reply>(std::move(done), error_kind::outcome_unknown);
            return;
        }
        const reply<run_command_reply> read =
            [this, done, delay = stopAnswerDelay](const result<run_command_reply> &answer) {
                if (delay.count() > 0) {
                    m_world.loop.after(delay, [done, answer] { done(answer); });
                } else {
                    done(answer);
                }
            };
        atWorker<run_command_reply>(
            worker.id, read, [=, this](virtual_worker &at) -> result<run_command_reply> {
                if (fencingToken < at.fence) {
                    return run_command_reply {run_command_outcome::fenced, m_world.clockOf(at)};
                }
                at.closedRuns[task] = std::max(at.closedRuns[task], run);
                const auto found = at.running.find(task);
                if (found != at.running.end() && found->second.run <= run) {
                    m_world.end(at, task, end_kind::stopped);
                }
                return run_command_reply {run_command_outcome::running, m_world.clockOf(at)};
            });
    }

    void throttleRun(const worker_entry &worker, const task_name & /*task*/, std::int64_t /*run*/,
                     int /*percent*/, std::int64_t /*fencingToken*/,
                     reply<run_command_reply> done) override
    {
        atWorker<run_command_reply>(
            worker.id, done,
            [](virtual_worker &) -> result<run_command_reply> { return run_command_reply {}; });
    }

    void poll(const worker_entry &worker, const poll_request &order,
              reply<worker_report> done) override
    {
        ++workerCalls;
        if (!connect(worker.id)) {
            reset<worker_report>(done);
            return;
        }
        done = disconnecting(worker.id, std::move(done));
        if (delayPolls > 0 && order.leaseUntil > 0
            && order.acknowledgedEnd >= delayedAcknowledgement) {
            --delayPolls;
            m_world.loop.after(pollDelay, [&world = m_world, id = worker.id, order] {
                auto &at = world.workers.at(id);
                if (at.alive && order.fencingToken >= at.fence) {
                    at.fence = order.fencingToken;
                    world.extendLease(at, order.leaseUntil);
                    std::erase_if(at.ended, [&](const run_end &end) {
                        return end.number <= order.acknowledgedEnd;
                    });
                }
            });
            fail<worker_report>(done, error_kind::outcome_unknown);
            return;
        }
        m_world.loop.after(pollTime, [=, this] {
            auto &at = m_world.workers.at(worker.id);
            pollsOfEndedWorkers += at.alive ? 0 : 1;
            if (workersCut || !at.alive || !at.reachable) {
                fail<worker_report>(done, error_kind::outcome_unknown);
                return;
            }
            if (order.fencingToken < at.fence) {
                worker_report fenced;
                fenced.fenced = true;
                done(fenced);
                return;
            }
            at.fence = order.fencingToken;
            if (order.leaseUntil > 0) {
                m_world.extendLease(at, order.leaseUntil);
            }
            std::erase_if(at.ended,
                          [&](const run_end &end) { return end.number <= order.acknowledgedEnd; });
            if (order.wait.count() == 0 || !at.ended.empty()) {
                done(m_world.report(at));
                return;
            }
            const auto answered = std::make_shared<bool>(false);
            const auto answer = [this, done, answered, id = worker.id] {
                auto &then = m_world.workers.at(id);
                if (std::exchange(*answered, true)) {
                    return;
                }
                if (workersCut || !then.alive || !then.reachable) {
                    fail<worker_report>(done, error_kind::outcome_unknown);
                } else {
                    done(m_world.report(then));
                }
            };
            at.waitingLooks.push_back([this, answer] { m_world.loop.after(workerTime, answer); });
            m_world.loop.after(order.wait, answer);
        });
    }

    void requestTickets(const std::string &job, int /*occurrence*/, int /*step*/,
                        const std::vector<std::string> &workers, reply<ticket_reply> done) override
    {
        const auto now = m_world.loop.now();
        adviceCalls.push_back({now, job, workers});
        m_adviceFreeAt = std::max(m_adviceFreeAt, now) + adviceTime
                         + adviceTimeOfWorker * static_cast<std::int64_t>(workers.size());
        m_world.loop.after(m_adviceFreeAt - now, [this, job, workers, done] {
            if (refuseAdvice) {
                done(makeError(error_kind::unavailable, "advice service", "refused"));
                return;
            }
            ticket_reply answer;
            for (const auto &id : workers) {
                const auto worker = m_world.workers.find(id);
                if (worker != m_world.workers.end() && m_world.permits(job, worker->second)) {
                    answer.tickets.push_back({id, virtual_world::ticketFor(worker->second)});
                }
            }
            answer.validity = adviceValidity;
            done(answer);
        });
    }

    void listHosts(reply<std::vector<host_entry>> done) override
    {
        m_world.loop.after(workerTime, [this, done] {
            std::vector<host_entry> hosts;
            for (const auto &[name, host] : m_world.hosts) {
                hosts.push_back(host);
            }
            done(hosts);
        });
    }

    void moveHost(const std::string &host, const std::string &pool, std::int64_t /*fencingToken*/,
                  reply<host_order_outcome> done) override
    {
        if (m_world.refuseMoves) {
            m_world.loop.after(workerTime, [done] { done(host_order_outcome::busy); });
            return;
        }
        m_world.moved.emplace_back(host, pool);
        takeDown(host, pool);
        m_world.loop.after(workerTime, [done] { done(host_order_outcome::accepted); });
    }

    void maintainHost(const std::string &host, std::int64_t wave, std::int64_t /*fencingToken*/,
                      reply<host_order_outcome> done) override
    {
        if (lateMaintenance > milliseconds(0)) {
            m_world.loop.after(lateMaintenance, [this, host, wave] { maintain(host, wave); });
            m_world.loop.after(hostOrderTimeout, [done] {
                done(makeError(error_kind::outcome_unknown, "hosts", "no answer"));
            });
            return;
        }
        maintain(host, wave);
        m_world.loop.after(workerTime, [done] { done(host_order_outcome::accepted); });
    }

    [[nodiscard]] std::optional<worker_entry> decodeWorker(const store_item &item) const override
    {
        const auto found = m_world.workers.find(item.value);
        return found == m_world.workers.end() ? std::nullopt : std::optional(found->second.entry);
    }
    [[nodiscard]] result<configuration> decodeConfiguration(const store_item &) const override
    {
        return m_world.config;
    }
    [[nodiscard]] result<maintenance_wave> decodeWave(const store_item &item) const override
    {
        for (const auto &wave : m_world.waves) {
            if ("waves/" + std::to_string(wave.number) == item.key) {
                return wave;
            }
        }
        return makeError(error_kind::invalid_request, item.key, "no wave");
    }
    [[nodiscard]] store_put encodeWaveStatus(std::int64_t wave, bool completed) const override
    {
        return {"wave-status/" + std::to_string(wave), completed ? "completed" : "running", 0};
    }
    [[nodiscard]] result<std::string> decodeEvacuation(const store_item &item) const override
    {
        return parseEvacuatedDataCentre(item.key.substr(evacuationPrefix().size()));
    }
    [[nodiscard]] std::string configurationKey() const override
    {
        return "configuration";
    }
    [[nodiscard]] std::string workerPrefix() const override
    {
        return "workers/";
    }
    [[nodiscard]] std::string wavePrefix() const override
    {
        return "waves/";
    }
    [[nodiscard]] std::string evacuationPrefix() const override
    {
        return "evacuations/";
    }

private:
    static constexpr milliseconds workerTime {2};
    static constexpr milliseconds downTime {1500};
    static constexpr milliseconds hostOrderTimeout {1000};

    [[nodiscard]] store_page pageAt(const std::string &prefix, const std::string &after) const
    {
        store_page page;
        for (const auto &[key, item] : m_world.items) {
            if (!key.starts_with(prefix) || key <= after) {
                continue;
            }
            if (page.items.size() == pageSize) {
                page.more = true;
                break;
            }
            page.items.push_back(item);
        }
        page.revision = m_world.revision;
        return page;
    }

    /// Delivers a page when its items have passed the link.
    void transferPage(const std::string &name, const store_page &page,
                      const reply<store_page> &done)
    {
        const auto duration = itemTime * static_cast<std::int64_t>(page.items.size());
        const bool breaks = page.more && breakPages > 0;
        breakPages -= breaks ? 1 : 0;
        if (breaks || duration > pageTimeout) {
            m_world.loop.after(breaks ? duration / 2 : pageTimeout, [this, done] {
                deliver([done] {
                    done(makeError(error_kind::outcome_unknown, "virtual platform", "broke off"));
                });
            });
            return;
        }
        arrive(duration, [this, name, page, done, reads = m_reads] {
            if (reads == m_reads) {
                pagesRead.push_back(name);
                deliver([done, page] { done(page); });
            }
        });
    }

    void deliver(std::function<void()> reply)
    {
        if (m_frozen) {
            m_heldReplies.push_back(std::move(reply));
        } else {
            reply();
        }
    }

    template <class T>
    void fail(reply<T> done, error_kind kind)
    {
        m_world.loop.after(kind == error_kind::unavailable ? workerTime : silence, [done, kind] {
            done(makeError(kind, "virtual platform", "no answer"));
        });
    }

    template <class T>
    void atStore(const reply<T> &done, std::function<result<T>()> act)
    {
        if (storeCut) {
            fail<T>(done, error_kind::outcome_unknown);
            return;
        }
        m_world.loop.after(storeTime, [this, done, act] {
            arrive(milliseconds(0),
                   [this, done, value = act()] { deliver([done, value] { done(value); }); });
        });
    }

    /// Calls `read` when an answer that is sent now has arrived.
    void arrive(milliseconds transfer, std::function<void()> read)
    {
        const auto arrival = receive(transfer);
        if (arrival > m_world.loop.now()) {
            m_world.loop.after(arrival - m_world.loop.now(), std::move(read));
        } else {
            read();
        }
    }

    bool connect(const std::string &id)
    {
        if (singleConnection.count(id) > 0 && m_openCalls[id] > 0) {
            return false;
        }
        ++m_openCalls[id];
        return true;
    }

    template <class T>
    reply<T> disconnecting(const std::string &id, reply<T> done)
    {
        return [this, id, done = std::move(done)](result<T> value) {
            --m_openCalls[id];
            done(std::move(value));
        };
    }

    template <class T>
    void reset(reply<T> done)
    {
        m_world.loop.after(workerTime, [done = std::move(done)] {
            done(makeError(error_kind::outcome_unknown, "worker", "connection reset"));
        });
    }

    template <class T>
    void atWorker(const std::string &id, const reply<T> &answer,
                  std::function<result<T>(virtual_worker &)> act)
    {
        ++workerCalls;
        if (!connect(id)) {
            reset<T>(answer);
            return;
        }
        const auto done = disconnecting(id, answer);
        m_world.loop.after(workerTime, [=, this] {
            auto &worker = m_world.workers.at(id);
            if (workersCut || !worker.alive || !worker.reachable) {
                fail<T>(done, error_kind::outcome_unknown);
                return;
            }
            auto value = act(worker);
            if (!worker.alive) {
                fail<T>(done, error_kind::outcome_unknown);
                return;
            }
            deliver([done, value = std::move(value)] { done(value); });
        });
    }

    void waitForChange(const std::string &prefix, std::int64_t revision, instant until,
                       reply<store_page> done)
    {
        if (storeCut) {
            fail<store_page>(std::move(done), error_kind::outcome_unknown);
            return;
        }
        store_page page;
        page.revision = m_world.revision;
        for (const auto &item : m_world.history) {
            if (item.revision > revision && item.key.starts_with(prefix)) {
                page.items.push_back(item);
            }
        }
        if (!page.items.empty() || m_world.loop.now() >= until) {
            m_world.loop.after(storeTime, [this, done, page] {
                arrive(milliseconds(0), [done, page] { done(page); });
            });
            return;
        }
        const auto woken = std::make_shared<bool>(false);
        const auto again = [=, this] {
            if (!std::exchange(*woken, true)) {
                waitForChange(prefix, revision, until, done);
            }
        };
        m_world.watchers.push_back([this, again] {
            if (!watchesSilent) {
                m_world.loop.after(milliseconds(0), again);
            }
        });
        m_world.loop.after(until - m_world.loop.now(), again);
    }

    /// Has no effect if the maintenance of that wave has begun before.
    void maintain(const std::string &host, std::int64_t wave)
    {
        if (m_world.maintenanceBegun.insert({wave, host}).second) {
            m_world.maintained.push_back(host);
            takeDown(host, m_world.hosts.at(host).pool);
        }
    }

    void takeDown(const std::string &host, const std::string &pool)
    {
        auto &entry = m_world.hosts.at(host);
        const auto worker = entry.worker;
        entry.state = host_state::maintenance;
        entry.pool = pool;
        if (m_world.workers.count(worker) > 0) {
            if (m_world.onTakeDown) {
                m_world.onTakeDown(m_world.workers.at(worker));
            }
            m_world.crash(worker);
            m_world.deleteItem("workers/" + worker);
        }
        m_world.loop.after(downTime, [this, host, worker, pool] {
            const bool spare = m_world.config.pools.at(pool).spare;
            auto &back = m_world.hosts.at(host);
            back.state = host_state::up;
            back.worker.clear();
            if (!spare) {
                const auto id = "w" + std::to_string(++m_world.lives);
                auto &fresh = m_world.addWorker(id, pool, back.capacity.cpuMillis);
                m_world.hosts.erase(fresh.entry.host);
                fresh.entry.host = host;
                back.worker = id;
                m_world.putItem("workers/" + id, id, 0);
            }
        });
    }

    virtual_world &m_world;
    std::map<std::string, int> m_openCalls; ///< by worker
    milliseconds m_ttl {3000};
    instant m_adviceFreeAt; ///< when the advice service has handled all calls of this process
    instant m_linkFreeAt; ///< when all answers on their way to this process have arrived
    int m_reads = 0; ///< number of times that reads of pages were cancelled
    bool m_frozen = false;
    std::vector<std::function<void()>> m_heldReplies;
};

} // namespace ibishinge::standin
