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

/// Random number generator of the decision code. The caller seeds it.
using random_engine = std::mt19937_64;

using target_id = std::uint64_t;
using attempt_number = std::uint64_t;

/// Whether a target receives requests.
enum class target_state : std::uint8_t {
    active,
    leaving, ///< receives no new requests
    ejected, ///< receives only probes
};

/// Reason for the ejection of a target.
enum class ejection_cause : std::uint8_t {
    none,
    refused, ///< the target refused a connection
    outlier, ///< the target fails far more often than the other targets of its service
    /// The target announced that it was leaving, but the host list still shows it as live.
    announced_leaving,
};

/// Counts of attempts at one target, which decay exponentially with time and with each attempt.
struct failure_statistics
{
    double attempts = 0;
    double failures = 0;
    /// Decays faster; added to the requests in flight when a target is chosen.
    double recentFailures = 0;
};

/// One front process of a service, as known to this process.
struct target
{
    target_id id = 0;
    std::string service;
    endpoint where;
    std::string hostId;
    std::string dataCentre;
    int slots = 8; ///< requests that run at the same time, over all processes
    int connections = 64; ///< requests that run or wait at the target

    int inFlight = 0; ///< requests of this process, including timed-out ones that may still run
    double othersLoad = 0; ///< requests of other processes in progress, as of `reportedAt`
    monotonic_time reportedAt;
    milliseconds reportAge {0}; ///< as of the last `updateTargetHealth`

    target_state state = target_state::active;
    bool listed = true; ///< false: not in the host list; removed once it has no requests in flight
    bool listedLeaving = false; ///< the last host list shows it as leaving or not at all
    /// Announced by the target or a peer; the host list may show it later.
    bool reportedLeaving = false;
    monotonic_time leavingSince;

    failure_statistics statistics;
    ejection_cause cause = ejection_cause::none;
    monotonic_time lastResortUntil; ///< until then used only if no other target has a free slot
    monotonic_time probeAt; ///< time of the next probe
    milliseconds probeBackOff {0}; ///< delay before the next probe; doubles with each failure
    monotonic_time activeSince;
    bool probing = false; ///< a probe is in flight
    int probesPassed = 0; ///< successful probes in sequence
};

/// An attempt that has a reserved slot.
struct open_attempt
{
    target_id target = 0;
    bool probe = false;
    bool timedOut = false;
    monotonic_time runsUntil; ///< the target has ended the run by then at the latest
};

/// Parameters of the choice and the ejection of targets.
struct routing_options
{
    /// Largest number of random targets of a data centre that are compared. Services have 8 to 12
    /// targets; comparing all of them has less than half the slot overruns of comparing two
    /// (docs/routing.md compares 2, 3 and 10).
    int candidates = 16;
    /// Smallest difference in load, in requests, for which a target in another data centre is
    /// chosen. It is half of the usual slots of a target; for less, the longer way is not
    /// worthwhile.
    double minRemoteAdvantage = 4;
    /// Weight of the requests of other processes when two targets are compared. Load reports are
    /// about one run time old; with full weight they raise the p99 delay if arrivals are evenly
    /// spaced (docs/routing.md).
    double othersWeight = 0.25;
    /// Half-life of a load report. It is long enough that a target without a newer report does not
    /// appear idle.
    milliseconds loadHalfLife {1000};
    /// Half-life of the failure statistics, which limits the effect of old outcomes at low request
    /// rates.
    milliseconds statisticsHalfLife {30000};
    /// Number of attempts over which the failure statistics are averaged, which limits the effect
    /// of old outcomes at high request rates: a target that begins to fail is an outlier after
    /// about 9 failures, however long it has worked before.
    double statisticsWindow = 20;
    milliseconds recentFailuresHalfLife {1000};
    /// Smallest number of failures of an outlier; fewer may be chance.
    double minOutlierFailures = 3;
    /// Smallest number of attempts at an outlier, and at the other targets of the service.
    double minOutlierAttempts = 4;
    /// Smallest difference between the failure rates of an outlier and of the other targets.
    double minOutlierRateDifference = 0.3;
    /// Smallest excess of the failures of an outlier, in standard deviations.
    double minOutlierDeviations = 3;
    int maxEjectedPercent = 30; ///< largest percentage of ejected targets of a service
    milliseconds initialProbeDelay {1000}; ///< delay before the first probe
    milliseconds maxProbeDelay {30000}; ///< bound of the delay between probes
    /// Successful probes that end the ejection of an outlier; one is enough for other causes.
    int probesToReactivate = 3;
    /// A target that announced that it was leaving is probed after this time if the host list has
    /// shown it as live throughout. Longer than the lag of the host list.
    milliseconds leavingRecheckDelay {60000};
};

