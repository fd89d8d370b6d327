#pragma once

#include <cstdint>

namespace snipehill
{

/** Settings of a retry budget. */
struct RetryBudgetSettings
{
    double retriesPerRequest = 0.1; //!< credit that each first attempt earns
    double maxCredit = 10; //!< most retries that can follow each other without new requests
};

/** Credit for retries, one for each target group of an entry. Not thread safe; the owner locks. */
struct RetryBudget
{
    double credit = 3; //!< lets a process retry before it has seen much traffic
};

/** Notes the first attempt of a request. */
void recordFirstAttempt(RetryBudget &budget, const RetryBudgetSettings &settings = {}) noexcept;

/** Takes the credit for one retry; false: the request must be refused instead of retried. */
bool takeRetry(RetryBudget &budget) noexcept;

} // namespace snipehill
