#include <ibishinge/service/request_dispatcher.h>

#include <ibishinge/service/request_parser.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace ibishinge {

namespace {

/// Work without a key has no upper limit in the catalogue; it shares slots like a team of weight 1.
constexpr int openTeamLimit = 1'000'000;
constexpr milliseconds healthInterval {100};

} // namespace

/// A thread that waits in `acquire`.
struct request_dispatcher::waiter
{
    dispatch_request request;
    std::condition_variable ready;
    std::optional<result<dispatch_slot>> outcome;
};

std::unique_ptr<request_dispatcher> request_dispatcher::create(request_dispatcher_options options,
                                                               allowance_manager &allowances,
                                                               const clock_source &clock)
{
    return std::unique_ptr<request_dispatcher>(
        new request_dispatcher(std::move(options), allowances, clock));
}

request_dispatcher::request_dispatcher(request_dispatcher_options options,
                                       allowance_manager &allowances, const clock_source &clock)
    : m_options(std::move(options))
    , m_allowances(allowances)
    , m_clock(clock)
    , m_random(m_options.seed)
    , m_lastHealthUpdate(clock.now())
{
    m_admission.settings = m_options.admission;
    m_targets.options = m_options.routing;
}

result<dispatch_slot> request_dispatcher::acquire(const dispatch_request &request)
{
    std::unique_lock lock(m_mutex);
    const monotonic_time now = m_clock.now();
    if (!m_targets.services.contains(request.service)) {
        return makeError(error_kind::not_ready, "service " + request.service,
                         "the host list shows no target of it");
    }
    waiter self {request, {}, {}};
    const std::uint64_t id = m_nextId++;
    auto queued = submit(m_admission,
                         {id, request.team, request.service,
                          request.workClass == work_class::urgent, request.deadline},
                         now);
    if (!queued) {
        return tl::unexpected(std::move(queued.error()));
    }
    m_waiters.emplace(id, &self);
    startWaiting(request.service, now);
    self.ready.wait(lock, [&self] { return self.outcome.has_value(); });
    return std::move(*self.outcome);
}

int request_dispatcher::freeSlots(const std::string &service, monotonic_time now) const
{
    const auto found = m_targets.services.find(service);
    if (found == m_targets.services.end()) {
        return 0;
    }
    int free = 0;
    for (const target_id id : found->second) {
        const target &t = m_targets.targets.at(id);
        if (t.state == target_state::leaving) {
            continue;
        }
        if (t.state == target_state::ejected) {
            // One request may probe the target once its back-off has passed.
            free += !t.probing && t.probeAt <= now ? 1 : 0;
            continue;
        }
        free += std::max(0, t.slots - t.inFlight);
    }
    return free;
}

result<target_reservation> request_dispatcher::reserveTarget(const dispatch_request &request,
                                                             std::optional<target_id> exclude,
                                                             monotonic_time now)
{
    return selectTarget(
        m_targets,
        {request.service, m_options.dataCentre, request.maxRun, request.idempotent, exclude}, now,
        m_random);
}

void request_dispatcher::startWaiting(const std::string &service, monotonic_time now)
{
    const auto started =
        startNext(m_admission, service, freeSlots(service, now), now,
                  [this](const std::string &team) { return m_allowances.tryStart(team); });
    for (const auto &next : started) {
        const auto found = m_waiters.find(next.id);
        if (found == m_waiters.end()) {
            endRun(next.id, next.team, run_sample::none, now);
            continue;
        }
        const dispatch_request &request = found->second->request;
        auto target = reserveTarget(request, std::nullopt, now);
        if (!target) {
            endRun(next.id, next.team, run_sample::none, now);
            deliver(next.id, tl::unexpected(std::move(target.error())));
            continue;
        }
        ++m_started;
        recordFirstAttempt(m_retries);
        deliver(next.id, dispatch_slot {next.id, request, *target});
    }
}

void request_dispatcher::deliver(std::uint64_t id, result<dispatch_slot> outcome)
{
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end()) {
        return;
    }
    waiter *waiting = found->second;
    m_waiters.erase(found);
    waiting->outcome = std::move(outcome);
    waiting->ready.notify_one();
}

void request_dispatcher::endRun(std::uint64_t id, const std::string &team, run_sample sample,
                                monotonic_time now)
{
    finish(m_admission, id, sample, now);
    m_allowances.finished(team);
}

result<void> request_dispatcher::moveToOtherTarget(dispatch_slot &slot,
                                                   const attempt_report &report)
{
    const std::lock_guard lock(m_mutex);
    const monotonic_time now = m_clock.now();
    completeAttempt(m_targets, slot.target.attempt, report, now);
    const target_id previous = slot.target.target;
    slot.target.attempt = 0;
    if (!takeRetry(m_retries)) {
        return makeError(error_kind::overloaded, "service " + slot.request.service,
                         "a target did not take the request and the retry budget is used up");
    }
    auto next = reserveTarget(slot.request, previous, now);
    if (!next) {
        return tl::unexpected(std::move(next.error()));
    }
    slot.target = *next;
    return {};
}

