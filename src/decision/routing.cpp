#include <ibishinge/decision/routing.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace ibishinge {

namespace {

/// Returns the factor by which a value with this half-life decays.
double decayFactor(milliseconds elapsed, milliseconds halfLife)
{
    return std::exp2(-static_cast<double>(elapsed.count()) / static_cast<double>(halfLife.count()));
}

/// Returns 0 for a load below 0.25. Otherwise, while nothing else is in flight, even the smallest
/// remainder of an old value would prevent a target from ever being chosen again.
double dropNegligibleLoad(double load)
{
    return load < 0.25 ? 0 : load;
}

milliseconds elapsedBetween(monotonic_time from, monotonic_time to)
{
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(to - from));
}

/// Returns the largest number of requests that this process may have in flight at the target.
int maxInFlight(const target &t)
{
    return std::min(t.slots, t.connections);
}

bool hasFreeSlot(const target &t)
{
    return t.listed && t.inFlight < maxInFlight(t);
}

void resetFailures(target &t)
{
    t.statistics = {};
    t.cause = ejection_cause::none;
    t.lastResortUntil = {};
    t.probesPassed = 0;
}

void activate(target &t, monotonic_time now)
{
    resetFailures(t);
    t.state = target_state::active;
    t.activeSince = now;
}

bool isEjectedForFailures(const target &t)
{
    return t.state == target_state::ejected && t.cause != ejection_cause::announced_leaving;
}

/// Returns the number of further targets of a service that may be ejected; negative if too many are
/// ejected.
int remainingEjections(const target_table &table, const std::vector<target_id> &ids)
{
    int listed = 0;
    int ejected = 0;
    for (const target_id id : ids) {
        const target &t = table.targets.at(id);
        listed += t.listed ? 1 : 0;
        ejected += isEjectedForFailures(t) ? 1 : 0;
    }
    return table.options.maxEjectedPercent * listed / 100 - ejected;
}

void scheduleProbe(const routing_options &options, target &t, monotonic_time now)
{
    t.probeBackOff = t.probeBackOff.count() == 0
                         ? options.initialProbeDelay
                         : std::min(options.maxProbeDelay, t.probeBackOff * 2);
    t.probeAt = now + t.probeBackOff;
    t.probesPassed = 0;
}

/// Ejects the target. If the service already has the largest share of ejected targets, the target
/// is used as a last resort instead.
void eject(target_table &table, target &t, ejection_cause cause, monotonic_time now)
{
    if (t.state != target_state::active) {
        return;
    }
    // The back-off of an earlier ejection does not apply to a target that has worked for long
    // since.
    if (elapsedBetween(t.activeSince, now) > 2 * t.probeBackOff) {
        t.probeBackOff = milliseconds(0);
    }
    if (remainingEjections(table, table.services.find(t.service)->second) <= 0) {
        t.lastResortUntil = now + table.options.initialProbeDelay;
        return;
    }
    t.state = target_state::ejected;
    t.cause = cause;
    scheduleProbe(table.options, t, now);
}

/// Applies the bound on ejected targets after the service has shrunk: the targets whose probes are
/// due first become active again, but are used only as a last resort.
void reactivateExcessEjections(target_table &table, const std::vector<target_id> &ids,
                               monotonic_time now)
{
    for (int excess = -remainingEjections(table, ids); excess > 0; --excess) {
        target *first = nullptr;
        for (const target_id id : ids) {
            target &t = table.targets.at(id);
            if (isEjectedForFailures(t) && (first == nullptr || t.probeAt < first->probeAt)) {
                first = &t;
            }
        }
        activate(*first, now);
        first->lastResortUntil = std::max(first->probeAt, now + table.options.initialProbeDelay);
    }
}

void setLeaving(target &t, monotonic_time now)
{
    if (t.state != target_state::leaving) {
        t.state = target_state::leaving;
        t.leavingSince = now;
        resetFailures(t);
    }
}

target_id findTarget(const target_table &table, const std::string &service, const endpoint &where)
{
    const auto found = table.services.find(service);
    if (found != table.services.end()) {
        for (const target_id id : found->second) {
            if (table.targets.at(id).where == where) {
                return id;
            }
        }
    }
    return 0;
}

target &findOrAddTarget(target_table &table, const std::string &service, const endpoint &where,
                        const std::string &hostId, monotonic_time now)
{
    const target_id known = findTarget(table, service, where);
    if (known != 0) {
        return table.targets.at(known);
    }
    const target_id id = table.nextTarget++;
    target &t = table.targets[id];
    t.id = id;
    t.service = service;
    t.where = where;
    t.hostId = hostId;
    t.activeSince = now;
    t.listed = false;
    table.services[service].push_back(id);
    return t;
}

