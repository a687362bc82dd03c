#include <ibishinge/outside/io_loop.h>

#include <ibishinge/base/logging.h>

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <exception>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace ibishinge {

namespace {

using std::chrono::milliseconds;

/// Connection set-up within a region takes a few milliseconds; a lost packet is sent again after 1
/// s.
constexpr milliseconds connectTimeout {1200};

/// How long new connections are preferred after a timeout; longer than idle ones are kept.
constexpr milliseconds freshConnections {8000};

/// Idle connections kept over all addresses, well below the descriptor limit of a small host.
constexpr long keptConnections = 1200;

/// Connections to one address. The store needs most: 16 transactions, three watches, and room for
/// the renewal of the lease beside them. Workers and peers accept 64 for all processes together.
constexpr long connectionsPerAddress = 24;

/// Idle connections are closed after this time, in seconds.
constexpr long idleConnectionSeconds = 30;

/// Events handled before timers are looked at: more than a process has connections in use, so that
/// none is left out.
constexpr std::size_t maxEventsAtOnce = 4096;

/// Largest wait of the loop without a timer.
constexpr milliseconds longestWait {1000};

using deadlines = std::multimap<instant, CURL *>;

struct exchange
{
    CURL *handle = nullptr;
    request_number number = 0;
    deadlines::iterator deadline;
    instant endsBy; ///< end of `outgoing_request::timeout`
    milliseconds stallTimeout {0};
    instant progressAt; ///< when bytes were last sent or received
    curl_off_t sentBytes = 0; ///< of the body
    curl_slist *headers = nullptr;
    std::string address;
    std::string requestBody;
    std::string responseBody;
    bool resendable = false; ///< sent twice, it has no other effect than once
    bool sent = false; ///< sending has begun
    response_handler done;
};

/// Returns when the exchange times out if no more bytes are sent or received.
instant deadlineOf(const exchange &call)
{
    return call.stallTimeout.count() > 0
               ? std::min(call.endsBy, call.progressAt + call.stallTimeout)
               : call.endsBy;
}

/// Called by libcurl with each part of a response's body.
std::size_t onBody(char *data, std::size_t size, std::size_t count, void *call)
{
    auto &each = *static_cast<exchange *>(call);
    each.responseBody.append(data, size * count);
    each.progressAt = boot_clock::now();
    return size * count;
}

/// Called by libcurl often while it sends a request.
int onProgress(void *call, curl_off_t /*toReceive*/, curl_off_t /*received*/, curl_off_t /*toSend*/,
               curl_off_t sent)
{
    auto &each = *static_cast<exchange *>(call);
    if (sent > each.sentBytes) {
        each.sentBytes = sent;
        each.progressAt = boot_clock::now();
    }
    return 0;
}

/// Called by libcurl before it sends a request, also when it sends one again because a reused
/// connection was closed without a response. The first copy may have been carried out, so that the
/// response to the second does not tell what became of the request.
int beforeSending(void *call, char * /*remoteAddress*/, char * /*localAddress*/, int /*remotePort*/,
                  int /*localPort*/)
{
    auto &each = *static_cast<exchange *>(call);
    const bool again = std::exchange(each.sent, true);
    return again && !each.resendable ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/// Runs a function of the loop's users. One that fails must not end the process with all others.
template <class Function>
void runGuarded(Function &&function) noexcept
{
    try {
        function();
    } catch (const std::exception &problem) {
        logEvent(log_level::error, "handler_failed", {{"reason", problem.what()}});
    }
}

} // namespace

/// libcurl is driven by events of single sockets: its simpler interface visits each open request in
/// every round, which a few hundred waiting looks make expensive.
struct io_loop::impl
{
    CURLM *multi = nullptr;
    int epoll = -1;
    int wakeUp = -1;
    std::optional<instant> curlTimer;
    std::vector<CURL *> idleHandles;
    std::map<CURL *, std::unique_ptr<exchange>> exchanges;
    request_number lastNumber = 0;
    /// Ends of the timeouts of `exchanges`, without the progress made since they were entered.
    /// libcurl would compare its own with the present time before it reads a response that has
    /// arrived.
    deadlines timeouts;
    /// Input that arrived before this has been handled. Timers and timeouts are due by this time:
    /// after a stall of the process, those that ran out meanwhile wait until it has been read.
    instant polledAt = boot_clock::now();
    std::map<std::string, instant, std::less<>> freshUntil; ///< by address
    std::multimap<instant, std::function<void()>> timers;
    std::map<int, std::function<void()>> readable; ///< by descriptor
    std::mutex mutex;
    std::vector<std::function<void()>> posted;
    std::atomic<bool> stopping = false;

    void finish(CURL *handle, CURLcode code);
    /// Removes an exchange. Precondition: it exists.
    std::unique_ptr<exchange> release(CURL *handle);
    void finishDone();
    void runPosted();
    void runTimers();
    void runTimeouts();
    void runCurlTimer();
    void handleEvent(const epoll_event &event);
    [[nodiscard]] milliseconds waitTime() const;
    void wake() const
    {
        const std::uint64_t one = 1;
        static_cast<void>(!write(wakeUp, &one, sizeof one));
    }
};

namespace {

/// Called by libcurl when it wants to hear of a socket, or no longer.
template <class Impl>
int onSocket(CURL * /*handle*/, curl_socket_t socket, int what, void *user, void *known)
{
    auto &state = *static_cast<Impl *>(user);
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(state.epoll, EPOLL_CTL_DEL, socket, nullptr);
        curl_multi_assign(state.multi, socket, nullptr);
        return 0;
    }
    epoll_event event {};
    event.data.fd = socket;
    event.events =
        ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
    if (known == nullptr) {
        epoll_ctl(state.epoll, EPOLL_CTL_ADD, socket, &event);
        curl_multi_assign(state.multi, socket, user); // any value but null: it is registered
    } else {
        epoll_ctl(state.epoll, EPOLL_CTL_MOD, socket, &event);
    }
    return 0;
}

/// Called by libcurl when it wants to be called after a time; -1: not at all.
template <class Impl>
int onTimer(CURLM * /*multi*/, long delayMs, void *user)
{
    auto &state = *static_cast<Impl *>(user);
    state.curlTimer.reset();
    if (delayMs >= 0) {
        // Without a delay, libcurl only wants to be called outside of its own functions.
        state.curlTimer = delayMs > 0 ? boot_clock::now() + milliseconds(delayMs) : state.polledAt;
    }
    return 0;
}

} // namespace

result<std::unique_ptr<io_loop>> io_loop::make()
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    auto state = std::make_unique<impl>();
    state->multi = curl_multi_init();
    if (state->multi == nullptr) {
        return makeError(error_kind::internal, "libcurl", "curl_multi_init failed");
    }
    curl_multi_setopt(state->multi, CURLMOPT_MAXCONNECTS, keptConnections);
    curl_multi_setopt(state->multi, CURLMOPT_MAX_HOST_CONNECTIONS, connectionsPerAddress);
    curl_multi_setopt(state->multi, CURLMOPT_SOCKETFUNCTION, onSocket<impl>);
    curl_multi_setopt(state->multi, CURLMOPT_SOCKETDATA, state.get());
    curl_multi_setopt(state->multi, CURLMOPT_TIMERFUNCTION, onTimer<impl>);
    curl_multi_setopt(state->multi, CURLMOPT_TIMERDATA, state.get());
    state->epoll = epoll_create1(EPOLL_CLOEXEC);
    state->wakeUp = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (state->epoll < 0 || state->wakeUp < 0) {
        return makeError(error_kind::internal, "epoll", "cannot be set up");
    }
    epoll_event event {};
    event.data.fd = state->wakeUp;
    event.events = EPOLLIN;
    epoll_ctl(state->epoll, EPOLL_CTL_ADD, state->wakeUp, &event);
    return std::unique_ptr<io_loop>(new io_loop(std::move(state)));
}

