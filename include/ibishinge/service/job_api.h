#pragma once

#include <ibishinge/base/time.h>
#include <ibishinge/outside/http_message.h>
#include <ibishinge/outside/kv_store.h>
#include <ibishinge/state/configuration_cache.h>
#include <ibishinge/state/job_record.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ibishinge {

/// The callers' API for jobs, for the entry process, which has checked the key before.
///
/// - `POST /v1/queues/<queue>/jobs` submits a job; 201 once its record is in the store, 200 for a
///   repetition. An id given by the caller makes the call repeatable.
/// - `GET /v1/queues/<queue>/jobs` lists the team's jobs of a queue.
/// - `GET /v1/jobs/<queue>/<id>` shows one.
/// - `DELETE /v1/jobs/<queue>/<id>` cancels one; 202 once the cancellation is in the store.
///
/// Thread-safe; blocks during calls to the store.
class job_api
{
public:
    /// Sends one write and returns its outcome; usually `group_committer::submit`, so that waves of
    /// submissions and cancellations share batches.
    using writer =
        std::function<result<write_outcome>(conditional_write write, monotonic_time deadline)>;
    using configuration_source = std::function<std::shared_ptr<const configuration>()>;

    /// Precondition: `store` and `clock` outlive the object.
    [[nodiscard]] static std::unique_ptr<job_api> create(kv_store &store, const clock_source &clock,
                                                         writer write,
                                                         configuration_source configuration);

    /// Returns true if the path belongs to this API. Thread-safe.
    [[nodiscard]] static bool isJobPath(std::string_view path) noexcept;
    /// Returns the queue that the path names, for the check of the key; nothing for another path.
    [[nodiscard]] static std::optional<std::string> queueOf(std::string_view path);

    /// Handles one request of a caller whose key was accepted for `team`. Blocks for up to
    /// `timeout`.
    [[nodiscard]] http_response handle(const http_request &request, const std::string &team,
                                       milliseconds timeout = milliseconds(5000));

private:
    job_api(kv_store &store, const clock_source &clock, writer write,
            configuration_source configuration);

    [[nodiscard]] http_response submit(const http_request &request, const queue_entry &queue,
                                       const std::string &team, monotonic_time deadline);
    [[nodiscard]] http_response list(const queue_entry &queue, const std::string &team);
    [[nodiscard]] http_response show(const queue_entry &queue, const std::string &id,
                                     const std::string &team);
    [[nodiscard]] http_response cancel(const queue_entry &queue, const std::string &id,
                                       const std::string &team, monotonic_time deadline);
    struct found_job
    {
        job_record record;
        store_revision revision = 0;
    };
    [[nodiscard]] result<found_job> find(const queue_entry &queue, const std::string &id,
                                         const std::string &team);

    kv_store &m_store;
    const clock_source &m_clock;
    const writer m_write;
    const configuration_source m_configuration;
};

} // namespace ibishinge
