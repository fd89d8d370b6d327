#pragma once

#include "soakplan.h"

namespace snipehill::soak
{

/** A fault that a stand-in does itself: changes of its switches at the start and at the end. */
struct Switch
{
    bool ofStore = false; //!< else of the fault's target
    const char *on = nullptr;
    const char *off = nullptr;
};

/** Null for faults that are done from outside. */
const Switch *switchOf(FaultKind kind);

} // namespace snipehill::soak