io_loop::io_loop(std::unique_ptr<impl> state) noexcept
    : m_impl(std::move(state))
{
}

io_loop::~io_loop()
{
    for (auto &[handle, call] : m_impl->exchanges) {
        curl_multi_remove_handle(m_impl->multi, handle);
        curl_slist_free_all(call->headers);
        curl_easy_cleanup(handle);
    }
    for (CURL *handle : m_impl->idleHandles) {
        curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(m_impl->multi);
    close(m_impl->epoll);
    close(m_impl->wakeUp);
}

instant io_loop::now() const
{
    return boot_clock::now();
}

instant io_loop::polledAt() const
{
    return m_impl->polledAt;
}

std::int64_t io_loop::wallMs() const
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

void io_loop::after(milliseconds delay, std::function<void()> function)
{
    m_impl->timers.emplace(now() + delay, std::move(function));
}

request_number io_loop::send(outgoing_request request, response_handler done)
{
    CURL *handle = nullptr;
    if (m_impl->idleHandles.empty()) {
        handle = curl_easy_init();
    } else {
        handle = m_impl->idleHandles.back();
        m_impl->idleHandles.pop_back();
    }
    auto call = std::make_unique<exchange>();
    call->handle = handle;
    call->number = ++m_impl->lastNumber;
    call->address = request.address;
    call->requestBody = std::move(request.body);
    call->resendable = request.method == "GET";
    call->done = std::move(done);
    call->progressAt = now();
    call->endsBy = call->progressAt + request.timeout;
    call->stallTimeout = request.stallTimeout;

    const std::string url = "http://" + request.address + request.target;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(std::min(request.timeout, connectTimeout).count()));
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, idleConnectionSeconds);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, call.get());
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, beforeSending);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, call.get());
    const auto fresh = m_impl->freshUntil.find(request.address);
    if (request.freshConnection || (fresh != m_impl->freshUntil.end() && now() < fresh->second)) {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    }
    if (request.method != "GET") {
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    if (!call->requestBody.empty() || request.method == "POST") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call->requestBody.c_str());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(call->requestBody.size()));
        if (!findHeader(request.headers, "Content-Type")) {
            call->headers = curl_slist_append(call->headers, "Content-Type: application/json");
        }
        call->headers = curl_slist_append(call->headers, "Expect:");
        if (request.stallTimeout.count() > 0) {
            curl_easy_setopt(handle, CURLOPT_NOPROGRESS, 0L);
            curl_easy_setopt(handle, CURLOPT_XFERINFOFUNCTION, onProgress);
            curl_easy_setopt(handle, CURLOPT_XFERINFODATA, call.get());
        }
    }
    for (const auto &header : request.headers) {
        call->headers =
            curl_slist_append(call->headers, (header.name + ": " + header.value).c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, call->headers);
    curl_multi_add_handle(m_impl->multi, handle);
    call->deadline = m_impl->timeouts.emplace(deadlineOf(*call), handle);
    const auto number = call->number;
    m_impl->exchanges.emplace(handle, std::move(call));
    return number;
}

