#include <ibishinge/decision/catalogue.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

namespace ibishinge {

namespace {

using field_map = std::map<std::string, std::string>;
using entry_map = std::map<std::string, field_map>;

template <class Entry>
const Entry *findEntry(const std::vector<Entry> &entries, std::string_view name) noexcept
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&](const Entry &entry) { return entry.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

std::string toText(double value)
{
    std::array<char, 32> buffer {};
    // The shortest text that converts back to the same number, so that no change is missed.
    const auto written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), written.ptr};
}

std::string toText(std::vector<std::string> names)
{
    std::sort(names.begin(), names.end());
    std::string text;
    for (const auto &name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text;
}

std::string toText(const access_rule &access)
{
    return access.openToAll ? "all" : toText(access.teams);
}

std::string toText(const availability_budget &budget)
{
    return budget.minAvailable
               ? "min_available " + std::to_string(*budget.minAvailable)
               : "max_unavailable " + std::to_string(budget.maxUnavailable.value_or(0));
}

template <class Entry>
field_map commonFields(const Entry &entry)
{
    return {{"owner", entry.owner}, {"class", std::string(nameOf(entry.workClass))}};
}

field_map fieldsOf(const team_entry &entry)
{
    auto fields = commonFields(entry);
    fields["share_weight"] = toText(entry.shareWeight);
    fields["upper_limit"] = std::to_string(entry.upperLimit);
    return fields;
}

field_map fieldsOf(const service_entry &entry)
{
    auto fields = commonFields(entry);
    fields["open_to"] = toText(entry.access);
    fields["max_run_ms"] = std::to_string(entry.maxRun.count());
    fields["min_idle_slots"] = std::to_string(entry.minIdleSlots);
    fields["max_idle_slots"] = std::to_string(entry.maxIdleSlots);
    fields["max_waiting"] = std::to_string(entry.maxWaiting);
    fields["latency_objective_ms"] = std::to_string(entry.latencyObjective.count());
    fields["availability_objective"] = toText(entry.availabilityObjective);
    return fields;
}

field_map fieldsOf(const queue_entry &entry)
{
    auto fields = commonFields(entry);
    fields["open_to"] = toText(entry.access);
    fields["pool"] = entry.pool;
    fields["max_waiting"] = std::to_string(entry.maxWaiting);
    fields["max_running"] = std::to_string(entry.maxRunning);
    fields["max_run_ms"] = std::to_string(entry.maxRun.count());
    return fields;
}

field_map fieldsOf(const pool_entry &entry)
{
    auto fields = commonFields(entry);
    fields["max_hosts"] = std::to_string(entry.maxHosts);
    fields["budget"] = toText(entry.budget);
    for (const auto &domain : entry.domainBudgets) {
        fields["domain_budgets/" + std::string(nameOf(domain.level))] = toText(domain.budget);
    }
    fields["spare"] = entry.spare ? "true" : "false";
    fields["maintenance_interval_hours"] = std::to_string(entry.maintenanceInterval.count());
    return fields;
}

field_map fieldsOf(const wave_entry &entry)
{
    auto fields = commonFields(entry);
    fields["order"] = std::to_string(entry.order);
    fields["concurrency"] = std::to_string(entry.concurrency);
    fields["pools"] = toText(entry.pools);
    return fields;
}

template <class Entry>
void addEntries(entry_map &into, const std::string &list, const std::vector<Entry> &entries)
{
    for (const auto &entry : entries) {
        into["/" + list + "/" + entry.name] = fieldsOf(entry);
    }
}

entry_map allEntries(const catalogue &document)
{
    entry_map entries;
    addEntries(entries, "teams", document.teams);
    addEntries(entries, "services", document.services);
    addEntries(entries, "queues", document.queues);
    addEntries(entries, "pools", document.pools);
    addEntries(entries, "waves", document.waves);
    return entries;
}

void compareFields(std::vector<catalogue_difference> &found, const std::string &place,
                   const field_map &before, const field_map &after)
{
    field_map names = before;
    names.insert(after.begin(), after.end());
    for (const auto &[name, ignored] : names) {
        const auto old = before.find(name);
        const auto now = after.find(name);
        std::string path = place;
        path.append("/").append(name);
        if (old == before.end()) {
            found.push_back({change_kind::added, path, "", now->second});
        } else if (now == after.end()) {
            found.push_back({change_kind::removed, path, old->second, ""});
        } else if (old->second != now->second) {
            found.push_back({change_kind::changed, path, old->second, now->second});
        }
    }
}

} // namespace

bool access_rule::lists(std::string_view team) const noexcept
{
    return std::find(teams.begin(), teams.end(), team) != teams.end();
}

std::string_view nameOf(domain_level level) noexcept
{
    constexpr std::array<std::string_view, 3> names {"rack", "data_centre", "region"};
    return names[static_cast<std::size_t>(level)];
}

std::string_view nameOf(change_kind kind) noexcept
{
    constexpr std::array<std::string_view, 3> names {"added", "removed", "changed"};
    return names[static_cast<std::size_t>(kind)];
}

const team_entry *findTeam(const catalogue &document, std::string_view name) noexcept
{
    return findEntry(document.teams, name);
}

const service_entry *findService(const catalogue &document, std::string_view name) noexcept
{
    return findEntry(document.services, name);
}

const queue_entry *findQueue(const catalogue &document, std::string_view name) noexcept
{
    return findEntry(document.queues, name);
}

const pool_entry *findPool(const catalogue &document, std::string_view name) noexcept
{
    return findEntry(document.pools, name);
}

std::vector<catalogue_difference> differences(const catalogue &before, const catalogue &after)
{
    const entry_map old = allEntries(before);
    const entry_map now = allEntries(after);
    std::vector<catalogue_difference> found;
    for (const auto &[place, fields] : old) {
        const auto match = now.find(place);
        if (match == now.end()) {
            found.push_back({change_kind::removed, place, "", ""});
        } else {
            compareFields(found, place, fields, match->second);
        }
    }
    for (const auto &[place, fields] : now) {
        if (!old.contains(place)) {
            found.push_back({change_kind::added, place, "", ""});
        }
    }
    std::sort(found.begin(), found.end(),
              [](const auto &a, const auto &b) { return a.place < b.place; });
    return found;
}

} // namespace ibishinge
