#include "fakes/crashevidencerun.h"

#include <request/crashevidence.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::fakes;

namespace
{

const TimePoint start(seconds(1000));
const CrashEvidenceSettings defaults;

constexpr CrashCause bad = 1;
constexpr CrashCause caller = 2;

/** Three crashes, a second apart, each under one request with the part, the caller's part and a cause of its own. */
void addCrashes(CrashEvidence &evidence, int count, CrashCause part = bad, TargetRunHash firstRun = 1, TimePoint first = start)
{
    for (int i = 0; i < count; ++i) {
        const auto run = firstRun + static_cast<TargetRunHash>(i);
        recordCrash(evidence, run, {{part, caller, 1000 + run}, milliseconds(200)}, defaults, first + seconds(i));
    }
}

bool isBlocked(CrashEvidence &evidence, std::vector<CrashCause> causes, TimePoint now)
{
    evaluateCrashes(evidence, defaults, now);
    return findBlocked(evidence, causes, defaults, now) != nullptr;
}

/** Sends all of one entry's reports to another. */
void exchange(CrashEvidence &from, CrashEvidence &to, TimePoint now)
{
    for (const CrashReport &report : takeCrashReports(from, defaults, now)) {
        mergeCrashReport(to, report, defaults, now + milliseconds(3));
    }
}

} // namespace

// Guards against counting by whole requests, of which no two are alike.
TEST_CASE("A cause that different requests share is blocked after three independent crashes", "[crash]")
{
    CrashEvidence evidence;
    addCrashes(evidence, 2);
    CHECK(!isBlocked(evidence, {bad, caller, 5}, start + seconds(3)));
    addCrashes(evidence, 3);
    CHECK(isBlocked(evidence, {bad, caller, 5}, start + seconds(3)));
    CHECK(!isBlocked(evidence, {caller, 5}, start + seconds(3)));
}

// Guards against blaming the caller or the first part, which sound requests share.
TEST_CASE("A complete response clears the causes of its request of the crashes before it began", "[crash]")
{
    struct Case
    {
        const char *what;
        Duration began; //!< after the first crash, of a sound request of the caller
        bool callerBlocked;
    };
    for (const Case &c : {Case{"before the crashes", milliseconds(-100), true}, Case{"after them", milliseconds(2100), false}}) {
        INFO(c.what);
        CrashEvidence evidence;
        addCrashes(evidence, 3);
        recordSound(evidence, std::vector<CrashCause>{caller, 7}, start + c.began, defaults);
        // With the caller's part cleared, the part alone is blocked, whatever else a request holds.
        CHECK(isBlocked(evidence, {bad, 5}, start + seconds(3)) == !c.callerBlocked);
        CHECK(isBlocked(evidence, {bad, caller, 5}, start + seconds(3)));
    }
}

// Guards against a failure domain that goes down at once: all of its requests would have as many crashes as it has targets.
TEST_CASE("Targets that end at one moment count as one crash", "[crash]")
{
    CrashEvidence evidence;
    for (TargetRunHash run = 1; run <= 10; ++run) {
        recordCrash(evidence, run, {{caller, 1000 + run}, milliseconds(200)}, defaults, start + milliseconds(run));
    }
    CHECK(!isBlocked(evidence, {caller, 5}, start + seconds(1)));
}

// Guards against one crash that is counted on several connections and by several entries (soak, seed 1035).
TEST_CASE("A crash counts once, however many connections and entries see it", "[crash]")
{
    CrashEvidence first;
    CrashEvidence second;
    for (int connection = 0; connection < 5; ++connection) {
        recordCrash(first, 1, {{bad}, milliseconds(100 + connection)}, defaults, start);
        recordCrash(second, 1, {{bad}, milliseconds(200 + connection)}, defaults, start + milliseconds(10));
    }
    exchange(first, second, start + milliseconds(50));
    exchange(second, first, start + milliseconds(60));
    for (CrashEvidence *evidence : {&first, &second}) {
        evaluateCrashes(*evidence, defaults, start + seconds(1));
        CHECK(suspicionOf(*evidence, std::vector<CrashCause>{bad}) == 1);
    }
}

// Guards against entries that each know of one crash only, and against lost updates.
TEST_CASE("Entries that saw one crash each come to the same verdict, also if most updates are lost", "[crash]")
{
    for (const int lost : {0, 1, 2}) {
        INFO("updates lost " << lost);
        std::vector<CrashEvidence> entries(5);
        for (std::size_t entry = 0; entry < entries.size(); ++entry) {
            addCrashes(entries[entry], 1, bad, entry + 1, start + seconds(entry));
        }
        const TimePoint now = start + seconds(5);
        for (int round = 0; round < 3; ++round) {
            for (CrashEvidence &from : entries) {
                const auto reports = takeCrashReports(from, defaults, now);
                for (CrashEvidence &to : entries) {
                    for (std::size_t i = 0; round >= lost && &to != &from && i < reports.size(); ++i) {
                        mergeCrashReport(to, reports[i], defaults, now);
                    }
                }
            }
        }
        for (CrashEvidence &entry : entries) {
            CHECK(isBlocked(entry, {bad, caller, 77}, now + seconds(1)));
        }
    }
}

