#include <ibishinge/fleet/takeover_progress.h>

#include <array>
#include <utility>

namespace ibishinge::fleet {

namespace {

constexpr std::array<std::pair<takeover_stage, std::string_view>, 7> stageNames {{
    {takeover_stage::roster, "roster"},
    {takeover_stage::jobs, "jobs"},
    {takeover_stage::progress, "progress"},
    {takeover_stage::ended, "ended"},
    {takeover_stage::registry, "registry"},
    {takeover_stage::reports, "reports"},
    {takeover_stage::complete, "complete"},
}};

} // namespace

std::string_view nameOf(takeover_stage stage) noexcept
{
    for (const auto &[known, name] : stageNames) {
        if (known == stage) {
            return name;
        }
    }
    return "unknown";
}

void enterStage(takeover_progress &takeover, takeover_stage stage, instant now) noexcept
{
    if (stage > takeover.stage) {
        takeover.stage = stage;
        takeover.stageSince = now;
    }
}

} // namespace ibishinge::fleet
