#include <ibishinge/service/entry_process.h>

#include <ibishinge/base/incarnation.h>
#include <ibishinge/base/logging.h>
#include <ibishinge/base/periodic_task.h>
#include <ibishinge/decision/death_proof.h>
#include <ibishinge/outside/etcd_kv_store.h>
#include <ibishinge/outside/http_host_list.h>
#include <ibishinge/outside/http_server.h>
#include <ibishinge/outside/http_target_client.h>
#include <ibishinge/outside/jsonrpc_peer_client.h>
#include <ibishinge/service/configuration_agent.h>
#include <ibishinge/service/entry_service.h>
#include <ibishinge/service/operators_api.h>
#include <ibishinge/state/membership.h>

#include <algorithm>
#include <atomic>
#include <optional>
#include <thread>
#include <utility>

namespace ibishinge {

namespace {

constexpr milliseconds tickInterval {20};
constexpr milliseconds configurationInterval {100};
constexpr milliseconds allowanceInterval {1000};
/// A burst waits for a larger grant for this time instead of the interval above. Longer with more
/// than 8 processes, so that all together write at most 40 times a second for this.
constexpr milliseconds urgentAllowanceInterval {200};
constexpr milliseconds urgentAllowanceShare {25}; ///< of the interval, for each process
constexpr milliseconds hostListInterval {1000};
constexpr milliseconds hostListTimeout {1000};
constexpr milliseconds drainPoll {20};
/// Of all processes together. The store takes several hundred writes a second (400 in tests); the
/// rest is for allowances, leases, jobs and operators.
constexpr std::int64_t ledgerCallsPerSecond = 280;
constexpr int teamThreadShare =
    4; ///< a team's waiting requests hold at most a quarter of the threads
constexpr std::size_t ledgerBurst = 8; ///< batches that a process may send in a row
constexpr milliseconds flushLimit {2000}; ///< of the records of finished requests at a shutdown
constexpr int controlThreads = 16; ///< connections of operators and of peers

/// Logs the first failure of a row and the recovery, so that an outage makes two lines.
class outage_log
{
public:
    explicit outage_log(std::string what)
        : m_what(std::move(what))
    {
    }
    void note(const result<void> &outcome)
    {
        if (!outcome && !m_failing) {
            logEvent(log_level::warning, m_what + "_failing",
                     {{"reason", describe(outcome.error())}});
        } else if (outcome && m_failing) {
            logEvent(log_level::info, m_what + "_recovered");
        }
        m_failing = !outcome.has_value();
    }

private:
    std::string m_what;
    bool m_failing = false;
};

template <class T>
result<void> withoutValue(const result<T> &outcome)
{
    return outcome ? result<void> {} : tl::unexpected(outcome.error());
}

} // namespace

struct entry_process::impl
{
    explicit impl(entry_process_options given)
        : options(std::move(given))
        , self {options.host, options.listen, makeIncarnation()}
    {
    }

    entry_process_options options;
    holder_id self;
    system_clock_source clock;
    metrics_registry metrics;
    burn_log burn {clock};
    std::unique_ptr<http_client> client = http_client::create({});
    std::unique_ptr<kv_store> store;
    std::unique_ptr<host_list> hosts;
    std::unique_ptr<target_client> targets;
    std::unique_ptr<peer_client> peers;
    std::unique_ptr<allowance_manager> allowances;
    std::unique_ptr<request_dispatcher> dispatcher;
    std::unique_ptr<configuration_cache> configuration;
    std::unique_ptr<membership> members;
    std::unique_ptr<group_committer> committer;
    std::unique_ptr<request_ledger> ledger;
    std::unique_ptr<job_api> jobs;
    std::unique_ptr<entry_service> service;
    std::unique_ptr<operators_api> operators;
    std::unique_ptr<jsonrpc_peer_server> peerServer;
    std::atomic<std::int64_t> lastRequestMs {0}; ///< of the steady clock

    std::mutex sightingsMutex;
    host_list_history sightings;
    std::optional<std::uint64_t> hostListVersion; ///< last one taken over

    std::mutex hostListMutex;
    host_list_view hostListView;

    bool configurationUsable = false; ///< as last logged
    monotonic_time allowancesAdjusted; ///< used by one task only
    std::atomic<std::int64_t> entryProcesses {1};
    outage_log allowanceLog {"allowance"};
    outage_log hostListLog {"host_list"};

    // Declared last: destroyed first, so that nothing runs on parts that are gone.
    std::unique_ptr<http_server> callersServer;
    std::unique_ptr<http_server> operatorsServer;
    std::unique_ptr<http_server> peersServer;
    std::unique_ptr<configuration_agent> agent;
    std::vector<std::unique_ptr<periodic_task>> tasks;

