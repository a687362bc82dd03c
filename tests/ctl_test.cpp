#include "tests/support/member_simulation.h"

#include <ibishinge/ctl/burn_report.h>
#include <ibishinge/ctl/command.h>
#include <ibishinge/ctl/error_guide.h>
#include <ibishinge/ctl/text_table.h>
#include <ibishinge/service/operators_api.h>

#include <cppunit/extensions/HelperMacros.h>
#include <glog/logging.h>

#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace ibishinge;
using nlohmann::json;

namespace {

const std::string token = "0123456789abcdef-operators";
const endpoint first {"127.0.0.1", 1};
const endpoint second {"127.0.0.1", 2};

std::string fileText(const std::string &path)
{
    std::ifstream in(IBISHINGE_SOURCE_DIR "/" + path);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// The command line against the operators' API in one process.
struct operator_desk
{
    operator_desk()
    {
        api = operators_api::create(store, clock, *cache,
                                    {token, {}, [this] { return hosts; }, &burn});
    }

    command_outcome run(const std::vector<std::string> &arguments,
                        output_format format = output_format::json)
    {
        const operators_client client(
            {first, second}, token,
            [this](const endpoint &to, const http_request &request) -> result<http_response> {
                asked.push_back(to.port);
                if (const auto failure = failures.find(to.port); failure != failures.end()) {
                    return makeError(failure->second, toString(to), "test");
                }
                return api->handle(request);
            });
        command_context context {
            client, format, revision, [this](const std::string &path) -> result<std::string> {
                const auto file = files.find(path);
                if (file == files.end()) {
                    return makeError(error_kind::invalid_request, path, "cannot be read");
                }
                return file->second;
            }};
        asked.clear();
        const auto call = findCommand(arguments);
        CPPUNIT_ASSERT_MESSAGE(call ? "" : describe(call.error()), call.has_value());
        return call->what->run(context, call->operand);
    }

    /// Returns the parsed output of a command that succeeds.
    json good(const std::vector<std::string> &arguments)
    {
        const auto outcome = run(arguments);
        CPPUNIT_ASSERT_MESSAGE(outcome.err + outcome.out, outcome.status == exit_status::ok);
        return json::parse(outcome.out);
    }

    void start()
    {
        files["sample"] = fileText("examples/catalogue.json");
        revision = 0;
        (void)good({"catalogue", "apply", "sample"});
        revision.reset();
    }

    manual_clock clock;
    memory_kv_store store {clock};
    std::unique_ptr<configuration_cache> cache = configuration_cache::create(store, clock, {});
    host_list_view hosts;
    burn_log burn {clock};
    std::unique_ptr<operators_api> api;
    std::map<std::uint16_t, error_kind> failures; ///< by port
    std::vector<std::uint16_t> asked;
    std::map<std::string, std::string> files;
    std::optional<std::int64_t> revision;
};

/// Returns an answer to `GET /v1/burn` with the same counts in all windows.
json burnAnswer(const std::string &incarnation, const std::vector<std::string> &others,
                std::uint64_t good, std::uint64_t failed, std::int64_t revision = 1,
                double availability = 0.99)
{
    constexpr std::int64_t now = 1800000000;
    const request_counts counts {good, 0, failed, {}};
    service_history history;
    history.windows.fill(counts);
    history.points.push_back({std::chrono::seconds(now / 600 * 600), counts});
    json service = toJson(history);
    service["latency_objective_ms"] = 200;
    service["availability_objective"] = availability;
    return {{"incarnation", incarnation},     {"other_entries", others},
            {"catalogue_revision", revision}, {"since_ms", now * 1000 - 60000},
            {"now_ms", now * 1000},           {"services", {{"se<rch", service}}}};
}

/// Runs `report burn` against processes with the given answers; null: refuses the connection.
command_outcome reportFrom(const std::vector<json> &answers, output_format format)
{
    std::vector<endpoint> addresses;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        addresses.push_back({"127.0.0.1", static_cast<std::uint16_t>(i)});
    }
    const operators_client client(
        addresses, token, [&](const endpoint &to, const auto &) -> result<http_response> {
            if (answers[to.port].is_null()) {
                return makeError(error_kind::unavailable, toString(to), "refused");
            }
            return jsonResponse(200, answers[to.port].dump());
        });
    const command_context context {client, format, std::nullopt, {}};
    const auto call = findCommand({"report", "burn"});
    return call->what->run(context, "");
}

int limitOf(const json &catalogue)
{
    return catalogue["catalogue"]["teams"][0]["upper_limit"];
}

} // namespace

