#include <serving/src/callerresponse.h>
#include <serving/src/eventsplitter.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;

namespace
{

std::string chunk(const std::string &content)
{
    return R"(data: {"choices":[{"delta":{"content":")" + content + "\"}}]}\n\n";
}

} // namespace

TEST_CASE("events are forwarded complete, however the bytes were split", "[events]")
{
    const std::string usage = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2}}\n\n";
    const std::string stream = chunk("a ") + chunk("b ") + usage + "data: [DONE]\n\n";
    for (std::size_t pieceSize = 1; pieceSize <= stream.size(); ++pieceSize) {
        EventSplitter splitter;
        std::string forwarded;
        for (std::size_t at = 0; at < stream.size(); at += pieceSize) {
            const std::string completeEvents = splitter.append(std::string_view(stream).substr(at, pieceSize));
            forwarded += completeEvents;
            REQUIRE((completeEvents.empty() || completeEvents.ends_with("\n\n")));
        }
        REQUIRE(forwarded == stream);
        REQUIRE(splitter.progress().done);
        REQUIRE(splitter.progress().hasUsage);
        REQUIRE(splitter.progress().promptTokens == 7);
        REQUIRE(splitter.progress().outputTokens == 2);
    }
}

// Guards against an engine on the path through sidecars whose event has no end, which fills the sidecar's memory.
TEST_CASE("an event without end is known to be overlong, and long ones are not", "[events][endless]")
{
    EventSplitter splitter;
    const std::string bytes(1U << 20U, 'x');
    CHECK(splitter.append("data: " + bytes).empty());
    CHECK(!splitter.isOverlong());
    CHECK(splitter.append("\n\n").size() == bytes.size() + 8);
    for (int i = 0; i < 5; ++i) {
        CHECK(splitter.append(bytes).empty());
    }
    CHECK(splitter.isOverlong());
}

TEST_CASE("a stream without its final event is not complete", "[events]")
{
    EventSplitter splitter;
    CHECK(splitter.append(chunk("a ") + "data: [DONE]") == chunk("a "));
    CHECK_FALSE(splitter.progress().done);
    CHECK(splitter.progress().dataEvents == 1);
}

TEST_CASE("delivered output is parsed from the forwarded events", "[events]")
{
    struct Case
    {
        std::string events;
        std::string text;
        std::uint32_t tokens;
    };
    const std::vector<Case> cases{
        {"", "", 0},
        {chunk("a ") + chunk("b "), "a b ", 2},
        {chunk("") + chunk("b "), "b ", 1},
        {": comment\n\n" + chunk("a"), "a", 1},
        {"data: no json\n\n" + chunk("a"), "a", 1},
        {"data: {\"choices\":[]}\n\n" + chunk("a") + "data: [DONE]\n\n", "a", 1},
        {chunk("\\u00fc\\n"), "\xc3\xbc\n", 1},
    };
    for (const Case &c : cases) {
        INFO(c.events);
        const DeliveredOutput output = parseDeliveredOutput(c.events);
        CHECK(output.text == c.text);
        CHECK(output.tokens == c.tokens);
    }
}
