#include <ibishinge/service/entry_service.h>
#include <ibishinge/state/catalogue_record.h>

#include "standins/memory_kv_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <string>
#include <thread>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

/// Answers each call with the next of the given errors.
class failing_targets final : public target_client
{
public:
    explicit failing_targets(std::vector<error_kind> kinds)
        : m_kinds(std::move(kinds))
    {
    }
    result<target_reply> call(const endpoint &target, const target_call & /*call*/,
                              milliseconds /*timeout*/) override
    {
        return makeError(m_kinds.at(m_next++), toString(target), "injected fault");
    }

private:
    std::vector<error_kind> m_kinds;
    std::atomic<std::size_t> m_next {0};
};

catalogue_record openCatalogue()
{
    service_entry service;
    service.name = "status";
    service.owner = "owner";
    service.access.openToAll = true;
    service.maxRun = 1000ms;
    service.maxWaiting = 10;
    service.maxIdleSlots = 1;
    service.latencyObjective = 100ms;
    service.availabilityObjective = 0.99;
    catalogue_record record;
    record.version = 1;
    record.changeId = "change";
    record.value.services = {service};
    return record;
}

host_list_snapshot twoTargets()
{
    host_list_snapshot list;
    list.version = 1;
    for (const std::uint16_t port : {std::uint16_t(9001), std::uint16_t(9002)}) {
        const std::string id = "host" + std::to_string(port);
        list.hosts.push_back({id,
                              "127.0.0.1",
                              "dc1",
                              "r1",
                              {{"status", {"127.0.0.1", port}, 8, 64}},
                              listed_host_state::live});
    }
    return list;
}

/// Returns the run state that the caller of an idempotent request is told.
std::string toldAfter(const std::vector<error_kind> &kinds)
{
    const system_clock_source clock;
    memory_kv_store store(clock);
    metrics_registry metrics;
    failing_targets targets(kinds);
    const auto allowances = allowance_manager::create("holder", store);
    const auto dispatcher = request_dispatcher::create({"dc1", 1, {}, {}}, *allowances, clock);
    const auto cache = configuration_cache::create(store, clock, {});
    const auto accepted = cache->accept({{encodeCatalogueRecord(openCatalogue()), 1}, {}});
    CPPUNIT_ASSERT_MESSAGE(accepted ? "" : describe(accepted.error()), accepted.has_value());
    dispatcher->applyCatalogue(openCatalogue().value, 1);
    dispatcher->updateHosts(twoTargets());
    CPPUNIT_ASSERT(allowances->adjust(clock.wallNow()).has_value());
    dispatcher->tick();
    const auto committer = group_committer::create(store, clock, {});
    const auto ledger = request_ledger::create(*committer, store, clock);
    const auto jobs = job_api::create(store, clock, {}, [&] { return cache->view().current; });
    const auto service = entry_service::create(
        "incarnation", {*cache, *dispatcher, *ledger, targets, metrics, clock, *jobs});

    http_request request;
    request.method = "POST";
    request.path = "/v1/services/status/requests";
    request.headers = {{"Ibishinge-Request-Id", "id"},
                       {"Ibishinge-Team", "team"},
                       {"Ibishinge-Deadline-Ms", "60000"},
                       {"Ibishinge-Idempotent", "true"}};
    const auto response = service->handle(request);
    return std::string(findHeader(response.headers, "Ibishinge-Run").value_or(response.body));
}

} // namespace

/// Guards against "not run" being told of an attempt that may have run at its first target.
class entry_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_service_test);
    CPPUNIT_TEST(runStateCoversAllTargetsTried);
    CPPUNIT_TEST_SUITE_END();

public:
    void runStateCoversAllTargetsTried()
    {
        struct row
        {
            const char *name;
            std::vector<error_kind> kinds;
            std::string told;
        };
        const std::vector<row> rows {
            {"cut, then refused",
             {error_kind::target_failed, error_kind::unavailable},
             "may_have_run"},
            {"cut twice", {error_kind::target_failed, error_kind::target_failed}, "may_have_run"},
            {"refused, then cut",
             {error_kind::unavailable, error_kind::target_failed},
             "may_have_run"},
            {"refused twice",
             {error_kind::unavailable, error_kind::unavailable},
             "attempt_not_run"},
        };
        for (const auto &row : rows) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.told, toldAfter(row.kinds));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_service_test);
