#pragma once

#include "standins/virtual_platform.h"
#include "standins/virtual_processor.h"

#include <ibishinge/base/metrics.h>
#include <ibishinge/fleet/node.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ibishinge::fleet {

using standin::charged_platform;
using standin::virtual_loop;
using standin::virtual_platform;
using standin::virtual_processor;
using standin::virtual_world;

/// Several processes of the system on a virtual platform in virtual time, connected by a link
/// without a network.
class fleet_world
{
public:
    struct process
    {
        std::string name;
        std::unique_ptr<virtual_processor> processor; ///< without costs, unless a test sets them
        std::unique_ptr<virtual_platform> platform;
        std::unique_ptr<charged_platform> chargedPlatform;
        std::unique_ptr<peer_link> peers;
        std::unique_ptr<metrics_registry> metrics = std::make_unique<metrics_registry>();
        std::unique_ptr<fleet_node> node;
    };

    /// Creates two pools with `workers` workers of 8 cores each, and an empty spare pool.
    explicit fleet_world(int workers = 2)
        : world(loop)
    {
        for (const std::string pool : {"pool-a", "pool-b", "spare"}) {
            world.config.pools[pool] = {pool, true, pool == "spare"};
        }
        for (const std::string pool : {"pool-a", "pool-b"}) {
            queue_config queue;
            queue.name = "queue-" + pool;
            queue.host = "jobs.example";
            queue.prefix = "/" + pool + "/";
            queue.pool = pool;
            queue.maxAttempts = 2;
            queue.objectiveFactor = 1.6;
            queue.objectiveSlack = milliseconds(600);
            world.config.queues.push_back(queue);
            for (int i = 0; i < workers; ++i) {
                world.addWorker(pool + "-" + std::to_string(i), pool, 8000);
            }
        }
        world.config.version = 1;
        world.config.customers["north"] = {"north", {"key-north"}, 10, {}};
        world.config.customerOfKey["key-north"] = "north";
        world.putItem("configuration", "", 0);
    }

    process &addProcess(const std::string &name)
    {
        auto &each = processes[name];
        each.name = name;
        each.processor = std::make_unique<virtual_processor>(loop);
        each.platform = std::make_unique<virtual_platform>(world);
        each.chargedPlatform = std::make_unique<charged_platform>(*each.platform, *each.processor);
        each.peers = std::make_unique<direct_link>(*this, each);
        startNode(each);
        return each;
    }

    /// Ends a process abruptly, without releasing its lease. If `restart` is true, starts it again
    /// at the same address.
    void kill(const std::string &name, bool restart)
    {
        auto &each = processes.at(name);
        each.node.reset();
        if (restart) {
            startNode(each);
        }
    }

    /// Returns the process that serves as coordinator, or null.
    process *leader()
    {
        for (auto &[name, each] : processes) {
            caller_request probe;
            probe.operation = caller_operation::count_waiting;
            probe.host = "jobs.example";
            probe.path = "/pool-a/";
            probe.key = "key-north";
            std::optional<caller_answer> answer;
            if (each.node) {
                each.node->handleForwarded(probe,
                                           [&](const caller_answer &value) { answer = value; });
            }
            if (answer && answer->kind == answer_kind::counted) {
                return &each;
            }
        }
        return nullptr;
    }

    bool waitForLeader(milliseconds limit = milliseconds(6000))
    {
        return loop.runUntil([this] { return leader() != nullptr; }, limit);
    }

    /// Sends a request through the process `through` and waits up to 4 s for the answer.
    caller_answer ask(process &through, caller_operation operation, const std::string &path,
                      const std::optional<job_spec> &spec = std::nullopt)
    {
        caller_request request;
        request.operation = operation;
        request.host = "jobs.example";
        request.path = path;
        request.key = "key-north";
        request.spec = spec;
        request.callerTimeout = milliseconds(3000);
        const auto answer = std::make_shared<std::optional<caller_answer>>();
        send(through, request, [answer](const caller_answer &value) { *answer = value; });
        loop.runUntil([&] { return answer->has_value(); }, milliseconds(4000));
        return answer->value_or(caller_answer {});
    }

    /// Sends a request through the process `through`, which handles it once its processor is free.
    static void send(process &through, const caller_request &request, const answer_handler &done)
    {
        through.processor->execute([&through, request, done] {
            if (through.node) {
                through.node->handle(request, done);
            }
        });
    }

