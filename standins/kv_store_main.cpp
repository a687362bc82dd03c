#include "kv_store_service.h"

#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/settings.h>
#include <ibishinge/base/shutdown_signal.h>
#include <ibishinge/outside/http_server.h>

#include <iostream>

using namespace ibishinge;

/// The platform's key-value service, in memory.
int main(int argc, char **argv)
{
    const settings values = readSettingsOrExit(
        argc, argv, "Stand-in for the key-value service, with etcd v3's JSON mapping.",
        {{"listen", setting_type::address, "", "Address to listen on", 0, 0, true},
         {"writes-per-second", setting_type::integer, "400", "Writes accepted, calls a second", 1,
          1000000, false},
         {"reads-per-second", setting_type::integer, "2000", "Reads accepted, calls a second", 1,
          1000000, false},
         {"history-limit", setting_type::integer, "1000000", "Changes kept for /admin/history", 1,
          100000000, false},
         {"threads", setting_type::integer, "256", "Connections served at once", 4, 4096, false}});
    blockShutdownSignals();
    const system_clock_source clock;
    kv_store_limits limits;
    limits.writesPerSecond = static_cast<int>(values.integer("writes-per-second"));
    limits.readsPerSecond = static_cast<int>(values.integer("reads-per-second"));
    kv_store_service service(clock, limits,
                             static_cast<std::size_t>(values.integer("history-limit")));

    const endpoint listen = *parseEndpoint(values.text("listen"));
    http_server_options options;
    options.address = listen.address;
    options.port = listen.port;
    options.threads = static_cast<int>(values.integer("threads"));
    options.maxBodyBytes = 8U << 20U; // A batch of the largest size in base64 takes 2 MiB.
    auto server = http_server::start(
        options, [&service](const http_request &r) { return service.handle(r); });
    if (!server) {
        std::cerr << describe(server.error()) << "\n";
        return 1;
    }
    waitForShutdownSignal();
    service.shutDown();
    return 0;
}
