#pragma once

#include <ibishinge/fleet/placement.h>
#include <ibishinge/fleet/platform_api.h>

#include <string>
#include <vector>

namespace ibishinge::fleet {

/// Returns the ticket with which the worker can be given tasks of the step now; null if there is
/// none. The pointer is valid until `tickets` is changed. Thread-safe for constant arguments.
[[nodiscard]] const std::string *findTicket(const step_tickets &tickets,
                                            const worker_status &worker, instant now);

/// Returns true if there is a ticket that is valid now. Thread-safe for constant `tickets`.
[[nodiscard]] bool hasTicket(const step_tickets &tickets, instant now);

/// Returns true if the last answer about the worker's present process was that it may not run the
/// step. Thread-safe for constant arguments.
[[nodiscard]] bool isDenied(const step_tickets &tickets, const worker_status &worker);

/// Which workers a call of the advice service may name.
enum class advice_scope : std::uint8_t {
    suitable, ///< those that can be given tasks of the step, now or when they have finished others
    ready, ///< those that lack nothing but a ticket to be given a task of the step now
};

/// Returns the workers that the next call for a step should name, at most `maxAdvisedWorkers`: of
/// those in `scope` about which no answer is valid, the most promising ones. Workers that have not
/// been named yet come before those that were denied, so that each is named in the end. Thread-safe
/// for constant arguments.
[[nodiscard]] std::vector<std::string> workersToAskAbout(const fleet_tables &tables,
                                                         const pool_candidates &candidates,
                                                         const waiting_step &where,
                                                         const step_tickets &tickets,
                                                         advice_scope scope, instant now);

/// Records a call for a step that names `workers`. Preconditions: the workers exist, and no call
/// for the step is open. Not thread-safe.
void recordAdviceCall(step_tickets &tickets, const fleet_tables &tables,
                      const std::vector<std::string> &workers, instant now);

/// Records the answer to the open call, and from when on the next one may be sent: at once as long
/// as the step has no ticket and workers remain that have not been named, else after a pause.
/// Precondition: a call for the step is open. Not thread-safe.
void recordAdvice(step_tickets &tickets, const result<ticket_reply> &answer, instant now);

} // namespace ibishinge::fleet
