#include "fakes/crashevidencerun.h"

#include <request/crashevidence.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace snipehill;
using namespace snipehill::fakes;

namespace
{

const TimePoint start(seconds(1000));
const CrashEvidenceSettings defaults;

constexpr CrashCause bad = 1;
constexpr CrashCause otherBad = 2;
constexpr CrashCause shared = 3; //!< part of all requests
constexpr CrashCause popular = 4;
constexpr CrashCause otherPopular = 5;
constexpr CrashCause rare = 6;

/** Requests on one run that crashes, without the cause of their own that each has. */
using Requests = std::vector<std::vector<CrashCause>>;

/** Records the crash of one run with these requests. */
void addCrash(CrashEvidence &evidence, const Requests &requests, TimePoint time, Duration sentBefore = milliseconds(200))
{
    const TargetRunHash run = 1 + evidence.crashes.size();
    for (std::size_t i = 0; i < requests.size(); ++i) {
        std::vector<CrashCause> causes = requests[i];
        causes.push_back((1ULL << 40U) + 1000 * run + i);
        std::sort(causes.begin(), causes.end());
        recordCrash(evidence, run, {causes, sentBefore}, defaults, time);
    }
}

bool isBlocked(CrashEvidence &evidence, std::vector<CrashCause> causes, TimePoint now)
{
    evaluateCrashes(evidence, defaults, now);
    std::sort(causes.begin(), causes.end());
    return findBlocked(evidence, causes, defaults, now) != nullptr;
}

/** Crashes, 100 ms apart, in which requests with both parts were on each target; returns the time of the last one. */
TimePoint addCrashesOfBoth(CrashEvidence &evidence, int count = 3)
{
    for (int crash = 0; crash < count; ++crash) {
        addCrash(evidence, {{shared, bad}, {shared, otherBad}}, start + milliseconds(100) * crash);
    }
    const TimePoint last = start + milliseconds(100) * (count - 1);
    const std::vector<CrashCause> sound{shared, rare};
    recordSound(evidence, sound, last + milliseconds(1), defaults);
    return last;
}

/** A request with the part that is blocked although the other one explains all of these crashes. */
std::vector<CrashCause> doubtfulRequest(CrashEvidence &evidence, TimePoint now)
{
    evaluateCrashes(evidence, defaults, now);
    const auto doubtful = std::find_if(evidence.blocked.begin(), evidence.blocked.end(), [](const BlockedCauses &blocked) {
        return blocked.doubtful;
    });
    REQUIRE(doubtful != evidence.blocked.end());
    return {doubtful->causes.front(), shared};
}

} // namespace

// Guards against a verdict over parts that no single request has, which refuses nobody.
TEST_CASE("A blocked combination is one that each request with the cause had", "[crash]")
{
    struct Case
    {
        const char *what;
        Requests requests; //!< on each run that crashes
        std::vector<std::vector<CrashCause>> blocked; //!< requests
    };
    const std::vector<Case> cases{
        {"popular parts in different requests", {{shared, popular}, {shared, otherPopular}}, {{shared, popular, 50}, {shared, otherPopular, 50}}},
        {"one part beside popular ones", {{shared, popular}, {shared, otherPopular}, {shared, bad}}, {{shared, bad, 50}}},
        {"without a shared part", {{popular}, {popular, otherPopular}, {bad}}, {{bad, 50}, {popular, 50}}},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        CrashEvidence evidence;
        for (int crash = 0; crash < 3; ++crash) {
            addCrash(evidence, c.requests, start + seconds(crash));
        }
        for (const auto &causes : c.blocked) {
            CHECK(isBlocked(evidence, causes, start + milliseconds(2100)));
        }
        for (const BlockedCauses &blocked : evidence.blocked) {
            for (const auto &[run, record] : evidence.crashes) {
                CHECK(std::any_of(record.suspects.begin(), record.suspects.end(), [&blocked](const auto &suspect) {
                    return std::includes(suspect.first.begin(), suspect.first.end(), blocked.causes.begin(), blocked.causes.end());
                }));
            }
        }
    }
}

