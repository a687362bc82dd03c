#include "tests/support/bad_http_input.h"
#include "tests/support/raw_socket.h"

#include <ibishinge/outside/async_http_server.h>
#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/receive_budget.h>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

/// The server on the loop's thread: the same table of bad inputs as the server with threads, and
/// connections far beyond what threads would carry.
class async_http_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(async_http_server_test);
    CPPUNIT_TEST(badInputsAreRefused);
    CPPUNIT_TEST(slowSenderIsBounded);
    CPPUNIT_TEST(chunkedRequestArrivesComplete);
    CPPUNIT_TEST(waitingRequestsTakeNoThread);
    CPPUNIT_TEST(lateResponsesArriveInAnyOrder);
    CPPUNIT_TEST(secondResponseIsIgnored);
    CPPUNIT_TEST(exceptionEndsItsRequestOnly);
    CPPUNIT_TEST(callerThatLeavesIsForgotten);
    CPPUNIT_TEST(forgottenRequestIsAnswered);
    CPPUNIT_TEST(openRequestsAreAnsweredAtTheEnd);
    CPPUNIT_TEST(requestIsOpenUntilItsResponseIsWritten);
    CPPUNIT_TEST(requestThatArrivedDuringAStallIsAnswered);
    CPPUNIT_TEST(callerThatSendsAndDoesNotReadIsDisconnected);
    CPPUNIT_TEST(bodyThatDoesNotFitIsRefused);
    CPPUNIT_TEST(refusalIsSentAfterTheBody);
    CPPUNIT_TEST(requestWithoutBodyIsServedBesideUnfinishedBodies);
    CPPUNIT_TEST(newCallerIsServedBesideIdleConnections);
    CPPUNIT_TEST(bodyThatArrivedDuringAStallIsServedNearTheConnectionLimit);
    CPPUNIT_TEST(pathAndQueryAreKeptAsSent);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<io_loop> m_loop = std::move(io_loop::make().value());
    std::unique_ptr<async_http_server> m_server;
    std::thread m_thread;
    endpoint m_where;
    std::atomic<int> m_calls {0};
    std::mutex m_mutex;
    std::string m_lastBody;
    std::string m_lastTarget;
    std::vector<http_responder> m_waiting; ///< on the loop's thread

    static constexpr int maxConnections = 320;

    static async_http_server_options options()
    {
        async_http_server_options o;
        o.maxBodyBytes = 1000;
        o.connectionBytes = 8192;
        o.transferTimeout = 400ms;
        o.keepAliveTimeout = 400ms;
        o.maxConnections = maxConnections;
        o.handlerTimeout = 700ms;
        return o;
    }

    void handle(const http_request &request, const http_responder &respond)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_lastBody = request.body;
            m_lastTarget = request.path + "|" + request.query;
        }
        ++m_calls;
        if (request.path == "/wait") {
            m_waiting.push_back(respond);
        } else if (request.path == "/long") {
            std::string body; // more than socket buffers hold
            while (body.size() < 64'000'000) {
                body.append(1'000'000, 'x');
            }
            respond({200, {}, body});
        } else if (request.path == "/throw") {
            throw std::runtime_error("unexpected");
        } else {
            respond({200, {}, request.body});
        }
    }

    /// Runs `function` on the loop's thread and waits for it.
    template <class Function>
    void onLoop(Function function)
    {
        std::promise<void> done;
        m_loop->post([&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    void waitForCalls(int count)
    {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (m_calls < count && std::chrono::steady_clock::now() < end) {
            std::this_thread::yield();
        }
        CPPUNIT_ASSERT(m_calls >= count);
    }

    void waitForOpenRequests(std::size_t count)
    {
        const auto end = std::chrono::steady_clock::now() + 10s;
        std::size_t open = count + 1;
        while (open != count && std::chrono::steady_clock::now() < end) {
            onLoop([&] { open = m_server->openRequests(); });
        }
        CPPUNIT_ASSERT_EQUAL(count, open);
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

    std::string lastBody()
    {
        const std::lock_guard lock(m_mutex);
        return m_lastBody;
    }

public:
    void setUp() override
    {
        auto started = async_http_server::start(
            *m_loop, options(), [this](const http_request &request, const http_responder &respond) {
                handle(request, respond);
            });
        CPPUNIT_ASSERT(started.has_value());
        m_server = std::move(*started);
        m_where = {"127.0.0.1", m_server->port()};
        m_thread = std::thread([this] { m_loop->run(); });
    }

    void tearDown() override
    {
        m_loop->stop();
        m_thread.join();
        m_server.reset();
    }

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

    void waitingRequestsTakeNoThread()
    {
        constexpr int connections = 300;
        std::vector<std::unique_ptr<raw_socket>> clients;
        for (int i = 0; i < connections; ++i) {
            clients.push_back(std::make_unique<raw_socket>(m_where));
            clients.back()->write("POST /wait HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                                  "Content-Length: 0\r\n\r\n");
        }
        waitForCalls(connections);
        checkServes("300 waiting requests");
        onLoop([this] {
            for (const auto &respond : m_waiting) {
                respond({200, {}, "done"});
            }
        });
        for (const auto &client : clients) {
            const auto response = client->readToEnd();
            CPPUNIT_ASSERT(response && response->ends_with("done"));
        }
    }

    void lateResponsesArriveInAnyOrder()
    {
        const auto client = http_client::create({});
        const auto ask = [&](const std::string &body) {
            return std::async(std::launch::async, [&, body] {
                http_request request;
                request.method = "POST";
                request.path = "/wait";
                request.body = body;
                return client->send(m_where, request, 10s);
            });
        };
        auto first = ask("1");
        waitForCalls(1);
        auto second = ask("2");
        waitForCalls(2);
        onLoop([this] {
            m_waiting[1]({200, {}, "second"});
            m_waiting[0]({200, {}, "first"});
        });
        CPPUNIT_ASSERT_EQUAL(std::string("first"), first.get()->body);
        CPPUNIT_ASSERT_EQUAL(std::string("second"), second.get()->body);
    }

    void secondResponseIsIgnored()
    {
        raw_socket client(m_where);
        client.write("GET /wait HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        waitForCalls(1);
        onLoop([this] {
            m_waiting[0]({200, {}, "one"});
            m_waiting[0]({200, {}, "two"});
        });
        const auto response = client.readToEnd();
        CPPUNIT_ASSERT(response && response->ends_with("one"));
        checkServes("two responses");
    }

    void exceptionEndsItsRequestOnly()
    {
        raw_socket client(m_where);
        client.write("GET /throw HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        const auto response = client.readToEnd();
        CPPUNIT_ASSERT(response.has_value());
        CPPUNIT_ASSERT_EQUAL(500, statusOf(*response));
        checkServes("an exception");
    }

    void callerThatLeavesIsForgotten()
    {
        {
            raw_socket client(m_where);
            client.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
            waitForCalls(1);
        }
        onLoop([this] { m_waiting[0]({200, {}, std::string(100000, 'x')}); });
        checkServes("a caller that left");
        std::size_t open = 1;
        onLoop([&] { open = m_server->openRequests(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, open);
    }

    void forgottenRequestIsAnswered()
    {
        raw_socket client(m_where);
        client.write("GET /wait HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        const auto response = client.readToEnd();
        CPPUNIT_ASSERT(response.has_value());
        CPPUNIT_ASSERT_EQUAL(504, statusOf(*response));
    }

    void openRequestsAreAnsweredAtTheEnd()
    {
        raw_socket client(m_where);
        client.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
        waitForCalls(1);
        onLoop([this] { m_server.reset(); });
        const auto response = client.readToEnd();
        CPPUNIT_ASSERT(response.has_value());
        CPPUNIT_ASSERT_EQUAL(503, statusOf(*response));
    }

    /// Guards against a response that is lost because its process ends between the moment when it
    /// was passed on and the one when it is written.
    void requestIsOpenUntilItsResponseIsWritten()
    {
        raw_socket client(m_where);
        client.write("GET /wait HTTP/1.1\r\nHost: a\r\n");
        waitForOpenRequests(1); // its headers are not complete
        client.write("\r\n");
        waitForCalls(1);
        std::size_t open = 0;
        onLoop([&] {
            m_waiting[0]({200, {{"Connection", "close"}}, "done"});
            open = m_server->openRequests();
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, open);
        CPPUNIT_ASSERT(client.readToEnd().has_value());
        waitForOpenRequests(0);
    }

    /// Guards against a kept connection that is closed with a request in it, because a suspension
    /// of the process lasts longer than connections stay open.
    void requestThatArrivedDuringAStallIsAnswered()
    {
        raw_socket client(m_where);
        client.write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(client.read(5s).has_value());
        onLoop([&] {
            client.write("GET /second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            CPPUNIT_ASSERT(m_server->hasUnreadInput());
            const auto end = m_loop->now() + 2 * options().keepAliveTimeout;
            while (m_loop->now() < end) {
                std::this_thread::yield();
            }
        });
        const auto response = client.readToEnd();
        CPPUNIT_ASSERT(response.has_value());
        CPPUNIT_ASSERT_EQUAL(200, statusOf(*response));
    }

    /// Guards against connections that stay open for ever because more bytes wait to be read.
    void callerThatSendsAndDoesNotReadIsDisconnected()
    {
        raw_socket client(m_where);
        client.write("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
        waitForCalls(1);
        client.write("GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
        waitForOpenRequests(0);
    }

    /// Guards against a refusal without the time of a repetition, and one of a request that ran.
    void bodyThatDoesNotFitIsRefused()
    {
        receive_budget budget(1000);
        std::unique_ptr<async_http_server> server;
        auto limited = options();
        limited.budget = &budget;
        onLoop([&] {
            server = std::move(async_http_server::start(*m_loop, limited,
                                                        [this](const auto &request, auto respond) {
                                                            handle(request, respond);
                                                        })
                                   .value());
        });
        const std::string body(900, 'x');
        for (const auto &bytes :
             {post("Content-Length: 900\r\n", body),
              post("Transfer-Encoding: chunked\r\n", "384\r\n" + body + "\r\n0\r\n\r\n")}) {
            raw_socket client({"127.0.0.1", server->port()});
            client.write(bytes);
            const auto response = client.readToEnd();
            CPPUNIT_ASSERT(response.has_value());
            CPPUNIT_ASSERT_EQUAL(503, statusOf(*response));
            CPPUNIT_ASSERT(response->find("Retry-After: 1\r\n") != std::string::npos);
            CPPUNIT_ASSERT(response->find("attempt_not_run") != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(0, m_calls.load());
        }
        raw_socket client({"127.0.0.1", server->port()});
        client.write(post("Content-Length: 3\r\nConnection: close\r\n", "abc"));
        CPPUNIT_ASSERT_EQUAL(200, statusOf(client.readToEnd().value_or("")));
        std::size_t used = 1;
        onLoop([&] {
            server.reset();
            used = budget.usedBytes();
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, used);
    }

    /// Guards against a refusal that is lost, because the connection is closed and reset while the
    /// client still sends the body.
    void refusalIsSentAfterTheBody()
    {
        receive_budget budget(1000);
        std::unique_ptr<async_http_server> server;
        auto limited = options();
        limited.budget = &budget;
        limited.transferTimeout = 30s;
        std::atomic<int> refused = 0;
        onLoop([&] {
            budget.onShed([&](const shed_request &) { ++refused; });
            server = std::move(async_http_server::start(*m_loop, limited,
                                                        [this](const auto &request, auto respond) {
                                                            handle(request, respond);
                                                        })
                                   .value());
        });
        raw_socket client({"127.0.0.1", server->port()});
        client.write(post("Content-Length: 900\r\n", ""));
        std::size_t open = 0;
        for (int rounds = 0; rounds<100; rounds += refused> 0 ? 1 : 0) {
            onLoop([&] { open = server->openRequests(); });
        }
        client.write(std::string(900, 'x'));
        const auto response = client.readToEnd();
        onLoop([&] { server.reset(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, open);
        CPPUNIT_ASSERT_EQUAL(503, statusOf(response.value_or("")));
        CPPUNIT_ASSERT_EQUAL(0, m_calls.load());
    }

    /// Guards against readiness checks and look-ups that are refused while unfinished bodies fill
    /// the budget.
    void requestWithoutBodyIsServedBesideUnfinishedBodies()
    {
        receive_budget budget(1000);
        std::unique_ptr<async_http_server> server;
        auto limited = options();
        limited.budget = &budget;
        bool ended = false;
        onLoop([&] {
            server = std::move(async_http_server::start(*m_loop, limited,
                                                        [this](const auto &request, auto respond) {
                                                            handle(request, respond);
                                                        })
                                   .value());
            const auto number =
                budget.open("10.0.0.1", m_loop->now() - 2s, true, [&ended] { ended = true; });
            CPPUNIT_ASSERT(budget.charge(number, 990, m_loop->now()));
        });
        raw_socket client({"127.0.0.1", server->port()});
        client.write("GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        const auto response = client.readToEnd();
        onLoop([&] { server.reset(); });
        CPPUNIT_ASSERT_EQUAL(200, statusOf(response.value_or("")));
        CPPUNIT_ASSERT(ended);
    }

    /// Guards against a server that accepts no connection any more once its limit was reached.
    void newCallerIsServedBesideIdleConnections()
    {
        std::vector<std::unique_ptr<raw_socket>> idle(std::size_t {2} * maxConnections);
        for (auto &each : idle) {
            each = std::make_unique<raw_socket>(m_where);
        }
        checkServes("more idle connections than the limit");
    }

    /// Guards against a request that runs without an answer, because its connection is closed near
    /// the limit while the rest of its body is being read after a suspension of the process.
    void bodyThatArrivedDuringAStallIsServedNearTheConnectionLimit()
    {
        std::unique_ptr<async_http_server> server;
        auto large = options();
        large.maxBodyBytes = 1U << 20U;
        large.transferTimeout = large.keepAliveTimeout = 30s;
        onLoop([&] {
            server = std::move(
                async_http_server::start(*m_loop, large, [this](const auto &request, auto respond) {
                    handle(request, respond);
                }).value());
        });
        const endpoint where {"127.0.0.1", server->port()};
        raw_socket client(where);
        client.write(post("Content-Length: 200000\r\nConnection: close\r\n", "x"));
        instant begun;
        instant now;
        for (std::size_t open = 0; open == 0 || now <= begun;) { // it has waited longest
            onLoop([&] {
                now = m_loop->now();
                begun = open == 0 ? now : begun;
                open = server->openRequests();
            });
        }
        std::vector<std::unique_ptr<raw_socket>> idle(maxConnections - 10);
        for (auto &each : idle) {
            each = std::make_unique<raw_socket>(where);
        }
        raw_socket last(where);
        last.write("GET /last HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(last.read(10s).has_value()); // all are accepted
        std::thread writer;
        onLoop([&] {
            writer = std::thread([&client] { client.write(std::string(199'999, 'x')); });
            const auto end = m_loop->now() + 1500ms;
            while (m_loop->now() < end) {
                std::this_thread::yield();
            }
        });
        writer.join();
        const auto response = client.readToEnd();
        onLoop([&] { server.reset(); });
        CPPUNIT_ASSERT_EQUAL(200, statusOf(response.value_or("")));
    }

    void pathAndQueryAreKeptAsSent()
    {
        raw_socket client(m_where);
        client.write("GET /a%2Fb/c?x=%20y HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(client.readToEnd().has_value());
        const std::lock_guard lock(m_mutex);
        CPPUNIT_ASSERT_EQUAL(std::string("/a%2Fb/c|x=%20y"), m_lastTarget);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(async_http_server_test);
