#include "tests/support/fleet_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

/// Guards against requests that a process has read and leaves without an answer when it ends.
class request_during_shutdown_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_during_shutdown_test);
    CPPUNIT_TEST(requestsThatWaitForAFrozenCoordinatorAreAnswered);
    CPPUNIT_TEST(requestsAreAnsweredByTheNextCoordinator);
    CPPUNIT_TEST(requestsThatWaitForTheStoreAreAnswered);
    CPPUNIT_TEST_SUITE_END();

    static constexpr milliseconds answerTime {4500};
    static constexpr milliseconds interval {100};

    struct sent_request
    {
        caller_operation operation = caller_operation::submit;
        milliseconds sentAt {0}; ///< after the stop signal
        std::optional<caller_answer> answer;
    };
    using sent_requests = std::vector<std::shared_ptr<sent_request>>;

    fleet_world m_fleet;

    void begin()
    {
        for (const std::string name : {"one", "two", "three"}) {
            m_fleet.addProcess(name);
        }
        CPPUNIT_ASSERT(m_fleet.waitForLeader());
        m_fleet.loop.run(1s);
    }

    fleet_world::process &follower()
    {
        const auto *const leader = m_fleet.leader();
        auto &first = m_fleet.processes.at("one");
        return &first == leader ? m_fleet.processes.at("two") : first;
    }

    static std::string describeSent(const sent_request &each)
    {
        return "operation " + std::to_string(static_cast<int>(each.operation)) + " sent after "
               + std::to_string(each.sentAt.count())
               + " ms: " + std::string(each.answer ? nameOf(each.answer->kind) : "no answer");
    }

    void send(fleet_world::process &through, caller_operation operation, milliseconds sentAt,
              sent_requests &sent)
    {
        const auto each = std::make_shared<sent_request>();
        each->operation = operation;
        each->sentAt = sentAt;
        caller_request request;
        request.operation = operation;
        request.host = "jobs.example";
        request.path = "/pool-a/" + std::to_string(1'000'000'000'000'000 + sent.size());
        request.key = "key-north";
        request.spec = simpleJob(1);
        request.callerTimeout = milliseconds(3000);
        sent.push_back(each);
        through.node->handle(request, [each](const caller_answer &value) {
            CPPUNIT_ASSERT(!each->answer);
            each->answer = value;
        });
    }

    /// Stops the process and sends it requests from 1.5 s before until 0.5 s after the time by
    /// which it has to answer them.
    sent_requests stopUnderLoad(fleet_world::process &stopped)
    {
        constexpr auto before = 1500ms;
        constexpr auto after = 500ms;
        sent_requests sent;
        for (auto at = -before; at < answerTime + after; at += interval) {
            if (at == 0ms) {
                stopped.node->resign();
                stopped.node->answerAllBy(m_fleet.loop.now() + answerTime);
            }
            if (at == answerTime) {
                for (const auto &each : sent) {
                    CPPUNIT_ASSERT_MESSAGE(describeSent(*each), each->answer);
                }
            }
            for (const auto operation :
                 {caller_operation::submit, caller_operation::show, caller_operation::cancel}) {
                send(stopped, operation, at, sent);
                if (at >= answerTime) {
                    CPPUNIT_ASSERT_MESSAGE(describeSent(*sent.back()), sent.back()->answer);
                    CPPUNIT_ASSERT(sent.back()->answer->kind == answer_kind::not_ready);
                }
            }
            m_fleet.loop.run(interval);
        }
        return sent;
    }

public:
    /// A submission that reached the frozen coordinator may be carried out.
    void requestsThatWaitForAFrozenCoordinatorAreAnswered()
    {
        begin();
        auto &stopped = follower();
        m_fleet.frozen.insert(m_fleet.leader()->name);
        for (const auto &each : stopUnderLoad(stopped)) {
            const bool mayRun =
                each->operation == caller_operation::submit && each->sentAt < answerTime;
            CPPUNIT_ASSERT_MESSAGE(
                describeSent(*each),
                each->answer->kind
                    == (mayRun ? answer_kind::outcome_unknown : answer_kind::not_ready));
        }
    }

    void requestsAreAnsweredByTheNextCoordinator()
    {
        begin();
        auto &stopped = *m_fleet.leader();
        int accepted = 0;
        int submitted = 0;
        for (const auto &each : stopUnderLoad(stopped)) {
            if (each->operation == caller_operation::submit && each->sentAt < answerTime - 1s) {
                ++submitted;
                accepted += each->answer->kind == answer_kind::accepted ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT_EQUAL(submitted, accepted);
    }

    void requestsThatWaitForTheStoreAreAnswered()
    {
        begin();
        auto &stopped = follower();
        for (auto &[name, process] : m_fleet.processes) {
            process.platform->storeCut = true;
        }
        stopUnderLoad(stopped);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_during_shutdown_test);
