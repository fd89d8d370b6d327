#pragma once

#include <core/reason.h>
#include <process/settings.h>

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

namespace snipehill
{

/** Component that an event comes from; its name is the prefix of the log line. */
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
const char *toString(LogComponent component) noexcept;

/** A named value of an event. */
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

/**
 * Sets level, format and output; JSON lines carry the instance name. Must be called once, before threads start. Events
 * logged earlier are written as text to standard error.
 */
void startLogging(const LoggingSettings &settings, const std::string &instance);

/**
 * Writes one log line. Thread-safe.
 *
 * The message is a short constant text for each kind of event; variable data goes into the fields. Repeats of an event
 * within LoggingSettings::repeatWindow are counted instead of written; the count is written with the next such event or by
 * flushLog(). Warnings and errors are repeats if component, message, step and peer are equal; other events if all fields
 * are equal too.
 */
void logEvent(LogComponent component, LogLevel level, std::string_view message, LogFields fields = {});

/** Like logEvent(), but an event of any level is a repeat only if all fields are equal too. For changes that must not hide each other. */
void logDistinctEvent(LogComponent component, LogLevel level, std::string_view message, LogFields fields);

/** Like logEvent(), with the step, peer and detail of a failure as further fields. */
void logEvent(LogComponent component, LogLevel level, std::string_view message, const Reason &reason, LogFields fields = {});

/**
 * Writes one log line about one request, see logEvent(). Repeats are not suppressed; instead the rate of these lines is
 * limited, with part of the limit reserved for warnings and errors. Lines above the limit are dropped and counted.
 */
void logRequestEvent(LogComponent component, LogLevel level, std::string_view message, std::string_view requestId, LogFields fields = {});

/** Number of lines dropped so far by the rate limit or by a full queue of the background writer. */
std::uint64_t droppedLines();

/** Writes pending repeat counts and the number of dropped lines, then flushes. Called once a second and before exit. */
void flushLog(TimePoint now);

/** Writes all queued lines and stops the background writer; nothing may be logged afterwards. */
void stopLogging();

/** Formats an event as it follows time and level in a line. */
std::string formatEvent(LogFormat format, LogComponent component, std::string_view message, const LogFields &fields);

} // namespace snipehill
