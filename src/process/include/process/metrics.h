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

/** Numbers that only rise; the labels of each stand beside it. */
enum class Counter {
    Requests, //!< workspace, route, outcome
    Refusals, //!< outcome, step
    Attempts, //!< result
    Resolves, //!< state
    Retries, //!< step
    FramesDropped, //!< reason
    LogAppends, //!< stream, result
    ConfigRecordsRejected,
    LeaseChanges, //!< scope, change; as read from the log, whoever made it
    GrantChanges, //!< change
    Orders, //!< kind, result
    RoleChanges, //!< to, result
    UsageReports, //!< result
    Count,
};

/** Numbers that rise and fall. */
enum class Gauge {
    ConfigVersion,
    ConfigAgeSeconds,
    LeaseState, //!< scope; 0 free, 1 held by another, 2 held by this process
    LeaseEpoch, //!< scope; of the own lease
    GrantState, //!< 0 none, 1 in force
    GrantFencingToken,
    UsageWindows, //!< that no closed record includes yet
    QueuedRequests,
    RunningRequests,
    Draining, //!< 1 while the process drains
    Count,
};

/** Distributions of durations. */
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
 * Values stand in shards, each under its own lock. The number of series of a family is bounded: label
 * values beyond it are counted under "other". Thread-safe.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** Adds to a counter; label values in the order that its enumerator lists. */
    void count(Counter counter, LabelValues labels = {}, double amount = 1);
    void set(Gauge gauge, LabelValues labels, double value);
    void observe(Timing timing, LabelValues labels, Duration duration);

    /** Called before each scrape, for gauges that follow the clock. Before the process serves. */
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

/** The metrics that the process shows on its admin port. */
Metrics &processMetrics();

} // namespace snipehill
