#pragma once

#include <ibishinge/outside/worker_client.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ibishinge {

struct simulated_worker_options
{
    std::string id = "worker";
    resources capacity {32, 131072, 0};
    milliseconds usageLag {10000}; ///< a task's use is reported this long after its start
    milliseconds checkpointTime {500};
    milliseconds defaultRun {1000}; ///< of a task whose payload does not say
    /// Off: starts that do not fit are accepted, so that a test sees who sent too many.
    bool refuseWithoutRoom = true;
};

enum class worker_fault : std::uint8_t {
    none,
    fail_all, ///< every task fails shortly after its start
};

/// One run of a task, for audits.
struct task_run
{
    task_key task;
    std::string team;
    resources reserved; ///< at the start
    wall_time start;
    wall_time end; ///< 0 while it runs
    std::string how; ///< how it ended; "" while it runs
    std::string resumedFrom; ///< checkpoint; "" if it began anew
};

/// The behaviour of a worker, in memory and by the clock that is passed in. Used by the stand-in
/// process and by tests. Thread-safe.
///
/// A task's payload may be a JSON object with `run_ms`, `fails` (after that time) and `use` (a
/// resources object). Checkpoints are the run time done so far, as text.
class simulated_worker
{
public:
    /// Precondition: `clock` outlives the worker.
    simulated_worker(const clock_source &clock, simulated_worker_options options)
        : m_clock(clock)
        , m_options(std::move(options))
    {
    }

