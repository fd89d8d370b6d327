#pragma once

#include "virtualtime.h"

#include <core/ids.h>

#include <cstddef>
#include <string>
#include <vector>

namespace snipehill::test
{

/** A rule disabled on purpose, to show that the checks detect it. */
enum class ConfigMutation {
    None,
    PushProvesContact, //!< a pushed update counts as contact with the log
    ContactFromResponseTime, //!< contact counts from the arrival of the response instead of the sending of the request
    GapIgnored, //!< a reader that missed records continues as if it had not
    OlderCopyApplied, //!< a peer's copy replaces a newer configuration
    WithdrawalsDropped, //!< a copy lacks the records of withdrawn objects
};

/** Statistics and violations of one run. */
struct ConfigRun
{
    std::size_t records = 0;
    std::size_t snapshots = 0; //!< snapshots that had an effect
    std::size_t faults = 0; //!< pauses, restarts, outages, losses of retained records
    std::vector<std::string> violations;
};

/**
 * Simulates processes with different schema versions, concurrent operators, a writer of snapshots and retention, under
 * delay, loss, duplicates, reordering, pauses, restarts and outages.
 *
 * Checks at each step: processes that have read the log up to the same offset have equal configurations, and the same one
 * as a reference that has read all records; no process goes back to a lower offset; a process that reports itself as fresh
 * has all records that were in the log one freshness time ago. At the end, without faults, all processes have the newest
 * configuration and are fresh.
 */
ConfigRun simulateConfig(std::uint64_t seed, ConfigMutation mutation);

} // namespace snipehill::test
