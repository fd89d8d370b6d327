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
    SameTableInNewEra, //!< the reader goes on with its table and position when the log's era rises
    PageOfEarlierEra, //!< a page is applied though its era is not the table's
    EarlierRecordHolds, //!< an own record of an earlier era makes the process the holder
    NoWaitAfterRise, //!< a candidate does not wait for the end of the leases of earlier eras
    NoWaitAfterStart, //!< as before, only for the first era that a process hears of
    FormerHolderClaims, //!< a process that once held claims in a new era as if its lease were still valid
    TokenWithoutEra, //!< the token is the offset of the claim alone
    TokenChangesInCall, //!< calls go out under a new token while one under the token before may be on its way
    QuickReturn, //!< a former holder claims as soon as the next one has released
    ReplacesByOffset, //!< a record names the one that it replaces by its offset alone
    OneTenure, //!< each process names all its leases one tenure
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
    std::uint64_t tenure = 0;
    Duration at{};
};

/** Events of one simulated run. */
struct LeaseRunHistory
{
    LeaseLogKind kind = LeaseLogKind::Lasting;
    std::vector<ValidPeriod> validPeriods;
    std::vector<CallArrival> callArrivals;
    std::size_t claims = 0;
    std::size_t faults = 0; //!< pauses, restarts, planned stops, outages, returns from an older copy
    std::size_t copies = 0; //!< returns from an older copy
    std::size_t releases = 0;
    std::size_t continued = 0; //!< claims in a new era with which a lease went on without a gap
    std::size_t disagreements = 0; //!< readers of the same records that took different ones for the latest effective
};

/** Simulates three processes that compete for one scope. */
LeaseRunHistory simulateLease(std::uint64_t seed, LeaseMutation mutation, LeaseLogKind kind = LeaseLogKind::Lasting);

/** Describes each violation: two processes with a valid lease at the same time, or a call outside the caller's valid period. */
std::vector<std::string> checkLease(const LeaseRunHistory &history);

/**
 * Describes each violation of the order of the calls: a token of two incarnations, a token lower than one that arrived
 * before, a process that calls again within the turn period after another one called, calls of one tenure between
 * which another process had a valid lease, and readers that disagree. With a log that keeps its records, a process that
 * restarts counts as another one in the turn period: such a log gives no time at which all earlier leases have ended.
 */
std::vector<std::string> checkTokens(const LeaseRunHistory &history);

} // namespace snipehill::test
