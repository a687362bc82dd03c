#include "tests/support/control_world.h"

#include <cppunit/extensions/HelperMacros.h>
#include <glog/logging.h>
#include <rapidcheck.h>

#include <array>
#include <ostream>
#include <random>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

/// Faults are logged in thousands.
[[maybe_unused]] const bool isQuiet = [] {
    FLAGS_minloglevel = google::FATAL;
    return true;
}();

/// One scenario: owner "a" has a fault at one of its external calls, "b" takes over if need be.
struct fault_row
{
    const char *name;
    step_fault fault;
    milliseconds frozen; ///< for the freezes
    bool cutWorkers = false; ///< no worker is reached by anyone during the freeze
};

/// About twelve ticks of one owner: jobs are taken, written, started, renewed and ended in them.
constexpr std::size_t maxFaultCall = 96;

constexpr std::array<fault_row, 10> faultRows {{
    {"crash before the call", step_fault::crash_before, 0ms},
    {"crash after the call", step_fault::crash_after, 0ms},
    {"freeze until the other has just taken over", step_fault::freeze_before, 3000ms},
    {"freeze while the other reaches no worker", step_fault::freeze_before, 5000ms, true},
    {"short freeze before the call", step_fault::freeze_before, 3500ms},
    {"freeze before the call", step_fault::freeze_before, 10000ms},
    {"freeze after the call", step_fault::freeze_after, 10000ms},
    {"freeze beyond the task lease", step_fault::freeze_before, 40000ms},
    {"lost call", step_fault::lost_call, 0ms},
    {"lost response", step_fault::lost_response, 0ms},
}};

void submitSome(control_world &world)
{
    world.submit("once-1", "amber", false, 3000);
    world.submit("once-2", "amber", false, 9000);
    world.submit("again-1", "amber", true, 4000);
    world.submit("again-2", "amber", true, 12000);
    world.submit("again-3", "amber", true, 2000);
    world.submit("other-1", "birch", true, 5000);
    world.submit("broken-1", "birch", true, 500, work_class::normal, true);
}

/// Runs one scenario with the fault at the given call of "a"; returns the broken property.
/// `reached` is set if "a" made that many calls.
std::string runFault(const fault_row &row, std::size_t step, const pool_owner_options &options,
                     bool &reached)
{
    control_world world(options);
    world.add("a");
    world.run(4s); // "a" owns the pool and knows the workers.
    world.add("b");
    world.run(2s);
    submitSome(world);
    auto &a = world.at("a");
    a.steps.faultAt = a.steps.steps() + step;
    a.steps.fault = row.fault;
    reached = false;
    a.steps.whileFrozen = [&] {
        reached = true;
        for (std::size_t i = 0; i < control_world::workerCount; ++i) {
            world.setCut(i, row.cutWorkers);
        }
        world.runWithout("a", row.frozen);
        for (std::size_t i = 0; i < control_world::workerCount; ++i) {
            world.setCut(i, false);
        }
    };
    world.run(12s);
    world.submit("late-1", "amber", false, 2000);
    world.run(12s);
    reached =
        reached || !world.has("a") || world.at("a").steps.steps() >= world.at("a").steps.faultAt;
    if (auto broken = world.violation(false); !broken.empty()) {
        return broken;
    }
    world.run(150s);
    return world.violation(true);
}

/// The owner loses the store, the other one a worker that the owner still reaches.
std::string runPartition(const pool_owner_options &options)
{
    control_world world(options);
    world.add("a");
    world.run(4s);
    world.add("b");
    world.run(2s);
    world.submit("again", "birch", true, 90000);
    world.run(2s);
    const auto worker = world.record("again")->worker;
    world.at("a").store->isCut = true;
    world.at("b").workers->cutPorts.insert(static_cast<std::uint16_t>(worker.back() - '0' + 1));
    world.run(200s);
    return world.violation(true);
}

