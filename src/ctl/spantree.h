#pragma once

#include <core/reason.h>

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace snipehill
{

/** A finished span as a process wrote it. */
struct SpanRecord
{
    std::string traceId;
    std::string spanId;
    std::string parentSpanId;
    std::string name;
    std::string instance;
    std::string requestId; //!< empty on spans that don't carry it
    std::int64_t startUs = 0; //!< of the writer's wall clock
    std::int64_t durationUs = 0;
    std::string tags; //!< "name=value ..."
};

/** Appends the spans of a file of JSON lines; other lines are passed over. */
void readSpans(std::istream &input, std::vector<SpanRecord> &spans);

/** The traces that the request was part of, as trees of spans in the order of their starts. Empty if there is none. */
std::string renderRequestTraces(const std::vector<SpanRecord> &spans, const std::string &requestId);

} // namespace snipehill
