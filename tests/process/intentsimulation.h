#pragma once

#include "virtualtime.h"

#include <cstddef>
#include <string>
#include <vector>

namespace snipehill::test
{

/** A rule that the simulation omits, to show that the checks detect it. */
enum class IntentMutation {
    None,
    AcknowledgedCountsAsOwned, //!< an answered append counts as ownership without reading back
    ExpiredClaimRuns, //!< a request runs although its claim has timed out
    RunThenNotRun, //!< a request that was sent is reported as not run
    LaterClaimsDropped, //!< readers drop a later claim on a key instead of queueing it behind the first
};

/** Counts and violations of one simulated run. */
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
 * Simulates sidecars that claim keys which callers send repeatedly, under delay, lost appends and responses, duplicates,
 * reordering, pauses, restarts, outages and retention.
 *
 * Checks that within the log's retention a key reaches a target at most once, and that a claim recorded as not run never
 * ran. After the faults have ended, each live process must get a new key, and a key whose claims were all
 * abandoned must be free.
 */
IntentRun simulateIntents(std::uint64_t seed, IntentMutation mutation);

} // namespace snipehill::test
