#include <ibishinge/base/settings.h>
#include <ibishinge/decision/routing.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <queue>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

// Compares ways to choose a target, in virtual time: entry processes that do not see each other's
// requests send to targets with a fixed number of slots.

namespace {

constexpr int entryCount = 8;
constexpr int targetCount = 10;
constexpr int slotCount = 8;
constexpr auto oneWay = std::chrono::microseconds(1500); ///< between two data centres
constexpr double meanRunMilliseconds = 50;

enum class policy : std::uint8_t { random, round_robin, least_in_flight, chosen };

struct simulated_request
{
    int entry = 0;
    int target = 0;
    monotonic_time arrived;
    std::chrono::nanoseconds run {0};
    monotonic_time started;
    attempt_number attempt = 0;
};

enum class event_kind : std::uint8_t { arrival, at_target, run_ended, at_entry, tick };

struct event
{
    monotonic_time at;
    std::uint64_t order = 0; ///< makes the order of simultaneous events reproducible
    event_kind kind = event_kind::arrival;
    int entry = 0;
    std::size_t request = 0;
    int load = 0;

    friend bool operator>(const event &a, const event &b)
    {
        return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
};

struct simulated_target
{
    int running = 0;
    std::deque<std::size_t> waiting;
};

struct simulated_entry
{
    target_table table;
    std::array<int, targetCount> inFlight {};
    int next = 0;
    std::deque<std::size_t> waiting;
};

struct figures
{
    std::uint64_t requests = 0;
    std::uint64_t aboveSlots = 0; ///< arrived at a target without a free slot while another had one
    std::vector<double>
        delays; ///< milliseconds from arrival to the start of the run, without the way
};

class simulation
{
public:
    simulation(policy way, double load, bool skewed, std::uint64_t seed, std::size_t requests,
               const routing_options &options)
        : m_policy(way)
        , m_engine(seed)
        , m_wanted(requests)
    {
        const double total = load * targetCount * slotCount / meanRunMilliseconds;
        for (int i = 0; i < entryCount; ++i) {
            const double skewedShare = i == 0 ? 0.5 : 0.5 / (entryCount - 1);
            m_gaps[static_cast<std::size_t>(i)] = std::exponential_distribution<double>(
                total * (skewed ? skewedShare : 1.0 / entryCount));
        }
        host_list_snapshot list;
        list.version = 1;
        for (int i = 0; i < targetCount; ++i) {
            const endpoint where {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
            list.hosts.push_back({std::to_string(i),
                                  where.address,
                                  "dc1",
                                  "rack1",
                                  {{"search", where, slotCount, 64}},
                                  listed_host_state::live});
        }
        for (int i = 0; i < entryCount; ++i) {
            m_entries[static_cast<std::size_t>(i)].table.options = options;
            updateTargets(m_entries[static_cast<std::size_t>(i)].table, list, m_now);
            m_entries[static_cast<std::size_t>(i)].next = i;
            scheduleArrival(i);
        }
        schedule(100ms, event_kind::tick, 0, 0, 0);
    }

    figures run()
    {
        while (m_started < m_wanted) {
            const event e = m_events.top();
            m_events.pop();
            m_now = e.at;
            handle(e);
        }
        m_figures.requests = m_started;
        return std::move(m_figures);
    }

private:
    void handle(const event &e)
    {
        switch (e.kind) {
        case event_kind::arrival:
            arrive(e.entry);
            break;
        case event_kind::at_target:
            reachTarget(e.request);
            break;
        case event_kind::run_ended:
            endRun(e.request);
            break;
        case event_kind::at_entry:
            reachEntry(e);
            break;
        case event_kind::tick:
            for (auto &entry : m_entries) {
                updateTargetHealth(entry.table, m_now, 100ms);
            }
            schedule(100ms, event_kind::tick, 0, 0, 0);
            break;
        }
    }

    void schedule(std::chrono::nanoseconds in, event_kind kind, int entry, std::size_t request,
                  int load)
    {
        m_events.push({m_now + in, m_order++, kind, entry, request, load});
    }

    void scheduleArrival(int entry)
    {
        schedule(fromMilliseconds(m_gaps[static_cast<std::size_t>(entry)](m_engine)),
                 event_kind::arrival, entry, 0, 0);
    }

    static std::chrono::nanoseconds fromMilliseconds(double value)
    {
        return std::chrono::nanoseconds(static_cast<std::int64_t>(value * 1e6));
    }

    void arrive(int entry)
    {
        simulated_request request;
        request.entry = entry;
        request.arrived = m_now;
        request.run = fromMilliseconds(m_run(m_engine));
        m_requests.push_back(request);
        m_entries[static_cast<std::size_t>(entry)].waiting.push_back(m_requests.size() - 1);
        dispatch(entry);
        scheduleArrival(entry);
    }

    void dispatch(int number)
    {
        auto &entry = m_entries[static_cast<std::size_t>(number)];
        while (!entry.waiting.empty()) {
            simulated_request &request = m_requests[entry.waiting.front()];
            request.target = choose(entry, request);
            if (request.target < 0) {
                return;
            }
            ++entry.inFlight[static_cast<std::size_t>(request.target)];
            schedule(oneWay, event_kind::at_target, number, entry.waiting.front(), 0);
            entry.waiting.pop_front();
        }
    }

    int choose(simulated_entry &entry, simulated_request &request)
    {
        if (m_policy == policy::chosen) {
            const auto slot = selectTarget(entry.table, {"search", "dc1", 60s, true, std::nullopt},
                                           m_now, m_engine);
            request.attempt = slot ? slot->attempt : 0;
            return slot ? slot->where.port - 1 : -1;
        }
        std::vector<int> candidates;
        for (int i = 0; i < targetCount; ++i) {
            // Round robin looks at the targets in turn, the others in random order.
            const int index = m_policy == policy::round_robin ? (entry.next + i) % targetCount : i;
            if (entry.inFlight[static_cast<std::size_t>(index)] < slotCount) {
                candidates.push_back(index);
            }
        }
        if (candidates.empty()) {
            return -1;
        }
        if (m_policy == policy::round_robin) {
            entry.next = (candidates.front() + 1) % targetCount;
            return candidates.front();
        }
        std::shuffle(candidates.begin(), candidates.end(), m_engine);
        if (m_policy == policy::random) {
            return candidates.front();
        }
        return *std::min_element(candidates.begin(), candidates.end(), [&entry](int a, int b) {
            return entry.inFlight[static_cast<std::size_t>(a)]
                   < entry.inFlight[static_cast<std::size_t>(b)];
        });
    }

    void reachTarget(std::size_t number)
    {
        auto &target = m_targets[static_cast<std::size_t>(m_requests[number].target)];
        const bool full = target.running == slotCount;
        const bool anotherIdles =
            std::any_of(m_targets.begin(), m_targets.end(),
                        [](const simulated_target &t) { return t.running < slotCount; });
        m_figures.aboveSlots += full && anotherIdles ? 1 : 0;
        target.waiting.push_back(number);
        startRuns(target);
    }

    void startRuns(simulated_target &target)
    {
        while (target.running < slotCount && !target.waiting.empty()) {
            const std::size_t number = target.waiting.front();
            target.waiting.pop_front();
            ++target.running;
            ++m_started;
            const simulated_request &request = m_requests[number];
            m_figures.delays.push_back(
                std::chrono::duration<double, std::milli>(m_now - request.arrived - oneWay)
                    .count());
            schedule(request.run, event_kind::run_ended, request.entry, number, 0);
        }
    }

    void endRun(std::size_t number)
    {
        const simulated_request &request = m_requests[number];
        auto &target = m_targets[static_cast<std::size_t>(request.target)];
        --target.running;
        const int load = target.running + static_cast<int>(target.waiting.size());
        schedule(oneWay, event_kind::at_entry, request.entry, number, load);
        startRuns(target);
    }

    void reachEntry(const event &e)
    {
        auto &entry = m_entries[static_cast<std::size_t>(e.entry)];
        const simulated_request &request = m_requests[e.request];
        --entry.inFlight[static_cast<std::size_t>(request.target)];
        if (m_policy == policy::chosen) {
            completeAttempt(entry.table, request.attempt,
                            {attempt_outcome::complete, e.load, false}, m_now);
        }
        dispatch(e.entry);
    }

    policy m_policy;
    random_engine m_engine;
    std::size_t m_wanted;
    /// Milliseconds between arrivals at each entry process.
    std::array<std::exponential_distribution<double>, entryCount> m_gaps;
    std::exponential_distribution<double> m_run {1 / meanRunMilliseconds};
    monotonic_time m_now = monotonic_time {} + 1h;
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<simulated_request> m_requests;
    std::array<simulated_target, targetCount> m_targets;
    std::array<simulated_entry, entryCount> m_entries;
    std::size_t m_started = 0;
    figures m_figures;
};

double percentile(std::vector<double> &values, double share)
{
    const auto index = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

struct variant
{
    std::string name;
    policy way;
    routing_options options;
};

std::vector<variant> variants()
{
    std::vector<variant> all {{"random", policy::random, {}},
                              {"round robin", policy::round_robin, {}},
                              {"least in flight", policy::least_in_flight, {}},
                              {"default options", policy::chosen, {}}};
    struct hint
    {
        double weight;
        int halfLife;
    };
    for (const int candidates : {2, 3, 10}) {
        for (const hint h :
             {hint {0, 1000}, hint {0.25, 200}, hint {0.25, 1000}, hint {1, 200}, hint {1, 1000}}) {
            routing_options options;
            options.candidates = candidates;
            options.othersWeight = h.weight;
            options.loadHalfLife = milliseconds(h.halfLife);
            std::array<char, 80> name {};
            std::snprintf(name.data(), name.size(), "best of %d, others x %.2f, %d ms", candidates,
                          h.weight, h.halfLife);
            all.push_back({name.data(), policy::chosen, options});
        }
    }
    return all;
}

} // namespace

int main(int argc, char **argv)
{
    const settings values = readSettingsOrExit(
        argc, argv, "Compares ways to choose a target, in virtual time.",
        {{"requests", setting_type::integer, "100000", "Requests of each run", 1000, 10000000,
          false},
         {"seeds", setting_type::integer, "3", "Runs, with the seeds 1, 2, ...", 1, 1000, false}});
    std::printf("| way | arrivals | load | above slots while another idles | delay p50 | p99 |\n");
    std::printf("| --- | --- | --- | --- | --- | --- |\n");
    for (const bool skewed : {false, true}) {
        for (const double load : {0.5, 0.8, 0.95}) {
            for (const auto &v : variants()) {
                figures sum;
                for (std::int64_t seed = 1; seed <= values.integer("seeds"); ++seed) {
                    simulation run(v.way, load, skewed, static_cast<std::uint64_t>(seed),
                                   static_cast<std::size_t>(values.integer("requests")), v.options);
                    const figures f = run.run();
                    sum.requests += f.requests;
                    sum.aboveSlots += f.aboveSlots;
                    sum.delays.insert(sum.delays.end(), f.delays.begin(), f.delays.end());
                }
                std::printf("| %s | %s | %.0f%% | %.2f%% | %.1f ms | %.1f ms |\n", v.name.c_str(),
                            skewed ? "skewed" : "even", load * 100,
                            100 * static_cast<double>(sum.aboveSlots)
                                / static_cast<double>(sum.requests),
                            percentile(sum.delays, 0.5), percentile(sum.delays, 0.99));
            }
        }
    }
    return 0;
}
