#pragma once

#include "standins/memory_kv_store.h"
#include "tests/support/manual_clock.h"
#include "tests/support/worker_double.h"

#include <ibishinge/service/control_service.h>
#include <ibishinge/state/allowance_record.h>
#include <ibishinge/state/job_record.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace ibishinge {

/// Thrown out of an external call to end a process at that point.
struct process_crash : std::runtime_error
{
    process_crash()
        : std::runtime_error("crash")
    {
    }
};

/// What happens at one external call of one process.
enum class step_fault : std::uint8_t {
    none,
    crash_before, ///< the process ends before the call takes effect
    crash_after, ///< the process ends after it
    freeze_before, ///< the process stands still for a time, then the call takes effect
    freeze_after, ///< the call takes effect, then the process stands still
    lost_call,
    lost_response,
};

/// Counts the external calls of one process and injects a fault into one of them.
class step_counter
{
public:
    std::size_t faultAt = 0; ///< counted from 1; 0: never
    step_fault fault = step_fault::none;
    std::function<void()> whileFrozen;

    [[nodiscard]] std::size_t steps() const noexcept
    {
        return m_steps;
    }

    template <class T>
    result<T> run(error_kind lost, const std::function<result<T>()> &call)
    {
        ++m_steps;
        const auto now = m_steps == faultAt ? fault : step_fault::none;
        if (now == step_fault::crash_before) {
            throw process_crash();
        }
        if (now == step_fault::freeze_before) {
            whileFrozen();
        }
        if (now == step_fault::lost_call) {
            return makeError(lost, "call", "injected");
        }
        auto answer = call();
        if (now == step_fault::crash_after) {
            throw process_crash();
        }
        if (now == step_fault::freeze_after) {
            whileFrozen();
        }
        if (now == step_fault::lost_response) {
            return makeError(lost, "call", "injected");
        }
        return answer;
    }

private:
    std::size_t m_steps = 0;
};

/// One process's way to the store.
class stepped_kv_store final : public kv_store
{
public:
    stepped_kv_store(kv_store &store, step_counter &steps)
        : m_store(store)
        , m_steps(steps)
    {
    }
    bool isCut = false; ///< no call reaches the store
    /// Called for each write that was applied.
    std::function<void(const std::string &key)> onApplied;

    result<range_result> range(const range_query &query) override
    {
        return m_steps.run<range_result>(error_kind::unavailable, [&] {
            return isCut ? result<range_result>(cutError()) : m_store.range(query);
        });
    }
    result<batch_result> applyBatch(std::span<const conditional_write> writes) override
    {
        return m_steps.run<batch_result>(error_kind::outcome_unknown, [&] {
            if (isCut) {
                return result<batch_result>(cutError());
            }
            auto written = m_store.applyBatch(writes);
            for (std::size_t i = 0; written && onApplied && i < writes.size(); ++i) {
                if (written->outcomes[i].applied) {
                    onApplied(writes[i].key);
                }
            }
            return written;
        });
    }
    result<lease_id> grantLease(std::chrono::seconds ttl) override
    {
        return m_steps.run<lease_id>(error_kind::outcome_unknown, [&] {
            return isCut ? result<lease_id>(cutError()) : m_store.grantLease(ttl);
        });
    }
    result<void> keepAlive(lease_id lease) override
    {
        return m_steps.run<void>(error_kind::outcome_unknown, [&] {
            return isCut ? result<void>(cutError()) : m_store.keepAlive(lease);
        });
    }
    result<void> revokeLease(lease_id lease) override
    {
        return m_steps.run<void>(error_kind::outcome_unknown, [&] {
            return isCut ? result<void>(cutError()) : m_store.revokeLease(lease);
        });
    }

private:
    static tl::unexpected<error> cutError()
    {
        return makeError(error_kind::unavailable, "store", "cut");
    }

    kv_store &m_store;
    step_counter &m_steps;
};

/// One process's way to the workers.
class stepped_worker_client final : public worker_client
{
public:
    stepped_worker_client(worker_client &workers, step_counter &steps)
        : m_workers(workers)
        , m_steps(steps)
    {
    }
    /// Called after each accepted start.
    std::function<void(const task_key &)> onStarted;
    std::set<std::uint16_t> cutPorts; ///< workers that this process does not reach

