#include "tests/support/fleet_world.h"

#include <glog/logging.h>

#include <ctime>
#include <iostream>
#include <random>

// Processor time of coordinating a large fleet without its network: two pools, jobs of the shapes
// and rates of a busy deployment, in virtual time. Usage: bench-fleet [workers a pool] [jobs a
// second] [processes]. With several processes, others call the workers; their work is counted too.

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

int main(int argc, char **argv)
{
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
