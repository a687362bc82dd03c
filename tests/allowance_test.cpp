#include <ibishinge/state/allowance_manager.h>
#include <ibishinge/state/allowance_record.h>

#include "standins/memory_kv_store.h"
#include "tests/support/faulty_store.h"
#include "tests/support/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <iostream>
#include <random>
#include <thread>
#include <tuple>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

constexpr auto maxRun = 10s;
constexpr auto skew = 1s;
const std::string team = "search";

/// Counts the entries of the last read and the write batches.
class recording_store final : public kv_store
{
public:
    explicit recording_store(memory_kv_store &inner)
        : m_inner(inner)
    {
    }

    std::size_t entriesRead = 0;
    std::size_t writes = 0;

    result<range_result> range(const range_query &query) override
    {
        auto found = m_inner.range(query);
        entriesRead = found ? found->entries.size() : 0;
        return found;
    }
    result<batch_result> applyBatch(std::span<const conditional_write> given) override
    {
        ++writes;
        return m_inner.applyBatch(given);
    }
    result<lease_id> grantLease(std::chrono::seconds ttl) override
    {
        return m_inner.grantLease(ttl);
    }
    result<void> keepAlive(lease_id lease) override
    {
        return m_inner.keepAlive(lease);
    }
    result<void> revokeLease(lease_id lease) override
    {
        return m_inner.revokeLease(lease);
    }

private:
    memory_kv_store &m_inner;
};

/// One simulated entry process and its requests at the targets.
struct process
{
    std::string id;
    std::unique_ptr<faulty_store> store;
    std::unique_ptr<allowance_manager> manager;
    std::vector<monotonic_time> runs; ///< when each of its requests ends at the target
    milliseconds clockOffset {0};
    bool frozen = false;
    bool adjusting = false;
    bool stopping = false;
    /// Index in `m_limits` as of its last complete exchange with the store.
    std::size_t syncedLimit = 0;
};

/// 8 simulated processes, their requests at the targets, and the limits that operators set.
class fleet
{
public:
    static constexpr std::size_t size = 8;

    explicit fleet(const allowance_safeguards &safeguards)
    {
        m_settings.maxRun = maxRun;
        m_settings.clockSkew = skew;
        m_settings.safeguards = safeguards;
        for (std::size_t i = 0; i < size; ++i) {
            replace(i);
        }
    }

    bool limitExceeded = false;

    void perform(int kind, std::size_t processIndex, int amount)
    {
        auto &p = m_processes[processIndex % size];
        switch (kind % 16) {
        case 0:
        case 1:
        case 2:
        case 3:
            start(p, 1 + amount % 12);
            break;
        case 4:
        case 5:
            m_clock.advance(milliseconds(amount % 4000));
            finishEndedRuns();
            break;
        case 6:
        case 7:
        case 8:
            p.manager->setQueued(team, amount % 3 == 0 ? 0 : amount % 30);
            exchange(p, faulty_store::fault::none);
            break;
        case 9:
            exchange(p, static_cast<faulty_store::fault>(amount % 5));
            break;
        // Another process adjusts and starts between the read and the write of this process.
        case 10:
            if (p.frozen || p.adjusting) {
                break;
            }
            p.store->beforeWrite = [this, &p, amount] {
                auto &other = m_processes[static_cast<std::size_t>(amount) % size];
                if (&other != &p) {
                    exchange(other, faulty_store::fault::none);
                    start(other, 6);
                }
                start(p, 6);
            };
            exchange(p, static_cast<faulty_store::fault>(amount / 8 % 5));
            break;
        case 11:
            if (amount % 2 == 0) {
                crash(processIndex % size);
            } else {
                p.frozen = true;
            }
            break;
        case 12:
            p.frozen = false;
            finishEndedRuns();
            break;
        case 13:
            setLimit(amount % 3 == 0 ? amount % 5 : amount % 40);
            break;
        case 14:
            deliverLate();
            break;
        default:
            if (amount % 4 == 0) {
                stop(p);
            } else {
                p.store->readFails = amount % 4 == 1;
            }
            break;
        }
    }

