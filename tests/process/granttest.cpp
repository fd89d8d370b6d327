#include "grantsimulation.h"

#include <catch2/catch.hpp>

using namespace snipehill;
using namespace snipehill::test;

namespace
{

constexpr std::uint64_t grantRuns = 10000;
constexpr std::uint64_t mutationRuns = 1000;
const GrantSettings settings{.duration = milliseconds(2000), .orderTimeout = milliseconds(500), .maxRememberedOrders = 2};
const TimePoint start(seconds(100));
const Incarnation holderA{"entry-a", 1};
const Incarnation holderB{"entry-b", 1};

/** State of a sidecar that may issue grants immediately. */
GrantState readyState()
{
    GrantState state = initialGrantState(start - seconds(10), settings);
    state.fencingTokenKnown = true;
    observeEngineState(state, {}, start);
    return state;
}

EngineOrder orderUnder(std::uint64_t grant, const char *id)
{
    EngineOrder order;
    order.orderId = id;
    order.grant = grant;
    return order;
}

} // namespace

TEST_CASE("a restarted sidecar issues grants only after the delay, with fencing token and engine state known", "[grant]")
{
    struct Case
    {
        const char *name;
        milliseconds after;
        bool fencingTokenKnown;
        bool engineStateKnown;
        Offset engineFencingToken;
        bool granted;
    };
    for (const Case &c : {Case{"all known", milliseconds(2000), true, true, 5, true},
                          {"too early", milliseconds(1999), true, true, 5, false},
                          {"fencing token not known", milliseconds(2000), false, true, 5, false},
                          {"engine state not known", milliseconds(2000), true, false, 5, false},
                          {"engine saw a higher fencing token", milliseconds(2000), true, true, 6, false}}) {
        INFO(c.name);
        GrantState state = initialGrantState(start, settings);
        state.fencingTokenKnown = c.fencingTokenKnown;
        if (c.engineStateKnown) {
            observeEngineState(state, {.lastFence = c.engineFencingToken}, start + seconds(2));
        }
        Reason reason;
        REQUIRE(requestGrant(state, holderA, 5, 1, start + c.after, settings, reason).has_value() == c.granted);
    }
}

TEST_CASE("an engine state read too early or during a change does not count", "[grant]")
{
    GrantState state = initialGrantState(start, settings);
    observeEngineState(state, {}, start + milliseconds(1999));
    REQUIRE_FALSE(state.engineStateKnown);
    observeEngineState(state, {.changing = true}, start + seconds(3));
    REQUIRE_FALSE(state.engineStateKnown);
    observeEngineState(state, {}, start + seconds(3));
    REQUIRE(state.engineStateKnown);
}

TEST_CASE("another holder gets its grant once the current grant has expired", "[grant]")
{
    GrantState state = readyState();
    Reason reason;
    const auto first = requestGrant(state, holderA, 5, 1, start, settings, reason);
    REQUIRE(first);
    REQUIRE(renewGrant(state, 1, start + seconds(1), settings, reason));
    REQUIRE_FALSE(requestGrant(state, holderB, 8, 2, start + seconds(2), settings, reason));
    // The higher fencing token was seen: no more renewals, but the current grant stays valid until it expires.
    REQUIRE_FALSE(renewGrant(state, 1, start + seconds(2), settings, reason));
    REQUIRE(isGrantValid(state, 1, start + milliseconds(2999)));
    REQUIRE_FALSE(requestGrant(state, holderB, 8, 2, start + milliseconds(2999), settings, reason));
    REQUIRE(requestGrant(state, holderB, 8, 2, start + seconds(3), settings, reason));
    REQUIRE_FALSE(requestGrant(state, holderA, 5, 3, start + seconds(60), settings, reason));
}

TEST_CASE("orders run only under the grant that they name, one at a time", "[grant][engine-orders]")
{
    GrantState state = readyState();
    Reason reason;
    REQUIRE(requestGrant(state, holderA, 5, 1, start, settings, reason));
    REQUIRE_FALSE(acceptOrder(state, orderUnder(9, "other"), start, settings, reason));
    const auto first = acceptOrder(state, orderUnder(1, "first"), start, settings, reason);
    REQUIRE(first);
    REQUIRE(first->run);
    REQUIRE_FALSE(acceptOrder(state, orderUnder(1, "second"), start, settings, reason));
    REQUIRE_FALSE(acceptOrder(state, orderUnder(1, "first"), start, settings, reason)->run);
    updateOrder(state, "first", OrderState::Failed, "refused");
    const auto repeated = acceptOrder(state, orderUnder(77, "first"), start + seconds(50), settings, reason);
    REQUIRE(repeated);
    REQUIRE_FALSE(repeated->run);
    REQUIRE(repeated->progress.detail == "refused");
    REQUIRE_FALSE(acceptOrder(state, orderUnder(1, "late"), start + seconds(2), settings, reason));
}

TEST_CASE("an order that has not ended blocks other holders even after its grant has expired", "[grant][engine-orders]")
{
    GrantState state = readyState();
    Reason reason;
    REQUIRE(requestGrant(state, holderA, 5, 1, start, settings, reason));
    REQUIRE(acceptOrder(state, orderUnder(1, "first"), start, settings, reason));
    updateOrder(state, "first", OrderState::Unknown, "");
    REQUIRE_FALSE(requestGrant(state, holderB, 8, 2, start + seconds(60), settings, reason));
    clearUnknownOrder(state);
    REQUIRE(requestGrant(state, holderB, 8, 2, start + seconds(60), settings, reason));
}

