#pragma once

#include <ibishinge/base/holder_id.h>
#include <ibishinge/base/listed_host.h>
#include <ibishinge/base/time.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibishinge {

/// If this process has never seen a holder's host in the host list, the host must be missing from
/// the list for this time before the holder counts as dead. The time covers the delay until the
/// list shows a new host.
inline constexpr std::chrono::minutes unlistedHostGracePeriod {10};

/// Hosts that this process has seen in the host list. Not thread-safe.
struct host_list_history
{
    std::set<std::string> listed; ///< hosts seen in any version of the list
    std::set<std::string> present; ///< hosts in the last version of the list
    /// Hosts of holders that were in no version of the list, with the time of the first check.
    std::map<std::string, monotonic_time> missingSince;
};

/// Records the hosts of a version of the host list.
void recordHostList(host_list_history &history, const host_list_snapshot &list);

/// Returns those of `holders` (holder ids as text) that are certainly dead.
///
/// A holder is dead if `self` listens at its address, because only one process can, or if its host
/// has been removed from the host list. An expired store lease is no proof of death, because the
/// holder may be frozen and continue later. `self` and ids that cannot be parsed are never
/// returned.
[[nodiscard]] std::vector<std::string> findDeadHolders(host_list_history &history,
                                                       const std::vector<std::string> &holders,
                                                       const holder_id &self, monotonic_time now);

} // namespace ibishinge
