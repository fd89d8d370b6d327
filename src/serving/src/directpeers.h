#pragma once

#include "directcontext.h"

#include <platform/storeclient.h>
#include <process/leasekeeper.h>
#include <process/usagecounter.h>

#include <atomic>

namespace snipehill
{

/** What the talk between entries shares. Owned by the entry, runs on its control thread until stopped is set. */
struct PeerContext
{
    const DirectSettings &settings;
    platform::StoreClient &store;
    TargetRegistry &targets;
    GroupBudgets &budgets;
    CrashGuard &crashes;
    LeaseKeeper &leases;
    UsageCounter &usage;
    MergedUsage &counts;
    std::atomic<bool> stopped{false};
};

/** Registers this entry in the store, finds the others there, and exchanges news with them. */
boost::asio::awaitable<void> talkToPeers(PeerContext &context);

} // namespace snipehill
