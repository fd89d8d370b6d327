#include "directwatch.h"

#include "storereader.h"

#include <platform/records.h>
#include <process/log.h>
#include <process/pause.h>

#include <algorithm>
#include <set>
#include <utility>

namespace snipehill
{

namespace asio = boost::asio;

namespace
{

constexpr double configurationWaitFraction = 0.55; // of configTimeout: a dead connection is detected in time to read the rest over a new one within the bound
constexpr milliseconds storeTimeout{500}; // in addition to the wait; the store usually responds within 10 ms
constexpr int targetReadsPerDrain = 3; // a leaving target is noticed well within its drain time even if one read fails
constexpr milliseconds retryPause{100}; // after the first failure; doubles with each further one
constexpr milliseconds maxRetryPause{600}; // limits the load on a busy store that refuses calls; recovery must be noticed well within configTimeout
constexpr milliseconds recoveryGrace{2000}; // what a store outage let expire or an older copy has lost is written again within this time

/** Reads the newest record of each key on the first call, later the records from next on. */
asio::awaitable<std::optional<platform::StorePage>> readNext(WatchContext &context, std::string topic, Offset next, milliseconds wait, Reason &reason)
{
    if (next == noOffset) {
        auto page = co_await context.store.readNewest(std::move(topic), storeTimeout, reason);
        co_return page;
    }
    auto page = co_await context.store.read(std::move(topic), next, wait, storeTimeout, reason);
    co_return page;
}

/** Logs the first failure and the recovery of the store as seen by one watch, and computes the retry backoff. */
class StoreAvailability
{
public:
    StoreAvailability(const char *watchContext, const Endpoint &store) : m_watch(watchContext), m_store(toString(store)) { }

    /** Returns the pause before the next call to the store. */
    milliseconds reportFailure(const Reason &reason)
    {
        if (!m_unavailable) {
            m_pause = retryPause;
            m_unavailable = true;
            logEvent(LogComponent::Config, LogLevel::Warning, "store lost", reason, {{"watch", m_watch}});
        }
        return std::exchange(m_pause, std::min(2 * m_pause, maxRetryPause));
    }

    /** Returns true if the store was unavailable before. */
    bool reportRecovery()
    {
        if (!m_unavailable) {
            return false;
        }
        m_unavailable = false;
        logEvent(LogComponent::Config, LogLevel::Info, "store regained", {{"watch", m_watch}, {"peer", m_store}});
        return true;
    }

private:
    const char *m_watch;
    std::string m_store;
    bool m_unavailable = false;
    milliseconds m_pause = retryPause;
};

/** What has been read of the configuration since the store last came back from an older copy. */
struct ConfigurationReads
{
    std::uint64_t newestVersion = 0; //!< highest version read
    TimePoint rewrittenBy{}; //!< by then the operator has written again what the copy has lost
};

/**
 * Whether a read shows that no newer version than the one in force exists. Not if the store has only older ones: it has then
 * lost the version in force, and may have lost a newer one.
 */
bool confirmsVersion(const ConfigurationReads &reads, const RoutingVersion &inForce, TimePoint requestedAt)
{
    return reads.newestVersion >= inForce.version && requestedAt >= reads.rewrittenBy;
}

void applyConfiguration(WatchContext &context, const platform::StoreRecord &record, ConfigurationReads &reads)
{
    if (record.key != platform::configurationKey) {
        return;
    }
    Reason reason;
    auto version = platform::parseRoutingVersion(record.value, reason);
    if (!version) {
        logEvent(LogComponent::Config, LogLevel::Error, "invalid configuration", reason, {{"offset", record.offset}});
        return;
    }
    reads.newestVersion = std::max(reads.newestVersion, version->version);
    const auto shared = std::make_shared<const RoutingVersion>(std::move(*version));
    if (!context.routing.apply(shared)) {
        return;
    }
    logEvent(LogComponent::Config,
             LogLevel::Info,
             "configuration in force",
             {{"version", shared->version}, {"offset", record.offset}, {"routes", shared->routes.size()}, {"keys", shared->keys.size()}});
    context.onVersionApplied(*shared);
}

/** Applies target entries from the store; entries missing after an outage of the store get a grace period to return. */
class TargetEntryFollower
{
public:
    explicit TargetEntryFollower(WatchContext &context) : m_context(context) { }

