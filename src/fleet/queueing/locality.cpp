#include <ibishinge/fleet/queueing/locality.h>

#include <ibishinge/fleet/objective.h>
#include <ibishinge/fleet/placement.h>
#include <ibishinge/fleet/tables.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace ibishinge::fleet {

namespace {

/// Runs of each kind that are observed before the setting is replaced by the ratio of their means.
constexpr int requiredRuns = 10;

/// Weight of the newest run in the means and in the share of far runs, as for the run times of a
/// queue.
constexpr double newestRunWeight = 0.05;

/// Time before the last moment for a start elsewhere at which a wait ends for the objective: a
/// scheduling pass may be 200 ms late under load, and an order takes up to 50 ms.
constexpr milliseconds startMargin {250};

/// Time constant of the demand for a rack.
constexpr milliseconds demandMemory {3000};

/// Demand for a rack from which no wait begins. In bursts of ten run times with three times the run
/// time elsewhere, 1 gave up waits that pay at a demand of 1.2 (mean time of jobs 6.4 instead of
/// 5.4 s), and without a limit jobs took 26% longer at a demand of 2 than without waits.
constexpr double maxDemand = 2;

/// A run that takes longer than expected is expected to go on for this share of its time so far.
constexpr double overdueShare = 0.25;

constexpr std::array<std::pair<no_wait_reason, std::string_view>, 6> reasonNames {{
    {no_wait_reason::none, "none"},
    {no_wait_reason::no_worker, "no_worker"},
    {no_wait_reason::too_late, "too_late"},
    {no_wait_reason::demand, "demand"},
    {no_wait_reason::bound, "bound"},
    {no_wait_reason::objective, "objective"},
}};

/// Longest time that is calculated with, in ms: 30 years. The far factor has no upper limit, and
/// the product with a run time would not fit into the type otherwise.
constexpr double maxMs = 1e12;

milliseconds wholeMs(double value)
{
    return milliseconds(static_cast<std::int64_t>(std::min(value, maxMs)));
}

double decayed(const rack_demand &demand, instant now)
{
    const auto age = static_cast<double>(since(demand.at, now).count());
    return demand.coreMs * std::exp(-age / static_cast<double>(demandMemory.count()));
}

/// Order of a heap with the earliest release on top.
bool isLater(const rack_forecast::release &a, const rack_forecast::release &b)
{
    return a.at > b.at;
}

void pushRelease(rack_forecast &forecast, const rack_forecast::release &release)
{
    forecast.releases.push_back(release);
    std::push_heap(forecast.releases.begin(), forecast.releases.end(), isLater);
}

/// Applies the next release and returns it. Precondition: there is one.
rack_forecast::release applyNextRelease(rack_forecast &forecast)
{
    std::pop_heap(forecast.releases.begin(), forecast.releases.end(), isLater);
    const auto release = forecast.releases.back();
    forecast.releases.pop_back();
    auto &place = forecast.places[release.place];
    place.available = place.available + release.released;
    forecast.clock = std::max(forecast.clock, release.at);
    return release;
}

/// Returns when the run is expected to have ended; nothing if that is not known.
std::optional<instant> expectedEnd(const fleet_tables &tables, const run_entry &run,
                                   const worker_status &worker, double setting, instant now)
{
    if (run.phase == run_phase::stopping) {
        return now;
    }
    const auto job = tables.jobs.find(run.key.task.job);
    if (run.longRunning || job == tables.jobs.end()) {
        return std::nullopt;
    }
    const auto occurrence = job->second.occurrences.find(run.key.task.occurrence);
    if (occurrence == job->second.occurrences.end()) {
        return std::nullopt;
    }
    const auto number = static_cast<std::size_t>(run.key.task.step);
    const auto &step = job->second.spec.steps[number];
    double runMs = expectedStepMs(tables, job->second, occurrence->second, number);
    if (!step.dataRack.empty()) {
        const auto found = tables.statistics.find(job->second.queue);
        const auto seen =
            found == tables.statistics.end() ? distance_statistics {} : found->second.distance;
        const double factor = farFactorOf(seen, setting);
        runMs =
            nearRunMs(seen, runMs, factor) * (hasLabel(worker.entry, step.dataRack) ? 1 : factor);
    }
    const auto begin = run.beganAt.value_or(run.orderedAt);
    const auto elapsed = static_cast<double>(since(begin, now).count());
    return now + wholeMs(std::max(runMs - elapsed, overdueShare * elapsed));
}

} // namespace

