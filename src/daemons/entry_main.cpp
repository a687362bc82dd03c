#include <ibishinge/base/incarnation.h>
#include <ibishinge/base/logging.h>
#include <ibishinge/base/settings.h>
#include <ibishinge/base/shutdown_signal.h>
#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/http_server.h>
#include <ibishinge/outside/http_target_client.h>
#include <ibishinge/service/entry_service.h>

#include <iostream>

using namespace ibishinge;

namespace {

std::vector<setting> declaredSettings()
{
    return {
        {"listen", setting_type::address, "", "Address of the callers' API", 0, 0, true},
        {"targets", setting_type::address_list, "", "Addresses of the targets", 0, 0, false},
        {"threads", setting_type::integer, "256", "Connections served at once", 4, 4096, false},
        {"max-body-bytes", setting_type::integer, "1048576", "Largest request body, in bytes", 1,
         64 << 20, false},
    };
}

} // namespace

int main(int argc, char **argv)
{
    const settings values = readSettingsOrExit(
        argc, argv, "Serves callers' requests: admission, queueing and routing to targets.",
        declaredSettings());
    startLogging("ibishinge-entry", log_level::info);
    blockShutdownSignals();

    entry_service_options options;
    options.incarnation = makeIncarnation();
    for (const auto &text : values.list("targets")) {
        options.targets.push_back(*parseEndpoint(text));
    }
    const auto client = http_client::create({});
    const auto targets = makeHttpTargetClient(*client);
    const auto service = entry_service::create(options, *targets);

    const endpoint listen = *parseEndpoint(values.text("listen"));
    http_server_options serverOptions;
    serverOptions.address = listen.address;
    serverOptions.port = listen.port;
    serverOptions.threads = static_cast<int>(values.integer("threads"));
    serverOptions.maxBodyBytes = static_cast<std::size_t>(values.integer("max-body-bytes"));
    auto server = http_server::start(
        serverOptions, [&service](const http_request &r) { return service->handle(r); });
    if (!server) {
        logEvent(log_level::error, "start_failed", {{"reason", describe(server.error())}});
        return 1;
    }
    logEvent(log_level::info, "started", {{"incarnation", options.incarnation}});
    waitForShutdownSignal();
    logEvent(log_level::info, "stopping");
    server->reset();
    logEvent(log_level::info, "stopped");
    return 0;
}