// Guards against a popular sound part that is blamed before the rare one because more of its requests stand on each target.
TEST_CASE("The cause whose presence is the least likely by chance is blamed first", "[crash]")
{
    CrashEvidence evidence;
    for (int crash = 0; crash < 6; ++crash) {
        // Requests with the popular part stand on all targets but one.
        const CrashCause usual = crash == 0 ? rare : popular;
        const CrashCause culprit = crash % 2 == 0 ? bad : otherBad;
        addCrash(evidence,
                 {{shared, usual}, {shared, usual}, {shared, usual}, {shared, 100U + crash}, {shared, 200U + crash}, {shared, culprit}},
                 start + seconds(crash));
    }
    evaluateCrashes(evidence, defaults, start + seconds(6));
    REQUIRE(evidence.blocked.size() >= 2);
    for (const CrashCause culprit : {bad, otherBad}) {
        CHECK(std::any_of(evidence.blocked.begin(), evidence.blocked.end(), [culprit](const BlockedCauses &blocked) {
            return !blocked.doubtful && std::binary_search(blocked.causes.begin(), blocked.causes.end(), culprit);
        }));
    }
}

// Guards against a queue that crashes one target after the other and counts once, because all of it was sent before the first crash.
TEST_CASE("Crashes apart in time count each, also if their requests were sent before the first one", "[crash]")
{
    struct Case
    {
        milliseconds apart;
        bool blocked;
    };
    for (const Case &c : {Case{milliseconds(1), false}, Case{milliseconds(9), false}, Case{milliseconds(50), true}, Case{milliseconds(500), true}}) {
        INFO(c.apart.count() << " ms apart");
        CrashEvidence evidence;
        for (int crash = 0; crash < 4; ++crash) {
            addCrash(evidence, {{bad}}, start + crash * c.apart, seconds(3));
        }
        CHECK(isBlocked(evidence, {bad, 50}, start + 3 * c.apart + milliseconds(100)) == c.blocked);
    }
}

// Guards against one crashing part that takes the crashes of another: its requests were let through (BUDGET).
TEST_CASE("Two parts that stand on the same targets as these crash are both refused", "[crash]")
{
    CrashEvidence evidence;
    const TimePoint last = addCrashesOfBoth(evidence);
    CHECK(isBlocked(evidence, {shared, bad, 50}, last + milliseconds(100)));
    CHECK(isBlocked(evidence, {shared, otherBad, 50}, last + milliseconds(100)));
    CHECK(!isBlocked(evidence, {shared, rare, 50}, last + milliseconds(100)));
    // Further crashes of one take nothing from the other.
    for (int crash = 1; crash <= 5; ++crash) {
        addCrash(evidence, {{shared, bad}}, last + seconds(crash));
        CHECK(isBlocked(evidence, {shared, otherBad, 50}, last + milliseconds(100)));
    }
}

// Guards against a sound part that stays blocked because nobody may show that it is sound, and against many tries of a crashing one.
TEST_CASE("A doubtful block is tried by one request at a time, less often after each crash", "[crash]")
{
    CrashEvidence evidence;
    TimePoint last = addCrashesOfBoth(evidence);
    const std::vector<CrashCause> request = doubtfulRequest(evidence, last);
    const TimePoint trial = last + defaults.doubtfulPause;
    CHECK(isBlocked(evidence, request, trial - milliseconds(1)));
    CHECK(!isBlocked(evidence, request, trial));
    CHECK(beginTrial(evidence, request, defaults, trial));
    CHECK(isBlocked(evidence, request, trial + milliseconds(900)));
    last = trial + seconds(1);

    SECTION("a complete response ends it")
    {
        recordSound(evidence, request, trial + milliseconds(100), defaults);
        CHECK(!isBlocked(evidence, request, last));
    }
    SECTION("a crash makes the next one wait longer")
    {
        endTrial(evidence, request, true, defaults, last);
        CHECK(isBlocked(evidence, request, last + milliseconds(1)));
        addCrash(evidence, {request}, last, milliseconds(100));
        CHECK(isBlocked(evidence, request, last + 8 * defaults.doubtfulPause - milliseconds(1)));
        CHECK(!isBlocked(evidence, request, last + defaults.probation));
    }
    SECTION("a trial that no target received leaves its turn to the next one")
    {
        CHECK(isBlocked(evidence, request, last));
        endTrial(evidence, request, false, defaults, last);
        CHECK(!isBlocked(evidence, request, last));
    }
}

