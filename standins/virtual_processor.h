#pragma once

#include "standins/virtual_loop.h"

#include <ibishinge/fleet/platform_api.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace ibishinge::standin {

using namespace ibishinge::fleet;

/// The processor of one process in virtual time. Callbacks of the process run one after another, in
/// the order in which they fall due, and each takes `callbackCost`; a call that it makes takes
/// `callCost`. What falls due meanwhile waits. Without costs, everything runs at once.
class virtual_processor final : public scheduler
{
public:
    explicit virtual_processor(virtual_loop &loop)
        : m_loop(loop)
    {
    }

    /// Time of the loop, and what the callback that runs has used so far.
    [[nodiscard]] instant now() const override
    {
        return m_loop.now() + inMilliseconds(m_used);
    }
    [[nodiscard]] std::int64_t wallMs() const override
    {
        return m_loop.wallMs() + inMilliseconds(m_used).count();
    }
    void after(std::chrono::milliseconds delay, std::function<void()> function) override
    {
        m_loop.after(inMilliseconds(m_used) + delay,
                     [this, function = std::move(function)] { execute(function); });
    }

    /// Runs a callback of the process once the processor is free.
    void execute(std::function<void()> callback)
    {
        const bool free = callbackCost.count() == 0 && callCost.count() == 0;
        if (m_waiting.empty() && (free || (!m_running && m_freeAt <= m_loop.now()))) {
            run(callback);
            return;
        }
        m_waiting.push_back(std::move(callback));
        wakeWhenFree();
    }

    /// Makes a call of the process to the outside, which leaves it once its cost has been paid.
    void call(std::function<void()> function)
    {
        if (!m_running) {
            function();
            return;
        }
        m_used += callCost;
        if (m_used.count() == 0) {
            function();
        } else {
            m_loop.after(inMilliseconds(m_used), std::move(function));
        }
    }

    std::chrono::microseconds callbackCost {0};
    std::chrono::microseconds callCost {0};

private:
    static std::chrono::milliseconds inMilliseconds(std::chrono::microseconds time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time);
    }

    void run(const std::function<void()> &callback)
    {
        const bool nested = std::exchange(m_running, true);
        m_used += callbackCost;
        callback();
        if (nested) {
            return;
        }
        m_running = false;
        // Parts of a millisecond are carried over to the next callback.
        const auto whole = inMilliseconds(m_used);
        m_freeAt = m_loop.now() + whole;
        m_used -= whole;
        if (!m_waiting.empty()) {
            wakeWhenFree();
        }
    }

    void wakeWhenFree()
    {
        if (m_wakeScheduled || m_running) {
            return;
        }
        m_wakeScheduled = true;
        m_loop.after(std::max(m_freeAt - m_loop.now(), std::chrono::milliseconds(0)), [this] {
            m_wakeScheduled = false;
            while (!m_waiting.empty() && m_freeAt <= m_loop.now()) {
                const auto callback = std::move(m_waiting.front());
                m_waiting.pop_front();
                run(callback);
            }
        });
    }

    virtual_loop &m_loop;
    instant m_freeAt;
    std::chrono::microseconds m_used {0};
    bool m_running = false;
    bool m_wakeScheduled = false;
    std::deque<std::function<void()>> m_waiting;
};

/// The platform as a process with a slow processor uses it: calls and their answers are charged to
/// the processor.
class charged_platform final : public platform_api
{
public:
    charged_platform(platform_api &platform, virtual_processor &processor)
        : m_platform(platform)
        , m_processor(processor)
    {
    }

