#pragma once

#include <process/directsettings.h>
#include <process/leasemanager.h>
#include <process/routingholder.h>
#include <process/targetbook.h>

#include <atomic>

namespace snipehill
{

/** What the work on engine roles shares. Owned by the entry, runs on its control thread until stopped is set. */
struct RoleContext
{
    const DirectSettings &settings;
    LeaseManager &leases;
    RoutingHolder &routing;
    TargetBook &targets;
    std::atomic<bool> stopped{false};
};

/** Orders engines into the roles of the plan while this entry holds the lease for it. */
boost::asio::awaitable<void> planEngineRoles(RoleContext &context);

} // namespace snipehill
