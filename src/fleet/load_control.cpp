#include <ibishinge/fleet/load_control.h>

#include <algorithm>
#include <cmath>

namespace ibishinge::fleet {

namespace {

/// Samples closer together than this count as one.
constexpr milliseconds sampleSpacing {10};
/// Time over which the least lag is the current one.
constexpr milliseconds currentInterval {100};

/// Admission is no longer limited after this time without a rejection.
constexpr milliseconds limitedWithoutRejection {2000};

/// Fastest relative change of the limit, a second. What is admitted causes most of its work within
/// the next two seconds, so that a faster change would overshoot.
constexpr double growthPerSecond = 1;
constexpr double declinePerSecond = 1;

/// The limit is at least this share of the rate at which tasks end: while a backlog drains, nothing
/// is admitted, and the lag tells nothing about the limit.
constexpr double floorOfEnded = 0.5;
constexpr double smallestLimit = 1;
/// The limit is also at least this share of what is offered while the lag is within its target, so
/// that one that began before the demand does not hold it back.
constexpr double floorOfOffered = 0.25;

/// Credit for submissions that arrive together, and longest wait for a large one to be paid off, in
/// seconds of the limit.
constexpr double burstSeconds = 0.25;
constexpr double longestDebtSeconds = 1;

constexpr milliseconds shortestRetry {1000};
constexpr milliseconds longestRetry {8000};

double seconds(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

/// Returns the current lag as a multiple of its target.
double relativeLag(const load_control &control)
{
    return seconds(currentLag(control)) / seconds(lagTarget);
}

/// Returns true if the lag has stayed above its target for `lagInterval`, or has been so much
/// larger that a shorter time suffices.
bool isBehind(const load_control &control)
{
    if (control.samples.empty()) {
        return false;
    }
    const auto newest = control.samples.back().at;
    auto least = milliseconds::max();
    for (auto sample = control.samples.rbegin(); sample != control.samples.rend(); ++sample) {
        least = std::min(least, sample->lag);
        if (least <= lagTarget) {
            return false;
        }
        if (seconds(least) * seconds(newest - sample->at)
            >= seconds(lagTarget) * seconds(lagInterval)) {
            return true;
        }
    }
    return false;
}

void beginLimiting(load_control &control, instant now)
{
    control.limiting = true;
    // Starts show what the process can do, unless work has only begun to arrive.
    control.tasksPerSecond =
        std::max(eventsPerSecond(control.started, now), eventsPerSecond(control.offered, now) / 2);
    control.credit = 0;
    control.updatedAt = now;
    control.rejectedAt = now;
}

/// Advances limit and credit to `now`.
void update(load_control &control, instant now)
{
    const double lag = relativeLag(control);
    const double passed = seconds(now - control.updatedAt);
    control.updatedAt = now;
    const bool binding = now - control.rejectedAt <= lagInterval;
    if (lag > 1) {
        control.tasksPerSecond *= std::exp(-declinePerSecond * std::min(lag - 1, 1.0) * passed);
    } else if (binding) {
        control.tasksPerSecond *= std::exp(growthPerSecond * (1 - lag) * passed);
    }
    const double offered = lag > 1 ? 0 : eventsPerSecond(control.offered, now);
    control.tasksPerSecond =
        std::max({control.tasksPerSecond, floorOfEnded * eventsPerSecond(control.ended, now),
                  floorOfOffered * offered, smallestLimit});
    const double admitted = control.tasksPerSecond * std::clamp(2 - lag, 0.0, 1.0);
    control.credit = std::min(control.credit + admitted * passed,
                              std::max(1.0, control.tasksPerSecond * burstSeconds));
}

} // namespace

void addEvents(event_rate &rate, double count, instant now)
{
    rate.perSecond = eventsPerSecond(rate, now) + count;
    rate.at = now;
}

double eventsPerSecond(const event_rate &rate, instant now)
{
    return rate.perSecond * std::exp(-seconds(std::max(now - rate.at, milliseconds(0))));
}

void recordLag(load_control &control, milliseconds lag, instant now)
{
    auto &samples = control.samples;
    if (!samples.empty() && now - samples.back().at < sampleSpacing) {
        samples.back().lag = std::min(samples.back().lag, lag);
    } else {
        samples.push_back({now, lag});
    }
    while (samples.size() > 1 && samples[1].at <= now - lagInterval) {
        samples.pop_front();
    }
    const bool behind = isBehind(control);
    if (!control.limiting && behind) {
        beginLimiting(control, now);
    } else if (control.limiting) {
        update(control, now);
        control.limiting = behind || now - control.rejectedAt < limitedWithoutRejection;
    }
}

milliseconds currentLag(const load_control &control)
{
    const auto &samples = control.samples;
    if (samples.size() < 2) {
        return milliseconds(0);
    }
    const auto oldest = samples.back().at - currentInterval;
    auto least = std::min(samples.back().lag, samples[samples.size() - 2].lag);
    for (auto sample = samples.rbegin(); sample != samples.rend() && sample->at >= oldest;
         ++sample) {
        least = std::min(least, sample->lag);
    }
    return least;
}

std::optional<milliseconds> limitSubmission(load_control &control, int tasks, instant now)
{
    addEvents(control.offered, tasks, now);
    if (!control.limiting) {
        return std::nullopt;
    }
    update(control, now);
    if (control.credit > 0) {
        control.credit =
            std::max(control.credit - tasks, -longestDebtSeconds * control.tasksPerSecond);
        return std::nullopt;
    }
    control.rejectedAt = now;
    addEvents(control.rejected, tasks, now);
    // What was rejected within the last second is due again before this submission.
    const double wait = eventsPerSecond(control.rejected, now) / control.tasksPerSecond;
    const auto retryAfter =
        currentLag(control) + milliseconds(static_cast<std::int64_t>(std::min(wait, 60.0) * 1000));
    return std::clamp(retryAfter, shortestRetry, longestRetry);
}

void chargeWork(work_budget &budget, instant begin, instant end)
{
    const auto pause = milliseconds(static_cast<std::int64_t>(
        static_cast<double>((end - begin).count()) * (1 / budget.share - 1)));
    budget.notBefore = end + std::min(pause, budget.longestPause);
}

} // namespace ibishinge::fleet
