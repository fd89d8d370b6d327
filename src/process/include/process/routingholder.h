#pragma once

#include <core/time.h>
#include <version/routingversion.h>

#include <mutex>

namespace snipehill
{

/** Holds the routing version in force in this process. One per process; thread-safe. */
class RoutingHolder
{
public:
    /** Null until the first version has been read. */
    RoutingVersionPointer current() const
    {
        const std::lock_guard lock(m_lock);
        return m_current;
    }

    /** Replaces the version in force; returns false and does nothing if the new version is not newer. */
    bool apply(RoutingVersionPointer version)
    {
        const std::lock_guard lock(m_lock);
        if (m_current && version->version <= m_current->version) {
            return false;
        }
        m_current = std::move(version);
        return true;
    }

    /** Records that the store confirmed the version in force as the newest. */
    void confirm(TimePoint now)
    {
        const std::lock_guard lock(m_lock);
        m_confirmedAt = now;
    }

    /** Time since the version in force was last confirmed as the newest. */
    Duration age(TimePoint now) const
    {
        const std::lock_guard lock(m_lock);
        return now - m_confirmedAt;
    }

private:
    mutable std::mutex m_lock;
    RoutingVersionPointer m_current;
    TimePoint m_confirmedAt{};
};

} // namespace snipehill
