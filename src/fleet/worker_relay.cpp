#include <ibishinge/fleet/worker_relay.h>

#include <ibishinge/base/json.h>
#include <ibishinge/base/logging.h>
#include <ibishinge/base/processor_time.h>

#include <algorithm>
#include <array>
#include <functional>
#include <tuple>
#include <utility>

namespace ibishinge::fleet {

namespace {

using nlohmann::json;

/// Delay during which calls and results are collected into one message. A message costs both
/// processes about as much processor time as a call to a worker, so it pays off once it carries a
/// few calls. Starts are delayed by as much.
constexpr milliseconds batchDelay {8};

/// Concurrent exchanges with one relay: one waits for results while the next one carries calls.
constexpr std::size_t maxConcurrentExchanges = 2;

/// A relay answers after this time even without results, so that a relay that hangs is noticed
/// soon.
constexpr milliseconds maxHoldTime {300};
constexpr milliseconds exchangeTimeout {800};

/// A relay that failed is not used for this long: about the length of a short disturbance.
constexpr milliseconds failedRelayPause {3000};

/// Added to the time that a call may take at the relay; a call without a result by then makes the
/// relay count as failed, if it has answered a later message.
constexpr milliseconds resultMargin {1200};
constexpr milliseconds commandTimeout {450};
/// For which a report may be on its way to the relay.
constexpr milliseconds reportTransferTime {500};
constexpr milliseconds overdueCheckInterval {200};

/// Calls that the relay read from the network longer ago are not made, because its process or host
/// was paused in between.
constexpr milliseconds maxCallAge {300};

/// Numbers of recent messages that are kept for each session to detect repeated ones; far more than
/// are in flight at once.
constexpr std::size_t maxRememberedMessages = 64;

/// A session without messages for this long is removed.
constexpr milliseconds sessionExpiry {10000};

/// Kinds of calls in messages, written as numbers.
enum class call_kind : std::uint8_t { start, stop, throttle, poll };

/// Kinds of results in messages, written as numbers.
enum class result_kind : std::uint8_t { order, report, failure };

constexpr std::array<std::pair<error_kind, std::string_view>, 2> failureNames {{
    {error_kind::unavailable, "unavailable"},
    {error_kind::outcome_unknown, "outcome_unknown"},
}};

json encodeStartCall(const worker_entry &worker, const run_order &order)
{
    return {call_kind::start,      worker.id,          worker.address,   order.task.job,
            order.task.occurrence, order.task.step,    order.task.index, order.run,
            order.leaseUntil,      order.fencingToken, order.checkpoint, order.ticket};
}

json encodeRunCall(call_kind kind, const worker_entry &worker, const task_name &task,
                   std::int64_t run, std::int64_t fencingToken, int percent)
{
    return {kind,       worker.id, worker.address, task.job, task.occurrence, task.step,
            task.index, run,       fencingToken,   percent};
}

json encodePollCall(const worker_entry &worker, const poll_request &order)
{
    json call = {call_kind::poll,   worker.id,          worker.address,
                 order.leaseUntil,  order.fencingToken, order.acknowledgedEnd,
                 order.wait.count()};
    if (order.knownEnd > 0) {
        call.push_back(order.knownEnd);
        call.push_back(order.knownIncarnation);
    }
    return call;
}

/// Removes the ends that the coordinator knows from a report. A truncated list is left unchanged,
/// because its length tells the coordinator that ends are missing.
void removeKnownEnds(worker_report &report, const poll_request &order)
{
    if (report.incarnation != order.knownIncarnation || isTruncated(report)) {
        return;
    }
    std::erase_if(report.ended, [&](const run_end &end) { return end.number <= order.knownEnd; });
}

task_name decodeTask(const json &row, std::size_t at)
{
    return {row.at(at).get<std::string>(), row.at(at + 1).get<int>(), row.at(at + 2).get<int>(),
            row.at(at + 3).get<int>()};
}

json encodeReport(const worker_report &report)
{
    json running = json::array();
    for (const auto &each : report.running) {
        running.push_back({each.task.job, each.task.occurrence, each.task.step, each.task.index,
                           each.run, each.checkpoint, each.percent, each.usage});
    }
    json ended = json::array();
    for (const auto &each : report.ended) {
        ended.push_back({each.task.job, each.task.occurrence, each.task.step, each.task.index,
                         each.run, each.number, each.kind, each.checkpoint});
    }
    return {result_kind::report,     report.workerClockMs, report.incarnation, report.fenced,
            report.otherIncarnation, std::move(running),   std::move(ended)};
}

worker_report decodeReport(const json &row)
{
    worker_report report;
    report.workerClockMs = row.at(2).get<std::int64_t>();
    report.incarnation = row.at(3).get<std::int64_t>();
    report.fenced = row.at(4).get<bool>();
    report.otherIncarnation = row.at(5).get<bool>();
    for (const auto &each : row.at(6)) {
        running_task seen;
        seen.task = decodeTask(each, 0);
        seen.run = each.at(4).get<std::int64_t>();
        seen.checkpoint = each.at(5).get<std::string>();
        seen.percent = each.at(6).get<int>();
        seen.usage = each.at(7).get<double>();
        report.running.push_back(std::move(seen));
    }
    for (const auto &each : row.at(7)) {
        run_end end;
        end.task = decodeTask(each, 0);
        end.run = each.at(4).get<std::int64_t>();
        end.number = each.at(5).get<std::int64_t>();
        end.kind = each.at(6).get<end_kind>();
        end.checkpoint = each.at(7).get<std::string>();
        report.ended.push_back(std::move(end));
    }
    return report;
}

json encodeFailure(const error &failure)
{
    const bool known = failure.kind == error_kind::unavailable;
    return {result_kind::failure, known ? failureNames[0].second : failureNames[1].second,
            failure.place, failure.message};
}

error decodeFailure(const json &row)
{
    error failure;
    failure.kind = row.at(2).get<std::string>() == failureNames[0].second
                       ? error_kind::unavailable
                       : error_kind::outcome_unknown;
    failure.place = row.at(3).get<std::string>();
    failure.message = row.at(4).get<std::string>();
    return failure;
}

/// A message with the calls of one exchange.
struct relayed_message
{
    std::string session;
    std::int64_t number = 0; ///< number of the message within its session; 0: not numbered
    json calls;
    json payloads; ///< payloads by job id
};

/// Decodes the envelope of a message; returns `nullopt` if it is malformed. The single calls are
/// not checked.
std::optional<relayed_message> decodeMessage(const std::string &bytes)
{
    const auto in = decodeCbor(bytes);
    if (!in) {
        return std::nullopt;
    }
    try {
        relayed_message message;
        message.session = in->at("session").get<std::string>();
        message.number = in->value("number", std::int64_t {0});
        message.calls = in->at("calls").get<json::array_t>();
        message.payloads = in->value("payloads", json::object_t {});
        return message;
    } catch (const json::exception &problem) {
        logEvent(log_level::error, "relayed_call_unreadable", {{"error", problem.what()}});
        return std::nullopt;
    }
}

/// Returns `row` with `number` inserted in front.
json numbered(std::int64_t number, const json &row)
{
    json out = json::array({number});
    out.insert(out.end(), row.begin(), row.end());
    return out;
}

} // namespace

std::vector<relay_peer> chooseRelays(const std::vector<relay_peer> &peers,
                                     const std::map<std::string, int> &workersByDataCentre)
{
    int workers = 0;
    for (const auto &[dataCentre, count] : workersByDataCentre) {
        workers += count;
    }
    std::vector<relay_peer> chosen;
    if (workers <= workersPerRelay) {
        return chosen;
    }
    for (const auto &[dataCentre, count] : workersByDataCentre) {
        std::vector<relay_peer> candidates;
        std::copy_if(
            peers.begin(), peers.end(), std::back_inserter(candidates),
            [&place = dataCentre](const relay_peer &peer) { return peer.dataCentre == place; });
        std::sort(candidates.begin(), candidates.end(),
                  [](const relay_peer &a, const relay_peer &b) {
                      return std::tie(b.processorShare, a.address)
                             < std::tie(a.processorShare, b.address);
                  });
        const auto wanted =
            static_cast<std::size_t>((count + workersPerRelay - 1) / workersPerRelay);
        candidates.resize(std::min(candidates.size(), wanted));
        chosen.insert(chosen.end(), candidates.begin(), candidates.end());
    }
    return chosen;
}

relay_client::relay_client(worker_calls &direct, peer_link &peers, scheduler &timers,
                           metrics_registry &metrics, std::string session)
    : m_direct(direct)
    , m_peers(peers)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_session(std::move(session))
{
}

void relay_client::useRelays(const std::vector<relay_peer> &relays)
{
    for (auto &[address, each] : m_relays) {
        each.inUse = false;
    }
    for (const auto &peer : relays) {
        auto &each = m_relays[peer.address];
        if (each.peer.address.empty()) {
            logEvent(log_level::info, "relay_found",
                     {{"relay", peer.address},
                      {"data_centre", peer.dataCentre},
                      {"processor_share", peer.processorShare}});
        }
        each.peer = peer;
        each.inUse = true;
    }
}

relay_client::relay *relay_client::selectRelay(const worker_entry &worker)
{
    // The selection depends only on the worker and the set of relays, so that connections are
    // reused.
    relay *best = nullptr;
    std::pair<bool, std::size_t> bestRank;
    const auto now = m_timers.now();
    for (auto &[address, each] : m_relays) {
        if (!each.inUse || each.unusableUntil > now) {
            continue;
        }
        const std::pair<bool, std::size_t> rank {each.peer.dataCentre == worker.dataCentre,
                                                 std::hash<std::string> {}(worker.id + address)};
        if (best == nullptr || rank > bestRank) {
            best = &each;
            bestRank = rank;
        }
    }
    return best;
}

void relay_client::startRun(const worker_entry &worker, const run_order &order,
                            reply<run_command_reply> done)
{
    auto *const to = selectRelay(worker);
    if (to == nullptr) {
        m_direct.startRun(worker, order, std::move(done));
        return;
    }
    to->payloads[order.task.job] = order.payload;
    add(*to, encodeStartCall(worker, order), {std::move(done), commandTimeout + resultMargin});
}

void relay_client::stopRun(const worker_entry &worker, const task_name &task, std::int64_t run,
                           std::int64_t fencingToken, reply<run_command_reply> done)
{
    auto *const to = selectRelay(worker);
    if (to == nullptr) {
        m_direct.stopRun(worker, task, run, fencingToken, std::move(done));
        return;
    }
    add(*to, encodeRunCall(call_kind::stop, worker, task, run, fencingToken, 0),
        {std::move(done), commandTimeout + resultMargin});
}

void relay_client::throttleRun(const worker_entry &worker, const task_name &task, std::int64_t run,
                               int percent, std::int64_t fencingToken,
                               reply<run_command_reply> done)
{
    auto *const to = selectRelay(worker);
    if (to == nullptr) {
        m_direct.throttleRun(worker, task, run, percent, fencingToken, std::move(done));
        return;
    }
    add(*to, encodeRunCall(call_kind::throttle, worker, task, run, fencingToken, percent),
        {std::move(done), commandTimeout + resultMargin});
}

void relay_client::poll(const worker_entry &worker, const poll_request &order,
                        reply<worker_report> done)
{
    auto *const to = selectRelay(worker);
    if (to == nullptr) {
        m_direct.poll(worker, order, std::move(done));
        return;
    }
    add(*to, encodePollCall(worker, order),
        {open_poll {worker, order, std::move(done)},
         order.wait + reportTransferTime + resultMargin});
}

void relay_client::add(relay &to, const json &call, open_call open)
{
    const auto number = m_nextNumber++;
    to.calls.push_back(numbered(number, call));
    to.open.emplace(number, std::move(open));
    m_metrics.add("ibishinge_relayed_calls_total");
    scheduleExchange(to);
    scheduleOverdueCheck();
}

void relay_client::scheduleExchange(relay &to)
{
    const bool wanted = !to.calls.empty() || (!to.open.empty() && to.exchanges.empty());
    if (!wanted || to.sendScheduled || to.exchanges.size() >= maxConcurrentExchanges) {
        return;
    }
    to.sendScheduled = true;
    m_timers.after(batchDelay,
                   [this, address = to.peer.address, alive = std::weak_ptr<int>(m_alive)] {
                       if (!alive.expired()) {
                           auto &scheduled = m_relays.at(address);
                           scheduled.sendScheduled = false;
                           exchange(scheduled);
                       }
                   });
}

void relay_client::exchange(relay &to)
{
    if (to.open.empty() || to.exchanges.size() >= maxConcurrentExchanges) {
        return;
    }
    const processor_time_scope used(m_metrics, work_kind::relay_messages);
    const auto now = m_timers.now();
    for (const auto &call : to.calls) {
        auto &open = to.open.at(call.at(0).get<std::int64_t>());
        open.until = now + open.allowed;
    }
    const json message = {{"session", m_session},
                          {"number", m_nextNumber++},
                          {"calls", std::exchange(to.calls, json::array())},
                          {"payloads", std::exchange(to.payloads, json::object())}};
    to.exchanges.insert(now);
    m_metrics.add("ibishinge_relay_exchanges_total");
    m_peers.exchangeWorkerCalls(
        to.peer.address, encodeCbor(message), exchangeTimeout,
        [this, address = to.peer.address, now,
         alive = std::weak_ptr<int>(m_alive)](const result<std::string> &answer) {
            if (!alive.expired()) {
                onExchanged(address, now, answer);
            }
        });
}

void relay_client::onExchanged(const std::string &address, instant sentAt,
                               const result<std::string> &answer)
{
    const processor_time_scope used(m_metrics, work_kind::relay_messages);
    auto &from = m_relays.at(address);
    from.exchanges.erase(from.exchanges.find(sentAt));
    if (!answer) {
        failRelay(from, describe(answer.error()));
        return;
    }
    try {
        const json message = parseJson(*answer);
        const auto incarnation = message.at("incarnation").get<std::string>();
        if (!from.incarnation.empty() && from.incarnation != incarnation && !from.open.empty()) {
            from.incarnation = incarnation;
            failRelay(from, "the relay process was restarted");
            return;
        }
        from.incarnation = incarnation;
        if (message.value("leaving", false)) {
            // The relay still answers its open calls.
            from.unusableUntil = m_timers.now() + failedRelayPause;
        }
        for (const auto &row : message.at("results")) {
            applyResult(from, row);
        }
    } catch (const json::exception &problem) {
        failRelay(from, problem.what());
        return;
    }
    from.answeredExchange = std::max(from.answeredExchange, sentAt);
    scheduleExchange(from);
}

void relay_client::applyResult(relay &from, const json &row)
{
    const auto found = from.open.find(row.at(0).get<std::int64_t>());
    if (found == from.open.end()) {
        return;
    }
    // The row is decoded before the call is removed: a call whose result cannot be decoded stays
    // open until the relay is treated as failed.
    const auto kind = row.at(1).get<result_kind>();
    std::optional<error> failure;
    run_command_reply order;
    worker_report report;
    if (kind == result_kind::failure) {
        failure = decodeFailure(row);
    } else if (kind == result_kind::report) {
        report = decodeReport(row);
    } else {
        order = {row.at(2).get<run_command_outcome>(), row.at(3).get<std::int64_t>()};
    }
    auto call = std::move(found->second);
    from.open.erase(found);
    if (auto *const done = std::get_if<reply<run_command_reply>>(&call.what)) {
        (*done)(failure ? result<run_command_reply>(tl::unexpected(*failure)) : order);
    } else {
        std::get<open_poll>(call.what).done(
            failure ? result<worker_report>(tl::unexpected(*failure)) : report);
    }
}

void relay_client::failRelay(relay &which, std::string_view reason)
{
    if (which.open.empty()) {
        return;
    }
    logEvent(log_level::warning, "relay_lost",
             {{"relay", which.peer.address}, {"reason", reason}, {"open", which.open.size()}});
    m_metrics.add("ibishinge_relays_lost_total");
    which.unusableUntil = m_timers.now() + failedRelayPause;
    which.calls = json::array();
    which.payloads = json::object();
    for (auto &[number, call] : std::exchange(which.open, {})) {
        if (auto *const done = std::get_if<reply<run_command_reply>>(&call.what)) {
            error failure;
            failure.kind = error_kind::outcome_unknown;
            failure.place = which.peer.address;
            failure.message = "the relay failed before its answer arrived";
            (*done)(tl::unexpected(std::move(failure)));
        } else {
            // A poll may be repeated at any time, because only the worker's answer to it is used.
            auto &poll = std::get<open_poll>(call.what);
            poll.order.wait = milliseconds(0);
            m_direct.poll(poll.worker, poll.order, std::move(poll.done));
        }
    }
}

void relay_client::scheduleOverdueCheck()
{
    if (m_overdueCheckScheduled) {
        return;
    }
    m_overdueCheckScheduled = true;
    m_timers.after(overdueCheckInterval, [this, alive = std::weak_ptr<int>(m_alive)] {
        if (!alive.expired()) {
            m_overdueCheckScheduled = false;
            failOverdueRelays();
        }
    });
}

void relay_client::failOverdueRelays()
{
    const bool anyOpen = std::any_of(m_relays.begin(), m_relays.end(),
                                     [](const auto &each) { return !each.second.open.empty(); });
    if (anyOpen) {
        scheduleOverdueCheck();
    }
    for (auto &[address, each] : m_relays) {
        // An answer to an earlier message may be overtaken by that to a later one.
        const auto heardUntil = each.exchanges.empty()
                                    ? each.answeredExchange
                                    : std::min(each.answeredExchange, *each.exchanges.begin());
        const bool overdue = std::any_of(each.open.begin(), each.open.end(), [&](const auto &call) {
            return call.second.until < heardUntil;
        });
        if (overdue) {
            failRelay(each, "the relay returned no result for a call in time");
        }
    }
}

relay_service::relay_service(worker_calls &direct, scheduler &timers, std::string incarnation)
    : m_direct(direct)
    , m_timers(timers)
    , m_incarnation(std::move(incarnation))
{
}

void relay_service::handle(const std::string &text, instant readAt,
                           std::function<void(std::string)> done)
{
    const auto now = m_timers.now();
    auto message = decodeMessage(text);
    if (!message) {
        logEvent(log_level::error, "relayed_calls_unreadable", {{"bytes", text.size()}});
        done({});
        return;
    }
    removeExpiredSessions();
    const auto &name = message->session;
    auto &clientSession = m_sessions[name];
    clientSession.usedAt = now;
    answer(clientSession); // completes the previous exchange of the session
    clientSession.waiting = std::move(done);
    const auto exchange = ++clientSession.exchange;
    scheduleAnswer(name, clientSession); // for results that arrived between two exchanges
    const bool old = since(readAt, now) > maxCallAge;
    if (message->number != 0 && !clientSession.seen.insert(message->number).second) {
        // The HTTP client resends a message whose connection was closed. A start must not be made
        // twice: its run may have ended in between, and the answer would look like a rejection.
        message->calls = json::array();
    }
    while (clientSession.seen.size() > maxRememberedMessages) {
        clientSession.seen.erase(clientSession.seen.begin());
    }
    for (const auto &call : message->calls) {
        try {
            if (old) {
                error failure;
                failure.kind = error_kind::unavailable;
                failure.message =
                    "the relay was paused after it had received the call; call not made";
                addResult(name, numbered(call.at(0).get<std::int64_t>(), encodeFailure(failure)));
            } else {
                makeCall(name, call, message->payloads);
            }
        } catch (const json::exception &problem) {
            // The coordinator treats a call without a result as one with an unknown outcome.
            logEvent(log_level::error, "relayed_call_unreadable", {{"error", problem.what()}});
        }
    }
    m_timers.after(maxHoldTime, [this, name, exchange, alive = std::weak_ptr<int>(m_alive)] {
        if (alive.expired()) {
            return;
        }
        const auto found = m_sessions.find(name);
        if (found != m_sessions.end() && found->second.exchange == exchange) {
            answer(found->second);
        }
    });
}

void relay_service::makeCall(const std::string &name, const json &call, const json &payloads)
{
    const auto number = call.at(0).get<std::int64_t>();
    worker_entry worker;
    worker.id = call.at(2).get<std::string>();
    worker.address = call.at(3).get<std::string>();
    const auto alive = std::weak_ptr<int>(m_alive);
    const auto onOrder = [this, name, number, alive](const result<run_command_reply> &answer) {
        if (!alive.expired()) {
            addResult(name, numbered(number, answer ? json {result_kind::order, answer->outcome,
                                                            answer->workerClockMs}
                                                    : encodeFailure(answer.error())));
        }
    };
    switch (call.at(1).get<call_kind>()) {
    case call_kind::start: {
        run_order order;
        order.task = decodeTask(call, 4);
        order.run = call.at(8).get<std::int64_t>();
        order.leaseUntil = call.at(9).get<std::int64_t>();
        order.fencingToken = call.at(10).get<std::int64_t>();
        order.checkpoint = call.at(11).get<std::string>();
        order.ticket = call.at(12).get<std::string>();
        order.payload = payloads.at(order.task.job).get<std::string>();
        m_direct.startRun(worker, order, onOrder);
        break;
    }
    case call_kind::stop:
        m_direct.stopRun(worker, decodeTask(call, 4), call.at(8).get<std::int64_t>(),
                         call.at(9).get<std::int64_t>(), onOrder);
        break;
    case call_kind::throttle:
        m_direct.throttleRun(worker, decodeTask(call, 4), call.at(8).get<std::int64_t>(),
                             call.at(10).get<int>(), call.at(9).get<std::int64_t>(), onOrder);
        break;
    case call_kind::poll: {
        poll_request order;
        order.leaseUntil = call.at(4).get<std::int64_t>();
        order.fencingToken = call.at(5).get<std::int64_t>();
        order.acknowledgedEnd = call.at(6).get<std::int64_t>();
        order.wait = milliseconds(call.at(7).get<std::int64_t>());
        if (call.size() > 9) {
            order.knownEnd = call.at(8).get<std::int64_t>();
            order.knownIncarnation = call.at(9).get<std::int64_t>();
        }
        m_direct.poll(worker, order,
                      [this, name, number, order, alive](result<worker_report> answer) {
                          if (alive.expired()) {
                              return;
                          }
                          if (answer) {
                              removeKnownEnds(*answer, order);
                          }
                          addResult(name, numbered(number, answer ? encodeReport(*answer)
                                                                  : encodeFailure(answer.error())));
                      });
        break;
    }
    }
}

void relay_service::addResult(const std::string &name, json row)
{
    const auto found = m_sessions.find(name);
    if (found == m_sessions.end()) {
        return;
    }
    auto &clientSession = found->second;
    clientSession.results.push_back(std::move(row));
    scheduleAnswer(name, clientSession);
}

void relay_service::scheduleAnswer(const std::string &name, session &clientSession)
{
    if (!clientSession.waiting || clientSession.answerScheduled || clientSession.results.empty()) {
        return;
    }
    clientSession.answerScheduled = true;
    m_timers.after(batchDelay, [this, name, alive = std::weak_ptr<int>(m_alive)] {
        if (alive.expired()) {
            return;
        }
        const auto found = m_sessions.find(name);
        if (found != m_sessions.end()) {
            found->second.answerScheduled = false;
            answer(found->second);
        }
    });
}

void relay_service::answer(session &clientSession)
{
    if (!clientSession.waiting) {
        return;
    }
    const auto done = std::exchange(clientSession.waiting, nullptr);
    const json message = {{"incarnation", m_incarnation},
                          {"leaving", m_shuttingDown},
                          {"results", std::exchange(clientSession.results, json::array())}};
    // JSON text, because the coordinator parses it faster than CBOR, and the coordinator's
    // processor time is the bottleneck.
    done(message.dump(-1, ' ', false, json::error_handler_t::replace));
}

void relay_service::removeExpiredSessions()
{
    const auto oldest = m_timers.now() - sessionExpiry;
    std::erase_if(m_sessions, [&](const auto &each) { return each.second.usedAt < oldest; });
}

} // namespace ibishinge::fleet
