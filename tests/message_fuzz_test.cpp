#include "platform/wire_codec.h"

#include <ibishinge/base/json.h>
#include <ibishinge/fleet/caller.h>
#include <ibishinge/fleet/record_codec.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace ibishinge;
using namespace ibishinge::fleet;

namespace {

constexpr std::uint32_t seed = 20261204;
constexpr int mutationsPerSample = 4000;

/// A decoder of bytes that come from outside the process, and samples that it accepts.
struct decoder_case
{
    std::string name;
    std::function<void(const std::string &)> decode;
    std::vector<std::string> samples;
};

std::string forwardedRequest()
{
    caller_request request;
    request.operation = caller_operation::submit;
    request.host = "jobs.example";
    request.path = "/a/0123456789abcdef";
    request.key = "key";
    request.sentAtMs = 1'000;
    request.senderIncarnation = "one-1";
    request.maxHold = std::chrono::milliseconds(250);
    request.spec.emplace();
    request.spec->payload = "payload";
    request.spec->steps.emplace_back();
    return encodeRequest(request);
}

std::vector<decoder_case> decoders()
{
    const std::string job =
        R"({"spec":"x","steps":[{"count":2,"cpu":500,"mem-mb":1,"after":[0]}]})";
    const std::string item = R"({"key":"k","value":"eA==","revision":7,"created":7,"lease":0})";
    const std::string report =
        R"({"clock-ms":9,"born":1,"running":[["0123456789abcdef.0.1.9",2,"",41]],)"
        R"("ended":[[58,"0123456789abcdef.0.1.9",1,"done",""]]})";
    const std::string config =
        R"({"version":3,"routes":[],"services":[],"tenants":[],"limits":{}})";
    const std::string entry = R"({"service":"a","address":"1.2.3.4:5","zone":"z","state":"ready",)"
                              R"("born":5,"capacity":{"cpu":1},"labels":["a"],"machine":"m"})";
    const std::string hosts = R"({"machines":[{"machine":"m","pool":"p","state":"up","zone":"z",)"
                              R"("labels":[],"capacity":{},"id":"i"}],"next-token":""})";
    const auto page = R"({"items":[)" + item + R"(],"events":[)" + item
                      + R"(],"current-rev":9,"more-pages":false})";
    return {
        {"job", [](const auto &text) { static_cast<void>(platform::decodeJob(text)); }, {job}},
        {"item", [](const auto &text) { static_cast<void>(platform::decodeItem(text)); }, {item}},
        {"page", [](const auto &text) { static_cast<void>(platform::decodePage(text)); }, {page}},
        {"report",
         [](const auto &text) { static_cast<void>(platform::decodeReport(200, text)); },
         {report}},
        {"start",
         [](const auto &text) { static_cast<void>(platform::decodeStartReply(409, text)); },
         {R"({"clock-ms":5,"reason":"room"})"}},
        {"advice",
         [](const auto &text) { static_cast<void>(platform::decodeAdvice(text)); },
         {R"({"good":[["w","ticket"]],"validity-ms":5})"}},
        {"lease",
         [](const auto &text) { static_cast<void>(platform::decodeLease(text)); },
         {R"({"lease":5,"ttl-ms":3000})"}},
        {"hosts",
         [](const auto &text) { static_cast<void>(platform::decodeHosts(text)); },
         {hosts}},
        {"worker",
         [](const auto &text) { static_cast<void>(platform::decodeWorkerEntry("w", text)); },
         {entry}},
        {"configuration",
         [](const auto &text) { static_cast<void>(platform::decodeConfiguration(text)); },
         {config}},
        {"wave",
         [](const auto &text) { static_cast<void>(platform::decodeWave(text)); },
         {R"({"wave":1,"machines":["a"],"deadline-s":9,"cap":2})"}},
        {"forwarded request",
         [](const auto &text) { static_cast<void>(decodeRequest(text)); },
         {forwardedRequest()}},
        {"answer",
         [](const auto &text) { static_cast<void>(decodeAnswer(text)); },
         {encodeAnswer({})}},
        {"leader",
         [](const auto &text) { static_cast<void>(decodeLeader(text)); },
         {encodeLeader({"n", "i", "1.2.3.4:5", 3})}},
        {"roster",
         [](const auto &text) { static_cast<void>(decodeRoster(text)); },
         {encodeRoster({worker_entry {}})}},
        {"relays",
         [](const auto &text) { static_cast<void>(decodeRelays(text)); },
         {encodeRelays({{"a", "z", 0.5}})}},
        {"ended",
         [](const auto &text) { static_cast<void>(decodeEnded(text)); },
         {encodeEnded({job_state::completed, 5, true}),
          encodeEnded({job_state::cancelled, 5, false})}},
        {"wave record",
         [](const auto &text) { static_cast<void>(decodeWaveRecord(text)); },
         {encodeWaveRecord({{"a"}, false, {"b"}})}},
        {"homes",
         [](const auto &text) { static_cast<void>(decodeBaselines(text)); },
         {encodeBaselines({{"a", 5}})}},
        {"message between processes",
         [](const auto &text) { static_cast<void>(decodeCbor(text)); },
         {encodeCbor({{"a", {1, 2.5, "x", nullptr, {{"b", true}}}}})}},
    };
}

std::string mutate(std::string text, std::mt19937 &random)
{
    const auto below = [&random](std::size_t bound) {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
    };
    static const std::vector<std::string> pieces {
        "null",        "-1",   "1e999",  "99999999999999999999", "[]",       "{}",
        "\"\"",        "true", "[[[[[[", std::string(1, '\0'),   "\xff\xfe", "\x9f",
        "\x81\x81\x81"};
    const auto changes = 1 + below(4);
    for (std::size_t i = 0; i < changes; ++i) {
        const auto at = below(text.size() + 1);
        switch (below(4)) {
        case 0:
            text.insert(at, pieces[below(pieces.size())]);
            break;
        case 1:
            text.erase(at, 1 + below(12));
            break;
        case 2:
            if (at < text.size()) {
                text[at] = static_cast<char>(below(256));
            }
            break;
        default: {
            const auto &piece = pieces[below(pieces.size())];
            text.replace(at, std::min(text.size() - at, 1 + below(4)), piece);
            break;
        }
        }
    }
    return text;
}

} // namespace

