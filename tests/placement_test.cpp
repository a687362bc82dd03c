#include <ibishinge/decision/placement.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <random>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

const wall_time begin = wall_time {} + std::chrono::hours(24 * 365);

worker_row makeWorker(const std::string &id, resources capacity, const std::string &rack = "r1")
{
    worker_row worker;
    worker.id = id;
    worker.rack = rack;
    worker.dataCentre = "dc1";
    worker.incarnation = "i-" + id;
    worker.capacity = capacity;
    worker.accepting = true;
    return worker;
}

job_record makeJob(const std::string &id, const std::string &team, resources declared,
                   work_class workClass = work_class::normal, bool repeatable = true)
{
    job_record job;
    job.id = id;
    job.queue = "batch";
    job.team = team;
    job.workClass = workClass;
    job.repeatable = repeatable;
    job.declared = declared;
    job.submittedAt = begin;
    return job;
}

/// Tables and placement settings of one pool, with a simulated clock.
struct pool_fixture
{
    pool_tables tables;
    placement_settings settings;
    wall_time now = begin;
    std::uint64_t seed = 1;
    std::int64_t revision = 0;

    pool_fixture()
    {
        tables.areWorkerSizesKnown = true;
    }
    void addWorker(const std::string &id, resources capacity, const std::string &rack = "r1")
    {
        putWorker(tables, makeWorker(id, capacity, rack));
    }
    void addTeam(const std::string &team, double weight = 1, int cap = 1000000)
    {
        setTeam(tables, team, weight, cap);
    }
    void addJob(job_record job)
    {
        putJob(tables, std::move(job), ++revision, now);
    }
    std::vector<placement_action> place()
    {
        return placeJobs(tables, now, ++seed, settings);
    }
    std::size_t startsIn(const std::vector<placement_action> &actions) const
    {
        return static_cast<std::size_t>(
            std::count_if(actions.begin(), actions.end(),
                          [](const auto &action) { return action.kind == placement_kind::start; }));
    }
    [[nodiscard]] const job_record &job(const std::string &id) const
    {
        return tables.jobs.at("batch/" + id).record;
    }
    void apply(const std::string &id, job_event event, const event_details &details = {})
    {
        const auto applied = applyEvent(tables, "batch/" + id, event, now, details);
        CPPUNIT_ASSERT_MESSAGE(applied ? "" : describe(applied.error()), applied.has_value());
    }
};

/// Compares the indexes with the tables. Returns the first inconsistency, or an empty string.
std::string findIndexInconsistency(const pool_tables &tables)
{
    std::map<std::string, int> active;
    for (const auto &[name, job] : tables.jobs) {
        active[job.record.team] += isActive(job.record.state) ? 1 : 0;
        const auto shape = tables.shapes.find(shapeOf(job.record));
        const bool indexed = shape != tables.shapes.end()
                             && shape->second.jobs.contains({job.record.submittedAt, name});
        const bool delayed = tables.delayed.contains({job.record.notBefore, name});
        if ((job.record.state == job_state::waiting) != (indexed || delayed)
            || (indexed && delayed)) {
            return name + " is not in exactly the index of its state";
        }
    }
    for (const auto &[team, row] : tables.teams) {
        if (row.active != active[team]) {
            return "active jobs of " + team + " are miscounted";
        }
    }
    for (const auto &[id, worker] : tables.workers) {
        resources free = worker.capacity;
        for (const auto &name : worker.jobs) {
            free -= tables.jobs.at(name).record.reserved;
        }
        if (free != worker.free) {
            return "free resources of " + id + " are miscounted";
        }
        if (!tables.workersByFree.contains(
                {worker.capacity.accelerators > 0, free.processors, id})) {
            return id + " is not indexed by what is free";
        }
    }
    for (const auto &[shape, row] : tables.shapes) {
        const auto open = tables.placeableShapes.find({shape.normalClass, shape.team});
        const bool isOpen = open != tables.placeableShapes.end()
                            && open->second.contains({*row.jobs.begin(), shape});
        if (isOpen == row.blocked || tables.blockedShapes.contains(shape) != row.blocked) {
            return "a shape is not in exactly one of the open and the blocked ones";
        }
    }
    return {};
}