/// The targets of all services as one process sees them. Not thread-safe.
struct target_table
{
    routing_options options;
    std::map<target_id, target> targets;
    std::map<std::string, std::vector<target_id>, std::less<>> services;
    std::map<attempt_number, open_attempt> attempts;
    std::uint64_t listVersion = 0; ///< version of the last host list
    bool hasHostList = false; ///< a host list was received
    target_id nextTarget = 1;
    attempt_number nextAttempt = 1;
};

/// Updates the targets from a version of the host list. Returns false, without a change, if the
/// version is lower than that of an earlier call.
bool updateTargets(target_table &table, const host_list_snapshot &list, monotonic_time now);

/// Marks the targets at `where` as leaving, for example after a report of a peer.
void markLeaving(target_table &table, const endpoint &where, monotonic_time now);

/// Properties of a request that determine its target.
struct target_request
{
    std::string_view service;
    std::string_view ownDataCentre;
    milliseconds maxRun {60000}; ///< longest run time of the service
    /// A request that is not idempotent cannot be retried, so it is used as the probe of an outlier
    /// only if that probe is long overdue.
    bool idempotent = false;
    std::optional<target_id> exclude; ///< target of the previous attempt, which is not chosen
};

/// A slot reserved at a target. Each reservation must be ended with `completeAttempt`.
struct target_reservation
{
    attempt_number attempt = 0;
    target_id target = 0;
    endpoint where;
    bool probe = false;
};

/// Chooses a target and reserves one of its slots.
///
/// Errors: `unknown_entity` if the service has no targets; `overloaded` if no active target has a
/// free slot for this process; `not_ready` if all targets are leaving or ejected.
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

/// Outcome of an attempt. All but `complete` count as failures of the target.
enum class attempt_outcome : std::uint8_t {
    complete, ///< complete response
    error_response, ///< complete response whose status is 500 or above
    rejected, ///< the target reported that it did not run the request
    unavailable, ///< the connection was refused, so nothing was sent
    failed, ///< the connection was lost, or the response was malformed
    timeout, ///< no complete response in time; the target may still run the request
};

/// Outcome of an attempt with the state that the target reported in its response.
struct attempt_report
{
    attempt_outcome outcome = attempt_outcome::complete;
    std::optional<int> load; ///< requests in progress at the target, without this one
    bool leaving = false; ///< the target announced that it is leaving
};

/// Records the outcome of an attempt and frees its slot.
///
/// After `timeout` the slot stays in use until the longest run time of the request has passed, or
/// until a second call for the same attempt reports the late response. Returns false if the attempt
/// is unknown or its slot was freed already.
bool completeAttempt(target_table &table, attempt_number attempt, const attempt_report &report,
                     monotonic_time now);

/// Frees the slots of timed-out attempts whose longest run time has passed, decays the failure
/// statistics by `sinceLast`, ejects outliers, and removes unlisted targets without requests in
/// flight. Should be called about ten times a second.
void updateTargetHealth(target_table &table, monotonic_time now, milliseconds sinceLast);

/// Returns the estimated load of a target, in requests: own requests in flight, requests of other
/// processes by the last report with decay, and recent failures. Data centres are compared by it.
[[nodiscard]] double estimatedLoad(const target_table &table, const target &t, monotonic_time now);

} // namespace ibishinge
