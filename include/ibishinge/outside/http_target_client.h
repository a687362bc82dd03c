#pragma once

#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/target_client.h>

namespace ibishinge {

/// Sends requests to targets as `POST /run` over HTTP/1.1.
///
/// Precondition: `client` outlives the returned object.
[[nodiscard]] std::unique_ptr<target_client> makeHttpTargetClient(http_client &client);

} // namespace ibishinge
