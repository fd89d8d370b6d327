#pragma once

#include "directcaches.h"
#include "directcontext.h"

#include <platform/storeclient.h>
#include <process/leasemanager.h>
#include <process/usagecounter.h>

#include <atomic>

namespace snipehill
{

/** State of the exchange of updates between entries. Owned by the entry; runs on its control thread until stopped is set. */
struct PeerContext
{
    const DirectSettings &settings;
    platform::StoreClient &store;
    TargetRegistry &targets;
    GroupRetryBudgets &budgets;
    CrashGuard &crashes;
    LeaseManager &leases;
    UsageCounter &usage;
    QuotaTable &quotas;
    MergedUsage &counts;
    CacheContext &caches;
    std::atomic<bool> stopped{false};
};

/** Registers this entry in the store, discovers the other entries there, and exchanges updates with them over UDP. */
boost::asio::awaitable<void> exchangePeerUpdates(PeerContext &context);

} // namespace snipehill
