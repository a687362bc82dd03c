#include <ibishinge/decision/retry_budget.h>

#include <algorithm>

namespace ibishinge {

void recordFirstAttempt(retry_budget &budget) noexcept
{
    budget.available = std::min(budget.capacity, budget.available + budget.earnedPerAttempt);
}

bool takeRetry(retry_budget &budget) noexcept
{
    if (budget.available < retry_budget::unit) {
        return false;
    }
    budget.available -= retry_budget::unit;
    return true;
}

} // namespace ibishinge
