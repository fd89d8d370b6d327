#pragma once

#include <chrono>

namespace snipehill
{

/** Monotonic clock of this process; its time points must not be compared between processes. */
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace snipehill