    result<start_reply> start(const endpoint &worker, const task_start &task,
                              std::chrono::milliseconds timeout) override
    {
        return m_steps.run<start_reply>(error_kind::target_timeout, [&] {
            auto reply = m_workers.start(worker, task, timeout);
            if (reply && reply->accepted && onStarted) {
                onStarted(task.task);
            }
            return reply;
        });
    }
    result<worker_report> renew(const endpoint &worker, const lease_renewal &renewal,
                                std::chrono::milliseconds timeout) override
    {
        return m_steps.run<worker_report>(error_kind::target_timeout, [&] {
            if (cutPorts.contains(worker.port)) {
                return result<worker_report>(
                    makeError(error_kind::unavailable, toString(worker), "cut"));
            }
            return m_workers.renew(worker, renewal, timeout);
        });
    }
    result<task_report> stop(const endpoint &worker, const task_key &task,
                             std::chrono::milliseconds timeout) override
    {
        return m_steps.run<task_report>(error_kind::target_timeout,
                                        [&] { return m_workers.stop(worker, task, timeout); });
    }
    result<task_report> checkpoint(const endpoint &worker, const task_key &task,
                                   std::chrono::milliseconds timeout) override
    {
        return m_steps.run<task_report>(error_kind::target_timeout, [&] {
            return m_workers.checkpoint(worker, task, timeout);
        });
    }
    result<task_report> throttle(const endpoint &worker, const task_key &task,
                                 const resources &reserved,
                                 std::chrono::milliseconds timeout) override
    {
        return m_steps.run<task_report>(error_kind::target_timeout, [&] {
            return m_workers.throttle(worker, task, reserved, timeout);
        });
    }
    result<worker_report> status(const endpoint &worker, const std::string &pool,
                                 std::chrono::milliseconds timeout) override
    {
        return m_steps.run<worker_report>(error_kind::target_timeout,
                                          [&] { return m_workers.status(worker, pool, timeout); });
    }

private:
    worker_client &m_workers;
    step_counter &m_steps;
};

class fixed_host_list final : public host_list
{
public:
    host_list_snapshot snapshot;
    result<host_list_snapshot> fetch(std::chrono::milliseconds) override
    {
        return snapshot;
    }
};

/// Control processes, workers and one store in virtual time.
class control_world
{
public:
    static constexpr milliseconds tickTime {1000};
    static constexpr int workerCount = 3;
    static constexpr int amberLimit = 4;

    struct process
    {
        step_counter steps;
        std::unique_ptr<stepped_kv_store> store;
        std::unique_ptr<stepped_worker_client> workers;
        std::unique_ptr<control_service> service;
    };

    explicit control_world(const pool_owner_options &options = {})
        : m_options(options)
    {
        m_options.taskLease = milliseconds(20000);
        auto configured = std::make_shared<configuration>();
        configured->revisions.catalogue = 1;
        auto &value = configured->catalogue.value;
        value.teams = {{"amber", "o", work_class::normal, 1, amberLimit},
                       {"birch", "o", work_class::normal, 1, 100}};
        queue_entry queue;
        queue.name = "batch";
        queue.pool = "general";
        queue.maxRunning = 1000;
        queue.maxWaiting = 1000;
        queue.access.teams = {"amber", "birch"};
        value.queues = {queue};
        pool_entry pool;
        pool.name = "general";
        value.pools = {pool};
        m_configuration = configured;
        for (int i = 0; i < workerCount; ++i) {
            const std::string id = "w" + std::to_string(i);
            simulated_worker_options worker;
            worker.id = id;
            worker.capacity = {8, 8192, 0};
            worker.refuseWithoutRoom = false;
            m_workers.push_back(std::make_shared<simulated_worker>(m_clock, worker));
            m_network.add(static_cast<std::uint16_t>(i + 1), m_workers.back());
            m_hosts.snapshot.hosts.push_back(
                {id,
                 "127.0.0.1",
                 "dc1",
                 "r" + std::to_string(i),
                 {{"worker", {"127.0.0.1", static_cast<std::uint16_t>(i + 1)}, 8, 64}},
                 listed_host_state::live});
            put("host/" + id,
                encodeHost({"general", "", host_state::in_service, {"r1", "dc1", "eu"}, {}}));
        }
        // The network between a worker and everyone can be cut.
        m_network.setHook([this](const std::string &, const endpoint &worker) {
            return m_cut.contains(worker.port) ? worker_call_fault::refused
                                               : worker_call_fault::none;
        });
    }

