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

/** What the watches share. Owned by the entry; the watches run on its control thread until stopped is set. */
struct WatchContext
{
    const DirectSettings &settings;
    platform::StoreClient &store;
    RoutingHolder &routing;
    TargetRegistry &targets;
    std::function<void(const RoutingVersion &)> onVersion; //!< after a new version is in force
    std::atomic<bool> stopped{false};
    std::atomic<bool> targetsKnown{false}; //!< the targets' entries were read once
};

/** Follows the operator's configuration. */
boost::asio::awaitable<void> watchConfiguration(WatchContext &context);

/** Follows the targets' entries. */
boost::asio::awaitable<void> watchTargets(WatchContext &context);

} // namespace snipehill
