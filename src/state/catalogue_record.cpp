#include <ibishinge/state/catalogue_record.h>

#include <algorithm>
#include <map>
#include <optional>

namespace ibishinge {

namespace {

using nlohmann::json;
using problem_list = std::vector<document_problem>;

// Bounds of the document. They catch slips such as a wrong unit; the largest deployment planned
// (2,500 workers, 42 pools, 69 teams) stays far below them.
constexpr std::size_t maxOwnerLength = 128;
constexpr double maxShareWeight = 1000;
constexpr std::int64_t maxRunning = 1000000;
constexpr std::int64_t maxHosts = 100000;
/// Requests: the longest deadline. A record of the request ledger outlives it.
constexpr std::int64_t maxRequestRunMs = 600000;
/// Jobs: 30 days.
constexpr std::int64_t maxJobRunMs = 2592000000;
/// One year.
constexpr std::int64_t maxMaintenanceHours = 8760;
constexpr std::int64_t maxWaveOrder = 1000000;
constexpr std::int64_t maxWaveConcurrency = 1000;

std::string at(const std::string &list, std::size_t index)
{
    return "/" + list + "/" + std::to_string(index);
}

template <class Entry>
void readCommon(object_reader &reader, Entry &entry)
{
    entry.name = reader.name("name");
    entry.owner = reader.text("owner", maxOwnerLength);
    entry.workClass =
        reader.choice("class", {"normal", "urgent"}) == 1 ? work_class::urgent : work_class::normal;
}

/// Reads an array of distinct, valid names.
std::vector<std::string> readNames(object_reader &reader, const std::string &field,
                                   const json &value)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < value.size(); ++i) {
        const std::string pointer = reader.pointerTo(field) + "/" + std::to_string(i);
        if (!value[i].is_string()) {
            reader.report(pointer, value[i].dump(), "a name");
            names.emplace_back(); // Keeps the indices of the following names.
            continue;
        }
        const auto &name = value[i].get_ref<const std::string &>();
        if (std::find(names.begin(), names.end(), name) != names.end()) {
            reader.report(pointer, "\"" + name + "\" twice", "each name once");
        }
        names.push_back(name);
    }
    return names;
}

access_rule readAccess(object_reader &reader)
{
    constexpr auto allowed = "\"all\" or a non-empty array of teams";
    access_rule access;
    const json *value = reader.required("open_to", allowed);
    if (value == nullptr) {
        return access;
    }
    access.openToAll = *value == "all";
    if (!access.openToAll && (!value->is_array() || value->empty())) {
        reader.report(reader.pointerTo("open_to"), value->dump(), allowed);
    } else if (!access.openToAll) {
        access.teams = readNames(reader, "open_to", *value);
    }
    return access;
}

availability_budget readBudget(const json &value, const std::string &pointer,
                               problem_list &problems)
{
    object_reader reader(value, pointer, problems);
    availability_budget budget;
    const bool hasMin = reader.optional("min_available") != nullptr;
    const bool hasMax = reader.optional("max_unavailable") != nullptr;
    if (hasMin) {
        budget.minAvailable = reader.integer("min_available", 0, maxHosts);
    }
    if (hasMax) {
        budget.maxUnavailable = reader.integer("max_unavailable", 0, maxHosts);
    }
    if (value.is_object() && hasMin == hasMax) {
        reader.report(pointer, hasMin ? "both bounds" : "no bound",
                      "exactly one of min_available and max_unavailable");
    }
    reader.finish();
    return budget;
}

std::vector<domain_budget> readDomainBudgets(object_reader &reader, problem_list &problems)
{
    std::vector<domain_budget> budgets;
    const json *value = reader.optional("domain_budgets");
    if (value == nullptr) {
        return budgets;
    }
    const std::string pointer = reader.pointerTo("domain_budgets");
    object_reader domains(*value, pointer, problems);
    for (const auto level : {domain_level::rack, domain_level::data_centre, domain_level::region}) {
        const std::string name(nameOf(level));
        if (const json *budget = domains.optional(name)) {
            budgets.push_back({level, readBudget(*budget, domains.pointerTo(name), problems)});
        }
    }
    domains.finish();
    return budgets;
}

