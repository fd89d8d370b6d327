#pragma once

#include <core/time.h>

namespace snipehill
{

/**
 * Current time of a monotonic clock that keeps running while the machine is suspended (CLOCK_BOOTTIME).
 * Leases are timed with this clock, because other processes rely on them expiring even while their holder is suspended.
 * Compare the result only with other results of this function, not with Clock::now().
 */
TimePoint bootNow() noexcept;

} // namespace snipehill
