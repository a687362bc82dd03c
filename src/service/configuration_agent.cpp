#include <ibishinge/service/configuration_agent.h>

#include <ibishinge/base/logging.h>

#include <chrono>
#include <future>
#include <vector>

namespace ibishinge {

result<void> runStoreRound(membership &members, configuration_cache &cache)
{
    if (auto renewed = members.renew(); !renewed) {
        return renewed;
    }
    cache.noteListed(members.others());
    return cache.poll();
}

void runMemberRound(configuration_cache &cache, peer_client &peers)
{
    std::vector<std::future<void>> exchanges;
    for (const auto &member : cache.membersOfRound()) {
        exchanges.push_back(std::async(std::launch::async, [&cache, &peers, member] {
            // A failure shows in the freshness verdict.
            static_cast<void>(cache.exchangeWith(member, peers));
        }));
    }
    for (auto &exchange : exchanges) {
        exchange.wait();
    }
}

std::unique_ptr<configuration_agent>
configuration_agent::start(membership &members, configuration_cache &cache, peer_client &peers)
{
    return std::unique_ptr<configuration_agent>(new configuration_agent(members, cache, peers));
}

configuration_agent::configuration_agent(membership &members, configuration_cache &cache,
                                         peer_client &peers)
{
    m_storeRounds = std::thread([this, &members, &cache] {
        bool wasReached = true;
        repeat([&] {
            const auto done = runStoreRound(members, cache);
            if (done.has_value() != wasReached) {
                wasReached = done.has_value();
                logEvent(wasReached ? log_level::info : log_level::warning,
                         wasReached ? "store_reached" : "store_not_reached",
                         {{"reason", wasReached ? "" : describe(done.error())}});
            }
        });
    });
    m_memberRounds = std::thread([this, &cache, &peers] {
        auto state = freshness_state::usable;
        repeat([&] {
            runMemberRound(cache, peers);
            const auto verdict = cache.view().freshness;
            if (verdict.state != state) {
                state = verdict.state;
                logEvent(state == freshness_state::usable ? log_level::info : log_level::warning,
                         "configuration_freshness",
                         {{"state", nameOf(state)}, {"reason", verdict.reason}});
            }
        });
    });
}

configuration_agent::~configuration_agent()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_storeRounds.join();
    m_memberRounds.join();
}

template <class Round>
void configuration_agent::repeat(Round round)
{
    auto next = std::chrono::steady_clock::now();
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        round();
        lock.lock();
        // A round that took too long is not made up for by several in a row.
        next = std::max(next + pollInterval, std::chrono::steady_clock::now());
        m_wake.wait_until(lock, next, [this] { return m_stopping; });
    }
}

} // namespace ibishinge
