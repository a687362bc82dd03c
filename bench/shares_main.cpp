// Compares admission policies in virtual time with fixed seeds; prints Markdown tables.
// Usage: bench-shares [share|moves]

#include <ibishinge/decision/admission.h>
#include <ibishinge/state/allowance_manager.h>

#include "../standins/memory_kv_store.h"
#include "../tests/support/exact_shares.h"
#include "../tests/support/manual_clock.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t teams = 6;
constexpr std::size_t services = 5;
constexpr int slotsOfService = 80; // 10 targets with 8 slots
constexpr double meanRunMs = 100;
constexpr milliseconds tick = 5ms;
constexpr int window = 200; // ticks: 1 s
constexpr int windowStep = 50;
constexpr std::size_t warmUp = 10; // seconds before shares and waits are measured
constexpr std::array<double, teams> weights {8, 6, 2, 2, 1, 1};
// 1.5 times the share of 400 slots.
constexpr std::array<int, teams> limits {240, 180, 60, 60, 30, 30};
// The large teams ask for more than their part, two small ones for less.
constexpr std::array<double, teams> demand {0.42, 0.30, 0.06, 0.12, 0.03, 0.07};

struct profile
{
    std::string name;
    std::size_t entries = 8;
    milliseconds roundTrip {0}; ///< between data centres
};

enum class scheme : std::uint8_t { table, naive_fifo };

struct variant
{
    std::string name;
    scheme kind = scheme::table;
    bool splitLimits = false; ///< each process has a fixed part of each limit
    admission_settings admission;
    allowance_settings allowance;
};

/// Offered load as a multiple of the capacity, by service and time.
using load_function = std::function<double(std::size_t service, milliseconds now)>;

struct window_use
{
    std::array<std::array<double, services>, teams> offered {}; ///< slots
    std::array<std::array<double, services>, teams> unfinished {}; ///< slot-milliseconds
    std::array<double, teams> used {}; ///< slots
};

struct measures
{
    std::vector<std::array<double, teams>> attained; ///< by window: use divided by exact share
    std::array<double, teams> due {}; ///< sum of exact shares
    std::array<double, teams> distance {}; ///< sum of distances from exact shares
    std::vector<double> urgentWaitMs;
    int urgentOffered = 0;
    int urgentRefused = 0;
    std::vector<int> goodBySecond;
    std::vector<int> offeredBySecond;
    std::vector<int> refusedBySecond;
    int late = 0;
    double storeCalls = 0; ///< per second
};

double percentile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

struct entry_process
{
    admission_table table;
    std::unique_ptr<allowance_manager> manager;
    std::array<std::deque<waiting_request>, services> fifo;
};

struct in_flight
{
    std::size_t entry = 0;
    std::size_t team = 0;
    std::size_t service = 0;
};

struct request_info
{
    monotonic_time arrived;
    monotonic_time deadline;
    bool urgent = false;
    double runMs = 0;
    std::size_t team = 0;
    std::size_t service = 0;
};

class simulation
{
public:
    simulation(const profile &p, const variant &v, load_function load, milliseconds length,
               bool skewed = false)
        : m_profile(p)
        , m_variant(v)
        , m_load(std::move(load))
        , m_length(length)
        , m_skewed(skewed)
    {
        std::map<std::string, int> limitOf;
        for (std::size_t t = 0; t < teams; ++t) {
            limitOf[std::to_string(t)] = limits[t];
        }
        for (std::size_t e = 0; e < p.entries; ++e) {
            auto &entry = m_entries.emplace_back();
            entry.table.settings = v.admission;
            entry.manager =
                allowance_manager::create("entry-" + std::to_string(e), m_store, v.allowance);
            entry.manager->setLimits(limitOf, 1);
            for (std::size_t t = 0; t < teams; ++t) {
                setTeam(entry.table, std::to_string(t), weights[t]);
                const int part = limits[t] / static_cast<int>(p.entries);
                setAllowance(entry.table, std::to_string(t), {part, limits[t], 0}, m_clock.now());
            }
        }
        const auto seconds = static_cast<std::size_t>(length / 1s) + 1;
        m_out.goodBySecond.resize(seconds);
        m_out.offeredBySecond.resize(seconds);
        m_out.refusedBySecond.resize(seconds);
    }

