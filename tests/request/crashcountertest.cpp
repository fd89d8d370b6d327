#include <request/crashcounter.h>

#include <catch2/catch.hpp>

using namespace snipehill;

TEST_CASE("A fingerprint is blocked after its third loss, including losses counted by other entries", "[crash]")
{
    const CrashCounterSettings settings;
    const TimePoint now(seconds(100));
    CrashCounter counter;
    CHECK(recordLoss(counter, 1, settings, now) == 1);
    CHECK(!isBlocked(counter, 1, settings, now));
    mergePeerLosses(counter, 1, 2, settings, now);
    CHECK(!isBlocked(counter, 1, settings, now));
    CHECK(recordLoss(counter, 1, settings, now) == 3);
    CHECK(isBlocked(counter, 1, settings, now));
    CHECK(!isBlocked(counter, 2, settings, now));
    CHECK(!isBlocked(counter, 1, settings, now + settings.retention + seconds(1)));
}

TEST_CASE("A response resets the count, and old losses expire", "[crash]")
{
    const CrashCounterSettings settings;
    const TimePoint now(seconds(100));
    CrashCounter counter;
    recordLoss(counter, 1, settings, now);
    recordLoss(counter, 1, settings, now);
    clearLosses(counter, 1);
    CHECK(recordLoss(counter, 1, settings, now) == 1);
    CHECK(recordLoss(counter, 1, settings, now + settings.retention + seconds(1)) == 1);
}

TEST_CASE("The number of counts is bounded and the oldest is evicted", "[crash]")
{
    CrashCounterSettings settings;
    settings.maxFingerprints = 2;
    CrashCounter counter;
    for (std::uint64_t fingerprint = 1; fingerprint <= 3; ++fingerprint) {
        recordLoss(counter, fingerprint, settings, TimePoint(seconds(fingerprint)));
    }
    CHECK(counter.counts.size() == 2);
    CHECK(!counter.counts.contains(1));
}
