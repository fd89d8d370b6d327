#pragma once

#include <core/time.h>

#include <functional>

namespace snipehill::support
{

/** Ends the wait of a failing test. A passing test is not measured by it. */
constexpr milliseconds defaultWaitTimeout{20000};

/** Polls the check until it returns true; false if the timeout passes first. */
bool waitUntil(const std::function<bool()> &check, milliseconds timeout = defaultWaitTimeout);

/** Blocks for the given time. For tests that depend on elapsed time, such as a pause longer than a lease; otherwise use waitUntil(). */
void sleepFor(milliseconds time);

} // namespace snipehill::support
