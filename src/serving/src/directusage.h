#pragma once

#include <platform/storeclient.h>
#include <process/directsettings.h>
#include <process/leasekeeper.h>
#include <process/usagecounter.h>

#include <atomic>

namespace snipehill
{

/** What the usage work shares. Owned by the entry, runs on its control thread until stopped is set. */
struct UsageContext
{
    const DirectSettings &settings;
    platform::StoreClient &store;
    LeaseKeeper &leases;
    UsageCounter &usage;
    MergedUsage &counts; //!< filled by the talk between entries too
    std::atomic<bool> stopped{false};
};

/** Access to the project's streams as topics of the platform's store, one JSON text a record. */
LogAccess accessStore(platform::StoreClient &store);

/** Lease times that fit the deployment's bound on duties that change hands. */
LeaseSettings leaseSettingsFor(const DirectSettings &settings) noexcept;

/** Publishes this entry's counts about once a second while they change. */
boost::asio::awaitable<void> publishUsage(UsageContext &context);

/** Publishes what is not published yet. */
boost::asio::awaitable<void> flushUsage(UsageContext &context);

/** Closes and reports usage windows while this entry holds the lease for it. */
boost::asio::awaitable<void> reportUsage(UsageContext &context);

} // namespace snipehill
