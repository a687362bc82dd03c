#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/backlog/occurrence_window.h>
#include <ibishinge/fleet/placement.h>

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <random>

// Processor time of coordinating a large fleet without its network: two pools, jobs of the shapes
// and rates of a busy deployment, in virtual time. Usage: bench-fleet [workers a pool] [jobs a
// second] [processes]. With several processes, others call the workers; their work is counted too.
//
// bench-fleet pass: time of one scheduling pass over full pools, on plain tables.

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int passPools = 10;
constexpr int passCustomers = 60;
constexpr int tasksOfStep = 8;
constexpr int runsOfWorker = 8; ///< of four cores each, which fill the worker
constexpr int passes = 41;

std::string numbered(const char *prefix, int number)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%s%08d", prefix, number);
    return text.data();
}

job_entry makeJob(std::mt19937_64 &random, int number, instant now)
{
    job_entry job;
    job.id = numbered("job-", number);
    job.queue = numbered("queue-", static_cast<int>(random() % passPools));
    job.customer = numbered("customer-", static_cast<int>(random() % passCustomers));
    job.spec = simpleJob(tasksOfStep, 4000);
    job.spec.steps.push_back(job.spec.steps.front());
    job.spec.steps.back().after = {0};
    job.stored = true;
    job.submittedAt = now - milliseconds(random() % 12000);
    openDueOccurrences(job, 0);
    return job;
}

/// Fills all workers and adds waiting jobs.
void fillTables(fleet_tables &tables, int workers, int waitingTasks, bool weighted, instant now)
{
    std::mt19937_64 random(1);
    configuration config;
    for (int i = 0; i < passPools; ++i) {
        queue_config queue;
        queue.name = numbered("queue-", i);
        queue.pool = numbered("pool-", i);
        queue.objectiveFactor = 1.6;
        queue.objectiveSlack = 600ms;
        config.queues.push_back(queue);
        config.pools[queue.pool] = {queue.pool, true, false};
    }
    for (int i = 0; i < passCustomers; ++i) {
        customer_config customer;
        customer.name = numbered("customer-", i);
        customer.weight = weighted ? 1 << (i % 3) : 1;
        config.customers[customer.name] = customer;
    }
    setConfiguration(tables, config);
    int number = 0;
    for (int i = 0; i < workers; ++i) {
        auto &worker = tables.workers[numbered("worker-", i)];
        worker.entry.id = numbered("worker-", i);
        worker.entry.pool = numbered("pool-", i % passPools);
        worker.entry.capacity = {32000, 131072, 0};
        worker.entry.labels = {"a", numbered("rack-", i / 4)};
        worker.verified = true;
        worker.onRoster = true;
        auto job = makeJob(random, number++, now);
        job.queue = numbered("queue-", i % passPools);
        job.begun = true;
        const auto &stored = tables.jobs.emplace(job.id, std::move(job)).first->second;
        for (int index = 0; index < runsOfWorker; ++index) {
            const task_name name {stored.id, 0, 0, index};
            changeTask(tables, name)->phase = task_phase::placed;
            addRun(tables, makeRun(stored, {name, 1}, worker.entry.id));
        }
    }
    for (int i = 0; i < waitingTasks / tasksOfStep; ++i) {
        auto job = makeJob(random, number++, now);
        tables.jobs.emplace(job.id, std::move(job));
    }
}

/// Returns the time in microseconds since `begin`.
double microseconds(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
        .count();
}

void printTimes(const char *name, std::vector<double> times)
{
    std::sort(times.begin(), times.end());
    std::cout << ", " << name << " median " << times[times.size() / 2] << " us, highest "
              << times.back() << " us";
}

void measurePasses(int workers, int waitingTasks, bool weighted)
{
    const auto now = instant {} + 1h;
    fleet_tables tables;
    fillTables(tables, workers, waitingTasks, weighted, now);
    std::vector<double> order;
    std::vector<double> whole;
    std::size_t steps = 0;
    for (int i = 0; i < passes; ++i) {
        const auto begin = std::chrono::steady_clock::now();
        const auto waiting = waitingSteps(tables, now);
        order.push_back(microseconds(begin));
        auto candidates = candidatesByPool(tables, now);
        steps = 0;
        for (const auto &[pool, ofPool] : waiting) {
            for (const auto &each : ofPool) {
                const auto &step = each.job->spec.steps.front();
                const bool placed =
                    isWithinLimit(tables, each.job->customer, heldBy(step))
                    && chooseWorker(tables, candidates[pool], each, 0, nullptr, now) != nullptr;
                steps += placed ? 0 : 1;
            }
        }
        whole.push_back(microseconds(begin));
    }
    std::cout << workers << " workers, " << waitingTasks << " waiting tasks, "
              << (weighted ? "weights 1:2:4" : "equal weights") << ": " << steps << " steps";
    printTimes("order", order);
    printTimes("pass", whole);
    std::cout << "\n";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1 && std::string(argv[1]) == "pass") {
        for (const bool weighted : {false, true}) {
            measurePasses(350, 10000, weighted);
            measurePasses(2500, 100000, weighted);
        }
        return 0;
    }
    const int workers = argc > 1 ? std::atoi(argv[1]) : 150;
    const int jobsPerSecond = argc > 2 ? std::atoi(argv[2]) : 76;
    constexpr int seconds = 20;
    FLAGS_minloglevel = google::FATAL;

    fleet_world fleet(workers);
    for (auto &[id, worker] : fleet.world.workers) {
        worker.entry.capacity = {32000, 131072, 0};
    }
    std::mt19937_64 random(1);
    fleet.world.behaviourOf = [&](const task_name &) {
        return virtual_world::behaviour {milliseconds(300 + random() % 900), false};
    };
    auto &process = fleet.addProcess("only");
    fleet.waitForLeader();
    fleet.loop.run(1s);
    const int processes = argc > 3 ? std::atoi(argv[3]) : 1;
    for (int i = 1; i < processes; ++i) {
        fleet.addProcess("other-" + std::to_string(i));
    }
    for (int i = 0; i < 3; ++i) {
        for (auto &[name, each] : fleet.processes) {
            fleet.ask(each, caller_operation::count_waiting, "/pool-a/");
        }
        fleet.loop.run(500ms);
    }

    int accepted = 0;
    const int jobs = jobsPerSecond * seconds;
    for (int i = 0; i < jobs; ++i) {
        fleet.loop.after(milliseconds(1000 * i / jobsPerSecond), [&, i] {
            caller_request request;
            request.operation = caller_operation::submit;
            request.host = "jobs.example";
            char id[17];
            std::snprintf(id, sizeof id, "%016d", i);
            request.path = std::string(i % 2 == 0 ? "/pool-a/" : "/pool-b/") + id;
            request.key = "key-north";
            request.callerTimeout = 3000ms;
            auto spec = simpleJob(8, 3000);
            spec.steps.push_back(spec.steps.front());
            spec.steps.back().after = {0};
            request.spec = spec;
            process.node->handle(request, [&](const caller_answer &answer) {
                accepted += answer.kind == answer_kind::accepted ? 1 : 0;
            });
        });
    }
    const std::clock_t before = std::clock();
    fleet.loop.run(std::chrono::seconds(seconds) + 5s);
    const double used = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    std::cout << "workers " << 2 * workers << ", jobs " << accepted << " of " << jobs << ", starts "
              << fleet.world.starts << ", transactions " << fleet.world.transactions
              << ", processor " << used / seconds << " cores, "
              << 1e6 * used / std::max(1, fleet.world.starts) << " us a start\n";
    return fleet.world.violations.empty() ? 0 : 1;
}
