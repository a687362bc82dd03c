#pragma once

#include <ibishinge/base/listed_host.h>
#include <ibishinge/base/time.h>
#include <ibishinge/outside/http_message.h>
#include <ibishinge/outside/kv_store.h>
#include <ibishinge/outside/peer_client.h>
#include <ibishinge/service/burn_log.h>
#include <ibishinge/state/configuration_cache.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge {

/// Versions of the catalogue that are kept in the history; older ones are deleted with the next
/// change. At 1,900 changes a day this is about half a day.
inline constexpr std::int64_t keptVersions = 1000;

/// Largest stored catalogue, in bytes. A change carries it twice, for the history too, and etcd's
/// default bound of a request is 1.5 MiB.
inline constexpr std::size_t maxCatalogueBytes = 512U << 10U;

/// Whether one other member has an accepted change in effect.
struct member_effect
{
    member_info member;
    bool inEffect = false;
    std::string detail; ///< why not
};

/// Hands documents to the other members and returns what became of them.
using configuration_publisher =
    std::function<std::vector<member_effect>(const configuration_documents &)>;

/// Returns a publisher that pushes to all members of `cache` at once.
/// Precondition: `cache` and `peers` outlive it.
[[nodiscard]] configuration_publisher makePublisher(configuration_cache &cache, peer_client &peers);

/// The host list as the process last read it.
struct host_list_view
{
    host_list_snapshot list;
    std::optional<monotonic_time> readAt; ///< none: it was never read
};

struct operators_api_options
{
    std::string token; ///< secret that operators present as `Authorization: Bearer <token>`
    configuration_publisher publish; ///< may be empty
    std::function<host_list_view()> hosts {}; ///< may be empty
    const burn_log *burn = nullptr; ///< may be null
};

/// The operators' HTTP API: the catalogue, the keys, and what this process knows of the system.
///
/// Each change is one conditional write to the store. If its response is lost, the store is read
/// back until it is certain whether the change was accepted. Thread-safe; blocks.
class operators_api
{
public:
    /// Precondition: `store`, `clock` and `cache` outlive the object.
    [[nodiscard]] static std::unique_ptr<operators_api> create(kv_store &store,
                                                               const clock_source &clock,
                                                               configuration_cache &cache,
                                                               operators_api_options options);

    /// Handles one request of the operators' port.
    [[nodiscard]] http_response handle(const http_request &request);

private:
    struct stored_catalogue
    {
        catalogue_record record;
        store_revision revision = 0;
    };
    struct stored_keys
    {
        key_list list;
        std::string text;
        store_revision revision = 0;
    };
    /// Changes the list; returns false if it already is as wanted.
    using keys_edit = std::function<result<bool>(key_list &)>;

    operators_api(kv_store &store, const clock_source &clock, configuration_cache &cache,
                  operators_api_options options);

    [[nodiscard]] bool isAuthorized(const http_request &request) const;
    [[nodiscard]] http_response getCatalogue();
    [[nodiscard]] http_response checkCatalogue(const http_request &request);
    [[nodiscard]] http_response putCatalogue(const http_request &request);
    [[nodiscard]] http_response listHistory();
    [[nodiscard]] http_response getHistory(std::string_view version);
    [[nodiscard]] http_response listKeys();
    [[nodiscard]] http_response createKey(const http_request &request);
    [[nodiscard]] http_response withdrawKey(std::string_view id);
    [[nodiscard]] http_response getStatus() const;
    [[nodiscard]] http_response getHosts() const;
    [[nodiscard]] http_response getBurn() const;

    [[nodiscard]] result<stored_catalogue> readCatalogue(const std::string &key);
    [[nodiscard]] result<stored_keys> readKeys();
    [[nodiscard]] result<store_revision> writeCatalogue(const catalogue_record &record,
                                                        const std::string &text,
                                                        store_revision expected);
    [[nodiscard]] result<store_revision> resolve(const catalogue_record &record,
                                                 const std::optional<kv_entry> &current);
    [[nodiscard]] result<stored_keys> changeKeys(const keys_edit &edit);
    [[nodiscard]] http_response conflict(const catalogue &wanted, store_revision expected,
                                         const stored_catalogue &current) const;
    [[nodiscard]] nlohmann::json takeEffect(const configuration_documents &documents);

    kv_store &m_store;
    const clock_source &m_clock;
    configuration_cache &m_cache;
    const operators_api_options m_options;
};

} // namespace ibishinge
