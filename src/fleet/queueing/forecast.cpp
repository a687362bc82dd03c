#include <ibishinge/fleet/queueing/forecast.h>

#include <ibishinge/fleet/objective.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <utility>
#include <vector>

namespace ibishinge::fleet {

namespace {

/// Age at which an outlook is measured again. It says what is expected at later times too, so that
/// it need not be measured for each submission.
constexpr milliseconds outlookLifetime {100};

/// Accepted work counts as hopeless if it is expected to begin later than its objective permits by
/// more than the margin and this: what a pool may be wrong by in the order of its tasks.
constexpr milliseconds hopelessDelay {200};

/// Bounds of the time that a caller is told to wait. Callers give up after a few times their
/// objective, and until then the room that they were promised is kept from others.
constexpr int objectivesToWait = 4;
constexpr milliseconds longestWaitOfBriefJobs {30'000};
constexpr milliseconds longestRetryAfter {3'600'000};

constexpr milliseconds shortestRetryAfter {1000};

constexpr std::array<std::pair<forecast_mode, std::string_view>, 3> modeNames {{
    {forecast_mode::off, "off"},
    {forecast_mode::observe, "observe"},
    {forecast_mode::on, "on"},
}};

/// Bound of the parts of a forecast, in milliseconds, for the same reason.
constexpr double longestForecast = 1e10;

/// Weight of one promise in the share of those that are kept. The share follows a change of the
/// callers' behaviour within some 16 promises.
constexpr double promiseWeight = 1.0 / 16;

/// Promised work counts in full while at least this share of the callers returns, and less in
/// proportion below: otherwise a pool whose callers do not return would reject jobs while idle.
constexpr double fullReturnShare = 0.6;

/// Number of further forecasts of one job. With a later objective it has more work ahead of it,
/// which makes the forecast later, so that the earliest objective that it can meet is found by
/// repetition.
constexpr int maxForecasts = 4;

double toCores(std::int64_t cpuMillis)
{
    return static_cast<double>(cpuMillis) / 1000;
}

milliseconds wholeMs(double value)
{
    return milliseconds(static_cast<std::int64_t>(std::clamp(value, 0.0, longestForecast)));
}

/// Time at which the caller of a job repeats it: it is told whole seconds.
instant returnTime(milliseconds retryAfter, instant now)
{
    return now + std::chrono::ceil<std::chrono::seconds>(retryAfter);
}

/// Returns the length of the job's critical path from `begin` on, in milliseconds, where the tasks
/// of a step run in as many batches as the cores of the pool require.
double ownTime(const fleet_tables &tables, const pool_outlook &outlook, const job_entry &job,
               double begin)
{
    static const occurrence_entry unopened;
    std::vector<double> ends; // from `begin`
    double longest = 0;
    for (std::size_t i = 0; i < job.spec.steps.size(); ++i) {
        const auto &step = job.spec.steps[i];
        double time = 0;
        for (const int earlier : step.after) {
            time = std::max(time, ends[static_cast<std::size_t>(earlier)]);
        }
        const double mean = expectedRunMs(tables, job.queue, step);
        const double need = toCores(heldBy(step).cpuMillis);
        const auto slotsAt = [&](double when) {
            return std::max(1.0, std::floor(coresAt(outlook, begin + when) / need));
        };
        double left = step.count;
        for (const auto &arrival : outlook.capacity) {
            // Batches before the next hosts arrive.
            while (need > 0 && left > slotsAt(time) && begin + time < arrival.at) {
                left -= slotsAt(time);
                time += std::max(1.0, mean);
            }
        }
        if (need > 0) {
            time += mean * (std::ceil(left / slotsAt(time)) - 1);
        }
        ends.push_back(time + expectedStepMs(tables, job, unopened, i));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

/// Returns the cores of the smallest task that can begin the job, and its group.
std::pair<double, int> firstNeed(const fleet_tables &tables, work_groups &groups,
                                 const job_entry &job)
{
    const step_spec *smallest = nullptr;
    for (const auto &step : job.spec.steps) {
        if (step.after.empty()
            && (smallest == nullptr || heldBy(step).cpuMillis < heldBy(*smallest).cpuMillis)) {
            smallest = &step;
        }
    }
    if (smallest == nullptr) {
        return {0, 0};
    }
    return {toCores(heldBy(*smallest).cpuMillis),
            groupOf(tables, groups, job.customer, *smallest).value_or(0)};
}

/// Returns true if the promised work counts as ahead of other jobs of its pool.
bool counts(const promised_return &each, instant now)
{
    return each.group >= 0 && now <= each.returnAt + promiseGrace;
}

/// Counts a promise as kept or not.
void observeReturn(forecast_state &state, const std::string &pool, bool returned)
{
    auto &share = state.returnShares.try_emplace(pool, 1.0).first->second;
    share += ((returned ? 1.0 : 0.0) - share) * promiseWeight;
}

/// Returns the promised work of a pool that goes before the return with this number, by group.
std::map<int, promised_work> promisedBefore(const forecast_state &state, const std::string &pool,
                                            std::int64_t number, instant now)
{
    std::map<int, promised_work> work;
    const auto share = state.returnShares.find(pool);
    const double weight =
        share == state.returnShares.end() ? 1 : std::min(1.0, share->second / fullReturnShare);
    for (const auto &[id, each] : state.returns) {
        if (each.pool == pool && each.number < number && counts(each, now)) {
            auto &sum = work[each.group];
            sum.coreMs += weight * each.coreMs;
            sum.cores += weight * each.coreMs / std::max(1.0, each.durationMs);
        }
    }
    return work;
}

/// Returns the forecast of a job whose objective is at `place`.
std::optional<job_forecast> forecastJob(const fleet_tables &tables, const pool_outlook &outlook,
                                        const std::map<int, promised_work> &promised,
                                        const job_entry &job, const order_place &place,
                                        std::pair<double, int> need, instant now)
{
    const auto from = static_cast<double>(since(outlook.at, now).count());
    // Tasks that hold no processors wait for none.
    const auto room =
        need.first == 0 ? from : findRoom(outlook, place, promised, from, need.second, need.first);
    if (!room || outlook.capacity.empty()) {
        return std::nullopt;
    }
    job_forecast forecast;
    forecast.end = now + wholeMs(*room - from) + wholeMs(ownTime(tables, outlook, job, *room));
    forecast.aheadCoreMs = workAhead(outlook, place);
    for (const auto &[group, work] : promised) {
        forecast.aheadCoreMs += work.coreMs;
    }
    forecast.capacityCores = coresAt(outlook, *room);
    return forecast;
}

/// Returns the error that no forecast is below: work that is ahead holds up others until all of it
/// has begun, and the forecast waits until it has ended, half a run time later on average.
milliseconds batchError(const fleet_tables &tables, const job_entry &job)
{
    double longest = 0;
    for (const auto &step : job.spec.steps) {
        longest = std::max(longest, expectedRunMs(tables, job.queue, step));
    }
    return wholeMs(longest / 2);
}

/// Returns the largest margin of the queues of a pool.
milliseconds largestMargin(const forecast_state &state, const fleet_tables &tables,
                           const std::string &pool)
{
    milliseconds margin {0};
    for (const auto &[name, errors] : state.errors) {
        const auto queue = tables.queues.find(name);
        if (queue != tables.queues.end() && queue->second->pool == pool) {
            margin = std::max(margin, errors.margin);
        }
    }
    return margin;
}

/// Counts the returns that are past, and removes them if they are old enough.
void forgetReturns(forecast_state &state, instant now)
{
    for (auto each = state.returns.begin(); each != state.returns.end();) {
        if (!each->second.missed && now > each->second.returnAt + promiseGrace) {
            each->second.missed = true;
            observeReturn(state, each->second.pool, false);
        }
        const bool old = now - each->second.arrivedAt > promisedReturnMemory
                         && now > each->second.returnAt + promiseGrace;
        each = old ? state.returns.erase(each) : std::next(each);
    }
}

} // namespace

std::string_view nameOf(forecast_mode mode) noexcept
{
    return modeNames.at(static_cast<std::size_t>(mode)).second;
}

std::optional<forecast_mode> findForecastMode(std::string_view name) noexcept
{
    for (const auto &[mode, each] : modeNames) {
        if (each == name) {
            return mode;
        }
    }
    return std::nullopt;
}

forecast_judgement judgeForecast(forecast_state &state, const fleet_tables &tables,
                                 const pool_sizing_state &sizing, const job_entry &job,
                                 bool mayReject, instant now)
{
    forgetReturns(state, now);
    auto &outlook = state.outlooks[job.pool];
    if (outlook.at == instant {} || now - outlook.at >= outlookLifetime) {
        outlook = measureOutlook(tables, sizing, state.groups, job.pool, now);
        setAsideHopelessWork(outlook, largestMargin(state, tables, job.pool) + hopelessDelay);
    }
    forecast_judgement judgement;
    judgement.arrivedAt = now;
    judgement.objectiveFrom = now;
    const auto known = state.returns.find(job.id);
    const bool returns = known != state.returns.end() && known->second.pool == job.pool;
    const auto promised =
        promisedBefore(state, job.pool, returns ? known->second.number : state.lastReturn + 1, now);
    const auto need = firstNeed(tables, state.groups, job);
    const auto allowed = since(job.submittedAt, job.objectiveAt);
    const auto forecastAt = [&](const order_place &place) {
        return forecastJob(tables, outlook, promised, job, place, need, now);
    };
    const auto errors = state.errors.find(job.queue);
    // Not an optional: g++ 12 takes its value for uninitialized when it builds for the thread
    // sanitizer.
    const bool hasMargin =
        errors != state.errors.end() && forecastMargin(errors->second).has_value();
    const auto margin = hasMargin ? errors->second.margin : milliseconds(0);
    const auto latest = now + allowed;
    if (returns) {
        judgement.arrivedAt = known->second.arrivedAt;
    }
    // A job that returns goes before those that came after its first arrival, as far as it can meet
    // its objective then.
    auto objectiveAt = judgement.arrivedAt + allowed;
    judgement.forecast = forecastAt({objectiveAt});
    for (int i = 0; i < maxForecasts && judgement.forecast && objectiveAt < latest; ++i) {
        const auto needed = judgement.forecast->end + margin;
        if (needed <= objectiveAt) {
            break;
        }
        objectiveAt = i + 1 == maxForecasts ? latest : std::min(needed, latest);
        judgement.forecast = forecastAt({objectiveAt});
    }
    judgement.objectiveFrom = objectiveAt - allowed;
    if (judgement.forecast) {
        const auto without = promised.empty()
                                 ? std::nullopt
                                 : forecastJob(tables, outlook, {}, job, {objectiveAt}, need, now);
        judgement.endWithoutReturns = without.value_or(*judgement.forecast).end;
    }
    if (!mayReject || !judgement.forecast || !hasMargin || job.longRunning
        || job.spec.repetitions > 0) {
        return judgement;
    }
    // A job that is late in an empty pool as well is not helped by returning.
    const auto from = static_cast<double>(since(outlook.at, now).count());
    const auto inTime = std::max(latest, now + wholeMs(ownTime(tables, outlook, job, from)));
    // The time that a job was told came from a forecast too, so that both may be wrong.
    const bool onTime = returns && known->second.returnAt <= now;
    const auto allowance = std::max(margin, batchError(tables, job));
    // No caller is told to return as soon as this, so that it is a copy that was overtaken. The
    // caller may have been told that the job is rejected.
    const bool isCopy = returns && now < known->second.rejectedAt + shortestRetryAfter;
    if (!isCopy && judgement.forecast->end <= inTime + allowance * (onTime ? 2 : 1)) {
        return judgement;
    }
    judgement.rejected = true;
    if (returns && known->second.returnAt > now) {
        judgement.retryAfter = since(now, known->second.returnAt);
        return judgement;
    }
    auto last = judgement.forecast;
    for (int i = 0; i < maxForecasts; ++i) {
        const auto next = forecastAt({last->end});
        if (!next || next->end <= last->end) {
            break;
        }
        last = next;
    }
    const auto wait = std::min(last->end + margin - inTime, longestRetryAfter);
    const auto slotMs =
        static_cast<std::int64_t>(std::min(job.work / std::max(1.0, last->capacityCores), 1e9));
    const auto perMille = static_cast<std::int64_t>(std::hash<std::string> {}(job.id) % 1000);
    const auto spread = milliseconds(perMille * slotMs / 1000);
    const auto longest =
        std::clamp(allowed * objectivesToWait, longestWaitOfBriefJobs, longestRetryAfter);
    // Those that reach the bound do not return all at once either.
    judgement.retryAfter =
        std::clamp(wait + spread, shortestRetryAfter, longest + longest * perMille / 4000);
    return judgement;
}

void recordRejection(forecast_state &state, const fleet_tables &tables, const job_entry &job,
                     const forecast_judgement &judgement, instant now)
{
    const auto returnAt = returnTime(judgement.retryAfter, now);
    const auto known = state.returns.find(job.id);
    if (known != state.returns.end() && known->second.pool == job.pool) {
        // One that comes too early is told what is left of its time.
        if (known->second.returnAt <= now) {
            if (!std::exchange(known->second.missed, false)) {
                observeReturn(state, job.pool, true);
            }
            known->second.rejectedAt = now;
            known->second.returnAt = returnAt;
        }
        return;
    }
    if (known == state.returns.end() && state.returns.size() >= maxPromisedReturns) {
        return;
    }
    promised_return entry;
    entry.pool = job.pool;
    entry.arrivedAt = now;
    entry.rejectedAt = now;
    entry.returnAt = returnAt;
    entry.number = ++state.lastReturn;
    entry.group =
        job.spec.steps.empty()
            ? -1
            : groupOf(tables, state.groups, job.customer, job.spec.steps.front()).value_or(-1);
    entry.coreMs = job.work;
    entry.durationMs = static_cast<double>(job.criticalPath.count());
    state.returns.insert_or_assign(job.id, std::move(entry));
}

void recordAcceptance(forecast_state &state, const fleet_tables &tables, const job_entry &job,
                      instant now)
{
    const auto known = state.returns.find(job.id);
    if (known != state.returns.end()) {
        if (!known->second.missed) {
            observeReturn(state, known->second.pool, true);
        }
        state.returns.erase(known);
    }
    const auto outlook = state.outlooks.find(job.pool);
    if (outlook != state.outlooks.end()) {
        addNewJob(outlook->second, tables, state.groups, job, now);
    }
}

milliseconds forecastError(const job_entry &job, instant end)
{
    const auto latest = job.forecastEnd.value_or(end);
    const auto earliest = std::min(job.forecastWithoutReturns.value_or(latest), latest);
    // After its objective a job is put behind others, so that its end says no more about them.
    const auto counted = std::min(end, std::max(job.objectiveAt, latest));
    return since(std::clamp(counted, earliest, latest), counted);
}

void observeForecastError(forecast_errors &errors, milliseconds actualMinusForecast)
{
    errors.recentMs.at(errors.next) = actualMinusForecast.count();
    errors.next = (errors.next + 1) % forecast_errors::capacity;
    ++errors.observed;
    const auto count = std::min(errors.observed, forecast_errors::capacity);
    std::vector<std::int64_t> sizes;
    sizes.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        sizes.push_back(std::abs(errors.recentMs.at(i)));
    }
    const auto quartile = sizes.begin() + static_cast<std::ptrdiff_t>((3 * count) / 4);
    std::nth_element(sizes.begin(), quartile, sizes.end());
    errors.margin = milliseconds(*quartile);
}

std::optional<milliseconds> forecastMargin(const forecast_errors &errors)
{
    return errors.observed < minForecastObservations ? std::nullopt : std::optional(errors.margin);
}

} // namespace ibishinge::fleet
