#pragma once

#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/worker_client.h>

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace ibishinge {

/// Calls workers by HTTP: `POST /v1/start`, `/v1/renew`, `/v1/stop`, `/v1/checkpoint`,
/// `/v1/throttle` and `/v1/status`, each with a JSON object; times are milliseconds since
/// 1970-01-01 UTC.
///
/// Precondition: `client` outlives the returned object.
[[nodiscard]] std::unique_ptr<worker_client> makeHttpWorkerClient(http_client &client);

/// The protocol's objects, for the adapter and the stand-in. The readers return nothing for
/// anything but what the writers return. Thread-safe.
[[nodiscard]] nlohmann::json toJson(const resources &value);
[[nodiscard]] nlohmann::json toJson(const task_key &value);
[[nodiscard]] nlohmann::json toJson(const task_start &value);
[[nodiscard]] nlohmann::json toJson(const task_report &value);
[[nodiscard]] nlohmann::json toJson(const worker_report &value);
[[nodiscard]] nlohmann::json toJson(const lease_renewal &value);
[[nodiscard]] std::optional<resources> readResources(const nlohmann::json &from);
[[nodiscard]] std::optional<task_key> readTaskKey(const nlohmann::json &from);
[[nodiscard]] std::optional<task_start> readTaskStart(const nlohmann::json &from);
[[nodiscard]] std::optional<task_report> readTaskReport(const nlohmann::json &from);
[[nodiscard]] std::optional<worker_report> readWorkerReport(const nlohmann::json &from);
[[nodiscard]] std::optional<lease_renewal> readLeaseRenewal(const nlohmann::json &from);

} // namespace ibishinge
