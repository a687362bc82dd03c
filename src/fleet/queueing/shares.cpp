#include <ibishinge/fleet/queueing/shares.h>

#include <ibishinge/fleet/advice.h>
#include <ibishinge/fleet/placement.h>
#include <ibishinge/fleet/tables.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace ibishinge::fleet {

namespace {

/// Shares are compared with this relative tolerance: sums of fractions are not exact.
constexpr double tolerance = 1e-9;
constexpr double unlimited = std::numeric_limits<double>::infinity();

constexpr std::size_t kinds = 3; ///< of resources
using amounts = std::array<double, kinds>;

amounts amountsOf(const resources &value) noexcept
{
    return {static_cast<double>(value.cpuMillis), static_cast<double>(value.memoryMb),
            static_cast<double>(value.accelerators)};
}

resources multiply(const resources &value, int factor) noexcept
{
    return {value.cpuMillis * factor, value.memoryMb * factor, value.accelerators * factor};
}

/// Returns the share of each component of `capacity`; 0 for those that the pool does not have.
amounts sharesOfCapacity(const resources &value, const resources &capacity) noexcept
{
    auto shares = amountsOf(value);
    const auto whole = amountsOf(capacity);
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        shares[kind] = whole[kind] > 0 ? shares[kind] / whole[kind] : 0;
    }
    return shares;
}

/// A customer whose share grows while the pool is filled.
struct growing_share
{
    customer_share *share = nullptr;
    amounts rate {}; ///< use of each resource for a level of 1
    double met = 0; ///< level at which the demand is met
    double stoppedAt = unlimited; ///< level at which a resource that it needs was used up
};

/// Returns the use of each resource for a level of 1 by all that still grow among the shares from
/// each index on. These are sums, because differences of them would have rounding errors of the
/// size of the largest weight.
std::vector<amounts> ratesFrom(const std::vector<growing_share> &shares)
{
    std::vector<amounts> rates(shares.size() + 1, amounts {});
    for (std::size_t i = shares.size(); i-- > 0;) {
        rates[i] = rates[i + 1];
        for (std::size_t kind = 0; kind < kinds; ++kind) {
            rates[i][kind] += std::isinf(shares[i].stoppedAt) ? shares[i].rate[kind] : 0;
        }
    }
    return rates;
}

/// Stops the growth of those that need a resource that is used up.
void stopGrowth(std::vector<growing_share> &shares, std::size_t begin, std::size_t scarce,
                double level) noexcept
{
    for (std::size_t i = begin; i < shares.size(); ++i) {
        auto &each = shares[i];
        if (each.rate[scarce] > 0 && std::isinf(each.stoppedAt)) {
            each.stoppedAt = level;
        }
    }
}

/// Returns the number of tasks that bring a customer that holds `used` to `entitlement`, at most
/// `waiting` and at least 1.
int tasksUntil(double entitlement, const resources &used, const resources &need,
               const resources &capacity, int waiting) noexcept
{
    const auto begin = sharesOfCapacity(used, capacity);
    const auto each = sharesOfCapacity(need, capacity);
    double tasks = waiting;
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        if (each[kind] > 0) {
            tasks =
                std::min(tasks, std::ceil((entitlement - begin[kind]) / each[kind] - tolerance));
        }
    }
    return std::max(1, static_cast<int>(tasks));
}

