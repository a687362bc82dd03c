#pragma once

#include <ibishinge/base/endpoint.h>
#include <ibishinge/base/error.h>
#include <ibishinge/outside/http_message.h>

#include <functional>
#include <string>
#include <vector>

namespace ibishinge {

/// Sends one request and returns the complete response. Errors: those of `http_client::send`.
using operators_transport =
    std::function<result<http_response>(const endpoint &, const http_request &)>;

/// Calls the operators' API of any of several entry processes.
///
/// \code
/// const operators_client client({*parseEndpoint("127.0.0.1:7001")}, token, transport);
/// const auto response = client.call({"GET", "/v1/catalogue"});
/// \endcode
class operators_client
{
public:
    operators_client(std::vector<endpoint> addresses, std::string token,
                     operators_transport transport);

    /// Sends `request` with the token to the first address that takes it. The next address is
    /// tried if no byte was sent, and for a `GET` after any failure, since a frozen process accepts
    /// connections. A change that may have arrived is never sent a second time.
    ///
    /// Errors: the last address's failure. Thread-safe if the transport is.
    [[nodiscard]] result<http_response> call(const http_request &request) const;

    /// Like `call`, for one address only.
    [[nodiscard]] result<http_response> callAt(const endpoint &where, http_request request) const;

    [[nodiscard]] const std::vector<endpoint> &addresses() const noexcept
    {
        return m_addresses;
    }

private:
    std::vector<endpoint> m_addresses;
    std::string m_token;
    operators_transport m_transport;
};

} // namespace ibishinge
