#include <ibishinge/fleet/queueing/work_groups.h>

namespace ibishinge::fleet {

namespace {

/// Bound of the number of groups, as callers choose labels. Work of others is not counted, so that
/// forecasts are too early rather than too late.
constexpr std::size_t maxGroups = 256;

} // namespace

std::optional<int> groupOf(const fleet_tables &tables, work_groups &groups,
                           const std::string &customer, const step_spec &step)
{
    const auto rule = tables.config.customers.find(customer);
    const bool limited =
        rule != tables.config.customers.end() && rule->second.limit != resources {};
    const bool accelerators = step.need.accelerators > 0;
    if (!limited && step.requiredLabel.empty() && !accelerators) {
        return 0;
    }
    const work_group_key key {limited ? customer : std::string(),
                              limited ? std::string() : step.requiredLabel, accelerators};
    const auto found = groups.numbers.find(key);
    if (found != groups.numbers.end()) {
        return found->second;
    }
    if (groups.numbers.size() >= maxGroups) {
        return std::nullopt;
    }
    return groups.numbers.emplace(key, static_cast<int>(groups.numbers.size()) + 1).first->second;
}

} // namespace ibishinge::fleet
