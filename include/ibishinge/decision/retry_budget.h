#pragma once

namespace ibishinge {

/// Token bucket that limits retries to a share of the first attempts.
///
/// Amounts are integers in thousandths of a retry, so that the limit holds exactly. The bucket is
/// full at the start. Not thread-safe.
///
/// \code
/// retry_budget budget;
/// recordFirstAttempt(budget);
/// if (failed && takeRetry(budget)) { ... }
/// \endcode
struct retry_budget
{
    static constexpr int unit = 1000; ///< amount for one retry

    int earnedPerAttempt = unit / 10; ///< limits retries to 10% of first attempts
    /// Large enough for the first retries of a process that has just started, and small enough to
    /// cause few extra requests in a total outage.
    int capacity = 5 * unit;
    int available = 5 * unit; ///< present content of the bucket
};

/// Adds the share that one first attempt earns, up to the capacity.
void recordFirstAttempt(retry_budget &budget) noexcept;

/// Takes one retry from the budget. Returns false, without a change, if less than one is available.
[[nodiscard]] bool takeRetry(retry_budget &budget) noexcept;

} // namespace ibishinge
