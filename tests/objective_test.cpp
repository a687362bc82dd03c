#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/backlog/occurrence_window.h>
#include <ibishinge/fleet/objective.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds estimate {640};
constexpr int factorOfLongTasks = 3; ///< run time of a long task over the caller's estimate

job_spec twoSteps()
{
    auto spec = simpleJob(6);
    spec.steps.front().estimate = estimate;
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().after = {0};
    return spec;
}

} // namespace

/// Objectives of jobs whose run times their callers have estimated badly.
class objective_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(objective_test);
    CPPUNIT_TEST(objectiveFollowsObservedRunTimes);
    CPPUNIT_TEST(eachOccurrenceHasItsOwnObjective);
    CPPUNIT_TEST(longTasksAreNotLeftBehind);
    CPPUNIT_TEST_SUITE_END();

    fleet_tables m_tables;
    job_entry m_job;

    [[nodiscard]] milliseconds objective(int occurrence)
    {
        updateObjective(m_tables, m_job, occurrence);
        return since(m_job.submittedAt, *m_job.occurrences.at(occurrence).objectiveAt);
    }

public:
    void setUp() override
    {
        configuration config;
        queue_config queue;
        queue.name = "queue";
        queue.objectiveFactor = 2;
        queue.objectiveSlack = 500ms;
        config.queues.push_back(queue);
        setConfiguration(m_tables, config);
        m_job.id = "job";
        m_job.queue = "queue";
        m_job.spec = twoSteps();
        m_job.submittedAt = instant {} + 10s;
    }

    void objectiveFollowsObservedRunTimes()
    {
        openDueOccurrences(m_job, 0);
        const auto expected = objective(0);
        CPPUNIT_ASSERT(expected >= 2 * 2 * estimate + 500ms);
        estimateJob(m_tables, m_job);
        CPPUNIT_ASSERT_EQUAL(expected.count(), since(m_job.submittedAt, m_job.objectiveAt).count());
        observeRunTime(m_tables, m_job, {"job", 0, 0, 0}, 2 * estimate);
        const auto observed = objective(0);
        CPPUNIT_ASSERT(observed >= expected + 2 * estimate);
        // What remains for the second step is as before.
        const auto &occurrence = m_job.occurrences.at(0);
        CPPUNIT_ASSERT(remainingTime(m_tables, m_job, occurrence, 1) < 2 * estimate);
        CPPUNIT_ASSERT(remainingTime(m_tables, m_job, occurrence, 0) >= 3 * estimate);
    }

    /// Guards against occurrences that count as late from the moment they are due, because the
    /// objective was counted from the submission of the job.
    void eachOccurrenceHasItsOwnObjective()
    {
        m_job.spec.repetitions = 3;
        m_job.spec.intervalMs = 4000;
        m_job.spec.firstDueMs = 1'001'000;
        m_job.acceptedWallMs = 1'000'000;
        openDueOccurrences(m_job, 1'020'000);
        const auto first = objective(0);
        CPPUNIT_ASSERT_EQUAL((first + 8000ms).count(), objective(2).count());
        CPPUNIT_ASSERT(first >= 1000ms + 2 * 2 * estimate);
    }

    /// Load: one and a half times the capacity of a pool for 8 s. Every eighth job has tasks that
    /// take three times as long as its caller says, and so an objective that is later. Guards
    /// against such jobs being taken for late and placed behind all others: they have to end in
    /// time as often as all jobs do.
    void longTasksAreNotLeftBehind()
    {
        constexpr int workers = 8;
        constexpr double load = 1.5;
        constexpr std::chrono::seconds loadTime {8};
        constexpr int longJobEvery = 8;
        const auto isLong = [](const std::string &id) { return std::stoi(id) % longJobEvery == 0; };
        fleet_world fleet(workers);
        fleet.world.behaviourOf = [&](const task_name &task) {
            return virtual_world::behaviour {
                isLong(task.job) ? factorOfLongTasks * estimate : estimate, false};
        };
        auto &only = fleet.addProcess("only");
        CPPUNIT_ASSERT(fleet.waitForLeader());
        fleet.loop.run(1s);

        // Core-seconds of a mean job, whose tasks need one core each.
        constexpr double coreSeconds =
            12 * 0.64 * (longJobEvery - 1 + factorOfLongTasks) / longJobEvery;
        const int jobs = static_cast<int>(load * workers * 8 / coreSeconds
                                          * static_cast<double>(loadTime.count()));
        std::map<std::string, instant> open;
        std::map<bool, std::pair<int, int>> inTimeAndAll; // by whether the tasks are long
        for (int i = 0; i < jobs; ++i) {
            fleet.loop.after(loadTime * i / jobs, [&, i] {
                caller_request request;
                request.operation = caller_operation::submit;
                request.host = "jobs.example";
                const auto digits = std::to_string(i);
                request.path = "/pool-a/" + std::string(16 - digits.size(), '0') + digits;
                request.key = "key-north";
                request.callerTimeout = 3000ms;
                request.spec = twoSteps();
                open[request.path] = fleet.loop.now();
                only.node->handle(request, [](const caller_answer &) {});
            });
        }
        const auto end = fleet.loop.now() + loadTime + 40s;
        while (fleet.loop.now() < end) {
            fleet.loop.run(50ms);
            for (auto job = open.begin(); job != open.end();) {
                if (fleet.stateOf(only, job->first) != job_state::completed) {
                    ++job;
                    continue;
                }
                const bool isLongJob = isLong(job->first.substr(job->first.rfind('/') + 1));
                const auto taskTime = isLongJob ? factorOfLongTasks * estimate : estimate;
                const auto criticalPath = 2 * taskTime;
                const auto limit = criticalPath * 16 / 10 + 600ms; // the objective of the queue
                auto &[inTime, all] = inTimeAndAll[isLongJob];
                ++all;
                inTime += fleet.loop.now() - job->second <= limit ? 1 : 0;
                job = open.erase(job);
            }
        }
        CPPUNIT_ASSERT(open.empty());
        CPPUNIT_ASSERT(fleet.world.violations.empty());
        const auto share = [](const std::pair<int, int> &counts) {
            return static_cast<double>(counts.first) / counts.second;
        };
        const auto &longJobs = inTimeAndAll.at(true);
        const auto &shortJobs = inTimeAndAll.at(false);
        const double ofAll =
            share({longJobs.first + shortJobs.first, longJobs.second + shortJobs.second});
        CPPUNIT_ASSERT_MESSAGE("in time: " + std::to_string(share(longJobs)) + " of the long jobs, "
                                   + std::to_string(ofAll) + " of all",
                               share(longJobs) >= ofAll);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(objective_test);