/// Guards against an operator's edit that overwrites another's, a change sent twice, exit codes
/// that scripts cannot rely on, and a help or completion that lacks a command.
class ctl_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ctl_test);
    CPPUNIT_TEST(argumentsNameACommandOrAreRefused);
    CPPUNIT_TEST(nextAddressIsTriedOnlyWhereNothingIsSentTwice);
    CPPUNIT_TEST(everyErrorKindHasAnExitCodeAndAGuide);
    CPPUNIT_TEST(editIsAppliedOnTheRevisionItWasMadeFrom);
    CPPUNIT_TEST(conflictShowsBothSides);
    CPPUNIT_TEST(documentsAreCheckedBeforeUse);
    CPPUNIT_TEST(keysAreGivenListedAndWithdrawn);
    CPPUNIT_TEST(viewsShowWhatTheProcessKnows);
    CPPUNIT_TEST(burnIsMergedOverAllProcesses);
    CPPUNIT_TEST(burnIsReadFromTheApi);
    CPPUNIT_TEST(incompleteReportsSaySo);
    CPPUNIT_TEST(malformedBurnAnswersChangeNothing);
    CPPUNIT_TEST(htmlPageIsSelfContained);
    CPPUNIT_TEST(malformedAnswersAreFailures);
    CPPUNIT_TEST(tablesAreAlignedAndHoldNoControlCharacters);
    CPPUNIT_TEST(helpAndCompletionNameEveryCommand);
    CPPUNIT_TEST_SUITE_END();

