#include <ibishinge/state/request_ledger.h>

#include "standins/memory_kv_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

/// Guards the blocking interface: retention leases, deadlines and lost responses.
class request_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_ledger_test);
    CPPUNIT_TEST(secondAttemptGetsTheKeptAnswer);
    CPPUNIT_TEST(releasedIdRunsOnlyForLaterAttempts);
    CPPUNIT_TEST(lostResponseDoesNotLoseTheClaim);
    CPPUNIT_TEST(claimIsUnavailableIfNoCallTookEffect);
    CPPUNIT_TEST(claimIsUnknownIfACallMayHaveTakenEffect);
    CPPUNIT_TEST(claimAfterDeadlineIsNotReported);
    CPPUNIT_TEST(recordsOfOnePeriodShareALease);
    CPPUNIT_TEST(lostLeaseIsReplaced);
    CPPUNIT_TEST(unreadableRecordIsNeverClaimed);
    CPPUNIT_TEST(oneOfManyProcessesClaims);
    CPPUNIT_TEST_SUITE_END();

public:
    void secondAttemptGetsTheKeptAnswer()
    {
        auto first = attempt("a1");
        CPPUNIT_ASSERT(m_ledger->claim(first, later()).result == ledger_result::claimed);
        auto second = attempt("a2");
        CPPUNIT_ASSERT(m_ledger->claim(second, later()).result == ledger_result::claimed_by_other);
        const stored_response answer {200, "text/plain", "done"};
        CPPUNIT_ASSERT(m_ledger->finish(first, answer, later()).result == ledger_result::finished);
        auto third = attempt("a3");
        const auto outcome = m_ledger->claim(third, later());
        CPPUNIT_ASSERT(outcome.result == ledger_result::already_finished);
        CPPUNIT_ASSERT(outcome.found->record.answer == answer);
    }

    void releasedIdRunsOnlyForLaterAttempts()
    {
        auto frozen = attempt("a1");
        auto refused = attempt("a2");
        CPPUNIT_ASSERT(m_ledger->release(refused, later()).result == ledger_result::released);
        CPPUNIT_ASSERT(m_ledger->claim(frozen, later()).result == ledger_result::superseded);
        auto retry = attempt("a3");
        CPPUNIT_ASSERT(m_ledger->claim(retry, later()).result == ledger_result::claimed);
        CPPUNIT_ASSERT(m_ledger->release(frozen, later()).result
                       == ledger_result::claimed_by_other);
    }

    void lostResponseDoesNotLoseTheClaim()
    {
        m_store.setFaultHook([this](std::string_view operation) {
            return operation == "applyBatch" && ++m_calls == 1 ? store_fault::lost_response
                                                               : store_fault::none;
        });
        auto first = attempt("a1");
        CPPUNIT_ASSERT(m_ledger->claim(first, later()).result == ledger_result::claimed);
        CPPUNIT_ASSERT(m_calls >= 2);
        CPPUNIT_ASSERT(m_ledger->release(first, later()).result == ledger_result::released);
    }

    void claimIsUnavailableIfNoCallTookEffect()
    {
        CPPUNIT_ASSERT(claimWith(store_fault::unavailable) == ledger_result::unavailable);
    }

    void claimIsUnknownIfACallMayHaveTakenEffect()
    {
        CPPUNIT_ASSERT(claimWith(store_fault::lost_call) == ledger_result::outcome_unknown);
    }

    /// A claim that is made certain only after the deadline could be dispatched when its record has
    /// expired.
    void claimAfterDeadlineIsNotReported()
    {
        auto first = attempt("a1");
        CPPUNIT_ASSERT(m_ledger->claim(first, later()).result == ledger_result::claimed);
        CPPUNIT_ASSERT(m_ledger->claim(first, m_clock.now()).result
                       == ledger_result::outcome_unknown);
        auto second = attempt("a2");
        second.requestId = "other";
        CPPUNIT_ASSERT(m_ledger->claim(second, m_clock.now()).result == ledger_result::unavailable);
        CPPUNIT_ASSERT(m_store.range({"request/team/other"})->entries.empty());
    }

    void recordsOfOnePeriodShareALease()
    {
        std::atomic<int> grants {0};
        m_store.setFaultHook([&grants](std::string_view operation) {
            grants += operation == "grantLease" ? 1 : 0;
            return store_fault::none;
        });
        for (int i = 0; i < 5; ++i) {
            auto a = attempt("a" + std::to_string(i));
            a.requestId = a.attempt.id;
            CPPUNIT_ASSERT(m_ledger->claim(a, later()).result == ledger_result::claimed);
        }
        CPPUNIT_ASSERT_EQUAL(1, grants.load());
        const auto found = m_store.range({"request/", true});
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), found->entries.size());
        for (const auto &entry : found->entries) {
            CPPUNIT_ASSERT(entry.lease != 0);
        }
        m_store.setFaultHook({});
    }

    void lostLeaseIsReplaced()
    {
        auto first = attempt("a1");
        CPPUNIT_ASSERT(m_ledger->claim(first, later()).result == ledger_result::claimed);
        const auto lease = m_store.range({"request/", true})->entries.front().lease;
        CPPUNIT_ASSERT(m_store.revokeLease(lease).has_value());
        auto second = attempt("a2");
        CPPUNIT_ASSERT(m_ledger->claim(second, later()).result == ledger_result::claimed);
        CPPUNIT_ASSERT(m_store.range({"request/", true})->entries.front().lease != lease);
    }

    void unreadableRecordIsNeverClaimed()
    {
        const conditional_write foreign {"request/team/id", 0, {}, "{}", 0};
        CPPUNIT_ASSERT(m_store.applyBatch({&foreign, 1})->outcomes[0].applied);
        auto first = attempt("a1");
        CPPUNIT_ASSERT(m_ledger->claim(first, later()).result == ledger_result::outcome_unknown);
        CPPUNIT_ASSERT(m_ledger->release(first, later()).result == ledger_result::outcome_unknown);
    }

    /// Threads of several processes, while every third batch loses its response.
    void oneOfManyProcessesClaims()
    {
        constexpr std::size_t processes = 4;
        constexpr std::size_t ids = 25;
        m_store.setFaultHook([this](std::string_view operation) {
            return operation == "applyBatch" && ++m_calls % 3 == 0 ? store_fault::lost_response
                                                                   : store_fault::none;
        });
        std::array<std::atomic<int>, ids> claims {};
        std::atomic<int> undecided {0};
        std::vector<std::thread> threads;
        threads.reserve(processes);
        for (std::size_t p = 0; p < processes; ++p) {
            threads.emplace_back([&, p] {
                const auto committer = group_committer::create(m_store, m_clock, fastCommits());
                const auto ledger = request_ledger::create(*committer, m_store, m_clock);
                for (std::size_t i = 0; i < ids; ++i) {
                    request_attempt a {
                        "team", std::to_string(i), {"p" + std::to_string(p), "hash", 0}, {}};
                    const auto result = ledger->claim(a, later()).result;
                    claims.at(i) += result == ledger_result::claimed ? 1 : 0;
                    undecided += result == ledger_result::claimed
                                         || result == ledger_result::claimed_by_other
                                     ? 0
                                     : 1;
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        m_store.setFaultHook({});
        CPPUNIT_ASSERT_EQUAL(0, undecided.load());
        for (const auto &count : claims) {
            CPPUNIT_ASSERT_EQUAL(1, count.load());
        }
    }

private:
    [[nodiscard]] request_attempt attempt(const std::string &id) const
    {
        return {"team", "id", {id, "hash", m_ledger->seenRevision()}, {}};
    }
    [[nodiscard]] monotonic_time later() const
    {
        return m_clock.now() + 60s;
    }
    /// Claims while each call has `fault`, with a retention lease from before.
    ledger_result claimWith(store_fault fault)
    {
        auto before = attempt("a1");
        before.requestId = "before";
        CPPUNIT_ASSERT(m_ledger->claim(before, later()).result == ledger_result::claimed);
        m_store.setFaultHook([fault](std::string_view) { return fault; });
        auto claimant = attempt("a2");
        return m_ledger->claim(claimant, m_clock.now() + 500ms).result;
    }
    static commit_options fastCommits()
    {
        commit_options options;
        options.minInterval = 1ms;
        options.callsPerSecond = 1000;
        return options;
    }

    system_clock_source m_clock;
    memory_kv_store m_store {m_clock};
    std::atomic<int> m_calls {0};
    std::unique_ptr<group_committer> m_committer =
        group_committer::create(m_store, m_clock, fastCommits());
    std::unique_ptr<request_ledger> m_ledger =
        request_ledger::create(*m_committer, m_store, m_clock);
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_ledger_test);
