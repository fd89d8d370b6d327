#pragma once

#include <process/settings.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace snipehill
{

/**
 * One hop of a request while it lasts, written as a JSON line when it ends.
 *
 * Owned by the coroutine that does the work; ends with the object. When traces are off nothing is recorded, and
 * traceparent() passes on what came in. Not thread-safe.
 */
class Span
{
public:
    Span();
    ~Span();
    Span(Span &&) noexcept;
    Span &operator=(Span &&) noexcept;

    /** Header value for the next hop. */
    const std::string &traceparent() const noexcept;
    /** Adds a value. Never pass secrets or bodies. */
    void setTag(std::string_view name, std::string_view value);
    void setTag(std::string_view name, std::int64_t value);
    /** Marks the hop as failed. */
    void setError(const Reason &reason);
    /** Ends it before the object does. */
    void finish();

private:
    friend Span startSpan(std::string_view name, std::string_view parent);
    struct Recording;
    std::unique_ptr<Recording> m_recording; //!< null while traces are off
    std::string m_traceparent;
};

/** Names of the hops. */
namespace spans
{
constexpr const char *request = "request"; //!< caller to entry
constexpr const char *queue = "queue"; //!< wait at the sidecar
constexpr const char *attempt = "attempt"; //!< entry to sidecar
constexpr const char *target = "target"; //!< sidecar to target
constexpr const char *resolve = "resolve";
constexpr const char *logAppend = "log-append";
} // namespace spans

/** Tag that carries X-Request-Id; on the request's first span at least. */
constexpr const char *requestIdTag = "requestId";

/** Sets where spans go. Once, before threads start; false with a reason when the file can't be opened. */
bool startTracing(const TracesSettings &settings, const std::string &instance, Reason &reason);

/** Begins a span under the parent that a traceparent header names, or a new trace where it is empty or not valid. Thread-safe. */
Span startSpan(std::string_view name, std::string_view parent);

} // namespace snipehill
