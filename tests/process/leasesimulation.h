#pragma once

#include "virtualtime.h"

#include <process/leaseholder.h>

#include <string>
#include <vector>

namespace snipehill::test
{

/** A rule left out on purpose, to show that the checkers see it. */
enum class LeaseMutation {
    None,
    BeliefFromReceipt, //!< belief counts from the read-back of a record in place of its send time
    NoWait, //!< a candidate claims at once
    AnyClaimHasEffect, //!< what a claim names is not looked at
    NoMargin, //!< drift is not reckoned with
    NoCallBound, //!< the check before a call ignores how long the call may take
    NoSecondCheck, //!< no check between a pause and the send
};

/** Time in which a process believed that it held the lease, in true time. */
struct Belief
{
    int process = 0;
    std::uint64_t incarnation = 0;
    Offset epoch = noOffset;
    Duration from{};
    Duration until{};
};

/** A platform call that arrived. */
struct Landing
{
    int process = 0;
    std::uint64_t incarnation = 0;
    Offset epoch = noOffset;
    Duration at{};
};

/** What one run did. */
struct LeaseJournal
{
    std::vector<Belief> beliefs;
    std::vector<Landing> landings;
    std::size_t claims = 0;
    std::size_t faults = 0; //!< pauses, restarts, outages
};

/** Runs three processes that compete for one scope. */
LeaseJournal simulateLease(std::uint64_t seed, LeaseMutation mutation);

/** Sentences on what was violated: two believers at one instant, or a call outside the caller's belief. */
std::vector<std::string> checkLease(const LeaseJournal &journal);

} // namespace snipehill::test
