#include <ibishinge/base/incarnation.h>
#include <ibishinge/base/logging.h>
#include <ibishinge/base/metrics.h>
#include <ibishinge/base/secret.h>
#include <ibishinge/base/settings.h>
#include <ibishinge/base/shutdown_signal.h>
#include <ibishinge/outside/etcd_kv_store.h>
#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/http_host_list.h>
#include <ibishinge/outside/http_server.h>
#include <ibishinge/outside/http_worker_client.h>
#include <ibishinge/outside/jsonrpc_peer_client.h>
#include <ibishinge/service/control_service.h>
#include <ibishinge/service/tick_thread.h>

#include <iostream>

using namespace ibishinge;

namespace {

std::vector<setting> declaredSettings()
{
    return {
        {"listen", setting_type::address, "", "Health, status, metrics and peer protocol", 0, 0,
         true},
        {"store", setting_type::address_list, "", "Addresses of the store", 0, 0, true},
        {"host-list", setting_type::address, "", "Address of the host list", 0, 0, true},
        {"peer-secret-file", setting_type::text, "", "File with the secret shared by all processes",
         0, 0, true},
        {"host", setting_type::text, "", "Name of this host in the host list", 0, 0, true},
        {"data-centre", setting_type::text, "", "Data centre of this host", 0, 0, true},
        {"task-lease-ms", setting_type::integer, "60000",
         "Time for which a task runs on without renewal, in milliseconds", 5000, 3600000, false},
        {"tick-ms", setting_type::integer, "500", "Time between two rounds, in milliseconds", 100,
         1000, false},
        {"worker-calls", setting_type::integer, "16", "Calls to workers at once", 1, 256, false},
    };
}

} // namespace

int main(int argc, char **argv)
{
    blockShutdownSignals();
    const settings values = readSettingsOrExit(
        argc, argv, "Owns pools: placement of jobs and leases of tasks.", declaredSettings());
    const auto secret = readSecretFile(values.text("peer-secret-file"));
    if (!secret) {
        std::cerr << "--peer-secret-file (" << environmentVariable("peer-secret-file")
                  << "): " << describe(secret.error()) << "\n";
        return 2;
    }
    startLogging("ibishinge-control", log_level::info);

    const system_clock_source clock;
    const auto client = http_client::create({});
    etcd_kv_store_options storeOptions;
    for (const auto &text : values.list("store")) {
        storeOptions.endpoints.push_back(*parseEndpoint(text));
    }
    const auto store = makeEtcdKvStore(storeOptions, *client);
    const auto hosts = makeHttpHostList(*client, *parseEndpoint(values.text("host-list")));
    const auto workers = makeHttpWorkerClient(*client);

    const endpoint listen = *parseEndpoint(values.text("listen"));
    control_service_options options;
    options.self = {makeIncarnation(), listen, values.text("host"), values.text("data-centre"),
                    member_role::control};
    options.owner.taskLease = milliseconds(values.integer("task-lease-ms"));
    options.owner.forEach = parallelFor(static_cast<std::size_t>(values.integer("worker-calls")));
    const auto cache = configuration_cache::create(*store, clock, {options.self, {}, {}, {}});
    const auto service = control_service::create(
        *store, clock, *hosts, *workers, [&cache] { return cache->view().current; }, options);
    metrics_registry metrics;

    http_server_options serverOptions;
    serverOptions.address = listen.address;
    serverOptions.port = listen.port;
    serverOptions.threads = 16;
    // Entry processes account for every member when the store is down, so control processes answer
    // their exchanges too.
    const auto peerServer = jsonrpc_peer_server::create(*cache, *secret);
    auto server = http_server::start(serverOptions, [&](const http_request &request) {
        if (request.path == peerPath) {
            return peerServer->handle(request);
        }
        if (request.path == "/metrics") {
            return http_response {
                200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.text()};
        }
        return request.path == "/status" ? jsonResponse(200, service->statusJson() + "\n")
                                         : jsonResponse(200, "{\"status\":\"ok\"}\n");
    });
    if (!server) {
        logEvent(log_level::error, "start_failed", {{"reason", describe(server.error())}});
        return 1;
    }
    logEvent(log_level::info, "started", {{"incarnation", options.self.incarnation}});
    monotonic_time nextPoll;
    tick_thread ticks(milliseconds(values.integer("tick-ms")), [&] {
        const auto start = clock.now();
        if (start >= nextPoll) {
            nextPoll = start + pollInterval;
            if (const auto polled = cache->poll(); !polled) {
                logEvent(log_level::warning, "configuration_not_polled",
                         {{"reason", describe(polled.error())}});
            }
        }
        service->tick();
        metrics.observe("ibishinge_control_tick_seconds", {}, clock.now() - start);
    });
    waitForShutdownSignal();
    logEvent(log_level::info, "stopping");
    ticks.stop();
    service->handOver();
    server->reset();
    logEvent(log_level::info, "stopped");
    return 0;
}
