#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/backlog/occurrence_window.h>
#include <ibishinge/fleet/objective.h>
#include <ibishinge/fleet/placement.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <tuple>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds taskTime {600};

/// One pool of 4 workers in virtual time, with the customers `a`, `b` and `c`. The queue
/// `queue-low` of the pool is for tests of priorities.
struct shared_pool : fleet_world
{
    explicit shared_pool(std::map<std::string, double> weights, std::int64_t cpuOfWorker = 8000)
        : fleet_world(4)
    {
        coordination.shareOrder = true;
        std::erase_if(world.workers, [](const auto &each) { return each.first[5] == 'b'; });
        std::erase_if(world.hosts, [](const auto &each) { return each.second.pool == "pool-b"; });
        std::erase_if(world.items,
                      [](const auto &each) { return each.first.starts_with("workers/pool-b"); });
        for (auto &[id, worker] : world.workers) {
            worker.entry.capacity.cpuMillis = cpuOfWorker;
            world.hosts.at(worker.entry.host).capacity.cpuMillis = cpuOfWorker;
        }
        for (const auto &[name, weight] : weights) {
            world.config.customers[name] = {name, {"key-" + name}, weight, {}};
            world.config.customerOfKey["key-" + name] = name;
        }
        world.config.customers["north"] = {"north", {"key-north"}, weights.at("a"), {}};
        auto low = world.config.queues.front();
        low.name = "queue-low";
        low.prefix = "/low/";
        world.config.queues.push_back(low);
        world.behaviourOf = [this](const task_name &task) {
            m_waits[ownerOf.at(task.job)].push_back(since(m_submittedAt.at(task.job), loop.now()));
            return virtual_world::behaviour {taskTime, false};
        };
    }

    void begin()
    {
        addProcess("first");
        CPPUNIT_ASSERT(waitForLeader());
        loop.run(1s);
    }

    void submit(const std::string &customer, const job_spec &spec,
                const std::string &prefix = "/pool-a/")
    {
        caller_request request;
        request.operation = caller_operation::submit;
        request.host = "jobs.example";
        auto number = std::to_string(m_next++);
        number.insert(0, 16 - number.size(), '0');
        request.path = prefix + number;
        request.key = "key-" + customer;
        request.callerTimeout = 3000ms;
        request.spec = spec;
        m_submittedAt[number] = loop.now();
        ownerOf[number] = prefix == "/low/" ? "low" : customer;
        send(*leader(), request, [](const caller_answer &answer) {
            CPPUNIT_ASSERT(answer.kind == answer_kind::accepted);
        });
    }

    /// Submits jobs of 4 tasks that need `part` of the pool, for `duration`.
    void load(const std::string &customer, double part, milliseconds duration,
              const std::string &prefix = "/pool-a/")
    {
        const auto jobs = static_cast<int>(part * 8 * static_cast<double>(duration / taskTime));
        for (int i = 0; i < jobs; ++i) {
            loop.after(duration * i / jobs,
                       [this, customer, prefix] { submit(customer, simpleJob(4), prefix); });
        }
    }

    /// Returns the tasks at work, by customer.
    std::map<std::string, int> running()
    {
        std::map<std::string, int> counts;
        for (const auto &[id, worker] : world.workers) {
            for (const auto &[task, run] : worker.running) {
                ++counts[ownerOf.at(task.job)];
            }
        }
        return counts;
    }

    /// Returns the time in milliseconds within which 95% of the customer's tasks started.
    std::int64_t waitOf(const std::string &customer)
    {
        auto &waits = m_waits.at(customer);
        std::sort(waits.begin(), waits.end());
        return waits[waits.size() * 95 / 100].count();
    }

    std::map<std::string, std::string> ownerOf; ///< customer by job

private:
    int m_next = 1;
    std::map<std::string, instant> m_submittedAt; ///< by job
    std::map<std::string, std::vector<milliseconds>> m_waits; ///< of tasks, by customer
};

void checkNear(int expected, int actual, const std::string &customer)
{
    CPPUNIT_ASSERT_MESSAGE(customer + " runs " + std::to_string(actual) + " of "
                               + std::to_string(expected),
                           std::abs(actual - expected) <= 1);
}

