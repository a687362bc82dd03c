#pragma once

#include <ibishinge/base/holder_id.h>
#include <ibishinge/base/listed_host.h>
#include <ibishinge/base/time.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibishinge {

/// Time for which the host of a holder must be missing from the host list before the holder counts
/// as dead, if this process never saw the host in the list. Covers the lag with which the list
/// shows a new host.
inline constexpr std::chrono::minutes unlistedHostGracePeriod {10};

/// What is known of the hosts of holders. Not thread-safe.
struct host_list_history
{
    std::set<std::string> listed; ///< hosts seen in any version of the list
    std::set<std::string> present; ///< hosts of the last version
    std::map<std::string, monotonic_time> missingSince; ///< hosts of holders never seen listed
};

/// Takes over a version of the host list.
void recordHostList(host_list_history &history, const host_list_snapshot &list);

/// Returns those of `holders` that are certainly dead.
///
/// A holder is dead if `self` listens at its address, since only one process can, or if its host
/// has left the host list. An expired store lease proves nothing: the holder may be frozen.
[[nodiscard]] std::vector<std::string> findDeadHolders(host_list_history &history,
                                                       const std::vector<std::string> &holders,
                                                       const holder_id &self, monotonic_time now);

} // namespace ibishinge
