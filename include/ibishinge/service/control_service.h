#pragma once

#include <ibishinge/outside/host_list.h>
#include <ibishinge/service/pool_owner.h>
#include <ibishinge/state/configuration_cache.h>
#include <ibishinge/state/host_record.h>
#include <ibishinge/state/membership.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace ibishinge {

inline constexpr std::string_view ownerPrefix = "owner/";

/// Name of the service by which the host list shows a worker.
inline constexpr std::string_view workerService = "worker";

/// Returns the member that should own `pool`: the highest hash of pool and incarnation, so that a
/// member that comes or goes moves only its own pools. "" if there are no members. Thread-safe.
[[nodiscard]] std::string preferredOwner(std::string_view pool,
                                         const std::set<std::string> &members);

struct control_service_options
{
    member_info self;
    pool_owner_options owner;
    milliseconds hostListTimeout {1000};
    milliseconds hostListInterval {1000};
    /// The records of all hosts are read this often; at 2,500 hosts one read is about 150 KB.
    milliseconds hostRecordInterval {10000};
    /// A pool is given to a new preferred owner after this time, so that members that restart one
    /// after the other do not pass it around.
    milliseconds rebalanceAfter {30000};
};

/// Owns pools and runs their jobs, for one control process.
///
/// \code
/// while (!stopping) { service->tick(); waitUntilNextTick(); }
/// service->handOver();
/// \endcode
///
/// `tick` and `handOver` are called by one thread; `statusJson` is thread-safe.
class control_service
{
public:
    using configuration_source = std::function<std::shared_ptr<const configuration>()>;

    /// Precondition: the references outlive the service.
    [[nodiscard]] static std::unique_ptr<control_service>
    create(kv_store &store, const clock_source &clock, host_list &hosts, worker_client &workers,
           configuration_source configuration, control_service_options options);

    /// Renews the member's lease, takes and drops pools, and runs one tick of each owned one.
    void tick();

    /// Writes what is not yet written and gives up all pools, so that others take them at once.
    void handOver();

    [[nodiscard]] std::string statusJson() const;
    [[nodiscard]] const std::map<std::string, std::unique_ptr<pool_owner>> &pools() const noexcept
    {
        return m_pools;
    }

private:
    control_service(kv_store &store, const clock_source &clock, host_list &hosts,
                    worker_client &workers, configuration_source configuration,
                    control_service_options options);

    [[nodiscard]] bool renew();
    void readHosts();
    void takePools(const configuration &current);
    void adopt(const std::string &pool, store_revision revision);
    void giveUp(const std::string &pool);
    [[nodiscard]] std::vector<pool_worker> workersOf(const std::string &pool) const;
    void publishStatus();

    kv_store &m_store;
    const clock_source &m_clock;
    host_list &m_hosts;
    worker_client &m_workers;
    const configuration_source m_configuration;
    const control_service_options m_options;
    std::unique_ptr<membership> m_membership;
    ownership_proof m_proof;
    lease_id m_lease = 0;
    std::map<std::string, std::unique_ptr<pool_owner>> m_pools;
    std::map<std::string, monotonic_time> m_notPreferredSince;
    host_list_snapshot m_listed;
    std::map<std::string, host_record> m_hostRecords;
    monotonic_time m_nextHostList;
    monotonic_time m_nextHostRecords;
    mutable std::mutex m_statusMutex;
    std::string m_status = "{}";
};

} // namespace ibishinge
