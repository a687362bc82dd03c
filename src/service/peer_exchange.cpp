#include <ibishinge/service/peer_exchange.h>

namespace ibishinge {

namespace {

/// With 60 members and two of them silent, a worker spends at most one timeout on its share.
constexpr std::size_t workerCount = 8;

} // namespace

peer_exchange::peer_exchange(configuration_cache &configuration, peer_client &peers)
    : m_configuration(configuration)
    , m_peers(peers)
{
    for (std::size_t worker = 0; worker < workerCount; ++worker) {
        m_workers.push_back(std::make_unique<periodic_task>(
            pollInterval, [this, worker] { exchangeShare(worker); }));
    }
}

void peer_exchange::exchangeShare(std::size_t worker)
{
    const auto members = m_configuration.members();
    for (std::size_t i = worker; i < members.size(); i += workerCount) {
        // The outcome is recorded by the configuration cache.
        static_cast<void>(m_configuration.exchangeWith(members[i], m_peers));
    }
}

} // namespace ibishinge
