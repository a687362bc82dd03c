#include <ibishinge/state/configuration_cache.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/state/keys_record.h>

#include <algorithm>
#include <utility>

namespace ibishinge {

namespace {

constexpr std::string_view configurationPrefix = "config/";

configuration_revisions revisionsOf(const range_result &polled)
{
    configuration_revisions seen;
    for (const auto &entry : polled.entries) {
        if (entry.key == catalogueKey) {
            seen.catalogue = entry.modRevision;
        } else if (entry.key == keysKey) {
            seen.keys = entry.modRevision;
        }
    }
    return seen;
}

error malformed(std::string_view key, const std::vector<document_problem> &problems)
{
    logEvent(log_level::error, "configuration_malformed",
             {{"key", key}, {"problems", describe(problems)}});
    return {error_kind::invalid_request, std::string(key), describe(problems), milliseconds {0}, 0};
}

} // namespace

std::unique_ptr<configuration_cache>
configuration_cache::create(kv_store &store, const clock_source &clock,
                            configuration_cache_options options)
{
    return std::unique_ptr<configuration_cache>(
        new configuration_cache(store, clock, std::move(options)));
}

configuration_cache::configuration_cache(kv_store &store, const clock_source &clock,
                                         configuration_cache_options options)
    : m_store(store)
    , m_clock(clock)
    , m_options(std::move(options))
    , m_current(std::make_shared<const configuration>())
    , m_directory(m_options.self)
{
}

result<configuration_document> configuration_cache::read(std::string_view key,
                                                         std::int64_t revision)
{
    auto found = m_store.range({std::string(key), false, false});
    if (!found) {
        return tl::unexpected(found.error());
    }
    if (found->entries.empty() || found->entries.front().modRevision < revision) {
        return makeError(error_kind::not_ready, std::string(key),
                         "the store answered with an older state");
    }
    return configuration_document {std::move(found->entries.front().value),
                                   found->entries.front().modRevision};
}

result<configuration_documents>
configuration_cache::readChanged(const configuration_revisions &seen)
{
    const auto held = view().current->revisions;
    configuration_documents changed;
    if (seen.catalogue > held.catalogue) {
        auto document = read(catalogueKey, seen.catalogue);
        if (!document) {
            return tl::unexpected(document.error());
        }
        changed.catalogue = std::move(*document);
    }
    if (seen.keys > held.keys) {
        auto document = read(keysKey, seen.keys);
        if (!document) {
            return tl::unexpected(document.error());
        }
        changed.keys = std::move(*document);
    }
    return changed;
}

result<void> configuration_cache::poll()
{
    store_revision known = 0;
    {
        const std::lock_guard lock(m_mutex);
        known = m_storeRevision;
    }
    // The proof counts from the start: the read may have been served at any moment after it.
    const auto startedAt = m_clock.now();
    const auto polled = m_store.range({std::string(configurationPrefix), true, true});
    if (!polled) {
        return tl::unexpected(polled.error());
    }
    if (polled->revision < known) {
        return makeError(error_kind::not_ready, "store",
                         "answered as of revision " + std::to_string(polled->revision)
                             + ", known is " + std::to_string(known));
    }
    const auto seen = revisionsOf(*polled);
    const auto changed = readChanged(seen);
    if (!changed) {
        return tl::unexpected(changed.error());
    }
    auto accepted = accept(*changed);
    const std::lock_guard lock(m_mutex);
    m_storeRevision = std::max(m_storeRevision, polled->revision);
    if (covers(m_current->revisions, seen)) {
        m_verifiedAt = std::max(m_verifiedAt.value_or(startedAt), startedAt);
    }
    return accepted;
}

result<void> configuration_cache::accept(const configuration_documents &documents)
{
    // Parsing happens outside the lock; the revisions are compared again inside.
    const auto held = view().current->revisions;
    std::optional<error> problem;
    std::optional<catalogue_record> newCatalogue;
    std::optional<key_list> newKeys;
    if (documents.catalogue.revision > held.catalogue) {
        if (auto parsed = decodeCatalogueRecord(documents.catalogue.text)) {
            newCatalogue = std::move(*parsed);
        } else {
            problem = malformed(catalogueKey, parsed.error());
        }
    }
    if (documents.keys.revision > held.keys) {
        if (auto parsed = decodeKeys(documents.keys.text)) {
            newKeys = std::move(*parsed);
        } else {
            problem = malformed(keysKey, parsed.error());
        }
    }
    if (newCatalogue || newKeys) {
        const std::lock_guard lock(m_mutex);
        auto next = std::make_shared<configuration>(*m_current);
        if (newCatalogue && documents.catalogue.revision > next->revisions.catalogue) {
            next->catalogue = std::move(*newCatalogue);
            next->revisions.catalogue = documents.catalogue.revision;
            m_documents.catalogue = documents.catalogue;
        }
        if (newKeys && documents.keys.revision > next->revisions.keys) {
            next->keys = std::move(*newKeys);
            next->revisions.keys = documents.keys.revision;
            m_documents.keys = documents.keys;
        }
        m_current = std::move(next);
    }
    if (problem) {
        return tl::unexpected(std::move(*problem));
    }
    return {};
}

exchange_message configuration_cache::ownMessage()
{
    exchange_message message;
    if (m_options.leavingTargets) {
        message.leavingTargets = m_options.leavingTargets();
    }
    const std::lock_guard lock(m_mutex);
    message.sender = m_options.self;
    message.revisions = m_current->revisions;
    message.storeRevision = m_storeRevision;
    if (m_verifiedAt) {
        // Rounded up, so that the contact never appears more recent than it is.
        message.verificationAge = std::chrono::ceil<milliseconds>(m_clock.now() - *m_verifiedAt);
    }
    message.members = m_directory.members();
    message.membersDigest = m_directory.digest();
    return message;
}

result<void> configuration_cache::exchangeWith(const member_info &member, peer_client &peers)
{
    const auto startedAt = m_clock.now();
    auto message = ownMessage();
    message.members.clear(); // The member takes them from the answer when it asks in its turn.
    const auto answer = peers.exchange(member.address, message, exchangeTimeout);
    if (!answer) {
        if (isConnectionRefused(answer.error())) {
            const std::lock_guard lock(m_mutex);
            m_directory.noteRefusal(member.address, startedAt);
        }
        // Without an answer the last report stands until it is too old.
        return tl::unexpected(answer.error());
    }
    if (m_options.learnLeavingTargets) {
        m_options.learnLeavingTargets(answer->leavingTargets);
    }
    bool isNewer = false;
    {
        const std::lock_guard lock(m_mutex);
        m_storeRevision = std::max(m_storeRevision, answer->storeRevision);
        m_directory.noteAnswer(member.address, *answer, startedAt);
        m_directory.noteNamed(answer->members, startedAt);
        isNewer = !covers(m_current->revisions, answer->revisions);
    }
    result<void> outcome;
    if (isNewer) {
        const auto documents = peers.fetchConfiguration(member.address, exchangeTimeout);
        outcome = documents ? accept(*documents) : tl::unexpected(documents.error());
    }
    const std::lock_guard lock(m_mutex);
    m_verifiedAt = decideFreshness(input()).verifiedAt;
    return outcome;
}

void configuration_cache::noteListed(const std::vector<member_info> &listed)
{
    const std::lock_guard lock(m_mutex);
    m_directory.noteListed(listed, m_clock.now());
}

void configuration_cache::noteAbsentHosts(std::set<std::string> hosts)
{
    const std::lock_guard lock(m_mutex);
    m_directory.noteAbsentHosts(std::move(hosts));
}

freshness_input configuration_cache::input() const
{
    return {m_clock.now(), m_verifiedAt, m_current->revisions, m_directory.reports()};
}

configuration_view configuration_cache::view() const
{
    const std::lock_guard lock(m_mutex);
    return {m_current, decideFreshness(input(), m_options.policy)};
}

std::vector<member_info> configuration_cache::members() const
{
    const std::lock_guard lock(m_mutex);
    return m_directory.members();
}

std::vector<member_info> configuration_cache::membersOfRound()
{
    const std::lock_guard lock(m_mutex);
    if (!m_verifiedAt || m_clock.now() - *m_verifiedAt > fullRoundVerificationAge) {
        return m_directory.members();
    }
    return m_directory.nextMembers(membersPerRound);
}

exchange_message configuration_cache::exchange(const exchange_message &message)
{
    if (m_options.learnLeavingTargets) {
        m_options.learnLeavingTargets(message.leavingTargets);
    }
    {
        const std::lock_guard lock(m_mutex);
        const auto now = m_clock.now();
        m_storeRevision = std::max(m_storeRevision, message.storeRevision);
        m_directory.noteCaller(message.sender, now);
        m_directory.noteNamed(message.members, now);
    }
    auto answer = ownMessage();
    if (answer.membersDigest == message.membersDigest) {
        answer.members.clear();
    }
    return answer;
}

configuration_documents configuration_cache::fetchConfiguration()
{
    const std::lock_guard lock(m_mutex);
    return m_documents;
}

configuration_revisions configuration_cache::push(const configuration_documents &documents)
{
    static_cast<void>(accept(documents)); // A malformed document is logged and not in effect.
    return view().current->revisions;
}

} // namespace ibishinge