    process &add(const std::string &incarnation)
    {
        auto &made = m_processes[incarnation];
        made.store = std::make_unique<stepped_kv_store>(m_store, made.steps);
        made.workers = std::make_unique<stepped_worker_client>(m_network, made.steps);
        made.store->onApplied = [this, incarnation](const std::string &key) {
            noteApplied(incarnation, key);
        };
        made.workers->onStarted = [this](const task_key &task) { noteStarted(task); };
        control_service_options options;
        options.self = {
            incarnation, {"127.0.0.1", 9}, "host-" + incarnation, "dc1", member_role::control};
        options.owner = m_options;
        made.service = control_service::create(
            *made.store, m_clock, m_hosts, *made.workers, [this] { return m_configuration; },
            options);
        return made;
    }

    /// Runs one tick of a process; a crash removes it.
    void tick(const std::string &incarnation)
    {
        const auto found = m_processes.find(incarnation);
        if (found == m_processes.end() || m_frozen.contains(incarnation)) {
            return;
        }
        try {
            found->second.service->tick();
        } catch (const process_crash &) {
            m_processes.erase(found);
        }
    }

    /// Advances the time and runs all processes that are not frozen.
    void run(milliseconds time)
    {
        for (milliseconds passed {0}; passed < time; passed += tickTime) {
            m_clock.advance(tickTime);
            std::vector<std::string> names;
            for (const auto &[name, made] : m_processes) {
                names.push_back(name);
            }
            for (const auto &name : names) {
                tick(name);
            }
        }
    }

    /// Runs the others while `incarnation` stands still.
    void runWithout(const std::string &incarnation, milliseconds time)
    {
        m_frozen.insert(incarnation);
        run(time);
        m_frozen.erase(incarnation);
    }

    void submit(const std::string &id, const std::string &team, bool repeatable, int runMs,
                work_class workClass = work_class::normal, bool fails = false)
    {
        job_record record;
        record.id = id;
        record.queue = "batch";
        record.team = team;
        record.repeatable = repeatable;
        record.workClass = workClass;
        record.declared = {3, 1000, 0};
        record.payload = nlohmann::json {{"run_ms", runMs}, {"fails", fails}}.dump();
        record.submittedAt = m_clock.wallNow();
        put(jobNoteKey("general", job_note::submitted, "batch/" + id),
            std::to_string(sinceEpoch(m_clock.wallNow()).count()));
        put(jobKey("general", "batch/" + id), encodeJobRecord(record));
        m_submitted.push_back(id);
    }
    void cancel(const std::string &id)
    {
        put(jobNoteKey("general", job_note::cancel, "batch/" + id), "{}");
    }

    [[nodiscard]] std::optional<job_record> record(const std::string &id)
    {
        const auto read = m_store.range({jobKey("general", "batch/" + id), false, false});
        if (!read || read->entries.empty()) {
            return std::nullopt;
        }
        auto decoded = decodeJobRecord(read->entries.front().value);
        return decoded ? std::optional(*decoded) : std::nullopt;
    }

    [[nodiscard]] std::vector<task_run> runs()
    {
        std::vector<task_run> all;
        for (const auto &worker : m_workers) {
            const auto some = worker->runs();
            all.insert(all.end(), some.begin(), some.end());
        }
        std::sort(all.begin(), all.end(),
                  [](const auto &a, const auto &b) { return a.start < b.start; });
        return all;
    }

    /// Returns the first broken property, as seen by the workers and in the store; "" if none is.
    [[nodiscard]] std::string violation(bool settled)
    {
        if (!m_staleAct.empty()) {
            return m_staleAct;
        }
        for (const auto &worker : m_workers) {
            if (!fits(worker->highest(), worker->options().capacity)) {
                return worker->options().id + " ran more than its size";
            }
        }
        if (auto broken = brokenRuns(); !broken.empty()) {
            return broken;
        }
        if (auto broken = brokenHistory(); !broken.empty()) {
            return broken;
        }
        for (const auto &id : m_submitted) {
            const auto found = record(id);
            if (!found) {
                return id + " has no record";
            }
            if (settled && !isFinal(found->state)) {
                return id + " is still " + std::string(nameOf(found->state));
            }
            if (found->state == job_state::lost && found->repeatable) {
                return id + " is repeatable and was lost";
            }
        }
        return {};
    }

