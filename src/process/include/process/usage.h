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

/** Number of a usage window: time since the epoch of the system clock divided by the window's length. */
using WindowNumber = std::int64_t;

/** Window of an instant. */
WindowNumber windowOf(std::chrono::system_clock::time_point time, milliseconds windowLength) noexcept;

/** Instant at which a window ends. */
std::chrono::system_clock::time_point endOfWindow(WindowNumber window, milliseconds windowLength) noexcept;

/** What a workspace used. */
struct UsageTotals
{
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    friend bool operator==(const UsageTotals &, const UsageTotals &) = default;
};

UsageTotals &operator+=(UsageTotals &sum, const UsageTotals &totals) noexcept;

/** Figures by workspace. */
using UsageByWorkspace = std::map<std::string, UsageTotals>;

/** One booking: what one run of a sidecar served in one window. Goes into exactly one closed record. */
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

using UsageRows = std::map<UsageSource, UsageByWorkspace>;

/** Counts of a sidecar: bookings that no closed record includes yet. Plain data. */
struct UsageCounts
{
    WindowNumber frozenThrough = 0; //!< windows that were read; nothing is added to them any more
    std::map<WindowNumber, UsageByWorkspace> windows;
};

/** Books a served request; returns the window, which is the current one or the first that is not frozen. */
WindowNumber addUsage(UsageCounts &counts, WindowNumber current, const std::string &workspace, const UsageTotals &totals);

/** Freezes windows up to one and returns their bookings. */
std::map<WindowNumber, UsageByWorkspace> freezeUsage(UsageCounts &counts, WindowNumber through);

/** A closed record: the figures of one window, for all workspaces. */
struct ClosedWindow
{
    WindowNumber window = 0;
    UsageByWorkspace totals;
    std::vector<UsageSource> sources; //!< bookings that the figures include
};

/** A record that says which workspaces' figures the platform has acknowledged. */
struct ReportedWindow
{
    WindowNumber window = 0;
    std::vector<std::string> workspaces;
};

/** One record of the stream "usage". */
struct UsageRecord
{
    std::optional<ClosedWindow> closed;
    std::optional<ReportedWindow> reported;
};

Json::Value toJson(const ClosedWindow &closed);
Json::Value toJson(const ReportedWindow &reported);
Json::Value toJson(const UsageRows &rows);
std::optional<UsageRecord> parseUsageRecord(const Json::Value &value, Reason &reason);
std::optional<UsageRows> parseUsageRows(const Json::Value &value, Reason &reason);

/** Pure fold of the stream "usage". */
struct UsageLedger
{
    std::optional<WindowNumber> lastClosed;
    std::set<UsageSource> closedSources; //!< bookings in closed records, back to the horizon
    std::map<WindowNumber, UsageByWorkspace> unreported; //!< closed figures that the platform has not acknowledged
};

/** Windows for which included bookings are remembered; older ones are not reported any more. The log must keep records for longer. */
constexpr WindowNumber usageRetentionWindows = 240;

/**
 * Applies a record. A closed record has effect only if its window is later than all closed ones and no
 * booking of it is in an earlier one: the figures of a window, and the window of a booking, are fixed for good.
 */
bool applyUsageRecord(UsageLedger &ledger, const UsageRecord &record);

/** What the sidecars and entries told for a window about to be closed. */
struct CollectedUsage
{
    UsageRows sidecars; //!< own bookings of sidecars that answered
    UsageRows copies; //!< sums over the entries' second copies
    std::set<Incarnation> endedRuns; //!< runs of sidecars that have ended for good
};

/**
 * The records to append, one for each window up to a given one that has bookings and is not closed yet.
 * Bookings of windows that are closed already go into the first. Copies count only for runs that are gone.
 */
std::vector<ClosedWindow> closeWindows(const UsageLedger &ledger, WindowNumber through, const CollectedUsage &collected);

/** Newest window that ended at least the grace time ago. */
WindowNumber newestEndedWindow(std::chrono::system_clock::time_point now, milliseconds grace, milliseconds windowLength) noexcept;

/** Counts of a sidecar under a lock, with the clock read. Thread-safe. */
class SidecarUsage
{
public:
    SidecarUsage(Incarnation self, milliseconds windowLength);
    /** Books a served request now; the window goes into the end frame, for the entry's copy. */
    WindowNumber count(const std::string &workspace, const UsageTotals &totals);
    /** RPC usage.read: {"through": window} -> {"instance", "incarnation", "rows"}. */
    Json::Value read(const Json::Value &params);
    /** RPC usage.settled: {"sources": [...]} drops bookings that a closed record includes. */
    void removeClosed(const std::vector<UsageSource> &sources);
    std::size_t windows() const;

private:
    mutable std::mutex m_mutex;
    Incarnation m_self;
    milliseconds m_windowLength;
    UsageCounts m_counts;
};

/** Second copies at an entry, by booking of the sidecar. Thread-safe. */
class EntryUsage
{
public:
    /** Notes an answer that ended; source is the sidecar's run and the window in its end frame. */
    void count(const UsageSource &source, const std::string &workspace, const UsageTotals &totals);
    /** RPC usage.read: {"through": window} -> {"copies": rows}. */
    Json::Value read(const Json::Value &params) const;
    void removeClosed(const std::vector<UsageSource> &sources);

private:
    mutable std::mutex m_mutex;
    UsageRows m_rows;
};

/** Parses {"sources": [...]} of usage.settled. */
std::optional<std::vector<UsageSource>> parseUsageSources(const Json::Value &params, Reason &reason);

} // namespace snipehill