/// Guards against messages of other processes, or records in the store, that end the process: each
/// decoder must decode mutated samples or return an error, and must not throw.
class message_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_fuzz_test);
    CPPUNIT_TEST(mutatedMessagesAreDecodedOrRefused);
    CPPUNIT_TEST(deepNestingIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void mutatedMessagesAreDecodedOrRefused()
    {
        std::mt19937 random(seed);
        for (const auto &each : decoders()) {
            for (const auto &sample : each.samples) {
                each.decode(sample);
                for (int i = 0; i < mutationsPerSample; ++i) {
                    const auto text = mutate(sample, random);
                    try {
                        each.decode(text);
                    } catch (const std::exception &problem) {
                        CPPUNIT_FAIL(each.name + ": " + problem.what() + " in " + text);
                    }
                }
            }
        }
    }

    /// The library decodes nested values by recursion, so that a deeply nested message of 1 MB
    /// would overflow the stack.
    void deepNestingIsRefused()
    {
        constexpr std::size_t size = 1U << 20U;
        for (const char opening : {'\x81', '\x9f', '\xa1'}) {
            const std::string bytes(size, opening);
            CPPUNIT_ASSERT(!decodeCbor(bytes).has_value());
            CPPUNIT_ASSERT(!decodeRequest(bytes).has_value());
            CPPUNIT_ASSERT(!decodeAnswer(bytes).has_value());
        }
        CPPUNIT_ASSERT(!platform::decodeJob(std::string(size, '[')).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_fuzz_test);