/// Returns the first broken property over all rows and steps, with where it was found.
std::string searchFaults(const pool_owner_options &options)
{
    for (const auto &row : faultRows) {
        for (std::size_t step = 1; step <= maxFaultCall; ++step) {
            bool reached = false;
            const auto broken = runFault(row, step, options, reached);
            if (!broken.empty()) {
                return std::string(row.name) + " at call " + std::to_string(step) + ": " + broken;
            }
            if (!reached) {
                break;
            }
        }
    }
    return {};
}

enum class world_action : std::uint8_t {
    tick_a,
    tick_b,
    advance, ///< without a tick of any process
    freeze_a, ///< the next call of "a" is delayed while the others run
    cut_worker,
    mend_worker,
    restart_worker,
    submit_once,
    submit_again,
    submit_urgent,
    cancel,
    lose_response, ///< of the next call of "a"
    lose_call,
    restart_a, ///< "a" ends and a new process starts
    count
};

struct world_step
{
    world_action action = world_action::advance;
    std::uint8_t pick = 0;
};

std::ostream &operator<<(std::ostream &out, const world_step &step)
{
    return out << static_cast<int>(step.action) << ':' << int {step.pick};
}

std::string runSteps(const std::vector<world_step> &steps, const pool_owner_options &options)
{
    control_world world(options);
    std::string a = "a0";
    int started = 0;
    int submitted = 0;
    world.add(a);
    world.add("b");
    world.run(3s);
    std::size_t done = 0;
    for (const auto &step : steps) {
        auto &process = world.at(a);
        const auto arm = [&](step_fault fault) {
            process.steps.fault = fault;
            process.steps.faultAt = process.steps.steps() + 1 + step.pick % 16U;
            const milliseconds frozen(1000 * (1 + step.pick % 30));
            process.steps.whileFrozen = [&world, a, frozen] { world.runWithout(a, frozen); };
        };
        const std::string id = "j" + std::to_string(submitted);
        const int runMs = 500 + 100 * step.pick;
        const std::string team = step.pick % 3 == 0 ? "birch" : "amber";
        switch (step.action) {
        case world_action::tick_a:
            world.clock().advance(500ms);
            world.tick(a);
            break;
        case world_action::tick_b:
            world.clock().advance(500ms);
            world.tick("b");
            break;
        case world_action::advance:
            world.clock().advance(milliseconds(250 * (step.pick % 32U)));
            break;
        case world_action::freeze_a:
            arm(step.pick % 2 == 0 ? step_fault::freeze_before : step_fault::freeze_after);
            break;
        case world_action::lose_response:
            arm(step_fault::lost_response);
            break;
        case world_action::lose_call:
            arm(step_fault::lost_call);
            break;
        case world_action::cut_worker:
            world.setCut(step.pick % control_world::workerCount, true);
            break;
        case world_action::mend_worker:
            world.setCut(step.pick % control_world::workerCount, false);
            break;
        case world_action::restart_worker:
            world.worker(step.pick % control_world::workerCount).restart();
            break;
        case world_action::submit_once:
            world.submit(id, team, false, runMs);
            ++submitted;
            break;
        case world_action::submit_again:
            world.submit(id, team, true, runMs);
            ++submitted;
            break;
        case world_action::submit_urgent:
            world.submit(id, team, step.pick % 2 == 0, runMs, work_class::urgent);
            ++submitted;
            break;
        case world_action::cancel:
            if (submitted > 0) {
                world.cancel("j" + std::to_string(step.pick % submitted));
            }
            break;
        case world_action::restart_a:
            world.remove(a);
            a = "a" + std::to_string(++started);
            world.add(a);
            break;
        case world_action::count:
            break;
        }
        if (++done % 10 != 0) {
            continue;
        }
        if (auto broken = world.violation(false); !broken.empty()) {
            return broken;
        }
    }
    for (std::size_t i = 0; i < control_world::workerCount; ++i) {
        world.setCut(i, false);
    }
    world.run(250s);
    return world.violation(true);
}

