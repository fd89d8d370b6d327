#pragma once

#include <platform/storeclient.h>
#include <process/directsettings.h>
#include <process/leasemanager.h>
#include <process/routingholder.h>
#include <process/targetregistry.h>

#include <atomic>

namespace snipehill
{

/** State of the role planning task. Owned by the entry; the task runs on its control thread until stopped is set. */
struct RoleContext
{
    const DirectSettings &settings;
    platform::StoreClient &store; //!< keeps the share of roles found, for the next holder of the lease
    LeaseManager &leases;
    RoutingHolder &routing;
    TargetRegistry &targets;
    std::atomic<bool> stopped{false};
};

/** Sends engines the orders to change to their planned roles while this entry holds the duties lease. */
boost::asio::awaitable<void> planEngineRoles(RoleContext &context);

} // namespace snipehill
