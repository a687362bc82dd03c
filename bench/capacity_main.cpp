#include <ibishinge/base/settings.h>
#include <ibishinge/decision/admission.h>
#include <ibishinge/decision/freshness.h>
#include <ibishinge/decision/routing.h>
#include <ibishinge/outside/http_host_list.h>
#include <ibishinge/state/allowance_record.h>
#include <ibishinge/state/catalogue_record.h>
#include <ibishinge/state/keys_record.h>
#include <ibishinge/state/ledger_record.h>

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

void require(bool holds, const char *what)
{
    if (!holds) {
        std::cerr << what << "\n";
        std::exit(1); // NOLINT(concurrency-mt-unsafe)
    }
}

/// Bytes in use on the heap.
double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Returns the processor time of one call in microseconds: the least of five rounds.
double microsecondsOf(const std::function<void()> &call, int calls)
{
    double least = 1e30;
    for (int round = 0; round < 5; ++round) {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < calls; ++i) {
            call();
        }
        const std::chrono::duration<double, std::micro> time =
            std::chrono::steady_clock::now() - start;
        least = std::min(least, time.count() / calls);
    }
    return least;
}

void row(const char *what, std::size_t size, const char *unit, double bytes, double microseconds)
{
    std::printf("| %s | %zu %s | %.0f | %.2f |\n", what, size, unit, bytes, microseconds);
}

std::string numbered(const char *prefix, std::size_t number)
{
    return prefix + std::to_string(number);
}

/// One request through submit, start and finish, with all teams known and 16 requests waiting each.
void measureAdmission(std::size_t teams)
{
    const double before = heapBytes();
    admission_table table;
    monotonic_time now {1h};
    std::uint64_t id = 0;
    const auto submitOne = [&](std::size_t team) {
        const waiting_request request {++id, numbered("team-", team), "search", false, now + 1h};
        static_cast<void>(submit(table, request, now));
    };
    constexpr std::size_t waitingEach = 16;
    for (std::size_t team = 0; team < teams; ++team) {
        setTeam(table, numbered("team-", team), 1);
        setAllowance(table, numbered("team-", team), {1000, 1000, 0}, now);
    }
    for (std::size_t i = 0; i < teams * waitingEach; ++i) {
        submitOne(i % teams);
    }
    const double bytes = (heapBytes() - before) / static_cast<double>(teams * waitingEach);
    std::size_t next = 0;
    const double time = microsecondsOf(
        [&] {
            now += 1ms;
            submitOne(next++ % teams);
            for (const auto &started : startNext(table, "search", 1, now)) {
                finish(table, started.id, run_sample::complete, now);
            }
        },
        2000);
    row("admission: submit, start, finish; bytes of a waiting request", teams, "teams", bytes,
        time);
}

/// The work of one second for one team: decode the record, plan, encode.
void measureAllowance(std::size_t holders)
{
    allowance_record record;
    record.limit = 1000;
    record.limitVersion = 7;
    for (std::size_t i = 0; i < holders; ++i) {
        record.holders[numbered("entry-0", i) + "@10.0.0.1:8080/0123456789abcdef"] = {
            12, 10, 11, {}};
    }
    const std::string text = encodeAllowance(record);
    allowance_holder holder;
    holder.id = record.holders.begin()->first;
    holder.limit = 1000;
    holder.limitVersion = 7;
    const double time = microsecondsOf(
        [&] {
            auto read = decodeAllowance(text);
            require(read.has_value(), "allowance record not read");
            onRecordRead(holder, std::move(*read), 5);
            updateDemand(holder);
            updateStartLimit(holder, wall_time {1h}, {});
            static_cast<void>(planWrite(holder, {}, wall_time {1h}, {}));
        },
        500);
    row("allowance: read and plan one team; bytes of its record", holders, "holders",
        static_cast<double>(text.size()), time);
}

host_list_snapshot hostList(std::size_t hosts)
{
    host_list_snapshot list;
    list.version = 1;
    for (std::size_t i = 0; i < hosts; ++i) {
        const std::string address = "10." + std::to_string(i / 62500) + "."
                                    + std::to_string(i / 250 % 250) + "."
                                    + std::to_string(i % 250 + 1);
        list.hosts.push_back({numbered("host-0", i),
                              address,
                              numbered("dc", i % 5),
                              numbered("rack-0", i / 4),
                              {{numbered("service-", i % 10), {address, 9000}, 8, 64}},
                              listed_host_state::live});
    }
    return list;
}

void measureRouting(std::size_t hosts)
{
    const auto list = hostList(hosts);
    const std::string body = formatHostList(list);
    const int calls = static_cast<int>(std::max<std::size_t>(2, 5000 / hosts));
    row("host list: parse; bytes of the body", hosts, "hosts", static_cast<double>(body.size()),
        microsecondsOf([&] { require(parseHostList(body).has_value(), "list not read"); }, calls));

    const double before = heapBytes();
    target_table table;
    monotonic_time now {1h};
    require(updateTargets(table, list, now), "list not taken");
    const double bytes = (heapBytes() - before) / static_cast<double>(hosts);
    row("routing: take an unchanged list; bytes of a target", hosts, "targets", bytes,
        microsecondsOf([&] { static_cast<void>(updateTargets(table, list, now)); }, calls));
    row("routing: health of all targets, ten times a second", hosts, "targets", bytes,
        microsecondsOf(
            [&] {
                now += 100ms;
                updateTargetHealth(table, now, 100ms);
            },
            calls));
    random_engine engine(1);
    row("routing: select and complete", hosts, "targets", bytes,
        microsecondsOf(
            [&] {
                now += 1ms;
                const auto slot =
                    selectTarget(table, {"service-1", "dc1", 1000ms, true, {}}, now, engine);
                require(slot.has_value(), "no target");
                completeAttempt(table, slot->attempt, {attempt_outcome::complete, 3, false}, now);
            },
            2000));
}

