#pragma once

#include "virtualtime.h"

#include <process/usage.h>

#include <string>
#include <vector>

namespace snipehill::test
{

/** A rule left out on purpose, to show that the checker sees it. */
enum class UsageMutation {
    None,
    ReportOwnFigures, //!< reports what was appended without reading it back
    LaterClosedWins, //!< a later closed record replaces the figures of its window
    SourcesIgnored, //!< a closed record may count bookings that an earlier one counts
    NoFreeze, //!< a sidecar books into a window that was read
    CopiesOfLiveRuns, //!< entries' copies count also for runs that are not gone
};

/** A report as the platform got it. */
struct UsageReport
{
    WindowNumber window = 0;
    std::string workspace;
    UsageTotals totals;
};

/** What one run did. */
struct UsageSimulationResult
{
    std::vector<UsageReport> reports;
    UsageByWorkspace served; //!< truth
    bool sidecarsLost = false; //!< a sidecar was restarted, so figures may be lost with it and its copies
    std::size_t faults = 0;
};

/** Two closers, which may act at once, three sidecars and a log. */
UsageSimulationResult simulateUsage(std::uint64_t seed, UsageMutation mutation);

/** Sentences on what was violated: a window reported with two figures, more reported than served, or less without a loss. */
std::vector<std::string> checkUsage(const UsageSimulationResult &result);

} // namespace snipehill::test
