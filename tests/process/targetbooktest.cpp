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

/** Engine that a short prompt is placed on. */
std::string placeShort(TargetBook &book, TimePoint now)
{
    Reason reason;
    const auto placed = book.placePrompt({.name = "g", .engine = EngineFacts{.slots = 4}}, {.promptTokens = 300, .failureDomain = "fd-a"}, {}, {}, now, reason);
    if (placed) {
        book.end(placed->run, now);
    }
    return placed ? placed->run.target.id : "none";
}

TargetEntry engine(const std::string &id, EngineRole role)
{
    TargetEntry entry = service(id);
    entry.role = role;
    return entry;
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
    demand.bounds.latestFirstToken = milliseconds(50);
    Reason reason;
    const auto refused = book.placePrompt(group, demand, {}, {}, start, reason);
    REQUIRE(refused);
    CHECK(!refused->booked);
    PeerNews news{.sender = {"entry-1", 1}};
    book.fillNews(news, start);
    CHECK(news.loads.empty());
    CHECK(news.reads.empty());
}

TEST_CASE("An engine that changes its role gets no prompts at any entry until its entry shows the role", "[targets]")
{
    TargetBook orderer(settings());
    TargetBook other({.instance = "entry-2", .failureDomain = "fd-a"});
    for (TargetBook *book : {&orderer, &other}) {
        book->apply(engine("changing", EngineRole::Decode));
        book->apply(engine("steady", EngineRole::Decode));
        CHECK(placeShort(*book, start) == "changing");
    }
    orderer.noteRoleChange("changing", EngineRole::Prefill, start + seconds(6));
    PeerNews news{.sender = {"entry-1", 1}};
    orderer.fillNews(news, start);
    CHECK(other.takeNews(news, start) == std::vector<std::string>{"changing"});
    CHECK(other.takeNews(news, start).empty());
    for (TargetBook *book : {&orderer, &other}) {
        CHECK(placeShort(*book, start + seconds(5)) == "steady");
        CHECK(placeShort(*book, start + seconds(7)) == "changing");
        book->apply(engine("changing", EngineRole::Prefill));
        book->apply(engine("changing", EngineRole::Decode));
        CHECK(placeShort(*book, start + seconds(5)) == "steady");
    }
    PeerNews later{.sender = {"entry-2", 1}};
    other.fillNews(later, start + seconds(1));
    CHECK(later.roleChanges.empty());
}

TEST_CASE("An engine that refuses prompts at once does not draw the others to it", "[targets]")
{
    TargetBook book(settings());
    book.apply(engine("refusing", EngineRole::Decode));
    book.apply(engine("steady", EngineRole::Decode));
    const TargetRef refusing{.group = "g", .id = "refusing"};
    int refused = 0;
    for (milliseconds time{0}; time < seconds(3); time += milliseconds(5)) {
        if (placeShort(book, start + time) == "refusing") {
            ++refused;
            book.noteAnswer(refusing, std::nullopt, start + time);
            book.noteRefused(refusing, start + time);
        }
    }
    CHECK(refused <= 5);
    book.noteTaken(refusing);
    CHECK(placeShort(book, start + seconds(3)) == "refusing");
}

TEST_CASE("Prompts are not read apart by an engine whose memory can't be taken", "[targets]")
{
    TargetBook book(settings());
    book.apply(engine("lapsing", EngineRole::Prefill));
    book.apply(engine("steady", EngineRole::Prefill));
    book.apply(engine("runner", EngineRole::Decode));
    const auto reader = [&](TimePoint now) {
        Reason reason;
        const GroupRule group{.name = "g", .engine = EngineFacts{.slots = 4, .memoryTokens = 100000, .tokenBytes = 1000, .linkBitsPerSecond = 1e12}};
        const auto placed = book.placePrompt(group, {.promptTokens = 9000, .failureDomain = "fd-a"}, {}, {}, now, reason);
        REQUIRE(placed);
        REQUIRE(placed->read);
        book.end(*placed->read, now);
        book.end(placed->run, now);
        return placed->read->target.id;
    };
    CHECK(reader(start) == "lapsing");
    book.noteMemory({.group = "g", .id = "lapsing"}, false, start);
    CHECK(reader(start + milliseconds(100)) == "steady");
    book.noteMemory({.group = "g", .id = "lapsing"}, true, start + milliseconds(100));
    CHECK(reader(start + milliseconds(100)) == "lapsing");
}

// Many entries share the engines, so each has placed little of what an engine still has to read.
TEST_CASE("Small backlogs of many entries add up, also when their news are some time old", "[targets][load]")
{
    struct Case
    {
        int entries;
        milliseconds told;
        milliseconds age;
    };
    const std::vector<Case> cases{
        {3, milliseconds(100), milliseconds(90)}, {26, milliseconds(40), milliseconds(390)}, {200, milliseconds(5), milliseconds(900)}};
    for (const Case &c : cases) {
        INFO(c.entries << " entries");
        TargetBook book(settings());
        book.apply(engine("busy", EngineRole::Decode));
        book.apply(engine("idle", EngineRole::Decode));
        for (int entry = 0; entry < c.entries; ++entry) {
            PeerNews news{.sender = {"other-" + std::to_string(entry), 1}};
            news.loads[targetHash("busy")] = {.backlog = c.told, .running = 1};
            book.takeNews(news, start);
        }
        Reason reason;
        const GroupRule group{.name = "g", .engine = EngineFacts{.slots = 1000}};
        const std::vector<std::string> tried{"idle"};
        const auto placed = book.placePrompt(group, {.promptTokens = 300, .failureDomain = "fd-a"}, {}, tried, start + c.age, reason);
        REQUIRE(placed);
        CHECK(placed->wait >= c.entries * c.told);
        CHECK(placeShort(book, start + c.age) == "idle");
    }
}
