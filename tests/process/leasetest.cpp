#include "leasesimulation.h"

#include <catch2/catch.hpp>

using namespace snipehill;
using namespace snipehill::test;

namespace
{

constexpr std::uint64_t leaseRuns = 10000;
constexpr std::uint64_t mutationRuns = 600;

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

TEST_CASE("never two valid leases, never a call outside a valid lease, in any interleaving", "[lease][lost-authority][platform-orders]")
{
    std::size_t validPeriods = 0;
    std::size_t callArrivals = 0;
    std::size_t faults = 0;
    for (const std::uint64_t seed : seedsToRun(leaseRuns)) {
        const LeaseRunHistory history = simulateLease(seed, LeaseMutation::None);
        const auto violations = checkLease(history);
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
        callArrivals += history.callArrivals.size();
    }
    WARN("lease: calls " << callArrivals << ", returns from an older copy " << copies << ", releases " << releases);
    INFO(first);
    INFO(failed << " of " << seeds.size() << " seeds");
    CHECK(callArrivals > 0);
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
