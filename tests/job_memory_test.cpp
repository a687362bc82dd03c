#include "tests/support/counted_heap.h"
#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/admission.h>
#include <ibishinge/fleet/backlog/job_memory.h>
#include <ibishinge/fleet/backlog/occurrence_window.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

std::string idOf(int job)
{
    const auto number = std::to_string(job);
    return std::string(16 - number.size(), '0') + number;
}

/// Returns a job that is due in an hour, of `steps` steps with texts of `textBytes` bytes.
job_spec largeJob(const fleet_world &fleet, int steps, std::size_t textBytes)
{
    auto spec = simpleJob(1);
    spec.repetitions = 2;
    spec.firstDueMs = fleet.loop.wallMs() + 3'600'000;
    spec.intervalMs = 1000;
    spec.steps.front().image = std::string(textBytes, 'i');
    spec.steps.resize(static_cast<std::size_t>(steps), spec.steps.front());
    return spec;
}

} // namespace

/// Guards against accepted jobs that take the memory of each process that coordinates, in turn: the
/// store holds them, so that a successor reads them again.
class job_memory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_memory_test);
    CPPUNIT_TEST(estimateIsAnUpperBound);
    CPPUNIT_TEST(jobsOfOneCustomerLeaveRoomForOthers);
    CPPUNIT_TEST(countFollowsTheJobs);
    CPPUNIT_TEST(largeDescriptionsAreRefusedBeforeTheMemoryIsFull);
    CPPUNIT_TEST(descriptionAboveTheStoresLimitIsRefused);
    CPPUNIT_TEST_SUITE_END();

    static caller_answer submit(fleet_world &fleet, int number, const job_spec &spec,
                                const std::string &key = "key-north")
    {
        caller_request request;
        request.operation = caller_operation::submit;
        request.host = "jobs.example";
        request.path = "/pool-a/" + idOf(number);
        request.key = key;
        request.spec = spec;
        request.callerTimeout = 3000ms;
        caller_answer answer;
        bool done = false;
        fleet_world::send(*fleet.leader(), request, [&](const caller_answer &value) {
            answer = value;
            done = true;
        });
        CPPUNIT_ASSERT(fleet.loop.runUntil([&] { return done; }, 4s));
        return answer;
    }

    static std::unique_ptr<fleet_world> makeFleet()
    {
        auto fleet = std::make_unique<fleet_world>(2);
        fleet->world.config.customers["south"] = {"south", {"key-south"}, 10, {}};
        fleet->world.config.customerOfKey["key-south"] = "south";
        fleet->addProcess("one");
        CPPUNIT_ASSERT(fleet->waitForLeader());
        fleet->loop.run(1s);
        return fleet;
    }