/// Moves steps that have waited past the starvation bound from `steps` to the result, the longest
/// wait first: by priority, a step that the bound is to help could still wait for ever. They stop
/// at the first that the pool's part for them has no room for, so that small tasks do not keep a
/// large one waiting. Those that `mayStart` excludes are left, as they would use up the part
/// without a start, and long-running ones, as they would keep it for as long as they run.
std::vector<waiting_step>
takeStepsPastBound(std::vector<queued_step> &steps, const resources &capacity,
                   const resources &pastBound,
                   const std::function<bool(const queued_step &)> &mayStart, instant now)
{
    std::vector<queued_step *> waiting;
    for (auto &step : steps) {
        if (now - step.waitsSince > starvationBound
            && step.where.key.stepClass != step_class::long_running) {
            waiting.push_back(&step);
        }
    }
    // Only a few of them are taken, so they are not sorted.
    const auto goesAfter = [](const queued_step *a, const queued_step *b) {
        return a->waitsSince != b->waitsSince ? a->waitsSince > b->waitsSince
                                              : a->where.key > b->where.key;
    };
    std::make_heap(waiting.begin(), waiting.end(), goesAfter);
    std::vector<waiting_step> first;
    auto held = pastBound;
    for (auto end = waiting.end(); end != waiting.begin(); --end) {
        std::pop_heap(waiting.begin(), end, goesAfter);
        auto *const step = *(end - 1);
        if (!mayStart(*step)) {
            continue;
        }
        const double each = dominantShare(step->need, capacity);
        const double room = starvationPart - dominantShare(held, capacity);
        int tasks = step->waitingTasks;
        if (each > 0) {
            const double fitting = std::floor(room / each + tolerance);
            tasks = static_cast<int>(std::clamp<double>(fitting, 0, tasks));
        }
        if (step->gang && tasks < step->waitingTasks) {
            tasks = 0;
        }
        // A task or gang that is larger than the part may go alone.
        if (tasks == 0 && held == resources {}) {
            tasks = step->gang ? step->waitingTasks : 1;
        }
        if (tasks == 0) {
            break;
        }
        held = held + multiply(step->need, tasks);
        auto where = step->where;
        where.maxTasks = tasks;
        where.key.withinBound = false;
        where.key.waitsSince = step->waitsSince;
        first.push_back(where);
        step->waitingTasks -= tasks;
    }
    if (!first.empty()) {
        std::erase_if(steps, [](const queued_step &step) { return step.waitingTasks == 0; });
    }
    return first;
}

/// Returns true if the limit of the customer and at least one of the workers permit a start of a
/// task or gang. Their free resources are considered only after another starvation bound: until
/// then, the step waits for a place without being overtaken.
bool mayStartPastBound(const fleet_tables &tables, const std::vector<worker_status *> &workers,
                       const queued_step &step, instant now)
{
    const auto &job = *step.where.job;
    const int tasks = step.gang ? step.waitingTasks : 1;
    if (!isWithinLimit(tables, job.customer, multiply(step.need, tasks))) {
        return false;
    }
    const step_tickets *tickets = nullptr;
    if (tables.queues.at(job.queue)->advice) {
        const auto found = job.tickets.find({step.where.occurrence, step.where.step});
        if (found == job.tickets.end()) {
            return false;
        }
        tickets = &found->second;
    }
    const bool needsPlace = now - step.waitsSince > 2 * starvationBound;
    int places = 0;
    for (const auto *worker : workers) {
        auto free = needsPlace ? worker->entry.capacity - worker->held : worker->entry.capacity;
        if (!fits(step.need, free) || !isSuitable(*worker, step.where, tickets, now)) {
            continue;
        }
        for (; places < tasks && fits(step.need, free); ++places) {
            free = free - step.need;
        }
        if (places == tasks) {
            return true;
        }
    }
    return false;
}

/// Appends the parts of a step that have different positions towards the customer's entitlement.
/// `used` is what the customer holds and what its steps that go before need.
void assignPositions(const queued_step &step, resources &used, const resources &capacity,
                     std::vector<waiting_step> &steps)
{
    const auto add = [&](share_position position, int tasks) {
        auto &where = steps.emplace_back(step.where);
        where.key.position = position;
        where.maxTasks = tasks;
    };
    const auto before = used;
    used = used + multiply(step.need, step.waitingTasks);
    const double entitlement = step.share->entitlement;
    if (isAboveShare(*step.share)) {
        add(share_position::above, step.waitingTasks);
    } else if (dominantShare(before, capacity) >= entitlement * (1 - tolerance)) {
        add(share_position::covered, step.waitingTasks);
    } else {
        const int within =
            step.gang || std::isinf(entitlement)
                ? step.waitingTasks
                : tasksUntil(entitlement, before, step.need, capacity, step.waitingTasks);
        add(share_position::within, within);
        if (within < step.waitingTasks) {
            add(share_position::covered, step.waitingTasks - within);
        }
    }
}

