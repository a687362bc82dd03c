#include <ibishinge/fleet/coordinator.h>

#include <ibishinge/base/logging.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace ibishinge::fleet {

namespace {

/// Interval of the reads, as a share of the bound, and its maximum: two reads may fail before
/// starts have to wait.
constexpr int readsWithinBound = 5;
constexpr milliseconds longestReadInterval {1000};

} // namespace

void coordinator::followEvacuations()
{
    const auto bound = m_tables.evacuation.bound;
    if (bound.count() == 0) {
        return;
    }
    m_evacuationReader = evacuation_reader::make(
        m_platform, m_timers, m_metrics, std::min(bound / readsWithinBound, longestReadInterval),
        [this](const std::set<std::string> &dataCentres, instant readAt) {
            onEvacuationsRead(dataCentres, readAt);
        });
    m_evacuationReader->start();
}

void coordinator::onEvacuationsRead(const std::set<std::string> &dataCentres, instant readAt)
{
    const bool held = !permitsStarts(m_tables.evacuation, m_timers.now());
    const auto change = applyEvacuations(m_tables, dataCentres, readAt);
    const auto log = [this](std::string_view event, const std::string &dataCentre) {
        int workers = 0;
        std::size_t runs = 0;
        for (const auto &[id, worker] : m_tables.workers) {
            if (worker.entry.dataCentre == dataCentre) {
                ++workers;
                runs += worker.runs.size();
            }
        }
        logEvent(log_level::info, event,
                 {{"data_centre", dataCentre}, {"workers", workers}, {"runs", runs}});
    };
    for (const auto &dataCentre : change.begun) {
        log("evacuation_begun", dataCentre);
    }
    for (const auto &dataCentre : change.ended) {
        log("evacuation_ended", dataCentre);
    }
    m_metrics.set("ibishinge_evacuated_data_centres", {}, static_cast<double>(dataCentres.size()));
    abandonEvacuatedStarts();
    if (held || !change.begun.empty() || !change.ended.empty()) {
        requestSchedulingPass();
    }
}

void coordinator::abandonEvacuatedStarts()
{
    std::vector<run_key> unsent;
    for (const auto &[key, run] : m_tables.runs) {
        if (isUnsent(run) && !run.callPending && m_tables.workers.at(run.worker).evacuated) {
            unsent.push_back(key);
        }
    }
    for (const auto &key : unsent) {
        if (m_tables.runs.count(key) > 0) { // not removed with another member of its gang
            abandonStart(key, true);
        }
    }
}

void coordinator::checkEvacuationAge()
{
    const auto &state = m_tables.evacuation;
    const bool held = !permitsStarts(state, m_timers.now());
    if (held == std::exchange(m_startsHeldBack, held)) {
        return;
    }
    logEvent(held ? log_level::warning : log_level::info,
             held ? "starts_held_back" : "starts_resumed",
             {{"read_age_ms", state.readAt ? since(*state.readAt, m_timers.now()).count() : -1},
              {"bound_ms", state.bound.count()}});
}

} // namespace ibishinge::fleet