void request_dispatcher::complete(const dispatch_slot &slot, const attempt_report &report)
{
    const std::lock_guard lock(m_mutex);
    const monotonic_time now = m_clock.now();
    --m_started;
    if (slot.target.attempt != 0) {
        completeAttempt(m_targets, slot.target.attempt, report, now);
    }
    const bool mayStillRun =
        report.outcome == attempt_outcome::timeout || report.outcome == attempt_outcome::failed;
    if (mayStillRun) {
        m_lingering.push_back({slot.id, slot.request.team, now + slot.request.maxRun});
    } else {
        const bool ran = report.outcome == attempt_outcome::complete;
        endRun(slot.id, slot.request.team, ran ? run_sample::complete : run_sample::none, now);
    }
    startWaiting(slot.request.service, now);
}

void request_dispatcher::endLingeringRuns(monotonic_time now)
{
    const auto ended = std::partition(m_lingering.begin(), m_lingering.end(),
                                      [now](const lingering_run &run) { return run.until > now; });
    for (auto it = ended; it != m_lingering.end(); ++it) {
        endRun(it->id, it->team, run_sample::complete, now);
    }
    m_lingering.erase(ended, m_lingering.end());
}

void request_dispatcher::refreshAllowances(monotonic_time now)
{
    for (const auto &[name, team] : m_admission.teams) {
        m_allowances.setQueued(name, queuedRequests(m_admission, name));
        const team_allowance allowance = m_allowances.stateOf(name);
        setAllowance(m_admission, name, {allowance.cap, allowance.limit, allowance.othersRunning},
                     now);
    }
}

void request_dispatcher::tick()
{
    const std::lock_guard lock(m_mutex);
    const monotonic_time now = m_clock.now();
    // A pass over 2,500 targets takes 0.5 ms; at each tick it would take 2.3% of a core.
    const bool isHealthDue = now - m_lastHealthUpdate >= healthInterval;
    if (isHealthDue) {
        updateTargetHealth(m_targets, now,
                           std::chrono::duration_cast<milliseconds>(now - m_lastHealthUpdate));
        m_lastHealthUpdate = now;
    }
    endLingeringRuns(now);
    refreshAllowances(now);
    for (auto &refused : expire(m_admission, now)) {
        deliver(refused.id, tl::unexpected(std::move(refused.reason)));
    }
    // Without waiting requests this only refreshes the count of free slots.
    if (isHealthDue || !m_admission.waiting.empty()) {
        for (const auto &[service, ids] : m_targets.services) {
            startWaiting(service, now);
        }
    }
}

void request_dispatcher::applyCatalogue(const catalogue &in, std::int64_t revision)
{
    std::map<std::string, int> limits;
    for (const auto &team : in.teams) {
        limits[team.name] = static_cast<int>(team.upperLimit);
    }
    limits[std::string(openTeam)] = openTeamLimit;
    milliseconds longestRun {0};
    for (const auto &service : in.services) {
        longestRun = std::max(longestRun, service.maxRun);
    }
    const std::lock_guard lock(m_mutex);
    if (revision <= m_catalogueRevision) {
        return;
    }
    m_catalogueRevision = revision;
    m_allowances.setLongestRun(longestRun);
    m_allowances.setLimits(limits, revision);
    setTeam(m_admission, std::string(openTeam), 1);
    for (const auto &service : in.services) {
        setService(m_admission, service.name,
                   static_cast<std::size_t>(std::max<std::int64_t>(service.maxWaiting, 1)));
    }
    for (const auto &team : in.teams) {
        setTeam(m_admission, team.name, team.shareWeight);
    }
    refreshAllowances(m_clock.now());
}

bool request_dispatcher::waitsForAllowance() const
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(
        m_admission.teams.begin(), m_admission.teams.end(), [this](const auto &item) {
            const auto &[name, team] = item;
            return team.running >= team.cap && team.cap + team.othersRunning < team.limit
                   && queuedRequests(m_admission, name) > 0;
        });
}

void request_dispatcher::updateHosts(const host_list_snapshot &hosts)
{
    const std::lock_guard lock(m_mutex);
    updateTargets(m_targets, hosts, m_clock.now());
}

void request_dispatcher::markTargetLeaving(const endpoint &where)
{
    const std::lock_guard lock(m_mutex);
    markLeaving(m_targets, where, m_clock.now());
}

std::vector<std::string> request_dispatcher::leavingTargets() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> leaving;
    for (const auto &[id, t] : m_targets.targets) {
        if (t.reportedLeaving) {
            leaving.push_back(toString(t.where));
        }
    }
    return leaving;
}

void request_dispatcher::beginShutdown()
{
    const std::lock_guard lock(m_mutex);
    ibishinge::beginShutdown(m_admission);
    for (auto &refused : expire(m_admission, m_clock.now())) {
        deliver(refused.id, tl::unexpected(std::move(refused.reason)));
    }
}

std::size_t request_dispatcher::inProgress() const
{
    const std::lock_guard lock(m_mutex);
    return m_waiters.size() + m_started;
}

bool request_dispatcher::isReady() const
{
    const std::lock_guard lock(m_mutex);
    return m_catalogueRevision > 0 && !m_targets.targets.empty();
}

} // namespace ibishinge
