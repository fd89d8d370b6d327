#pragma once

#include <connection/httpclient.h>
#include <core/time.h>

#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace snipehill
{

using HttpConnectionPointer = std::unique_ptr<HttpConnection>;

/**
 * Connections to targets that wait for their next request. Owned by the process. Thread-safe, but a connection
 * is only to be used by the thread whose executor it was made with.
 */
class TargetConnections
{
public:
    /** A connection that was idle for less than the time and is still open; null if there is none. */
    HttpConnectionPointer take(const Endpoint &target, milliseconds maxIdle);
    /** Keeps a connection whose exchange has ended well; usable for at most the time. */
    void put(HttpConnectionPointer connection, milliseconds usable);
    /** Closes connections whose time is up. */
    void sweep(TimePoint now);

private:
    struct Idle
    {
        HttpConnectionPointer connection;
        TimePoint since{};
        TimePoint until{};
    };

    std::mutex m_lock;
    std::map<Endpoint, std::deque<Idle>> m_idle; //!< the longest idle first
};

} // namespace snipehill
