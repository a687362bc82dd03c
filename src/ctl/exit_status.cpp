#include <ibishinge/ctl/exit_status.h>

#include <array>

namespace ibishinge {

namespace {

constexpr std::array<exit_status_row, 9> table {{
    {exit_status::ok, "done"},
    {exit_status::failed, "an entry process failed, or its answer cannot be read"},
    {exit_status::usage, "wrong command, argument, setting or file"},
    {exit_status::refused, "refused: wrong token, invalid document or unknown name"},
    {exit_status::conflict, "someone else changed the catalogue in the meantime"},
    {exit_status::unreachable, "no entry process answered; nothing was changed"},
    {exit_status::not_ready, "the entry process or the store cannot do this now; try again"},
    {exit_status::outcome_unknown, "the change may or may not have been made"},
    {exit_status::incomplete, "done, but the report lacks entry processes"},
}};

} // namespace

std::span<const exit_status_row> exitStatusTable() noexcept
{
    return table;
}

exit_status exitStatusFor(error_kind kind) noexcept
{
    switch (kind) {
    case error_kind::invalid_request:
    case error_kind::unauthorized:
    case error_kind::unknown_entity:
    case error_kind::duplicate_id:
    case error_kind::too_large:
    case error_kind::over_limit:
        return exit_status::refused;
    case error_kind::in_progress:
    case error_kind::conflict:
        return exit_status::conflict;
    case error_kind::overloaded:
    case error_kind::not_ready:
    case error_kind::shutting_down:
    case error_kind::superseded:
    case error_kind::unavailable:
        return exit_status::not_ready;
    case error_kind::outcome_unknown:
        return exit_status::outcome_unknown;
    case error_kind::target_failed:
    case error_kind::target_timeout:
    case error_kind::internal:
        break;
    }
    return exit_status::failed;
}

exit_status exitStatusForNoAnswer(const error &e, bool isChange) noexcept
{
    // Without a byte sent, or for a read, nothing can have changed.
    return isChange && e.kind != error_kind::unavailable ? exit_status::outcome_unknown
                                                         : exit_status::unreachable;
}

} // namespace ibishinge
