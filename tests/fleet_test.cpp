#include "tests/support/fleet_world.h"

#include <ibishinge/fleet/backlog/occurrence_window.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace ibishinge;
using namespace ibishinge::fleet;
using namespace std::chrono_literals;

namespace {

const std::string jobPath = "/pool-a/00000000000000aa";

} // namespace

/// Whole processes on a simulated platform: requests of callers, changes of the leader, faults of
/// the store and of workers. Each test also fails if the platform has recorded a violation of the
/// rules for tasks.
class fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_test);
    CPPUNIT_TEST(anyProcessAcceptsAndShowsAJob);
    CPPUNIT_TEST(stepsRunAfterTheStepsTheyDependOn);
    CPPUNIT_TEST(repeatedSubmissionRunsTheJobOnce);
    CPPUNIT_TEST(invalidRequestsAreRejectedWithAMessage);
    CPPUNIT_TEST(cancelStopsAllRuns);
    CPPUNIT_TEST(jobFailsAfterMaxAttempts);
    CPPUNIT_TEST(failuresReportedOutOfOrderAreCounted);
    CPPUNIT_TEST(killedLeaderIsReplacedBeforeItsLeaseExpires);
    CPPUNIT_TEST(restartedLeaderIsElectedAgain);
    CPPUNIT_TEST(electionDoesNotReplaceALiveLeader);
    CPPUNIT_TEST(leaderCutOffFromTheStoreHandsOver);
    CPPUNIT_TEST(handoverSkipsCandidatesCutOffFromTheStore);
    CPPUNIT_TEST(processCutOffFromTheStoreFindsTheNewLeader);
    CPPUNIT_TEST(stallOfTheLeaderIsNotTakenForAStoreOutage);
    CPPUNIT_TEST(leaderStaysWhenAllProcessesLoseTheStore);
    CPPUNIT_TEST(lostCommitAnswerStoresTheJobOnce);
    CPPUNIT_TEST(delayedCommitDoesNotRunAnEndedJobAgain);
    CPPUNIT_TEST(jobWithAStoredEndIsNotRunAgain);
    CPPUNIT_TEST(startsWithRefusedConnectionArePlacedAgain);
    CPPUNIT_TEST(unansweredStopsReleaseTheirResources);
    CPPUNIT_TEST(taskOfAnUnreachableWorkerRestartsAfterItsLease);
    CPPUNIT_TEST(taskOfARestartedWorkerRestartsAtOnce);
    CPPUNIT_TEST(waveCompletesWithinItsLimitOfHosts);
    CPPUNIT_TEST(waveKeepsMaxUnavailableOfLongRunningTasks);
    CPPUNIT_TEST(resigningLeaderHandsOver);
    CPPUNIT_TEST(gangStartsAndEndsAsAUnit);
    CPPUNIT_TEST(occurrencesStartWhenTheyAreDue);
    CPPUNIT_TEST(startsCarryTickets);
    CPPUNIT_TEST(runsLeaveADrainingWorker);
    CPPUNIT_TEST(runWithoutProgressIsPlacedElsewhere);
    CPPUNIT_TEST(customerLimitHoldsOverAllPools);
    CPPUNIT_TEST(resumedLeaderSendsNoOrdersAfterItsLease);
    CPPUNIT_TEST(maintenanceWaitsUntilEndsAreStored);
    CPPUNIT_TEST(tasksOnSilentWorkersCountAsUnavailable);
    CPPUNIT_TEST(replacedWorkerDoesNotDelayATakeover);
    CPPUNIT_TEST(newWorkersAreFoundDespiteADeadWatch);
    CPPUNIT_TEST(taskIsNotRestartedBeforeAnInheritedLeaseExpires);
    CPPUNIT_TEST(slowTakeoverKeepsInheritedRuns);
    CPPUNIT_TEST(leaseGivenDuringATakeoverIsRemembered);
    CPPUNIT_TEST(newCoordinatorPollsWorkersBeforeItOrdersMaintenance);
    CPPUNIT_TEST(revokedKeyIsRejectedByAllProcesses);
    CPPUNIT_TEST(coordinatorWithoutTheStoreDoesNotAcceptARevokedKey);
    CPPUNIT_TEST(coordinatorWithAnOlderConfigurationIsNotReady);
    CPPUNIT_TEST(coordinatorWithoutTheStoreStopsSendingOrders);
    CPPUNIT_TEST(handoverPrefersTheProcessWithMostProcessorShare);
    CPPUNIT_TEST_SUITE_END();

    fleet_world m_fleet;

    fleet_world::process &startThree()
    {
        for (const std::string name : {"one", "two", "three"}) {
            m_fleet.addProcess(name);
        }
        CPPUNIT_ASSERT(m_fleet.waitForLeader());
        m_fleet.loop.run(500ms);
        return *m_fleet.leader();
    }

    fleet_world::process &other(const fleet_world::process &than)
    {
        for (auto &[name, each] : m_fleet.processes) {
            if (name != than.name && each.node) {
                return each;
            }
        }
        throw std::runtime_error("no other process");
    }

    void submit(fleet_world::process &through, const std::string &path, const job_spec &spec)
    {
        const auto answer = m_fleet.ask(through, caller_operation::submit, path, spec);
        CPPUNIT_ASSERT_EQUAL(std::string("accepted"), std::string(nameOf(answer.kind)));
    }