    job_state stateOf(process &through, const std::string &path)
    {
        const auto answer = ask(through, caller_operation::show, path);
        return answer.state;
    }

    bool waitForState(process &through, const std::string &path, job_state wanted,
                      milliseconds limit)
    {
        return loop.runUntil(
            [&] {
                const auto answer = ask(through, caller_operation::show, path);
                return answer.kind == answer_kind::job_found && answer.state == wanted;
            },
            limit);
    }

    virtual_loop loop;
    virtual_world world;
    std::map<std::string, process> processes;
    coordinator_settings coordination; ///< of processes that are started from now on
    int exchanges = 0; ///< messages that relays have received
    std::set<std::string> frozen; ///< names of processes that answer no forwarded request
    /// Names of processes whose answers to forwarded requests are lost, which the senders notice.
    std::set<std::string> losesAnswers;
    /// Names of processes for which too many new submissions wait to be forwarded.
    std::set<std::string> fullQueues;
    /// Answers to forwarded submissions by process name, instead of those of the process.
    std::map<std::string, caller_answer> submissionAnswers;
    /// Time by process name for which forwarded requests wait before the process handles them.
    std::map<std::string, milliseconds> backlogOf;
    std::vector<caller_request> forwarded; ///< requests that processes received from others
    /// Processor share by process name, in cores; 1 if not set.
    std::map<std::string, double> shares;
    /// Time by which other processes' answers reach a process late, by its name.
    std::map<std::string, milliseconds> peerAnswerDelay;

private:
    class direct_link final : public peer_link
    {
    public:
        direct_link(fleet_world &fleet, process &owner)
            : m_fleet(fleet)
            , m_owner(owner)
        {
        }

        void forward(const std::string &address, const std::string &request, forward_kind kind,
                     milliseconds timeout, reply<std::string> whenDone) override
        {
            const auto done = once(address, timeout, whenDone);
            if (kind == forward_kind::submission && m_fleet.fullQueues.count(nameAt(address)) > 0) {
                m_fleet.loop.after(milliseconds(0), [done, address] {
                    done(makeError(error_kind::overloaded, address, "queue full"));
                });
                return;
            }
            if (m_fleet.frozen.count(nameAt(address)) > 0) {
                return;
            }
            const auto delay = networkDelay + m_fleet.backlogOf[nameAt(address)];
            m_fleet.loop.after(delay, [this, address, request, done] {
                m_fleet.runAt(address, done, [this, address, request, done](fleet_node &node) {
                    const auto call = decodeRequest(request);
                    m_fleet.forwarded.push_back(*call);
                    const auto fixed = m_fleet.submissionAnswers.find(nameAt(address));
                    if (fixed != m_fleet.submissionAnswers.end()
                        && call->operation == caller_operation::submit) {
                        const auto text = encodeAnswer(fixed->second);
                        m_fleet.loop.after(answerDelay(), [done, text] { done(text); });
                        return;
                    }
                    const bool lost = m_fleet.losesAnswers.count(nameAt(address)) > 0;
                    node.handleForwarded(*call, [this, done, lost](const caller_answer &answer) {
                        if (lost) {
                            done(makeError(error_kind::outcome_unknown, "", "connection reset"));
                            return;
                        }
                        const auto text = encodeAnswer(answer);
                        m_fleet.loop.after(answerDelay(), [done, text] { done(text); });
                    });
                });
            });
        }

        void offerLeadership(const std::string &address, std::int64_t revision,
                             reply<bool> whenDone) override
        {
            const auto done = charged(whenDone);
            m_fleet.loop.after(networkDelay, [this, address, revision, done] {
                m_fleet.runAt(address, done, [this, revision, done](fleet_node &node) {
                    node.acceptLeadership(revision, [this, done](bool accepted) {
                        m_fleet.loop.after(answerDelay() - networkDelay,
                                           [done, accepted] { done(accepted); });
                    });
                });
            });
        }

        void probeSuccessor(const std::string &address, std::int64_t revision, milliseconds timeout,
                            reply<bool> whenDone) override
        {
            const auto done = once(address, timeout, whenDone);
            m_fleet.loop.after(networkDelay, [this, address, revision, done] {
                m_fleet.runAt(address, done, [this, revision, done](fleet_node &node) {
                    node.answerSuccessorProbe(revision, [this, done](bool able) {
                        m_fleet.loop.after(answerDelay(), [done, able] { done(able); });
                    });
                });
            });
        }

