#pragma once

#include <ibishinge/outside/peer_client.h>
#include <ibishinge/state/configuration_cache.h>
#include <ibishinge/state/membership.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace ibishinge {

/// Keeps the membership and the configuration current: one round with the store and one with the
/// members every `pollInterval`, on two threads, so that a slow store does not delay exchanges.
class configuration_agent
{
public:
    /// Starts the rounds. Precondition: the arguments outlive the agent.
    [[nodiscard]] static std::unique_ptr<configuration_agent>
    start(membership &members, configuration_cache &cache, peer_client &peers);

    /// Stops and waits for the rounds in progress.
    ~configuration_agent();
    configuration_agent(const configuration_agent &) = delete;
    configuration_agent &operator=(const configuration_agent &) = delete;

private:
    configuration_agent(membership &members, configuration_cache &cache, peer_client &peers);

    /// Calls `round` every `pollInterval` until the agent stops.
    template <class Round>
    void repeat(Round round);

    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::thread m_storeRounds;
    std::thread m_memberRounds;
};

/// One round with the store: renews the membership, lists the members, polls the configuration.
///
/// The configuration is polled only after the members were listed, because the proof that it is
/// current must not be newer than the list of those who may change it.
/// Errors: those of `membership::renew` and `configuration_cache::poll`. Thread-safe.
[[nodiscard]] result<void> runStoreRound(membership &members, configuration_cache &cache);

/// One round with the members whose turn it is, at once. Takes at most twice `exchangeTimeout`.
/// Thread-safe.
void runMemberRound(configuration_cache &cache, peer_client &peers);

} // namespace ibishinge
