#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/outside/http_message.h>

#include <cstdint>
#include <span>
#include <string_view>

namespace ibishinge {

/// Exit codes of `ibishingectl`. The numbers are part of its interface.
enum class exit_status : std::uint8_t {
    ok = 0,
    failed = 1,
    usage = 2,
    refused = 3,
    conflict = 4,
    unreachable = 5,
    not_ready = 6,
    outcome_unknown = 7,
    incomplete = 8,
};

struct exit_status_row
{
    exit_status status;
    std::string_view meaning;
};

/// Returns all exit codes in ascending order. Thread-safe.
[[nodiscard]] std::span<const exit_status_row> exitStatusTable() noexcept;

/// Returns the exit code for an error kind that an entry process answered. Thread-safe.
[[nodiscard]] exit_status exitStatusFor(error_kind kind) noexcept;

/// Returns the exit code for a call that got no answer. Thread-safe.
[[nodiscard]] exit_status exitStatusForNoAnswer(const error &e, bool isChange) noexcept;

} // namespace ibishinge
