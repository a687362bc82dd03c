#include <ibishinge/base/logging.h>
#include <ibishinge/base/secret.h>
#include <ibishinge/base/settings.h>
#include <ibishinge/base/shutdown_signal.h>
#include <ibishinge/service/entry_process.h>

#include <cstdlib>
#include <iostream>

using namespace ibishinge;

namespace {

std::vector<setting> declaredSettings()
{
    return {
        {"listen", setting_type::address, "", "Callers' API", 0, 0, true},
        {"operators-listen", setting_type::address, "", "Operators' API", 0, 0, true},
        {"peers-listen", setting_type::address, "", "Peer protocol", 0, 0, true},
        {"store", setting_type::address_list, "", "Key-value service", 0, 0, true},
        {"host-list", setting_type::address, "", "Host list", 0, 0, true},
        {"host", setting_type::text, "", "This host's name in the host list", 0, 0, true},
        {"data-centre", setting_type::text, "", "This host's data centre", 0, 0, true},
        {"operators-token-file", setting_type::text, "", "File with the operators' token", 0, 0,
         true},
        {"peer-secret-file", setting_type::text, "", "File with the secret shared by all processes",
         0, 0, true},
        {"threads", setting_type::integer, "256", "Callers' connections served at once", 4, 4096,
         false},
        {"max-body-bytes", setting_type::integer, "1048576", "Largest request body, in bytes", 1,
         64 << 20, false},
        {"max-header-bytes", setting_type::integer, "16384", "Largest request header, in bytes",
         1024, 1 << 20, false},
        {"receive-timeout-ms", setting_type::integer, "10000",
         "Longest pause of a caller while it sends, in milliseconds", 100, 600000, false},
        {"drain-quiet-ms", setting_type::integer, "2000",
         "Silence of callers that ends a shutdown, in milliseconds", 0, 600000, false},
        {"drain-limit-ms", setting_type::integer, "60000", "Longest shutdown, in milliseconds", 0,
         3600000, false},
    };
}

std::string secretOrExit(const settings &values, const char *name)
{
    auto secret = readSecretFile(values.text(name));
    if (!secret) {
        std::cerr << "--" << name << " (" << environmentVariable(name)
                  << "): " << describe(secret.error()) << "\n";
        std::exit(2); // NOLINT(concurrency-mt-unsafe)
    }
    return std::move(*secret);
}

entry_process_options toOptions(const settings &values)
{
    entry_process_options options;
    options.listen = *parseEndpoint(values.text("listen"));
    options.operatorsListen = *parseEndpoint(values.text("operators-listen"));
    options.peersListen = *parseEndpoint(values.text("peers-listen"));
    for (const auto &text : values.list("store")) {
        options.store.push_back(*parseEndpoint(text));
    }
    options.hostList = *parseEndpoint(values.text("host-list"));
    options.host = values.text("host");
    options.dataCentre = values.text("data-centre");
    options.operatorsToken = secretOrExit(values, "operators-token-file");
    options.peerSecret = secretOrExit(values, "peer-secret-file");
    options.threads = static_cast<int>(values.integer("threads"));
    options.maxBodyBytes = static_cast<std::size_t>(values.integer("max-body-bytes"));
    options.maxHeaderBytes = static_cast<std::size_t>(values.integer("max-header-bytes"));
    options.receiveTimeout = std::chrono::milliseconds(values.integer("receive-timeout-ms"));
    options.drainQuiet = std::chrono::milliseconds(values.integer("drain-quiet-ms"));
    options.drainLimit = std::chrono::milliseconds(values.integer("drain-limit-ms"));
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    blockShutdownSignals();
    const settings values = readSettingsOrExit(
        argc, argv, "Serves callers' requests: keys, admission, queueing and routing to targets.",
        declaredSettings());
    auto options = toOptions(values);
    startLogging("ibishinge-entry", log_level::info);
    auto process = entry_process::start(std::move(options));
    if (!process) {
        logEvent(log_level::error, "start_failed", {{"reason", describe(process.error())}});
        return 1;
    }
    waitForShutdownSignal();
    (*process)->stop();
    return 0;
}
