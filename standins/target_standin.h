#pragma once

#include <ibishinge/base/civetweb_library.h>
#include <ibishinge/base/endpoint.h>
#include <ibishinge/outside/http_message.h>

#include <civetweb.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ibishinge {

struct target_standin_options
{
    endpoint listen {"127.0.0.1", 0}; ///< port 0: any free port
    int slots = 8; ///< requests that run at once
    int connections = 64; ///< requests that run or wait
    std::chrono::milliseconds runTime {5};
    std::string logFile; ///< empty: none
};

/// What goes wrong with requests that arrive from now on.
enum class target_fault : std::uint8_t {
    none,
    leave, ///< responses say that the target is leaving
    stall, ///< run, send half of the response and then nothing until the fault is changed
    fail, ///< status 500 and "<request id>:failed" at once, without a run
    cut, ///< run, send half of the response and close the connection
    late, ///< run, and answer after a delay
    wrong_length, ///< run, announce a longer body than is sent, and close the connection
    close, ///< run, and close the connection without a response
};

/// Stand-in for a target: a front process of a service with slots. Thread-safe.
///
/// - `POST /run` runs a request: waits for a slot, stays in it for the run time, or for that of the
///   header `Standin-Run-Ms`, and responds with "<request id>:<body>". The header
///   `Standin-Body-Sha256` holds the hash of the response's body.
/// - `POST /admin/fault` with `{"mode": "late", "delay_ms": 500}` sets the fault.
/// - `GET /admin/log` returns the runs and the highest concurrency.
///
/// The log file gets one JSON line at the start and one at the end of each run, so that the runs of
/// a killed process are known. `run` numbers the runs of one process from 0.
///
/// It uses CivetWeb directly, because `http_server` only sends complete responses.
class target_standin
{
public:
    /// Returns nothing if the address cannot be bound.
    [[nodiscard]] static std::unique_ptr<target_standin>
    start(const target_standin_options &options)
    {
        initializeCivetweb();
        std::unique_ptr<target_standin> standin(new target_standin(options));
        return standin->listen() ? std::move(standin) : nullptr;
    }

    ~target_standin()
    {
        if (m_context != nullptr) {
            drain();
            mg_stop(m_context);
        }
    }
    target_standin(const target_standin &) = delete;
    target_standin &operator=(const target_standin &) = delete;

    [[nodiscard]] endpoint where() const
    {
        return {m_options.listen.address, m_port};
    }

    void setFault(target_fault fault, std::chrono::milliseconds delay = {})
    {
        const std::lock_guard lock(m_mutex);
        m_fault = fault;
        m_delay = delay;
        ++m_faultChanges;
        m_changed.notify_all();
    }

    /// Says that it is leaving, rejects new requests, and waits until the others have ended and
    /// their responses are sent.
    void drain()
    {
        std::unique_lock lock(m_mutex);
        m_draining = true;
        ++m_faultChanges; // Ends stalled responses.
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return m_handlers == 0; });
    }

    [[nodiscard]] nlohmann::json log() const
    {
        const std::lock_guard lock(m_mutex);
        nlohmann::json runs = nlohmann::json::array();
        for (const auto &run : m_runs) {
            runs.push_back({{"request_id", run.requestId},
                            {"attempt_id", run.attemptId},
                            {"team", run.team},
                            {"start_ms", run.start},
                            {"end_ms", run.end},
                            {"completed", run.completed}});
        }
        return {{"runs", std::move(runs)},
                {"highest", m_highest},
                {"highest_by_team", m_highestByTeam}};
    }

