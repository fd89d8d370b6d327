#include "directwatch.h"

#include "storereader.h"

#include <platform/records.h>
#include <process/log.h>
#include <process/metrics.h>
#include <process/pause.h>
#include <process/targetentrytable.h>

#include <algorithm>
#include <iterator>
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

TargetRecord parseTargetRecord(const platform::StoreRecord &record)
{
    Reason reason;
    TargetRecord parsed{.offset = record.offset, .id = record.key};
    if (!record.value.empty()) {
        parsed.entry = platform::parseTargetEntry(record.key, record.value, reason);
        if (!parsed.entry) {
            parsed.unreadable = true;
            logEvent(LogComponent::Config, LogLevel::Warning, "invalid target entry", reason, {{"target", record.key}});
        }
    }
    return parsed;
}

void applyTargetChange(WatchContext &context, const TargetChange &change)
{
    if (!change.entry) {
        if (context.targets.remove(change.id)) {
            logEvent(LogComponent::Config, LogLevel::Info, "target removed", {{"target", change.id}});
        }
        return;
    }
    const TargetEntry &entry = *change.entry;
    if (context.targets.apply(entry)) {
        logEvent(LogComponent::Config,
                 LogLevel::Info,
                 "target entry changed",
                 {{"target", entry.id},
                  {"group", entry.group},
                  {"address", entry.address},
                  {"role", toString(entry.role)},
                  {"leaving", entry.draining ? 1 : 0},
                  {"offset", change.offset}});
    }
}

void applyTargetSnapshot(WatchContext &context, TargetEntryTable &table, const ReaderPage &page, TimePoint now)
{
    std::vector<TargetRecord> records;
    std::transform(page.page.records.begin(), page.page.records.end(), std::back_inserter(records), parseTargetRecord);
    const auto source = page.afterOlderCopy ? SnapshotSource::OlderCopy : SnapshotSource::SameLog;
    const TargetSnapshotResult result = applyTargetSnapshot(table, records, source, now);
    for (const TargetChange &change : result.changes) {
        applyTargetChange(context, change);
    }
    if (page.afterOlderCopy) {
        logReaderRestart("targets", page, {{"entries", records.size()}, {"outdated", result.outdated.size()}, {"missing", result.missing}});
    }
    for (const std::string &id : result.outdated) {
        processMetrics().count(Counter::LogEraEvents, {"target_entry_outdated"});
        logEvent(LogComponent::Config, LogLevel::Info, "outdated target entry not applied", {{"target", id}, {"era", page.page.era}});
    }
}

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
    StoreReader reader{.topic = platform::targetTopic};
    TargetEntryTable table;
    while (!context.stopped) {
        Reason reason;
        const auto page = co_await readNextPage(reader, context.store, milliseconds(0), storeTimeout, reason);
        if (!page) {
            co_await pauseFor(availability.reportFailure(reason));
            continue;
        }
        const TimePoint now = Clock::now();
        if (availability.reportRecovery() || page->afterOlderCopy) {
            startTargetGrace(table, now + recoveryGrace);
        }
        if (page->isSnapshot) {
            applyTargetSnapshot(context, table, *page, now);
        } else {
            for (const platform::StoreRecord &record : page->page.records) {
                if (const auto change = applyTargetRecord(table, parseTargetRecord(record), now)) {
                    applyTargetChange(context, *change);
                }
            }
        }
        context.targetsLoaded = true;
        for (const TargetChange &change : expireTargets(table, now)) {
            applyTargetChange(context, change);
        }
        co_await pauseFor(context.settings.drainTimeout / targetReadsPerDrain);
    }
}

} // namespace snipehill
