#pragma once

#include <ibishinge/base/metrics.h>
#include <ibishinge/base/scheduler.h>
#include <ibishinge/fleet/caller.h>
#include <ibishinge/fleet/coordinator.h>
#include <ibishinge/fleet/forward_delay.h>
#include <ibishinge/fleet/peer_link.h>
#include <ibishinge/fleet/platform_api.h>
#include <ibishinge/fleet/record_codec.h>
#include <ibishinge/fleet/worker_relay.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge::fleet {

/// Processes that sent their last request longer ago are offered nothing and make no calls to
/// workers for the coordinator.
inline constexpr milliseconds maxPeerAge {5000};
/// Processes that sent a request within this time are ranked as equally likely to work; among them
/// the processor share decides.
inline constexpr milliseconds recentPeerAge {1500};
/// An answer that takes longer does not show that this process gets answers in time.
inline constexpr milliseconds maxProbeTime {300};

/// Settings of one process.
struct node_settings
{
    std::string name; ///< name of this process
    std::string incarnation; ///< differs between runs of this process
    /// Address "ip:port" at which this process accepts requests of other processes.
    std::string peerAddress;
    std::uint64_t seed = 0;
    std::string dataCentre; ///< in which this process runs; may be empty
    double processorShare = 1; ///< processor share of this process, in cores
    milliseconds leaderTtl {3000}; ///< time to live of the lease on the leader record
    /// Requests are not served if the configuration was last confirmed longer ago than this.
    milliseconds maxConfigurationAge {3000};
    coordinator_settings coordination;
};

/// One process of the system. It follows the configuration and the leader record in the store, runs
/// the coordinator while it holds the leader record, and forwards callers' requests to the process
/// that holds it otherwise.
///
/// Not thread-safe: all functions must be called, and all callbacks arrive, on the thread of the
/// event loop.
class fleet_node
{
public:
    /// `platform`, `peers`, `timers` and `metrics` must outlive the node.
    fleet_node(platform_api &platform, peer_link &peers, scheduler &timers,
               metrics_registry &metrics, node_settings settings);
    ~fleet_node();
    fleet_node(const fleet_node &) = delete;
    fleet_node &operator=(const fleet_node &) = delete;

    /// Starts to follow the store. Call once.
    void start();

    /// Releases the leader record if this process holds it, and never acquires it again. Callers'
    /// requests are still forwarded. Coordinators are told not to use this process as a relay any
    /// more.
    void resign();

    /// Answers each of the callers' requests, the open ones and those to come, at `deadline` at the
    /// latest, as a process that ends can answer none later. A submission without an answer that
    /// was forwarded is answered with `outcome_unknown`, any other request with `not_ready`.
    void answerAllBy(instant deadline);

    /// Handles a caller's request in this process if it coordinates, otherwise by forwarding it to
    /// the coordinator. Calls `done` exactly once; if no coordinator answers in time, with
    /// `not_ready` or, for a submission that a coordinator may have received, `outcome_unknown`.
    void handle(const caller_request &request, answer_handler done);

    /// Handles a request that another process forwarded. Answers `not_ready` with version 0 if this
    /// process does not coordinate, is not serving yet or its configuration is out of date; if the
    /// sender allows it, only after it has waited for that to change. A submission that is older
    /// than its caller's time-out is not accepted.
    void handleForwarded(caller_request request, answer_handler done);

    /// Handles the offer of another process to replace its leader record, which has the revision
    /// `revision`. Calls `done` with true and starts a campaign if this process can read the store,
    /// the record still has that revision, and this process has a configuration, has not resigned,
    /// neither coordinates nor campaigns, and has not handed over within the length of a lease.
    /// Calls it with false otherwise.
    void acceptLeadership(std::int64_t revision, const std::function<void(bool)> &done);

    /// Calls `done` with true if this process would accept the leader record that has the revision
    /// `revision`, see `acceptLeadership`. Reads the store for it.
    void answerSuccessorProbe(std::int64_t revision, const std::function<void(bool)> &done);