    void build();
    result<void> listen();
    void startTasks();
    void applyConfiguration();
    void adjustAllowances();
    void readHostList();
    [[nodiscard]] host_list_view currentHosts();
    http_response handleCaller(const http_request &request);
    [[nodiscard]] milliseconds sinceLastRequest() const;
};

void entry_process::impl::build()
{
    store = makeEtcdKvStore({.endpoints = options.store}, *client);
    hosts = makeHttpHostList(*client, options.hostList);
    targets = makeHttpTargetClient(*client);
    peers = makeJsonrpcPeerClient(*client, options.peerSecret);
    allowances = allowance_manager::create(toString(self), *store);
    admission_settings admission;
    admission.teamBound = static_cast<std::size_t>(std::max(1, options.threads / teamThreadShare));
    dispatcher = request_dispatcher::create(
        {options.dataCentre, std::hash<std::string> {}(self.incarnation), admission, {}},
        *allowances, clock);

    configuration_cache_options cacheOptions;
    cacheOptions.self = {self.incarnation, options.peersListen, options.host, options.dataCentre,
                         member_role::entry};
    cacheOptions.leavingTargets = [this] { return dispatcher->leavingTargets(); };
    cacheOptions.learnLeavingTargets = [this](const std::vector<std::string> &leaving) {
        for (const auto &text : leaving) {
            if (const auto where = parseEndpoint(text)) {
                dispatcher->markTargetLeaving(*where);
            }
        }
    };
    members = membership::create(*store, cacheOptions.self);
    configuration = configuration_cache::create(*store, clock, std::move(cacheOptions));
    committer = group_committer::create(
        *store, clock,
        {.callsPerSecond = ledgerCallsPerSecond,
         .burst = ledgerBurst,
         .seed = static_cast<std::uint32_t>(std::hash<std::string> {}(self.incarnation))});
    ledger = request_ledger::create(*committer, *store, clock);
    // Submissions and cancellations share the batches of the ledger.
    jobs = job_api::create(
        *store, clock,
        [this](conditional_write write, monotonic_time deadline) {
            return committer->submit(std::move(write), deadline);
        },
        [this] { return configuration->view().current; });
    service = entry_service::create(self.incarnation, {*configuration, *dispatcher, *ledger,
                                                       *targets, metrics, clock, *jobs, &burn});
    operators =
        operators_api::create(*store, clock, *configuration,
                              {options.operatorsToken, makePublisher(*configuration, *peers),
                               [this] { return currentHosts(); }, &burn});
    peerServer = jsonrpc_peer_server::create(*configuration, options.peerSecret);
}

http_response entry_process::impl::handleCaller(const http_request &request)
{
    if (request.path != "/readyz" && request.path != "/healthz" && request.path != "/metrics") {
        lastRequestMs =
            std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch()).count();
    }
    return service->handle(request);
}

milliseconds entry_process::impl::sinceLastRequest() const
{
    const auto now = std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch());
    return now - milliseconds(lastRequestMs);
}

result<void> entry_process::impl::listen()
{
    http_server_options callers;
    callers.address = options.listen.address;
    callers.port = options.listen.port;
    callers.threads = options.threads;
    callers.maxBodyBytes = options.maxBodyBytes;
    callers.maxHeaderBytes = options.maxHeaderBytes;
    callers.receiveTimeout = options.receiveTimeout;

    http_server_options control;
    control.threads = controlThreads;
    control.address = options.operatorsListen.address;
    control.port = options.operatorsListen.port;
    auto started =
        http_server::start(control, [this](const http_request &r) { return operators->handle(r); });
    if (!started) {
        return tl::unexpected(started.error());
    }
    operatorsServer = std::move(*started);

    control.address = options.peersListen.address;
    control.port = options.peersListen.port;
    started = http_server::start(control,
                                 [this](const http_request &r) { return peerServer->handle(r); });
    if (!started) {
        return tl::unexpected(started.error());
    }
    peersServer = std::move(*started);

    started =
        http_server::start(callers, [this](const http_request &r) { return handleCaller(r); });
    if (!started) {
        return tl::unexpected(started.error());
    }
    callersServer = std::move(*started);
    return {};
}

void entry_process::impl::startTasks()
{
    agent = configuration_agent::start(*members, *configuration, *peers);
    const auto every = [this](milliseconds interval, void (impl::*function)()) {
        tasks.push_back(
            std::make_unique<periodic_task>(interval, [this, function] { (this->*function)(); }));
    };
    tasks.push_back(std::make_unique<periodic_task>(tickInterval, [this] { dispatcher->tick(); }));
    every(configurationInterval, &impl::applyConfiguration);
    every(urgentAllowanceInterval, &impl::adjustAllowances);
    every(hostListInterval, &impl::readHostList);
}

