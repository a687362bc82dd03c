#pragma once

#include <ibishinge/state/commit_queue.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace ibishinge {

/// Sends conditional writes of many threads in common batches, by the rules of `commit_queue`.
///
/// \code
/// const auto committer = group_committer::create(store, clock, {});
/// const auto outcome = committer->submit(write, clock.now() + std::chrono::seconds(1));
/// \endcode
class group_committer
{
public:
    /// Starts one thread for each batch that may be in flight.
    /// Precondition: `store` and `clock` outlive the committer; `clock` moves with real time.
    [[nodiscard]] static std::unique_ptr<group_committer>
    create(kv_store &store, const clock_source &clock, const commit_options &options);

    /// Stops, and waits for calls in flight and for all callers of `submit`.
    ~group_committer();
    group_committer(const group_committer &) = delete;
    group_committer &operator=(const group_committer &) = delete;

    /// Blocks until the write is decided or the deadline has passed. Thread-safe.
    ///
    /// "Not applied" may show the caller's own value, see `commit_queue`. Errors:
    /// `outcome_unknown`: given up, but the write may have been or may still be applied;
    /// `unavailable`: given up, certainly not applied, now or later;
    /// `overloaded`, `too_large`, `shutting_down`: never sent.
    [[nodiscard]] result<write_outcome> submit(conditional_write write, monotonic_time deadline);

    /// Queues a write that nobody waits for, as `write_urgency::relaxed`. It is repeated until it
    /// is decided; failures are dropped. Errors: those of `commit_queue::add`, `shutting_down`.
    /// Thread-safe.
    [[nodiscard]] result<void> post(conditional_write write);

    /// Blocks until nothing is queued or the deadline has passed. Thread-safe.
    void flush(monotonic_time deadline);

    /// Returns true while the store fails and a queued write is being repeated. Thread-safe.
    [[nodiscard]] bool isFailing() const;

    /// Number of processes that share the store's rate. Thread-safe.
    void setMembers(std::size_t members);

    /// Highest store revision seen in a response. Thread-safe.
    [[nodiscard]] store_revision seenRevision() const noexcept
    {
        return m_seenRevision;
    }

    /// Gives up all waiting writes and refuses new ones. Thread-safe.
    void stop();

private:
    struct waiting_caller
    {
        std::condition_variable ready;
        std::optional<result<write_outcome>> outcome;
    };

    group_committer(kv_store &store, const clock_source &clock, const commit_options &options);
    void sendBatches();
    [[nodiscard]] result<write_outcome> giveUp(commit_queue::ticket number);

    kv_store &m_store;
    const clock_source &m_clock;
    std::atomic<store_revision> m_seenRevision {0};
    mutable std::mutex m_mutex;
    std::condition_variable m_changed; ///< queue, batches in flight or m_stopping
    std::condition_variable m_callersLeft;
    commit_queue m_queue;
    std::unordered_map<commit_queue::ticket, waiting_caller *> m_callers;
    bool m_stopping = false;
    std::vector<std::thread> m_senders;
};

} // namespace ibishinge