public:
    void estimateIsAnUpperBound()
    {
        for (const auto &[steps, text] : {std::pair(1, 0), {1, 4000}, {8, 100}, {64, 4000}}) {
            fleet_tables tables;
            const auto before = heldBytes;
            for (int i = 0; i < 100; ++i) {
                job_entry job;
                job.id = idOf(i);
                job.customer = "a customer with a long name";
                job.queue = "a queue with a long name";
                job.spec = simpleJob(1000);
                job.spec.steps.resize(1);
                job.spec.steps.front().image = std::string(static_cast<std::size_t>(text), 'i');
                job.spec.steps.front().dataRack = job.spec.steps.front().image;
                job.spec.steps.resize(static_cast<std::size_t>(steps), job.spec.steps.front());
                job.stored = true;
                addJob(tables, std::move(job));
            }
            openDueOccurrences(tables, 1);
            const auto held = heldBytes - before;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(held) + " of "
                                       + std::to_string(tables.jobMemory.all),
                                   held <= tables.jobMemory.all);
        }
    }

    void jobsOfOneCustomerLeaveRoomForOthers()
    {
        const instant now {};
        fleet_tables tables;
        const auto fill = [&](const std::string &customer) {
            job_entry job;
            job.customer = customer;
            job.spec = simpleJob(1);
            int added = 0;
            while (!limitJobMemory(tables, customer, memoryOf(job), now)) {
                job.id = customer + idOf(added++);
                addJob(tables, job);
            }
            return added;
        };
        const int first = fill("a");
        CPPUNIT_ASSERT(first > 1000);
        const int second = fill("b");
        CPPUNIT_ASSERT(second > first / 4);
        CPPUNIT_ASSERT(fill("c") > second / 4);
        CPPUNIT_ASSERT(tables.jobMemory.all < maxJobMemory);
        CPPUNIT_ASSERT(limitJobMemory(tables, "a", 2000, now) == 30s); // nothing ends
        for (int i = 0; i < first / 10; ++i) {
            removeJob(tables, "a" + idOf(i), now);
        }
        const auto retryAfter = limitJobMemory(tables, "a", 2'000'000, now);
        CPPUNIT_ASSERT(retryAfter && *retryAfter < 30s);
    }

    void countFollowsTheJobs()
    {
        CPPUNIT_ASSERT(rc::check("the count is the sum", [] {
            fleet_tables tables;
            const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(0, 3)));
            for (const auto &[number, customer] : steps) {
                if (removeJob(tables, idOf(number), {})) {
                    continue;
                }
                job_entry job;
                job.id = idOf(number);
                job.customer = std::to_string(customer);
                job.spec = simpleJob(1 + number);
                addJob(tables, job);
            }
            std::size_t all = 0;
            std::map<std::string, std::size_t> byCustomer;
            for (const auto &[id, job] : tables.jobs) {
                all += memoryOf(job);
                byCustomer[job.customer] += memoryOf(job);
            }
            RC_ASSERT(tables.jobMemory.all == all);
            RC_ASSERT(tables.jobMemory.byCustomer == byCustomer);
        }));
    }

    void largeDescriptionsAreRefusedBeforeTheMemoryIsFull()
    {
        const auto fleet = makeFleet();
        const auto spec = largeJob(*fleet, 60, 3900);
        int accepted = 0;
        caller_answer answer;
        for (int i = 0; i < 400; ++i) {
            answer = submit(*fleet, i, spec);
            if (answer.kind != answer_kind::accepted) {
                break;
            }
            ++accepted;
        }
        CPPUNIT_ASSERT(accepted > 50);
        CPPUNIT_ASSERT(accepted < 200);
        CPPUNIT_ASSERT(answer.kind == answer_kind::overloaded);
        CPPUNIT_ASSERT(answer.retryAfter >= 1s);
        CPPUNIT_ASSERT(!answer.coordinatorOverloaded);
        // Others are served, also after a take-over.
        CPPUNIT_ASSERT(submit(*fleet, 1000, simpleJob(1), "key-south").kind
                       == answer_kind::accepted);
        fleet->kill("one", true);
        CPPUNIT_ASSERT(fleet->waitForLeader(20s));
        CPPUNIT_ASSERT(submit(*fleet, 1001, spec).kind == answer_kind::overloaded);
        CPPUNIT_ASSERT(submit(*fleet, 1002, simpleJob(1), "key-south").kind
                       == answer_kind::accepted);
        CPPUNIT_ASSERT(
            fleet->ask(*fleet->leader(), caller_operation::cancel, "/pool-a/" + idOf(0)).kind
            == answer_kind::cancelled);
        CPPUNIT_ASSERT(submit(*fleet, 1003, spec).kind == answer_kind::accepted);
    }

    /// The store would refuse the record each time, and all that waits behind it.
    void descriptionAboveTheStoresLimitIsRefused()
    {
        const auto fleet = makeFleet();
        auto spec = simpleJob(1);
        spec.steps.front().image = std::string(4000, '\1');
        spec.steps.resize(60, spec.steps.front());
        CPPUNIT_ASSERT(submit(*fleet, 1, spec).kind == answer_kind::invalid);
        CPPUNIT_ASSERT(submit(*fleet, 2, simpleJob(1)).kind == answer_kind::accepted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_memory_test);
