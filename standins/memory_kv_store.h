#pragma once

#include <ibishinge/base/time.h>
#include <ibishinge/outside/kv_store.h>

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ibishinge {

/// What goes wrong with one call to the store.
enum class store_fault : std::uint8_t {
    none,
    unavailable, ///< the call has no effect and fails with `unavailable`
    lost_call, ///< the call has no effect and fails with `outcome_unknown`
    lost_response, ///< the call takes effect and fails with `outcome_unknown`
};

/// One change in the history of a key.
struct kv_change
{
    store_revision revision = 0;
    std::string key;
    std::optional<std::string> value; ///< none: deleted
};

/// A store in memory with etcd's semantics, for tests and for the store's stand-in process.
/// Thread-safe. Leases expire by the clock that is passed in.
class memory_kv_store final : public kv_store
{
public:
    /// Decides the fault of a call; `operation` is "range", "applyBatch", "grantLease",
    /// "keepAlive" or "revokeLease".
    using fault_hook = std::function<store_fault(std::string_view operation)>;

    /// Precondition: `clock` outlives the store.
    explicit memory_kv_store(const clock_source &clock)
        : m_clock(clock)
    {
    }

    void setFaultHook(fault_hook hook)
    {
        const std::lock_guard lock(m_mutex);
        m_hook = std::move(hook);
    }

    [[nodiscard]] std::vector<kv_change> history() const
    {
        const std::lock_guard lock(m_mutex);
        return m_history;
    }
    [[nodiscard]] std::int64_t readCalls() const
    {
        const std::lock_guard lock(m_mutex);
        return m_readCalls;
    }
    /// Batches and lease operations.
    [[nodiscard]] std::int64_t writeCalls() const
    {
        const std::lock_guard lock(m_mutex);
        return m_writeCalls;
    }

    result<range_result> range(const range_query &query) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_readCalls;
        if (const auto fault = nextFault("range"); fault != store_fault::none) {
            return faultError(fault);
        }
        expireLeases();
        range_result found;
        found.revision = m_revision;
        for (auto it = m_entries.lower_bound(query.key); it != m_entries.end(); ++it) {
            const bool matches =
                query.prefix ? it->first.starts_with(query.key) : it->first == query.key;
            if (!matches) {
                break;
            }
            found.entries.push_back(it->second);
            if (query.keysOnly) {
                found.entries.back().value.clear();
            }
        }
        return found;
    }

    result<batch_result> applyBatch(std::span<const conditional_write> writes) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_writeCalls;
        if (writes.size() > maxBatchWrites) {
            return makeError(error_kind::too_large, "batch", "more than 128 writes");
        }
        for (const auto &write : writes) {
            if (write.value && write.value->size() > maxValueBytes) {
                return makeError(error_kind::too_large, write.key, "value above 1 MiB");
            }
        }
        const auto fault = nextFault("applyBatch");
        if (fault == store_fault::unavailable || fault == store_fault::lost_call) {
            return faultError(fault);
        }
        expireLeases();
        batch_result applied;
        // etcd gives all writes of a transaction the same revision.
        const store_revision next = m_revision + 1;
        for (const auto &write : writes) {
            applied.outcomes.push_back(applyOne(write, next));
        }
        applied.revision = m_revision;
        if (fault == store_fault::lost_response) {
            return faultError(fault);
        }
        return applied;
    }

    result<lease_id> grantLease(std::chrono::seconds ttl) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_writeCalls;
        const auto fault = nextFault("grantLease");
        if (fault == store_fault::unavailable || fault == store_fault::lost_call) {
            return faultError(fault);
        }
        const lease_id id = ++m_lastLease;
        m_leases[id] = {ttl, m_clock.now() + ttl};
        if (fault == store_fault::lost_response) {
            return faultError(fault);
        }
        return id;
    }

    result<void> keepAlive(lease_id lease) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_writeCalls;
        const auto fault = nextFault("keepAlive");
        if (fault == store_fault::unavailable || fault == store_fault::lost_call) {
            return faultError(fault);
        }
        expireLeases();
        const auto found = m_leases.find(lease);
        if (found == m_leases.end()) {
            return makeError(error_kind::unknown_entity, "lease", "expired or never granted");
        }
        found->second.expiry = m_clock.now() + found->second.ttl;
        if (fault == store_fault::lost_response) {
            return faultError(fault);
        }
        return {};
    }

    result<void> revokeLease(lease_id lease) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_writeCalls;
        const auto fault = nextFault("revokeLease");
        if (fault == store_fault::unavailable || fault == store_fault::lost_call) {
            return faultError(fault);
        }
        expireLeases();
        dropLease(lease);
        if (fault == store_fault::lost_response) {
            return faultError(fault);
        }
        return {};
    }

