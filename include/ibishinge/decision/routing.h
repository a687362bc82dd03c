#pragma once

#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/error.h>
#include <ibishinge/base/listed_host.h>
#include <ibishinge/base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge {

/// Source of the random choices of decision code; seeded by the caller.
using random_engine = std::mt19937_64;

using target_id = std::uint64_t;
using attempt_number = std::uint64_t;

enum class target_state : std::uint8_t {
    active,
    leaving, ///< receives nothing new
    ejected, ///< receives only probes
};

enum class ejection_cause : std::uint8_t {
    none,
    refused, ///< refused a connection
    outlier, ///< fails far more often than the rest of its service
    announced_leaving, ///< said that it was leaving, but the host list keeps showing it as live
};

/// Outcomes of attempts at one target, with exponential decay by time and by attempts.
struct failure_statistics
{
    double attempts = 0;
    double failures = 0;
    double recentFailures = 0; ///< decays faster; counts like requests in flight when choosing
};

/// One front process of a service.
struct target
{
    target_id id = 0;
    std::string service;
    endpoint where;
    std::string hostId;
    std::string dataCentre;
    int slots = 8;
    int connections = 64;

    int inFlight = 0; ///< of this process, including timed-out ones that may still be running
    double othersLoad = 0; ///< in progress from other processes, as of `reportedAt`
    monotonic_time reportedAt;
    milliseconds reportAge {0}; ///< as of the last tick

    target_state state = target_state::active;
    bool listed = true; ///< false: gone from the host list, removed when nothing is in flight
    bool listedLeaving = false;
    bool reportedLeaving = false; ///< said so itself, which the host list may show later
    monotonic_time leavingSince;

    failure_statistics statistics;
    ejection_cause cause = ejection_cause::none;
    monotonic_time lastResortUntil; ///< used only if no other target has a free slot
    monotonic_time probeAt;
    milliseconds probeBackOff {0};
    monotonic_time activeSince;
    bool probing = false; ///< a probe is in flight
    int probesPassed = 0;
};

/// A reserved slot.
struct open_attempt
{
    target_id target = 0;
    bool probe = false;
    bool timedOut = false;
    monotonic_time runsUntil; ///< the target has certainly ended the run by then
};

struct routing_options
{
    /// Number of random candidates of a data centre. Services have 8 to 12 targets: comparing all
    /// of them has less than half the slot overruns of comparing two
    /// (docs/routing.md).(docs/routing.md compares 2, 3 and 10).
    int candidates = 16;
    /// Half of a target's slots: below this a remote target is not worth the longer way.
    double minRemoteAdvantage = 4;
    /// Weight of what other processes have in flight when two targets are compared. Reports are
    /// about one run time old; at full weight they raise the p99 delay when arrivals are even
    /// (docs/routing.md).
    double othersWeight = 0.25;
    /// A report is forgotten slowly, so that a target does not look empty for want of a newer one.
    milliseconds loadHalfLife {1000};
    /// Bounds the memory of outcomes at a low rate of requests.
    milliseconds statisticsHalfLife {30000};
    /// Bounds it at a high rate: a target that begins to fail is an outlier after about 9 failures,
    /// however long it has worked before.
    double statisticsWindow = 20;
    milliseconds recentFailuresHalfLife {1000};
    /// Fewer failures than this may be chance.
    double minOutlierFailures = 3;
    double minOutlierAttempts = 4;
    /// Smallest difference between a target's failure rate and that of the rest.
    double minOutlierRateDifference = 0.3;
    /// Smallest distance from the rest, in standard deviations.
    double minOutlierDeviations = 3;
    int maxEjectedPercent = 30; ///< of a service's targets, at most
    milliseconds initialProbeDelay {1000};
    milliseconds maxProbeDelay {30000};
    int probesToReactivate = 3; ///< for an outlier; one is enough for a refused connection
    /// A target that said that it was leaving is probed after this time, if the host list has shown
    /// it as live all along. Longer than the lag of the host list.
    milliseconds leavingRecheckDelay {60000};
};

/// The targets of all services as one process sees them. Not thread-safe.
struct target_table
{
    routing_options options;
    std::map<target_id, target> targets;
    std::map<std::string, std::vector<target_id>, std::less<>> services;
    std::map<attempt_number, open_attempt> attempts;
    std::uint64_t listVersion = 0;
    bool hasHostList = false;
    target_id nextTarget = 1;
    attempt_number nextAttempt = 1;
};

/// Takes over a version of the host list. Returns false, without a change, if the version is lower
/// than one seen before.
bool updateTargets(target_table &table, const host_list_snapshot &list, monotonic_time now);

/// Takes over that the target at `where` is leaving, for example from a peer.
void markLeaving(target_table &table, const endpoint &where, monotonic_time now);

/// What a request asks of its target.
struct target_request
{
    std::string_view service;
    std::string_view ownDataCentre;
    milliseconds maxRun {60000}; ///< the service's longest run
    /// Requests that cannot be retried probe an outlier only if its probe is long overdue.
    bool idempotent = false;
    std::optional<target_id> exclude; ///< target of the attempt before this one
};

/// A slot reserved at a target. Each one must be given to `completeAttempt`.
struct target_reservation
{
    attempt_number attempt = 0;
    target_id target = 0;
    endpoint where;
    bool probe = false;
};

/// Chooses a target and reserves one of its slots.
///
/// Errors: `unknown_entity` if the service has no target in the host list; `overloaded` if all
/// slots of this process are in use; `not_ready` if all targets are leaving or ejected.
///
/// \code
/// auto slot = selectTarget(table, {"search", "dc1", maxRun, idempotent, {}}, now, engine);
/// if (slot) {
///     ... // send to slot->where
///     completeAttempt(table, slot->attempt, {.outcome = attempt_outcome::complete}, now);
/// }
/// \endcode
[[nodiscard]] result<target_reservation> selectTarget(target_table &table,
                                                      const target_request &request,
                                                      monotonic_time now, random_engine &engine);

enum class attempt_outcome : std::uint8_t {
    complete, ///< complete response
    error_response, ///< complete response whose status is 500 or above
    rejected, ///< the target states that it did not run the request
    unavailable, ///< the connection was refused, nothing was sent
    failed, ///< connection cut or malformed response
    timeout, ///< no complete response in time; the target may still be running the request
};

struct attempt_report
{
    attempt_outcome outcome = attempt_outcome::complete;
    std::optional<int> load; ///< requests in progress at the target, without this one
    bool leaving = false;
};

/// Records the outcome of an attempt and frees its slot.
///
/// After `timeout` the slot stays in use until the request's longest run has passed, or until a
/// second call for the same attempt reports the late response. Returns false if the attempt is not
/// open.
bool completeAttempt(target_table &table, attempt_number attempt, const attempt_report &report,
                     monotonic_time now);

/// Frees the slots of timed-out attempts whose longest run has passed, ages reports and statistics,
/// ejects outliers, and removes targets that are gone. Call about ten times a second.
void updateTargetHealth(target_table &table, monotonic_time now, milliseconds sinceLast);

/// Returns how full a target is: own requests in flight, those of other processes by the last
/// report, and recent failures. Data centres are compared by it.
[[nodiscard]] double estimatedLoad(const target_table &table, const target &t, monotonic_time now);

} // namespace ibishinge