/// Applies random changes to one pool and places jobs after each. Returns the first invariant that
/// does not hold, or an empty string.
std::string runRandomPool(std::uint64_t seed, const placement_safeguards &safeguards)
{
    std::mt19937_64 random(seed);
    const auto pick = [&](std::uint64_t count) { return random() % count; };
    pool_fixture pool;
    pool.settings.safeguards = safeguards;
    const std::array<std::string, 3> teams {"amber", "birch", "cedar"};
    std::map<std::string, int> caps;
    for (const auto &team : teams) {
        caps[team] = static_cast<int>(1 + pick(6));
        pool.addTeam(team, 1 + static_cast<double>(pick(3)), caps[team]);
    }
    for (int i = 0; i < 4; ++i) {
        pool.addWorker("w" + std::to_string(i), {8, 64, i == 0 ? 4 : 0},
                       "r" + std::to_string(i % 2));
    }
    for (int step = 0; step < 60; ++step) {
        pool.now += milliseconds(pick(3000));
        for (std::uint64_t i = pick(4); i > 0; --i) {
            auto job =
                makeJob("j" + std::to_string(++pool.revision), teams[pick(3)],
                        {static_cast<std::int64_t>(1 + pick(8)),
                         static_cast<std::int64_t>(1 + pick(32)), pick(6) == 0 ? 1 : 0},
                        pick(5) == 0 ? work_class::urgent : work_class::normal, pick(3) != 0);
            job.submittedAt = pool.now;
            pool.addJob(job);
        }
        std::vector<std::string> names;
        for (const auto &[name, job] : pool.tables.jobs) {
            names.push_back(name);
        }
        std::sort(names.begin(), names.end());
        for (const auto &name : names) {
            const auto event = static_cast<job_event>(pick(9));
            const auto &row = pool.tables.jobs.at(name);
            if (event == job_event::place || event == job_event::checkpoint || pick(3) != 0
                || !stateAfter(row.record.state, event, row.record.repeatable)) {
                continue;
            }
            event_details details;
            details.notBefore = pool.now + milliseconds(pick(2) * 1000);
            static_cast<void>(applyEvent(pool.tables, name, event, pool.now, details));
        }
        static_cast<void>(pool.place());
        if (auto broken = findIndexInconsistency(pool.tables); !broken.empty()) {
            return broken;
        }
        for (const auto &[id, worker] : pool.tables.workers) {
            if (worker.free.processors < 0 || worker.free.memoryMb < 0
                || worker.free.accelerators < 0) {
                return id + " has more reserved than it has";
            }
        }
        for (const auto &team : teams) {
            if (pool.tables.teams.at(team).active > caps[team]) {
                return team + " has more active than its cap";
            }
        }
    }
    return {};
}

bool randomPoolsKeepInvariants(const placement_safeguards &safeguards)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        if (!runRandomPool(seed, safeguards).empty()) {
            return false;
        }
    }
    return true;
}

/// Outcome of running many jobs on a pool in which one worker and some jobs always fail.
struct failure_trial
{
    bool badWorkerQuarantined = false;
    bool goodWorkerQuarantined = false;
    int attemptsAtBadWorker = 0;
    int attemptsOfBadJob = 0;
    bool badJobGivenUp = false;
    bool goodJobGivenUp = false;
};

