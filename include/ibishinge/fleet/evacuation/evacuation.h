#pragma once

#include <ibishinge/base/boot_clock.h>
#include <ibishinge/base/error.h>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge::fleet {

struct fleet_tables;

/// Evacuations that the operators request: nothing may start in an evacuated data centre.
struct evacuation_state
{
    /// Time after its acknowledgement within which a request has to take effect; 0: there are no
    /// evacuations, and nothing is read.
    std::chrono::milliseconds bound {0};
    std::set<std::string> dataCentres; ///< as last read
    std::optional<instant> readAt; ///< when the last complete read was sent; nothing: never
};

/// Time for which a start may be on its way: until a relay reads it (0.3 s), until the worker
/// answers (0.45 s), and until the exchange with the relay times out (0.8 s).
inline constexpr std::chrono::milliseconds startDeliveryTime {1600};

/// Returns true if the evacuations are known well enough for starts: a request that the last read
/// has missed must take effect before a start that is sent now can reach its worker. Thread-safe
/// for a constant state.
[[nodiscard]] bool permitsStarts(const evacuation_state &state, instant now) noexcept;

/// Returns true if the data centre is evacuated. Thread-safe for a constant state.
[[nodiscard]] bool isEvacuated(const evacuation_state &state, const std::string &dataCentre);

/// Returns the name of a data centre from an evacuation entry of the operators.
/// Errors: `invalid_request` if it is empty, longer than a key of the store, or has characters
/// other than letters, digits, `-`, `_` and `.`. Thread-safe.
[[nodiscard]] result<std::string> parseEvacuatedDataCentre(std::string_view name);

/// Evacuations that began and ended with a read.
struct evacuation_change
{
    std::vector<std::string> begun;
    std::vector<std::string> ended;
};

/// Sets the evacuated data centres and marks their workers. `readAt` is when the read was sent. Not
/// thread-safe.
evacuation_change applyEvacuations(fleet_tables &tables, const std::set<std::string> &dataCentres,
                                   instant readAt);

} // namespace ibishinge::fleet
