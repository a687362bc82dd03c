#pragma once

#include <ibishinge/base/error.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ibishinge {

enum class setting_type : std::uint8_t {
    text,
    integer, ///< within [minimum, maximum]
    address, ///< ADDRESS:PORT
    address_list, ///< ADDRESS:PORT, separated by commas; may be empty
    choice, ///< one of `choices`
};

/// Declares one setting, which is read from a flag, else from the environment, else the default.
struct setting
{
    std::string name; ///< flag without dashes; the variable is IBISHINGE_NAME with underscores
    setting_type type = setting_type::text;
    std::string defaultValue; ///< "" together with `required`: no default
    std::string help; ///< with the unit
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    bool required = false;
    std::vector<std::string> choices {}; ///< of a `choice`
};

/// Whether arguments that are no flags may be given.
enum class argument_use : std::uint8_t { refused, accepted };

/// Checked values by name of setting.
struct settings
{
    std::map<std::string, std::string, std::less<>> values;
    std::vector<std::string> arguments; ///< what is no flag, in order; empty if refused

    /// Precondition: the setting is declared.
    [[nodiscard]] const std::string &text(std::string_view name) const;
    /// Precondition: the setting is declared as `integer`.
    [[nodiscard]] std::int64_t integer(std::string_view name) const;
    /// Returns the elements of an `address_list`. Precondition: the setting is declared as such.
    [[nodiscard]] std::vector<std::string> list(std::string_view name) const;
};

/// Returns the environment variable of a setting. Thread-safe.
[[nodiscard]] std::string environmentVariable(std::string_view settingName);

/// Reads the settings, flags before environment before defaults. Flags and arguments may be mixed;
/// after `--` everything is an argument, and a lone `-` always is.
///
/// Errors: `invalid_request`, with all problems in the message, each with the setting, the value
/// and what is allowed. Not thread-safe: reads the environment.
[[nodiscard]] result<settings> readSettings(int argc, const char *const *argv,
                                            const std::vector<setting> &declared,
                                            argument_use use = argument_use::refused);

/// Returns the part of `--help` that describes the settings. Thread-safe.
[[nodiscard]] std::string describeSettings(const std::vector<setting> &declared);

/// Like `readSettings`, for `main` functions: prints `--help` and `--version` and exits with 0;
/// prints errors and exits with 2.
[[nodiscard]] settings readSettingsOrExit(int argc, const char *const *argv,
                                          std::string_view summary,
                                          const std::vector<setting> &declared);

} // namespace ibishinge
