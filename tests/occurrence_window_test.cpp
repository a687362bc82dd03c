#include "tests/support/counted_heap.h"
#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/backlog/occurrence_window.h>
#include <ibishinge/fleet/record_codec.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string timedId = "00000000000000aa";
const std::string timedPath = "/pool-a/" + timedId;

/// A hundredth of the memory of the smallest entry host is 1.6 MB; a job may take a few of these.
constexpr std::size_t memoryOfOneJob = 4'000'000;
constexpr std::size_t memoryOfManyJobs = 16'000'000;

std::string pathOf(int job)
{
    const auto number = std::to_string(job);
    return "/pool-a/" + std::string(16 - number.size(), '0') + number;
}

job_spec timedJob(int width, int repetitions, std::int64_t firstDueMs, std::int64_t intervalMs)
{
    auto spec = simpleJob(width);
    spec.repetitions = repetitions;
    spec.firstDueMs = firstDueMs;
    spec.intervalMs = intervalMs;
    return spec;
}

} // namespace

/// Guards against memory that follows what callers hand in rather than what runs: it ended each
/// process that coordinated, in turn, and with them the accepted jobs of all callers.
class occurrence_window_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(occurrence_window_test);
    CPPUNIT_TEST(lateJobTakesLittleMemory);
    CPPUNIT_TEST(successorOfALateJobTakesLittleMemory);
    CPPUNIT_TEST(jobThatIsDueFasterThanItRunsTakesLittleMemory);
    CPPUNIT_TEST(manyLateJobsShareTheMemory);
    CPPUNIT_TEST(progressRecordStaysSmall);
    CPPUNIT_TEST(waitingTasksTakeLittleMemory);
    CPPUNIT_TEST(lateOccurrencesRunOnceOverTakeovers);
    CPPUNIT_TEST(overlappingOccurrencesFillThePool);
    CPPUNIT_TEST(windowHoldsForAnyJob);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<fleet_world> m_fleet;
    std::size_t m_before = 0;

    [[nodiscard]] std::int64_t wallMs() const
    {
        return m_fleet->loop.wallMs();
    }

    void submit(const std::string &path, const job_spec &spec)
    {
        const auto answer = m_fleet->ask(*m_fleet->leader(), caller_operation::submit, path, spec);
        CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
    }

    void beginMeasurement()
    {
        m_before = heldBytes;
        peakBytes = heldBytes;
    }

    /// Runs for a time, during which the history of the simulated store is dropped.
    void run(milliseconds time)
    {
        const auto end = m_fleet->loop.now() + time;
        while (m_fleet->loop.now() < end) {
            m_fleet->loop.run(100ms);
            auto &history = m_fleet->world.history;
            history.erase(history.begin(),
                          history.end() - std::min<std::ptrdiff_t>(200, std::ssize(history)));
        }
    }

    void checkGrowth(std::size_t limit) const
    {
        CPPUNIT_ASSERT_MESSAGE("bytes: " + std::to_string(peakBytes - m_before),
                               peakBytes - m_before < limit);
    }

    /// Checks that a job that is handed in now is completed in the time of an ordinary one.
    void checkOrdinaryJobIsDone(int number)
    {
        submit(pathOf(number), simpleJob(4));
        CPPUNIT_ASSERT(
            m_fleet->waitForState(*m_fleet->leader(), pathOf(number), job_state::completed, 5s));
    }

    void checkNoViolations()
    {
        const auto &violations = m_fleet->world.violations;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? std::string() : violations.front(),
                                     std::size_t {0}, violations.size());
    }

    void replaceLeader()
    {
        const auto name = m_fleet->leader()->name;
        m_fleet->kill(name, true);
        CPPUNIT_ASSERT(m_fleet->waitForLeader(20s));
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<fleet_world>(4);
        m_fleet->world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {100ms, false};
        };
        m_fleet->addProcess("one");
        m_fleet->addProcess("two");
        CPPUNIT_ASSERT(m_fleet->waitForLeader());
        m_fleet->loop.run(1s);
    }

    void lateJobTakesLittleMemory()
    {
        beginMeasurement();
        submit(timedPath, timedJob(24, 8000, wallMs() - 7'200'000, 1000));
        run(2s);
        checkOrdinaryJobIsDone(1);
        checkGrowth(memoryOfOneJob);
        checkNoViolations();
    }

    void successorOfALateJobTakesLittleMemory()
    {
        submit(timedPath, timedJob(24, 8000, wallMs() - 7'200'000, 1000));
        m_fleet->loop.run(1s);
        beginMeasurement();
        replaceLeader();
        run(2s);
        checkOrdinaryJobIsDone(1);
        checkGrowth(memoryOfOneJob);
        checkNoViolations();
    }

    void jobThatIsDueFasterThanItRunsTakesLittleMemory()
    {
        beginMeasurement();
        submit(timedPath, timedJob(8, 10'000, wallMs(), 1));
        run(10s);
        checkOrdinaryJobIsDone(1);
        checkGrowth(memoryOfOneJob);
        checkNoViolations();
    }

    /// A bound on each job would leave their sum unbounded.
    void manyLateJobsShareTheMemory()
    {
        beginMeasurement();
        for (int i = 0; i < 60; ++i) {
            submit(pathOf(100 + i), timedJob(8, 600, wallMs() - 600'000, 1000));
        }
        run(2s);
        checkOrdinaryJobIsDone(1);
        checkGrowth(memoryOfManyJobs);
        checkNoViolations();
    }

    /// The store takes a value of 1 MiB; a larger one is refused for good.
    void progressRecordStaysSmall()
    {
        submit(timedPath, timedJob(1, 20'000, wallMs() - 20'000'000, 1000));
        std::size_t largest = 0;
        const auto end = m_fleet->loop.now() + 5s;
        m_fleet->loop.runUntil(
            [&] {
                const auto item = m_fleet->world.items.find(std::string(progressPrefix) + timedId);
                if (item != m_fleet->world.items.end()) {
                    largest = std::max(largest, item->second.value.size());
                }
                return m_fleet->loop.now() >= end;
            },
            6s);
        CPPUNIT_ASSERT(largest > 0);
        CPPUNIT_ASSERT_MESSAGE("bytes: " + std::to_string(largest), largest < 100'000);
    }

    void waitingTasksTakeLittleMemory()
    {
        beginMeasurement();
        auto spec = simpleJob(1000);
        for (int i = 1; i < 4; ++i) {
            spec.steps.push_back(spec.steps.front());
        }
        for (int i = 0; i < 60; ++i) {
            submit(pathOf(100 + i), spec);
        }
        checkGrowth(memoryOfOneJob);
        m_fleet->loop.run(1s);
        replaceLeader();
        checkGrowth(memoryOfOneJob);
        checkNoViolations();
    }

    /// Each occurrence of an accepted job runs, however late, and each task once.
    void lateOccurrencesRunOnceOverTakeovers()
    {
        submit(timedPath, timedJob(2, 600, wallMs() - 300'000, 500));
        for (int i = 0; i < 4; ++i) {
            m_fleet->loop.run(700ms);
            m_fleet->loop.wallOffset -= 60'000; // the successor's clock is behind
            replaceLeader();
        }
        m_fleet->loop.wallOffset = 0;
        CPPUNIT_ASSERT(
            m_fleet->waitForState(*m_fleet->leader(), timedPath, job_state::completed, 120s));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1200}, m_fleet->world.doneTasks.size());
        checkNoViolations();
    }

    /// Occurrences may overlap, so the window is no bound on those that run.
    void overlappingOccurrencesFillThePool()
    {
        m_fleet->world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {20s, false};
        };
        m_fleet->world.reportsProgress = true;
        submit(timedPath, timedJob(1, 1000, wallMs(), 10));
        run(3s);
        std::size_t running = 0;
        for (const auto &[id, worker] : m_fleet->world.workers) {
            running += worker.running.size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {32}, running);
    }

    /// Each occurrence is opened once, and the window and the record keep to their bounds, for jobs
    /// of any shape, tasks that end in any order, and successors at any moment.
    void windowHoldsForAnyJob()
    {
        CPPUNIT_ASSERT(rc::check("the window keeps to its bounds", [] {
            job_entry job;
            job.id = "j";
            job.spec.repetitions = *rc::gen::inRange(2, 400);
            job.spec.intervalMs = *rc::gen::inRange(1, 50);
            const int steps = *rc::gen::inRange(1, 4);
            for (int step = 0; step < steps; ++step) {
                step_spec spec;
                spec.count = *rc::gen::element(1, 2, 24, 300);
                job.spec.steps.push_back(spec);
            }
            std::set<int> complete;
            std::int64_t wall = 0;
            for (int turn = 0; turn < 4000 && std::ssize(complete) < job.spec.repetitions; ++turn) {
                wall += 50 + *rc::gen::inRange(0, 3000);
                openDueOccurrences(job, wall);
                const auto cells = cellsOf(job.spec) * std::ssize(job.occurrences);
                RC_ASSERT(job.occurrences.size() <= 1 || cells <= maxOpenCells);
                const auto record = encodeProgress(job);
                RC_ASSERT(record.size() < 100'000);
                if (*rc::gen::inRange(0, 4) == 0) {
                    job.occurrences.clear(); // a successor has only the record
                    job.nextOccurrence = 0;
                    RC_ASSERT(applyProgress(job, record).has_value());
                    RC_ASSERT(encodeProgress(job) == record);
                }
                if (job.occurrences.empty()) {
                    continue;
                }
                const auto chosen =
                    std::next(job.occurrences.begin(),
                              *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(job.occurrences)));
                const int number = chosen->first;
                bool ended = false;
                for (int step = 0; step < steps; ++step) {
                    const int count = job.spec.steps[static_cast<std::size_t>(step)].count;
                    for (int index = 0; index < count; ++index) {
                        ended = finishTask(job, {job.id, number, step, index});
                    }
                }
                RC_ASSERT(complete.insert(number).second);
                RC_ASSERT(ended == (std::ssize(complete) == job.spec.repetitions));
            }
            RC_ASSERT(std::ssize(complete) == job.spec.repetitions);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(occurrence_window_test);