    /// Crashes half of the processes and makes the others idle. Returns true if a new process then
    /// gets the whole limit after the run time.
    [[nodiscard]] bool newProcessGetsWholeLimit()
    {
        for (std::size_t i = 0; i < size; ++i) {
            m_processes[i].frozen = false;
            m_processes[i].store->readFails = false;
            m_processes[i].manager->setQueued(team, 0);
            if (i % 2 == 0) {
                crash(i);
            }
        }
        while (!m_late.empty()) {
            deliverLate();
        }
        m_clock.advance(maxRun);
        finishEndedRuns();
        setLimit(17);
        for (int second = 0; second < 60; ++second) {
            m_clock.advance(1s);
            for (auto &p : m_processes) {
                p.manager->setQueued(team, &p == m_processes.data() ? 17 : 0);
                exchange(p, faulty_store::fault::none);
            }
        }
        for (int i = 0; i < 17; ++i) {
            if (!m_processes[0].manager->tryStart(team)) {
                return false;
            }
        }
        return true;
    }

private:
    void replace(std::size_t index)
    {
        process next;
        next.id = "entry-" + std::to_string(m_created++);
        next.store = std::make_unique<faulty_store>(m_store, m_late);
        next.manager = allowance_manager::create(next.id, *next.store, m_settings);
        next.clockOffset = milliseconds(static_cast<int>(index * 137 % 1000) - 500);
        m_processes[index] = std::move(next);
    }

    /// Replaces a process by a successor at the same address, which shows that the process is dead.
    /// The requests of the dead process continue at the targets.
    void crash(std::size_t index)
    {
        auto &p = m_processes[index];
        if (p.adjusting) {
            return;
        }
        m_runsOfCrashed.insert(m_runsOfCrashed.end(), p.runs.begin(), p.runs.end());
        const std::string dead = p.id;
        replace(index);
        m_processes[index].manager->provedDead(dead,
                                               m_clock.wallNow() + m_processes[index].clockOffset);
        // The other processes learn of the death from the host list.
        for (auto &other : m_processes) {
            other.manager->provedDead(dead, m_clock.wallNow() + other.clockOffset);
        }
    }

    void stop(process &p)
    {
        if (p.frozen || p.adjusting) {
            return;
        }
        p.stopping = true;
        p.store->writeFault = faulty_store::fault::none;
        (void)p.manager->release(m_clock.wallNow() + p.clockOffset);
    }

    void setLimit(int limit)
    {
        m_limits.push_back(limit);
    }

    void finishEndedRuns()
    {
        for (auto &p : m_processes) {
            if (p.frozen) {
                continue;
            }
            const auto ended =
                std::erase_if(p.runs, [this](monotonic_time end) { return end <= m_clock.now(); });
            for (std::size_t i = 0; i < ended; ++i) {
                p.manager->finished(team);
            }
        }
    }

    [[nodiscard]] int runningInFleet() const
    {
        const auto runs = [this](monotonic_time end) { return end > m_clock.now(); };
        auto count = std::count_if(m_runsOfCrashed.begin(), m_runsOfCrashed.end(), runs);
        for (const auto &p : m_processes) {
            count += std::count_if(p.runs.begin(), p.runs.end(), runs);
        }
        return static_cast<int>(count);
    }

    void start(process &p, int count)
    {
        for (int i = 0; i < count && !p.frozen; ++i) {
            if (!p.manager->tryStart(team)) {
                return;
            }
            const auto run = milliseconds((m_started++ * 2741) % 10000 + 1);
            p.runs.push_back(m_clock.now() + std::min<milliseconds>(run, maxRun));
            // A lowered limit applies to a process after its next complete exchange with the store.
            const int limit = *std::max_element(
                m_limits.begin() + static_cast<std::ptrdiff_t>(p.syncedLimit), m_limits.end());
            limitExceeded = limitExceeded || runningInFleet() > limit;
        }
    }

    void exchange(process &p, faulty_store::fault fault)
    {
        if (p.frozen || p.adjusting) {
            return;
        }
        p.adjusting = true;
        p.store->writeFault = fault;
        const std::size_t newest = m_limits.size() - 1;
        p.manager->setLimits({{team, m_limits[newest]}}, static_cast<std::int64_t>(newest) + 1);
        const auto now = m_clock.wallNow() + p.clockOffset;
        const auto adjusted = p.stopping ? p.manager->release(now) : p.manager->adjust(now);
        p.store->beforeWrite = {};
        p.adjusting = false;
        if (!adjusted || fault != faulty_store::fault::none) {
            return;
        }
        const auto stored = m_store.range({std::string(allowancePrefix) + team});
        if (!stored->entries.empty()) {
            const auto record = decodeAllowance(stored->entries.front().value);
            if (record->limitVersion >= static_cast<std::int64_t>(newest) + 1) {
                p.syncedLimit = newest;
            }
        }
    }

