#include "worker_standin.h"

#include <ibishinge/base/incarnation.h>
#include <ibishinge/base/settings.h>
#include <ibishinge/base/shutdown_signal.h>
#include <ibishinge/outside/http_server.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

using namespace ibishinge;

int main(int argc, char **argv)
{
    const settings values = readSettingsOrExit(
        argc, argv, "Stand-in for a worker.",
        {{"listen", setting_type::address, "", "Address to listen on", 0, 0, true},
         {"processors", setting_type::integer, "32", "Processors", 0, 100000, false},
         {"memory-mb", setting_type::integer, "131072", "Memory, in MB", 0, 100000000, false},
         {"accelerators", setting_type::integer, "0", "Accelerators", 0, 10000, false},
         {"run-ms", setting_type::integer, "1000", "Run time of a task, in milliseconds", 0,
          86400000, false},
         {"usage-lag-ms", setting_type::integer, "10000", "Lag of usage reports, in milliseconds",
          0, 600000, false},
         {"drain-ms", setting_type::integer, "30000",
          "Longest wait for tasks at shutdown, in milliseconds", 0, 600000, false}});
    blockShutdownSignals();
    const system_clock_source clock;
    simulated_worker_options options;
    options.id = makeIncarnation();
    options.capacity = {values.integer("processors"), values.integer("memory-mb"),
                        values.integer("accelerators")};
    options.defaultRun = milliseconds(values.integer("run-ms"));
    options.usageLag = milliseconds(values.integer("usage-lag-ms"));
    worker_standin standin(clock, options, [] { std::_Exit(1); });
    const auto listen = *parseEndpoint(values.text("listen"));
    http_server_options serverOptions;
    serverOptions.address = listen.address;
    serverOptions.port = listen.port;
    auto server = http_server::start(
        serverOptions, [&standin](const http_request &request) { return standin.handle(request); });
    if (!server) {
        std::cerr << describe(server.error()) << "\n";
        return 1;
    }
    waitForShutdownSignal();
    // The control process reads the checkpoints by its next renewals, so the server stays up until
    // the tasks have ended and one more renewal has had the time to come.
    const auto until = clock.now() + milliseconds(values.integer("drain-ms"));
    while (standin.leave() > 0 && clock.now() < until) {
        std::this_thread::sleep_for(milliseconds(50));
    }
    constexpr milliseconds handBackTime {2500};
    std::this_thread::sleep_for(handBackTime);
    return 0;
}
