#include <ibishinge/outside/http_target_client.h>

#include <charconv>

namespace ibishinge {

namespace {

/// HTTP status with which a target that is full or leaving rejects a request it did not run.
constexpr int rejectedStatus = 503;

std::optional<int> parseLoad(const http_response &response)
{
    const auto text = findHeader(response.headers, "Ibishinge-Load");
    int value = 0;
    if (!text
        || std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc {}) {
        return std::nullopt;
    }
    return value;
}

bool isTrue(const http_response &response, std::string_view header)
{
    return findHeader(response.headers, header) == "true";
}

class http_target_client final : public target_client
{
public:
    explicit http_target_client(http_client &client)
        : m_client(client)
    {
    }

    result<target_reply> call(const endpoint &target, const target_call &call,
                              std::chrono::milliseconds timeout) override
    {
        http_request request;
        request.method = "POST";
        request.path = "/run";
        request.headers = {{"Ibishinge-Request-Id", call.requestId},
                           {"Ibishinge-Attempt-Id", call.attemptId},
                           {"Ibishinge-Team", call.team},
                           {"Ibishinge-Service", call.service},
                           {"Content-Type", "application/octet-stream"}};
        request.body = call.body;
        const auto use = call.idempotent ? connection_use::reuse_allowed : connection_use::fresh;
        auto response = m_client.send(target, request, timeout, use);
        if (!response) {
            return tl::unexpected(response.error());
        }
        target_reply reply;
        reply.status = response->status;
        reply.contentType = std::string(
            findHeader(response->headers, "Content-Type").value_or("application/octet-stream"));
        reply.rejected =
            response->status == rejectedStatus && isTrue(*response, "Ibishinge-Not-Run");
        reply.leaving = isTrue(*response, "Ibishinge-Leaving");
        reply.load = parseLoad(*response);
        reply.body = std::move(response->body);
        return reply;
    }

private:
    http_client &m_client;
};

} // namespace

std::unique_ptr<target_client> makeHttpTargetClient(http_client &client)
{
    return std::make_unique<http_target_client>(client);
}

} // namespace ibishinge