public:
    void tearDown() override
    {
        for (const auto &violation : m_fleet.world.violations) {
            CPPUNIT_FAIL(violation);
        }
    }

    void anyProcessAcceptsAndShowsAJob()
    {
        auto &leader = startThree();
        submit(other(leader), jobPath, simpleJob(4));
        CPPUNIT_ASSERT(m_fleet.waitForState(other(leader), jobPath, job_state::completed, 2s));
        CPPUNIT_ASSERT_EQUAL(4, m_fleet.world.starts);
        // Every process shows the state, also after the job has ended.
        for (auto &[name, each] : m_fleet.processes) {
            CPPUNIT_ASSERT(m_fleet.stateOf(each, jobPath) == job_state::completed);
        }
    }

    void stepsRunAfterTheStepsTheyDependOn()
    {
        auto &leader = startThree();
        auto spec = simpleJob(2);
        spec.steps.push_back(spec.steps.front());
        spec.steps.back().after = {0};
        std::vector<int> order;
        m_fleet.world.behaviourOf = [&](const task_name &task) {
            order.push_back(task.step);
            return virtual_world::behaviour {};
        };
        submit(leader, jobPath, spec);
        CPPUNIT_ASSERT(m_fleet.waitForState(leader, jobPath, job_state::completed, 3s));
        CPPUNIT_ASSERT(order == (std::vector<int> {0, 0, 1, 1}));
    }

    void repeatedSubmissionRunsTheJobOnce()
    {
        auto &leader = startThree();
        submit(leader, jobPath, simpleJob(1));
        submit(other(leader), jobPath, simpleJob(1));
        CPPUNIT_ASSERT(m_fleet.waitForState(leader, jobPath, job_state::completed, 2s));
        submit(other(leader), jobPath, simpleJob(1));
        m_fleet.loop.run(1s);
        CPPUNIT_ASSERT_EQUAL(1, m_fleet.world.starts);
    }

    void invalidRequestsAreRejectedWithAMessage()
    {
        auto &leader = startThree();
        auto cyclic = simpleJob(1);
        cyclic.steps[0].after = {0};
        auto empty = simpleJob(0);
        auto large = simpleJob(1);
        large.payload.assign(maxPayloadBytes + 1, 'x');
        auto huge = simpleJob(1, 1'000'000);
        for (const auto &spec : {cyclic, empty, large, huge}) {
            const auto answer = m_fleet.ask(leader, caller_operation::submit, jobPath, spec);
            CPPUNIT_ASSERT_EQUAL(std::string("invalid"), std::string(nameOf(answer.kind)));
            CPPUNIT_ASSERT(!answer.message.empty());
        }
        const auto show = caller_operation::show;
        CPPUNIT_ASSERT(m_fleet.ask(leader, show, "/none/00").kind == answer_kind::no_such_queue);
        CPPUNIT_ASSERT(m_fleet.ask(leader, show, jobPath).kind == answer_kind::no_such_job);
        CPPUNIT_ASSERT_EQUAL(0, m_fleet.world.starts);
        submit(leader, jobPath, simpleJob(1)); // the rejected submissions left the id unused
    }

    void cancelStopsAllRuns()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms, false};
        };
        submit(leader, jobPath, simpleJob(3));
        m_fleet.loop.run(200ms);
        CPPUNIT_ASSERT_EQUAL(3, m_fleet.world.starts);
        const auto answer = m_fleet.ask(leader, caller_operation::cancel, jobPath);
        CPPUNIT_ASSERT(answer.kind == answer_kind::cancelled);
        m_fleet.loop.run(200ms);
        for (const auto &[id, worker] : m_fleet.world.workers) {
            CPPUNIT_ASSERT(worker.running.empty());
        }
        CPPUNIT_ASSERT(m_fleet.stateOf(leader, jobPath) == job_state::cancelled);
    }

    void jobFailsAfterMaxAttempts()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {100ms, true};
        };
        submit(leader, jobPath, simpleJob(1));
        CPPUNIT_ASSERT(m_fleet.waitForState(leader, jobPath, job_state::failed, 3s));
        CPPUNIT_ASSERT_EQUAL(2, m_fleet.world.starts);
    }

    /// Guards against a failed run that is not counted because a new coordinator learned of a later
    /// run's failure first. The first run's worker is reached after the second's.
    void failuresReportedOutOfOrderAreCounted()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {100ms, true};
        };
        submit(leader, jobPath, simpleJob(1));
        // The first coordinator learns of the failures but cannot store them.
        leader.platform->storeCut = true;
        m_fleet.loop.runUntil([&] { return m_fleet.world.starts == 2; }, 2s);
        m_fleet.loop.run(200ms);
        m_fleet.kill(leader.name, false);
        // The worker of the first run is reachable only after that of the second.
        auto &world = m_fleet.world;
        for (auto &[id, worker] : world.workers) {
            worker.reachable = worker.ended.empty() || worker.ended.front().run != 1;
        }
        CPPUNIT_ASSERT(m_fleet.waitForLeader());
        m_fleet.loop.run(800ms);
        for (auto &[id, worker] : world.workers) {
            worker.reachable = true;
        }
        auto &next = *m_fleet.leader();
        CPPUNIT_ASSERT(m_fleet.waitForState(next, jobPath, job_state::failed, 8s));
        CPPUNIT_ASSERT_EQUAL(2, world.starts);
    }

    void killedLeaderIsReplacedBeforeItsLeaseExpires()
    {
        auto &leader = startThree();
        auto &through = other(leader);
        submit(through, jobPath, simpleJob(4));
        m_fleet.loop.run(100ms);
        m_fleet.kill(leader.name, false);
        // A refused connection shows that the process has ended, so the others don't wait for its
        // lease to expire.
        CPPUNIT_ASSERT(m_fleet.waitForState(through, jobPath, job_state::completed, 1500ms));
        CPPUNIT_ASSERT_EQUAL(4, m_fleet.world.starts);
    }

    /// Guards against a leader that, once restarted at the same address, forwards requests to
    /// itself and takes its own answers as proof that the former leader is alive.
    void restartedLeaderIsElectedAgain()
    {
        auto &leader = m_fleet.addProcess("only");
        CPPUNIT_ASSERT(m_fleet.waitForLeader());
        m_fleet.loop.run(500ms);
        submit(leader, jobPath, simpleJob(1));
        m_fleet.kill("only", true);
        caller_request request;
        request.host = "jobs.example";
        request.path = jobPath;
        request.key = "key-north";
        for (int i = 0; i < 20; ++i) {
            m_fleet.loop.after(milliseconds(10 * i), [&, request] {
                leader.node->handle(request, [](const caller_answer &) {});
            });
        }
        CPPUNIT_ASSERT(m_fleet.waitForLeader(500ms));
    }

    /// Guards against an election that replaces a live leader: a candidate made its write
    /// conditional on the newest revision it had seen, which was already that of another leader's
    /// record.
    void electionDoesNotReplaceALiveLeader()
    {
        // With this many processes, some become candidates before another's record has reached
        // them.
        for (int i = 0; i < 24; ++i) {
            m_fleet.addProcess("process-" + std::to_string(i));
        }
        CPPUNIT_ASSERT(m_fleet.waitForLeader());
        m_fleet.loop.run(3s);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), m_fleet.world.items.at("fleet/term").value);
    }

    void leaderCutOffFromTheStoreHandsOver()
    {
        auto &leader = startThree();
        submit(other(leader), jobPath, simpleJob(1));
        leader.platform->storeCut = true;
        const auto before = m_fleet.loop.now();
        CPPUNIT_ASSERT(m_fleet.loop.runUntil(
            [&] {
                // The leader learns of candidates from the requests that they forward.
                auto *now = m_fleet.leader();
                if (now != nullptr && now->name != leader.name) {
                    return true;
                }
                m_fleet.ask(other(leader), caller_operation::show, jobPath);
                return false;
            },
            4s));
        CPPUNIT_ASSERT(m_fleet.loop.now() - before < 2500ms);
    }

    /// Guards against a slow replacement of a leader that is cut off from the store together with a
    /// candidate: the leader stayed for 1.5 s, and then offered its place to that candidate, which
    /// cost a further second while a queue was at its peak.
    void handoverSkipsCandidatesCutOffFromTheStore()
    {
        constexpr int processes = 6;
        for (int i = 0; i < processes; ++i) {
            const auto name = "process-" + std::to_string(i);
            m_fleet.shares[name] = i < 2 ? 2 : 1; // the larger shares lead and are asked first
            m_fleet.addProcess(name).platform->silence = 800ms;
        }
        CPPUNIT_ASSERT(m_fleet.waitForLeader());
        m_fleet.loop.run(3s);
        auto &leader = *m_fleet.leader();
        CPPUNIT_ASSERT(m_fleet.shares.at(leader.name) > 1);
        int number = 0;
        const auto submitEverywhere = [&] {
            for (auto &[name, each] : m_fleet.processes) {
                caller_request request;
                request.operation = caller_operation::submit;
                request.host = "jobs.example";
                const auto digits = std::to_string(++number);
                request.path = "/pool-a/" + std::string(16 - digits.size(), '0') + digits;
                request.key = "key-north";
                request.spec = simpleJob(1);
                each.node->handle(request, [](const caller_answer &) {});
            }
        };
        submitEverywhere();
        m_fleet.loop.run(100ms);
        for (auto &[name, each] : m_fleet.processes) {
            each.platform->storeCut = m_fleet.shares.at(name) > 1;
        }
        const auto before = m_fleet.loop.now();
        CPPUNIT_ASSERT(m_fleet.loop.runUntil(
            [&] {
                const auto *now = m_fleet.leader();
                if (now != nullptr && now->name != leader.name) {
                    return true;
                }
                submitEverywhere();
                m_fleet.loop.run(20ms);
                return false;
            },
            4s));
        const auto replacementTime = m_fleet.loop.now() - before;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(replacementTime.count()) + " ms",
                               replacementTime <= 1200ms);
        CPPUNIT_ASSERT(m_fleet.world.violations.empty());
    }

    /// Guards against processes that reject their callers for as long as they cannot reach the
    /// store: cut off together with the coordinator, they kept forwarding requests to it after
    /// another one had taken over.
    void processCutOffFromTheStoreFindsTheNewLeader()
    {
        auto &leader = startThree();
        auto &cut = other(leader);
        submit(cut, jobPath, simpleJob(1));
        cut.platform->storeCut = true;
        leader.platform->storeCut = true;
        // Requests arrive throughout the hand-over.
        caller_request request;
        request.host = "jobs.example";
        request.path = jobPath;
        request.key = "key-north";
        for (milliseconds at {0}; at < 4s; at += 2ms) {
            m_fleet.loop.after(at, [&, request] {
                for (auto &[name, each] : m_fleet.processes) {
                    each.node->handle(request, [](const caller_answer &) {});
                }
            });
        }
        CPPUNIT_ASSERT(m_fleet.loop.runUntil(
            [&] {
                const auto *now = m_fleet.leader();
                return now != nullptr && now->name != leader.name;
            },
            4s));
        m_fleet.loop.run(1s);
        int number = 0;
        for (auto *each : {&cut, &leader}) {
            const auto path = "/pool-a/000000000000000" + std::to_string(++number);
            const auto answer = m_fleet.ask(*each, caller_operation::submit, path, simpleJob(1));
            CPPUNIT_ASSERT_EQUAL(std::string("accepted"), std::string(nameOf(answer.kind)));
            CPPUNIT_ASSERT(m_fleet.waitForState(*each, path, job_state::completed, 2s));
        }
    }

    /// Guards against a leader that, after a stall of its process, takes its own stall for an
    /// outage of the store and offers its place.
    void stallOfTheLeaderIsNotTakenForAStoreOutage()
    {
        auto &leader = startThree();
        m_fleet.ask(other(leader), caller_operation::count_waiting, "/pool-a/");
        leader.platform->storeTime = 80ms;
        const int before = leader.platform->renewals;
        CPPUNIT_ASSERT(
            m_fleet.loop.runUntil([&] { return leader.platform->renewals > before; }, 1s));
        m_fleet.loop.standStill(1500ms); // the answer is read only after the stall
        m_fleet.loop.run(1s);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), m_fleet.world.items.at("fleet/term").value);
    }

    void leaderStaysWhenAllProcessesLoseTheStore()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {3000ms, false};
        };
        submit(other(leader), jobPath, simpleJob(2));
        m_fleet.loop.run(100ms);
        for (auto &[name, each] : m_fleet.processes) {
            each.platform->storeCut = true;
        }
        m_fleet.loop.run(1500ms);
        for (auto &[name, each] : m_fleet.processes) {
            each.platform->storeCut = false;
        }
        CPPUNIT_ASSERT(m_fleet.waitForState(leader, jobPath, job_state::completed, 4s));
        CPPUNIT_ASSERT_EQUAL(2, m_fleet.world.starts);
        CPPUNIT_ASSERT_EQUAL(std::string("1"), m_fleet.world.items.at("fleet/term").value);
    }

    void lostCommitAnswerStoresTheJobOnce()
    {
        auto &leader = startThree();
        leader.platform->loseCommits = 1;
        submit(leader, jobPath, simpleJob(2));
        CPPUNIT_ASSERT(m_fleet.waitForState(leader, jobPath, job_state::completed, 3s));
        CPPUNIT_ASSERT_EQUAL(2, m_fleet.world.starts);
    }

    /// Guards against a job that runs again after its end: a transaction without an answer was
    /// repeated, its job ran and ended, and then the first copy was carried out. It brought the
    /// job's record back, and the next coordinator ran the job.
    void delayedCommitDoesNotRunAnEndedJobAgain()
    {
        auto &leader = startThree();
        leader.platform->delayCommits = 1;
        leader.platform->commitDelay = 5s;
        submit(leader, jobPath, simpleJob(3));
        CPPUNIT_ASSERT(m_fleet.waitForState(leader, jobPath, job_state::completed, 3s));
        m_fleet.loop.run(5s);
        m_fleet.kill(leader.name, false);
        auto &newLeader = other(leader);
        m_fleet.ask(newLeader, caller_operation::show, jobPath);
        CPPUNIT_ASSERT(m_fleet.waitForLeader(5s));
        m_fleet.loop.run(6s);
        CPPUNIT_ASSERT_EQUAL(job_state::completed, m_fleet.stateOf(newLeader, jobPath));
        CPPUNIT_ASSERT_EQUAL(3, m_fleet.world.starts);
        CPPUNIT_ASSERT(m_fleet.world.violations.empty());
    }

    /// Guards against a job that runs again because its record exists beside its final state, as
    /// older versions could leave it behind.
    void jobWithAStoredEndIsNotRunAgain()
    {
        auto &leader = startThree();
        submit(leader, jobPath, simpleJob(1));
        m_fleet.loop.run(100ms);
        const auto jobKey = std::string(jobPrefix) + "00000000000000aa";
        const auto record = m_fleet.world.items.at(jobKey).value;
        CPPUNIT_ASSERT(m_fleet.waitForState(leader, jobPath, job_state::completed, 3s));
        m_fleet.loop.run(500ms); // the worker has forgotten the end
        m_fleet.world.putItem(jobKey, record, 0);
        m_fleet.kill(leader.name, false);
        auto &newLeader = other(leader);
        m_fleet.ask(newLeader, caller_operation::show, jobPath);
        CPPUNIT_ASSERT(m_fleet.waitForLeader(5s));
        m_fleet.loop.run(6s);
        CPPUNIT_ASSERT_EQUAL(1, m_fleet.world.starts);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, m_fleet.world.items.count(jobKey));
    }

    /// Guards against starts that stay open for seconds after a worker has refused the connection,
    /// as workers do with a burst of starts above their limit of connections.
    void startsWithRefusedConnectionArePlacedAgain()
    {
        auto &leader = startThree();
        leader.platform->refuseStarts = 3;
        submit(leader, jobPath, simpleJob(4));
        CPPUNIT_ASSERT(m_fleet.waitForState(leader, jobPath, job_state::completed, 1500ms));
        CPPUNIT_ASSERT_EQUAL(4, m_fleet.world.starts);
    }

    /// Guards against a run that never began but stays `stopping` for good: each repetition of the
    /// stop postponed the time from which a report shows that the run is gone.
    void unansweredStopsReleaseTheirResources()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms, false};
        };
        submit(leader, jobPath, simpleJob(2));
        m_fleet.loop.run(200ms);
        for (const auto &[id, worker] : m_fleet.world.workers) {
            leader.platform->unansweredStops.insert(id);
        }
        m_fleet.ask(leader, caller_operation::cancel, jobPath);
        m_fleet.loop.run(2500ms);
        leader.platform->unansweredStops.clear();
        CPPUNIT_ASSERT(m_fleet.loop.runUntil(
            [&] {
                for (const auto &[id, worker] : m_fleet.world.workers) {
                    if (!worker.running.empty()) {
                        return false;
                    }
                }
                return true;
            },
            2s));
        // The resources of the runs are free again: a job that needs two whole workers can run.
        m_fleet.world.behaviourOf = [](const task_name &) { return virtual_world::behaviour {}; };
        const std::string next = "/pool-a/00000000000000ab";
        submit(leader, next, simpleJob(2, 8000));
        CPPUNIT_ASSERT(m_fleet.waitForState(leader, next, job_state::completed, 3s));
    }

    void taskOfAnUnreachableWorkerRestartsAfterItsLease()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [this](const task_name &) {
            // The first run ends only when its lease expires.
            return virtual_world::behaviour {m_fleet.world.starts == 1 ? 0ms : 500ms, false};
        };
        submit(leader, jobPath, simpleJob(1));
        m_fleet.loop.run(200ms);
        std::string workerId;
        for (auto &[id, worker] : m_fleet.world.workers) {
            workerId = worker.running.empty() ? workerId : id;
        }
        const auto leaseEnd = m_fleet.world.workers.at(workerId).leaseEnd;
        m_fleet.world.workers.at(workerId).reachable = false;
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return m_fleet.world.starts == 2; }, 8s));
        CPPUNIT_ASSERT(m_fleet.loop.now() > leaseEnd);
    }

    void taskOfARestartedWorkerRestartsAtOnce()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {1000ms, false};
        };
        submit(leader, jobPath, simpleJob(1));
        m_fleet.loop.run(200ms);
        for (auto &[id, worker] : m_fleet.world.workers) {
            if (!worker.running.empty()) {
                m_fleet.world.crash(id);
                worker.alive = true;
                worker.entry.incarnation = ++m_fleet.world.lives;
                worker.endCount = 0;
                worker.closedRuns.clear();
                worker.fence = 0;
            }
        }
        CPPUNIT_ASSERT(m_fleet.waitForState(leader, jobPath, job_state::completed, 3s));
        CPPUNIT_ASSERT_EQUAL(2, m_fleet.world.starts);
    }

    void waveCompletesWithinItsLimitOfHosts()
    {
        auto &leader = startThree();
        maintenance_wave wave;
        wave.number = 1;
        wave.deadline = 20s;
        wave.maxConcurrent = 1;
        for (const auto &[name, host] : m_fleet.world.hosts) {
            wave.hosts.push_back(name);
        }
        m_fleet.world.waves.push_back(wave);
        m_fleet.world.putItem("waves/1", "", 0);
        CPPUNIT_ASSERT(m_fleet.loop.runUntil(
            [&] {
                int down = 0;
                for (const auto &[name, host] : m_fleet.world.hosts) {
                    down += host.state == host_state::maintenance ? 1 : 0;
                }
                CPPUNIT_ASSERT(down <= wave.maxConcurrent);
                const auto status = m_fleet.world.items.find("wave-status/1");
                return status != m_fleet.world.items.end() && status->second.value == "completed";
            },
            20s));
        CPPUNIT_ASSERT_EQUAL(wave.hosts.size(), m_fleet.world.maintained.size());
        static_cast<void>(leader);
    }

    void waveKeepsMaxUnavailableOfLongRunningTasks()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms, false};
        };
        auto spec = simpleJob(3);
        spec.steps[0].longRunning = true;
        spec.steps[0].maxUnavailable = 1;
        submit(leader, jobPath, spec);
        m_fleet.loop.run(1500ms);
        maintenance_wave wave;
        wave.number = 1;
        wave.deadline = 20s;
        wave.maxConcurrent = 2;
        for (const auto &[name, host] : m_fleet.world.hosts) {
            if (host.pool == "pool-a") {
                wave.hosts.push_back(name);
            }
        }
        m_fleet.world.waves.push_back(wave);
        m_fleet.world.putItem("waves/1", "", 0);
        const bool done = m_fleet.loop.runUntil(
            [&] {
                int running = 0;
                for (const auto &[id, worker] : m_fleet.world.workers) {
                    running += static_cast<int>(worker.running.size());
                }
                CPPUNIT_ASSERT(running >= 2);
                return m_fleet.world.maintained.size() == wave.hosts.size();
            },
            20s);
        CPPUNIT_ASSERT(done);
    }

    void resigningLeaderHandsOver()
    {
        auto &leader = startThree();
        submit(other(leader), jobPath, simpleJob(4));
        leader.node->resign();
        auto &through = other(leader);
        CPPUNIT_ASSERT(m_fleet.waitForState(through, jobPath, job_state::completed, 1500ms));
        CPPUNIT_ASSERT(m_fleet.leader() != nullptr);
        CPPUNIT_ASSERT(m_fleet.leader()->name != leader.name);
    }

    void gangStartsAndEndsAsAUnit()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &task) {
            // The end of one member ends the gang.
            return virtual_world::behaviour {task.index == 0 ? 400ms : 0ms, false};
        };
        auto spec = simpleJob(4, 4000);
        spec.steps[0].gang = true;
        submit(leader, jobPath, spec);
        CPPUNIT_ASSERT(m_fleet.waitForState(leader, jobPath, job_state::completed, 2s));
        CPPUNIT_ASSERT_EQUAL(4, m_fleet.world.starts);
        // No member of a gang starts if the gang does not fit as a whole.
        auto wide = simpleJob(5, 4000);
        wide.steps[0].gang = true;
        submit(leader, "/pool-a/00000000000000ac", wide);
        m_fleet.loop.run(1s);
        CPPUNIT_ASSERT_EQUAL(4, m_fleet.world.starts);
    }

    void occurrencesStartWhenTheyAreDue()
    {
        auto &leader = startThree();
        auto spec = simpleJob(1);
        spec.repetitions = 3;
        spec.firstDueMs = m_fleet.loop.wallMs() + 1000;
        spec.intervalMs = 1000;
        submit(leader, jobPath, spec);
        m_fleet.loop.run(900ms);
        CPPUNIT_ASSERT_EQUAL(0, m_fleet.world.starts);
        m_fleet.loop.run(400ms);
        CPPUNIT_ASSERT_EQUAL(1, m_fleet.world.starts);
        m_fleet.kill(leader.name, false);
        auto &through = other(leader);
        CPPUNIT_ASSERT(m_fleet.waitForState(through, jobPath, job_state::completed, 9s));
        CPPUNIT_ASSERT_EQUAL(3, m_fleet.world.starts);
    }

    void startsCarryTickets()
    {
        m_fleet.world.config.queues[0].advice = advice_config {5ms, 1ms, 3000ms};
        auto &leader = startThree();
        submit(leader, jobPath, simpleJob(4));
        CPPUNIT_ASSERT(m_fleet.waitForState(leader, jobPath, job_state::completed, 2s));
        CPPUNIT_ASSERT_EQUAL(4, m_fleet.world.startsWithTicket);
    }

    void runsLeaveADrainingWorker()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms, false};
        };
        auto spec = simpleJob(1);
        spec.steps[0].longRunning = true;
        submit(leader, jobPath, spec);
        m_fleet.loop.run(300ms);
        for (auto &[id, worker] : m_fleet.world.workers) {
            if (!worker.running.empty()) {
                worker.entry.state = worker_state::draining;
                worker.entry.remaining = 2000ms;
                m_fleet.world.putItem("workers/" + id, id, 0);
            }
        }
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return m_fleet.world.starts == 2; }, 1s));
        for (auto &[id, worker] : m_fleet.world.workers) {
            CPPUNIT_ASSERT(worker.running.empty() || worker.entry.state == worker_state::ready);
        }
        static_cast<void>(leader);
    }

    void runWithoutProgressIsPlacedElsewhere()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [this](const task_name &) {
            return virtual_world::behaviour {m_fleet.world.starts == 1 ? 0ms : 500ms, false};
        };
        submit(leader, jobPath, simpleJob(1));
        CPPUNIT_ASSERT(m_fleet.waitForState(leader, jobPath, job_state::completed, 8s));
        CPPUNIT_ASSERT_EQUAL(2, m_fleet.world.starts);
    }

    void customerLimitHoldsOverAllPools()
    {
        m_fleet.world.config.customers["north"].limit = {3000, 0, 0};
        auto &leader = startThree();
        submit(leader, jobPath, simpleJob(4));
        submit(leader, "/pool-b/00000000000000ad", simpleJob(4));
        int most = 0;
        m_fleet.loop.runUntil(
            [&] {
                int running = 0;
                for (const auto &[id, worker] : m_fleet.world.workers) {
                    running += static_cast<int>(worker.running.size());
                }
                most = std::max(most, running);
                return false;
            },
            3s);
        CPPUNIT_ASSERT_EQUAL(3, most);
        CPPUNIT_ASSERT_EQUAL(8, m_fleet.world.starts);
    }

    /// Guards against orders of a coordinator that was frozen and resumes after its lease has
    /// expired.
    void resumedLeaderSendsNoOrdersAfterItsLease()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {800ms, false};
        };
        submit(other(leader), jobPath, simpleJob(20));
        m_fleet.loop.run(50ms);
        leader.platform->freeze();
        // Its timers keep running here, so only the lease that it cannot renew ends its orders.
        m_fleet.loop.run(3s);
        const int calls = leader.platform->workerCalls;
        m_fleet.loop.run(4s);
        CPPUNIT_ASSERT_EQUAL(calls, leader.platform->workerCalls);
        leader.platform->thaw();
        m_fleet.loop.run(1s);
        CPPUNIT_ASSERT_EQUAL(calls, leader.platform->workerCalls);
        CPPUNIT_ASSERT(m_fleet.leader() != nullptr);
        CPPUNIT_ASSERT(m_fleet.leader()->name != leader.name);
    }

    /// Guards against lost ends of runs: maintenance was ordered while reported ends of the worker
    /// were not stored yet, and they were lost with the worker.
    void maintenanceWaitsUntilEndsAreStored()
    {
        auto &leader = startThree();
        submit(leader, jobPath, simpleJob(2));
        m_fleet.loop.run(300ms);
        leader.platform->refuseCommits = true;
        bool lost = false;
        m_fleet.world.onTakeDown = [&](const standin::virtual_worker &worker) {
            lost = lost || !worker.ended.empty();
        };
        maintenance_wave wave;
        wave.number = 1;
        wave.deadline = 20s;
        wave.maxConcurrent = 4;
        for (const auto &[name, host] : m_fleet.world.hosts) {
            wave.hosts.push_back(name);
        }
        m_fleet.world.waves.push_back(wave);
        m_fleet.world.putItem("waves/1", "", 0);
        m_fleet.loop.run(1500ms);
        leader.platform->refuseCommits = false;
        m_fleet.loop.run(5s);
        CPPUNIT_ASSERT(!lost);
        CPPUNIT_ASSERT(m_fleet.stateOf(leader, jobPath) == job_state::completed);
    }

    /// Guards against more unavailable tasks of a step than its `maxUnavailable`: a long-running
    /// task was stopped to be moved while another of its step was on a worker that no longer
    /// answered.
    void tasksOnSilentWorkersCountAsUnavailable()
    {
        fleet_tables tables;
        job_entry job;
        job.id = "job";
        job.spec = simpleJob(2);
        job.spec.steps[0].longRunning = true;
        job.spec.steps[0].maxUnavailable = 1;
        job.stored = true;
        openDueOccurrences(job, 0);
        tables.jobs.emplace(job.id, job);
        const instant now {10s};
        for (int index = 0; index < 2; ++index) {
            run_entry run;
            run.key = {{"job", 0, 0, index}, 1};
            run.worker = "worker-" + std::to_string(index);
            run.phase = run_phase::running;
            run.percent = 100;
            run.longRunning = true;
            addRun(tables, run);
            auto &worker = tables.workers.at(run.worker);
            worker.verified = true;
            worker.reportAt = now - 100ms;
            auto &task = *changeTask(tables, run.key.task);
            task.phase = task_phase::placed;
            task.currentRun = 1;
        }
        const auto &run = tables.runs.begin()->second;
        CPPUNIT_ASSERT(mayInterrupt(tables, run, now));
        tables.workers.at("worker-1").reportAt = now - 2s;
        CPPUNIT_ASSERT(!mayInterrupt(tables, run, now));
        tables.workers.at("worker-1").reportAt = now;
        tables.workers.at("worker-1").verified = false;
        CPPUNIT_ASSERT(!mayInterrupt(tables, run, now));
    }

    /// Guards against a takeover that waits for the lease of a worker that has ended: the registry
    /// lists a worker for seconds after its host was moved.
    void replacedWorkerDoesNotDelayATakeover()
    {
        auto &leader = startThree();
        submit(other(leader), jobPath, simpleJob(12, 2000));
        m_fleet.loop.run(100ms);
        auto &endedWorker = m_fleet.world.addWorker("ghost", "pool-a", 8000);
        endedWorker.alive = false;
        m_fleet.world.hosts.at("host-ghost").worker = "its-next-life";
        m_fleet.kill(leader.name, false);
        CPPUNIT_ASSERT(m_fleet.waitForState(other(leader), jobPath, job_state::completed, 3500ms));
    }

    /// Guards against workers that stay unknown because a watch was cut without an error: 20 new
    /// workers were not seen for 20 s while their pools were at their peak.
    void newWorkersAreFoundDespiteADeadWatch()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms, false};
        };
        leader.platform->watchesSilent = true;
        m_fleet.loop.run(100ms);
        for (int i = 0; i < 3; ++i) {
            m_fleet.world.addWorker("late-" + std::to_string(i), "pool-a", 8000);
        }
        submit(other(leader), jobPath, simpleJob(5, 8000));
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return m_fleet.world.starts >= 5; }, 3s));
    }

    /// Guards against two runs of a task: if a new coordinator cannot reach a worker with a run of
    /// the previous one, the task is started elsewhere only after the lease of that run has
    /// expired.
    void taskIsNotRestartedBeforeAnInheritedLeaseExpires()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms, false};
        };
        submit(other(leader), jobPath, simpleJob(1));
        m_fleet.loop.run(200ms);
        std::string workerId;
        for (auto &[id, worker] : m_fleet.world.workers) {
            workerId = worker.running.empty() ? workerId : id;
        }
        auto &worker = m_fleet.world.workers.at(workerId);
        worker.reachable = false;
        m_fleet.kill(leader.name, false);
        m_fleet.ask(other(leader), caller_operation::show, jobPath);
        CPPUNIT_ASSERT(m_fleet.waitForLeader(1s));
        CPPUNIT_ASSERT(m_fleet.loop.now() < worker.leaseEnd);
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return m_fleet.world.starts == 2; }, 8s));
        CPPUNIT_ASSERT(m_fleet.loop.now() > worker.leaseEnd);
    }

    /// Starts a job of four tasks in pool-b and replaces the leader while the store is so slow that
    /// workers are polled between two pages of the registry. The first task ends meanwhile, the
    /// others run until they are stopped.
    fleet_world::process &takeOverSlowly()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &task) {
            return virtual_world::behaviour {task.index == 0 ? 300ms : 0ms, false};
        };
        submit(other(leader), "/pool-b/00000000000000aa", simpleJob(4));
        m_fleet.loop.run(200ms);
        CPPUNIT_ASSERT_EQUAL(4, m_fleet.world.starts);
        for (auto &[name, each] : m_fleet.processes) {
            each.platform->storeTime = 135ms;
            each.platform->pageSize = 1;
        }
        m_fleet.kill(leader.name, false);
        m_fleet.ask(other(leader), caller_operation::show, jobPath);
        CPPUNIT_ASSERT(m_fleet.waitForLeader(4s));
        return *m_fleet.leader();
    }

    /// Guards against two runs of a task: a worker with an end to be stored was polled again
    /// without a new lease, no lease of the previous coordinator was known yet, and so the worker's
    /// other runs were taken for expired.
    void slowTakeoverKeepsInheritedRuns()
    {
        takeOverSlowly();
        m_fleet.loop.run(2s);
        CPPUNIT_ASSERT_EQUAL(4, m_fleet.world.starts);
    }

    /// Guards against two runs of a task: at the end of a take-over the leases that had been given
    /// during it were forgotten.
    void leaseGivenDuringATakeoverIsRemembered()
    {
        takeOverSlowly();
        auto &worker = m_fleet.world.workers.at("pool-b-0");
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, worker.running.size());
        worker.reachable = false;
        CPPUNIT_ASSERT(m_fleet.loop.runUntil([&] { return m_fleet.world.starts > 4; }, 9s));
        CPPUNIT_ASSERT(m_fleet.loop.now() > worker.leaseEnd);
    }

    /// Guards against maintenance of hosts with running tasks: a new coordinator took workers for
    /// idle that it had not polled yet.
    void newCoordinatorPollsWorkersBeforeItOrdersMaintenance()
    {
        auto &leader = startThree();
        m_fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms, false};
        };
        auto spec = simpleJob(4);
        spec.steps[0].longRunning = true;
        spec.steps[0].maxUnavailable = 1;
        submit(leader, jobPath, spec);
        m_fleet.loop.run(500ms);
        maintenance_wave wave;
        wave.number = 1;
        wave.deadline = 20s;
        wave.maxConcurrent = 4;
        for (const auto &[name, host] : m_fleet.world.hosts) {
            wave.hosts.push_back(name);
        }
        m_fleet.world.waves.push_back(wave);
        bool cut = false;
        m_fleet.world.onTakeDown = [&](const standin::virtual_worker &worker) {
            cut = cut || !worker.running.empty();
        };
        for (auto &[name, each] : m_fleet.processes) {
            each.platform->pollTime = 250ms;
        }
        leader.node->resign();
        m_fleet.world.putItem("waves/1", "", 0);
        m_fleet.loop.run(15s);
        CPPUNIT_ASSERT(!cut);
        CPPUNIT_ASSERT_EQUAL(wave.hosts.size(), m_fleet.world.maintained.size());
    }

    void revokeKey()
    {
        m_fleet.world.config.customerOfKey.erase("key-north");
        ++m_fleet.world.config.version;
        m_fleet.world.putItem("configuration", "", 0);
    }

    void revokedKeyIsRejectedByAllProcesses()
    {
        startThree();
        revokeKey();
        m_fleet.loop.run(2s);
        for (auto &[name, each] : m_fleet.processes) {
            const auto answer = m_fleet.ask(each, caller_operation::submit, jobPath, simpleJob(1));
            CPPUNIT_ASSERT_EQUAL(std::string("unauthorized"), std::string(nameOf(answer.kind)));
        }
        CPPUNIT_ASSERT_EQUAL(0, m_fleet.world.starts);
    }

    void coordinatorWithoutTheStoreDoesNotAcceptARevokedKey()
    {
        auto &leader = startThree();
        for (auto &[name, each] : m_fleet.processes) {
            each.platform->storeCut = true; // no process can take over or see the change
        }
        revokeKey();
        m_fleet.loop.run(3s);
        for (int i = 0; i < 5; ++i) {
            const auto path = "/pool-a/00000000000000b" + std::to_string(i);
            const auto answer = m_fleet.ask(leader, caller_operation::submit, path, simpleJob(1));
            CPPUNIT_ASSERT(answer.kind != answer_kind::accepted);
        }
        m_fleet.loop.run(1s);
        CPPUNIT_ASSERT_EQUAL(0, m_fleet.world.starts);
    }

    /// Guards against answers by an older version of the configuration than the process has already
    /// used: a coordinator that has only the older one answers `not_ready`, and the process asks
    /// again.
    void coordinatorWithAnOlderConfigurationIsNotReady()
    {
        auto &leader = startThree();
        caller_request request;
        request.operation = caller_operation::count_waiting;
        request.host = "jobs.example";
        request.path = "/pool-a/";
        request.key = "key-north";
        request.servedConfigVersion = m_fleet.world.config.version + 1;
        std::optional<caller_answer> answer;
        leader.node->handleForwarded(request, [&](const caller_answer &value) { answer = value; });
        CPPUNIT_ASSERT(answer && answer->kind == answer_kind::not_ready);
        ++m_fleet.world.config.version;
        m_fleet.world.putItem("configuration", "", 0);
        m_fleet.loop.run(200ms);
        leader.node->handleForwarded(request, [&](const caller_answer &value) { answer = value; });
        CPPUNIT_ASSERT(answer->kind == answer_kind::counted);
    }

    /// Guards against orders of a coordinator whose lease has expired. No process takes over, and
    /// the workers answer, so only the lease that it cannot renew ends its orders.
    void coordinatorWithoutTheStoreStopsSendingOrders()
    {
        auto &only = m_fleet.addProcess("only");
        CPPUNIT_ASSERT(m_fleet.waitForLeader());
        m_fleet.loop.run(500ms);
        m_fleet.world.behaviourOf = [](const task_name &) {
            return virtual_world::behaviour {0ms, false};
        };
        submit(only, jobPath, simpleJob(2));
        m_fleet.loop.run(500ms);
        only.platform->storeCut = true;
        m_fleet.loop.run(3s);
        const int calls = only.platform->workerCalls;
        m_fleet.loop.run(2s);
        CPPUNIT_ASSERT_EQUAL(calls, only.platform->workerCalls);
        only.platform->storeCut = false;
        m_fleet.loop.run(1s);
        CPPUNIT_ASSERT(only.platform->workerCalls > calls || m_fleet.leader() != nullptr);
    }

    /// Guards against a hand-over to a process with little processor time: the leadership went to
    /// the process heard of last, which had an eighth of a core and took 3 s to read the records of
    /// 400 jobs and 350 workers; the process after it took 5 s.
    void handoverPrefersTheProcessWithMostProcessorShare()
    {
        m_fleet.shares = {{"one", 0.5}, {"strong", 0.5}, {"weak", 0.12}};
        auto &one = m_fleet.addProcess("one");
        CPPUNIT_ASSERT(m_fleet.waitForLeader());
        auto &strong = m_fleet.addProcess("strong");
        auto &weak = m_fleet.addProcess("weak");
        m_fleet.loop.run(2500ms);
        m_fleet.ask(strong, caller_operation::count_waiting, "/pool-a/");
        m_fleet.ask(weak, caller_operation::count_waiting, "/pool-a/");
        CPPUNIT_ASSERT_EQUAL(std::string("one"), m_fleet.leader()->name);
        one.platform->storeCut = true;
        CPPUNIT_ASSERT(m_fleet.loop.runUntil(
            [&] {
                const auto *const leader = m_fleet.leader();
                return leader != nullptr && leader != &one;
            },
            3s));
        CPPUNIT_ASSERT_EQUAL(std::string("strong"), m_fleet.leader()->name);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);
