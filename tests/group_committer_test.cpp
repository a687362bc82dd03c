#include <ibishinge/state/group_committer.h>

#include "standins/memory_kv_store.h"
#include "tests/support/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

conditional_write writeTo(const std::string &key, store_revision expected = 0)
{
    return {key, expected, {}, "value", 0};
}

batch_result allApplied(const commit_queue::batch &sent)
{
    batch_result answer;
    answer.outcomes.resize(sent.writes.size(), write_outcome {true, 1, {}});
    answer.revision = 1;
    return answer;
}

/// A store whose batches wait until they are let through, so that a test knows what is in flight.
class gated_store final : public kv_store
{
public:
    explicit gated_store(kv_store &store)
        : m_store(store)
    {
    }

    void open()
    {
        const std::lock_guard lock(m_mutex);
        m_open = true;
        m_changed.notify_all();
    }
    void awaitBatches(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_sizes.size() >= count; });
    }
    [[nodiscard]] std::vector<std::size_t> batchSizes()
    {
        const std::lock_guard lock(m_mutex);
        return m_sizes;
    }
    [[nodiscard]] std::size_t mostInFlight()
    {
        const std::lock_guard lock(m_mutex);
        return m_mostInFlight;
    }

    result<range_result> range(const range_query &query) override
    {
        return m_store.range(query);
    }
    result<batch_result> applyBatch(std::span<const conditional_write> writes) override
    {
        {
            std::unique_lock lock(m_mutex);
            m_sizes.push_back(writes.size());
            m_mostInFlight = std::max(m_mostInFlight, ++m_inFlight);
            m_changed.notify_all();
            m_changed.wait(lock, [this] { return m_open; });
        }
        auto answer = m_store.applyBatch(writes);
        const std::lock_guard lock(m_mutex);
        --m_inFlight;
        return answer;
    }
    result<lease_id> grantLease(std::chrono::seconds ttl) override
    {
        return m_store.grantLease(ttl);
    }
    result<void> keepAlive(lease_id lease) override
    {
        return m_store.keepAlive(lease);
    }
    result<void> revokeLease(lease_id lease) override
    {
        return m_store.revokeLease(lease);
    }

private:
    kv_store &m_store;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_open = false;
    std::vector<std::size_t> m_sizes;
    std::size_t m_inFlight = 0;
    std::size_t m_mostInFlight = 0;
};

} // namespace

