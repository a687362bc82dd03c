#include <ibishinge/fleet/node.h>

#include <ibishinge/base/logging.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace ibishinge::fleet {

namespace {

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

void fleet_node::answerAllBy(instant deadline)
{
    m_answerAllBy = deadline;
    later(std::max(since(m_timers.now(), deadline), milliseconds(0)), [this] {
        for (const auto &each : std::set(m_openRequests)) {
            answerAsShuttingDown(each);
        }
    });
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
