#include <serving/src/directexchange.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace snipehill;

// Guards against taking the end of the caller's time for a failure of the target, and against missing real failures.
TEST_CASE("A time limit is a failure of the target only after a long silence", "[directexchange]")
{
    struct Case
    {
        SendResult result;
        ConnectionResult connection;
        milliseconds silence;
        bool failure;
    };
    const std::vector<Case> cases{
        {SendResult::OutcomeUnknown, ConnectionResult::TimedOut, milliseconds(30), false},
        {SendResult::OutcomeUnknown, ConnectionResult::TimedOut, milliseconds(900), false},
        {SendResult::OutcomeUnknown, ConnectionResult::TimedOut, milliseconds(1100), true},
        {SendResult::OutcomeUnknown, ConnectionResult::Broken, milliseconds(0), true},
        {SendResult::OutcomeUnknown, ConnectionResult::Success, milliseconds(0), true},
        {SendResult::OutcomeUnknown, ConnectionResult::Aborted, seconds(5), false},
        {SendResult::NotSent, ConnectionResult::TimedOut, milliseconds(1), false},
        {SendResult::NotSent, ConnectionResult::TimedOut, milliseconds(401), true},
        {SendResult::NotSent, ConnectionResult::Broken, milliseconds(1), true},
        {SendResult::NotSent, ConnectionResult::Aborted, milliseconds(1), false},
    };
    for (const Case &c : cases) {
        INFO(static_cast<int>(c.result) << " " << static_cast<int>(c.connection) << " after " << c.silence.count() << " ms");
        CHECK(isTargetFailure(c.result, c.connection, c.silence) == c.failure);
    }
}

// Guards against waits that end just before the deadline, when a retry still seems possible.
TEST_CASE("A wait until the deadline does not end before it", "[directexchange]")
{
    const TimePoint now(seconds(1000));
    struct Case
    {
        Duration left;
        milliseconds wait;
    };
    using std::chrono::microseconds;
    const std::vector<Case> cases{
        {milliseconds(250), milliseconds(250)},
        {microseconds(249001), milliseconds(250)},
        {microseconds(249999), milliseconds(250)},
        {microseconds(1), milliseconds(1)},
        {Duration::zero(), milliseconds(1)},
        {-seconds(3), milliseconds(1)},
    };
    for (const Case &c : cases) {
        INFO(std::chrono::duration_cast<microseconds>(c.left).count() << " us left");
        CHECK(timeUntil(now + c.left, now) == c.wait);
    }
}
