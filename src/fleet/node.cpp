#include <ibishinge/fleet/node.h>

#include <ibishinge/base/logging.h>

#include <algorithm>
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

constexpr milliseconds campaignRetry {200};

/// Processes with less than this share of a core delay their campaign, by up to `weakPeerDelayMs`
/// milliseconds, so that a process with more processor time is elected first. Coordinating a few
/// hundred workers takes about a third of a core.
constexpr double strongPeerShare = 0.5;
constexpr double weakPeerDelayMs = 150;

} // namespace

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
    keepFieldsOf(m_config ? &*m_config : nullptr, *config);
    for (const auto &invalid : config->invalidFields) {
        m_metrics.add("ibishinge_invalid_entries_total", {{"kind", "configuration"}});
        logEvent(log_level::error, "configuration_field_invalid",
                 {{"version", config->version},
                  {"field", invalid.path},
                  {"entity", invalid.entity},
                  {"reason", invalid.reason}});
    }
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

bool fleet_node::isReady() const
{
    const auto now = m_timers.now();
    return !m_resigned && m_config && m_leader
           && since(m_configConfirmedAt, now) < m_settings.maxConfigurationAge;
}

} // namespace ibishinge::fleet
