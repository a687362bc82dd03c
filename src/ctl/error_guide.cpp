#include <ibishinge/ctl/error_guide.h>

#include <array>
#include <cstddef>

namespace ibishinge {

namespace {

constexpr std::array<error_guide, static_cast<std::size_t>(error_kind::internal)> guides {{
    {error_kind::invalid_request, "The request or document is malformed or out of bounds.",
     "Correct the place that the message names. Repeating the same request does not help."},
    {error_kind::unauthorized,
     "The key or token is missing, unknown, withdrawn or belongs to another team, or the team may "
     "not use the service.",
     "Check team and key with `ibishingectl key list` and the service's open_to in the catalogue. "
     "Give a new key if the old one was withdrawn."},
    {error_kind::unknown_entity, "The service, queue, team, job, host or path does not exist.",
     "Compare the name with `ibishingectl catalogue get`."},
    {error_kind::duplicate_id, "The request id was used before with another service or body.",
     "Use a new id for each new request, and the same id only for repetitions."},
    {error_kind::in_progress,
     "Another attempt with the same id was sent to a target. It may be running or have run.",
     "Repeat with the same id after Retry-After; the kept response is returned once it is there."},
    {error_kind::conflict, "The catalogue or record was changed by someone else in the meantime.",
     "Look at both sides in the answer, repeat the edit on the current catalogue and apply it "
     "again."},
    {error_kind::too_large, "A body, header or document is above its bound.",
     "Send less, or raise the bound in the settings of all entry processes (docs/settings.md)."},
    {error_kind::over_limit, "The team's upper limit is in use over the whole fleet.",
     "Wait for Retry-After. If this lasts, compare the team's demand with its upper_limit."},
    {error_kind::overloaded,
     "The team's queue is full, the deadline cannot be met, or no target has a free slot.",
     "Wait for Retry-After. If this lasts, the service has too few live targets: see "
     "`ibishingectl host list`."},
    {error_kind::not_ready,
     "The process has no fresh configuration or no target of the service, or the store is needed "
     "and "
     "cannot be reached.",
     "See `ibishingectl status` for the freshness and its reason, and `host list` for targets; "
     "check "
     "the store and members that do not answer."},
    {error_kind::shutting_down, "The process is being stopped and takes no new work.",
     "Repeat through another entry process. The load balancer should follow /readyz."},
    {error_kind::superseded, "An earlier attempt with this id was refused as not run meanwhile.",
     "Repeat with the same id after Retry-After."},
    {error_kind::target_failed,
     "The target cut the connection or sent a malformed or incomplete response.",
     "The request may have run. Repeat it only if it is idempotent, or with the same id. Look at "
     "the target's own logs."},
    {error_kind::target_timeout, "The target sent no complete response before the deadline.",
     "The request may have run. Compare the deadline with the service's usual latency in "
     "`ibishingectl report burn`."},
    {error_kind::outcome_unknown, "A write or a run may or may not have taken effect.",
     "For a change, compare `ibishingectl catalogue history` or `key list` with what was wanted "
     "before repeating it. For a request, repeat it with the same id."},
    {error_kind::unavailable, "The other side was certainly not reached.",
     "Check that the process runs and its address is right, then repeat."},
    {error_kind::internal, "A defect in ibishinge, or a stored document that cannot be read.",
     "Look for the time of the error in the process's log and report it with the message."},
}};

} // namespace

const error_guide &guideFor(error_kind kind) noexcept
{
    // Rows stand in the order of the enumeration, whose first value is 1.
    const auto index = static_cast<std::size_t>(kind) - 1;
    return index < guides.size() ? guides[index] : guides.back();
}

std::optional<error_kind> errorKindNamed(std::string_view name) noexcept
{
    for (const auto &guide : guides) {
        if (nameOf(guide.kind) == name) {
            return guide.kind;
        }
    }
    return std::nullopt;
}

} // namespace ibishinge