void applyListing(target &t, const listed_host &host, const listed_service &service,
                  monotonic_time now)
{
    const bool leaving = host.state == listed_host_state::leaving;
    const bool replaced = t.hostId != host.id;
    // The target was restarted: the previous list showed it as leaving or not at all, or the host
    // at its address has changed.
    const bool returned = !leaving && (t.listedLeaving || replaced);
    t.hostId = host.id;
    t.dataCentre = host.dataCentre;
    t.slots = service.slots;
    t.connections = service.connections;
    t.listed = true;
    t.listedLeaving = leaving;
    if (leaving) {
        setLeaving(t, now);
    } else if (returned) {
        t.reportedLeaving = false;
        t.othersLoad = 0;
        t.probeBackOff = milliseconds(0);
        activate(t, now);
    }
}

/// Returns the load that recent failures count as, up to the slots of the target. Without it, a
/// target that fails requests at once would have nothing in flight and receive most of the
/// requests.
double failureLoad(const target &t)
{
    return dropNegligibleLoad(std::min(t.statistics.recentFailures, static_cast<double>(t.slots)));
}

double othersLoad(const target_table &table, const target &t, monotonic_time now)
{
    return dropNegligibleLoad(
        t.othersLoad * decayFactor(elapsedBetween(t.reportedAt, now), table.options.loadHalfLife));
}

/// Returns the target with the lowest load among random targets of `pool`; null if it is empty.
const target *leastLoadedOf(const target_table &table, std::vector<const target *> &pool,
                            monotonic_time now, random_engine &engine)
{
    const target *best = nullptr;
    double bestLoad = 0;
    const auto sampleSize =
        std::min(pool.size(), static_cast<std::size_t>(table.options.candidates));
    for (std::size_t i = 0; i < sampleSize; ++i) {
        std::uniform_int_distribution<std::size_t> index(i, pool.size() - 1);
        std::swap(pool[i], pool[index(engine)]);
        const target &t = *pool[i];
        const double load =
            t.inFlight + failureLoad(t) + table.options.othersWeight * othersLoad(table, t, now);
        if (best == nullptr || load < bestLoad) {
            best = pool[i];
            bestLoad = load;
        }
    }
    return best;
}

/// Chooses a target in the own data centre (`near`) unless it is full or clearly more loaded than
/// one in another data centre (`far`).
const target *chooseNearOrRemote(const target_table &table, std::vector<const target *> &near,
                                 std::vector<const target *> &far, monotonic_time now,
                                 random_engine &engine)
{
    const target *nearest = leastLoadedOf(table, near, now, engine);
    if (nearest == nullptr) {
        return leastLoadedOf(table, far, now, engine);
    }
    const double nearLoad = estimatedLoad(table, *nearest, now);
    if (nearLoad < table.options.minRemoteAdvantage) {
        return nearest;
    }
    const target *remote = leastLoadedOf(table, far, now, engine);
    if (remote == nullptr) {
        return nearest;
    }
    const double farLoad = estimatedLoad(table, *remote, now);
    const bool nearIsFull = nearLoad >= nearest->slots && farLoad < remote->slots;
    const bool nearIsMoreLoaded = nearLoad - farLoad >= table.options.minRemoteAdvantage;
    return nearIsFull || nearIsMoreLoaded ? remote : nearest;
}

bool isProbeDue(const routing_options &options, const target &t, const target_request &request,
                monotonic_time now)
{
    if (t.state != target_state::ejected || t.probing || t.probeAt > now) {
        return false;
    }
    // Without the last condition, an outlier would never be probed if its service only gets
    // requests that are not idempotent.
    return request.idempotent || t.cause != ejection_cause::outlier
           || t.probeAt + options.maxProbeDelay <= now;
}

target_reservation reserve(target_table &table, const target &chosen, const target_request &request,
                           bool probe, monotonic_time now)
{
    target &t = table.targets.at(chosen.id);
    ++t.inFlight;
    t.probing = t.probing || probe;
    const attempt_number number = table.nextAttempt++;
    table.attempts[number] = {t.id, probe, false, now + request.maxRun};
    return {number, t.id, t.where, probe};
}

void recordOutcome(const routing_options &options, target &t, attempt_outcome outcome)
{
    const double kept = 1 - 1 / options.statisticsWindow;
    t.statistics.attempts *= kept;
    t.statistics.failures *= kept;
    ++t.statistics.attempts;
    if (outcome != attempt_outcome::complete) {
        ++t.statistics.failures;
        ++t.statistics.recentFailures;
    }
}

