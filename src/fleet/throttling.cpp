#include <ibishinge/fleet/throttling.h>

#include <algorithm>

namespace ibishinge::fleet {

namespace {

/// Ratio of tail latency to target above which best-effort runs are slowed down, and the one below
/// which they are sped up. The gap between them prevents oscillation.
constexpr double slowDownAbove = 0.92;
constexpr double speedUpBelow = 0.7;
constexpr int speedStep = 20; ///< percent
constexpr int smallestSpeed = 15; ///< percent; a lower speed is set to 0

} // namespace

std::vector<throttle_change> decideThrottling(const fleet_tables &tables,
                                              const worker_status &worker)
{
    double worst = 0;
    for (const auto &key : worker.runs) {
        const auto &run = tables.runs.at(key);
        if (run.serving && run.percent == 100) {
            worst = std::max(worst, run.usage / static_cast<double>(run.tailTarget.count()));
        }
    }
    std::vector<throttle_change> changes;
    for (const auto &key : worker.runs) {
        const auto &run = tables.runs.at(key);
        if (!run.bestEffort || run.phase != run_phase::running) {
            continue;
        }
        int speedPercent = run.speedPercent;
        if (worst > slowDownAbove) {
            const int slower = speedPercent == unknownSpeed ? 50 : speedPercent / 2;
            speedPercent = slower < smallestSpeed || worst > 1 ? 0 : slower;
        } else if (worst < speedUpBelow || speedPercent == unknownSpeed) {
            speedPercent = std::min(100, std::max(speedPercent, 0) + speedStep);
        }
        // An earlier order that had no answer may be carried out after the one that stopped the
        // run.
        const bool worksAlthoughStopped =
            speedPercent == 0 && worst > slowDownAbove && run.usage > 0;
        if (speedPercent != run.speedPercent || worksAlthoughStopped) {
            changes.push_back({key, speedPercent, worst});
        }
    }
    return changes;
}

} // namespace ibishinge::fleet
