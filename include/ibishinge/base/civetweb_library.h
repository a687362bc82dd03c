#pragma once

namespace ibishinge {

/// Initializes CivetWeb once for the process. Thread-safe; later calls do nothing.
void initializeCivetweb();

} // namespace ibishinge
