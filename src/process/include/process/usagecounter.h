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
 * Wall clock that does not follow jumps of the system's: time since the start of the process is counted by a clock that
 * also runs while the machine is suspended. Thread-safe.
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

/** What one run of an entry has told of its counts, through the store or through news. */
struct PublishedUsage
{
    UsageRows rows;
    WindowNumber openWindow = 0; //!< counts of earlier windows are complete
};

/** Counts as the entries tell them, with what it takes to know that a window is complete. Plain data on the control thread. */
struct MergedUsage
{
    UsageRows rows; //!< highest counts told
    std::map<Incarnation, WindowNumber> openWindows; //!< by run of an entry: counts of earlier windows are complete
    std::map<std::string, std::pair<Incarnation, TimePoint>> lastHeard; //!< latest news of each entry
};

/** Adds what was told; counts only grow, so the higher one is the later one. */
void mergeUsage(MergedUsage &counts, const Incarnation &entry, const PublishedUsage &published);

/** Whether every entry that was heard lately has told all its counts of a window. */
bool isWindowComplete(const MergedUsage &counts, WindowNumber window, TimePoint heardSince);

/** JSON form of what an entry publishes. */
Json::Value toJson(const Incarnation &entry, const PublishedUsage &published);
std::optional<std::pair<Incarnation, PublishedUsage>> parsePublishedUsage(const Json::Value &value, Reason &reason);

/** Requests that began to run, by usage window and workspace, of this run of an entry. Thread-safe. */
class UsageCounter
{
public:
    UsageCounter(Incarnation self, milliseconds windowLength);

    /** Counts a request that a target began to run now. */
    void count(const std::string &workspace);
    /** What is to be published: empty if nothing has changed and no window has ended since it was last published. */
    std::optional<PublishedUsage> unpublished();
    /** Notes that what unpublished() returned has been published; counts made meanwhile stay unpublished. */
    void markPublished(const PublishedUsage &published);
    /** Drops windows before one. */
    void removeWindowsBefore(WindowNumber window);
    /** The window that is open now. */
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