    void readItem(const std::string &key, reply<store_item> done) override
    {
        m_processor.call([=, this] { m_platform.readItem(key, charged(done)); });
    }
    void readRange(const std::string &prefix, const std::string &after,
                   reply<store_page> done) override
    {
        m_processor.call([=, this] { m_platform.readRange(prefix, after, charged(done)); });
    }
    void cancelPageReads() override
    {
        m_platform.cancelPageReads();
    }
    void watch(const std::string &prefix, std::int64_t revision, milliseconds wait,
               reply<store_page> done) override
    {
        m_processor.call([=, this] { m_platform.watch(prefix, revision, wait, charged(done)); });
    }
    void commit(const store_transaction &change, reply<transaction_reply> done) override
    {
        m_processor.call([=, this] { m_platform.commit(change, charged(done)); });
    }
    void grantLease(milliseconds ttl, reply<store_lease> done) override
    {
        m_processor.call([=, this] { m_platform.grantLease(ttl, charged(done)); });
    }
    void renewLease(std::int64_t lease, reply<store_lease> done) override
    {
        m_processor.call([=, this] { m_platform.renewLease(lease, charged(done)); });
    }
    void endLease(std::int64_t lease, reply<void> done) override
    {
        m_processor.call([=, this] { m_platform.endLease(lease, charged(done)); });
    }
    void requestTickets(const std::string &job, int occurrence, int step,
                        const std::vector<std::string> &workers, reply<ticket_reply> done) override
    {
        m_processor.call([=, this] {
            m_platform.requestTickets(job, occurrence, step, workers, charged(done));
        });
    }
    void listHosts(reply<std::vector<host_entry>> done) override
    {
        m_processor.call([=, this] { m_platform.listHosts(charged(done)); });
    }
    void moveHost(const std::string &host, const std::string &pool, std::int64_t fencingToken,
                  reply<host_order_outcome> done) override
    {
        m_processor.call(
            [=, this] { m_platform.moveHost(host, pool, fencingToken, charged(done)); });
    }
    void maintainHost(const std::string &host, std::int64_t wave, std::int64_t fencingToken,
                      reply<host_order_outcome> done) override
    {
        m_processor.call(
            [=, this] { m_platform.maintainHost(host, wave, fencingToken, charged(done)); });
    }
    void startRun(const worker_entry &worker, const run_order &order,
                  reply<run_command_reply> done) override
    {
        m_processor.call([=, this] { m_platform.startRun(worker, order, charged(done)); });
    }
    void stopRun(const worker_entry &worker, const task_name &task, std::int64_t run,
                 std::int64_t fencingToken, reply<run_command_reply> done) override
    {
        m_processor.call(
            [=, this] { m_platform.stopRun(worker, task, run, fencingToken, charged(done)); });
    }
    void throttleRun(const worker_entry &worker, const task_name &task, std::int64_t run,
                     int percent, std::int64_t fencingToken, reply<run_command_reply> done) override
    {
        m_processor.call([=, this] {
            m_platform.throttleRun(worker, task, run, percent, fencingToken, charged(done));
        });
    }
    void poll(const worker_entry &worker, const poll_request &order,
              reply<worker_report> done) override
    {
        m_processor.call([=, this] { m_platform.poll(worker, order, charged(done)); });
    }

    [[nodiscard]] std::optional<worker_entry> decodeWorker(const store_item &item) const override
    {
        return m_platform.decodeWorker(item);
    }
    [[nodiscard]] result<configuration> decodeConfiguration(const store_item &item) const override
    {
        return m_platform.decodeConfiguration(item);
    }
    [[nodiscard]] result<maintenance_wave> decodeWave(const store_item &item) const override
    {
        return m_platform.decodeWave(item);
    }
    [[nodiscard]] store_put encodeWaveStatus(std::int64_t wave, bool completed) const override
    {
        return m_platform.encodeWaveStatus(wave, completed);
    }
    [[nodiscard]] result<std::string> decodeEvacuation(const store_item &item) const override
    {
        return m_platform.decodeEvacuation(item);
    }
    [[nodiscard]] std::string configurationKey() const override
    {
        return m_platform.configurationKey();
    }
    [[nodiscard]] std::string workerPrefix() const override
    {
        return m_platform.workerPrefix();
    }
    [[nodiscard]] std::string wavePrefix() const override
    {
        return m_platform.wavePrefix();
    }
    [[nodiscard]] std::string evacuationPrefix() const override
    {
        return m_platform.evacuationPrefix();
    }

private:
    template <class T>
    reply<T> charged(const reply<T> &done)
    {
        return [this, done](const result<T> &value) {
            m_processor.execute([done, value] { done(value); });
        };
    }

    platform_api &m_platform;
    virtual_processor &m_processor;
};

} // namespace ibishinge::standin
