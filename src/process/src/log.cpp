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

/** Bounds the lines about requests: a bucket that fills with time. */
struct LineBucket
{
    std::mutex lock;
    double level = 0; //!< lines written lately
    TimePoint updated{};
    std::uint64_t dropped = 0;
};

constexpr double linesPerSecond = 300; // all lines of an entry at its usual rate; beyond it their cost would be missed by requests
constexpr double bucketLines = 1200;
constexpr double usualPart = 0.75; // of the bucket; the rest is for warnings
constexpr double sampledFrom = 0.05; // of the bucket: lines come faster than they may on the whole
constexpr std::size_t sampleOf = 8;
constexpr std::size_t asyncQueueLines = 4096;

/** Whether one more line about a request may be written. When there are many, ordinary lines are those of every eighth request. */
bool takeLine(LineBucket &bucket, LogLevel level, std::string_view requestId)
{
    const std::lock_guard lock(bucket.lock);
    const TimePoint now = Clock::now();
    bucket.level = std::max(0.0, bucket.level - linesPerSecond * std::chrono::duration<double>(now - bucket.updated).count());
    bucket.updated = now;
    const double bound = level < LogLevel::Warning ? usualPart * bucketLines : bucketLines;
    const bool sampled = level >= LogLevel::Warning || bucket.level < sampledFrom * bucketLines || std::hash<std::string_view>()(requestId) % sampleOf == 0;
    if (bucket.level >= bound || !sampled) {
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
    LineBucket requestLines;
    std::uint64_t toldDropped = 0; //!< of droppedLines(), those that a line has told
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

/** Text as it may stand in one line: quoted when it holds anything but plain characters. */
std::string inLine(const std::string &text)
{
    const bool plain = !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > ' ' && c < 127 && c != '"' && c != '\\' && c != '=';
    });
    return plain ? text : quoted(text);
}

void write(LogLevel level, LogComponent part, std::string_view message, LogFields fields, std::uint64_t heldBack)
{
    LogState &state = logState();
    if (heldBack > 0) {
        fields.emplace_back("repeats", heldBack);
    }
    if (state.settings.format == LogFormat::Json && !state.instance.empty()) {
        fields.emplace_back("instance", state.instance);
    }
    state.logger->log(toSpdlog(level), "{}", formatEvent(state.settings.format, part, message, fields));
}

constexpr char keySeparator = '\x1f';

std::string eventKey(LogComponent part, LogLevel level, std::string_view message, const std::string &detail)
{
    return std::string(1, char('0' + int(level))) + std::string(1, char('A' + int(part))) + std::string(message) + keySeparator + detail;
}

/** Writes the number of events held back after the last one that was written. */
void writeRepeats(const SuppressedEvents &repeats)
{
    const auto level = static_cast<LogLevel>(repeats.event[0] - '0');
    const auto part = static_cast<LogComponent>(repeats.event[1] - 'A');
    const auto end = repeats.event.find(keySeparator);
    LogFields fields;
    if (end + 1 < repeats.event.size()) {
        fields.emplace_back("of", repeats.event.substr(end + 1));
    }
    write(level, part, repeats.event.substr(2, end - 2), std::move(fields), repeats.count);
}

void filterAndWrite(LogComponent part, LogLevel level, std::string_view message, LogFields fields, const std::string &kind)
{
    LogState &state = logState();
    if (level < state.settings.level) {
        return;
    }
    const std::string key = eventKey(part, level, message, kind);
    FilterShard &shard = state.shards[std::hash<std::string>()(key) % shardCount];
    std::optional<std::uint64_t> heldBack;
    {
        const std::lock_guard guard(shard.lock);
        heldBack = admitEvent(shard.filter, key, Clock::now(), state.settings.repeatWindow);
    }
    if (heldBack) {
        write(level, part, message, std::move(fields), *heldBack);
    }
}

std::string joined(const LogFields &fields)
{
    std::string text;
    for (const LogField &field : fields) {
        text += (text.empty() ? "" : " ") + field.name + "=" + inLine(field.value);
    }
    return text;
}

} // namespace

const char *toString(LogComponent part) noexcept
{
    static constexpr std::array names{
        "process", "settings", "entry", "sidecar", "link", "config", "lease", "grant", "usage", "roles", "orders", "intents", "members", "admin"};
    return names[static_cast<std::size_t>(part)];
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

void logEvent(LogComponent part, LogLevel level, std::string_view message, LogFields fields)
{
    const std::string kind = level < LogLevel::Warning ? joined(fields) : std::string();
    filterAndWrite(part, level, message, std::move(fields), kind);
}

void logEvent(LogComponent part, LogLevel level, std::string_view message, const Reason &reason, LogFields fields)
{
    fields.emplace_back("step", toString(reason.step));
    if (!reason.peer.empty()) {
        fields.emplace_back("peer", reason.peer);
    }
    fields.emplace_back("detail", reason.detail);
    const std::string kind = std::string("step=") + toString(reason.step) + (reason.peer.empty() ? "" : " peer=" + reason.peer);
    filterAndWrite(part, level, message, std::move(fields), kind);
}

void logRequestEvent(LogComponent part, LogLevel level, std::string_view message, std::string_view requestId, LogFields fields)
{
    LogState &state = logState();
    if (level < state.settings.level || !takeLine(state.requestLines, level, requestId)) {
        return;
    }
    fields.emplace(fields.begin(), "request", requestId);
    write(level, part, message, std::move(fields), 0);
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
    if (dropped > state.toldDropped) {
        write(LogLevel::Warning, LogComponent::Process, "log lines dropped", {{"lines", dropped - state.toldDropped}}, 0);
        state.toldDropped = dropped;
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

std::string formatEvent(LogFormat format, LogComponent part, std::string_view message, const LogFields &fields)
{
    if (format == LogFormat::Text) {
        const std::string values = joined(fields);
        return std::string(toString(part)) + ": " + std::string(message) + (values.empty() ? "" : " " + values);
    }
    std::string line = "\"part\":" + quoted(toString(part)) + ",\"message\":" + quoted(message);
    for (const LogField &field : fields) {
        line += "," + quoted(field.name) + ":" + (field.isNumber ? field.value : quoted(field.value));
    }
    return line;
}

} // namespace snipehill
