#pragma once

#include "soakplan.h"

namespace snipehill::soak
{

/** A fault that a stand-in does itself: changes of its switches at the start and at the end. */
struct StandInFault
{
    bool onStore = false; //!< else of the fault's target
    const char *startSettings = nullptr;
    const char *endSettings = nullptr;
};

/** Null for faults that are done from outside. */
const StandInFault *standInFaultFor(FaultKind kind);

} // namespace snipehill::soak