void io_loop::cancel(request_number number)
{
    const auto found =
        std::find_if(m_impl->exchanges.begin(), m_impl->exchanges.end(),
                     [number](const auto &each) { return each.second->number == number; });
    if (found != m_impl->exchanges.end()) {
        m_impl->release(found->first);
    }
}

std::unique_ptr<exchange> io_loop::impl::release(CURL *handle)
{
    const auto found = exchanges.find(handle);
    auto call = std::move(found->second);
    exchanges.erase(found);
    timeouts.erase(call->deadline);
    curl_multi_remove_handle(multi, handle);
    curl_easy_reset(handle);
    curl_slist_free_all(call->headers);
    idleHandles.push_back(handle);
    return call;
}

void io_loop::impl::finish(CURL *handle, CURLcode code)
{
    long status = 0;
    long systemError = 0;
    long requestBytes = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &systemError);
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    const auto call = release(handle);

    if (code == CURLE_OK) {
        http_response response;
        response.status = static_cast<int>(status);
        response.body = std::move(call->responseBody);
        runGuarded([&] { call->done(std::move(response)); });
        return;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        freshUntil[call->address] = boot_clock::now() + freshConnections;
    }
    error failure;
    const bool notSent =
        requestBytes == 0 && (code == CURLE_COULDNT_CONNECT || code == CURLE_OPERATION_TIMEDOUT);
    failure.kind = notSent ? error_kind::unavailable : error_kind::outcome_unknown;
    failure.place = call->address;
    failure.message = curl_easy_strerror(code);
    failure.systemError = code == CURLE_COULDNT_CONNECT ? static_cast<int>(systemError) : 0;
    runGuarded([&] { call->done(tl::unexpected(std::move(failure))); });
}