/// What steps are sorted by. It is small, as thousands of them are sorted in each pass.
struct sort_row
{
    std::int64_t rank = 0; ///< priority and class
    instant objectiveAt;
    double weightedShare = 0;
    std::size_t index = 0; ///< equal steps keep their order
};

bool operator<(const sort_row &a, const sort_row &b) noexcept
{
    if (a.rank != b.rank) {
        return a.rank < b.rank;
    }
    if (a.objectiveAt != b.objectiveAt) {
        return a.objectiveAt < b.objectiveAt;
    }
    return a.weightedShare != b.weightedShare ? a.weightedShare < b.weightedShare
                                              : a.index < b.index;
}

/// Returns the order of the steps by priority, class, objective and weighted share.
std::vector<sort_row> sortedRows(const std::vector<queued_step> &steps)
{
    constexpr std::int64_t classes = 3;
    std::vector<sort_row> rows;
    rows.reserve(steps.size());
    for (const auto &step : steps) {
        const auto &key = step.where.key;
        rows.push_back({key.priority * classes + static_cast<std::int64_t>(key.stepClass),
                        key.objectiveAt, key.weightedShare, rows.size()});
    }
    std::sort(rows.begin(), rows.end());
    return rows;
}

/// What is the same for a customer in all pools.
struct customer_terms
{
    double weight = 1;
    resources limit; ///< a component of 0 is unlimited
    resources held; ///< in all pools
    double weightedShare = 0;
};

using terms_by_customer = std::unordered_map<std::string_view, customer_terms>;

/// Returns the terms of the configured customers and of all others that hold resources.
terms_by_customer termsByCustomer(const fleet_tables &tables, const resources &capacityOfAll)
{
    terms_by_customer terms;
    for (const auto &[name, customer] : tables.config.customers) {
        terms[name] = {customer.weight, customer.limit, {}, 0};
    }
    for (const auto &[name, held] : tables.customerHeld) {
        terms[name].held = held;
    }
    for (auto &[name, each] : terms) {
        each.weightedShare =
            each.weight > 0 ? dominantShare(each.held, capacityOfAll) / each.weight : unlimited;
    }
    return terms;
}

/// Returns the part of `waiting` that the customer's limit permits. All components are reduced in
/// proportion, because tasks that the limit of one resource keeps waiting use none of the others.
resources withinLimit(const customer_terms &terms, const resources &waiting)
{
    const auto limit = amountsOf(terms.limit);
    const auto held = amountsOf(terms.held);
    const auto asked = amountsOf(waiting);
    double part = 1;
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        if (limit[kind] > 0 && asked[kind] > 0) {
            part = std::min(part, std::max(0.0, limit[kind] - held[kind]) / asked[kind]);
        }
    }
    return {std::llround(asked[0] * part), std::llround(asked[1] * part),
            std::llround(asked[2] * part)};
}

/// Returns the shares of the customers that hold resources of the pool or wait for them, and sets
/// those of the steps.
pool_shares sharesOfPool(const fleet_tables &tables, const std::string &pool,
                         std::vector<queued_step> &steps, const resources &capacity,
                         const terms_by_customer &terms)
{
    pool_shares shares;
    shares.capacity = capacity;
    if (const auto use = tables.poolUse.find(pool); use != tables.poolUse.end()) {
        for (const auto &[customer, held] : use->second.byCustomer) {
            if (held != resources {}) {
                shares.customers[customer].held = held;
            }
        }
    }
    std::unordered_map<std::string_view, customer_share *> byName;
    for (auto &step : steps) {
        const auto &customer = step.where.job->customer;
        const auto [found, added] = byName.try_emplace(customer, nullptr);
        if (added) {
            found->second = &shares.customers[customer];
        }
        step.share = found->second;
        auto &waiting = found->second->waiting;
        waiting = waiting + multiply(step.need, step.waitingTasks);
    }
    for (auto &[name, share] : shares.customers) {
        const auto known = terms.find(name);
        const auto own = known == terms.end() ? customer_terms {} : known->second;
        share.waiting = withinLimit(own, share.waiting);
        share.weight = own.weight;
        share.weightedShare = own.weightedShare;
    }
    computeEntitlements(shares);
    for (auto &step : steps) {
        step.where.key.weightedShare = step.share->weightedShare;
    }
    return shares;
}

} // namespace

