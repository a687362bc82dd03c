#include <ibishinge/base/secret.h>
#include <ibishinge/base/time.h>
#include <ibishinge/ctl/command.h>
#include <ibishinge/outside/http_client.h>

#include <fstream>
#include <iostream>
#include <iterator>

using namespace ibishinge;

namespace {

int fail(exit_status status, const std::string &text)
{
    std::cerr << text << "\nTry --help.\n";
    return static_cast<int>(status);
}

result<std::string> readFile(const std::string &path)
{
    if (path == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return makeError(error_kind::invalid_request, path, "cannot be read");
    }
    std::string text(std::istreambuf_iterator<char>(in), {});
    if (in.bad()) {
        return makeError(error_kind::invalid_request, path, "cannot be read");
    }
    return text;
}

result<std::string> readToken(const std::string &path)
{
    constexpr auto place = "--operators-token-file";
    if (path.empty()) {
        return makeError(error_kind::invalid_request, place, "missing");
    }
    if (path != "-") {
        return readSecretFile(path);
    }
    std::string token;
    std::getline(std::cin, token);
    if (token.size() < minSecretLength) {
        return makeError(error_kind::invalid_request, place,
                         "expected at least " + std::to_string(minSecretLength)
                             + " bytes on the first line of standard input");
    }
    return token;
}

int run(const settings &values, const command_call &call)
{
    std::string token;
    std::vector<endpoint> addresses;
    if (call.what->needsServer) {
        for (const auto &text : values.list("operators-api")) {
            addresses.push_back(*parseEndpoint(text));
        }
        if (addresses.empty()) {
            return fail(exit_status::usage, "--operators-api (IBISHINGE_OPERATORS_API): missing");
        }
        if (values.text("operators-token-file") == "-" && call.operand == "-") {
            return fail(exit_status::usage,
                        "standard input holds either the token or the document");
        }
        auto read = readToken(values.text("operators-token-file"));
        if (!read) {
            return fail(exit_status::usage, describe(read.error()));
        }
        token = std::move(*read);
    }
    const milliseconds timeout(values.integer("timeout-ms"));
    const auto http = http_client::create({});
    const operators_client client(addresses, token, [&](const endpoint &to, const auto &request) {
        return http->send(to, request, timeout);
    });
    const std::string &output = values.text("output");
    command_context context {client, output_format::text, std::nullopt, readFile};
    context.format = output == "json"   ? output_format::json
                     : output == "html" ? output_format::html
                                        : output_format::text;
    if (context.format == output_format::html && !call.what->hasHtml) {
        return fail(exit_status::usage, "--output=html is not available for this command");
    }
    if (!values.text("revision").empty()) {
        context.revision = values.integer("revision");
    }
    const auto outcome = call.what->run(context, call.operand);
    std::cout << outcome.out << std::flush;
    std::cerr << outcome.err;
    if (!std::cout) {
        return fail(exit_status::failed, "standard output cannot be written");
    }
    return static_cast<int>(outcome.status);
}

} // namespace

int main(int argc, char **argv)
{
    const auto declared = ctlSettings();
    for (int i = 1; i < argc && std::string_view(argv[i]) != "--"; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "--help" || argument == "-h") {
            std::cout << helpFor(wordsOf(argc, argv), declared);
            return 0;
        }
        if (argument == "--version") {
            std::cout << "ibishingectl " << IBISHINGE_VERSION << "\n";
            return 0;
        }
    }
    const auto values = readSettings(argc, argv, declared, argument_use::accepted);
    if (!values) {
        return fail(exit_status::usage, values.error().message);
    }
    const auto call = findCommand(values->arguments);
    if (!call) {
        return fail(exit_status::usage, call.error().place + ": " + call.error().message);
    }
    return run(*values, *call);
}
