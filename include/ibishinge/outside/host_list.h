#pragma once

#include <ibishinge/base/listed_host.h>

#include <chrono>

namespace ibishinge {

/// The platform's list of hosts. It lags: a host can be gone before the list shows it.
/// Implementations are thread-safe and block.
class host_list
{
public:
    virtual ~host_list() = default;

    /// Errors: `unavailable` if the list was not reached; `target_timeout` and `target_failed` if
    /// no complete and valid list was received.
    [[nodiscard]] virtual result<host_list_snapshot> fetch(std::chrono::milliseconds timeout) = 0;
};

} // namespace ibishinge