std::vector<world_step> randomSteps(std::mt19937_64 &random, std::size_t count)
{
    std::vector<world_step> steps(count);
    for (auto &step : steps) {
        // Half of the steps are ticks, so that the processes get somewhere.
        const auto pick = random() % 28;
        step.action = pick < 7    ? world_action::tick_a
                      : pick < 14 ? world_action::tick_b
                                  : static_cast<world_action>(pick - 14);
        step.pick = static_cast<std::uint8_t>(random());
    }
    return steps;
}

std::string searchSteps(const pool_owner_options &options, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        auto broken = runSteps(randomSteps(random, 60), options);
        if (!broken.empty()) {
            return "seed " + std::to_string(seed) + ": " + broken;
        }
    }
    return {};
}

pool_owner_options without(bool owner_safeguards::*safeguard)
{
    pool_owner_options options;
    options.safeguards.*safeguard = false;
    return options;
}

} // namespace

/// Guards the hand-over between owners: faults at every external call of an owner.
class control_fault_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_fault_test);
    CPPUNIT_TEST(holdsAtEveryCall);
    CPPUNIT_TEST(holdsUnderRandomSteps);
    CPPUNIT_TEST(holdsUnderPartition);
    CPPUNIT_TEST(holdsUnderShrinkableSteps);
    CPPUNIT_TEST(failsWithoutGuard);
    CPPUNIT_TEST(failsWithoutMark);
    CPPUNIT_TEST(failsWithoutWriteBeforeStart);
    CPPUNIT_TEST(failsWithoutWaitForLease);
    CPPUNIT_TEST(failsWithoutLeaseFromProof);
    CPPUNIT_TEST(failsWithoutTeamCap);
    CPPUNIT_TEST(failsWithoutSizeBound);
    CPPUNIT_TEST_SUITE_END();

public:
    void holdsAtEveryCall()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), searchFaults({}));
    }
    void holdsUnderPartition()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), runPartition({}));
    }
    void holdsUnderRandomSteps()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), searchSteps({}, 60));
    }
    /// Takes its seed from RC_PARAMS and shrinks what it finds.
    void holdsUnderShrinkableSteps()
    {
        const auto one = rc::gen::build<world_step>(
            rc::gen::set(
                &world_step::action,
                rc::gen::weightedOneOf<world_action>(
                    {{1, rc::gen::element(world_action::tick_a, world_action::tick_b)},
                     {1,
                      rc::gen::map(rc::gen::inRange(0, static_cast<int>(world_action::count)),
                                   [](int value) { return static_cast<world_action>(value); })}})),
            rc::gen::set(&world_step::pick));
        CPPUNIT_ASSERT(rc::check([&one] {
            const auto steps = *rc::gen::container<std::vector<world_step>>(one);
            RC_ASSERT(runSteps(steps, {}) == "");
        }));
    }
    void failsWithoutGuard()
    {
        CPPUNIT_ASSERT(isBroken(without(&owner_safeguards::guardWrites)));
    }
    void failsWithoutMark()
    {
        CPPUNIT_ASSERT(isBroken(without(&owner_safeguards::markBeforeRetry)));
    }
    void failsWithoutWriteBeforeStart()
    {
        CPPUNIT_ASSERT(isBroken(without(&owner_safeguards::writeBeforeStart)));
    }
    void failsWithoutWaitForLease()
    {
        CPPUNIT_ASSERT(isBroken(without(&owner_safeguards::waitForLease)));
    }
    void failsWithoutLeaseFromProof()
    {
        CPPUNIT_ASSERT(isBroken(without(&owner_safeguards::leaseFromProof)));
    }
    void failsWithoutTeamCap()
    {
        pool_owner_options options;
        options.placement.safeguards.enforceTeamCap = false;
        CPPUNIT_ASSERT(isBroken(options));
    }
    void failsWithoutSizeBound()
    {
        pool_owner_options options;
        options.placement.safeguards.enforceWorkerCapacity = false;
        CPPUNIT_ASSERT(isBroken(options));
    }

