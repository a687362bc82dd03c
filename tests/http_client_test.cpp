#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/http_server.h>

#include "tests/support/raw_socket.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

/// Accepts connections and answers each with fixed bytes, then closes it.
class raw_server
{
public:
    explicit raw_server(std::string bytes, int connections, bool holdOpen = false)
    {
        listen(m_socket.descriptor(), connections);
        m_thread = std::thread([this, bytes = std::move(bytes), connections, holdOpen] {
            for (int i = 0; i < connections; ++i) {
                serveOne(bytes, holdOpen);
            }
        });
    }

    ~raw_server()
    {
        m_stop.set_value();
        m_thread.join();
    }
    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;

    [[nodiscard]] endpoint where() const
    {
        return m_socket.where();
    }
    [[nodiscard]] int requests() const
    {
        return m_requests;
    }

private:
    void serveOne(const std::string &bytes, bool holdOpen)
    {
        const int connection = accept(m_socket.descriptor(), nullptr, nullptr);
        std::array<char, 4096> buffer {};
        if (read(connection, buffer.data(), buffer.size()) > 0) {
            ++m_requests;
        }
        if (write(connection, bytes.data(), bytes.size()) < 0) {
            ++m_failures;
        }
        if (holdOpen) {
            m_stopped.wait();
        }
        close(connection);
    }

    bound_socket m_socket;
    std::atomic<int> m_requests {0};
    std::atomic<int> m_failures {0};
    std::promise<void> m_stop;
    std::shared_future<void> m_stopped = m_stop.get_future().share();
    std::thread m_thread;
};

/// Answers the first requests on each connection completely, and closes it without a response when
/// the next one has arrived. Counts the requests by their body.
class closing_server
{
public:
    explicit closing_server(int answered)
        : m_answered(answered)
    {
        listen(m_socket.descriptor(), 64);
        m_acceptor = std::thread([this] { acceptAll(); });
    }

    ~closing_server()
    {
        shutdown(m_socket.descriptor(), SHUT_RDWR);
        m_acceptor.join();
        for (auto &connection : m_connections) {
            shutdown(connection.descriptor, SHUT_RDWR);
            connection.thread.join();
            close(connection.descriptor);
        }
    }
    closing_server(const closing_server &) = delete;
    closing_server &operator=(const closing_server &) = delete;

    [[nodiscard]] endpoint where() const
    {
        return m_socket.where();
    }
    [[nodiscard]] int received(const std::string &body) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_received.find(body);
        return found != m_received.end() ? found->second : 0;
    }
    [[nodiscard]] std::size_t connections() const
    {
        const std::lock_guard lock(m_mutex);
        return m_connections.size();
    }

private:
    struct served_connection
    {
        int descriptor;
        std::thread thread;
    };

    void acceptAll()
    {
        while (true) {
            const int descriptor = accept(m_socket.descriptor(), nullptr, nullptr);
            if (descriptor < 0) {
                return;
            }
            const std::lock_guard lock(m_mutex);
            m_connections.push_back(
                {descriptor, std::thread([this, descriptor] { serve(descriptor); })});
        }
    }

    void serve(int descriptor)
    {
        for (int i = 0;; ++i) {
            const auto body = readRequest(descriptor);
            if (!body) {
                return;
            }
            {
                const std::lock_guard lock(m_mutex);
                ++m_received[*body];
            }
            if (i == m_answered) {
                shutdown(descriptor, SHUT_RDWR);
                return;
            }
            const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            if (send(descriptor, response.data(), response.size(), MSG_NOSIGNAL) < 0) {
                return;
            }
        }
    }

    /// Returns the body of the next request, or nothing if the client has closed the connection.
    static std::optional<std::string> readRequest(int descriptor)
    {
        std::string bytes;
        std::array<char, 4096> buffer {};
        while (true) {
            const auto end = bytes.find("\r\n\r\n");
            const auto field = bytes.find("Content-Length: ");
            if (end != std::string::npos && field < end) {
                const std::size_t length = std::stoul(bytes.substr(field + 16));
                if (bytes.size() >= end + 4 + length) {
                    return bytes.substr(end + 4, length);
                }
            }
            const auto count = read(descriptor, buffer.data(), buffer.size());
            if (count <= 0) {
                return std::nullopt;
            }
            bytes.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }

    int m_answered;
    bound_socket m_socket;
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_received;
    std::vector<served_connection> m_connections;
    std::thread m_acceptor;
};

http_request post(const std::string &body)
{
    http_request request;
    request.method = "POST";
    request.body = body;
    return request;
}

} // namespace

