#pragma once

#include <process/directsettings.h>

namespace snipehill
{

/**
 * Runs an entry that speaks to targets itself and keeps nothing: configuration, targets, leases and usage live in the
 * platform's store. Returns the exit code of the process after it was told to end and has drained.
 *
 * One thread does the control work, the other serves callers; what they share is locked.
 */
int runDirectEntry(const DirectSettings &settings);

} // namespace snipehill
