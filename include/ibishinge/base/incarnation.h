#pragma once

#include <string>

namespace ibishinge {

/// Returns an id that differs for each run of a process: 16 hexadecimal digits from the system's
/// source of randomness. Thread-safe.
[[nodiscard]] std::string makeIncarnation();

} // namespace ibishinge
