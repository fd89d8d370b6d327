#include <request/admission.h>
#include <request/retrybudget.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace snipehill;

namespace
{

const TimePoint start = TimePoint{} + std::chrono::hours(1);

AdmissionRequest requestOf(std::uint64_t tokens)
{
    return {tokens, 0, seconds(30), PlacementCost{}};
}

/** Number of requests admitted in ten seconds if one is offered every ten milliseconds, round-robin over the entries. */
int admittedInTenSeconds(const Workspace &workspace, std::size_t entries)
{
    std::vector<Admission> states(entries);
    int admitted = 0;
    for (int i = 0; i < 1000; ++i) {
        Admission &state = states[static_cast<std::size_t>(i) % entries];
        const bool refused = admit(state, workspace, requestOf(100), static_cast<std::uint32_t>(entries), {}, start + milliseconds(10 * i)).has_value();
        admitted += refused ? 0 : 1;
    }
    return admitted;
}

} // namespace

TEST_CASE("A request that can't be served in time is refused at once", "[request]")
{
    struct Case
    {
        const char *name;
        std::optional<PlacementCost> forecast;
        Duration remaining;
        bool admitted;
    };
    PlacementCost longPrefill;
    longPrefill.prefill = seconds(8);
    PlacementCost longWait;
    longWait.wait = seconds(4);
    for (const Case &c : std::vector<Case>{
             {"idle target", PlacementCost{}, seconds(1), true},
             {"no target", std::nullopt, seconds(30), false},
             {"own long prompt", longPrefill, seconds(30), true},
             {"own long prompt, no time", longPrefill, seconds(7), false},
             {"long wait", longWait, seconds(30), false},
             {"deadline passed", PlacementCost{}, seconds(-1), false},
         }) {
        INFO(c.name);
        Admission admission;
        const auto refusal = admit(admission, Workspace{"w"}, {100, 10, c.remaining, c.forecast}, 1, {}, start);
        CHECK(refusal.has_value() != c.admitted);
        if (refusal) {
            CHECK(refusal->outcome == Outcome::NotRun);
            CHECK(refusal->status == 503);
            CHECK(refusal->reason.step == Step::Admit);
            CHECK(refusal->retryAfter.value_or(seconds(0)) >= seconds(1));
            CHECK(admission.workspaces["w"].running == 0);
        }
    }
}

TEST_CASE("Workspace limits hold across entries", "[request]")
{
    Workspace workspace{"w"};
    workspace.requestsPerSecond = 20;
    // Ten seconds at the limit, two seconds of burst, and one request for each entry due to rounding.
    for (const std::size_t entries : {1U, 2U, 5U, 10U}) {
        const int admitted = admittedInTenSeconds(workspace, entries);
        CHECK(admitted >= 200);
        CHECK(admitted <= 240 + static_cast<int>(entries));
    }
    workspace.requestsPerSecond = 0;
    workspace.tokensPerSecond = 2000;
    for (const std::size_t entries : {1U, 5U}) {
        const int admitted = admittedInTenSeconds(workspace, entries);
        CHECK(admitted >= 200);
        CHECK(admitted <= 240 + static_cast<int>(entries));
    }
}

TEST_CASE("A refusal due to a limit carries a retry delay", "[request]")
{
    Workspace workspace{"w"};
    workspace.tokensPerSecond = 100;
    Admission admission;
    CHECK_FALSE(admit(admission, workspace, requestOf(1000), 1, {}, start)); // larger than the bucket, which is empty
    const auto refusal = admit(admission, workspace, requestOf(100), 1, {}, start);
    REQUIRE(refusal);
    CHECK(refusal->status == 429);
    CHECK(refusal->retryAfter == seconds(9));
    CHECK_FALSE(admit(admission, workspace, requestOf(100), 1, {}, start + seconds(9)));
}

