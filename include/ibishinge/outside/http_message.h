#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ibishinge {

/// One header field. Names compare without regard to case.
struct http_header
{
    std::string name;
    std::string value;
};

/// Returns the first field called `name`, or nothing. Thread-safe.
[[nodiscard]] std::optional<std::string_view> findHeader(const std::vector<http_header> &headers,
                                                         std::string_view name) noexcept;

struct http_request
{
    std::string method = "GET";
    std::string path = "/"; ///< with a leading slash, without the query
    std::string query;
    std::vector<http_header> headers;
    std::string body;
    std::string remoteAddress; ///< set by the server
};

/// Status of a response that is not sent: the server closes the connection instead. For stand-ins
/// that lose responses.
inline constexpr int noResponseStatus = 0;

struct http_response
{
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
};

/// Returns a response with a JSON body. Thread-safe.
[[nodiscard]] http_response jsonResponse(int status, std::string body);

} // namespace ibishinge
