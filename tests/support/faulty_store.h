#pragma once

#include <ibishinge/outside/kv_store.h>

#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace ibishinge {

/// Batches that were sent and have not arrived yet.
using late_batches = std::deque<std::vector<conditional_write>>;

/// One process's connection to the store: loses calls and responses, delivers batches late, and
/// lets others act between the process's read and its write. Not thread-safe.
class faulty_store final : public kv_store
{
public:
    enum class fault : std::uint8_t { none, unavailable, lost_call, lost_response, late_call };

    /// Precondition: the arguments outlive the object.
    faulty_store(kv_store &inner, late_batches &late)
        : m_inner(inner)
        , m_late(late)
    {
    }

    fault writeFault = fault::none;
    bool onlyNextWrite = false; ///< `writeFault` ends with the next batch
    bool readFails = false;
    std::function<void()> beforeWrite; ///< called once

    result<range_result> range(const range_query &query) override
    {
        if (readFails) {
            return makeError(error_kind::unavailable, "store", "injected fault");
        }
        return m_inner.range(query);
    }
    result<batch_result> applyBatch(std::span<const conditional_write> writes) override
    {
        if (beforeWrite) {
            std::exchange(beforeWrite, {})();
        }
        const fault now = writeFault;
        if (onlyNextWrite) {
            writeFault = fault::none;
        }
        switch (now) {
        case fault::none:
            return m_inner.applyBatch(writes);
        case fault::unavailable:
            return makeError(error_kind::unavailable, "store", "injected fault");
        case fault::lost_call:
            break;
        case fault::lost_response:
            (void)m_inner.applyBatch(writes);
            break;
        case fault::late_call:
            m_late.emplace_back(writes.begin(), writes.end());
            break;
        }
        return makeError(error_kind::outcome_unknown, "store", "injected fault");
    }
    result<lease_id> grantLease(std::chrono::seconds ttl) override
    {
        return m_inner.grantLease(ttl);
    }
    result<void> keepAlive(lease_id lease) override
    {
        return m_inner.keepAlive(lease);
    }
    result<void> revokeLease(lease_id lease) override
    {
        return m_inner.revokeLease(lease);
    }

private:
    kv_store &m_inner;
    late_batches &m_late;
};

} // namespace ibishinge
