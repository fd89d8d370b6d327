#pragma once

#include <process/settings.h>

namespace snipehill
{

/** Runs an entry until it receives a termination signal and has drained; returns the exit code of the process. */
int runEntry(const Settings &settings);

/** Runs a sidecar until it receives a termination signal and has drained; returns the exit code of the process. */
int runSidecar(const Settings &settings);

} // namespace snipehill
