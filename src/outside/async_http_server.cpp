#include <ibishinge/outside/async_http_server.h>

#include <ibishinge/base/logging.h>
#include <ibishinge/outside/receive_budget.h>
#include <ibishinge/outside/request_framing.h>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace ibishinge {

namespace {

using std::chrono::milliseconds;

/// Connections past their bound are looked for this often.
constexpr milliseconds sweepInterval {500};

/// Connections that wait to be accepted.
constexpr unsigned int listenBacklog = 511;

/// Rounds in which responses of the last moment are written when a server ends.
constexpr int lastRounds = 16;

constexpr std::size_t longestLibraryMessage = 200;

/// First capacity for a body whose length is not announced.
constexpr std::size_t firstBodyBytes = 4096;

/// What the containers of a header field take besides its text.
constexpr std::size_t headerOverheadBytes = sizeof(http_header);

std::size_t memoryOf(const http_request &request)
{
    std::size_t bytes = request.path.size() + request.query.size();
    for (const auto &header : request.headers) {
        bytes += headerOverheadBytes + header.name.size() + header.value.size();
    }
    return bytes;
}

} // namespace

struct async_http_server::impl
{
    /// One request from its first line until its response is written.
    struct exchange : std::enable_shared_from_this<exchange>
    {
        http_request request;
        MHD_Connection *connection = nullptr;
        std::optional<http_response> response;
        instant since; ///< the request line was read, or the response was passed on
        instant handedAt;
        bool headersRead = false;
        bool handed = false; ///< the handler has been called
        bool suspended = false;
        bool ended = false; ///< reclaimed: the connection is being closed
        receive_number charge = 0; ///< in the budget; 0: none
        std::optional<std::size_t> announcedBytes; ///< of the body, charged with the headers
        std::size_t readBytes = 0; ///< of the body
    };
    using exchange_ptr = std::shared_ptr<exchange>;

    struct connection_state
    {
        int descriptor = -1;
        instant idleSince; ///< accepted, or the last response was written
        exchange *current = nullptr;
    };

    impl(io_loop &eventLoop, async_http_server_options serverOptions, async_http_handler function)
        : loop(eventLoop)
        , options(std::move(serverOptions))
        , handler(std::move(function))
        , ownBudget(defaultReceiveBytes)
        , budget(options.budget != nullptr ? *options.budget : ownBudget)
    {
    }

    MHD_Result onAccess(exchange_ptr &current, const char *method, const char *upload,
                        std::size_t *uploadSize);
    MHD_Result onHeaders(exchange &current, const char *method);
    MHD_Result onBody(exchange &current, const char *upload, std::size_t *uploadSize);
    void keepBody(exchange &current, const char *upload, std::size_t size);
    void refuseBody(exchange &current, http_response response);
    MHD_Result onComplete(const exchange_ptr &current);
    MHD_Result queue(exchange &current) const;
    void respond(const exchange_ptr &current, http_response response);
    void run();
    void planRun();
    void sweep();
    void closeLongestWaiting(instant now);
    void shed(const connection_state &place, MHD_Connection *connection, shed_reason reason,
              instant now) const;

