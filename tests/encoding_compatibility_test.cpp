#include "platform/wire_codec.h"
#include "standins/virtual_loop.h"

#include <ibishinge/base/metrics.h>
#include <ibishinge/fleet/caller.h>
#include <ibishinge/fleet/record_codec.h>
#include <ibishinge/fleet/worker_relay.h>
#include <ibishinge/outside/base64.h>
#include <ibishinge/state/allowance_record.h>
#include <ibishinge/state/catalogue_record.h>
#include <ibishinge/state/host_record.h>
#include <ibishinge/state/job_record.h>
#include <ibishinge/state/keys_record.h>
#include <ibishinge/state/ledger_record.h>
#include <ibishinge/state/membership.h>
#include <ibishinge/state/stops_record.h>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace std::chrono_literals;

namespace {

/// Returns the bytes of a file below tests/data/encodings.
std::string readSample(const std::string &file)
{
    std::ifstream in(std::string(IBISHINGE_SOURCE_DIR) + "/tests/data/encodings/" + file);
    CPPUNIT_ASSERT_MESSAGE(file, in.good());
    return {std::istreambuf_iterator<char>(in), {}};
}

/// CBOR samples are kept in Base64.
std::string readBinarySample(const std::string &file)
{
    const auto bytes = decodeBase64(readSample(file));
    CPPUNIT_ASSERT_MESSAGE(file, bytes.has_value());
    return *bytes;
}

/// Decodes `text` and encodes the result again. A text that cannot be decoded is returned as such.
template <class Decode, class Encode>
std::string reencode(const std::string &text, Decode decode, Encode encode)
{
    const auto decoded = decode(text);
    return decoded ? encode(*decoded) : "cannot be decoded";
}

std::string reencodeProgress(const std::string &text)
{
    auto job = fleet::decodeJob("j", readSample("fleet-job.json"));
    CPPUNIT_ASSERT(job.has_value());
    return fleet::applyProgress(*job, text) ? fleet::encodeProgress(*job) : "cannot be decoded";
}

/// Records the calls to workers that a relay makes and answers them at once.
class recorded_calls final : public fleet::worker_calls
{
public:
    nlohmann::json made = nlohmann::json::array();

    void startRun(const fleet::worker_entry &worker, const fleet::run_order &order,
                  fleet::reply<fleet::run_command_reply> done) override
    {
        made.push_back({"start", worker.id, worker.address, platform::encodeStart(order)});
        done(fleet::run_command_reply {fleet::run_command_outcome::no_capacity, 482113});
    }
    void stopRun(const fleet::worker_entry &worker, const fleet::task_name &task, std::int64_t run,
                 std::int64_t fencingToken, fleet::reply<fleet::run_command_reply> done) override
    {
        made.push_back(
            {"stop", worker.id, worker.address, platform::encodeStop(task, run, fencingToken)});
        done(makeError(error_kind::unavailable, "w2", "refused"));
    }
    void throttleRun(const fleet::worker_entry &worker, const fleet::task_name &task,
                     std::int64_t run, int percent, std::int64_t fencingToken,
                     fleet::reply<fleet::run_command_reply> done) override
    {
        made.push_back({"pace", worker.id, worker.address,
                        platform::encodePace(task, run, percent, fencingToken)});
        done(makeError(error_kind::outcome_unknown, "w1", "timeout"));
    }
    void poll(const fleet::worker_entry &worker, const fleet::poll_request &order,
              fleet::reply<fleet::worker_report> done) override
    {
        made.push_back({"look", worker.id, worker.address, platform::encodeLook(order)});
        done(*platform::decodeReport(200, readSample("platform-report.json")));
    }
};

/// Keeps the last message to a relay and its reply handler.
class recorded_peer final : public fleet::peer_link
{
public:
    std::string message;
    fleet::reply<std::string> answer;

    void forward(const std::string &, const std::string &, fleet::forward_kind, milliseconds,
                 fleet::reply<std::string>) override
    {
    }
    void offerLeadership(const std::string &, std::int64_t, fleet::reply<bool>) override
    {
    }
    void probeSuccessor(const std::string &, std::int64_t, fleet::milliseconds,
                        fleet::reply<bool>) override
    {
    }
    void exchangeWorkerCalls(const std::string &, const std::string &calls, milliseconds,
                             fleet::reply<std::string> done) override
    {
        message = calls;
        answer = std::move(done);
    }
};

fleet::task_name sampleTask()
{
    return {"5c0e7a21d94b36f8", 2, 1, 17};
}

fleet::run_order sampleOrder()
{
    return {sampleTask(), 70003, "payload", 482500, 91, "00000bb87a21d94b", "ticket"};
}

fleet::worker_entry sampleWorker(const std::string &id)
{
    fleet::worker_entry worker;
    worker.id = id;
    worker.address = "127.0.0.1:800" + id.substr(1);
    return worker;
}

} // namespace

