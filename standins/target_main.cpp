#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/settings.h>
#include <ibishinge/base/shutdown_signal.h>
#include <ibishinge/outside/http_server.h>

#include <chrono>
#include <iostream>
#include <thread>

using namespace ibishinge;

/// A target that runs each request for a fixed time and returns the request's id and body.
int main(int argc, char **argv)
{
    const settings values = readSettingsOrExit(
        argc, argv, "Stand-in for a target.",
        {{"listen", setting_type::address, "", "Address to listen on", 0, 0, true},
         {"run-ms", setting_type::integer, "5", "Run time of a request, in milliseconds", 0, 60000,
          false}});
    blockShutdownSignals();
    const std::chrono::milliseconds runTime(values.integer("run-ms"));
    const endpoint listen = *parseEndpoint(values.text("listen"));
    http_server_options options;
    options.address = listen.address;
    options.port = listen.port;
    auto server = http_server::start(options, [runTime](const http_request &request) {
        std::this_thread::sleep_for(runTime);
        const auto id = findHeader(request.headers, "Ibishinge-Request-Id").value_or("");
        http_response response;
        response.body = std::string(id) + ":" + request.body;
        return response;
    });
    if (!server) {
        std::cerr << describe(server.error()) << "\n";
        return 1;
    }
    waitForShutdownSignal();
    return 0;
}
