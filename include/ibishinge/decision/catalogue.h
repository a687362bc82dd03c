#pragma once

#include <ibishinge/base/work_class.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge {

/// A customer with a share of the fleet.
struct team_entry
{
    std::string name;
    std::string owner; ///< who is responsible for the entry
    work_class workClass = work_class::normal;
    double shareWeight = 1; ///< relative to the weights of the other teams
    std::int64_t upperLimit = 0; ///< running requests and tasks over the whole fleet
};

/// Determines the teams that may use a service or queue.
struct access_rule
{
    bool openToAll = false; ///< any caller may use it, without a key
    std::vector<std::string> teams; ///< empty if `openToAll`

    /// Returns true if `teams` contains `team`, whatever `openToAll` says. Thread-safe.
    [[nodiscard]] bool lists(std::string_view team) const noexcept;
};

/// A service whose requests are routed to targets.
struct service_entry
{
    std::string name;
    std::string owner;
    work_class workClass = work_class::normal;
    access_rule access;
    std::chrono::milliseconds maxRun {0}; ///< longest time that a target may work on a request
    std::int64_t minIdleSlots = 0; ///< free slots that are reserved for load peaks
    std::int64_t maxIdleSlots = 0; ///< free slots above this are surplus
    std::int64_t maxWaiting = 0; ///< bound of the queue of each team in each entry process
    std::chrono::milliseconds latencyObjective {0};
    double availabilityObjective = 0; ///< share of good requests, between 0 and 1
};

/// A queue of batch jobs.
struct queue_entry
{
    std::string name;
    std::string owner;
    work_class workClass = work_class::normal;
    access_rule access;
    std::string pool; ///< pool whose workers run the jobs
    std::int64_t maxWaiting = 0; ///< largest number of waiting jobs
    std::int64_t maxRunning = 0; ///< largest number of running jobs
    std::chrono::milliseconds maxRun {0}; ///< longest run time of a job
};

/// Bound on the number of unavailable hosts. Exactly one member is set.
struct availability_budget
{
    std::optional<std::int64_t> minAvailable; ///< hosts
    std::optional<std::int64_t> maxUnavailable; ///< hosts

    friend bool operator==(const availability_budget &, const availability_budget &) = default;
};

/// Level of a failure domain.
enum class domain_level : std::uint8_t { rack, data_centre, region };

/// Returns the name of `level` as used in documents. Thread-safe.
[[nodiscard]] std::string_view nameOf(domain_level level) noexcept;

/// Bound on the unavailable hosts of a pool in each failure domain of `level`.
struct domain_budget
{
    domain_level level = domain_level::rack;
    availability_budget budget;
};

/// A group of hosts with a common availability budget.
struct pool_entry
{
    std::string name;
    std::string owner;
    work_class workClass = work_class::normal;
    std::int64_t maxHosts = 0;
    availability_budget budget;
    std::vector<domain_budget> domainBudgets; ///< at most one entry for each level
    bool spare = false; ///< the hosts are lent to other pools and run no jobs in this one
    std::chrono::hours maintenanceInterval {0}; ///< each host is maintained once in each interval
};

/// A group of pools that are maintained together.
struct wave_entry
{
    std::string name;
    std::string owner;
    work_class workClass = work_class::normal;
    std::int64_t order = 0; ///< waves run in ascending order; waves of equal order run together
    std::int64_t concurrency = 1; ///< planned stops at the same time
    std::vector<std::string> pools;
};

/// The document in which operators define the teams, services, queues, pools and waves. Names are
/// unique in each list.
struct catalogue
{
    std::vector<team_entry> teams;
    std::vector<service_entry> services;
    std::vector<queue_entry> queues;
    std::vector<pool_entry> pools;
    std::vector<wave_entry> waves;
};

/// Returns the entry with this name, or null. The pointer is valid as long as `document` is
/// unchanged. Thread-safe.
[[nodiscard]] const team_entry *findTeam(const catalogue &document, std::string_view name) noexcept;
[[nodiscard]] const service_entry *findService(const catalogue &document,
                                               std::string_view name) noexcept;
[[nodiscard]] const queue_entry *findQueue(const catalogue &document,
                                           std::string_view name) noexcept;
[[nodiscard]] const pool_entry *findPool(const catalogue &document, std::string_view name) noexcept;

/// Kind of a difference between two catalogues.
enum class change_kind : std::uint8_t { added, removed, changed };

/// Returns the name of `kind` as used in documents. Thread-safe.
[[nodiscard]] std::string_view nameOf(change_kind kind) noexcept;

/// One difference between two catalogues.
struct catalogue_difference
{
    change_kind kind = change_kind::changed;
    /// Path of an entry, "/teams/<name>", or of a field of an entry, "/teams/<name>/<field>".
    std::string place;
    std::string before; ///< old value of the field; empty for an entry or added field
    std::string after; ///< new value of the field; empty for an entry or removed field

    friend bool operator==(const catalogue_difference &, const catalogue_difference &) = default;
};

/// Returns the differences from `before` to `after`, sorted by place. The order of the entries in
/// the catalogues is irrelevant. Thread-safe.
[[nodiscard]] std::vector<catalogue_difference> differences(const catalogue &before,
                                                            const catalogue &after);

} // namespace ibishinge
