#include "../standins/kv_store_service.h"

#include <ibishinge/base/settings.h>
#include <ibishinge/outside/etcd_kv_store.h>
#include <ibishinge/outside/http_client.h>
#include <ibishinge/outside/http_server.h>

#include <array>
#include <iostream>
#include <map>

using namespace ibishinge;

namespace {

constexpr int writers = 2; ///< processes that write at the same time
constexpr int recordsPerWriter = 50;
constexpr std::size_t shards = 8;

std::string recordKey(int writer, int record)
{
    return "request/team/" + std::to_string(writer) + "-" + std::to_string(record);
}

/// Ends the program if a call or a write failed: the counts would be meaningless.
void require(bool condition, const char *message)
{
    if (!condition) {
        std::cerr << message << "\n";
        std::exit(1); // NOLINT(concurrency-mt-unsafe)
    }
}

conditional_write create(int writer, int record)
{
    return {recordKey(writer, record), 0, std::nullopt, "claimed", 0};
}

void writeOneByOne(kv_store &store)
{
    for (int writer = 0; writer < writers; ++writer) {
        for (int record = 0; record < recordsPerWriter; ++record) {
            const auto applied = store.applyBatch(std::array {create(writer, record)});
            require(applied && applied->outcomes[0].applied, "write failed");
        }
    }
}

void writeNested(kv_store &store, int batches)
{
    std::vector<conditional_write> writes;
    for (int writer = 0; writer < writers; ++writer) {
        for (int record = 0; record < recordsPerWriter; ++record) {
            writes.push_back(create(writer, record));
        }
    }
    const std::size_t size = writes.size() / static_cast<std::size_t>(batches);
    for (std::size_t first = 0; first < writes.size(); first += size) {
        const auto applied = store.applyBatch(std::span(writes).subspan(first, size));
        require(applied.has_value(), "batch failed");
        for (const auto &outcome : applied->outcomes) {
            require(outcome.applied, "write failed");
        }
    }
}

/// Each shard is one document that all writers change. The writers read all documents, then write
/// theirs in turn; a writer that loses the comparison repeats with the document it was shown.
void writeDocuments(kv_store &store)
{
    struct document
    {
        store_revision revision = 0;
        std::string value;
    };
    std::array<std::map<std::size_t, document>, writers> views;
    for (auto &view : views) {
        const auto found = store.range({"shard/", true});
        require(found.has_value(), "read failed");
        for (std::size_t shard = 0; shard < shards; ++shard) {
            view[shard] = {};
        }
    }
    for (int writer = 0; writer < writers; ++writer) {
        for (auto &[shard, seen] : views[static_cast<std::size_t>(writer)]) {
            std::string added;
            for (int record = 0; record < recordsPerWriter; ++record) {
                const std::string key = recordKey(writer, record);
                if (std::hash<std::string> {}(key) % shards == shard) {
                    added += key + "=claimed\n";
                }
            }
            bool applied = added.empty();
            while (!applied) {
                const conditional_write write {"shard/" + std::to_string(shard), seen.revision,
                                               std::nullopt, seen.value + added, 0};
                const auto outcome = store.applyBatch(std::array {write});
                require(outcome.has_value(), "write failed");
                applied = outcome->outcomes[0].applied;
                if (!applied) {
                    seen = {outcome->outcomes[0].current->modRevision,
                            outcome->outcomes[0].current->value};
                }
            }
        }
    }
}

void measure(const char *name, const std::function<void(kv_store &)> &run)
{
    const system_clock_source clock;
    kv_store_service service(clock);
    const auto server =
        http_server::start({}, [&service](const http_request &r) { return service.handle(r); });
    require(server.has_value(), "cannot listen");
    const auto client = http_client::create({});
    const auto store = makeEtcdKvStore({{{"127.0.0.1", (*server)->port()}}}, *client);
    const auto start = std::chrono::steady_clock::now();
    run(*store);
    const std::chrono::duration<double, std::milli> time = std::chrono::steady_clock::now() - start;
    const auto counted = service.counters();
    std::cout << name << ": " << counted.writes << " writes, " << counted.reads << " reads, "
              << counted.rejected << " rejected, " << time.count() << " ms\n";
}

} // namespace

/// Counts the calls that 100 independent conditional writes of two processes take.
int main(int argc, char **argv)
{
    static_cast<void>(readSettingsOrExit(
        argc, argv, "Counts the store's calls for 100 conditional writes of two processes.", {}));
    measure("one CAS a record", writeOneByOne);
    measure("one nested txn", [](kv_store &store) { writeNested(store, 1); });
    measure("one nested txn for each process",
            [](kv_store &store) { writeNested(store, writers); });
    measure("one document for each of 8 shards", writeDocuments);
    return 0;
}
