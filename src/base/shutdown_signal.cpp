#include <ibishinge/base/shutdown_signal.h>

#include <ibishinge/base/logging.h>

#include <csignal>

namespace ibishinge {

namespace {

sigset_t shutdownSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

} // namespace

void blockShutdownSignals()
{
    const sigset_t set = shutdownSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    // A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN); // NOLINT
}

int waitForShutdownSignal()
{
    const sigset_t set = shutdownSignals();
    int received = 0;
    sigwait(&set, &received);
    while (received == SIGHUP) {
        logEvent(log_level::info, "reload",
                 {{"changed", false}, {"reason", "settings are flags and change by a restart"}});
        sigwait(&set, &received);
    }
    return received;
}

} // namespace ibishinge