TEST_CASE("an engine order goes through its states", "[grant][role-change]")
{
    using Event = void (*)(EngineOrderMachine &);
    const Event idle = [](EngineOrderMachine &change) {
        change.onIdle();
    };
    const Event drainTimedOut = [](EngineOrderMachine &change) {
        change.onDrainTimeout();
    };
    const Event expired = [](EngineOrderMachine &change) {
        change.onGrantExpired();
    };
    const Event accepted = [](EngineOrderMachine &change) {
        change.onAccepted();
    };
    const Event refused = [](EngineOrderMachine &change) {
        change.onRefused("old");
    };
    const Event noResponse = [](EngineOrderMachine &change) {
        change.onNoResponse();
    };
    const Event confirmTimedOut = [](EngineOrderMachine &change) {
        change.onConfirmTimeout();
    };
    const Event changing = [](EngineOrderMachine &change) {
        change.onEngineState({.changing = true, .lastOrderId = "x"}, true);
    };
    const Event orderInEffect = [](EngineOrderMachine &change) {
        change.onEngineState({.lastOrderId = "x"}, false);
    };
    const Event otherInFlight = [](EngineOrderMachine &change) {
        change.onEngineState({.lastOrderId = "y"}, false);
    };
    const Event other = [](EngineOrderMachine &change) {
        change.onEngineState({.lastOrderId = ""}, true);
    };
    struct Case
    {
        const char *name;
        std::vector<Event> events;
        OrderState state;
        OrderStep step;
    };
    for (const Case &c :
         std::vector<Case>{{"starts to drain", {}, OrderState::Draining, OrderStep::Drain},
                           {"drained", {idle}, OrderState::Sending, OrderStep::Send},
                           {"drain timeout", {drainTimedOut}, OrderState::Failed, OrderStep::Finish},
                           {"grant expired while draining", {expired, idle}, OrderState::Failed, OrderStep::Finish},
                           {"grant expired before sending", {idle, expired}, OrderState::Failed, OrderStep::Finish},
                           {"expiry ignored after sending", {idle, accepted, expired}, OrderState::Confirming, OrderStep::QueryState},
                           {"refused", {idle, refused}, OrderState::Failed, OrderStep::Finish},
                           {"engine is changing", {idle, accepted, changing}, OrderState::Confirming, OrderStep::QueryState},
                           {"done", {idle, accepted, changing, orderInEffect}, OrderState::Done, OrderStep::Finish},
                           {"engine crashed during the change", {idle, accepted, changing, other}, OrderState::Failed, OrderStep::Finish},
                           {"response lost, order in effect", {idle, noResponse, orderInEffect}, OrderState::Done, OrderStep::Finish},
                           {"response lost, order may be in flight", {idle, noResponse, otherInFlight}, OrderState::Confirming, OrderStep::QueryState},
                           {"response lost, order not received", {idle, noResponse, other}, OrderState::Failed, OrderStep::Finish},
                           {"engine unreachable", {idle, noResponse, confirmTimedOut}, OrderState::Unknown, OrderStep::Finish},
                           {"final state is kept", {idle, refused, accepted, orderInEffect}, OrderState::Failed, OrderStep::Finish}}) {
        INFO(c.name);
        EngineOrderMachine change("x");
        for (const Event &event : c.events) {
            event(change);
        }
        REQUIRE(change.state() == c.state);
        REQUIRE(change.step() == c.step);
    }
}

TEST_CASE("an engine gets no conflicting order and none without a valid grant, in any interleaving", "[grant][engine-orders][lost-authority]")
{
    std::size_t arrivals = 0;
    std::size_t refused = 0;
    std::size_t faults = 0;
    for (const std::uint64_t seed : seedsToRun(grantRuns)) {
        const GrantRunHistory history = simulateGrants(seed, GrantMutation::None);
        const auto violations = checkGrants(history);
        if (!violations.empty()) {
            FAIL("SNIPEHILL_SEED=" << seed << ": " << violations.front());
        }
        arrivals += history.arrivals.size();
        refused += history.refused;
        faults += history.faults;
    }
    CHECK(arrivals > 0);
    CHECK(refused > 0);
    WARN("grants: orders " << arrivals << ", refused " << refused << ", faults " << faults);
}

TEST_CASE("the grant checker detects each omitted rule", "[grant]")
{
    struct Case
    {
        const char *name;
        GrantMutation mutation;
    };
    for (const Case &c : {Case{"any grant", GrantMutation::AnyGrant},
                          {"no delay after restart", GrantMutation::NoDelayAfterRestart},
                          {"no token lookup", GrantMutation::NoTokenLookup},
                          {"higher token preempts", GrantMutation::HigherTokenPreempts},
                          {"concurrent orders", GrantMutation::ConcurrentOrders},
                          {"no check before send", GrantMutation::NoCheckBeforeSend}}) {
        INFO(c.name);
        std::size_t flagged = 0;
        for (std::uint64_t seed = 1; seed <= mutationRuns; ++seed) {
            flagged += checkGrants(simulateGrants(seed, c.mutation)).empty() ? 0 : 1;
        }
        CHECK(flagged > 0);
        WARN(c.name << ": flagged in " << flagged << " of " << mutationRuns << " runs");
    }
}
