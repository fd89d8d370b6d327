#pragma once

#include "virtualtime.h"

#include <process/engineordermachine.h>

#include <string>
#include <vector>

namespace snipehill::test
{

/** Timeout of one call to the engine in the simulation. */
constexpr milliseconds simulatedOrderTimeout{500};

/** A rule that the simulation omits, to show that the checker detects it. */
enum class GrantMutation {
    None,
    AnyGrant, //!< orders run under the current grant, whichever they name
    NoDelayAfterRestart, //!< a restarted sidecar issues grants immediately
    NoTokenLookup, //!< a restarted sidecar issues grants without learning the highest fencing token
    HigherTokenPreempts, //!< a higher fencing token ends the current grant and its order
    ConcurrentOrders, //!< an order is accepted while another one is active
    NoCheckBeforeSend, //!< the grant is not checked again after the drain
};

/** A grant that the sidecar issued, in true time. */
struct IssuedGrant
{
    std::uint64_t id = 0;
    int holder = 0;
    Offset fencingToken = noOffset;
    Duration issuedAt{};
    Duration expiredAt{}; //!< according to its last renewal
};

/** An order that arrived at the engine. */
struct EngineArrival
{
    std::string orderId;
    std::uint64_t grant = 0;
    Offset fencingToken = noOffset;
    Duration at{};
    bool whileChanging = false; //!< the engine was still carrying out another order
    bool accepted = false;
};

/** Events of one simulated run. */
struct GrantRunHistory
{
    std::vector<IssuedGrant> grants;
    std::vector<EngineArrival> arrivals;
    std::size_t refused = 0; //!< grant requests, renewals and orders
    std::size_t faults = 0;
};

/** Simulates three lease holders, several of which may consider themselves the current one, with one sidecar and one engine. */
GrantRunHistory simulateGrants(std::uint64_t seed, GrantMutation mutation);

/**
 * Describes each violation: an order during the change of another one, decreasing fencing tokens, an order that arrives
 * twice or after another holder's grant was issued, or one that arrives long after its grant expired.
 */
std::vector<std::string> checkGrants(const GrantRunHistory &history);

} // namespace snipehill::test
