#include <process/targetbook.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;

namespace
{

const TimePoint start(seconds(1000));

TargetEntry service(const std::string &id, const std::string &failureDomain = "fd-a", std::int64_t started = 1)
{
    return {.id = id, .group = "g", .address = "10.0.0.1:80", .failureDomain = failureDomain, .slots = 4, .started = started};
}

TargetBookSettings settings()
{
    return {.instance = "entry-1", .failureDomain = "fd-a"};
}

std::string choose(TargetBook &book, TimePoint now, std::vector<std::string> tried = {})
{
    Reason reason;
    const auto placed = book.placeCall("g", tried, 0, now, reason);
    return placed ? placed->run.target.id : "none";
}

} // namespace

TEST_CASE("Targets that leave, were replaced or are gone get no work", "[targets]")
{
    TargetBook book(settings());
    CHECK(choose(book, start) == "none");
    CHECK(book.apply(service("t1")));
    CHECK(!book.apply(service("t1")));
    CHECK(choose(book, start) == "t1");
    CHECK(choose(book, start, {"t1"}) == "none");
    TargetEntry leaving = service("t1");
    leaving.leaving = true;
    CHECK(book.apply(leaving));
    CHECK(!book.takesWork({.group = "g", .id = "t1"}));
    CHECK(choose(book, start) == "none");
    CHECK(book.apply(service("t1")));
    book.noteReplaced({.group = "g", .id = "t1"});
    CHECK(choose(book, start) == "none");
    CHECK(book.apply(service("t1", "fd-a", 2)));
    CHECK(choose(book, start) == "t1");
    CHECK(book.takesWork({.group = "g", .id = "t1"}));
    CHECK(book.remove("t1"));
    CHECK(!book.takesWork({.group = "g", .id = "t1"}));
    CHECK(!book.remove("t1"));
    CHECK(choose(book, start) == "none");
}

TEST_CASE("Work stays in the failure domain until that is much busier", "[targets]")
{
    TargetBook book(settings());
    book.apply(service("near"));
    book.apply(service("far", "fd-b"));
    int near = 0;
    while (choose(book, start) == "near") {
        REQUIRE(++near < 100);
    }
    CHECK(near >= 3);
    CHECK(near <= 8);
}

TEST_CASE("A target that failed is left out for longer with each failure in a row, and back after an answer", "[targets]")
{
    TargetBook book(settings());
    book.apply(service("t1"));
    book.apply(service("t2", "fd-b"));
    const TargetRef t1{.group = "g", .id = "t1"};
    book.noteFailure(t1, start);
    CHECK(choose(book, start + milliseconds(900)) == "t2");
    CHECK(choose(book, start + milliseconds(1100)) == "t1");
    book.noteFailure(t1, start);
    CHECK(choose(book, start + milliseconds(1900)) == "t2");
    book.noteAnswer(t1, std::nullopt, start + milliseconds(1950));
    CHECK(choose(book, start + milliseconds(1960)) == "t1");
}

TEST_CASE("What other entries have placed counts until their news are old", "[targets]")
{
    TargetBook mine(settings());
    mine.apply(service("t1"));
    mine.apply(service("t2", "fd-b"));
    PeerNews news{.sender = {"entry-2", 5}};
    news.loads[targetHash("t1")] = {.running = 12};
    mine.takeNews(news, start);
    CHECK(choose(mine, start + milliseconds(100)) == "t2");
    CHECK(choose(mine, start + seconds(2)) == "t1");
}

TEST_CASE("Kept prompt parts are shared with other entries and forgotten with the run of their target", "[targets]")
{
    const GroupRule group{.name = "g", .engine = EngineFacts{.slots = 4, .memoryTokens = 100000}};
    const std::vector<PrefixBlock> parts{{77, 9000}, {78, 1000}};
    const PromptDemand demand{.promptTokens = 10000, .failureDomain = "fd-a"};
    const auto firstToken = [&](TargetBook &book) {
        Reason reason;
        const auto placed = book.placePrompt(group, demand, parts, {}, start, reason);
        REQUIRE(placed);
        book.endRead(placed->run, start + placed->firstToken);
        book.end(placed->run, start + placed->firstToken);
        return placed->firstToken;
    };
    TargetBook first(settings());
    TargetBook second(settings());
    first.apply(service("t1"));
    second.apply(service("t1"));
    const Duration cold = firstToken(first);
    PeerNews news{.sender = {"entry-1", 1}};
    first.fillNews(news, start);
    REQUIRE(news.reads.size() == 1);
    second.takeNews(news, start);
    CHECK(firstToken(second) < cold / 2);
    second.apply(service("t1", "fd-a", 2));
    CHECK(firstToken(second) > cold / 2);
}

TEST_CASE("Work that is predicted beyond its bounds is not booked", "[targets]")
{
    const GroupRule group{.name = "g", .engine = EngineFacts{.slots = 4}};
    TargetBook book(settings());
    book.apply(service("t1"));
    PromptDemand demand{.promptTokens = 10000, .failureDomain = "fd-a"};
    demand.bounds.latest = milliseconds(50);
    Reason reason;
    const auto refused = book.placePrompt(group, demand, {}, {}, start, reason);
    REQUIRE(refused);
    CHECK(!refused->booked);
    PeerNews news{.sender = {"entry-1", 1}};
    book.fillNews(news, start);
    CHECK(news.loads.empty());
    CHECK(news.reads.empty());
}
