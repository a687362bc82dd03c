#include <ibishinge/outside/request_framing.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>

namespace ibishinge {

namespace {

/// Counts the fields that say how long the body is.
std::ptrdiff_t countFramingFields(const http_request &request)
{
    return std::count_if(
        request.headers.begin(), request.headers.end(), [](const http_header &header) {
            const std::vector<http_header> one {header};
            return findHeader(one, "Content-Length") || findHeader(one, "Transfer-Encoding");
        });
}

} // namespace

std::optional<std::uint64_t> announcedLength(const http_request &request)
{
    const auto length = findHeader(request.headers, "Content-Length");
    if (!length) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const char *end = length->data() + length->size();
    const auto parsed = std::from_chars(length->data(), end, value);
    return parsed.ec == std::errc {} && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

bool hasAmbiguousLength(const http_request &request)
{
    if (countFramingFields(request) > 1) {
        return true;
    }
    return findHeader(request.headers, "Content-Length") && !announcedLength(request);
}

http_response unreadRequestResponse(error_kind kind, std::string_view message)
{
    const auto &answer = answerFor(kind);
    std::string body = R"({"error":")";
    body += answer.name;
    body += R"(","run":"attempt_not_run","message":")";
    body += message;
    body += "\"}\n";
    auto response = jsonResponse(answer.httpStatus, std::move(body));
    // The rest of the request was not read, so the connection cannot be used again.
    response.headers.push_back({"Connection", "close"});
    return response;
}

std::optional<http_response> refuseByFraming(const http_request &request, std::size_t maxBodyBytes)
{
    if (request.headers.size() >= maxHeaderCount) {
        return unreadRequestResponse(error_kind::invalid_request, "too many headers");
    }
    if (hasAmbiguousLength(request)) {
        return unreadRequestResponse(error_kind::invalid_request, "ambiguous body length");
    }
    if (const auto coding = findHeader(request.headers, "Transfer-Encoding");
        coding && *coding != "chunked") {
        return unreadRequestResponse(error_kind::invalid_request, "unknown transfer coding");
    }
    if (const auto length = announcedLength(request); length && *length > maxBodyBytes) {
        return unreadRequestResponse(error_kind::too_large, "body above the bound");
    }
    return std::nullopt;
}

http_response overBudgetResponse()
{
    auto response =
        unreadRequestResponse(error_kind::overloaded, "no memory for the body at present");
    response.headers.push_back({"Retry-After", "1"});
    return response;
}

http_response shuttingDownResponse()
{
    return unreadRequestResponse(error_kind::shutting_down, "the process is stopping");
}

http_response failedResponse()
{
    return jsonResponse(answerFor(error_kind::internal).httpStatus,
                        R"({"error":"internal","run":"may_have_run","message":"see the log"})");
}

http_response unansweredResponse()
{
    return jsonResponse(
        answerFor(error_kind::target_timeout).httpStatus,
        R"({"error":"target_timeout","run":"may_have_run","message":"no answer in time"})");
}

} // namespace ibishinge
