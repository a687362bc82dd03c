#include <ibishinge/outside/receive_budget.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

constexpr instant start {1000s};
constexpr std::size_t total = 8'000'000; // 7'000'000 of them for large requests
constexpr std::size_t large = 1'000'000;

} // namespace

/// Which requests are charged, refused and ended, in virtual time and without connections.
class receive_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(receive_budget_test);
    CPPUNIT_TEST(chargesEndWithTheirRequests);
    CPPUNIT_TEST(slowestIsReclaimedFirst);
    CPPUNIT_TEST(largeBodiesAreReclaimedBeforeSmallOnes);
    CPPUNIT_TEST(youngAndCompleteRequestsAreKept);
    CPPUNIT_TEST(nothingIsReclaimedInVain);
    CPPUNIT_TEST(smallRequestsFitBesideLargeOnes);
    CPPUNIT_TEST(requestsWithoutBodyEndNoOther);
    CPPUNIT_TEST(oneAddressYieldsToAnother);
    CPPUNIT_TEST(addressIsFreeWithoutOthers);
    CPPUNIT_TEST(progressIsRequiredAfterItsGrace);
    CPPUNIT_TEST(noProgressIsRequiredOfSmallBodies);
    CPPUNIT_TEST(longestWaitingConnectionsAreClosed);
    CPPUNIT_TEST_SUITE_END();

    receive_budget m_budget {total};
    std::vector<receive_number> m_ended;
    std::map<std::string, int> m_shed; ///< by reason
    instant m_now = start;

    receive_number open(const std::string &address, bool mayReclaim = true)
    {
        // Numbers are given out in ascending order.
        const receive_number next = m_opened + 1;
        m_opened =
            m_budget.open(address, m_now, mayReclaim, [this, next] { m_ended.push_back(next); });
        CPPUNIT_ASSERT_EQUAL(next, m_opened);
        return m_opened;
    }

    bool add(const std::string &address, std::size_t bytes, bool mayReclaim = true)
    {
        return m_budget.charge(open(address, mayReclaim), bytes, m_now);
    }

    receive_number m_opened = 0;

