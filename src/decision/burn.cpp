#include <ibishinge/decision/burn.h>

#include <algorithm>
#include <limits>

namespace ibishinge {

namespace {

constexpr auto fineBucketCount =
    static_cast<std::size_t>(std::chrono::seconds(std::chrono::hours(1)) / fineBucket);
constexpr auto coarseBucketCount =
    static_cast<std::size_t>(std::chrono::seconds(std::chrono::hours(72)) / coarseBucket);

// Alert thresholds: the burn rates that use 2% of the error budget of 30 days in 1 h, 5% in 6 h and
// 10% in 3 d.
constexpr double oneHourThreshold = 14.4;
constexpr double sixHoursThreshold = 6;
constexpr double threeDaysThreshold = 1;

bool usesFineBuckets(const burn_window &window) noexcept
{
    return window.length <= fineBucket * static_cast<std::int64_t>(fineBucketCount);
}

void count(request_counts &to, request_outcome outcome, std::size_t bucket)
{
    switch (outcome) {
    case request_outcome::good:
        ++to.good;
        break;
    case request_outcome::slow:
        ++to.slow;
        break;
    case request_outcome::failed:
        ++to.failed;
        break;
    case request_outcome::ignored:
        return;
    }
    to.durations.resize(durationBoundsSeconds().size() + 1);
    ++to.durations[bucket];
}

} // namespace

request_outcome classifyRequest(int status, bool ran, std::chrono::nanoseconds duration,
                                milliseconds latencyObjective) noexcept
{
    constexpr int firstClientError = 400;
    constexpr int firstServerError = 500;
    if (status >= firstServerError) {
        return request_outcome::failed;
    }
    if (!ran && status >= firstClientError) {
        return request_outcome::ignored;
    }
    return duration > latencyObjective ? request_outcome::slow : request_outcome::good;
}

void merge(request_counts &to, const request_counts &from)
{
    to.good += from.good;
    to.slow += from.slow;
    to.failed += from.failed;
    to.durations.resize(std::max(to.durations.size(), from.durations.size()));
    for (std::size_t i = 0; i < from.durations.size(); ++i) {
        to.durations[i] += from.durations[i];
    }
}

void merge(service_history &to, const service_history &from)
{
    for (std::size_t i = 0; i < burnWindows.size(); ++i) {
        merge(to.windows[i], from.windows[i]);
    }
    for (const auto &point : from.points) {
        const auto at =
            std::lower_bound(to.points.begin(), to.points.end(), point,
                             [](const auto &a, const auto &b) { return a.start < b.start; });
        if (at != to.points.end() && at->start == point.start) {
            merge(at->counts, point.counts);
        } else {
            to.points.insert(at, point);
        }
    }
}

void request_history_recorder::record(const std::string &service, std::chrono::seconds now,
                                      request_outcome outcome, std::chrono::nanoseconds duration)
{
    if (outcome == request_outcome::ignored) {
        return;
    }
    m_newest = std::max(m_newest, now);
    auto &serviceRings = m_services[service];
    serviceRings.fine.resize(fineBucketCount);
    serviceRings.coarse.resize(coarseBucketCount);
    const std::size_t bucket = durationBucket(duration);
    const auto countInRing = [&](std::vector<interval> &ring, std::chrono::seconds width) {
        const std::int64_t index = m_newest / width;
        auto &slot = ring[static_cast<std::size_t>(index) % ring.size()];
        if (slot.index != index) {
            slot = {index, {}};
        }
        count(slot.counts, outcome, bucket);
    };
    countInRing(serviceRings.fine, fineBucket);
    countInRing(serviceRings.coarse, coarseBucket);
}

std::map<std::string, service_history>
request_history_recorder::history(std::chrono::seconds now) const
{
    now = std::max(now, m_newest);
    std::map<std::string, service_history> all;
    for (const auto &[name, serviceRings] : m_services) {
        service_history found;
        for (std::size_t i = 0; i < burnWindows.size(); ++i) {
            const bool fine = usesFineBuckets(burnWindows[i]);
            const auto width = fine ? fineBucket : coarseBucket;
            const std::int64_t first = (now - burnWindows[i].length) / width + 1;
            for (const auto &slot : fine ? serviceRings.fine : serviceRings.coarse) {
                if (slot.index >= first) {
                    merge(found.windows[i], slot.counts);
                }
            }
        }
        const std::int64_t oldest = (now - burnWindows.back().length) / coarseBucket + 1;
        for (const auto &slot : serviceRings.coarse) {
            if (slot.index >= oldest) {
                found.points.push_back({coarseBucket * slot.index, slot.counts});
            }
        }
        std::sort(found.points.begin(), found.points.end(),
                  [](const auto &a, const auto &b) { return a.start < b.start; });
        if (!found.points.empty()) {
            all.emplace(name, std::move(found));
        }
    }
    return all;
}

double burnRate(const request_counts &counts, double availability) noexcept
{
    if (counts.total() == 0) {
        return 0;
    }
    const double badShare = static_cast<double>(counts.bad()) / static_cast<double>(counts.total());
    return badShare / (1 - availability);
}

double remainingErrorBudget(const request_counts &counts, double availability) noexcept
{
    return 1 - burnRate(counts, availability);
}

double durationQuantile(const request_counts &counts, double quantile)
{
    duration_summary summary {durationBoundsSeconds(), counts.durations, 0};
    if (counts.durations.size() != summary.upperBoundsSeconds.size() + 1) {
        return 0;
    }
    return summary.quantileSeconds(quantile);
}

std::string_view nameOf(burn_state state) noexcept
{
    constexpr std::array<std::string_view, 3> names {"ok", "slow_burn", "fast_burn"};
    return names[static_cast<std::size_t>(state)];
}

burn_state classifyBurnRate(const windowed_counts &windows, double availability) noexcept
{
    std::array<double, burnWindows.size()> rates {};
    std::transform(windows.begin(), windows.end(), rates.begin(),
                   [&](const auto &counts) { return burnRate(counts, availability); });
    const auto [fiveMinutes, hour, sixHours, threeDays] = rates;
    if ((hour >= oneHourThreshold && fiveMinutes >= oneHourThreshold)
        || (sixHours >= sixHoursThreshold && hour >= sixHoursThreshold)) {
        return burn_state::fast_burn;
    }
    return threeDays >= threeDaysThreshold && sixHours >= threeDaysThreshold ? burn_state::slow_burn
                                                                             : burn_state::ok;
}

} // namespace ibishinge
