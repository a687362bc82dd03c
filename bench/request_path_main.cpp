#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/settings.h>
#include <ibishinge/base/time.h>
#include <ibishinge/outside/http_client.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

using namespace ibishinge;
using clock_type = std::chrono::steady_clock;

namespace {

struct path_options
{
    endpoint to;
    std::string path;
    std::string team;
    std::string key;
    bool idempotent = true;
    int requests = 0;
    int concurrency = 1;
    std::string idPrefix;
};

struct path_result
{
    std::vector<double> latenciesMs; ///< of complete responses, sorted
    int failures = 0;
    double seconds = 0;
};

http_request makeRequest(const path_options &options, int number)
{
    constexpr std::size_t bodyBytes = 1024;
    http_request request;
    request.method = "POST";
    request.path = options.path;
    request.headers = {{"Ibishinge-Request-Id", options.idPrefix + std::to_string(number)},
                       {"Ibishinge-Team", options.team},
                       {"Ibishinge-Key", options.key},
                       {"Ibishinge-Deadline-Ms", "10000"},
                       {"Ibishinge-Idempotent", options.idempotent ? "true" : "false"}};
    request.body = std::string(bodyBytes, 'x');
    return request;
}

/// Sends requests in a closed loop: each thread sends the next one after its response.
path_result measure(const path_options &options)
{
    const auto client = http_client::create({});
    std::atomic<int> next {0};
    std::atomic<int> failures {0};
    std::mutex mutex;
    path_result all;
    const auto start = clock_type::now();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(options.concurrency));
    for (int i = 0; i < options.concurrency; ++i) {
        threads.emplace_back([&] {
            std::vector<double> own;
            for (int number = next++; number < options.requests; number = next++) {
                const auto sent = clock_type::now();
                const auto response =
                    client->send(options.to, makeRequest(options, number), std::chrono::seconds(20),
                                 connection_use::reuse_allowed);
                if (!response || response->status != 200) {
                    ++failures;
                    continue;
                }
                own.push_back(
                    std::chrono::duration<double, std::milli>(clock_type::now() - sent).count());
            }
            const std::lock_guard lock(mutex);
            all.latenciesMs.insert(all.latenciesMs.end(), own.begin(), own.end());
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    all.seconds = std::chrono::duration<double>(clock_type::now() - start).count();
    all.failures = failures;
    std::sort(all.latenciesMs.begin(), all.latenciesMs.end());
    return all;
}

double quantile(const std::vector<double> &sorted, double q)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(q * last)];
}

} // namespace

/// Measures latency and throughput of one path in a closed loop and prints one JSON line.
int main(int argc, char **argv)
{
    const settings values = readSettingsOrExit(
        argc, argv, "Closed-loop latency and throughput of one HTTP path.",
        {{"to", setting_type::address, "", "Address to send to", 0, 0, true},
         {"path", setting_type::text, "/run", "Path of the requests", 0, 0, true},
         {"team", setting_type::text, "none", "Team", 0, 0, false},
         {"key-file", setting_type::text, "", "File with the team's key", 0, 0, false},
         {"idempotent", setting_type::integer, "1", "1: idempotent requests, 0: not", 0, 1, false},
         {"requests", setting_type::integer, "2000", "Number of requests", 1, 10000000, false},
         {"concurrency", setting_type::integer, "1", "Requests in progress", 1, 1000, false},
         {"id-prefix", setting_type::text, "b", "Prefix of the request ids", 0, 0, true}});
    path_options options;
    options.to = *parseEndpoint(values.text("to"));
    options.path = values.text("path");
    options.team = values.text("team");
    if (!values.text("key-file").empty()) {
        std::ifstream in(values.text("key-file"));
        std::getline(in, options.key);
    }
    options.idempotent = values.integer("idempotent") == 1;
    options.requests = static_cast<int>(values.integer("requests"));
    options.concurrency = static_cast<int>(values.integer("concurrency"));
    options.idPrefix = values.text("id-prefix");

    const path_result measured = measure(options);
    std::cout << nlohmann::json(
        {{"p50_ms", quantile(measured.latenciesMs, 0.5)},
         {"p99_ms", quantile(measured.latenciesMs, 0.99)},
         {"requests_per_second",
          static_cast<double>(measured.latenciesMs.size()) / measured.seconds},
         {"failures", measured.failures}})
              << "\n";
    return 0;
}
