#include "leasesimulation.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace snipehill;
using namespace snipehill::test;

namespace
{

constexpr std::uint64_t leaseRuns = 10000;
constexpr std::uint64_t mutationRuns = 600;
constexpr std::uint64_t eraMutationRuns = 2000;

LeaseRecord claim(Offset replaces, Offset firstRetained, const char *holder = "a")
{
    LeaseRecord record;
    record.scope = "usage";
    record.holder = {holder, 1};
    record.replaces = replaces;
    record.firstRetained = firstRetained;
    record.duration = milliseconds(1000);
    return record;
}

LeaseRecord renewal(Offset replaces, Offset epoch, const char *holder = "a")
{
    LeaseRecord record = claim(replaces, 0, holder);
    record.action = LeaseAction::Renew;
    record.epoch = epoch;
    return record;
}

LeaseRecord withNonces(LeaseRecord record, std::uint64_t nonce, std::uint64_t replacesNonce = 0)
{
    record.nonce = nonce;
    record.replacesNonce = replacesNonce;
    return record;
}

LeaseRecord ofEra(LeaseRecord record, LogEra era)
{
    record.era = era;
    return record;
}

struct Applied
{
    Offset offset;
    LeaseRecord record;
    LeaseEffect effect;
};

} // namespace

TEST_CASE("a lease record has effect only if it replaces the latest effective one", "[lease]")
{
    struct Case
    {
        const char *name;
        Offset readFrom;
        std::vector<Applied> steps;
        Offset latest;
        bool certain;
    };
    using enum LeaseEffect;
    const std::vector<Case> cases{
        {"first claim", 0, {{0, claim(noOffset, 0), Effective}}, 0, true},
        {"second claim for none", 0, {{0, claim(noOffset, 0), Effective}, {1, claim(noOffset, 0, "b"), None}}, 0, true},
        {"claim of the latest", 0, {{0, claim(noOffset, 0), Effective}, {1, claim(0, 0, "b"), Effective}}, 1, true},
        {"claim of an old one", 0, {{0, claim(noOffset, 0), Effective}, {1, renewal(0, 0), Effective}, {2, claim(0, 0, "b"), None}}, 1, true},
        {"renewal after a claim", 0, {{0, claim(noOffset, 0), Effective}, {1, claim(0, 0, "b"), Effective}, {2, renewal(0, 0), None}}, 1, true},
        {"renewal of another's", 0, {{0, claim(noOffset, 0), Effective}, {1, renewal(0, 0, "b"), None}}, 0, true},
        {"expired record, reader knows it", 0, {{0, claim(noOffset, 0), Effective}, {9, claim(noOffset, 5, "b"), Effective}}, 9, true},
        {"expired record, claimant read it before", 0, {{4, claim(noOffset, 0), Effective}, {9, claim(noOffset, 4, "b"), None}}, 4, true},
        {"expired record, new reader", 5, {{9, claim(noOffset, 5, "b"), Effective}}, 9, true},
        {"new reader, effect unknown", 5, {{9, claim(noOffset, 4, "b"), Unknown}}, 9, false},
        {"new reader, replaced later", 5, {{9, renewal(3, 1), Unknown}, {12, renewal(9, 1), Effective}}, 12, true},
        {"new reader, superseded", 5, {{9, renewal(3, 1), Unknown}, {12, claim(noOffset, 10, "b"), Effective}}, 12, true},
        {"new reader, undecided claim in between",
         5,
         {{9, renewal(3, 1), Unknown}, {10, claim(noOffset, 8, "b"), Unknown}, {12, renewal(9, 1), Effective}},
         12,
         true},
        {"late record of an earlier era that means another record at the offset",
         0,
         {{4, withNonces(claim(noOffset, 0), 1), Effective}, {5, withNonces(claim(4, 0, "b"), 3, 2), None}},
         4,
         true},
        {"new reader, the same",
         5,
         {{6, withNonces(claim(4, 0), 1), Unknown}, {7, withNonces(claim(6, 0, "b"), 3, 2), None}, {8, withNonces(claim(6, 0, "c"), 4, 1), Effective}},
         8,
         true},
        {"new reader, undecided duplicate", 5, {{8, renewal(3, 1), Unknown}, {9, renewal(3, 1), Unknown}, {12, claim(8, 5, "b"), Effective}}, 12, true},
    };
    for (const Case &c : cases) {
        INFO(c.name);
        LeaseTable table = startLeaseTable(c.readFrom);
        for (const Applied &step : c.steps) {
            INFO("offset " << step.offset);
            REQUIRE(applyLeaseRecord(table, step.offset, step.record) == step.effect);
        }
        REQUIRE(table.scopes.at("usage").latest == c.latest);
        REQUIRE(table.scopes.at("usage").certain == c.certain);
    }
}

