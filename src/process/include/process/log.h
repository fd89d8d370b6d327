#pragma once

#include <core/reason.h>
#include <process/settings.h>

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

namespace snipehill
{

/** Part of the system that an event comes from; its name is the prefix of the log line. */
enum class LogComponent {
    Process,
    Settings,
    Entry,
    Sidecar,
    Link,
    Config,
    Lease,
    Grant,
    Usage,
    Roles,
    Orders,
    Intents,
    Members,
    Admin,
};

/** "entry", "lease" and so on. */
const char *toString(LogComponent part) noexcept;

/** A value that belongs to an event. */
struct LogField
{
    LogField(std::string_view fieldName, std::string_view text) : name(fieldName), value(text) { }
    LogField(std::string_view fieldName, const std::string &text) : LogField(fieldName, std::string_view(text)) { }
    LogField(std::string_view fieldName, const char *text) : LogField(fieldName, std::string_view(text)) { }
    template<typename Number>
    requires(std::integral<Number> || std::floating_point<Number>) LogField(std::string_view fieldName, Number number)
        : name(fieldName), value(std::to_string(number)), isNumber(true)
    {
    }

    std::string name;
    std::string value;
    bool isNumber = false;
};

using LogFields = std::vector<LogField>;

/** Sets level and form and names the process in JSON lines. Once, before threads start; until then events go out as text. */
void startLogging(const LoggingSettings &settings, const std::string &instance);

/**
 * Writes one line to standard error. Thread-safe.
 *
 * The message is a short sentence that is the same for all events of its kind; what differs goes into the
 * fields. Equal events within LoggingSettings::repeatWindow are counted and the count is written with the
 * next one or by flushLog(). Of warnings and errors those are equal that have the same part, message, step and peer,
 * of others those whose fields are the same too.
 */
void logEvent(LogComponent part, LogLevel level, std::string_view message, LogFields fields = {});

/** The same with the step, the peer and the detail of a failure. */
void logEvent(LogComponent part, LogLevel level, std::string_view message, const Reason &reason, LogFields fields = {});

/**
 * Writes one line about one request, see logEvent(). Such lines are not compared with each other; instead their number a
 * second is bounded, with room kept for warnings, and those beyond it are counted.
 */
void logRequestEvent(LogComponent part, LogLevel level, std::string_view message, std::string_view requestId, LogFields fields = {});

/** Lines that were not written because there were too many of them or the writer was behind. */
std::uint64_t droppedLines();

/** Writes counts of repeats that are still held back, and flushes. Called once a second and before the end. */
void flushLog(TimePoint now);

/** Waits until all lines are written and ends the writer's thread; nothing may be logged afterwards. */
void stopLogging();

/** An event as it follows time and level in a line. */
std::string formatEvent(LogFormat format, LogComponent part, std::string_view message, const LogFields &fields);

} // namespace snipehill
