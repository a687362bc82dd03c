#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/decision/burn.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibishinge {

/// One service over all entry processes.
struct service_burn
{
    service_objective objective;
    service_history history;
};

/// The burn of all services, merged from the answers of entry processes to `GET /v1/burn`.
struct burn_report
{
    std::int64_t catalogueRevision = 0; ///< newest one; the objectives are taken from it
    milliseconds since {0}; ///< latest start of counting: earlier requests may be missing
    milliseconds now {0}; ///< latest answer
    std::set<std::string> merged; ///< incarnations
    std::set<std::string> known; ///< incarnations that the answers name
    std::vector<std::string> problems; ///< addresses that gave no answer, and why
    std::map<std::string, service_burn> services;

    /// Returns the incarnations that were named but not asked.
    [[nodiscard]] std::vector<std::string> missing() const;
    [[nodiscard]] bool isComplete() const
    {
        return problems.empty() && missing().empty();
    }
};

/// Adds one answer; a process that was added before is left out. Errors: `invalid_request` for
/// another shape; the report is then unchanged. Thread-safe.
[[nodiscard]] result<void> addAnswer(burn_report &report, const nlohmann::json &answer);

/// Thread-safe.
[[nodiscard]] nlohmann::json toJson(const burn_report &report);

/// Returns tables for people. Thread-safe.
[[nodiscard]] std::string toText(const burn_report &report);

/// Returns one HTML page with inline SVG, which loads nothing else. Thread-safe.
[[nodiscard]] std::string toHtml(const burn_report &report);

} // namespace ibishinge
