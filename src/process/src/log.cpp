#include <process/log.h>

#include <process/repeatfilter.h>

#include <json/writer.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <memory>
#include <mutex>

namespace snipehill
{

namespace
{

constexpr std::size_t shardCount = 8;
constexpr const char *textPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %v";
constexpr const char *jsonPattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";

struct FilterShard
{
    std::mutex lock;
    RepeatFilter filter;
};

/** Leaky bucket that limits the rate of lines about requests. */
struct LineRateLimiter
{
    std::mutex lock;
    double level = 0; //!< lines written, less those that have drained since
    TimePoint updated{};
    std::uint64_t dropped = 0;
};

constexpr double linesPerSecond = 300; // covers all lines of an entry at its usual rate; more would cost requests too much time
constexpr double bucketLines = 1200;
constexpr double ordinaryFraction = 0.75; // fraction of the bucket for ordinary lines; the rest is reserved for warnings and errors
constexpr double samplingThreshold = 0.05; // fraction of the bucket above which ordinary lines are sampled: their rate exceeds linesPerSecond
constexpr std::size_t sampleInterval = 8;
constexpr std::size_t asyncQueueLines = 4096;

/** Whether one more line about a request may be written. At a high rate, ordinary lines are written for one request in sampleInterval only. */
bool admitLine(LineRateLimiter &bucket, LogLevel level, std::string_view requestId)
{
    const std::lock_guard lock(bucket.lock);
    const TimePoint now = Clock::now();
    bucket.level = std::max(0.0, bucket.level - linesPerSecond * std::chrono::duration<double>(now - bucket.updated).count());
    bucket.updated = now;
    const double limit = level < LogLevel::Warning ? ordinaryFraction * bucketLines : bucketLines;
    const bool sampled = level >= LogLevel::Warning || bucket.level < samplingThreshold * bucketLines
        || std::hash<std::string_view>()(requestId) % sampleInterval == 0;
    if (bucket.level >= limit || !sampled) {
        ++bucket.dropped;
        return false;
    }
    bucket.level += 1;
    return true;
}

struct LogState
{
    std::shared_ptr<spdlog::logger> logger = std::make_shared<spdlog::logger>("snipehill", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    LoggingSettings settings;
    std::string instance;
    std::array<FilterShard, shardCount> shards;
    LineRateLimiter requestLines;
    std::uint64_t reportedDropped = 0; //!< the part of droppedLines() that has been logged
};

void applySettings(LogState &state)
{
    state.logger->set_pattern(state.settings.format == LogFormat::Json ? jsonPattern : textPattern, spdlog::pattern_time_type::utc);
    state.logger->flush_on(state.settings.toStandardOutput ? spdlog::level::err : spdlog::level::info);
}

LogState &logState()
{
    static LogState state;
    static std::once_flag once;
    std::call_once(once, [] {
        applySettings(state);
    });
    return state;
}

spdlog::level::level_enum toSpdlog(LogLevel level)
{
    static constexpr std::array levels{spdlog::level::debug, spdlog::level::info, spdlog::level::warn, spdlog::level::err};
    return levels[static_cast<std::size_t>(level)];
}

std::string quoted(std::string_view text)
{
    return Json::valueToQuotedString(std::string(text).c_str());
}

/** Quotes a text unless it consists of plain characters only, so that it fits into one line. */
std::string quoteIfNeeded(const std::string &text)
{
    const bool plain = !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > ' ' && c < 127 && c != '"' && c != '\\' && c != '=';
    });
    return plain ? text : quoted(text);
}

void write(LogLevel level, LogComponent component, std::string_view message, LogFields fields, std::uint64_t suppressed)
{
    LogState &state = logState();
    if (suppressed > 0) {
        fields.emplace_back("repeats", suppressed);
    }
    if (state.settings.format == LogFormat::Json && !state.instance.empty()) {
        fields.emplace_back("instance", state.instance);
    }
    state.logger->log(toSpdlog(level), "{}", formatEvent(state.settings.format, component, message, fields));
}

constexpr char keySeparator = '\x1f';

std::string eventKey(LogComponent component, LogLevel level, std::string_view message, const std::string &detail)
{
    return std::string(1, char('0' + int(level))) + std::string(1, char('A' + int(component))) + std::string(message) + keySeparator + detail;
}

/** Writes how many repeats of an event were suppressed since it was last written. */
void writeRepeats(const SuppressedEvents &repeats)
{
    const auto level = static_cast<LogLevel>(repeats.event[0] - '0');
    const auto component = static_cast<LogComponent>(repeats.event[1] - 'A');
    const auto end = repeats.event.find(keySeparator);
    LogFields fields;
    if (end + 1 < repeats.event.size()) {
        fields.emplace_back("of", repeats.event.substr(end + 1));
    }
    write(level, component, repeats.event.substr(2, end - 2), std::move(fields), repeats.count);
}

void filterAndWrite(LogComponent component, LogLevel level, std::string_view message, LogFields fields, const std::string &repeatKey)
{
    LogState &state = logState();
    if (level < state.settings.level) {
        return;
    }
    const std::string key = eventKey(component, level, message, repeatKey);
    FilterShard &shard = state.shards[std::hash<std::string>()(key) % shardCount];
    std::optional<std::uint64_t> suppressed;
    {
        const std::lock_guard guard(shard.lock);
        suppressed = admitEvent(shard.filter, key, Clock::now(), state.settings.repeatWindow);
    }
    if (suppressed) {
        write(level, component, message, std::move(fields), *suppressed);
    }
}

std::string formatFields(const LogFields &fields)
{
    std::string text;
    for (const LogField &field : fields) {
        text += (text.empty() ? "" : " ") + field.name + "=" + quoteIfNeeded(field.value);
    }
    return text;
}

} // namespace

