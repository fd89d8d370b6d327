#include <process/peerupdate.h>
#include <process/usagebook.h>

#include <catch2/catch.hpp>

using namespace snipehill;

namespace
{

const TimePoint start(seconds(1000));
const Incarnation first{"entry-1", 11};
const Incarnation second{"entry-2", 22};

} // namespace

TEST_CASE("Counts are unpublished until they were published, and a window that ends is told too", "[usage]")
{
    UsageBook book(first, milliseconds(3600000));
    const auto opening = book.unpublished();
    REQUIRE(opening);
    CHECK(opening->rows.empty());
    book.notePublished(*opening);
    CHECK(!book.unpublished());
    book.count("w");
    const auto told = book.unpublished();
    REQUIRE(told);
    book.count("w");
    book.notePublished(*told);
    const auto more = book.unpublished();
    REQUIRE(more);
    CHECK(more->rows.begin()->second.at("w").requests == 2);
    book.notePublished(*more);
    CHECK(!book.unpublished());
}

TEST_CASE("A window is complete when every entry heard lately has told all of it", "[usage]")
{
    CollectedCounts counts;
    counts.heard["entry-1"] = {first, start};
    counts.heard["entry-2"] = {second, start};
    mergeUsage(counts, first, {{{{first, 5}, {{"w", {.requests = 3}}}}}, 6});
    CHECK(!isComplete(counts, 5, start));
    mergeUsage(counts, second, {{}, 6});
    CHECK(isComplete(counts, 5, start));
    CHECK(!isComplete(counts, 6, start));
    // A run that has not told anything yet keeps the window open, one that is silent does not.
    counts.heard["entry-2"] = {{"entry-2", 23}, start};
    CHECK(!isComplete(counts, 5, start));
    CHECK(isComplete(counts, 5, start + seconds(1)));
}

TEST_CASE("Counts that are told late or twice never lower the figures", "[usage]")
{
    CollectedCounts counts;
    mergeUsage(counts, first, {{{{first, 5}, {{"w", {.requests = 7}}}}}, 6});
    mergeUsage(counts, first, {{{{first, 5}, {{"w", {.requests = 4}}, {"v", {.requests = 1}}}}}, 5});
    CHECK(counts.rows.at({first, 5}).at("w").requests == 7);
    CHECK(counts.rows.at({first, 5}).at("v").requests == 1);
    CHECK(counts.open.at(first) == 6);
}

TEST_CASE("What entries publish and tell each other comes back as it was", "[usage]")
{
    Reason reason;
    const ToldUsage told{{{{first, 5}, {{"w", {.requests = 7}}}}}, 6};
    const auto parsed = parseToldUsage(toJson(first, told), reason);
    REQUIRE(parsed);
    CHECK(parsed->first == first);
    CHECK(parsed->second.rows == told.rows);
    CHECK(parsed->second.open == 6);
    CHECK(!parseToldUsage(Json::Value("text"), reason));

    PeerUpdate update{.sender = second};
    update.loads[targetHash("t1")] = {milliseconds(120), 3};
    update.routedBlocks.push_back({targetHash("t1"), {{77, 9000}}});
    update.losses[5] = 2;
    update.usage[4]["w"].requests = 9;
    update.openWindow = 5;
    const auto decoded = decodePeerUpdate(encodePeerUpdate(update), reason);
    REQUIRE(decoded);
    CHECK(decoded->sender == second);
    CHECK(decoded->loads.at(targetHash("t1")).backlog == milliseconds(120));
    CHECK(decoded->loads.at(targetHash("t1")).running == 3);
    REQUIRE(decoded->routedBlocks.size() == 1);
    CHECK(decoded->routedBlocks[0].blocks[0].tokens == 9000);
    CHECK(decoded->losses.at(5) == 2);
    CHECK(decoded->usage.at(4).at("w").requests == 9);
    CHECK(decoded->openWindow == 5);
    CHECK(!decodePeerUpdate("no news", reason));
}
