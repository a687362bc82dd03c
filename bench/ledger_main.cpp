#include <ibishinge/state/commit_queue.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

using std::chrono::microseconds;

constexpr std::size_t memberCount = 8;
constexpr microseconds callTime = 2ms;
constexpr microseconds timeForOneCall = 2500us; ///< 400 write calls a second
constexpr microseconds runTime = 50ms; ///< of a request at its target
constexpr microseconds measuredFrom = 2s;
constexpr microseconds measuredTo = 22s;
constexpr microseconds lastArrivals = 1s; ///< arrivals so close to the end are not measured

/// Events in virtual time.
class simulation
{
public:
    void at(microseconds time, std::function<void()> action)
    {
        m_events.push({time, m_order++, std::move(action)});
    }
    void run(microseconds end)
    {
        while (!m_events.empty() && m_events.top().time < end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.time;
            next.action();
        }
    }
    [[nodiscard]] microseconds now() const noexcept
    {
        return m_now;
    }

private:
    struct event
    {
        microseconds time;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event &other) const noexcept
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    microseconds m_now {0};
};

/// Serves calls in order, at a bounded rate, each with a constant delay.
class store_model
{
public:
    explicit store_model(simulation &world)
        : m_world(world)
    {
    }
    void call(std::function<void()> done)
    {
        const auto start = std::max(m_world.now(), m_freeAt);
        m_freeAt = start + timeForOneCall;
        if (m_world.now() >= measuredFrom && m_world.now() < measuredTo) {
            ++m_calls;
        }
        m_world.at(start + callTime, std::move(done));
    }
    [[nodiscard]] std::int64_t calls() const noexcept
    {
        return m_calls;
    }
    /// Time until a call sent now is served.
    [[nodiscard]] microseconds backlog() const
    {
        return std::max(microseconds(0), m_freeAt - m_world.now());
    }

private:
    simulation &m_world;
    microseconds m_freeAt {0};
    std::int64_t m_calls = 0;
};

/// One entry process with group commit.
class committing_member
{
public:
    committing_member(simulation &world, store_model &store, const commit_options &options)
        : m_world(world)
        , m_store(store)
        , m_queue(options)
    {
        m_queue.setMembers(memberCount);
    }
    /// Returns false if the queue is full.
    bool write(const std::string &key, std::function<void()> done)
    {
        const auto number = m_queue.add({key, 0, {}, "", 0}, time());
        if (!number) {
            return false;
        }
        m_waiting.emplace(*number, std::move(done));
        pump();
        return true;
    }

private:
    [[nodiscard]] monotonic_time time() const
    {
        return monotonic_time {} + m_world.now();
    }
    void pump()
    {
        while (auto batch = m_queue.take(time())) {
            m_store.call([this, sent = std::move(*batch)] {
                batch_result answer;
                answer.outcomes.resize(sent.writes.size(), write_outcome {true, 1, {}});
                for (const auto &decided : m_queue.complete(sent, answer, time())) {
                    auto waiting = m_waiting.extract(decided.first);
                    waiting.mapped()();
                }
                pump();
            });
        }
        const auto due = m_queue.nextSend();
        if (due && (!m_wakeAt || *due < *m_wakeAt)) {
            m_wakeAt = *due;
            m_world.at(std::chrono::ceil<microseconds>(*due - monotonic_time {}), [this] {
                m_wakeAt.reset();
                pump();
            });
        }
    }

    simulation &m_world;
    store_model &m_store;
    commit_queue m_queue;
    std::map<commit_queue::ticket, std::function<void()>> m_waiting;
    std::optional<monotonic_time> m_wakeAt;
};

struct measurement
{
    double callsPerSecond = 0;
    double p50 = 0; ///< added latency in ms
    double p99 = 0;
    double completed = 0; ///< part of the measured requests that were finished within the run
    double backlog = 0; ///< of the store at the end, in ms
};

double quantile(const std::vector<double> &sorted, double part)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(part * double(sorted.size() - 1))];
}

std::string inMs(double value)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

/// `interval`: of group commit; none: one call for each write.
measurement measure(int requestsPerSecond, std::optional<microseconds> interval)
{
    simulation world;
    store_model store(world);
    std::vector<std::unique_ptr<committing_member>> members;
    if (interval) {
        commit_options options;
        options.minInterval = *interval;
        // The table compares intervals, so the rate must not lengthen them.
        options.callsPerSecond = 1'000'000;
        for (std::size_t i = 0; i < memberCount; ++i) {
            members.push_back(std::make_unique<committing_member>(world, store, options));
        }
    }
    measurement found;
    std::vector<double> added;
    std::uint64_t count = 0;
    std::size_t arrivals = 0; ///< of which the response is measured
    std::mt19937_64 random(20261204);
    std::exponential_distribution<double> gap(requestsPerSecond / 1e6);
    const auto write = [&](std::size_t member, const std::string &key, std::function<void()> done) {
        if (!interval) {
            store.call(std::move(done));
        } else {
            // A refused request never completes, and is counted so.
            std::ignore = members[member]->write(key, std::move(done));
        }
    };
    std::function<void()> arrive = [&] {
        const std::string key = std::to_string(count++);
        const std::size_t member = random() % memberCount;
        const auto arrived = world.now();
        const bool measured = arrived >= measuredFrom && arrived < measuredTo - lastArrivals;
        arrivals += measured ? 1 : 0;
        write(member, key, [&, key, member, arrived, measured] {
            world.at(world.now() + runTime, [&, key, member, arrived, measured] {
                write(member, key, [&, arrived, measured] {
                    if (measured) {
                        added.push_back(double((world.now() - arrived - runTime).count()) / 1e3);
                    }
                });
            });
        });
        world.at(world.now() + microseconds(std::llround(gap(random))), arrive);
    };
    world.at(0us, arrive);
    world.run(measuredTo);
    std::sort(added.begin(), added.end());
    found.callsPerSecond =
        double(store.calls()) / std::chrono::duration<double>(measuredTo - measuredFrom).count();
    found.completed = double(added.size()) / double(std::max<std::size_t>(arrivals, 1));
    found.p50 = quantile(added, 0.5);
    found.p99 = quantile(added, 0.99);
    found.backlog = double(store.backlog().count()) / 1e3;
    return found;
}

} // namespace

/// Prints a table of store calls and added latency (claim and finish together) of the request
/// ledger, in virtual time.
int main()
{
    std::printf("| requests/s | writes sent by | calls/s | added p50 ms | added p99 ms | finished "
                "| store backlog ms |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const int rate : {100, 500, 2000, 5000}) {
        for (const int interval : {0, 5, 10, 25, 50}) {
            const auto found = measure(
                rate, interval == 0 ? std::nullopt : std::optional<microseconds>(interval * 1ms));
            const std::string name =
                interval == 0 ? "one call each" : "group, " + std::to_string(interval) + " ms";
            const std::string latency =
                found.completed == 0 ? "- | -" : inMs(found.p50) + " | " + inMs(found.p99);
            std::printf("| %d | %s | %.0f | %s | %.1f%% | %.0f |\n", rate, name.c_str(),
                        found.callsPerSecond, latency.c_str(), 100 * found.completed,
                        found.backlog);
        }
    }
    return 0;
}
