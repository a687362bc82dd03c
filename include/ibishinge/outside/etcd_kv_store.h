#pragma once

#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/error.h>
#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/kv_store.h>

#include <chrono>
#include <memory>
#include <vector>

namespace ibishinge {

struct etcd_kv_store_options
{
    std::vector<endpoint> endpoints; ///< tried in this order, from the last one that responded
    std::chrono::milliseconds attemptTimeout {1000}; ///< bound on one attempt at one endpoint
    std::chrono::milliseconds callTimeout {2500}; ///< bound on a call over all its attempts
    std::chrono::milliseconds defaultRetryAfter {1000}; ///< if a 429 response names no time
};

/// The store through etcd v3's JSON mapping. Thread-safe; calls block for at most `callTimeout`.
///
/// A call moves to the next endpoint only after a failure that certainly had no effect: for a write
/// a refused connection or a member without a leader, for a read any failure. A rejection for the
/// call rate (429) is returned at once, since the rate is that of the whole service. A read fails
/// with `unavailable` if its revision is lower than the highest one that this adapter had seen when
/// the read began (a stale replica).
///
/// Errors: those of `kv_store`; `invalid_request` or `unauthorized` if the service refuses the
/// call for that reason. Those two are without effect.
///
/// Precondition: at least one endpoint; `client` outlives the returned object and its bound on
/// responses covers the largest range that is read.
///
/// \code
/// const auto client = http_client::create({});
/// const auto store = makeEtcdKvStore({{{"127.0.0.1", 2379}}}, *client);
/// const auto config = store->range({"config/", true});
/// \endcode
[[nodiscard]] std::unique_ptr<kv_store> makeEtcdKvStore(etcd_kv_store_options options,
                                                        http_client &client);

} // namespace ibishinge
