#include <ibishinge/base/settings.h>

#include <ibishinge/base/endpoint.h>

#include <popt.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>

namespace ibishinge {

namespace {

struct popt_deleter
{
    void operator()(poptContext context) const noexcept
    {
        poptFreeContext(context);
    }
};
using popt_context = std::unique_ptr<std::remove_pointer_t<poptContext>, popt_deleter>;

constexpr int helpOption = 1;
constexpr int versionOption = 2;
constexpr int firstSettingOption = 100;

std::optional<std::int64_t> parseInteger(const std::string &text)
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::string allowedFor(const setting &s)
{
    switch (s.type) {
    case setting_type::text:
        return s.required ? "a non-empty text" : "a text";
    case setting_type::integer:
        return "an integer from " + std::to_string(s.minimum) + " to " + std::to_string(s.maximum);
    case setting_type::address:
        return "ADDRESS:PORT";
    case setting_type::address_list:
        return "ADDRESS:PORT, separated by commas";
    case setting_type::choice:
        break;
    }
    std::string choices;
    for (const auto &choice : s.choices) {
        choices += (choices.empty() ? "" : ", ") + choice;
    }
    return "one of " + choices;
}

bool isAllowed(const setting &s, const std::string &value)
{
    if (value.empty()) {
        return !s.required;
    }
    if (s.type == setting_type::integer) {
        const auto number = parseInteger(value);
        return number && *number >= s.minimum && *number <= s.maximum;
    }
    if (s.type == setting_type::address) {
        return parseEndpoint(value).has_value();
    }
    if (s.type == setting_type::address_list) {
        const auto parts = split(value);
        return std::all_of(parts.begin(), parts.end(),
                           [](const auto &part) { return parseEndpoint(part).has_value(); });
    }
    if (s.type == setting_type::choice) {
        return std::find(s.choices.begin(), s.choices.end(), value) != s.choices.end();
    }
    return true;
}

std::vector<poptOption> optionTable(const std::vector<setting> &declared)
{
    std::vector<poptOption> table;
    table.reserve(declared.size() + 3);
    int option = firstSettingOption;
    for (const auto &s : declared) {
        table.push_back(
            {s.name.c_str(), '\0', POPT_ARG_STRING, nullptr, option++, s.help.c_str(), "VALUE"});
    }
    table.push_back({"help", 'h', POPT_ARG_NONE, nullptr, helpOption, "Show this help", nullptr});
    table.push_back(
        {"version", '\0', POPT_ARG_NONE, nullptr, versionOption, "Show the version", nullptr});
    table.push_back(POPT_TABLEEND);
    return table;
}

std::string valueFor(const setting &s, const std::map<std::string, std::string> &flags)
{
    const auto flag = flags.find(s.name);
    if (flag != flags.end()) {
        return flag->second;
    }
    const char *variable = std::getenv(environmentVariable(s.name).c_str()); // NOLINT
    return variable != nullptr ? variable : s.defaultValue;
}

void printHelp(std::string_view program, std::string_view summary,
               const std::vector<setting> &declared)
{
    std::cout << "Usage: " << program << " [--SETTING=VALUE ...]\n"
              << summary << "\n\nEach setting can also be given as an environment variable.\n\n";
    std::cout << describeSettings(declared);
    std::cout << "  --help\n  --version\n";
}

} // namespace

const std::string &settings::text(std::string_view name) const
{
    return values.find(name)->second;
}

std::int64_t settings::integer(std::string_view name) const
{
    return parseInteger(text(name)).value_or(0);
}

std::vector<std::string> settings::list(std::string_view name) const
{
    return split(text(name));
}

std::string environmentVariable(std::string_view settingName)
{
    std::string variable = "IBISHINGE_";
    for (const char c : settingName) {
        variable += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return variable;
}

std::string describeSettings(const std::vector<setting> &declared)
{
    std::string text;
    for (const auto &s : declared) {
        text += "  --" + s.name + "  (" + environmentVariable(s.name) + ")\n      " + s.help + "; "
                + allowedFor(s);
        if (!s.defaultValue.empty()) {
            text += "; default " + s.defaultValue;
        } else if (s.required) {
            text += "; required";
        }
        text += "\n";
    }
    return text;
}

result<settings> readSettings(int argc, const char *const *argv,
                              const std::vector<setting> &declared, argument_use use)
{
    settings read;
    std::string problems;
    std::map<std::string, std::string> flags;
    const auto table = optionTable(declared);
    const popt_context context(poptGetContext(nullptr, argc,
                                              const_cast<const char **>(argv), // NOLINT
                                              table.data(), 0));
    for (int option = 0; (option = poptGetNextOpt(context.get())) != -1;) {
        if (option < -1) {
            problems += std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": "
                        + poptStrerror(option) + "\n";
        } else if (option >= firstSettingOption) {
            const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()),
                                                                    &std::free);
            flags[declared[static_cast<std::size_t>(option - firstSettingOption)].name] =
                value ? value.get() : "";
        }
    }
    for (const char *extra = nullptr; (extra = poptGetArg(context.get())) != nullptr;) {
        if (use == argument_use::accepted) {
            read.arguments.emplace_back(extra);
        } else {
            problems += std::string(extra) + ": unexpected argument\n";
        }
    }

    for (const auto &s : declared) {
        std::string value = valueFor(s, flags);
        if (!isAllowed(s, value)) {
            problems += "--" + s.name + " (" + environmentVariable(s.name) + "): '" + value
                        + "' is not allowed; expected " + allowedFor(s) + "\n";
        }
        read.values.emplace(s.name, std::move(value));
    }
    if (!problems.empty()) {
        problems.pop_back();
        return makeError(error_kind::invalid_request, "settings", problems);
    }
    return read;
}

settings readSettingsOrExit(int argc, const char *const *argv, std::string_view summary,
                            const std::vector<setting> &declared)
{
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "--help" || argument == "-h") {
            printHelp(argv[0], summary, declared);
            std::exit(0); // NOLINT(concurrency-mt-unsafe)
        }
        if (argument == "--version") {
            std::cout << "ibishinge " << IBISHINGE_VERSION << "\n";
            std::exit(0); // NOLINT(concurrency-mt-unsafe)
        }
    }
    auto read = readSettings(argc, argv, declared);
    if (!read) {
        std::cerr << read.error().message << "\nTry --help.\n";
        std::exit(2); // NOLINT(concurrency-mt-unsafe)
    }
    return std::move(*read);
}

} // namespace ibishinge