    void deliverLate()
    {
        if (!m_late.empty()) {
            const auto writes = std::move(m_late.front());
            m_late.pop_front();
            (void)m_store.applyBatch(writes);
        }
    }

    manual_clock m_clock;
    memory_kv_store m_store {m_clock};
    std::deque<std::vector<conditional_write>> m_late;
    allowance_settings m_settings;
    std::array<process, size> m_processes;
    std::vector<monotonic_time> m_runsOfCrashed;
    std::vector<int> m_limits {20};
    int m_created = 0;
    int m_started = 0;
};

struct scenario_counts
{
    int run = 0;
    int limitExceeded = 0;
    int allowanceLost = 0;
};

/// Runs scenarios of 300 random actions with a fixed seed until one of them shows a violation.
scenario_counts runScenarios(const allowance_safeguards &safeguards)
{
    constexpr int scenarios = 120;
    scenario_counts counts;
    std::mt19937_64 random(20261204);
    while (counts.run < scenarios && counts.limitExceeded + counts.allowanceLost == 0) {
        fleet simulated(safeguards);
        for (int step = 0; step < 300; ++step) {
            const auto kind = static_cast<int>(random() % 16);
            const auto processIndex = static_cast<std::size_t>(random() % fleet::size);
            simulated.perform(kind, processIndex, static_cast<int>(random() % 100000));
        }
        ++counts.run;
        counts.limitExceeded += simulated.limitExceeded ? 1 : 0;
        counts.allowanceLost += simulated.newProcessGetsWholeLimit() ? 0 : 1;
    }
    return counts;
}

std::string storedValue(memory_kv_store &store, const std::string &name)
{
    return store.range({std::string(allowancePrefix) + name})->entries.at(0).value;
}

} // namespace

