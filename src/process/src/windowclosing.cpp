#include <process/windowclosing.h>

#include <algorithm>
#include <utility>

namespace snipehill
{

bool isSameLease(const LeaseHold &left, const LeaseHold &right) noexcept
{
    return left.token == right.token && left.era == right.era && left.tenure == right.tenure;
}

LogRestart advancePosition(LogPosition &position, const LogPage &page)
{
    position = {.started = true, .era = page.era, .next = page.next};
    return LogRestart::None;
}

LogRestart applyLedgerPage(WindowClosing &closing, const LogPage &page)
{
    const LogRestart restart = advancePosition(closing.position, page);
    for (const LogRecord &record : page.records) {
        Reason ignored;
        if (const auto parsed = parseUsageRecord(record.value, ignored)) {
            applyUsageRecord(closing.ledger, *parsed);
        }
    }
    return restart;
}

bool confirmLedger(WindowClosing &closing,
                   const LeaseHold & /*before*/,
                   const std::optional<LeaseHold> &after,
                   FinalFigures & /*figures*/,
                   const WindowTimes & /*windows*/,
                   TimePoint /*now*/)
{
    closing.complete = true;
    closing.confirmed = after;
    return after.has_value();
}

std::optional<OpenedLedger> dueOpening(const WindowClosing & /*closing*/,
                                       const LeaseHold & /*hold*/,
                                       const HoldTimes & /*times*/,
                                       const FinalFigures & /*figures*/,
                                       const WindowTimes & /*windows*/)
{
    return std::nullopt;
}

WindowNumber closableThrough(const MergedUsage &counts, std::chrono::system_clock::time_point now, TimePoint heardSince, const WindowTimes &windows)
{
    const WindowNumber overdue = newestEndedWindow(now, windows.overdueAfter, windows.window);
    WindowNumber through = newestEndedWindow(now, windows.closeDelay, windows.window);
    while (through > overdue && !isWindowComplete(counts, through, heardSince)) {
        --through;
    }
    return through;
}

std::vector<ClosedWindow> dueClosings(WindowClosing &closing, const LeaseHold & /*hold*/, WindowNumber through, const UsageRows &counts)
{
    CollectedUsage collected;
    collected.sidecars = counts;
    return closeWindows(closing.ledger, through, collected);
}

std::map<WindowNumber, UsageByWorkspace> dueReports(const WindowClosing &closing, const LeaseHold & /*hold*/)
{
    return closing.ledger.unreported;
}

} // namespace snipehill
