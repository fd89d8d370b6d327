#pragma once

#include <process/cacheexchange.h>
#include <process/directsettings.h>
#include <process/routingholder.h>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <string>
#include <vector>

namespace snipehill
{

/** State for learning what engines have cached. Owned by the entry; used on its control thread, except for the flags. */
struct CacheContext
{
    const DirectSettings &settings;
    RoutingHolder &routing;
    TargetRegistry &targets;
    const std::atomic<bool> &targetsLoaded; //!< see WatchContext::targetsLoaded
    CacheExchange exchange;
    std::atomic<bool> stopped{false}; //!< also set when the engines have been asked
};

/** Registration records of the engines: targets of groups for which the configuration has properties of engines. */
std::vector<TargetEntry> listEngines(const CacheContext &context);

/**
 * Asks the engines that this entry owns for what they hold in their prefix caches, once after the start, while requests are served. An engine
 * that does not answer in time, or not with a usable list, stays unknown.
 */
boost::asio::awaitable<void> learnCaches(CacheContext &context);

} // namespace snipehill
