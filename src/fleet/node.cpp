#include <ibishinge/fleet/node.h>

#include <ibishinge/base/logging.h>

#include <algorithm>
#include <cerrno>
#include <tuple>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Interval of the reads that prove that the configuration is up to date. Changes arrive by a
/// watch.
constexpr milliseconds configurationInterval {1200};
/// Time that one watch call waits for a change. A watch can stop delivering without an error;
/// polling the configuration and refused requests (which show that the leader has ended) do not
/// depend on it.
constexpr milliseconds watchTimeout {2500};
constexpr milliseconds readRetry {150};

/// Interval between renewals: about four in the length of the lease; `renewRetry` applies after a
/// failure.
constexpr milliseconds renewInterval {700};
constexpr milliseconds renewRetry {150};
/// Interval at which a coordinator checks whether a renewal is due or unanswered.
constexpr milliseconds renewCheckInterval {50};
/// If that check runs later than this, the process was paused.
constexpr milliseconds processPauseThreshold {200};
/// A write without success for this long triggers a renewal; longer than the response time of a
/// slow store.
constexpr milliseconds writeStallThreshold {250};
/// Subtracted from the length of the lease, for the store's clock and the duration of the call.
constexpr milliseconds leaseMargin {200};

/// Upper bound of a random delay, in ms, between the campaigns of processes that see the leader
/// record disappear at the same time.
constexpr int campaignSpreadMs = 60;

/// A leader without an answer from the store for this long offers its leader record to processes
/// that may reach the store.
constexpr milliseconds storeLossDelay {600};
/// Silence of the store after which such processes are asked whether the store answers them.
constexpr milliseconds storeProbeDelay {300};
/// An answer to such a probe that takes longer does not show that this process gets answers in
/// time.
constexpr milliseconds maxProbeTime {300};
constexpr milliseconds probeTimeout {1000};
/// A coordinator that has been loaded for a shorter time than this does not hand over for want of
/// the store.
constexpr milliseconds minServingTime {1000};
/// Maximum number of processes that get an offer at the same time; some of them may be cut off from
/// the store as well.
constexpr std::size_t maxSuccessorOffers = 3;
/// Processes that sent their last request longer ago get no offer.
constexpr milliseconds maxPeerAge {5000};
/// Processes that sent a request within this time are ranked as equally likely to work; among them
/// the processor share decides.
constexpr milliseconds recentPeerAge {1500};

constexpr milliseconds campaignRetry {200};

/// Processes with less than this share of a core delay their campaign, by up to `weakPeerDelayMs`
/// milliseconds, so that a process with more processor time is elected first. Coordinating a few
/// hundred workers takes about a third of a core.
constexpr double strongPeerShare = 0.5;
constexpr double weakPeerDelayMs = 150;

/// A coordinator offers the leader record to a process with at least this many times its own
/// processor share: at once while it reads the records, otherwise when it has led for
/// `strongerPeerDelay`.
constexpr double strongerPeerFactor = 2;
constexpr milliseconds strongerPeerDelay {2000};
/// A process is asked again after this time whether it would take the leader record.
constexpr milliseconds strongerPeerRetry {5000};

/// Number of consecutive refused connections after which the leader's process is taken to have
/// ended.
constexpr int refusalsOfDeadLeader = 2;

/// Maximum time that a request waits for a coordinator before it is answered with HTTP status 503.
constexpr milliseconds maxLeaderWait {1500};
constexpr milliseconds requestRetry {40};
/// Part of the caller's time-out that is kept for the answer to arrive.
constexpr milliseconds answerMargin {150};
constexpr milliseconds defaultCallerTimeout {3000};
/// Time after which another coordinator, if there is one, is asked instead of one that does not
/// answer. A request waits longer for the one that it was sent to: asking it again would add load
/// to one that is slow.
constexpr milliseconds forwardTimeout {1100};
constexpr milliseconds forwardCheckInterval {200};
constexpr milliseconds shortestForwardTimeout {50};
/// The delay before a request is repeated doubles up to `requestRetry` times two to this power.
constexpr int maxRetryDoublings = 3;

/// Requests that may be sent to a coordinator again: this share of those sent to it for the first
/// time, and as many at once.
constexpr double repeatShare = 0.1;
constexpr double maxRepeatsAtOnce = 10;

/// Time for which a process that is about to coordinate holds the answer to a probe; then it is
/// asked again, so that a lost message delays requests by little.
constexpr milliseconds probeHold {250};
constexpr milliseconds probeInterval {400};
/// Probes of one process in flight at a time.
constexpr int maxOpenProbes = 2;
/// Bound of the pauses between probes of a process that does not hold its answer.
constexpr milliseconds maxProbePause {160};
/// How long an entry process rejects new submissions itself after the coordinator did so because it
/// is overloaded: half of the time that it told, and this at most.
constexpr milliseconds maxOverloadMemory {300};
/// One of so many is forwarded meanwhile and shows whether it still is.
constexpr int submissionsPerOverloadCheck = 16;
constexpr std::string_view overloadMessage = "too many submissions wait for the coordinator";

/// Submissions without a decision are remembered for as long as callers repeat them, so that a
/// repetition counts as one.
constexpr milliseconds undecidedMemory {30'000};
constexpr std::size_t maxUndecided = 4096;

/// Interval at which a process with held probes checks whether it serves.
constexpr milliseconds heldProbeInterval {10};
constexpr milliseconds defaultRetryAfter {1000};

/// Many requests can fail at the same time; one failure of each address is logged in this time.
constexpr milliseconds forwardFailureLogInterval {1000};

} // namespace

/// A caller's request that has not been answered yet.
struct fleet_node::pending_request
{
    caller_request request;
    answer_handler done;
    instant receivedAt;
    int forwards = 0; ///< number of times the request was forwarded to a coordinator
    instant forwardedAt; ///< when it was last forwarded
    std::string forwardedTo; ///< address it was last forwarded to
    std::int64_t forwardedRevision = 0; ///< of the leader record at that time
    int retries = 0;
    int openCopies = 0; ///< with a coordinator, and neither answered nor failed yet
    bool waiting = false; ///< for a coordinator that serves
    bool retryScheduled = false;
    instant giveUpAt; ///< when the request is answered with `not_ready` if no coordinator was found
    instant answerBy; ///< end of the caller's time-out, less `answerMargin`
    bool repeated = false; ///< the caller was told that the outcome of an earlier one is unknown
    bool maybeReceived = false; ///< a coordinator may have received the request but did not answer
    bool finished = false;
};

forward_kind fleet_node::kindOf(const pending_request &each)
{
    switch (each.request.operation) {
    case caller_operation::submit:
        return each.repeated || each.maybeReceived || each.openCopies > 0
                   ? forward_kind::repeated_submission
                   : forward_kind::submission;
    case caller_operation::cancel:
        return forward_kind::cancellation;
    case caller_operation::count_waiting:
        return forward_kind::count;
    case caller_operation::show:
        break;
    }
    return forward_kind::lookup;
}