/// Guards against a rename that changes stored records or messages between processes, which
/// processes and stores of an earlier version would misread. The files were written by the version
/// of 2026-12-04; each must be read completely and be encoded again to the same bytes.
class encoding_compatibility_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(encoding_compatibility_test);
    CPPUNIT_TEST(storedRecords);
    CPPUNIT_TEST(progressOfEarlierVersions);
    CPPUNIT_TEST(messagesOfThePlatform);
    CPPUNIT_TEST(answersBetweenProcesses);
    CPPUNIT_TEST(callsThroughARelay);
    CPPUNIT_TEST(keysOfRecords);
    CPPUNIT_TEST_SUITE_END();

public:
    void storedRecords()
    {
        using fleet::decodeJob;
        using text = std::string;
        struct row
        {
            const char *file;
            std::function<text(const text &)> reencoded;
        };
        const std::vector<row> rows {
            {"fleet-leader.json",
             [](const text &in) { return reencode(in, fleet::decodeLeader, fleet::encodeLeader); }},
            {"fleet-job.json",
             [](const text &in) {
                 return reencode(
                     in, [](const text &each) { return fleet::decodeJob("j", each); },
                     fleet::encodeJob);
             }},
            {"fleet-progress.json", reencodeProgress},
            {"fleet-ended.json",
             [](const text &in) { return reencode(in, fleet::decodeEnded, fleet::encodeEnded); }},
            {"fleet-relays.json",
             [](const text &in) { return reencode(in, fleet::decodeRelays, fleet::encodeRelays); }},
            {"fleet-roster.json",
             [](const text &in) { return reencode(in, fleet::decodeRoster, fleet::encodeRoster); }},
            {"fleet-wave.json",
             [](const text &in) {
                 return reencode(in, fleet::decodeWaveRecord, fleet::encodeWaveRecord);
             }},
            {"fleet-homes.json",
             [](const text &in) {
                 return reencode(in, fleet::decodeBaselines, fleet::encodeBaselines);
             }},
            {"peer-request.json",
             [](const text &in) {
                 return reencode(in, fleet::decodeRequest, fleet::encodeRequest);
             }},
            {"allowance.json",
             [](const text &in) { return reencode(in, decodeAllowance, encodeAllowance); }},
            {"catalogue.json",
             [](const text &in) {
                 return reencode(in, decodeCatalogueRecord, encodeCatalogueRecord);
             }},
            {"host.json", [](const text &in) { return reencode(in, decodeHost, encodeHost); }},
            {"job.json",
             [](const text &in) { return reencode(in, decodeJobRecord, encodeJobRecord); }},
            {"keys.json", [](const text &in) { return reencode(in, decodeKeys, encodeKeys); }},
            {"ledger.json",
             [](const text &in) {
                 return reencode(
                     in, [](const text &each) { return decodeLedgerRecord("record", each); },
                     encodeLedgerRecord);
             }},
            {"member.json",
             [](const text &in) {
                 return reencode(
                     in, [](const text &each) { return parseMember(nlohmann::json::parse(each)); },
                     [](const member_info &each) { return toJson(each).dump(); });
             }},
            {"stops.json", [](const text &in) { return reencode(in, decodeStops, encodeStops); }},
        };
        for (const auto &row : rows) {
            const auto stored = readSample(row.file);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.file, stored, row.reencoded(stored));
        }
    }

    /// Records that list the complete occurrences, and records of jobs that run once, which are
    /// written as before.
    void progressOfEarlierVersions()
    {
        CPPUNIT_ASSERT_EQUAL(readSample("fleet-progress.json"),
                             reencodeProgress(readSample("fleet-progress-complete.json")));
        fleet::job_entry once;
        once.spec = fleet::decodeJob("j", readSample("fleet-job.json"))->spec;
        once.spec.repetitions = 0;
        const std::string stored =
            R"({"complete":[],"open":{"0":{"done":["1010","00"],"failures":[[0,1,[70001,70002]]]}}})";
        CPPUNIT_ASSERT(fleet::applyProgress(once, stored));
        CPPUNIT_ASSERT_EQUAL(stored, fleet::encodeProgress(once));
    }

    void messagesOfThePlatform()
    {
        const auto order = sampleOrder();
        CPPUNIT_ASSERT_EQUAL(readSample("platform-start.json"), platform::encodeStart(order));
        CPPUNIT_ASSERT_EQUAL(readSample("platform-stop.json"),
                             platform::encodeStop(order.task, order.run, order.fencingToken));
        CPPUNIT_ASSERT_EQUAL(readSample("platform-pace.json"),
                             platform::encodePace(order.task, order.run, 40, order.fencingToken));
        CPPUNIT_ASSERT_EQUAL(readSample("platform-look.json"),
                             platform::encodeLook({482500, 91, 58, 250ms}));
        CPPUNIT_ASSERT_EQUAL(readSample("platform-advice.json"),
                             platform::encodeAdviceCall("5c0e7a21d94b36f8", 2, 1, {"w1", "w2"}));
        CPPUNIT_ASSERT_EQUAL(
            readSample("platform-transaction.json"),
            platform::encodeTransaction(
                {{{"fleet/leader", 412}}, {{"fleet/job/j", "value", 7}}, {"fleet/progress/j"}}));
    }

    void answersBetweenProcesses()
    {
        for (const char *file :
             {"peer-answer-shown.b64", "peer-answer-counted.b64", "peer-answer-refused.b64"}) {
            const auto sent = readBinarySample(file);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                file, encodeBase64(sent),
                encodeBase64(reencode(sent, fleet::decodeAnswer, fleet::encodeAnswer)));
        }
        const auto refused = fleet::decodeAnswer(readBinarySample("peer-answer-refused.b64"));
        CPPUNIT_ASSERT(refused && refused->kind == fleet::answer_kind::not_ready);
        CPPUNIT_ASSERT(refused->retryAfter == 1200ms && refused->version == 9);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7003"), refused->coordinator);
    }

    /// Both directions: the coordinator's message, the relay's reading of it, its results, and the
    /// coordinator's reading of those.
    void callsThroughARelay()
    {
        standin::virtual_loop loop;
        metrics_registry metrics;
        recorded_calls direct;
        recorded_peer peer;
        fleet::relay_client coordinator(direct, peer, loop, metrics, "session-1");
        coordinator.useRelays({{"127.0.0.1:7001", "north", 0.5}});
        const auto order = sampleOrder();
        nlohmann::json replies = nlohmann::json::array();
        const auto onReply = [&](const result<fleet::run_command_reply> &reply) {
            replies.push_back(reply ? nlohmann::json {reply->outcome, reply->workerClockMs}
                                    : nlohmann::json {describe(reply.error())});
        };
        std::optional<fleet::worker_report> report;
        coordinator.startRun(sampleWorker("w1"), order, onReply);
        coordinator.stopRun(sampleWorker("w2"), order.task, order.run, order.fencingToken, onReply);
        coordinator.throttleRun(sampleWorker("w1"), order.task, order.run, 40, order.fencingToken,
                                onReply);
        coordinator.poll(sampleWorker("w2"), {482500, 91, 58, 250ms},
                         [&](const result<fleet::worker_report> &reply) { report = *reply; });
        loop.run(20ms);
        CPPUNIT_ASSERT_EQUAL(readSample("relay-calls.b64"), encodeBase64(peer.message));

        fleet::relay_service relay(direct, loop, "incarnation-1");
        std::string results;
        relay.handle(readBinarySample("relay-calls.b64"), loop.now(),
                     [&](const std::string &text) { results = text; });
        loop.run(20ms);
        CPPUNIT_ASSERT_EQUAL(readSample("relay-made.json"), direct.made.dump());
        CPPUNIT_ASSERT_EQUAL(readSample("relay-results.json"), results);

        peer.answer(readSample("relay-results.json"));
        CPPUNIT_ASSERT_EQUAL(readSample("relay-replies.json"), replies.dump());
        CPPUNIT_ASSERT(report && report->workerClockMs == 482113 && report->incarnation == 7);
        CPPUNIT_ASSERT_EQUAL(41, report->running.at(0).percent);
        CPPUNIT_ASSERT_EQUAL(12.5, report->running.at(0).usage);
        CPPUNIT_ASSERT_EQUAL(std::int64_t {58}, report->ended.at(0).number);
        CPPUNIT_ASSERT(report->ended.at(1).kind == fleet::end_kind::gang_incomplete);
    }

    void keysOfRecords()
    {
        nlohmann::json keys = {fleet::leaderKey,
                               fleet::termKey,
                               fleet::rosterKeyOf("w1"),
                               fleet::jobPrefix,
                               fleet::endedPrefix,
                               fleet::progressPrefix,
                               fleet::baselinesKey,
                               fleet::relaysKey,
                               fleet::wavePrefix,
                               allowancePrefix,
                               catalogueKey,
                               historyKey(5),
                               keysKey,
                               hostPrefix,
                               jobKey("p", "q/j"),
                               ledgerKey("amber", "r"),
                               stopsKey,
                               jobNoteKey("p", job_note::submitted, "q/j"),
                               jobNoteKey("p", job_note::cancel, "q/j")};
        CPPUNIT_ASSERT_EQUAL(readSample("keys-of-records.json"), keys.dump());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(encoding_compatibility_test);
