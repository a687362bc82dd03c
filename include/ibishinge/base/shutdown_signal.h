#pragma once

namespace ibishinge {

/// Blocks SIGTERM and SIGINT in this thread and in those it starts later, so that
/// `waitForShutdownSignal` receives them. Call at the start of `main`, before any thread.
void blockShutdownSignals();

/// Waits for SIGTERM or SIGINT and returns the signal's number.
int waitForShutdownSignal();

} // namespace ibishinge
