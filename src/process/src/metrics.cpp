#include <process/metrics.h>

#include <boost/histogram.hpp>

#include <cstdio>
#include <map>
#include <span>
#include <unordered_map>

namespace snipehill
{

namespace
{

constexpr std::size_t shardCount = 16;
constexpr char separator = '\x1f';
constexpr std::size_t labelValueBytes = 120;

enum class FamilyType {
    CounterType,
    GaugeType,
    HistogramType,
};

/** A metric family: type, name, help text and labels as written to the output. */
struct Family
{
    FamilyType type;
    const char *name;
    const char *help;
    std::vector<const char *> labels;
};

constexpr std::size_t counterCount = static_cast<std::size_t>(Counter::Count);
constexpr std::size_t gaugeCount = static_cast<std::size_t>(Gauge::Count);
constexpr std::size_t timingCount = static_cast<std::size_t>(Timing::Count);

constexpr std::size_t familyCount = counterCount + gaugeCount + timingCount;
using Families = std::array<Family, familyCount>;

/** In the order of the enumerators: counters, gauges, timings. */
const Families &families()
{
    using enum FamilyType;
    static const Families table{{
        {CounterType, "snipehill_requests_total", "Requests answered.", {"workspace", "route", "outcome"}},
        {CounterType, "snipehill_refusals_total", "Requests refused by the system.", {"outcome", "step"}},
        {CounterType, "snipehill_attempts_total", "Attempts sent to sidecars, by how they ended.", {"result"}},
        {CounterType, "snipehill_resolves_total", "Attempts resolved over a new connection, by what was found.", {"state"}},
        {CounterType, "snipehill_retries_total", "Requests sent to another target, by the step that failed.", {"step"}},
        {CounterType, "snipehill_frames_dropped_total", "Frames that did not belong to the attempt in progress.", {"reason"}},
        {CounterType, "snipehill_log_appends_total", "Append calls to the log, by whether an answer came.", {"stream", "result"}},
        {CounterType, "snipehill_config_records_rejected_total", "Configuration records that had no effect.", {}},
        {CounterType, "snipehill_lease_changes_total", "Leases claimed, renewed and released, as the log tells.", {"scope", "change"}},
        {CounterType, "snipehill_grant_changes_total", "Grants given, renewed and refused by this sidecar.", {"change"}},
        {CounterType, "snipehill_orders_total", "Orders to engines and to the target interface.", {"kind", "result"}},
        {CounterType, "snipehill_role_changes_total", "Role changes of engines.", {"to", "result"}},
        {CounterType, "snipehill_role_share_changes_total", "Changes of the share of prefill engines in a group.", {"direction"}},
        {CounterType, "snipehill_usage_reports_total", "Usage reports sent.", {"result"}},
        {CounterType, "snipehill_requests_received_total", "Requests of callers that were received completely.", {}},
        {CounterType, "snipehill_requests_ended_total", "Received requests, by how they ended for the caller.", {"end"}},
        {CounterType, "snipehill_target_crashes_total", "Runs of targets that ended with requests on them.", {}},
        {CounterType, "snipehill_crash_verdicts_total", "Causes of crashes that were blocked or released, and requests that tried them.", {"change"}},
        {CounterType, "snipehill_broken_exchanges_total", "Exchanges that their target broke off, by what was found out about the target.", {"result"}},
        {CounterType, "snipehill_log_era_events_total", "Returns of the log from an older copy, and what followed from them.", {"event"}},
        {CounterType, "snipehill_target_statements_total", "Statements of targets that they leave, or want no requests for a time.", {"statement"}},
        {CounterType,
         "snipehill_barred_sends_total",
         "Requests that were not sent to the chosen target because it had said since that it leaves or wants none.",
         {"reason", "purpose"}},
        {CounterType, "snipehill_requests_rejected_total", "Requests rejected before they were received completely.", {"status"}},
        {CounterType, "snipehill_crash_refusals_total", "Requests not sent because requests like them crash targets.", {"workspace"}},
        {CounterType, "snipehill_cache_lists_total", "Engines asked for what their prefix caches hold.", {"outcome"}},
        {CounterType, "snipehill_stream_pauses_total", "Times that a stream was not read on because its caller was slow.", {"reason"}},
        {CounterType, "snipehill_memory_refusals_total", "Requests not sent because the memory for responses was used up.", {"route"}},
        {CounterType, "snipehill_quota_refusals_total", "Requests refused because they were beyond the limit of their workspace.", {"workspace"}},
        {GaugeType, "snipehill_config_version", "Offset of the configuration in force.", {}},
        {GaugeType, "snipehill_config_age_seconds", "Time since the configuration was last known to be current.", {}},
        {GaugeType, "snipehill_lease_state", "0 free, 1 held by another process, 2 held by this one.", {"scope"}},
        {GaugeType, "snipehill_lease_epoch", "Epoch of this process's lease, -1 while it has none.", {"scope"}},
        {GaugeType, "snipehill_grant_state", "0 no grant, 1 a grant is in force at this sidecar.", {}},
        {GaugeType, "snipehill_grant_fence", "Highest fencing number seen by this sidecar.", {}},
        {GaugeType, "snipehill_usage_windows", "Usage windows that no closed record includes yet.", {}},
        {GaugeType, "snipehill_queued_requests", "Requests that wait in this sidecar.", {}},
        {GaugeType, "snipehill_running_requests", "Requests in progress.", {}},
        {GaugeType, "snipehill_draining", "1 while the process drains.", {}},
        {GaugeType, "snipehill_memory_used_bytes", "Memory counted for requests and for responses.", {"purpose"}},
        {HistogramType, "snipehill_request_seconds", "Whole time of a request.", {"route"}},
        {HistogramType, "snipehill_first_token_seconds", "From a request's arrival to its first output token.", {"workspace"}},
        {HistogramType, "snipehill_between_tokens_seconds", "Between two output tokens.", {"workspace"}},
        {HistogramType, "snipehill_queue_wait_seconds", "Wait in the sidecar's queue.", {"workspace"}},
        {HistogramType, "snipehill_log_append_seconds", "Time of an append call.", {"stream"}},
    }};
    return table;
}

std::size_t familyOf(Counter counter)
{
    return static_cast<std::size_t>(counter);
}

std::size_t familyOf(Gauge gauge)
{
    return counterCount + static_cast<std::size_t>(gauge);
}

std::size_t familyOf(Timing timing)
{
    return counterCount + gaugeCount + static_cast<std::size_t>(timing);
}

using Histogram = boost::histogram::histogram<std::tuple<boost::histogram::axis::variable<double>>, boost::histogram::default_storage>;

Histogram makeHistogram()
{
    static const std::vector<double> edges{0,   0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.1, 0.15,
                                           0.2, 0.3,   0.5,   0.75,  1,    1.5,  2,    3,    5,    10,   30,   60};
    return Histogram(std::make_tuple(boost::histogram::axis::variable<double>(edges)));
}

/** Histogram and sum of the durations of one series. */
struct Distribution
{
    Histogram histogram = makeHistogram();
    double sum = 0;
};

std::string numberText(double value)
{
    std::array<char, 40> text{};
    const int size = std::snprintf(text.data(), text.size(), "%.15g", value);
    return {text.data(), static_cast<std::size_t>(size)};
}

std::string escaped(std::string_view value)
{
    std::string text;
    for (const char c : value.substr(0, labelValueBytes)) {
        if (c == '\\' || c == '"') {
            text += '\\';
        }
        text += static_cast<unsigned char>(c) < ' ' ? '_' : c;
    }
    return text;
}

/** Labels of a series as written between the braces, without the braces. */
std::string labelText(const Family &family, std::string_view key)
{
    std::string text;
    for (const char *label : family.labels) {
        const auto end = key.find(separator);
        text += (text.empty() ? "" : ",") + std::string(label) + "=\"" + escaped(key.substr(0, end)) + "\"";
        key = end == std::string_view::npos ? std::string_view() : key.substr(end + 1);
    }
    return text;
}

std::string braced(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

void writeDistribution(std::string &text, const char *name, const std::string &labels, const Distribution &distribution)
{
    const auto &axis = distribution.histogram.axis();
    const std::string labelPrefix = labels.empty() ? "" : labels + ",";
    // Durations are not negative, so the underflow bin stays empty.
    double total = 0;
    for (int bin = 0; bin < axis.size(); ++bin) {
        total += distribution.histogram.at(bin);
        text += std::string(name) + "_bucket{" + labelPrefix + "le=\"" + numberText(axis.bin(bin).upper()) + "\"} " + numberText(total) + "\n";
    }
    total += distribution.histogram.at(axis.size());
    text += std::string(name) + "_bucket{" + labelPrefix + "le=\"+Inf\"} " + numberText(total) + "\n";
    text += std::string(name) + "_sum" + braced(labels) + " " + numberText(distribution.sum) + "\n";
    text += std::string(name) + "_count" + braced(labels) + " " + numberText(total) + "\n";
}

/** Family of a series key, which is the index of the family followed by the label values. */
std::size_t familyIn(const std::string &key)
{
    return static_cast<unsigned char>(key[0]);
}

} // namespace

struct Metrics::Shard
{
    std::mutex lock;
    std::unordered_map<std::string, double> numbers;
    std::unordered_map<std::string, Distribution> distributions;
};

Metrics::Metrics() : m_seriesCounts(families().size())
{
    for (std::size_t shard = 0; shard < shardCount; ++shard) {
        m_shards.push_back(std::make_unique<Shard>());
    }
}

Metrics::~Metrics() = default;

Metrics::Shard &Metrics::shardOf(const std::string &series)
{
    return *m_shards[std::hash<std::string>()(series) % shardCount];
}

std::string Metrics::seriesKey(std::size_t family, LabelValues labels)
{
    std::string key(1, static_cast<char>(family));
    for (std::size_t label = 0; label < families()[family].labels.size(); ++label) {
        key += label == 0 ? "" : std::string(1, separator);
        key += label < labels.size() ? std::string(labels.begin()[label].substr(0, labelValueBytes)) : "";
    }
    Shard &shard = shardOf(key);
    {
        const std::lock_guard guard(shard.lock);
        if (shard.numbers.contains(key) || shard.distributions.contains(key)) {
            return key;
        }
    }
    if (m_seriesCounts[family].fetch_add(1) < maxSeriesPerFamily) {
        return key;
    }
    m_seriesCounts[family].fetch_sub(1);
    std::string other(1, static_cast<char>(family));
    for (std::size_t label = 0; label < families()[family].labels.size(); ++label) {
        other += (label == 0 ? "" : std::string(1, separator)) + "other";
    }
    return other;
}

void Metrics::count(Counter counter, LabelValues labels, double amount)
{
    const std::string key = seriesKey(familyOf(counter), labels);
    Shard &shard = shardOf(key);
    const std::lock_guard guard(shard.lock);
    shard.numbers[key] += amount;
}

void Metrics::set(Gauge gauge, LabelValues labels, double value)
{
    const std::string key = seriesKey(familyOf(gauge), labels);
    Shard &shard = shardOf(key);
    const std::lock_guard guard(shard.lock);
    shard.numbers[key] = value;
}

void Metrics::observe(Timing timing, LabelValues labels, Duration duration)
{
    const double value = std::max(0.0, std::chrono::duration<double>(duration).count());
    const std::string key = seriesKey(familyOf(timing), labels);
    Shard &shard = shardOf(key);
    const std::lock_guard guard(shard.lock);
    Distribution &distribution = shard.distributions[key];
    distribution.histogram(value);
    distribution.sum += value;
}

void Metrics::onScrape(std::function<void(Metrics &)> update)
{
    const std::lock_guard guard(m_updatesLock);
    m_updates.push_back(std::move(update));
}

std::string Metrics::text()
{
    {
        const std::lock_guard guard(m_updatesLock);
        for (const auto &update : m_updates) {
            update(*this);
        }
    }
    std::map<std::string, double> numbers;
    std::map<std::string, Distribution> distributions;
    for (const auto &shard : m_shards) {
        const std::lock_guard guard(shard->lock);
        numbers.insert(shard->numbers.begin(), shard->numbers.end());
        distributions.insert(shard->distributions.begin(), shard->distributions.end());
    }
    static constexpr std::array typeNames{"counter", "gauge", "histogram"};
    std::string text;
    for (std::size_t index = 0; index < families().size(); ++index) {
        const Family &family = families()[index];
        const std::string name = family.name;
        text.append("# HELP ").append(name).append(" ").append(family.help).append("\n# TYPE ").append(name).append(" ");
        text.append(typeNames[static_cast<std::size_t>(family.type)]).append("\n");
        const std::string keyPrefix(1, static_cast<char>(index));
        for (auto at = numbers.lower_bound(keyPrefix); at != numbers.end() && familyIn(at->first) == index; ++at) {
            text += name + braced(labelText(family, at->first.substr(1))) + " " + numberText(at->second) + "\n";
        }
        for (auto at = distributions.lower_bound(keyPrefix); at != distributions.end() && familyIn(at->first) == index; ++at) {
            writeDistribution(text, family.name, labelText(family, at->first.substr(1)), at->second);
        }
    }
    return text;
}

Metrics &processMetrics()
{
    static Metrics metrics;
    return metrics;
}

} // namespace snipehill
