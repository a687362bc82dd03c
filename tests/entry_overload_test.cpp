#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/http_peer_link.h>
#include <ibishinge/fleet/record_codec.h>
#include <ibishinge/outside/async_http_server.h>

#include <ibishinge/base/json.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

caller_request requestOf(caller_operation operation, int number)
{
    caller_request request;
    request.operation = operation;
    request.host = "jobs.example";
    request.path = "/pool-a/" + std::to_string(1'000'000'000'000'000 + number);
    request.key = "key-north";
    request.callerTimeout = 3000ms;
    if (operation == caller_operation::submit) {
        request.spec = simpleJob(1);
    }
    return request;
}

/// A process that answers the calls of `http_peer_link`, over loopback connections.
class answering_peer
{
public:
    explicit answering_peer(io_loop &loop)
        : m_loop(loop)
        , m_server(std::move(*async_http_server::start(
              loop, {}, [this](const http_request &request, const http_responder &respond) {
                  onCall(request, respond);
              })))
    {
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_server->port());
    }

    /// Time after which a call with a request of this text is answered; the longest counts.
    std::map<std::string, milliseconds> timeOf;
    milliseconds emptyCallTime {0}; ///< the shortest time in which any call is answered
    std::vector<std::vector<std::string>> calls; ///< in the order of their arrival
    std::size_t silentCalls = 0; ///< so many of the first calls get no answer

private:
    void onCall(const http_request &request, const http_responder &respond)
    {
        auto texts = nlohmann::json::parse(request.body).get<std::vector<std::string>>();
        milliseconds time = emptyCallTime;
        for (const auto &text : texts) {
            const auto found = timeOf.find(text);
            time = std::max(time, found == timeOf.end() ? milliseconds(0) : found->second);
        }
        calls.push_back(texts);
        if (calls.size() <= silentCalls) {
            return;
        }
        m_loop.after(time, [texts = std::move(texts), respond] {
            respond({200, {{"Content-Type", "application/cbor"}}, encodeCbor(texts)});
        });
    }

    io_loop &m_loop;
    std::unique_ptr<async_http_server> m_server;
};

} // namespace

/// Guards against entry processes that add to the load of a coordinator that is slow, loading or
/// overloaded, or that let everything wait behind new submissions.
class entry_overload_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_overload_test);
    CPPUNIT_TEST(lookupDoesNotWaitForSubmissions);
    CPPUNIT_TEST(cancellationsAndRepeatsAreSentBeforeNewSubmissions);
    CPPUNIT_TEST(lateAnswersArriveWhileTheProcessIsSlow);
    CPPUNIT_TEST(silentConnectionIsNoticedWhileOthersAreAnswered);
    CPPUNIT_TEST(repeatsDoNotMultiplyUnderASlowCoordinator);
    CPPUNIT_TEST(lostAnswersDoNotMultiplyRequests);
    CPPUNIT_TEST(submissionPastItsTimeIsNotAdmitted);
    CPPUNIT_TEST(submissionsOfAProcessThatTellsNoTimesAreAdmitted);
    CPPUNIT_TEST(waitersDoNotStormALoadingCoordinator);
    CPPUNIT_TEST(waitersAreAnsweredSoonAfterATakeOver);
    CPPUNIT_TEST(fullQueueRejectsNewSubmissionsOnly);
    CPPUNIT_TEST(fullQueueIsAnsweredAsOverload);
    CPPUNIT_TEST(coordinatorOverloadIsRememberedForNewSubmissionsOnly);
    CPPUNIT_TEST(otherRejectionsAreNotRemembered);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<io_loop> m_loop;

    /// Runs the event loop until `done` or the limit.
    template <class Function>
    bool runUntil(Function done, milliseconds limit)
    {
        const auto end = m_loop->now() + limit;
        std::function<void()> check = [&] {
            if (done() || m_loop->now() >= end) {
                m_loop->stop();
            } else {
                m_loop->after(2ms, check);
            }
        };
        m_loop->after(0ms, check);
        m_loop->run();
        return done();
    }

    struct world_of_three
    {
        fleet_world fleet;
        fleet_world::process *leader = nullptr;
        fleet_world::process *entry = nullptr;

        world_of_three()
        {
            for (const std::string name : {"one", "two", "three"}) {
                fleet.addProcess(name);
            }
            CPPUNIT_ASSERT(fleet.waitForLeader());
            fleet.loop.run(1s);
            leader = fleet.leader();
            auto &first = fleet.processes.at("one");
            entry = &first == leader ? &fleet.processes.at("two") : &first;
        }

        /// Sends a request through the entry process; the answer is kept in the returned object.
        std::shared_ptr<std::optional<caller_answer>> send(caller_operation operation, int number)
        {
            auto answer = std::make_shared<std::optional<caller_answer>>();
            entry->node->handle(requestOf(operation, number),
                                [answer](const caller_answer &value) { *answer = value; });
            return answer;
        }

        [[nodiscard]] int forwardedSubmissions() const
        {
            return static_cast<int>(std::count_if(
                fleet.forwarded.begin(), fleet.forwarded.end(), [](const caller_request &each) {
                    return each.operation == caller_operation::submit;
                }));
        }
    };