// Guards against a restarted entry that lets blocked requests through because the news went out before it started.
TEST_CASE("An entry that starts later learns of a block that is still needed", "[crash]")
{
    CrashEvidence old;
    addCrashes(old, 20);
    TimePoint now = start + seconds(25);
    for (int update = 0; update < 3000; ++update) { // five minutes, in which such requests come and are refused
        now += milliseconds(100);
        evaluateCrashes(old, defaults, now);
        const BlockedCauses *blocked = findBlocked(old, std::vector<CrashCause>{bad, caller, 1 + (1ULL << 40U)}, defaults, now);
        REQUIRE(blocked);
        recordRefusal(old, *blocked, now);
        takeCrashReports(old, defaults, now);
    }
    CrashEvidence fresh;
    for (int update = 0; update < 4; ++update) {
        now += milliseconds(100);
        exchange(old, fresh, now);
    }
    CHECK(isBlocked(fresh, {bad, caller, 9}, now));
    CHECK(fresh.blocked.front().certain);
}

// Guards against expiry while such requests still come, and against a block that never ends.
TEST_CASE("A certain block lasts as long as its requests come, another one for its probation", "[crash]")
{
    struct Case
    {
        int crashes;
        Duration refusedEvery; //!< 0: no more requests come
        Duration after; //!< the last crash
        bool blocked;
    };
    const std::vector<Case> cases{
        {3, {}, seconds(29), true},
        {3, seconds(1), seconds(31), false},
        {5, {}, seconds(590), true},
        {5, {}, seconds(620), false},
        {5, seconds(100), seconds(3000), true},
    };
    for (const Case &c : cases) {
        INFO(c.crashes << " crashes");
        CrashEvidence evidence;
        addCrashes(evidence, c.crashes);
        const TimePoint last = start + seconds(c.crashes - 1);
        for (Duration at = c.refusedEvery; c.refusedEvery > Duration::zero() && at < c.after; at += c.refusedEvery) {
            evaluateCrashes(evidence, defaults, last + at);
            if (const BlockedCauses *blocked = findBlocked(evidence, std::vector<CrashCause>{bad, caller}, defaults, last + at)) {
                recordRefusal(evidence, *blocked, last + at);
            }
        }
        CHECK(isBlocked(evidence, {bad, caller}, last + c.after) == c.blocked);
    }
}

// Guards against blaming what was beside the cause once the cause is known.
TEST_CASE("Crashes that a blocked cause explains are held against no other one", "[crash]")
{
    constexpr CrashCause beside = 8;
    CrashEvidence evidence;
    addCrashes(evidence, 5);
    recordSound(evidence, std::vector<CrashCause>{caller}, start + seconds(5), defaults);
    for (TargetRunHash run = 1; run <= 4; ++run) {
        recordCrash(evidence, run, {{beside, 50 + run}, milliseconds(200)}, defaults, start + seconds(run - 1));
    }
    CHECK(isBlocked(evidence, {bad}, start + seconds(6)));
    CHECK(!isBlocked(evidence, {beside}, start + seconds(6)));
    CHECK(suspicionOf(evidence, std::vector<CrashCause>{beside}) == 0);
}

// Guards against updates that fill the links of small entries after a failure domain has crashed.
TEST_CASE("Peer updates about crashes stay small and end with the suspicion", "[crash]")
{
    constexpr std::size_t targets = 20;
    constexpr CrashCause requestsPerTarget = 40;
    const auto causesOf = [](const std::vector<CrashReport> &reports) {
        std::size_t causes = 0;
        for (const CrashReport &report : reports) {
            causes += report.cleared.size();
            for (const CrashSuspect &suspect : report.suspects) {
                causes += suspect.causes.size();
            }
        }
        return causes;
    };
    CrashEvidence sender;
    CrashEvidence receiver;
    for (TargetRunHash run = 1; run <= targets; ++run) {
        for (CrashCause request = 0; request < requestsPerTarget; ++request) {
            recordCrash(sender, run, {{1 + request % 8, 100 + request % 30, 100000 + run * 1000 + request}, milliseconds(100)}, defaults, start);
        }
    }
    const std::size_t mostOfOneCrash = 3 * requestsPerTarget;
    std::size_t merged = 0;
    for (int update = 0; update < 60; ++update) {
        const TimePoint now = start + milliseconds(100) * update;
        evaluateCrashes(sender, defaults, now);
        const auto reports = takeCrashReports(sender, defaults, now);
        CHECK(causesOf(reports) <= defaults.changesPerUpdate + defaults.repeatsPerUpdate + 2 * mostOfOneCrash);
        for (const CrashReport &report : reports) {
            mergeCrashReport(receiver, report, defaults, now);
        }
        merged += takeCrashReports(receiver, defaults, now).size();
    }
    // All has arrived, what was learned from another entry is not told again, and nothing is left to say.
    REQUIRE(receiver.crashes.size() == targets);
    for (const auto &[run, record] : receiver.crashes) {
        CHECK(record.suspects.size() == requestsPerTarget);
    }
    CHECK(merged == 0);
    CHECK(causesOf(takeCrashReports(sender, defaults, start + seconds(6))) == 0);
}

