#include <ibishinge/fleet/node.h>

#include <ibishinge/base/logging.h>

#include <algorithm>
#include <cerrno>
#include <tuple>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// A leader without an answer from the store for this long offers its leader record to processes
/// that may reach the store.
constexpr milliseconds storeLossDelay {600};
/// Silence of the store after which such processes are asked whether the store answers them.
constexpr milliseconds storeProbeDelay {300};
constexpr milliseconds probeTimeout {1000};
/// A coordinator that has been loaded for a shorter time than this does not hand over for want of
/// the store.
constexpr milliseconds minServingTime {1000};
/// Maximum number of processes that get an offer at the same time; some of them may be cut off from
/// the store as well.
constexpr std::size_t maxSuccessorOffers = 3;

/// A coordinator offers the leader record to a process with at least this many times its own
/// processor share: at once while it reads the records, otherwise when it has led for
/// `strongerPeerDelay`.
constexpr double strongerPeerFactor = 2;
constexpr milliseconds strongerPeerDelay {2000};
/// A process is asked again after this time whether it would take the leader record.
constexpr milliseconds strongerPeerRetry {5000};

} // namespace

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

} // namespace ibishinge::fleet
