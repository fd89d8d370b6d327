#pragma once

#include <core/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace snipehill
{

/** A process that takes part in the distribution of the configuration. */
struct TreeMember
{
    std::string instance;
    std::string region;
    bool keyed = false; //!< serves keyed routes, so it stands near the readers and proves its freshness
    friend bool operator==(const TreeMember &, const TreeMember &) = default;
};

/** Bounds of the distribution. */
struct TreeLimits
{
    std::size_t maxDirectFleet = 64; //!< fleets up to this size read the log directly
    std::size_t readersPerRegion = 4; //!< processes that read the log for their region
    std::size_t fanOut = 4; //!< children that one process tells of a change
    std::size_t fallbackParents = 2; //!< further parents that a silent one is replaced by
};

/** Place of one member. */
struct TreePosition
{
    bool readsLog = false;
    std::vector<std::string> parents; //!< first the one that pushes to it, then fallbacks; empty for readers
    std::vector<std::string> children; //!< to push to
    std::size_t depth = 0; //!< 0 for readers
};

/**
 * Computes a member's place from the list of all members; the order of the list does not matter.
 * Pure, so that processes with the same list agree. A member that is missing from the list reads the log.
 */
TreePosition computeTreePosition(std::vector<TreeMember> members, const std::string &instance, const TreeLimits &limits);

} // namespace snipehill
