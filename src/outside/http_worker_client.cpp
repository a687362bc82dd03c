#include <ibishinge/outside/http_worker_client.h>

#include <algorithm>
#include <array>

namespace ibishinge {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 8> phaseNames {"running", "checkpointing", "done",
                                                      "failed",  "checkpointed",  "stopped",
                                                      "expired", "never_began"};

std::int64_t toMs(wall_time time)
{
    return sinceEpoch(time).count();
}

wall_time fromMs(const json &value)
{
    return wall_time {} + milliseconds(value.get<std::int64_t>());
}

/// Returns what `read` returns, or nothing if a member is missing or of another type.
template <class Reader>
auto guarded(const Reader &read) -> std::optional<decltype(read())>
{
    try {
        return read();
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

// These throw json::exception for a missing or mistyped member.

resources resourcesFrom(const json &from)
{
    return {from.at("processors").get<std::int64_t>(), from.at("memory_mb").get<std::int64_t>(),
            from.at("accelerators").get<std::int64_t>()};
}

task_key taskKeyFrom(const json &from)
{
    return {from.at("pool").get<std::string>(), from.at("job").get<std::string>(),
            from.at("attempt").get<int>()};
}

std::vector<task_key> taskKeysFrom(const json &from)
{
    std::vector<task_key> keys;
    for (const auto &item : from.get_ref<const json::array_t &>()) {
        keys.push_back(taskKeyFrom(item));
    }
    return keys;
}

task_phase phaseFrom(const json &from)
{
    const auto name = from.get<std::string>();
    const auto *const found = std::find(phaseNames.begin(), phaseNames.end(), name);
    if (found == phaseNames.end()) {
        throw json::other_error::create(501, "unknown phase " + name, &from);
    }
    return static_cast<task_phase>(found - phaseNames.begin());
}

task_report taskReportFrom(const json &from)
{
    task_report report {taskKeyFrom(from.at("task")),
                        phaseFrom(from.at("phase")),
                        resourcesFrom(from.at("reserved")),
                        {},
                        milliseconds(from.at("ran_ms").get<std::int64_t>()),
                        from.at("checkpoint").get<std::string>(),
                        from.at("reason").get<std::string>()};
    if (from.contains("used")) {
        report.used = resourcesFrom(from.at("used"));
    }
    return report;
}

json toJson(const std::vector<task_key> &keys)
{
    json array = json::array();
    for (const auto &key : keys) {
        array.push_back(ibishinge::toJson(key));
    }
    return array;
}

class http_worker_client final : public worker_client
{
public:
    explicit http_worker_client(http_client &client)
        : m_client(client)
    {
    }

    result<start_reply> start(const endpoint &worker, const task_start &task,
                              std::chrono::milliseconds timeout) override
    {
        // On a fresh connection nothing is sent twice, so that a refusal is final.
        const auto answer =
            call(worker, "/v1/start", ibishinge::toJson(task), timeout, connection_use::fresh);
        if (!answer) {
            return tl::unexpected(answer.error());
        }
        const auto reply = guarded([&] {
            return start_reply {answer->at("accepted").get<bool>(),
                                answer->at("reason").get<std::string>()};
        });
        return reply ? result<start_reply>(*reply) : malformed(worker);
    }

    result<worker_report> renew(const endpoint &worker, const lease_renewal &renewal,
                                std::chrono::milliseconds timeout) override
    {
        return report(worker, "/v1/renew", ibishinge::toJson(renewal), timeout);
    }

    result<task_report> stop(const endpoint &worker, const task_key &task,
                             std::chrono::milliseconds timeout) override
    {
        return taskCall(worker, "/v1/stop", {{"task", ibishinge::toJson(task)}}, timeout);
    }

    result<task_report> checkpoint(const endpoint &worker, const task_key &task,
                                   std::chrono::milliseconds timeout) override
    {
        return taskCall(worker, "/v1/checkpoint", {{"task", ibishinge::toJson(task)}}, timeout);
    }

    result<task_report> throttle(const endpoint &worker, const task_key &task,
                                 const resources &reserved,
                                 std::chrono::milliseconds timeout) override
    {
        return taskCall(
            worker, "/v1/throttle",
            {{"task", ibishinge::toJson(task)}, {"reserved", ibishinge::toJson(reserved)}},
            timeout);
    }

    result<worker_report> status(const endpoint &worker, const std::string &pool,
                                 std::chrono::milliseconds timeout) override
    {
        return report(worker, "/v1/status", {{"pool", pool}}, timeout);
    }

private:
    static tl::unexpected<error> malformed(const endpoint &worker)
    {
        return makeError(error_kind::target_failed, toString(worker), "malformed answer");
    }

    /// All calls but the start can be repeated without harm.
    result<json> call(const endpoint &worker, const char *path, const json &body,
                      std::chrono::milliseconds timeout,
                      connection_use use = connection_use::reuse_allowed)
    {
        http_request request;
        request.method = "POST";
        request.path = path;
        request.headers = {{"Content-Type", "application/json"}};
        request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
        const auto response = m_client.send(worker, request, timeout, use);
        if (!response) {
            return tl::unexpected(response.error());
        }
        if (response->status == 409) {
            return makeError(error_kind::conflict, toString(worker) + path, response->body);
        }
        if (response->status != 200) {
            return makeError(error_kind::target_failed, toString(worker) + path,
                             "status " + std::to_string(response->status));
        }
        auto parsed = json::parse(response->body, nullptr, false);
        return parsed.is_object() ? result<json>(std::move(parsed)) : malformed(worker);
    }

    result<worker_report> report(const endpoint &worker, const char *path, const json &body,
                                 std::chrono::milliseconds timeout)
    {
        const auto answer = call(worker, path, body, timeout);
        if (!answer) {
            return tl::unexpected(answer.error());
        }
        auto read = readWorkerReport(*answer);
        return read ? result<worker_report>(std::move(*read)) : malformed(worker);
    }

    result<task_report> taskCall(const endpoint &worker, const char *path, const json &body,
                                 std::chrono::milliseconds timeout)
    {
        const auto answer = call(worker, path, body, timeout);
        if (!answer) {
            return tl::unexpected(answer.error());
        }
        auto read = readTaskReport(*answer);
        return read ? result<task_report>(std::move(*read)) : malformed(worker);
    }

    http_client &m_client;
};

} // namespace

std::string_view nameOf(task_phase phase) noexcept
{
    return phaseNames[static_cast<std::size_t>(phase)];
}

bool hasEnded(task_phase phase) noexcept
{
    return phase != task_phase::running && phase != task_phase::checkpointing;
}

std::unique_ptr<worker_client> makeHttpWorkerClient(http_client &client)
{
    return std::make_unique<http_worker_client>(client);
}

json toJson(const resources &value)
{
    return {{"processors", value.processors},
            {"memory_mb", value.memoryMb},
            {"accelerators", value.accelerators}};
}

json toJson(const task_key &value)
{
    return {{"pool", value.pool}, {"job", value.job}, {"attempt", value.attempt}};
}

json toJson(const task_start &value)
{
    return {{"task", toJson(value.task)},
            {"team", value.team},
            {"repeatable", value.repeatable},
            {"reserved", toJson(value.reserved)},
            {"payload", value.payload},
            {"checkpoint", value.checkpoint},
            {"worker_incarnation", value.workerIncarnation},
            {"lease_until_ms", toMs(value.leaseUntil)},
            {"not_after_ms", toMs(value.notAfter)}};
}

json toJson(const task_report &value)
{
    json object {{"task", toJson(value.task)},         {"phase", nameOf(value.phase)},
                 {"reserved", toJson(value.reserved)}, {"ran_ms", value.ran.count()},
                 {"checkpoint", value.checkpoint},     {"reason", value.reason}};
    if (value.used) {
        object["used"] = toJson(*value.used);
    }
    return object;
}

json toJson(const worker_report &value)
{
    json tasks = json::array();
    for (const auto &task : value.tasks) {
        tasks.push_back(toJson(task));
    }
    return {{"incarnation", value.incarnation},
            {"capacity", toJson(value.capacity)},
            {"others", toJson(value.others)},
            {"leaving", value.leaving},
            {"tasks", std::move(tasks)}};
}

json toJson(const lease_renewal &value)
{
    return {{"pool", value.pool},
            {"tasks", toJson(value.tasks)},
            {"lease_until_ms", toMs(value.leaseUntil)},
            {"forget", toJson(value.forget)}};
}

std::optional<resources> readResources(const json &from)
{
    return guarded([&] { return resourcesFrom(from); });
}

std::optional<task_key> readTaskKey(const json &from)
{
    return guarded([&] { return taskKeyFrom(from); });
}

std::optional<task_start> readTaskStart(const json &from)
{
    return guarded([&] {
        return task_start {taskKeyFrom(from.at("task")),
                           from.at("team").get<std::string>(),
                           from.at("repeatable").get<bool>(),
                           resourcesFrom(from.at("reserved")),
                           from.at("payload").get<std::string>(),
                           from.at("checkpoint").get<std::string>(),
                           from.at("worker_incarnation").get<std::string>(),
                           fromMs(from.at("lease_until_ms")),
                           fromMs(from.at("not_after_ms"))};
    });
}

std::optional<task_report> readTaskReport(const json &from)
{
    return guarded([&] { return taskReportFrom(from); });
}

std::optional<worker_report> readWorkerReport(const json &from)
{
    return guarded([&] {
        worker_report report {from.at("incarnation").get<std::string>(),
                              resourcesFrom(from.at("capacity")),
                              resourcesFrom(from.at("others")),
                              from.at("leaving").get<bool>(),
                              {}};
        for (const auto &task : from.at("tasks").get_ref<const json::array_t &>()) {
            report.tasks.push_back(taskReportFrom(task));
        }
        return report;
    });
}

std::optional<lease_renewal> readLeaseRenewal(const json &from)
{
    return guarded([&] {
        return lease_renewal {from.at("pool").get<std::string>(), taskKeysFrom(from.at("tasks")),
                              fromMs(from.at("lease_until_ms")), taskKeysFrom(from.at("forget"))};
    });
}

} // namespace ibishinge