private:
    struct run_record
    {
        std::string requestId;
        std::string attemptId;
        std::string team;
        std::int64_t start = 0; ///< milliseconds since 1970-01-01 UTC
        std::int64_t end = 0;
        bool completed = false; ///< false while it is running, or if it failed at once
    };

    struct run_request
    {
        std::string requestId;
        std::string attemptId;
        std::string team;
        std::string body;
        std::chrono::milliseconds runTime {0};
    };

    /// Threads beyond those of the accepted connections: rejections, and the admin interface.
    static constexpr int spareThreads = 32;

    explicit target_standin(const target_standin_options &options)
        : m_options(options)
    {
        if (!m_options.logFile.empty()) {
            m_logFile.open(m_options.logFile, std::ios::app);
        }
    }

    bool listen()
    {
        const std::string address =
            m_options.listen.address + ":" + std::to_string(m_options.listen.port);
        const std::string threads = std::to_string(m_options.connections + spareThreads);
        const std::array<const char *, 13> settings {"listening_ports",
                                                     address.c_str(),
                                                     "num_threads",
                                                     threads.c_str(),
                                                     "enable_keep_alive",
                                                     "yes",
                                                     "keep_alive_timeout_ms",
                                                     "500",
                                                     "request_timeout_ms",
                                                     "10000",
                                                     "tcp_nodelay",
                                                     "1",
                                                     nullptr};
        mg_callbacks callbacks {};
        m_context =
            mg_start(&callbacks, this, const_cast<const char **>(settings.data())); // NOLINT
        if (m_context == nullptr) {
            return false;
        }
        mg_server_port port {};
        mg_get_server_ports(m_context, 1, &port);
        m_port = static_cast<std::uint16_t>(port.port);
        mg_set_request_handler(m_context, "/", handleRequest, this);
        return true;
    }

    static int handleRequest(mg_connection *connection, void *data)
    {
        auto &self = *static_cast<target_standin *>(data);
        {
            const std::lock_guard lock(self.m_mutex);
            ++self.m_handlers;
        }
        const int status = self.handle(connection);
        const std::lock_guard lock(self.m_mutex);
        --self.m_handlers;
        self.m_changed.notify_all();
        return status;
    }

    int handle(mg_connection *connection)
    {
        const mg_request_info &info = *mg_get_request_info(connection);
        const std::string method = info.request_method;
        const std::string path = info.local_uri;
        if (method == "GET" && path == "/admin/log") {
            return send(connection, 200, {{"Content-Type", "application/json"}},
                        log().dump() + "\n");
        }
        std::string body;
        if (!readBody(connection, info.content_length, body)) {
            mg_close_connection(connection);
            return 499; // The caller is gone.
        }
        if (method == "POST" && path == "/admin/fault") {
            return postFault(connection, body);
        }
        if (method == "POST" && path == "/run") {
            run_request request = toRequest(connection, std::move(body));
            return run(connection, request);
        }
        return send(connection, 404, {}, "not found\n");
    }

    static bool readBody(mg_connection *connection, long long length, std::string &body)
    {
        std::array<char, 16384> chunk;
        while (static_cast<long long>(body.size()) < length) {
            const int count = mg_read(connection, chunk.data(), chunk.size());
            if (count <= 0) {
                return false;
            }
            body.append(chunk.data(), static_cast<std::size_t>(count));
        }
        return true;
    }

    static std::string header(mg_connection *connection, const char *name)
    {
        const char *value = mg_get_header(connection, name);
        return value != nullptr ? value : "";
    }

    run_request toRequest(mg_connection *connection, std::string body) const
    {
        run_request request;
        request.requestId = header(connection, "Ibishinge-Request-Id");
        request.attemptId = header(connection, "Ibishinge-Attempt-Id");
        request.team = header(connection, "Ibishinge-Team");
        request.body = std::move(body);
        request.runTime = m_options.runTime;
        const std::string runTime = header(connection, "Standin-Run-Ms");
        unsigned milliseconds = 0;
        if (std::from_chars(runTime.data(), runTime.data() + runTime.size(), milliseconds).ec
            == std::errc {}) {
            request.runTime = std::chrono::milliseconds(milliseconds);
        }
        return request;
    }

    int postFault(mg_connection *connection, const std::string &body)
    {
        static const std::map<std::string, target_fault, std::less<>> modes {
            {"none", target_fault::none},
            {"leave", target_fault::leave},
            {"stall", target_fault::stall},
            {"fail", target_fault::fail},
            {"cut", target_fault::cut},
            {"late", target_fault::late},
            {"wrong_length", target_fault::wrong_length},
            {"close", target_fault::close},
        };
        const auto document = nlohmann::json::parse(body, nullptr, false);
        if (!document.is_object() || !document.contains("mode") || !document["mode"].is_string()) {
            return send(connection, 400, {}, "expected an object with mode\n");
        }
        const auto mode = modes.find(document["mode"].get<std::string>());
        if (mode == modes.end()) {
            return send(connection, 400, {}, "unknown mode\n");
        }
        const auto delay = document.find("delay_ms");
        setFault(mode->second,
                 std::chrono::milliseconds(delay != document.end() && delay->is_number_unsigned()
                                               ? delay->get<std::uint32_t>()
                                               : 0));
        return send(connection, 200, {}, "ok\n");
    }

    int run(mg_connection *connection, const run_request &request)
    {
        std::unique_lock lock(m_mutex);
        if (m_draining || m_inProgress >= m_options.connections) {
            auto headers = stateHeaders();
            headers.push_back({"Ibishinge-Not-Run", "true"});
            lock.unlock();
            return send(connection, 503, headers, "not run\n");
        }
        const target_fault fault = m_fault;
        const std::chrono::milliseconds delay =
            fault == target_fault::late ? m_delay : std::chrono::milliseconds(0);
        if (fault == target_fault::fail) {
            const std::int64_t now = wallMilliseconds();
            m_runs.push_back({request.requestId, request.attemptId, request.team, now, now, false});
            writeStart(m_runs.size() - 1);
            writeEnd(m_runs.size() - 1);
            const auto headers = stateHeaders();
            lock.unlock();
            return send(connection, 500, headers, request.requestId + ":failed\n");
        }
        ++m_inProgress;
        const std::uint64_t ticket = m_nextTicket++;
        m_changed.wait(lock, [&] { return m_running < m_options.slots && ticket == m_serving; });
        ++m_serving;
        ++m_running;
        int &teamRunning = m_runningByTeam[request.team];
        ++teamRunning;
        m_highest = std::max(m_highest, m_running);
        int &teamHighest = m_highestByTeam[request.team];
        teamHighest = std::max(teamHighest, teamRunning);
        const std::size_t index = m_runs.size();
        m_runs.push_back(
            {request.requestId, request.attemptId, request.team, wallMilliseconds(), 0, false});
        writeStart(index);
        m_changed.notify_all();
        const auto until = std::chrono::steady_clock::now() + request.runTime + delay;
        m_changed.wait_until(lock, until,
                             [&] { return std::chrono::steady_clock::now() >= until; });
        m_runs[index].end = wallMilliseconds();
        m_runs[index].completed = true;
        writeEnd(index);
        --m_running;
        --teamRunning;
        --m_inProgress;
        const auto headers = stateHeaders();
        const std::uint64_t changes = m_faultChanges;
        m_changed.notify_all();
        lock.unlock();
        return respond(connection, fault, headers, request.requestId + ":" + request.body, changes);
    }

    /// Precondition: the mutex is held.
    void writeStart(std::size_t index)
    {
        if (m_logFile.is_open()) {
            const run_record &run = m_runs[index];
            m_logFile << nlohmann::json {{"run", index},
                                         {"request_id", run.requestId},
                                         {"attempt_id", run.attemptId},
                                         {"team", run.team},
                                         {"start_ms", run.start}}
                      << std::endl; // Flushed: the process may be killed at any moment.
        }
    }

    /// Precondition: the mutex is held.
    void writeEnd(std::size_t index)
    {
        if (m_logFile.is_open()) {
            const run_record &run = m_runs[index];
            m_logFile << nlohmann::json {{"run", index},
                                         {"end_ms", run.end},
                                         {"completed", run.completed}}
                      << std::endl;
        }
    }

    int respond(mg_connection *connection, target_fault fault, std::vector<http_header> headers,
                const std::string &body, std::uint64_t changes)
    {
        headers.push_back({"Content-Type", "application/octet-stream"});
        headers.push_back({"Standin-Body-Sha256", sha256(body)});
        const std::string half = body.substr(0, body.size() / 2);
        switch (fault) {
        case target_fault::none:
        case target_fault::leave:
        case target_fault::fail:
        case target_fault::late:
            return send(connection, 200, headers, body);
        case target_fault::stall: {
            write(connection, head(200, headers, body.size()) + half);
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [&] { return m_faultChanges != changes; });
            break;
        }
        case target_fault::cut:
            write(connection, head(200, headers, body.size()) + half);
            break;
        case target_fault::wrong_length:
            write(connection, head(200, headers, body.size() + 10) + body);
            break;
        case target_fault::close:
            break;
        }
        mg_close_connection(connection);
        return 200;
    }

    /// Precondition: the mutex is held.
    [[nodiscard]] std::vector<http_header> stateHeaders() const
    {
        std::vector<http_header> headers {{"Ibishinge-Load", std::to_string(m_inProgress)}};
        if (m_draining || m_fault == target_fault::leave) {
            headers.push_back({"Ibishinge-Leaving", "true"});
        }
        if (m_draining) {
            headers.push_back({"Connection", "close"});
        }
        return headers;
    }

    static std::string head(int status, const std::vector<http_header> &headers, std::size_t length)
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
        for (const auto &field : headers) {
            text += field.name + ": " + field.value + "\r\n";
        }
        return text + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
    }

    static void write(mg_connection *connection, const std::string &bytes)
    {
        mg_write(connection, bytes.data(), bytes.size());
    }

    static int send(mg_connection *connection, int status, const std::vector<http_header> &headers,
                    const std::string &body)
    {
        write(connection, head(status, headers, body.size()) + body);
        return status;
    }

    static std::int64_t wallMilliseconds()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    static std::string sha256(const std::string &text)
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
        unsigned length = 0;
        EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
        constexpr std::string_view digits = "0123456789abcdef";
        std::string hexadecimal;
        for (unsigned i = 0; i < length; ++i) {
            hexadecimal += digits[digest[i] >> 4U];
            hexadecimal += digits[digest[i] & 15U];
        }
        return hexadecimal;
    }

    target_standin_options m_options;
    mg_context *m_context = nullptr;
    std::uint16_t m_port = 0;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    target_fault m_fault = target_fault::none;
    std::chrono::milliseconds m_delay {0};
    std::uint64_t m_faultChanges = 0;
    bool m_draining = false;
    int m_handlers = 0;
    int m_inProgress = 0; ///< running and waiting
    int m_running = 0;
    std::uint64_t m_nextTicket = 0; ///< requests start in the order of their arrival
    std::uint64_t m_serving = 0;
    std::map<std::string, int> m_runningByTeam;
    int m_highest = 0;
    std::map<std::string, int> m_highestByTeam;
    std::vector<run_record> m_runs;
    std::ofstream m_logFile;
};

} // namespace ibishinge