failure_trial runFailures(std::uint64_t seed, bool attributeFailures, int badJobs)
{
    pool_fixture pool;
    pool.seed = seed;
    pool.settings.safeguards.attributeFailures = attributeFailures;
    pool.addTeam("amber");
    for (int i = 0; i < 20; ++i) {
        pool.addWorker("w" + std::to_string(100 + i), {8, 64, 0}, "r" + std::to_string(i % 5));
    }
    std::mt19937_64 random(seed);
    const std::string badWorker = "w" + std::to_string(100 + random() % 20);
    for (int i = 0; i < 200; ++i) {
        pool.addJob(makeJob("good" + std::to_string(i), "amber", {4, 8, 0}));
    }
    for (int i = 0; i < badJobs; ++i) {
        auto job = makeJob("bad" + std::to_string(i), "amber", {4, 8, 0});
        job.submittedAt = begin + milliseconds(i);
        pool.addJob(job);
    }
    failure_trial trial;
    for (int step = 0; step < 60; ++step) {
        pool.now += 1s;
        for (const auto &action : pool.place()) {
            if (action.kind != placement_kind::start) {
                continue;
            }
            static_cast<void>(applyEvent(pool.tables, action.job, job_event::started, pool.now));
            const bool isBadJob = action.job.starts_with("batch/bad");
            const bool isBadWorker = action.worker == badWorker;
            trial.attemptsAtBadWorker += isBadWorker ? 1 : 0;
            trial.attemptsOfBadJob += isBadJob ? 1 : 0;
            const bool succeeded = !isBadJob && !isBadWorker;
            const bool givenUp = recordOutcome(pool.tables, action.job, action.worker, succeeded,
                                               pool.now, pool.settings);
            trial.badJobGivenUp = trial.badJobGivenUp || (givenUp && isBadJob);
            trial.goodJobGivenUp = trial.goodJobGivenUp || (givenUp && !isBadJob);
            event_details details;
            details.notBefore = pool.now + 1s;
            static_cast<void>(applyEvent(pool.tables, action.job,
                                         succeeded ? job_event::finish
                                         : givenUp ? job_event::fail
                                                   : job_event::retry,
                                         pool.now, details));
        }
    }
    for (const auto &[id, worker] : pool.tables.workers) {
        if (worker.quarantinedUntil) {
            (id == badWorker ? trial.badWorkerQuarantined : trial.goodWorkerQuarantined) = true;
        }
    }
    return trial;
}

} // namespace

/// Guards against state transitions that run a job twice or leave a final state, against outdated
/// records that replace newer ones, and against wrong size corrections and back-offs.
class job_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_table_test);
    CPPUNIT_TEST(finalStatesHaveNoTransition);
    CPPUNIT_TEST(onlyRepeatableJobsAreRetried);
    CPPUNIT_TEST(stateNamesRoundTrip);
    CPPUNIT_TEST(olderRevisionIsIgnored);
    CPPUNIT_TEST(usageCorrectionIgnoresYoungTasks);
    CPPUNIT_TEST(backOffGrowsToItsBound);
    CPPUNIT_TEST_SUITE_END();

