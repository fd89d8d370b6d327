#include <request/promptadmission.h>
#include <request/promptplacement.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace snipehill;

TEST_CASE("The abandon timeout is two seconds, four goals or eight gap goals, whichever is longest", "[admission]")
{
    struct Case
    {
        milliseconds latencyGoal;
        milliseconds gap;
        milliseconds abandonTimeout;
    };
    const std::vector<Case> cases{{milliseconds(250), milliseconds(200), milliseconds(2000)},
                                  {milliseconds(600), milliseconds(200), milliseconds(2400)},
                                  {milliseconds(250), milliseconds(400), milliseconds(3200)}};
    for (const Case &c : cases) {
        CHECK(abandonTimeoutOf({.latencyGoal = c.latencyGoal, .eventGapGoal = c.gap}, {}) == c.abandonTimeout);
    }
}

TEST_CASE("Bounds depend on goal, abandon timeout, prompt size and remaining time", "[admission]")
{
    const RouteRule route{.latencyGoal = milliseconds(600)};
    const PromptAdmissionSettings settings;
    const PromptBounds small = boundsFor(route, shortPromptTokens, seconds(8), settings);
    const PromptBounds large = boundsFor(route, shortPromptTokens + 1, seconds(8), settings);
    CHECK(small.latestFirstToken == large.latestFirstToken);
    CHECK(small.maxWait > large.maxWait);
    CHECK(boundsFor(route, 100, seconds(1), settings).latestFirstToken < seconds(1));
}

TEST_CASE("The retry delay is the time until the bounds are met, with a minimum", "[admission]")
{
    const PromptBounds bounds{.latestFirstToken = seconds(2), .maxWait = milliseconds(300)};
    const PromptAdmissionSettings settings;
    CHECK(retryAfterFor(milliseconds(900), milliseconds(800), bounds, settings) == milliseconds(500));
    CHECK(retryAfterFor(milliseconds(3000), milliseconds(310), bounds, settings) == seconds(1));
    CHECK(retryAfterFor(milliseconds(2001), milliseconds(301), bounds, settings) == settings.minRetryAfter);
}
