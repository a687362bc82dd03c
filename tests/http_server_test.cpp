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

namespace {

enum class sender { ends, stays_open };

/// What a client sends and the status it must get; 0: the connection is closed without a response.
struct bad_input
{
    std::string name;
    std::string bytes;
    sender then;
    std::vector<int> allowedStatus;
};

std::string post(const std::string &headers, const std::string &body = "")
{
    return "POST /x HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body;
}

int statusOf(const std::string &response)
{
    constexpr std::size_t statusAt = 9;
    return response.starts_with("HTTP/1.1 ") ? std::stoi(response.substr(statusAt, 3)) : 0;
}

std::string manyHeaders(int count)
{
    std::string headers;
    for (int i = 0; i < count; ++i) {
        headers += "H" + std::to_string(i) + ": v\r\n";
    }
    return headers;
}

std::vector<bad_input> badInputs()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string large(2000, 'x');
    return {
        {"no HTTP", "hello\r\n\r\n", sender::stays_open, {0, 400}},
        {"unknown version", "POST /x HTTP/9.9\r\n\r\n", sender::stays_open, {0, 400, 505}},
        {"header above the bound",
         post("H: " + std::string(20000, 'h') + "\r\n"),
         sender::stays_open,
         {0, 400, 413, 431}},
        {"headers without an end",
         "POST /x HTTP/1.1\r\nH: " + std::string(100000, 'h'),
         sender::stays_open,
         {0, 400, 413, 431}},
        {"more headers than allowed",
         post(manyHeaders(300)),
         sender::stays_open,
         {0, 400, 413, 431}},
        {"body above the bound",
         post("Content-Length: 2000\r\n", large),
         sender::stays_open,
         {413}},
        {"announced body above the bound",
         post("Content-Length: 99999999999\r\n", "abc"),
         sender::stays_open,
         {413}},
        {"length above 64 bits",
         post("Content-Length: 99999999999999999999999\r\n", "abc"),
         sender::stays_open,
         {400, 413}},
        {"chunked body above the bound",
         post(chunked, "7d0\r\n" + large + "\r\n0\r\n\r\n"),
         sender::stays_open,
         {413}},
        {"length that is no number",
         post("Content-Length: abc\r\n", "abc"),
         sender::stays_open,
         {400, 411}},
        {"negative length", post("Content-Length: -3\r\n", "abc"), sender::stays_open, {400, 411}},
        {"length with a sign", post("Content-Length: +3\r\n", "abc"), sender::stays_open, {400}},
        {"empty length", post("Content-Length: \r\n", "abc"), sender::stays_open, {400, 411}},
        {"two lengths",
         post("Content-Length: 3\r\nContent-Length: 5\r\n", "abcde"),
         sender::stays_open,
         {400}},
        {"list of lengths", post("Content-Length: 3, 5\r\n", "abcde"), sender::stays_open, {400}},
        {"both framings",
         post("Content-Length: 3\r\n" + chunked, "3\r\nabc\r\n0\r\n\r\n"),
         sender::stays_open,
         {400}},
        {"both framings, other order",
         post(chunked + "Content-Length: 3\r\n", "0\r\n\r\n"),
         sender::stays_open,
         {400}},
        {"unknown transfer coding",
         post("Transfer-Encoding: gzip\r\n", "abc"),
         sender::ends,
         {400, 501}},
        {"chunked twice",
         post("Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n"),
         sender::ends,
         {400, 501}},
        {"two transfer codings",
         post("Transfer-Encoding: gzip\r\n" + chunked, "0\r\n\r\n"),
         sender::ends,
         {400, 501}},
        {"chunk size that is no number",
         post(chunked, "zz\r\nabc\r\n0\r\n\r\n"),
         sender::stays_open,
         {0, 400}},
        {"chunk longer than its size",
         post(chunked, "2\r\nabc\r\n0\r\n\r\n"),
         sender::stays_open,
         {0, 400}},
        {"cut headers", "POST /x HTTP/1.1\r\nHost: a\r\nConte", sender::ends, {0, 400}},
        {"cut body", post("Content-Length: 10\r\n", "abc"), sender::ends, {0, 400}},
        {"cut chunk", post(chunked, "a\r\nabc"), sender::ends, {0, 400}},
        {"chunked body without its end", post(chunked, "3\r\nabc\r\n"), sender::ends, {0, 400}},
        {"chunked body without any chunk", post(chunked), sender::ends, {0, 400}},
        {"half-open without a byte", "", sender::stays_open, {0, 408}},
        {"half-open in the headers", "POST /x HTTP/1.1\r\nHo", sender::stays_open, {0, 400, 408}},
        {"half-open in the body",
         post("Content-Length: 10\r\n", "abc"),
         sender::stays_open,
         {0, 400, 408}},
        {"half-open in a chunk", post(chunked, "a\r\nabc"), sender::stays_open, {0, 400, 408}},
        {"half-open between chunks",
         post(chunked, "3\r\nabc\r\n"),
         sender::stays_open,
         {0, 400, 408}},
    };
}

} // namespace

/// Guards against a part of a request being handled as the whole, against one request being passed
/// off as two, and against clients that keep a thread of the server for ever.
class http_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(badInputsAreRefused);
    CPPUNIT_TEST(slowSenderIsBounded);
    CPPUNIT_TEST(chunkedRequestArrivesComplete);
    CPPUNIT_TEST(toleratedInputIsComplete);
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
