#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/admission.h>
#include <ibishinge/fleet/backlog/occurrence_window.h>
#include <ibishinge/fleet/objective.h>
#include <ibishinge/fleet/queueing/forecast.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

constexpr instant start = instant {} + 100s;

/// Tables of one pool `p` with a queue `q`, whose jobs should end within 1.6 times their critical
/// path and 600 ms.
struct one_pool
{
    fleet_tables tables;
    pool_sizing_state sizing;
    forecast_state state;
    int next = 0;

    explicit one_pool(int workers, milliseconds slack = 600ms)
    {
        configuration config;
        config.version = 1;
        config.pools["p"] = {"p", true, false};
        config.pools["s"] = {"s", true, true};
        queue_config queue;
        queue.name = "q";
        queue.pool = "p";
        queue.objectiveFactor = 1.6;
        queue.objectiveSlack = slack;
        config.queues = {queue};
        config.customers["small"] = {"small", {}, 1, {2000, 0, 0}};
        setConfiguration(tables, config);
        for (int i = 0; i < workers; ++i) {
            addWorker("w" + std::to_string(i), 8000);
        }
    }

    worker_status &addWorker(const std::string &id, std::int64_t cpuMillis)
    {
        auto &worker = tables.workers[id];
        worker.entry.id = id;
        worker.entry.pool = "p";
        worker.entry.host = "host-" + id;
        worker.entry.capacity = {cpuMillis, 100000, 0};
        worker.entry.labels = {"a", "rack-1"};
        worker.verified = worker.onRoster = true;
        return worker;
    }

    [[nodiscard]] job_entry makeJob(const job_spec &spec, instant now = start,
                                    const std::string &customer = "") const
    {
        job_entry job;
        job.id = "job-" + std::to_string(1000 + next);
        job.queue = "q";
        job.pool = "p";
        job.customer = customer;
        job.spec = spec;
        job.submittedAt = now;
        for (const auto &step : spec.steps) {
            job.longRunning = job.longRunning || step.longRunning;
        }
        estimateJob(tables, job);
        return job;
    }

    /// Returns the id of a job that waits.
    std::string accept(const job_spec &spec, instant now = start, const std::string &customer = "")
    {
        auto job = makeJob(spec, now, customer);
        ++next;
        recordAcceptance(state, tables, job, now);
        job.stored = true;
        openDueOccurrences(job, 1);
        return tables.jobs.emplace(job.id, job).first->first;
    }

    /// Accepts jobs at once, before the load of the pool is measured again.
    void fill(int jobs)
    {
        (void)judge(makeJob(simpleJob(1)));
        for (int i = 0; i < jobs; ++i) {
            accept(simpleJob(8));
        }
    }

    forecast_judgement judge(const job_entry &job, instant now = start, bool mayReject = true)
    {
        return judgeForecast(state, tables, sizing, job, mayReject, now);
    }

    void observe(milliseconds error, std::size_t count = minForecastObservations)
    {
        for (std::size_t i = 0; i < count; ++i) {
            observeForecastError(state.errors["q"], error);
        }
    }

    /// Rejects a new job and returns when it may return.
    instant reject(const job_spec &spec, instant now = start)
    {
        const auto job = makeJob(spec, now);
        ++next;
        const auto judgement = judge(job, now);
        CPPUNIT_ASSERT(judgement.rejected);
        recordRejection(state, tables, job, judgement, now);
        const auto entry = state.returns.find(job.id);
        return entry == state.returns.end() ? instant {} : entry->second.returnAt;
    }
};

} // namespace

