#include <ctl/requestlog.h>

#include <catch2/catch.hpp>

#include <sstream>

using namespace snipehill;

TEST_CASE("Log lines of a request from several processes are merged in order of time, followed by the cause", "[explain]")
{
    std::vector<RequestLogLine> logLines;
    std::istringstream first(
        R"(  1.2 entry-1 {"time":"2026-01-01T00:00:02Z","level":"warning","part":"entry","message":"refused","request":"r1","status":503,"detail":"too late","instance":"entry-1"}
not a line
{"time":"2026-01-01T00:00:03Z","level":"warning","part":"entry","message":"request ended","request":"r1","outcome":"not_run","instance":"entry-1"}
{"time":"2026-01-01T00:00:01Z","level":"info","part":"entry","message":"request ended","request":"r2","outcome":"complete","instance":"entry-1"}
)");
    std::istringstream second(
        R"({"time":"2026-01-01T00:00:01Z","level":"info","part":"entry","message":"not placed","request":"r1","waitMs":700,"instance":"entry-2"})");
    readRequestLog(first, "r1", logLines);
    readRequestLog(second, "r1", logLines);
    REQUIRE(logLines.size() == 3);
    const std::string text = formatRequestLog(logLines);
    CHECK(text.find("not placed waitMs=700") < text.find("refused"));
    CHECK(text.find("refused") < text.find("request ended"));
    CHECK(text.find("cause: refused, detail too late, status 503") != std::string::npos);
    CHECK(text.find("r2") == std::string::npos);
    CHECK(formatRequestLog({}).empty());
}
