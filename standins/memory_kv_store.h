#pragma once

#include <ibishinge/base/time.h>
#include <ibishinge/outside/kv_store.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <span>
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

    /// Bounds the memory of a long run: at 400 batches of 128 records a second, a million changes
    /// are 20 s of history.
    static constexpr std::size_t defaultHistoryLimit = 1'000'000;

    /// Keeps the last `historyLimit` changes. Precondition: `clock` outlives the store.
    explicit memory_kv_store(const clock_source &clock,
                             std::size_t historyLimit = defaultHistoryLimit)
        : m_clock(clock)
        , m_historyLimit(historyLimit)
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
        return {m_history.begin(), m_history.end()};
    }
    /// Returns the changes kept from `first` on, and the number of older ones that were dropped.
    [[nodiscard]] std::pair<std::vector<kv_change>, std::int64_t>
    historyFrom(store_revision first) const
    {
        const std::lock_guard lock(m_mutex);
        const auto begin = std::lower_bound(
            m_history.begin(), m_history.end(), first,
            [](const kv_change &change, store_revision value) { return change.revision < value; });
        return {{begin, m_history.end()}, m_historyDropped};
    }
    [[nodiscard]] std::int64_t readCalls() const
    {
        const std::lock_guard lock(m_mutex);
        return m_readCalls;
    }
    [[nodiscard]] bool hasLease(lease_id lease)
    {
        const std::lock_guard lock(m_mutex);
        expireLeases();
        return m_leases.contains(lease);
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
            if (it->second.modRevision < query.minModRevision) {
                continue;
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
        if (auto checked = checkBatchBounds(writes); !checked) {
            return tl::unexpected(std::move(checked.error()));
        }
        const auto fault = nextFault("applyBatch");
        if (fault == store_fault::unavailable || fault == store_fault::lost_call) {
            return faultError(fault);
        }
        expireLeases();
        for (const auto &write : writes) {
            if (write.lease != 0 && !m_leases.contains(write.lease)) {
                return makeError(error_kind::unknown_entity, "lease", "expired or never granted");
            }
        }
        // etcd checks the conditions of all nested transactions before it applies any of them.
        std::vector<bool> allowed;
        for (const auto &write : writes) {
            allowed.push_back(conditionsHold(write));
        }
        batch_result applied;
        // etcd gives all writes of a transaction the same revision.
        const store_revision next = m_revision + 1;
        for (std::size_t i = 0; i < writes.size(); ++i) {
            applied.outcomes.push_back(allowed[i] ? applyOne(writes[i], next)
                                                  : rejectOne(writes[i]));
        }
        applied.revision = m_revision;
        for (auto &outcome : applied.outcomes) {
            // A batch that only deletes absent keys does not advance the revision.
            outcome.modRevision = outcome.applied ? m_revision : 0;
        }
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

    bool conditionsHold(const conditional_write &write) const
    {
        const auto found = m_entries.find(write.key);
        const store_revision present = found == m_entries.end() ? 0 : found->second.modRevision;
        return (!write.expectedRevision || *write.expectedRevision == present) && guardHolds(write);
    }

    write_outcome rejectOne(const conditional_write &write) const
    {
        write_outcome outcome;
        if (const auto found = m_entries.find(write.key); found != m_entries.end()) {
            outcome.current = found->second;
        }
        return outcome;
    }

    write_outcome applyOne(const conditional_write &write, store_revision next)
    {
        const auto found = m_entries.find(write.key);
        write_outcome outcome;
        outcome.applied = true;
        if (!write.value && found == m_entries.end()) {
            return outcome; // Deleting an absent key changes nothing.
        }
        m_revision = next;
        record({next, write.key, write.value});
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

    void record(kv_change change)
    {
        m_history.push_back(std::move(change));
        if (m_history.size() > m_historyLimit) {
            m_history.pop_front();
            ++m_historyDropped;
        }
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
        const store_revision next = m_revision + 1;
        for (auto it = m_entries.begin(); it != m_entries.end();) {
            if (it->second.lease == lease) {
                m_revision = next;
                record({next, it->first, std::nullopt});
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
    std::deque<kv_change> m_history;
    std::size_t m_historyLimit;
    std::int64_t m_historyDropped = 0;
    store_revision m_revision = 0;
    lease_id m_lastLease = 0;
    std::int64_t m_readCalls = 0;
    std::int64_t m_writeCalls = 0;
};

} // namespace ibishinge
