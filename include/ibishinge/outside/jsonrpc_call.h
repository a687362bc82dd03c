#pragma once

// Included by a C++14 file: nothing here may need a later standard.

#include <string>

namespace ibishinge {

/// Carries the text of one JSON-RPC request to the other side.
class jsonrpc_transport
{
public:
    virtual ~jsonrpc_transport() = default;

    /// Returns false if there is no response; the implementation keeps the reason.
    virtual bool exchangeText(const std::string &request, std::string &response) = 0;
};

/// What became of a call.
struct jsonrpc_outcome
{
    enum class status { answered, not_carried, rejected };

    status state = status::not_carried;
    std::string text; ///< the result as JSON if answered, else the reason
};

/// Calls `method` with parameters given as a JSON object. Thread-safe for different transports.
jsonrpc_outcome callJsonrpc(jsonrpc_transport &transport, const std::string &method,
                            const std::string &parameters);

} // namespace ibishinge
