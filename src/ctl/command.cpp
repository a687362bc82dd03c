#include <ibishinge/ctl/command.h>

#include "commands.h"

#include <algorithm>
#include <array>
#include <limits>
#include <sstream>

namespace ibishinge {

namespace {

constexpr std::string_view fileNote =
    "FILE is a catalogue document or what `catalogue get` printed; - is standard input.";

constexpr std::array<command, 16> commands {{
    {"catalogue get", "VERSION", false, true, false,
     "Print the catalogue with its revision, or an earlier version",
     "The output can be edited and given to `catalogue apply`, which reads the revision from it.",
     impl::catalogueGet},
    {"catalogue check", "FILE", true, true, false, "Check a document without applying it", fileNote,
     impl::catalogueCheck},
    {"catalogue diff", "FILE", true, true, false, "Show what applying a document would change",
     fileNote, impl::catalogueDiff},
    {"catalogue apply", "FILE", true, true, false, "Replace the catalogue",
     "FILE is what `catalogue get` printed, edited, or a catalogue document together with "
     "--revision;\n- is standard input. --revision=0 is for the first catalogue. If someone else "
     "changed the\ncatalogue since, nothing is changed and both sides are shown.",
     impl::catalogueApply},
    {"catalogue history", "", false, true, false, "List the accepted versions", "",
     impl::catalogueHistory},
    {"key give", "TEAM", true, true, false, "Create a key for a team",
     "The key is shown only here.", impl::keyGive},
    {"key withdraw", "ID", true, true, false, "Withdraw a key", "Repeating it is harmless.",
     impl::keyWithdraw},
    {"key list", "", false, true, false, "List all keys without their secrets", "", impl::keyList},
    {"status", "", false, true, false, "Show members, revisions and freshness",
     "As the entry process that answers sees them.", impl::showStatus},
    {"host list", "", false, true, false, "List the hosts of the host list", "", impl::hostList},
    {"host show", "ID", true, true, false, "Show one host with its services", "", impl::hostShow},
    {"team", "NAME", false, true, false, "List the teams, or show one", "", impl::showTeam},
    {"queue", "NAME", false, true, false, "List the queues, or show one", "", impl::showQueue},
    {"pool", "NAME", false, true, false, "List the pools, or show one", "", impl::showPool},
    {"report burn", "", false, true, true, "Report how fast services use up their error budgets",
     "Merges all addresses of --operators-api; name those of all entry processes.",
     impl::reportBurn},
    {"explain", "KIND", false, false, false, "Explain an error kind, or list all", "",
     impl::explain},
}};

std::vector<std::string> split(std::string_view words)
{
    std::istringstream in {std::string(words)};
    std::vector<std::string> parts;
    for (std::string part; in >> part;) {
        parts.push_back(part);
    }
    return parts;
}

const command *commandAt(const std::vector<std::string> &arguments, std::size_t &length)
{
    for (const auto &candidate : commands) {
        const auto words = split(candidate.words);
        if (arguments.size() >= words.size()
            && std::equal(words.begin(), words.end(), arguments.begin())) {
            length = words.size();
            return &candidate;
        }
    }
    return nullptr;
}

std::string synopsis(const command &what)
{
    std::string text(what.words);
    if (!what.operand.empty()) {
        text += what.operandRequired ? " " + std::string(what.operand)
                                     : " [" + std::string(what.operand) + "]";
    }
    return text;
}

std::string programHelp(const std::vector<setting> &declared)
{
    constexpr std::size_t column = 26;
    std::string text = "Usage: ibishingectl [--SETTING=VALUE ...] COMMAND\n"
                       "Talks to the operators' API of any entry process. Never asks questions.\n"
                       "\nCommands (--help after one shows more):\n";
    for (const auto &what : commands) {
        auto left = synopsis(what);
        left.resize(std::max(column, left.size() + 2), ' ');
        text += "  " + left + std::string(what.summary) + "\n";
    }
    text += "\nSettings; each can also be given as an environment variable:\n"
            + describeSettings(declared) + "  --help\n  --version\n\nExit codes:\n";
    for (const auto &row : exitStatusTable()) {
        text += "  " + std::to_string(static_cast<int>(row.status)) + "  "
                + std::string(row.meaning) + "\n";
    }
    return text;
}

} // namespace

std::span<const command> commandTable() noexcept
{
    return commands;
}

result<command_call> findCommand(const std::vector<std::string> &arguments)
{
    constexpr auto place = "command";
    if (arguments.empty()) {
        return makeError(error_kind::invalid_request, place, "missing");
    }
    std::size_t length = 0;
    const command *what = commandAt(arguments, length);
    if (what == nullptr) {
        return makeError(error_kind::invalid_request, place, "unknown: " + arguments.front());
    }
    const std::size_t operands = arguments.size() - length;
    if (operands == 0 && what->operandRequired) {
        return makeError(error_kind::invalid_request, std::string(what->words),
                         "expected " + std::string(what->operand));
    }
    if (operands > (what->operand.empty() ? 0U : 1U)) {
        return makeError(error_kind::invalid_request, std::string(what->words),
                         "unexpected argument " + arguments.back());
    }
    return command_call {what, operands == 0 ? "" : arguments.back()};
}

std::string helpFor(const std::vector<std::string> &words, const std::vector<setting> &declared)
{
    std::size_t length = 0;
    const command *what = commandAt(words, length);
    if (what == nullptr) {
        return programHelp(declared);
    }
    std::string text = "Usage: ibishingectl [--SETTING=VALUE ...] " + synopsis(*what) + "\n"
                       + std::string(what->summary) + ".\n";
    if (!what->details.empty()) {
        text += std::string(what->details) + "\n";
    }
    return text + "\nSettings; each can also be given as an environment variable:\n"
           + describeSettings(declared);
}

std::vector<setting> ctlSettings()
{
    return {
        {"operators-api", setting_type::address_list, "",
         "Operators' API of entry processes; the next one is tried if one cannot be reached", 0, 0,
         false},
        {"operators-token-file", setting_type::text, "",
         "File with the operators' token; - is standard input", 0, 0, false},
        {"output",
         setting_type::choice,
         "text",
         "Output format; html only for `report burn`",
         0,
         0,
         true,
         {"text", "json", "html"}},
        {"revision", setting_type::integer, "",
         "Revision that the document of `catalogue apply` was made from", 0,
         std::numeric_limits<std::int64_t>::max(), false},
        {"timeout-ms", setting_type::integer, "10000",
         "Longest wait for an answer, in milliseconds", 1, 600000, true},
    };
}

std::vector<std::string> wordsOf(int argc, const char *const *argv)
{
    std::vector<std::string> words;
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "-" || !argument.starts_with('-')) {
            words.emplace_back(argument);
        } else if (argument != "--help" && argument != "-h" && argument != "--version"
                   && argument.find('=') == std::string_view::npos) {
            ++i; // The value of a flag.
        }
    }
    return words;
}

} // namespace ibishinge
