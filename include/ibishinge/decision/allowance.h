#pragma once

#include <ibishinge/base/time.h>

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ibishinge {

/// The part of a team's limit that is reserved for one holder, such as an entry process.
struct holder_grant
{
    int grant = 0; ///< largest number of requests that the holder may have running
    int use = 0; ///< requests running when the holder last wrote
    int demand = 0; ///< demand of the holder when it last wrote, see `updateDemand`
    /// Set once the holder is dead or stops: the grant is free from then on.
    std::optional<wall_time> reclaimableAt;

    bool operator==(const holder_grant &) const = default;
};

/// Value of the store key `allowance/<team>`. Each holder changes only its own grant, and raises it
/// only as far as the sum of all grants stays at or below the limit.
struct allowance_record
{
    int limit = 0;
    std::int64_t limitVersion = 0; ///< revision of the configuration that contains `limit`
    std::map<std::string, holder_grant> holders;

    bool operator==(const allowance_record &) const = default;
};

/// Rules that together keep a team within its limit and prevent the permanent loss of allowance.
/// Only tests switch one off, to show that it is needed.
struct allowance_safeguards
{
    bool conditionalWrites = true; ///< a write applies only to the revision that was read
    /// The lower grant applies until the outcome of a write is known.
    bool lowerWhilePending = true;
    bool keepSumRule = true; ///< a grant is raised only while the sum of grants is within the limit
    /// A grant is never lowered below the number of running requests.
    bool grantCoversRunning = true;
    bool capByOthers = true; ///< a lowered limit bounds starts before the grants are lowered
    bool waitForRunTime = true; ///< a dead holder's grant is kept until its requests have ended
    bool reclaimDead = true; ///< grants of dead holders become free
    bool returnIdle = true; ///< a holder lowers a grant that exceeds its demand
};

/// Parameters of the allowance protocol; the same for all holders.
struct allowance_settings
{
    milliseconds maxRun {600000}; ///< longest `max_run_ms` of all services
    /// Largest difference between the wall clocks of two entry hosts. It is added to `maxRun`,
    /// because the process that frees a grant may not be the one that recorded the death.
    milliseconds clockSkew {2000};
    /// Smallest number of units by which a grant exceeds the demand, as far as the demand of the
    /// other holders permits. The rest of the limit stays unassigned, so that a holder whose demand
    /// rises can take it without waiting for other holders to lower their grants.
    int minHeadroom = 2;
    allowance_safeguards safeguards;
};

/// A write of a record whose outcome is not known yet.
struct pending_allowance
{
    allowance_record record;
    std::int64_t expectedRevision = 0;
};

/// State of one holder for one team. Not thread-safe.
struct allowance_holder
{
    std::string id;
    allowance_record known; ///< last record that was read or whose write was confirmed
    std::int64_t knownRevision = 0; ///< 0: no record exists
    std::optional<pending_allowance> pending;
    int limit = 0; ///< from the configuration
    std::int64_t limitVersion = 0; ///< 0: no configuration yet
    int running = 0; ///< requests
    int queued = 0; ///< requests
    int demand = 0; ///< set by `updateDemand`
    int startLimit = std::numeric_limits<int>::max(); ///< set by `updateStartLimit`
    bool stopping = false; ///< starts no more requests and gives up its grant
};

/// Returns the number of requests that the holder may have running at present.
///
/// The result is the lowest of the recorded grant, the grant of a pending write, the newest known
/// limit less the grants of the other holders, and `startLimit`; it is 0 if the holder is stopping
/// or has not read the record. Thread-safe for distinct holders.
[[nodiscard]] int runningCap(const allowance_holder &holder,
                             const allowance_settings &settings) noexcept;

/// Returns the grant that the holder `id` should have.
///
/// All holders have equal weight. The limit is used first for the demands of all live holders, then
/// for their headroom. `rotation` selects the holders that get the remainder of a division, so that
/// each holder gets a unit in turn if there are fewer units than holders. Thread-safe.
[[nodiscard]] int fairGrant(const allowance_record &record, const std::string &id,
                            std::int64_t rotation, const allowance_settings &settings);

/// Sets the demand to the number of running and queued requests. The demand falls by at most three
/// tenths with each call; callers call this once a second. Without this smoothing, a process whose
/// queue is short at one instant would lose its grant, and its next requests would wait for a
/// second.
void updateDemand(allowance_holder &holder) noexcept;

/// Sets `startLimit`, the bound on the requests that the holder has running: its fair grant while
/// the demand of any holder exceeds its grant, and no bound otherwise. Without it, a holder with a
/// long queue would always have its whole grant running and could never lower it.
void updateStartLimit(allowance_holder &holder, wall_time now, const allowance_settings &settings);

/// Returns the sum of the use of all holders but `id` as last written; it lags by a second or more.
/// Thread-safe.
[[nodiscard]] int othersRunning(const allowance_record &record, std::string_view id) noexcept;

/// Ids of holders that are certainly dead, each with the wall time at which this was established.
using dead_holders = std::map<std::string, wall_time>;

/// Returns the record that the holder should write next, or none if no write is needed.
///
/// While a write is pending, its record is returned again. All attempts of the write are then
/// equal, so once its outcome is known, no different record can take effect later. The caller
/// passes the result to `beginWrite` before it sends the write. Thread-safe for distinct holders.
[[nodiscard]] std::optional<allowance_record> planWrite(const allowance_holder &holder,
                                                        const dead_holders &deadHolders,
                                                        wall_time now,
                                                        const allowance_settings &settings);

/// Stores `record` as the pending write, which lowers `runningCap` if it contains a lower grant. No
/// effect if a write is pending already.
void beginWrite(allowance_holder &holder, allowance_record record);

/// Makes the pending record the known one. `revision` is the store revision of the write.
void onWriteApplied(allowance_holder &holder, std::int64_t revision);

/// Makes `record`, read at `revision` (0: no record exists), the known one. A revision lower than
/// the known one is ignored. A pending write that expects another revision can no longer be applied
/// and is discarded.
void onRecordRead(allowance_holder &holder, allowance_record record, std::int64_t revision);

} // namespace ibishinge