double dominantShare(const resources &amount, const resources &capacity) noexcept
{
    const auto shares = sharesOfCapacity(amount, capacity);
    return *std::max_element(shares.begin(), shares.end());
}

bool isAboveShare(const customer_share &share) noexcept
{
    return share.dominantShare >= share.entitlement * (1 - tolerance);
}

void computeEntitlements(pool_shares &shares)
{
    std::vector<growing_share> growing;
    for (auto &[name, share] : shares.customers) {
        share.dominantShare = dominantShare(share.held, shares.capacity);
        const auto demand = share.held + share.waiting;
        const double dominant = dominantShare(demand, shares.capacity);
        if (share.weight <= 0 || dominant <= 0) {
            continue;
        }
        growing_share each {&share, sharesOfCapacity(demand, shares.capacity),
                            dominant / share.weight};
        for (auto &rate : each.rate) {
            rate /= each.met;
        }
        growing.push_back(each);
    }
    std::sort(growing.begin(), growing.end(),
              [](const auto &a, const auto &b) { return a.met < b.met; });
    amounts left;
    left.fill(1);
    auto ratesByBegin = ratesFrom(growing);
    double level = 0;
    shares.level = unlimited;
    for (std::size_t i = 0; i < growing.size();) {
        if (!std::isinf(growing[i].stoppedAt)) {
            ++i;
            continue;
        }
        const auto &rates = ratesByBegin[i];
        double full = unlimited;
        std::size_t scarce = 0;
        for (std::size_t kind = 0; kind < kinds; ++kind) {
            const double end = rates[kind] > 0 ? level + left[kind] / rates[kind] : unlimited;
            if (end < full) {
                full = end;
                scarce = kind;
            }
        }
        const double next = std::min(growing[i].met, full);
        for (std::size_t kind = 0; kind < kinds; ++kind) {
            left[kind] = std::max(0.0, left[kind] - rates[kind] * (next - level));
        }
        level = next;
        if (growing[i].met <= full * (1 + tolerance)) {
            ++i;
            continue;
        }
        shares.level = level;
        stopGrowth(growing, i, scarce, level);
        ratesByBegin = ratesFrom(growing);
    }
    for (auto &[name, share] : shares.customers) {
        share.entitlement = share.weight > 0 ? share.weight * shares.level : 0;
    }
    for (const auto &each : growing) {
        if (!std::isinf(each.stoppedAt)) {
            each.share->entitlement = each.share->weight * each.stoppedAt;
        }
    }
}

std::map<std::string, order_rules> orderRulesByPool(const fleet_tables &tables)
{
    const auto &config = tables.config;
    const auto &customers = config.customers;
    const bool byShare =
        tables.ordersByShare
        && std::any_of(customers.begin(), customers.end(), [&customers](const auto &each) {
               return each.second.weight != customers.begin()->second.weight;
           });
    std::map<std::string, order_rules> rules;
    std::map<std::string, int> priorities;
    for (const auto &queue : config.queues) {
        auto &ofPool = rules[queue.pool];
        ofPool.byShare = byShare;
        const int first = priorities.try_emplace(queue.pool, queue.priority).first->second;
        ofPool.byPriority = ofPool.byPriority || (tables.ordersByShare && queue.priority != first);
    }
    return rules;
}