/// Checks the shares of a full pool of 28 cores with weights 1:2:4.
void checkShares(const std::map<std::string, int> &running)
{
    checkNear(4, running.at("a"), "a");
    checkNear(8, running.at("b"), "b");
    checkNear(16, running.at("c"), "c");
}

const std::map<std::string, double> oneTwoFour {{"a", 1}, {"b", 2}, {"c", 4}};

/// Random jobs of a pool, some of them begun, of three customers.
void fillRandomly(fleet_tables &tables, int priorities, instant now)
{
    const auto number = [](int end) { return *rc::gen::inRange(0, end); };
    configuration config;
    config.pools["pool"] = {"pool", true, false};
    for (const std::string name : {"q0", "q1"}) {
        queue_config queue;
        queue.name = name;
        queue.pool = "pool";
        queue.priority = name == "q1" ? priorities - 1 : 0;
        queue.objectiveFactor = 1.6;
        config.queues.push_back(queue);
    }
    for (const std::string name : {"a", "b", "c"}) {
        config.customers[name] = {name, {}, 3, {}};
    }
    setConfiguration(tables, config);
    for (int i = number(30); i > 0; --i) {
        job_entry job;
        job.id = "job-" + std::to_string(i);
        job.queue = "q" + std::to_string(number(2));
        job.customer = std::string(1, static_cast<char>('a' + number(3)));
        job.spec = simpleJob(1 + number(3));
        job.spec.steps.push_back(job.spec.steps.front());
        job.spec.steps.back().estimate = milliseconds(100 * number(20));
        job.spec.steps.front().longRunning = number(4) == 0;
        job.spec.steps.back().after = number(2) == 0 ? std::vector<int> {0} : std::vector<int> {};
        job.stored = number(8) != 0;
        job.begun = number(2) == 0;
        job.submittedAt = now - milliseconds(1000 * number(20));
        openDueOccurrences(job, 0);
        if (job.begun) {
            for (auto &step : job.occurrences.at(0).steps) {
                for (std::size_t index = 0; index < step.count; ++index) {
                    auto &task = changeTask(step, index);
                    task.phase = number(2) == 0 ? task_phase::waiting : task_phase::placed;
                    task.notBefore = now + milliseconds(number(3) - 1);
                }
            }
        }
        tables.jobs.emplace(job.id, job);
    }
}

/// A pool of one worker with 10 cores and 10,000 MB, and two waiting jobs of queues of different
/// priorities: `stuck` of the customer `a`, which waits longest, and `waits` of `b`.
void fillPool(fleet_tables &tables, instant now, int tasks = 4)
{
    configuration config;
    config.pools["pool"] = {"pool", true, false};
    for (const int priority : {0, 1}) {
        queue_config queue;
        queue.name = "q" + std::to_string(priority);
        queue.pool = "pool";
        queue.priority = priority;
        queue.objectiveFactor = 1.6;
        config.queues.push_back(queue);
    }
    config.customers["a"] = {"a", {}, 2, {}};
    config.customers["b"] = {"b", {}, 1, {}};
    setConfiguration(tables, config);
    auto &worker = tables.workers["w"];
    worker.registered = worker.verified = worker.onRoster = true;
    worker.entry.id = "w";
    worker.entry.pool = "pool";
    worker.entry.capacity = {10'000, 10'000, 0};
    worker.entry.state = worker_state::ready;
    const auto add = [&](const char *id, const char *queue, const char *customer,
                         milliseconds age) {
        job_entry job;
        job.id = id;
        job.queue = queue;
        job.customer = customer;
        job.spec = simpleJob(tasks);
        job.stored = true;
        job.submittedAt = now - age;
        openDueOccurrences(job, 0);
        tables.jobs.emplace(id, job);
    };
    add("stuck", "q0", "a", 30s);
    add("waits", "q1", "b", 20s);
}

