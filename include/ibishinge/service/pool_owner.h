#pragma once

#include <ibishinge/base/time.h>
#include <ibishinge/decision/catalogue.h>
#include <ibishinge/decision/placement.h>
#include <ibishinge/outside/kv_store.h>
#include <ibishinge/outside/worker_client.h>
#include <ibishinge/state/allowance_manager.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ibishinge {

/// Rules that keep two owners apart. Only tests switch one off, to show that it is needed.
struct owner_safeguards
{
    bool guardWrites = true; ///< writes require the ownership record
    bool markBeforeRetry = true; ///< an unknown attempt is stopped before the next one starts
    bool writeBeforeStart = true; ///< a worker is called only after `starting` is in the store
    bool waitForLease = true; ///< a job of a lost worker waits until its lease has expired
    bool leaseFromProof = true; ///< leases count from the last proof of ownership, not from now
};

struct pool_owner_options
{
    /// How long a task runs on without renewal. Longer leases bridge longer outages of the store,
    /// during which nobody may renew; shorter ones restart the jobs of a lost worker sooner.
    milliseconds taskLease {60000};
    /// A start is refused this long after the last proof of ownership. Longer than a tick.
    milliseconds startWindow {4000};
    /// Largest difference between the wall clocks of a control host and a worker.
    milliseconds clockSkew {2000};
    milliseconds callTimeout {1000};
    milliseconds renewInterval {1000}; ///< of workers with tasks
    milliseconds statusInterval {5000}; ///< of workers without tasks
    milliseconds poolKnownAfter {10000}; ///< silent workers are then left out of size checks
    std::chrono::seconds retention {3600}; ///< of records in a final state
    std::chrono::seconds retentionPeriod {600}; ///< records written within it share a store lease
    placement_settings placement;
    owner_safeguards safeguards;
    /// Calls the function for 0 to count-1, several at once. Serial if empty.
    std::function<void(std::size_t count, const std::function<void(std::size_t)> &)> forEach;
};

/// Proof that the ownership record existed: the time at which a successful renewal began.
struct ownership_proof
{
    monotonic_time at;
    wall_time wallAt;
};

/// A worker as the host list and the host records show it.
struct pool_worker
{
    std::string id;
    endpoint where;
    std::string rack;
    std::string dataCentre;
    bool inService = false; ///< live, in the pool and not draining
};

enum class owner_verdict : std::uint8_t {
    owns,
    stale, ///< another process owns the pool, or may; the object must be dropped
};

/// Runs the jobs of one pool for as long as this process owns it. Not thread-safe.
///
/// Each record is written before the worker is called, with the ownership record as guard. Leases
/// and start windows count from the last proof of ownership, so that they end a bounded time after
/// the ownership, even if this process was frozen in between.
class pool_owner
{
public:
    /// `revision` is that of the ownership record, `acquiredAt` a time at which this process
    /// certainly owned the pool. Precondition: the references outlive the object.
    pool_owner(std::string pool, store_revision revision, wall_time acquiredAt, kv_store &store,
               const clock_source &clock, worker_client &workers, pool_owner_options options);

    /// Loads the pool's records if that has not been done, takes notes, renews leases, places jobs,
    /// writes and starts. Errors of the store are logged and retried by the next call.
    [[nodiscard]] owner_verdict tick(const ownership_proof &proof, const catalogue &catalogue,
                                     std::int64_t catalogueRevision,
                                     const std::vector<pool_worker> &workers);

    /// Writes what is not yet written, before the pool is handed over.
    void flush();

    [[nodiscard]] const pool_tables &tables() const noexcept
    {
        return m_tables;
    }
    [[nodiscard]] store_revision revision() const noexcept
    {
        return m_revision;
    }

private:
    struct contact
    {
        pool_worker worker;
        monotonic_time nextCall;
        bool hasAnswered = false;
        bool isSilent = false; ///< the last call was not answered
        std::vector<task_key> forget;
    };
    struct stored_job
    {
        job_record record;
        store_revision revision = 0;
    };

    [[nodiscard]] bool load();
    [[nodiscard]] result<std::optional<stored_job>> readJob(const std::string &name);
    [[nodiscard]] bool isProofFresh() const;
    void takeConfiguration(const catalogue &catalogue, std::int64_t revision);
    void takeWorkers(const std::vector<pool_worker> &workers);
    void takeNotes();
    void takeSubmitted(const kv_entry &note);
    void takeCancel(const kv_entry &note);
    void callWorkers();
    void endOrphans();
    [[nodiscard]] std::set<std::string> activeAt(const std::string &worker) const;
    void takeReport(const std::string &id, const worker_report &report);
    void takeSilence(const std::string &id);
    void takeTask(const std::string &name, const task_report &task);
    void takeEnded(const std::string &name, const task_report &task);
    void resolveUnknown(const std::string &name);
    void endWithoutResult(const std::string &name, const std::string &reason);
    void stopCancelled();
    void adjustAllowance();
    void place();
    [[nodiscard]] bool writeDirty();
    [[nodiscard]] bool takeOutcome(const conditional_write &write, const write_outcome &outcome);
    void takeApplied(const std::string &name, store_revision revision, const std::string &value);
    [[nodiscard]] lease_id retentionLease();
    void callActions();
    void startWritten();
    void apply(const std::string &name, job_event event, const event_details &details = {});
    [[nodiscard]] task_key keyOf(const job_record &record) const;
    [[nodiscard]] const endpoint *endpointOf(const std::string &worker) const;
    [[nodiscard]] wall_time leaseUntil() const;
    void forEach(std::size_t count, const std::function<void(std::size_t)> &act) const;

    const std::string m_pool;
    const store_revision m_revision;
    const wall_time m_acquiredAt;
    kv_store &m_store;
    const clock_source &m_clock;
    worker_client &m_workers;
    const pool_owner_options m_options;
    const std::string m_prefix; ///< of the pool's job records
    std::unique_ptr<allowance_manager> m_allowance;
    pool_tables m_tables;
    std::map<std::string, contact> m_contacts;
    ownership_proof m_proof;
    bool m_loaded = false;
    bool m_stale = false;
    monotonic_time m_loadedAt;
    monotonic_time m_nextAdjust;
    std::int64_t m_catalogueRevision = 0;
    std::uint64_t m_seed;
    std::set<std::string> m_dirty; ///< jobs whose records are to be written
    /// Values sent for the present revision of a record whose outcome is not certain.
    std::map<std::string, std::set<std::string>> m_sent;
    std::map<std::string, store_revision> m_absorbed; ///< notes to delete
    std::map<std::string, std::pair<std::string, store_revision>> m_cancelNotes; ///< by job
    std::set<std::string> m_unseen; ///< active when taken over, at a worker not heard of since
    std::map<std::string, int> m_startWritten; ///< attempts to start, by job
    std::vector<placement_action> m_actions;
    lease_id m_retentionLease = 0;
    monotonic_time m_retentionLeaseAt;
};

} // namespace ibishinge