    start_reply start(const task_start &request)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = settle();
        if (request.workerIncarnation != incarnation()) {
            return {false, "restarted"};
        }
        if (m_marks.contains(request.task)) {
            return {false, "stopped"};
        }
        if (const auto found = m_tasks.find(request.task); found != m_tasks.end()) {
            return {true, ""};
        }
        if (now >= request.notAfter || now >= request.leaseUntil) {
            return {false, "late"};
        }
        if (m_leaving) {
            return {false, "leaving"};
        }
        resources total = reserved();
        total += request.reserved;
        if (m_options.refuseWithoutRoom && !fits(total, m_options.capacity)) {
            return {false, "no_room"};
        }
        m_highest = {std::max(m_highest.processors, total.processors),
                     std::max(m_highest.memoryMb, total.memoryMb),
                     std::max(m_highest.accelerators, total.accelerators)};
        begin(request, now);
        return {true, ""};
    }

    worker_report renew(const lease_renewal &renewal)
    {
        const std::lock_guard lock(m_mutex);
        settle();
        for (const auto &key : renewal.tasks) {
            const auto found = m_tasks.find(key);
            if (found != m_tasks.end() && !hasEnded(found->second.phase)) {
                found->second.leaseUntil = std::max(found->second.leaseUntil, renewal.leaseUntil);
            }
        }
        for (const auto &key : renewal.forget) {
            const auto found = m_tasks.find(key);
            if (found != m_tasks.end() && hasEnded(found->second.phase)) {
                m_marks.insert(key); // A late start of a forgotten attempt must not run it again.
                m_tasks.erase(found);
            }
        }
        return report(renewal.pool);
    }

    task_report stop(const task_key &key)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = settle();
        const auto found = m_tasks.find(key);
        if (found == m_tasks.end()) {
            // A mark of a forgotten attempt does not say that it never began.
            const bool isForgotten = m_marks.contains(key) && !m_neverBegan.contains(key);
            m_marks.insert(key);
            if (!isForgotten) {
                m_neverBegan.insert(key);
            }
            task_report report;
            report.task = key;
            report.phase = isForgotten ? task_phase::stopped : task_phase::never_began;
            return report;
        }
        if (!hasEnded(found->second.phase)) {
            end(found->second, task_phase::stopped, now);
        }
        return reportOf(key, found->second);
    }

    /// Returns nothing for a task that does not run here.
    std::optional<task_report> checkpoint(const task_key &key)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = settle();
        const auto found = m_tasks.find(key);
        if (found == m_tasks.end()) {
            return std::nullopt;
        }
        if (found->second.phase == task_phase::running) {
            found->second.phase = task_phase::checkpointing;
            found->second.checkpointAt = now + m_options.checkpointTime;
        }
        return reportOf(key, found->second);
    }

    /// Returns nothing for a task that does not run here or if there is no room.
    std::optional<task_report> throttle(const task_key &key, const resources &amount)
    {
        const std::lock_guard lock(m_mutex);
        settle();
        const auto found = m_tasks.find(key);
        if (found == m_tasks.end() || hasEnded(found->second.phase)) {
            return std::nullopt;
        }
        resources total = reserved();
        total -= found->second.request.reserved;
        total += amount;
        if (m_options.refuseWithoutRoom && !fits(total, m_options.capacity)) {
            return std::nullopt;
        }
        found->second.request.reserved = amount;
        return reportOf(key, found->second);
    }

    worker_report status(const std::string &pool)
    {
        const std::lock_guard lock(m_mutex);
        settle();
        return report(pool);
    }

    /// The process ends at once and a new one starts; its tasks end with it.
    void restart()
    {
        const std::lock_guard lock(m_mutex);
        const auto now = settle();
        for (auto &[key, task] : m_tasks) {
            if (!hasEnded(task.phase)) {
                m_runs[task.run].end = now;
                m_runs[task.run].how = "died";
            }
        }
        m_tasks.clear();
        m_marks.clear();
        m_neverBegan.clear();
        m_leaving = false;
        ++m_restarts;
    }

    /// Refuses new tasks and asks the repeatable ones to checkpoint. Returns the number of tasks
    /// that still run.
    std::size_t leave()
    {
        const std::lock_guard lock(m_mutex);
        const auto now = settle();
        m_leaving = true;
        std::size_t left = 0;
        for (auto &[key, task] : m_tasks) {
            if (task.phase == task_phase::running && task.request.repeatable) {
                task.phase = task_phase::checkpointing;
                task.checkpointAt = now + m_options.checkpointTime;
            }
            left += hasEnded(task.phase) ? 0 : 1;
        }
        return left;
    }

    void setFault(worker_fault fault)
    {
        const std::lock_guard lock(m_mutex);
        m_fault = fault;
    }

    [[nodiscard]] std::vector<task_run> runs()
    {
        const std::lock_guard lock(m_mutex);
        settle();
        return m_runs;
    }
    /// Returns the highest reserved amounts so far.
    [[nodiscard]] resources highest() const
    {
        const std::lock_guard lock(m_mutex);
        return m_highest;
    }
    [[nodiscard]] const simulated_worker_options &options() const noexcept
    {
        return m_options;
    }

