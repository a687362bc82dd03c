#pragma once

#include <ibishinge/base/time.h>

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ibishinge {

/// The part of a team's limit that is reserved for one holder.
struct holder_grant
{
    int grant = 0; ///< the holder never has more running than this
    int use = 0; ///< running when the holder last wrote
    int demand = 0; ///< of the holder when it last wrote, see `updateDemand`
    std::optional<wall_time>
        reclaimableAt; ///< set after proof of death: the grant is free from here on

    bool operator==(const holder_grant &) const = default;
};

/// Value of `allowance/<team>`. Each holder changes only its own grant; a holder that raises its
/// grant keeps the sum of grants at or below the limit.
struct allowance_record
{
    int limit = 0;
    std::int64_t limitVersion = 0; ///< configuration revision that `limit` comes from
    std::map<std::string, holder_grant> holders;

    bool operator==(const allowance_record &) const = default;
};

/// The rules that keep the limit and lose no allowance. Only tests turn one off, to show that it
/// is needed.
struct allowance_safeguards
{
    bool conditionalWrites = true; ///< writes require the revision that was read
    bool lowerWhilePending = true; ///< an uncertain write counts with the lower grant
    bool keepSumRule = true; ///< a grant is raised only within the limit
    bool grantCoversRunning = true; ///< a grant is never lowered below what is running
    bool capByOthers = true; ///< starts respect a lowered limit before grants have been cut
    bool waitForRunTime = true; ///< a dead holder's grant waits for its running work
    bool reclaimDead = true; ///< dead holders' grants are freed in the end
    bool returnIdle = true; ///< surplus grants are given up
};

struct allowance_settings
{
    milliseconds maxRun {600000}; ///< longest `max_run_ms` of all services
    /// Largest difference between the wall clocks of two entry hosts. Added to `maxRun`, since
    /// the process that frees a grant may not be the one that recorded the death.
    milliseconds clockSkew {2000};
    /// Grant above the need, while nobody else needs it. What is left of the limit stays free, so
    /// that a holder whose need rises gets it without waiting for others to give it up.
    int minHeadroom = 2;
    allowance_safeguards safeguards;
};

/// A write whose effect is not yet certain.
struct pending_allowance
{
    allowance_record record;
    std::int64_t expectedRevision = 0;
};

/// One holder's view of one team's allowance.
struct allowance_holder
{
    std::string id;
    allowance_record known; ///< last record certainly read
    std::int64_t knownRevision = 0; ///< 0: no record exists
    std::optional<pending_allowance> pending;
    int limit = 0; ///< from the configuration
    std::int64_t limitVersion = 0; ///< 0: no configuration yet
    int running = 0;
    int queued = 0;
    int demand = 0; ///< set by `updateDemand`
    int startLimit = std::numeric_limits<int>::max(); ///< set by `updateStartLimit`
    bool stopping = false; ///< starts nothing more and gives its grant back
};

/// Returns how many requests the holder may have running at present.
///
/// The result is the lowest of: the recorded grant, the grant of a pending write, what the other
/// holders' grants leave of the newest known limit, and the ceiling. Thread-safe for distinct
/// holders.
[[nodiscard]] int runningCap(const allowance_holder &holder,
                             const allowance_settings &settings) noexcept;

/// Returns the grant that `id` should have: weighted equally, first the needs of all live holders
/// are met as far as the limit allows, then their headroom. `rotation` decides who gets the
/// remainder of a division, so that with fewer units than holders each has its turn.
[[nodiscard]] int fairGrant(const allowance_record &record, const std::string &id,
                            std::int64_t rotation, const allowance_settings &settings);

/// Sets the need to what runs and waits; it falls by at most three tenths with each call, of which
/// there is one a second. With the need of one instant, a process with a short queue at that
/// instant would lose its grant and let its next requests wait for a second.
void updateDemand(allowance_holder &holder) noexcept;

/// Sets the ceiling of what the holder starts: its fair grant while another holder lacks some, no
/// bound otherwise. Without it a holder with a long queue would always have its whole grant running
/// and could never give any of it up.
void updateStartLimit(allowance_holder &holder, wall_time now, const allowance_settings &settings);

/// Returns the sum of the last known use of all holders but `id`; it lags by a second or more.
[[nodiscard]] int othersRunning(const allowance_record &record, std::string_view id) noexcept;

/// Holders that are proved dead, with the time of the proof. See design.md, section 6.
using dead_holders = std::map<std::string, wall_time>;

/// Returns the record that the holder should write next, or none if nothing needs a write.
///
/// While a write is pending the same record is returned again: once it is decided, no other
/// version of it can take effect later. The caller stores the result with `beginWrite`.
[[nodiscard]] std::optional<allowance_record> planWrite(const allowance_holder &holder,
                                                        const dead_holders &deadHolders,
                                                        wall_time now,
                                                        const allowance_settings &settings);

/// Notes that `record` is about to be written; from here on the lower grant counts.
void beginWrite(allowance_holder &holder, allowance_record record);

/// Notes that the pending write was applied at `revision`.
void onWriteApplied(allowance_holder &holder, std::int64_t revision);

/// Notes that `record` was read at `revision` (0: no record exists). Lower revisions than the known
/// one are ignored. A pending write is decided as soon as the revision it expects has passed.
void onRecordRead(allowance_holder &holder, allowance_record record, std::int64_t revision);

} // namespace ibishinge
