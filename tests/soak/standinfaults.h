#pragma once

#include "soakplan.h"

namespace snipehill::soak
{

/** A fault that a stand-in simulates itself: fault settings (JSON) sent to it when the fault starts and ends. */
struct StandInFault
{
    bool onStore = false; //!< sent to the store, else to the fault's target
    const char *startSettings = nullptr;
    const char *endSettings = nullptr;
};

/** Returns the settings for a fault, or null if the fault is injected from outside the stand-ins. */
const StandInFault *standInFaultFor(FaultKind kind);

} // namespace snipehill::soak
