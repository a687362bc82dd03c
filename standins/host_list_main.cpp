#include "host_list_standin.h"

#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/settings.h>
#include <ibishinge/base/shutdown_signal.h>
#include <ibishinge/outside/http_server.h>

#include <iostream>

using namespace ibishinge;

int main(int argc, char **argv)
{
    const settings values = readSettingsOrExit(
        argc, argv, "Stand-in for the platform's host list.",
        {{"listen", setting_type::address, "", "Address to listen on", 0, 0, true},
         {"lag-ms", setting_type::integer, "0",
          "Time from POST /admin/hosts until GET /hosts shows the change, in milliseconds", 0,
          3600000, false}});
    blockShutdownSignals();
    const system_clock_source clock;
    host_list_standin hosts(clock, milliseconds(values.integer("lag-ms")));
    const endpoint listen = *parseEndpoint(values.text("listen"));
    http_server_options options;
    options.address = listen.address;
    options.port = listen.port;
    auto server = http_server::start(
        options, [&hosts](const http_request &request) { return hosts.handle(request); });
    if (!server) {
        std::cerr << describe(server.error()) << "\n";
        return 1;
    }
    waitForShutdownSignal();
    return 0;
}