// Guards against trials of a crashing part that come as fast as targets restart.
TEST_CASE("A block is tried later the more speaks for it", "[crash]")
{
    struct Case
    {
        const char *what;
        int crashes;
        bool doubtful;
        int failedTrials;
        Duration pause;
    };
    const std::vector<Case> cases{
        {"doubtful", 3, true, 0, defaults.doubtfulPause},
        {"doubtful, after a failed trial", 3, true, 1, 8 * defaults.doubtfulPause},
        {"undoubted, another one is as likely", 3, false, 0, defaults.contestedPause},
        {"the same after five crashes", 5, false, 0, defaults.probation},
    };
    for (const Case &c : cases) {
        INFO(c.what);
        CrashEvidence evidence;
        TimePoint last = addCrashesOfBoth(evidence, c.crashes);
        std::vector<CrashCause> request = doubtfulRequest(evidence, last);
        const CrashCause other = request.front() == bad ? otherBad : bad;
        if (!c.doubtful) {
            request.front() = other;
        }
        for (int trial = 0; trial < c.failedTrials; ++trial) {
            // The other one has more crashes, so that this one stays the doubtful one.
            for (int crash = 0; crash < 2; ++crash) {
                last += milliseconds(100);
                addCrash(evidence, {{shared, other}}, last);
            }
            last += seconds(1);
            addCrash(evidence, {request}, last, milliseconds(100));
        }
        CHECK(isBlocked(evidence, request, last + c.pause - milliseconds(1)));
        CHECK(!isBlocked(evidence, request, last + c.pause));
    }
}

// Guards against a queue of copies that is sent while two crashes speak against them (BUDGET).
TEST_CASE("A cause with two crashes is sent by one request at a time", "[crash]")
{
    CrashEvidence evidence;
    const std::vector<CrashCause> request{bad, shared};
    addCrash(evidence, {request}, start);
    CHECK(!isBlocked(evidence, request, start + milliseconds(1)));
    CHECK(!beginTrial(evidence, request, defaults, start + milliseconds(1)));
    addCrash(evidence, {request}, start + seconds(1));
    CHECK(!isBlocked(evidence, request, start + seconds(1)));
    CHECK(beginTrial(evidence, request, defaults, start + seconds(1)));
    CHECK(isBlocked(evidence, request, start + seconds(3)));
    CHECK(!isBlocked(evidence, {shared, rare}, start + seconds(3)));
    endTrial(evidence, request, true, defaults, start + seconds(3));
    CHECK(isBlocked(evidence, request, start + seconds(3)));
    CHECK(!isBlocked(evidence, request, start + seconds(3) + defaults.trialResultTime));
}

// Guards against a long block of a popular part that is blamed for the crashes of a rare one, and against trials of the rare one meanwhile.
TEST_CASE("A request is tried early only if the crashes would be explained without all of its causes", "[crash]")
{
    CrashEvidence evidence;
    for (int crash = 0; crash < 3; ++crash) {
        // The rare part has stood beside the popular one in each crash.
        addCrash(evidence, {{popular, 100U + crash}, {popular, rare}}, start + seconds(crash));
    }
    const TimePoint last = start + seconds(2);
    CHECK(isBlocked(evidence, {popular, 50}, last + milliseconds(100)));
    CHECK(!isBlocked(evidence, {popular, 50}, last + defaults.contestedPause));
    CHECK(isBlocked(evidence, {popular, rare, 50}, last + defaults.contestedPause));
    CHECK(isBlocked(evidence, {popular, rare, 50}, last + defaults.probation - milliseconds(1)));
    CHECK(!isBlocked(evidence, {popular, rare, 50}, last + defaults.probation));
}