    measures run()
    {
        const int ticks = static_cast<int>(m_length / tick);
        m_uses.resize(static_cast<std::size_t>(ticks));
        for (int n = 0; n < ticks; ++n) {
            m_tick = static_cast<std::size_t>(n);
            finishRuns();
            arrive();
            for (std::size_t e = 0; e < m_entries.size(); ++e) {
                // Processes adjust at different times of each second.
                if (n % 200 == static_cast<int>(e * 200 / m_entries.size())) {
                    adjustGrants(m_entries[e]);
                }
                if (n % 10 == 0) {
                    for (const auto &refused : expire(m_entries[e].table, m_clock.now())) {
                        refuse(refused.id);
                    }
                }
            }
            dispatch();
            if (n % windowStep == 0) {
                m_uses[m_tick].unfinished = unfinishedWork();
            }
            for (const auto &entry : m_running) {
                m_uses[m_tick].used[entry.second.team] += 1;
            }
            m_clock.advance(tick);
        }
        measureShares();
        m_out.storeCalls = static_cast<double>(m_store.readCalls() + m_store.writeCalls())
                           / static_cast<double>(m_length / 1s);
        return std::move(m_out);
    }

private:
    std::size_t second() const
    {
        return m_tick * static_cast<std::size_t>(tick.count()) / 1000;
    }

    /// What waits and what is left to run, by team and service.
    [[nodiscard]] std::array<std::array<double, services>, teams> unfinishedWork() const
    {
        std::array<std::array<double, services>, teams> work {};
        for (const auto &[id, info] : m_info) {
            if (!m_running.contains(id)) {
                work[info.team][info.service] += info.runMs;
            }
        }
        for (const auto &[end, id] : m_ends) {
            const auto &run = m_running.at(id);
            work[run.team][run.service] +=
                std::chrono::duration<double, std::milli>(end - m_clock.now()).count();
        }
        return work;
    }

    void finishRuns()
    {
        while (!m_ends.empty() && m_ends.begin()->first <= m_clock.now()) {
            const auto id = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            const auto run = m_running.at(id);
            m_running.erase(id);
            --m_busy[run.service];
            auto &entry = m_entries[run.entry];
            finish(entry.table, id, run_sample::complete, m_clock.now());
            if (!m_variant.splitLimits) {
                entry.manager->finished(std::to_string(run.team));
            }
            if (m_variant.kind == scheme::naive_fifo) {
                --m_naiveRunning[run.entry][run.team];
            }
            const auto &info = m_info.at(id);
            if (m_clock.now() <= info.deadline) {
                ++m_out.goodBySecond[second()];
            } else {
                ++m_out.late;
            }
            m_info.erase(id);
        }
    }

    void arrive()
    {
        const auto elapsed = tick * static_cast<int>(m_tick);
        for (std::size_t s = 0; s < services; ++s) {
            for (std::size_t t = 0; t < teams; ++t) {
                const double perTick = m_load(s, elapsed) * slotsOfService / meanRunMs
                                       * static_cast<double>(tick.count()) * demand[t];
                const int count = std::poisson_distribution<int>(perTick)(m_random);
                for (int i = 0; i < count; ++i) {
                    arriveOne(t, s);
                }
            }
        }
    }

    void arriveOne(std::size_t team, std::size_t service)
    {
        // Run times differ fourfold between services and have a long tail.
        constexpr std::array<double, services> factor {0.4, 0.7, 1.0, 1.3, 1.6};
        constexpr double sigma = 0.8;
        const double mean = meanRunMs * factor[(service + team) % services];
        std::lognormal_distribution<double> runTime(std::log(mean) - sigma * sigma / 2, sigma);
        const auto now = m_clock.now();
        const auto id = ++m_lastId;
        request_info info {now, now, m_random() % 10 == 0, runTime(m_random), team, service};
        info.deadline = now + milliseconds(500 + m_random() % 3500);
        m_info[id] = info;
        ++m_out.offeredBySecond[second()];
        m_out.urgentOffered += info.urgent && second() >= warmUp ? 1 : 0;
        m_uses[m_tick].offered[team][service] += info.runMs / static_cast<double>(tick.count());
        const bool narrow = m_skewed && (team == 3 || team == 5);
        const std::size_t e = m_random() % (narrow ? 2 : m_entries.size());
        const waiting_request asked {id, std::to_string(team), std::to_string(service), info.urgent,
                                     info.deadline};
        if (m_variant.kind == scheme::naive_fifo) {
            m_entries[e].fifo[service].push_back(asked);
        } else if (!submit(m_entries[e].table, asked, now)) {
            refuse(id);
        }
    }