/// Guards against a team that runs more requests over the fleet than its limit, and against
/// permanent loss of allowance. Both can come about by crashes, frozen processes, lost or late
/// store writes, clock differences and limit changes at any point of the protocol.
class allowance_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(allowance_test);
    CPPUNIT_TEST(limitHoldsInAnyInterleaving);
    CPPUNIT_TEST(fixedSeedHasNoViolation);
    CPPUNIT_TEST(eachSafeguardIsNeeded);
    CPPUNIT_TEST(smallLimitReachesEveryHolder);
    CPPUNIT_TEST(onlyChangedRecordsAreRead);
    CPPUNIT_TEST(loweredLimitAppliesBeforeGrantsAreCut);
    CPPUNIT_TEST(idleHolderGivesUpItsGrant);
    CPPUNIT_TEST(alternatingLoadCausesFewWrites);
    CPPUNIT_TEST(grantsRemainDuringStoreOutage);
    CPPUNIT_TEST(manyTeamsAreWrittenInBatches);
    CPPUNIT_TEST(unreadableRecordAffectsOnlyItsTeam);
    CPPUNIT_TEST(concurrentStartsStayWithinTheGrant);
    CPPUNIT_TEST(recordRoundTripsThroughCodec);
    CPPUNIT_TEST(codecRejectsInvalidRecords);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitHoldsInAnyInterleaving()
    {
        CPPUNIT_ASSERT(rc::check("running <= limit at each start, nothing lost", [] {
            const auto actions =
                *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
                    rc::gen::inRange(0, 16), rc::gen::inRange(0, static_cast<int>(fleet::size)),
                    rc::gen::inRange(0, 100000)));
            fleet simulated({});
            for (const auto &[kind, processIndex, amount] : actions) {
                simulated.perform(kind, static_cast<std::size_t>(processIndex), amount);
                RC_ASSERT(!simulated.limitExceeded);
            }
            RC_ASSERT(simulated.newProcessGetsWholeLimit());
        }));
    }

    void fixedSeedHasNoViolation()
    {
        const auto counts = runScenarios({});
        CPPUNIT_ASSERT_EQUAL(0, counts.limitExceeded);
        CPPUNIT_ASSERT_EQUAL(0, counts.allowanceLost);
    }

    void eachSafeguardIsNeeded()
    {
        struct safeguard
        {
            std::string name;
            bool allowance_safeguards::*flag;
            bool keepsLimit;
        };
        // Without the sum rule the grants exceed the limit, and `capByOthers` then prevents all
        // starts.
        const std::vector<safeguard> all {
            {"conditionalWrites", &allowance_safeguards::conditionalWrites, true},
            {"lowerWhilePending", &allowance_safeguards::lowerWhilePending, true},
            {"grantCoversRunning", &allowance_safeguards::grantCoversRunning, true},
            {"capByOthers", &allowance_safeguards::capByOthers, true},
            {"waitForRunTime", &allowance_safeguards::waitForRunTime, true},
            {"keepSumRule", &allowance_safeguards::keepSumRule, false},
            {"reclaimDead", &allowance_safeguards::reclaimDead, false},
            {"returnIdle", &allowance_safeguards::returnIdle, false}};
        for (const auto &one : all) {
            allowance_safeguards off;
            off.*one.flag = false;
            const auto counts = runScenarios(off);
            const bool seen = one.keepsLimit ? counts.limitExceeded > 0 : counts.allowanceLost > 0;
            std::cout << "\n  without " << one.name << ": "
                      << (one.keepsLimit ? "limit exceeded" : "allowance lost") << " in scenario "
                      << counts.run << std::flush;
            CPPUNIT_ASSERT_MESSAGE(one.name, seen);
        }
    }

    /// Guards against a holder with a full queue that keeps its unit permanently if there are fewer
    /// units than holders.
    void smallLimitReachesEveryHolder()
    {
        std::vector<std::unique_ptr<allowance_manager>> managers;
        std::vector<int> started(8, 0);
        std::vector<int> running(8, 0);
        for (int i = 0; i < 8; ++i) {
            managers.push_back(allowance_manager::create("entry-" + std::to_string(i), m_store));
            managers.back()->setLimits({{team, 3}}, 1);
        }
        for (int second = 0; second < 120; ++second) {
            for (std::size_t i = 0; i < 8; ++i) {
                managers[i]->setQueued(team, 5);
                CPPUNIT_ASSERT(managers[i]->adjust(m_clock.wallNow()).has_value());
                // A run takes one second, and the next one starts immediately.
                for (; running[i] > 0; --running[i]) {
                    managers[i]->finished(team);
                }
                while (managers[i]->tryStart(team)) {
                    ++running[i];
                    ++started[i];
                }
            }
            m_clock.advance(1s);
        }
        CPPUNIT_ASSERT(*std::min_element(started.begin(), started.end()) >= 10);
    }

    /// Guards against reading all records each second, and against missing changes by other holders
    /// and the records of teams that are added later.
    void onlyChangedRecordsAreRead()
    {
        recording_store store(m_store);
        const auto reader = allowance_manager::create("a", store);
        const auto writer = allowance_manager::create("b", m_store);
        writer->setLimits({{team, 10}, {"render", 10}}, 1);
        CPPUNIT_ASSERT(writer->adjust(m_clock.wallNow()).has_value());
        reader->setLimits({{team, 10}}, 1);
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(reader->adjust(m_clock.wallNow()).has_value());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), store.entriesRead);

        writer->setQueued(team, 5);
        CPPUNIT_ASSERT(writer->adjust(m_clock.wallNow()).has_value());
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(writer->tryStart(team));
        }
        CPPUNIT_ASSERT(writer->adjust(m_clock.wallNow()).has_value());
        CPPUNIT_ASSERT(reader->adjust(m_clock.wallNow()).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.entriesRead);
        CPPUNIT_ASSERT_EQUAL(5, reader->stateOf(team).othersRunning);

        store.writes = 0;
        reader->setLimits({{team, 10}, {"render", 10}}, 2);
        CPPUNIT_ASSERT(reader->adjust(m_clock.wallNow()).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), store.entriesRead);
        // The write did not conflict with an unread record.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.writes);
    }

    void loweredLimitAppliesBeforeGrantsAreCut()
    {
        const auto manager = allowance_manager::create("a", m_store);
        manager->setLimits({{team, 10}}, 1);
        manager->setQueued(team, 10);
        CPPUNIT_ASSERT(manager->adjust(m_clock.wallNow()).has_value());
        for (int i = 0; i < 6; ++i) {
            CPPUNIT_ASSERT(manager->tryStart(team));
        }
        manager->setLimits({{team, 4}}, 2);
        CPPUNIT_ASSERT(!manager->tryStart(team));
        CPPUNIT_ASSERT(manager->adjust(m_clock.wallNow()).has_value());
        const auto record = decodeAllowance(storedValue(m_store, team));
        // The grant covers the running requests.
        CPPUNIT_ASSERT_EQUAL(6, record->holders.at("a").grant);
        for (int i = 0; i < 3; ++i) {
            manager->finished(team);
        }
        CPPUNIT_ASSERT(manager->adjust(m_clock.wallNow()).has_value());
        CPPUNIT_ASSERT(manager->tryStart(team));
        CPPUNIT_ASSERT(!manager->tryStart(team));
    }

    void idleHolderGivesUpItsGrant()
    {
        const auto idle = allowance_manager::create("a", m_store);
        const auto busy = allowance_manager::create("b", m_store);
        for (auto *manager : {idle.get(), busy.get()}) {
            manager->setLimits({{team, 10}}, 1);
        }
        idle->setQueued(team, 10);
        CPPUNIT_ASSERT(idle->adjust(m_clock.wallNow()).has_value());
        CPPUNIT_ASSERT_EQUAL(10, idle->stateOf(team).cap);
        idle->setQueued(team, 0);
        busy->setQueued(team, 10);
        // The demand of 10 decays to 0 in 6 rounds; the grant moves to the other holder in one
        // more.
        for (int round = 0; round < 7; ++round) {
            CPPUNIT_ASSERT(busy->adjust(m_clock.wallNow()).has_value());
            CPPUNIT_ASSERT(idle->adjust(m_clock.wallNow()).has_value());
        }
        CPPUNIT_ASSERT_EQUAL(10, busy->stateOf(team).cap);
    }

    void alternatingLoadCausesFewWrites()
    {
        const auto manager = allowance_manager::create("a", m_store);
        manager->setLimits({{team, 100}}, 1);
        for (int i = 0; i < 10; ++i) {
            manager->setQueued(team, 40);
            CPPUNIT_ASSERT(manager->adjust(m_clock.wallNow()).has_value());
        }
        const auto before = m_store.writeCalls();
        for (int second = 0; second < 100; ++second) {
            manager->setQueued(team, second % 2 == 0 ? 38 : 42);
            CPPUNIT_ASSERT(manager->adjust(m_clock.wallNow()).has_value());
            m_clock.advance(1s);
        }
        CPPUNIT_ASSERT(m_store.writeCalls() - before <= 2);
    }

    void grantsRemainDuringStoreOutage()
    {
        const auto manager = allowance_manager::create("a", m_store);
        manager->setLimits({{team, 10}}, 1);
        manager->setQueued(team, 10);
        CPPUNIT_ASSERT(manager->adjust(m_clock.wallNow()).has_value());
        m_store.setFaultHook([](std::string_view) { return store_fault::unavailable; });
        for (int second = 0; second < 3600; ++second) {
            m_clock.advance(1s);
            const auto adjusted = manager->adjust(m_clock.wallNow());
            CPPUNIT_ASSERT(adjusted.error().kind == error_kind::unavailable);
        }
        CPPUNIT_ASSERT_EQUAL(10, manager->stateOf(team).cap);
    }

    void manyTeamsAreWrittenInBatches()
    {
        const auto manager = allowance_manager::create("a", m_store);
        std::map<std::string, int> limits;
        for (int i = 0; i < 300; ++i) {
            limits["team-" + std::to_string(i)] = 10;
        }
        manager->setLimits(limits, 1);
        CPPUNIT_ASSERT(manager->adjust(m_clock.wallNow()).has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), m_store.writeCalls());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), m_store.readCalls());
        CPPUNIT_ASSERT(manager->tryStart("team-299"));
    }

    void unreadableRecordAffectsOnlyItsTeam()
    {
        const std::array<conditional_write, 1> bad {{{"allowance/bad", 0, {}, "{", 0}}};
        CPPUNIT_ASSERT(m_store.applyBatch(bad)->outcomes[0].applied);
        const auto manager = allowance_manager::create("a", m_store);
        manager->setLimits({{"bad", 10}, {"good", 10}}, 1);
        const auto adjusted = manager->adjust(m_clock.wallNow());
        CPPUNIT_ASSERT(adjusted.error().kind == error_kind::invalid_request);
        CPPUNIT_ASSERT(manager->tryStart("good"));
        CPPUNIT_ASSERT(!manager->tryStart("bad"));
        CPPUNIT_ASSERT_EQUAL(std::string("{"), storedValue(m_store, "bad"));
    }

    void concurrentStartsStayWithinTheGrant()
    {
        const auto manager = allowance_manager::create("a", m_store);
        manager->setLimits({{team, 20}}, 1);
        std::atomic<int> running {0};
        std::atomic<int> highest {0};
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&] {
                for (int n = 0; n < 2000; ++n) {
                    if (!manager->tryStart(team)) {
                        std::this_thread::yield();
                        continue;
                    }
                    const int now = ++running;
                    int seen = highest;
                    while (now > seen && !highest.compare_exchange_weak(seen, now)) { }
                    --running;
                    manager->finished(team);
                }
            });
        }
        for (int i = 0; i < 100; ++i) {
            manager->setQueued(team, i % 30);
            CPPUNIT_ASSERT(manager->adjust(m_clock.wallNow()).has_value());
        }
        for (auto &thread : threads) {
            thread.join();
        }
        CPPUNIT_ASSERT(highest <= 20);
        CPPUNIT_ASSERT_EQUAL(0, manager->stateOf(team).running);
    }

    void recordRoundTripsThroughCodec()
    {
        CPPUNIT_ASSERT(rc::check("decode(encode(record)) == record", [] {
            allowance_record record;
            record.limit = *rc::gen::inRange(0, 1000001);
            record.limitVersion = *rc::gen::inRange<std::int64_t>(0, INT64_MAX);
            for (int i = 0; i < *rc::gen::inRange(0, 10); ++i) {
                auto &holder = record.holders["entry-" + std::to_string(i)];
                holder.grant = *rc::gen::inRange(0, 1000001);
                holder.use = *rc::gen::inRange(0, 1000001);
                holder.demand = *rc::gen::inRange(0, 1000001);
                if (*rc::gen::arbitrary<bool>()) {
                    holder.reclaimableAt =
                        wall_time {} + milliseconds(*rc::gen::inRange<std::int64_t>(0, 1LL << 43U));
                }
            }
            RC_ASSERT(*decodeAllowance(encodeAllowance(record)) == record);
        }));
    }

    void codecRejectsInvalidRecords()
    {
        const std::string head = R"({"limit":1,"limit_version":1,"holders":)";
        const std::vector<std::pair<std::string, std::string>> cases {
            {"", "/"},
            {"[]", "/"},
            {R"({"limit":1})", "/limit_version"},
            {R"({"limit":-1,"limit_version":1,"holders":{}})", "/limit"},
            {R"({"limit":1.0,"limit_version":1,"holders":{}})", "/limit"},
            {R"({"limit":"1","limit_version":1,"holders":{}})", "/limit"},
            {R"({"limit":1000001,"limit_version":1,"holders":{}})", "/limit"},
            {R"({"limit":18446744073709551615,"limit_version":1,"holders":{}})", "/limit"},
            {R"({"limit":1,"limit_version":1,"holders":{},"x":1})", "/x"},
            {R"({"limit":1,"limit_version":1,"holders":[]})", "/holders"},
            {head + R"({"a":1}})", "/holders/a"},
            {head + R"({"a":{"grant":1,"use":1}}})", "/holders/a/need"},
            {head + R"({"a":{"grant":1,"use":1,"need":1,"y":0}}})", "/holders/a/y"},
            {head + R"({"a":{"grant":1,"use":1,"need":1,"free_at_ms":null}}})",
             "/holders/a/free_at_ms"},
        };
        for (const auto &[text, place] : cases) {
            const auto decoded = decodeAllowance(text);
            CPPUNIT_ASSERT_MESSAGE(text, !decoded.has_value());
            CPPUNIT_ASSERT_EQUAL(place, decoded.error().place);
            CPPUNIT_ASSERT(decoded.error().kind == error_kind::invalid_request);
        }
    }

private:
    manual_clock m_clock;
    memory_kv_store m_store {m_clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(allowance_test);
