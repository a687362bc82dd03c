#include <ibishinge/fleet/late_orders.h>

#include <algorithm>
#include <utility>

namespace ibishinge::fleet {

void recordUnansweredStart(worker_status &worker, const run_key &key, std::int64_t incarnation,
                           instant sentBy)
{
    auto &start = worker.unansweredStarts[key];
    start.possibleUntil = std::max(start.possibleUntil, sentBy + maxOrderDelay);
    start.harmlessAt = incarnation;
}

void recordUnansweredLease(worker_status &worker, std::int64_t incarnation, instant sentBy)
{
    if (sentBy >= worker.unansweredLease.sentBy) {
        worker.unansweredLease = {sentBy, incarnation};
    }
}

void recordUnansweredAcknowledgement(worker_status &worker, std::int64_t incarnation,
                                     instant sentBy)
{
    if (incarnation == worker.incarnation) {
        worker.acknowledgementUnansweredAt = std::max(worker.acknowledgementUnansweredAt, sentBy);
    } else {
        worker.mayForgetEndsUntil = std::max(worker.mayForgetEndsUntil, sentBy + maxOrderDelay);
    }
}

void expectLateAcknowledgement(worker_status &worker, instant now)
{
    auto sentBy = std::exchange(worker.acknowledgementUnansweredAt, instant {});
    if (!worker.openAcknowledgements.empty()) {
        sentBy = now;
    }
    if (sentBy != instant {}) {
        worker.mayForgetEndsUntil = std::max(worker.mayForgetEndsUntil, sentBy + maxOrderDelay);
    }
}

bool mayForgetUnreadEnds(const worker_status &worker, instant now)
{
    return now < worker.mayForgetEndsUntil;
}

bool mayRunUnreported(const worker_status &worker, const run_key &key, milliseconds maxLease,
                      instant now)
{
    const auto start = worker.unansweredStarts.find(key);
    return start != worker.unansweredStarts.end() && worker.reportAt < start->second.possibleUntil
           && now < start->second.possibleUntil + maxLease;
}

std::vector<run_key> startsToBlock(worker_status &worker, instant now)
{
    std::erase_if(worker.unansweredStarts, [&](const auto &each) {
        return each.second.possibleUntil <= now && worker.runs.count(each.first) == 0;
    });
    std::vector<run_key> found;
    for (const auto &[key, start] : worker.unansweredStarts) {
        if (start.possibleUntil > now && start.harmlessAt != worker.incarnation) {
            found.push_back(key);
        }
    }
    return found;
}

void recordBlockedStart(worker_status &worker, const run_key &key)
{
    const auto start = worker.unansweredStarts.find(key);
    if (start != worker.unansweredStarts.end()) {
        start->second.harmlessAt = worker.incarnation;
    }
}

instant lateLeasesEnd(const worker_status &worker, milliseconds maxLease, instant startedAt)
{
    const auto &order = worker.unansweredLease;
    if (order.sentBy == instant {} || order.incarnation == worker.incarnation
        || order.sentBy + maxOrderDelay <= startedAt) {
        return {};
    }
    return order.sentBy + maxOrderDelay + maxLease;
}

bool mayReceiveLateOrders(const worker_status &worker, instant now)
{
    const auto &lease = worker.unansweredLease;
    const auto acknowledged = worker.acknowledgementUnansweredAt;
    return !worker.openAcknowledgements.empty() || mayForgetUnreadEnds(worker, now)
           || (acknowledged != instant {} && now < acknowledged + maxOrderDelay)
           || (lease.sentBy != instant {} && now < lease.sentBy + maxOrderDelay)
           || std::any_of(worker.unansweredStarts.begin(), worker.unansweredStarts.end(),
                          [now](const auto &each) { return now < each.second.possibleUntil; });
}

} // namespace ibishinge::fleet
