#pragma once

#include <core/time.h>

#include <cstddef>
#include <string>
#include <vector>

namespace snipehill
{

/** A process in the distribution tree of the configuration. */
struct TreeMember
{
    std::string instance;
    std::string region;
    bool keyed = false; //!< serves keyed routes, so it is placed near the readers and must prove its freshness
    friend bool operator==(const TreeMember &, const TreeMember &) = default;
};

/** Limits of the distribution tree. */
struct TreeLimits
{
    std::size_t maxDirectFleet = 64; //!< in fleets up to this size every process reads the log directly
    std::size_t readersPerRegion = 4; //!< processes per region that read the log
    std::size_t fanOut = 4; //!< maximum number of children of a process
    std::size_t fallbackParents = 2; //!< further parents to use when the parent does not respond
};

/** Position of one member in the distribution tree. */
struct TreePosition
{
    bool readsLog = false;
    std::vector<std::string> parents; //!< first the one that pushes to this member, then fallbacks; empty for readers of the log
    std::vector<std::string> children; //!< members to push to
    std::size_t depth = 0; //!< 0 for readers of the log
};

/**
 * Computes the position of a member from the list of all members; the order of the list does not matter. Deterministic, so
 * that processes with the same list agree. A member that is missing from the list reads the log.
 */
TreePosition computeTreePosition(std::vector<TreeMember> members, const std::string &instance, const TreeLimits &limits);

} // namespace snipehill