    /// Makes calls to workers on behalf of the coordinator, see `relay_service::handle`.
    void handleWorkerCalls(const std::string &calls, instant readAt,
                           std::function<void(std::string)> done);

    /// Returns true if requests can be served: the configuration was confirmed recently, a leader
    /// record is known and this process has not resigned.
    [[nodiscard]] bool isReady() const;

private:
    struct pending_request;
    /// An offer of the leader record to one or more other processes.
    struct leadership_offer
    {
        std::int64_t revision = 0; ///< revision of the leader record that is offered
        std::size_t open = 0; ///< processes that have not answered the offer
    };
    /// Probes sent at the same time to processes that may replace this one.
    struct successor_probes
    {
        instant sentAt;
        std::size_t open = 0; ///< processes that have not answered
        std::vector<std::string> able; ///< addresses of those that would accept, without delay
        milliseconds fastest {-1}; ///< time to the first such answer; -1: none
    };

    /// What is known of a store that does not answer this process.
    struct store_silence
    {
        instant answeredAt; ///< when the store last answered
        std::shared_ptr<successor_probes> probes; ///< the last ones; null: none
        std::set<std::string> probed; ///< addresses of the processes asked
        milliseconds loopDelay {0}; ///< longest delay of the event loop
        std::string_view decision; ///< the last one that was logged
    };

    struct peer_state
    {
        instant lastRequestAt; ///< when the process last forwarded a request to this one
        double processorShare = 0; ///< in cores; 0: the process is shutting down
        std::string dataCentre;
    };

    /// The question of this process whether a coordinator serves.
    struct coordinator_probe
    {
        std::string address;
        int open = 0; ///< sent and neither answered nor failed
        instant nextAt; ///< when it may be asked again
        milliseconds pause {0}; ///< after the next answer that it does not serve
    };

    /// A probe of another process that is answered when this process coordinates.
    struct held_probe
    {
        caller_request request;
        answer_handler done;
        instant until;
    };

    /// Bounds the requests that are sent to a coordinator again by a share of those sent once.
    struct repeat_allowance
    {
        std::string address;
        std::int64_t revision = 0; ///< of the leader record
        double left = 0;
    };

    /// What the coordinator answered when it rejected new submissions of any kind.
    struct coordinator_overload
    {
        caller_answer answer;
        std::int64_t revision = 0; ///< of the coordinator's leader record
        instant noticedAt;
        instant until;
        int rejected = 0; ///< submissions that this process rejected for it
    };

    /// Failed forwards to one address, as far as they are logged.
    struct forward_failures
    {
        instant loggedAt;
        int leftOut = 0; ///< failures since then
    };

    void later(milliseconds delay, std::function<void()> function);
    template <class T, class Function>
    reply<T> whileAlive(Function function)
    {
        return [alive = std::weak_ptr<int>(m_alive), function](result<T> value) {
            if (!alive.expired()) {
                function(std::move(value));
            }
        };
    }

    // node.cpp
    void pollConfiguration();
    void watchConfiguration();
    void applyConfiguration(const store_item &item);
    void readLeader();
    void watchLeader();
    void applyLeader(const store_item &item);
    void scheduleCampaignIfNeeded(milliseconds delay);
    void campaign();
    void campaignWithLease(const store_lease &lease, instant sentAt);
    void commitCampaign(const store_lease &lease, instant sentAt, const store_item &termItem);
    /// Applies the records that made the campaign's transaction fail. Returns the delay until the
    /// next campaign.
    [[nodiscard]] milliseconds delayAfterLostCampaign(const std::vector<store_item> &current);
    void startLeading(const store_lease &lease, instant sentAt, std::int64_t revision,
                      std::int64_t term);
    void renewIfDue();
    void renew();
    void stopLeading(std::string_view reason);
    void releaseLease(std::int64_t lease);
    void updateRelays();
    void readRelays();
    void writeRelays(const std::vector<relay_peer> &relays);

