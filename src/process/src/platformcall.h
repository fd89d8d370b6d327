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
    Json::Value body; //!< holder and epoch are added
    std::string scope;
    milliseconds timeout{2000}; //!< the call is cut at its end
    Step step = Step::Order;
};

/**
 * Makes the call if the lease is believed in for as long as it may take; asked again right before the bytes
 * go out. Empty with a reason when no answer came: the call may have taken effect.
 */
boost::asio::awaitable<std::optional<Json::Value>> callPlatform(LeaseManager &leases, PlatformCall call, Reason &reason);

/** Called for each record in order; readLogToEnd() starts again from the first retained one after a gap. */
struct LogReader
{
    Endpoint log;
    std::string stream;
    std::function<void()> onGap; //!< records aged out unread, what was known is void
    std::function<void(Offset, const Json::Value &)> onRecord;
    Offset next = 0;
    bool started = false;
};

/** Reads on to the end of the stream; false with a reason when the log does not answer. */
boost::asio::awaitable<bool> readLogToEnd(LogReader &reader, Reason &reason);

} // namespace snipehill
