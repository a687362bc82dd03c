#pragma once

#include <ibishinge/base/time.h>
#include <ibishinge/decision/freshness.h>
#include <ibishinge/decision/keys.h>
#include <ibishinge/outside/kv_store.h>
#include <ibishinge/outside/peer_client.h>
#include <ibishinge/state/catalogue_record.h>
#include <ibishinge/state/peer_directory.h>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace ibishinge {

/// The configuration at one moment. Immutable once it is shared.
struct configuration
{
    catalogue_record catalogue; ///< version 0: there is none yet
    key_list keys;
    configuration_revisions revisions;
};

/// What a request is decided by.
struct configuration_view
{
    std::shared_ptr<const configuration> current; ///< never null
    freshness_decision freshness; ///< as of the call that returned the view
};

struct configuration_cache_options
{
    member_info self;
    freshness_policy policy; ///< other than the default only in tests
    /// Returns the targets that are leaving, for the other members. May be empty.
    std::function<std::vector<std::string>()> leavingTargets;
    /// Takes the targets that another member reported as leaving. May be empty.
    std::function<void(const std::vector<std::string> &)> learnLeavingTargets;
};

/// The newest configuration that this process knows of, and how far it may be relied on.
///
/// Documents come from the store and from other members; a document replaces the held one only if
/// its revision is higher. Thread-safe; no lock is held during calls to the store or to members.
class configuration_cache final : public peer_handler
{
public:
    /// Precondition: `store` and `clock` outlive the object.
    [[nodiscard]] static std::unique_ptr<configuration_cache>
    create(kv_store &store, const clock_source &clock, configuration_cache_options options);

    /// Reads the revisions under `config/` and the documents that changed. Call every
    /// `pollInterval`. One call to the store, and one for each changed document.
    ///
    /// Errors: those of the store; `not_ready` if the store answered with an older state than was
    /// seen before; `invalid_request` for a document that cannot be read.
    [[nodiscard]] result<void> poll();

    /// Returns the members to exchange with now, every `pollInterval`: some in turn while the proof
    /// is young, and all as soon as a poll has failed. Asking all each second would take more than
    /// the 16 KB/s of a daemon at 16 members.
    [[nodiscard]] std::vector<member_info> membersOfRound();

    /// Exchanges state with one member and fetches its configuration if that is newer. Call for
    /// each of `membersOfRound()`, for several at once.
    /// Errors: those of `peer_client`.
    [[nodiscard]] result<void> exchangeWith(const member_info &member, peer_client &peers);

    /// Takes the documents that are newer than the held ones.
    /// Errors: `invalid_request` for a document that cannot be read; the other one is still taken.
    [[nodiscard]] result<void> accept(const configuration_documents &documents);

    /// Takes the store's list of members, from `membership`.
    void noteListed(const std::vector<member_info> &listed);
    /// Takes the hosts of members that the host list does not contain.
    void noteAbsentHosts(std::set<std::string> hosts);

    /// Returns the configuration with the verdict as of now.
    [[nodiscard]] configuration_view view() const;
    /// Returns this process as the other members see it.
    [[nodiscard]] const member_info &self() const noexcept
    {
        return m_options.self;
    }
    /// Returns the other members known.
    [[nodiscard]] std::vector<member_info> members() const;

    /// `peer_handler`: what the other members call.
    exchange_message exchange(const exchange_message &message) override;
    configuration_documents fetchConfiguration() override;
    configuration_revisions push(const configuration_documents &documents) override;

private:
    configuration_cache(kv_store &store, const clock_source &clock,
                        configuration_cache_options options);

    [[nodiscard]] exchange_message ownMessage();
    [[nodiscard]] freshness_input input() const; ///< precondition: m_mutex is held
    [[nodiscard]] result<configuration_document> read(std::string_view key, std::int64_t revision);
    [[nodiscard]] result<configuration_documents> readChanged(const configuration_revisions &seen);

    kv_store &m_store;
    const clock_source &m_clock;
    const configuration_cache_options m_options;
    mutable std::mutex m_mutex;
    std::shared_ptr<const configuration> m_current;
    configuration_documents m_documents; ///< texts of `m_current`, for other members
    std::optional<monotonic_time> m_verifiedAt;
    store_revision m_storeRevision = 0; ///< highest one known
    peer_directory m_directory;
};

} // namespace ibishinge