std::vector<waiting_step> orderSteps(std::vector<queued_step> steps, const order_rules &rules,
                                     const resources &capacity, const resources &pastBound,
                                     const std::function<bool(const queued_step &)> &mayStart,
                                     instant now)
{
    std::vector<waiting_step> ordered;
    if (rules.any()) {
        ordered = takeStepsPastBound(steps, capacity, pastBound, mayStart, now);
    }
    const auto rows = sortedRows(steps);
    ordered.reserve(ordered.size() + steps.size());
    if (!rules.byShare) {
        std::transform(rows.begin(), rows.end(), std::back_inserter(ordered),
                       [&steps](const sort_row &row) { return steps[row.index].where; });
        return ordered;
    }
    std::unordered_map<const customer_share *, resources> used;
    std::vector<waiting_step> group; // steps of the same priority and class
    group.reserve(steps.size());
    const auto flush = [&] {
        for (const auto position :
             {share_position::within, share_position::covered, share_position::above}) {
            std::copy_if(group.begin(), group.end(), std::back_inserter(ordered),
                         [position](const auto &step) { return step.key.position == position; });
        }
        group.clear();
    };
    std::int64_t rank = 0;
    for (const auto &row : rows) {
        if (row.rank != rank) {
            flush();
            rank = row.rank;
        }
        const auto &step = steps[row.index];
        assignPositions(step, used.try_emplace(step.share, step.share->held).first->second,
                        capacity, group);
    }
    flush();
    return ordered;
}

std::map<std::string, resources> usableCapacityByPool(const fleet_tables &tables, instant now)
{
    std::map<std::string, resources> capacities;
    for (const auto &[id, worker] : tables.workers) {
        if (isUsable(worker, now)) {
            auto &capacity = capacities[worker.entry.pool];
            capacity = capacity + worker.entry.capacity;
        }
    }
    return capacities;
}

std::map<std::string, std::vector<waiting_step>>
orderWaitingSteps(fleet_tables &tables, std::map<std::string, std::vector<queued_step>> steps,
                  const std::map<std::string, order_rules> &rules, instant now)
{
    // Shares of pools without waiting work are not kept.
    tables.shares.clear();
    const bool ordersAny = std::any_of(steps.begin(), steps.end(), [&rules](const auto &each) {
        return rules.at(each.first).any();
    });
    const auto capacities =
        ordersAny ? usableCapacityByPool(tables, now) : std::map<std::string, resources> {};
    resources all;
    for (const auto &[pool, capacity] : capacities) {
        all = all + capacity;
    }
    const auto terms = ordersAny ? termsByCustomer(tables, all) : terms_by_customer {};
    auto candidates =
        ordersAny ? candidatesByPool(tables, now) : std::map<std::string, pool_candidates> {};
    std::map<std::string, std::vector<waiting_step>> ordered;
    for (auto &[pool, ofPool] : steps) {
        const auto &workers = candidates[pool].usable;
        const auto mayStart = [&](const queued_step &step) {
            return mayStartPastBound(tables, workers, step, now);
        };
        const auto &rulesOfPool = rules.at(pool);
        const auto use = tables.poolUse.find(pool);
        const auto found = capacities.find(pool);
        const auto capacity = found == capacities.end() ? resources {} : found->second;
        pool_shares shares;
        if (rulesOfPool.byShare) {
            shares = sharesOfPool(tables, pool, ofPool, capacity, terms);
        }
        ordered[pool] = orderSteps(
            std::move(ofPool), rulesOfPool, capacity,
            use == tables.poolUse.end() ? resources {} : use->second.pastBound, mayStart, now);
        if (rulesOfPool.byShare) {
            tables.shares[pool] = std::move(shares);
        }
    }
    return ordered;
}

double weightOf(const configuration &config, const std::string &customer)
{
    const auto found = config.customers.find(customer);
    return found == config.customers.end() ? customer_config {}.weight : found->second.weight;
}

void countPoolUse(fleet_tables &tables, const run_entry &run, bool added)
{
    auto &use = tables.poolUse[run.pool];
    auto &held = use.byCustomer[run.customer];
    held = added ? held + run.held : held - run.held;
    if (run.pastBound) {
        use.pastBound = added ? use.pastBound + run.held : use.pastBound - run.held;
    }
}

void setWorkerEntry(fleet_tables &tables, worker_status &worker, const worker_entry &entry)
{
    if (worker.entry.pool != entry.pool) {
        for (const auto &key : worker.runs) {
            auto &run = tables.runs.at(key);
            countPoolUse(tables, run, false);
            run.pool = entry.pool;
            countPoolUse(tables, run, true);
        }
    }
    worker.entry = entry;
}

} // namespace ibishinge::fleet
