#pragma once

#include <ibishinge/base/periodic_task.h>
#include <ibishinge/outside/peer_client.h>
#include <ibishinge/state/configuration_cache.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <vector>

namespace ibishinge {

/// Exchanges state with every other member once a `pollInterval`, several at once, so that a member
/// that does not answer does not delay the others.
class peer_exchange
{
public:
    /// Precondition: the arguments outlive the object.
    peer_exchange(configuration_cache &configuration, peer_client &peers);

private:
    void exchangeShare(std::size_t worker);

    configuration_cache &m_configuration;
    peer_client &m_peers;
    std::vector<std::unique_ptr<periodic_task>> m_workers;
};

} // namespace ibishinge
