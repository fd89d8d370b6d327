#pragma once

#include <core/time.h>

#include <functional>

namespace snipehill::support
{

/** Upper bound of a wait; never the measure of a pass. */
constexpr milliseconds defaultWaitTimeout{20000};

/** Repeats the check until it holds; false when the bound passed first. */
bool waitUntil(const std::function<bool()> &check, milliseconds timeout = defaultWaitTimeout);

/** Lets the given time pass, where a test needs time itself, such as a pause longer than a lease. */
void sleepFor(milliseconds time);

} // namespace snipehill::support
