#pragma once

#include "standins/simulated_worker.h"

#include <ibishinge/outside/worker_client.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace ibishinge {

enum class worker_call_fault : std::uint8_t {
    none,
    refused, ///< nothing listens: no effect, and the caller knows
    lost_call, ///< no effect, but the caller cannot know
    lost_response, ///< takes effect, but the caller cannot know
};

/// Workers in memory behind the interface `worker_client`, by port.
class worker_double final : public worker_client
{
public:
    using fault_hook =
        std::function<worker_call_fault(const std::string &call, const endpoint &worker)>;

    void add(std::uint16_t port, std::shared_ptr<simulated_worker> worker)
    {
        m_workers[port] = std::move(worker);
    }
    /// Called before each call, whose effect follows.
    void setHook(fault_hook hook)
    {
        m_hook = std::move(hook);
    }

    result<start_reply> start(const endpoint &worker, const task_start &task,
                              std::chrono::milliseconds) override
    {
        return call<start_reply>("start", worker,
                                 [&](auto &w) { return result<start_reply>(w.start(task)); });
    }
    result<worker_report> renew(const endpoint &worker, const lease_renewal &renewal,
                                std::chrono::milliseconds) override
    {
        return call<worker_report>(
            "renew", worker, [&](auto &w) { return result<worker_report>(w.renew(renewal)); });
    }
    result<task_report> stop(const endpoint &worker, const task_key &task,
                             std::chrono::milliseconds) override
    {
        return call<task_report>("stop", worker,
                                 [&](auto &w) { return result<task_report>(w.stop(task)); });
    }
    result<task_report> checkpoint(const endpoint &worker, const task_key &task,
                                   std::chrono::milliseconds) override
    {
        return call<task_report>("checkpoint", worker,
                                 [&](auto &w) { return orConflict(w.checkpoint(task)); });
    }
    result<task_report> throttle(const endpoint &worker, const task_key &task,
                                 const resources &reserved, std::chrono::milliseconds) override
    {
        return call<task_report>("throttle", worker,
                                 [&](auto &w) { return orConflict(w.throttle(task, reserved)); });
    }
    result<worker_report> status(const endpoint &worker, const std::string &pool,
                                 std::chrono::milliseconds) override
    {
        return call<worker_report>("status", worker,
                                   [&](auto &w) { return result<worker_report>(w.status(pool)); });
    }

private:
    static result<task_report> orConflict(const std::optional<task_report> &report)
    {
        return report ? result<task_report>(*report)
                      : makeError(error_kind::conflict, "worker", "no such task, or no room");
    }

    template <class T, class Act>
    result<T> call(const std::string &name, const endpoint &worker, const Act &act)
    {
        const auto fault = m_hook ? m_hook(name, worker) : worker_call_fault::none;
        const auto found = m_workers.find(worker.port);
        if (fault == worker_call_fault::refused || found == m_workers.end()) {
            return makeError(error_kind::unavailable, toString(worker), "refused");
        }
        if (fault == worker_call_fault::lost_call) {
            return makeError(error_kind::target_timeout, toString(worker), "no answer");
        }
        auto answer = act(*found->second);
        if (fault == worker_call_fault::lost_response) {
            return makeError(error_kind::target_timeout, toString(worker), "no answer");
        }
        return answer;
    }

    std::map<std::uint16_t, std::shared_ptr<simulated_worker>> m_workers;
    fault_hook m_hook;
};

} // namespace ibishinge
