#pragma once

#include <cstdint>

namespace snipehill
{

/** Settings of a retry budget. */
struct RetryBudgetSettings
{
    double retriesPerRequest = 0.1; //!< credit added by each first attempt
    double maxCredit = 10; //!< upper bound of the credit: retries possible without new requests
};

/** Token bucket for retries, one for each target group of an entry. Not thread-safe; the owner locks. */
struct RetryBudget
{
    double credit = 3; //!< initial credit, which allows retries before there has been much traffic
};

/** Adds the credit for the first attempt of a request. */
void recordFirstAttempt(RetryBudget &budget, const RetryBudgetSettings &settings = {}) noexcept;

/** Consumes the credit for one retry. Returns false if there is too little; the request must then be refused. */
bool takeRetry(RetryBudget &budget) noexcept;

/** Returns the credit of a retry that was taken but not made. */
void returnRetry(RetryBudget &budget) noexcept;

} // namespace snipehill