private:
    struct lease_state
    {
        std::chrono::seconds ttl {0};
        monotonic_time expiry;
    };

    store_fault nextFault(std::string_view operation)
    {
        return m_hook ? m_hook(operation) : store_fault::none;
    }

    static tl::unexpected<error> faultError(store_fault fault)
    {
        const auto kind = fault == store_fault::unavailable ? error_kind::unavailable
                                                            : error_kind::outcome_unknown;
        return makeError(kind, "store", "injected fault");
    }

    write_outcome applyOne(const conditional_write &write, store_revision next)
    {
        const auto found = m_entries.find(write.key);
        const store_revision present = found == m_entries.end() ? 0 : found->second.modRevision;
        write_outcome outcome;
        const bool leaseMissing = write.lease != 0 && !m_leases.contains(write.lease);
        if ((write.expectedRevision && *write.expectedRevision != present) || !guardHolds(write)
            || leaseMissing) {
            if (found != m_entries.end()) {
                outcome.current = found->second;
            }
            return outcome;
        }
        outcome.applied = true;
        outcome.modRevision = next;
        if (!write.value && found == m_entries.end()) {
            return outcome; // Deleting an absent key changes nothing.
        }
        m_revision = next;
        m_history.push_back({next, write.key, write.value});
        if (write.value) {
            auto &entry = m_entries[write.key];
            entry.key = write.key;
            entry.value = *write.value;
            entry.createRevision = entry.createRevision == 0 ? next : entry.createRevision;
            entry.modRevision = next;
            entry.lease = write.lease;
        } else {
            m_entries.erase(found);
        }
        return outcome;
    }

    bool guardHolds(const conditional_write &write) const
    {
        if (!write.guard) {
            return true;
        }
        const auto found = m_entries.find(write.guard->key);
        const store_revision present = found == m_entries.end() ? 0 : found->second.modRevision;
        return present == write.guard->modRevision;
    }

    void expireLeases()
    {
        std::vector<lease_id> expired;
        for (const auto &[id, state] : m_leases) {
            if (state.expiry <= m_clock.now()) {
                expired.push_back(id);
            }
        }
        for (const lease_id id : expired) {
            dropLease(id);
        }
    }

    void dropLease(lease_id lease)
    {
        if (m_leases.erase(lease) == 0) {
            return;
        }
        ++m_revision;
        for (auto it = m_entries.begin(); it != m_entries.end();) {
            if (it->second.lease == lease) {
                m_history.push_back({m_revision, it->first, std::nullopt});
                it = m_entries.erase(it);
            } else {
                ++it;
            }
        }
    }

    const clock_source &m_clock;
    mutable std::mutex m_mutex;
    fault_hook m_hook;
    std::map<std::string, kv_entry> m_entries;
    std::map<lease_id, lease_state> m_leases;
    std::vector<kv_change> m_history;
    store_revision m_revision = 0;
    lease_id m_lastLease = 0;
    std::int64_t m_readCalls = 0;
    std::int64_t m_writeCalls = 0;
};

} // namespace ibishinge
