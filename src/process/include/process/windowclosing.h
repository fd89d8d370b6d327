#pragma once

#include <process/leasemanager.h>
#include <process/logclient.h>
#include <process/usagecounter.h>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace snipehill
{

/** Lengths of time that decide when windows are closed. */
struct WindowTimes
{
    milliseconds window{5000}; //!< length of a usage window
    milliseconds closeDelay{1500}; //!< after the end of a window: entries have published their last counts
    milliseconds overdueAfter{7000}; //!< after the end of a window: closed without the entries that sent no counts
};

/** Number of windows whose counts and figures are kept; reports for older windows are overdue. */
constexpr WindowNumber retainedWindows = 12;

/** Position of a reader in a stream that may lose records at both ends. */
struct LogPosition
{
    bool started = false; //!< a page has been applied since the latest restart
    LogEra era = 0; //!< of all applied pages
    Offset next = 0; //!< offset of the next record to read
    bool trimmed = false; //!< records had been removed before this reader started
};

/** Why a reader must start anew. */
enum class LogRestart {
    None,
    Era, //!< the log came back from an older copy
    Gap, //!< records were removed before they were read
};

/**
 * Advances the position past a page. On a restart the page's records must not be applied: what was built from earlier
 * pages is void, and the position is at the start of the stream.
 */
LogRestart advancePosition(LogPosition &position, const LogPage &page);

/**
 * What an entry knows of the ledger, the stream "usage", as holder of the lease on the deployment's duties. Plain data.
 *
 * The ledger is complete if each window that may have been closed is not later than its lastClosed. Only then windows are
 * closed and reported: a window is reported with one set of figures, whatever records the log has lost.
 */
struct WindowClosing
{
    UsageLedger ledger;
    LogPosition position;
    bool complete = false;
    std::optional<LeaseHold> confirmed; //!< lease under which the complete ledger was last read to its end
    std::optional<WindowNumber> confirmedThrough; //!< lastClosed at that time; kept when the reader starts anew
    std::map<WindowNumber, ClosedWindow> decided; //!< records made so far, by window; a retry appends the same
};

/** Whether two holds are of the same token; false if the era or the holder changed between them. */
bool isSameLease(const LeaseHold &left, const LeaseHold &right) noexcept;

/** Applies a page of the ledger. On a restart, reading must go on at the position. */
LogRestart applyLedgerPage(WindowClosing &closing, const LogPage &page);

/**
 * Takes note that the ledger was read to its end; has an effect only if this entry held the same lease before and after.
 * Adds the figures of closed windows to those that are told to the other entries.
 *
 * @return false if the lease changed or the ledger was read in another era; then nothing may be written or reported
 */
bool confirmLedger(WindowClosing &closing,
                   const LeaseHold &before,
                   const std::optional<LeaseHold> &after,
                   FinalFigures &figures,
                   const WindowTimes &windows,
                   TimePoint now);

/** Times of the lease by this entry's wall clock. */
struct HoldTimes
{
    std::chrono::system_clock::time_point since; //!< LeaseHold::since
    std::chrono::system_clock::time_point eraKnownSince; //!< LeaseHold::eraKnownSince
};

/** Opening record to append before any window may be closed; empty if none is due or the ledger was not read in the era of the lease. */
std::optional<OpenedLedger>
dueOpening(const WindowClosing &closing, const LeaseHold &hold, const HoldTimes &times, const FinalFigures &figures, const WindowTimes &windows);

/** Newest window that is to be closed now: all entries heard from since the given time have published their counts, or its report is due. */
WindowNumber closableThrough(const MergedUsage &counts, std::chrono::system_clock::time_point now, TimePoint heardSince, const WindowTimes &windows);

/** Closed records to append for the windows up to the given one; none unless the ledger is complete in the era of the lease. */
std::vector<ClosedWindow> dueClosings(WindowClosing &closing, const LeaseHold &hold, WindowNumber through, const UsageRows &counts);

/** Windows to report under the lease: closed by records that were read back under it and not acknowledged yet. */
std::map<WindowNumber, UsageByWorkspace> dueReports(const WindowClosing &closing, const LeaseHold &hold);

} // namespace snipehill