fleet_node::fleet_node(platform_api &platform, peer_link &peers, scheduler &timers,
                       metrics_registry &metrics, node_settings settings)
    : m_platform(platform)
    , m_peers(peers)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_relayClient(platform, peers, timers, metrics, m_settings.incarnation)
    , m_relayService(platform, timers, m_settings.incarnation)
{
}

fleet_node::~fleet_node()
{
    if (m_coordinator) {
        m_coordinator->close();
    }
}

void fleet_node::later(milliseconds delay, std::function<void()> function)
{
    m_timers.after(delay, [alive = std::weak_ptr<int>(m_alive), function = std::move(function)] {
        if (!alive.expired()) {
            function();
        }
    });
}

void fleet_node::start()
{
    m_noLeaderSince = m_timers.now();
    m_storeAnsweredAt = m_timers.now();
    pollConfiguration();
    readLeader();
    m_renewCheckDue = m_timers.now();
    renewIfDue();
}

void fleet_node::pollConfiguration()
{
    const auto sentAt = m_timers.now();
    m_platform.readItem(
        m_platform.configurationKey(),
        whileAlive<store_item>([this, sentAt](const result<store_item> &item) {
            if (!item) {
                logEvent(log_level::warning, "configuration_read_failed",
                         {{"error", describe(item.error())},
                          {"proof_age_ms",
                           m_config ? since(m_configConfirmedAt, m_timers.now()).count() : -1}});
                later(readRetry, [this] { pollConfiguration(); });
                return;
            }
            m_storeAnsweredAt = m_timers.now();
            const bool first = m_configRevision == 0;
            if (item->revision != 0) {
                applyConfiguration(*item);
            }
            if (m_config) {
                m_configConfirmedAt = std::max(m_configConfirmedAt, sentAt);
            }
            if (first && m_configRevision != 0) {
                watchConfiguration();
            }
            later(m_config ? configurationInterval : readRetry, [this] { pollConfiguration(); });
        }));
}

void fleet_node::watchConfiguration()
{
    m_platform.watch(m_platform.configurationKey(), m_configRevision, watchTimeout,
                     whileAlive<store_page>([this](const result<store_page> &page) {
                         if (!page) {
                             // Polling keeps the configuration up to date in the meantime.
                             later(readRetry, [this] { watchConfiguration(); });
                             return;
                         }
                         for (const auto &item : page->items) {
                             if (item.key == m_platform.configurationKey() && !item.deleted) {
                                 applyConfiguration(item);
                             }
                         }
                         m_configRevision = std::max(m_configRevision, page->revision);
                         watchConfiguration();
                     }));
}

void fleet_node::applyConfiguration(const store_item &item)
{
    m_configRevision = std::max(m_configRevision, item.revision);
    auto config = m_platform.decodeConfiguration(item);
    if (!config) {
        logEvent(log_level::error, "configuration_unreadable",
                 {{"revision", item.revision}, {"error", describe(config.error())}});
        return;
    }
    if (m_config && config->version <= m_config->version) {
        return;
    }
    logEvent(log_level::info, "configuration_changed",
             {{"version", config->version},
              {"version_before", m_config ? m_config->version : 0},
              {"revision", item.revision},
              {"queues", config->queues.size()}});
    m_config = std::move(*config);
    if (m_coordinator) {
        m_coordinator->onConfiguration(*m_config);
    }
}

void fleet_node::readLeader()
{
    m_platform.readItem(std::string(leaderKey),
                        whileAlive<store_item>([this](const result<store_item> &item) {
                            if (!item) {
                                later(readRetry, [this] { readLeader(); });
                                return;
                            }
                            m_storeAnsweredAt = m_timers.now();
                            m_leaderKnown = true;
                            m_leaderReadRevision = std::max(m_leaderReadRevision, item->revision);
                            applyLeader(*item);
                            watchLeader();
                        }));
}

void fleet_node::watchLeader()
{
    m_platform.watch(std::string(leaderKey), m_leaderReadRevision, watchTimeout,
                     whileAlive<store_page>([this](const result<store_page> &page) {
                         if (!page) {
                             later(readRetry, [this] { readLeader(); });
                             return;
                         }
                         m_storeAnsweredAt = m_timers.now();
                         m_leaderReadRevision = std::max(m_leaderReadRevision, page->revision);
                         for (const auto &item : page->items) {
                             if (item.key == leaderKey) {
                                 applyLeader(item);
                             }
                         }
                         watchLeader();
                     }));
}

void fleet_node::applyLeader(const store_item &item)
{
    m_leaderReportedByPeers.clear();
    const bool none = item.deleted || item.revision == 0;
    if (none) {
        if (m_leader) {
            logEvent(log_level::info, "leader_gone", {{"leader", m_leader->name}});
            m_noLeaderSince = m_timers.now();
        }
        m_leader.reset();
        m_leaderRevision = 0;
        if (m_coordinator) {
            stopLeading("record_gone");
        }
        scheduleCampaignIfNeeded(milliseconds(0));
        return;
    }
    const auto record = decodeLeader(item.value);
    if (!record) {
        logEvent(log_level::error, "record_unreadable",
                 {{"key", item.key}, {"error", describe(record.error())}});
        return;
    }
    if (item.revision <= m_leaderRevision) {
        return;
    }
    // A process that replaces another one has to load the records first.
    const auto former = std::exchange(m_lastLeader, record->incarnation);
    m_coordinatorMissing = m_coordinatorMissing || (!former.empty() && former != m_lastLeader);
    m_leader = *record;
    m_leaderRevision = item.revision;
    m_refusedConnections = 0;
    m_leaderDead = false;
    logEvent(log_level::info, "leader_seen",
             {{"leader", record->name}, {"term", record->term}, {"revision", item.revision}});
    const bool mine = record->incarnation == m_settings.incarnation;
    if (m_coordinator && !mine) {
        stopLeading("record_taken");
    }
    if (!mine && record->hasAddress(m_settings.peerAddress)) {
        // This process now listens at the address of the recorded leader, so the leader's process
        // has ended.
        m_leaderDead = true;
        scheduleCampaignIfNeeded(milliseconds(0));
    }
}

