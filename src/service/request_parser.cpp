#include <ibishinge/service/request_parser.h>

#include <charconv>
#include <optional>

namespace ibishinge {

namespace {

constexpr std::string_view pathPrefix = "/v1/services/";
constexpr std::string_view pathSuffix = "/requests";

result<std::string> requiredName(const http_request &request, const char *header)
{
    const auto value = findHeader(request.headers, header);
    if (!value) {
        return makeError(error_kind::invalid_request, std::string("header ") + header, "missing");
    }
    if (!isValidName(*value)) {
        return makeError(error_kind::invalid_request, std::string("header ") + header,
                         "expected 1 to 64 characters of [A-Za-z0-9_-]");
    }
    return std::string(*value);
}

result<milliseconds> parseDeadline(const http_request &request)
{
    constexpr auto place = "header Ibishinge-Deadline-Ms";
    const auto value = findHeader(request.headers, "Ibishinge-Deadline-Ms");
    if (!value) {
        return makeError(error_kind::invalid_request, place, "missing");
    }
    std::int64_t number = 0;
    const char *end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, number);
    if (parsed.ec != std::errc {} || parsed.ptr != end || number < minDeadline.count()
        || number > maxDeadline.count()) {
        return makeError(error_kind::invalid_request, place,
                         "expected milliseconds from 1 to 600000");
    }
    return milliseconds(number);
}

result<work_class> parseClass(const http_request &request)
{
    const auto value = findHeader(request.headers, "Ibishinge-Class").value_or("normal");
    if (value == "normal") {
        return work_class::normal;
    }
    if (value == "urgent") {
        return work_class::urgent;
    }
    return makeError(error_kind::invalid_request, "header Ibishinge-Class",
                     "expected normal or urgent");
}

result<bool> parseIdempotent(const http_request &request)
{
    const auto value = findHeader(request.headers, "Ibishinge-Idempotent").value_or("false");
    if (value == "true" || value == "false") {
        return value == "true";
    }
    return makeError(error_kind::invalid_request, "header Ibishinge-Idempotent",
                     "expected true or false");
}

std::optional<std::string> serviceInPath(std::string_view path)
{
    if (!path.starts_with(pathPrefix) || !path.ends_with(pathSuffix)
        || path.size() <= pathPrefix.size() + pathSuffix.size()) {
        return std::nullopt;
    }
    path.remove_prefix(pathPrefix.size());
    path.remove_suffix(pathSuffix.size());
    return isValidName(path) ? std::optional<std::string>(path) : std::nullopt;
}

} // namespace

result<service_request> parseServiceRequest(const http_request &request)
{
    const auto service = serviceInPath(request.path);
    if (!service) {
        return makeError(error_kind::unknown_entity, request.path, "no such resource");
    }
    if (request.method != "POST") {
        return makeError(error_kind::invalid_request, "method", "expected POST");
    }
    auto id = requiredName(request, "Ibishinge-Request-Id");
    if (!id) {
        return tl::unexpected(id.error());
    }
    auto team = requiredName(request, "Ibishinge-Team");
    if (!team) {
        return tl::unexpected(team.error());
    }
    const auto deadline = parseDeadline(request);
    if (!deadline) {
        return tl::unexpected(deadline.error());
    }
    const auto workClass = parseClass(request);
    if (!workClass) {
        return tl::unexpected(workClass.error());
    }
    const auto idempotent = parseIdempotent(request);
    if (!idempotent) {
        return tl::unexpected(idempotent.error());
    }
    service_request parsed;
    parsed.service = *service;
    parsed.requestId = std::move(*id);
    parsed.team = std::move(*team);
    parsed.key = std::string(findHeader(request.headers, "Ibishinge-Key").value_or(""));
    parsed.deadline = *deadline;
    parsed.workClass = *workClass;
    parsed.idempotent = *idempotent;
    parsed.body = request.body;
    return parsed;
}

} // namespace ibishinge
