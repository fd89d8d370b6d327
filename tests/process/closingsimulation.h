#pragma once

#include "virtualtime.h"

#include <process/usage.h>

#include <set>
#include <string>
#include <vector>

namespace snipehill::test
{

/** What the log loses in a run, beside the faults that every run may have. */
enum class LogLoss {
    None,
    Tail, //!< comes back from a copy 0.2 to 5 s old, once or twice in a row
    Expiry, //!< removes records that are 20 s old, all the time
    Head, //!< removes its oldest records or all
    Both,
};

/** Rule of the protocol to violate, to show that the checker detects the violation. */
enum class ClosingMutation {
    NoRestart, //!< readers go on at their position after the log came back from a copy
    NoOpening, //!< whoever holds the lease takes what the log still shows for the whole ledger
    OpeningOfOwnLedger, //!< after a change of the holder, the opening record goes by the holder's own last reading
    OpeningWithoutClockError, //!< the bound of the opening record takes all clocks for equal
    GapIgnored, //!< a reader applies the records after a gap to what it had before
    EraBoundAfterTrimming, //!< an emptied stream is opened by the time at which the era became known
    TrimmedTaken, //!< what is left of an emptied stream is taken for the whole ledger
    RecordsWithoutEra, //!< records don't name their era, so that late ones take effect
    FloorIgnored, //!< rows of windows that were given up go into later windows
    UnreportedKept, //!< the opening record lists what the log still shows as not reported
    FiguresNotTold, //!< the holder keeps the figures of closed windows to itself; costs windows
    CountsNotRepublished, //!< entries don't publish again what a copy may have lost; costs requests
    FiguresUnread, //!< figures are told to other entries when the record is appended
    FiguresWithoutLease, //!< figures are told though the lease ended before they were read back
    ReportUnconfirmed, //!< reports what was read under an earlier lease
    DecidedAnew, //!< a retry takes the counts known by then
};

/** Usage report as received by the platform. */
struct ReceivedReport
{
    WindowNumber window = 0;
    UsageByWorkspace totals;
};

/** Outcome of one simulated run. */
struct ClosingResult
{
    std::vector<ReceivedReport> reports;
    UsageByWorkspace ran; //!< requests that began to run
    std::set<WindowNumber> dueWindows; //!< windows with requests whose reports were due before the end of the run
    std::size_t losses = 0; //!< copies and removals
    std::size_t openings = 0; //!< opening records appended
};

/** Simulates four entries that count, publish, and close windows under one lease with one holder at a time, and the log. */
ClosingResult simulateClosing(std::uint64_t seed, LogLoss loss, std::set<ClosingMutation> leftOut = {});

/** Simulates entries of an earlier version that are replaced one after another, with the usual faults or, if quiet, without. The log keeps its records. */
ClosingResult simulateUpgrade(std::uint64_t seed, bool quiet, std::set<ClosingMutation> leftOut = {});

/** Describes each violation: a window reported with two sets of figures, or more reported than ran. */
std::vector<std::string> checkClosing(const ClosingResult &result);

/** Number of due windows that were not reported. */
std::size_t missedWindows(const ClosingResult &result);

/** Requests that ran and are in no report. */
std::uint64_t uncountedRequests(const ClosingResult &result);

} // namespace snipehill::test
