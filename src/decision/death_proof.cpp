#include <ibishinge/decision/death_proof.h>

namespace ibishinge {

namespace {

bool hasLeftHostList(host_list_history &sightings, const std::string &host, monotonic_time now)
{
    if (sightings.present.empty() || sightings.present.contains(host)) {
        sightings.missingSince.erase(host); // An empty list is taken for one not yet read.
        return false;
    }
    if (sightings.listed.contains(host)) {
        return true;
    }
    const auto [since, added] = sightings.missingSince.emplace(host, now);
    return !added && now - since->second >= unlistedHostGrace;
}

} // namespace

void recordHostList(host_list_history &sightings, const host_list_snapshot &list)
{
    sightings.present.clear();
    for (const auto &host : list.hosts) {
        sightings.present.insert(host.id);
        sightings.listed.insert(host.id);
    }
}

std::vector<std::string> findDeadHolders(host_list_history &sightings,
                                         const std::vector<std::string> &holders,
                                         const holder_id &self, monotonic_time now)
{
    std::vector<std::string> dead;
    for (const auto &text : holders) {
        const auto holder = parseHolderId(text);
        if (!holder || *holder == self) {
            continue;
        }
        if (holder->address == self.address || hasLeftHostList(sightings, holder->host, now)) {
            dead.push_back(text);
        }
    }
    return dead;
}

} // namespace ibishinge
