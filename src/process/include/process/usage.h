#pragma once

#include <core/ids.h>
#include <core/reason.h>
#include <core/time.h>

#include <json/value.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace snipehill
{

/** Number of a usage window: time since the epoch of the system clock divided by the window length. */
using WindowNumber = std::int64_t;

/** Window that contains a point in time. */
WindowNumber windowOf(std::chrono::system_clock::time_point time, milliseconds windowLength) noexcept;

/** End of a window. */
std::chrono::system_clock::time_point endOfWindow(WindowNumber window, milliseconds windowLength) noexcept;

/** Usage of one workspace. */
struct UsageTotals
{
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    friend bool operator==(const UsageTotals &, const UsageTotals &) = default;
};

UsageTotals &operator+=(UsageTotals &sum, const UsageTotals &totals) noexcept;

/** Usage by workspace. */
using UsageByWorkspace = std::map<std::string, UsageTotals>;

/** Key of a usage row: one run of a sidecar in one window. The row is included in exactly one closed record. */
struct UsageSource
{
    Incarnation sidecar;
    WindowNumber window = 0;
    friend bool operator==(const UsageSource &, const UsageSource &) = default;
    friend bool operator<(const UsageSource &left, const UsageSource &right)
    {
        return std::tie(left.sidecar, left.window) < std::tie(right.sidecar, right.window);
    }
};

/** Usage rows by source. */
using UsageRows = std::map<UsageSource, UsageByWorkspace>;

/** Usage of one process run by window. A sidecar keeps a window until a closed record includes it. Plain data. */
struct UsageCounts
{
    WindowNumber frozenThrough = 0; //!< windows up to this one have been read and receive no more usage
    std::map<WindowNumber, UsageByWorkspace> windows;
};

/** Adds usage to the current window, or to the first one that is not frozen if that is later; returns the window. */
WindowNumber addUsage(UsageCounts &counts, WindowNumber current, const std::string &workspace, const UsageTotals &totals);

/** Freezes all windows up to the given one and returns their usage. */
std::map<WindowNumber, UsageByWorkspace> freezeUsage(UsageCounts &counts, WindowNumber through);

/** Closed record: the final usage of one window for all workspaces. */
struct ClosedWindow
{
    WindowNumber window = 0;
    UsageByWorkspace totals;
    std::vector<UsageSource> sources; //!< rows that are included in the totals
    std::optional<LogEra> era; //!< of the log, as its writer knew it; records without one take effect in any era
};

/** Reported record: the workspaces whose usage in a window the platform has acknowledged. */
struct ReportedWindow
{
    WindowNumber window = 0;
    std::vector<std::string> workspaces;
    std::optional<LogEra> era; //!< as in ClosedWindow
};

/**
 * Opened record: the ledger goes on after records have been lost. Windows up to the given one are never closed any more;
 * those listed are reported with these figures.
 */
struct OpenedLedger
{
    LogEra era = 0;
    Offset token = noOffset; //!< fencing token of its writer; tells the record from those of other holders
    WindowNumber through = 0; //!< newest window that may have been closed before
    std::map<WindowNumber, UsageByWorkspace> windows; //!< final figures that a live entry knows
};

/** One record of the stream "usage"; exactly one member is set. */
struct UsageRecord
{
    std::optional<ClosedWindow> closed;
    std::optional<ReportedWindow> reported;
    std::optional<OpenedLedger> opened = {};
};

Json::Value toJson(const ClosedWindow &closed);
Json::Value toJson(const ReportedWindow &reported);
Json::Value toJson(const OpenedLedger &opened);
Json::Value toJson(const UsageRows &rows);
std::optional<UsageRecord> parseUsageRecord(const Json::Value &value, Reason &reason);
std::optional<UsageRows> parseUsageRows(const Json::Value &value, Reason &reason);

/** State that results from applying all records of the stream "usage" in order. */
struct UsageLedger
{
    std::optional<WindowNumber> lastClosed;
    std::set<UsageSource> closedSources; //!< rows included in closed records of the last usageRetentionWindows windows
    std::map<WindowNumber, UsageByWorkspace> unreported; //!< usage of closed windows that the platform has not acknowledged
    std::map<WindowNumber, UsageByWorkspace> recent; //!< final figures of the newest windows, acknowledged or not
    std::optional<WindowNumber> floor; //!< rows of windows up to this one are never closed any more
    std::optional<WindowNumber> firstWindow; //!< of the first record that took effect
    LogEra era = 0; //!< highest era of an opened or closed record; records of earlier eras have no effect
    Offset openedBy = noOffset; //!< token of the latest opened record that took effect
};

/** Number of windows for which closed sources are remembered. Rows of older windows are no longer reported. The log must retain records for longer. */
constexpr WindowNumber usageRetentionWindows = 240;

/** Number of closed windows whose final figures are kept, so that they can be reported again after the log lost their records. */
constexpr WindowNumber recentWindows = 4;

/**
 * Applies a record. A closed record takes effect only if its window is later than all closed ones and no earlier closed
 * record includes any of its sources, so the totals of a window and the window of a row never change afterwards.
 * Records that name an era earlier than the ledger's have no effect.
 *
 * @return true if a closed record took effect
 */
bool applyUsageRecord(UsageLedger &ledger, const UsageRecord &record);

/** Usage collected from sidecars and entries in order to close windows. */
struct CollectedUsage
{
    UsageRows sidecars; //!< rows of the sidecars that responded
    UsageRows copies; //!< sums of the backup copies that entries keep of sidecars' rows
    std::set<Incarnation> endedRuns; //!< sidecar runs that have ended, so that only copies of their rows are left
};

/**
 * Builds the closed records to append, one for each window up to the given one that has rows and is not closed yet.
 * Late rows of closed windows go into the first open window. Copies are used only for runs that have ended.
 */
std::vector<ClosedWindow> closeWindows(const UsageLedger &ledger, WindowNumber through, const CollectedUsage &collected);

/** Newest window that ended at least the grace period ago. */
WindowNumber newestEndedWindow(std::chrono::system_clock::time_point now, milliseconds grace, milliseconds windowLength) noexcept;

/** Usage of one sidecar run, by the system clock. Thread-safe. */
class SidecarUsage
{
public:
    SidecarUsage(Incarnation self, milliseconds windowLength);
    /** Adds the usage of a served request and returns its window, which the end frame passes on for the entry's copy. */
    WindowNumber count(const std::string &workspace, const UsageTotals &totals);
    /** RPC usage.read: {"through": window} -> {"instance", "incarnation", "rows"}. */
    Json::Value read(const Json::Value &params);
    /** RPC usage.settled: removes rows that a closed record includes. */
    void removeClosed(const std::vector<UsageSource> &sources);
    /** Number of windows with usage. */
    std::size_t windows() const;

private:
    mutable std::mutex m_mutex;
    Incarnation m_self;
    milliseconds m_windowLength;
    UsageCounts m_counts;
};

/** Backup copies of sidecars' usage rows at an entry, used when a sidecar run ends before its rows were collected. Thread-safe. */
class EntryUsage
{
public:
    /** Adds the usage of a completed response; source is the sidecar run and the window from the end frame. */
    void count(const UsageSource &source, const std::string &workspace, const UsageTotals &totals);
    /** RPC usage.read: {"through": window} -> {"copies": rows}. */
    Json::Value read(const Json::Value &params) const;
    /** Removes rows that a closed record includes. */
    void removeClosed(const std::vector<UsageSource> &sources);

private:
    mutable std::mutex m_mutex;
    UsageRows m_rows;
};

/** Parses the parameters {"sources": [...]} of usage.settled; empty with a reason if they are malformed. */
std::optional<std::vector<UsageSource>> parseUsageSources(const Json::Value &params, Reason &reason);

} // namespace snipehill
