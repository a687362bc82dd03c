#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/settings.h>
#include <ibishinge/base/time.h>
#include <ibishinge/outside/http_client.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <cmath>
#include <fstream>
#include <iostream>
#include <mutex>
#include <optional>
#include <random>
#include <stop_token>
#include <thread>

using namespace ibishinge;
using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;

namespace {

/// One team's demand.
struct team_demand
{
    std::string name;
    std::string key;
    std::vector<std::string> services;
    double ratePerSecond = 1;
    double urgentFraction = 0;
    double nonIdempotentFraction = 0;
    double repeatFraction = 0; ///< requests that are sent a second time after their response
};

struct planned_request
{
    std::chrono::microseconds at {0};
    std::size_t team = 0;
    std::string service;
    std::string id;
    bool urgent = false;
    bool idempotent = true;
    bool repeat = false;
    std::string body;
};

/// Chooses entry processes as the platform's load balancer does: among those that are ready.
class balancer
{
public:
    /// Preconditions: `client` outlives the object; `entries` is not empty.
    balancer(http_client &client, std::vector<endpoint> entries)
        : m_client(client)
        , m_entries(std::move(entries))
        , m_ready(m_entries.size())
        , m_checks([this](const std::stop_token &stop) { check(stop); })
    {
    }

    /// Returns any entry process if none is ready. Thread-safe.
    [[nodiscard]] const endpoint &choose(std::mt19937_64 &random) const
    {
        std::uniform_int_distribution<std::size_t> any(0, m_entries.size() - 1);
        for (std::size_t i = 0; i < 4 * m_entries.size(); ++i) {
            const std::size_t chosen = any(random);
            if (m_ready[chosen]) {
                return m_entries[chosen];
            }
        }
        return m_entries[any(random)];
    }

private:
    void check(const std::stop_token &stop)
    {
        while (!stop.stop_requested()) {
            for (std::size_t i = 0; i < m_entries.size(); ++i) {
                http_request request;
                request.method = "GET";
                request.path = "/readyz";
                const auto response = m_client.send(m_entries[i], request, 500ms);
                m_ready[i] = response && response->status == 200;
            }
            std::this_thread::sleep_for(100ms);
        }
    }

