#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string jobPath = "/pool-a/0000000000000001";
const std::string jobId = "0000000000000001";
constexpr std::int64_t clockStepBackMs = 8000;

} // namespace

/// Guards against two runs of a task, and a start after its end: a coordinator takes over whose
/// time of day is behind, so that an occurrence of which tasks have run is not due yet.
class undue_occurrence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(undue_occurrence_test);
    CPPUNIT_TEST(endIsNotForgotten);
    CPPUNIT_TEST(endIsNotAcknowledgedBeforeItIsStored);
    CPPUNIT_TEST(runIsNotStartedAgain);
    CPPUNIT_TEST(runOnASilentWorkerIsNotStartedAgain);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;
    milliseconds m_duration {300};
    std::int64_t m_dueMs = 0;

    /// Submits a job that is due in half a second, of two steps that follow each other, and takes
    /// away the leader when `condition` holds. It has stored nothing since the submission.
    void replaceLeaderWhen(const std::function<bool()> &condition)
    {
        auto &leader = *m_fleet->leader();
        auto spec = simpleJob(1);
        spec.steps.front().estimate = m_duration;
        spec.steps.push_back(spec.steps.front());
        spec.steps.back().after = {0};
        spec.repetitions = 1;
        m_dueMs = m_fleet->loop.wallMs() + 500;
        spec.firstDueMs = m_dueMs;
        spec.intervalMs = 60000;
        const auto answer = m_fleet->ask(leader, caller_operation::submit, jobPath, spec);
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
        leader.platform->refuseCommits = true;
        CPPUNIT_ASSERT(m_fleet->loop.runUntil(condition, 3s));
        m_fleet->kill(leader.name, false);
    }

    void checkIsCompleted()
    {
        CPPUNIT_ASSERT(
            m_fleet->waitForState(*m_fleet->leader(), jobPath, job_state::completed, 20s));
        checkNoViolations();
        CPPUNIT_ASSERT_EQUAL(2, m_fleet->world.starts);
    }

    void checkNoViolations()
    {
        const auto &violations = m_fleet->world.violations;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? std::string() : violations.front(),
                                     std::size_t {0}, violations.size());
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<fleet_world>(4);
        m_fleet->world.behaviourOf = [this](const task_name &) {
            return virtual_world::behaviour {m_duration, false};
        };
        m_fleet->addProcess("one");
        m_fleet->addProcess("two");
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        m_fleet->loop.run(1s);
    }

    void endIsNotForgotten()
    {
        replaceLeaderWhen([this] { return !m_fleet->world.doneTasks.empty(); });
        m_fleet->loop.wallOffset = -clockStepBackMs;
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        checkIsCompleted();
    }

    /// Without a step of the clock.
    void endIsNotAcknowledgedBeforeItIsStored()
    {
        instant until;
        replaceLeaderWhen([&] {
            if (until == instant {} && !m_fleet->world.doneTasks.empty()) {
                until = m_fleet->loop.now() + 1s;
            }
            return until != instant {} && m_fleet->loop.now() >= until;
        });
        const auto &workers = m_fleet->world.workers;
        CPPUNIT_ASSERT(std::any_of(workers.begin(), workers.end(), [](const auto &each) {
            return !each.second.ended.empty() && each.second.ended.front().number == 1;
        }));
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        checkIsCompleted();
    }

    void runIsNotStartedAgain()
    {
        m_duration = 6s;
        replaceLeaderWhen([this] { return m_fleet->world.starts > 0; });
        m_fleet->loop.wallOffset = -clockStepBackMs;
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        checkIsCompleted();
    }

    /// The occurrence becomes due while the worker may still hold its lease.
    void runOnASilentWorkerIsNotStartedAgain()
    {
        m_duration = 0ms;
        replaceLeaderWhen([this] { return m_fleet->world.starts > 0; });
        for (auto &[id, worker] : m_fleet->world.workers) {
            worker.reachable = worker.running.empty();
        }
        m_fleet->loop.wallOffset = -clockStepBackMs / 2;
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        CPPUNIT_ASSERT(m_fleet->loop.wallMs() < m_dueMs);
        CPPUNIT_ASSERT(m_fleet->loop.runUntil([this] { return m_fleet->world.starts > 1; }, 10s));
        checkNoViolations();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(undue_occurrence_test);