    io_loop &loop;
    const async_http_server_options options;
    const async_http_handler handler;
    receive_budget ownBudget;
    receive_budget &budget;
    MHD_Daemon *daemon = nullptr;
    int epoll = -1;
    int listener = -1;
    std::uint16_t port = 0;
    bool closing = false;
    bool runPlanned = false;
    std::map<MHD_Connection *, connection_state> connections;
    std::set<exchange_ptr> handled; ///< with the handler
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

namespace {

template <class Impl>
void *onRequestLine(void *user, const char *target, MHD_Connection *connection)
{
    auto &state = *static_cast<Impl *>(user);
    auto current = std::make_shared<typename Impl::exchange>();
    const std::string_view text(target);
    const auto query = text.find('?');
    current->request.path = text.substr(0, query);
    if (query != std::string_view::npos) {
        current->request.query = text.substr(query + 1);
    }
    current->connection = connection;
    current->since = state.loop.now();
    state.connections[connection].current = current.get();
    return new typename Impl::exchange_ptr(std::move(current)); // freed by onCompleted
}

template <class Impl>
MHD_Result onAccessCall(void *user, MHD_Connection * /*connection*/, const char * /*path*/,
                        const char *method, const char * /*version*/, const char *upload,
                        std::size_t *uploadSize, void **context)
{
    auto &current = *static_cast<typename Impl::exchange_ptr *>(*context);
    return static_cast<Impl *>(user)->onAccess(current, method, upload, uploadSize);
}

template <class Impl>
void onCompleted(void *user, MHD_Connection *connection, void **context,
                 MHD_RequestTerminationCode /*reason*/)
{
    auto &state = *static_cast<Impl *>(user);
    const std::unique_ptr<typename Impl::exchange_ptr> current(
        static_cast<typename Impl::exchange_ptr *>(*context));
    *context = nullptr;
    auto &place = state.connections[connection];
    place.current = nullptr;
    place.idleSince = state.loop.now();
    if (current) {
        state.budget.release((*current)->charge);
        (*current)->connection = nullptr;
        state.handled.erase(*current);
    }
}

template <class Impl>
void onConnection(void *user, MHD_Connection *connection, void ** /*context*/,
                  MHD_ConnectionNotificationCode what)
{
    auto &state = *static_cast<Impl *>(user);
    if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
        state.connections.erase(connection);
        // At the connection limit, the library watches its listening socket again only from the
        // beginning of its next run. Without one, it would accept no connection any more.
        state.planRun();
        return;
    }
    const auto *const info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    auto &place = state.connections[connection];
    place.descriptor = info != nullptr ? info->connect_fd : -1;
    place.idleSince = state.loop.now();
}

/// Paths are compared as they were sent.
std::size_t keepEscapes(void * /*user*/, MHD_Connection * /*connection*/, char *text)
{
    return std::char_traits<char>::length(text);
}

void logLibraryMessage(void * /*user*/, const char *format, va_list arguments)
{
    std::array<char, longestLibraryMessage> text {};
    static_cast<void>(std::vsnprintf(text.data(), text.size(), format, arguments));
    logEvent(log_level::info, "http_server_message", {{"message", text.data()}});
}

MHD_Result addHeader(void *user, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    static_cast<http_request *>(user)->headers.push_back({name, value != nullptr ? value : ""});
    return MHD_YES;
}

/// Returns true if bytes that have arrived on a connection are unread. Its end does not count.
bool hasUnreadBytes(int connection)
{
    char byte = 0;
    return recv(connection, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool hasConnectionToAccept(int listener)
{
    pollfd state {listener, POLLIN, 0};
    return poll(&state, 1, 0) > 0;
}

std::string addressOf(MHD_Connection *connection)
{
    const auto *const info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    std::array<char, INET_ADDRSTRLEN> text {};
    if (info != nullptr && info->client_addr->sa_family == AF_INET) {
        // The library stores the address of a socket of this family.
        const auto *const peer = reinterpret_cast<const sockaddr_in *>(info->client_addr); // NOLINT
        inet_ntop(AF_INET, &peer->sin_addr, text.data(), text.size());
    }
    return text.data();
}

} // namespace

MHD_Result async_http_server::impl::onAccess(exchange_ptr &current, const char *method,
                                             const char *upload, std::size_t *uploadSize)
{
    if (!std::exchange(current->headersRead, true)) {
        return onHeaders(*current, method);
    }
    if (*uploadSize > 0) {
        return onBody(*current, upload, uploadSize);
    }
    return onComplete(current);
}

MHD_Result async_http_server::impl::onHeaders(exchange &current, const char *method)
{
    auto &request = current.request;
    request.method = method;
    request.remoteAddress = addressOf(current.connection);
    MHD_get_connection_values(current.connection, MHD_HEADER_KIND, addHeader, &request);
    if (const auto refused = refuseByFraming(request, options.maxBodyBytes)) {
        current.response = *refused;
        return queue(current);
    }
    if (const auto announced = announcedLength(request)) {
        current.announcedBytes = static_cast<std::size_t>(*announced);
    }
    const bool needsBody = request.method != "GET" && request.method != "DELETE";
    const bool hasBody = current.announcedBytes.value_or(0) > 0
                         || findHeader(request.headers, "Transfer-Encoding").has_value();
    const int descriptor = connections[current.connection].descriptor;
    current.charge = budget.open(
        request.remoteAddress, current.since, needsBody || !hasBody, [&current, descriptor] {
            current.request = {};
            current.ended = true;
            shutdown(descriptor, SHUT_RDWR); // the library sees the end and closes it
        });
    const auto bytes = memoryOf(request) + current.announcedBytes.value_or(0);
    if (!budget.charge(current.charge, bytes, loop.now())) {
        // Closed now, the connection would be reset by what the client still sends, and the client
        // might never read that its request has not run.
        refuseBody(current, overBudgetResponse());
    }
    return MHD_YES;
}

MHD_Result async_http_server::impl::onBody(exchange &current, const char *upload,
                                           std::size_t *uploadSize)
{
    if (current.ended || loop.now() > current.since + options.transferTimeout) {
        return MHD_NO; // closes the connection
    }
    current.readBytes += *uploadSize;
    if (!current.response) {
        keepBody(current, upload, *uploadSize);
    } else if (current.readBytes > 2 * options.maxBodyBytes) {
        return MHD_NO; // reading on for the sake of the response takes too much time
    }
    *uploadSize = 0;
    return MHD_YES;
}

void async_http_server::impl::keepBody(exchange &current, const char *upload, std::size_t size)
{
    auto &body = current.request.body;
    const auto needed = body.size() + size;
    if (needed > options.maxBodyBytes) {
        refuseBody(current, unreadRequestResponse(error_kind::too_large, "body above the bound"));
        return;
    }
    if (current.announcedBytes) {
        body.reserve(*current.announcedBytes);
    } else if (needed > body.capacity()) {
        const auto before = body.empty() ? 0 : body.capacity();
        const auto capacity =
            std::min(std::max({needed, 2 * body.capacity(), firstBodyBytes}), options.maxBodyBytes);
        if (!budget.charge(current.charge, capacity - before, loop.now())) {
            refuseBody(current, overBudgetResponse());
            return;
        }
        body.reserve(capacity);
    }
    body.append(upload, size);
    budget.addRead(current.charge, size);
}

/// The library takes a response only before a body or after it: the rest is read and not kept.
void async_http_server::impl::refuseBody(exchange &current, http_response response)
{
    current.request.body = {};
    current.request.body.shrink_to_fit();
    current.response = std::move(response);
    budget.release(current.charge);
}

MHD_Result async_http_server::impl::onComplete(const exchange_ptr &current)
{
    if (current->ended) {
        return MHD_NO;
    }
    if (!current->response && !std::exchange(current->handed, true)) {
        current->handedAt = loop.now();
        budget.setComplete(current->charge);
        handled.insert(current);
        const auto answer = [this, current,
                             alive = std::weak_ptr<int>(alive)](http_response value) {
            if (!alive.expired()) {
                respond(current, std::move(value));
            }
        };
        try {
            handler(current->request, answer);
        } catch (const std::exception &problem) {
            logEvent(log_level::error, "handler_failed",
                     {{"path", current->request.path}, {"reason", problem.what()}});
            respond(current, failedResponse());
        }
        // The handler has decoded it. It stays charged until the answer, for what came of it.
        std::string().swap(current->request.body);
        std::vector<http_header>().swap(current->request.headers);
    }
    if (current->response) {
        return queue(*current);
    }
    if (!current->suspended) {
        current->suspended = true;
        MHD_suspend_connection(current->connection);
    }
    return MHD_YES;
}

void async_http_server::impl::respond(const exchange_ptr &current, http_response response)
{
    handled.erase(current);
    if (current->connection == nullptr || current->response) {
        return;
    }
    current->response = std::move(response);
    current->since = loop.now();
    budget.release(current->charge);
    if (std::exchange(current->suspended, false)) {
        MHD_resume_connection(current->connection);
        planRun();
    }
}

MHD_Result async_http_server::impl::queue(exchange &current) const
{
    auto &response = *current.response;
    if (response.status == noResponseStatus) {
        return MHD_NO;
    }
    auto *const made = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char *>(response.body.data()), // NOLINT: is copied
        MHD_RESPMEM_MUST_COPY);
    if (made == nullptr) {
        return MHD_NO;
    }
    std::string().swap(response.body);
    for (const auto &header : response.headers) {
        MHD_add_response_header(made, header.name.c_str(), header.value.c_str());
    }
    if (closing) {
        MHD_add_response_header(made, "Connection", "close");
    }
    const auto queued =
        MHD_queue_response(current.connection, static_cast<unsigned int>(response.status), made);
    MHD_destroy_response(made);
    return queued;
}

void async_http_server::impl::run()
{
    MHD_run(daemon);
    MHD_UNSIGNED_LONG_LONG wait = 0;
    if (MHD_get_timeout(daemon, &wait) == MHD_YES && wait == 0) {
        planRun(); // a connection has more to process
    }
}

void async_http_server::impl::planRun()
{
    if (std::exchange(runPlanned, true)) {
        return;
    }
    loop.after(milliseconds(0), [this, alive = std::weak_ptr<int>(alive)] {
        if (!alive.expired()) {
            runPlanned = false;
            run();
        }
    });
}

void async_http_server::impl::sweep()
{
    // What has arrived since then may not have been read, as after a stall of the process.
    const auto now = loop.polledAt();
    std::vector<exchange_ptr> forgotten;
    for (const auto &[connection, place] : connections) {
        auto *const current = place.current;
        if (current != nullptr && current->handed && !current->response) {
            if (now > current->handedAt + options.handlerTimeout) {
                forgotten.push_back(current->shared_from_this());
            }
            continue;
        }
        const bool late = current != nullptr ? now > current->since + options.transferTimeout
                                             : now > place.idleSince + options.keepAliveTimeout;
        const bool stuck =
            current != nullptr && current->headersRead && !current->response
            && isWithoutProgress(current->readBytes, current->announcedBytes, current->since, now)
            && !hasUnreadBytes(place.descriptor);
        if (stuck && !late) {
            shed(place, connection, shed_reason::no_progress, now);
        }
        if (late || stuck) {
            shutdown(place.descriptor, SHUT_RDWR); // the library sees the end and closes it
        }
    }
    closeLongestWaiting(now);
    for (const auto &current : forgotten) {
        logEvent(log_level::error, "request_not_answered", {{"path", current->request.path}});
        respond(current, unansweredResponse());
    }
    loop.after(sweepInterval, [this, alive = std::weak_ptr<int>(alive)] {
        if (!alive.expired()) {
            sweep();
        }
    });
}

void async_http_server::impl::closeLongestWaiting(instant now)
{
    if (connections.size() <= options.maxConnections - options.maxConnections / 8) {
        return;
    }
    std::vector<waiting_connection> waiting;
    for (const auto &[connection, place] : connections) {
        const auto *const current = place.current;
        const bool waits = current == nullptr || (!current->handed && !current->ended);
        if (waits && !hasUnreadBytes(place.descriptor)) {
            waiting.push_back(
                {place.descriptor, current != nullptr ? current->since : place.idleSince});
        }
    }
    const auto closed =
        chooseClosed(std::move(waiting), connections.size(), options.maxConnections, now);
    const std::set<int> descriptors(closed.begin(), closed.end());
    for (const auto &[connection, place] : connections) {
        if (descriptors.count(place.descriptor) > 0) {
            shed(place, connection, shed_reason::connections, now);
            shutdown(place.descriptor, SHUT_RDWR);
        }
    }
}

void async_http_server::impl::shed(const connection_state &place, MHD_Connection *connection,
                                   shed_reason reason, instant now) const
{
    const auto *const current = place.current;
    budget.report({addressOf(connection), current != nullptr ? current->readBytes : 0,
                   now - (current != nullptr ? current->since : place.idleSince), reason});
}

result<std::unique_ptr<async_http_server>>
async_http_server::start(io_loop &loop, const async_http_server_options &options,
                         async_http_handler handler)
{
    auto state = std::make_unique<impl>(loop, options, std::move(handler));
    sockaddr_in listen {};
    listen.sin_family = AF_INET;
    listen.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &listen.sin_addr) != 1) {
        return makeError(error_kind::unavailable, options.address, "not an IPv4 address");
    }
    constexpr unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME
                                   | MHD_USE_SUPPRESS_DATE_NO_CLOCK | MHD_USE_ERROR_LOG;
    state->daemon = MHD_start_daemon(
        flags, options.port, nullptr, nullptr, onAccessCall<impl>, state.get(),
        MHD_OPTION_EXTERNAL_LOGGER, logLibraryMessage, nullptr, MHD_OPTION_SOCK_ADDR, &listen,
        MHD_OPTION_CONNECTION_LIMIT, options.maxConnections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        options.connectionBytes, MHD_OPTION_LISTEN_BACKLOG_SIZE, listenBacklog,
        MHD_OPTION_NOTIFY_COMPLETED, onCompleted<impl>, state.get(), MHD_OPTION_NOTIFY_CONNECTION,
        onConnection<impl>, state.get(), MHD_OPTION_URI_LOG_CALLBACK, onRequestLine<impl>,
        state.get(), MHD_OPTION_UNESCAPE_CALLBACK, keepEscapes, nullptr, MHD_OPTION_END);
    const std::string where = options.address + ":" + std::to_string(options.port);
    if (state->daemon == nullptr) {
        return makeError(error_kind::unavailable, where, "cannot listen");
    }
    auto server = std::unique_ptr<async_http_server>(new async_http_server(std::move(state)));
    auto &made = *server->m_impl;
    const auto *const epoll = MHD_get_daemon_info(made.daemon, MHD_DAEMON_INFO_EPOLL_FD);
    const auto *const port = MHD_get_daemon_info(made.daemon, MHD_DAEMON_INFO_BIND_PORT);
    const auto *const listener = MHD_get_daemon_info(made.daemon, MHD_DAEMON_INFO_LISTEN_FD);
    if (epoll == nullptr || port == nullptr || listener == nullptr) {
        return makeError(error_kind::internal, where, "the library does not use epoll");
    }
    made.epoll = epoll->epoll_fd;
    made.port = port->port;
    made.listener = listener->listen_fd;
    loop.addReadable(made.epoll, [&made] { made.run(); });
    made.run();
    made.sweep();
    return server;
}

