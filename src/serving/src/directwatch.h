#pragma once

#include <platform/storeclient.h>
#include <process/directsettings.h>
#include <process/routingholder.h>
#include <process/targetregistry.h>

#include <atomic>
#include <functional>
#include <map>
#include <string>

namespace snipehill
{

/** State shared by the watch tasks. Owned by the entry; the tasks run on its control thread until stopped is set. */
struct WatchContext
{
    const DirectSettings &settings;
    platform::StoreClient &store;
    RoutingHolder &routing;
    TargetRegistry &targets;
    std::function<void(const RoutingVersion &)> onVersionApplied; //!< called after a new version has taken effect
    std::atomic<bool> stopped{false};
    std::atomic<bool> targetsLoaded{false}; //!< the target entries have been read at least once
};

/** Reads the operator's configuration from the store and applies new versions. */
boost::asio::awaitable<void> watchConfiguration(WatchContext &context);

/** Reads the target entries from the store and applies changes. */
boost::asio::awaitable<void> watchTargets(WatchContext &context);

} // namespace snipehill
