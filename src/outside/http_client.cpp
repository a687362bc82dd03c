#include <ibishinge/outside/http_client.h>

#include <curl/curl.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace ibishinge {

namespace {

struct curl_deleter
{
    void operator()(CURL *handle) const noexcept
    {
        curl_easy_cleanup(handle);
    }
};
using curl_handle = std::unique_ptr<CURL, curl_deleter>;

struct slist_deleter
{
    void operator()(curl_slist *list) const noexcept
    {
        curl_slist_free_all(list);
    }
};
using header_list = std::unique_ptr<curl_slist, slist_deleter>;

void initializeCurl()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(code);
}

/// A response while it is being received.
struct incoming
{
    http_response response;
    std::size_t limit = 0;
    bool tooLarge = false;
};

std::size_t receiveBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto &in = *static_cast<incoming *>(target);
    const std::size_t bytes = size * count;
    if (in.response.body.size() + bytes > in.limit) {
        in.tooLarge = true;
        return 0;
    }
    in.response.body.append(data, bytes);
    return bytes;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::size_t receiveHeader(char *data, std::size_t size, std::size_t count, void *target)
{
    auto &in = *static_cast<incoming *>(target);
    const std::string_view line(data, size * count);
    if (line.starts_with("HTTP/")) {
        in.response.headers.clear(); // Drops the fields of an interim (1xx) response.
        return line.size();
    }
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        in.response.headers.push_back({std::string(trimmed(line.substr(0, colon))),
                                       std::string(trimmed(line.substr(colon + 1)))});
    }
    return line.size();
}

/// Without a length and without chunks a cut response looks like a complete one.
bool hasKnownLength(const http_response &response)
{
    return response.status == 204 || response.status == 304
           || findHeader(response.headers, "Content-Length").has_value()
           || findHeader(response.headers, "Transfer-Encoding").has_value();
}

header_list toHeaderList(const http_request &request)
{
    header_list list;
    const auto add = [&list](const std::string &line) {
        curl_slist *longer = curl_slist_append(list.get(), line.c_str());
        static_cast<void>(list.release());
        list.reset(longer);
    };
    for (const auto &header : request.headers) {
        add(header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
    }
    add("Expect:"); // Avoids a round trip before bodies above 1 KiB.
    return list;
}

error_kind kindOf(CURLcode code, CURL *handle)
{
    switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_URL_MALFORMAT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return error_kind::unavailable;
    default:
        break;
    }
    long sent = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent);
    if (sent == 0) {
        return error_kind::unavailable;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? error_kind::target_timeout
                                            : error_kind::target_failed;
}

} // namespace

struct http_client::impl
{
    http_client_options options;
    std::mutex mutex;
    std::multimap<std::string, curl_handle> idle; ///< by endpoint, each with one open connection

    /// Returns a handle, and whether it may hold an open connection.
    std::pair<curl_handle, bool> take(const std::string &where)
    {
        const std::lock_guard lock(mutex);
        const auto found = idle.find(where);
        if (found == idle.end()) {
            return {curl_handle(curl_easy_init()), false};
        }
        curl_handle handle = std::move(found->second);
        idle.erase(found);
        return {std::move(handle), true};
    }

    void giveBack(const std::string &where, curl_handle handle)
    {
        curl_easy_reset(handle.get());
        const std::lock_guard lock(mutex);
        if (idle.size() < options.maxIdleConnections) {
            idle.emplace(where, std::move(handle));
        }
    }
};

std::unique_ptr<http_client> http_client::create(const http_client_options &options)
{
    initializeCurl();
    auto state = std::make_unique<impl>();
    state->options = options;
    return std::unique_ptr<http_client>(new http_client(std::move(state)));
}

http_client::http_client(std::unique_ptr<impl> state) noexcept
    : m_impl(std::move(state))
{
}

http_client::~http_client() = default;

result<http_response> http_client::send(const endpoint &to, const http_request &request,
                                        std::chrono::milliseconds timeout, connection_use use)
{
    const std::string where = toString(to);
    if (timeout.count() <= 0) {
        return makeError(error_kind::unavailable, where, "no time left to send the request");
    }
    auto [handle, usedBefore] = m_impl->take(where);
    CURL *curl = handle.get();
    const std::string url =
        "http://" + where + request.path + (request.query.empty() ? "" : "?" + request.query);
    const header_list headers = toHeaderList(request);
    incoming in;
    in.limit = m_impl->options.maxResponseBytes;

    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(std::min(timeout, m_impl->options.connectTimeout).count()));
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, use == connection_use::fresh ? 1L : 0L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, receiveBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &in);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, receiveHeader);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &in);
    if (request.method != "GET") {
        curl_easy_setopt(curl, CURLOPT_POST, 1L);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }

    const CURLcode code = curl_easy_perform(curl);
    if (code != CURLE_OK) {
        const char *text = in.tooLarge ? "response above the bound" : curl_easy_strerror(code);
        error failure {kindOf(code, curl), where, text, std::chrono::milliseconds {0}, 0};
        if (code == CURLE_COULDNT_CONNECT) {
            long systemError = 0;
            curl_easy_getinfo(curl, CURLINFO_OS_ERRNO, &systemError);
            failure.systemError = static_cast<int>(systemError);
        }
        return tl::unexpected(std::move(failure));
    }
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    in.response.status = static_cast<int>(status);
    if (!hasKnownLength(in.response)) {
        return makeError(error_kind::target_failed, where, "response of unknown length");
    }
    m_impl->giveBack(where, std::move(handle));
    return std::move(in.response);
}

} // namespace ibishinge
