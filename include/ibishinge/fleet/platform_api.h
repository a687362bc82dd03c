#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/fleet/types.h>
#include <ibishinge/fleet/worker_calls.h>

#include <string>
#include <utility>
#include <vector>

namespace ibishinge::fleet {

struct store_item
{
    std::string key;
    std::string value;
    std::int64_t revision = 0; ///< of the last change; 0: no such item
    bool deleted = false; ///< in a change: the item was removed
};

struct store_page
{
    std::vector<store_item> items;
    std::int64_t revision = 0; ///< of the store
    bool more = false; ///< another page begins after the last key
};

/// Key and the revision that it must have; 0: must not exist.
struct store_condition
{
    std::string key;
    std::int64_t revision = 0;
};

struct store_put
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

/// Changes that are applied together or not at all.
struct store_transaction
{
    std::vector<store_condition> conditions;
    std::vector<store_put> puts;
    std::vector<std::string> deletes;
};

/// Largest number of conditions, puts and deletes in one transaction. From the store's protocol.
inline constexpr std::size_t maxTransactionEntries = 32;

struct transaction_reply
{
    bool applied = false;
    std::int64_t revision = 0; ///< of the change, if applied
    std::vector<store_item> current; ///< items of the conditions, if not applied
    bool leaseExpired = false; ///< not applied, because a lease has ended
};

struct store_lease
{
    std::int64_t id = 0;
    milliseconds ttl {0};
};

/// A worker that may run a step, with the proof that a start needs.
struct ticket
{
    std::string worker;
    std::string proof;
};

struct ticket_reply
{
    std::vector<ticket> tickets;
    milliseconds validity {0};
};

/// The platform's services, asynchronous. Implementations translate and decide nothing.
///
/// Functions return at once; replies arrive on the thread of the loop. Not thread-safe: all calls
/// are made on that thread. Errors: `unavailable` if the call certainly had no effect,
/// `outcome_unknown` if it may have taken effect or still can, `over_limit` if a rate is exceeded.
class platform_api : public worker_calls
{
public:
    virtual void readItem(const std::string &key, reply<store_item> done) = 0;
    /// Errors: also `invalid_request` if the store no longer holds the history.
    virtual void readRange(const std::string &prefix, const std::string &after,
                           reply<store_page> done) = 0;
    /// Errors: also `conflict` if the history after `revision` is gone.
    virtual void watch(const std::string &prefix, std::int64_t revision, milliseconds wait,
                       reply<store_page> done) = 0;
    virtual void commit(const store_transaction &change, reply<transaction_reply> done) = 0;
    virtual void grantLease(milliseconds ttl, reply<store_lease> done) = 0;
    /// Errors: also `unknown_entity` if the lease has ended.
    virtual void renewLease(std::int64_t lease, reply<store_lease> done) = 0;
    /// Succeeds also if the lease has ended.
    virtual void endLease(std::int64_t lease, reply<void> done) = 0;

    virtual void requestTickets(const std::string &job, int occurrence, int step,
                                const std::vector<std::string> &workers,
                                reply<ticket_reply> done) = 0;

    virtual void listHosts(reply<std::vector<host_entry>> done) = 0;
    virtual void moveHost(const std::string &host, const std::string &pool,
                          std::int64_t fencingToken, reply<host_order_outcome> done) = 0;
    virtual void maintainHost(const std::string &host, std::int64_t wave, std::int64_t fencingToken,
                              reply<host_order_outcome> done) = 0;

    /// Decodes what other writers leave in the store; nothing if it names no worker to use.
    [[nodiscard]] virtual std::optional<worker_entry>
    decodeWorker(const store_item &item) const = 0;
    [[nodiscard]] virtual result<configuration>
    decodeConfiguration(const store_item &item) const = 0;
    [[nodiscard]] virtual result<maintenance_wave> decodeWave(const store_item &item) const = 0;
    /// Returns the item by which operators see the progress of a wave.
    [[nodiscard]] virtual store_put encodeWaveStatus(std::int64_t wave, bool completed) const = 0;
    [[nodiscard]] virtual std::string configurationKey() const = 0;
    [[nodiscard]] virtual std::string workerPrefix() const = 0;
    [[nodiscard]] virtual std::string wavePrefix() const = 0;
};

} // namespace ibishinge::fleet