private:
    struct task_state
    {
        task_start request;
        resources full; ///< reservation without throttling
        resources use;
        milliseconds runTime {0};
        bool fails = false;
        task_phase phase = task_phase::running;
        double doneMs = 0; ///< progress, slower while throttled
        wall_time startedAt;
        wall_time settledAt;
        wall_time leaseUntil;
        wall_time checkpointAt; ///< when its checkpoint is complete
        std::string checkpoint;
        std::size_t run = 0; ///< index in m_runs
    };

    std::string incarnation() const
    {
        return m_options.id + "-" + std::to_string(m_restarts);
    }

    resources reserved() const
    {
        resources sum;
        for (const auto &[key, task] : m_tasks) {
            if (!hasEnded(task.phase)) {
                sum += task.request.reserved;
            }
        }
        return sum;
    }

    void begin(const task_start &request, wall_time now)
    {
        task_state task;
        task.request = request;
        task.full = request.reserved;
        task.use = request.reserved;
        task.runTime = m_options.defaultRun;
        const auto payload = nlohmann::json::parse(request.payload, nullptr, false);
        if (payload.is_object()) {
            task.runTime = milliseconds(payload.value("run_ms", task.runTime.count()));
            task.fails = payload.value("fails", false);
            if (payload.contains("use")) {
                const auto &use = payload["use"];
                task.use = {use.value("processors", task.use.processors),
                            use.value("memory_mb", task.use.memoryMb),
                            use.value("accelerators", task.use.accelerators)};
            }
        }
        if (m_fault == worker_fault::fail_all) {
            task.fails = true;
            task.runTime = milliseconds(50);
        }
        task.startedAt = now;
        task.settledAt = now;
        task.leaseUntil = request.leaseUntil;
        task.checkpoint = request.checkpoint;
        task.doneMs = request.checkpoint.empty() ? 0 : std::stod(request.checkpoint);
        task.run = m_runs.size();
        m_runs.push_back(
            {request.task, request.team, request.reserved, now, {}, "", request.checkpoint});
        m_tasks[request.task] = std::move(task);
    }

    void end(task_state &task, task_phase phase, wall_time at)
    {
        task.phase = phase;
        auto &run = m_runs[task.run];
        run.end = at;
        run.how = nameOf(phase);
    }

    /// Brings all tasks up to the present time and returns it.
    wall_time settle()
    {
        const auto now = m_clock.wallNow();
        for (auto &[key, task] : m_tasks) {
            if (!hasEnded(task.phase)) {
                settleOne(task, now);
            }
        }
        return now;
    }

    void settleOne(task_state &task, wall_time now)
    {
        const auto until = std::max(task.settledAt, std::min(now, task.leaseUntil));
        const double full = static_cast<double>(std::max<std::int64_t>(1, task.full.processors));
        const double speed =
            std::min(1.0, static_cast<double>(task.request.reserved.processors) / full);
        const double rate = task.full.processors == 0 ? 1.0 : std::max(0.01, speed);
        const std::chrono::duration<double, std::milli> passed = until - task.settledAt;
        const auto total = static_cast<double>(task.runTime.count());
        const double left = (total - task.doneMs) / rate;
        if (passed.count() >= left) {
            const auto at = task.settledAt + milliseconds(static_cast<std::int64_t>(left));
            end(task, task.fails ? task_phase::failed : task_phase::done, at);
            return;
        }
        task.doneMs += passed.count() * rate;
        task.settledAt = until;
        if (task.phase == task_phase::checkpointing && until >= task.checkpointAt) {
            task.checkpoint = std::to_string(static_cast<std::int64_t>(task.doneMs));
            end(task, task_phase::checkpointed, until);
        } else if (now >= task.leaseUntil) {
            end(task, task_phase::expired, until);
        }
    }

    task_report reportOf(const task_key &key, const task_state &task) const
    {
        task_report report;
        report.task = key;
        report.phase = task.phase;
        report.reserved = task.request.reserved;
        const auto end = hasEnded(task.phase) ? m_runs[task.run].end : m_clock.wallNow();
        report.ran = std::chrono::duration_cast<milliseconds>(end - task.startedAt);
        if (report.ran >= m_options.usageLag) {
            report.used = task.use;
        }
        report.checkpoint = task.checkpoint;
        report.reason = task.phase == task_phase::failed ? "exit status 1" : "";
        return report;
    }

    worker_report report(const std::string &pool) const
    {
        worker_report report;
        report.incarnation = incarnation();
        report.capacity = m_options.capacity;
        report.leaving = m_leaving;
        for (const auto &[key, task] : m_tasks) {
            if (key.pool == pool) {
                report.tasks.push_back(reportOf(key, task));
            } else if (!hasEnded(task.phase)) {
                report.others += task.request.reserved;
            }
        }
        return report;
    }

    const clock_source &m_clock;
    const simulated_worker_options m_options;
    mutable std::mutex m_mutex;
    std::map<task_key, task_state> m_tasks;
    std::set<task_key> m_marks; ///< attempts that must not start any more
    std::set<task_key> m_neverBegan; ///< those of them that were stopped before they began
    std::vector<task_run> m_runs;
    resources m_highest;
    worker_fault m_fault = worker_fault::none;
    bool m_leaving = false;
    int m_restarts = 0;
};

} // namespace ibishinge