    void applyRecord(const platform::StoreRecord &record)
    {
        Reason reason;
        const auto entry = record.value.empty() ? std::nullopt : platform::parseTargetEntry(record.key, record.value, reason);
        if (!entry) {
            if (!record.value.empty()) {
                logEvent(LogComponent::Config, LogLevel::Warning, "invalid target entry", reason, {{"target", record.key}});
            }
            handleMissing(record.key);
            return;
        }
        m_missing.erase(record.key);
        m_present.insert(record.key);
        if (m_context.targets.apply(*entry)) {
            logEvent(LogComponent::Config,
                     LogLevel::Info,
                     "target entry changed",
                     {{"target", entry->id},
                      {"group", entry->group},
                      {"address", entry->address},
                      {"role", toString(entry->role)},
                      {"leaving", entry->draining ? 1 : 0},
                      {"offset", record.offset}});
        }
    }

    /** Applies a page with all existing entries; entries missing from it are gone. */
    void applySnapshot(const platform::StorePage &page)
    {
        const std::set<std::string> before = std::exchange(m_present, {});
        for (const platform::StoreRecord &record : page.records) {
            applyRecord(record);
        }
        for (const std::string &id : before) {
            if (!m_present.contains(id)) {
                handleMissing(id);
            }
        }
    }

    void onStoreRecovered(TimePoint now)
    {
        m_graceUntil = now + recoveryGrace;
    }

    /** Removes missing entries whose grace period has ended. */
    void removeExpired(TimePoint now)
    {
        if (now < m_graceUntil) {
            return;
        }
        for (const std::string &id : std::exchange(m_missing, {})) {
            remove(id);
        }
    }

private:
    void handleMissing(const std::string &id)
    {
        m_present.erase(id);
        if (Clock::now() < m_graceUntil) {
            m_missing.insert(id);
        } else {
            remove(id);
        }
    }

    void remove(const std::string &id)
    {
        if (m_context.targets.remove(id)) {
            logEvent(LogComponent::Config, LogLevel::Info, "target removed", {{"target", id}});
        }
    }

    WatchContext &m_context;
    std::set<std::string> m_present;
    std::set<std::string> m_missing;
    TimePoint m_graceUntil{};
};

} // namespace

asio::awaitable<void> watchConfiguration(WatchContext &context)
{
    StoreAvailability availability("configuration", context.store.address());
    const auto wait = std::chrono::duration_cast<milliseconds>(context.settings.configTimeout * configurationWaitFraction);
    StoreReader reader{.topic = platform::operatorTopic};
    ConfigurationReads reads;
    while (!context.stopped) {
        Reason reason;
        const auto page = co_await readNextPage(reader, context.store, wait, storeTimeout, reason);
        if (!page) {
            co_await pauseFor(availability.reportFailure(reason));
            continue;
        }
        availability.reportRecovery();
        if (page->afterOlderCopy) {
            reads = {.rewrittenBy = Clock::now() + recoveryGrace};
        }
        for (const platform::StoreRecord &record : page->page.records) {
            applyConfiguration(context, record, reads);
        }
        const RoutingVersionPointer inForce = context.routing.current();
        if (page->afterOlderCopy) {
            logReaderRestart("configuration", *page, {{"version", reads.newestVersion}, {"versionInForce", inForce ? inForce->version : 0}});
        }
        // All records written before the read was sent are now applied.
        if (!inForce || confirmsVersion(reads, *inForce, page->requestedAt)) {
            context.routing.confirm(page->requestedAt);
        }
    }
}

asio::awaitable<void> watchTargets(WatchContext &context)
{
    StoreAvailability availability("targets", context.store.address());
    TargetEntryFollower follower(context);
    Offset next = noOffset;
    while (!context.stopped) {
        Reason reason;
        const bool isSnapshot = next == noOffset;
        const auto page = co_await readNext(context, platform::targetTopic, next, milliseconds(0), reason);
        if (!page) {
            co_await pauseFor(availability.reportFailure(reason));
            continue;
        }
        if (availability.reportRecovery()) {
            follower.onStoreRecovered(Clock::now());
        }
        if (page->offsetDeleted) {
            next = noOffset;
            continue;
        }
        if (isSnapshot) {
            follower.applySnapshot(*page);
        } else {
            for (const platform::StoreRecord &record : page->records) {
                follower.applyRecord(record);
            }
        }
        next = page->next;
        context.targetsLoaded = true;
        follower.removeExpired(Clock::now());
        co_await pauseFor(context.settings.drainTimeout / targetReadsPerDrain);
    }
}

} // namespace snipehill