/// Guards against an overload in which every job is accepted and ends late, and against rejections
/// of jobs that would have been in time.
class forecast_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(forecast_test);
    CPPUNIT_TEST(idlePoolForecastsTheCriticalPath);
    CPPUNIT_TEST(wideStepRunsInBatches);
    CPPUNIT_TEST(freeCoresAreNotHeldUpByOthers);
    CPPUNIT_TEST(waitingWorkThatGoesFirstIsAhead);
    CPPUNIT_TEST(hostsThatAreOnTheirWayCount);
    CPPUNIT_TEST(workersThatMayReturnCount);
    CPPUNIT_TEST(limitedCustomerDoesNotHoldUpOthers);
    CPPUNIT_TEST(labelledWorkDoesNotHoldUpOthers);
    CPPUNIT_TEST(hopelessWorkIsNotAhead);
    CPPUNIT_TEST(errorIsMeasuredByQueue);
    CPPUNIT_TEST(errorBeyondTheObjectiveDoesNotCount);
    CPPUNIT_TEST(nothingIsRejectedWithoutObservations);
    CPPUNIT_TEST(onlyJobsThatRunOnceAreRejected);
    CPPUNIT_TEST(modesHaveNames);
    CPPUNIT_TEST(returnsAreServedBeforeNewcomers);
    CPPUNIT_TEST(laterRejectionIsToldALaterTime);
    CPPUNIT_TEST(earlyReturnKeepsItsTime);
    CPPUNIT_TEST(delayedCopyOfARejectedJobIsRejected);
    CPPUNIT_TEST(returnsAreBounded);
    CPPUNIT_TEST(objectiveThatAnEmptyPoolMisses);
    CPPUNIT_TEST(toldTimesAreBounded);
    CPPUNIT_TEST(callersThatDoNotReturnLeaveTheirRoom);
    CPPUNIT_TEST(costOfAForecast);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against forecasts that are too late at low load.
    void idlePoolForecastsTheCriticalPath()
    {
        one_pool pool(2);
        auto spec = simpleJob(8);
        spec.steps.push_back(spec.steps[0]);
        spec.steps[1].after = {0};
        spec.steps[1].estimate = 777ms;
        const auto job = pool.makeJob(spec);
        const auto judgement = pool.judge(job);
        CPPUNIT_ASSERT(judgement.forecast);
        CPPUNIT_ASSERT_EQUAL(job.criticalPath.count(),
                             since(start, judgement.forecast->end).count());
        CPPUNIT_ASSERT_EQUAL(0.0, judgement.forecast->aheadCoreMs);
        CPPUNIT_ASSERT_EQUAL(16.0, judgement.forecast->capacityCores);
    }

    /// Guards against a job of many tasks that counts as one of few.
    void wideStepRunsInBatches()
    {
        one_pool pool(1);
        const auto judgement = pool.judge(pool.makeJob(simpleJob(24)));
        CPPUNIT_ASSERT_EQUAL(1550L, since(start, judgement.forecast->end).count());
    }

    /// Guards against forecasts by the sum of all work: a few long jobs leave cores free.
    void freeCoresAreNotHeldUpByOthers()
    {
        one_pool pool(2);
        for (int i = 0; i < 8; ++i) {
            auto chain = simpleJob(1);
            chain.steps[0].estimate = 100ms;
            for (int step = 1; step < 20; ++step) {
                chain.steps.push_back(chain.steps[0]);
                chain.steps.back().after = {step - 1};
            }
            pool.accept(chain, start - 60s);
        }
        const auto job = pool.makeJob(simpleJob(1));
        CPPUNIT_ASSERT_EQUAL(job.criticalPath.count(),
                             since(start, pool.judge(job).forecast->end).count());
    }

    /// Load: a pool with four times what it can run at once. Guards against forecasts that leave
    /// out waiting jobs, or count those that come after.
    void waitingWorkThatGoesFirstIsAhead()
    {
        one_pool pool(1, 1min);
        pool.fill(4);
        auto forecast = pool.judge(pool.makeJob(simpleJob(1))).forecast;
        CPPUNIT_ASSERT_EQUAL(2550L, since(start, forecast->end).count());
        CPPUNIT_ASSERT_EQUAL(16000.0, forecast->aheadCoreMs);
        // Its objective is earlier than theirs.
        auto brief = simpleJob(1);
        brief.steps[0].estimate = 100ms;
        forecast = pool.judge(pool.makeJob(brief)).forecast;
        CPPUNIT_ASSERT_EQUAL(110L, since(start, forecast->end).count());
        // They cannot be in time any more, so that a new job goes first.
        const auto later = start + 61s;
        forecast = pool.judge(pool.makeJob(simpleJob(1), later), later).forecast;
        CPPUNIT_ASSERT_EQUAL(550L, since(later, forecast->end).count());
    }

    /// Load: as above, and spare hosts or a host that is being moved to the pool. Guards against
    /// rejections of work that new hosts can take.
    void hostsThatAreOnTheirWayCount()
    {
        for (const bool moving : {false, true}) {
            one_pool pool(1, 1min);
            pool.fill(16);
            const auto job = pool.makeJob(simpleJob(1));
            const auto before = since(start, pool.judge(job).forecast->end);
            CPPUNIT_ASSERT_EQUAL(8550L, before.count());
            pool.tables.hosts["h"] = {"h", "s", host_state::up, {"a"}, {24000, 100000, 0}, "", ""};
            if (moving) {
                pool.sizing.moves["h"] = {"h", "s", "p", start - 1s, true};
            }
            pool.state.outlooks.clear();
            const auto after = since(start, pool.judge(job).forecast->end);
            // 64 core-s: 8 cores, and 24 more from 1.8 s (or 0.8 s) on.
            CPPUNIT_ASSERT_EQUAL(moving ? 3150L : 3900L, after.count());
        }
    }

    /// Guards against rejections while workers do not answer or their hosts are maintained.
    void workersThatMayReturnCount()
    {
        one_pool pool(2);
        for (auto &[id, worker] : pool.tables.workers) {
            worker.verified = false;
        }
        CPPUNIT_ASSERT(pool.judge(pool.makeJob(simpleJob(1))).forecast);
        pool.state.outlooks.clear();
        for (auto &[id, worker] : pool.tables.workers) {
            worker.cordoned = true;
        }
        CPPUNIT_ASSERT(pool.judge(pool.makeJob(simpleJob(1))).forecast);
        pool.state.outlooks.clear();
        pool.observe(0ms);
        for (auto &[id, worker] : pool.tables.workers) {
            worker.registered = false;
        }
        const auto judgement = pool.judge(pool.makeJob(simpleJob(1)));
        CPPUNIT_ASSERT(!judgement.forecast && !judgement.rejected);
    }

    /// Load: a customer submits far more than its limit allows. Guards against rejections of others
    /// while most of the pool is free.
    void limitedCustomerDoesNotHoldUpOthers()
    {
        one_pool pool(2, 10s);
        pool.observe(0ms);
        for (int i = 0; i < 40; ++i) {
            pool.accept(simpleJob(8), start, "small");
        }
        const auto others = pool.judge(pool.makeJob(simpleJob(1)));
        CPPUNIT_ASSERT_EQUAL(550L, since(start, others.forecast->end).count());
        CPPUNIT_ASSERT(!others.rejected);
        const auto own = pool.judge(pool.makeJob(simpleJob(1), start, "small"));
        CPPUNIT_ASSERT_EQUAL(80550L, since(start, own.forecast->end).count()); // 160 core-s on 2
        CPPUNIT_ASSERT(own.rejected);
    }

    /// Load: a backlog that only one host of four can run. Guards against rejections of others.
    void labelledWorkDoesNotHoldUpOthers()
    {
        one_pool pool(4, 20s);
        pool.tables.workers.at("w0").entry.labels = {"b", "rack-1"};
        auto labelled = simpleJob(8);
        labelled.steps[0].requiredLabel = "b";
        for (int i = 0; i < 20; ++i) {
            pool.accept(labelled);
        }
        const auto others = pool.judge(pool.makeJob(simpleJob(1)));
        CPPUNIT_ASSERT_EQUAL(550L, since(start, others.forecast->end).count());
        const auto same = pool.judge(pool.makeJob(labelled));
        CPPUNIT_ASSERT_EQUAL(10550L, since(start, same.forecast->end).count());
    }

    /// Load: a pool lost hosts, or rejected nothing yet, and has accepted far more than it can end
    /// in time. Guards against rejections of new jobs for work that will be behind them.
    void hopelessWorkIsNotAhead()
    {
        one_pool pool(1);
        for (int i = 0; i < 40; ++i) {
            pool.accept(simpleJob(8), start - 100ms);
        }
        const auto judgement = pool.judge(pool.makeJob(simpleJob(1)));
        CPPUNIT_ASSERT(since(start, judgement.forecast->end) < 2500ms); // and not 20 s
    }

    /// Guards against margins that grow without bound in an overload, where late jobs are put
    /// behind others, and by callers that do not return.
    void errorBeyondTheObjectiveDoesNotCount()
    {
        job_entry job;
        job.objectiveAt = start + 1500ms;
        job.forecastEnd = start + 1000ms;
        job.forecastWithoutReturns = start + 700ms;
        const std::vector<std::pair<milliseconds, milliseconds>> rows {
            {600ms, -100ms}, {700ms, 0ms}, {900ms, 0ms}, {1200ms, 200ms}, {90s, 500ms}};
        for (const auto &[end, error] : rows) {
            CPPUNIT_ASSERT_EQUAL(error.count(), forecastError(job, start + end).count());
        }
        job.forecastEnd = start + 2s;
        CPPUNIT_ASSERT_EQUAL(0L, forecastError(job, start + 90s).count());
    }

    /// Guards against rejections by forecasts that have turned out to be wrong.
    void errorIsMeasuredByQueue()
    {
        one_pool pool(1);
        pool.fill(4);
        const auto job = pool.makeJob(simpleJob(1)); // 1,070 ms late by the forecast
        pool.observe(-2s, 5);
        pool.observe(10ms, 45);
        CPPUNIT_ASSERT_EQUAL(10L, forecastMargin(pool.state.errors["q"])->count());
        CPPUNIT_ASSERT(pool.judge(job).rejected);
        CPPUNIT_ASSERT(!forecastMargin(pool.state.errors["other"]));
        // Whether they were too early or too late.
        for (const auto error : {-1200ms, 1200ms}) {
            pool.observe(error, forecast_errors::capacity);
            CPPUNIT_ASSERT(!pool.judge(job).rejected);
        }
    }

    /// Guards against rejections by a forecast that nobody has seen fail or hold.
    void nothingIsRejectedWithoutObservations()
    {
        one_pool pool(1);
        pool.fill(20);
        pool.observe(0ms, minForecastObservations - 1);
        CPPUNIT_ASSERT(!pool.judge(pool.makeJob(simpleJob(1))).rejected);
        pool.observe(0ms, 1);
        const auto job = pool.makeJob(simpleJob(1));
        const auto judgement = pool.judge(job);
        CPPUNIT_ASSERT(judgement.rejected);
        CPPUNIT_ASSERT(judgement.retryAfter >= 9s && judgement.retryAfter <= 9200ms);
        const auto decision =
            decideAdmission(pool.tables, job, pool.tables.config.queues[0], start, &judgement);
        CPPUNIT_ASSERT(decision.verdict == admission_verdict::later);
        CPPUNIT_ASSERT_EQUAL(std::string("forecast"), decision.reason);
        CPPUNIT_ASSERT(decision.retryAfter == judgement.retryAfter);
        CPPUNIT_ASSERT(!pool.judge(job, start, false).rejected);
    }

    /// Guards against rejections of work that is expected to wait.
    void onlyJobsThatRunOnceAreRejected()
    {
        one_pool pool(1);
        pool.observe(0ms);
        pool.fill(20);
        auto lasting = simpleJob(1);
        lasting.steps[0].longRunning = true;
        CPPUNIT_ASSERT(!pool.judge(pool.makeJob(lasting)).rejected);
        auto scheduled = simpleJob(1);
        scheduled.repetitions = 3;
        scheduled.intervalMs = 1000;
        CPPUNIT_ASSERT(!pool.judge(pool.makeJob(scheduled)).rejected);
        CPPUNIT_ASSERT(pool.judge(pool.makeJob(simpleJob(1))).rejected);
    }

    /// Guards against a setting that is taken for another.
    void modesHaveNames()
    {
        for (const auto mode : {forecast_mode::off, forecast_mode::observe, forecast_mode::on}) {
            CPPUNIT_ASSERT(findForecastMode(nameOf(mode)) == mode);
        }
        CPPUNIT_ASSERT(!findForecastMode("other"));
    }

    /// Load: twenty times what a pool can run at once, then its callers return beside new ones.
    /// Guards against newcomers that take the place of callers that were told to return.
    void returnsAreServedBeforeNewcomers()
    {
        one_pool pool(1);
        pool.observe(0ms);
        pool.fill(4);
        const auto first = pool.makeJob(simpleJob(8));
        const auto returnAt = pool.reject(simpleJob(8));
        for (int i = 0; i < 16; ++i) {
            pool.reject(simpleJob(8));
        }
        // The accepted jobs have ended; nobody has returned yet.
        pool.tables.jobs.clear();
        CPPUNIT_ASSERT(pool.judge(pool.makeJob(simpleJob(8), returnAt), returnAt).rejected);
        auto returning = first;
        returning.submittedAt = returnAt;
        estimateJob(pool.tables, returning);
        const auto judgement = pool.judge(returning, returnAt);
        CPPUNIT_ASSERT(!judgement.rejected);
        CPPUNIT_ASSERT(judgement.arrivedAt == start);
        recordAcceptance(pool.state, pool.tables, returning, returnAt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(16), pool.state.returns.size());
        // Nobody else comes back: their places are free one second after their times.
        const auto later = start + 20s;
        CPPUNIT_ASSERT(!pool.judge(pool.makeJob(simpleJob(8), later), later).rejected);
    }

    /// Guards against callers that all return at once, and against a time at which there is no room
    /// beside those that return earlier.
    void laterRejectionIsToldALaterTime()
    {
        one_pool pool(1);
        pool.observe(0ms);
        pool.fill(8);
        instant last = start;
        for (int i = 0; i < 40; ++i) {
            const auto at = pool.reject(simpleJob(8));
            CPPUNIT_ASSERT(at >= last);
            last = at;
        }
        // 40 jobs of 4 core-s on 8 cores, and the 4 s of the accepted ones.
        CPPUNIT_ASSERT(last >= start + 22s && last <= start + 25s);
    }

    /// Guards against callers that lose their place by asking too early.
    void earlyReturnKeepsItsTime()
    {
        one_pool pool(1);
        pool.observe(0ms);
        pool.fill(20);
        const auto job = pool.makeJob(simpleJob(8));
        const auto returnAt = pool.reject(simpleJob(8));
        auto again = job;
        again.submittedAt = start + 50ms;
        estimateJob(pool.tables, again);
        const auto judgement = pool.judge(again, start + 50ms);
        CPPUNIT_ASSERT(judgement.rejected);
        CPPUNIT_ASSERT(start + 50ms + judgement.retryAfter == returnAt);
        recordRejection(pool.state, pool.tables, again, judgement, start + 50ms);
        CPPUNIT_ASSERT(pool.state.returns.at(job.id).returnAt == returnAt);
    }

    /// Guards against a rejected job that runs, as another copy of its submission arrives later.
    void delayedCopyOfARejectedJobIsRejected()
    {
        one_pool pool(1);
        pool.observe(0ms);
        pool.fill(4);
        auto copy = pool.makeJob(simpleJob(8));
        const auto returnAt = pool.reject(simpleJob(8));
        pool.tables.jobs.clear();
        pool.state.outlooks.clear();
        const auto isRejectedAt = [&](instant now) {
            copy.submittedAt = now;
            estimateJob(pool.tables, copy);
            return pool.judge(copy, now).rejected;
        };
        CPPUNIT_ASSERT(isRejectedAt(start + 900ms));
        CPPUNIT_ASSERT(!isRejectedAt(start + 1s));
        CPPUNIT_ASSERT(!isRejectedAt(returnAt));
    }

    /// Guards against memory that grows with the number of rejections.
    void returnsAreBounded()
    {
        one_pool pool(1);
        pool.observe(0ms);
        pool.fill(20);
        auto brief = simpleJob(1);
        for (std::size_t i = 0; i < maxPromisedReturns + 10; ++i) {
            pool.reject(brief);
        }
        CPPUNIT_ASSERT_EQUAL(maxPromisedReturns, pool.state.returns.size());
        const auto latest = std::max_element(pool.state.returns.begin(), pool.state.returns.end(),
                                             [](const auto &a, const auto &b) {
                                                 return a.second.returnAt < b.second.returnAt;
                                             })
                                ->second.returnAt;
        const auto later = std::max(latest + promiseGrace, start + promisedReturnMemory) + 1ms;
        (void)pool.judge(pool.makeJob(brief, later), later);
        CPPUNIT_ASSERT(pool.state.returns.empty());
    }

    /// Guards against a job that is rejected each time it returns, as it has more batches than its
    /// objective allows for.
    void objectiveThatAnEmptyPoolMisses()
    {
        one_pool pool(1, 0ms);
        pool.observe(0ms);
        const auto wide = pool.makeJob(simpleJob(48));
        CPPUNIT_ASSERT(pool.judge(wide).forecast->end > wide.objectiveAt + 1s);
        CPPUNIT_ASSERT(!pool.judge(wide).rejected);
        pool.fill(4);
        CPPUNIT_ASSERT(pool.judge(pool.makeJob(simpleJob(48))).rejected);
    }

    /// Guards against times at which no caller waits any more, and room that is kept until then.
    void toldTimesAreBounded()
    {
        one_pool pool(1, 1min);
        pool.observe(0ms);
        pool.fill(2000);
        CPPUNIT_ASSERT(pool.judge(pool.makeJob(simpleJob(1))).retryAfter <= 5 * 61s);
        one_pool brief(1);
        brief.observe(0ms);
        brief.fill(2000);
        const auto judgement = brief.judge(brief.makeJob(simpleJob(1)));
        CPPUNIT_ASSERT(judgement.rejected);
        CPPUNIT_ASSERT(judgement.retryAfter >= 1s && judgement.retryAfter <= 38s);
    }

    /// Load: after a burst, a new job each second for a pool that runs two, and no caller returns.
    /// Guards against a pool that rejects jobs for ever while it is idle.
    void callersThatDoNotReturnLeaveTheirRoom()
    {
        one_pool pool(1);
        pool.observe(0ms);
        pool.fill(8);
        for (int i = 0; i < 40; ++i) {
            pool.reject(simpleJob(8));
        }
        pool.tables.jobs.clear();
        int accepted = 0;
        for (int second = 4; second < 64; ++second) {
            const auto now = start + second * 1s;
            const auto job = pool.makeJob(simpleJob(8), now);
            ++pool.next;
            const auto judgement = pool.judge(job, now);
            if (judgement.rejected) {
                recordRejection(pool.state, pool.tables, job, judgement, now);
            }
            accepted += judgement.rejected ? 0 : 1;
        }
        std::cout << "\n  accepted without returns: " << accepted << " of 60" << std::flush;
        // The room of the first 40 is kept until second 24: 40 jobs of 4 core-s on 8 cores.
        CPPUNIT_ASSERT(accepted >= 38);
    }

    /// Prints the cost of a forecast beside 1,000 live jobs and 500 promised returns.
    void costOfAForecast()
    {
        one_pool pool(64);
        pool.observe(0ms);
        auto spec = simpleJob(4);
        for (int step = 1; step < 3; ++step) {
            spec.steps.push_back(spec.steps[0]);
            spec.steps.back().after = {step - 1};
        }
        for (int i = 0; i < 1000; ++i) {
            auto &job = pool.tables.jobs.at(pool.accept(spec));
            for (int index = 0; i < 128 && index < 4; ++index) {
                const run_key key {{job.id, 0, 0, index}, 1};
                auto run = makeRun(job, key, "w" + std::to_string(i / 2));
                run.beganAt = start - 200ms;
                addRun(pool.tables, std::move(run));
                changeTask(pool.tables, key.task)->phase = task_phase::placed;
            }
        }
        for (int i = 0; i < 500; ++i) {
            pool.reject(spec);
        }
        const auto job = pool.makeJob(spec);
        const auto measure = [&](int count, milliseconds interval) {
            const auto begin = std::chrono::steady_clock::now();
            for (int i = 0; i < count; ++i) {
                (void)pool.judge(job, start + interval * i);
            }
            const auto took = std::chrono::steady_clock::now() - begin;
            return std::chrono::duration<double, std::micro>(took).count() / count;
        };
        std::cout << "\n  rejection beside 1,000 jobs and 500 returns: " << measure(1000, 0ms)
                  << " us; with the outlook measured anew: " << measure(20, 100ms) << " us"
                  << std::flush;
        CPPUNIT_ASSERT(pool.judge(job).rejected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forecast_test);
