#include <core/boottime.h>

#include <ctime>

namespace snipehill
{

TimePoint bootNow() noexcept
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace snipehill