    http_client &m_client;
    std::vector<endpoint> m_entries;
    std::vector<std::atomic<bool>> m_ready;
    std::jthread m_checks;
};

struct load_options
{
    std::vector<endpoint> entries;
    const balancer *balanced = nullptr; ///< none: entry processes are chosen at random
    std::vector<team_demand> teams;
    std::chrono::milliseconds deadline {0};
    int maxAttempts = 1;
};

std::vector<team_demand> readTeams(const std::string &path)
{
    std::ifstream in(path);
    const auto document = nlohmann::json::parse(in);
    std::vector<team_demand> teams;
    for (const auto &item : document) {
        team_demand team;
        team.name = item.at("name").get<std::string>();
        team.key = item.value("key", "");
        team.services = item.at("services").get<std::vector<std::string>>();
        team.ratePerSecond = item.at("rate_per_second").get<double>();
        team.urgentFraction = item.value("urgent_fraction", 0.0);
        team.nonIdempotentFraction = item.value("non_idempotent_fraction", 0.0);
        team.repeatFraction = item.value("repeat_fraction", 0.0);
        teams.push_back(std::move(team));
    }
    return teams;
}

std::string randomBody(std::mt19937_64 &random)
{
    constexpr int smallest = 16;
    constexpr int largest = 4096;
    std::uniform_int_distribution<int> length(smallest, largest);
    std::uniform_int_distribution<int> letter('a', 'z');
    std::string body(static_cast<std::size_t>(length(random)), ' ');
    for (char &c : body) {
        c = static_cast<char>(letter(random));
    }
    return body;
}

/// Draws Poisson arrivals of all teams, in order of time.
std::vector<planned_request> plan(const std::vector<team_demand> &teams,
                                  std::chrono::seconds duration, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<planned_request> all;
    for (std::size_t t = 0; t < teams.size(); ++t) {
        const auto &team = teams[t];
        std::exponential_distribution<double> gap(team.ratePerSecond);
        std::uniform_real_distribution<double> unit(0, 1);
        std::uniform_int_distribution<std::size_t> service(0, team.services.size() - 1);
        int number = 0;
        for (double at = gap(random); at < static_cast<double>(duration.count());
             at += gap(random)) {
            planned_request request;
            request.at = std::chrono::microseconds(static_cast<std::int64_t>(at * 1e6));
            request.team = t;
            request.service = team.services[service(random)];
            request.id = team.name + "-" + std::to_string(seed) + "-" + std::to_string(number++);
            request.urgent = unit(random) < team.urgentFraction;
            request.idempotent = unit(random) >= team.nonIdempotentFraction;
            request.repeat = unit(random) < team.repeatFraction;
            request.body = randomBody(random);
            all.push_back(std::move(request));
        }
    }
    std::sort(all.begin(), all.end(), [](const auto &a, const auto &b) { return a.at < b.at; });
    return all;
}

/// Writes one JSON line for each attempt: what this caller was told.
class attempt_log
{
public:
    explicit attempt_log(const std::string &path)
        : m_out(path)
    {
    }
    void write(const nlohmann::json &line)
    {
        const std::lock_guard lock(m_mutex);
        m_out << line.dump() << "\n";
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

http_request toHttp(const planned_request &planned, const team_demand &team,
                    std::chrono::milliseconds deadline)
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/services/" + planned.service + "/requests";
    request.headers = {{"Ibishinge-Request-Id", planned.id},
                       {"Ibishinge-Team", team.name},
                       {"Ibishinge-Deadline-Ms", std::to_string(deadline.count())},
                       {"Ibishinge-Class", planned.urgent ? "urgent" : "normal"},
                       {"Ibishinge-Idempotent", planned.idempotent ? "true" : "false"}};
    if (!team.key.empty()) {
        request.headers.push_back({"Ibishinge-Key", team.key});
    }
    request.body = planned.body;
    return request;
}

/// What the caller knows after one attempt.
struct attempt_result
{
    bool done = false; ///< answered with the target's response, or finally refused
    std::chrono::milliseconds retryAfter {0};
};

attempt_result judge(const result<http_response> &response, nlohmann::json &line,
                     const planned_request &planned)
{
    if (!response) {
        line["result"] = "cut";
        line["message"] = describe(response.error());
        line["error"] = nameOf(response.error().kind);
        return {false, 50ms};
    }
    line["status"] = response->status;
    const auto run = findHeader(response->headers, "Ibishinge-Run").value_or("");
    line["run"] = run;
    if (run == "ran") {
        // A target's own error is a whole response too; its body names the request as well.
        const std::string expected =
            planned.id + ":" + (response->status == 500 ? "failed\n" : planned.body);
        const bool whole = response->body == expected;
        line["result"] = whole ? "whole" : "wrong_body";
        return {true, 0ms};
    }
    const auto body = nlohmann::json::parse(response->body, nullptr, false);
    line["result"] = body.is_object() ? body.value("error", "unknown") : "unknown";
    if (body.is_object() && body.contains("retry_after_ms")) {
        return {false, std::chrono::milliseconds(body["retry_after_ms"].get<int>())};
    }
    return {true, 0ms};
}

void runOne(const planned_request &planned, const load_options &options, http_client &client,
            attempt_log &log, clock_type::time_point start, std::uint64_t salt)
{
    std::mt19937_64 random(salt);
    std::uniform_int_distribution<std::size_t> anyEntry(0, options.entries.size() - 1);
    const auto &team = options.teams[planned.team];
    const auto giveUp = clock_type::now() + options.deadline;
    const auto sinceStart = [start] {
        return std::chrono::duration<double, std::milli>(clock_type::now() - start).count();
    };
    // Comparable with the targets' logs, whose times are those of the wall clock too.
    const auto sinceEpoch = [] {
        return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    };
    int repeatsLeft = planned.repeat ? 1 : 0;
    for (int attempt = 1; attempt <= options.maxAttempts; ++attempt) {
        const auto left = std::chrono::duration_cast<milliseconds>(giveUp - clock_type::now());
        if (left <= 0ms) {
            return;
        }
        const endpoint &entry = options.balanced != nullptr ? options.balanced->choose(random)
                                                            : options.entries[anyEntry(random)];
        const http_request request = toHttp(planned, team, left);
        nlohmann::json line {{"id", planned.id},           {"team", team.name},
                             {"service", planned.service}, {"attempt", attempt},
                             {"entry", toString(entry)},   {"idempotent", planned.idempotent},
                             {"urgent", planned.urgent},   {"sent_ms", sinceStart()},
                             {"sent_at_ms", sinceEpoch()}};
        // The entry process answers by the deadline; the margin covers the way back.
        const auto response = client.send(entry, request, left + 1s);
        const auto outcome = judge(response, line, planned);
        line["done_ms"] = sinceStart();
        line["done_at_ms"] = sinceEpoch();
        log.write(line);
        if (outcome.done) {
            if (repeatsLeft-- <= 0) {
                return;
            }
        } else {
            std::this_thread::sleep_for(std::min(outcome.retryAfter, left));
        }
    }
}

} // namespace

/// Sends requests of several teams to entry processes and logs what each caller was told.
int main(int argc, char **argv)
{
    const settings values = readSettingsOrExit(
        argc, argv,
        "Load tool: open-loop Poisson arrivals of several teams, one JSON line for each attempt.",
        {{"entries", setting_type::address_list, "", "Entry processes' callers' addresses", 0, 0,
          true},
         {"teams-file", setting_type::text, "", "JSON list of the teams' demand", 0, 0, true},
         {"seconds", setting_type::integer, "10", "Duration of the arrivals, in seconds", 1, 86400,
          false},
         {"seed", setting_type::integer, "1", "Seed of arrivals, bodies and choices", 0, 1LL << 62,
          false},
         {"deadline-ms", setting_type::integer, "3000", "Deadline of a request, in milliseconds", 1,
          600000, false},
         {"attempts", setting_type::integer, "3", "Most attempts for a request", 1, 100, false},
         {"threads", setting_type::integer, "128", "Most requests in progress", 1, 2000, false},
         {"balance", setting_type::integer, "0", "1: send to ready entry processes only", 0, 1,
          false},
         {"log", setting_type::text, "", "File for the JSON lines", 0, 0, true}});

    load_options options;
    for (const auto &text : values.list("entries")) {
        options.entries.push_back(*parseEndpoint(text));
    }
    options.teams = readTeams(values.text("teams-file"));
    options.deadline = milliseconds(values.integer("deadline-ms"));
    options.maxAttempts = static_cast<int>(values.integer("attempts"));

    const auto seed = static_cast<std::uint64_t>(values.integer("seed"));
    const auto requests =
        plan(options.teams, std::chrono::seconds(values.integer("seconds")), seed);
    const auto client = http_client::create({});
    std::optional<balancer> balanced;
    if (values.integer("balance") == 1) {
        balanced.emplace(*client, options.entries);
        options.balanced = &*balanced;
    }
    attempt_log log(values.text("log"));
    std::atomic<std::size_t> next {0};
    std::atomic<std::int64_t> startedLate {0};
    const auto start = clock_type::now();

    std::vector<std::thread> threads;
    for (std::int64_t i = 0; i < values.integer("threads"); ++i) {
        threads.emplace_back([&] {
            for (std::size_t n = next++; n < requests.size(); n = next++) {
                const auto due = start + requests[n].at;
                std::this_thread::sleep_until(due);
                // With too few threads the arrivals are no longer open-loop.
                if (clock_type::now() - due > 100ms) {
                    ++startedLate;
                }
                runOne(requests[n], options, *client, log, start, seed ^ (n * 0x9e3779b97f4a7c15U));
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    std::cout << nlohmann::json(
        {{"requests", requests.size()}, {"started_late", startedLate.load()}})
              << "\n";
    return 0;
}
