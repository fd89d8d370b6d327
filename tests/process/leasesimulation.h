#pragma once

#include "virtualtime.h"

#include <process/leasestatemachine.h>

#include <string>
#include <vector>

namespace snipehill::test
{

/** A rule left out on purpose, to show that the checkers see it. */
enum class LeaseMutation {
    None,
    ValidityFromReceipt, //!< belief counts from the read-back of a record in place of its send time
    NoClaimDelay, //!< a candidate claims at once
    AnyClaimHasEffect, //!< what a claim names is not looked at
    NoMargin, //!< drift is not reckoned with
    NoCallTimeout, //!< the check before a call ignores how long the call may take
    NoCheckBeforeSend, //!< no check between a pause and the send
};

/** Time in which a process believed that it held the lease, in true time. */
struct ValidPeriod
{
    int process = 0;
    std::uint64_t incarnation = 0;
    Offset epoch = noOffset;
    Duration from{};
    Duration until{};
};

/** A platform call that arrived. */
struct CallArrival
{
    int process = 0;
    std::uint64_t incarnation = 0;
    Offset epoch = noOffset;
    Duration at{};
};

/** What one run did. */
struct LeaseRunHistory
{
    std::vector<ValidPeriod> validPeriods;
    std::vector<CallArrival> callArrivals;
    std::size_t claims = 0;
    std::size_t faults = 0; //!< pauses, restarts, outages
};

/** Runs three processes that compete for one scope. */
LeaseRunHistory simulateLease(std::uint64_t seed, LeaseMutation mutation);

/** Sentences on what was violated: two believers at one instant, or a call outside the caller's belief. */
std::vector<std::string> checkLease(const LeaseRunHistory &history);

} // namespace snipehill::test
