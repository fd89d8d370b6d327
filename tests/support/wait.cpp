#include "wait.h"

#include <thread>

namespace snipehill::support
{

bool waitUntil(const std::function<bool()> &check, milliseconds timeout)
{
    constexpr milliseconds interval{10};
    const TimePoint end = Clock::now() + timeout;
    while (!check()) {
        if (Clock::now() >= end) {
            return false;
        }
        sleepFor(interval);
    }
    return true;
}

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

} // namespace snipehill::support
