#pragma once

#include "soakcheck.h"
#include "soakplan.h"

#include <string>

namespace snipehill::soak
{

/** What became of one run. */
struct SoakOutcome
{
    Violations violations;
    std::size_t requests = 0;
    std::size_t served = 0;
    std::vector<std::string> faults; //!< as they were done, with their times
    std::string artifactFolder; //!< folder with logs and journals, kept only when something was violated
};

/**
 * Starts a deployment of real processes behind relays, sends steady traffic on kept connections, does the faults of the
 * seed, and checks the promises from what callers and targets have seen. To be called by the main thread.
 */
SoakOutcome runSoak(std::uint64_t seed, const SoakSize &size);

} // namespace snipehill::soak
