#pragma once

#include <ibishinge/base/settings.h>
#include <ibishinge/ctl/exit_status.h>
#include <ibishinge/ctl/operators_client.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge {

enum class output_format : std::uint8_t { text, json, html };

/// What a command prints and how the program ends.
struct command_outcome
{
    exit_status status = exit_status::ok;
    std::string out;
    std::string err;
};

/// What a command works with.
struct command_context
{
    const operators_client &client;
    output_format format = output_format::text;
    std::optional<std::int64_t> revision; ///< --revision
    /// Returns the content of a file, `-` for standard input. Errors: `invalid_request`.
    std::function<result<std::string>(const std::string &)> readFile;
};

/// One command of `ibishingectl`.
struct command
{
    std::string_view words; ///< "catalogue get"
    std::string_view operand; ///< as shown in the help; "" if it takes none
    bool operandRequired = false;
    bool needsServer = true;
    bool hasHtml = false;
    std::string_view summary;
    std::string_view details;
    command_outcome (*run)(const command_context &, const std::string &operand) = nullptr;
};

/// Returns all commands in the order of the help. Thread-safe.
[[nodiscard]] std::span<const command> commandTable() noexcept;

/// A command with its operand.
struct command_call
{
    const command *what = nullptr;
    std::string operand;
};

/// Finds the command that `arguments` name. Errors: `invalid_request` for an unknown command, a
/// missing operand or one too many. Thread-safe.
[[nodiscard]] result<command_call> findCommand(const std::vector<std::string> &arguments);

/// Returns the help of the command that `words` begin with, else that of the program. Thread-safe.
[[nodiscard]] std::string helpFor(const std::vector<std::string> &words,
                                  const std::vector<setting> &declared);

/// Returns the settings of `ibishingectl`. Thread-safe.
[[nodiscard]] std::vector<setting> ctlSettings();

/// Reads what precedes or follows the flags of a command line, without checking the flags.
/// Thread-safe.
[[nodiscard]] std::vector<std::string> wordsOf(int argc, const char *const *argv);

} // namespace ibishinge