async_http_server::async_http_server(std::unique_ptr<impl> state) noexcept
    : m_impl(std::move(state))
{
}

async_http_server::~async_http_server()
{
    auto &state = *m_impl;
    // The library requires that no connection is suspended when it stops.
    state.closing = true;
    for (const auto &current : std::set(state.handled)) {
        state.respond(current, shuttingDownResponse());
    }
    for (int round = 0; round < lastRounds; ++round) {
        MHD_run(state.daemon);
    }
    state.alive.reset();
    if (state.epoll >= 0) {
        state.loop.removeReadable(state.epoll);
    }
    MHD_stop_daemon(state.daemon);
}

std::uint16_t async_http_server::port() const noexcept
{
    return m_impl->port;
}

std::size_t async_http_server::openRequests() const noexcept
{
    const auto &connections = m_impl->connections;
    return static_cast<std::size_t>(
        std::count_if(connections.begin(), connections.end(),
                      [](const auto &each) { return each.second.current != nullptr; }));
}

bool async_http_server::hasUnreadInput() const noexcept
{
    const auto &connections = m_impl->connections;
    return hasConnectionToAccept(m_impl->listener)
           || std::any_of(connections.begin(), connections.end(), [](const auto &each) {
                  return each.second.current == nullptr && hasUnreadBytes(each.second.descriptor);
              });
}

void async_http_server::closeAfterResponses() noexcept
{
    m_impl->closing = true;
}

} // namespace ibishinge
