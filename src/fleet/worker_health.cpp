#include <ibishinge/fleet/worker_health.h>

#include <ibishinge/base/logging.h>

#include <algorithm>

namespace ibishinge::fleet {

namespace {

/// Factor applied to the counts at each end of a run, so that they reflect about the last ten runs.
constexpr double countDecay = 0.9;

/// A worker is quarantined, so that it gets no new tasks for a while, after about three failures,
/// if they outweigh its successes by a factor of two.
constexpr double quarantineScore = 2.5;
constexpr double failuresPerSuccess = 2;
constexpr milliseconds quarantineTime {4000};

/// Largest share of a pool's workers that may be quarantined at the same time: many faulty jobs at
/// once make every worker look faulty.
constexpr double maxQuarantinedShare = 0.3;

/// Weights of the newest run in the means of a queue and of a worker.
constexpr double queueWeight = 0.05;
constexpr double workerWeight = 0.15;
constexpr double maxRunTimeRatio = 8;

} // namespace

void recordRunSuccess(worker_status &worker)
{
    worker.successScore = worker.successScore * countDecay + 1;
    worker.failureScore *= countDecay;
}

void recordRunFailure(fleet_tables &tables, worker_status &worker, instant now)
{
    worker.failureScore = worker.failureScore * countDecay + 1;
    worker.successScore *= countDecay;
    if (worker.failureScore < quarantineScore
        || worker.failureScore < failuresPerSuccess * worker.successScore) {
        return;
    }
    int inPool = 0;
    int quarantined = 0;
    for (const auto &[id, other] : tables.workers) {
        if (other.entry.pool == worker.entry.pool && other.registered) {
            ++inPool;
            quarantined += other.quarantinedUntil > now ? 1 : 0;
        }
    }
    if (quarantined + 1 > std::max(1.0, maxQuarantinedShare * inPool)) {
        return;
    }
    worker.quarantinedUntil = std::max(worker.quarantinedUntil, now + quarantineTime);
    // One more failure after the quarantine is enough for the next one.
    worker.failureScore = quarantineScore - 1;
    logEvent(log_level::warning, "worker_set_aside",
             {{"worker", worker.entry.id},
              {"blame", worker.failureScore},
              {"credit", worker.successScore}});
}

void learnRunTime(fleet_tables &tables, worker_status &worker, const std::string &queue,
                  const step_spec &step, milliseconds duration, bool fromStart)
{
    if (!fromStart) {
        return;
    }
    const auto taken = static_cast<double>(duration.count());
    auto &learned = tables.statistics[queue];
    const double weight = std::max(queueWeight, 1.0 / (learned.samples + 1));
    if (learned.samples > 0 && learned.meanRunMs > 0) {
        const double ratio = std::min(taken / learned.meanRunMs, maxRunTimeRatio);
        worker.runTimeRatio += workerWeight * (ratio - worker.runTimeRatio);
    }
    learned.meanRunMs += weight * (taken - learned.meanRunMs);
    if (step.estimate.count() > 0) {
        const double ratio = taken / static_cast<double>(step.estimate.count());
        learned.meanRatio += weight * (ratio - learned.meanRatio);
    }
    ++learned.samples;
}

void updateMixedWorkloads(const fleet_tables &tables, worker_status &worker)
{
    bool serving = false;
    bool filling = false;
    for (const auto &key : worker.runs) {
        const auto &run = tables.runs.at(key);
        serving = serving || run.serving;
        filling = filling || run.bestEffort;
    }
    worker.hasMixedWorkloads = serving && filling;
}

} // namespace ibishinge::fleet
