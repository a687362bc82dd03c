#include <ibishinge/fleet/evacuation/evacuation.h>

#include <ibishinge/fleet/tables.h>

#include <algorithm>
#include <iterator>

namespace ibishinge::fleet {

namespace {

constexpr std::size_t maxNameLength = 200; ///< the longest key of the store

} // namespace

bool permitsStarts(const evacuation_state &state, instant now) noexcept
{
    if (state.bound.count() == 0) {
        return true;
    }
    return state.readAt && now < *state.readAt + state.bound - startDeliveryTime;
}

bool isEvacuated(const evacuation_state &state, const std::string &dataCentre)
{
    return state.dataCentres.count(dataCentre) > 0;
}

result<std::string> parseEvacuatedDataCentre(std::string_view name)
{
    constexpr std::string_view characters =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    if (name.empty()) {
        return makeError(error_kind::invalid_request, "evacuation", "no data centre named");
    }
    if (name.size() > maxNameLength
        || name.find_first_not_of(characters) != std::string_view::npos) {
        return makeError(error_kind::invalid_request, "evacuation",
                         "not the name of a data centre: "
                             + std::string(name.substr(0, maxNameLength)));
    }
    return std::string(name);
}

evacuation_change applyEvacuations(fleet_tables &tables, const std::set<std::string> &dataCentres,
                                   instant readAt)
{
    auto &state = tables.evacuation;
    evacuation_change change;
    std::set_difference(dataCentres.begin(), dataCentres.end(), state.dataCentres.begin(),
                        state.dataCentres.end(), std::back_inserter(change.begun));
    std::set_difference(state.dataCentres.begin(), state.dataCentres.end(), dataCentres.begin(),
                        dataCentres.end(), std::back_inserter(change.ended));
    state.dataCentres = dataCentres;
    state.readAt = readAt;
    if (!change.begun.empty() || !change.ended.empty()) {
        for (auto &[id, worker] : tables.workers) {
            worker.evacuated = isEvacuated(state, worker.entry.dataCentre);
        }
    }
    return change;
}

} // namespace ibishinge::fleet
