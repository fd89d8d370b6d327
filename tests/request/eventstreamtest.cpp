#include <request/eventstream.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;

TEST_CASE("Events are passed on once complete, whatever the chunk size", "[events]")
{
    const std::string stream = "id: 1\ndata: a\n\nweight-versions: 4\nid: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        EventStream events;
        std::string passed;
        for (std::size_t at = 0; at < stream.size(); at += size) {
            passed += events.append(std::string_view(stream).substr(at, size));
        }
        CHECK(passed == stream);
        CHECK(events.lastId() == "3");
        CHECK(events.events() == 3);
        CHECK(!events.hasPartial());
    }
}

TEST_CASE("An incomplete event is buffered, and discarded if the target's connection breaks", "[events]")
{
    EventStream events;
    CHECK(events.append("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(events.hasPartial());
    CHECK(events.lastId() == "1");
    events.dropPartial();
    CHECK(!events.hasPartial());
    CHECK(events.append("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(events.lastId() == "2");
}

// Guards against an event without end, which took memory without bound and was searched again with each piece.
TEST_CASE("An event that never ends is searched once and reported as overlong", "[events]")
{
    EventStream events;
    const std::string piece(16384, 'x');
    std::size_t bytes = 0;
    while (!events.isOverlong() && bytes <= 2 * EventStream::maxEventBytes) {
        CHECK(events.append(piece).empty());
        bytes += piece.size();
    }
    CHECK(bytes == EventStream::maxEventBytes + piece.size());
    events.dropPartial();
    CHECK(!events.isOverlong());
    CHECK(events.append("id: 1\ndata: a\n\n") == "id: 1\ndata: a\n\n");
    CHECK(events.lastId() == "1");
}

// Guards against events that a caller gets twice when the engine that is to resume a stream begins with an earlier event.
TEST_CASE("A continuation is used only if it begins after the last event", "[events]")
{
    struct Case
    {
        const char *what;
        std::string continuation;
        std::string forwarded;
        bool repeating;
    };
    const std::vector<Case> cases{
        {"the next event", "id: 3\ndata: c\n\n", "id: 3\ndata: c\n\n", false},
        {"a later event", "id: 9\ndata: c\n\n", "id: 9\ndata: c\n\n", false},
        {"the last event again", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", "", true},
        {"the first event", "id: 1\ndata: a\n\n", "", true},
        {"ids without an order", "id: x1\ndata: c\n\n", "id: x1\ndata: c\n\n", false},
        {"a comment before the repetition", ": hello\n\nid: 1\ndata: a\n\n", ": hello\n\n", true},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        EventStream stream;
        stream.append("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
        stream.dropPartial();
        CHECK(stream.append(c.continuation) == c.forwarded);
        CHECK(stream.isRepeating() == c.repeating);
        stream.dropPartial();
        CHECK_FALSE(stream.isRepeating());
        EventStream first;
        CHECK(first.append("id: 5\n\nid: 5\n\n") == "id: 5\n\nid: 5\n\n");
    }
}
