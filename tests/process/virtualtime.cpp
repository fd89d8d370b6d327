#include "virtualtime.h"

#include <cstdlib>
#include <string>

namespace snipehill::test
{

std::vector<std::uint64_t> seedsToRun(std::uint64_t count)
{
    if (const char *seed = std::getenv("SNIPEHILL_SEED")) {
        return {std::stoull(seed)};
    }
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        seeds.push_back(seed);
    }
    return seeds;
}

void sendMessage(VirtualTime &time, SeededRandom &choices, const NetworkFaults &faults, const VirtualTime::Action &arrive)
{
    const int copies = choices.percent(faults.duplicatePercent) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (choices.percent(faults.lossPercent)) {
            continue;
        }
        const milliseconds longest = choices.percent(faults.slowPercent) ? faults.longDelay : faults.usualDelay;
        time.after(choices.time(1, longest.count()), arrive);
    }
}

} // namespace snipehill::test
