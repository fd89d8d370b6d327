#pragma once

#include "virtualtime.h"

#include <process/leasestatemachine.h>

#include <string>
#include <vector>

namespace snipehill::test
{

/** A rule that the simulation omits, to show that the checker detects it. */
enum class LeaseMutation {
    None,
    ValidityFromReceipt, //!< validity counts from reading a record back instead of from its send time
    NoClaimDelay, //!< a candidate claims immediately
    AnyClaimHasEffect, //!< the record that a claim replaces is not checked
    NoMargin, //!< clock drift is ignored
    NoCallTimeout, //!< the check before a call ignores how long the call may take
    NoCheckBeforeSend, //!< the lease is not checked again between a pause and the send
};

/** Period in which a process considered its lease valid, in true time. */
struct ValidPeriod
{
    int process = 0;
    std::uint64_t incarnation = 0;
    Offset epoch = noOffset;
    Duration from{};
    Duration until{};
};

/** Arrival of a call at the platform. */
struct CallArrival
{
    int process = 0;
    std::uint64_t incarnation = 0;
    Offset epoch = noOffset;
    Duration at{};
};

/** Events of one simulated run. */
struct LeaseRunHistory
{
    std::vector<ValidPeriod> validPeriods;
    std::vector<CallArrival> callArrivals;
    std::size_t claims = 0;
    std::size_t faults = 0; //!< pauses, restarts, outages
};

/** Simulates three processes that compete for one scope. */
LeaseRunHistory simulateLease(std::uint64_t seed, LeaseMutation mutation);

/** Describes each violation: two processes with a valid lease at the same time, or a call outside the caller's valid period. */
std::vector<std::string> checkLease(const LeaseRunHistory &history);

} // namespace snipehill::test