    // node_handover.cpp
    /// Offers the leader record to other processes if the store has not answered for
    /// `storeLossDelay`, and they show that it answers them.
    void offerLeadershipIfStoreLost();
    /// Returns true once the coordinator has been loaded for as long as its take-over took.
    /// Precondition: this process coordinates.
    [[nodiscard]] bool hasServedForItsTakeOver() const;
    /// Asks processes that may replace this one whether they would, unless they have been asked.
    void probeSuccessors(store_silence &silence);
    void onSuccessorProbeAnswered(const std::string &address, const result<bool> &able,
                                  successor_probes &probes);
    /// Returns the processes to which this one would not hand over from another of them.
    [[nodiscard]] std::vector<std::string>
    withoutWeakPeers(const std::vector<std::string> &addresses) const;
    /// Records, once in a row, what was decided about a store that does not answer.
    void recordSilenceDecision(store_silence &silence, std::string_view decision);
    /// Asks processes with a multiple of this one's processor share whether they would replace it,
    /// and offers the leader record to the first that would.
    void offerLeadershipToStrongerPeer();
    /// Passes true to `done` if this process reads the store and may replace the leader record that
    /// has the revision `revision`.
    void checkSuccession(std::int64_t revision, std::function<void(bool)> done);
    /// Returns the processes that are most likely to be able to replace this one, the best first,
    /// without those in `excluded`.
    [[nodiscard]] std::vector<std::string>
    successorCandidates(const std::set<std::string> &excluded) const;
    void offerLeadershipTo(const std::vector<std::string> &successors, std::string_view reason);
    void onOfferAnswered(const std::string &successor, const result<bool> &accepted,
                         leadership_offer &offer);
    [[nodiscard]] instant storeAnsweredAt() const;
    [[nodiscard]] milliseconds timeSinceStoreAnswer() const;

    // node_requests.cpp
    [[nodiscard]] std::string coordinatorAddress() const;
    /// Returns true if requests can be handled by the coordinator of this process.
    [[nodiscard]] bool canServe() const;
    /// Returns true if requests can be forwarded to the coordinator, as far as this process knows.
    [[nodiscard]] bool canForward() const;
    /// Answers the probes of other processes that wait until this process coordinates.
    void answerHeldProbes();
    [[nodiscard]] static forward_kind kindOf(const pending_request &request);
    void fillIn(caller_request &request, milliseconds timeLeft) const;
    void tryRequest(const std::shared_ptr<pending_request> &request);
    void forward(const std::shared_ptr<pending_request> &request, const std::string &address);
    /// Sends requests that have no answer yet to the next coordinator, if there is one.
    void checkForwards();
    /// Lets a request wait until a coordinator serves.
    void waitForCoordinator(const std::shared_ptr<pending_request> &request);
    void checkWaiting();
    /// Asks the coordinator on behalf of all requests that wait whether it serves.
    void probeCoordinator();
    void onProbeAnswered(const std::string &address, const caller_answer &answer);
    void noteNotCoordinating(const std::string &address, const caller_answer &answer);
    /// Returns true if the request was last forwarded to the present coordinator.
    [[nodiscard]] bool isWith(const pending_request &request, const std::string &address) const;
    /// Returns true, and counts it, if a request may be sent to the coordinator again.
    [[nodiscard]] bool mayRepeat(const std::string &address);
    /// Returns true if the request was rejected because the coordinator is overloaded.
    [[nodiscard]] bool rejectIfOverloaded(const std::shared_ptr<pending_request> &request);
    void noteOverload(const pending_request &request, const caller_answer &answer);
    void rememberUndecided(const std::string &path);
    [[nodiscard]] bool giveUpIfLate(const std::shared_ptr<pending_request> &request,
                                    milliseconds delay);
    void onForwardAnswered(const std::shared_ptr<pending_request> &request,
                           const std::string &address, const caller_answer &answer);
    void retryRequest(const std::shared_ptr<pending_request> &request);
    void answerAsShuttingDown(const std::shared_ptr<pending_request> &each);
    void finishRequest(const std::shared_ptr<pending_request> &request, caller_answer answer);
    void onCopyFailed(const std::shared_ptr<pending_request> &request, const std::string &address,
                      forward_kind kind, const error &failure);
    void onForwardFailed(const std::string &address, const error &failure);
    void logForwardFailure(const std::string &address, const error &failure);