    void refuse(std::uint64_t id)
    {
        ++m_out.refusedBySecond[second()];
        m_out.urgentRefused += m_info.at(id).urgent && second() >= warmUp ? 1 : 0;
        m_info.erase(id);
    }

    void adjustGrants(entry_process &entry)
    {
        if (m_variant.splitLimits) {
            return;
        }
        for (std::size_t t = 0; t < teams; ++t) {
            const auto name = std::to_string(t);
            auto queued = queuedRequests(entry.table, name);
            for (const auto &queue : entry.fifo) {
                queued += static_cast<int>(std::count_if(
                    queue.begin(), queue.end(), [&](const auto &one) { return one.team == name; }));
            }
            entry.manager->setQueued(name, queued);
        }
        (void)entry.manager->adjust(m_clock.wallNow());
        for (std::size_t t = 0; t < teams; ++t) {
            const auto name = std::to_string(t);
            const auto state = entry.manager->stateOf(name);
            setAllowance(entry.table, name, {state.cap, state.limit, state.othersRunning},
                         m_clock.now());
        }
    }

    /// Offers each free slot to the processes in turn.
    void dispatch()
    {
        for (std::size_t s = 0; s < services; ++s) {
            std::size_t passes = 0;
            while (m_busy[s] < slotsOfService && passes < m_entries.size()) {
                const std::size_t e = m_turn++ % m_entries.size();
                passes = startOne(e, s) ? 0 : passes + 1;
            }
            // Full services are announced to the tables as such.
            for (auto &entry : m_entries) {
                entry.table.services[std::to_string(s)].freeSlots =
                    m_busy[s] < slotsOfService ? 1 : 0;
            }
        }
    }

    bool startOne(std::size_t e, std::size_t service)
    {
        auto &entry = m_entries[e];
        if (m_variant.kind == scheme::naive_fifo) {
            auto &queue = entry.fifo[service];
            // Head-of-line blocking: the first request waits for its team's grant.
            if (queue.empty() || !entry.manager->tryStart(queue.front().team)) {
                return false;
            }
            const auto first = queue.front();
            queue.pop_front();
            ++m_naiveRunning[e][m_info.at(first.id).team];
            begin(first.id, e, service);
            return true;
        }
        const auto reserve = [&](const std::string &team) {
            return m_variant.splitLimits || entry.manager->tryStart(team);
        };
        const auto started =
            startNext(entry.table, std::to_string(service), 1, m_clock.now(), reserve);
        for (const auto &one : started) {
            begin(one.id, e, service);
        }
        return !started.empty();
    }

    void begin(std::uint64_t id, std::size_t e, std::size_t service)
    {
        const auto &info = m_info.at(id);
        if (info.urgent && second() >= warmUp) {
            m_out.urgentWaitMs.push_back(
                std::chrono::duration<double, std::milli>(m_clock.now() - info.arrived).count());
        }
        ++m_busy[service];
        m_running[id] = {e, info.team, service};
        m_ends.emplace(m_clock.now() + milliseconds(std::lround(info.runMs)) + m_profile.roundTrip,
                       id);
    }