team_entry readTeam(object_reader &reader, problem_list &)
{
    team_entry entry;
    readCommon(reader, entry);
    entry.shareWeight = reader.number("share_weight", 0, maxShareWeight);
    entry.upperLimit = reader.integer("upper_limit", 0, maxRunning);
    return entry;
}

service_entry readService(object_reader &reader, problem_list &)
{
    service_entry entry;
    readCommon(reader, entry);
    entry.access = readAccess(reader);
    entry.maxRun = std::chrono::milliseconds(reader.integer("max_run_ms", 1, maxRequestRunMs));
    entry.minIdleSlots = reader.integer("min_idle_slots", 0, maxRunning);
    entry.maxIdleSlots = reader.integer("max_idle_slots", 0, maxRunning);
    if (entry.minIdleSlots > entry.maxIdleSlots) {
        reader.report(reader.pointerTo("min_idle_slots"), std::to_string(entry.minIdleSlots),
                      "at most max_idle_slots, which is " + std::to_string(entry.maxIdleSlots));
    }
    entry.maxWaiting = reader.integer("max_waiting", 0, maxRunning);
    entry.latencyObjective =
        std::chrono::milliseconds(reader.integer("latency_objective_ms", 1, maxRequestRunMs));
    entry.availabilityObjective = reader.number("availability_objective", 0, 1, true);
    return entry;
}

queue_entry readQueue(object_reader &reader, problem_list &)
{
    queue_entry entry;
    readCommon(reader, entry);
    entry.access = readAccess(reader);
    entry.pool = reader.name("pool");
    entry.maxWaiting = reader.integer("max_waiting", 0, maxRunning);
    entry.maxRunning = reader.integer("max_running", 0, maxRunning);
    entry.maxRun = std::chrono::milliseconds(reader.integer("max_run_ms", 1, maxJobRunMs));
    return entry;
}

pool_entry readPool(object_reader &reader, problem_list &problems)
{
    pool_entry entry;
    readCommon(reader, entry);
    entry.maxHosts = reader.integer("max_hosts", 1, maxHosts);
    if (const json *budget = reader.required("budget", "an object")) {
        entry.budget = readBudget(*budget, reader.pointerTo("budget"), problems);
    }
    if (entry.budget.minAvailable.value_or(0) > entry.maxHosts) {
        reader.report(reader.pointerTo("budget") + "/min_available",
                      std::to_string(*entry.budget.minAvailable),
                      "at most max_hosts, which is " + std::to_string(entry.maxHosts));
    }
    entry.domainBudgets = readDomainBudgets(reader, problems);
    entry.spare = reader.flag("spare", false);
    entry.maintenanceInterval =
        std::chrono::hours(reader.integer("maintenance_interval_hours", 1, maxMaintenanceHours));
    return entry;
}

wave_entry readWave(object_reader &reader, problem_list &)
{
    wave_entry entry;
    readCommon(reader, entry);
    entry.order = reader.integer("order", 0, maxWaveOrder);
    entry.concurrency = reader.integer("concurrency", 1, maxWaveConcurrency);
    const json &pools = reader.array("pools");
    entry.pools = readNames(reader, "pools", pools);
    return entry;
}

template <class Entry>
std::vector<Entry> readList(object_reader &document, const std::string &list,
                            Entry (*read)(object_reader &, problem_list &), problem_list &problems)
{
    std::vector<Entry> entries;
    std::map<std::string, std::size_t> first;
    const json &values = document.array(list);
    for (std::size_t i = 0; i < values.size(); ++i) {
        object_reader reader(values[i], at(list, i), problems);
        Entry entry = read(reader, problems);
        reader.finish();
        const auto [known, isNew] = first.emplace(entry.name, i);
        if (!isNew && !entry.name.empty()) {
            reader.report(reader.pointerTo("name"),
                          "\"" + entry.name + "\", the name of " + at(list, known->second),
                          "a name that is not yet used");
        }
        // Entries with problems are kept too, so that positions match the document.
        entries.push_back(std::move(entry));
    }
    return entries;
}