    platform_api &m_platform;
    peer_link &m_peers;
    scheduler &m_timers;
    metrics_registry &m_metrics;
    const node_settings m_settings;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    std::mt19937_64 m_random;

    std::optional<configuration> m_config;
    std::int64_t m_configRevision = 0;
    /// Newest configuration version that an answer was based on.
    std::int64_t m_servedConfigVersion = 0;
    instant m_configConfirmedAt;

    std::optional<leader_record> m_leader;
    std::int64_t m_leaderRevision = 0; ///< 0: no leader record exists
    std::string m_lastLeader; ///< incarnation in the last leader record that was read; may be empty
    /// Address of the coordinator as reported by other processes; may be empty. Used until the
    /// store returns a leader record, because a process that gets no answers from the store would
    /// not learn of a new coordinator otherwise.
    std::string m_leaderReportedByPeers;
    /// Store revision up to which the leader record has been read.
    std::int64_t m_leaderReadRevision = 0;
    bool m_leaderKnown = false;
    instant m_noLeaderSince;
    bool m_leaderDead = false; ///< the process that wrote the leader record is known to have ended
    int m_refusedConnections = 0; ///< consecutive connections refused by the host of the leader
    instant m_storeAnsweredAt;

    relay_client m_relayClient;
    relay_service m_relayService;
    std::vector<relay_peer> m_storedRelays;
    std::shared_ptr<coordinator> m_coordinator;
    std::int64_t m_lease = 0;
    std::optional<instant> m_renewalSentAt; ///< when the unanswered lease renewal was sent
    instant m_lastRenewalSentAt;
    /// When the first of the renewals since the last success was sent.
    std::optional<instant> m_unansweredSince;
    bool m_renewalRefused = false; ///< the last renewal with an outcome has failed without delay
    std::optional<store_silence> m_silence; ///< while the store does not answer
    instant m_nextRenewal;
    instant m_renewCheckDue;
    instant m_pausedUntil; ///< end of the last pause of this process
    /// When every process that was offered the leader record had declined or was not reached.
    instant m_declinedAt;
    instant m_leadingSince;
    std::optional<instant> m_handedOverAt; ///< when another process last accepted the leader record
    std::map<std::string, peer_state> m_knownPeers; ///< by address ("ip:port")
    std::map<std::string, forward_failures> m_forwardFailures; ///< by address
    /// When stronger processes were asked in this term whether they would lead, by address.
    std::map<std::string, instant> m_strongerAskedAt;
    bool m_offeringLeadership = false;
    bool m_campaigning = false;
    /// Revision of the leader record that the campaign replaces; 0: none.
    std::int64_t m_revisionToReplace = 0;
    bool m_campaignScheduled = false;
    bool m_resigned = false;
    std::set<std::shared_ptr<pending_request>> m_openRequests; ///< callers' requests
    instant m_answerAllBy = instant::max();
    /// No coordinator serves as far as this process knows. Requests are forwarded again once a
    /// probe shows that one does.
    bool m_coordinatorMissing = false;
    instant m_coordinatorAnsweredAt; ///< when a coordinator last answered a request
    coordinator_probe m_probe;
    bool m_waitCheckScheduled = false;
    bool m_forwardCheckScheduled = false;
    std::vector<held_probe> m_heldProbes;
    repeat_allowance m_repeats;
    coordinator_overload m_overload;
    /// Submissions that were answered with `outcome_unknown`, and when.
    std::map<std::string, instant> m_undecided;
    forward_delay m_forwardDelay;
};

} // namespace ibishinge::fleet
