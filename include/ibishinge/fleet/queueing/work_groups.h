#pragma once

#include <ibishinge/fleet/tables.h>

#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace ibishinge::fleet {

/// Names a limit that waiting work shares: a customer with a limit, or else a label that only some
/// hosts have; and whether the work needs accelerators. Work of a group that uses up its limit does
/// not hold up other work.
using work_group_key = std::tuple<std::string, std::string, bool>;

/// Numbers of the groups. Group 0 has no limit.
struct work_groups
{
    std::map<work_group_key, int> numbers;
};

/// Returns the group of a step's work; nothing if there are too many groups. Not thread-safe.
[[nodiscard]] std::optional<int> groupOf(const fleet_tables &tables, work_groups &groups,
                                         const std::string &customer, const step_spec &step);

} // namespace ibishinge::fleet
