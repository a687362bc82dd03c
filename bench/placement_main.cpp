#include <ibishinge/base/settings.h>
#include <ibishinge/decision/placement.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

constexpr int pools = 42;
constexpr int teams = 69;
constexpr int waitingJobs = 10000;
const wall_time begin = wall_time {} + std::chrono::hours(24 * 365);

job_record makeJob(std::mt19937_64 &random, const std::string &id, bool urgent)
{
    constexpr std::array<std::int64_t, 5> sizes {1, 2, 4, 8, 16};
    job_record job;
    job.id = id;
    job.queue = "q" + std::to_string(random() % 3);
    job.team = "t" + std::to_string(random() % teams);
    job.workClass = urgent ? work_class::urgent : work_class::normal;
    job.repeatable = random() % 4 != 0;
    const auto processors = sizes.at(random() % sizes.size());
    job.declared = {processors, processors * 2048, random() % 8 == 0 ? 1 : 0};
    job.submittedAt = begin;
    return job;
}

std::vector<pool_tables> makePools(std::mt19937_64 &random, int workers)
{
    std::vector<pool_tables> made(pools);
    for (int i = 0; i < workers; ++i) {
        worker_row worker;
        worker.id = "w" + std::to_string(i);
        worker.rack = "r" + std::to_string(i / 4);
        worker.incarnation = "1";
        worker.capacity = {32, 131072, i % 3 == 0 ? 8 : 0};
        worker.accepting = true;
        putWorker(made[static_cast<std::size_t>(i % pools)], worker);
    }
    for (auto &tables : made) {
        tables.areWorkerSizesKnown = true;
        for (int team = 0; team < teams; ++team) {
            setTeam(tables, "t" + std::to_string(team), 1 + team % 4, 1000000);
        }
    }
    // A worker of this size takes about five of the jobs; the rest waits.
    constexpr int jobsPerWorker = 5;
    for (int i = 0; i < waitingJobs + workers * jobsPerWorker; ++i) {
        auto job = makeJob(random, "j" + std::to_string(i), false);
        putJob(made[random() % pools], std::move(job), i + 1, begin);
    }
    return made;
}

/// Ends a share of the active jobs, as between two ticks.
void endSome(pool_tables &tables, std::mt19937_64 &random, double share, wall_time now)
{
    std::vector<std::string> active;
    for (const auto &[id, worker] : tables.workers) {
        active.insert(active.end(), worker.jobs.begin(), worker.jobs.end());
    }
    for (const auto &name : active) {
        if (static_cast<double>(random() % 10000) < share * 10000) {
            static_cast<void>(applyEvent(tables, name, job_event::finish, now));
            removeJob(tables, name);
        }
    }
}

struct line_fit
{
    double intercept = 0;
    double slope = 0;
    double slopeError = 0; ///< standard error
};

line_fit fitLine(const std::vector<std::pair<double, double>> &points)
{
    const auto count = static_cast<double>(points.size());
    double sumX = 0;
    double sumY = 0;
    for (const auto &[x, y] : points) {
        sumX += x;
        sumY += y;
    }
    const double meanX = sumX / count;
    const double meanY = sumY / count;
    double xx = 0;
    double xy = 0;
    for (const auto &[x, y] : points) {
        xx += (x - meanX) * (x - meanX);
        xy += (x - meanX) * (y - meanY);
    }
    line_fit fit;
    fit.slope = xy / xx;
    fit.intercept = meanY - fit.slope * meanX;
    double residuals = 0;
    for (const auto &[x, y] : points) {
        const double off = y - fit.intercept - fit.slope * x;
        residuals += off * off;
    }
    fit.slopeError = std::sqrt(residuals / (count - 2) / xx);
    return fit;
}