/// Guards the rules by which writes are put into batches.
class commit_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(commit_queue_test);
    CPPUNIT_TEST(intervalKeepsTheSumBelowTheRate);
    CPPUNIT_TEST(firstWriteIsSentAtOnce);
    CPPUNIT_TEST(burstIsBoundedAndKeepsTheRate);
    CPPUNIT_TEST(relaxedWriteWaitsForABatch);
    CPPUNIT_TEST(failingStoreIsReportedUntilItRecovers);
    CPPUNIT_TEST(keyIsNeverTwiceInOneBatch);
    CPPUNIT_TEST(batchIsBounded);
    CPPUNIT_TEST(fullQueueRefuses);
    CPPUNIT_TEST(oversizedValueIsRefused);
    CPPUNIT_TEST(batchesInFlightAreBounded);
    CPPUNIT_TEST(failedBatchesBackOff);
    CPPUNIT_TEST(abandonedWritesAreToldApart);
    CPPUNIT_TEST(permanentErrorEndsTheWrites);
    CPPUNIT_TEST(missingOutcomesCountAsUncertain);
    CPPUNIT_TEST(everyWriteIsDecidedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void intervalKeepsTheSumBelowTheRate()
    {
        const commit_options options;
        CPPUNIT_ASSERT(commitInterval(options, 0) == 25ms);
        CPPUNIT_ASSERT(commitInterval(options, 8) == 25ms);
        CPPUNIT_ASSERT(commitInterval(options, 64) == 200ms);
        for (std::size_t members = 1; members < 500; ++members) {
            const double calls = static_cast<double>(members) * 1e6
                                 / static_cast<double>(commitInterval(options, members).count());
            CPPUNIT_ASSERT(calls <= 320.0);
        }
    }

    void firstWriteIsSentAtOnce()
    {
        CPPUNIT_ASSERT(!m_queue.nextSend());
        add("a");
        CPPUNIT_ASSERT(m_queue.take(m_clock.now()));
        add("b");
        CPPUNIT_ASSERT(*m_queue.nextSend() == m_clock.now() + 25ms);
        m_clock.advance(24ms);
        CPPUNIT_ASSERT(!m_queue.take(m_clock.now()));
        m_clock.advance(1ms);
        CPPUNIT_ASSERT(m_queue.take(m_clock.now()));
    }

    /// Guards against a burst that raises the average rate above the interval's.
    void burstIsBoundedAndKeepsTheRate()
    {
        commit_options options;
        options.burst = 4;
        commit_queue queue(options);
        int sent = 0;
        for (int millisecond = 0; millisecond < 1000; ++millisecond) {
            CPPUNIT_ASSERT(queue.add(writeTo(std::to_string(millisecond)), m_clock.now()));
            if (const auto batch = queue.take(m_clock.now())) {
                ++sent;
                CPPUNIT_ASSERT_EQUAL(
                    batch->writes.size(),
                    queue.complete(*batch, allApplied(*batch), m_clock.now()).size());
            }
            if (millisecond == 3) {
                CPPUNIT_ASSERT_EQUAL(4, sent);
            }
            m_clock.advance(1ms);
        }
        CPPUNIT_ASSERT(sent <= 1000 / 25 + 4);
    }

    /// Guards against calls for writes that nobody waits for, and against such writes waiting for
    /// ever.
    void relaxedWriteWaitsForABatch()
    {
        CPPUNIT_ASSERT(m_queue.add(writeTo("a"), m_clock.now(), write_urgency::relaxed));
        CPPUNIT_ASSERT(!m_queue.take(m_clock.now()));
        CPPUNIT_ASSERT(*m_queue.nextSend() == m_clock.now() + commit_options {}.relaxedDelay);
        add("b");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_queue.take(m_clock.now())->writes.size());

        CPPUNIT_ASSERT(m_queue.add(writeTo("c"), m_clock.now(), write_urgency::relaxed));
        m_clock.advance(100ms);
        CPPUNIT_ASSERT(m_queue.take(m_clock.now()));
    }

    /// Guards against requests that queue up behind a store that is down, and against a process
    /// that never notices that the store is back.
    void failingStoreIsReportedUntilItRecovers()
    {
        add("a");
        for (std::size_t i = 0; i < failingBatches; ++i) {
            CPPUNIT_ASSERT(!m_queue.isFailing());
            m_clock.advance(2s);
            const auto batch = *m_queue.take(m_clock.now());
            CPPUNIT_ASSERT(
                m_queue.complete(batch, failure(error_kind::unavailable), m_clock.now()).empty());
        }
        CPPUNIT_ASSERT(m_queue.isFailing());
        m_clock.advance(2s);
        const auto batch = *m_queue.take(m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             m_queue.complete(batch, allApplied(batch), m_clock.now()).size());
        CPPUNIT_ASSERT(!m_queue.isFailing());
    }

    void keyIsNeverTwiceInOneBatch()
    {
        const auto first = add("a");
        const auto second = add("a");
        const auto other = add("b");
        const auto batch = m_queue.take(m_clock.now());
        CPPUNIT_ASSERT((batch->tickets == std::vector {first, other}));
        m_clock.advance(25ms);
        CPPUNIT_ASSERT(m_queue.take(m_clock.now())->tickets == std::vector {second});
    }

    void batchIsBounded()
    {
        for (int i = 0; i < 130; ++i) {
            add(std::to_string(i));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(128), m_queue.take(m_clock.now())->writes.size());
        m_clock.advance(25ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_queue.take(m_clock.now())->writes.size());
    }

    void fullQueueRefuses()
    {
        commit_options options;
        options.maxQueued = 2;
        commit_queue queue(options);
        CPPUNIT_ASSERT(queue.add(writeTo("a"), m_clock.now()).has_value());
        CPPUNIT_ASSERT(queue.add(writeTo("b"), m_clock.now()).has_value());
        CPPUNIT_ASSERT(queue.add(writeTo("c"), m_clock.now()).error().kind
                       == error_kind::overloaded);
        // Writes in flight count too, or a slow store would not be felt.
        CPPUNIT_ASSERT(queue.take(m_clock.now()));
        CPPUNIT_ASSERT(queue.add(writeTo("c"), m_clock.now()).error().kind
                       == error_kind::overloaded);
    }

    void oversizedValueIsRefused()
    {
        conditional_write write = writeTo("a");
        write.value = std::string(maxValueBytes + 1, 'x');
        CPPUNIT_ASSERT(m_queue.add(write, m_clock.now()).error().kind == error_kind::too_large);
    }

    void batchesInFlightAreBounded()
    {
        std::vector<commit_queue::batch> sent;
        for (int i = 0; i < 4; ++i) {
            add(std::to_string(i));
            sent.push_back(*m_queue.take(m_clock.now()));
            m_clock.advance(25ms);
        }
        add("more");
        CPPUNIT_ASSERT(!m_queue.nextSend());
        CPPUNIT_ASSERT(!m_queue.take(m_clock.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             m_queue.complete(sent[1], allApplied(sent[1]), m_clock.now()).size());
        CPPUNIT_ASSERT(m_queue.take(m_clock.now()));
    }

    void failedBatchesBackOff()
    {
        add("a");
        auto pause = 0ms;
        for (int i = 0; i < 12; ++i) {
            const auto batch = *m_queue.take(m_clock.now());
            CPPUNIT_ASSERT(
                m_queue.complete(batch, failure(error_kind::outcome_unknown), m_clock.now())
                    .empty());
            const auto wait = *m_queue.nextSend() - m_clock.now();
            // Doubled each time, with a jitter of at most half, from the interval to the bound.
            const auto full = std::min<milliseconds>(25ms * (1 << std::min(i, 10)), 1000ms);
            CPPUNIT_ASSERT(wait >= std::max<milliseconds>(full / 2, 25ms) && wait <= full);
            pause = std::chrono::ceil<milliseconds>(wait);
            m_clock.advance(pause);
        }
        CPPUNIT_ASSERT(pause >= 500ms);
        const auto batch = *m_queue.take(m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             m_queue.complete(batch, allApplied(batch), m_clock.now()).size());
        add("b");
        CPPUNIT_ASSERT(*m_queue.nextSend() == m_clock.now() + 25ms);
    }

    /// Fault table: what may have become of a write that is given up.
    void abandonedWritesAreToldApart()
    {
        CPPUNIT_ASSERT(!m_queue.abandon(add("never sent")));
        CPPUNIT_ASSERT(!m_queue.nextSend());

        const auto inFlight = add("in flight");
        const auto batch = *m_queue.take(m_clock.now());
        CPPUNIT_ASSERT(m_queue.abandon(inFlight));
        CPPUNIT_ASSERT(m_queue.complete(batch, allApplied(batch), m_clock.now()).empty());

        CPPUNIT_ASSERT(!abandonAfter({error_kind::unavailable}));
        CPPUNIT_ASSERT(abandonAfter({error_kind::outcome_unknown}));
        CPPUNIT_ASSERT(abandonAfter({error_kind::outcome_unknown, error_kind::unavailable}));

        const auto failed = add("abandoned in flight");
        m_clock.advance(10s);
        const auto failing = *m_queue.take(m_clock.now());
        CPPUNIT_ASSERT(m_queue.abandon(failed));
        std::ignore = m_queue.complete(failing, failure(error_kind::unavailable), m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_queue.size());
    }

    void permanentErrorEndsTheWrites()
    {
        const auto number = add("a");
        const auto batch = *m_queue.take(m_clock.now());
        const auto decided = m_queue.complete(batch, failure(error_kind::too_large), m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decided.size());
        CPPUNIT_ASSERT_EQUAL(number, decided[0].first);
        CPPUNIT_ASSERT(decided[0].second.error().kind == error_kind::too_large);
    }

    void missingOutcomesCountAsUncertain()
    {
        const auto number = add("a");
        const auto batch = *m_queue.take(m_clock.now());
        CPPUNIT_ASSERT(m_queue.complete(batch, batch_result {}, m_clock.now()).empty());
        CPPUNIT_ASSERT(m_queue.abandon(number));
    }

    /// Random sequences: no outcome is lost, doubled or given to another write.
    void everyWriteIsDecidedOnce()
    {
        CPPUNIT_ASSERT(rc::check([](const std::vector<std::uint8_t> &steps) {
            manual_clock clock;
            commit_options options;
            options.maxBatch = 3;
            options.maxQueued = 10;
            commit_queue queue(options);
            std::set<commit_queue::ticket> open;
            std::vector<commit_queue::batch> inFlight;
            for (const auto step : steps) {
                switch (step % 5) {
                case 0:
                case 1:
                    if (const auto number =
                            queue.add(writeTo(std::to_string(step % 7)), clock.now())) {
                        RC_ASSERT(open.insert(*number).second);
                    } else {
                        RC_ASSERT(queue.size() == options.maxQueued);
                    }
                    break;
                case 2:
                    clock.advance(milliseconds(step));
                    if (const auto batch = queue.take(clock.now())) {
                        std::set<std::string> keys;
                        for (const auto &write : batch->writes) {
                            RC_ASSERT(keys.insert(write.key).second);
                        }
                        RC_ASSERT(batch->writes.size() <= options.maxBatch);
                        inFlight.push_back(*batch);
                        RC_ASSERT(inFlight.size() <= options.maxInFlight);
                    }
                    break;
                case 3:
                    if (!inFlight.empty()) {
                        const auto batch = inFlight.back();
                        inFlight.pop_back();
                        const auto answer =
                            step % 2 == 0
                                ? result<batch_result>(allApplied(batch))
                                : result<batch_result>(failure(error_kind::outcome_unknown));
                        for (const auto &[number, outcome] :
                             queue.complete(batch, answer, clock.now())) {
                            RC_ASSERT(open.erase(number) == 1);
                        }
                    }
                    break;
                default:
                    if (!open.empty()) {
                        std::ignore = queue.abandon(*open.begin());
                        open.erase(open.begin());
                    }
                }
            }
            // What is left is decided once the store responds.
            for (const auto &batch : inFlight) {
                for (const auto &decided : queue.complete(batch, allApplied(batch), clock.now())) {
                    RC_ASSERT(open.erase(decided.first) == 1);
                }
            }
            while (const auto due = queue.nextSend()) {
                clock.advance(std::max(0ms, std::chrono::ceil<milliseconds>(*due - clock.now())));
                const auto batch = queue.take(clock.now());
                RC_ASSERT(batch.has_value());
                for (const auto &decided :
                     queue.complete(*batch, allApplied(*batch), clock.now())) {
                    RC_ASSERT(open.erase(decided.first) == 1);
                }
            }
            RC_ASSERT(open.empty());
            RC_ASSERT(queue.size() == 0);
        }));
    }

private:
    static tl::unexpected<error> failure(error_kind kind)
    {
        return makeError(kind, "store", "injected fault");
    }

    commit_queue::ticket add(const std::string &key)
    {
        const auto number = m_queue.add(writeTo(key), m_clock.now());
        CPPUNIT_ASSERT(number.has_value());
        return *number;
    }

    bool abandonAfter(const std::vector<error_kind> &failures)
    {
        const auto number = add("a");
        for (const auto kind : failures) {
            m_clock.advance(10s);
            const auto batch = *m_queue.take(m_clock.now());
            CPPUNIT_ASSERT(m_queue.complete(batch, failure(kind), m_clock.now()).empty());
        }
        return m_queue.abandon(number);
    }

    manual_clock m_clock;
    commit_queue m_queue {commit_options {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(commit_queue_test);

/// Guards the threads around the queue: lost wake-ups, mixed-up outcomes and unbounded waits.
class group_committer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(group_committer_test);
    CPPUNIT_TEST(eachCallerGetsItsOwnOutcome);
    CPPUNIT_TEST(writesThatArriveDuringABatchShareTheNext);
    CPPUNIT_TEST(remainderDoesNotWaitForTheBatchBefore);
    CPPUNIT_TEST(deadlineIsRespectedWhileTheStoreHangs);
    CPPUNIT_TEST(givingUpSaysWhetherTheWriteMayBeApplied);
    CPPUNIT_TEST(uncertainBatchIsRepeated);
    CPPUNIT_TEST(stopReleasesCallers);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachCallerGetsItsOwnOutcome()
    {
        auto options = fastOptions();
        options.maxQueued = 64;
        const auto committer = group_committer::create(m_store, m_clock, options);
        constexpr int threads = 16;
        constexpr int rounds = 40;
        std::atomic<int> wrong {0};
        std::atomic<int> contested {0};
        std::vector<std::thread> callers;
        callers.reserve(threads);
        for (int t = 0; t < threads; ++t) {
            callers.emplace_back([&, t] {
                for (int i = 0; i < rounds; ++i) {
                    const std::string key = std::to_string(t) + "/" + std::to_string(i);
                    const auto own = committer->submit({key, 0, {}, key, 0}, later());
                    const auto again = committer->submit({key, 0, {}, "other", 0}, later());
                    wrong += own && own->applied ? 0 : 1;
                    wrong += again && !again->applied && again->current->value == key ? 0 : 1;
                    const auto common =
                        committer->submit({"common/" + std::to_string(i), 0, {}, key, 0}, later());
                    wrong += common ? 0 : 1;
                    contested += common && common->applied ? 1 : 0;
                }
            });
        }
        for (auto &caller : callers) {
            caller.join();
        }
        CPPUNIT_ASSERT_EQUAL(0, wrong.load());
        CPPUNIT_ASSERT_EQUAL(rounds, contested.load());
        CPPUNIT_ASSERT(m_store.writeCalls() < std::int64_t {threads} * rounds * 3);
        CPPUNIT_ASSERT_EQUAL(m_store.range({"none"})->revision, committer->seenRevision());
    }

    void writesThatArriveDuringABatchShareTheNext()
    {
        gated_store gate(m_store);
        auto options = fastOptions();
        options.maxInFlight = 1;
        const auto committer = group_committer::create(gate, m_clock, options);
        auto first = submitLater(*committer, "first");
        gate.awaitBatches(1);
        // With one batch in flight, these stay in the queue until the gate opens. Their threads are
        // known to have queued them when the queue refuses another one.
        std::vector<std::future<result<write_outcome>>> rest;
        rest.reserve(9);
        for (int i = 0; i < 9; ++i) {
            rest.push_back(submitLater(*committer, std::to_string(i)));
        }
        while (!isFull(*committer)) {
            std::this_thread::yield();
        }
        gate.open();
        CPPUNIT_ASSERT(first.get()->applied);
        for (auto &one : rest) {
            CPPUNIT_ASSERT(one.get()->applied);
        }
        CPPUNIT_ASSERT((gate.batchSizes() == std::vector<std::size_t> {1, 9}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), gate.mostInFlight());
    }

    /// A write that did not fit into a batch was left until that batch's response.
    void remainderDoesNotWaitForTheBatchBefore()
    {
        gated_store gate(m_store);
        auto options = fastOptions();
        options.maxBatch = 1;
        const auto committer = group_committer::create(gate, m_clock, options);
        std::vector<std::future<result<write_outcome>>> all;
        all.reserve(4);
        for (int i = 0; i < 4; ++i) {
            all.push_back(submitLater(*committer, std::to_string(i)));
        }
        gate.awaitBatches(4);
        gate.open();
        for (auto &one : all) {
            CPPUNIT_ASSERT(one.get()->applied);
        }
    }

    void deadlineIsRespectedWhileTheStoreHangs()
    {
        gated_store gate(m_store);
        const auto committer = group_committer::create(gate, m_clock, fastOptions());
        const auto outcome = committer->submit(writeTo("a"), m_clock.now() + 20ms);
        // The write is in flight or, on a busy machine, not yet sent.
        CPPUNIT_ASSERT(!outcome);
        CPPUNIT_ASSERT(outcome.error().kind == error_kind::outcome_unknown
                       || outcome.error().kind == error_kind::unavailable);
        gate.open();
    }

    void givingUpSaysWhetherTheWriteMayBeApplied()
    {
        gated_store gate(m_store);
        auto options = fastOptions();
        options.maxInFlight = 1;
        const auto committer = group_committer::create(gate, m_clock, options);
        auto sent = std::async(std::launch::async, [&] {
            return committer->submit(writeTo("sent"), m_clock.now() + 1s);
        });
        gate.awaitBatches(1);
        const auto queued = committer->submit(writeTo("queued"), m_clock.now() + 10ms);
        CPPUNIT_ASSERT(queued.error().kind == error_kind::unavailable);
        CPPUNIT_ASSERT(sent.get().error().kind == error_kind::outcome_unknown);
        gate.open();
        CPPUNIT_ASSERT(committer->submit(writeTo("next"), later())->applied);
        // Applied after its caller gave up; the other one never is.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_store.range({"sent"})->entries.size());
        CPPUNIT_ASSERT(m_store.range({"queued"})->entries.empty());
    }

    void uncertainBatchIsRepeated()
    {
        std::atomic<int> calls {0};
        m_store.setFaultHook([&calls](std::string_view) {
            constexpr std::array faults {store_fault::lost_call, store_fault::unavailable,
                                         store_fault::lost_response};
            const auto call = static_cast<std::size_t>(calls++);
            return call < faults.size() ? faults.at(call) : store_fault::none;
        });
        const auto committer = group_committer::create(m_store, m_clock, fastOptions());
        const auto outcome = committer->submit({"a", 0, {}, "own", 0}, later());
        m_store.setFaultHook({});
        CPPUNIT_ASSERT_EQUAL(4, calls.load());
        // The third call was applied; the fourth finds its value.
        CPPUNIT_ASSERT(!outcome->applied);
        CPPUNIT_ASSERT_EQUAL(std::string("own"), outcome->current->value);
    }

    void stopReleasesCallers()
    {
        gated_store gate(m_store);
        const auto committer = group_committer::create(gate, m_clock, fastOptions());
        auto waiting = submitLater(*committer, "a");
        gate.awaitBatches(1);
        committer->stop();
        CPPUNIT_ASSERT(waiting.get().error().kind == error_kind::outcome_unknown);
        CPPUNIT_ASSERT(committer->submit(writeTo("b"), later()).error().kind
                       == error_kind::shutting_down);
        gate.open();
    }

private:
    static commit_options fastOptions()
    {
        commit_options options;
        options.minInterval = 1ms;
        options.callsPerSecond = 1000;
        options.maxQueued = 10;
        return options;
    }
    [[nodiscard]] monotonic_time later() const
    {
        return m_clock.now() + 60s;
    }
    std::future<result<write_outcome>> submitLater(group_committer &committer,
                                                   const std::string &key)
    {
        return std::async(std::launch::async, [this, &committer, key] {
            return committer.submit(writeTo(key), later());
        });
    }
    [[nodiscard]] bool isFull(group_committer &committer) const
    {
        const auto refused = committer.submit(writeTo("probe"), m_clock.now());
        return !refused && refused.error().kind == error_kind::overloaded;
    }

    system_clock_source m_clock;
    memory_kv_store m_store {m_clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(group_committer_test);
