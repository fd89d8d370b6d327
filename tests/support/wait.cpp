#include "wait.h"

#include <thread>

namespace snipehill::support
{

bool waitUntil(const std::function<bool()> &check, milliseconds bound)
{
    constexpr milliseconds interval{10};
    const TimePoint end = Clock::now() + bound;
    while (!check()) {
        if (Clock::now() >= end) {
            return false;
        }
        letPass(interval);
    }
    return true;
}

void letPass(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

} // namespace snipehill::support
