#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace snipehill
{

/** Identifies a span within a trace, as in the W3C traceparent header. */
struct TraceContext
{
    std::string traceId; //!< 32 lower-case hexadecimal digits
    std::string spanId; //!< 16 lower-case hexadecimal digits
    bool sampled = true;
    friend bool operator==(const TraceContext &, const TraceContext &) = default;
};

/**
 * Parses the header; returns nothing if it is invalid, in which case the caller starts a new trace. Of later versions of
 * the header, only the fields of version 00 are read.
 */
std::optional<TraceContext> parseTraceparent(std::string_view text);

/** "00-<trace id>-<span id>-01" */
std::string formatTraceparent(const TraceContext &context);

/** Context of the root span of a new trace, with random ids. */
TraceContext newTrace();

/** Context of a child span: same trace id, new span id. */
TraceContext newChild(const TraceContext &parent);

} // namespace snipehill