/// Measures the ticks of all pools together after a share of the active jobs has ended.
void measureTicks(double changedShare, int repetitions)
{
    std::vector<std::pair<double, double>> points;
    for (const int workers : {250, 1000, 2500}) {
        std::vector<double> times;
        std::size_t actions = 0;
        std::size_t waiting = 0;
        for (int repetition = 0; repetition < repetitions; ++repetition) {
            std::mt19937_64 random(static_cast<std::uint64_t>(repetition + 1));
            auto made = makePools(random, workers);
            wall_time now = begin;
            for (int warmUp = 0; warmUp < 30; ++warmUp) {
                for (auto &tables : made) {
                    static_cast<void>(placeJobs(tables, now, 1, {}));
                }
            }
            now += 1s;
            for (auto &tables : made) {
                endSome(tables, random, changedShare, now);
            }
            for (const auto &tables : made) {
                for (const auto &[team, row] : tables.teams) {
                    waiting += static_cast<std::size_t>(row.waiting);
                }
            }
            const auto start = std::chrono::steady_clock::now();
            for (auto &tables : made) {
                actions += placeJobs(tables, now, 2, {}).size();
            }
            const std::chrono::duration<double, std::micro> time =
                std::chrono::steady_clock::now() - start;
            times.push_back(time.count());
            points.emplace_back(workers, time.count());
        }
        std::sort(times.begin(), times.end());
        std::cout << "  " << workers << " workers: median " << times[times.size() / 2]
                  << " us, max " << times.back() << " us, actions "
                  << static_cast<double>(actions) / repetitions << ", waiting "
                  << static_cast<double>(waiting) / repetitions << "\n";
    }
    const auto fit = fitLine(points);
    std::cout << "  slope " << fit.slope << " +- " << fit.slopeError << " us a worker, intercept "
              << fit.intercept << " us\n";
}

struct naive_job
{
    std::string id;
    resources size;
    wall_time submittedAt;
    bool urgent = false;
    milliseconds run {0};
};

void printDelays(const char *name, std::vector<double> delays, std::size_t expected)
{
    std::sort(delays.begin(), delays.end());
    const auto at = [&](double quantile) {
        return delays.empty()
                   ? 0
                   : delays[std::min(
                       delays.size() - 1,
                       static_cast<std::size_t>(quantile * static_cast<double>(delays.size())))];
    };
    std::cout << "  " << name << ": started " << delays.size() << " of " << expected << ", p50 "
              << at(0.5) << " s, p99 " << at(0.99) << " s, max "
              << (delays.empty() ? 0 : delays.back()) << " s\n";
}

constexpr int urgentWorkers = 60; // 2,500 workers over 42 pools
constexpr int simulatedSeconds = 600;
constexpr milliseconds tick {500};
constexpr milliseconds checkpointTime {500};

/// One pool, filled with normal work for the whole time, and an urgent job every two seconds.
/// Jobs are the same for both ways of placement.
std::vector<naive_job> makeLoad(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<naive_job> load;
    for (int i = 0; i < 500; ++i) {
        const auto job = makeJob(random, "n" + std::to_string(i), false);
        load.push_back(
            {job.id, job.declared, begin, false, milliseconds(60000 + random() % 600000)});
    }
    for (int i = 0; i < simulatedSeconds / 2; ++i) {
        const auto job = makeJob(random, "u" + std::to_string(i), true);
        load.push_back({job.id, job.declared,
                        begin + std::chrono::seconds(60)
                            + milliseconds(std::int64_t {2000} * i
                                           + static_cast<std::int64_t>(random() % 1000)),
                        true, milliseconds(10000)});
    }
    return load;
}

void simulate(std::uint64_t seed, std::vector<double> &delays, std::size_t &expected)
{
    const auto load = makeLoad(seed);
    std::mt19937_64 random(seed);
    pool_tables tables;
    tables.areWorkerSizesKnown = true;
    placement_settings settings;
    for (int i = 0; i < urgentWorkers; ++i) {
        worker_row worker;
        worker.id = "w" + std::to_string(i);
        worker.rack = "r" + std::to_string(i / 4);
        worker.capacity = {32, 131072, i % 3 == 0 ? 8 : 0};
        worker.accepting = true;
        putWorker(tables, worker);
    }
    for (int team = 0; team < teams; ++team) {
        setTeam(tables, "t" + std::to_string(team), 1, 1000000);
    }
    std::map<std::string, const naive_job *> byName;
    std::multimap<wall_time, std::pair<std::string, int>> ends; ///< name and attempt
    std::multimap<wall_time, std::string> checkpoints;
    std::size_t next = 0;
    auto sorted = load;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto &a, const auto &b) { return a.submittedAt < b.submittedAt; });
    std::int64_t revision = 0;
    for (wall_time now = begin; now < begin + std::chrono::seconds(simulatedSeconds + 90);
         now += tick) {
        for (; next < sorted.size() && sorted[next].submittedAt <= now; ++next) {
            auto job = makeJob(random, sorted[next].id, sorted[next].urgent);
            job.queue = "q";
            job.declared = sorted[next].size;
            job.submittedAt = sorted[next].submittedAt;
            byName["q/" + job.id] = &sorted[next];
            expected += sorted[next].urgent ? 1 : 0;
            putJob(tables, job, ++revision, now);
        }
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto [name, attempt] = ends.begin()->second;
            ends.erase(ends.begin());
            const auto found = tables.jobs.find(name);
            if (found != tables.jobs.end() && found->second.record.attempt == attempt
                && isActive(found->second.record.state)) {
                static_cast<void>(applyEvent(tables, name, job_event::finish, now));
                removeJob(tables, name);
            }
        }
        while (!checkpoints.empty() && checkpoints.begin()->first <= now) {
            const std::string name = checkpoints.begin()->second;
            checkpoints.erase(checkpoints.begin());
            const auto found = tables.jobs.find(name);
            if (found != tables.jobs.end()
                && found->second.record.state == job_state::checkpointing) {
                static_cast<void>(applyEvent(tables, name, job_event::retry, now));
            }
        }
        for (const auto &action : placeJobs(tables, now, random(), settings)) {
            const auto *job = byName.at(action.job);
            if (action.kind == placement_kind::start) {
                static_cast<void>(applyEvent(tables, action.job, job_event::started, now));
                ends.emplace(now + job->run,
                             std::pair(action.job, tables.jobs.at(action.job).record.attempt));
                if (job->urgent) {
                    const std::chrono::duration<double> delay = now - job->submittedAt;
                    delays.push_back(delay.count());
                }
            } else if (action.kind == placement_kind::checkpoint) {
                checkpoints.emplace(now + checkpointTime, action.job);
            }
        }
    }
}