    [[nodiscard]] manual_clock &clock()
    {
        return m_clock;
    }
    [[nodiscard]] memory_kv_store &store()
    {
        return m_store;
    }
    [[nodiscard]] simulated_worker &worker(std::size_t index)
    {
        return *m_workers[index];
    }
    [[nodiscard]] bool has(const std::string &incarnation) const
    {
        return m_processes.contains(incarnation);
    }
    [[nodiscard]] process &at(const std::string &incarnation)
    {
        return m_processes.at(incarnation);
    }
    [[nodiscard]] fixed_host_list &hosts()
    {
        return m_hosts;
    }
    void remove(const std::string &incarnation)
    {
        m_processes.erase(incarnation);
    }
    void setCut(std::size_t worker, bool isCut)
    {
        const auto port = static_cast<std::uint16_t>(worker + 1);
        if (isCut) {
            m_cut.insert(port);
        } else {
            m_cut.erase(port);
        }
    }

private:
    store_revision put(const std::string &key, const std::string &value)
    {
        const std::array<conditional_write, 1> write {{{key, {}, {}, value, 0}}};
        return m_store.applyBatch(write)->outcomes.at(0).modRevision;
    }

    /// An attempt may only start while its record says so: a start after the pool's owner has gone
    /// on to another attempt or state is one of a stale owner. A repeatable job whose result was
    /// lost with its worker may run again; one whose record is final may not.
    void noteStarted(const task_key &task)
    {
        const auto found = record(task.job.substr(task.job.find('/') + 1));
        const bool isCurrent = found && found->attempt == task.attempt && isActive(found->state);
        if (!isCurrent && m_staleAct.empty()) {
            m_staleAct = task.job + " was started after its record had moved on";
        }
    }

    /// Records may only be changed by the process that owns the pool at that moment.
    void noteApplied(const std::string &incarnation, const std::string &key)
    {
        if (!key.starts_with(jobPrefix) || !m_staleAct.empty()) {
            return;
        }
        const auto read = m_store.range({"owner/general", false, false});
        if (!read || read->entries.empty() || read->entries.front().value != incarnation) {
            m_staleAct = key + " was changed by a stale owner";
        }
    }

    [[nodiscard]] std::string brokenRuns()
    {
        std::map<std::string, std::vector<task_run>> byJob;
        std::vector<std::pair<wall_time, int>> amber;
        const auto now = m_clock.wallNow();
        for (const auto &run : runs()) {
            byJob[run.task.job].push_back(run);
            if (run.team == "amber") {
                amber.emplace_back(run.start, 1);
                amber.emplace_back(run.how.empty() ? now : run.end, -1);
            }
        }
        for (const auto &[job, some] : byJob) {
            const auto found = record(job.substr(job.find('/') + 1));
            if (found && !found->repeatable && some.size() > 1) {
                return job + " is not repeatable and ran twice";
            }
            for (std::size_t i = 1; i < some.size(); ++i) {
                if (some[i - 1].how.empty() || some[i - 1].end > some[i].start) {
                    return job + " had two attempts running at once";
                }
            }
        }
        std::sort(amber.begin(), amber.end());
        int running = 0;
        for (const auto &[time, change] : amber) {
            running += change;
            if (running > amberLimit) {
                return "amber had more running than its limit";
            }
        }
        return {};
    }

    /// Checks the changes since the last call.
    [[nodiscard]] std::string brokenHistory()
    {
        for (const auto &change : m_store.historyFrom(m_checkedRevision + 1).first) {
            m_checkedRevision = change.revision;
            if (!change.key.starts_with(jobPrefix) || !change.value) {
                continue;
            }
            const auto changed = decodeJobRecord(*change.value);
            if (!changed) {
                return change.key + " is malformed";
            }
            const auto before = m_lastStates.find(change.key);
            if (before != m_lastStates.end() && isFinal(before->second)
                && changed->state != before->second) {
                return change.key + " left the final state " + std::string(nameOf(before->second));
            }
            m_lastStates[change.key] = changed->state;
        }
        return {};
    }

    pool_owner_options m_options;
    manual_clock m_clock;
    memory_kv_store m_store {m_clock};
    std::shared_ptr<const configuration> m_configuration;
    std::vector<std::shared_ptr<simulated_worker>> m_workers;
    worker_double m_network;
    fixed_host_list m_hosts;
    std::set<std::uint16_t> m_cut;
    std::map<std::string, process> m_processes;
    std::set<std::string> m_frozen;
    std::vector<std::string> m_submitted;
    std::string m_staleAct;
    store_revision m_checkedRevision = 0;
    std::map<std::string, job_state> m_lastStates;
};

} // namespace ibishinge
