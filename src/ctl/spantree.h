#pragma once

#include <core/reason.h>

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace snipehill
{

/** A finished span, read from the trace file of a process. */
struct SpanRecord
{
    std::string traceId;
    std::string spanId;
    std::string parentSpanId;
    std::string name;
    std::string instance;
    std::string requestId; //!< empty if the span has no requestId tag
    std::int64_t startUs = 0; //!< wall clock of the process that wrote it
    std::int64_t durationUs = 0;
    std::string tags; //!< formatted as " name=value" for each tag
};

/** Appends the spans of a file of JSON lines; lines that are not spans are skipped. */
void readSpans(std::istream &input, std::vector<SpanRecord> &spans);

/** Renders the traces that contain the request as trees of spans, ordered by start time. Empty if there are none. */
std::string renderRequestTraces(const std::vector<SpanRecord> &spans, const std::string &requestId);

} // namespace snipehill