public:
    void finalStatesHaveNoTransition()
    {
        for (const auto state :
             {job_state::done, job_state::failed, job_state::cancelled, job_state::lost}) {
            for (int event = 0; event <= static_cast<int>(job_event::lose); ++event) {
                CPPUNIT_ASSERT(!stateAfter(state, static_cast<job_event>(event), true));
            }
        }
    }

    void onlyRepeatableJobsAreRetried()
    {
        for (const auto state :
             {job_state::starting, job_state::running, job_state::checkpointing}) {
            CPPUNIT_ASSERT(stateAfter(state, job_event::retry, true) == job_state::waiting);
            CPPUNIT_ASSERT(!stateAfter(state, job_event::retry, false));
        }
        CPPUNIT_ASSERT(!stateAfter(job_state::running, job_event::checkpoint, false));
        // The worker has confirmed that the attempt did not start.
        CPPUNIT_ASSERT(stateAfter(job_state::starting, job_event::never_started, false)
                       == job_state::waiting);
        CPPUNIT_ASSERT(!stateAfter(job_state::running, job_event::never_started, true));
    }

    void stateNamesRoundTrip()
    {
        for (int i = 0; i <= static_cast<int>(job_state::lost); ++i) {
            const auto state = static_cast<job_state>(i);
            CPPUNIT_ASSERT(parseJobState(nameOf(state)) == state);
        }
        CPPUNIT_ASSERT(!parseJobState("gone"));
    }

    void olderRevisionIsIgnored()
    {
        pool_fixture pool;
        auto job = makeJob("a", "amber", {1, 1, 0});
        putJob(pool.tables, job, 5, pool.now);
        job.state = job_state::cancelled;
        putJob(pool.tables, job, 4, pool.now);
        CPPUNIT_ASSERT(pool.job("a").state == job_state::waiting);
    }

    void usageCorrectionIgnoresYoungTasks()
    {
        pool_fixture pool;
        pool.addWorker("w1", {64, 512, 0});
        pool.addTeam("amber");
        pool.addJob(makeJob("a", "amber", {16, 100, 0}));
        for (int i = 0; i < 20; ++i) {
            // A young task has not reached its usual size, so its reports are ignored.
            recordUsage(pool.tables, "batch/a", {0, 0, 0}, 1s, pool.settings);
        }
        CPPUNIT_ASSERT(reservationFor(pool.tables, pool.job("a"), pool.settings)
                       == (resources {16, 100, 0}));
        for (int i = 0; i < 40; ++i) {
            recordUsage(pool.tables, "batch/a", {4, 200, 0}, 60s, pool.settings);
        }
        const auto size = reservationFor(pool.tables, pool.job("a"), pool.settings);
        CPPUNIT_ASSERT(size.processors >= 4 && size.processors <= 6);
        CPPUNIT_ASSERT(size.memoryMb >= 200 && size.memoryMb <= 240);
    }

    void backOffGrowsToItsBound()
    {
        const placement_settings settings;
        for (int failures = 1; failures < 40; ++failures) {
            const auto wait = backOff(failures, 7, settings);
            CPPUNIT_ASSERT(wait >= settings.firstBackOff / 2 && wait <= settings.maxBackOff);
        }
        CPPUNIT_ASSERT(backOff(30, 7, settings) >= settings.maxBackOff / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_table_test);

/// Guards against placements that exceed a worker's capacity, a cap or a team's share, and against
/// jobs that keep others waiting although a worker has room for those.
class placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(invariantsHoldUnderRandomChanges);
    CPPUNIT_TEST(invariantsBreakWithoutWorkerCapacity);
    CPPUNIT_TEST(invariantsBreakWithoutTeamCap);
    CPPUNIT_TEST(oversizedJobIsRefusedWithReason);
    CPPUNIT_TEST(oversizedJobWaitsUntilWorkerSizesAreKnown);
    CPPUNIT_TEST(largeJobDoesNotBlockOthers);
    CPPUNIT_TEST(largeJobBlocksOthersWithoutSkipping);
    CPPUNIT_TEST(largeJobStartsWhenRoomAppears);
    CPPUNIT_TEST(teamsGetProcessorsByWeight);
    CPPUNIT_TEST(acceleratorsAreKeptForJobsThatNeedThem);
    CPPUNIT_TEST(jobsOfAQueueAreSpreadOverRacks);
    CPPUNIT_TEST(urgentThrottlesThenCheckpointsThenStops);
    CPPUNIT_TEST(urgentWaitsWithoutPreemption);
    CPPUNIT_TEST(preemptionPrefersLeastLostWork);
    CPPUNIT_TEST(nonRepeatableIsNeverStopped);
    CPPUNIT_TEST(failuresAreAttributedToBadWorkerOrBadJob);
    CPPUNIT_TEST(manyBadJobsPenaliseNoGoodWorkerOrJob);
    CPPUNIT_TEST(goodWorkersOrJobsArePenalisedWithoutAttribution);
    CPPUNIT_TEST(atMostThirtyPercentAreQuarantined);
    CPPUNIT_TEST(blockedShapesAreNotRetriedWithoutChange);
    CPPUNIT_TEST_SUITE_END();

public:
    void invariantsHoldUnderRandomChanges()
    {
        CPPUNIT_ASSERT(rc::check([] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            RC_ASSERT(runRandomPool(seed, {}) == "");
        }));
    }
    void invariantsBreakWithoutWorkerCapacity()
    {
        placement_safeguards safeguards;
        safeguards.enforceWorkerCapacity = false;
        CPPUNIT_ASSERT(!randomPoolsKeepInvariants(safeguards));
    }
    void invariantsBreakWithoutTeamCap()
    {
        placement_safeguards safeguards;
        safeguards.enforceTeamCap = false;
        CPPUNIT_ASSERT(!randomPoolsKeepInvariants(safeguards));
    }

    void oversizedJobIsRefusedWithReason()
    {
        pool_fixture pool;
        pool.addWorker("w1", {8, 64, 0});
        pool.addTeam("amber");
        pool.addJob(makeJob("huge", "amber", {9, 1, 0}));
        pool.addJob(makeJob("small", "amber", {1, 1, 0}));
        const auto actions = pool.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.startsIn(actions));
        CPPUNIT_ASSERT(pool.job("huge").state == job_state::failed);
        CPPUNIT_ASSERT(pool.job("huge").reason.find("9 processors") != std::string::npos);
    }

    /// Guards against refusing a job because the larger workers have not answered yet.
    void oversizedJobWaitsUntilWorkerSizesAreKnown()
    {
        pool_fixture pool;
        pool.tables.areWorkerSizesKnown = false;
        pool.addWorker("w1", {8, 64, 0});
        pool.addTeam("amber");
        pool.addJob(makeJob("huge", "amber", {9, 1, 0}));
        static_cast<void>(pool.place());
        CPPUNIT_ASSERT(pool.job("huge").state == job_state::waiting);
        pool.addWorker("w2", {16, 64, 0});
        pool.tables.areWorkerSizesKnown = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.startsIn(pool.place()));
    }

    static std::size_t startsBehindLargeJob(bool skipBlockedShapes)
    {
        pool_fixture pool;
        pool.settings.safeguards.skipBlockedShapes = skipBlockedShapes;
        pool.addWorker("w1", {8, 64, 0});
        pool.addTeam("amber");
        pool.addJob(makeJob("first", "amber", {4, 1, 0}));
        static_cast<void>(pool.place());
        auto large = makeJob("large", "amber", {8, 1, 0});
        pool.addJob(large);
        for (int i = 0; i < 3; ++i) {
            auto small = makeJob("small" + std::to_string(i), "amber", {1, 1, 0});
            small.submittedAt = begin + 1s;
            pool.addJob(small);
        }
        return pool.startsIn(pool.place());
    }
    void largeJobDoesNotBlockOthers()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), startsBehindLargeJob(true));
    }
    void largeJobBlocksOthersWithoutSkipping()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), startsBehindLargeJob(false));
    }

    void largeJobStartsWhenRoomAppears()
    {
        pool_fixture pool;
        pool.addWorker("w1", {8, 64, 0});
        pool.addTeam("amber");
        pool.addJob(makeJob("first", "amber", {4, 1, 0}));
        static_cast<void>(pool.place());
        pool.addJob(makeJob("large", "amber", {8, 1, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), pool.startsIn(pool.place()));
        pool.apply("first", job_event::started);
        pool.apply("first", job_event::finish);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.startsIn(pool.place()));
    }

    void teamsGetProcessorsByWeight()
    {
        pool_fixture pool;
        for (int i = 0; i < 10; ++i) {
            pool.addWorker("w" + std::to_string(i), {8, 64, 0});
        }
        pool.addTeam("amber", 3);
        pool.addTeam("birch", 1);
        for (int i = 0; i < 200; ++i) {
            pool.addJob(makeJob("a" + std::to_string(i), "amber", {1, 1, 0}));
            auto late = makeJob("b" + std::to_string(i), "birch", {1, 1, 0});
            late.submittedAt = begin + 1h;
            pool.addJob(late);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(80), pool.startsIn(pool.place()));
        CPPUNIT_ASSERT_EQUAL(60, pool.tables.teams.at("amber").active);
        CPPUNIT_ASSERT_EQUAL(20, pool.tables.teams.at("birch").active);
    }

    void acceleratorsAreKeptForJobsThatNeedThem()
    {
        pool_fixture pool;
        pool.addWorker("accelerated", {8, 64, 8});
        pool.addWorker("plain", {64, 512, 0});
        pool.addTeam("amber");
        pool.addJob(makeJob("plain", "amber", {8, 8, 0}));
        pool.addJob(makeJob("training", "amber", {8, 8, 1}));
        static_cast<void>(pool.place());
        CPPUNIT_ASSERT_EQUAL(std::string("plain"), pool.job("plain").worker);
        CPPUNIT_ASSERT_EQUAL(std::string("accelerated"), pool.job("training").worker);
    }

    void jobsOfAQueueAreSpreadOverRacks()
    {
        pool_fixture pool;
        for (int i = 0; i < 8; ++i) {
            pool.addWorker("w" + std::to_string(i), {8, 64, 0}, "r" + std::to_string(i / 2));
        }
        pool.addTeam("amber");
        for (int i = 0; i < 8; ++i) {
            pool.addJob(makeJob("j" + std::to_string(i), "amber", {2, 2, 0}));
        }
        static_cast<void>(pool.place());
        for (const auto &[rack, count] : pool.tables.activeByQueueAndRack.at("batch")) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(rack, 2, count);
        }
    }

    /// Returns a pool whose only worker is filled by two running tasks, the second started 100 s
    /// after the first.
    static pool_fixture fullPool(bool repeatable)
    {
        pool_fixture pool;
        pool.addWorker("w1", {8, 64, 0});
        pool.addTeam("amber");
        for (const char *id : {"old", "young"}) {
            pool.addJob(makeJob(id, "amber", {4, 32, 0}, work_class::normal, repeatable));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.startsIn(pool.place()));
            pool.apply(id, job_event::started);
            pool.now += 100s;
        }
        return pool;
    }

    void urgentThrottlesThenCheckpointsThenStops()
    {
        // Throttling frees processors.
        auto throttled = fullPool(true);
        throttled.addJob(makeJob("urgent", "amber", {4, 0, 0}, work_class::urgent));
        auto actions = throttled.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), throttled.startsIn(actions));
        CPPUNIT_ASSERT_EQUAL(2, static_cast<int>(std::count_if(
                                    actions.begin(), actions.end(), [](const auto &action) {
                                        return action.kind == placement_kind::throttle;
                                    })));
        // Once the urgent job has ended, the others get their processors back.
        throttled.apply("urgent", job_event::started);
        throttled.apply("urgent", job_event::finish);
        actions = throttled.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), actions.size());
        CPPUNIT_ASSERT(actions[0].kind == placement_kind::unthrottle);

        // Throttling frees no memory, so a task has to be checkpointed.
        auto pool = fullPool(true);
        pool.addJob(makeJob("urgent", "amber", {4, 32, 0}, work_class::urgent));
        actions = pool.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].kind == placement_kind::checkpoint);
        pool.now += 500ms;
        CPPUNIT_ASSERT(pool.place().empty());
        pool.now += pool.settings.preemptionStep;
        actions = pool.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), actions.size());
        CPPUNIT_ASSERT(actions[0].kind == placement_kind::stop);
        event_details details;
        details.notBefore = pool.now + 10s;
        pool.apply(actions[0].job.substr(6), job_event::retry, details);
        actions = pool.place();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pool.startsIn(actions));
        CPPUNIT_ASSERT(pool.job("urgent").state == job_state::starting);
    }

    void urgentWaitsWithoutPreemption()
    {
        auto pool = fullPool(true);
        pool.settings.safeguards.preemptForUrgent = false;
        pool.addJob(makeJob("urgent", "amber", {4, 32, 0}, work_class::urgent));
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT(pool.place().empty());
            pool.now += 1s;
        }
    }

    void preemptionPrefersLeastLostWork()
    {
        auto pool = fullPool(true);
        pool.addJob(makeJob("urgent", "amber", {4, 32, 0}, work_class::urgent));
        const auto actions = pool.place();
        CPPUNIT_ASSERT_EQUAL(std::string("batch/young"), actions.at(0).job);
    }

    void nonRepeatableIsNeverStopped()
    {
        auto pool = fullPool(false);
        pool.addJob(makeJob("urgent", "amber", {4, 32, 0}, work_class::urgent));
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT(pool.place().empty());
            pool.now += 1s;
        }
    }

    void failuresAreAttributedToBadWorkerOrBadJob()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            const auto trial = runFailures(seed, true, 3);
            const std::string message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, trial.badWorkerQuarantined);
            CPPUNIT_ASSERT_MESSAGE(message, !trial.goodWorkerQuarantined);
            CPPUNIT_ASSERT_MESSAGE(message, trial.badJobGivenUp);
            CPPUNIT_ASSERT_MESSAGE(message, !trial.goodJobGivenUp);
            CPPUNIT_ASSERT_MESSAGE(message, trial.attemptsAtBadWorker <= 10);
            CPPUNIT_ASSERT_MESSAGE(message, trial.attemptsOfBadJob <= 3 * 4);
        }
    }

    static bool isGoodWorkerOrJobPenalised(bool attributeFailures)
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            const auto trial = runFailures(seed, attributeFailures, 60);
            if (trial.goodWorkerQuarantined || trial.goodJobGivenUp) {
                return true;
            }
        }
        return false;
    }
    /// Guards against quarantining good workers, or giving up good jobs, because sixty jobs of a
    /// broken release fail.
    void manyBadJobsPenaliseNoGoodWorkerOrJob()
    {
        CPPUNIT_ASSERT(!isGoodWorkerOrJobPenalised(true));
    }
    void goodWorkersOrJobsArePenalisedWithoutAttribution()
    {
        CPPUNIT_ASSERT(isGoodWorkerOrJobPenalised(false));
    }

    void atMostThirtyPercentAreQuarantined()
    {
        pool_fixture pool;
        pool.addTeam("amber");
        for (int i = 0; i < 10; ++i) {
            pool.addWorker("w" + std::to_string(i), {8, 64, 0});
        }
        // Every job fails on one of four faulty workers and then succeeds on one of six good ones.
        for (int round = 0; round < 40; ++round) {
            const std::string id = "j" + std::to_string(round);
            pool.addJob(makeJob(id, "amber", {1, 1, 0}));
            static_cast<void>(recordOutcome(pool.tables, "batch/" + id,
                                            "w" + std::to_string(round % 4), false, pool.now,
                                            pool.settings));
            static_cast<void>(recordOutcome(pool.tables, "batch/" + id,
                                            "w" + std::to_string(4 + round % 6), true, pool.now,
                                            pool.settings));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), pool.tables.quarantinedWorkers.size());
        pool.now += pool.settings.quarantineTime;
        static_cast<void>(pool.place());
        CPPUNIT_ASSERT(pool.tables.quarantinedWorkers.empty());
    }

    /// Guards against ticks whose cost grows with the backlog: a blocked shape is not searched
    /// again until something changes.
    void blockedShapesAreNotRetriedWithoutChange()
    {
        pool_fixture pool;
        pool.addWorker("w1", {8, 64, 0});
        pool.addTeam("amber");
        for (int i = 0; i < 100; ++i) {
            pool.addJob(makeJob("j" + std::to_string(i), "amber", {3, 1 + i % 7, 0}));
        }
        static_cast<void>(pool.place());
        CPPUNIT_ASSERT(pool.tables.placeableShapes.empty());
        CPPUNIT_ASSERT(pool.place().empty());
        CPPUNIT_ASSERT(pool.tables.placeableShapes.empty());
        CPPUNIT_ASSERT(pool.tables.workersWithNewRoom.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);
