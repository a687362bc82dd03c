#pragma once

#include <ibishinge/base/error.h>

#include <optional>
#include <string_view>

namespace ibishinge {

/// What an error kind means and what to do about it.
struct error_guide
{
    error_kind kind;
    std::string_view meaning;
    std::string_view action;
};

/// Returns the guide for `kind`. Thread-safe.
[[nodiscard]] const error_guide &guideFor(error_kind kind) noexcept;

/// Returns the kind called `name` in JSON bodies and logs, or nothing. Thread-safe.
[[nodiscard]] std::optional<error_kind> errorKindNamed(std::string_view name) noexcept;

} // namespace ibishinge
