#include <ibishinge/state/job_record.h>

#include <limits>

namespace ibishinge {

namespace {

using nlohmann::json;

// 2^43 ms is in the year 2248; the bound keeps times within the clock's nanoseconds.
constexpr std::int64_t maxTimeMs = std::int64_t {1} << 43U;
constexpr std::int64_t maxCount = 1'000'000;
constexpr std::size_t maxReference = 1024;

json toJson(const resources &value)
{
    return {{"processors", value.processors},
            {"memory_mb", value.memoryMb},
            {"accelerators", value.accelerators}};
}

resources readResources(object_reader &from, const std::string &name,
                        std::vector<document_problem> &problems)
{
    const json *value = from.required(name, "an object");
    if (value == nullptr) {
        return {};
    }
    object_reader reader(*value, from.pointerTo(name), problems);
    const resources read {reader.integer("processors", 0, maxJobProcessors),
                          reader.integer("memory_mb", 0, maxJobMemoryMb),
                          reader.integer("accelerators", 0, maxJobAccelerators)};
    reader.finish();
    return read;
}

std::string optionalText(object_reader &reader, const std::string &name, std::size_t maxLength)
{
    return reader.optional(name) == nullptr ? std::string() : reader.text(name, maxLength);
}

wall_time readTime(object_reader &reader, const std::string &name)
{
    return wall_time {} + milliseconds(reader.integer(name, 0, maxTimeMs));
}

} // namespace

std::string jobKey(std::string_view pool, std::string_view name)
{
    std::string key(jobPrefix);
    key.append(pool).append("/").append(name);
    return key;
}

std::string jobNoteKey(std::string_view pool, job_note kind, std::string_view name)
{
    std::string key(jobNotePrefix);
    key.append(pool).append(kind == job_note::cancel ? "/cancel/" : "/submitted/").append(name);
    return key;
}

std::string encodeJobRecord(const job_record &record)
{
    json object {{"id", record.id},
                 {"queue", record.queue},
                 {"team", record.team},
                 {"class", nameOf(record.workClass)},
                 {"repeatable", record.repeatable},
                 {"declared", toJson(record.declared)},
                 {"declared_run_ms", record.declaredRunTime.count()},
                 {"state", nameOf(record.state)},
                 {"attempt", record.attempt},
                 {"reserved", toJson(record.reserved)},
                 {"failures", record.failures},
                 {"submitted_ms", sinceEpoch(record.submittedAt).count()},
                 {"not_before_ms", sinceEpoch(record.notBefore).count()},
                 {"changed_ms", sinceEpoch(record.changedAt).count()}};
    const auto addText = [&object](const char *name, const std::string &text) {
        if (!text.empty()) {
            object[name] = text;
        }
    };
    addText("payload", record.payload);
    addText("worker", record.worker);
    addText("worker_incarnation", record.workerIncarnation);
    addText("checkpoint", record.checkpoint);
    addText("reason", record.reason.substr(0, maxJobReason));
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

document_result<job_record> decodeJobRecord(std::string_view text)
{
    const auto document = parseDocument(text);
    if (!document) {
        return tl::unexpected(document.error());
    }
    std::vector<document_problem> problems;
    object_reader reader(*document, "", problems);
    job_record read;
    read.id = reader.name("id");
    read.queue = reader.name("queue");
    read.team = reader.name("team");
    read.workClass =
        reader.choice("class", {"normal", "urgent"}) == 1 ? work_class::urgent : work_class::normal;
    if (reader.required("repeatable", "true or false") != nullptr) {
        read.repeatable = reader.flag("repeatable", false);
    }
    read.declared = readResources(reader, "declared", problems);
    read.declaredRunTime = milliseconds(reader.integer("declared_run_ms", 0, maxTimeMs));
    read.state = static_cast<job_state>(
        reader.choice("state", {"waiting", "starting", "running", "checkpointing", "done", "failed",
                                "cancelled", "lost"}));
    read.attempt = static_cast<int>(reader.integer("attempt", 0, maxCount));
    read.reserved = readResources(reader, "reserved", problems);
    read.failures = static_cast<int>(reader.integer("failures", 0, maxCount));
    read.submittedAt = readTime(reader, "submitted_ms");
    read.notBefore = readTime(reader, "not_before_ms");
    read.changedAt = readTime(reader, "changed_ms");
    read.payload = optionalText(reader, "payload", maxJobPayload);
    read.worker = optionalText(reader, "worker", maxReference);
    read.workerIncarnation = optionalText(reader, "worker_incarnation", maxReference);
    read.checkpoint = optionalText(reader, "checkpoint", maxReference);
    read.reason = optionalText(reader, "reason", maxJobReason);
    reader.finish();
    if (problems.empty() && isActive(read.state) && (read.worker.empty() || read.attempt == 0)) {
        reader.report("/state", std::string(nameOf(read.state)), "a worker and an attempt with it");
    }
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return read;
}

} // namespace ibishinge
