#include <request/duplicaterequests.h>

#include <catch2/catch.hpp>

using namespace snipehill;

TEST_CASE("Copies join the first one until a request of that body has been answered", "[request]")
{
    DuplicateRequests duplicates;
    CHECK(colocatedInstance(duplicates, 7).empty());
    recordDuplicateSent(duplicates, 7, "a");
    CHECK(colocatedInstance(duplicates, 7) == "a");
    CHECK(colocatedInstance(duplicates, 8).empty());
    recordDuplicateSent(duplicates, 7, "a");
    recordDuplicateEnded(duplicates, 7, "a", false);
    CHECK(colocatedInstance(duplicates, 7) == "a"); // the other copy still runs
    recordDuplicateSent(duplicates, 7, "b");
    recordDuplicateEnded(duplicates, 7, "a", false);
    CHECK(colocatedInstance(duplicates, 7) == "b");
    recordDuplicateEnded(duplicates, 7, "b", false);
    CHECK(colocatedInstance(duplicates, 7).empty());
    CHECK(duplicates.inFlight.empty());

    recordDuplicateSent(duplicates, 7, "a");
    recordDuplicateSent(duplicates, 7, "a");
    recordDuplicateEnded(duplicates, 7, "a", true);
    CHECK(colocatedInstance(duplicates, 7).empty()); // harmless: free to go anywhere
    recordDuplicateEnded(duplicates, 7, "unknown", false);
}

TEST_CASE("Only so many harmless bodies are remembered", "[request]")
{
    DuplicateRequests duplicates;
    duplicates.maxAnswered = 3;
    for (std::uint64_t fingerprint = 0; fingerprint < 10; ++fingerprint) {
        recordDuplicateSent(duplicates, fingerprint, "a");
        recordDuplicateEnded(duplicates, fingerprint, "a", true);
    }
    CHECK(duplicates.answered.size() == 3);
    CHECK(duplicates.answeredOrder.size() == 3);
    recordDuplicateSent(duplicates, 9, "a");
    CHECK(colocatedInstance(duplicates, 9).empty());
    recordDuplicateSent(duplicates, 0, "a");
    CHECK(colocatedInstance(duplicates, 0) == "a");
}
