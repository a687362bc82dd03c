#include <ibishinge/service/operators_api.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/base/name.h>
#include <ibishinge/base/secret.h>
#include <ibishinge/outside/http_host_list.h>
#include <ibishinge/state/keys_record.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <future>
#include <optional>
#include <utility>

namespace ibishinge {

namespace {

using nlohmann::json;

/// Attempts at one write whose responses are lost, and at one edit of the keys that others race.
constexpr int maxWriteTries = 8;
constexpr std::size_t changeIdBytes = 8;
constexpr std::string_view historyPath = "/v1/catalogue/history/";
constexpr std::string_view keyPath = "/v1/keys/";

http_response answerJson(int status, const json &body)
{
    return jsonResponse(status, body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

http_response answerError(const error &e, json extra = json::object())
{
    constexpr auto retryAfterSeconds = "1";
    const auto &row = answerFor(e.kind);
    extra["error"] = row.name;
    extra["message"] = e.place + ": " + e.message;
    auto response = answerJson(row.httpStatus, extra);
    if (row.retryable) {
        response.headers.push_back({"Retry-After", retryAfterSeconds});
    }
    return response;
}

json problemsJson(const std::vector<document_problem> &problems)
{
    json list = json::array();
    for (const auto &problem : problems) {
        list.push_back(
            {{"pointer", problem.pointer}, {"found", problem.found}, {"allowed", problem.allowed}});
    }
    return list;
}

http_response answerProblems(const std::vector<document_problem> &problems)
{
    return answerError({error_kind::invalid_request, "body",
                        std::to_string(problems.size()) + " problems", milliseconds {0}, 0},
                       {{"problems", problemsJson(problems)}});
}

document_result<catalogue> parseBody(const http_request &request)
{
    const auto document = parseDocument(request.body);
    if (!document) {
        return tl::unexpected(document.error());
    }
    return parseCatalogue(*document);
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc {} || parsed.ptr != end || value < 0) {
        return std::nullopt;
    }
    return value;
}

/// Reads `If-Match: <revision>`, also in quotes as entity tags have them.
result<store_revision> expectedRevision(const http_request &request)
{
    constexpr auto place = "header If-Match";
    auto value = findHeader(request.headers, "If-Match").value_or("");
    if (value.size() >= 2 && value.front() == '"' && value.back() == '"') {
        value = value.substr(1, value.size() - 2);
    }
    const auto revision = parseNumber(value);
    if (!revision) {
        return makeError(error_kind::invalid_request, place,
                         "expected the revision that the change is based on, 0 for the first");
    }
    return *revision;
}

json catalogueJson(const catalogue_record &record, store_revision revision)
{
    return {{"revision", revision},
            {"version", record.version},
            {"change_id", record.changeId},
            {"changed_at_ms", record.changedAt.count()},
            {"catalogue", toJson(record.value)}};
}

http_response answerCatalogue(const catalogue_record &record, store_revision revision)
{
    auto response = answerJson(200, catalogueJson(record, revision));
    response.headers.push_back({"ETag", "\"" + std::to_string(revision) + "\""});
    return response;
}

/// The store being down is told to operators as a state of this service.
error storeError(error e)
{
    if (e.kind == error_kind::unavailable) {
        e.kind = error_kind::not_ready;
    }
    return e;
}

json memberJson(const member_info &member)
{
    return {{"incarnation", member.incarnation},
            {"address", toString(member.address)},
            {"host", member.host},
            {"role", nameOf(member.role)},
            {"data_centre", member.dataCentre}};
}

std::int64_t ageMs(monotonic_time now, monotonic_time then)
{
    return std::chrono::duration_cast<milliseconds>(now - then).count();
}

error unreadable(const std::string &key, const std::vector<document_problem> &problems)
{
    return {error_kind::internal, key, describe(problems), milliseconds {0}, 0};
}

} // namespace

configuration_publisher makePublisher(configuration_cache &cache, peer_client &peers)
{
    return [&cache, &peers](const configuration_documents &documents) {
        std::vector<std::future<member_effect>> pushes;
        for (const auto &member : cache.members()) {
            pushes.push_back(std::async(std::launch::async, [&peers, &documents, member] {
                const auto held = peers.push(member.address, documents, exchangeTimeout);
                if (!held) {
                    return member_effect {member, false, describe(held.error())};
                }
                const bool inEffect =
                    covers(*held, {documents.catalogue.revision, documents.keys.revision});
                return member_effect {member, inEffect, inEffect ? "" : "not accepted"};
            }));
        }
        std::vector<member_effect> effects;
        effects.reserve(pushes.size());
        for (auto &push : pushes) {
            effects.push_back(push.get());
        }
        return effects;
    };
}

std::unique_ptr<operators_api> operators_api::create(kv_store &store, const clock_source &clock,
                                                     configuration_cache &cache,
                                                     operators_api_options options)
{
    return std::unique_ptr<operators_api>(
        new operators_api(store, clock, cache, std::move(options)));
}

operators_api::operators_api(kv_store &store, const clock_source &clock, configuration_cache &cache,
                             operators_api_options options)
    : m_store(store)
    , m_clock(clock)
    , m_cache(cache)
    , m_options(std::move(options))
{
}

bool operators_api::isAuthorized(const http_request &request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = findHeader(request.headers, "Authorization").value_or("");
    return m_options.token.size() >= minSecretLength && value.starts_with(scheme)
           && equalSecrets(value.substr(scheme.size()), m_options.token);
}

http_response operators_api::handle(const http_request &request)
{
    if (!isAuthorized(request)) {
        return answerError({error_kind::unauthorized, "header Authorization",
                            "expected the operators' token", milliseconds {0}, 0});
    }
    const std::string_view path = request.path;
    const auto is = [&](std::string_view method, std::string_view wanted) {
        return request.method == method && path == wanted;
    };
    if (is("GET", "/v1/catalogue")) {
        return getCatalogue();
    }
    if (is("PUT", "/v1/catalogue")) {
        return putCatalogue(request);
    }
    if (is("POST", "/v1/catalogue/check")) {
        return checkCatalogue(request);
    }
    if (is("GET", "/v1/catalogue/history")) {
        return listHistory();
    }
    if (request.method == "GET" && path.starts_with(historyPath)) {
        return getHistory(path.substr(historyPath.size()));
    }
    if (is("GET", "/v1/keys")) {
        return listKeys();
    }
    if (is("POST", "/v1/keys")) {
        return createKey(request);
    }
    if (request.method == "DELETE" && path.starts_with(keyPath)) {
        return withdrawKey(path.substr(keyPath.size()));
    }
    if (is("GET", "/v1/status")) {
        return getStatus();
    }
    if (is("GET", "/v1/hosts")) {
        return getHosts();
    }
    if (is("GET", "/v1/burn")) {
        return getBurn();
    }
    return answerError({error_kind::unknown_entity, request.method + " " + request.path,
                        "no such resource", milliseconds {0}, 0});
}

result<operators_api::stored_catalogue> operators_api::readCatalogue(const std::string &key)
{
    const auto found = m_store.range({key, false, false});
    if (!found) {
        return tl::unexpected(storeError(found.error()));
    }
    if (found->entries.empty()) {
        return stored_catalogue {};
    }
    auto record = decodeCatalogueRecord(found->entries.front().value);
    if (!record) {
        return tl::unexpected(unreadable(key, record.error()));
    }
    return stored_catalogue {std::move(*record), found->entries.front().modRevision};
}

result<operators_api::stored_keys> operators_api::readKeys()
{
    const std::string key(keysKey);
    auto found = m_store.range({key, false, false});
    if (!found) {
        return tl::unexpected(storeError(found.error()));
    }
    if (found->entries.empty()) {
        return stored_keys {};
    }
    auto &entry = found->entries.front();
    auto list = decodeKeys(entry.value);
    if (!list) {
        return tl::unexpected(unreadable(key, list.error()));
    }
    return stored_keys {std::move(*list), std::move(entry.value), entry.modRevision};
}

http_response operators_api::getCatalogue()
{
    const auto current = readCatalogue(std::string(catalogueKey));
    return current ? answerCatalogue(current->record, current->revision)
                   : answerError(current.error());
}

http_response operators_api::checkCatalogue(const http_request &request)
{
    const auto wanted = parseBody(request);
    if (!wanted) {
        return answerJson(200, {{"valid", false}, {"problems", problemsJson(wanted.error())}});
    }
    const auto current = readCatalogue(std::string(catalogueKey));
    if (!current) {
        return answerError(current.error());
    }
    return answerJson(200, {{"valid", true},
                            {"revision", current->revision},
                            {"differences", toJson(differences(current->record.value, *wanted))}});
}

http_response operators_api::conflict(const catalogue &wanted, store_revision expected,
                                      const stored_catalogue &current) const
{
    return answerError(
        {error_kind::conflict, "header If-Match",
         "the catalogue was changed in the meantime; repeat the change on the current one",
         milliseconds {0}, 0},
        {{"expected_revision", expected},
         {"current_revision", current.revision},
         {"yours", toJson(wanted)},
         {"current", toJson(current.record.value)},
         {"differences", toJson(differences(current.record.value, wanted))}});
}

http_response operators_api::putCatalogue(const http_request &request)
{
    const auto expected = expectedRevision(request);
    if (!expected) {
        return answerError(expected.error());
    }
    const auto wanted = parseBody(request);
    if (!wanted) {
        return answerProblems(wanted.error());
    }
    const auto current = readCatalogue(std::string(catalogueKey));
    if (!current) {
        return answerError(current.error());
    }
    if (current->revision != *expected) {
        return conflict(*wanted, *expected, *current);
    }
    const auto changeId = randomHex(changeIdBytes);
    if (!changeId) {
        return answerError(changeId.error());
    }
    const catalogue_record record {current->record.version + 1, *changeId,
                                   sinceEpoch(m_clock.wallNow()), *wanted};
    const std::string text = encodeCatalogueRecord(record);
    if (text.size() > maxCatalogueBytes) {
        return answerError({error_kind::too_large, "body",
                            "found " + std::to_string(text.size()) + " bytes, allowed are "
                                + std::to_string(maxCatalogueBytes),
                            milliseconds {0}, 0});
    }
    const auto revision = writeCatalogue(record, text, *expected);
    if (!revision && revision.error().kind == error_kind::conflict) {
        const auto winner = readCatalogue(std::string(catalogueKey));
        return winner ? conflict(*wanted, *expected, *winner) : answerError(revision.error());
    }
    if (!revision) {
        return answerError(revision.error(), {{"change_id", *changeId}});
    }
    logEvent(log_level::info, "catalogue_changed",
             {{"version", record.version}, {"revision", *revision}, {"change_id", *changeId}});
    json answer {{"revision", *revision},
                 {"version", record.version},
                 {"change_id", *changeId},
                 {"differences", toJson(differences(current->record.value, *wanted))}};
    answer.update(takeEffect({{text, *revision}, {}}));
    return answerJson(200, answer);
}

result<store_revision> operators_api::writeCatalogue(const catalogue_record &record,
                                                     const std::string &text,
                                                     store_revision expected)
{
    const std::string key(catalogueKey);
    const write_guard unchanged {key, expected};
    // The history is written under the same condition, and first: the write of the catalogue
    // changes the revision that the condition is about.
    std::vector<conditional_write> writes {
        {historyKey(record.version), std::nullopt, unchanged, text, 0},
        {key, expected, std::nullopt, text, 0}};
    if (record.version > keptVersions) {
        writes.insert(writes.begin(), {historyKey(record.version - keptVersions), std::nullopt,
                                       unchanged, std::nullopt, 0});
    }
    bool isUncertain = false;
    for (int i = 0; i < maxWriteTries; ++i) {
        const auto applied = m_store.applyBatch(writes);
        if (applied) {
            const auto &outcome = applied->outcomes.back();
            if (outcome.applied) {
                return outcome.modRevision;
            }
            return isUncertain ? resolve(record, outcome.current)
                               : makeError(error_kind::conflict, key, "changed in the meantime");
        }
        if (applied.error().kind == error_kind::outcome_unknown) {
            isUncertain = true;
        } else if (!isUncertain) {
            return tl::unexpected(storeError(applied.error()));
        }
    }
    return makeError(error_kind::outcome_unknown, key,
                     "the store does not answer; look up the change id in the history");
}

result<store_revision> operators_api::resolve(const catalogue_record &record,
                                              const std::optional<kv_entry> &current)
{
    const std::string key = historyKey(record.version);
    if (current) {
        const auto now = decodeCatalogueRecord(current->value);
        if (now && now->changeId == record.changeId) {
            return current->modRevision;
        }
    }
    // The change may have been accepted and already been followed by another.
    for (int i = 0; i < maxWriteTries; ++i) {
        const auto kept = readCatalogue(key);
        if (kept) {
            return kept->record.changeId == record.changeId
                       ? result<store_revision>(kept->revision)
                       : makeError(error_kind::conflict, key, "another change has this version");
        }
    }
    return makeError(error_kind::outcome_unknown, key,
                     "the store does not answer; look up the change id in the history");
}

json operators_api::takeEffect(const configuration_documents &documents)
{
    json others = json::array();
    const auto accepted = m_cache.accept(documents);
    if (m_options.publish) {
        for (const auto &effect : m_options.publish(documents)) {
            json item {{"incarnation", effect.member.incarnation},
                       {"address", toString(effect.member.address)},
                       {"role", nameOf(effect.member.role)},
                       {"data_centre", effect.member.dataCentre},
                       {"in_effect", effect.inEffect}};
            if (!effect.detail.empty()) {
                item["detail"] = effect.detail;
            }
            others.push_back(std::move(item));
        }
    }
    return {{"in_effect_here", accepted.has_value()}, {"members", std::move(others)}};
}

http_response operators_api::listHistory()
{
    const auto found = m_store.range({std::string(historyPrefix), true, true});
    if (!found) {
        return answerError(storeError(found.error()));
    }
    json versions = json::array();
    for (const auto &entry : found->entries) {
        const auto digits = std::string_view(entry.key).substr(historyPrefix.size());
        if (const auto version = parseNumber(digits)) {
            versions.push_back({{"version", *version}, {"revision", entry.modRevision}});
        }
    }
    return answerJson(200, {{"versions", std::move(versions)}});
}

http_response operators_api::getHistory(std::string_view version)
{
    const auto number = parseNumber(version);
    const auto found = readCatalogue(historyKey(number.value_or(0)));
    if (!found) {
        return answerError(found.error());
    }
    if (!number || found->revision == 0) {
        return answerError({error_kind::unknown_entity, "version " + std::string(version),
                            "not in the history", milliseconds {0}, 0});
    }
    return answerCatalogue(found->record, found->revision);
}

http_response operators_api::listKeys()
{
    const auto stored = readKeys();
    if (!stored) {
        return answerError(stored.error());
    }
    json keys = json::array();
    for (const auto &key : stored->list.keys) {
        json item {{"id", key.id}, {"team", key.team}, {"created_at_ms", key.createdAt.count()}};
        if (key.revokedAt) {
            item["revoked_at_ms"] = key.revokedAt->count();
        }
        keys.push_back(std::move(item));
    }
    return answerJson(200, {{"revision", stored->revision}, {"keys", std::move(keys)}});
}

result<operators_api::stored_keys> operators_api::changeKeys(const keys_edit &edit)
{
    const std::string key(keysKey);
    bool isUncertain = false;
    error last {error_kind::conflict, key, "changed by others again and again", milliseconds {0},
                0};
    for (int i = 0; i < maxWriteTries; ++i) {
        auto stored = readKeys();
        if (!stored) {
            last = stored.error();
            if (isUncertain) {
                continue;
            }
            return stored;
        }
        const auto changed = edit(stored->list);
        if (!changed) {
            return tl::unexpected(changed.error());
        }
        if (!*changed) {
            return stored; // Also after a lost response: the change is found in what was read.
        }
        stored->text = encodeKeys(stored->list);
        const std::array<conditional_write, 1> write {
            {{key, stored->revision, std::nullopt, stored->text, 0}}};
        const auto applied = m_store.applyBatch(write);
        if (applied && applied->outcomes.front().applied) {
            stored->revision = applied->outcomes.front().modRevision;
            return stored;
        }
        if (!applied) {
            last = storeError(applied.error());
            isUncertain = isUncertain || last.kind == error_kind::outcome_unknown;
            if (!isUncertain) {
                return tl::unexpected(last);
            }
        }
    }
    if (isUncertain) {
        last.kind = error_kind::outcome_unknown;
    }
    return tl::unexpected(last);
}

http_response operators_api::createKey(const http_request &request)
{
    const auto document = parseDocument(request.body);
    if (!document) {
        return answerProblems(document.error());
    }
    std::vector<document_problem> problems;
    object_reader reader(*document, "", problems);
    const std::string team = reader.name("team");
    reader.finish();
    if (!problems.empty()) {
        return answerProblems(problems);
    }
    const auto current = readCatalogue(std::string(catalogueKey));
    if (!current) {
        return answerError(current.error());
    }
    if (findTeam(current->record.value, team) == nullptr) {
        return answerError({error_kind::unknown_entity, "team " + team, "not in the catalogue",
                            milliseconds {0}, 0});
    }
    auto id = randomHex(keyIdBytes);
    auto salt = randomHex(keySaltBytes);
    auto secret = randomHex(keySecretBytes);
    if (!id || !salt || !secret) {
        return answerError(
            {error_kind::internal, "random generator", "failed", milliseconds {0}, 0});
    }
    const auto now = sinceEpoch(m_clock.wallNow());
    const auto issued = makeKey(team, {*id, *salt, *secret}, now);
    const auto stored = changeKeys([&](key_list &list) -> result<bool> {
        const bool isThere = std::any_of(list.keys.begin(), list.keys.end(),
                                         [&](const auto &key) { return key.id == *id; });
        if (isThere) {
            return false;
        }
        const auto added = addKey(list, issued.record, now);
        return added ? result<bool>(true) : tl::unexpected(added.error());
    });
    if (!stored) {
        return answerError(stored.error(), {{"id", *id}});
    }
    logEvent(log_level::info, "key_created",
             {{"id", *id}, {"team", team}, {"revision", stored->revision}});
    json answer {
        {"id", *id}, {"team", team}, {"key", issued.plaintext}, {"revision", stored->revision}};
    answer.update(takeEffect({{}, {stored->text, stored->revision}}));
    return answerJson(201, answer);
}

http_response operators_api::withdrawKey(std::string_view id)
{
    const auto now = sinceEpoch(m_clock.wallNow());
    const auto stored = changeKeys([&](key_list &list) -> result<bool> {
        const auto found = std::find_if(list.keys.begin(), list.keys.end(),
                                        [&](const auto &key) { return key.id == id; });
        if (found != list.keys.end() && found->revokedAt) {
            return false;
        }
        const auto revoked = revokeKey(list, id, now);
        return revoked ? result<bool>(true) : tl::unexpected(revoked.error());
    });
    if (!stored) {
        return answerError(stored.error());
    }
    logEvent(log_level::info, "key_revoked", {{"id", id}, {"revision", stored->revision}});
    json answer {{"id", id}, {"revision", stored->revision}};
    answer.update(takeEffect({{}, {stored->text, stored->revision}}));
    return answerJson(200, answer);
}

http_response operators_api::getStatus() const
{
    const auto view = m_cache.view();
    json freshness {{"state", nameOf(view.freshness.state)}, {"reason", view.freshness.reason}};
    if (view.freshness.verifiedAt) {
        freshness["contact_age_ms"] = ageMs(m_clock.now(), *view.freshness.verifiedAt);
    }
    json members = json::array();
    for (const auto &member : m_cache.members()) {
        members.push_back(memberJson(member));
    }
    return answerJson(200, {{"self", memberJson(m_cache.self())},
                            {"revisions",
                             {{"catalogue", view.current->revisions.catalogue},
                              {"keys", view.current->revisions.keys}}},
                            {"catalogue_version", view.current->catalogue.version},
                            {"freshness", std::move(freshness)},
                            {"members", std::move(members)}});
}

http_response operators_api::getHosts() const
{
    const auto view = m_options.hosts ? m_options.hosts() : host_list_view {};
    if (!view.readAt) {
        return answerError({error_kind::not_ready, "host list",
                            "not read since the process started", milliseconds {0}, 0});
    }
    json hosts = json::array();
    for (const auto &host : view.list.hosts) {
        hosts.push_back(toJson(host));
    }
    return answerJson(200, {{"version", view.list.version},
                            {"age_ms", ageMs(m_clock.now(), *view.readAt)},
                            {"hosts", std::move(hosts)}});
}

http_response operators_api::getBurn() const
{
    if (m_options.burn == nullptr) {
        return answerError({error_kind::unknown_entity, "burn", "not counted by this process",
                            milliseconds {0}, 0});
    }
    const auto config = m_cache.view().current;
    const auto histories = m_options.burn->history();
    json services = json::object();
    for (const auto &service : config->catalogue.value.services) {
        const auto found = histories.find(service.name);
        json item = toJson(found == histories.end() ? service_history {} : found->second);
        item["latency_objective_ms"] = service.latencyObjective.count();
        item["availability_objective"] = service.availabilityObjective;
        services[service.name] = std::move(item);
    }
    json entries = json::array();
    for (const auto &member : m_cache.members()) {
        if (member.role == member_role::entry) {
            entries.push_back(member.incarnation);
        }
    }
    return answerJson(200, {{"incarnation", m_cache.self().incarnation},
                            {"other_entries", std::move(entries)},
                            {"catalogue_revision", config->revisions.catalogue},
                            {"since_ms", m_options.burn->since().count()},
                            {"now_ms", sinceEpoch(m_clock.wallNow()).count()},
                            {"services", std::move(services)}});
}

} // namespace ibishinge