void recordLoad(target &t, const attempt_report &report, monotonic_time now)
{
    if (report.load) {
        t.othersLoad = std::max(0, *report.load - t.inFlight);
        t.reportedAt = now;
        t.reportAge = milliseconds(0);
    }
    // A target that rejects a request counts as full, whatever load it reports.
    if (report.outcome == attempt_outcome::rejected) {
        t.othersLoad = std::max(t.othersLoad, static_cast<double>(t.slots));
        t.reportedAt = now;
        t.reportAge = milliseconds(0);
    }
}

void recordProbe(const routing_options &options, target &t, attempt_outcome outcome,
                 monotonic_time now)
{
    t.probing = false;
    if (t.state != target_state::ejected) {
        return;
    }
    if (outcome != attempt_outcome::complete) {
        scheduleProbe(options, t, now);
        return;
    }
    ++t.probesPassed;
    const int needed = t.cause == ejection_cause::outlier ? options.probesToReactivate : 1;
    if (t.probesPassed >= needed) {
        activate(t, now);
    } else {
        t.probeAt = now;
    }
}

void freeSlot(target_table &table, attempt_number number)
{
    const auto found = table.attempts.find(number);
    --table.targets.at(found->second.target).inFlight;
    table.attempts.erase(found);
}

void freeEndedAttempts(target_table &table, monotonic_time now)
{
    for (auto it = table.attempts.begin(); it != table.attempts.end();) {
        const auto next = std::next(it);
        if (it->second.timedOut && it->second.runsUntil <= now) {
            freeSlot(table, it->first);
        }
        it = next;
    }
}

void removeUnlistedTargets(target_table &table)
{
    std::erase_if(table.targets, [&table](const auto &entry) {
        const target &t = entry.second;
        if (t.listed || t.inFlight > 0) {
            return false;
        }
        std::erase(table.services.find(t.service)->second, t.id);
        return true;
    });
    std::erase_if(table.services, [](const auto &entry) { return entry.second.empty(); });
}

/// Returns true if the target fails far more often than the other targets of its service. Requests
/// that fail at all targets therefore cause no ejection.
bool isOutlier(const routing_options &options, const failure_statistics &own,
               const failure_statistics &all)
{
    const double restAttempts = all.attempts - own.attempts;
    if (own.failures < options.minOutlierFailures || own.attempts < options.minOutlierAttempts
        || restAttempts < options.minOutlierAttempts) {
        return false;
    }
    // The lower bound prevents a deviation of 0 if the other targets have no failures.
    const double expected = std::clamp((all.failures - own.failures) / restAttempts, 0.05, 0.95);
    const double deviation = std::sqrt(own.attempts * expected * (1 - expected));
    return own.failures / own.attempts >= expected + options.minOutlierRateDifference
           && own.failures - own.attempts * expected >= options.minOutlierDeviations * deviation;
}

void ejectOutliers(target_table &table, const std::vector<target_id> &ids, monotonic_time now)
{
    failure_statistics all;
    for (const target_id id : ids) {
        const auto &s = table.targets.at(id).statistics;
        all.attempts += s.attempts;
        all.failures += s.failures;
    }
    if (all.failures < table.options.minOutlierFailures) {
        return; // No target has enough failures to be an outlier.
    }
    std::vector<target *> outliers;
    for (const target_id id : ids) {
        target &t = table.targets.at(id);
        if (t.state == target_state::active && isOutlier(table.options, t.statistics, all)) {
            outliers.push_back(&t);
        }
    }
    // The targets with the highest failure rates are ejected first, because the bound on ejected
    // targets may not permit the ejection of all.
    std::stable_sort(outliers.begin(), outliers.end(), [](const target *a, const target *b) {
        return a->statistics.failures * b->statistics.attempts
               > b->statistics.failures * a->statistics.attempts;
    });
    for (target *t : outliers) {
        eject(table, *t, ejection_cause::outlier, now);
    }
}

void ageTarget(const routing_options &options, target &t, monotonic_time now, milliseconds elapsed)
{
    const double kept = decayFactor(elapsed, options.statisticsHalfLife);
    t.statistics.attempts *= kept;
    t.statistics.failures *= kept;
    t.statistics.recentFailures *= decayFactor(elapsed, options.recentFailuresHalfLife);
    t.reportAge = elapsedBetween(t.reportedAt, now);
    const bool maybeRestarted =
        t.state == target_state::leaving && t.listed && t.reportedLeaving && !t.listedLeaving
        && elapsedBetween(t.leavingSince, now) >= options.leavingRecheckDelay;
    if (maybeRestarted) {
        t.reportedLeaving = false;
        t.state = target_state::ejected;
        t.cause = ejection_cause::announced_leaving;
        t.probeBackOff = milliseconds(0);
        scheduleProbe(options, t, now);
        t.probeAt = now;
    }
}

} // namespace

