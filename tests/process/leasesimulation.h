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

/** What the simulated log may do. */
enum class LeaseLogKind {
    Lasting, //!< keeps its records until they age out and does not tell an era
    Copied, //!< tells its era, and comes back from an older copy at times
};

/** Period of the platform in which a change of holders from one to another and back breaks its rule. */
constexpr milliseconds simulatedTurnPeriod{1600};

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
    std::size_t faults = 0; //!< pauses, restarts, planned stops, outages, returns from an older copy
    std::size_t copies = 0; //!< returns from an older copy
    std::size_t releases = 0;
};

/** Simulates three processes that compete for one scope. */
LeaseRunHistory simulateLease(std::uint64_t seed, LeaseMutation mutation, LeaseLogKind kind = LeaseLogKind::Lasting);

/** Describes each violation: two processes with a valid lease at the same time, or a call outside the caller's valid period. */
std::vector<std::string> checkLease(const LeaseRunHistory &history);

/**
 * Describes each violation of the order of the calls: a token of two incarnations, a token lower than one that arrived
 * before, a process that calls again within the turn period after another one called.
 */
std::vector<std::string> checkTokens(const LeaseRunHistory &history);

} // namespace snipehill::test
