#pragma once

#include "virtualtime.h"

#include <cstddef>
#include <string>
#include <vector>

namespace snipehill::test
{

/** A rule left out on purpose, to show that the checks see it. */
enum class IntentMutation {
    None,
    AcknowledgedCountsAsOwned, //!< an answered append counts as ownership without reading back
    ExpiredClaimRuns, //!< a claim whose time is over still runs
    RunThenNotRun, //!< a request that was sent is reported as not run
    LaterClaimsDropped, //!< a claim behind another one is forgotten by readers in place of standing in line
};

/** What one run did and what it violated. */
struct IntentRun
{
    std::size_t claims = 0;
    std::size_t runs = 0; //!< requests that reached a target
    std::size_t freed = 0; //!< claims recorded as not run
    std::size_t logUnavailable = 0;
    std::size_t ownedByOther = 0;
    std::size_t faults = 0;
    std::vector<std::string> violations;
};

/**
 * Runs sidecars that claim keys which callers send again and again, under delay, loss of appends and of their
 * answers, duplicates, reordering, pauses, restarts, outages and retention.
 *
 * Checks: within the log's retention a key reaches a target at most once; a claim recorded as not run never
 * ran; at the end, with the faults gone, each live process gets a new key at once, and a key whose every claim was
 * given up is free.
 */
IntentRun simulateIntents(std::uint64_t seed, IntentMutation mutation);

} // namespace snipehill::test
