#pragma once

namespace ibishinge {

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in those it starts later, so that
/// `waitForShutdownSignal` receives them. Call at the start of `main`, before any thread.
void blockShutdownSignals();

/// Waits for SIGTERM or SIGINT and returns the signal's number. A SIGHUP is logged meanwhile: it
/// changes nothing, as the settings are flags.
int waitForShutdownSignal();

} // namespace ibishinge
