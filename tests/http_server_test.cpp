#include "tests/support/bad_http_input.h"
#include "tests/support/raw_socket.h"

#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/http_server.h>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

/// Guards against a part of a request being handled as the whole, against one request being passed
/// off as two, and against clients that keep a thread of the server for ever.
class http_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(badInputsAreRefused);
    CPPUNIT_TEST(slowSenderIsBounded);
    CPPUNIT_TEST(chunkedRequestArrivesComplete);
    CPPUNIT_TEST(toleratedInputIsComplete);
    CPPUNIT_TEST(unfinishedBodiesAreBoundedTogether);
    CPPUNIT_TEST(responsesAreSentWhenTheServerStops);
    CPPUNIT_TEST_SUITE_END();

public:
    void badInputsAreRefused()
    {
        std::string problems;
        for (const auto &input : badInputs()) {
            m_calls = 0;
            raw_socket client(m_where);
            CPPUNIT_ASSERT(client.connected());
            client.write(input.bytes);
            if (input.then == sender::ends) {
                client.endWriting();
            }
            const auto response = client.readToEnd();
            const int status = response ? statusOf(*response) : -1;
            bool allowed = false;
            for (const int expected : input.allowedStatus) {
                allowed = allowed || status == expected;
            }
            if (!allowed) {
                problems += input.name + ": status " + std::to_string(status) + "\n";
            }
            if (m_calls != 0) {
                problems += input.name + ": handler called with '" + lastBody() + "'\n";
            }
            checkServes(input.name);
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), problems);
    }

    /// A sender that stays just below the timeout of each read must not hold a thread for ever.
    void slowSenderIsBounded()
    {
        const std::vector<std::pair<std::string, std::string>> rows {
            {"headers", "POST /x HTTP/1.1\r\nH: "},
            {"body", post("Content-Length: 900\r\n")},
            {"chunk", post("Transfer-Encoding: chunked\r\n", "384\r\n")},
        };
        for (const auto &[name, bytes] : rows) {
            m_calls = 0;
            raw_socket client(m_where);
            client.write(bytes);
            const auto begin = std::chrono::steady_clock::now();
            bool closed = false;
            while (!closed && std::chrono::steady_clock::now() - begin < 6s) {
                closed = !client.write("x") || client.read(100ms).has_value();
            }
            CPPUNIT_ASSERT_MESSAGE(name, closed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, m_calls.load());
            checkServes(name);
        }
    }

    void chunkedRequestArrivesComplete()
    {
        raw_socket client(m_where);
        client.write(post("Transfer-Encoding: chunked\r\nConnection: close\r\n",
                          "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"));
        const auto response = client.readToEnd();
        CPPUNIT_ASSERT(response.has_value());
        CPPUNIT_ASSERT_EQUAL(200, statusOf(*response));
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), lastBody());
    }

    /// CivetWeb accepts these. A body ends with its chunk of size 0 (RFC 9112, section 8), and a
    /// space before the colon hides no length from it; whatever is handled must be complete.
    void toleratedInputIsComplete()
    {
        for (const auto &bytes : {post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n"),
                                  post("Content-Length : 3\r\n", "abc")}) {
            m_calls = 0;
            raw_socket client(m_where);
            client.write(bytes);
            client.endWriting();
            CPPUNIT_ASSERT(client.readToEnd().has_value());
            CPPUNIT_ASSERT(m_calls <= 1);
            if (m_calls == 1) {
                CPPUNIT_ASSERT_EQUAL(std::string("abc"), lastBody());
            }
            checkServes(bytes);
        }
    }

    /// Guards against a graceful stop that cuts the responses in progress.
    /// Guards against threads that hold a large unfinished body each. A bound on all bodies would
    /// refuse ordinary callers too if it kept nothing for them.
    void unfinishedBodiesAreBoundedTogether()
    {
        constexpr int crowd = 40; // of 1 MB each, for which there are 21 MB
        auto limited = options();
        limited.threads = crowd + 8;
        limited.maxBodyBytes = 1U << 20U;
        limited.receiveTimeout = 60s;
        const auto server = std::move(
            http_server::start(limited, [](const auto &) { return http_response {}; }).value());
        const endpoint where {"127.0.0.1", server->port()};
        std::vector<std::unique_ptr<raw_socket>> clients;
        int refused = 0;
        for (int i = 0; i < crowd; ++i) {
            clients.push_back(std::make_unique<raw_socket>(where));
            clients.back()->write(post("Content-Length: 1000000\r\n"));
        }
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (refused < crowd - 22 && std::chrono::steady_clock::now() < end) {
            for (const auto &client : clients) {
                const auto response = client->read(10ms);
                refused += response && statusOf(*response) == 503 ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(refused >= crowd - 22);
        raw_socket caller(where);
        caller.write(post("Content-Length: 3\r\nConnection: close\r\n", "abc"));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(caller.readToEnd().value_or("")));
    }

    void responsesAreSentWhenTheServerStops()
    {
        std::promise<void> entered;
        std::promise<void> stopping;
        auto started = http_server::start({}, [&](const http_request &request) {
            if (request.path == "/probe") {
                return http_response {};
            }
            entered.set_value();
            stopping.get_future().wait();
            return http_response {200, {}, std::string(100000, 'x')};
        });
        CPPUNIT_ASSERT(started.has_value());
        const endpoint where {"127.0.0.1", (*started)->port()};
        const auto client = http_client::create({});
        auto response = std::async(std::launch::async,
                                   [&] { return client->send(where, http_request {}, 20s); });
        entered.get_future().wait();
        auto stopped = std::async(std::launch::async, [&] { started->reset(); });
        // The handler returns when the server rejects requests, the sign that it has begun to stop.
        http_request probe;
        probe.path = "/probe";
        int status = 0;
        while (status != 503) {
            const auto probed = client->send(where, probe, 20s);
            CPPUNIT_ASSERT_MESSAGE(probed ? "" : describe(probed.error()), probed.has_value());
            status = probed->status;
        }
        stopping.set_value();
        const auto received = response.get();
        stopped.get();
        CPPUNIT_ASSERT_MESSAGE(received ? "" : describe(received.error()), received.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(100000), received->body.size());
    }

private:
    static http_server_options options()
    {
        http_server_options o;
        o.threads = 4;
        o.maxBodyBytes = 1000;
        o.maxHeaderBytes = 8192;
        o.receiveTimeout = 400ms;
        o.keepAliveTimeout = 400ms;
        return o;
    }

    void checkServes(const std::string &name)
    {
        const auto client = http_client::create({});
        http_request request;
        request.method = "POST";
        request.body = "after " + name;
        const auto response = client->send(m_where, request, 10s);
        CPPUNIT_ASSERT_MESSAGE(name, response.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, request.body, response->body);
    }

    void record(const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        m_lastBody = body;
        ++m_calls;
    }

    std::string lastBody()
    {
        const std::lock_guard lock(m_mutex);
        return m_lastBody;
    }

    std::atomic<int> m_calls {0};
    std::mutex m_mutex;
    std::string m_lastBody;
    std::unique_ptr<http_server> m_server =
        std::move(http_server::start(options(), [this](const http_request &request) {
                      record(request.body);
                      return http_response {200, {}, request.body};
                  }).value());
    endpoint m_where {"127.0.0.1", m_server->port()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);