/// Guards against a part of a response being passed off as the whole, and against requests that are
/// sent twice.
class http_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(completeResponseIsReturned);
    CPPUNIT_TEST(badResponsesAreErrors);
    CPPUNIT_TEST(stalledBodyTimesOut);
    CPPUNIT_TEST(refusedConnectionIsUnavailable);
    CPPUNIT_TEST(freshConnectionIsNeverSentTwice);
    CPPUNIT_TEST(freshConnectionsStayApart);
    CPPUNIT_TEST(closedFreshConnectionIsReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void completeResponseIsReturned()
    {
        const auto server = http_server::start(
            {}, [](const http_request &r) { return jsonResponse(201, "echo " + r.body); });
        CPPUNIT_ASSERT(server.has_value());
        const auto client = http_client::create({});
        const auto response = client->send({"127.0.0.1", (*server)->port()}, post("x"), 10s);
        CPPUNIT_ASSERT(response.has_value());
        CPPUNIT_ASSERT_EQUAL(201, response->status);
        CPPUNIT_ASSERT_EQUAL(std::string("echo x"), response->body);
    }

    void badResponsesAreErrors()
    {
        struct row
        {
            const char *name;
            const char *bytes;
        };
        const std::array<row, 6> rows {{
            {"body shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"},
            {"chunked body without its end",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"},
            {"chunk shorter than its length",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello"},
            {"no length", "HTTP/1.1 200 OK\r\n\r\nabc"},
            {"no HTTP", "hello\r\n"},
            {"no response", ""},
        }};
        for (const auto &row : rows) {
            const raw_server server(row.bytes, 1);
            const auto client = http_client::create({});
            const auto response = client->send(server.where(), post("x"), 10s);
            CPPUNIT_ASSERT_MESSAGE(row.name, !response.has_value());
            CPPUNIT_ASSERT_MESSAGE(row.name, response.error().kind == error_kind::target_failed);
        }
    }

    void stalledBodyTimesOut()
    {
        const raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", 1, true);
        const auto client = http_client::create({});
        const auto response = client->send(server.where(), post("x"), 100ms);
        CPPUNIT_ASSERT(!response.has_value());
        CPPUNIT_ASSERT(response.error().kind == error_kind::target_timeout);
    }

    void refusedConnectionIsUnavailable()
    {
        endpoint where;
        {
            const auto server =
                http_server::start({}, [](const http_request &) { return http_response {}; });
            where = {"127.0.0.1", (*server)->port()};
        }
        const auto client = http_client::create({});
        const auto response = client->send(where, post("x"), 1s);
        CPPUNIT_ASSERT(!response.has_value());
        CPPUNIT_ASSERT(response.error().kind == error_kind::unavailable);
    }

    /// A server that closes a reused connection without a response makes libcurl send the request
    /// a second time. With a fresh connection for each request this must not happen, whatever
    /// connections are open. The last row shows that the hazard is real and that this test sees it.
    void freshConnectionIsNeverSentTwice()
    {
        struct row
        {
            const char *name;
            connection_use second;
            int received;
            std::size_t connections;
        };
        const std::array<row, 2> rows {{
            {"fresh", connection_use::fresh, 1, 2},
            {"reuse allowed", connection_use::reuse_allowed, 2, 2},
        }};
        for (const auto &row : rows) {
            closing_server server(1);
            const auto client = http_client::create({});
            const auto first =
                client->send(server.where(), post("first"), 10s, connection_use::reuse_allowed);
            CPPUNIT_ASSERT_MESSAGE(row.name, first.has_value());
            const auto second = client->send(server.where(), post("second"), 10s, row.second);
            CPPUNIT_ASSERT_MESSAGE(row.name, second.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 1, server.received("first"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.received, server.received("second"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.connections, server.connections());
        }
    }

    /// Many requests on connections of their own, while reusable ones are open.
    void freshConnectionsStayApart()
    {
        closing_server server(1);
        const auto client = http_client::create({});
        for (int i = 0; i < 20; ++i) {
            const std::string body = "request " + std::to_string(i);
            CPPUNIT_ASSERT(
                client->send(server.where(), post(body), 10s, connection_use::fresh).has_value());
            CPPUNIT_ASSERT_EQUAL(1, server.received(body));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), server.connections());
    }

    /// A fresh connection that is closed without a response may have run the request.
    void closedFreshConnectionIsReported()
    {
        closing_server server(0);
        const auto client = http_client::create({});
        for (const char *body : {"first", "second"}) {
            const auto response =
                client->send(server.where(), post(body), 10s, connection_use::fresh);
            CPPUNIT_ASSERT(!response.has_value());
            CPPUNIT_ASSERT(response.error().kind == error_kind::target_failed);
            CPPUNIT_ASSERT_EQUAL(1, server.received(body));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);