    /// Compares the use in sliding windows of 1 s with the exact shares of what was offered.
    void measureShares()
    {
        for (std::size_t first = warmUp * window; first + window <= m_uses.size();
             first += windowStep) {
            window_use sum;
            for (std::size_t n = first; n < first + window; ++n) {
                for (std::size_t t = 0; t < teams; ++t) {
                    sum.used[t] += m_uses[n].used[t] / window;
                    for (std::size_t s = 0; s < services; ++s) {
                        sum.offered[t][s] += m_uses[n].offered[t][s] / window;
                    }
                }
            }
            for (std::size_t t = 0; t < teams; ++t) {
                for (std::size_t s = 0; s < services; ++s) {
                    sum.offered[t][s] += m_uses[first].unfinished[t][s] / 1000;
                }
            }
            share_problem problem {{weights.begin(), weights.end()},
                                   {limits.begin(), limits.end()},
                                   {},
                                   std::vector<int>(services, slotsOfService)};
            for (std::size_t t = 0; t < teams; ++t) {
                problem.wants.emplace_back();
                for (std::size_t s = 0; s < services; ++s) {
                    problem.wants.back().push_back(static_cast<int>(std::ceil(sum.offered[t][s])));
                }
            }
            const auto due = exact_shares(problem).solve();
            auto &attained = m_out.attained.emplace_back();
            for (std::size_t t = 0; t < teams; ++t) {
                attained[t] = due[t] == 0 ? 1 : sum.used[t] / due[t];
                m_out.due[t] += due[t];
                m_out.distance[t] += std::abs(sum.used[t] - due[t]);
            }
        }
    }

    const profile &m_profile;
    const variant &m_variant;
    load_function m_load;
    milliseconds m_length;
    bool m_skewed; ///< teams 3 and 5 come in by two processes only
    manual_clock m_clock;
    memory_kv_store m_store {m_clock};
    std::deque<entry_process> m_entries;
    std::array<int, services> m_busy {};
    std::map<std::size_t, std::array<int, teams>> m_naiveRunning;
    std::multimap<monotonic_time, std::uint64_t> m_ends;
    std::unordered_map<std::uint64_t, in_flight> m_running;
    std::unordered_map<std::uint64_t, request_info> m_info;
    std::vector<window_use> m_uses;
    std::mt19937_64 m_random {20261204};
    std::uint64_t m_lastId = 0;
    std::size_t m_turn = 0;
    std::size_t m_tick = 0;
    measures m_out;
};

std::vector<variant> variants()
{
    const auto named = [](const char *name) {
        variant v;
        v.name = name;
        return v;
    };
    const variant chosen = named("chosen");
    variant fifo = named("naive FIFO");
    fifo.kind = scheme::naive_fifo;
    variant split = named("static split");
    split.splitLimits = true;
    variant unfair = named("table, first come first served");
    unfair.admission.policy.fairQueueing = false;
    variant alone = named("without use of others");
    alone.admission.policy.countOtherProcesses = false;
    variant bound = named("queue bound only");
    bound.admission.policy.refuseByDeadline = false;
    variant unlearned = named("declared run times");
    // Declared run times are far off.
    unlearned.admission.policy.learnRunTimes = false;
    unlearned.admission.defaultRunTime = 800ms;
    variant unboundedUrgent = named("urgent always first");
    unboundedUrgent.admission.policy.boundUrgent = false;
    variant whole = named("headroom: whole limit");
    whole.allowance.minHeadroom = 1000000;
    variant prompt = named("use of others not averaged");
    prompt.admission.othersAveragingTime = 1ms;
    return {chosen, fifo, split, unfair, alone, bound, unlearned, unboundedUrgent, whole, prompt};
}

/// Each service in turn asks for five times its mean for 3.84 s of 19.2 s, then for a twentieth.
load_function peaksInTurn(double mean)
{
    return [mean](std::size_t service, milliseconds now) {
        const auto turn = static_cast<std::size_t>(now.count() / 3840) % services;
        return mean * (turn == service ? 5.0 : 0.05);
    };
}

