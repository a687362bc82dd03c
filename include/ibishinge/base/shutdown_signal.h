#pragma once

namespace ibishinge {

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in those it starts later, so that
/// `waitForShutdownSignal` receives them. Call first in `main`: a thread that exists already, such
/// as that of the log's writer, would take a signal that comes before or after the wait, and the
/// process would end at once.
void blockShutdownSignals();

/// Waits for SIGTERM or SIGINT and returns the signal's number. A SIGHUP is logged meanwhile: it
/// changes nothing, as the settings are flags.
int waitForShutdownSignal();

} // namespace ibishinge
