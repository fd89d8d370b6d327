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
 * Pool of idle connections to targets. Owned by the process. Thread-safe, but a connection must only be used on the
 * thread of the executor it was created with.
 */
class TargetConnectionPool
{
public:
    /**
     * Takes an open connection that has been idle for less than `maxIdle`, and on which no request with the same id was refused;
     * null if there is none.
     *
     * @param requestFingerprint of the id of the request to be sent
     */
    HttpConnectionPointer take(const Endpoint &target, milliseconds maxIdle, std::uint64_t requestFingerprint);
    /** Returns a connection to the pool after a successful exchange; it is not reused after the time `usable`. */
    void put(HttpConnectionPointer connection, milliseconds usable);
    /** Closes connections whose idle time has passed. */
    void sweep(TimePoint now);

private:
    struct Idle
    {
        HttpConnectionPointer connection;
        TimePoint since{};
        TimePoint until{};
    };

    std::mutex m_lock;
    std::map<Endpoint, std::deque<Idle>> m_idle; //!< longest idle first
};

} // namespace snipehill
