#pragma once

#include <core/ids.h>
#include <core/time.h>
#include <process/usage.h>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipehill
{

/**
 * Wall clock that ignores adjustments of the system clock: the system time at the start of the process plus the time
 * elapsed on a clock that also runs while the machine is suspended, plus a correction by the clocks of others. Thread-safe.
 */
class SteadyWallClock
{
public:
    explicit SteadyWallClock(std::chrono::system_clock::time_point start = std::chrono::system_clock::now());
    std::chrono::system_clock::time_point now() const;
    /** Moves the clock; times read before are not affected. */
    void correct(Duration change) noexcept;

private:
    std::chrono::system_clock::time_point m_start;
    TimePoint m_bootAtStart;
    std::atomic<Duration::rep> m_correction{0};
};

/** What the clock of another entry showed when it was last heard, compared with one's own. */
struct ClockReading
{
    Duration ahead{}; //!< of one's own clock
    TimePoint heardAt{};
};

/** Latest reading of each entry's clock, by instance. */
using ClockReadings = std::map<std::string, ClockReading>;

/**
 * Correction for one's own clock by the readings of others since the given time: their median if most clocks, one's own included, agree
 * with it. Handles a machine whose time of day is wrong when the process starts; right while a minority of the clocks is wrong.
 *
 * @return zero if one's own clock agrees with the median, or no majority agrees
 */
Duration clockCorrection(const ClockReadings &readings, TimePoint heardSince);

/** Request counts that one run of an entry has published to the store or sent in a peer update. */
struct PublishedUsage
{
    UsageRows rows;
    WindowNumber openWindow = 0; //!< counts of all earlier windows are complete
};

/** Final figures of one window, as a holder read them back from the ledger. */
struct FinalWindow
{
    UsageByWorkspace totals;
    bool contradicted = false; //!< entries know different figures; an opening record does not list the window
    int updatesLeft = 0; //!< peer updates that are still to include the figures
    TimePoint nextUpdate{}; //!< earliest time of the next one
    TimePoint added{}; //!< when this entry first read the figures back itself; not set if it only was told
};

/** Final figures of recent windows, known from the ledger and from other entries. Kept apart from the log, which may lose them. */
using FinalFigures = std::map<WindowNumber, FinalWindow>;

/** Adds figures that were read back from the ledger by this entry, which then tells them to the others. */
void addFinalFigures(FinalFigures &figures, const std::map<WindowNumber, UsageByWorkspace> &windows, TimePoint now);

/** Adds figures that another entry has read back from the ledger. */
void mergeFinalFigures(FinalFigures &figures, const std::map<WindowNumber, UsageByWorkspace> &windows);

/** Figures to include in the next peer update: each twice, a second apart. Windows with too many workspaces for a datagram are left out. */
std::map<WindowNumber, UsageByWorkspace> takeFinalFigures(FinalFigures &figures, TimePoint now);

/** Whether the figures of a window may be reported: the other entries were told, or telling them takes too long. */
bool isTold(const FinalFigures &figures, WindowNumber window, TimePoint now);

/** Published counts of all entries, and what is needed to decide whether a window is complete. Plain data on the control thread. */
struct MergedUsage
{
    UsageRows rows; //!< highest counts published
    std::map<Incarnation, WindowNumber> openWindows; //!< by entry run: counts of all earlier windows are complete
    std::map<std::string, std::pair<Incarnation, TimePoint>> lastHeard; //!< run and arrival time of the latest update of each entry
    FinalFigures finalFigures;
};

/** Records that an entry was heard. A run that was not heard before is told the newest figures that this entry has read back. */
void recordHeard(MergedUsage &counts, const Incarnation &entry, TimePoint now);

/** Merges published counts. Counts only grow, so the higher of two values is the later one and order does not matter. */
void mergeUsage(MergedUsage &counts, const Incarnation &entry, const PublishedUsage &published);

/** Whether every entry heard from since the given time has published all its counts of a window. */
bool isWindowComplete(const MergedUsage &counts, WindowNumber window, TimePoint heardSince);

/** JSON form of the counts that an entry run publishes. */
Json::Value toJson(const Incarnation &entry, const PublishedUsage &published);
/** Parses the JSON form of published counts; empty with a reason if it is malformed. */
std::optional<std::pair<Incarnation, PublishedUsage>> parsePublishedUsage(const Json::Value &value, Reason &reason);

/** Counts the requests of this entry run that began to run, by usage window and workspace. Thread-safe. */
class UsageCounter
{
public:
    UsageCounter(Incarnation self, milliseconds windowLength, std::chrono::system_clock::time_point start = std::chrono::system_clock::now());

    /** Counts a request that a target has begun to run, in the current window. Before settleClock(), its window is not decided yet. */
    void count(const std::string &workspace);
    /** Corrects the clock; requests whose window is not decided move with it. */
    void correctClock(Duration change);
    /** The clock was compared with others, or there are none: decides the windows of the requests counted so far. */
    void settleClock();
    /** Time of day by which requests are counted. */
    std::chrono::system_clock::time_point wallTime() const;
    /** Counts to publish; empty if nothing has changed and no window has ended since the last publication. */
    std::optional<PublishedUsage> unpublished();
    /** Marks the result of unpublished() as published; requests counted since then stay unpublished. */
    void markPublished(const PublishedUsage &published);
    /** Forgets what was published, because the log may have lost it: all counts kept are published again. */
    void republish();
    /** Removes all windows before the given one. */
    void removeWindowsBefore(WindowNumber window);
    /** Window of the current time; 0 before settleClock(). */
    WindowNumber currentWindow() const;
    const Incarnation &self() const noexcept;

private:
    const Incarnation m_self;
    const milliseconds m_windowLength;
    SteadyWallClock m_clock;
    std::atomic<bool> m_clockSettled{false};
    std::mutex m_lock;
    std::vector<std::pair<std::chrono::system_clock::time_point, std::string>> m_undecided; //!< time by the clock as it is now, and workspace
    UsageCounts m_counts;
    PublishedUsage m_published;
};

} // namespace snipehill