void measureCatalogue(std::size_t teams, std::size_t pools)
{
    catalogue value;
    for (std::size_t i = 0; i < teams; ++i) {
        value.teams.push_back(
            {numbered("team-", i), "team@example.org", work_class::normal, 2, 100});
    }
    std::vector<std::string> some;
    for (std::size_t i = 0; i < std::min<std::size_t>(teams, 6); ++i) {
        some.push_back(value.teams[i].name);
    }
    for (std::size_t i = 0; i < pools; ++i) {
        service_entry service;
        service.name = numbered("service-", i);
        service.owner = "services@example.org";
        service.access.teams = some;
        service.maxRun = 30s;
        service.maxIdleSlots = 24;
        service.maxWaiting = 200;
        service.latencyObjective = 500ms;
        service.availabilityObjective = 0.99;
        value.services.push_back(service);
        pool_entry pool;
        pool.name = numbered("pool-", i);
        pool.owner = "fleet@example.org";
        pool.maxHosts = 60;
        pool.budget.maxUnavailable = 4;
        pool.maintenanceInterval = 504h;
        value.pools.push_back(pool);
    }
    const std::string text = encodeCatalogueRecord({1, "0123456789abcdef", 1ms, value});
    const std::string size = std::to_string(teams) + " teams and " + std::to_string(pools);
    row(("catalogue: decode and check; bytes of the document, " + size + " pools").c_str(),
        teams + 2 * pools, "entries", static_cast<double>(text.size()),
        microsecondsOf(
            [&] { require(decodeCatalogueRecord(text).has_value(), "catalogue not read"); }, 20));
}

void measureFreshness(std::size_t members)
{
    freshness_input input;
    input.now = monotonic_time {1h};
    input.held = {5, 5};
    for (std::size_t i = 0; i < members; ++i) {
        input.members.push_back({numbered("0123456789abcde", i),
                                 member_state::reachable,
                                 input.now - 500ms,
                                 4000ms,
                                 {5, 5}});
    }
    row("freshness: decide without contact", members, "members",
        static_cast<double>(members * sizeof(member_report)),
        microsecondsOf([&] { static_cast<void>(decideFreshness(input)); }, 2000));
}

void measureKeys(std::size_t keys)
{
    catalogue in;
    in.teams.push_back({"team-0", "team@example.org", work_class::normal, 1, 10});
    key_list list;
    issued_key last;
    for (std::size_t i = 0; i < keys; ++i) {
        const std::string digits = std::to_string(1'000'000 + i);
        last = makeKey("team-" + std::to_string(i % 69),
                       {"000000000" + digits, "0123456789abcdef000000000" + digits,
                        "secret-secret-secret-" + digits},
                       1000ms);
        list.keys.push_back(last.record);
    }
    const std::string text = encodeKeys(list);
    row("keys: decode; bytes of the document", keys, "keys", static_cast<double>(text.size()),
        microsecondsOf([&] { require(decodeKeys(text).has_value(), "keys not read"); }, 20));
    const access_rule rule {false, {"team-0"}};
    const std::string presented = "team-0.no-such-secret";
    row("keys: check a key that fits none", keys, "keys", static_cast<double>(text.size()),
        microsecondsOf([&] { static_cast<void>(authorize(list, in, rule, "team-0", presented)); },
                       500));
}

void measureLedger(std::size_t answerBytes)
{
    ledger_record record {
        ledger_state::finished, "0123456789abcdef-000001", std::string(64, 'a'), {}};
    if (answerBytes > 0) {
        record.answer = stored_response {200, "application/json", std::string(answerBytes, 'x')};
    }
    const std::string text = encodeLedgerRecord(record);
    row("ledger: encode and decode a record; its bytes", answerBytes, "bytes of answer",
        static_cast<double>(text.size()),
        microsecondsOf(
            [&] {
                require(decodeLedgerRecord("k", encodeLedgerRecord(record)).has_value(),
                        "record not read");
            },
            500));
}

} // namespace

/// Measures bytes for each entity and time for each event of the decision code at several sizes.
int main(int argc, char **argv)
{
    static_cast<void>(readSettingsOrExit(
        argc, argv, "Measures the decision code's bytes and times at several sizes.", {}));
    std::printf("| what | size | bytes | microseconds |\n| --- | --- | --- | --- |\n");
    for (const std::size_t teams : {6U, 24U, 69U}) {
        measureAdmission(teams);
    }
    for (const std::size_t holders : {4U, 8U, 16U, 32U}) {
        measureAllowance(holders);
    }
    for (const std::size_t hosts : {50U, 500U, 2500U}) {
        measureRouting(hosts);
    }
    measureCatalogue(6, 4);
    measureCatalogue(24, 16);
    measureCatalogue(69, 42);
    for (const std::size_t members : {4U, 16U, 64U}) {
        measureFreshness(members);
    }
    for (const std::size_t keys : {6U, 500U, 1900U}) {
        measureKeys(keys);
    }
    for (const std::size_t answer : {0U, 1024U, 4096U}) {
        measureLedger(answer);
    }
    return 0;
}
