#pragma once

#include <ibishinge/decision/ledger.h>
#include <ibishinge/state/group_committer.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace ibishinge {

struct ledger_options
{
    /// How long a record outlives its last write. Longer than the longest deadline.
    std::chrono::seconds retention {3600};
    /// Records written within one period share a store lease.
    std::chrono::seconds leasePeriod {600};
    /// Pause after a lease was not granted; lease calls do not pass through the committer's rate.
    std::chrono::milliseconds grantPause {250};
};

/// One arrival of a request, as the request path hands it from step to step. Not thread-safe.
struct request_attempt
{
    std::string team;
    std::string requestId;
    ledger_attempt attempt;
    std::optional<versioned_record> known; ///< the entry as last found; kept by `request_ledger`
};

/// The request ledger of one process: a non-idempotent request runs at most once, and "not run" is
/// true. Thread-safe; each attempt is used by one thread at a time.
///
/// \code
/// request_attempt attempt {team, id, {attemptId, hash, ledger.seenRevision()}, {}};
/// if (ledger.claim(attempt, deadline).result == ledger_result::claimed) {
///     const auto reply = targets.call(target, call, timeout);
///     ...
/// }
/// \endcode
class request_ledger
{
public:
    /// Precondition: the arguments outlive the ledger.
    [[nodiscard]] static std::unique_ptr<request_ledger> create(group_committer &committer,
                                                                kv_store &store,
                                                                const clock_source &clock,
                                                                const ledger_options &options = {});

    /// Blocks until this attempt may be dispatched, may not be, or the deadline has passed.
    ///
    /// Results: `claimed`, `already_finished`, `claimed_by_other`, `superseded`, `duplicate_id`,
    /// `outcome_unknown`, `unavailable`. The attempt may be dispatched only after `claimed`, and
    /// only before its deadline. After `superseded`, `outcome_unknown` and `unavailable` it must be
    /// released before its caller is told "not run".
    [[nodiscard]] ledger_outcome claim(request_attempt &attempt, monotonic_time deadline);

    /// Records the response of a claimed attempt.
    /// Results: `finished`, `not_claimed`, `duplicate_id`, `outcome_unknown`, `unavailable`.
    [[nodiscard]] ledger_outcome finish(request_attempt &attempt,
                                        const std::optional<stored_response> &answer,
                                        monotonic_time deadline);

    /// Like `finish`, without waiting: the record is written with one of the next batches. If the
    /// process dies before, a retry is told "may have run", which is true.
    void finishLater(const request_attempt &attempt, const std::optional<stored_response> &answer);

    /// Returns true while the store fails, so that a claim or release would only wait.
    [[nodiscard]] bool isStoreFailing() const;

    /// Makes "not run" true. Precondition: the attempt was not dispatched and never will be, or its
    /// target stated that it did not run it.
    ///
    /// Only after `released` may the caller be told `not_run`. Other results: `already_finished`,
    /// `claimed_by_other`, `duplicate_id`, `outcome_unknown`, `unavailable`.
    [[nodiscard]] ledger_outcome release(request_attempt &attempt, monotonic_time deadline);

    /// Tells the ledger of a store revision seen elsewhere, for example by the configuration poll.
    void noteRevision(store_revision revision) noexcept;

    /// Highest store revision seen so far. Taken as the first thing when a request arrives.
    [[nodiscard]] store_revision seenRevision() const noexcept;

private:
    struct retention_lease
    {
        lease_id id = 0; ///< 0: none
        monotonic_time grantedAt;
    };

    request_ledger(group_committer &committer, kv_store &store, const clock_source &clock,
                   const ledger_options &options);

    [[nodiscard]] ledger_outcome run(ledger_operation intent, request_attempt &attempt,
                                     const std::optional<stored_response> &answer,
                                     monotonic_time deadline);
    [[nodiscard]] std::optional<lease_id> leaseUntil(monotonic_time deadline);
    [[nodiscard]] bool leaseIsCurrent() const;
    void dropLease(lease_id lease);

    group_committer &m_committer;
    kv_store &m_store;
    const clock_source &m_clock;
    ledger_options m_options;
    std::atomic<store_revision> m_notedRevision {0};
    std::mutex m_mutex;
    std::condition_variable m_leaseChanged;
    retention_lease m_lease;
    bool m_granting = false;
    monotonic_time m_nextGrant;
};

} // namespace ibishinge