template <class Entry>
void checkAccess(const catalogue &read, const std::string &list, const std::vector<Entry> &entries,
                 problem_list &problems)
{
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const auto &teams = entries[i].access.teams;
        for (std::size_t j = 0; j < teams.size(); ++j) {
            if (!teams[j].empty() && findTeam(read, teams[j]) == nullptr) {
                problems.push_back({at(list, i) + "/open_to/" + std::to_string(j),
                                    "\"" + teams[j] + "\"", "the name of a team"});
            }
        }
    }
}

void checkReferences(const catalogue &read, problem_list &problems)
{
    checkAccess(read, "services", read.services, problems);
    checkAccess(read, "queues", read.queues, problems);
    for (std::size_t i = 0; i < read.queues.size(); ++i) {
        const auto &name = read.queues[i].pool;
        const pool_entry *pool = findPool(read, name);
        if (!name.empty() && (pool == nullptr || pool->spare)) {
            problems.push_back({at("queues", i) + "/pool",
                                "\"" + name + "\"" + (pool != nullptr ? ", a spare pool" : ""),
                                "the name of a pool that is not spare"});
        }
    }
    std::map<std::string, std::string> waveOfPool;
    for (std::size_t i = 0; i < read.waves.size(); ++i) {
        const auto &pools = read.waves[i].pools;
        for (std::size_t j = 0; j < pools.size(); ++j) {
            const std::string pointer = at("waves", i) + "/pools/" + std::to_string(j);
            if (!pools[j].empty() && findPool(read, pools[j]) == nullptr) {
                problems.push_back({pointer, "\"" + pools[j] + "\"", "the name of a pool"});
            }
            const auto [known, isNew] = waveOfPool.emplace(pools[j], at("waves", i));
            if (!isNew && !pools[j].empty() && known->second != at("waves", i)) {
                problems.push_back({pointer, "\"" + pools[j] + "\", listed in " + known->second,
                                    "a pool of no other wave"});
            }
        }
    }
}

template <class Entry>
json commonJson(const Entry &entry)
{
    return {{"name", entry.name}, {"owner", entry.owner}, {"class", nameOf(entry.workClass)}};
}

json accessJson(const access_rule &access)
{
    return access.openToAll ? json("all") : json(access.teams);
}

json budgetJson(const availability_budget &budget)
{
    json value = json::object();
    if (budget.minAvailable) {
        value["min_available"] = *budget.minAvailable;
    }
    if (budget.maxUnavailable) {
        value["max_unavailable"] = *budget.maxUnavailable;
    }
    return value;
}

json entryJson(const team_entry &entry)
{
    json value = commonJson(entry);
    value["share_weight"] = entry.shareWeight;
    value["upper_limit"] = entry.upperLimit;
    return value;
}

json entryJson(const service_entry &entry)
{
    json value = commonJson(entry);
    value["open_to"] = accessJson(entry.access);
    value["max_run_ms"] = entry.maxRun.count();
    value["min_idle_slots"] = entry.minIdleSlots;
    value["max_idle_slots"] = entry.maxIdleSlots;
    value["max_waiting"] = entry.maxWaiting;
    value["latency_objective_ms"] = entry.latencyObjective.count();
    value["availability_objective"] = entry.availabilityObjective;
    return value;
}

json entryJson(const queue_entry &entry)
{
    json value = commonJson(entry);
    value["open_to"] = accessJson(entry.access);
    value["pool"] = entry.pool;
    value["max_waiting"] = entry.maxWaiting;
    value["max_running"] = entry.maxRunning;
    value["max_run_ms"] = entry.maxRun.count();
    return value;
}

