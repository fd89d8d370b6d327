#pragma once

#include <core/ids.h>
#include <core/time.h>
#include <process/usage.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace snipehill
{

/**
 * Wall clock that ignores adjustments of the system clock: the system time at the start of the process plus the time
 * elapsed on a clock that also runs while the machine is suspended. Thread-safe.
 */
class SteadyWallClock
{
public:
    SteadyWallClock();
    std::chrono::system_clock::time_point now() const;

private:
    std::chrono::system_clock::time_point m_start;
    TimePoint m_bootAtStart;
};

/** Request counts that one run of an entry has published to the store or sent in a peer update. */
struct PublishedUsage
{
    UsageRows rows;
    WindowNumber openWindow = 0; //!< counts of all earlier windows are complete
};

/** Published counts of all entries, and what is needed to decide whether a window is complete. Plain data on the control thread. */
struct MergedUsage
{
    UsageRows rows; //!< highest counts published
    std::map<Incarnation, WindowNumber> openWindows; //!< by entry run: counts of all earlier windows are complete
    std::map<std::string, std::pair<Incarnation, TimePoint>> lastHeard; //!< run and arrival time of the latest update of each entry
};

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
    UsageCounter(Incarnation self, milliseconds windowLength);

    /** Counts a request that a target has begun to run, in the current window. */
    void count(const std::string &workspace);
    /** Counts to publish; empty if nothing has changed and no window has ended since the last publication. */
    std::optional<PublishedUsage> unpublished();
    /** Marks the result of unpublished() as published; requests counted since then stay unpublished. */
    void markPublished(const PublishedUsage &published);
    /** Removes all windows before the given one. */
    void removeWindowsBefore(WindowNumber window);
    /** Window of the current time. */
    WindowNumber currentWindow() const;
    const Incarnation &self() const noexcept;

private:
    const Incarnation m_self;
    const milliseconds m_windowLength;
    const SteadyWallClock m_clock;
    std::mutex m_lock;
    UsageCounts m_counts;
    PublishedUsage m_published;
};

} // namespace snipehill