void fleet_node::scheduleCampaignIfNeeded(milliseconds delay)
{
    const bool wanted = m_leaderKnown && !m_coordinator && !m_campaigning && !m_resigned && m_config
                        && (m_leaderRevision == 0 || m_leaderDead);
    if (!wanted || m_campaignScheduled) {
        if (!m_config && !m_resigned && !m_campaignScheduled) {
            m_campaignScheduled = true;
            later(readRetry, [this] {
                m_campaignScheduled = false;
                scheduleCampaignIfNeeded(milliseconds(0));
            });
        }
        return;
    }
    m_campaignScheduled = true;
    const auto spread = milliseconds(
        std::uniform_int_distribution<int>(0, campaignSpreadMs)(m_random)
        + static_cast<int>(weakPeerDelayMs
                           * (1 - std::min(1.0, m_settings.processorShare / strongPeerShare))));
    later(delay + spread, [this] {
        m_campaignScheduled = false;
        const bool still = !m_coordinator && !m_campaigning && !m_resigned
                           && (m_leaderRevision == 0 || m_leaderDead);
        if (still) {
            campaign();
        }
    });
}

void fleet_node::campaign()
{
    m_campaigning = true;
    // Only the leader record known now may be replaced: one that appears in the meantime belongs to
    // a live process.
    m_revisionToReplace = m_leaderRevision;
    const auto sentAt = m_timers.now();
    m_platform.grantLease(m_settings.leaderTtl,
                          whileAlive<store_lease>([this, sentAt](const result<store_lease> &lease) {
                              if (!lease || m_resigned) {
                                  m_campaigning = false;
                                  scheduleCampaignIfNeeded(campaignRetry);
                                  return;
                              }
                              campaignWithLease(*lease, sentAt);
                          }));
}

void fleet_node::campaignWithLease(const store_lease &lease, instant sentAt)
{
    m_platform.readItem(
        std::string(termKey),
        whileAlive<store_item>([this, lease, sentAt](const result<store_item> &item) {
            if (!item || m_resigned) {
                m_campaigning = false;
                scheduleCampaignIfNeeded(campaignRetry);
                return;
            }
            commitCampaign(lease, sentAt, *item);
        }));
}

void fleet_node::commitCampaign(const store_lease &lease, instant sentAt,
                                const store_item &termItem)
{
    std::int64_t term = 1;
    if (termItem.revision != 0) {
        term = std::strtoll(termItem.value.c_str(), nullptr, 10) + 1;
    }
    const leader_record record {m_settings.name, m_settings.incarnation, m_settings.peerAddress,
                                term};
    store_transaction change;
    change.conditions = {{std::string(leaderKey), m_revisionToReplace},
                         {std::string(termKey), termItem.revision}};
    change.puts = {{std::string(leaderKey), encodeLeader(record), lease.id},
                   {std::string(termKey), std::to_string(term), 0}};
    m_platform.commit(change,
                      whileAlive<transaction_reply>(
                          [this, lease, sentAt, term](const result<transaction_reply> &answer) {
                              m_campaigning = false;
                              if (answer && answer->applied) {
                                  if (m_resigned) {
                                      releaseLease(lease.id);
                                      return;
                                  }
                                  startLeading(lease, sentAt, answer->revision, term);
                                  return;
                              }
                              // Another process won, or the outcome is unknown. Ending the lease
                              // removes what the transaction may have written.
                              releaseLease(lease.id);
                              scheduleCampaignIfNeeded(
                                  answer ? delayAfterLostCampaign(answer->current) : campaignRetry);
                          }));
}

milliseconds fleet_node::delayAfterLostCampaign(const std::vector<store_item> &current)
{
    const auto record = std::find_if(current.begin(), current.end(),
                                     [](const store_item &item) { return item.key == leaderKey; });
    if (record == current.end() || record->deleted || record->revision == 0) {
        return milliseconds(0); // the record has expired in the meantime: there is no leader
    }
    applyLeader(*record);
    return campaignRetry;
}

void fleet_node::startLeading(const store_lease &lease, instant sentAt, std::int64_t revision,
                              std::int64_t term)
{
    m_lease = lease.id;
    m_renewalSentAt.reset();
    m_unansweredSince.reset();
    m_renewalRefused = false;
    m_silence.reset();
    m_strongerAskedAt.clear();
    m_nextRenewal = m_timers.now() + renewInterval;
    m_leadingSince = sentAt;
    m_leaderRevision = revision;
    m_leader =
        leader_record {m_settings.name, m_settings.incarnation, m_settings.peerAddress, term};
    m_refusedConnections = 0;
    logEvent(log_level::info, "leading", {{"term", term}, {"token", revision}});
    m_metrics.add("ibishinge_terms_total");
    const leadership held {{std::string(leaderKey), revision}, term, revision};
    m_coordinator =
        coordinator::make(m_platform, m_relayClient, m_timers, m_metrics, m_settings.coordination,
                          held, *m_config, [this, alive = std::weak_ptr<int>(m_alive)] {
                              if (!alive.expired()) {
                                  later(milliseconds(0), [this] { stopLeading("deposed"); });
                              }
                          });
    m_coordinator->extendLeadership(sentAt + lease.ttl - leaseMargin);
    m_storedRelays.clear();
    readRelays();
    m_coordinator->start();
}

void fleet_node::renewIfDue()
{
    const auto now = m_timers.now();
    const auto loopDelay = std::max(since(m_renewCheckDue, now), milliseconds(0));
    const auto pause = m_coordinator ? renewCheckInterval : renewInterval;
    m_renewCheckDue = now + pause;
    later(pause, [this] { renewIfDue(); });
    if (!m_coordinator) {
        return;
    }
    if (loopDelay > processPauseThreshold) {
        m_pausedUntil = now;
    }
    if (m_silence) {
        m_silence->loopDelay = std::max(m_silence->loopDelay, loopDelay);
    }
    offerLeadershipIfStoreLost();
    offerLeadershipToStrongerPeer();
    if (!m_coordinator || m_renewalSentAt) {
        return;
    }
    // A stalled write may be the first sign that the store cannot be reached; the renewal shows
    // whether it can.
    const bool silent = m_coordinator->storeStalledFor() >= writeStallThreshold
                        && timeSinceStoreAnswer() >= writeStallThreshold;
    if (now >= m_nextRenewal || silent) {
        renew();
    }
}

void fleet_node::renew()
{
    const auto sentAt = m_timers.now();
    m_renewalSentAt = sentAt;
    m_lastRenewalSentAt = sentAt;
    m_unansweredSince = m_unansweredSince.value_or(sentAt);
    m_platform.renewLease(
        m_lease, whileAlive<store_lease>(
                     [this, sentAt, renewed = m_lease](const result<store_lease> &lease) {
                         if (!m_coordinator || renewed != m_lease) {
                             return;
                         }
                         m_renewalSentAt.reset();
                         m_nextRenewal = m_timers.now() + (lease ? renewInterval : renewRetry);
                         if (lease) {
                             m_unansweredSince.reset();
                             m_renewalRefused = false;
                             m_storeAnsweredAt = m_timers.now();
                             m_coordinator->extendLeadership(sentAt + lease->ttl - leaseMargin);
                             updateRelays();
                         } else if (lease.error().kind == error_kind::unknown_entity) {
                             stopLeading("lease_ended");
                             m_leader.reset();
                             m_leaderRevision = 0;
                             scheduleCampaignIfNeeded(milliseconds(0));
                         } else {
                             logEvent(log_level::warning, "lease_not_renewed",
                                      {{"error", describe(lease.error())}});
                             m_renewalRefused = since(sentAt, m_timers.now()) <= maxProbeTime;
                             if (!m_renewalRefused && m_silence) {
                                 // The answer may have been about to arrive: only a probe beside
                                 // another renewal shows more.
                                 m_silence->probes.reset();
                                 m_silence->probed.clear();
                             }
                             offerLeadershipIfStoreLost();
                         }
                     }));
}

