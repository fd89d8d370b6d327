#pragma once

#include "soakplan.h"

#include <string>

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

/** Settings that make all runs of a target silent once, for 0.8 s to 1.8 s; streams midway or before their first event. */
std::string silenceSettings(std::size_t index, bool stream);
extern const char *const endOfSilence; //!< settings that end it for new runs

} // namespace snipehill::soak
