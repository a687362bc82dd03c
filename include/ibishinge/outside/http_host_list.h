#pragma once

#include <ibishinge/outside/host_list.h>
#include <ibishinge/outside/http_client.h>

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace ibishinge {

/// Reads the host list as `GET /hosts`.
///
/// The response is `{"version": V, "hosts": [{"id", "address", "data_centre", "rack", "state":
/// "live"|"leaving", "services": [{"name", "endpoint": "ADDRESS:PORT", "slots",
/// "connections"}]}]}`. If the server gives an `ETag`, later requests carry it as `If-None-Match`,
/// and a 304 stands for the last list: at 2,500 hosts a body is 460 KB. Calls of `fetch` wait for
/// each other.
///
/// Precondition: `client` outlives the returned object.
[[nodiscard]] std::unique_ptr<host_list> makeHttpHostList(http_client &client, endpoint server);

/// Parses the body of such a response. A list with one invalid host is rejected as a whole, because
/// an absent host counts as gone. Errors: `invalid_request`, with the JSON pointer. Thread-safe.
[[nodiscard]] result<host_list_snapshot> parseHostList(const std::string &body);

/// Returns one host as the list shows it. Thread-safe.
[[nodiscard]] nlohmann::json toJson(const listed_host &host);

/// Returns the body that `parseHostList` reads. Thread-safe.
[[nodiscard]] std::string formatHostList(const host_list_snapshot &list);

} // namespace ibishinge