        void exchangeWorkerCalls(const std::string &address, const std::string &calls,
                                 milliseconds timeout, reply<std::string> whenDone) override
        {
            const auto done = once(address, timeout, whenDone);
            m_fleet.loop.after(networkDelay, [this, address, calls, done] {
                m_fleet.runAt(address, done, [this, calls, done](fleet_node &node) {
                    ++m_fleet.exchanges;
                    node.handleWorkerCalls(
                        calls, m_fleet.loop.now(), [this, done](const std::string &text) {
                            m_fleet.loop.after(answerDelay(), [done, text] { done(text); });
                        });
                });
            });
        }

    private:
        static constexpr milliseconds networkDelay {2};

        /// Returns the time until an answer that is sent now has reached this process.
        [[nodiscard]] milliseconds answerDelay() const
        {
            const auto late = m_fleet.peerAnswerDelay.find(m_owner.name);
            const auto extra =
                late == m_fleet.peerAnswerDelay.end() ? milliseconds(0) : late->second;
            const auto arrival = m_owner.platform->receive(milliseconds(0));
            return std::max(networkDelay, since(m_fleet.loop.now(), arrival)) + extra;
        }

        /// Returns a reply that costs this process processor time.
        template <class T>
        reply<T> charged(const reply<T> &done)
        {
            return [&processor = *m_owner.processor, done](const result<T> &value) {
                processor.execute([done, value] { done(value); });
            };
        }

        /// Returns a reply that passes on the first answer only, and an error after `timeout`.
        template <class T>
        reply<T> once(const std::string &address, milliseconds timeout, const reply<T> &done)
        {
            const auto answered = std::make_shared<bool>(false);
            reply<T> first = [answered, done = charged(done)](const result<T> &answer) {
                if (!std::exchange(*answered, true)) {
                    done(answer);
                }
            };
            m_fleet.loop.after(timeout, [first, address] {
                first(makeError(error_kind::outcome_unknown, address, "no answer"));
            });
            return first;
        }

        fleet_world &m_fleet;
        process &m_owner;
    };

    static std::string nameAt(const std::string &address)
    {
        return address.substr(0, address.find(':'));
    }

    /// Runs `function` in the process at `address` once its processor is free; if no process
    /// listens there, answers that the connection was refused.
    template <class T>
    void runAt(const std::string &address, const reply<T> &done,
               const std::function<void(fleet_node &)> &function)
    {
        const auto refuse = [done] {
            error failure;
            failure.kind = error_kind::unavailable;
            failure.systemError = ECONNREFUSED;
            done(tl::unexpected(failure));
        };
        const auto found = processes.find(nameAt(address));
        if (found == processes.end() || !found->second.node) {
            refuse();
            return;
        }
        found->second.processor->execute([&node = found->second.node, function, refuse] {
            if (node) {
                function(*node);
            } else {
                refuse();
            }
        });
    }

    void startNode(process &each)
    {
        node_settings settings;
        settings.name = each.name;
        settings.incarnation = each.name + "-" + std::to_string(++m_runs);
        settings.peerAddress = each.name + ":7000";
        settings.processorShare = shares.count(each.name) > 0 ? shares.at(each.name) : 1;
        settings.seed = static_cast<std::uint64_t>(m_runs);
        settings.coordination = coordination;
        each.node = std::make_unique<fleet_node>(*each.chargedPlatform, *each.peers,
                                                 *each.processor, *each.metrics, settings);
        each.node->start();
    }

    int m_runs = 0;
};

/// Returns true if the answer promises that the submission's job never runs.
inline bool isRejection(answer_kind kind)
{
    return kind == answer_kind::not_ready || kind == answer_kind::overloaded
           || kind == answer_kind::invalid;
}

/// Returns a job with one step of `tasks` tasks.
inline job_spec simpleJob(int tasks, std::int64_t cpuMillis = 1000)
{
    job_spec spec;
    spec.payload = "payload";
    step_spec step;
    step.count = tasks;
    step.need = {cpuMillis, 100, 0};
    step.estimate = milliseconds(500);
    spec.steps.push_back(step);
    return spec;
}

} // namespace ibishinge::fleet