void io_loop::impl::runPosted()
{
    std::vector<std::function<void()>> functions;
    {
        const std::lock_guard lock(mutex);
        functions.swap(posted);
    }
    for (auto &function : functions) {
        runGuarded(function);
    }
}

void io_loop::impl::runTimers()
{
    while (!timers.empty() && timers.begin()->first <= polledAt) {
        const auto function = std::move(timers.begin()->second);
        timers.erase(timers.begin());
        runGuarded(function);
    }
}

void io_loop::impl::runTimeouts()
{
    while (!timeouts.empty() && timeouts.begin()->first <= polledAt) {
        CURL *const handle = timeouts.begin()->second;
        auto &call = *exchanges.at(handle);
        const auto deadline = deadlineOf(call);
        if (deadline <= polledAt) {
            finish(handle, CURLE_OPERATION_TIMEDOUT);
        } else {
            timeouts.erase(call.deadline);
            call.deadline = timeouts.emplace(deadline, handle);
        }
    }
}

void io_loop::post(std::function<void()> function)
{
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->posted.push_back(std::move(function));
    }
    m_impl->wake();
}

void io_loop::impl::finishDone()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(multi, &left)) {
        if (message->msg == CURLMSG_DONE) {
            finish(message->easy_handle, message->data.result);
        }
    }
}

void io_loop::impl::runCurlTimer()
{
    if (curlTimer && *curlTimer <= polledAt) {
        curlTimer.reset();
        int running = 0;
        curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

milliseconds io_loop::impl::waitTime() const
{
    auto end = boot_clock::now() + longestWait;
    if (!timers.empty()) {
        end = std::min(end, timers.begin()->first);
    }
    if (!timeouts.empty()) {
        end = std::min(end, timeouts.begin()->first);
    }
    if (curlTimer) {
        end = std::min(end, *curlTimer);
    }
    return std::max(milliseconds(0), end - boot_clock::now());
}

void io_loop::addReadable(int descriptor, std::function<void()> onReadable)
{
    epoll_event event {};
    event.data.fd = descriptor;
    event.events = EPOLLIN;
    epoll_ctl(m_impl->epoll, EPOLL_CTL_ADD, descriptor, &event);
    m_impl->readable[descriptor] = std::move(onReadable);
}

void io_loop::removeReadable(int descriptor)
{
    epoll_ctl(m_impl->epoll, EPOLL_CTL_DEL, descriptor, nullptr);
    m_impl->readable.erase(descriptor);
}

void io_loop::impl::handleEvent(const epoll_event &event)
{
    if (event.data.fd == wakeUp) {
        std::uint64_t value = 0;
        static_cast<void>(!read(wakeUp, &value, sizeof value));
        return;
    }
    const auto reader = readable.find(event.data.fd);
    if (reader != readable.end()) {
        const auto onReadable = reader->second; // it may remove itself
        runGuarded(onReadable);
        return;
    }
    const int flags = ((event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0)
                      | ((event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0)
                      | ((event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
    int running = 0;
    curl_multi_socket_action(multi, event.data.fd, flags, &running);
}

void io_loop::run()
{
    std::vector<epoll_event> events(maxEventsAtOnce);
    while (!m_impl->stopping) {
        const auto pollingSince = now();
        const int count = epoll_wait(m_impl->epoll, events.data(), static_cast<int>(events.size()),
                                     static_cast<int>(m_impl->waitTime().count()));
        if (count < 0 && errno == EINTR) {
            continue; // as after a suspension of the process: nothing has been read
        }
        for (int i = 0; i < count; ++i) {
            m_impl->handleEvent(events[static_cast<std::size_t>(i)]);
        }
        m_impl->polledAt = pollingSince;
        m_impl->runCurlTimer();
        m_impl->finishDone();
        m_impl->runPosted();
        m_impl->runTimeouts();
        m_impl->runTimers();
    }
}

void io_loop::stop()
{
    m_impl->stopping = true;
    m_impl->wake();
}

} // namespace ibishinge
