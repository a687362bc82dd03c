#include "tests/support/slow_server.h"

#include <ibishinge/fleet/http_peer_link.h>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

/// Guards against relays that are given up for a narrow link while their results arrive.
class http_peer_link_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_peer_link_test);
    CPPUNIT_TEST(resultsThatArriveSlowlyAreReceived);
    CPPUNIT_TEST(silentRelayTimesOut);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::milliseconds timeout {800};

    /// Sends calls to a relay whose response comes in `pieces`, one each `pause`.
    static result<std::string> exchangeWith(int pieces, std::chrono::milliseconds pause)
    {
        const slow_server server(200, std::string(200000, 'x'), pieces, pause);
        auto loop = io_loop::make();
        CPPUNIT_ASSERT(loop.has_value());
        http_peer_link link(**loop);
        std::optional<result<std::string>> outcome;
        (*loop)->after(0ms, [&] {
            link.exchangeWorkerCalls(server.address(), "calls", timeout,
                                     [&](result<std::string> value) {
                                         outcome = std::move(value);
                                         (*loop)->stop();
                                     });
        });
        (*loop)->run();
        loop->reset();
        return *outcome;
    }

public:
    void resultsThatArriveSlowlyAreReceived()
    {
        const auto results = exchangeWith(20, 55ms); // 1.1 s
        CPPUNIT_ASSERT_MESSAGE(results ? "" : describe(results.error()), results.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t {200000}, results->size());
    }

    void silentRelayTimesOut()
    {
        const auto results = exchangeWith(2, 1500ms);
        CPPUNIT_ASSERT(!results.has_value());
        CPPUNIT_ASSERT(results.error().kind == error_kind::outcome_unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_peer_link_test);