TEST_CASE("a released lease can be claimed immediately", "[lease]")
{
    LeaseTable table = startLeaseTable(0);
    REQUIRE(applyLeaseRecord(table, 0, claim(noOffset, 0)) == LeaseEffect::Effective);
    LeaseRecord release = renewal(0, 0);
    release.action = LeaseAction::Release;
    REQUIRE(applyLeaseRecord(table, 1, release) == LeaseEffect::Effective);
    REQUIRE(applyLeaseRecord(table, 2, renewal(1, 0)) == LeaseEffect::None);
    LeaseStateMachine candidate("usage", {"b", 1}, {});
    const TimePoint now(seconds(50));
    candidate.onRecord(table, LeaseEffect::Effective, release, now);
    candidate.onCaughtUp(table, now);
    REQUIRE(candidate.nextRecord(table, now, 1));
}

TEST_CASE("a candidate waits until the lease has expired and a holder counts its validity from the send time", "[lease]")
{
    const LeaseSettings settings{.duration = milliseconds(6000), .margin = milliseconds(1000)};
    LeaseTable table = startLeaseTable(0);
    const LeaseRecord other = claim(noOffset, 0);
    LeaseStateMachine holder("usage", {"b", 1}, settings);
    const TimePoint start(seconds(50));
    REQUIRE(holder.phase() == LeasePhase::Unread);
    holder.onRecord(table, applyLeaseRecord(table, 0, other), other, start);
    REQUIRE_FALSE(holder.nextRecord(table, start + seconds(60), 1));
    holder.onCaughtUp(table, start);
    REQUIRE(holder.phase() == LeasePhase::Waiting);
    REQUIRE_FALSE(holder.nextRecord(table, start + milliseconds(1999), 1));
    const TimePoint sent = start + milliseconds(2000);
    const auto record = holder.nextRecord(table, sent, 7);
    REQUIRE(record);
    REQUIRE(record->replaces == 0);
    REQUIRE(holder.phase() == LeasePhase::Claiming);
    REQUIRE_FALSE(holder.mayCall(sent, milliseconds(0)));
    const TimePoint received = sent + milliseconds(900);
    holder.onRecord(table, applyLeaseRecord(table, 1, *record), *record, received);
    REQUIRE(holder.phase() == LeasePhase::Holding);
    REQUIRE(holder.epoch() == 1);
    REQUIRE(holder.validUntil() == sent + milliseconds(5000));
    REQUIRE(holder.mayCall(received, milliseconds(4100)));
    REQUIRE_FALSE(holder.mayCall(received, milliseconds(4101)));
}

TEST_CASE("lease records round-trip through JSON", "[lease]")
{
    LeaseRecord record = renewal(41, 17);
    record.nonce = ~0ULL;
    Reason reason;
    const auto parsed = parseLeaseRecord(toJson(record), reason);
    REQUIRE(parsed);
    REQUIRE(toJson(*parsed) == toJson(record));
    for (const char *field : {"kind", "scope", "holder", "incarnation", "nonce", "epoch", "replaces", "firstRetained", "durationMs"}) {
        INFO(field);
        Json::Value broken = toJson(record);
        broken.removeMember(field);
        REQUIRE_FALSE(parseLeaseRecord(broken, reason));
        broken[field] = Json::Value(Json::arrayValue);
        REQUIRE_FALSE(parseLeaseRecord(broken, reason));
    }
    REQUIRE_FALSE(parseLeaseRecord(Json::Value(3), reason));
}

