#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/http_server.h>

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <future>
#include <string>
#include <thread>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

/// Accepts connections and answers each with fixed bytes, then closes it.
class raw_server
{
public:
    explicit raw_server(std::string bytes, int connections, bool holdOpen = false)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address); // NOLINT
        socklen_t length = sizeof address;
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length); // NOLINT
        m_port = ntohs(address.sin_port);
        listen(m_socket, connections);
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
        close(m_socket);
    }
    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;

    [[nodiscard]] endpoint where() const
    {
        return {"127.0.0.1", m_port};
    }
    [[nodiscard]] int requests() const
    {
        return m_requests;
    }

private:
    void serveOne(const std::string &bytes, bool holdOpen)
    {
        const int connection = accept(m_socket, nullptr, nullptr);
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

    int m_socket;
    std::uint16_t m_port = 0;
    std::atomic<int> m_requests {0};
    std::atomic<int> m_failures {0};
    std::promise<void> m_stop;
    std::shared_future<void> m_stopped = m_stop.get_future().share();
    std::thread m_thread;
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

    /// A server that closes a reused connection makes libcurl send the request a second time. With
    /// a fresh connection for each request this must not happen.
    void freshConnectionIsNeverSentTwice()
    {
        const raw_server server("", 2);
        const auto client = http_client::create({});
        for (int i = 1; i <= 2; ++i) {
            const auto response =
                client->send(server.where(), post("x"), 10s, connection_use::fresh);
            CPPUNIT_ASSERT(!response.has_value());
            CPPUNIT_ASSERT_EQUAL(i, server.requests());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);