private:
    static bool isBroken(const pool_owner_options &options)
    {
        return !runPartition(options).empty() || !searchSteps(options, 30).empty()
               || !searchFaults(options).empty();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_fault_test);

/// Guards the course of jobs with one healthy owner, and planned hand-overs.
class control_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_service_test);
    CPPUNIT_TEST(jobsRunToTheirEnd);
    CPPUNIT_TEST(cancellationWaveIsOneBatch);
    CPPUNIT_TEST(runningJobIsCancelled);
    CPPUNIT_TEST(handOverLeavesTasksRunning);
    CPPUNIT_TEST(frozenOwnerIsReplacedInTimeForUrgentJobs);
    CPPUNIT_TEST(lostWorkerRestartsRepeatableJobsOnly);
    CPPUNIT_TEST(leavingWorkerHandsBackItsCheckpoint);
    CPPUNIT_TEST(storeOutageKeepsTasksWithinTheirLease);
    CPPUNIT_TEST(allowanceRecordShowsThePool);
    CPPUNIT_TEST(preferenceMovesOnlyThePoolsOfTheChangedMember);
    CPPUNIT_TEST_SUITE_END();

public:
    void jobsRunToTheirEnd()
    {
        control_world world;
        world.add("a");
        world.run(3s);
        submitSome(world);
        world.run(300s);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation(true));
        for (const char *id : {"once-1", "once-2", "again-1", "again-2", "again-3", "other-1"}) {
            CPPUNIT_ASSERT_MESSAGE(id, world.record(id)->state == job_state::done);
        }
        CPPUNIT_ASSERT(world.record("broken-1")->state == job_state::failed);
        CPPUNIT_ASSERT_EQUAL(std::string("exit status 1"), world.record("broken-1")->reason);
        // Nothing is left behind in the owner's memory or in the store's notes.
        CPPUNIT_ASSERT(world.at("a").service->pools().at("general")->tables().jobs.empty());
        CPPUNIT_ASSERT(world.store().range({"job-note/", true, false})->entries.empty());
    }

    void cancellationWaveIsOneBatch()
    {
        control_world world;
        world.add("a");
        world.run(3s);
        for (int i = 0; i < 60; ++i) {
            world.submit("j" + std::to_string(i), "birch", true, 500000);
        }
        world.run(5s);
        for (int i = 0; i < 60; ++i) {
            world.cancel("j" + std::to_string(i));
        }
        const auto before = world.store().writeCalls();
        world.run(3s);
        for (int i = 0; i < 60; ++i) {
            CPPUNIT_ASSERT(world.record("j" + std::to_string(i))->state == job_state::cancelled);
        }
        // Three renewals, one lease for retention, at most one allowance write a second, one batch
        // of records and one of notes.
        CPPUNIT_ASSERT(world.store().writeCalls() - before <= 9);
        CPPUNIT_ASSERT(world.store().range({"job-note/", true, false})->entries.empty());
    }

    void runningJobIsCancelled()
    {
        control_world world;
        world.add("a");
        world.run(3s);
        world.submit("long", "amber", false, 500000);
        world.run(3s);
        CPPUNIT_ASSERT(world.record("long")->state == job_state::running);
        world.cancel("long");
        world.run(3s);
        CPPUNIT_ASSERT(world.record("long")->state == job_state::cancelled);
        CPPUNIT_ASSERT_EQUAL(std::string("stopped"), world.runs().at(0).how);
    }

    void handOverLeavesTasksRunning()
    {
        control_world world;
        world.add("a");
        world.run(3s);
        world.submit("long", "amber", false, 60000);
        world.run(3s);
        world.add("b");
        world.run(1s);
        world.at("a").service->handOver();
        world.remove("a");
        world.run(1s); // No lease has to expire first.
        CPPUNIT_ASSERT(world.at("b").service->pools().contains("general"));
        world.run(70s);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation(true));
        CPPUNIT_ASSERT(world.record("long")->state == job_state::done);
    }

    void frozenOwnerIsReplacedInTimeForUrgentJobs()
    {
        control_world world;
        world.add("a");
        world.run(3s);
        world.add("b");
        world.run(2s);
        const auto submittedAt = world.clock().wallNow();
        world.submit("urgent", "amber", true, 1000, work_class::urgent);
        world.runWithout("a", 5s);
        const auto runs = world.runs();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), runs.size());
        CPPUNIT_ASSERT(runs[0].start - submittedAt <= 4900ms);
    }

    void lostWorkerRestartsRepeatableJobsOnly()
    {
        control_world world;
        world.add("a");
        world.run(3s);
        world.submit("again", "amber", true, 30000);
        world.submit("once", "amber", false, 30000);
        world.run(3s);
        for (std::size_t i = 0; i < control_world::workerCount; ++i) {
            world.setCut(i, true);
        }
        world.run(15s);
        // The leases have not certainly expired yet.
        CPPUNIT_ASSERT(world.record("again")->state == job_state::running);
        world.run(15s);
        CPPUNIT_ASSERT(world.record("once")->state == job_state::lost);
        for (std::size_t i = 0; i < control_world::workerCount; ++i) {
            world.setCut(i, false);
        }
        world.run(60s);
        CPPUNIT_ASSERT(world.record("again")->state == job_state::done);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation(true));
    }

    void leavingWorkerHandsBackItsCheckpoint()
    {
        control_world world;
        world.add("a");
        world.run(3s);
        world.submit("again", "amber", true, 30000);
        world.run(12s);
        const auto first = world.record("again")->worker;
        world.worker(static_cast<std::size_t>(first.back() - '0')).leave();
        world.run(40s);
        const auto runs = world.runs();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), runs.size());
        CPPUNIT_ASSERT_EQUAL(std::string("checkpointed"), runs[0].how);
        CPPUNIT_ASSERT(!runs[1].resumedFrom.empty());
        CPPUNIT_ASSERT(world.record("again")->state == job_state::done);
    }

    void storeOutageKeepsTasksWithinTheirLease()
    {
        control_world world;
        world.add("a");
        world.run(3s);
        world.submit("once", "amber", false, 25000);
        world.run(3s);
        world.store().setFaultHook([](std::string_view) { return store_fault::unavailable; });
        world.run(15s);
        world.store().setFaultHook({});
        world.run(30s);
        CPPUNIT_ASSERT(world.record("once")->state == job_state::done);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation(true));
    }

    void allowanceRecordShowsThePool()
    {
        control_world world;
        world.add("a");
        world.run(3s);
        for (int i = 0; i < 10; ++i) {
            world.submit("j" + std::to_string(i), "amber", true, 500000);
        }
        world.run(10s);
        const auto read = world.store().range({"allowance/amber", false, false});
        const auto record = decodeAllowance(read->entries.at(0).value);
        const auto &holder = record->holders.at("jobs/general");
        CPPUNIT_ASSERT_EQUAL(control_world::amberLimit, holder.grant);
        CPPUNIT_ASSERT_EQUAL(control_world::amberLimit, holder.use);
        CPPUNIT_ASSERT_EQUAL(std::string(), world.violation(false));
    }

    void preferenceMovesOnlyThePoolsOfTheChangedMember()
    {
        const std::set<std::string> before {"a", "b", "c"};
        const std::set<std::string> after {"a", "c"};
        std::map<std::string, int> counts;
        for (int i = 0; i < 300; ++i) {
            const std::string pool = "pool" + std::to_string(i);
            const auto owner = preferredOwner(pool, before);
            ++counts[owner];
            if (owner != "b") {
                CPPUNIT_ASSERT_EQUAL(owner, preferredOwner(pool, after));
            }
        }
        for (const auto &member : before) {
            CPPUNIT_ASSERT_MESSAGE(member, counts[member] > 60);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_service_test);