std::string_view nameOf(no_wait_reason reason) noexcept
{
    return std::find_if(reasonNames.begin(), reasonNames.end(),
                        [reason](const auto &row) { return row.first == reason; })
        ->second;
}

result<double> parseFarFactor(std::string_view text)
{
    if (text.empty()) {
        return 0;
    }
    double factor = 0;
    const auto *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, factor);
    if (parsed.ec != std::errc {} || parsed.ptr != end || !std::isfinite(factor) || factor < 1) {
        return makeError(error_kind::invalid_request, "far factor",
                         "'" + std::string(text)
                             + "' is not allowed; expected a number of at least 1");
    }
    return factor;
}

void observeDistance(distance_statistics &seen, bool isNear, double ratio)
{
    auto &runs = isNear ? seen.nearRuns : seen.farRuns;
    auto &mean = isNear ? seen.nearMean : seen.farMean;
    mean += std::max(newestRunWeight, 1.0 / (runs + 1)) * (ratio - mean);
    ++runs;
    const double weight = std::max(newestRunWeight, 1.0 / (seen.nearRuns + seen.farRuns));
    seen.farShare += weight * ((isNear ? 0 : 1) - seen.farShare);
}

double farFactorOf(const distance_statistics &seen, double setting)
{
    if (seen.nearRuns < requiredRuns || seen.farRuns < requiredRuns || seen.nearMean <= 0) {
        return setting;
    }
    return std::max(1.0, seen.farMean / seen.nearMean);
}

double nearRunMs(const distance_statistics &seen, double meanMs, double factor)
{
    return meanMs / (1 + seen.farShare * (factor - 1));
}

void addDemand(rack_demand &demand, double coreMs, instant now)
{
    demand.coreMs = decayed(demand, now) + coreMs;
    demand.at = now;
}

double demandShare(const rack_demand &demand, double cores, instant now)
{
    return decayed(demand, now) / (cores * static_cast<double>(demandMemory.count()));
}

milliseconds costOfDistance(const rack_question &question)
{
    return wholeMs(question.nearRunMs * (question.factor - 1));
}

std::pair<instant, no_wait_reason> latestPlace(const rack_question &question)
{
    const auto cost = costOfDistance(question);
    std::pair<instant, no_wait_reason> latest {question.now + cost - question.waited,
                                               no_wait_reason::too_late};
    if (question.waited >= cost) {
        latest.second = no_wait_reason::bound;
    }
    const auto remainingElsewhere = question.remaining + cost;
    std::optional<instant> latestStart;
    if (question.now + remainingElsewhere <= question.objectiveAt) {
        latestStart = question.objectiveAt - remainingElsewhere;
    } else if (question.now + question.remaining <= question.objectiveAt) {
        latestStart = question.objectiveAt - question.remaining; // only the rack meets it
    }
    if (latestStart && *latestStart - startMargin < latest.first) {
        latest = {*latestStart - startMargin, no_wait_reason::objective};
    }
    return latest;
}

rack_answer decideRack(const rack_question &question)
{
    if (!question.hasWorker) {
        return {rack_decision::elsewhere, no_wait_reason::no_worker, {}};
    }
    if (question.expectedAt && *question.expectedAt <= question.now) {
        return {rack_decision::place_here, no_wait_reason::none, {}};
    }
    const auto [until, reason] = latestPlace(question);
    if (!question.expectedAt || *question.expectedAt >= until) {
        return {rack_decision::elsewhere, reason, {}};
    }
    const double unused = std::max(0.0, 1 - question.demand / maxDemand);
    const auto gain = wholeMs(static_cast<double>(costOfDistance(question).count()) * unused);
    if (!question.waits && *question.expectedAt >= question.now + gain) {
        return {rack_decision::elsewhere, no_wait_reason::demand, {}};
    }
    return {rack_decision::wait, no_wait_reason::none, until};
}