// Guards against a rolling upgrade or an older log whose records can't be read, and against a token that wraps.
TEST_CASE("lease records of logs that tell no era are read, and an epoch out of range is rejected", "[lease][era]")
{
    LeaseRecord record = ofEra(renewal(41, *leaseToken(3, 17)), 3);
    record.replacesNonce = 5;
    Reason reason;
    const Json::Value encoded = toJson(record);
    REQUIRE(encoded["epoch"].asInt64() == 17);
    const auto parsed = parseLeaseRecord(encoded, reason);
    REQUIRE(parsed);
    REQUIRE(parsed->era == 3);
    REQUIRE(parsed->epoch == record.epoch);
    REQUIRE(parsed->replacesNonce == 5);
    for (const char *field : {"era", "replacesNonce"}) {
        INFO(field);
        Json::Value changed = encoded;
        changed.removeMember(field);
        REQUIRE(parseLeaseRecord(changed, reason));
        changed[field] = "3";
        REQUIRE_FALSE(parseLeaseRecord(changed, reason));
    }
    Json::Value tooHigh = encoded;
    tooHigh["era"] = Json::UInt64(1ULL << 31U);
    REQUIRE_FALSE(parseLeaseRecord(tooHigh, reason));
}

// Guards against tokens that fall when the era rises, and against ones that wrap.
TEST_CASE("a fencing token rises with the era and never wraps", "[lease][era]")
{
    struct Case
    {
        const char *name;
        LogEra era;
        Offset offset;
        std::optional<Offset> token;
    };
    constexpr Offset maxOffset = (1LL << 32) - 1;
    constexpr LogEra maxEra = (1ULL << 31) - 1;
    for (const Case &c : {Case{"the offset in era 0", 0, 41, 41},
                          {"first of an era", 1, 0, 1LL << 32},
                          {"last of an era", 1, maxOffset, (1LL << 33) - 1},
                          {"offset too large", 1, maxOffset + 1, std::nullopt},
                          {"largest of all", maxEra, maxOffset, std::numeric_limits<Offset>::max()},
                          {"era too large", maxEra + 1, 0, std::nullopt}}) {
        INFO(c.name);
        REQUIRE(leaseToken(c.era, c.offset) == c.token);
        LeaseTable table = startLeaseTable(c.offset, c.era);
        REQUIRE(canIssueToken(table) == c.token.has_value());
        LeaseStateMachine machine("usage", {"a", 1}, {});
        machine.onEra(c.era, TimePoint{});
        machine.onCaughtUp(table, TimePoint(seconds(50)));
        REQUIRE(machine.nextRecord(table, TimePoint(seconds(50)), 1).has_value() == c.token.has_value());
        const auto effect = applyLeaseRecord(table, c.offset, ofEra(claim(noOffset, c.offset), c.era));
        REQUIRE(effect == (c.token ? LeaseEffect::Effective : LeaseEffect::None));
    }
}