/// Returns the waiting steps in the order of the releases before shares: class, objective, id.
std::vector<std::tuple<int, instant, std::string, int>> formerOrder(fleet_tables &tables,
                                                                    instant now)
{
    std::vector<std::tuple<int, instant, std::string, int>> rows;
    for (auto &[id, job] : tables.jobs) {
        updateObjective(tables, job, 0);
        const auto &occurrence = job.occurrences.at(0);
        for (std::size_t step = 0; job.stored && step < 2; ++step) {
            const auto &tasks = occurrence.steps[step];
            if (isStepReady(job.spec, occurrence, static_cast<int>(step))
                && findFirst(tasks, [now](const auto &task) {
                       return task.phase == task_phase::waiting && task.notBefore <= now;
                   })) {
                const bool late =
                    now + remainingTime(tables, job, occurrence, step) > *occurrence.objectiveAt;
                rows.emplace_back(job.spec.steps[step].longRunning ? 0 : (late ? 2 : 1),
                                  *occurrence.objectiveAt, id, static_cast<int>(step));
            }
        }
    }
    std::sort(rows.begin(), rows.end());
    return rows;
}

} // namespace

class shares_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shares_test);
    CPPUNIT_TEST(surgeOfOneCustomerDoesNotDelayOthers);
    CPPUNIT_TEST(lentCapacityComesBack);
    CPPUNIT_TEST(sharesFollowWeightsAlsoAfterTakeOver);
    CPPUNIT_TEST(memoryAndProcessorsShareByDominantResource);
    CPPUNIT_TEST(weightZeroGetsWhatOthersLeave);
    CPPUNIT_TEST(stepsAreSplitAtTheEntitlement);
    CPPUNIT_TEST(lowPriorityWaitsUntilTheStarvationBound);
    CPPUNIT_TEST(stepThatCannotStartDoesNotUseUpTheBound);
    CPPUNIT_TEST(longRunningStepsDoNotUseUpTheBound);
    CPPUNIT_TEST(demandIsLimitedInProportion);
    CPPUNIT_TEST(weightsOfAnyScaleShare);
    CPPUNIT_TEST(equalWeightsAndPrioritiesKeepTheFormerOrder);
    CPPUNIT_TEST(movedWorkerIsCountedInItsPool);
    CPPUNIT_TEST(invalidFieldsKeepTheirValues);
    CPPUNIT_TEST(invalidFieldIsCountedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Load: `a` and `c` ask for 25% of a pool, and `b` for 125%, five times its usual, for 8 s.
    /// Guards against the surge delaying the others, which stay within their shares: a place is
    /// free for them as soon as any run ends.
    void surgeOfOneCustomerDoesNotDelayOthers()
    {
        const auto surge = [](double weightOfA) {
            shared_pool pool({{"a", weightOfA}, {"b", 1}, {"c", 1}});
            pool.begin();
            pool.load("a", 0.25, 8s);
            pool.load("c", 0.25, 8s);
            pool.load("b", 1.25, 8s);
            pool.loop.run(8s);
            CPPUNIT_ASSERT(pool.world.violations.empty());
            return std::pair(pool.waitOf("a"), pool.waitOf("c"));
        };
        const auto [withSharesA, withSharesC] = surge(2);
        const auto without = surge(1).first; // equal weights: today's order
        const auto seen = std::to_string(withSharesA) + " ms, " + std::to_string(withSharesC)
                          + " ms, without shares " + std::to_string(without) + " ms";
        CPPUNIT_ASSERT_MESSAGE(seen,
                               withSharesA <= taskTime.count() && withSharesC <= taskTime.count());
        CPPUNIT_ASSERT_MESSAGE(seen, without >= 2 * withSharesA);
    }

    /// Load: `b` alone fills the pool, then `a` asks for all of it. Guards against capacity that
    /// is lent to a customer staying with it.
    void lentCapacityComesBack()
    {
        shared_pool pool({{"a", 3}, {"b", 1}, {"c", 1}});
        pool.begin();
        pool.submit("b", simpleJob(400));
        pool.loop.run(2s);
        checkNear(32, pool.running()["b"], "b");
        pool.submit("a", simpleJob(400));
        pool.loop.run(2 * taskTime);
        checkNear(24, pool.running()["a"], "a");
        checkNear(8, pool.running()["b"], "b");
    }

    /// Load: three customers each ask for more than the pool has. Guards against shares that do
    /// not follow the weights, and against a new coordinator that does not know what is held.
    void sharesFollowWeightsAlsoAfterTakeOver()
    {
        shared_pool pool(oneTwoFour, 7000);
        pool.begin();
        pool.addProcess("second");
        for (const auto &[customer, weight] : oneTwoFour) {
            for (int i = 0; i < 4; ++i) {
                pool.submit(customer, simpleJob(400));
            }
        }
        pool.loop.run(3s);
        checkShares(pool.running());
        pool.kill("first", false);
        CPPUNIT_ASSERT(pool.waitForLeader(20s));
        pool.loop.run(3s);
        checkShares(pool.running());
        CPPUNIT_ASSERT(pool.world.violations.empty());
    }

    /// Load: one customer is bound by memory, the other by processors (the example of Ghodsi et
    /// al., 2011). Guards against fairness in one resource only, which starves one of them.
    void memoryAndProcessorsShareByDominantResource()
    {
        pool_shares shares;
        shares.capacity = {9000, 18000, 0};
        shares.customers["memory"].waiting = {100'000, 400'000, 0};
        shares.customers["processors"].waiting = {300'000, 100'000, 0};
        computeEntitlements(shares);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0 / 3, shares.level, 1e-9);
        // A customer that needs no memory goes on growing once memory is used up.
        shares.customers["memory"].weight = 2;
        shares.customers["memory"].waiting = {10'000, 400'000, 0};
        shares.customers["processors"].waiting = {300'000, 0, 0};
        computeEntitlements(shares);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, shares.customers["memory"].entitlement, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.95, shares.customers["processors"].entitlement, 1e-9);
        // Demand that does not fill the pool entitles everyone to what they ask for.
        shares.customers["memory"].waiting = {1000, 4000, 0};
        shares.customers["processors"].waiting = {3000, 0, 0};
        computeEntitlements(shares);
        CPPUNIT_ASSERT(std::isinf(shares.level));
    }

    /// Load: a customer of weight 0 beside one that first asks for less than the pool has, then
    /// for more. Guards against weight 0 taking entitled capacity, or leaving capacity idle.
    void weightZeroGetsWhatOthersLeave()
    {
        shared_pool pool({{"a", 1}, {"b", 0}, {"c", 1}});
        pool.begin();
        pool.submit("b", simpleJob(400));
        pool.submit("a", simpleJob(8));
        pool.loop.run(300ms);
        checkNear(24, pool.running()["b"], "b");
        pool.submit("a", simpleJob(400));
        pool.loop.run(2 * taskTime);
        checkNear(32, pool.running()["a"], "a");
    }

    /// Load: wide steps arrive at an empty pool at once. Guards against the first one taking the
    /// whole pool in one pass.
    void stepsAreSplitAtTheEntitlement()
    {
        shared_pool pool({{"a", 1}, {"b", 3}, {"c", 1}});
        pool.begin();
        pool.submit("a", simpleJob(100));
        pool.submit("b", simpleJob(100));
        pool.loop.run(400ms);
        checkNear(8, pool.running()["a"], "a");
        checkNear(24, pool.running()["b"], "b");
    }

    /// Load: a queue of priority 0 asks for 1.5 times the pool for 16 s, beside one of priority 1.
    /// Guards against a lower priority that goes first or waits for ever, and against the bound
    /// giving it more than its part of the pool.
    void lowPriorityWaitsUntilTheStarvationBound()
    {
        shared_pool pool({{"a", 1}, {"b", 1}, {"c", 1}});
        pool.world.config.queues.back().priority = 1;
        pool.begin();
        pool.load("a", 1.5, 16s);
        pool.loop.run(2s);
        pool.submit("b", simpleJob(20), "/low/");
        const auto begin = pool.loop.now();
        int most = 0;
        instant first;
        while (pool.loop.now() < begin + 14s) {
            pool.loop.run(50ms);
            const int low = pool.running()["low"];
            most = std::max(most, low);
            first = low > 0 && first == instant {} ? pool.loop.now() : first;
        }
        const auto waited = since(begin, first);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(waited.count()),
                               waited > starvationBound && waited < starvationBound + 1s);
        CPPUNIT_ASSERT_EQUAL(3, most); // a tenth of 32 cores
    }

    /// Load: the longest wait is that of a step that nothing in the pool can start. Guards against
    /// it taking the starvation bound's part of the pool from steps that can start, which would
    /// then wait for ever.
    void stepThatCannotStartDoesNotUseUpTheBound()
    {
        enum class reason { limit, label, room, gang };
        for (const auto why : {reason::limit, reason::label, reason::room, reason::gang}) {
            fleet_tables tables;
            const auto now = instant {} + 1h;
            fillPool(tables, now);
            auto &stuck = tables.jobs.at("stuck");
            auto &step = stuck.spec.steps.front();
            tables.workers.at("w").held = {7000, 0, 0};
            if (why == reason::limit) {
                tables.config.customers["a"].limit = {500, 0, 0};
            } else if (why == reason::label) {
                step.requiredLabel = "none";
            } else if (why == reason::room) {
                step.need.cpuMillis = 5000;
            } else {
                step.gang = true;
            }
            const auto steps = waitingSteps(tables, now)["pool"];
            CPPUNIT_ASSERT_EQUAL(std::string("waits"), steps.front().job->id);
            CPPUNIT_ASSERT(!steps.front().key.withinBound);
            CPPUNIT_ASSERT_EQUAL(1, steps.front().maxTasks);
        }
    }

    /// Guards against long-running tasks that take the starvation bound's part of the pool and keep
    /// it for as long as they run, so that other steps past the bound wait for ever.
    void longRunningStepsDoNotUseUpTheBound()
    {
        const auto now = instant {} + 1h;
        std::vector<queued_step> steps(2);
        for (auto &step : steps) {
            step.where.key.priority = 1;
            step.waitingTasks = 1;
            step.need = {1000, 0, 0};
            step.waitsSince = now - 2 * starvationBound;
        }
        steps.front().where.key.stepClass = step_class::long_running;
        const auto ordered = orderSteps(
            steps, {false, true}, {10'000, 0, 0}, {}, [](const queued_step &) { return true; },
            now);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, ordered.size());
        CPPUNIT_ASSERT(ordered.front().key.stepClass == step_class::timely);
        CPPUNIT_ASSERT(!ordered.front().key.withinBound);
        CPPUNIT_ASSERT(ordered.back().key.withinBound);
    }

    /// Load: the limit of `a` permits one of its 100 tasks. Guards against the memory of the others
    /// counting as its demand and leaving less to `b`.
    void demandIsLimitedInProportion()
    {
        fleet_tables tables;
        const auto now = instant {} + 1h;
        fillPool(tables, now, 100);
        tables.config.customers["a"].limit = {1000, 0, 0};
        static_cast<void>(waitingSteps(tables, now));
        const auto &shares = tables.shares.at("pool").customers;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, shares.at("b").entitlement, 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::int64_t {100}, shares.at("a").waiting.memoryMb);
    }

    /// Guards against shares that are not computed for very small weights, or that rounding errors
    /// of a very large one distort.
    void weightsOfAnyScaleShare()
    {
        for (const double scale : {1e-300, 1e-12, 1.0, 1e11}) {
            pool_shares shares;
            shares.capacity = {9000, 18000, 0};
            shares.customers["a"].weight = scale;
            shares.customers["b"].weight = 2 * scale;
            shares.customers["a"].waiting = {100'000, 100, 0};
            shares.customers["b"].waiting = {100'000, 100, 0};
            computeEntitlements(shares);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, shares.customers["a"].entitlement, 1e-6);
        }
        pool_shares shares;
        shares.capacity = {10000, 30000, 0};
        const auto ask = [&shares](const char *name, double weight, std::int64_t cpuMillis) {
            shares.customers[name].weight = weight;
            shares.customers[name].waiting = {cpuMillis, 10, 0};
        };
        ask("huge", 1e12 / 3, 700);
        ask("small", 1e-6, 100'000);
        ask("small too", 2e-6, 100'000);
        computeEntitlements(shares);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.31, shares.customers["small"].entitlement, 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.62, shares.customers["small too"].entitlement, 1e-6);
    }

    /// Guards against any other order where the configuration does not ask for one.
    void equalWeightsAndPrioritiesKeepTheFormerOrder()
    {
        CPPUNIT_ASSERT(rc::check([] {
            fleet_tables tables;
            const auto now = instant {} + 1h;
            fillRandomly(tables, 1, now);
            const auto steps = waitingSteps(tables, now)["pool"];
            const auto expected = formerOrder(tables, now);
            RC_ASSERT(steps.size() == expected.size());
            for (std::size_t i = 0; i < steps.size(); ++i) {
                RC_ASSERT(steps[i].job->id == std::get<2>(expected[i]));
                RC_ASSERT(steps[i].step == std::get<3>(expected[i]));
            }
        }));
        CPPUNIT_ASSERT(rc::check([] {
            fleet_tables tables;
            const auto now = instant {} + 1h;
            fillRandomly(tables, 2, now);
            const auto steps = waitingSteps(tables, now)["pool"];
            RC_ASSERT(std::is_sorted(steps.begin(), steps.end(),
                                     [](const auto &a, const auto &b) { return a.key < b.key; }));
        }));
    }

    /// Guards against resources that are counted in the pool that a worker has left.
    void movedWorkerIsCountedInItsPool()
    {
        fleet_tables tables;
        run_entry run;
        run.key = {{"job", 0, 0, 0}, 1};
        run.worker = "w";
        run.customer = "a";
        run.held = {1000, 10, 0};
        addRun(tables, run); // before the worker's entry is known
        auto &worker = tables.workers.at("w");
        auto entry = worker.entry;
        entry.pool = "pool";
        setWorkerEntry(tables, worker, entry);
        CPPUNIT_ASSERT(tables.poolUse.at("").byCustomer.at("a") == resources {});
        CPPUNIT_ASSERT(tables.poolUse.at("pool").byCustomer.at("a") == run.held);
        removeRun(tables, run.key);
        CPPUNIT_ASSERT(tables.poolUse.at("pool").byCustomer.at("a") == resources {});
    }

    /// Guards against an invalid field that resets a weight or priority in force.
    void invalidFieldsKeepTheirValues()
    {
        configuration before;
        before.queues.emplace_back().name = "q";
        before.queues.front().priority = 2;
        before.customers["a"] = {"a", {}, 5, {}};
        auto after = before;
        after.queues.front().priority = 0;
        after.customers["a"].weight = 1;
        after.invalidFields = {{configuration_field::priority, "", "q", ""},
                               {configuration_field::weight, "", "a", ""},
                               {configuration_field::weight, "", "new", ""}};
        after.customers["new"].weight = 1;
        auto first = after;
        keepFieldsOf(&before, after);
        CPPUNIT_ASSERT_EQUAL(2, after.queues.front().priority);
        CPPUNIT_ASSERT_EQUAL(5.0, after.customers["a"].weight);
        CPPUNIT_ASSERT_EQUAL(1.0, after.customers["new"].weight);
        keepFieldsOf(nullptr, first);
        CPPUNIT_ASSERT_EQUAL(0, first.queues.front().priority);
    }

    /// Guards against an invalid field that keeps the rest of its document from taking effect, or
    /// is counted at each read of it.
    void invalidFieldIsCountedOnce()
    {
        shared_pool pool({{"a", 2}, {"b", 1}, {"c", 1}});
        pool.begin();
        auto &config = pool.world.config;
        config.version = 2;
        config.customers["a"].weight = 1;
        config.customers["b"].weight = 7;
        config.invalidFields = {{configuration_field::weight, "/tenants/0/weight", "a", "number"}};
        pool.world.putItem("configuration", "", 0);
        pool.loop.run(5s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1},
                             pool.processes.at("first").metrics->counter(
                                 "ibishinge_invalid_entries_total", {{"kind", "configuration"}}));
        // The weight 2 of `a` and the new weight 7 of `b` are in force.
        pool.submit("a", simpleJob(400));
        pool.submit("b", simpleJob(400));
        pool.loop.run(2s);
        checkNear(32 * 2 / 9, pool.running()["a"], "a");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shares_test);
