#pragma once

#include <process/directsettings.h>
#include <process/leasekeeper.h>
#include <process/routingholder.h>
#include <process/targetregistry.h>

#include <atomic>

namespace snipehill
{

/** What the work on engine roles shares. Owned by the entry, runs on its control thread until stopped is set. */
struct RoleContext
{
    const DirectSettings &settings;
    LeaseKeeper &leases;
    RoutingHolder &routing;
    TargetRegistry &targets;
    std::atomic<bool> stopped{false};
};

/** Orders engines into the roles of the plan while this entry holds the lease for it. */
boost::asio::awaitable<void> planEngineRoles(RoleContext &context);

} // namespace snipehill
