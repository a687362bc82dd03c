#pragma once

#include <ibishinge/base/metrics.h>
#include <ibishinge/base/scheduler.h>
#include <ibishinge/fleet/peer_link.h>
#include <ibishinge/fleet/worker_calls.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace ibishinge::fleet {

/// A process that can call workers on behalf of the coordinator.
struct relay_peer
{
    std::string address; ///< "ip:port" at which the process accepts requests of other processes
    std::string dataCentre;
    double processorShare = 0; ///< in cores

    friend bool operator==(const relay_peer &, const relay_peer &) = default;
};

/// Selects the relays among the known processes `peers`. In each data centre with workers, the
/// processes with the largest processor share are selected, one for each `workersPerRelay` workers
/// or part of them. Returns no relays if there are at most `workersPerRelay` workers in all.
/// Thread-safe.
[[nodiscard]] std::vector<relay_peer>
chooseRelays(const std::vector<relay_peer> &peers,
             const std::map<std::string, int> &workersByDataCentre);

/// Number of workers that one process calls for the coordinator. At the peak load of its pool, each
/// worker takes about six calls a second, and a call takes about 0.2 ms of processor time.
inline constexpr int workersPerRelay = 96;

/// Makes calls to workers through other processes (relays), in batches, so that the coordinator's
/// processor time is available for scheduling. Without relays the calls are made directly.
///
/// A relay that failed is not used for some seconds. Its open polls are repeated directly; its
/// other open calls get `outcome_unknown`. Not thread-safe: must be used on the thread of the event
/// loop.
class relay_client final : public worker_calls
{
public:
    /// The references must outlive the object. `session` identifies this client to relays; it must
    /// differ between processes and between runs of a process.
    relay_client(worker_calls &direct, peer_link &peers, scheduler &timers,
                 metrics_registry &metrics, std::string session);

    /// Replaces the set of relays used for new calls. A relay that is not in the new set still
    /// answers its open calls.
    void useRelays(const std::vector<relay_peer> &relays);

    void startRun(const worker_entry &worker, const run_order &order,
                  reply<run_command_reply> done) override;
    void stopRun(const worker_entry &worker, const task_name &task, std::int64_t run,
                 std::int64_t fencingToken, reply<run_command_reply> done) override;
    void throttleRun(const worker_entry &worker, const task_name &task, std::int64_t run,
                     int percent, std::int64_t fencingToken,
                     reply<run_command_reply> done) override;
    void poll(const worker_entry &worker, const poll_request &order,
              reply<worker_report> done) override;

private:
    struct open_poll
    {
        worker_entry worker;
        poll_request order;
        reply<worker_report> done;
    };
    struct open_call
    {
        std::variant<reply<run_command_reply>, open_poll> what;
        milliseconds allowed; ///< from sending the call to the relay until its result
        instant until = instant::max(); ///< `allowed` after it was sent
    };
    struct relay
    {
        relay_peer peer;
        bool inUse = false;
        instant unusableUntil;
        /// Incarnation of the relay process, from its last answer; empty before the first answer.
        std::string incarnation;
        std::multiset<instant> exchanges; ///< when those in flight were sent
        instant answeredExchange; ///< when the last one that was answered was sent
        bool sendScheduled = false;
        nlohmann::json calls = nlohmann::json::array(); ///< calls not sent yet
        /// Payloads of the jobs in `calls`, by job id.
        nlohmann::json payloads = nlohmann::json::object();
        std::map<std::int64_t, open_call> open;
    };

    [[nodiscard]] relay *selectRelay(const worker_entry &worker);
    void add(relay &to, const nlohmann::json &call, open_call open);
    void scheduleExchange(relay &to);
    void exchange(relay &to);
    void onExchanged(const std::string &address, instant sentAt, const result<std::string> &answer);
    void applyResult(relay &from, const nlohmann::json &row);
    void failRelay(relay &which, std::string_view reason);
    void scheduleOverdueCheck();
    /// Fails the relays that have answered a message which they were sent after a result was due,
    /// without that result. How late this process reads the answers does not matter.
    void failOverdueRelays();

    worker_calls &m_direct;
    peer_link &m_peers;
    scheduler &m_timers;
    metrics_registry &m_metrics;
    const std::string m_session;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    std::map<std::string, relay> m_relays; ///< by address
    std::int64_t m_nextNumber = 1;
    bool m_overdueCheckScheduled = false;
};

/// The relay's side of `relay_client`: makes the calls to workers that coordinators ask for and
/// returns the results in batches. Not thread-safe: must be used on the thread of the event loop.
class relay_service
{
public:
    /// `direct` and `timers` must outlive the object. `incarnation` identifies this run of the
    /// process.
    relay_service(worker_calls &direct, scheduler &timers, std::string incarnation);

    /// Makes the calls in `text` (CBOR) and passes results to `done`: those of these calls and of
    /// earlier calls of the same session. `done` is called as soon as there are results, without
    /// results after a hold time, or when the next message of the session arrives. An unreadable
    /// message is answered with an empty string. `readAt` is the time at which `text` was read from
    /// the network; calls that were read too long ago are answered with `unavailable` and not made.
    void handle(const std::string &text, instant readAt, std::function<void(std::string)> done);

    /// Marks this process as shutting down: answers tell coordinators to use other relays.
    void announceShutdown() noexcept
    {
        m_shuttingDown = true;
    }

private:
    struct session
    {
        nlohmann::json results = nlohmann::json::array();
        std::function<void(std::string)> waiting;
        std::int64_t exchange = 0; ///< number of the last exchange; an older hold timer is ignored
        /// Numbers of the most recent messages, to detect repeated ones.
        std::set<std::int64_t> seen;
        bool answerScheduled = false;
        instant usedAt;
    };

    void makeCall(const std::string &name, const nlohmann::json &call,
                  const nlohmann::json &payloads);
    void addResult(const std::string &name, nlohmann::json row);
    void scheduleAnswer(const std::string &name, session &clientSession);
    void answer(session &clientSession);
    void removeExpiredSessions();

    worker_calls &m_direct;
    scheduler &m_timers;
    const std::string m_incarnation;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    bool m_shuttingDown = false;
    std::map<std::string, session> m_sessions;
};

} // namespace ibishinge::fleet
