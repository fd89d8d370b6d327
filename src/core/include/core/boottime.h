#pragma once

#include <core/time.h>

namespace snipehill
{

/**
 * Now, by a monotonic clock that also runs while the machine is suspended. Beliefs that others rely on having ended, such as
 * leases, are timed by it. Only to be compared with its own instants.
 */
TimePoint bootNow() noexcept;

} // namespace snipehill
