#include <request/duplicaterequests.h>

#include <catch2/catch.hpp>

using namespace snipehill;

TEST_CASE("Duplicates run on the instance of the first one until a request with that body is answered", "[request]")
{
    DuplicateRequests duplicates;
    CHECK(colocatedInstance(duplicates, 7).empty());
    recordDuplicateSent(duplicates, 7, "a");
    CHECK(colocatedInstance(duplicates, 7) == "a");
    CHECK(colocatedInstance(duplicates, 8).empty());
    recordDuplicateSent(duplicates, 7, "a");
    recordDuplicateEnded(duplicates, 7, "a", false);
    CHECK(colocatedInstance(duplicates, 7) == "a"); // the other duplicate is still running
    recordDuplicateSent(duplicates, 7, "b");
    recordDuplicateEnded(duplicates, 7, "a", false);
    CHECK(colocatedInstance(duplicates, 7) == "b");
    recordDuplicateEnded(duplicates, 7, "b", false);
    CHECK(colocatedInstance(duplicates, 7).empty());
    CHECK(duplicates.inFlight.empty());

    recordDuplicateSent(duplicates, 7, "a");
    recordDuplicateSent(duplicates, 7, "a");
    recordDuplicateEnded(duplicates, 7, "a", true);
    CHECK(colocatedInstance(duplicates, 7).empty()); // answered once, so any instance will do
    recordDuplicateEnded(duplicates, 7, "unknown", false);
}

TEST_CASE("The number of answered fingerprints is bounded", "[request]")
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
