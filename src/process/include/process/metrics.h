#pragma once

#include <core/time.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace snipehill
{

/** Monotonic counters; the comment behind each lists its labels in order. */
enum class Counter {
    Requests, //!< workspace, route, outcome
    Refusals, //!< outcome, step
    Attempts, //!< result
    Resolves, //!< state
    Retries, //!< step
    FramesDropped, //!< reason
    LogAppends, //!< stream, result
    ConfigRecordsRejected,
    LeaseChanges, //!< scope, change; changes by any process, as read from the log
    GrantChanges, //!< change
    Orders, //!< kind, result
    RoleChanges, //!< to, result
    RoleShares, //!< direction; changes of the share of prefill engines
    UsageReports, //!< result
    RequestsReceived,
    RequestsEnded, //!< end; the sum equals RequestsReceived less the requests in progress
    TargetCrashes, //!< runs of targets that ended with requests of this entry on them
    CrashVerdicts, //!< change
    BrokenExchanges, //!< result; exchanges that their target broke off, by what was found out about the target
    LogEraEvents, //!< event; rises of the log's era and what followed from them
    TargetStatements, //!< statement; what targets said about themselves in their responses
    BarredSends, //!< reason, purpose; requests that were not sent because the target had said that it leaves or wants none
    RequestsRejected, //!< status; rejected before they were received completely
    CrashRefusals, //!< workspace; requests that were not sent because requests like them crash targets
    CacheLists, //!< outcome; engines that were asked for what their prefix caches hold
    StreamPauses, //!< reason; times that a stream was not read on because its caller was slow
    MemoryRefusals, //!< route; requests that were not sent because the memory for responses was used up
    QuotaRefusals, //!< workspace; requests beyond the limit of their workspace
    Count,
};

/** Values that can rise and fall; the comments list labels and values. */
enum class Gauge {
    ConfigVersion,
    ConfigAgeSeconds,
    LeaseState, //!< scope; 0 free, 1 held by another, 2 held by this process
    LeaseEpoch, //!< scope; epoch of the lease held by this process
    GrantState, //!< 0 none, 1 in force
    GrantFencingToken,
    UsageWindows, //!< windows not yet included in a closed record
    QueuedRequests,
    RunningRequests,
    Draining, //!< 1 while the process drains
    MemoryUsedBytes, //!< purpose; what is counted of a memory budget
    Count,
};

/** Histograms of durations; the comments list the labels. */
enum class Timing {
    Request, //!< route
    FirstToken, //!< workspace
    BetweenTokens, //!< workspace
    QueueWait, //!< workspace
    LogAppend, //!< stream
    Count,
};

using LabelValues = std::initializer_list<std::string_view>;

/**
 * Metrics of one process.
 *
 * Values are kept in shards, each with its own lock. The number of series of a family is limited: series beyond the limit
 * are counted under the label value "other". Thread-safe.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** Adds to a counter. Label values are given in the order listed at the enumerator. */
    void count(Counter counter, LabelValues labels = {}, double amount = 1);
    void set(Gauge gauge, LabelValues labels, double value);
    void observe(Timing timing, LabelValues labels, Duration duration);

    /** Registers a function that runs before each scrape, for gauges that depend on the time. Must be called before the process serves. */
    void onScrape(std::function<void(Metrics &)> update);

    /** All series in the Prometheus text format. */
    std::string text();

    static constexpr std::size_t maxSeriesPerFamily = 2000;

private:
    struct Shard;
    Shard &shardOf(const std::string &series);
    std::string seriesKey(std::size_t family, LabelValues labels);

    std::vector<std::unique_ptr<Shard>> m_shards;
    std::vector<std::atomic<std::uint32_t>> m_seriesCounts; //!< by family
    std::mutex m_updatesLock;
    std::vector<std::function<void(Metrics &)>> m_updates;
};

/** The metrics that the process exposes on its admin port. */
Metrics &processMetrics();

} // namespace snipehill
