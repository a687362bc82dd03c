#pragma once

#include <ibishinge/fleet/tables.h>

#include <vector>

namespace ibishinge::fleet {

/// Longest time from sending an order until a worker that has not answered it carries it out. The
/// platform delays such orders by 2 to 12 s.
inline constexpr milliseconds maxOrderDelay {12000};

/// Records that a start, which was sent to the process `incarnation` of `worker` at `sentBy` or
/// earlier, has no answer. Not thread-safe.
void recordUnansweredStart(worker_status &worker, const run_key &key, std::int64_t incarnation,
                           instant sentBy);

/// Records that an order with a lease, which was sent to the process `incarnation` of `worker` at
/// `sentBy` or earlier, has no answer. Not thread-safe.
void recordUnansweredLease(worker_status &worker, std::int64_t incarnation, instant sentBy);

/// Records that an acknowledgement of ends, which was sent to the process `incarnation` of `worker`
/// at `sentBy` or earlier, has no answer. Not thread-safe.
void recordUnansweredAcknowledgement(worker_status &worker, std::int64_t incarnation,
                                     instant sentBy);

/// Records that the process `worker.incarnation` has been replaced by another one, as was found at
/// `now`. Acknowledgements that are still open count as unanswered. Not thread-safe.
void expectLateAcknowledgement(worker_status &worker, instant now);

/// Returns true if the worker may forget an end before it is read: processes number their ends from
/// 1, and the present one may carry out an acknowledgement meant for an earlier one. Thread-safe
/// for a constant worker.
[[nodiscard]] bool mayForgetUnreadEnds(const worker_status &worker, instant now);

/// Returns true if a process of the worker that has not reported yet may carry out an unanswered
/// start of this run, or may have done so under a lease of at most `maxLease` that has not expired.
/// Thread-safe for a constant worker.
[[nodiscard]] bool mayRunUnreported(const worker_status &worker, const run_key &key,
                                    milliseconds maxLease, instant now);

/// Returns the unanswered starts that the present process of the worker may still carry out
/// although they were sent to an earlier one, unless the process has answered a stop. Forgets
/// those that can no longer be carried out. Not thread-safe.
[[nodiscard]] std::vector<run_key> startsToBlock(worker_status &worker, instant now);

/// Records that the present process of the worker has answered a stop of the run, so that it
/// rejects later starts of it. Not thread-safe.
void recordBlockedStart(worker_status &worker, const run_key &key);

/// Returns the time by which leases of the worker's present process have expired that orders to
/// earlier processes may give it; the epoch if there are none. The process began at `startedAt` or
/// later. Thread-safe for a constant worker.
[[nodiscard]] instant lateLeasesEnd(const worker_status &worker, milliseconds maxLease,
                                    instant startedAt);

/// Returns true if a process of the worker may still carry out an order that an earlier one has not
/// answered. Thread-safe for a constant worker.
[[nodiscard]] bool mayReceiveLateOrders(const worker_status &worker, instant now);

} // namespace ibishinge::fleet
