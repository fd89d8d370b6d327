#pragma once

#include "support/callers.h"

#include <cstdint>

namespace snipehill::soak
{

/** Returns the request that a caller sends to its entry in a round. Depends only on the arguments; thread-safe. */
support::ClosedLoopCallers::PlannedCall planCall(std::uint64_t seed, const Endpoint &entry, int caller, int round);

} // namespace snipehill::soak
