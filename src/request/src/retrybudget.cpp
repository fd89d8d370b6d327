#include <request/retrybudget.h>

#include <algorithm>

namespace snipehill
{

void recordFirstAttempt(RetryBudget &budget, const RetryBudgetSettings &settings) noexcept
{
    budget.credit = std::min(settings.maxCredit, budget.credit + settings.retriesPerRequest);
}

bool takeRetry(RetryBudget &budget) noexcept
{
    if (budget.credit < 1) {
        return false;
    }
    budget.credit -= 1;
    return true;
}

void returnRetry(RetryBudget &budget) noexcept
{
    budget.credit += 1;
}

} // namespace snipehill
