#pragma once

#include "standins/memory_kv_store.h"
#include "tests/support/manual_clock.h"

#include <ibishinge/state/configuration_cache.h>
#include <ibishinge/state/keys_record.h>
#include <ibishinge/state/membership.h>

#include <array>
#include <cerrno>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ibishinge {

/// One process's way to the store, which can be cut or made to answer with an old state.
class faulty_kv_store final : public kv_store
{
public:
    explicit faulty_kv_store(kv_store &store)
        : m_store(store)
    {
    }

    bool isCut = false;
    bool isStale = false; ///< reads repeat what they returned before

    result<range_result> range(const range_query &query) override
    {
        if (isCut) {
            return makeError(error_kind::unavailable, "store", "cut");
        }
        const std::string id = query.key + (query.prefix ? "*" : "") + (query.keysOnly ? "k" : "");
        const auto earlier = m_earlier.find(id);
        if (isStale && earlier != m_earlier.end()) {
            return earlier->second;
        }
        auto found = m_store.range(query);
        if (found) {
            m_earlier[id] = *found;
        }
        return found;
    }
    result<batch_result> applyBatch(std::span<const conditional_write> writes) override
    {
        return isCut ? result<batch_result>(makeError(error_kind::unavailable, "store", "cut"))
                     : m_store.applyBatch(writes);
    }
    result<lease_id> grantLease(std::chrono::seconds ttl) override
    {
        return isCut ? result<lease_id>(makeError(error_kind::unavailable, "store", "cut"))
                     : m_store.grantLease(ttl);
    }
    result<void> keepAlive(lease_id lease) override
    {
        return isCut ? result<void>(makeError(error_kind::unavailable, "store", "cut"))
                     : m_store.keepAlive(lease);
    }
    result<void> revokeLease(lease_id lease) override
    {
        return isCut ? result<void>(makeError(error_kind::unavailable, "store", "cut"))
                     : m_store.revokeLease(lease);
    }

private:
    kv_store &m_store;
    std::map<std::string, range_result> m_earlier;
};

/// Several processes on one store in virtual time, with cuts between any two of them. Each runs
/// the same round as the daemon: renew, list, poll, exchange with the members of the round.
class member_simulation
{
public:
    struct process
    {
        member_info self;
        std::unique_ptr<faulty_kv_store> store;
        std::unique_ptr<membership> members;
        std::unique_ptr<configuration_cache> cache;
        bool isRunning = true; ///< false: nothing listens at its address
        bool isFrozen = false; ///< accepts connections, but does nothing
    };

    static constexpr milliseconds tick {250};

    member_simulation(std::size_t count, freshness_policy policy)
        : m_policy(policy)
        , m_processes(count)
        , m_cuts(count, std::vector<bool>(count, false))
    {
        for (std::size_t i = 0; i < count; ++i) {
            start(i);
        }
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_processes.size();
    }
    [[nodiscard]] process &at(std::size_t index)
    {
        return m_processes[index];
    }
    [[nodiscard]] manual_clock &clock()
    {
        return m_clock;
    }
    [[nodiscard]] memory_kv_store &store()
    {
        return m_store;
    }

    /// Starts a new process at the address of `index`, in place of the one there.
    void start(std::size_t index)
    {
        auto &p = m_processes[index];
        const bool wasCut = p.store && p.store->isCut;
        p = {};
        p.self = {"p" + std::to_string(index) + "-" + std::to_string(++m_started),
                  {"127.0.0.1", static_cast<std::uint16_t>(index + 1)},
                  "host" + std::to_string(index),
                  "dc1",
                  member_role::entry};
        p.store = std::make_unique<faulty_kv_store>(m_store);
        p.store->isCut = wasCut;
        p.members = membership::create(*p.store, p.self);
        p.cache = configuration_cache::create(*p.store, m_clock, {p.self, m_policy, {}, {}});
    }