rack_forecast makeRackForecast(const fleet_tables &tables,
                               const std::vector<worker_status *> &usable, const std::string &rack,
                               double setting, instant now)
{
    rack_forecast forecast;
    forecast.clock = now;
    for (auto *const worker : usable) {
        if (!hasLabel(worker->entry, rack) || worker->reservedFor || worker->observedRuns > 0) {
            continue;
        }
        for (const auto &key : worker->runs) {
            const auto &run = tables.runs.at(key);
            if (const auto end = expectedEnd(tables, run, *worker, setting, now)) {
                forecast.releases.push_back({*end, forecast.places.size(), run.held});
            }
        }
        forecast.cores += static_cast<double>(worker->entry.capacity.cpuMillis) / 1000;
        forecast.places.push_back({worker, worker->entry.capacity - worker->held});
    }
    std::make_heap(forecast.releases.begin(), forecast.releases.end(), isLater);
    return forecast;
}

std::optional<instant> takePlace(rack_forecast &forecast, const resources &need,
                                 milliseconds runTime, instant limit,
                                 const place_filter &isSuitablePlace)
{
    if (forecast.clock >= limit
        || (forecast.failed && fits(forecast.failed->first, need)
            && limit <= forecast.failed->second)) {
        return std::nullopt;
    }
    const auto clockBefore = forecast.clock;
    const auto take = [&](std::size_t number) {
        auto &place = forecast.places[number];
        if (!fits(need, place.available) || !isSuitablePlace(*place.worker)) {
            return false;
        }
        place.available = place.available - need;
        pushRelease(forecast, {forecast.clock + runTime, number, need});
        return true;
    };
    for (std::size_t number = 0; number < forecast.places.size(); ++number) {
        if (take(number)) {
            return forecast.clock;
        }
    }
    std::vector<rack_forecast::release> applied;
    while (!forecast.releases.empty() && forecast.releases.front().at < limit) {
        applied.push_back(applyNextRelease(forecast));
        if (take(applied.back().place)) {
            return forecast.clock;
        }
    }
    for (const auto &release : applied) {
        auto &place = forecast.places[release.place];
        place.available = place.available - release.released;
        pushRelease(forecast, release);
    }
    forecast.clock = clockBefore;
    if (std::all_of(forecast.places.begin(), forecast.places.end(),
                    [&](const auto &place) { return isSuitablePlace(*place.worker); })) {
        forecast.failed = {need, limit};
    }
    return std::nullopt;
}

std::int64_t countFitting(const task_group &group, const resources &available)
{
    std::int64_t count = group.maxPerWorker > 0 ? group.maxPerWorker : group.count;
    for (const auto part :
         {&resources::cpuMillis, &resources::memoryMb, &resources::accelerators}) {
        const auto need = group.need.*part;
        if (need > 0) {
            count = std::min(count, std::max<std::int64_t>(0, available.*part) / need);
        }
    }
    return count;
}

std::optional<instant> whenAllFit(const rack_forecast &forecast, const task_group &group,
                                  instant limit, const place_filter &isSuitablePlace)
{
    auto later = forecast;
    std::vector<std::int64_t> fitting;
    std::int64_t total = 0;
    const auto countAt = [&](const rack_forecast::place &place) {
        return isSuitablePlace(*place.worker) ? countFitting(group, place.available) : 0;
    };
    for (const auto &place : later.places) {
        fitting.push_back(countAt(place));
        total += fitting.back();
    }
    while (total < group.count) {
        if (later.releases.empty() || later.releases.front().at >= limit) {
            return std::nullopt;
        }
        const auto number = applyNextRelease(later).place;
        total -= fitting[number];
        fitting[number] = countAt(later.places[number]);
        total += fitting[number];
    }
    return later.clock;
}

void recordPlacement(rack_forecast &forecast, const worker_status &worker, const resources &held,
                     instant endsAt)
{
    const auto place = std::find_if(forecast.places.begin(), forecast.places.end(),
                                    [&](const auto &each) { return each.worker == &worker; });
    if (place == forecast.places.end()) {
        return;
    }
    place->available = place->available - held;
    pushRelease(forecast,
                {endsAt, static_cast<std::size_t>(place - forecast.places.begin()), held});
}

} // namespace ibishinge::fleet
