#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/fleet/types.h>
#include <ibishinge/fleet/worker_calls.h>

#include <string>
#include <utility>
#include <vector>

namespace ibishinge::fleet {

/// A key of the store and its value.
struct store_item
{
    std::string key;
    std::string value;
    std::int64_t revision = 0; ///< store revision of the last change; 0: no such item
    bool deleted = false; ///< in a change: the item was deleted
};

/// Part of the result of a range read or a watch.
struct store_page
{
    std::vector<store_item> items;
    std::int64_t revision = 0; ///< revision of the store
    bool more = false; ///< further items follow after the last key of this page
};

/// Key and the revision that it must have; 0: the key must not exist.
struct store_condition
{
    std::string key;
    std::int64_t revision = 0;
};

/// A value to write; `lease` 0: without a lease.
struct store_put
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

/// Changes that are applied atomically if all conditions hold.
struct store_transaction
{
    std::vector<store_condition> conditions;
    std::vector<store_put> puts;
    std::vector<std::string> deletes;
};

/// Maximum total number of conditions, puts and deletes in one transaction, set by the store's
/// protocol.
inline constexpr std::size_t maxTransactionEntries = 32;

/// Outcome of a transaction that the store answered.
struct transaction_reply
{
    bool applied = false;
    std::int64_t revision = 0; ///< store revision of the change, if applied
    std::vector<store_item> current; ///< current items of the conditions, if not applied
    bool leaseExpired = false; ///< not applied because a lease of a put has ended
};

/// A granted lease and its time to live.
struct store_lease
{
    std::int64_t id = 0;
    milliseconds ttl {0};
};

/// A worker that may run a step, and the proof of it that a start must carry.
struct ticket
{
    std::string worker;
    std::string proof;
};

/// Tickets for a step and the time for which they are valid.
struct ticket_reply
{
    std::vector<ticket> tickets;
    milliseconds validity {0};
};

/// Asynchronous interface of the platform: store, workers, advice service and hosts.
/// Implementations translate between these calls and the platform's protocols and contain no
/// decisions.
///
/// Functions return immediately; replies arrive on the thread of the event loop. Not thread-safe:
/// all calls must be made on that thread. Errors: `unavailable` if the call certainly had no
/// effect, `outcome_unknown` if it had an effect or may still have one, `over_limit` if a rate
/// limit is exceeded.
class platform_api : public worker_calls
{
public:
    /// Reads one item; its revision is 0 if the key does not exist.
    virtual void readItem(const std::string &key, reply<store_item> done) = 0;
    /// Reads a page of the items whose keys begin with `prefix`, from the first key after `after`.
    /// Errors: also `invalid_request` if the store no longer holds the history.
    virtual void readRange(const std::string &prefix, const std::string &after,
                           reply<store_page> done) = 0;
    /// Ends the reads of pages in progress, which may hold the link for seconds. Their replies do
    /// not arrive.
    virtual void cancelPageReads() = 0;
    /// Returns changes of keys that begin with `prefix` after `revision`; waits up to `wait` for
    /// the first one. Errors: also `conflict` if the history after `revision` is no longer
    /// available.
    virtual void watch(const std::string &prefix, std::int64_t revision, milliseconds wait,
                       reply<store_page> done) = 0;
    /// Applies a transaction.
    virtual void commit(const store_transaction &change, reply<transaction_reply> done) = 0;
    virtual void grantLease(milliseconds ttl, reply<store_lease> done) = 0;
    /// Errors: also `unknown_entity` if the lease has ended.
    virtual void renewLease(std::int64_t lease, reply<store_lease> done) = 0;
    /// Succeeds also if the lease has already ended.
    virtual void endLease(std::int64_t lease, reply<void> done) = 0;

    /// Asks which of `workers` may run a step of a job.
    virtual void requestTickets(const std::string &job, int occurrence, int step,
                                const std::vector<std::string> &workers,
                                reply<ticket_reply> done) = 0;

    /// Lists all hosts.
    virtual void listHosts(reply<std::vector<host_entry>> done) = 0;
    /// Orders the move of a host to another pool.
    virtual void moveHost(const std::string &host, const std::string &pool,
                          std::int64_t fencingToken, reply<host_order_outcome> done) = 0;
    /// Orders the maintenance of a host as part of a maintenance wave.
    virtual void maintainHost(const std::string &host, std::int64_t wave, std::int64_t fencingToken,
                              reply<host_order_outcome> done) = 0;

    /// Decodes a worker's entry in the registry, which other programs write; `nullopt` if the item
    /// describes no usable worker.
    [[nodiscard]] virtual std::optional<worker_entry>
    decodeWorker(const store_item &item) const = 0;
    [[nodiscard]] virtual result<configuration>
    decodeConfiguration(const store_item &item) const = 0;
    [[nodiscard]] virtual result<maintenance_wave> decodeWave(const store_item &item) const = 0;
    /// Returns the item that shows operators the progress of a wave.
    [[nodiscard]] virtual store_put encodeWaveStatus(std::int64_t wave, bool completed) const = 0;
    /// Returns the data centre that an evacuation request names, see `parseEvacuatedDataCentre`.
    [[nodiscard]] virtual result<std::string> decodeEvacuation(const store_item &item) const = 0;
    [[nodiscard]] virtual std::string configurationKey() const = 0;
    [[nodiscard]] virtual std::string workerPrefix() const = 0;
    [[nodiscard]] virtual std::string wavePrefix() const = 0;
    [[nodiscard]] virtual std::string evacuationPrefix() const = 0;
};

} // namespace ibishinge::fleet
