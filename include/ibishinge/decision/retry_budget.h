#pragma once

namespace ibishinge {

/// Token bucket that bounds retries to a share of the first attempts.
///
/// Amounts are thousandths of a retry, so that the bound holds exactly. The bucket starts full.
/// Not thread-safe.
///
/// \code
/// retry_budget budget;
/// recordFirstAttempt(budget);
/// if (failed && takeRetry(budget)) { ... }
/// \endcode
struct retry_budget
{
    static constexpr int unit = 1000; ///< one retry

    int earnedPerAttempt = unit / 10; ///< retries are at most 10% of first attempts
    /// Lets a process that has just started retry, while a total outage costs few extra requests.
    int capacity = 5 * unit;
    int available = 5 * unit;
};

/// Earns the share of one first attempt.
void recordFirstAttempt(retry_budget &budget) noexcept;

/// Takes one retry from the budget; returns false if there is none.
[[nodiscard]] bool takeRetry(retry_budget &budget) noexcept;

} // namespace ibishinge