void printShares(const profile &p, const std::string &title, const load_function &load,
                 bool skewed = false)
{
    std::printf("\n### %s, profile `%s`\n\n", title.c_str(), p.name.c_str());
    std::printf("| policy | mean distance from share, %% (team 0..5) | all teams | p5 of use/share "
                "(0..5) | urgent p50 / p99 / max ms | urgent refused %% | refused %% | late %% | "
                "good/s | store calls/s |\n|---|---|---|---|---|---|---|---|---|---|\n");
    constexpr auto length = 60s;
    for (const auto &v : variants()) {
        const auto out = simulation(p, v, load, length, skewed).run();
        std::string distance;
        std::string low;
        double sumDistance = 0;
        double sumDue = 0;
        for (std::size_t t = 0; t < teams; ++t) {
            std::vector<double> attained;
            for (const auto &w : out.attained) {
                attained.push_back(w[t]);
            }
            std::array<char, 32> text {};
            std::snprintf(text.data(), text.size(), "%.0f ", 100 * out.distance[t] / out.due[t]);
            distance += text.data();
            std::snprintf(text.data(), text.size(), "%.2f ", percentile(attained, 0.05));
            low += text.data();
            sumDistance += out.distance[t];
            sumDue += out.due[t];
        }
        double good = 0;
        double offered = 0;
        double refused = 0;
        for (std::size_t i = warmUp; i < out.goodBySecond.size(); ++i) {
            good += out.goodBySecond[i];
            offered += out.offeredBySecond[i];
            refused += out.refusedBySecond[i];
        }
        std::printf("| %s | %s| %.1f | %s| %.0f / %.0f / %.0f | %.1f | %.1f | %.2f | %.0f | %.1f "
                    "|\n",
                    v.name.c_str(), distance.c_str(), 100 * sumDistance / sumDue, low.c_str(),
                    percentile(out.urgentWaitMs, 0.5), percentile(out.urgentWaitMs, 0.99),
                    percentile(out.urgentWaitMs, 1), 100.0 * out.urgentRefused / out.urgentOffered,
                    100 * refused / offered, 100 * out.late / offered, good / 50, out.storeCalls);
        std::fflush(stdout);
    }
}

/// Overload for 20 s, then half the capacity. Recovery is the time before the first three
/// seconds of which each ends at least 97% of its offered requests in time.
void printGoodput(const profile &p)
{
    std::printf("\n### Constant overload, then half load, profile `%s`\n\n", p.name.c_str());
    std::printf("| policy | good/s at 1x, 2x, 5x | refused %% at 1x, 2x, 5x | late %% at 1x, 2x, "
                "5x | recovery s after 1x, 2x, 5x |\n|---|---|---|---|---|\n");
    for (const auto &v : variants()) {
        std::string good;
        std::string refused;
        std::string late;
        std::string recovery;
        for (const double load : {1.0, 2.0, 5.0}) {
            const auto out =
                simulation(
                    p, v, [load](std::size_t, milliseconds now) { return now < 20s ? load : 0.5; },
                    50s)
                    .run();
            double goodSum = 0;
            double offeredSum = 0;
            double refusedSum = 0;
            for (std::size_t i = 5; i < 20; ++i) {
                goodSum += out.goodBySecond[i];
                offeredSum += out.offeredBySecond[i];
                refusedSum += out.refusedBySecond[i];
            }
            double offeredAll = 0;
            for (const int one : out.offeredBySecond) {
                offeredAll += one;
            }
            std::size_t recovered = 20;
            for (std::size_t good3 = 0; recovered < 47 && good3 < 3; ++recovered) {
                for (good3 = 0; good3 < 3; ++good3) {
                    const std::size_t at = recovered + good3;
                    if (out.goodBySecond[at] < 0.97 * out.offeredBySecond[at]) {
                        break;
                    }
                }
            }
            std::array<char, 32> text {};
            std::snprintf(text.data(), text.size(), "%.0f ", goodSum / 15);
            good += text.data();
            std::snprintf(text.data(), text.size(), "%.1f ", 100 * refusedSum / offeredSum);
            refused += text.data();
            std::snprintf(text.data(), text.size(), "%.2f ", 100 * out.late / offeredAll);
            late += text.data();
            std::snprintf(text.data(), text.size(), recovered >= 47 ? ">26 " : "%zu ",
                          recovered - 21);
            recovery += text.data();
        }
        std::printf("| %s | %s| %s| %s| %s|\n", v.name.c_str(), good.c_str(), refused.c_str(),
                    late.c_str(), recovery.c_str());
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string only = argc > 1 ? argv[1] : "";
    for (const auto &p : {profile {"share", 8, 3ms}, profile {"moves", 7, 2ms}}) {
        if (!only.empty() && only != p.name) {
            continue;
        }
        printShares(p, "Peaks in turn, mean load 0.6", peaksInTurn(0.6));
        const load_function twice = [](std::size_t, milliseconds) { return 2.0; };
        printShares(p, "Constant load 2", twice);
        printShares(p, "Constant load 2, teams 3 and 5 come in by two processes", twice, true);
        printGoodput(p);
    }
    return 0;
}
