#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace snipehill
{

/** Place of a span in a trace, as the W3C header traceparent carries it. */
struct TraceContext
{
    std::string traceId; //!< 32 lower-case hexadecimal digits
    std::string spanId; //!< 16 lower-case hexadecimal digits
    bool sampled = true;
    friend bool operator==(const TraceContext &, const TraceContext &) = default;
};

/** Parses the header; empty where it is not valid, and a new trace is begun then. Later versions are read as far as they are known. */
std::optional<TraceContext> parseTraceparent(std::string_view text);

/** "00-<trace id>-<span id>-01" */
std::string formatTraceparent(const TraceContext &context);

/** First span of a new trace, with random ids. */
TraceContext newTrace();

/** Child of a span: same trace, new span id. */
TraceContext newChild(const TraceContext &parent);

} // namespace snipehill
