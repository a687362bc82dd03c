#pragma once

#include <ibishinge/base/metrics.h>
#include <ibishinge/base/scheduler.h>
#include <ibishinge/fleet/caller.h>
#include <ibishinge/fleet/coordinator.h>
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

namespace ibishinge::fleet {

struct node_settings
{
    std::string name; ///< of this process
    std::string incarnation; ///< of this run of it
    std::string peerAddress; ///< where it takes forwarded requests, "ip:port"
    std::uint64_t seed = 0;
    std::string dataCentre; ///< of this process; may be empty
    double processorShare = 1; ///< of this process, in cores
    milliseconds leaderTtl {3000}; ///< lease of the leader's record
    milliseconds maxConfigurationAge {3000}; ///< older proof of the configuration stops service
    coordinator_settings coordination;
};

/// One process of the system: follows the configuration and the leader's record, coordinates if it
/// holds the record, and passes callers' requests to whichever process does.
///
/// Not thread-safe: everything runs on the loop's thread.
class fleet_node
{
public:
    /// The references must outlive the node.
    fleet_node(platform_api &platform, peer_link &peers, scheduler &timers,
               metrics_registry &metrics, node_settings settings);
    ~fleet_node();
    fleet_node(const fleet_node &) = delete;
    fleet_node &operator=(const fleet_node &) = delete;

    void start();

    /// Gives up the leader's record and never takes it again; requests are still passed on.
    void resign();

    /// Handles a caller's request, here or through the coordinator. `done` is called exactly once.
    void handle(const caller_request &request, answer_handler done);

    /// Handles a request that another process passed on. Answers `not_ready` if this one does not
    /// coordinate.
    void handleForwarded(const caller_request &request, answer_handler done);

    /// Takes the place of a leader that offers it, if this process reaches the store. Passes on
    /// whether it tries.
    void acceptLeadership(std::int64_t revision, const std::function<void(bool)> &done);

    /// Makes calls to workers for the coordinator, see `relay_service::handle`.
    void handleWorkerCalls(const std::string &calls, instant readAt,
                           std::function<void(std::string)> done);

    /// Returns true if requests can be served: the configuration is fresh and there is a
    /// coordinator.
    [[nodiscard]] bool isReady() const;

private:
    struct pending_request;
    /// An offer of the leader's place to some processes.
    struct leadership_offer
    {
        std::int64_t revision = 0; ///< of the leader's record offered
        std::size_t open = 0; ///< processes that have not answered
    };
    struct peer_state
    {
        instant lastRequestAt; ///< it last passed on a request
        double processorShare = 0; ///< in cores; 0: it will end soon
        std::string dataCentre;
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
    /// Takes note of the records that refused a campaign. Returns when to try again.
    [[nodiscard]] milliseconds delayAfterLostCampaign(const std::vector<store_item> &current);
    void startLeading(const store_lease &lease, instant sentAt, std::int64_t revision,
                      std::int64_t term);
    void renewIfDue();
    void renew();
    void stopLeading(std::string_view reason);
    void releaseLease(std::int64_t lease);
    /// Precondition: the renewal sent at `renewalSentAt` has no answer.
    void offerLeadershipIfStoreLost(instant renewalSentAt);
    void offerLeadershipToStrongerPeer();
    void updateRelays();
    void readRelays();
    void writeRelays(const std::vector<relay_peer> &relays);
    [[nodiscard]] std::vector<std::string> successorCandidates() const;
    void offerLeadershipTo(const std::vector<std::string> &successors, std::string_view reason);
    void onOfferAnswered(const std::string &successor, const result<bool> &accepted,
                         leadership_offer &offer);
    [[nodiscard]] milliseconds timeSinceStoreAnswer() const;
    [[nodiscard]] std::string coordinatorAddress() const;
    void tryRequest(const std::shared_ptr<pending_request> &request);
    void onForwardAnswered(const std::shared_ptr<pending_request> &request,
                           const std::string &address, const caller_answer &answer);
    void retryRequest(const std::shared_ptr<pending_request> &request, milliseconds delay);
    void finishRequest(const std::shared_ptr<pending_request> &request, caller_answer answer);
    void onForwardFailed(const std::string &address, const error &failure);

    platform_api &m_platform;
    peer_link &m_peers;
    scheduler &m_timers;
    metrics_registry &m_metrics;
    const node_settings m_settings;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    std::mt19937_64 m_random;

    std::optional<configuration> m_config;
    std::int64_t m_configRevision = 0;
    std::int64_t m_servedConfigVersion = 0; ///< newest configuration that an answer was based on
    instant m_configConfirmedAt;

    std::optional<leader_record> m_leader;
    std::int64_t m_leaderRevision = 0; ///< 0: there is none
    /// Who coordinates by the word of other processes, until the store shows a record: a process
    /// that the store does not answer would not learn of a new coordinator otherwise. May be empty.
    std::string m_leaderReportedByPeers;
    std::int64_t m_leaderReadRevision = 0; ///< store revision up to which the record is known
    bool m_leaderKnown = false;
    instant m_noLeaderSince;
    bool m_leaderDead = false; ///< the process of the record seen is proved to be gone
    int m_refusedConnections = 0; ///< connections that the leader's machine refused, in a row
    instant m_storeAnsweredAt;

    relay_client m_relayClient;
    relay_service m_relayService;
    std::vector<relay_peer> m_storedRelays;
    std::shared_ptr<coordinator> m_coordinator;
    std::int64_t m_lease = 0;
    std::optional<instant> m_renewalSentAt; ///< of the renewal without an answer yet
    instant m_nextRenewal;
    instant m_renewCheckDue;
    instant m_declinedAt; ///< all who were offered the place had declined
    instant m_leadingSince;
    std::map<std::string, peer_state> m_knownPeers; ///< by address
    std::set<std::string> m_declinedBy; ///< the offer before
    bool m_offeringLeadership = false;
    bool m_campaigning = false;
    std::int64_t m_revisionToReplace = 0; ///< revision of the record that the campaign replaces
    bool m_campaignScheduled = false;
    bool m_resigned = false;
};

} // namespace ibishinge::fleet
