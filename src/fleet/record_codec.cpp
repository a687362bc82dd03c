#include <ibishinge/fleet/record_codec.h>

#include <ibishinge/base/json.h>
#include <ibishinge/fleet/backlog/occurrence_window.h>

#include <algorithm>
#include <functional>

namespace ibishinge::fleet {

namespace {

using nlohmann::json;

/// Ranges of numbers in records and messages, as in the adapter to the platform.
constexpr integer_range amountRange {0, 1'000'000'000'000};
constexpr integer_range timeRange {0, 1'000'000'000'000'000};
constexpr integer_range countRange {0, 1'000'000'000};

/// Column of the late crashes in a row of crashes; rows without any are shorter.
constexpr std::size_t lateCrashesColumn = 7;

template <class T>
result<T> parseRecord(const std::string &place, const std::string &text,
                      const std::function<T(const json &)> &read)
{
    try {
        return read(parseJson(text));
    } catch (const std::exception &problem) {
        return makeError(error_kind::invalid_request, place, problem.what());
    }
}

/// Adds a field unless it has its default value, to keep records short.
template <class T>
void put(json &object, const char *name, const T &value, const T &defaultValue = {})
{
    if (value != defaultValue) {
        object[name] = value;
    }
}

json encodeStep(const step_spec &step)
{
    json out = {{"count", step.count}, {"cpu", step.need.cpuMillis}};
    put(out, "memory", step.need.memoryMb);
    put(out, "accelerators", step.need.accelerators);
    put<std::int64_t>(out, "estimate", step.estimate.count());
    put(out, "after", step.after);
    put(out, "checkpoints", step.checkpoints);
    put(out, "gang", step.gang);
    put(out, "same_rack", step.sameRack);
    put(out, "label", step.requiredLabel);
    put(out, "data_rack", step.dataRack);
    put(out, "max_per_worker", step.maxPerWorker);
    put(out, "copies", step.speculationAllowed);
    put(out, "lasting", step.longRunning);
    put(out, "image", step.image);
    put<std::int64_t>(out, "tail_target", step.tailTarget.count());
    put(out, "fills", step.bestEffort);
    put(out, "max_unavailable", step.maxUnavailable);
    return out;
}

step_spec decodeStep(const json &in)
{
    step_spec step;
    step.count = static_cast<int>(integerFrom(in.at("count"), countRange));
    step.need = {integerFrom(in.at("cpu"), amountRange), integerFrom(in, "memory", 0, amountRange),
                 integerFrom(in, "accelerators", 0, amountRange)};
    step.estimate = milliseconds(integerFrom(in, "estimate", 0, amountRange));
    step.after = in.value("after", std::vector<int> {});
    step.checkpoints = in.value("checkpoints", false);
    step.gang = in.value("gang", false);
    step.sameRack = in.value("same_rack", false);
    step.requiredLabel = in.value("label", std::string());
    step.dataRack = in.value("data_rack", std::string());
    step.maxPerWorker = in.value("max_per_worker", 0);
    step.speculationAllowed = in.value("copies", false);
    step.longRunning = in.value("lasting", false);
    step.image = in.value("image", std::string());
    step.tailTarget = milliseconds(integerFrom(in, "tail_target", 0, amountRange));
    step.bestEffort = in.value("fills", false);
    step.maxUnavailable = in.value("max_unavailable", 0);
    return step;
}

job_spec specFrom(const json &in)
{
    job_spec spec;
    spec.payload = in.value("payload", std::string());
    for (const auto &step : in.at("steps")) {
        spec.steps.push_back(decodeStep(step));
    }
    spec.repetitions = static_cast<int>(integerFrom(in, "repetitions", 0, countRange));
    spec.firstDueMs = integerFrom(in, "first", 0, timeRange);
    spec.intervalMs = integerFrom(in, "interval", 0, amountRange);
    return spec;
}

/// Returns one character for each task: '1' if it is done, else '0'.
std::string encodeDone(const task_list &tasks)
{
    std::string text(tasks.count, '0');
    for (std::size_t index = 0; index < tasks.done.size(); ++index) {
        text[index] = tasks.done[index] ? '1' : '0';
    }
    return text;
}

/// Returns the first occurrence that has not been opened. Records of earlier versions list the
/// complete occurrences instead, and all others that were due are open.
int nextOccurrenceFrom(const json &in)
{
    int next = static_cast<int>(integerFrom(in, "next", 0, countRange));
    for (const auto &number : in.value("complete", std::vector<int> {})) {
        next = std::max(next, number + 1);
    }
    for (const auto &[name, open] : in.at("open").items()) {
        next = std::max(next, std::stoi(name) + 1);
    }
    return next;
}

/// Returns the task that a row of a progress record is about, or nothing if it is done.
std::optional<std::pair<task_list *, std::size_t>> listedTask(job_entry &job, int occurrence,
                                                              const json &row)
{
    const auto found = job.occurrences.find(occurrence);
    if (found == job.occurrences.end()) {
        return std::nullopt;
    }
    auto &tasks = found->second.steps.at(row.at(0).get<std::size_t>());
    const auto index = row.at(1).get<std::size_t>();
    if (index >= tasks.count || phaseOf(tasks, index) == task_phase::done) {
        return std::nullopt;
    }
    return std::pair(&tasks, index);
}

} // namespace

std::string encodeLeader(const leader_record &record)
{
    return json({{"name", record.name},
                 {"incarnation", record.incarnation},
                 {"address", record.address},
                 {"term", record.term}})
        .dump();
}

result<leader_record> decodeLeader(const std::string &text)
{
    return parseRecord<leader_record>("leader record", text, [](const json &in) {
        return leader_record {
            in.at("name").get<std::string>(), in.at("incarnation").get<std::string>(),
            in.at("address").get<std::string>(), in.at("term").get<std::int64_t>()};
    });
}

json encodeSpec(const job_spec &spec)
{
    json out = {{"payload", spec.payload}, {"steps", json::array()}};
    for (const auto &step : spec.steps) {
        out["steps"].push_back(encodeStep(step));
    }
    put(out, "repetitions", spec.repetitions);
    put(out, "first", spec.firstDueMs);
    put(out, "interval", spec.intervalMs);
    return out;
}

result<job_spec> decodeSpec(const json &document)
{
    try {
        return specFrom(document);
    } catch (const std::exception &problem) {
        return makeError(error_kind::invalid_request, "job", problem.what());
    }
}

std::string encodeJob(const job_entry &job)
{
    json out = encodeSpec(job.spec);
    out["queue"] = job.queue;
    out["pool"] = job.pool;
    out["customer"] = job.customer;
    out["accepted"] = job.acceptedWallMs;
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<job_entry> decodeJob(const std::string &id, const std::string &text)
{
    return parseRecord<job_entry>("job " + id, text, [&id](const json &in) {
        job_entry job;
        job.id = id;
        job.spec = specFrom(in);
        job.queue = in.at("queue").get<std::string>();
        job.pool = in.at("pool").get<std::string>();
        job.customer = in.at("customer").get<std::string>();
        job.acceptedWallMs = in.at("accepted").get<std::int64_t>();
        job.stored = true;
        for (const auto &step : job.spec.steps) {
            job.longRunning = job.longRunning || step.longRunning;
        }
        return job;
    });
}

std::string encodeProgress(const job_entry &job)
{
    json out = json::object();
    if (job.spec.repetitions > 1) {
        out["next"] = job.nextOccurrence;
    } else {
        out["complete"] = json::array(); // required by earlier versions
    }
    out["open"] = json::object();
    for (const auto &[number, occurrence] : job.occurrences) {
        json steps = json::array();
        json failures = json::array();
        json crashes = json::array();
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            steps.push_back(encodeDone(occurrence.steps[step]));
            for (const auto &[index, task] : occurrence.steps[step].changed) {
                if (!task.failedRuns.empty()) {
                    failures.push_back({step, index, task.failedRuns});
                }
                if (task.crashes > 0 || task.suspectRun) {
                    const auto run = task.suspectRun.value_or(suspect_run {});
                    crashes.push_back({step, index, task.crashes, task.crashEvidence, run.worker,
                                       run.incarnation, run.run});
                    if (task.lateCrashes > 0) {
                        crashes.back().push_back(task.lateCrashes);
                    }
                }
            }
        }
        auto &open = out["open"][std::to_string(number)];
        open = json::object();
        if (job.spec.repetitions <= 1 || isStarted(occurrence)) {
            open = {{"done", steps}, {"failures", failures}};
            put(open, "crashes", crashes, json::array());
        }
    }
    json pools = json::array();
    for (const auto &[pool, stored] : job.otherPools) {
        pools.push_back(pool);
    }
    put(out, "pools", pools, json::array());
    return out.dump();
}

result<void> applyProgress(job_entry &job, const std::string &text)
{
    try {
        const json in = parseJson(text);
        job.occurrences.clear();
        job.nextOccurrence = nextOccurrenceFrom(in);
        job.storedNextOccurrence = job.nextOccurrence;
        for (const auto &[name, open] : in.at("open").items()) {
            const int number = std::stoi(name);
            openOccurrence(job, number);
            const auto steps = open.value("done", json::array());
            for (std::size_t step = 0; step < steps.size(); ++step) {
                const auto done = steps[step].get<std::string>();
                for (std::size_t index = 0; index < done.size(); ++index) {
                    const auto occurrence = job.occurrences.find(number);
                    if (done[index] == '1' && occurrence != job.occurrences.end()
                        && index < occurrence->second.steps.at(step).count) {
                        finishTask(
                            job, {job.id, number, static_cast<int>(step), static_cast<int>(index)});
                    }
                }
            }
            for (const auto &row : open.value("failures", json::array())) {
                if (const auto task = listedTask(job, number, row)) {
                    changeTask(*task->first, task->second).failedRuns =
                        row.at(2).get<std::set<std::int64_t>>();
                }
            }
            for (const auto &row : open.value("crashes", json::array())) {
                if (const auto place = listedTask(job, number, row)) {
                    auto &task = changeTask(*place->first, place->second);
                    task.crashes = row.at(2).get<int>();
                    task.crashEvidence = row.at(3).get<int>();
                    task.storedCrashes = task.crashes;
                    task.lateCrashes =
                        row.size() > lateCrashesColumn ? row.at(lateCrashesColumn).get<int>() : 0;
                    const suspect_run run {row.at(4).get<std::string>(),
                                           row.at(5).get<std::int64_t>(),
                                           row.at(6).get<std::int64_t>()};
                    if (run.run != 0) {
                        task.suspectRun = run;
                    }
                    job.hasCrashes = true;
                }
            }
        }
        for (const auto &pool : in.value("pools", std::vector<std::string> {})) {
            job.otherPools[pool] = true;
        }
        job.begun = true;
        return {};
    } catch (const std::exception &problem) {
        return makeError(error_kind::invalid_request, "progress of " + job.id, problem.what());
    }
}

std::string encodeEnded(const ended_record &ended)
{
    json out = {{"state", nameOf(ended.state)}, {"at", ended.wallMs}};
    if (!ended.submitted) {
        out["submitted"] = false;
    }
    return out.dump();
}

result<ended_record> decodeEnded(const std::string &text)
{
    return parseRecord<ended_record>("ended job", text, [](const json &in) {
        const auto state = parseJobState(in.at("state").get<std::string>());
        return ended_record {state.value_or(job_state::completed), in.at("at").get<std::int64_t>(),
                             in.value("submitted", true)};
    });
}

std::string encodeRelays(const std::vector<relay_peer> &relays)
{
    json out = json::array();
    for (const auto &relay : relays) {
        out.push_back({relay.address, relay.dataCentre, relay.processorShare});
    }
    return out.dump();
}

result<std::vector<relay_peer>> decodeRelays(const std::string &text)
{
    return parseRecord<std::vector<relay_peer>>("relays", text, [](const json &in) {
        std::vector<relay_peer> relays;
        for (const auto &row : in) {
            relays.push_back({row.at(0).get<std::string>(), row.at(1).get<std::string>(),
                              row.at(2).get<double>()});
        }
        return relays;
    });
}

std::string rosterKeyOf(std::string_view worker)
{
    // FNV-1a, because the result of std::hash may differ between versions of the library.
    constexpr std::uint32_t offset = 2166136261U;
    constexpr std::uint32_t prime = 16777619U;
    std::uint32_t hash = offset;
    for (const char each : worker) {
        hash = (hash ^ static_cast<unsigned char>(each)) * prime;
    }
    return std::string(rosterPrefix) + "/" + std::to_string(hash % rosterParts);
}

std::string encodeRoster(const std::vector<worker_entry> &workers)
{
    json out = json::array();
    for (const auto &worker : workers) {
        out.push_back({worker.id, worker.address, worker.pool, worker.host});
    }
    return out.dump();
}

result<std::vector<worker_entry>> decodeRoster(const std::string &text)
{
    return parseRecord<std::vector<worker_entry>>("roster", text, [](const json &in) {
        std::vector<worker_entry> workers;
        for (const auto &row : in) {
            worker_entry worker;
            worker.id = row.at(0).get<std::string>();
            worker.address = row.at(1).get<std::string>();
            worker.pool = row.at(2).get<std::string>();
            worker.host = row.at(3).get<std::string>();
            workers.push_back(std::move(worker));
        }
        return workers;
    });
}

std::string encodeWaveRecord(const wave_record &record)
{
    json out = {{"hosts", record.hosts}, {"completed", record.completed}};
    if (!record.ordered.empty()) {
        out["ordered"] = record.ordered;
    }
    return out.dump();
}

result<wave_record> decodeWaveRecord(const std::string &text)
{
    return parseRecord<wave_record>("wave record", text, [](const json &in) {
        return wave_record {in.at("hosts").get<std::vector<std::string>>(),
                            in.at("completed").get<bool>(),
                            in.value("ordered", std::vector<std::string> {})};
    });
}

std::string encodeBaselines(const std::map<std::string, int> &baselines)
{
    return json(baselines).dump();
}

result<std::map<std::string, int>> decodeBaselines(const std::string &text)
{
    return parseRecord<std::map<std::string, int>>(
        "homes", text, [](const json &in) { return in.get<std::map<std::string, int>>(); });
}

} // namespace ibishinge::fleet
