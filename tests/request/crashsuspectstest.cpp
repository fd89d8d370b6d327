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

TEST_CASE("A crash makes suspects, a crash while alone blocks", "[request]")
{
    CrashSuspects suspects;
    const std::vector<std::uint64_t> inFlight{1, 2};
    const std::vector<std::uint64_t> culprit{1};
    noteCrash(suspects, inFlight, false, settings, start);
    CHECK(judge(suspects, 1, settings, start) == Judgement::RunAlone);
    CHECK(judge(suspects, 2, settings, start) == Judgement::RunAlone);
    CHECK(judge(suspects, 3, settings, start) == Judgement::Clear);
    noteAloneSuccess(suspects, 2, start + seconds(1));
    noteCrash(suspects, culprit, true, settings, start + seconds(1));
    CHECK(judge(suspects, 2, settings, start + seconds(1)) == Judgement::Clear);
    CHECK(judge(suspects, 1, settings, start + seconds(1)) == Judgement::Blocked);
    CHECK(judge(suspects, 1, settings, start + seconds(600)) == Judgement::Blocked);
    // After the block it runs alone only, and one more crash blocks it at once.
    CHECK(judge(suspects, 1, settings, start + seconds(601)) == Judgement::RunAlone);
    noteCrash(suspects, culprit, true, settings, start + seconds(700));
    CHECK(judge(suspects, 1, settings, start + seconds(701)) == Judgement::Blocked);
    CHECK(judge(suspects, 1, settings, start + seconds(701 + 600 + 3600)) == Judgement::Clear);
    // A cleared one is suspected again when it is there at the next crash.
    noteCrash(suspects, inFlight, false, settings, start + seconds(800));
    CHECK(judge(suspects, 2, settings, start + seconds(800)) == Judgement::RunAlone);
    CHECK(judge(suspects, 2, settings, start + seconds(1400)) == Judgement::Clear);
    forgetOld(suspects, settings, start + std::chrono::hours(3));
    CHECK(suspects.records.empty());
}

TEST_CASE("News merges to the same state in any order and more than once", "[request]")
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
                    noteAloneSuccess(source, fingerprints[0], time);
                } else {
                    noteCrash(source, fingerprints, random.between(0, 1) == 0, settings, time);
                }
            }
        }
        const TimePoint later = start + seconds(30);
        std::array<std::vector<SuspectNews>, 3> news;
        for (std::size_t i = 0; i < sources.size(); ++i) {
            news[i] = suspectNews(sources[i], 100, settings, later);
        }
        CrashSuspects forward;
        CrashSuspects backward;
        for (const std::size_t i : {0U, 1U, 2U, 1U}) {
            mergeNews(forward, news[i], settings, later);
        }
        for (const std::size_t i : {2U, 2U, 1U, 0U}) {
            mergeNews(backward, news[i], settings, later);
        }
        REQUIRE(contentOf(forward) == contentOf(backward));
    }
}

TEST_CASE("News that goes round between processes ends", "[request]")
{
    std::array<CrashSuspects, 3> processes;
    const std::vector<std::uint64_t> culprit{9};
    noteCrash(processes[0], culprit, true, settings, start);
    TimePoint now = start;
    const Duration life = settings.blockTime + settings.memory;
    while (now < start + life + seconds(120)) {
        for (std::size_t i = 0; i < processes.size(); ++i) {
            const auto news = suspectNews(processes[i], 16, settings, now);
            now += milliseconds(50); // on the way
            mergeNews(processes[(i + 1) % processes.size()], news, settings, now);
            forgetOld(processes[i], settings, now);
        }
    }
    for (const CrashSuspects &process : processes) {
        CHECK(process.records.empty());
    }
}

TEST_CASE("Knowledge is bounded", "[request]")
{
    CrashSuspects suspects;
    CrashSettings small;
    small.maxRecords = 10;
    for (std::uint64_t i = 0; i < 50; ++i) {
        const std::vector<std::uint64_t> fingerprint{i};
        noteCrash(suspects, fingerprint, false, small, start + seconds(i));
    }
    CHECK(suspects.records.size() == 10);
    CHECK(suspects.records.contains(49));
    CHECK(suspectNews(suspects, 4, small, start + seconds(60)).size() == 4);
    CHECK(suspectNews(suspects, 4, small, start + seconds(60)).front().fingerprint == 49);
}