void fleet_node::offerLeadershipIfStoreLost()
{
    // After an offer was declined, the store may be reachable again for all processes: only a
    // renewal sent since then may lead to another offer.
    if (m_offeringLeadership || m_lastRenewalSentAt <= m_declinedAt) {
        return;
    }
    const auto now = m_timers.now();
    const auto unansweredFor = m_renewalRefused    ? milliseconds::max()
                               : m_unansweredSince ? since(*m_unansweredSince, now)
                                                   : milliseconds(0);
    const auto silentFor = std::min(unansweredFor, timeSinceStoreAnswer());
    if (silentFor < storeProbeDelay) {
        m_silence.reset();
        return;
    }
    if (!m_silence || m_silence->answeredAt != storeAnsweredAt()) {
        store_silence begun;
        begun.answeredAt = storeAnsweredAt();
        m_silence = std::move(begun);
    }
    auto &silence = *m_silence;
    const bool lost = silentFor >= storeLossDelay;
    if (!hasServedForItsTakeOver()) {
        if (lost) {
            recordSilenceDecision(silence, "taking_over");
        }
        return;
    }
    if (since(m_pausedUntil, now) < storeProbeDelay) {
        // Answers may have arrived that this process has not read yet.
        if (lost) {
            recordSilenceDecision(silence, "process_stalled");
        }
        silence.probes.reset();
        silence.probed.clear();
        return;
    }
    // On a full link or a busy loop, answers arrive late but in the order in which they were sent:
    // that to a probe, which was sent after a renewal, arrives after that to the renewal.
    const auto probes = silence.probes;
    const bool probesOver =
        !probes || since(probes->sentAt, now) >= storeLossDelay
        || (probes->able.empty()
            && (probes->open == 0 || since(probes->sentAt, now) > maxProbeTime));
    if (lost && !probesOver && !probes->able.empty()) {
        recordSilenceDecision(silence, "hand_over");
        offerLeadershipTo(withoutWeakPeers(probes->able), "store_away");
        return;
    }
    if (probesOver) {
        if (lost && probes) {
            recordSilenceDecision(silence, "no_successor_answers");
        }
        probeSuccessors(silence);
        if (lost && !silence.probes) {
            recordSilenceDecision(silence, "no_successor_known");
        }
    }
}

bool fleet_node::hasServedForItsTakeOver() const
{
    // The next coordinator would hold inherited tasks back anew.
    if (!m_coordinator->isLoaded() || m_coordinator->holdsBackInheritedTasks()) {
        return false;
    }
    const auto takeOverTime = since(m_leadingSince, m_coordinator->loadedAt());
    return since(m_coordinator->loadedAt(), m_timers.now())
           >= std::max(takeOverTime, minServingTime);
}

void fleet_node::probeSuccessors(store_silence &silence)
{
    const auto now = m_timers.now();
    const auto successors = successorCandidates(silence.probed);
    if (successors.empty()) {
        // All have been asked. They are asked again, but not at each check.
        if (silence.probes && since(silence.probes->sentAt, now) > maxProbeTime) {
            silence.probed.clear();
        }
        return;
    }
    if (!m_renewalSentAt) {
        renew();
    }
    const auto probes = std::make_shared<successor_probes>();
    probes->sentAt = now;
    probes->open = successors.size();
    silence.probes = probes;
    for (const auto &address : successors) {
        silence.probed.insert(address);
        m_peers.probeSuccessor(address, m_leaderRevision, probeTimeout,
                               whileAlive<bool>([this, address, probes](const result<bool> &able) {
                                   onSuccessorProbeAnswered(address, able, *probes);
                               }));
    }
}

void fleet_node::onSuccessorProbeAnswered(const std::string &address, const result<bool> &able,
                                          successor_probes &probes)
{
    --probes.open;
    if (!able && able.error().systemError == ECONNREFUSED) {
        m_knownPeers.erase(address);
    }
    const auto took = since(probes.sentAt, m_timers.now());
    if (able && *able && took <= maxProbeTime) {
        probes.able.push_back(address);
        probes.fastest = probes.able.size() == 1 ? took : probes.fastest;
    }
}

std::vector<std::string>
fleet_node::withoutWeakPeers(const std::vector<std::string> &addresses) const
{
    const auto shareOf = [this](const std::string &address) {
        const auto peer = m_knownPeers.find(address);
        return peer == m_knownPeers.end() ? 0 : peer->second.processorShare;
    };
    double largest = 0;
    for (const auto &address : addresses) {
        largest = std::max(largest, shareOf(address));
    }
    std::vector<std::string> strong;
    for (const auto &address : addresses) {
        if (shareOf(address) * strongerPeerFactor > largest || largest == 0) {
            strong.push_back(address);
        }
    }
    return strong;
}

void fleet_node::recordSilenceDecision(store_silence &silence, std::string_view decision)
{
    if (silence.decision == decision) {
        return;
    }
    silence.decision = decision;
    logEvent(log_level::warning, "store_silence",
             {{"decision", decision},
              {"store_silent_ms", timeSinceStoreAnswer().count()},
              {"probe_ms", silence.probes ? silence.probes->fastest.count() : -1},
              {"loop_delay_ms", silence.loopDelay.count()}});
    m_metrics.add("ibishinge_store_silences_total", {{"decision", std::string(decision)}});
}

