#pragma once

#include <ibishinge/fleet/tables.h>

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge::fleet {

/// The workers of a pool that can be given tasks during one placement pass. Valid until a worker is
/// erased.
struct pool_candidates
{
    std::vector<worker_status *> usable;
    /// Upper bound of the free resources of any worker, by component. Free resources only shrink
    /// during a pass, so larger needs are rejected without a search: in a full pool each waiting
    /// step would otherwise search all workers.
    resources maxFreeResources {std::numeric_limits<std::int64_t>::max(),
                                std::numeric_limits<std::int64_t>::max(),
                                std::numeric_limits<std::int64_t>::max()};
};

/// Returns the steps that can start now, by pool and in the order in which they are to be placed.
/// Not thread-safe.
[[nodiscard]] std::map<std::string, std::vector<waiting_step>> waitingSteps(fleet_tables &tables,
                                                                            instant now);

/// Returns the workers that can be given new tasks, by pool. Not thread-safe.
[[nodiscard]] std::map<std::string, pool_candidates> candidatesByPool(fleet_tables &tables,
                                                                      instant now);

/// Returns true if the worker can be given new tasks. Thread-safe for a constant worker.
[[nodiscard]] bool isUsable(const worker_status &worker, instant now) noexcept;

/// Why a worker cannot be given a task now.
enum class start_obstacle : std::uint8_t {
    unregistered,
    silent, ///< not verified by an answer since its last failure, or never
    not_on_roster,
    cordoned,
    evacuated, ///< the data centre is evacuated
    draining,
    quarantined,
    no_room,
    wrong_label,
    no_ticket, ///< the advice service has not been asked about it, or the ticket has expired
    ticket_denied, ///< the advice service does not permit it to run the step
    step_limit, ///< `maxPerWorker` runs of the step are there
    crash_isolation, ///< a start would mix up the causes of a crash, see `crash_isolation.h`
    late_acknowledgement, ///< the end of the run might be forgotten unread, see `late_orders.h`
};

[[nodiscard]] std::string_view nameOf(start_obstacle obstacle) noexcept;

/// Returns why the worker can be given no tasks now; nothing if it is usable. Thread-safe for a
/// constant worker.
[[nodiscard]] std::optional<start_obstacle> obstacleOf(const worker_status &worker,
                                                       instant now) noexcept;

/// Returns true if the usable worker can be given the task with index `index` now. If `tickets` is
/// not null, a ticket is required. Thread-safe for constant arguments.
[[nodiscard]] bool canTakeTask(const fleet_tables &tables, const worker_status &worker,
                               const waiting_step &where, int index, const step_tickets *tickets,
                               instant now);

/// Returns true if the usable worker can be given tasks of the step, now or when other runs have
/// left room or settled there. If `tickets` is not null, a ticket is required. Thread-safe for
/// constant arguments.
[[nodiscard]] bool isSuitable(const worker_status &worker, const waiting_step &where,
                              const step_tickets *tickets, instant now);

/// Returns how many workers of `pool` cannot be given the task with index `index` now, by the
/// reason. If `tickets` is not null, a ticket is required. Thread-safe for constant tables.
[[nodiscard]] std::map<start_obstacle, int>
countObstacles(const fleet_tables &tables, const std::string &pool, const waiting_step &where,
               int index, const step_tickets *tickets, instant now);

/// Returns true if the worker has the label. Thread-safe for a constant worker.
[[nodiscard]] bool hasLabel(const worker_entry &worker, const std::string &label);

/// Returns true if the customer's limit permits `need` in addition to the resources of its running
/// tasks. A customer that is not configured has no limit. Thread-safe for constant tables.
[[nodiscard]] bool isWithinLimit(const fleet_tables &tables, const std::string &customer,
                                 const resources &need);

/// Returns the worker for the task with index `index`, or null if none has enough free resources or
/// may start it now without mixing up the causes of a crash. If `tickets` is not
/// null, only workers with a ticket are considered. Updates the upper bound in `candidates`. Not
/// thread-safe.
[[nodiscard]] worker_status *chooseWorker(const fleet_tables &tables, pool_candidates &candidates,
                                          const waiting_step &where, int index,
                                          const step_tickets *tickets, instant now);

} // namespace ibishinge::fleet
