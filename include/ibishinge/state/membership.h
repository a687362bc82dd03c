#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/base/member_info.h>
#include <ibishinge/outside/kv_store.h>
#include <ibishinge/state/document_reader.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge {

inline constexpr std::string_view memberPrefix = "member/";

/// Time after which the store drops the record of a member that does not renew it. Three renewals;
/// a pool without owner is taken over within the 4.9 s in which urgent work starts.
inline constexpr std::chrono::seconds memberTtl {3};

/// Thread-safe.
[[nodiscard]] nlohmann::json toJson(const member_info &value);

/// Reads what `toJson` returned. Thread-safe.
[[nodiscard]] document_result<member_info> parseMember(const nlohmann::json &document);

/// This process's record `member/<incarnation>` in the store, and those of the others. Thread-safe.
class membership
{
public:
    /// Precondition: `store` outlives the object.
    [[nodiscard]] static std::unique_ptr<membership> create(kv_store &store, member_info self);

    /// Renews the lease, creates the record if it is missing, and reads the other records if their
    /// revisions changed. Call once a second. Two calls to the store; one more if a record changed,
    /// and two more if the own one has to be created.
    /// Errors: those of the store; the next call goes on from there.
    [[nodiscard]] result<void> renew();

    /// Deletes the record, so that the others need not wait for the lease to expire.
    /// Errors: those of the store.
    [[nodiscard]] result<void> leave();

    /// Returns the other members as of the last `renew` that read them.
    [[nodiscard]] std::vector<member_info> others() const;

    /// Returns the lease of the record, for records that are to vanish with it; 0 if there is none.
    [[nodiscard]] lease_id lease() const;

private:
    membership(kv_store &store, member_info self);

    [[nodiscard]] result<void> createRecord();
    [[nodiscard]] result<void> list();

    kv_store &m_store;
    const member_info m_self;
    const std::string m_key;
    std::mutex m_renewing; ///< held during calls to the store
    mutable std::mutex m_mutex;
    lease_id m_lease = 0;
    std::vector<member_info> m_others;
    std::map<std::string, store_revision> m_revisions; ///< of `m_others`; guarded by m_renewing
};

} // namespace ibishinge
