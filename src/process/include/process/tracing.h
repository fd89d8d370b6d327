#pragma once

#include <process/settings.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace snipehill
{

/**
 * Span of one hop of a request, written as a JSON line when it ends.
 *
 * Owned by the coroutine that does the work; the destructor ends the span. If tracing is disabled, nothing is recorded and
 * traceparent() passes on the parent context. Not thread-safe.
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
    /** Adds a tag. Must not contain secrets or request bodies. */
    void setTag(std::string_view name, std::string_view value);
    void setTag(std::string_view name, std::int64_t value);
    /** Marks the span as failed and adds the reason as tags. */
    void setError(const Reason &reason);
    /** Ends the span before the destructor does. */
    void finish();

private:
    friend Span startSpan(std::string_view name, std::string_view parent);
    struct Recording;
    std::unique_ptr<Recording> m_recording; //!< null if tracing is disabled
    std::string m_traceparent;
};

/** Names of the spans. */
namespace spans
{
constexpr const char *request = "request"; //!< caller to entry
constexpr const char *queue = "queue"; //!< time in the queue of the sidecar
constexpr const char *attempt = "attempt"; //!< entry to sidecar
constexpr const char *target = "target"; //!< sidecar to target
constexpr const char *resolve = "resolve";
constexpr const char *logAppend = "log-append";
} // namespace spans

/** Tag with the value of X-Request-Id; set at least on the first span of a request. */
constexpr const char *requestIdTag = "requestId";

/** Opens the output for spans. Must be called once, before threads start; false with a reason if the file can't be opened. */
bool startTracing(const TracesSettings &settings, const std::string &instance, Reason &reason);

/** Starts a span as child of the one in a traceparent header, or a new trace if the header is empty or invalid. Thread-safe. */
Span startSpan(std::string_view name, std::string_view parent);

} // namespace snipehill