TEST_CASE("The pressure factor decreases above a workspace's fair share and increases below it", "[request]")
{
    struct Case
    {
        const char *name;
        int ownRequests;
        double ownWeight;
        int otherRequests; //!< of each of three other workspaces
        double least;
        double most;
    };
    const AdmissionSettings settings;
    for (const Case &c : {
             Case{"alone", 50, 1, 0, 1, 1},
             Case{"equal", 20, 1, 20, 1, 1},
             Case{"somewhat above", 35, 1, 20, 1, 1},
             Case{"far above", 200, 1, 10, 0.3, 0.31},
             Case{"far above, with the weight for it", 60, 6, 10, 1, 1},
             Case{"below", 5, 1, 20, 2, 3},
             Case{"new", 0, 1, 20, 3, 3},
         }) {
        INFO(c.name);
        Admission admission;
        Workspace own{"own", c.ownWeight};
        for (int i = 0; i < c.ownRequests; ++i) {
            admit(admission, own, requestOf(1000), 1, settings, start);
        }
        for (const char *name : {"a", "b", "c"}) {
            for (int i = 0; i < c.otherRequests; ++i) {
                admit(admission, Workspace{name}, requestOf(1000), 1, settings, start);
            }
        }
        const double factor = pressureFactor(admission, own, settings, start);
        CHECK(factor >= c.least);
        CHECK(factor <= c.most);
        // Usage long ago has no effect.
        if (c.otherRequests > 0) {
            CHECK(pressureFactor(admission, own, settings, start + std::chrono::minutes(10)) == settings.maxPressureFactor);
        }
    }
}

TEST_CASE("Under pressure only the workspace above its fair share is refused", "[request]")
{
    Admission admission;
    for (int i = 0; i < 200; ++i) {
        admit(admission, Workspace{"heavy"}, requestOf(1000), 1, {}, start);
    }
    for (const char *name : {"a", "b", "c"}) {
        admit(admission, Workspace{name}, requestOf(1000), 1, {}, start);
    }
    AdmissionRequest request = requestOf(1000);
    request.forecast->interference = milliseconds(900);
    CHECK_FALSE(admit(admission, Workspace{"a"}, request, 1, {}, start));
    const auto refusal = admit(admission, Workspace{"heavy"}, request, 1, {}, start);
    REQUIRE(refusal);
    CHECK(refusal->status == 503);
    CHECK(refusal->outcome == Outcome::NotRun);
}

TEST_CASE("Concurrent requests are counted until release()", "[request]")
{
    Workspace workspace{"w"};
    workspace.concurrentRequests = 2;
    Admission admission;
    CHECK_FALSE(admit(admission, workspace, requestOf(1), 1, {}, start));
    CHECK_FALSE(admit(admission, workspace, requestOf(1), 1, {}, start));
    CHECK(admit(admission, workspace, requestOf(1), 1, {}, start));
    release(admission, "w", 0);
    CHECK_FALSE(admit(admission, workspace, requestOf(1), 1, {}, start));
    release(admission, "unknown", 0);
}

TEST_CASE("The limit allocator splits a limit by demand", "[request]")
{
    LimitAllocator allocator;
    allocateShare(allocator, "w", "e1", 90, seconds(3), start);
    const double idle = allocateShare(allocator, "w", "e2", 0, seconds(3), start);
    const double second = allocateShare(allocator, "w", "e3", 10, seconds(3), start);
    const double first = allocateShare(allocator, "w", "e1", 90, seconds(3), start);
    CHECK(first + second + idle <= Approx(1).margin(0.06));
    CHECK(first > 0.8);
    CHECK(second > 0.1);
    // An entry whose report has expired gets no share.
    CHECK(allocateShare(allocator, "w", "e1", 90, seconds(3), start + seconds(4)) == Approx(1));

    Admission admission;
    Workspace workspace{"w"};
    workspace.requestsPerSecond = 10;
    CHECK_FALSE(admit(admission, workspace, requestOf(5), 10, {}, start));
    CHECK(takeDemand(admission, "w") == 5);
    CHECK(takeDemand(admission, "w") == 0);
    CHECK(admit(admission, workspace, requestOf(5), 10, {}, start + milliseconds(1)).has_value()
          == false); // an even share of one tenth, times two seconds of burst
    CHECK(admit(admission, workspace, requestOf(5), 10, {}, start + milliseconds(2)));
    applyShareGrant(admission, "w", 1, start + seconds(3));
    CHECK_FALSE(admit(admission, workspace, requestOf(5), 10, {}, start + milliseconds(3)));
    // The grant has expired, so the even share applies again.
    CHECK_FALSE(admit(admission, workspace, requestOf(5), 10, {}, start + seconds(4)));
}

TEST_CASE("Retries don't amplify an overload", "[request]")
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        recordFirstAttempt(budget);
        for (int attempt = 0; attempt < 3; ++attempt) {
            retries += takeRetry(budget) ? 1 : 0;
        }
    }
    CHECK(retries >= 100);
    CHECK(retries <= 104); // a tenth of the requests plus the initial credit
    for (int i = 0; i < 1000; ++i) {
        recordFirstAttempt(budget);
    }
    CHECK(budget.credit == Approx(10));
}