    void cut(std::size_t a, std::size_t b, bool isCut)
    {
        m_cuts[a][b] = isCut;
        m_cuts[b][a] = isCut;
    }

    void heal()
    {
        for (std::size_t i = 0; i < size(); ++i) {
            m_processes[i].store->isCut = false;
            m_processes[i].store->isStale = false;
            m_processes[i].isFrozen = false;
            for (std::size_t j = 0; j < size(); ++j) {
                cut(i, j, false);
            }
            if (!m_processes[i].isRunning) {
                start(i);
            }
        }
    }

    [[nodiscard]] bool canAct(std::size_t index) const
    {
        return m_processes[index].isRunning && !m_processes[index].isFrozen;
    }

    /// Advances the time by one tick; each process has its round every `pollInterval`.
    void step()
    {
        m_clock.advance(tick);
        ++m_ticks;
        constexpr std::size_t ticksPerRound = static_cast<std::size_t>(pollInterval / tick);
        for (std::size_t i = 0; i < size(); ++i) {
            if (canAct(i) && (m_ticks + i) % ticksPerRound == 0) {
                round(i);
            }
        }
    }

    void run(milliseconds time)
    {
        for (milliseconds passed {0}; passed < time; passed += tick) {
            step();
        }
    }

    /// Pushes the configuration of `index` to every member it can reach.
    void pushFrom(std::size_t index)
    {
        network peers(*this, index);
        const auto documents = m_processes[index].cache->fetchConfiguration();
        for (const auto &member : m_processes[index].cache->members()) {
            static_cast<void>(peers.push(member.address, documents, exchangeTimeout));
        }
    }

private:
    class network final : public peer_client
    {
    public:
        network(member_simulation &simulation, std::size_t from)
            : m_simulation(simulation)
            , m_from(from)
        {
        }
        result<exchange_message> exchange(const endpoint &to, const exchange_message &message,
                                          milliseconds) override
        {
            const auto handler = reach(to);
            return handler ? result<exchange_message>((*handler)->exchange(message))
                           : tl::unexpected(handler.error());
        }
        result<configuration_documents> fetchConfiguration(const endpoint &to,
                                                           milliseconds) override
        {
            const auto handler = reach(to);
            return handler ? result<configuration_documents>((*handler)->fetchConfiguration())
                           : tl::unexpected(handler.error());
        }
        result<configuration_revisions>
        push(const endpoint &to, const configuration_documents &documents, milliseconds) override
        {
            const auto handler = reach(to);
            return handler ? result<configuration_revisions>((*handler)->push(documents))
                           : tl::unexpected(handler.error());
        }

    private:
        [[nodiscard]] result<peer_handler *> reach(const endpoint &to)
        {
            const std::size_t index = to.port - 1U;
            auto &target = m_simulation.m_processes[index];
            if (m_simulation.m_cuts[m_from][index]) {
                return makeError(error_kind::unavailable, toString(to), "connection timed out");
            }
            if (!target.isRunning) {
                return tl::unexpected(
                    error {error_kind::unavailable, toString(to), "refused", {}, ECONNREFUSED});
            }
            if (target.isFrozen) {
                return makeError(error_kind::target_timeout, toString(to), "no answer");
            }
            return target.cache.get();
        }

        member_simulation &m_simulation;
        std::size_t m_from;
    };

    void round(std::size_t index)
    {
        auto &p = m_processes[index];
        if (p.members->renew()) {
            p.cache->noteListed(p.members->others());
            static_cast<void>(p.cache->poll());
        }
        network peers(*this, index);
        for (const auto &member : p.cache->membersOfRound()) {
            static_cast<void>(p.cache->exchangeWith(member, peers));
        }
    }

    freshness_policy m_policy;
    manual_clock m_clock;
    memory_kv_store m_store {m_clock};
    std::vector<process> m_processes;
    std::vector<std::vector<bool>> m_cuts;
    std::size_t m_ticks = 0;
    std::size_t m_started = 0;
};

} // namespace ibishinge
