#include <ibishinge/decision/death_proof.h>

namespace ibishinge {

namespace {

bool hasLeftHostList(host_list_history &history, const std::string &host, monotonic_time now)
{
    if (history.present.empty() || history.present.contains(host)) {
        // An empty list counts as not read yet.
        history.missingSince.erase(host);
        return false;
    }
    if (history.listed.contains(host)) {
        return true;
    }
    const auto [since, added] = history.missingSince.emplace(host, now);
    return !added && now - since->second >= unlistedHostGracePeriod;
}

} // namespace

void recordHostList(host_list_history &history, const host_list_snapshot &list)
{
    history.present.clear();
    for (const auto &host : list.hosts) {
        history.present.insert(host.id);
        history.listed.insert(host.id);
    }
}

std::vector<std::string> findDeadHolders(host_list_history &history,
                                         const std::vector<std::string> &holders,
                                         const holder_id &self, monotonic_time now)
{
    std::vector<std::string> dead;
    for (const auto &text : holders) {
        const auto holder = parseHolderId(text);
        if (!holder || *holder == self) {
            continue;
        }
        if (holder->address == self.address || hasLeftHostList(history, holder->host, now)) {
            dead.push_back(text);
        }
    }
    return dead;
}

} // namespace ibishinge
