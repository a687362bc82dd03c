#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/record_codec.h>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string jobId = "0000000000000001";
const std::string jobPath = "/pool-a/" + jobId;

} // namespace

/// Guards against a job that runs although its cancellation was acknowledged: the cancellation
/// arrives before the submission, which was under way and is accepted afterwards.
class cancelled_before_submission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cancelled_before_submission_test);
    CPPUNIT_TEST(laterSubmissionDoesNotRun);
    CPPUNIT_TEST(laterSubmissionDoesNotRunAfterATakeOver);
    CPPUNIT_TEST(submissionBesideTheCancellationDoesNotRun);
    CPPUNIT_TEST(lostAnswerOfTheStore);
    CPPUNIT_TEST(cancellationIsNotAcknowledgedWithoutTheStore);
    CPPUNIT_TEST(cancellationWithoutAStoreLeavesNothing);
    CPPUNIT_TEST(jobIsNotShown);
    CPPUNIT_TEST(idsAreForgottenAfterTheirRetention);
    CPPUNIT_TEST(repeatedCancellationIsRememberedAsLong);
    CPPUNIT_TEST(callersOfASilentStoreAreToldEarly);
    CPPUNIT_TEST(rememberedIdsAreBounded);
    CPPUNIT_TEST_SUITE_END();

    using pending_answer = std::shared_ptr<std::optional<caller_answer>>;

    fleet_world m_fleet;
    fleet_world::process *m_leader = nullptr;

    pending_answer send(caller_operation operation, const std::string &path = jobPath)
    {
        caller_request request;
        request.operation = operation;
        request.host = "jobs.example";
        request.path = path;
        request.key = "key-north";
        request.callerTimeout = 3000ms;
        if (operation == caller_operation::submit) {
            request.spec = simpleJob(1);
        }
        auto answer = std::make_shared<std::optional<caller_answer>>();
        m_leader->node->handle(request, [answer](const caller_answer &value) { *answer = value; });
        return answer;
    }

    caller_answer ask(caller_operation operation)
    {
        const auto answer = send(operation);
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return answer->has_value(); }, 4s));
        return **answer;
    }

    void checkNothingRuns()
    {
        CPPUNIT_ASSERT(isRejection(ask(caller_operation::submit).kind));
        m_fleet.loop.run(5s);
        CPPUNIT_ASSERT_EQUAL(0, m_fleet.world.starts);
        CPPUNIT_ASSERT(ask(caller_operation::show).kind == answer_kind::no_such_job);
    }

    [[nodiscard]] bool isStored() const
    {
        return m_fleet.world.items.count(std::string(endedPrefix) + jobId) > 0;
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

    void laterSubmissionDoesNotRun()
    {
        CPPUNIT_ASSERT(ask(caller_operation::cancel).kind == answer_kind::no_such_job);
        checkNothingRuns();
        CPPUNIT_ASSERT(ask(caller_operation::cancel).kind == answer_kind::no_such_job);
    }

    void laterSubmissionDoesNotRunAfterATakeOver()
    {
        CPPUNIT_ASSERT(ask(caller_operation::cancel).kind == answer_kind::no_such_job);
        m_fleet.kill(m_leader->name, false);
        CPPUNIT_ASSERT(m_fleet.waitForLeader());
        m_leader = m_fleet.leader();
        checkNothingRuns();
    }

    /// The submission arrives while the cancellation is being stored.
    void submissionBesideTheCancellationDoesNotRun()
    {
        m_leader->platform->silence = 400ms;
        m_leader->platform->loseCommits = 1;
        const auto cancelled = send(caller_operation::cancel);
        const auto submitted = send(caller_operation::submit);
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return cancelled->has_value(); }, 4s));
        CPPUNIT_ASSERT((*cancelled)->kind == answer_kind::no_such_job);
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return submitted->has_value(); }, 4s));
        CPPUNIT_ASSERT(isRejection((*submitted)->kind));
        checkNothingRuns();
    }

    /// The store carries out the write without an answer, and another process takes over before
    /// it is repeated.
    void lostAnswerOfTheStore()
    {
        m_leader->platform->silence = 200ms;
        m_leader->platform->watchesSilent = true;
        m_leader->platform->loseCommits = 1;
        const auto cancelled = send(caller_operation::cancel);
        m_fleet.loop.run(50ms);
        CPPUNIT_ASSERT(isStored());
        m_fleet.world.deleteItem(std::string(leaderKey));
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return cancelled->has_value(); }, 4s));
        CPPUNIT_ASSERT(m_fleet.waitForLeader());
        m_leader = m_fleet.leader();
        checkNothingRuns();
    }

    void cancellationIsNotAcknowledgedWithoutTheStore()
    {
        m_leader->platform->refuseCommits = true;
        CPPUNIT_ASSERT(ask(caller_operation::cancel).kind == answer_kind::not_ready);
    }

    /// The caller was told that nothing was done, and submits the job after all.
    void cancellationWithoutAStoreLeavesNothing()
    {
        m_leader->platform->refuseCommits = true;
        const auto cancelled = send(caller_operation::cancel);
        m_fleet.loop.run(2s);
        CPPUNIT_ASSERT((*cancelled)->kind == answer_kind::not_ready);
        m_leader->platform->refuseCommits = false;
        m_fleet.loop.run(2s);
        CPPUNIT_ASSERT(m_fleet.waitForLeader());
        m_leader = m_fleet.leader();
        CPPUNIT_ASSERT(ask(caller_operation::submit).kind == answer_kind::accepted);
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return m_fleet.world.starts > 0; }, 4s));
    }

    void jobIsNotShown()
    {
        CPPUNIT_ASSERT(ask(caller_operation::cancel).kind == answer_kind::no_such_job);
        CPPUNIT_ASSERT(ask(caller_operation::show).kind == answer_kind::no_such_job);
    }

    void idsAreForgottenAfterTheirRetention()
    {
        CPPUNIT_ASSERT(ask(caller_operation::cancel).kind == answer_kind::no_such_job);
        CPPUNIT_ASSERT(isStored());
        m_fleet.loop.run(200s);
        CPPUNIT_ASSERT(isStored());
        m_fleet.loop.run(60s);
        CPPUNIT_ASSERT(!isStored());
        CPPUNIT_ASSERT(ask(caller_operation::submit).kind == answer_kind::accepted);
    }

    void repeatedCancellationIsRememberedAsLong()
    {
        CPPUNIT_ASSERT(ask(caller_operation::cancel).kind == answer_kind::no_such_job);
        m_fleet.loop.run(230s);
        CPPUNIT_ASSERT(ask(caller_operation::cancel).kind == answer_kind::no_such_job);
        m_fleet.loop.run(120s);
        checkNothingRuns();
    }

    /// Both callers have time to ask again within their own timeout of 3 s.
    void callersOfASilentStoreAreToldEarly()
    {
        m_leader->platform->silence = 800ms;
        m_leader->platform->loseCommits = 1000;
        const auto cancelled = send(caller_operation::cancel);
        const auto submitted = send(caller_operation::submit);
        m_fleet.loop.run(600ms);
        for (const auto &answer : {cancelled, submitted}) {
            CPPUNIT_ASSERT(answer->has_value());
            CPPUNIT_ASSERT((*answer)->kind == answer_kind::outcome_unknown);
        }
    }

    /// Beyond the bound the caller is told that the cancellation is not in effect, and when to come
    /// back; no id is forgotten in favour of another.
    void rememberedIdsAreBounded()
    {
        constexpr int attempts = 7000;
        std::vector<pending_answer> answers;
        for (int i = 0; i < attempts; ++i) {
            answers.push_back(send(caller_operation::cancel,
                                   "/pool-a/" + std::to_string(1'000'000'000'000'000 + i)));
            if (i % 100 == 0) {
                m_fleet.loop.run(50ms);
            }
        }
        m_fleet.loop.run(4s);
        int remembered = 0;
        for (const auto &answer : answers) {
            CPPUNIT_ASSERT(answer->has_value());
            const auto &value = **answer;
            remembered += value.kind == answer_kind::no_such_job ? 1 : 0;
            CPPUNIT_ASSERT(value.kind == answer_kind::no_such_job
                           || (value.kind == answer_kind::overloaded && value.retryAfter > 0ms));
        }
        CPPUNIT_ASSERT_EQUAL(5000, remembered);
        CPPUNIT_ASSERT(answers.front()->value().kind == answer_kind::no_such_job);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cancelled_before_submission_test);
