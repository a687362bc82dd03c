#include "target_standin.h"

#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/settings.h>
#include <ibishinge/base/shutdown_signal.h>

#include <iostream>

using namespace ibishinge;

int main(int argc, char **argv)
{
    const settings values = readSettingsOrExit(
        argc, argv, "Stand-in for a target.",
        {{"listen", setting_type::address, "", "Address to listen on", 0, 0, true},
         {"run-ms", setting_type::integer, "5", "Run time of a request, in milliseconds", 0, 600000,
          false},
         {"slots", setting_type::integer, "8", "Requests that run at once", 1, 1024, false},
         {"connections", setting_type::integer, "64", "Requests that run or wait", 1, 1024, false},
         {"log-file", setting_type::text, "", "File to which the runs are appended", 0, 0, false}});
    blockShutdownSignals();
    target_standin_options options;
    options.listen = *parseEndpoint(values.text("listen"));
    options.runTime = std::chrono::milliseconds(values.integer("run-ms"));
    options.slots = static_cast<int>(values.integer("slots"));
    options.connections = static_cast<int>(values.integer("connections"));
    options.logFile = values.text("log-file");
    const auto standin = target_standin::start(options);
    if (!standin) {
        std::cerr << toString(options.listen) << ": cannot listen\n";
        return 1;
    }
    waitForShutdownSignal();
    standin->drain();
    return 0;
}