const char *toString(LogComponent component) noexcept
{
    static constexpr std::array names{
        "process", "settings", "entry", "sidecar", "link", "config", "lease", "grant", "usage", "roles", "orders", "intents", "members", "admin"};
    return names[static_cast<std::size_t>(component)];
}

void startLogging(const LoggingSettings &settings, const std::string &instance)
{
    LogState &state = logState();
    state.settings = settings;
    state.instance = instance;
    if (settings.toStandardOutput) {
        spdlog::init_thread_pool(asyncQueueLines, 1);
        state.logger = std::make_shared<spdlog::async_logger>(
            "snipehill", std::make_shared<spdlog::sinks::stdout_sink_mt>(), spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    }
    state.logger->set_level(toSpdlog(settings.level));
    applySettings(state);
}

void logEvent(LogComponent component, LogLevel level, std::string_view message, LogFields fields)
{
    const std::string repeatKey = level < LogLevel::Warning ? formatFields(fields) : std::string();
    filterAndWrite(component, level, message, std::move(fields), repeatKey);
}

void logDistinctEvent(LogComponent component, LogLevel level, std::string_view message, LogFields fields)
{
    const std::string repeatKey = formatFields(fields);
    filterAndWrite(component, level, message, std::move(fields), repeatKey);
}

void logEvent(LogComponent component, LogLevel level, std::string_view message, const Reason &reason, LogFields fields)
{
    fields.emplace_back("step", toString(reason.step));
    if (!reason.peer.empty()) {
        fields.emplace_back("peer", reason.peer);
    }
    fields.emplace_back("detail", reason.detail);
    const std::string repeatKey = std::string("step=") + toString(reason.step) + (reason.peer.empty() ? "" : " peer=" + reason.peer);
    filterAndWrite(component, level, message, std::move(fields), repeatKey);
}

void logRequestEvent(LogComponent component, LogLevel level, std::string_view message, std::string_view requestId, LogFields fields)
{
    LogState &state = logState();
    if (level < state.settings.level || !admitLine(state.requestLines, level, requestId)) {
        return;
    }
    fields.emplace(fields.begin(), "request", requestId);
    write(level, component, message, std::move(fields), 0);
}

std::uint64_t droppedLines()
{
    LogState &state = logState();
    const std::lock_guard lock(state.requestLines.lock);
    const auto pool = spdlog::thread_pool();
    return state.requestLines.dropped + (pool ? pool->overrun_counter() : 0);
}

void flushLog(TimePoint now)
{
    LogState &state = logState();
    const std::uint64_t dropped = droppedLines();
    if (dropped > state.reportedDropped) {
        write(LogLevel::Warning, LogComponent::Process, "log lines dropped", {{"lines", dropped - state.reportedDropped}}, 0);
        state.reportedDropped = dropped;
    }
    for (FilterShard &shard : state.shards) {
        std::vector<SuppressedEvents> counts;
        {
            const std::lock_guard guard(shard.lock);
            counts = expireEvents(shard.filter, now, state.settings.repeatWindow);
        }
        for (const SuppressedEvents &repeats : counts) {
            writeRepeats(repeats);
        }
    }
    state.logger->flush();
}

void stopLogging()
{
    logState().logger->flush();
    spdlog::shutdown();
}

std::string formatEvent(LogFormat format, LogComponent component, std::string_view message, const LogFields &fields)
{
    if (format == LogFormat::Text) {
        const std::string values = formatFields(fields);
        return std::string(toString(component)) + ": " + std::string(message) + (values.empty() ? "" : " " + values);
    }
    std::string line = "\"part\":" + quoted(toString(component)) + ",\"message\":" + quoted(message);
    for (const LogField &field : fields) {
        line += "," + quoted(field.name) + ":" + (field.isNumber ? field.value : quoted(field.value));
    }
    return line;
}

} // namespace snipehill
