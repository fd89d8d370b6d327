#include <ctl/spantree.h>

#include <catch2/catch.hpp>

#include <sstream>

using namespace snipehill;

TEST_CASE("spans of a request from several processes are rendered as a tree", "[ctl][tracing]")
{
    std::istringstream lines(R"(2026-01-01T00:00:00Z info entry: a log line between spans
{"traceId":"t1","spanId":"a","parentSpanId":"caller","name":"request","instance":"entry-1","startUs":1000,"durationUs":9000,"tags":{"requestId":"r1"}}
{"traceId":"t1","spanId":"c","parentSpanId":"b","name":"target","instance":"sc-1","startUs":4000,"durationUs":5000,"tags":{"status":200}}
{"traceId":"t1","spanId":"b","parentSpanId":"a","name":"attempt","instance":"entry-1","startUs":2000,"durationUs":7500}
{"traceId":"t1","spanId":"q","parentSpanId":"b","name":"queue","instance":"sc-1","startUs":2500,"durationUs":1500}
{"traceId":"t2","spanId":"z","parentSpanId":"","name":"request","instance":"entry-1","startUs":1000,"durationUs":1,"tags":{"requestId":"r2"}}
{"traceId":"t1","spanId":7}
)");
    std::vector<SpanRecord> spans;
    readSpans(lines, spans);
    REQUIRE(spans.size() == 5);
    REQUIRE(renderRequestTraces(spans, "r1")
            == "trace t1\n"
               "  duration        start\n"
               "    9.000 ms     +0.000 ms  `- request @entry-1\n"
               "    7.500 ms     +1.000 ms     `- attempt @entry-1\n"
               "    1.500 ms     +1.500 ms        |- queue @sc-1\n"
               "    5.000 ms     +3.000 ms        `- target @sc-1 status=200\n");
    REQUIRE(renderRequestTraces(spans, "unknown").empty());
}

TEST_CASE("rendering ends although damaged files contain a cycle of parents", "[ctl][tracing]")
{
    const std::vector<SpanRecord> spans{
        {"t", "a", "b", "one", "p", "r", 0, 0, ""},
        {"t", "b", "a", "two", "p", "", 0, 0, ""},
        {"t", "c", "", "three", "p", "", 0, 0, ""},
    };
    REQUIRE(renderRequestTraces(spans, "r").find("three") != std::string::npos);
}
