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

/// A process that can make calls to workers for the coordinator.
struct relay_peer
{
    std::string address; ///< "ip:port" of its requests of other processes
    std::string dataCentre;
    double processorShare = 0; ///< in cores

    friend bool operator==(const relay_peer &, const relay_peer &) = default;
};

/// Chooses the relays among the processes that are heard of: for each data centre with workers its
/// strongest processes, one for each `workersPerRelay` workers. Fewer workers than that in all need
/// none. Thread-safe.
[[nodiscard]] std::vector<relay_peer>
chooseRelays(const std::vector<relay_peer> &peers,
             const std::map<std::string, int> &workersByDataCentre);

/// Workers that one process calls for the coordinator. Each worker costs about six calls a second
/// at the peak of its pool, and a call about 0.2 ms of a core.
inline constexpr int workersPerRelay = 96;

/// Makes calls to workers through other processes, in batches, so that the coordinator's processor
/// is spent on decisions. Without relays the calls are made directly.
///
/// A relay that fails is not used for some seconds: its open looks are repeated directly, its other
/// open calls get `outcome_unknown`. Not thread-safe: used on the loop's thread.
class relay_client final : public worker_calls
{
public:
    /// The references must outlive the object. `session` differs between processes and their runs.
    relay_client(worker_calls &direct, peer_link &peers, scheduler &timers,
                 metrics_registry &metrics, std::string session);

    /// Replaces the relays in use. Calls that are open at others are still answered by them.
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
        instant until; ///< the relay has certainly answered by then, if it works
    };
    struct relay
    {
        relay_peer peer;
        bool inUse = false;
        instant unusableUntil;
        std::string incarnation; ///< of the relay's process, as told by its last answer
        int exchanges = 0; ///< calls to the relay on their way
        instant lastExchange;
        bool sendScheduled = false;
        nlohmann::json calls = nlohmann::json::array(); ///< not sent yet
        nlohmann::json payloads = nlohmann::json::object(); ///< of the jobs in `calls`
        std::map<std::int64_t, open_call> open;
    };

    [[nodiscard]] relay *selectRelay(const worker_entry &worker);
    void add(relay &to, const nlohmann::json &call, open_call open);
    void scheduleExchange(relay &to);
    void exchange(relay &to);
    void onExchanged(const std::string &address, const result<std::string> &answer);
    void applyResult(relay &from, const nlohmann::json &row);
    void failRelay(relay &which, std::string_view reason);
    void scheduleOverdueCheck();
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

/// The other side: makes the calls of coordinators and gathers their results.
/// Not thread-safe: used on the loop's thread.
class relay_service
{
public:
    /// The references must outlive the object.
    relay_service(worker_calls &direct, scheduler &timers, std::string incarnation);

    /// Takes calls and passes on results, of these and of earlier calls of the same session: as
    /// soon as there are some, or none after a while. `readAt` is when `text` was read from the
    /// network.
    void handle(const std::string &text, instant readAt, std::function<void(std::string)> done);

    /// The process will end soon: coordinators are told to use others.
    void announceShutdown() noexcept
    {
        m_shuttingDown = true;
    }

private:
    struct session
    {
        nlohmann::json results = nlohmann::json::array();
        std::function<void(std::string)> waiting;
        std::int64_t exchange = 0; ///< counts them, to tell whether a timer is out of date
        std::set<std::int64_t> seen; ///< numbers of the last messages
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
