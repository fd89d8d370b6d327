#include <request/crashsuspects.h>

#include <fakes/random.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

using namespace snipehill;

namespace
{

const TimePoint start = TimePoint{} + std::chrono::hours(10);
const CrashSettings settings;

std::map<std::uint64_t, std::pair<SuspectRank, Duration>> contentOf(const CrashSuspects &suspects)
{
    std::map<std::uint64_t, std::pair<SuspectRank, Duration>> content;
    for (const auto &[fingerprint, record] : suspects.records) {
        content[fingerprint] = {record.rank, record.since - start};
    }
    return content;
}

} // namespace

TEST_CASE("A crash makes in-flight requests suspects, and a crash of an isolated request blocks it", "[request]")
{
    CrashSuspects suspects;
    const std::vector<std::uint64_t> inFlight{1, 2};
    const std::vector<std::uint64_t> culprit{1};
    recordCrash(suspects, inFlight, false, settings, start);
    CHECK(runPermissionFor(suspects, 1, settings, start) == RunPermission::Isolated);
    CHECK(runPermissionFor(suspects, 2, settings, start) == RunPermission::Isolated);
    CHECK(runPermissionFor(suspects, 3, settings, start) == RunPermission::Clear);
    recordIsolatedSuccess(suspects, 2, start + seconds(1));
    recordCrash(suspects, culprit, true, settings, start + seconds(1));
    CHECK(runPermissionFor(suspects, 2, settings, start + seconds(1)) == RunPermission::Clear);
    CHECK(runPermissionFor(suspects, 1, settings, start + seconds(1)) == RunPermission::Blocked);
    CHECK(runPermissionFor(suspects, 1, settings, start + seconds(600)) == RunPermission::Blocked);
    // After blockTime it may only run isolated, and another crash blocks it again.
    CHECK(runPermissionFor(suspects, 1, settings, start + seconds(601)) == RunPermission::Isolated);
    recordCrash(suspects, culprit, true, settings, start + seconds(700));
    CHECK(runPermissionFor(suspects, 1, settings, start + seconds(701)) == RunPermission::Blocked);
    CHECK(runPermissionFor(suspects, 1, settings, start + seconds(701 + 600 + 3600)) == RunPermission::Clear);
    // A cleared fingerprint becomes a suspect again if it is in flight at the next crash.
    recordCrash(suspects, inFlight, false, settings, start + seconds(800));
    CHECK(runPermissionFor(suspects, 2, settings, start + seconds(800)) == RunPermission::Isolated);
    CHECK(runPermissionFor(suspects, 2, settings, start + seconds(1400)) == RunPermission::Clear);
    removeExpired(suspects, settings, start + std::chrono::hours(3));
    CHECK(suspects.records.empty());
}

TEST_CASE("Updates merge to the same state in any order and if repeated", "[request]")
{
    const std::uint64_t seed = 4711;
    INFO("seed " << seed);
    fakes::Random random{seed};
    for (int round = 0; round < 200; ++round) {
        std::array<CrashSuspects, 3> sources;
        for (CrashSuspects &source : sources) {
            for (int event = 0; event < 6; ++event) {
                const std::vector<std::uint64_t> fingerprints{random.between(1, 4)};
                const TimePoint time = start + seconds(random.between(0, 20));
                if (random.between(0, 2) == 0) {
                    recordIsolatedSuccess(source, fingerprints[0], time);
                } else {
                    recordCrash(source, fingerprints, random.between(0, 1) == 0, settings, time);
                }
            }
        }
        const TimePoint later = start + seconds(30);
        std::array<std::vector<SuspectUpdate>, 3> updates;
        for (std::size_t i = 0; i < sources.size(); ++i) {
            updates[i] = suspectUpdates(sources[i], 100, settings, later);
        }
        CrashSuspects forward;
        CrashSuspects backward;
        for (const std::size_t i : {0U, 1U, 2U, 1U}) {
            mergeSuspectUpdates(forward, updates[i], settings, later);
        }
        for (const std::size_t i : {2U, 2U, 1U, 0U}) {
            mergeSuspectUpdates(backward, updates[i], settings, later);
        }
        REQUIRE(contentOf(forward) == contentOf(backward));
    }
}

TEST_CASE("Updates that circulate between processes expire", "[request]")
{
    std::array<CrashSuspects, 3> processes;
    const std::vector<std::uint64_t> culprit{9};
    recordCrash(processes[0], culprit, true, settings, start);
    TimePoint now = start;
    const Duration life = settings.blockTime + settings.probationTime;
    while (now < start + life + seconds(120)) {
        for (std::size_t i = 0; i < processes.size(); ++i) {
            const auto updates = suspectUpdates(processes[i], 16, settings, now);
            now += milliseconds(50); // network delay
            mergeSuspectUpdates(processes[(i + 1) % processes.size()], updates, settings, now);
            removeExpired(processes[i], settings, now);
        }
    }
    for (const CrashSuspects &process : processes) {
        CHECK(process.records.empty());
    }
}

TEST_CASE("The number of crash records is bounded", "[request]")
{
    CrashSuspects suspects;
    CrashSettings small;
    small.maxRecords = 10;
    for (std::uint64_t i = 0; i < 50; ++i) {
        const std::vector<std::uint64_t> fingerprint{i};
        recordCrash(suspects, fingerprint, false, small, start + seconds(i));
    }
    CHECK(suspects.records.size() == 10);
    CHECK(suspects.records.contains(49));
    CHECK(suspectUpdates(suspects, 4, small, start + seconds(60)).size() == 4);
    CHECK(suspectUpdates(suspects, 4, small, start + seconds(60)).front().fingerprint == 49);
}
