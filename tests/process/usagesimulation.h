#pragma once

#include "virtualtime.h"

#include <process/usage.h>

#include <string>
#include <vector>

namespace snipehill::test
{

/** Rule of the protocol to violate, to show that the checker detects the violation. */
enum class UsageMutation {
    None,
    ReportUnreadTotals, //!< reports closed windows without reading the record back
    LaterClosedWins, //!< a later closed record replaces the totals of its window
    SourcesIgnored, //!< a closed record may include rows that an earlier one includes
    NoFreeze, //!< a sidecar adds usage to a window that was already read
    CopiesOfLiveRuns, //!< copies at entries are used for sidecar runs that have not ended
};

/** Usage report as received by the platform. */
struct UsageReport
{
    WindowNumber window = 0;
    std::string workspace;
    UsageTotals totals;
};

/** Outcome of one simulated run. */
struct UsageSimulationResult
{
    std::vector<UsageReport> reports;
    UsageByWorkspace served; //!< usage actually served
    bool sidecarsLost = false; //!< a sidecar was restarted, so usage may be lost
    std::size_t faults = 0; //!< number of faults injected
};

/** Simulates two processes that close windows, possibly at the same time, three sidecars and a log. */
UsageSimulationResult simulateUsage(std::uint64_t seed, UsageMutation mutation);

/** Describes each violation: a window reported with different totals, more usage reported than served, or less although no sidecar was restarted. */
std::vector<std::string> checkUsage(const UsageSimulationResult &result);

} // namespace snipehill::test
