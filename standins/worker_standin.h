#pragma once

#include "simulated_worker.h"

#include <ibishinge/outside/http_message.h>
#include <ibishinge/outside/http_worker_client.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <utility>

namespace ibishinge {

/// Serves `simulated_worker` by the protocol of `http_worker_client`, with faults and a log.
/// Thread-safe.
///
/// - `POST /admin/fault` with `{"mode": "none|fail_all|stall|die"}`. `stall` leaves calls without
///   an answer until the fault is changed; `die` ends the process at once.
/// - `GET /admin/log` returns each run of a task.
class worker_standin
{
public:
    /// `die` ends the process. Precondition: `clock` outlives the stand-in.
    worker_standin(const clock_source &clock, simulated_worker_options options,
                   std::function<void()> die)
        : m_worker(clock, std::move(options))
        , m_die(std::move(die))
    {
    }

    http_response handle(const http_request &request)
    {
        if (request.path == "/admin/log") {
            return jsonResponse(200, log().dump());
        }
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        if (request.method != "POST" || !body.is_object()) {
            return jsonResponse(400, R"({"error":"expected POST with a JSON object"})");
        }
        if (request.path == "/admin/fault") {
            return setFault(body);
        }
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] { return !m_stalled; });
        }
        return serve(request.path, body);
    }

    /// Ends stalled calls, refuses new tasks and checkpoints the running ones.
    std::size_t leave()
    {
        setStalled(false);
        return m_worker.leave();
    }

    [[nodiscard]] nlohmann::json log()
    {
        auto runs = nlohmann::json::array();
        for (const auto &run : m_worker.runs()) {
            runs.push_back({{"job", run.task.job},
                            {"pool", run.task.pool},
                            {"attempt", run.task.attempt},
                            {"team", run.team},
                            {"reserved", toJson(run.reserved)},
                            {"start_ms", sinceEpoch(run.start).count()},
                            {"end_ms", sinceEpoch(run.end).count()},
                            {"ended", run.how},
                            {"resumed_from", run.resumedFrom}});
        }
        return {{"runs", std::move(runs)}, {"highest", toJson(m_worker.highest())}};
    }

private:
    http_response setFault(const nlohmann::json &body)
    {
        const auto mode = body.value("mode", "");
        if (mode != "none" && mode != "fail_all" && mode != "stall" && mode != "die") {
            return jsonResponse(400, R"({"error":"mode: expected none, fail_all, stall or die"})");
        }
        if (mode == "die") {
            m_die();
        }
        m_worker.setFault(mode == "fail_all" ? worker_fault::fail_all : worker_fault::none);
        setStalled(mode == "stall");
        return jsonResponse(200, "{}");
    }

    void setStalled(bool stalled)
    {
        const std::lock_guard lock(m_mutex);
        m_stalled = stalled;
        m_changed.notify_all();
    }

    template <class T>
    static http_response answer(const std::optional<T> &value)
    {
        return value ? jsonResponse(200, toJson(*value).dump())
                     : jsonResponse(409, R"({"error":"no such task, or no room"})");
    }

    http_response serve(const std::string &path, const nlohmann::json &body)
    {
        static const http_response malformed = jsonResponse(400, R"({"error":"malformed"})");
        if (path == "/v1/start") {
            const auto task = readTaskStart(body);
            if (!task) {
                return malformed;
            }
            const auto reply = m_worker.start(*task);
            return jsonResponse(
                200,
                nlohmann::json {{"accepted", reply.accepted}, {"reason", reply.reason}}.dump());
        }
        if (path == "/v1/renew") {
            const auto renewal = readLeaseRenewal(body);
            return renewal ? jsonResponse(200, toJson(m_worker.renew(*renewal)).dump()) : malformed;
        }
        if (path == "/v1/status") {
            return jsonResponse(200, toJson(m_worker.status(body.value("pool", ""))).dump());
        }
        const auto task = readTaskKey(body.value("task", nlohmann::json()));
        if (!task) {
            return malformed;
        }
        if (path == "/v1/stop") {
            return jsonResponse(200, toJson(m_worker.stop(*task)).dump());
        }
        if (path == "/v1/checkpoint") {
            return answer(m_worker.checkpoint(*task));
        }
        if (path == "/v1/throttle") {
            const auto reserved = readResources(body.value("reserved", nlohmann::json()));
            return reserved ? answer(m_worker.throttle(*task, *reserved)) : malformed;
        }
        return jsonResponse(404, R"({"error":"no such resource"})");
    }

    simulated_worker m_worker;
    std::function<void()> m_die;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stalled = false;
};

} // namespace ibishinge
