#include <ibishinge/state/catalogue_record.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>

using namespace ibishinge;
using nlohmann::json;

namespace {

std::string sampleText()
{
    std::ifstream in(IBISHINGE_SOURCE_DIR "/examples/catalogue.json");
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

json sample()
{
    return *parseDocument(sampleText());
}

/// A change that makes the sample document invalid, and the places that must be reported for it.
struct fault_case
{
    const char *what;
    std::function<void(json &)> corrupt;
    std::vector<std::string> pointers;
};

const std::vector<fault_case> faultCases {
    {"unknown field", [](json &d) { d["teams"][0]["colour"] = 1; }, {"/teams/0/colour"}},
    {"unknown list", [](json &d) { d["robots"] = json::array(); }, {"/robots"}},
    {"other schema", [](json &d) { d["schema"] = 2; }, {"/schema"}},
    {"missing list", [](json &d) { d.erase("waves"); }, {"/waves"}},
    {"list of another type", [](json &d) { d["waves"] = 3; }, {"/waves"}},
    {"entry of another type",
     [](json &d) { d["waves"][0] = 3; },
     {"/waves/0", "/waves/0/name", "/waves/0/owner", "/waves/0/class", "/waves/0/order",
      "/waves/0/concurrency", "/waves/0/pools"}},
    {"no owner", [](json &d) { d["pools"][1].erase("owner"); }, {"/pools/1/owner"}},
    {"unknown class", [](json &d) { d["teams"][1]["class"] = "slow"; }, {"/teams/1/class"}},
    {"limit of another type",
     [](json &d) { d["teams"][1]["upper_limit"] = "9"; },
     {"/teams/1/upper_limit"}},
    {"fraction as limit",
     [](json &d) { d["teams"][1]["upper_limit"] = 1.5; },
     {"/teams/1/upper_limit"}},
    {"limit above 64 bits",
     [](json &d) { d["teams"][1]["upper_limit"] = UINT64_MAX; },
     {"/teams/1/upper_limit"}},
    {"negative limit",
     [](json &d) { d["teams"][1]["upper_limit"] = -1; },
     {"/teams/1/upper_limit"}},
    {"zero weight", [](json &d) { d["teams"][1]["share_weight"] = 0; }, {"/teams/1/share_weight"}},
    {"availability of 1",
     [](json &d) { d["services"][0]["availability_objective"] = 1; },
     {"/services/0/availability_objective"}},
    {"idle bounds crossed",
     [](json &d) { d["services"][0]["min_idle_slots"] = 25; },
     {"/services/0/min_idle_slots"}},
    {"run time above the bound",
     [](json &d) { d["services"][0]["max_run_ms"] = 600001; },
     {"/services/0/max_run_ms"}},
    {"open to nobody",
     [](json &d) { d["services"][0]["open_to"] = json::array(); },
     {"/services/0/open_to"}},
    {"unknown team",
     [](json &d) {
         d["services"][0]["open_to"] = {"amber", "nobody"};
     },
     {"/services/0/open_to/1"}},
    {"team listed twice",
     [](json &d) {
         d["queues"][0]["open_to"] = {"amber", "amber"};
     },
     {"/queues/0/open_to/1"}},
    {"unknown pool", [](json &d) { d["queues"][0]["pool"] = "none"; }, {"/queues/0/pool"}},
    {"queue on a spare pool",
     [](json &d) { d["queues"][0]["pool"] = "spare"; },
     {"/queues/0/pool"}},
    {"both budget bounds",
     [](json &d) { d["pools"][0]["budget"]["max_unavailable"] = 1; },
     {"/pools/0/budget"}},
    {"no budget bound",
     [](json &d) { d["pools"][0]["budget"] = json::object(); },
     {"/pools/0/budget"}},
    {"budget above the pool's size",
     [](json &d) { d["pools"][0]["budget"]["min_available"] = 41; },
     {"/pools/0/budget/min_available"}},
    {"unknown domain level",
     [](json &d) {
         d["pools"][0]["domain_budgets"]["room"] = {{"max_unavailable", 1}};
     },
     {"/pools/0/domain_budgets/room"}},
    {"wave with an unknown pool",
     [](json &d) { d["waves"][0]["pools"] = {"none"}; },
     {"/waves/0/pools/0"}},
    {"pool in two waves",
     [](json &d) {
         d["waves"][2]["pools"] = {"front", "spare"};
     },
     {"/waves/2/pools/1"}},
    {"duplicate name", [](json &d) { d["services"][1]["name"] = "search"; }, {"/services/1/name"}},
    {"malformed name", [](json &d) { d["waves"][1]["name"] = "a.b"; }, {"/waves/1/name"}},
    {"slash in a field name", [](json &d) { d["waves"][1]["a/b"] = 1; }, {"/waves/1/a~1b"}},
    {"no document",
     [](json &d) { d = 7; },
     {"", "/schema", "/teams", "/services", "/queues", "/pools", "/waves"}},
};

std::vector<std::string> pointersOf(const std::vector<document_problem> &problems)
{
    std::vector<std::string> pointers;
    pointers.reserve(problems.size());
    for (const auto &problem : problems) {
        pointers.push_back(problem.pointer);
    }
    std::sort(pointers.begin(), pointers.end());
    return pointers;
}

} // namespace

/// Guards against accepting an invalid catalogue, and against reporting only the first of several
/// faults or reporting a fault at the wrong place.
class catalogue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(catalogue_test);
    CPPUNIT_TEST(sampleIsValid);
    CPPUNIT_TEST(eachFaultIsReportedAtItsPointer);
    CPPUNIT_TEST(anyFaultsAreReportedTogether);
    CPPUNIT_TEST(repeatedFieldIsReported);
    CPPUNIT_TEST(deepNestingIsReported);
    CPPUNIT_TEST(documentRoundTrips);
    CPPUNIT_TEST(differencesNameEveryChange);
    CPPUNIT_TEST(differencesIgnoreOrder);
    CPPUNIT_TEST(recordRoundTrips);
    CPPUNIT_TEST_SUITE_END();

public:
    void sampleIsValid()
    {
        const auto read = parseCatalogue(sample());
        CPPUNIT_ASSERT_MESSAGE(read ? "" : describe(read.error()), read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), read->teams.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), read->services.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), read->queues.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), read->pools.size());
    }

    void eachFaultIsReportedAtItsPointer()
    {
        for (const auto &fault : faultCases) {
            json document = sample();
            fault.corrupt(document);
            const auto read = parseCatalogue(document);
            CPPUNIT_ASSERT_MESSAGE(fault.what, !read.has_value());
            auto expected = fault.pointers;
            std::sort(expected.begin(), expected.end());
            CPPUNIT_ASSERT_MESSAGE(std::string(fault.what) + ": " + describe(read.error()),
                                   pointersOf(read.error()) == expected);
            for (const auto &problem : read.error()) {
                CPPUNIT_ASSERT_MESSAGE(fault.what,
                                       !problem.found.empty() && !problem.allowed.empty());
            }
        }
    }

    void anyFaultsAreReportedTogether()
    {
        CPPUNIT_ASSERT(rc::check("two faults in different lists are both reported", [] {
            const auto first = *rc::gen::elementOf(faultCases);
            const auto second = *rc::gen::elementOf(faultCases);
            const auto listOf = [](const fault_case &fault) {
                const std::string &pointer = fault.pointers.front();
                return pointer.substr(0, pointer.find('/', 1));
            };
            RC_PRE(listOf(first) != listOf(second));
            RC_PRE(!listOf(first).empty() && !listOf(second).empty());
            json document = sample();
            first.corrupt(document);
            second.corrupt(document);
            const auto read = parseCatalogue(document);
            RC_ASSERT(!read.has_value());
            const auto found = pointersOf(read.error());
            for (const auto &fault : {first, second}) {
                for (const auto &pointer : fault.pointers) {
                    RC_ASSERT(std::find(found.begin(), found.end(), pointer) != found.end());
                }
            }
        }));
    }

    void repeatedFieldIsReported()
    {
        const auto read = parseDocument(R"({"teams":[{},{"a":[1],"b":{"c":1,"c":2}}]})");
        CPPUNIT_ASSERT(!read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("/teams/1/b/c"), read.error().front().pointer);
    }

    /// Guards against a deeply nested document of an operator that ends the process by a stack
    /// overflow.
    void deepNestingIsReported()
    {
        const std::size_t levels = 1000000;
        const auto arrays = std::string(levels, '[') + std::string(levels, ']');
        std::string objects;
        for (std::size_t i = 0; i < levels; ++i) {
            objects += R"({"a":)";
        }
        objects += "1" + std::string(levels, '}');
        for (const auto &text : {arrays, objects, R"({"teams":)" + arrays + "}"}) {
            const auto read = parseDocument(text);
            CPPUNIT_ASSERT(!read.has_value());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), read.error().size());
            CPPUNIT_ASSERT_EQUAL(std::string("more than 32 levels"), read.error().front().found);
        }
        CPPUNIT_ASSERT(parseDocument(std::string(32, '[') + std::string(32, ']')).has_value());
        CPPUNIT_ASSERT(!parseDocument(std::string(levels, '[')).has_value());
    }

    void documentRoundTrips()
    {
        const auto read = parseCatalogue(sample());
        const auto again = parseCatalogue(toJson(*read));
        CPPUNIT_ASSERT(again.has_value());
        CPPUNIT_ASSERT(differences(*read, *again).empty());
    }

    void differencesNameEveryChange()
    {
        const auto before = *parseCatalogue(sample());
        auto after = before;
        after.teams[0].upperLimit = 7;
        after.services.pop_back();
        after.waves.push_back(after.waves.back());
        after.waves.back().name = "fourth";
        after.pools[0].domainBudgets.erase(after.pools[0].domainBudgets.begin());
        const std::vector<catalogue_difference> expected {
            {change_kind::removed, "/pools/general/domain_budgets/rack", "max_unavailable 2", ""},
            {change_kind::removed, "/services/status", "", ""},
            {change_kind::changed, "/teams/amber/upper_limit", "160", "7"},
            {change_kind::added, "/waves/fourth", "", ""},
        };
        CPPUNIT_ASSERT(differences(before, after) == expected);
    }

    void differencesIgnoreOrder()
    {
        const auto before = *parseCatalogue(sample());
        auto after = before;
        std::reverse(after.teams.begin(), after.teams.end());
        std::reverse(after.services[0].access.teams.begin(), after.services[0].access.teams.end());
        CPPUNIT_ASSERT(differences(before, after).empty());
    }

    void recordRoundTrips()
    {
        const catalogue_record record {3, "0123", std::chrono::milliseconds(5),
                                       *parseCatalogue(sample())};
        const auto read = decodeCatalogueRecord(encodeCatalogueRecord(record));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(record.version, read->version);
        CPPUNIT_ASSERT_EQUAL(record.changeId, read->changeId);
        CPPUNIT_ASSERT(differences(record.value, read->value).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("config-history/000000000003"), historyKey(3));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_test);
