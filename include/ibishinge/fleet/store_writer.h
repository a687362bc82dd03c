#pragma once

#include <ibishinge/base/scheduler.h>
#include <ibishinge/fleet/platform_api.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ibishinge::fleet {

/// New value of a key; `nullopt` deletes the key.
struct key_change
{
    std::string key;
    std::optional<std::string> value;
};

/// Changes that are applied atomically.
struct write_unit
{
    std::vector<key_change> changes;
    /// Keys that must have their last known revision if `changes` creates a key. The revision
    /// condition of the created key alone does not reject a creation that the store carries out
    /// late: after the key was deleted, it is absent again, as before its creation. A guard that
    /// was written meanwhile rejects it. A unit whose guard has changed fails with `conflict`.
    std::vector<std::string> guards;
    /// If true, the unit fails with the store's error once it is certain that the store did not
    /// apply it. Other units are retried until they are stored.
    bool droppable = false;
    std::function<void(result<void>)> done;
};

class store_writer;

/// Limits the number of concurrent transactions of several writers. The limit grows with the
/// store's response time: at the usual response time, a low limit leads to fuller transactions and
/// fewer calls; when the store is slow, more concurrent transactions are needed for the same
/// throughput. Not thread-safe.
class transaction_limiter
{
public:
    /// `baseLimit`: number of concurrent transactions while the store responds in its usual time.
    explicit transaction_limiter(int baseLimit) noexcept
        : m_baseLimit(baseLimit)
    {
    }

    /// Returns true if `writer` may send a transaction now. Otherwise queues it;
    /// `store_writer::onPermitGranted` is called when it may.
    [[nodiscard]] bool tryAcquire(const std::shared_ptr<store_writer> &writer);

    /// Returns the permit of a writer. `responseTime` is the response time of its transaction, if
    /// it sent one that was applied.
    void release(std::optional<milliseconds> responseTime);

    /// Returns the present limit of concurrent transactions.
    [[nodiscard]] int limit() const noexcept;

private:
    const int m_baseLimit;
    int m_inFlight = 0;
    double m_responseMs = 0; ///< exponentially weighted mean of the response times, in ms
    std::deque<std::weak_ptr<store_writer>> m_waitingWriters;
};

/// Writes the records of one coordinator to the store, in order and in batches.
///
/// Each transaction has two kinds of conditions. The leader record must be unchanged, so that
/// writes of a coordinator that lost the leadership fail. Each written key must have its last known
/// revision, so that a write that the store carries out late cannot overwrite a newer one.
///
/// A transaction without an answer is retried unchanged; if the first attempt took effect, the
/// conditions of the retry fail and show it. The store may carry out a copy of a transaction after
/// the retry; where keys have been deleted in between, the copy would create them again. Guards
/// prevent that (see `write_unit::guards`). Not thread-safe.
class store_writer : public std::enable_shared_from_this<store_writer>
{
public:
    /// `onLeadershipLost` is called once, when the leader record has changed. `limiter` may be
    /// null: then transactions are not limited across writers.
    [[nodiscard]] static std::shared_ptr<store_writer>
    make(platform_api &platform, scheduler &timers, store_condition leader,
         std::function<void()> onLeadershipLost,
         std::shared_ptr<transaction_limiter> limiter = nullptr);

    /// Queues a unit. Precondition: two entries for each change and one for each guard are at most
    /// `maxBatchEntries` in total.
    ///
    /// If a queued unit changes exactly the same keys, its values are replaced by the newer ones,
    /// so that the records are written once: a maintenance wave over hundreds of hosts changes one
    /// record at each step, and other units would wait behind each of these writes.
    void add(write_unit unit);

    /// Calls `done` once all units added before are stored, or immediately if there are none.
    void addBarrier(std::function<void(result<void>)> done);

    /// Sets the known revision of a key that was read from the store. A key without a known
    /// revision is expected not to exist.
    void setKnownRevision(const std::string &key, std::int64_t revision);

    /// Returns true if a revision of the key is known.
    [[nodiscard]] bool exists(const std::string &key) const;

    /// Returns the time since the transaction in progress was first sent; 0 if there is none.
    [[nodiscard]] milliseconds stalledFor() const;

    /// Returns when the store last answered a transaction; the epoch if it never has.
    [[nodiscard]] instant answeredAt() const noexcept
    {
        return m_answeredAt;
    }

    /// Returns the number of units queued behind the transaction in progress.
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return m_waiting.size();
    }

    /// Stops writing. Units that are not known to be stored fail with `outcome_unknown`.
    void close();

    /// Called by the limiter when this writer may send a transaction.
    void onPermitGranted();

private:
    store_writer(platform_api &platform, scheduler &timers, store_condition leader,
                 std::function<void()> onLeadershipLost,
                 std::shared_ptr<transaction_limiter> limiter);
    bool replaceWaitingUnit(write_unit &unit);
    void requestSend();
    void releasePermit(std::optional<milliseconds> responseTime);
    void sendNextBatch();
    void sendCurrentBatch();
    [[nodiscard]] std::int64_t revisionOf(const std::string &key) const;
    [[nodiscard]] bool createsKey(const write_unit &unit) const;
    [[nodiscard]] std::size_t entryCount(const write_unit &unit) const;
    void failUnitsWithChangedGuards(const std::map<std::string, const store_item *> &found);
    void onReply(const result<transaction_reply> &answer);
    void onConflict(const std::vector<store_item> &current);
    void completeCurrentBatch(std::int64_t revision);
    void retryLater();

    platform_api &m_platform;
    scheduler &m_timers;
    store_condition m_leader;
    std::function<void()> m_onLeadershipLost;
    std::shared_ptr<transaction_limiter> m_limiter; ///< may be null
    bool m_holdsPermit = false;
    bool m_waitsForPermit = false; ///< queued in the limiter
    std::map<std::string, std::int64_t> m_revisions;
    std::deque<write_unit> m_waiting;
    std::vector<write_unit> m_currentBatch;
    bool m_closed = false;
    bool m_outcomeUnknown = false; ///< an attempt of the current transaction may still be applied
    instant m_answeredAt;
    instant m_currentBatchSince;
    milliseconds m_backoff {0};
};

/// Entries of a transaction that remain besides the condition on the leader record.
inline constexpr std::size_t maxBatchEntries = maxTransactionEntries - 1;

/// Largest number of changes in one unit: each change takes a condition and a put or delete.
inline constexpr std::size_t maxUnitChanges = maxBatchEntries / 2;

} // namespace ibishinge::fleet