public:
    void setUp() override
    {
        m_budget.onShed(
            [this](const shed_request &shed) { ++m_shed[std::string(nameOf(shed.reason))]; });
    }

    /// Guards against a budget that fills up with requests that are gone.
    void chargesEndWithTheirRequests()
    {
        for (int i = 0; i < 100; ++i) {
            const auto number = open("a");
            CPPUNIT_ASSERT(m_budget.charge(number, large, m_now));
            CPPUNIT_ASSERT(m_budget.charge(number, large, m_now)); // a body that grows
            CPPUNIT_ASSERT_EQUAL(2 * large, m_budget.usedBytes());
            m_budget.release(number);
            m_budget.release(number);
            CPPUNIT_ASSERT_EQUAL(std::size_t {0}, m_budget.usedBytes());
            CPPUNIT_ASSERT(!m_budget.charge(number, 1, m_now));
        }
    }

    /// Guards against ending a body that arrives fast in favour of ones that stand still.
    void slowestIsReclaimedFirst()
    {
        for (int i = 0; i < 7; ++i) {
            CPPUNIT_ASSERT(add("a", large));
            m_budget.addRead(m_opened, i == 3 ? 10 : 1000);
        }
        m_now += 1s;
        CPPUNIT_ASSERT(add("a", large));
        CPPUNIT_ASSERT(m_ended == std::vector<receive_number> {4});
        CPPUNIT_ASSERT_EQUAL(7 * large, m_budget.usedBytes());
        CPPUNIT_ASSERT_EQUAL(1, m_shed["reclaimed"]);
    }

    /// Guards against ending an ordinary request on a slow link in favour of large bodies: its rate
    /// is below that of a body that was sent at once and stops short of its end.
    void largeBodiesAreReclaimedBeforeSmallOnes()
    {
        CPPUNIT_ASSERT(add("a", 5000));
        m_budget.addRead(m_opened, 1500);
        for (int i = 0; i < 6; ++i) {
            CPPUNIT_ASSERT(add("a", large));
            m_budget.addRead(m_opened, large - 10);
        }
        m_now += 1s;
        CPPUNIT_ASSERT(add("a", large));
        CPPUNIT_ASSERT(m_ended == std::vector<receive_number> {2});
    }

    /// Guards against ending a request that may run, and ordinary ones on their way.
    void youngAndCompleteRequestsAreKept()
    {
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT(add("a", large));
            m_budget.setComplete(m_opened);
        }
        m_now += 10s;
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(add("a", large));
        }
        m_now += 999ms;
        CPPUNIT_ASSERT(!add("a", large));
        CPPUNIT_ASSERT(m_ended.empty());
        CPPUNIT_ASSERT_EQUAL(1, m_shed["refused"]);
        CPPUNIT_ASSERT_EQUAL(7 * large, m_budget.usedBytes());
    }

    void nothingIsReclaimedInVain()
    {
        CPPUNIT_ASSERT(add("a", 6 * large));
        m_budget.setComplete(m_opened);
        CPPUNIT_ASSERT(add("a", large));
        m_now += 2s;
        CPPUNIT_ASSERT(!add("a", 2 * large));
        CPPUNIT_ASSERT(m_ended.empty());
    }

    /// Guards against ordinary callers that are refused because of a crowd of large bodies.
    void smallRequestsFitBesideLargeOnes()
    {
        CPPUNIT_ASSERT(add("a", 7 * large));
        CPPUNIT_ASSERT(!add("a", large));
        for (int i = 0; i < 200; ++i) {
            CPPUNIT_ASSERT(add("b", 4000));
        }
        CPPUNIT_ASSERT(m_ended.empty());
    }

    void requestsWithoutBodyEndNoOther()
    {
        CPPUNIT_ASSERT(add("a", 7 * large));
        m_now += 2s;
        CPPUNIT_ASSERT(!add("a", large, false));
        CPPUNIT_ASSERT(m_ended.empty());
        CPPUNIT_ASSERT(add("a", large));
    }

    /// Guards against one client that uses the whole budget while others are refused.
    void oneAddressYieldsToAnother()
    {
        for (int i = 0; i < 7; ++i) {
            CPPUNIT_ASSERT(add("a", large));
        }
        CPPUNIT_ASSERT(add("b", large)); // at once, although the bodies of a are young
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, m_ended.size());
        for (receive_number each = 1; each <= 7; ++each) {
            m_budget.setComplete(each);
        }
        CPPUNIT_ASSERT(!add("b", large));
        m_budget.release(2);
        CPPUNIT_ASSERT(!add("a", large)); // b waits
        CPPUNIT_ASSERT(add("b", large));
    }

    /// Guards against a share that applies although nobody else waits: callers may arrive through
    /// one address.
    void addressIsFreeWithoutOthers()
    {
        CPPUNIT_ASSERT(add("a", 6 * large));
        CPPUNIT_ASSERT(add("a", large));
        m_budget.release(m_opened);
        m_budget.setComplete(1);
        CPPUNIT_ASSERT(!add("b", 2 * large));
        CPPUNIT_ASSERT(!add("a", large));
        m_now += 1s;
        CPPUNIT_ASSERT(add("a", large));
    }

    /// Guards against clients that send single bytes, and against ending callers on a path that
    /// was cut for a moment.
    void progressIsRequiredAfterItsGrace()
    {
        for (const auto announced : {std::optional<std::size_t>(), std::optional(large)}) {
            CPPUNIT_ASSERT(!isWithoutProgress(0, announced, start, start + 4999ms));
            CPPUNIT_ASSERT(isWithoutProgress(1279, announced, start, start + 5s));
            CPPUNIT_ASSERT(!isWithoutProgress(1280, announced, start, start + 5s));
            CPPUNIT_ASSERT(isWithoutProgress(1280, announced, start, start + 6s));
        }
    }

    /// Guards against ending an ordinary request that stands still on a path that loses packets.
    void noProgressIsRequiredOfSmallBodies()
    {
        CPPUNIT_ASSERT(!isWithoutProgress(1100, 5000, start, start + 9s));
        CPPUNIT_ASSERT(!isWithoutProgress(0, 16384, start, start + 9s));
        CPPUNIT_ASSERT(isWithoutProgress(0, 16385, start, start + 9s));
    }

    void longestWaitingConnectionsAreClosed()
    {
        const std::vector<waiting_connection> waiting {
            {1, start}, {2, start - 5s}, {3, start - 2s}, {4, start - 999ms}, {5, start - 1s}};
        CPPUNIT_ASSERT(chooseClosed(waiting, 56, 64, start).empty());
        CPPUNIT_ASSERT(chooseClosed(waiting, 58, 64, start) == (std::vector<int> {2, 3}));
        CPPUNIT_ASSERT(chooseClosed(waiting, 64, 64, start) == (std::vector<int> {2, 3, 5}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(receive_budget_test);
