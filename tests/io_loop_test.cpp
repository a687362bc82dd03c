#include "tests/support/raw_socket.h"

#include <ibishinge/base/boot_clock.h>
#include <ibishinge/outside/http_server.h>
#include <ibishinge/outside/io_loop.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <optional>
#include <thread>

#include <poll.h>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

std::string addressOf(const bound_socket &socket)
{
    return "127.0.0.1:" + std::to_string(socket.where().port);
}

} // namespace

/// The event loop and its HTTP client, over loopback connections.
class io_loop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(io_loop_test);
    CPPUNIT_TEST(manyRequestsAtOnce);
    CPPUNIT_TEST(silentServerTimesOutWithAnUnknownOutcome);
    CPPUNIT_TEST(refusedConnectionCertainlyHadNoEffect);
    CPPUNIT_TEST(requestOnAClosedConnectionIsNotSentAgain);
    CPPUNIT_TEST(responseThatArrivedDuringAStallIsNotTimedOut);
    CPPUNIT_TEST(inputIsReadBeforeTimersThatRanOutDuringAStall);
    CPPUNIT_TEST(timersRunInOrder);
    CPPUNIT_TEST(postedFunctionsRunOnTheLoop);
    CPPUNIT_TEST(bodyAndHeadersArrive);
    CPPUNIT_TEST(responseThatKeepsArrivingIsReceivedWhole);
    CPPUNIT_TEST(responseThatStopsArrivingTimesOut);
    CPPUNIT_TEST(responseThatTricklesForEverTimesOut);
    CPPUNIT_TEST(requestThatKeepsBeingReadIsSentWhole);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<io_loop> m_loop;

    /// Runs the loop until `done` or the limit.
    template <class Function>
    bool runUntil(Function done, std::chrono::milliseconds limit)
    {
        const auto end = m_loop->now() + limit;
        std::function<void()> check = [&] {
            if (done() || m_loop->now() >= end) {
                m_loop->stop();
            } else {
                m_loop->after(2ms, check);
            }
        };
        m_loop->after(0ms, check);
        m_loop->run();
        return done();
    }

    /// Sends a request whose response arrives while the loop stands still, as in a suspension of
    /// the process, until the request's timeout has passed. `beforeStall` runs just before that.
    std::optional<result<http_response>> sendBeforeStall(std::chrono::milliseconds timeout,
                                                         const std::function<void()> &beforeStall)
    {
        const bound_socket listener;
        CPPUNIT_ASSERT_EQUAL(0, listen(listener.descriptor(), 16));
        std::atomic<bool> received = false;
        std::atomic<bool> stalled = false;
        std::atomic<bool> answered = false;
        std::thread server([&] {
            raw_socket peer(accept(listener.descriptor(), nullptr, nullptr));
            received = !peer.read(5s).value_or("").empty();
            while (!stalled) {
                std::this_thread::yield();
            }
            peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            answered = true;
            static_cast<void>(peer.read(5s)); // until the loop has closed the connection
        });
        std::optional<result<http_response>> outcome;
        m_loop->send({"POST", addressOf(listener), "/", {}, "order", timeout},
                     [&](const result<http_response> &response) { outcome = response; });
        std::function<void()> stallOnceReceived = [&] {
            if (!received) {
                m_loop->after(1ms, stallOnceReceived);
                return;
            }
            beforeStall();
            stalled = true;
            const auto end = m_loop->now() + 2 * timeout;
            while (!answered || m_loop->now() < end) {
                std::this_thread::yield();
            }
        };
        m_loop->after(0ms, stallOnceReceived);
        runUntil([&] { return outcome.has_value(); }, 10s);
        m_loop.reset();
        server.join();
        return outcome;
    }

    struct timed_outcome
    {
        result<http_response> response;
        std::chrono::milliseconds duration {0};
    };

    /// Sends a request to a server on a thread of its own, which runs `serve` with the connection.
    timed_outcome exchangeWith(outgoing_request request,
                               const std::function<void(raw_socket &)> &serve)
    {
        const bound_socket listener;
        CPPUNIT_ASSERT_EQUAL(0, listen(listener.descriptor(), 16));
        std::thread server([&] {
            raw_socket peer(accept(listener.descriptor(), nullptr, nullptr));
            serve(peer);
            while (!peer.read(5s).value_or("").empty()) { }
        });
        request.address = addressOf(listener);
        const auto begin = m_loop->now();
        std::optional<timed_outcome> outcome;
        m_loop->send(request, [&](const result<http_response> &response) {
            outcome = timed_outcome {response, m_loop->now() - begin};
        });
        const bool ended = runUntil([&] { return outcome.has_value(); }, 20s);
        m_loop.reset();
        server.join();
        CPPUNIT_ASSERT(ended);
        return *outcome;
    }

    /// Responds with a body of `announced` bytes, of which `sent` are sent, one each `pause`.
    /// Returns the longest time between two of them, which is longer on a busy machine.
    static std::chrono::milliseconds respondSlowly(raw_socket &peer, int announced, int sent,
                                                   std::chrono::milliseconds pause)
    {
        static_cast<void>(peer.read(5s));
        peer.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n");
        std::chrono::milliseconds longest {0};
        auto before = boot_clock::now();
        for (int i = 0; i < sent && peer.write("x"); ++i) {
            std::this_thread::sleep_for(pause);
            const auto now = boot_clock::now();
            longest = std::max(longest, now - before);
            before = now;
        }
        return longest;
    }

    static std::unique_ptr<http_server> serve(http_handler handler)
    {
        http_server_options options;
        options.address = "127.0.0.1";
        options.threads = 16;
        auto server = http_server::start(options, std::move(handler));
        CPPUNIT_ASSERT(server.has_value());
        return std::move(*server);
    }

