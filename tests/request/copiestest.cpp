#include <request/copies.h>

#include <catch2/catch.hpp>

using namespace snipehill;

TEST_CASE("Copies join the first one until a request of that body has been answered", "[request]")
{
    RequestCopies copies;
    CHECK(companionOf(copies, 7).empty());
    noteCopySent(copies, 7, "a");
    CHECK(companionOf(copies, 7) == "a");
    CHECK(companionOf(copies, 8).empty());
    noteCopySent(copies, 7, "a");
    noteCopyEnded(copies, 7, "a", false);
    CHECK(companionOf(copies, 7) == "a"); // the other copy still runs
    noteCopySent(copies, 7, "b");
    noteCopyEnded(copies, 7, "a", false);
    CHECK(companionOf(copies, 7) == "b");
    noteCopyEnded(copies, 7, "b", false);
    CHECK(companionOf(copies, 7).empty());
    CHECK(copies.inFlight.empty());

    noteCopySent(copies, 7, "a");
    noteCopySent(copies, 7, "a");
    noteCopyEnded(copies, 7, "a", true);
    CHECK(companionOf(copies, 7).empty()); // harmless: free to go anywhere
    noteCopyEnded(copies, 7, "unknown", false);
}

TEST_CASE("Only so many harmless bodies are remembered", "[request]")
{
    RequestCopies copies;
    copies.maxAnswered = 3;
    for (std::uint64_t fingerprint = 0; fingerprint < 10; ++fingerprint) {
        noteCopySent(copies, fingerprint, "a");
        noteCopyEnded(copies, fingerprint, "a", true);
    }
    CHECK(copies.answered.size() == 3);
    CHECK(copies.answeredOrder.size() == 3);
    noteCopySent(copies, 9, "a");
    CHECK(companionOf(copies, 9).empty());
    noteCopySent(copies, 0, "a");
    CHECK(companionOf(copies, 0) == "a");
}