public:
    void setUp() override
    {
        m_loop = std::move(*io_loop::make());
    }

    /// The answers to submissions wait for the store, the lookup's does not.
    void lookupDoesNotWaitForSubmissions()
    {
        answering_peer peer(*m_loop);
        http_peer_link link(*m_loop);
        constexpr int submissions = 40;
        int answered = 0;
        for (int i = 0; i < submissions; ++i) {
            const auto text = "submission " + std::to_string(i);
            peer.timeOf[text] = 400ms;
            link.forward(peer.address(), text, forward_kind::submission, 3000ms,
                         [&](const result<std::string> &) { ++answered; });
        }
        std::optional<milliseconds> waited;
        const auto start = m_loop->now();
        link.forward(peer.address(), "lookup", forward_kind::lookup, 3000ms,
                     [&](const result<std::string> &answer) {
                         CPPUNIT_ASSERT(answer && *answer == "lookup");
                         waited = since(start, m_loop->now());
                     });
        CPPUNIT_ASSERT(runUntil([&] { return waited && answered == submissions; }, 5s));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(waited->count()) + " ms", *waited < 400ms);
        CPPUNIT_ASSERT(peer.calls.size() <= 6); // they still share calls
    }

    void cancellationsAndRepeatsAreSentBeforeNewSubmissions()
    {
        answering_peer peer(*m_loop);
        http_peer_link link(*m_loop);
        std::vector<std::string> answered;
        const auto forward = [&](const std::string &text, forward_kind kind) {
            peer.timeOf[text] = 100ms;
            link.forward(
                peer.address(), text, kind, 3000ms,
                [&answered, text](const result<std::string> &) { answered.push_back(text); });
        };
        constexpr int submissions = 100;
        for (int i = 0; i < submissions; ++i) {
            forward("submission", forward_kind::submission);
        }
        forward("count", forward_kind::count);
        forward("repeated", forward_kind::repeated_submission);
        forward("cancellation", forward_kind::cancellation);
        CPPUNIT_ASSERT(runUntil([&] { return answered.size() == submissions + 3; }, 5s));
        const auto placeOf = [&](const std::string &text) {
            return std::find(answered.begin(), answered.end(), text) - answered.begin();
        };
        CPPUNIT_ASSERT(placeOf("cancellation") < 10);
        CPPUNIT_ASSERT(placeOf("repeated") < 10);
    }

    /// All connections are equally slow: what was sent is answered, and nothing is sent again.
    void lateAnswersArriveWhileTheProcessIsSlow()
    {
        answering_peer peer(*m_loop);
        http_peer_link link(*m_loop);
        peer.timeOf["first"] = 1800ms;
        peer.timeOf["second"] = 1800ms;
        int answered = 0;
        int failed = 0;
        const auto count = [&](const result<std::string> &answer) {
            ++(answer ? answered : failed);
        };
        link.forward(peer.address(), "first", forward_kind::submission, 2850ms, count);
        link.forward(peer.address(), "second", forward_kind::lookup, 2850ms, count);
        peer.emptyCallTime = 1800ms;
        CPPUNIT_ASSERT(runUntil([&] { return answered + failed == 2; }, 5s));
        CPPUNIT_ASSERT_EQUAL(2, answered);
    }

    void silentConnectionIsNoticedWhileOthersAreAnswered()
    {
        answering_peer peer(*m_loop);
        http_peer_link link(*m_loop);
        peer.silentCalls = 1;
        std::optional<milliseconds> failedAfter;
        std::optional<error_kind> kind;
        const auto start = m_loop->now();
        link.forward(peer.address(), "lost", forward_kind::submission, 2850ms,
                     [&](const result<std::string> &answer) {
                         CPPUNIT_ASSERT(!answer);
                         kind = answer.error().kind;
                         failedAfter = since(start, m_loop->now());
                     });
        CPPUNIT_ASSERT(runUntil([&] { return failedAfter.has_value(); }, 5s));
        CPPUNIT_ASSERT(*kind == error_kind::outcome_unknown);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(failedAfter->count()) + " ms", *failedAfter < 1600ms);
    }

    /// The coordinator answers after two seconds. Its callers wait for three.
    void repeatsDoNotMultiplyUnderASlowCoordinator()
    {
        world_of_three world;
        CPPUNIT_ASSERT(
            world.fleet.ask(*world.entry, caller_operation::count_waiting, "/pool-a/").kind
            == answer_kind::counted);
        world.fleet.backlogOf[world.leader->name] = 2000ms;
        world.fleet.forwarded.clear();
        std::vector<std::shared_ptr<std::optional<caller_answer>>> answers;
        constexpr int submissions = 200;
        for (int i = 0; i < submissions; ++i) {
            answers.push_back(world.send(caller_operation::submit, i));
            world.fleet.loop.run(5ms);
        }
        world.fleet.loop.run(5s);
        CPPUNIT_ASSERT_EQUAL(submissions, world.forwardedSubmissions());
        for (const auto &answer : answers) {
            CPPUNIT_ASSERT(*answer && (*answer)->kind == answer_kind::accepted);
        }
    }

    /// Each call ends without an answer at once.
    void lostAnswersDoNotMultiplyRequests()
    {
        world_of_three world;
        CPPUNIT_ASSERT(
            world.fleet.ask(*world.entry, caller_operation::count_waiting, "/pool-a/").kind
            == answer_kind::counted);
        world.fleet.losesAnswers.insert(world.leader->name);
        world.fleet.forwarded.clear();
        std::vector<std::shared_ptr<std::optional<caller_answer>>> answers;
        constexpr int submissions = 200;
        for (int i = 0; i < submissions; ++i) {
            answers.push_back(world.send(caller_operation::submit, i));
            world.fleet.loop.run(5ms);
        }
        world.fleet.loop.run(5s);
        // A small share may be repeated, and a few at once.
        const auto copies = world.forwardedSubmissions();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(copies), copies <= submissions * 12 / 10);
        for (const auto &answer : answers) {
            CPPUNIT_ASSERT(*answer && !isRejection((*answer)->kind));
        }
    }

    /// The submission waits in front of the coordinator until its caller has given up.
    void submissionPastItsTimeIsNotAdmitted()
    {
        world_of_three world;
        CPPUNIT_ASSERT(
            world.fleet.ask(*world.entry, caller_operation::count_waiting, "/pool-a/").kind
            == answer_kind::counted);
        world.fleet.backlogOf[world.leader->name] = 3500ms;
        const auto answer = world.send(caller_operation::submit, 1);
        world.fleet.loop.run(8s);
        CPPUNIT_ASSERT(*answer && (*answer)->kind == answer_kind::outcome_unknown);
        CPPUNIT_ASSERT(world.forwardedSubmissions() > 0);
        CPPUNIT_ASSERT_EQUAL(0, world.fleet.world.starts);
        world.fleet.backlogOf.clear();
        // It can be submitted again.
        const auto path = requestOf(caller_operation::submit, 1).path;
        CPPUNIT_ASSERT(
            world.fleet.ask(*world.entry, caller_operation::submit, path, simpleJob(1)).kind
            == answer_kind::accepted);
    }

    /// Processes of an earlier version send no time with a request.
    void submissionsOfAProcessThatTellsNoTimesAreAdmitted()
    {
        world_of_three world;
        for (int i = 0; i < 2; ++i) {
            auto request = requestOf(caller_operation::submit, i);
            request.sender = "earlier:7000";
            std::optional<caller_answer> answer;
            world.leader->node->handleForwarded(
                *decodeRequest(encodeRequest(request)),
                [&](const caller_answer &value) { answer = value; });
            CPPUNIT_ASSERT(world.fleet.loop.runUntil([&] { return answer.has_value(); }, 1s));
            CPPUNIT_ASSERT(answer->kind == answer_kind::accepted);
            world.fleet.loop.run(10s);
        }
    }

    /// A new coordinator loads for four seconds, while 50 requests wait in each entry process.
    void waitersDoNotStormALoadingCoordinator()
    {
        world_of_three world;
        auto &fleet = world.fleet;
        constexpr int records = 800;
        for (int i = 0; i < records; ++i) {
            const auto id = std::to_string(1'000'000'000'000'000 + i);
            fleet.world.putItem(std::string(endedPrefix) + id,
                                encodeEnded({job_state::completed, fleet.loop.wallMs()}), 0);
        }
        for (auto &[name, each] : fleet.processes) {
            each.platform->pageSize = 1;
        }
        fleet.kill(world.leader->name, false);
        fleet.loop.run(3500ms);
        fleet.forwarded.clear();
        constexpr int requests = 50;
        for (auto &[name, each] : fleet.processes) {
            for (int i = 0; each.node && i < requests; ++i) {
                each.node->handle(requestOf(caller_operation::submit, records + i),
                                  [](const caller_answer &) {});
            }
        }
        fleet.loop.run(1s);
        CPPUNIT_ASSERT(fleet.leader() == nullptr);
        const auto received = fleet.forwarded.size();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(received), received > 0 && received <= requests);
        CPPUNIT_ASSERT(fleet.waitForLeader());
    }

    void waitersAreAnsweredSoonAfterATakeOver()
    {
        world_of_three world;
        auto &fleet = world.fleet;
        const auto former = world.leader->name;
        fleet.kill(former, false);
        std::optional<instant> servesAt;
        std::optional<instant> acceptedAt;
        for (int i = 0; i < 6000 && !acceptedAt; ++i) {
            if (i % 10 == 0) {
                for (auto &[name, each] : fleet.processes) {
                    if (each.node) {
                        each.node->handle(requestOf(caller_operation::submit, i),
                                          [&](const caller_answer &answer) {
                                              if (answer.kind == answer_kind::accepted
                                                  && !acceptedAt) {
                                                  acceptedAt = fleet.loop.now();
                                              }
                                          });
                    }
                }
            }
            if (!servesAt && fleet.leader() != nullptr) {
                servesAt = fleet.loop.now();
            }
            fleet.loop.run(1ms);
        }
        CPPUNIT_ASSERT(servesAt && acceptedAt);
        const auto waited = since(*servesAt, *acceptedAt);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(waited.count()) + " ms", waited <= 60ms);
    }

    void fullQueueRejectsNewSubmissionsOnly()
    {
        answering_peer peer(*m_loop);
        http_peer_link link(*m_loop);
        peer.emptyCallTime = 300ms;
        const auto start = m_loop->now();
        int answered = 0;
        int rejected = 0;
        milliseconds lastRejection {0};
        const auto submit = [&] {
            link.forward(peer.address(), "submission", forward_kind::submission, 3000ms,
                         [&](const result<std::string> &answer) {
                             ++(answer ? answered : rejected);
                             if (!answer) {
                                 CPPUNIT_ASSERT(answer.error().kind == error_kind::overloaded);
                                 lastRejection = since(start, m_loop->now());
                             }
                         });
        };
        constexpr int submissions = 1000;
        for (int i = 0; i < submissions; ++i) {
            submit();
        }
        int others = 0;
        for (const auto kind : {forward_kind::lookup, forward_kind::cancellation,
                                forward_kind::repeated_submission, forward_kind::count}) {
            link.forward(peer.address(), "other", kind, 3000ms,
                         [&](const result<std::string> &answer) { others += answer ? 1 : 0; });
        }
        m_loop->after(2s, submit); // there is room again
        CPPUNIT_ASSERT(runUntil([&] { return answered + rejected == submissions + 1; }, 5s));
        CPPUNIT_ASSERT_EQUAL(4, others);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(rejected), rejected >= submissions / 2);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(answered), answered >= 100);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(lastRejection.count()) + " ms",
                               lastRejection < 300ms);
    }

    void fullQueueIsAnsweredAsOverload()
    {
        world_of_three world;
        auto &fleet = world.fleet;
        // The answer to the first submission is lost, so that its repetition is not rejected.
        fleet.losesAnswers.insert(world.leader->name);
        const auto lost = world.send(caller_operation::submit, 1);
        fleet.loop.run(4s);
        CPPUNIT_ASSERT(*lost && (*lost)->kind == answer_kind::outcome_unknown);
        fleet.losesAnswers.clear();
        fleet.fullQueues.insert(world.leader->name);
        const auto fresh = world.send(caller_operation::submit, 2);
        const auto repeated = world.send(caller_operation::submit, 1);
        const auto lookup = world.send(caller_operation::show, 1);
        fleet.loop.run(50ms);
        CPPUNIT_ASSERT(*fresh && (*fresh)->kind == answer_kind::overloaded);
        CPPUNIT_ASSERT((*fresh)->retryAfter > 0ms);
        CPPUNIT_ASSERT(*repeated && (*repeated)->kind == answer_kind::accepted);
        CPPUNIT_ASSERT(*lookup && (*lookup)->kind == answer_kind::job_found);
    }

    void coordinatorOverloadIsRememberedForNewSubmissionsOnly()
    {
        world_of_three world;
        auto &fleet = world.fleet;
        caller_answer overloaded;
        overloaded.kind = answer_kind::overloaded;
        overloaded.message = "the coordinator is overloaded";
        overloaded.retryAfter = 2000ms;
        overloaded.version = 1;
        overloaded.coordinatorOverloaded = true;
        fleet.submissionAnswers[world.leader->name] = overloaded;
        int number = 0;
        const auto first = world.send(caller_operation::submit, ++number);
        fleet.loop.run(20ms);
        CPPUNIT_ASSERT(*first && (*first)->kind == answer_kind::overloaded);
        fleet.forwarded.clear();
        constexpr int submissions = 160;
        for (int i = 0; i < submissions; ++i) {
            const auto answer = world.send(caller_operation::submit, ++number);
            fleet.loop.run(10ms);
            CPPUNIT_ASSERT(*answer && (*answer)->kind == answer_kind::overloaded);
            CPPUNIT_ASSERT((*answer)->retryAfter == overloaded.retryAfter);
        }
        // A small share still reaches the coordinator.
        const int forwarded = world.forwardedSubmissions();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(forwarded),
                               forwarded > 0 && forwarded <= submissions / 8);
        for (const auto operation :
             {caller_operation::show, caller_operation::cancel, caller_operation::count_waiting}) {
            auto request = requestOf(operation, 1);
            const auto answer = fleet.ask(*world.entry, operation, request.path);
            CPPUNIT_ASSERT(answer.kind == answer_kind::no_such_job
                           || answer.kind == answer_kind::counted);
        }
        // It ends soon after the overload.
        fleet.submissionAnswers.clear();
        fleet.loop.run(400ms);
        const auto accepted = world.send(caller_operation::submit, ++number);
        fleet.loop.run(50ms);
        CPPUNIT_ASSERT(*accepted && (*accepted)->kind == answer_kind::accepted);
    }

    /// A rejection of one queue says nothing about the others.
    void otherRejectionsAreNotRemembered()
    {
        world_of_three world;
        caller_answer noRoom;
        noRoom.kind = answer_kind::overloaded;
        noRoom.message = "no host has the label";
        noRoom.retryAfter = 2000ms;
        noRoom.version = 1;
        world.fleet.submissionAnswers[world.leader->name] = noRoom;
        const auto rejected = world.send(caller_operation::submit, 1);
        world.fleet.loop.run(20ms);
        CPPUNIT_ASSERT(*rejected && (*rejected)->kind == answer_kind::overloaded);
        world.fleet.submissionAnswers.clear();
        const auto accepted = world.send(caller_operation::submit, 2);
        world.fleet.loop.run(50ms);
        CPPUNIT_ASSERT(*accepted && (*accepted)->kind == answer_kind::accepted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_overload_test);
