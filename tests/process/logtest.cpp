#include <process/log.h>
#include <process/repeatfilter.h>

#include <catch2/catch.hpp>

using namespace snipehill;

TEST_CASE("an event is one line with the prefix of its component", "[log]")
{
    struct Case
    {
        LogFormat format;
        LogFields fields;
        const char *line;
    };
    for (const Case &c : {
             Case{LogFormat::Text, {}, "lease: claimed"},
             {LogFormat::Text, {{"scope", "usage"}, {"epoch", 7}}, "lease: claimed scope=usage epoch=7"},
             {LogFormat::Text, {{"detail", "two\nlines"}}, "lease: claimed detail=\"two\\nlines\""},
             {LogFormat::Text, {{"detail", ""}}, "lease: claimed detail=\"\""},
             {LogFormat::Json, {{"scope", "a \"b\""}, {"epoch", 7}}, R"("part":"lease","message":"claimed","scope":"a \"b\"","epoch":7)"},
         }) {
        REQUIRE(formatEvent(c.format, LogComponent::Lease, "claimed", c.fields) == c.line);
    }
}

TEST_CASE("repeats within the window are counted instead of written", "[log]")
{
    constexpr milliseconds window(1000);
    const TimePoint start{};
    RepeatFilter filter;
    struct Case
    {
        int atMs;
        const char *event;
        std::optional<std::uint64_t> suppressed;
    };
    for (const Case &c : {
             Case{0, "a", 0},
             {1, "a", std::nullopt},
             {2, "b", 0},
             {999, "a", std::nullopt},
             {1000, "a", 2},
             {1500, "a", std::nullopt},
             {2000, "a", 1},
         }) {
        INFO(c.atMs << " " << c.event);
        REQUIRE(admitEvent(filter, c.event, start + milliseconds(c.atMs), window) == c.suppressed);
    }
}

TEST_CASE("suppressed events are reported once their window has passed", "[log]")
{
    constexpr milliseconds window(1000);
    const TimePoint start{};
    RepeatFilter filter;
    admitEvent(filter, "a", start, window);
    admitEvent(filter, "a", start, window);
    admitEvent(filter, "b", start, window);
    REQUIRE(expireEvents(filter, start + milliseconds(999), window).empty());
    const auto counts = expireEvents(filter, start + window, window);
    REQUIRE(counts.size() == 1);
    REQUIRE(counts[0].event == "a");
    REQUIRE(counts[0].count == 1);
    REQUIRE(filter.entries.empty());
}

TEST_CASE("the number of tracked events is bounded", "[log]")
{
    RepeatFilter filter;
    filter.capacity = 10;
    for (int i = 0; i < 100; ++i) {
        REQUIRE(admitEvent(filter, std::to_string(i), TimePoint{}, milliseconds(1000)) == 0);
    }
    REQUIRE(filter.entries.size() == 10);
}
