#pragma once

#include <connection/endpoint.h>
#include <process/leasemanager.h>

#include <boost/asio/awaitable.hpp>
#include <json/value.h>

#include <functional>
#include <optional>
#include <string>

namespace snipehill
{

/** A call to a platform interface that only the holder of a lease may make. */
struct PlatformCall
{
    Endpoint service;
    std::string path;
    Json::Value body; //!< callPlatform() adds holder and epoch
    std::string scope;
    milliseconds timeout{2000}; //!< the call is aborted after this time
    Step step = Step::Order;
};

/**
 * Makes the call if the lease is valid for at least the timeout of the call; checked again right before the request is sent.
 * Returns nothing and sets a reason if no valid response came: the call may still have taken effect.
 */
boost::asio::awaitable<std::optional<Json::Value>> callPlatform(LeaseManager &leases, PlatformCall call, Reason &reason);

/** Reads a stream in order; after a gap readLogToEnd() continues from the first retained record. */
struct LogReader
{
    Endpoint log;
    std::string stream;
    std::function<void()> onGap; //!< records were removed before they were read; state derived from the stream is no longer valid
    std::function<void(Offset, const Json::Value &)> onRecord;
    Offset next = 0;
    bool started = false;
};

/** Reads to the end of the stream; false with a reason if the log does not respond. */
boost::asio::awaitable<bool> readLogToEnd(LogReader &reader, Reason &reason);

} // namespace snipehill
