#include <ibishinge/base/error.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <utility>

namespace ibishinge {

namespace {

constexpr std::array<error_answer, 17> answerTable {{
    {error_kind::invalid_request, "invalid_request", 400, true, false},
    {error_kind::unauthorized, "unauthorized", 401, true, false},
    {error_kind::unknown_entity, "unknown_entity", 404, true, false},
    {error_kind::duplicate_id, "duplicate_id", 409, true, false},
    {error_kind::in_progress, "in_progress", 409, false, true},
    {error_kind::conflict, "conflict", 409, true, false},
    {error_kind::too_large, "too_large", 413, true, false},
    {error_kind::over_limit, "over_limit", 429, true, true},
    {error_kind::overloaded, "overloaded", 503, true, true},
    {error_kind::not_ready, "not_ready", 503, true, true},
    {error_kind::shutting_down, "shutting_down", 503, true, true},
    {error_kind::superseded, "superseded", 503, true, true},
    {error_kind::target_failed, "target_failed", 502, false, true},
    {error_kind::target_timeout, "target_timeout", 504, false, true},
    {error_kind::outcome_unknown, "outcome_unknown", 500, false, true},
    {error_kind::unavailable, "unavailable", 503, true, true},
    {error_kind::internal, "internal", 500, false, true},
}};

class ibishinge_category final : public std::error_category
{
public:
    [[nodiscard]] const char *name() const noexcept override
    {
        return "ibishinge";
    }
    [[nodiscard]] std::string message(int value) const override
    {
        return std::string(nameOf(static_cast<error_kind>(value)));
    }
};

} // namespace

const error_answer &answerFor(error_kind kind) noexcept
{
    // Rows stand in the order of the enumeration, whose first value is 1.
    const auto index = static_cast<std::size_t>(kind) - 1;
    return index < answerTable.size() ? answerTable[index] : answerTable.back();
}

std::string_view nameOf(error_kind kind) noexcept
{
    return answerFor(kind).name;
}

std::string_view nameOf(run_state state) noexcept
{
    constexpr std::array<std::string_view, 4> names {"not_run", "attempt_not_run", "may_have_run",
                                                     "ran"};
    return names[static_cast<std::size_t>(state)];
}

const std::error_category &errorCategory() noexcept
{
    static const ibishinge_category category;
    return category;
}

std::error_code make_error_code(error_kind kind) noexcept // NOLINT
{
    return {static_cast<int>(kind), errorCategory()};
}

tl::unexpected<error> makeError(error_kind kind, std::string place, std::string message)
{
    return tl::unexpected<error>(
        error {kind, std::move(place), std::move(message), std::chrono::milliseconds {0}, 0});
}

bool isConnectionRefused(const error &e) noexcept
{
    return e.kind == error_kind::unavailable && e.systemError == ECONNREFUSED;
}

std::string describe(const error &e)
{
    return e.place + ": " + e.message + " (" + std::string(nameOf(e.kind)) + ")";
}

} // namespace ibishinge
