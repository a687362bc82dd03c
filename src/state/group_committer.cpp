#include <ibishinge/state/group_committer.h>

#include <algorithm>
#include <utility>

namespace ibishinge {

std::unique_ptr<group_committer> group_committer::create(kv_store &store, const clock_source &clock,
                                                         const commit_options &options)
{
    return std::unique_ptr<group_committer>(new group_committer(store, clock, options));
}

group_committer::group_committer(kv_store &store, const clock_source &clock,
                                 const commit_options &options)
    : m_store(store)
    , m_clock(clock)
    , m_queue(options)
{
    const std::size_t senders = std::max<std::size_t>(options.maxInFlight, 1);
    for (std::size_t i = 0; i < senders; ++i) {
        m_senders.emplace_back([this] { sendBatches(); });
    }
}

group_committer::~group_committer()
{
    stop();
    for (auto &sender : m_senders) {
        sender.join();
    }
    std::unique_lock lock(m_mutex);
    m_callersLeft.wait(lock, [this] { return m_callers.empty(); });
}

void group_committer::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
    for (const auto &[number, caller] : m_callers) {
        caller->ready.notify_all();
    }
}

void group_committer::setMembers(std::size_t members)
{
    const std::lock_guard lock(m_mutex);
    m_queue.setMembers(members);
}

result<write_outcome> group_committer::submit(conditional_write write, monotonic_time deadline)
{
    std::unique_lock lock(m_mutex);
    if (m_stopping) {
        return makeError(error_kind::shutting_down, write.key, "the committer was stopped");
    }
    const auto number = m_queue.add(std::move(write), m_clock.now());
    if (!number) {
        return tl::unexpected<error>(number.error());
    }
    waiting_caller caller;
    m_callers.emplace(*number, &caller);
    m_changed.notify_one();
    while (!caller.outcome && !m_stopping) {
        const auto left = deadline - m_clock.now();
        if (left <= monotonic_time::duration::zero()) {
            break;
        }
        caller.ready.wait_for(lock, left);
    }
    m_callers.erase(*number);
    if (m_callers.empty()) {
        m_callersLeft.notify_all();
    }
    return caller.outcome ? std::move(*caller.outcome) : giveUp(*number);
}

result<void> group_committer::post(conditional_write write)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
        return makeError(error_kind::shutting_down, write.key, "the committer was stopped");
    }
    const auto number = m_queue.add(std::move(write), m_clock.now(), write_urgency::relaxed);
    if (!number) {
        return tl::unexpected<error>(number.error());
    }
    m_changed.notify_one();
    return {};
}

void group_committer::flush(monotonic_time deadline)
{
    std::unique_lock lock(m_mutex);
    while (m_queue.size() > 0 && !m_stopping && m_clock.now() < deadline) {
        m_changed.wait_for(lock, deadline - m_clock.now());
    }
}

bool group_committer::isFailing() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.isFailing();
}

result<write_outcome> group_committer::giveUp(commit_queue::ticket number)
{
    if (m_queue.abandon(number)) {
        return makeError(error_kind::outcome_unknown, "store",
                         "gave up on a write that may have been or may still be applied");
    }
    return makeError(error_kind::unavailable, "store", "gave up on a write that was not applied");
}

void group_committer::sendBatches()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        auto next = m_queue.take(m_clock.now());
        if (!next) {
            const auto due = m_queue.nextSend();
            if (due) {
                m_changed.wait_for(lock, *due - m_clock.now());
            } else {
                m_changed.wait(lock);
            }
            continue;
        }
        if (m_queue.nextSend()) {
            // What did not fit into this batch must not wait for its response.
            m_changed.notify_one();
        }
        lock.unlock();
        const auto answer = m_store.applyBatch(next->writes);
        if (answer) {
            store_revision seen = m_seenRevision;
            while (seen < answer->revision
                   && !m_seenRevision.compare_exchange_weak(seen, answer->revision)) { }
        }
        lock.lock();
        for (auto &[number, outcome] : m_queue.complete(*next, answer, m_clock.now())) {
            const auto caller = m_callers.find(number);
            if (caller != m_callers.end()) {
                caller->second->outcome = std::move(outcome);
                caller->second->ready.notify_one();
            }
        }
        // A failed batch is queued again, and another batch may be sent now.
        m_changed.notify_all();
    }
}

} // namespace ibishinge
