#include "commands.h"

#include <ibishinge/base/time.h>
#include <ibishinge/ctl/burn_report.h>
#include <ibishinge/ctl/error_guide.h>
#include <ibishinge/ctl/text_table.h>
#include <ibishinge/state/catalogue_record.h>

#include <array>
#include <ctime>
#include <functional>
#include <utility>

namespace ibishinge::impl {

namespace {

using nlohmann::json;

http_request get(std::string path)
{
    http_request request;
    request.path = std::move(path);
    return request;
}

http_request change(std::string method, std::string path, std::string body = {})
{
    http_request request;
    request.method = std::move(method);
    request.path = std::move(path);
    request.body = std::move(body);
    request.headers.push_back({"Content-Type", "application/json"});
    return request;
}

command_outcome usage(const error &e)
{
    return {exit_status::usage, "", e.place + ": " + e.message + "\n"};
}

std::string timeOf(const json &body, const char *field)
{
    const auto ms = body.value(field, std::int64_t {0});
    if (ms == 0) {
        return "-";
    }
    const std::time_t seconds = ms / 1000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, sizeof "9999-12-31T23:59:59Z"> text {};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), length};
}

/// Returns one row for each object of a list, with the cells of the given fields.
std::vector<table_row> rowsOf(const json &list, const std::vector<const char *> &fields)
{
    std::vector<table_row> rows;
    for (const auto &item : list) {
        table_row row;
        for (const char *field : fields) {
            row.push_back(cellOf(item.value(field, json())));
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

std::string differencesTable(const json &list, const char *before, const char *after)
{
    if (list.empty()) {
        return "no differences\n";
    }
    return formatTable({"CHANGE", "PLACE", before, after},
                       rowsOf(list, {"change", "place", "before", "after"}));
}

std::string problemsTable(const json &list)
{
    return formatTable({"PLACE", "FOUND", "ALLOWED"},
                       rowsOf(list, {"pointer", "found", "allowed"}));
}

/// Describes in which members a change is in effect.
std::string effectText(const json &body)
{
    auto rows = rowsOf(body.value("members", json::array()),
                       {"address", "role", "data_centre", "in_effect", "detail"});
    rows.insert(rows.begin(),
                {"(asked)", "entry", "", cellOf(body.value("in_effect_here", false)), ""});
    return formatTable({"MEMBER", "ROLE", "DATA CENTRE", "IN EFFECT", "DETAIL"}, rows);
}

command_outcome show(const command_context &context, const json &body, const std::string &text)
{
    return {exit_status::ok, context.format == output_format::json ? dumpJson(body) : text, ""};
}

/// A catalogue document to send, and the revision that it was made from.
struct edited_catalogue
{
    json document;
    std::optional<std::int64_t> revision;
};

result<edited_catalogue> readEdited(const command_context &context, const std::string &file)
{
    const auto text = context.readFile(file);
    if (!text) {
        return tl::unexpected(text.error());
    }
    auto parsed = parseDocument(*text);
    if (!parsed) {
        return makeError(error_kind::invalid_request, file, describe(parsed.error()));
    }
    edited_catalogue edited {std::move(*parsed), context.revision};
    // The output of `catalogue get` holds the catalogue next to its revision.
    if (edited.document.is_object() && edited.document.contains("catalogue")) {
        const auto revision = edited.document.value("revision", json());
        if (!edited.revision && revision.is_number_integer()) {
            edited.revision = revision.get<std::int64_t>();
        }
        edited.document = json(edited.document["catalogue"]);
    }
    return edited;
}

/// Returns the catalogue of one revision from the history, or null.
json catalogueAt(const command_context &context, std::int64_t revision)
{
    const auto history = callApi(context, get("/v1/catalogue/history"));
    if (!history.ok()) {
        return {};
    }
    for (const auto &version : history.body.value("versions", json::array())) {
        if (version.value("revision", std::int64_t {0}) == revision) {
            const auto number = version.value("version", std::int64_t {0});
            auto found = callApi(context, get("/v1/catalogue/history/" + std::to_string(number)));
            return found.ok() ? found.body.value("catalogue", json()) : json();
        }
    }
    return {};
}

std::optional<json> differencesOf(const json &before, const json &after)
{
    const auto a = parseCatalogue(before);
    const auto b = parseCatalogue(after);
    return a && b ? std::optional<json>(toJson(differences(*a, *b))) : std::nullopt;
}

/// Adds both sides of a conflict: what others changed since the revision, and what the edit does.
void describeConflict(const command_context &context, json body, std::int64_t expected,
                      command_outcome &outcome)
{
    const json base = catalogueAt(context, expected);
    const auto theirs = differencesOf(base, body.value("current", json()));
    const auto yours = differencesOf(base, body.value("yours", json()));
    if (theirs && yours) {
        body["changed_by_others"] = *theirs;
        body["changed_by_you"] = *yours;
    }
    if (context.format == output_format::json) {
        outcome.out = dumpJson(body);
        return;
    }
    outcome.err += "Made from revision " + std::to_string(expected) + "; the current revision is "
                   + cellOf(body.value("current_revision", json())) + ".\n";
    if (theirs && yours) {
        outcome.err += "\nChanged by others since:\n"
                       + differencesTable(*theirs, "BEFORE", "CURRENT") + "\nChanged by you:\n"
                       + differencesTable(*yours, "BEFORE", "YOURS");
    }
    outcome.err += "\nBetween the current catalogue and yours:\n"
                   + differencesTable(body.value("differences", json::array()), "CURRENT", "YOURS");
}

/// Lists the entries of one kind of the catalogue, or shows the one called `name`.
command_outcome showEntries(const command_context &context, const char *kind,
                            const std::vector<const char *> &fields, const table_row &heading,
                            const std::string &name)
{
    const auto answer = callApi(context, get("/v1/catalogue"));
    if (!answer.ok()) {
        return answer.failure;
    }
    const json entries = answer.body.value("catalogue", json::object()).value(kind, json::array());
    if (name.empty()) {
        return show(context, entries, formatTable(heading, rowsOf(entries, fields)));
    }
    for (const auto &entry : entries) {
        if (entry.value("name", "") == name) {
            std::vector<table_row> rows;
            for (const auto &[field, value] : entry.items()) {
                rows.push_back({field, cellOf(value)});
            }
            return show(context, entry, formatTable({"FIELD", "VALUE"}, rows));
        }
    }
    return {exit_status::refused, "", std::string(kind) + ": no " + name + " in the catalogue\n"};
}

command_outcome compareWithCurrent(const command_context &context, const std::string &file,
                                   bool showDifferences)
{
    const auto edited = readEdited(context, file);
    if (!edited) {
        return usage(edited.error());
    }
    http_request request = change("POST", "/v1/catalogue/check", edited->document.dump());
    // The check changes nothing, so a lost answer leaves nothing uncertain.
    const auto answer = interpret(context, context.client.call(request), false);
    if (!answer.ok()) {
        return answer.failure;
    }
    if (!answer.body.value("valid", false)) {
        command_outcome outcome {exit_status::refused, "", ""};
        if (context.format == output_format::json) {
            outcome.out = dumpJson(answer.body);
        } else {
            outcome.err = problemsTable(answer.body.value("problems", json::array()));
        }
        return outcome;
    }
    const json list = answer.body.value("differences", json::array());
    const std::string text = showDifferences ? differencesTable(list, "CURRENT", "FILE")
                                             : "valid; " + std::to_string(list.size())
                                                   + " differences to the current catalogue\n";
    return show(context, answer.body, text);
}

} // namespace

std::string dumpJson(const json &document)
{
    constexpr int indent = 2;
    return document.dump(indent, ' ', false, json::error_handler_t::replace) + "\n";
}

std::string cellOf(const json &value)
{
    if (value.is_null()) {
        return "";
    }
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_array()) {
        std::string text;
        for (const auto &item : value) {
            text += (text.empty() ? "" : ",") + cellOf(item);
        }
        return text;
    }
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

api_answer interpret(const command_context &context, const result<http_response> &response,
                     bool isChange)
{
    api_answer answer;
    if (!response) {
        const auto status = exitStatusForNoAnswer(response.error(), isChange);
        std::string text = describe(response.error()) + "\n";
        if (status == exit_status::outcome_unknown) {
            text += "The change may have been made; look it up before you repeat it.\n";
        }
        answer.failure = {status, "", std::move(text)};
        return answer;
    }
    constexpr int firstError = 300;
    answer.body = json::parse(response->body, nullptr, false);
    if (!answer.body.is_object()) {
        answer.failure = {exit_status::failed, "",
                          "status " + std::to_string(response->status)
                              + " without a JSON object; is this the operators' port?\n"};
        return answer;
    }
    if (response->status < firstError) {
        return answer;
    }
    const std::string name = cellOf(answer.body.value("error", json()));
    const auto kind = errorKindNamed(name);
    answer.failure.status = kind ? exitStatusFor(*kind) : exit_status::failed;
    if (context.format == output_format::json) {
        answer.failure.out = dumpJson(answer.body);
        return answer;
    }
    answer.failure.err = name + ": " + cellOf(answer.body.value("message", json())) + "\n";
    if (answer.body.contains("change_id")) {
        answer.failure.err += "change id: " + cellOf(answer.body["change_id"]) + "\n";
    }
    if (answer.body.contains("problems")) {
        answer.failure.err += problemsTable(answer.body["problems"]);
    }
    return answer;
}

api_answer callApi(const command_context &context, const http_request &request)
{
    const bool isChange = request.method != "GET";
    return interpret(context, context.client.call(request), isChange);
}

command_outcome catalogueGet(const command_context &context, const std::string &version)
{
    const auto answer = callApi(
        context, get(version.empty() ? "/v1/catalogue" : "/v1/catalogue/history/" + version));
    return answer.ok() ? command_outcome {exit_status::ok, dumpJson(answer.body), ""}
                       : answer.failure;
}

command_outcome catalogueCheck(const command_context &context, const std::string &file)
{
    return compareWithCurrent(context, file, false);
}

command_outcome catalogueDiff(const command_context &context, const std::string &file)
{
    return compareWithCurrent(context, file, true);
}

command_outcome catalogueApply(const command_context &context, const std::string &file)
{
    const auto edited = readEdited(context, file);
    if (!edited) {
        return usage(edited.error());
    }
    if (!edited->revision) {
        return usage({error_kind::invalid_request, "--revision",
                      "missing; give the revision that the document was made from (0 for the first "
                      "catalogue), or a file that `catalogue get` printed",
                      milliseconds {0}, 0});
    }
    http_request request = change("PUT", "/v1/catalogue", edited->document.dump());
    request.headers.push_back({"If-Match", std::to_string(*edited->revision)});
    auto answer = callApi(context, request);
    if (!answer.ok()) {
        if (answer.failure.status == exit_status::conflict) {
            describeConflict(context, answer.body, *edited->revision, answer.failure);
        }
        return answer.failure;
    }
    const json &body = answer.body;
    return show(context, body,
                "version " + cellOf(body.value("version", json())) + ", revision "
                    + cellOf(body.value("revision", json())) + "\n\n"
                    + differencesTable(body.value("differences", json::array()), "BEFORE", "AFTER")
                    + "\n" + effectText(body));
}

command_outcome catalogueHistory(const command_context &context, const std::string & /*operand*/)
{
    const auto answer = callApi(context, get("/v1/catalogue/history"));
    if (!answer.ok()) {
        return answer.failure;
    }
    return show(
        context, answer.body,
        formatTable({"VERSION", "REVISION"},
                    rowsOf(answer.body.value("versions", json::array()), {"version", "revision"})));
}

command_outcome keyGive(const command_context &context, const std::string &team)
{
    const auto answer = callApi(context, change("POST", "/v1/keys", json {{"team", team}}.dump()));
    if (!answer.ok()) {
        return answer.failure;
    }
    const json &body = answer.body;
    return show(context, body,
                "id:  " + cellOf(body.value("id", json()))
                    + "\nkey: " + cellOf(body.value("key", json()))
                    + "\nThe key is shown only here.\n\n" + effectText(body));
}

command_outcome keyWithdraw(const command_context &context, const std::string &id)
{
    const auto answer = callApi(context, change("DELETE", "/v1/keys/" + id));
    return answer.ok() ? show(context, answer.body, "withdrawn\n\n" + effectText(answer.body))
                       : answer.failure;
}

command_outcome keyList(const command_context &context, const std::string & /*operand*/)
{
    const auto answer = callApi(context, get("/v1/keys"));
    if (!answer.ok()) {
        return answer.failure;
    }
    std::vector<table_row> rows;
    for (const auto &key : answer.body.value("keys", json::array())) {
        rows.push_back({key.value("id", ""), key.value("team", ""), timeOf(key, "created_at_ms"),
                        timeOf(key, "revoked_at_ms")});
    }
    return show(context, answer.body, formatTable({"ID", "TEAM", "CREATED", "WITHDRAWN"}, rows));
}

command_outcome showStatus(const command_context &context, const std::string & /*operand*/)
{
    const auto answer = callApi(context, get("/v1/status"));
    if (!answer.ok()) {
        return answer.failure;
    }
    const json &body = answer.body;
    const json freshness = body.value("freshness", json::object());
    const json revisions = body.value("revisions", json::object());
    json members = body.value("members", json::array());
    members.insert(members.begin(), body.value("self", json::object()));
    std::string text = formatTable(
        {"FACT", "VALUE"},
        {{"catalogue version", cellOf(body.value("catalogue_version", json()))},
         {"catalogue revision", cellOf(revisions.value("catalogue", json()))},
         {"keys revision", cellOf(revisions.value("keys", json()))},
         {"freshness", cellOf(freshness.value("state", json()))},
         {"reason", cellOf(freshness.value("reason", json()))},
         {"store contact age (ms)", cellOf(freshness.value("contact_age_ms", json("none")))}});
    text +=
        "\nMembers; the first one answered:\n"
        + formatTable({"INCARNATION", "ROLE", "HOST", "DATA CENTRE", "PEER ADDRESS"},
                      rowsOf(members, {"incarnation", "role", "host", "data_centre", "address"}));
    return show(context, body, text);
}

command_outcome hostList(const command_context &context, const std::string & /*operand*/)
{
    const auto answer = callApi(context, get("/v1/hosts"));
    if (!answer.ok()) {
        return answer.failure;
    }
    std::vector<table_row> rows;
    for (const auto &host : answer.body.value("hosts", json::array())) {
        std::string services;
        for (const auto &service : host.value("services", json::array())) {
            services += (services.empty() ? "" : ",") + service.value("name", "");
        }
        rows.push_back({host.value("id", ""), host.value("state", ""),
                        host.value("data_centre", ""), host.value("rack", ""),
                        host.value("address", ""), services});
    }
    return show(context, answer.body,
                formatTable({"ID", "STATE", "DATA CENTRE", "RACK", "ADDRESS", "SERVICES"}, rows));
}

command_outcome hostShow(const command_context &context, const std::string &id)
{
    const auto answer = callApi(context, get("/v1/hosts"));
    if (!answer.ok()) {
        return answer.failure;
    }
    for (const auto &host : answer.body.value("hosts", json::array())) {
        if (host.value("id", "") == id) {
            return show(
                context, host,
                formatTable({"FIELD", "VALUE"}, {{"id", id},
                                                 {"state", host.value("state", "")},
                                                 {"data_centre", host.value("data_centre", "")},
                                                 {"rack", host.value("rack", "")},
                                                 {"address", host.value("address", "")}})
                    + "\n"
                    + formatTable({"SERVICE", "ENDPOINT", "SLOTS", "CONNECTIONS"},
                                  rowsOf(host.value("services", json::array()),
                                         {"name", "endpoint", "slots", "connections"})));
        }
    }
    return {exit_status::refused, "", "host " + id + ": not in the host list\n"};
}

command_outcome showTeam(const command_context &context, const std::string &name)
{
    return showEntries(context, "teams", {"name", "class", "share_weight", "upper_limit", "owner"},
                       {"NAME", "CLASS", "WEIGHT", "UPPER LIMIT", "OWNER"}, name);
}

command_outcome showQueue(const command_context &context, const std::string &name)
{
    return showEntries(context, "queues",
                       {"name", "class", "pool", "max_waiting", "max_running", "open_to", "owner"},
                       {"NAME", "CLASS", "POOL", "MAX WAITING", "MAX RUNNING", "OPEN TO", "OWNER"},
                       name);
}

command_outcome showPool(const command_context &context, const std::string &name)
{
    return showEntries(context, "pools",
                       {"name", "class", "max_hosts", "budget", "domain_budgets", "spare", "owner"},
                       {"NAME", "CLASS", "MAX HOSTS", "BUDGET", "DOMAIN BUDGETS", "SPARE", "OWNER"},
                       name);
}

command_outcome reportBurn(const command_context &context, const std::string & /*operand*/)
{
    burn_report report;
    command_outcome last;
    for (const auto &where : context.client.addresses()) {
        const auto answer =
            interpret(context, context.client.callAt(where, get("/v1/burn")), false);
        if (!answer.ok()) {
            last = answer.failure;
            report.problems.push_back(
                toString(where) + ": "
                + std::string(exitStatusTable()[static_cast<std::size_t>(last.status)].meaning));
            continue;
        }
        if (const auto added = addAnswer(report, answer.body); !added) {
            last = {exit_status::failed, "", describe(added.error()) + "\n"};
            report.problems.push_back(toString(where) + ": " + describe(added.error()));
        }
    }
    if (report.merged.empty()) {
        return last;
    }
    const auto status = report.isComplete() ? exit_status::ok : exit_status::incomplete;
    switch (context.format) {
    case output_format::json:
        return {status, dumpJson(toJson(report)), ""};
    case output_format::html:
        return {status, toHtml(report), ""};
    case output_format::text:
        break;
    }
    return {status, toText(report), ""};
}

command_outcome explain(const command_context &context, const std::string &kind)
{
    const auto document = [](const error_guide &guide) {
        const auto &answer = answerFor(guide.kind);
        return json {{"error", answer.name},
                     {"status", answer.httpStatus},
                     {"retry_after", answer.retryable},
                     {"proves_not_run", answer.provesNotRun},
                     {"meaning", guide.meaning},
                     {"action", guide.action}};
    };
    if (kind.empty()) {
        json all = json::array();
        for (int value = 1; value <= static_cast<int>(error_kind::internal); ++value) {
            all.push_back(document(guideFor(static_cast<error_kind>(value))));
        }
        return show(context, all,
                    formatTable({"ERROR", "STATUS", "RETRY-AFTER", "MEANING"},
                                rowsOf(all, {"error", "status", "retry_after", "meaning"})));
    }
    const auto found = errorKindNamed(kind);
    if (!found) {
        return usage(
            {error_kind::invalid_request, "explain", "no error kind " + kind, milliseconds {0}, 0});
    }
    const json body = document(guideFor(*found));
    return show(context, body,
                kind + " (status " + cellOf(body["status"])
                    + (body["retry_after"].get<bool>() ? ", with Retry-After)\n" : ")\n")
                    + "Meaning: " + cellOf(body["meaning"]) + "\nTo do:   " + cellOf(body["action"])
                    + "\n");
}

} // namespace ibishinge::impl