void entry_process::impl::applyConfiguration()
{
    const auto view = configuration->view();
    if (view.current->revisions.catalogue > 0) {
        dispatcher->applyCatalogue(view.current->catalogue.value,
                                   view.current->revisions.catalogue);
        // A process without a catalogue reports none; 0 would read as a step back at a restart.
        metrics.set("ibishinge_configuration_revision", {},
                    static_cast<double>(view.current->revisions.catalogue));
    }
    const bool usable = view.freshness.state == freshness_state::usable;
    if (usable != configurationUsable) {
        configurationUsable = usable;
        logEvent(usable ? log_level::info : log_level::warning, "configuration_freshness",
                 {{"state", nameOf(view.freshness.state)}, {"reason", view.freshness.reason}});
    }
    metrics.set("ibishinge_configuration_usable", {}, usable ? 1 : 0);

    const auto others = members->others();
    const auto entries = std::count_if(others.begin(), others.end(), [](const auto &member) {
        return member.role == member_role::entry;
    });
    entryProcesses = entries + 1;
    committer->setMembers(static_cast<std::size_t>(entries) + 1);
}

void entry_process::impl::adjustAllowances()
{
    const auto now = clock.now();
    const bool isUrgent =
        dispatcher->waitsForAllowance()
        && now - allowancesAdjusted >= urgentAllowanceShare * entryProcesses.load();
    if (now - allowancesAdjusted < allowanceInterval && !isUrgent) {
        return;
    }
    allowancesAdjusted = now;
    {
        const std::lock_guard lock(sightingsMutex);
        for (const auto &dead :
             findDeadHolders(sightings, allowances->holders(), self, clock.now())) {
            allowances->provedDead(dead, clock.wallNow());
        }
    }
    allowanceLog.note(allowances->adjust(clock.wallNow()));
}

host_list_view entry_process::impl::currentHosts()
{
    const std::lock_guard lock(hostListMutex);
    return hostListView;
}

void entry_process::impl::readHostList()
{
    const auto list = hosts->fetch(hostListTimeout);
    hostListLog.note(withoutValue(list));
    if (!list) {
        return;
    }
    {
        const std::lock_guard lock(hostListMutex);
        hostListView = {*list, clock.now()};
    }
    // Taking over 2,500 hosts costs more than the whole second's control work should.
    const bool isChanged = hostListVersion != list->version;
    hostListVersion = list->version;
    if (isChanged) {
        dispatcher->updateHosts(*list);
    }
    std::set<std::string> absent;
    {
        const std::lock_guard lock(sightingsMutex);
        if (isChanged) {
            recordHostList(sightings, *list);
        }
        for (const auto &member : configuration->members()) {
            if (!sightings.present.contains(member.host)) {
                absent.insert(member.host);
            }
        }
    }
    configuration->noteAbsentHosts(std::move(absent));
}

result<std::unique_ptr<entry_process>> entry_process::start(entry_process_options options)
{
    auto state = std::make_unique<impl>(std::move(options));
    state->build();
    if (auto listening = state->listen(); !listening) {
        return tl::unexpected(listening.error());
    }
    state->startTasks();
    logEvent(
        log_level::info, "started",
        {{"incarnation", state->self.incarnation}, {"listen", toString(state->options.listen)}});
    return std::unique_ptr<entry_process>(new entry_process(std::move(state)));
}

entry_process::entry_process(std::unique_ptr<impl> state) noexcept
    : m_impl(std::move(state))
{
}

entry_process::~entry_process() = default;

void entry_process::stop()
{
    impl &state = *m_impl;
    logEvent(log_level::info, "stopping");
    state.service->beginShutdown();
    // The balancer needs some time to notice; callers who still come get a clear refusal.
    const auto limit = state.clock.now() + state.options.drainLimit;
    while (state.clock.now() < limit
           && (state.dispatcher->inProgress() > 0
               || state.sinceLastRequest() < state.options.drainQuiet)) {
        std::this_thread::sleep_for(drainPoll);
    }
    if (state.dispatcher->inProgress() > 0) {
        logEvent(log_level::warning, "stopped_with_requests_in_progress",
                 {{"requests", state.dispatcher->inProgress()}});
    }
    state.callersServer.reset();
    state.committer->flush(state.clock.now() + flushLimit);
    state.tasks.clear();
    state.agent.reset();
    const auto now = state.clock.wallNow();
    if (const auto released = state.allowances->release(now); !released) {
        logEvent(log_level::warning, "allowance_not_released",
                 {{"reason", describe(released.error())}});
    }
    if (const auto left = state.members->leave(); !left) {
        logEvent(log_level::warning, "member_record_left", {{"reason", describe(left.error())}});
    }
    logEvent(log_level::info, "stopped");
}

} // namespace ibishinge
