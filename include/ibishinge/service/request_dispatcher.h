#pragma once

#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/time.h>
#include <ibishinge/base/work_class.h>
#include <ibishinge/decision/admission.h>
#include <ibishinge/decision/catalogue.h>
#include <ibishinge/decision/retry_budget.h>
#include <ibishinge/decision/routing.h>
#include <ibishinge/state/allowance_manager.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace ibishinge {

struct request_dispatcher_options
{
    std::string dataCentre; ///< of this process
    std::uint64_t seed = 1; ///< of the choices among targets
    admission_settings admission;
    routing_options routing;
};

/// What a request needs to be started.
struct dispatch_request
{
    std::string team;
    std::string service;
    work_class workClass = work_class::normal;
    bool idempotent = false;
    milliseconds maxRun {0}; ///< the service's longest run
    monotonic_time deadline;
};

/// A started request: a unit of its team's allowance and a slot at a target.
struct dispatch_slot
{
    std::uint64_t id = 0;
    dispatch_request request;
    target_reservation target;
};

/// Admission, team allowances and routing of one process, behind one mutex. Thread-safe.
///
/// Each slot that `acquire` returns must be given to `complete` once.
class request_dispatcher
{
public:
    /// Precondition: the references outlive the object.
    [[nodiscard]] static std::unique_ptr<request_dispatcher>
    create(request_dispatcher_options options, allowance_manager &allowances,
           const clock_source &clock);

    /// Blocks until the request is started or refused; at most until its deadline and one tick.
    /// Errors: those of `submit`, and `not_ready` or `overloaded` if no target can be used.
    [[nodiscard]] result<dispatch_slot> acquire(const dispatch_request &request);

    /// Gives back the target of `slot`, which did not run the request, and reserves another one.
    /// Errors: those of `selectTarget`, and `overloaded` if the retry budget is used up; the slot
    /// then holds no target and still has to be completed.
    [[nodiscard]] result<void> moveToOtherTarget(dispatch_slot &slot, const attempt_report &report);

    /// Ends a started request. After `timeout` and `failed` the team's unit stays in use until the
    /// longest run has passed, since the target may still be working.
    void complete(const dispatch_slot &slot, const attempt_report &report);

    /// Refuses what can no longer meet its deadline, frees what timed out and refreshes the health
    /// of targets. Call every 20 ms.
    void tick();

    /// Takes over teams, weights and limits from the catalogue at `revision`.
    void applyCatalogue(const catalogue &in, std::int64_t revision);

    /// Returns true if requests of some team wait for a larger grant that its limit allows.
    [[nodiscard]] bool waitsForAllowance() const;

    /// Takes over the host list.
    void updateHosts(const host_list_snapshot &hosts);

    void markTargetLeaving(const endpoint &where);
    [[nodiscard]] std::vector<std::string> leavingTargets() const;

    /// From here on `acquire` refuses everything, also what waits already.
    void beginShutdown();

    /// Returns the number of requests that wait or run, without those that timed out.
    [[nodiscard]] std::size_t inProgress() const;

    /// Returns true if a catalogue is in effect and the host list has shown a target.
    [[nodiscard]] bool isReady() const;

private:
    struct waiter;
    struct lingering_run
    {
        std::uint64_t id = 0;
        std::string team;
        monotonic_time until;
    };

    request_dispatcher(request_dispatcher_options options, allowance_manager &allowances,
                       const clock_source &clock);

    void startWaiting(const std::string &service, monotonic_time now);
    void deliver(std::uint64_t id, result<dispatch_slot> outcome);
    void endRun(std::uint64_t id, const std::string &team, run_sample sample, monotonic_time now);
    void refreshAllowances(monotonic_time now);
    void endLingeringRuns(monotonic_time now);
    [[nodiscard]] int freeSlots(const std::string &service, monotonic_time now) const;
    [[nodiscard]] result<target_reservation> reserveTarget(const dispatch_request &request,
                                                           std::optional<target_id> exclude,
                                                           monotonic_time now);

    const request_dispatcher_options m_options;
    allowance_manager &m_allowances;
    const clock_source &m_clock;
    mutable std::mutex m_mutex;
    admission_table m_admission;
    target_table m_targets;
    retry_budget m_retries;
    random_engine m_random;
    std::map<std::uint64_t, waiter *> m_waiters;
    std::vector<lingering_run> m_lingering;
    std::int64_t m_catalogueRevision = 0;
    std::uint64_t m_nextId = 1;
    std::size_t m_started = 0; ///< started and not completed
    monotonic_time m_lastHealthUpdate;
};

} // namespace ibishinge