// Guards against no holder, or two, for a lease after each rise: the process whose lease is still valid goes on, all others wait.
TEST_CASE("only a process with a valid lease claims at once in a new era", "[lease][era]")
{
    const LeaseSettings settings{.duration = milliseconds(6000), .margin = milliseconds(1000)};
    const TimePoint start(seconds(50));
    struct Case
    {
        const char *name;
        milliseconds riseAfter; //!< after the send of the renewal in the earlier era
        milliseconds claimAfter; //!< after the rise
    };
    for (const Case &c : {Case{"valid", milliseconds(4000), milliseconds(0)}, {"lapsed", milliseconds(5001), milliseconds(7000)}}) {
        INFO(c.name);
        LeaseStateMachine machine("usage", {"a", 1}, settings);
        LeaseTable table = startLeaseTable(0, 1);
        machine.onEra(1, start - seconds(20));
        machine.onCaughtUp(table, start);
        const auto first = machine.nextRecord(table, start, 7);
        REQUIRE(first);
        machine.onRecord(table, applyLeaseRecord(table, 0, *first), *first, start + milliseconds(10));
        const auto hold = machine.hold(start + milliseconds(10), milliseconds(800));
        REQUIRE(hold);
        REQUIRE(hold->token == leaseToken(1, 0));
        REQUIRE(hold->since == start);
        const TimePoint rise = start + c.riseAfter;
        REQUIRE(machine.mayCall(rise - milliseconds(10), milliseconds(800)) == (c.claimAfter == milliseconds(0)));

        table = startLeaseTable(0, 2);
        machine.onEra(2, rise);
        machine.onRecord(table, applyLeaseRecord(table, 0, *first), *first, rise);
        machine.onCaughtUp(table, rise);
        if (c.claimAfter > milliseconds(0)) {
            REQUIRE_FALSE(machine.nextRecord(table, rise + c.claimAfter - milliseconds(1), 8));
        } else {
            REQUIRE(machine.hold(rise, milliseconds(0))->token == leaseToken(1, 0));
        }
        const TimePoint sent = rise + c.claimAfter;
        const auto second = machine.nextRecord(table, sent, 8);
        REQUIRE(second);
        REQUIRE(second->action == LeaseAction::Claim);
        REQUIRE(second->replaces == 0);
        const TimePoint received = sent + milliseconds(20);
        machine.onRecord(table, applyLeaseRecord(table, 5, *second), *second, received);
        const TimePoint callable = c.claimAfter == milliseconds(0) ? rise - milliseconds(10) + milliseconds(800) : received;
        // A call under the token before may still arrive until then.
        REQUIRE((callable == received || !machine.hold(callable - milliseconds(1), milliseconds(0))));
        const auto next = machine.hold(callable, milliseconds(0));
        REQUIRE(next);
        REQUIRE(next->token == leaseToken(2, 5));
        REQUIRE(next->eraKnownSince == rise);
        REQUIRE((next->tenure == hold->tenure) == (c.claimAfter == milliseconds(0)));
        REQUIRE(next->since == (c.claimAfter == milliseconds(0) ? start : sent));
    }
}

// Guards against A, B, A within one lease when B releases the lease at once.
TEST_CASE("a former holder does not return before the end of a lease duration", "[lease][era]")
{
    const LeaseSettings settings{.duration = milliseconds(6000), .margin = milliseconds(1000)};
    const TimePoint start(seconds(50));
    LeaseStateMachine machine("usage", {"a", 1}, settings);
    LeaseTable table = startLeaseTable(0);
    machine.onCaughtUp(table, start);
    const auto own = machine.nextRecord(table, start, 7);
    REQUIRE(own);
    machine.onRecord(table, applyLeaseRecord(table, 0, *own), *own, start);
    const TimePoint later = start + milliseconds(7500);
    const LeaseRecord other = claim(0, 0, "b");
    machine.onRecord(table, applyLeaseRecord(table, 1, other), other, later);
    LeaseRecord release = renewal(1, 1, "b");
    release.action = LeaseAction::Release;
    machine.onRecord(table, applyLeaseRecord(table, 2, release), release, later);
    const TimePoint validUntil = start + milliseconds(5000);
    REQUIRE_FALSE(machine.nextRecord(table, validUntil + milliseconds(5999), 8));
    REQUIRE(machine.nextRecord(table, validUntil + milliseconds(6000), 8));
}

TEST_CASE("never two valid leases, never a call outside a valid lease, in any interleaving", "[lease][lost-authority][platform-orders]")
{
    std::size_t validPeriods = 0;
    std::size_t callArrivals = 0;
    std::size_t faults = 0;
    for (const std::uint64_t seed : seedsToRun(leaseRuns)) {
        const LeaseRunHistory history = simulateLease(seed, LeaseMutation::None);
        std::vector<std::string> violations = checkLease(history);
        const auto tokenViolations = checkTokens(history);
        violations.insert(violations.end(), tokenViolations.begin(), tokenViolations.end());
        if (!violations.empty()) {
            FAIL("SNIPEHILL_SEED=" << seed << ": " << violations.front());
        }
        validPeriods += history.validPeriods.size();
        callArrivals += history.callArrivals.size();
        faults += history.faults;
    }
    // Without valid periods and calls the checker would have nothing to check.
    CHECK(validPeriods > 0);
    CHECK(callArrivals > 0);
    WARN("lease: valid periods " << validPeriods << ", calls " << callArrivals << ", faults " << faults);
}

