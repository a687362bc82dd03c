#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/base/time.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ibishinge {

/// Position in the store's history. 0 stands for "no such entry".
using store_revision = std::int64_t;

/// Identifies a lease of the store. 0 stands for "no lease".
using lease_id = std::int64_t;

/// A key with its value.
struct kv_entry
{
    std::string key;
    std::string value;
    store_revision createRevision = 0;
    store_revision modRevision = 0;
    lease_id lease = 0;
};

/// Result of a read, as of `revision`.
struct range_result
{
    std::vector<kv_entry> entries;
    store_revision revision = 0;
};

/// What a read covers and returns.
struct range_query
{
    std::string key; ///< a key, or the common prefix of keys
    bool prefix = false;
    bool keysOnly = false; ///< leave the values out, to poll revisions cheaply
    /// Only entries whose modRevision is at least this. Deleted entries are not told of.
    store_revision minModRevision = 0;
};

/// Requires another key to have a given revision, for example the ownership record of the writer.
struct write_guard
{
    std::string key;
    store_revision modRevision = 0;
};

/// One write, which is applied only if its conditions hold.
struct conditional_write
{
    std::string key;
    std::optional<store_revision> expectedRevision; ///< 0: must not exist; none: unconditional
    std::optional<write_guard> guard;
    std::optional<std::string> value; ///< none: delete the key
    lease_id lease = 0;
};

/// What became of one `conditional_write`.
struct write_outcome
{
    bool applied = false;
    store_revision modRevision = 0; ///< revision of the write, if applied
    std::optional<kv_entry> current; ///< the entry found, if not applied and it exists
};

/// Outcomes of a batch, in the order of its writes.
struct batch_result
{
    std::vector<write_outcome> outcomes;
    store_revision revision = 0;
};

/// Largest number of writes in one batch. etcd's default limit of operations per transaction.
inline constexpr std::size_t maxBatchWrites = 128;

/// Largest value of an entry, in bytes.
inline constexpr std::size_t maxValueBytes = 1U << 20U;

/// Largest sum of the sizes of a batch's keys and values, in bytes. etcd's default limit of a
/// request is 1.5 MiB; the rest is left for the encoding of the conditions.
inline constexpr std::size_t maxBatchBytes = (3U << 19U) - (64U << 10U);

/// Checks a batch against the bounds of the store. Errors: `too_large`. Thread-safe.
[[nodiscard]] result<void> checkBatchBounds(std::span<const conditional_write> writes);

/// The platform's key-value service.
///
/// Each member function is one call to the service. Implementations are thread-safe and block until
/// the service responds or the call times out. Errors: `unavailable` if the call certainly had no
/// effect, `outcome_unknown` if it may have taken effect, `too_large` if a bound is exceeded.
class kv_store
{
public:
    virtual ~kv_store() = default;

    [[nodiscard]] virtual result<range_result> range(const range_query &query) = 0;

    /// Decides each write of the batch independently of the others; all conditions are checked
    /// against the state before the batch.
    ///
    /// Precondition: at most `maxBatchWrites` writes and `maxBatchBytes` bytes, no key twice.
    /// Errors: also `unknown_entity` if a write names a lease that has expired; then no write of
    /// the batch was applied.
    [[nodiscard]] virtual result<batch_result>
    applyBatch(std::span<const conditional_write> writes) = 0;

    [[nodiscard]] virtual result<lease_id> grantLease(std::chrono::seconds ttl) = 0;

    /// Errors: also `unknown_entity` if the lease has expired.
    [[nodiscard]] virtual result<void> keepAlive(lease_id lease) = 0;

    /// Succeeds also if the lease has expired.
    [[nodiscard]] virtual result<void> revokeLease(lease_id lease) = 0;
};

} // namespace ibishinge
