#include <ibishinge/state/commit_queue.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace ibishinge {

std::chrono::microseconds commitInterval(const commit_options &options,
                                         std::size_t members) noexcept
{
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(members, 1));
    const std::int64_t calls = std::max<std::int64_t>(options.callsPerSecond, 1);
    // Rounded up, so that the sum stays below the configured rate.
    const std::chrono::microseconds shared((count * 1'000'000 + calls - 1) / calls);
    return std::max(options.minInterval, shared);
}

result<commit_queue::ticket> commit_queue::add(conditional_write write, monotonic_time now,
                                               write_urgency urgency)
{
    if (write.value && write.value->size() > maxValueBytes) {
        return makeError(error_kind::too_large, write.key, "value above 1 MiB");
    }
    if (size() >= m_options.maxQueued) {
        return makeError(error_kind::overloaded, write.key, "too many writes wait for the store");
    }
    const auto dueAt = urgency == write_urgency::prompt ? now : now + m_options.relaxedDelay;
    m_queued.emplace(++m_lastTicket, pending_write {std::move(write), false, false, dueAt});
    return m_lastTicket;
}

bool commit_queue::abandon(ticket number)
{
    if (const auto found = m_queued.find(number); found != m_queued.end()) {
        const bool uncertain = found->second.uncertain;
        m_queued.erase(found);
        return uncertain;
    }
    if (const auto found = m_inFlight.find(number); found != m_inFlight.end()) {
        found->second.abandoned = true;
    }
    return true;
}

std::optional<monotonic_time> commit_queue::nextSend() const
{
    if (m_queued.empty() || m_batchesInFlight >= m_options.maxInFlight) {
        return std::nullopt;
    }
    auto due = monotonic_time::max();
    for (const auto &[number, write] : m_queued) {
        due = std::min(due, write.dueAt);
    }
    const auto saved = m_interval * static_cast<std::int64_t>(m_options.burst - 1);
    return std::max({due, m_nextPaced - saved, m_resumeAt});
}

std::optional<commit_queue::batch> commit_queue::take(monotonic_time now)
{
    const auto due = nextSend();
    if (!due || *due > now) {
        return std::nullopt;
    }
    batch next;
    std::set<std::string, std::less<>> keys;
    for (auto it = m_queued.begin();
         it != m_queued.end() && next.writes.size() < m_options.maxBatch;) {
        // The store refuses a transaction that changes a key twice.
        if (!keys.insert(it->second.write.key).second) {
            ++it;
            continue;
        }
        next.tickets.push_back(it->first);
        next.writes.push_back(it->second.write);
        m_inFlight.insert(m_queued.extract(it++));
    }
    ++m_batchesInFlight;
    m_nextPaced = std::max(m_nextPaced, now) + m_interval;
    return next;
}

std::vector<commit_queue::decided_write>
commit_queue::complete(const batch &sent, const result<batch_result> &answer, monotonic_time now)
{
    --m_batchesInFlight;
    std::vector<decided_write> decided;
    if (answer && answer->outcomes.size() == sent.tickets.size()) {
        m_failures = 0;
        for (std::size_t i = 0; i < sent.tickets.size(); ++i) {
            const auto found = m_inFlight.extract(sent.tickets[i]);
            if (!found.mapped().abandoned) {
                decided.emplace_back(sent.tickets[i], answer->outcomes[i]);
            }
        }
        return decided;
    }
    const auto kind = answer ? error_kind::outcome_unknown : answer.error().kind;
    if (kind == error_kind::unavailable || kind == error_kind::outcome_unknown) {
        requeue(sent, kind == error_kind::outcome_unknown);
        backOff(now);
        return decided;
    }
    // Another error would be the same at each repetition.
    for (const ticket number : sent.tickets) {
        const auto found = m_inFlight.extract(number);
        if (found.mapped().abandoned) {
            continue;
        }
        error e = answer.error();
        if (found.mapped().uncertain) {
            e.kind = error_kind::outcome_unknown;
        }
        decided.emplace_back(number, tl::unexpected<error>(std::move(e)));
    }
    return decided;
}

void commit_queue::requeue(const batch &sent, bool uncertain)
{
    for (const ticket number : sent.tickets) {
        auto found = m_inFlight.extract(number);
        if (found.mapped().abandoned) {
            continue;
        }
        found.mapped().uncertain = found.mapped().uncertain || uncertain;
        m_queued.insert(std::move(found));
    }
}

void commit_queue::backOff(monotonic_time now)
{
    auto pause = m_interval;
    for (std::size_t i = 0; i < m_failures && pause < m_options.maxBackoff; ++i) {
        pause *= 2;
    }
    ++m_failures;
    pause = std::max(std::min(pause, m_options.maxBackoff), m_interval);
    // Jitter spreads the members' calls after a common outage.
    std::uniform_int_distribution<std::int64_t> jitter(pause.count() / 2, pause.count());
    m_resumeAt = std::max(m_resumeAt, now + std::chrono::microseconds(jitter(m_random)));
}

} // namespace ibishinge