public:
    void setUp() override
    {
        auto made = io_loop::make();
        CPPUNIT_ASSERT(made.has_value());
        m_loop = std::move(*made);
    }

    void manyRequestsAtOnce()
    {
        const auto server = serve([](const http_request &request) {
            return http_response {200, {}, request.body};
        });
        const auto address = "127.0.0.1:" + std::to_string(server->port());
        int answered = 0;
        constexpr int requests = 60;
        for (int i = 0; i < requests; ++i) {
            m_loop->send({"POST", address, "/echo", {}, std::to_string(i), 5000ms},
                         [&answered, i](const result<http_response> &response) {
                             answered += response && response->body == std::to_string(i) ? 1 : 0;
                         });
        }
        CPPUNIT_ASSERT(runUntil([&] { return answered == requests; }, 10s));
    }

    void silentServerTimesOutWithAnUnknownOutcome()
    {
        const bound_socket silent; // the system accepts, nobody answers
        CPPUNIT_ASSERT_EQUAL(0, listen(silent.descriptor(), 16));
        std::optional<error> failure;
        m_loop->send({"POST", addressOf(silent), "/", {}, "order", 150ms},
                     [&](const result<http_response> &response) { failure = response.error(); });
        CPPUNIT_ASSERT(runUntil([&] { return failure.has_value(); }, 5s));
        CPPUNIT_ASSERT(failure->kind == error_kind::outcome_unknown);
    }

    void refusedConnectionCertainlyHadNoEffect()
    {
        const bound_socket gone; // never listens
        std::optional<error> failure;
        m_loop->send({"POST", addressOf(gone), "/", {}, "order", 1000ms},
                     [&](const result<http_response> &response) { failure = response.error(); });
        CPPUNIT_ASSERT(runUntil([&] { return failure.has_value(); }, 5s));
        CPPUNIT_ASSERT(failure->kind == error_kind::unavailable);
        CPPUNIT_ASSERT_EQUAL(ECONNREFUSED, failure->systemError);
    }

    /// Guards against a request that is carried out and whose outcome is then taken from a second
    /// copy: the server carries out a request on a kept connection, closes the connection without a
    /// response, and rejects whatever comes on another one.
    void requestOnAClosedConnectionIsNotSentAgain()
    {
        struct row
        {
            std::string method;
            int copies;
            bool answered;
        };
        for (const auto &each : {row {"POST", 1, false}, {"DELETE", 1, false}, {"GET", 2, true}}) {
            const bound_socket listener;
            CPPUNIT_ASSERT_EQUAL(0, listen(listener.descriptor(), 16));
            std::atomic<int> copies = 0;
            std::thread server([&] {
                const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                {
                    raw_socket first(accept(listener.descriptor(), nullptr, nullptr));
                    static_cast<void>(first.read(5s));
                    first.write(ok);
                    copies += first.read(5s).value_or("").empty() ? 0 : 1;
                }
                pollfd waiting {listener.descriptor(), POLLIN, 0};
                if (poll(&waiting, 1, 500) == 1) {
                    raw_socket second(accept(listener.descriptor(), nullptr, nullptr));
                    copies += second.read(5s).value_or("").empty() ? 0 : 1;
                    second.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                }
            });
            const outgoing_request request {each.method, addressOf(listener), "/", {}, "", 3000ms};
            std::optional<result<http_response>> outcome;
            m_loop->send(request, [&](const result<http_response> &) {
                m_loop->send(request,
                             [&](const result<http_response> &response) { outcome = response; });
            });
            const bool ended = runUntil([&] { return outcome.has_value(); }, 5s);
            server.join();
            setUp(); // a loop runs once
            CPPUNIT_ASSERT_MESSAGE(each.method, ended);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.method, each.copies, copies.load());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.method, each.answered, outcome->has_value());
            CPPUNIT_ASSERT(each.answered || outcome->error().kind == error_kind::outcome_unknown);
        }
    }

    /// Guards against a response that is taken for a lost one, because a suspension of the process
    /// lasts longer than the timeout of the request.
    void responseThatArrivedDuringAStallIsNotTimedOut()
    {
        const auto outcome = sendBeforeStall(300ms, [] {});
        CPPUNIT_ASSERT(outcome.has_value());
        CPPUNIT_ASSERT(outcome->has_value());
        CPPUNIT_ASSERT_EQUAL(200, (*outcome)->status);
    }

    /// Guards against decisions of timers that do not know of what arrived in the meantime.
    void inputIsReadBeforeTimersThatRanOutDuringAStall()
    {
        std::optional<bool> known;
        bool handled = false;
        const bound_socket listener;
        CPPUNIT_ASSERT_EQUAL(0, listen(listener.descriptor(), 16));
        m_loop->addReadable(listener.descriptor(), [&] {
            m_loop->removeReadable(listener.descriptor());
            handled = true;
        });
        std::optional<raw_socket> client;
        m_loop->after(0ms, [&] {
            m_loop->after(20ms, [&] { known = handled; });
            client.emplace(listener.where());
            const auto end = m_loop->now() + 100ms;
            while (m_loop->now() < end) {
                std::this_thread::yield();
            }
        });
        CPPUNIT_ASSERT(runUntil([&] { return known.has_value(); }, 5s));
        CPPUNIT_ASSERT(*known);
    }

    void timersRunInOrder()
    {
        std::string order;
        m_loop->after(30ms, [&] { order += "c"; });
        m_loop->after(10ms, [&] { order += "a"; });
        m_loop->after(20ms, [&] { order += "b"; });
        CPPUNIT_ASSERT(runUntil([&] { return order.size() == 3; }, 5s));
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), order);
    }

    void postedFunctionsRunOnTheLoop()
    {
        std::thread::id ranOn;
        std::thread other([&] { m_loop->post([&] { ranOn = std::this_thread::get_id(); }); });
        CPPUNIT_ASSERT(runUntil([&] { return ranOn != std::thread::id(); }, 5s));
        other.join();
        CPPUNIT_ASSERT(ranOn == std::this_thread::get_id());
    }

    void bodyAndHeadersArrive()
    {
        const auto server = serve([](const http_request &request) {
            const bool complete = request.method == "POST" && request.path == "/order"
                                  && findHeader(request.headers, "Duty-Holder") == "me";
            return http_response {complete ? 200 : 400, {}, request.body};
        });
        const auto address = "127.0.0.1:" + std::to_string(server->port());
        std::optional<http_response> answer;
        m_loop->send({"POST", address, "/order", {{"Duty-Holder", "me"}}, "{}", 2000ms},
                     [&](const result<http_response> &response) {
                         answer = response ? *response : http_response {};
                     });
        CPPUNIT_ASSERT(runUntil([&] { return answer.has_value(); }, 5s));
        CPPUNIT_ASSERT_EQUAL(200, answer->status);
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), answer->body);
    }

    /// Guards against a response that a narrow link can never deliver, because its size, not a
    /// silent peer, takes longer than the timeout.
    void responseThatKeepsArrivingIsReceivedWhole()
    {
        outgoing_request request;
        request.timeout = 15s;
        request.stallTimeout = 400ms;
        const auto outcome =
            exchangeWith(request, [](raw_socket &peer) { respondSlowly(peer, 40, 40, 30ms); });
        CPPUNIT_ASSERT(outcome.response.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string(40, 'x'), outcome.response->body);
        CPPUNIT_ASSERT(outcome.duration >= 3 * request.stallTimeout / 2);
    }

    void responseThatStopsArrivingTimesOut()
    {
        outgoing_request request;
        request.timeout = 15s;
        request.stallTimeout = 400ms;
        const auto outcome =
            exchangeWith(request, [](raw_socket &peer) { respondSlowly(peer, 40, 20, 10ms); });
        CPPUNIT_ASSERT(!outcome.response.has_value());
        CPPUNIT_ASSERT(outcome.response.error().kind == error_kind::outcome_unknown);
        CPPUNIT_ASSERT(outcome.duration >= request.stallTimeout);
        CPPUNIT_ASSERT(outcome.duration < 5s);
    }

    /// Guards against a peer that holds a call for ever with a byte now and then.
    void responseThatTricklesForEverTimesOut()
    {
        outgoing_request request;
        request.timeout = 1s;
        request.stallTimeout = 400ms;
        // A peer that stood still for the stall timeout has not trickled, and ends the call
        // earlier.
        constexpr int maxAttempts = 5;
        bool trickled = false;
        for (int i = 0; i < maxAttempts && !trickled; ++i) {
            setUp(); // an exchange ends the loop
            std::chrono::milliseconds longestPause {0};
            const auto outcome = exchangeWith(request, [&](raw_socket &peer) {
                longestPause = respondSlowly(peer, 1000000, 1000, 10ms);
            });
            CPPUNIT_ASSERT(!outcome.response.has_value());
            CPPUNIT_ASSERT(outcome.response.error().kind == error_kind::outcome_unknown);
            CPPUNIT_ASSERT(outcome.duration < 5s);
            trickled = longestPause < request.stallTimeout / 2;
            CPPUNIT_ASSERT(!trickled || outcome.duration >= request.timeout);
        }
        CPPUNIT_ASSERT(trickled);
    }

    /// As for a response: a large transaction takes its time on a narrow link.
    void requestThatKeepsBeingReadIsSentWhole()
    {
        constexpr std::size_t size = std::size_t {24} << 20U; // more than the system buffers
        outgoing_request request;
        request.method = "POST";
        request.body = std::string(size, 'x');
        request.timeout = 15s;
        request.stallTimeout = 400ms;
        const auto outcome = exchangeWith(request, [&](raw_socket &peer) {
            std::size_t received = 0;
            for (int pause = 0; received < size; ++pause) {
                const auto part = peer.read(5s).value_or("");
                if (part.empty()) {
                    return;
                }
                received += part.size();
                if (received * 12 / size != (received - part.size()) * 12 / size) {
                    std::this_thread::sleep_for(100ms);
                }
            }
            peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        });
        CPPUNIT_ASSERT(outcome.response.has_value());
        CPPUNIT_ASSERT(outcome.duration >= 3 * request.stallTimeout / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(io_loop_test);
