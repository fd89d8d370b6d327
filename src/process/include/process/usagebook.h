#pragma once

#include <core/ids.h>
#include <process/usage.h>

#include <mutex>
#include <optional>

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

/** Requests that began to run, by usage window and workspace, of this run of an entry. Thread-safe. */
class UsageBook
{
public:
    UsageBook(Incarnation self, milliseconds windowLength);

    /** Counts a request that a target began to run now. */
    void count(const std::string &workspace);
    /** Rows of all windows that are still kept, if any has changed since the last call. */
    std::optional<UsageRows> takeChanged();
    /** Has the next takeChanged() return the rows again. */
    void markChanged();
    /** Drops windows before one. */
    void forgetBefore(WindowNumber window);
    /** The window that is open now. */
    WindowNumber currentWindow() const;
    const Incarnation &self() const noexcept;

private:
    const Incarnation m_self;
    const milliseconds m_windowLength;
    const SteadyWallClock m_clock;
    std::mutex m_lock;
    UsageCounts m_counts;
    bool m_changed = false;
};

} // namespace snipehill
