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

/// New value of a key; none deletes it.
struct key_change
{
    std::string key;
    std::optional<std::string> value;
};

/// Changes that become visible together.
struct write_unit
{
    std::vector<key_change> changes;
    /// Keys that must be as last known while `changes` creates a key. Absence is no version: a key
    /// that was deleted again looks as it did before it was created, so that only a guard stops a
    /// creation that is carried out late. A unit whose guard has changed fails with `conflict`.
    std::vector<std::string> guards;
    /// Given up if the store certainly did not take it; others are repeated until they are stored.
    bool droppable = false;
    std::function<void(result<void>)> done;
};

class store_writer;

/// Bounds the transactions that writers have on their way by the store's response time: at its
/// usual speed a few are enough, and fuller ones save calls; a slow store takes more of them at
/// once. Not thread-safe.
class transaction_limiter
{
public:
    /// `baseLimit`: transactions at once while the store answers at its usual speed.
    explicit transaction_limiter(int baseLimit) noexcept
        : m_baseLimit(baseLimit)
    {
    }

    /// Returns true if `writer` may send a transaction; else it is called when it may.
    [[nodiscard]] bool tryAcquire(const std::shared_ptr<store_writer> &writer);

    /// A writer that was let in sends nothing more. `responseTime` is the response time of its
    /// transaction, if it sent one that was carried out.
    void release(std::optional<milliseconds> responseTime);

    [[nodiscard]] int limit() const noexcept;

private:
    const int m_baseLimit;
    int m_inFlight = 0;
    double m_responseMs = 0; ///< decayed mean of response times
    std::deque<std::weak_ptr<store_writer>> m_waitingWriters;
};

/// Writes the records of one coordinator, in order and in batches.
///
/// Every transaction requires that the leader's record is unchanged, so that writes of a deposed
/// coordinator fail, and that each key has the revision last known, so that a write that is carried
/// out late cannot undo a newer one. A transaction without an answer is repeated unchanged; the
/// condition of the second tells whether the first took effect. A copy that is carried out after
/// the second would create deleted keys again; guards stop that. Not thread-safe.
class store_writer : public std::enable_shared_from_this<store_writer>
{
public:
    /// `onLeadershipLost` is called once, when the leader's record has changed.
    [[nodiscard]] static std::shared_ptr<store_writer>
    make(platform_api &platform, scheduler &timers, store_condition leader,
         std::function<void()> onLeadershipLost,
         std::shared_ptr<transaction_limiter> limiter = nullptr);

    /// Precondition: two entries for each change and one for each guard are at most
    /// `maxBatchEntries`.
    /// A record that is changed again while it waits is written once, with its newest value: a wave
    /// over hundreds of hosts changes one record at each step, and others wait behind it.
    void add(write_unit unit);

    /// Calls `done` once everything added before is stored; at once if nothing is open.
    void addBarrier(std::function<void(result<void>)> done);

    /// Tells the revision of a key that was read. Keys not told of are expected not to exist.
    void setKnownRevision(const std::string &key, std::int64_t revision);

    /// Returns true if the key exists as far as is known.
    [[nodiscard]] bool exists(const std::string &key) const;

    /// Returns how long the oldest transaction has been without success; 0 if none is open.
    [[nodiscard]] milliseconds stalledFor() const;

    /// Returns when the store last answered a transaction; the epoch if it never did.
    [[nodiscard]] instant answeredAt() const noexcept
    {
        return m_answeredAt;
    }

    /// Returns how many units wait behind the transaction in progress.
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return m_waiting.size();
    }

    /// Stops writing; open units are answered with `outcome_unknown`.
    void close();

    /// Called by the gate: a transaction may be sent.
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
    bool m_waitsForPermit = false; ///< for the gate
    std::map<std::string, std::int64_t> m_revisions;
    std::deque<write_unit> m_waiting;
    std::vector<write_unit> m_currentBatch;
    bool m_closed = false;
    bool m_outcomeUnknown = false; ///< an attempt of the current transaction may still land
    instant m_answeredAt;
    instant m_currentBatchSince;
    milliseconds m_backoff {0};
};

/// Entries that are left beside the condition on the leader's record.
inline constexpr std::size_t maxBatchEntries = maxTransactionEntries - 1;

/// Largest number of changes of one unit: each takes a condition and a put or delete.
inline constexpr std::size_t maxUnitChanges = maxBatchEntries / 2;

} // namespace ibishinge::fleet
