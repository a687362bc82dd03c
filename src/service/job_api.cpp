#include <ibishinge/service/job_api.h>

#include <ibishinge/base/incarnation.h>
#include <ibishinge/base/name.h>
#include <ibishinge/service/answer.h>

#include <utility>

namespace ibishinge {

namespace {

using nlohmann::json;

constexpr std::string_view queuesPrefix = "/v1/queues/";
constexpr std::string_view jobsSuffix = "/jobs";
constexpr std::string_view jobsPrefix = "/v1/jobs/";

struct job_path
{
    std::string queue;
    std::string id; ///< "" for the list of a queue
};

std::optional<job_path> parsePath(std::string_view path)
{
    if (path.starts_with(queuesPrefix) && path.ends_with(jobsSuffix)
        && path.size() > queuesPrefix.size() + jobsSuffix.size()) {
        path.remove_prefix(queuesPrefix.size());
        path.remove_suffix(jobsSuffix.size());
        return isValidName(path) ? std::optional(job_path {std::string(path), ""}) : std::nullopt;
    }
    if (!path.starts_with(jobsPrefix)) {
        return std::nullopt;
    }
    path.remove_prefix(jobsPrefix.size());
    const auto slash = path.find('/');
    if (slash == std::string_view::npos || !isValidName(path.substr(0, slash))
        || !isValidName(path.substr(slash + 1))) {
        return std::nullopt;
    }
    return job_path {std::string(path.substr(0, slash)), std::string(path.substr(slash + 1))};
}

http_response failure(const error &e, const std::string &id)
{
    // Of a write without a known outcome the job may run later; otherwise nothing was accepted.
    const auto state = e.kind == error_kind::outcome_unknown ? run_state::may_have_run
                                                             : run_state::attempt_not_run;
    return errorAnswer(e, state, id);
}

/// Returns the error kind that callers see for an error of the store.
error forCaller(error e)
{
    if (e.kind == error_kind::unavailable) {
        e.kind = error_kind::not_ready;
    }
    return e;
}

json describeJob(const job_record &record)
{
    json object {{"id", record.id},
                 {"queue", record.queue},
                 {"team", record.team},
                 {"class", nameOf(record.workClass)},
                 {"repeatable", record.repeatable},
                 {"state", nameOf(record.state)},
                 {"attempt", record.attempt},
                 {"failures", record.failures},
                 {"submitted_ms", sinceEpoch(record.submittedAt).count()},
                 {"changed_ms", sinceEpoch(record.changedAt).count()},
                 {"reason", record.reason}};
    if (isActive(record.state)) {
        object["worker"] = record.worker;
    }
    return object;
}

document_result<job_record> parseSubmission(const std::string &body)
{
    const auto document = parseDocument(body);
    if (!document) {
        return tl::unexpected(document.error());
    }
    std::vector<document_problem> problems;
    object_reader reader(*document, "", problems);
    job_record read;
    read.id = reader.optional("id") != nullptr ? reader.name("id") : makeIncarnation();
    read.repeatable = reader.flag("repeatable", false);
    if (reader.optional("class") != nullptr) {
        read.workClass = reader.choice("class", {"normal", "urgent"}) == 1 ? work_class::urgent
                                                                           : work_class::normal;
    }
    const auto amount = [&reader](const char *name, std::int64_t highest) {
        return reader.optional(name) == nullptr ? 0 : reader.integer(name, 0, highest);
    };
    read.declared.processors = reader.integer("processors", 1, maxJobProcessors);
    read.declared.memoryMb = amount("memory_mb", maxJobMemoryMb);
    read.declared.accelerators = amount("accelerators", maxJobAccelerators);
    constexpr std::int64_t yearMs = std::int64_t {365} * 24 * 3600 * 1000;
    read.declaredRunTime = milliseconds(amount("run_ms", yearMs));
    if (reader.optional("payload") != nullptr) {
        read.payload = reader.text("payload", maxJobPayload);
    }
    reader.finish();
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return read;
}

/// Returns true if both were submitted with the same content.
bool isSameSubmission(const job_record &a, const job_record &b)
{
    return a.team == b.team && a.workClass == b.workClass && a.repeatable == b.repeatable
           && a.declared == b.declared && a.declaredRunTime == b.declaredRunTime
           && a.payload == b.payload;
}

} // namespace

std::unique_ptr<job_api> job_api::create(kv_store &store, const clock_source &clock, writer write,
                                         configuration_source configuration)
{
    return std::unique_ptr<job_api>(
        new job_api(store, clock, std::move(write), std::move(configuration)));
}

job_api::job_api(kv_store &store, const clock_source &clock, writer write,
                 configuration_source configuration)
    : m_store(store)
    , m_clock(clock)
    , m_write(std::move(write))
    , m_configuration(std::move(configuration))
{
}

bool job_api::isJobPath(std::string_view path) noexcept
{
    return path.starts_with(queuesPrefix) || path.starts_with(jobsPrefix);
}

std::optional<std::string> job_api::queueOf(std::string_view path)
{
    const auto parsed = parsePath(path);
    return parsed ? std::optional(parsed->queue) : std::nullopt;
}

http_response job_api::handle(const http_request &request, const std::string &team,
                              milliseconds timeout)
{
    const auto deadline = m_clock.now() + timeout;
    const auto path = parsePath(request.path);
    if (!path) {
        return failure({error_kind::unknown_entity, request.path, "no such resource", {}, 0}, "");
    }
    const auto current = m_configuration();
    const auto *queue = findQueue(current->catalogue.value, path->queue);
    if (queue == nullptr) {
        return failure({error_kind::unknown_entity, "queue " + path->queue, "unknown", {}, 0},
                       path->id);
    }
    if (path->id.empty() && request.method == "POST") {
        return submit(request, *queue, team, deadline);
    }
    if (path->id.empty() && request.method == "GET") {
        return list(*queue, team);
    }
    if (!path->id.empty() && request.method == "GET") {
        return show(*queue, path->id, team);
    }
    if (!path->id.empty() && request.method == "DELETE") {
        return cancel(*queue, path->id, team, deadline);
    }
    return failure({error_kind::invalid_request,
                    "method",
                    path->id.empty() ? "expected POST or GET" : "expected GET or DELETE",
                    {},
                    0},
                   path->id);
}

http_response job_api::submit(const http_request &request, const queue_entry &queue,
                              const std::string &team, monotonic_time deadline)
{
    auto parsed = parseSubmission(request.body);
    if (!parsed) {
        return failure({error_kind::invalid_request, "body", describe(parsed.error()), {}, 0}, "");
    }
    job_record record = std::move(*parsed);
    record.queue = queue.name;
    record.team = team;
    record.submittedAt = m_clock.wallNow();
    record.changedAt = record.submittedAt;
    const std::string name = jobName(record);
    const std::string key = jobKey(queue.pool, name);
    // The note comes first, so that a record that is in the store is always seen by the pool's
    // owner. A note without a record is dropped after a time.
    const auto noted = m_write({jobNoteKey(queue.pool, job_note::submitted, name),
                                {},
                                {},
                                std::to_string(sinceEpoch(record.submittedAt).count()),
                                0},
                               deadline);
    if (!noted) {
        // Without the record nothing was accepted, whether or not the note is in the store.
        return failure({error_kind::not_ready, "store", noted.error().message, {}, 0}, record.id);
    }
    const std::string value = encodeJobRecord(record);
    const auto created = m_write({key, 0, {}, value, 0}, deadline);
    if (!created) {
        return failure(forCaller(created.error()), record.id);
    }
    if (created->applied) {
        return jsonResponse(201, describeJob(record).dump() + "\n");
    }
    if (!created->current) {
        return failure({error_kind::not_ready, key, "changed in the meantime", {}, 0}, record.id);
    }
    const auto present = decodeJobRecord(created->current->value);
    if (!present || !isSameSubmission(*present, record)) {
        return failure(
            {error_kind::duplicate_id, "job " + name, "the id was used with other content", {}, 0},
            record.id);
    }
    // An earlier send of this write may have been applied without an answer.
    const bool isNew = created->current->value == value;
    return jsonResponse(isNew ? 201 : 200, describeJob(*present).dump() + "\n");
}

http_response job_api::list(const queue_entry &queue, const std::string &team)
{
    const auto read = m_store.range({jobKey(queue.pool, queue.name + "/"), true, false});
    if (!read) {
        return failure(forCaller(read.error()), "");
    }
    json jobs = json::array();
    for (const auto &entry : read->entries) {
        const auto record = decodeJobRecord(entry.value);
        if (record && record->team == team) {
            jobs.push_back(describeJob(*record));
        }
    }
    return jsonResponse(200, json {{"jobs", std::move(jobs)}}.dump() + "\n");
}

result<job_api::found_job> job_api::find(const queue_entry &queue, const std::string &id,
                                         const std::string &team)
{
    const std::string name = queue.name + "/" + id;
    const auto read = m_store.range({jobKey(queue.pool, name), false, false});
    if (!read) {
        return tl::unexpected(forCaller(read.error()));
    }
    if (!read->entries.empty()) {
        auto record = decodeJobRecord(read->entries.front().value);
        if (!record) {
            return makeError(error_kind::internal, "job " + name, describe(record.error()));
        }
        // Another team's job is not shown to exist.
        if (record->team == team) {
            return found_job {std::move(*record), read->entries.front().modRevision};
        }
    }
    return makeError(error_kind::unknown_entity, "job " + name, "unknown");
}

http_response job_api::show(const queue_entry &queue, const std::string &id,
                            const std::string &team)
{
    const auto found = find(queue, id, team);
    return found ? jsonResponse(200, describeJob(found->record).dump() + "\n")
                 : failure(found.error(), id);
}

http_response job_api::cancel(const queue_entry &queue, const std::string &id,
                              const std::string &team, monotonic_time deadline)
{
    const auto found = find(queue, id, team);
    if (!found) {
        return failure(found.error(), id);
    }
    if (isFinal(found->record.state)) {
        return jsonResponse(200, describeJob(found->record).dump() + "\n");
    }
    // Only the pool's owner changes the record; it reads all notes of a wave in one call.
    const auto noted =
        m_write({jobNoteKey(queue.pool, job_note::cancel, jobName(found->record)), {}, {}, "{}", 0},
                deadline);
    if (!noted) {
        return failure(forCaller(noted.error()), id);
    }
    return jsonResponse(202, describeJob(found->record).dump() + "\n");
}

} // namespace ibishinge
