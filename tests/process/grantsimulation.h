#pragma once

#include "virtualtime.h"

#include <process/engineordermachine.h>

#include <string>
#include <vector>

namespace snipehill::test
{

/** Bound of one call to the engine in the simulation. */
constexpr milliseconds simulatedOrderTimeout{500};

/** A rule left out on purpose, to show that the checker sees it. */
enum class GrantMutation {
    None,
    AnyGrant, //!< orders run under whatever grant is in force
    NoDelayAfterRestart, //!< a restarted sidecar grants at once
    NoTokenLookup, //!< a restarted sidecar grants without the highest number
    HigherTokenPreempts, //!< a higher number ends the grant in force and its order
    ConcurrentOrders, //!< an order does not wait for the end of another
    NoCheckBeforeSend, //!< the grant is not checked again after the drain
};

/** A grant as the sidecar gave it, in true time. */
struct IssuedGrant
{
    std::uint64_t id = 0;
    int holder = 0;
    Offset fencingToken = noOffset;
    Duration issuedAt{};
    Duration expiredAt{}; //!< by its last renewal
};

/** An order that arrived at the engine. */
struct EngineArrival
{
    std::string orderId;
    std::uint64_t grant = 0;
    Offset fencingToken = noOffset;
    Duration at{};
    bool whileChanging = false; //!< another order was being carried out
    bool accepted = false;
};

/** What one run did. */
struct GrantRunHistory
{
    std::vector<IssuedGrant> grants;
    std::vector<EngineArrival> arrivals;
    std::size_t refused = 0; //!< grant requests, renewals and orders
    std::size_t faults = 0;
};

/** Three holders, of which several may believe to be the one, against one sidecar and engine. */
GrantRunHistory simulateGrants(std::uint64_t seed, GrantMutation mutation);

/**
 * Sentences on what was violated: an order during another's change, fencing numbers that fall, an order that
 * arrives twice, one that arrives after another holder's grant began, or one sent long after its grant lapsed.
 */
std::vector<std::string> checkGrants(const GrantRunHistory &history);

} // namespace snipehill::test