json entryJson(const pool_entry &entry)
{
    json value = commonJson(entry);
    value["max_hosts"] = entry.maxHosts;
    value["budget"] = budgetJson(entry.budget);
    for (const auto &domain : entry.domainBudgets) {
        value["domain_budgets"][std::string(nameOf(domain.level))] = budgetJson(domain.budget);
    }
    value["spare"] = entry.spare;
    value["maintenance_interval_hours"] = entry.maintenanceInterval.count();
    return value;
}

json entryJson(const wave_entry &entry)
{
    json value = commonJson(entry);
    value["order"] = entry.order;
    value["concurrency"] = entry.concurrency;
    value["pools"] = entry.pools;
    return value;
}

template <class Entry>
json listJson(const std::vector<Entry> &entries)
{
    json list = json::array();
    for (const auto &entry : entries) {
        list.push_back(entryJson(entry));
    }
    return list;
}

} // namespace

document_result<catalogue> parseCatalogue(const json &document)
{
    problem_list problems;
    object_reader reader(document, "", problems);
    static_cast<void>(reader.integer("schema", catalogueSchema, catalogueSchema));
    catalogue read;
    read.teams = readList<team_entry>(reader, "teams", readTeam, problems);
    read.services = readList<service_entry>(reader, "services", readService, problems);
    read.queues = readList<queue_entry>(reader, "queues", readQueue, problems);
    read.pools = readList<pool_entry>(reader, "pools", readPool, problems);
    read.waves = readList<wave_entry>(reader, "waves", readWave, problems);
    reader.finish();
    checkReferences(read, problems);
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return read;
}

json toJson(const catalogue &value)
{
    return {{"schema", catalogueSchema},
            {"teams", listJson(value.teams)},
            {"services", listJson(value.services)},
            {"queues", listJson(value.queues)},
            {"pools", listJson(value.pools)},
            {"waves", listJson(value.waves)}};
}

json toJson(const std::vector<catalogue_difference> &found)
{
    json list = json::array();
    for (const auto &difference : found) {
        json item {{"change", nameOf(difference.kind)}, {"place", difference.place}};
        if (!difference.before.empty()) {
            item["before"] = difference.before;
        }
        if (!difference.after.empty()) {
            item["after"] = difference.after;
        }
        list.push_back(std::move(item));
    }
    return list;
}

std::string historyKey(std::int64_t version)
{
    constexpr std::size_t digits = 12;
    const std::string number = std::to_string(version);
    return std::string(historyPrefix) + std::string(digits - std::min(digits, number.size()), '0')
           + number;
}

std::string encodeCatalogueRecord(const catalogue_record &record)
{
    return json {{"version", record.version},
                 {"change_id", record.changeId},
                 {"changed_at_ms", record.changedAt.count()},
                 {"catalogue", toJson(record.value)}}
        .dump();
}

document_result<catalogue_record> decodeCatalogueRecord(std::string_view text)
{
    auto parsed = parseDocument(text);
    if (!parsed) {
        return tl::unexpected(std::move(parsed.error()));
    }
    problem_list problems;
    object_reader reader(*parsed, "", problems);
    catalogue_record record;
    record.version = reader.integer("version", 1, INT64_MAX);
    record.changeId = reader.name("change_id");
    record.changedAt = std::chrono::milliseconds(reader.integer("changed_at_ms", 0, INT64_MAX));
    if (const json *document = reader.required("catalogue", "an object")) {
        auto value = parseCatalogue(*document);
        if (value) {
            record.value = std::move(*value);
        } else {
            for (auto &problem : value.error()) {
                problem.pointer.insert(0, "/catalogue");
                problems.push_back(std::move(problem));
            }
        }
    }
    reader.finish();
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return record;
}

} // namespace ibishinge
