#include <request/crashtally.h>

#include <catch2/catch.hpp>

using namespace snipehill;

TEST_CASE("A fingerprint is refused after its third loss, wherever the losses were counted", "[crash]")
{
    const CrashTallySettings settings;
    const TimePoint now(seconds(100));
    CrashTally tally;
    CHECK(noteLoss(tally, 1, settings, now) == 1);
    CHECK(!isBlocked(tally, 1, settings, now));
    notePeerLosses(tally, 1, 2, settings, now);
    CHECK(!isBlocked(tally, 1, settings, now));
    CHECK(noteLoss(tally, 1, settings, now) == 3);
    CHECK(isBlocked(tally, 1, settings, now));
    CHECK(!isBlocked(tally, 2, settings, now));
    CHECK(!isBlocked(tally, 1, settings, now + settings.memory + seconds(1)));
}

TEST_CASE("An answer clears a fingerprint, and losses long ago don't count", "[crash]")
{
    const CrashTallySettings settings;
    const TimePoint now(seconds(100));
    CrashTally tally;
    noteLoss(tally, 1, settings, now);
    noteLoss(tally, 1, settings, now);
    noteHarmless(tally, 1);
    CHECK(noteLoss(tally, 1, settings, now) == 1);
    CHECK(noteLoss(tally, 1, settings, now + settings.memory + seconds(1)) == 1);
}

TEST_CASE("The tally is bounded and drops the oldest", "[crash]")
{
    CrashTallySettings settings;
    settings.maxFingerprints = 2;
    CrashTally tally;
    for (std::uint64_t fingerprint = 1; fingerprint <= 3; ++fingerprint) {
        noteLoss(tally, fingerprint, settings, TimePoint(seconds(fingerprint)));
    }
    CHECK(tally.counts.size() == 2);
    CHECK(!tally.counts.contains(1));
}
