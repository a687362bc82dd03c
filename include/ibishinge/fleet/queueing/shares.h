#pragma once

#include <ibishinge/fleet/types.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge::fleet {

struct fleet_tables;
struct job_entry;
struct run_entry;
struct worker_status;

/// A step that has waited for longer, without a start of any of its tasks, goes first.
inline constexpr milliseconds starvationBound {10000};
/// Part of a pool's capacity that steps past the bound may hold at a time.
inline constexpr double starvationPart = 0.1;

/// What a customer holds and asks for in a pool, and what it is entitled to.
struct customer_share
{
    double weight = 1;
    resources held;
    resources waiting; ///< needs of the waiting tasks, as far as the customer's limit permits
    double dominantShare = 0; ///< largest fraction of any of the pool's resources that it holds
    double entitlement = 0; ///< dominant share that it is due; infinite if the pool is not full
    double weightedShare = 0; ///< dominant share over all pools, divided by the weight
};

/// Shares of the customers of a pool.
struct pool_shares
{
    resources capacity; ///< of the usable workers
    /// Entitlement for a weight of 1; infinite if the demand does not fill the pool.
    double level = std::numeric_limits<double>::infinity();
    std::map<std::string, customer_share> customers; ///< by name, those that hold or ask for any
};

/// Resources held in a pool.
struct pool_use
{
    std::map<std::string, resources> byCustomer;
    resources pastBound; ///< by runs that were started because of `starvationBound`
};

/// Returns the largest fraction of any component of `capacity` that `amount` is. Components that
/// the pool does not have are left out. Thread-safe.
[[nodiscard]] double dominantShare(const resources &amount, const resources &capacity) noexcept;

/// Returns true if the customer holds what it is entitled to, or more. Thread-safe.
[[nodiscard]] bool isAboveShare(const customer_share &share) noexcept;

/// Sets the dominant shares, the entitlements and the level by weighted dominant-resource fairness:
/// all customers' dominant shares grow in proportion to the weights until their demand is met or
/// a resource that they need is used up. Not thread-safe.
void computeEntitlements(pool_shares &shares);

/// Which criteria the configuration asks for in a pool. Without any, steps are ordered by class and
/// objective only, and the starvation bound does not apply.
struct order_rules
{
    bool byShare = false; ///< at least two customers have different weights
    bool byPriority = false; ///< at least two queues of the pool have different priorities

    [[nodiscard]] constexpr bool any() const noexcept
    {
        return byShare || byPriority;
    }
};

/// Returns the criteria for each pool that has queues. Thread-safe.
[[nodiscard]] std::map<std::string, order_rules> orderRulesByPool(const fleet_tables &tables);

/// Classes of waiting work, the first one going first.
enum class step_class : std::uint8_t {
    long_running, ///< its value depends on how long it runs
    timely, ///< can meet its objective
    /// Has little value: if jobs were ordered by objective only, an overloaded pool would finish
    /// every job a little late.
    late,
};

/// Position of a step towards its customer's entitlement.
enum class share_position : std::uint8_t {
    within,
    /// The customer holds less than its entitlement, but its work that goes before the step would
    /// fill it. That work may be unable to start, so the step goes before those of customers that
    /// are above their share.
    covered,
    above, ///< the customer holds its entitlement or more
};

/// Order of waiting steps of a pool: the smaller key goes first.
struct order_key
{
    bool withinBound = true; ///< false: goes first because of `starvationBound`
    instant waitsSince; ///< for the order of those that do; else epoch
    int priority = 0;
    step_class stepClass = step_class::timely;
    share_position position = share_position::within;
    instant objectiveAt;
    double weightedShare = 0; ///< of the customer

    friend auto operator<=>(const order_key &, const order_key &) = default; // NOLINT
};

/// A step with tasks that wait to be placed. Valid until the job is erased.
struct waiting_step
{
    job_entry *job = nullptr;
    int occurrence = 0;
    int step = 0;
    /// Number of tasks that may be started. A step that is within its customer's share only in part
    /// is listed again for the others.
    int maxTasks = std::numeric_limits<int>::max();
    order_key key {};
    /// Rack chosen for the tasks of the step; empty: none.
    std::string preferredRack {};
};

/// A waiting step before it is ordered. `where.key` has priority, class and objective; the rest is
/// set where the configuration asks for more.
struct queued_step
{
    waiting_step where;
    int waitingTasks = 0;
    bool gang = false; ///< all tasks start together or none
    resources need; ///< of each task
    instant waitsSince; ///< when it began to wait or a task of it was last started
    const customer_share *share = nullptr; ///< of its customer; null unless `byShare`
};

/// Orders the waiting steps of a pool, splits those that are within a share or the starvation bound
/// only in part, and fills in their keys. Precondition: the entitlements of the customers are
/// computed. `capacity` is that of the pool, of which `pastBound` is held by runs that went first
/// because of the starvation bound. That bound puts a step first only if `mayStart` returns true
/// for it. Thread-safe.
[[nodiscard]] std::vector<waiting_step>
orderSteps(std::vector<queued_step> steps, const order_rules &rules, const resources &capacity,
           const resources &pastBound, const std::function<bool(const queued_step &)> &mayStart,
           instant now);

/// Returns the capacity of the usable workers by pool. Thread-safe for constant tables.
[[nodiscard]] std::map<std::string, resources> usableCapacityByPool(const fleet_tables &tables,
                                                                    instant now);

/// Orders the waiting steps of all pools and keeps the shares in `tables.shares` for pools where
/// the configuration asks for them. Not thread-safe.
[[nodiscard]] std::map<std::string, std::vector<waiting_step>>
orderWaitingSteps(fleet_tables &tables, std::map<std::string, std::vector<queued_step>> steps,
                  const std::map<std::string, order_rules> &rules, instant now);

/// Returns the customer's weight; 1 if it is not configured. Thread-safe.
[[nodiscard]] double weightOf(const configuration &config, const std::string &customer);

/// Adds or removes the resources of a run that `tables.poolUse` counts. Not thread-safe.
void countPoolUse(fleet_tables &tables, const run_entry &run, bool added);

/// Replaces the registry entry of a worker and counts its runs for the pool that it names. Not
/// thread-safe.
void setWorkerEntry(fleet_tables &tables, worker_status &worker, const worker_entry &entry);

} // namespace ibishinge::fleet
