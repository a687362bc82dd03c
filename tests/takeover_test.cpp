#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/record_codec.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int jobs = 120;

std::string pathOf(int job)
{
    const auto number = std::to_string(job);
    return "/pool-a/" + std::string(16 - number.size(), '0') + number;
}

} // namespace

/// Guards against a take-over that never ends over a narrow link, while accepted jobs stand.
class takeover_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(takeover_test);
    CPPUNIT_TEST(endsOverANarrowLink);
    CPPUNIT_TEST(brokenPagesAloneAreReadAgain);
    CPPUNIT_TEST(inheritedTasksStartAndAreMeasured);
    CPPUNIT_TEST(pageOfADeposedCoordinatorIsCancelled);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;

    fleet_world::process &successor()
    {
        return m_fleet->processes.at("two");
    }

    std::string term()
    {
        return m_fleet->world.items.at(std::string(termKey)).value;
    }

    /// Ends the coordinator. The pages of its successor take 2 s each, longer than a silent store
    /// is waited for.
    void killCoordinator()
    {
        successor().platform->pageSize = 40;
        successor().platform->itemTime = 50ms;
        m_fleet->kill("one", false);
    }

    /// Returns how often the page that was read most often arrived.
    int mostReadsOfAPage()
    {
        const auto &read = successor().platform->pagesRead;
        std::ptrdiff_t most = 0;
        for (const auto &page : read) {
            most = std::max(most, std::count(read.begin(), read.end(), page));
        }
        return static_cast<int>(most);
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<fleet_world>(2);
        m_fleet->addProcess("one");
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        m_fleet->addProcess("two");
        // The workers are full with the first jobs; the others wait.
        for (int i = 0; i < jobs; ++i) {
            const auto answer = m_fleet->ask(m_fleet->processes.at("one"), caller_operation::submit,
                                             pathOf(i), simpleJob(1, 4000));
            CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
        }
    }

    void endsOverANarrowLink()
    {
        const auto termBefore = std::stoi(term());
        killCoordinator();
        CPPUNIT_ASSERT(m_fleet->waitForLeader(30s));
        CPPUNIT_ASSERT_EQUAL(termBefore + 1, std::stoi(term()));
        CPPUNIT_ASSERT_EQUAL(1, mostReadsOfAPage());
    }

    void brokenPagesAloneAreReadAgain()
    {
        killCoordinator();
        successor().platform->breakPages = 4;
        CPPUNIT_ASSERT(m_fleet->waitForLeader(40s));
        CPPUNIT_ASSERT_EQUAL(0, successor().platform->breakPages);
        CPPUNIT_ASSERT_EQUAL(1, mostReadsOfAPage());
    }

    void inheritedTasksStartAndAreMeasured()
    {
        killCoordinator();
        CPPUNIT_ASSERT(m_fleet->waitForLeader(30s));
        for (int i = 0; i < jobs; ++i) {
            CPPUNIT_ASSERT(
                m_fleet->waitForState(successor(), pathOf(i), job_state::completed, 30s));
        }
        CPPUNIT_ASSERT(m_fleet->world.violations.empty());
        const auto &metrics = *successor().metrics;
        const auto loaded = metrics.durations("ibishinge_takeover_seconds", {});
        const auto started = metrics.durations("ibishinge_takeover_first_start_seconds", {});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, loaded.total());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, started.total());
        CPPUNIT_ASSERT(loaded.sumSeconds >= 6); // three pages of jobs
        CPPUNIT_ASSERT(started.sumSeconds >= loaded.sumSeconds);
    }

    /// Guards against a page that fills the link of a process that does not need it any more.
    void pageOfADeposedCoordinatorIsCancelled()
    {
        killCoordinator();
        auto &platform = *successor().platform;
        const auto termBefore = term();
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([&] { return term() != termBefore; }, 10s));
        m_fleet->loop.run(1s); // within the first page of jobs
        const auto before = platform.pagesRead.size();
        m_fleet->world.deleteItem(std::string(leaderKey));
        successor().node->resign();
        m_fleet->loop.run(5s);
        CPPUNIT_ASSERT_EQUAL(before, platform.pagesRead.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(takeover_test);
