#include <ibishinge/state/membership.h>

#include <ibishinge/base/logging.h>

#include <array>

namespace ibishinge {

namespace {

constexpr std::size_t maxTextLength = 255;

std::map<std::string, store_revision> revisionsOf(const range_result &read)
{
    std::map<std::string, store_revision> revisions;
    for (const auto &entry : read.entries) {
        revisions.emplace(entry.key, entry.modRevision);
    }
    return revisions;
}

} // namespace

nlohmann::json toJson(const member_info &value)
{
    return {{"incarnation", value.incarnation},
            {"address", toString(value.address)},
            {"host", value.host},
            {"data_centre", value.dataCentre},
            {"role", nameOf(value.role)}};
}

document_result<member_info> parseMember(const nlohmann::json &document)
{
    std::vector<document_problem> problems;
    object_reader reader(document, "", problems);
    member_info read;
    read.incarnation = reader.name("incarnation");
    const auto address = parseEndpoint(reader.text("address", maxTextLength));
    if (address) {
        read.address = *address;
    } else {
        reader.report("/address", address.error().place, "ADDRESS:PORT");
    }
    read.host = reader.text("host", maxTextLength);
    read.dataCentre = reader.text("data_centre", maxTextLength);
    read.role = reader.choice("role", {"entry", "control"}) == 1 ? member_role::control
                                                                 : member_role::entry;
    // Unknown fields are ignored, so that members of a newer version can be listed.
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return read;
}

std::unique_ptr<membership> membership::create(kv_store &store, member_info self)
{
    return std::unique_ptr<membership>(new membership(store, std::move(self)));
}

membership::membership(kv_store &store, member_info self)
    : m_store(store)
    , m_self(std::move(self))
    , m_key(std::string(memberPrefix) + m_self.incarnation)
{
}

result<void> membership::createRecord()
{
    const auto granted = m_store.grantLease(memberTtl);
    if (!granted) {
        return tl::unexpected(granted.error());
    }
    // Unconditional: only this process writes this key.
    const std::array<conditional_write, 1> write {
        {{m_key, {}, {}, toJson(m_self).dump(), *granted}}};
    const auto written = m_store.applyBatch(write);
    if (!written) {
        return tl::unexpected(written.error());
    }
    if (!written->outcomes.front().applied) {
        return makeError(error_kind::conflict, m_key, "the lease expired before it was used");
    }
    const std::lock_guard lock(m_mutex);
    m_lease = *granted;
    return {};
}

result<void> membership::list()
{
    const auto polled = m_store.range({std::string(memberPrefix), true, true});
    if (!polled) {
        return tl::unexpected(polled.error());
    }
    auto revisions = revisionsOf(*polled);
    if (!revisions.contains(m_key)) {
        const std::lock_guard lock(m_mutex);
        m_lease = 0; // The record is created again by the next renewal.
    }
    if (revisions == m_revisions) {
        return {};
    }
    const auto read = m_store.range({std::string(memberPrefix), true, false});
    if (!read) {
        return tl::unexpected(read.error());
    }
    std::vector<member_info> others;
    for (const auto &entry : read->entries) {
        if (entry.key == m_key) {
            continue;
        }
        const auto document = parseDocument(entry.value);
        const auto member = document
                                ? parseMember(*document)
                                : document_result<member_info>(tl::unexpected(document.error()));
        if (member) {
            others.push_back(*member);
        } else {
            logEvent(log_level::warning, "member_record_malformed",
                     {{"key", entry.key}, {"problems", describe(member.error())}});
        }
    }
    const std::lock_guard lock(m_mutex);
    m_others = std::move(others);
    m_revisions = revisionsOf(*read);
    return {};
}

result<void> membership::renew()
{
    const std::lock_guard renewing(m_renewing);
    lease_id current = lease();
    if (current != 0) {
        auto kept = m_store.keepAlive(current);
        if (!kept && kept.error().kind != error_kind::unknown_entity) {
            return kept;
        }
        if (!kept) {
            logEvent(log_level::warning, "member_lease_expired",
                     {{"incarnation", m_self.incarnation}});
            current = 0;
        }
    }
    if (current == 0) {
        if (auto created = createRecord(); !created) {
            return created;
        }
    }
    return list();
}

result<void> membership::leave()
{
    const std::lock_guard renewing(m_renewing);
    const lease_id current = lease();
    if (current == 0) {
        return {};
    }
    auto revoked = m_store.revokeLease(current);
    if (revoked) {
        const std::lock_guard lock(m_mutex);
        m_lease = 0;
    }
    return revoked;
}

std::vector<member_info> membership::others() const
{
    const std::lock_guard lock(m_mutex);
    return m_others;
}

lease_id membership::lease() const
{
    const std::lock_guard lock(m_mutex);
    return m_lease;
}

} // namespace ibishinge