TEST_CASE("An operator can release a cause, at all entries", "[crash]")
{
    CrashEvidence evidence;
    CrashEvidence other;
    addCrashes(evidence, 5);
    exchange(evidence, other, start + seconds(5));
    CHECK(isBlocked(other, {bad, caller}, start + seconds(5)));
    CHECK(!releaseCause(evidence, 99, defaults, start + seconds(6)));
    CHECK(releaseCause(evidence, bad, defaults, start + seconds(6)));
    exchange(evidence, other, start + seconds(6));
    for (CrashEvidence *entry : {&evidence, &other}) {
        CHECK(!isBlocked(*entry, {bad, caller}, start + seconds(6)));
        CHECK(!isBlocked(*entry, {caller}, start + seconds(6)));
    }
    addCrashes(evidence, 3, bad, 50, start + seconds(7));
    CHECK(isBlocked(evidence, {bad, caller}, start + seconds(10)));
}

// Guards against a table that other crashes fill up until a block that is still needed falls out.
TEST_CASE("The evidence is bounded and keeps what a block needs", "[crash]")
{
    CrashEvidenceSettings settings;
    settings.maxCrashes = 20;
    CrashEvidence evidence;
    addCrashes(evidence, 6);
    for (TargetRunHash run = 100; run < 200; ++run) {
        const TimePoint now = start + seconds(run);
        evaluateCrashes(evidence, settings, now);
        const BlockedCauses *blocked = findBlocked(evidence, std::vector<CrashCause>{bad, caller}, settings, now);
        REQUIRE(blocked);
        recordRefusal(evidence, *blocked, now);
        recordCrash(evidence, run, {{run * 1000}, milliseconds(10)}, settings, now);
    }
    CHECK(evidence.crashes.size() == 20);
}

// Guards against missing a crashing part, and against blaming sound requests, at deployments of other sizes and loads.
TEST_CASE("A crashing part is found before its fifth crash counts, and sound requests are not blamed", "[crash][load]")
{
    struct Case
    {
        const char *what;
        CrashLoad load;
    };
    std::vector<Case> cases{
        {"two targets, one entry", {.targets = 2, .entries = 1}},
        {"two targets, two entries, rare", {.targets = 2, .entries = 2, .crashingPerSecond = 2}},
        {"the usual size", {}},
        {"the part is the first one", {.crashingFirst = true}},
        {"rare", {.crashingPerSecond = 1}},
        {"frequent, beside crashes of a failure domain", {.crashingPerSecond = 20, .domainCrashShare = 0.33}},
        {"crashes of a failure domain only", {.crashingPerSecond = 0, .domainCrashShare = 0.33}},
        {"all targets crash at once", {.crashingPerSecond = 0, .domainCrashShare = 1}},
        {"sixty targets, 27 entries", {.targets = 60, .slots = 64, .entries = 27, .duration = seconds(20)}},
        {"500 targets, 100 entries", {.targets = 500, .slots = 64, .entries = 100, .soundPerTarget = 4, .crashingPerSecond = 30, .duration = seconds(12)}},
    };
    for (Case &c : cases) {
        for (std::uint64_t seed = 1; seed <= (c.load.entries < 50 ? 3U : 1U); ++seed) {
            c.load.seed = seed;
            const CrashOutcome outcome = CrashEvidenceRun(c.load).play();
            INFO(c.what << ", seed " << seed << ": " << outcome.crashes << " crashes, " << outcome.lateSends << " late, " << outcome.soundRefused << " of "
                        << outcome.soundRequests << " sound refused");
            CHECK(outcome.lateSends <= 3);
            CHECK(outcome.soundRefused <= 5 + outcome.soundRequests / 500);
            CHECK(2 * outcome.relatedRefused <= outcome.relatedAfter);
        }
    }
}