public:
    ctl_test()
    {
        FLAGS_minloglevel = google::GLOG_FATAL;
    }

    void argumentsNameACommandOrAreRefused()
    {
        struct row
        {
            std::vector<std::string> arguments;
            std::string command; ///< "": refused
            std::string operand;
        };
        const std::vector<row> rows {
            {{}, "", ""},
            {{"catalogue"}, "", ""},
            {{"none"}, "", ""},
            {{"catalogue", "none"}, "", ""},
            {{"catalogue", "apply"}, "", ""},
            {{"catalogue", "history", "x"}, "", ""},
            {{"key", "give", "a", "b"}, "", ""},
            {{"catalogue", "get"}, "catalogue get", ""},
            {{"catalogue", "get", "3"}, "catalogue get", "3"},
            {{"key", "give", "a"}, "key give", "a"},
            {{"team"}, "team", ""},
            {{"team", "a"}, "team", "a"},
        };
        for (const auto &[arguments, name, operand] : rows) {
            const auto call = findCommand(arguments);
            CPPUNIT_ASSERT_EQUAL(!name.empty(), call.has_value());
            if (call) {
                CPPUNIT_ASSERT_EQUAL(name, std::string(call->what->words));
                CPPUNIT_ASSERT_EQUAL(operand, call->operand);
            }
        }
    }

    void nextAddressIsTriedOnlyWhereNothingIsSentTwice()
    {
        using ports = std::vector<std::uint16_t>;
        struct row
        {
            std::map<std::uint16_t, error_kind> failures;
            std::vector<std::string> arguments;
            exit_status status;
            ports asked;
        };
        const auto refused = error_kind::unavailable;
        const auto silent = error_kind::target_timeout;
        const auto cut = error_kind::target_failed;
        const std::vector<row> rows {
            {{}, {"key", "list"}, exit_status::ok, {1}},
            {{{1, refused}}, {"key", "list"}, exit_status::ok, {1, 2}},
            {{{1, silent}}, {"key", "list"}, exit_status::ok, {1, 2}},
            {{{1, cut}}, {"key", "list"}, exit_status::ok, {1, 2}},
            {{{1, refused}, {2, refused}}, {"key", "list"}, exit_status::unreachable, {1, 2}},
            {{{1, silent}, {2, silent}}, {"key", "list"}, exit_status::unreachable, {1, 2}},
            {{}, {"key", "give", "amber"}, exit_status::ok, {1}},
            {{{1, refused}}, {"key", "give", "amber"}, exit_status::ok, {1, 2}},
            {{{1, silent}}, {"key", "give", "amber"}, exit_status::outcome_unknown, {1}},
            {{{1, cut}}, {"key", "give", "amber"}, exit_status::outcome_unknown, {1}},
            {{{1, refused}, {2, cut}},
             {"key", "give", "amber"},
             exit_status::outcome_unknown,
             {1, 2}},
            {{{1, refused}, {2, refused}},
             {"key", "give", "amber"},
             exit_status::unreachable,
             {1, 2}},
        };
        operator_desk desk;
        desk.start();
        for (const auto &row : rows) {
            desk.failures = row.failures;
            const auto outcome = desk.run(row.arguments);
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(row.status), static_cast<int>(outcome.status));
            CPPUNIT_ASSERT(row.asked == desk.asked);
        }
    }

    void everyErrorKindHasAnExitCodeAndAGuide()
    {
        operator_desk desk;
        for (int value = 1; value <= static_cast<int>(error_kind::internal); ++value) {
            const auto kind = static_cast<error_kind>(value);
            CPPUNIT_ASSERT(guideFor(kind).kind == kind);
            CPPUNIT_ASSERT(exitStatusFor(kind) != exit_status::ok);
            CPPUNIT_ASSERT(errorKindNamed(nameOf(kind)) == kind);
            const json shown = desk.good({"explain", std::string(nameOf(kind))});
            CPPUNIT_ASSERT_EQUAL(answerFor(kind).httpStatus, shown["status"].get<int>());
            CPPUNIT_ASSERT(!shown["meaning"].get<std::string>().empty());
            CPPUNIT_ASSERT(!shown["action"].get<std::string>().empty());
        }
        CPPUNIT_ASSERT(desk.run({"explain", "none"}).status == exit_status::usage);
        CPPUNIT_ASSERT_EQUAL(std::size_t(17), desk.good({"explain"}).size());
        int next = 0;
        for (const auto &row : exitStatusTable()) {
            CPPUNIT_ASSERT_EQUAL(next++, static_cast<int>(row.status));
        }
    }

    void editIsAppliedOnTheRevisionItWasMadeFrom()
    {
        operator_desk desk;
        desk.start();
        json document = desk.good({"catalogue", "get"});
        document["catalogue"]["teams"][0]["upper_limit"] = 50;
        desk.files["edit"] = document.dump();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             desk.good({"catalogue", "diff", "edit"})["differences"].size());
        CPPUNIT_ASSERT_EQUAL(2, desk.good({"catalogue", "apply", "edit"})["version"].get<int>());
        CPPUNIT_ASSERT_EQUAL(50, limitOf(desk.good({"catalogue", "get"})));
        CPPUNIT_ASSERT_EQUAL(160, limitOf(desk.good({"catalogue", "get", "1"})));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                             desk.good({"catalogue", "history"})["versions"].size());
        // A document without a revision is never applied on whatever is there.
        CPPUNIT_ASSERT(desk.run({"catalogue", "apply", "sample"}).status == exit_status::usage);
    }

    void conflictShowsBothSides()
    {
        operator_desk desk;
        desk.start();
        json mine = desk.good({"catalogue", "get"});
        json theirs = mine;
        mine["catalogue"]["teams"][0]["upper_limit"] = 50;
        theirs["catalogue"]["teams"][1]["upper_limit"] = 60;
        desk.files["mine"] = mine.dump();
        desk.files["theirs"] = theirs.dump();
        (void)desk.good({"catalogue", "apply", "theirs"});

        const auto found = desk.run({"catalogue", "apply", "mine"});
        CPPUNIT_ASSERT(found.status == exit_status::conflict);
        const json body = json::parse(found.out);
        CPPUNIT_ASSERT_EQUAL(50, body["yours"]["teams"][0]["upper_limit"].get<int>());
        CPPUNIT_ASSERT_EQUAL(60, body["current"]["teams"][1]["upper_limit"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), body["changed_by_you"].size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), body["changed_by_others"].size());
        CPPUNIT_ASSERT_EQUAL(std::string("/teams/birch/upper_limit"),
                             body["changed_by_others"][0]["place"].get<std::string>());

        const auto text = desk.run({"catalogue", "apply", "mine"}, output_format::text);
        CPPUNIT_ASSERT(text.status == exit_status::conflict);
        for (const char *part : {"Changed by others", "Changed by you", "/teams/amber/upper_limit",
                                 "/teams/birch/upper_limit"}) {
            CPPUNIT_ASSERT_MESSAGE(text.err, text.err.find(part) != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(160, limitOf(desk.good({"catalogue", "get"})));
    }

    void documentsAreCheckedBeforeUse()
    {
        operator_desk desk;
        desk.start();
        desk.files["wrong"] = R"({"schema": 1, "teams": 3})";
        desk.files["broken"] = "{";
        desk.revision = 1;
        struct row
        {
            std::string file;
            exit_status status;
        };
        for (const auto &[file, status] : std::vector<row> {{"absent", exit_status::usage},
                                                            {"broken", exit_status::usage},
                                                            {"wrong", exit_status::refused}}) {
            for (const char *verb : {"check", "diff", "apply"}) {
                for (const auto format : {output_format::text, output_format::json}) {
                    const auto outcome = desk.run({"catalogue", verb, file}, format);
                    CPPUNIT_ASSERT_EQUAL(static_cast<int>(status),
                                         static_cast<int>(outcome.status));
                    CPPUNIT_ASSERT(!outcome.err.empty() || !outcome.out.empty());
                }
            }
        }
        CPPUNIT_ASSERT(desk.good({"catalogue", "check", "sample"})["valid"].get<bool>());
    }

    void keysAreGivenListedAndWithdrawn()
    {
        operator_desk desk;
        desk.start();
        const json given = desk.good({"key", "give", "amber"});
        const auto secret = given["key"].get<std::string>();
        const auto id = given["id"].get<std::string>();
        const auto listed = desk.run({"key", "list"}, output_format::text);
        CPPUNIT_ASSERT(listed.out.find(id) != std::string::npos);
        CPPUNIT_ASSERT(listed.out.find(secret) == std::string::npos);
        (void)desk.good({"key", "withdraw", id});
        (void)desk.good({"key", "withdraw", id});
        CPPUNIT_ASSERT(desk.good({"key", "list"})["keys"][0].contains("revoked_at_ms"));
        CPPUNIT_ASSERT(desk.run({"key", "give", "none"}).status == exit_status::refused);
        CPPUNIT_ASSERT(desk.run({"key", "withdraw", "none"}).status == exit_status::refused);
    }

    void viewsShowWhatTheProcessKnows()
    {
        operator_desk desk;
        desk.start();
        CPPUNIT_ASSERT_EQUAL(1, desk.good({"status"})["catalogue_version"].get<int>());
        CPPUNIT_ASSERT(desk.run({"host", "list"}).status == exit_status::not_ready);
        listed_host host {"h1", "127.0.0.1", "dc1", "r1", {{"search", {"127.0.0.1", 9}}}};
        host.state = listed_host_state::leaving;
        desk.hosts = {{3, {host}}, desk.clock.now()};
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"),
                             desk.good({"host", "show", "h1"})["state"].get<std::string>());
        CPPUNIT_ASSERT(desk.run({"host", "show", "h2"}).status == exit_status::refused);
        for (const auto &[kind, name] : std::map<std::string, std::string> {
                 {"team", "amber"}, {"queue", "batch"}, {"pool", "general"}}) {
            CPPUNIT_ASSERT(desk.good({kind}).is_array());
            CPPUNIT_ASSERT_EQUAL(name, desk.good({kind, name})["name"].get<std::string>());
            CPPUNIT_ASSERT(desk.run({kind, "none"}).status == exit_status::refused);
        }
        for (const auto &arguments : std::vector<std::vector<std::string>> {
                 {"status"}, {"host", "list"}, {"host", "show", "h1"}, {"team"}, {"pool"}}) {
            const auto outcome = desk.run(arguments, output_format::text);
            CPPUNIT_ASSERT(outcome.status == exit_status::ok);
            CPPUNIT_ASSERT(outcome.out.find("  ") != std::string::npos);
        }
    }

    void burnIsMergedOverAllProcesses()
    {
        // 10 of 1000 bad at a budget of 1% is a burn of 1: 5 of 900 and 5 of 100.
        const auto outcome =
            reportFrom({burnAnswer("a", {"b"}, 895, 5, 1, 0.5), burnAnswer("b", {"a"}, 95, 5, 2),
                        burnAnswer("a", {"b"}, 895, 5)},
                       output_format::json);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome.err, 0, static_cast<int>(outcome.status));
        const json body = json::parse(outcome.out);
        const json &service = body["services"]["se<rch"];
        CPPUNIT_ASSERT_EQUAL(0.99, service["availability_objective"].get<double>());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, service["budget_left"].get<double>(), 1e-9);
        for (const auto &window : service["windows"]) {
            CPPUNIT_ASSERT_EQUAL(1000, window["total"].get<int>());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1, window["burn_rate"].get<double>(), 1e-9);
        }
        CPPUNIT_ASSERT(body["complete"].get<bool>());
    }

    void burnIsReadFromTheApi()
    {
        operator_desk desk;
        desk.start();
        for (int i = 0; i < 100; ++i) {
            const auto verdict = i < 4   ? request_outcome::failed
                                 : i < 5 ? request_outcome::slow
                                         : request_outcome::good;
            desk.burn.record("render", verdict, std::chrono::seconds(i < 5 ? 9 : 1));
        }
        desk.burn.record("render", request_outcome::ignored, std::chrono::seconds(1));
        // Both addresses lead to the same process, whose counts are taken once.
        const json report = desk.good({"report", "burn"});
        const json &service = report["services"]["render"];
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), report["merged"].size());
        CPPUNIT_ASSERT_EQUAL(std::string("slow_burn"), service["state"].get<std::string>());
        for (const auto &window : service["windows"]) {
            CPPUNIT_ASSERT_EQUAL(100, window["total"].get<int>());
            CPPUNIT_ASSERT_EQUAL(4, window["failed"].get<int>());
            CPPUNIT_ASSERT_EQUAL(1, window["slow"].get<int>());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(5, window["burn_rate"].get<double>(), 1e-9);
            CPPUNIT_ASSERT(window["p50_s"].get<double>() < 1.6);
            CPPUNIT_ASSERT(window["p99_s"].get<double>() >= 9);
        }
        CPPUNIT_ASSERT_EQUAL(0, report["services"]["search"]["windows"]["3d"]["total"].get<int>());
    }

    void incompleteReportsSaySo()
    {
        struct row
        {
            std::vector<json> answers;
            exit_status status;
        };
        const json a = burnAnswer("a", {"b"}, 1, 0);
        const json b = burnAnswer("b", {"a"}, 1, 0);
        const std::vector<row> rows {
            {{a, b}, exit_status::ok},
            {{a}, exit_status::incomplete}, // b is known but was not asked
            {{a, nullptr}, exit_status::incomplete},
            {{a, b, nullptr}, exit_status::incomplete},
            {{a, b, json::object()}, exit_status::incomplete},
            {{nullptr, nullptr}, exit_status::unreachable},
            {{json::object()}, exit_status::failed},
        };
        for (const auto &[answers, status] : rows) {
            for (const auto format :
                 {output_format::text, output_format::json, output_format::html}) {
                const auto outcome = reportFrom(answers, format);
                CPPUNIT_ASSERT_EQUAL(static_cast<int>(status), static_cast<int>(outcome.status));
                if (status == exit_status::incomplete && format != output_format::json) {
                    CPPUNIT_ASSERT(outcome.out.find("INCOMPLETE") != std::string::npos);
                }
            }
        }
    }

    void malformedBurnAnswersChangeNothing()
    {
        const json good = burnAnswer("a", {}, 1, 0);
        const std::vector<std::pair<std::string, json>> edits {
            {"/incarnation", 3},
            {"/other_entries", "b"},
            {"/catalogue_revision", nullptr},
            {"/since_ms", "x"},
            {"/services/se<rch/availability_objective", 1},
            {"/services/se<rch/availability_objective", 0},
            {"/services/se<rch/latency_objective_ms", nullptr},
            {"/services/se<rch/points", 3},
            {"/services/se<rch/windows", json::object()},
            {"/services/se<rch/windows/5m/good", "x"},
            {"/services/se<rch/windows/5m/durations", 3},
        };
        for (const auto &[pointer, value] : edits) {
            json answer = good;
            answer[json::json_pointer(pointer)] = value;
            burn_report report;
            CPPUNIT_ASSERT_MESSAGE(pointer, !addAnswer(report, answer));
            CPPUNIT_ASSERT(report.merged.empty() && report.services.empty());
        }
    }

    void htmlPageIsSelfContained()
    {
        const auto page = reportFrom({burnAnswer("a", {}, 90, 10)}, output_format::html).out;
        CPPUNIT_ASSERT(page.find("<svg") != std::string::npos);
        CPPUNIT_ASSERT(page.find("<rect class=\"over\"") != std::string::npos);
        CPPUNIT_ASSERT(page.find("se&lt;rch") != std::string::npos);
        for (const char *outside :
             {"http:", "https:", "src=", "href=", "<script", "@import", "se<rch"}) {
            CPPUNIT_ASSERT_MESSAGE(outside, page.find(outside) == std::string::npos);
        }
    }

    void malformedAnswersAreFailures()
    {
        struct row
        {
            http_response response;
            exit_status status;
        };
        const std::vector<row> rows {
            {{200, {}, ""}, exit_status::failed},
            {{200, {}, "[1]"}, exit_status::failed},
            {{200, {}, "<html>"}, exit_status::failed},
            {{404, {}, "{}"}, exit_status::failed},
            {{500, {}, R"({"error":"none"})"}, exit_status::failed},
            {{500, {}, R"({"error":3})"}, exit_status::failed},
            {{500, {}, R"({"error":"outcome_unknown"})"}, exit_status::outcome_unknown},
            {{503, {}, R"({"error":"not_ready"})"}, exit_status::not_ready},
            {{401, {}, R"({"error":"unauthorized"})"}, exit_status::refused},
            {{200, {}, "{}"}, exit_status::ok},
        };
        for (const auto &row : rows) {
            const operators_client client({first}, token,
                                          [&](const auto &, const auto &) { return row.response; });
            const command_context context {client, output_format::text, 0,
                                           [](const auto &) { return std::string("{}"); }};
            for (const char *name : {"key list", "key withdraw", "catalogue get"}) {
                for (const auto &what : commandTable()) {
                    if (what.words == name) {
                        CPPUNIT_ASSERT_EQUAL(static_cast<int>(row.status),
                                             static_cast<int>(what.run(context, "a").status));
                    }
                }
            }
        }
    }

    void tablesAreAlignedAndHoldNoControlCharacters()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("A     BB\nlong  ?[1m\n"),
                             formatTable({"A", "BB"}, {{"long", "\x1b[1m"}}));
        CPPUNIT_ASSERT_EQUAL(std::string("A  B\nx\n"), formatTable({"A", "B"}, {{"x"}}));
    }

    void helpAndCompletionNameEveryCommand()
    {
        const std::string help = helpFor({}, ctlSettings());
        const std::string completion = fileText("scripts/ibishingectl-completion.bash");
        std::set<std::string> seen;
        for (const auto &what : commandTable()) {
            const std::string words(what.words);
            CPPUNIT_ASSERT(seen.insert(words).second);
            CPPUNIT_ASSERT_MESSAGE(words, help.find("  " + words) != std::string::npos);
            const auto space = words.find(' ');
            const auto &group = words.substr(0, space);
            CPPUNIT_ASSERT_MESSAGE(words, completion.find(group) != std::string::npos);
            if (space != std::string::npos) {
                const auto line = completion.find("    " + group + ") words=");
                CPPUNIT_ASSERT_MESSAGE(words, line != std::string::npos);
                const auto end = completion.find('\n', line);
                CPPUNIT_ASSERT_MESSAGE(
                    words, completion.substr(line, end - line).find(words.substr(space + 1))
                               != std::string::npos);
            }
            const std::string own = helpFor(
                {group, space == std::string::npos ? "" : words.substr(space + 1)}, ctlSettings());
            CPPUNIT_ASSERT(own.find(std::string(what.summary)) != std::string::npos);
        }
        for (const auto &s : ctlSettings()) {
            CPPUNIT_ASSERT_MESSAGE(s.name,
                                   completion.find("--" + s.name + "=") != std::string::npos);
        }
        for (int value = 1; value <= static_cast<int>(error_kind::internal); ++value) {
            const std::string name(nameOf(static_cast<error_kind>(value)));
            CPPUNIT_ASSERT_MESSAGE(name, completion.find(name) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ctl_test);