std::vector<std::string>
fleet_node::successorCandidates(const std::set<std::string> &excluded) const
{
    // Processes with a recent request are the most likely to work. Among them the ones with the
    // largest processor share are preferred, because they read the records fastest.
    const auto now = m_timers.now();
    std::vector<std::pair<std::tuple<bool, double, instant>, std::string>> ranked;
    for (const auto &[address, peer] : m_knownPeers) {
        if (since(peer.lastRequestAt, now) < maxPeerAge && excluded.count(address) == 0) {
            const bool recent = since(peer.lastRequestAt, now) < recentPeerAge;
            ranked.push_back(
                {{recent, recent ? peer.processorShare : 0, peer.lastRequestAt}, address});
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> successors;
    for (const auto &[rank, address] : ranked) {
        if (successors.size() < maxSuccessorOffers) {
            successors.push_back(address);
        }
    }
    return successors;
}

void fleet_node::offerLeadershipToStrongerPeer()
{
    const auto now = m_timers.now();
    // While the records are being read, no caller is served, and a hand-over costs least.
    if (!m_coordinator || m_offeringLeadership
        || (m_coordinator->isLoaded() && since(m_leadingSince, now) < strongerPeerDelay)) {
        return;
    }
    std::vector<std::pair<double, std::string>> stronger;
    for (const auto &[address, peer] : m_knownPeers) {
        const auto asked = m_strongerAskedAt.find(address);
        const bool askedRecently =
            asked != m_strongerAskedAt.end() && since(asked->second, now) < strongerPeerRetry;
        if (since(peer.lastRequestAt, now) < maxPeerAge && !askedRecently
            && peer.processorShare >= m_settings.processorShare * strongerPeerFactor) {
            stronger.emplace_back(peer.processorShare, address);
        }
    }
    std::sort(stronger.rbegin(), stronger.rend());
    stronger.resize(std::min(stronger.size(), maxSuccessorOffers));
    for (const auto &[share, address] : stronger) {
        m_strongerAskedAt[address] = now;
        m_peers.probeSuccessor(address, m_leaderRevision, m_settings.leaderTtl,
                               whileAlive<bool>([this, to = address, revision = m_leaderRevision](
                                                    const result<bool> &able) {
                                   const bool outOfDate = !m_coordinator
                                                          || m_leaderRevision != revision
                                                          || m_offeringLeadership;
                                   if (able && *able && !outOfDate) {
                                       offerLeadershipTo({to}, "stronger_peer");
                                   }
                               }));
    }
}

void fleet_node::updateRelays()
{
    if (!m_coordinator) {
        return;
    }
    std::vector<relay_peer> peers;
    for (const auto &[address, peer] : m_knownPeers) {
        if (since(peer.lastRequestAt, m_timers.now()) < maxPeerAge && peer.processorShare > 0) {
            peers.push_back({address, peer.dataCentre, peer.processorShare});
        }
    }
    std::map<std::string, int> workers;
    for (const auto &[id, worker] : m_coordinator->tables().workers) {
        ++workers[worker.entry.dataCentre];
    }
    const auto relays = chooseRelays(peers, workers);
    m_relayClient.useRelays(relays);
    if (!relays.empty() && relays != m_storedRelays) {
        writeRelays(relays);
    }
}

void fleet_node::readRelays()
{
    // A new coordinator has not received requests from other processes yet, and it begins by
    // polling every worker: it uses the relays that its predecessor stored.
    m_platform.readItem(
        std::string(relaysKey), whileAlive<store_item>([this](const result<store_item> &item) {
            const auto relays = item && item->revision != 0 ? decodeRelays(item->value)
                                                            : std::vector<relay_peer> {};
            if (!item || !relays) {
                logEvent(log_level::warning, "relays_unknown",
                         {{"error", describe(item ? relays.error() : item.error())}});
                return;
            }
            const auto before = m_timers.now() - recentPeerAge;
            std::vector<relay_peer> others;
            for (const auto &relay : *relays) {
                if (relay.address != m_settings.peerAddress) {
                    others.push_back(relay);
                    m_knownPeers.try_emplace(
                        relay.address, peer_state {before, relay.processorShare, relay.dataCentre});
                }
            }
            m_relayClient.useRelays(others);
        }));
}

void fleet_node::writeRelays(const std::vector<relay_peer> &relays)
{
    m_storedRelays = relays;
    store_transaction change;
    change.conditions = {{std::string(leaderKey), m_leaderRevision}};
    change.puts = {{std::string(relaysKey), encodeRelays(relays), 0}};
    m_platform.commit(
        change, whileAlive<transaction_reply>([this](const result<transaction_reply> &answer) {
            if (!answer || !answer->applied) {
                m_storedRelays.clear(); // written again after the next renewal
            }
        }));
}

void fleet_node::handleWorkerCalls(const std::string &calls, instant readAt,
                                   std::function<void(std::string)> done)
{
    m_relayService.handle(calls, readAt, std::move(done));
}

void fleet_node::offerLeadershipTo(const std::vector<std::string> &successors,
                                   std::string_view reason)
{
    m_offeringLeadership = true;
    // No orders are sent from here on, because a process that accepts may lead before its answer
    // arrives.
    m_coordinator->suspend();
    logEvent(log_level::warning, "leadership_offered_to",
             {{"heirs", successors},
              {"reason", reason},
              {"store_silent_ms", timeSinceStoreAnswer().count()}});
    // Several processes may accept. Each replaces only the record that was offered, so that only
    // one of them becomes leader.
    const auto offer =
        std::make_shared<leadership_offer>(leadership_offer {m_leaderRevision, successors.size()});
    for (const auto &successor : successors) {
        m_peers.offerLeadership(
            successor, offer->revision,
            whileAlive<bool>([this, successor, offer](const result<bool> &accepted) {
                onOfferAnswered(successor, accepted, *offer);
            }));
    }
}

void fleet_node::onOfferAnswered(const std::string &successor, const result<bool> &accepted,
                                 leadership_offer &offer)
{
    --offer.open;
    if (!m_coordinator || !m_offeringLeadership || offer.revision != m_leaderRevision) {
        return; // the offer is out of date: this process no longer holds that leader record
    }
    const bool declined = accepted && !*accepted;
    const bool notReached = !accepted && accepted.error().kind == error_kind::unavailable;
    if (!declined && !notReached) {
        stopLeading("abdicated");
        m_handedOverAt = m_timers.now();
        m_leaderReportedByPeers = accepted ? successor : std::string();
        return;
    }
    if (notReached) {
        m_knownPeers.erase(successor);
    }
    if (offer.open == 0) {
        m_offeringLeadership = false;
        m_declinedAt = m_timers.now();
        m_unansweredSince.reset();
        m_renewalRefused = false;
        m_silence.reset();
        m_coordinator->resume();
    }
}

instant fleet_node::storeAnsweredAt() const
{
    return m_coordinator ? std::max(m_storeAnsweredAt, m_coordinator->storeAnsweredAt())
                         : m_storeAnsweredAt;
}

milliseconds fleet_node::timeSinceStoreAnswer() const
{
    return since(storeAnsweredAt(), m_timers.now());
}

void fleet_node::checkSuccession(std::int64_t revision, std::function<void(bool)> done)
{
    // The store may be unreachable for all processes. Only an answer to a read made now shows that
    // this process reaches it.
    m_platform.readItem(
        std::string(leaderKey), whileAlive<store_item>([this, revision, done = std::move(done)](
                                                           const result<store_item> &item) {
            const bool recordUnchanged =
                item && item->revision == revision && m_leaderRevision == revision;
            const bool handedOverRecently =
                m_handedOverAt && since(*m_handedOverAt, m_timers.now()) < m_settings.leaderTtl;
            done(recordUnchanged && m_config && !m_resigned && !m_coordinator && !m_campaigning
                 && !handedOverRecently);
        }));
}

void fleet_node::answerSuccessorProbe(std::int64_t revision, const std::function<void(bool)> &done)
{
    checkSuccession(revision, done);
}

void fleet_node::acceptLeadership(std::int64_t revision, const std::function<void(bool)> &done)
{
    checkSuccession(revision, [this, revision, done](bool wanted) {
        logEvent(log_level::info, "leadership_offered",
                 {{"revision", revision}, {"accepted", wanted}});
        done(wanted);
        if (wanted) {
            campaign();
        }
    });
}

void fleet_node::releaseLease(std::int64_t lease)
{
    m_platform.endLease(lease, whileAlive<void>([this, lease](const result<void> &ended) {
                            if (!ended) {
                                // Until the lease is ended, the other processes wait for it to
                                // expire.
                                later(renewRetry, [this, lease] { releaseLease(lease); });
                            }
                        }));
}

void fleet_node::stopLeading(std::string_view reason)
{
    if (!m_coordinator) {
        return;
    }
    logEvent(log_level::warning, "stopped_leading", {{"reason", reason}});
    const auto former = std::exchange(m_coordinator, nullptr);
    former->close();
    m_lease = 0;
    m_offeringLeadership = false;
    m_coordinatorMissing = true;
    scheduleCampaignIfNeeded(campaignRetry);
}

void fleet_node::resign()
{
    m_resigned = true;
    m_relayService.announceShutdown();
    if (m_coordinator) {
        const auto lease = m_lease;
        stopLeading("resigned");
        releaseLease(lease);
    }
}

void fleet_node::answerAllBy(instant deadline)
{
    m_answerAllBy = deadline;
    later(std::max(since(m_timers.now(), deadline), milliseconds(0)), [this] {
        for (const auto &each : std::set(m_openRequests)) {
            answerAsShuttingDown(each);
        }
    });
}

bool fleet_node::isReady() const
{
    const auto now = m_timers.now();
    return !m_resigned && m_config && m_leader
           && since(m_configConfirmedAt, now) < m_settings.maxConfigurationAge;
}

void fleet_node::handle(const caller_request &request, answer_handler done)
{
    const auto now = m_timers.now();
    auto each = std::make_shared<pending_request>();
    each->request = request;
    each->receivedAt = now;
    const auto callerTimeout =
        request.callerTimeout.count() > 0 ? request.callerTimeout : defaultCallerTimeout;
    each->answerBy = now + std::max(callerTimeout - answerMargin, answerMargin);
    each->giveUpAt = std::min(each->answerBy, now + maxLeaderWait);
    const auto undecided = m_undecided.find(request.path);
    each->repeated =
        undecided != m_undecided.end() && since(undecided->second, now) < undecidedMemory;
    each->done = std::move(done);
    m_openRequests.insert(each);
    tryRequest(each);
}

bool fleet_node::canServe() const
{
    return m_coordinator && m_coordinator->isServing()
           && since(m_configConfirmedAt, m_timers.now()) < m_settings.maxConfigurationAge;
}

bool fleet_node::canForward() const
{
    return !m_coordinator && !m_coordinatorMissing && !coordinatorAddress().empty();
}

void fleet_node::handleForwarded(caller_request call, answer_handler done)
{
    const auto now = m_timers.now();
    if (!call.sender.empty() && call.sender != m_settings.peerAddress) {
        m_knownPeers[call.sender] = {now, call.senderProcessorShare, call.senderDataCentre};
    }
    if (call.callerTimeout.count() > 0 && !call.validUntil) {
        const auto delay = call.sentAtMs > 0
                               ? m_forwardDelay.delayOf(call.senderIncarnation, call.sentAtMs, now)
                               : milliseconds(0);
        call.validUntil = now + call.callerTimeout - delay;
    }
    if (canServe()) {
        m_coordinator->handle(call, std::move(done));
        return;
    }
    if (call.maxHold.count() > 0 && (m_coordinator || m_campaigning)) {
        const bool first = m_heldProbes.empty();
        const auto until = now + std::min(call.maxHold, probeHold);
        call.maxHold = milliseconds(0);
        m_heldProbes.push_back({std::move(call), std::move(done), until});
        if (first) {
            later(heldProbeInterval, [this] { answerHeldProbes(); });
        }
        return;
    }
    caller_answer answer;
    answer.message = "this process is not serving as coordinator";
    answer.retryAfter = defaultRetryAfter;
    answer.coordinator =
        m_coordinator || m_campaigning ? m_settings.peerAddress : coordinatorAddress();
    done(answer);
}

void fleet_node::answerHeldProbes()
{
    const bool decided = canServe() || !(m_coordinator || m_campaigning);
    std::vector<held_probe> kept;
    for (auto &each : std::exchange(m_heldProbes, {})) {
        if (decided || m_timers.now() >= each.until) {
            handleForwarded(std::move(each.request), std::move(each.done));
        } else {
            kept.push_back(std::move(each));
        }
    }
    m_heldProbes = std::move(kept);
    if (!m_heldProbes.empty()) {
        later(heldProbeInterval, [this] { answerHeldProbes(); });
    }
}

void fleet_node::fillIn(caller_request &request, milliseconds timeLeft) const
{
    request.callerTimeout = std::max(timeLeft, milliseconds(1));
    request.servedConfigVersion = m_servedConfigVersion;
    request.sender = m_settings.peerAddress;
    request.senderIncarnation = m_settings.incarnation;
    request.sentAtMs = m_timers.now().time_since_epoch().count();
    request.senderProcessorShare = m_resigned ? 0 : m_settings.processorShare;
    request.senderDataCentre = m_settings.dataCentre;
}

void fleet_node::tryRequest(const std::shared_ptr<pending_request> &each)
{
    if (each->finished) {
        return;
    }
    if (m_timers.now() >= m_answerAllBy) {
        answerAsShuttingDown(each);
        return;
    }
    if (canServe()) {
        fillIn(each->request, each->answerBy - m_timers.now());
        ++each->openCopies;
        handleForwarded(each->request, [this, each](const caller_answer &answer) {
            --each->openCopies;
            onForwardAnswered(each, m_settings.peerAddress, answer);
        });
        return;
    }
    const auto address = coordinatorAddress();
    if (!canForward()) {
        waitForCoordinator(each);
        return;
    }
    // A coordinator that has answered a copy has dealt with it.
    const bool mayBeThere = each->maybeReceived || each->openCopies > 0;
    if (mayBeThere && isWith(*each, address) && !mayRepeat(address)) {
        retryRequest(each);
        return;
    }
    if (!rejectIfOverloaded(each)) {
        forward(each, address);
    }
}

bool fleet_node::rejectIfOverloaded(const std::shared_ptr<pending_request> &each)
{
    if (m_timers.now() >= m_overload.until || m_overload.revision != m_leaderRevision
        || kindOf(*each) != forward_kind::submission || each->forwards > 0
        || ++m_overload.rejected % submissionsPerOverloadCheck == 0) {
        return false;
    }
    auto answer = m_overload.answer;
    answer.version = 0; // this process made it
    finishRequest(each, answer);
    return true;
}

void fleet_node::noteOverload(const pending_request &each, const caller_answer &answer)
{
    if (each.request.operation != caller_operation::submit || !isWith(each, coordinatorAddress())) {
        return;
    }
    const auto now = m_timers.now();
    if (answer.coordinatorOverloaded) {
        const int rejected = now < m_overload.until ? m_overload.rejected : 0;
        m_overload = {answer, m_leaderRevision, now,
                      now + std::min(answer.retryAfter / 2, maxOverloadMemory), rejected};
    } else if (answer.kind == answer_kind::accepted && each.forwardedAt > m_overload.noticedAt) {
        m_overload.until = {};
    }
}

void fleet_node::forward(const std::shared_ptr<pending_request> &each, const std::string &address)
{
    if (m_repeats.address != address || m_repeats.revision != m_leaderRevision) {
        m_repeats = {address, m_leaderRevision, maxRepeatsAtOnce};
    } else if (!isWith(*each, address)) {
        m_repeats.left = std::min(m_repeats.left + repeatShare, maxRepeatsAtOnce);
    }
    const auto sentAt = m_timers.now();
    const auto kind = kindOf(*each);
    fillIn(each->request, each->answerBy - sentAt);
    ++each->forwards;
    ++each->openCopies;
    each->forwardedAt = sentAt;
    each->forwardedTo = address;
    each->forwardedRevision = m_leaderRevision;
    const auto timeout = std::max(each->answerBy - sentAt, shortestForwardTimeout);
    m_peers.forward(
        address, encodeRequest(each->request), kind, timeout,
        whileAlive<std::string>([this, each, address, kind](const result<std::string> &body) {
            --each->openCopies;
            if (!body) {
                onCopyFailed(each, address, kind, body.error());
                return;
            }
            const auto answer = decodeAnswer(*body);
            if (!answer) {
                logEvent(log_level::error, "answer_unreadable",
                         {{"error", describe(answer.error())}});
                each->maybeReceived = true;
                retryRequest(each);
                return;
            }
            m_refusedConnections = 0;
            m_coordinatorAnsweredAt = m_timers.now();
            noteOverload(*each, *answer);
            onForwardAnswered(each, address, *answer);
        }));
    if (!std::exchange(m_forwardCheckScheduled, true)) {
        later(forwardTimeout, [this] {
            m_forwardCheckScheduled = false;
            checkForwards();
        });
    }
}

void fleet_node::onCopyFailed(const std::shared_ptr<pending_request> &each,
                              const std::string &address, forward_kind kind, const error &failure)
{
    onForwardFailed(address, failure);
    each->maybeReceived = each->maybeReceived || failure.kind == error_kind::outcome_unknown;
    if (kind == forward_kind::submission && failure.kind == error_kind::overloaded) {
        caller_answer answer;
        answer.kind = answer_kind::overloaded;
        answer.message = overloadMessage;
        answer.retryAfter = defaultRetryAfter;
        finishRequest(each, answer);
        return;
    }
    retryRequest(each);
}

void fleet_node::checkForwards()
{
    bool isOpen = false;
    for (const auto &each : std::set(m_openRequests)) {
        isOpen = isOpen || each->openCopies > 0;
        if (each->openCopies == 0 || each->forwards == 0
            || since(each->forwardedAt, m_timers.now()) < forwardTimeout) {
            continue;
        }
        if (each->forwardedTo == m_leaderReportedByPeers
            && m_coordinatorAnsweredAt < each->forwardedAt) {
            m_leaderReportedByPeers.clear();
        }
        if (canServe() || !isWith(*each, coordinatorAddress())) {
            retryRequest(each);
        }
    }
    if (isOpen && !std::exchange(m_forwardCheckScheduled, true)) {
        later(forwardCheckInterval, [this] {
            m_forwardCheckScheduled = false;
            checkForwards();
        });
    }
}

bool fleet_node::isWith(const pending_request &each, const std::string &address) const
{
    return each.forwards > 0 && each.forwardedTo == address
           && each.forwardedRevision == m_leaderRevision;
}

bool fleet_node::mayRepeat(const std::string &address)
{
    if (m_repeats.address != address || m_repeats.revision != m_leaderRevision) {
        return true;
    }
    if (m_repeats.left < 1) {
        return false;
    }
    m_repeats.left -= 1;
    return true;
}

void fleet_node::waitForCoordinator(const std::shared_ptr<pending_request> &each)
{
    if (each->finished || giveUpIfLate(each, milliseconds(0))) {
        return;
    }
    each->waiting = true;
    m_coordinatorMissing = true;
    probeCoordinator();
    if (!std::exchange(m_waitCheckScheduled, true)) {
        later(requestRetry, [this] {
            m_waitCheckScheduled = false;
            checkWaiting();
        });
    }
}

void fleet_node::checkWaiting()
{
    for (const auto &each : std::set(m_openRequests)) {
        if (std::exchange(each->waiting, false)) {
            tryRequest(each);
        }
    }
}

void fleet_node::probeCoordinator()
{
    const auto now = m_timers.now();
    const auto address = coordinatorAddress();
    if (address.empty() || m_coordinator || !m_coordinatorMissing) {
        return;
    }
    if (m_probe.address != address) {
        m_probe = {address, 0, now, requestRetry};
    }
    if (m_probe.open >= maxOpenProbes || now < m_probe.nextAt) {
        return;
    }
    ++m_probe.open;
    m_probe.nextAt = now + probeInterval;
    // A coordinator that serves answers that it knows no such queue.
    caller_request probe;
    fillIn(probe, forwardTimeout);
    probe.servedConfigVersion = 0;
    probe.maxHold = probeHold;
    m_peers.forward(address, encodeRequest(probe), forward_kind::lookup, forwardTimeout,
                    whileAlive<std::string>([this, address, now](const result<std::string> &body) {
                        if (m_probe.address == address) {
                            // Without a pause after an answer that was held.
                            const bool held = body && since(now, m_timers.now()) >= probeHold;
                            m_probe.open = std::max(m_probe.open - 1, 0);
                            m_probe.pause = held ? requestRetry : m_probe.pause;
                            m_probe.nextAt =
                                m_timers.now() + (held ? milliseconds(0) : m_probe.pause);
                        }
                        if (!body) {
                            onForwardFailed(address, body.error());
                            return;
                        }
                        m_refusedConnections = 0;
                        m_coordinatorAnsweredAt = m_timers.now();
                        if (const auto answer = decodeAnswer(*body)) {
                            onProbeAnswered(address, *answer);
                        }
                    }));
}

void fleet_node::onProbeAnswered(const std::string &address, const caller_answer &answer)
{
    if (answer.version == 0) {
        m_probe.pause = std::min(m_probe.pause * 2, maxProbePause);
        noteNotCoordinating(address, answer);
        probeCoordinator();
        return;
    }
    if (address == coordinatorAddress()) {
        m_coordinatorMissing = false;
        checkWaiting();
    }
}

std::string fleet_node::coordinatorAddress() const
{
    if (!m_leaderReportedByPeers.empty()) {
        return m_leaderReportedByPeers;
    }
    return m_leader && m_leader->address != m_settings.peerAddress ? m_leader->address
                                                                   : std::string();
}

void fleet_node::noteNotCoordinating(const std::string &address, const caller_answer &answer)
{
    if (address != coordinatorAddress()) {
        return;
    }
    m_coordinatorMissing = true;
    // The coordinator named by the answer is used from now on, and the process that answered is no
    // longer taken for the coordinator. An answer that names the answering process itself means
    // that it is about to serve; one that names this process is out of date.
    const auto &known = answer.coordinator;
    if (known != address && known != m_settings.peerAddress) {
        const bool recorded = m_leader && known == m_leader->address;
        m_leaderReportedByPeers = recorded ? std::string() : known;
    }
}

void fleet_node::onForwardAnswered(const std::shared_ptr<pending_request> &each,
                                   const std::string &address, const caller_answer &answer)
{
    if (answer.kind == answer_kind::not_ready && answer.version == 0) {
        noteNotCoordinating(address, answer);
    }
    if (answer.kind == answer_kind::not_ready && m_timers.now() < each->giveUpAt
        && !(answer.version > 0 && each->request.operation == caller_operation::submit)) {
        retryRequest(each);
        return;
    }
    finishRequest(each, answer);
}

void fleet_node::onForwardFailed(const std::string &address, const error &failure)
{
    logForwardFailure(address, failure);
    if (failure.kind == error_kind::overloaded) {
        return; // it was not sent
    }
    if (failure.kind == error_kind::unavailable && address == coordinatorAddress()) {
        m_coordinatorMissing = true;
    }
    if (address == m_leaderReportedByPeers) {
        m_leaderReportedByPeers.clear();
        return;
    }
    if (!m_leader || m_leader->address != address) {
        return;
    }
    if (failure.systemError == ECONNREFUSED) {
        // No process listens at the address: the leader's process has ended and can send no more
        // orders.
        m_leaderDead = m_leaderDead || ++m_refusedConnections >= refusalsOfDeadLeader;
        scheduleCampaignIfNeeded(milliseconds(0));
    } else {
        m_refusedConnections = 0;
    }
}

void fleet_node::logForwardFailure(const std::string &address, const error &failure)
{
    const auto now = m_timers.now();
    const auto [found, first] = m_forwardFailures.try_emplace(address);
    auto &logged = found->second;
    if (!first && since(logged.loggedAt, now) < forwardFailureLogInterval) {
        ++logged.leftOut;
        return;
    }
    logEvent(log_level::warning, "forward_failed",
             {{"address", address},
              {"error", describe(failure)},
              {"left_out", std::exchange(logged.leftOut, 0)}});
    logged.loggedAt = now;
}

bool fleet_node::giveUpIfLate(const std::shared_ptr<pending_request> &each, milliseconds delay)
{
    const bool submission = each->request.operation == caller_operation::submit;
    const bool mayRun = each->maybeReceived || each->openCopies > 0;
    const auto end = submission && mayRun ? each->answerBy : each->giveUpAt;
    if (m_timers.now() + delay < end) {
        return false;
    }
    caller_answer answer;
    answer.kind = answer_kind::not_ready;
    answer.message = "no coordinator answered in time";
    answer.retryAfter = defaultRetryAfter;
    finishRequest(each, answer);
    return true;
}

void fleet_node::retryRequest(const std::shared_ptr<pending_request> &each)
{
    if (each->finished || each->waiting || each->retryScheduled) {
        return;
    }
    if (!canServe() && !canForward()) {
        waitForCoordinator(each);
        return;
    }
    const auto delay = requestRetry * (1 << std::min(each->retries, maxRetryDoublings));
    if (giveUpIfLate(each, delay)) {
        return;
    }
    ++each->retries;
    each->retryScheduled = true;
    later(delay, [this, each] {
        each->retryScheduled = false;
        tryRequest(each);
    });
}

void fleet_node::answerAsShuttingDown(const std::shared_ptr<pending_request> &each)
{
    caller_answer answer;
    answer.kind = answer_kind::not_ready;
    answer.message = "this process is shutting down";
    answer.retryAfter = defaultRetryAfter;
    finishRequest(each, answer);
}

void fleet_node::rememberUndecided(const std::string &path)
{
    const auto now = m_timers.now();
    if (m_undecided.size() >= maxUndecided) {
        std::erase_if(m_undecided, [now](const auto &each) {
            return since(each.second, now) >= undecidedMemory;
        });
    }
    if (m_undecided.size() < maxUndecided) {
        m_undecided[path] = now;
    }
}

void fleet_node::finishRequest(const std::shared_ptr<pending_request> &each, caller_answer answer)
{
    if (each->finished) {
        return;
    }
    each->finished = true;
    m_openRequests.erase(each);
    each->maybeReceived = each->maybeReceived || each->openCopies > 0;
    const bool refused = answer.kind == answer_kind::overloaded
                         || answer.kind == answer_kind::not_ready
                         || answer.kind == answer_kind::invalid;
    if (refused && each->maybeReceived && each->request.operation == caller_operation::submit) {
        // An earlier copy may still reach a coordinator, so that a rejection might turn out to be
        // wrong.
        answer.kind = answer_kind::outcome_unknown;
    }
    if (answer.kind == answer_kind::outcome_unknown || answer.kind == answer_kind::not_ready) {
        // Version 0: this process made the answer, because no coordinator answered in time.
        logEvent(log_level::info, "request_not_decided",
                 {{"path", each->request.path},
                  {"answer", nameOf(answer.kind)},
                  {"place", answer.version > 0 ? "coordinator" : "entry"},
                  {"reason", answer.message},
                  {"waited_ms", since(each->receivedAt, m_timers.now()).count()},
                  {"forwards", each->forwards}});
    }
    if (answer.kind == answer_kind::outcome_unknown) {
        rememberUndecided(each->request.path);
    }
    m_servedConfigVersion = std::max(m_servedConfigVersion, answer.version);
    m_metrics.add("ibishinge_answers_total", {{"answer", std::string(nameOf(answer.kind))}});
    each->done(answer);
}

} // namespace ibishinge::fleet
