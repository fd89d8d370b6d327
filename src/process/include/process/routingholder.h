#pragma once

#include <core/time.h>
#include <version/routingversion.h>

#include <mutex>

namespace snipehill
{

/** The routing version in force in this process. Owned by the process; thread-safe. */
class RoutingHolder
{
public:
    /** Null until the first version was read. */
    RoutingVersionPointer current() const
    {
        const std::lock_guard lock(m_lock);
        return m_current;
    }

    /** Puts a version in force; false if it is not newer than the one in force, which then stays. */
    bool apply(RoutingVersionPointer version)
    {
        const std::lock_guard lock(m_lock);
        if (m_current && version->version <= m_current->version) {
            return false;
        }
        m_current = std::move(version);
        return true;
    }

    /** Notes that the store confirmed the version in force as the newest. */
    void confirm(TimePoint now)
    {
        const std::lock_guard lock(m_lock);
        m_confirmed = now;
    }

    /** Since when a newer version may exist that this process doesn't know. */
    Duration age(TimePoint now) const
    {
        const std::lock_guard lock(m_lock);
        return now - m_confirmed;
    }

private:
    mutable std::mutex m_lock;
    RoutingVersionPointer m_current;
    TimePoint m_confirmed{};
};

} // namespace snipehill