bool updateTargets(target_table &table, const host_list_snapshot &list, monotonic_time now)
{
    if (table.hasHostList && list.version < table.listVersion) {
        return false;
    }
    table.hasHostList = true;
    table.listVersion = list.version;
    std::map<target_id, std::pair<const listed_host *, const listed_service *>> present;
    for (const auto &host : list.hosts) {
        for (const auto &service : host.services) {
            const target &t = findOrAddTarget(table, service.name, service.where, host.id, now);
            auto &entry = present[t.id];
            // While a host is being replaced, the old and the new host can have the same address.
            if (entry.first == nullptr || host.state == listed_host_state::live) {
                entry = {&host, &service};
            }
        }
    }
    for (auto &[id, t] : table.targets) {
        const auto found = present.find(id);
        if (found != present.end()) {
            applyListing(t, *found->second.first, *found->second.second, now);
        } else {
            t.listed = false;
            t.listedLeaving = true;
            setLeaving(t, now);
        }
    }
    removeUnlistedTargets(table);
    for (const auto &[service, ids] : table.services) {
        reactivateExcessEjections(table, ids, now);
    }
    return true;
}

void markLeaving(target_table &table, const endpoint &where, monotonic_time now)
{
    for (auto &[id, t] : table.targets) {
        if (t.where == where) {
            t.reportedLeaving = true;
            setLeaving(t, now);
        }
    }
}

double estimatedLoad(const target_table &table, const target &t, monotonic_time now)
{
    return t.inFlight + failureLoad(t) + othersLoad(table, t, now);
}

result<target_reservation> selectTarget(target_table &table, const target_request &request,
                                        monotonic_time now, random_engine &engine)
{
    const std::string place = "service " + std::string(request.service);
    const auto found = table.services.find(request.service);
    if (found == table.services.end()) {
        return makeError(error_kind::unknown_entity, place,
                         "no target of the service in the host list");
    }
    std::vector<const target *> near;
    std::vector<const target *> far;
    std::vector<const target *> lastResort;
    bool anyActive = false;
    for (const target_id id : found->second) {
        const target &t = table.targets.at(id);
        anyActive = anyActive || t.state == target_state::active;
        if (request.exclude == id || !hasFreeSlot(t)) {
            continue;
        }
        if (isProbeDue(table.options, t, request, now)) {
            return reserve(table, t, request, true, now);
        }
        if (t.state != target_state::active) {
            continue;
        }
        if (t.lastResortUntil > now) {
            lastResort.push_back(&t);
        } else {
            (t.dataCentre == request.ownDataCentre ? near : far).push_back(&t);
        }
    }
    const target *chosen = chooseNearOrRemote(table, near, far, now, engine);
    if (chosen == nullptr) {
        chosen = leastLoadedOf(table, lastResort, now, engine);
    }
    if (chosen != nullptr) {
        return reserve(table, *chosen, request, false, now);
    }
    if (anyActive) {
        return makeError(error_kind::overloaded, place, "all slots of this process are in use");
    }
    return makeError(error_kind::not_ready, place, "all targets are leaving or ejected");
}

bool completeAttempt(target_table &table, attempt_number attempt, const attempt_report &report,
                     monotonic_time now)
{
    const auto found = table.attempts.find(attempt);
    if (found == table.attempts.end()) {
        return false;
    }
    open_attempt &open = found->second;
    target &t = table.targets.at(open.target);
    const bool probe = open.probe;
    const bool firstReport = !open.timedOut;
    if (report.outcome == attempt_outcome::timeout) {
        open.timedOut = true;
    } else {
        freeSlot(table, attempt);
    }
    recordLoad(t, report, now);
    if (report.leaving) {
        t.reportedLeaving = true;
        setLeaving(t, now);
    }
    // The timeout was counted before. A late response only frees the slot and updates the load and
    // the leaving state.
    if (firstReport) {
        if (t.state == target_state::active) {
            recordOutcome(table.options, t, report.outcome);
        }
        if (probe) {
            recordProbe(table.options, t, report.outcome, now);
        } else if (report.outcome == attempt_outcome::unavailable) {
            eject(table, t, ejection_cause::refused, now);
        }
    }
    if (!t.listed) {
        removeUnlistedTargets(table);
    }
    return true;
}

void updateTargetHealth(target_table &table, monotonic_time now, milliseconds sinceLast)
{
    freeEndedAttempts(table, now);
    for (auto &[id, t] : table.targets) {
        ageTarget(table.options, t, now, sinceLast);
    }
    for (const auto &[service, ids] : table.services) {
        ejectOutliers(table, ids, now);
    }
    removeUnlistedTargets(table);
}

} // namespace ibishinge