// Guards against two holders, or one holder's token at another, after the log has forgotten its latest records.
TEST_CASE("one holder and rising tokens when the log comes back from an older copy", "[lease][era]")
{
    std::size_t failed = 0;
    std::size_t copies = 0;
    std::size_t releases = 0;
    std::size_t continued = 0;
    std::size_t callArrivals = 0;
    std::string first;
    const std::vector<std::uint64_t> seeds = seedsToRun(leaseRuns);
    for (const std::uint64_t seed : seeds) {
        const LeaseRunHistory history = simulateLease(seed, LeaseMutation::None, LeaseLogKind::Copied);
        std::vector<std::string> violations = checkLease(history);
        const auto tokenViolations = checkTokens(history);
        violations.insert(violations.end(), tokenViolations.begin(), tokenViolations.end());
        if (!violations.empty()) {
            first = failed == 0 ? "SNIPEHILL_SEED=" + std::to_string(seed) + ": " + violations.front() : first;
            ++failed;
        }
        copies += history.copies;
        releases += history.releases;
        continued += history.continued;
        callArrivals += history.callArrivals.size();
    }
    WARN("lease: calls " << callArrivals << ", returns from an older copy " << copies << ", leases continued " << continued << ", releases " << releases);
    INFO(first);
    INFO(failed << " of " << seeds.size() << " seeds");
    CHECK(callArrivals > 0);
    CHECK(continued > 0);
    CHECK(failed == 0);
}

TEST_CASE("the lease checker detects each omitted rule", "[lease]")
{
    struct Case
    {
        const char *name;
        LeaseMutation mutation;
    };
    for (const Case &c : {Case{"validity from receipt", LeaseMutation::ValidityFromReceipt},
                          {"no claim delay", LeaseMutation::NoClaimDelay},
                          {"any claim has effect", LeaseMutation::AnyClaimHasEffect},
                          {"no margin", LeaseMutation::NoMargin},
                          {"no call timeout", LeaseMutation::NoCallTimeout},
                          {"no check before send", LeaseMutation::NoCheckBeforeSend}}) {
        INFO(c.name);
        std::size_t flagged = 0;
        for (std::uint64_t seed = 1; seed <= mutationRuns; ++seed) {
            flagged += checkLease(simulateLease(seed, c.mutation)).empty() ? 0 : 1;
        }
        CHECK(flagged > 0);
        WARN(c.name << ": flagged in " << flagged << " of " << mutationRuns << " runs");
    }
}

// Guards against rules for eras, tokens and tenures that the simulation does not put to the test.
TEST_CASE("the lease checkers detect each rule omitted with a log that comes back from an older copy", "[lease][era]")
{
    struct Case
    {
        const char *name;
        LeaseMutation mutation;
    };
    for (const Case &c : {Case{"same table in a new era", LeaseMutation::SameTableInNewEra},
                          {"page of an earlier era", LeaseMutation::PageOfEarlierEra},
                          {"an earlier record holds", LeaseMutation::EarlierRecordHolds},
                          {"no wait after a rise", LeaseMutation::NoWaitAfterRise},
                          {"no wait after a start", LeaseMutation::NoWaitAfterStart},
                          {"former holder claims", LeaseMutation::FormerHolderClaims},
                          {"token without era", LeaseMutation::TokenWithoutEra},
                          {"token changes in a call", LeaseMutation::TokenChangesInCall},
                          {"quick return", LeaseMutation::QuickReturn},
                          {"replaces by offset", LeaseMutation::ReplacesByOffset},
                          {"one tenure", LeaseMutation::OneTenure}}) {
        INFO(c.name);
        std::size_t flagged = 0;
        for (std::uint64_t seed = 1; seed <= eraMutationRuns; ++seed) {
            const LeaseRunHistory history = simulateLease(seed, c.mutation, LeaseLogKind::Copied);
            flagged += checkLease(history).empty() && checkTokens(history).empty() ? 0 : 1;
        }
        CHECK(flagged > 0);
        WARN(c.name << ": flagged in " << flagged << " of " << eraMutationRuns << " runs");
    }
}
