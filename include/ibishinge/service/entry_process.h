#pragma once

#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/error.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace ibishinge {

struct entry_process_options
{
    endpoint listen; ///< callers' API
    endpoint operatorsListen;
    endpoint peersListen;
    std::vector<endpoint> store;
    endpoint hostList;
    std::string host; ///< of this process, as named in the host list
    std::string dataCentre;
    std::string operatorsToken; ///< secret
    std::string peerSecret; ///< secret
    int threads = 256; ///< callers' connections served at once
    std::size_t maxBodyBytes = 1U << 20U;
    std::size_t maxHeaderBytes = 16U << 10U;
    std::chrono::milliseconds receiveTimeout {10000};
    std::chrono::milliseconds drainQuiet {2000}; ///< callers' silence that ends a shutdown
    std::chrono::milliseconds drainLimit {60000}; ///< longest shutdown
};

/// All threads and adapters of one entry process, wired together.
class entry_process
{
public:
    /// Starts to serve. Errors: `unavailable` if an address cannot be bound.
    [[nodiscard]] static result<std::unique_ptr<entry_process>>
    start(entry_process_options options);

    ~entry_process();
    entry_process(const entry_process &) = delete;
    entry_process &operator=(const entry_process &) = delete;

    /// Shuts down gracefully: refuses new requests with `shutting_down`, waits until those in
    /// progress have been answered and no caller has come for `drainQuiet`, then gives the
    /// allowance back and leaves the members. Blocks for at most `drainLimit` and a few calls to
    /// the store.
    void stop();

private:
    struct impl;
    explicit entry_process(std::unique_ptr<impl> state) noexcept;
    std::unique_ptr<impl> m_impl;
};

} // namespace ibishinge
