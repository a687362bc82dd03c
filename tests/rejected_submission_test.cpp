#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/record_codec.h>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string jobPath = "/pool-a/0000000000000001";

} // namespace

/// Guards against a submission that is answered as rejected, while its job is stored and runs, and
/// against rejections that take memory for good.
class rejected_submission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rejected_submission_test);
    CPPUNIT_TEST(lostAnswerBeforeATakeOver);
    CPPUNIT_TEST(lostAnswerBeforeAnOutage);
    CPPUNIT_TEST(labelsOfCallersAreNoNamesOfMetrics);
    CPPUNIT_TEST_SUITE_END();

    fleet_world m_fleet;
    fleet_world::process *m_leader = nullptr;

    /// Submits the job to the coordinator. Its answer is kept in the returned object.
    std::shared_ptr<std::optional<caller_answer>> submit()
    {
        caller_request request;
        request.operation = caller_operation::submit;
        request.host = "jobs.example";
        request.path = jobPath;
        request.key = "key-north";
        request.callerTimeout = 3000ms;
        request.spec = simpleJob(1);
        auto answer = std::make_shared<std::optional<caller_answer>>();
        m_leader->node->handle(request, [answer](const caller_answer &value) { *answer = value; });
        return answer;
    }

public:
    void setUp() override
    {
        for (const std::string name : {"one", "two", "three"}) {
            m_fleet.addProcess(name);
        }
        CPPUNIT_ASSERT(m_fleet.waitForLeader());
        m_fleet.loop.run(1s);
        m_leader = m_fleet.leader();
    }

    /// The job is stored without an answer. When the write is repeated, the store shows that
    /// another process coordinates, which the one before has not noticed in another way.
    void lostAnswerBeforeATakeOver()
    {
        m_leader->platform->silence = 200ms;
        m_leader->platform->watchesSilent = true;
        m_leader->platform->loseCommits = 1;
        const auto answer = submit();
        m_fleet.loop.run(50ms);
        m_fleet.world.deleteItem(std::string(leaderKey));
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return answer->has_value(); }, 4s));
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return m_fleet.world.starts > 0; }, 6s));
        CPPUNIT_ASSERT(!isRejection((*answer)->kind));
    }

    /// The store rejects the repeated write.
    void lostAnswerBeforeAnOutage()
    {
        m_leader->platform->silence = 200ms;
        m_leader->platform->loseCommits = 1;
        const auto answer = submit();
        m_fleet.loop.run(50ms);
        m_leader->platform->refuseCommits = true;
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return answer->has_value(); }, 4s));
        m_fleet.kill(m_leader->name, false);
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return m_fleet.world.starts > 0; }, 8s));
        CPPUNIT_ASSERT(!isRejection((*answer)->kind));
    }

    void labelsOfCallersAreNoNamesOfMetrics()
    {
        for (int i = 0; i < 5; ++i) {
            auto spec = simpleJob(1);
            spec.steps.front().requiredLabel = "label-of-a-caller-" + std::to_string(i);
            const auto path = "/pool-a/000000000000000" + std::to_string(i);
            const auto answer = m_fleet.ask(*m_leader, caller_operation::submit, path, spec);
            CPPUNIT_ASSERT(answer.kind == answer_kind::overloaded);
        }
        const auto &metrics = *m_leader->metrics;
        CPPUNIT_ASSERT(metrics.text().find("label-of-a-caller") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {5}, metrics.counter("ibishinge_jobs_refused_total",
                                                                {{"reason", "no_label"}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rejected_submission_test);
