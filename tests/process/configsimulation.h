#pragma once

#include "virtualtime.h"

#include <core/ids.h>

#include <cstddef>
#include <string>
#include <vector>

namespace snipehill::test
{

/** A rule left out on purpose, to show that the checks see it. */
enum class ConfigMutation {
    None,
    UnaskedNewsProves, //!< a push counts as proof of contact
    ContactFromReceipt, //!< contact counts from the arrival of an answer in place of its question
    GapIgnored, //!< a reader that missed records goes on as if it had not
    LowerCopyTaken, //!< a peer's copy replaces a newer configuration
    WithdrawalsForgotten, //!< a copy does not carry the markers of withdrawals
};

/** What one run did and what it violated. */
struct ConfigRun
{
    std::size_t records = 0;
    std::size_t snapshots = 0; //!< that had effect
    std::size_t faults = 0; //!< pauses, restarts, outages, losses of retained records
    std::vector<std::string> violations;
};

/**
 * Runs processes that know different schema versions, operators that race each other, a writer of snapshots
 * and retention under delay, loss, duplicates, reordering, pauses, restarts and outages.
 *
 * Checks at each step: processes with equal prefixes have equal configurations, also with one that never
 * forgot anything; no offset is ever reverted; one that calls itself fresh knows all that stood in the log a
 * freshness time ago. At the end, with the faults gone, all hold the newest configuration and are fresh.
 */
ConfigRun simulateConfig(std::uint64_t seed, ConfigMutation mutation);

} // namespace snipehill::test
