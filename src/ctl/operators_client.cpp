#include <ibishinge/ctl/operators_client.h>

#include <utility>

namespace ibishinge {

operators_client::operators_client(std::vector<endpoint> addresses, std::string token,
                                   operators_transport transport)
    : m_addresses(std::move(addresses))
    , m_token(std::move(token))
    , m_transport(std::move(transport))
{
}

result<http_response> operators_client::callAt(const endpoint &where, http_request request) const
{
    request.headers.push_back({"Authorization", "Bearer " + m_token});
    return m_transport(where, request);
}

result<http_response> operators_client::call(const http_request &request) const
{
    result<http_response> last =
        makeError(error_kind::unavailable, "operators-api", "no address given");
    for (const auto &where : m_addresses) {
        last = callAt(where, request);
        if (last || (request.method != "GET" && last.error().kind != error_kind::unavailable)) {
            break;
        }
    }
    return last;
}

} // namespace ibishinge
