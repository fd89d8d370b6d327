#pragma once

#include <platform/storeclient.h>
#include <process/directsettings.h>
#include <process/leasemanager.h>
#include <process/usagecounter.h>

#include <atomic>

namespace snipehill
{

/** State shared by the usage tasks. Owned by the entry; the tasks run on its control thread until stopped is set. */
struct UsageContext
{
    const DirectSettings &settings;
    platform::StoreClient &store;
    LeaseManager &leases;
    UsageCounter &usage;
    MergedUsage &counts; //!< also updated from peer updates
    std::atomic<bool> stopped{false};
    std::atomic<LogEra> publishedEra{0}; //!< era of the store in which counts were last published
};

/** Maps the project's streams to topics of the platform's store, one JSON document per record. */
LogAccess makeLogAccess(platform::StoreClient &store);

/** Lease settings that respect the deployment's minimum time between two changes of the duty holder. */
LeaseSettings leaseSettingsFor(const DirectSettings &settings) noexcept;

/** Periodically publishes this entry's usage counts while they change; the interval grows with the number of entries. */
boost::asio::awaitable<void> publishUsage(UsageContext &context);

/** Publishes the usage counts that have not been published yet. */
boost::asio::awaitable<void> flushUsage(UsageContext &context);

/** Closes and reports usage windows while this entry holds the duties lease. */
boost::asio::awaitable<void> reportUsage(UsageContext &context);

} // namespace snipehill
