#include <process/windowclosing.h>

#include <algorithm>
#include <utility>

namespace snipehill
{

namespace
{

constexpr milliseconds clockError{4000}; // two clocks that differ from the true time by two seconds each
constexpr milliseconds lateAppend{60000}; // longer than a record can take from the end of its window until it is appended

/** Newest window that any holder can have closed by a time of this entry's clock. */
WindowNumber newestClosedBy(std::chrono::system_clock::time_point time, const WindowTimes &windows)
{
    return newestEndedWindow(time + clockError, windows.closeDelay, windows.window);
}

/** Whether the ledger has closed every window that another entry has read back as closed. */
bool reachesFigures(const UsageLedger &ledger, const FinalFigures &figures)
{
    return figures.empty() || (ledger.lastClosed && *ledger.lastClosed >= figures.rbegin()->first);
}

/** Whether the totals are the only ones known for the window. */
bool isConfirmedBy(const FinalFigures &figures, WindowNumber window, const UsageByWorkspace &totals)
{
    const auto known = figures.find(window);
    return known != figures.end() && !known->second.contradicted && known->second.totals == totals;
}

/**
 * Drops what a trimmed ledger says of its oldest windows unless other entries confirm it: a late record that had no effect
 * seems to have one if the records before it were removed.
 */
void dropUnconfirmed(UsageLedger &ledger, const FinalFigures &figures, const WindowTimes &windows)
{
    const WindowNumber certainFrom = ledger.firstWindow.value_or(0) + lateAppend / windows.window;
    const auto isUnconfirmed = [&](const auto &window) {
        return window.first < certainFrom && !isConfirmedBy(figures, window.first, window.second);
    };
    std::erase_if(ledger.unreported, isUnconfirmed);
    std::erase_if(ledger.recent, isUnconfirmed);
}

/**
 * Whether the ledger's last record is that of the newest closed window. Not certain if the stream was emptied a short time
 * ago: what was read may then be a late record, with later ones before it that are gone. Other entries tell the newest
 * window that they know to be closed; if the ledger reaches it, it was not emptied since.
 */
bool isContiguous(const WindowClosing &closing, const FinalFigures &figures, const WindowTimes &windows)
{
    const UsageLedger &ledger = closing.ledger;
    if (!closing.position.trimmed || !ledger.lastClosed) {
        return !closing.position.trimmed;
    }
    const bool reachesKnown = !figures.empty() && reachesFigures(ledger, figures);
    return reachesKnown || (*ledger.lastClosed - ledger.firstWindow.value_or(*ledger.lastClosed)) * windows.window >= lateAppend;
}

/** Whether the complete ledger was read to its end in the era of the lease and while it was held. */
bool isConfirmed(const WindowClosing &closing, const LeaseHold &hold)
{
    return closing.complete && closing.position.era == hold.era && closing.confirmed && isSameLease(*closing.confirmed, hold);
}

} // namespace

bool isSameLease(const LeaseHold &left, const LeaseHold &right) noexcept
{
    return left.token == right.token && left.era == right.era && left.tenure == right.tenure;
}

LogRestart advancePosition(LogPosition &position, const LogPage &page)
{
    LogRestart restart = LogRestart::None;
    if (position.started && page.era != position.era) {
        restart = LogRestart::Era;
    } else if (position.started && page.firstRetained > position.next) {
        restart = LogRestart::Gap;
    }
    if (restart != LogRestart::None) {
        position = {};
        return restart;
    }
    if (!position.started) {
        position = {.started = true, .era = page.era, .trimmed = page.firstRetained > 0};
    }
    position.next = page.next;
    return LogRestart::None;
}

LogRestart applyLedgerPage(WindowClosing &closing, const LogPage &page)
{
    const LogRestart restart = advancePosition(closing.position, page);
    if (restart != LogRestart::None) {
        closing.ledger = {};
        closing.complete = false;
        return restart;
    }
    for (const LogRecord &record : page.records) {
        Reason ignored;
        if (const auto parsed = parseUsageRecord(record.value, ignored)) {
            applyUsageRecord(closing.ledger, *parsed);
        }
    }
    if (closing.position.trimmed && closing.ledger.firstWindow) {
        // Removed records may have included any row of the windows before.
        closing.ledger.floor = std::max(closing.ledger.floor.value_or(*closing.ledger.firstWindow - 1), *closing.ledger.firstWindow - 1);
    }
    return restart;
}

bool confirmLedger(WindowClosing &closing,
                   const LeaseHold &before,
                   const std::optional<LeaseHold> &after,
                   FinalFigures &figures,
                   const WindowTimes &windows,
                   TimePoint now)
{
    if (!after || !isSameLease(before, *after) || closing.position.era != after->era || closing.ledger.era > after->era) {
        return false;
    }
    const bool known = closing.ledger.era == after->era && isContiguous(closing, figures, windows);
    if (!closing.complete && closing.position.trimmed && closing.ledger.openedBy != after->token) {
        dropUnconfirmed(closing.ledger, figures, windows);
    }
    const bool opened = after->token != noOffset && closing.ledger.openedBy == after->token;
    closing.complete = reachesFigures(closing.ledger, figures) && (closing.complete || known || opened);
    if (closing.complete) {
        closing.confirmed = after;
        closing.confirmedThrough = closing.ledger.lastClosed;
        addFinalFigures(figures, closing.ledger.recent, now);
    }
    return true;
}

std::optional<OpenedLedger>
dueOpening(const WindowClosing &closing, const LeaseHold &hold, const HoldTimes &times, const FinalFigures &figures, const WindowTimes &windows)
{
    if (closing.complete || !closing.position.started || closing.position.era != hold.era || closing.ledger.era > hold.era) {
        return std::nullopt;
    }
    const bool contiguous = isContiguous(closing, figures, windows);
    const WindowNumber closedBeforeEra = newestClosedBy(times.eraKnownSince, windows);
    OpenedLedger opened{.era = hold.era, .token = hold.token};
    if (closing.confirmed && closing.confirmed->tenure == hold.tenure) {
        opened.through = closing.confirmedThrough.value_or(0);
    } else {
        opened.through = contiguous ? closedBeforeEra : newestClosedBy(times.since, windows);
    }
    if (!figures.empty()) {
        opened.through = std::max(opened.through, figures.rbegin()->first);
    }
    for (auto known = figures.upper_bound(opened.through - recentWindows); known != figures.end(); ++known) {
        if (!known->second.contradicted) {
            opened.windows[known->first] = known->second.totals;
        }
    }
    // Records of later windows were made in this era, by holders that wrote no opening record.
    if (contiguous) {
        opened.windows.insert(closing.ledger.unreported.upper_bound(std::max(closedBeforeEra, opened.through)), closing.ledger.unreported.end());
    }
    return opened;
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

std::vector<ClosedWindow> dueClosings(WindowClosing &closing, const LeaseHold &hold, WindowNumber through, const UsageRows &counts)
{
    if (!isConfirmed(closing, hold)) {
        return {};
    }
    const UsageLedger &ledger = closing.ledger;
    CollectedUsage collected;
    collected.sidecars = counts;
    std::vector<ClosedWindow> records = closeWindows(ledger, through, collected);
    for (ClosedWindow &record : records) {
        const auto earlier = closing.decided.find(record.window);
        const bool valid = earlier != closing.decided.end()
            && std::none_of(earlier->second.sources.begin(), earlier->second.sources.end(), [&ledger](const UsageSource &source) {
                               return ledger.closedSources.contains(source) || (ledger.floor && source.window <= *ledger.floor);
                           });
        if (valid) {
            record = earlier->second;
        }
        record.era = hold.era;
        closing.decided[record.window] = record;
    }
    closing.decided.erase(closing.decided.begin(), closing.decided.lower_bound(through - retainedWindows));
    return records;
}

std::map<WindowNumber, UsageByWorkspace> dueReports(const WindowClosing &closing, const LeaseHold &hold)
{
    return isConfirmed(closing, hold) ? closing.ledger.unreported : std::map<WindowNumber, UsageByWorkspace>{};
}

} // namespace snipehill
