#pragma once

#include "soakcheck.h"
#include "soakplan.h"

#include <string>

namespace snipehill::soak
{

/** Result of one soak run. */
struct SoakOutcome
{
    Violations violations;
    std::size_t requests = 0;
    std::size_t served = 0;
    std::vector<std::string> faults; //!< injected faults with their times
    std::string artifactFolder; //!< folder with logs and journals; empty without violations
};

/**
 * Starts a deployment of real processes behind relays, sends steady traffic over persistent connections, injects the
 * faults planned for the seed, and checks the guarantees against what callers and targets recorded. Call from the main thread.
 */
SoakOutcome runSoak(std::uint64_t seed, const SoakSize &size);

} // namespace snipehill::soak