/// First in, first out, on the first worker with room; the head of the queue blocks the rest.
void simulateNaive(std::uint64_t seed, std::vector<double> &delays, std::size_t &expected)
{
    auto load = makeLoad(seed);
    std::stable_sort(load.begin(), load.end(),
                     [](const auto &a, const auto &b) { return a.submittedAt < b.submittedAt; });
    std::vector<resources> free;
    free.reserve(urgentWorkers);
    for (int i = 0; i < urgentWorkers; ++i) {
        free.push_back({32, 131072, i % 3 == 0 ? 8 : 0});
    }
    std::deque<naive_job> waiting;
    std::multimap<wall_time, std::pair<std::size_t, resources>> ends;
    std::size_t next = 0;
    for (wall_time now = begin; now < begin + std::chrono::seconds(simulatedSeconds + 90);
         now += tick) {
        for (; next < load.size() && load[next].submittedAt <= now; ++next) {
            expected += load[next].urgent ? 1 : 0;
            waiting.push_back(load[next]);
        }
        while (!ends.empty() && ends.begin()->first <= now) {
            free[ends.begin()->second.first] += ends.begin()->second.second;
            ends.erase(ends.begin());
        }
        while (!waiting.empty()) {
            const auto &job = waiting.front();
            const auto found = std::find_if(free.begin(), free.end(),
                                            [&](const auto &room) { return fits(job.size, room); });
            if (found == free.end()) {
                break;
            }
            *found -= job.size;
            ends.emplace(now + job.run, std::pair(found - free.begin(), job.size));
            if (job.urgent) {
                const std::chrono::duration<double> delay = now - job.submittedAt;
                delays.push_back(delay.count());
            }
            waiting.pop_front();
        }
    }
}

} // namespace

/// Measures placement at the sizes of the design, and the start of urgent work in virtual time.
int main(int argc, char **argv)
{
    const auto values = readSettingsOrExit(
        argc, argv, "Measures the time of placement and the start of urgent jobs.",
        {{"repetitions", setting_type::integer, "5", "Measurements of each size", 3, 100, false}});
    const auto repetitions = static_cast<int>(values.integer("repetitions"));
    for (const double share : {0.0, 0.01, 0.5}) {
        std::cout << "one tick of " << pools << " pools, " << waitingJobs << " jobs, " << teams
                  << " teams, " << share * 100 << "% of the running jobs ended:\n";
        measureTicks(share, repetitions);
    }
    std::cout << "start of urgent jobs in a full pool of " << urgentWorkers
              << " workers, virtual time:\n";
    std::vector<double> delays;
    std::vector<double> naiveDelays;
    std::size_t expected = 0;
    std::size_t naiveExpected = 0;
    for (int seed = 1; seed <= repetitions; ++seed) {
        simulate(static_cast<std::uint64_t>(seed), delays, expected);
        simulateNaive(static_cast<std::uint64_t>(seed), naiveDelays, naiveExpected);
    }
    printDelays("placement", delays, expected);
    printDelays("first in, first out, first fit", naiveDelays, naiveExpected);
    return 0;
}
