#pragma once

#include <process/directsettings.h>

namespace snipehill
{

/**
 * Runs an entry that connects to targets directly, without sidecars, and holds no persistent state: configuration,
 * targets, leases and usage are kept in the platform's store. Blocks until the process has received a termination signal
 * and drained; returns its exit code.
 *
 * One thread runs the control tasks, a second one serves callers. State that both use is protected by mutexes or atomic.
 */
int runDirectEntry(const DirectSettings &settings);

} // namespace snipehill
