#pragma once

#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/error.h>
#include <ibishinge/base/member_info.h>
#include <ibishinge/decision/freshness.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ibishinge {

/// What two members tell each other once a second.
struct exchange_message
{
    member_info sender;
    configuration_revisions revisions; ///< held by the sender
    std::int64_t storeRevision = 0; ///< highest revision of the store that the sender knows of
    std::optional<std::chrono::milliseconds>
        verificationAge; ///< of the proof that they are current
    std::vector<std::string> leavingTargets; ///< targets that receive no new work
    /// Other members known to the sender. Only in answers, and only if the digests differ: the full
    /// list in each message would grow a member's traffic with the square of their number.
    std::vector<member_info> members;
    std::string membersDigest; ///< of the addresses known to the sender, with its own
};

/// A document of the configuration as stored. Revision 0: there is none.
struct configuration_document
{
    std::string text;
    std::int64_t revision = 0;
};

struct configuration_documents
{
    configuration_document catalogue;
    configuration_document keys;
};

/// Calls other members. Implementations are thread-safe and block.
///
/// Errors of all functions: `unavailable` if the member was not reached, with `isConnectionRefused`
/// if nothing listens at the address; `target_timeout`; `unauthorized` if the member rejects the
/// shared secret; `target_failed` for a malformed answer.
class peer_client
{
public:
    virtual ~peer_client() = default;

    [[nodiscard]] virtual result<exchange_message> exchange(const endpoint &to,
                                                            const exchange_message &message,
                                                            std::chrono::milliseconds timeout) = 0;

    [[nodiscard]] virtual result<configuration_documents>
    fetchConfiguration(const endpoint &to, std::chrono::milliseconds timeout) = 0;

    /// Hands over documents and returns the revisions that the member then has in effect.
    [[nodiscard]] virtual result<configuration_revisions>
    push(const endpoint &to, const configuration_documents &documents,
         std::chrono::milliseconds timeout) = 0;
};

/// The other side of `peer_client`. Implementations are thread-safe.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    [[nodiscard]] virtual exchange_message exchange(const exchange_message &message) = 0;
    [[nodiscard]] virtual configuration_documents fetchConfiguration() = 0;
    [[nodiscard]] virtual configuration_revisions
    push(const configuration_documents &documents) = 0;
};

} // namespace ibishinge