// Guards against all entries trying a crashing part at once.
TEST_CASE("One entry after the other has its turn to try a blocked cause", "[crash]")
{
    for (const std::uint64_t entries : {1, 6, 100, 1000}) {
        std::vector<CrashEvidence> all(entries);
        std::vector<CrashCause> request;
        TimePoint due;
        for (std::uint64_t entry = 0; entry < entries; ++entry) {
            all[entry].self = entry * 1299709;
            for (std::uint64_t peer = 0; peer < entries; ++peer) {
                if (peer != entry) {
                    all[entry].peers.push_back(peer * 1299709);
                }
            }
            due = addCrashesOfBoth(all[entry]) + defaults.doubtfulPause;
            request = doubtfulRequest(all[entry], due);
        }
        const Duration time = std::min<Duration>(defaults.maxTrialTurn, defaults.trialTurn * entries);
        for (std::uint64_t turn = 0; turn < std::min<std::uint64_t>(entries, 5); ++turn) {
            const auto allowed = std::count_if(all.begin(), all.end(), [&](const CrashEvidence &entry) {
                return !findBlocked(entry, request, defaults, due + turn * time);
            });
            INFO(entries << " entries, turn " << turn);
            CHECK(allowed == static_cast<std::ptrdiff_t>(turn) + 1);
        }
    }
}

// Guards against sends of crashing parts later than the platform allows, with several of them, a part that all share, and long queues (BUDGET).
TEST_CASE("Several crashing parts at once are stopped three seconds after the third crash of each", "[crash][load]")
{
    struct Case
    {
        const char *what;
        CrashLoad load;
    };
    std::vector<Case> cases{
        {"two parts", {.targets = 12, .crashingPerSecond = 8, .culprits = 2, .slowness = 2}},
        {"two parts, one that all share", {.targets = 12, .crashingPerSecond = 8, .culprits = 2, .sharedPart = true, .slowness = 2}},
        {"queues", {.targets = 12, .crashingPerSecond = 10, .culprits = 2, .sharedPart = true, .slowness = 3}},
        {"rare", {.targets = 12, .crashingPerSecond = 2, .culprits = 2, .sharedPart = true, .slowness = 3}},
        {"three first parts", {.crashingPerSecond = 5, .culprits = 3, .crashingFirst = true, .sharedPart = true, .slowness = 2}},
        {"four targets", {.targets = 4, .entries = 3, .crashingPerSecond = 3, .culprits = 2, .sharedPart = true, .slowness = 2}},
        {"the same requests again", {.targets = 12, .crashingPerSecond = 8, .culprits = 2, .alike = true, .sharedPart = true, .slowness = 3}},
        {"sixty targets, 27 entries",
         {.targets = 60, .slots = 64, .entries = 27, .crashingPerSecond = 10, .culprits = 2, .sharedPart = true, .slowness = 2, .duration = seconds(20)}},
    };
    for (Case &c : cases) {
        for (std::uint64_t seed = 1; seed <= (c.load.entries < 20 ? 4U : 1U); ++seed) {
            c.load.seed = seed;
            const CrashOutcome outcome = CrashEvidenceRun(c.load).play();
            INFO(c.what << ", seed " << seed << ": at most " << outcome.mostCrashes << " crashes of a part, " << outcome.lateAfterThird << " late, "
                        << outcome.refusedLate << " sound requests refused at the end");
            CHECK(outcome.lateAfterThird <= 3);
            CHECK(outcome.refusedLate <= 5 + outcome.soundRequests / 500);
        }
    }
}
