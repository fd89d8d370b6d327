#include <process/traceparent.h>
#include <process/tracing.h>

#include <catch2/catch.hpp>

#include <regex>

using namespace snipehill;

TEST_CASE("traceparent headers are parsed and written", "[tracing]")
{
    const std::string trace = "0af7651916cd43dd8448eb211c80319c";
    const std::string span = "b7ad6b7169203331";
    struct Case
    {
        const char *pattern; //!< TRACE and SPAN stand for the ids
        bool valid;
        bool sampled;
    };
    for (const Case &c : {
             Case{"00-TRACE-SPAN-01", true, true},
             {"00-TRACE-SPAN-00", true, false},
             {"00-TRACE-SPAN-0b", true, true},
             {"00-TRACE-SPAN-fe", true, false},
             {"01-TRACE-SPAN-01-more", true, true},
             {"01-TRACE-SPAN-01.more", false, false},
             {"00-TRACE-SPAN-01-more", false, false},
             {"ff-TRACE-SPAN-01", false, false},
             {"00-00000000000000000000000000000000-SPAN-01", false, false},
             {"00-TRACE-0000000000000000-01", false, false},
             {"00-0AF7651916CD43DD8448EB211C80319C-SPAN-01", false, false},
             {"00-TRACE_SPAN-01", false, false},
             {"00-TRACE-SPAN", false, false},
             {"", false, false},
             {"-------------------------------------------------------", false, false},
         }) {
        const std::string text = std::regex_replace(std::regex_replace(std::string(c.pattern), std::regex("TRACE"), trace), std::regex("SPAN"), span);
        INFO(text);
        const auto context = parseTraceparent(text);
        REQUIRE(context.has_value() == c.valid);
        if (context) {
            REQUIRE(*context == TraceContext{trace, span, c.sampled});
            REQUIRE(parseTraceparent(formatTraceparent(*context)) == context);
        }
    }
}

TEST_CASE("a child stays in its trace", "[tracing]")
{
    const TraceContext parent = newTrace();
    const TraceContext child = newChild(parent);
    REQUIRE(parseTraceparent(formatTraceparent(parent)) == parent);
    REQUIRE(child.traceId == parent.traceId);
    REQUIRE(child.spanId != parent.spanId);
}

TEST_CASE("if tracing is disabled the parent is passed on", "[tracing]")
{
    const std::string parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    Span span = startSpan(spans::request, parent);
    span.setTag(requestIdTag, "x");
    REQUIRE(span.traceparent() == parent);
    REQUIRE(parseTraceparent(startSpan(spans::request, "nonsense").traceparent()));
}
