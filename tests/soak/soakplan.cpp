#include "soakplan.h"

#include <algorithm>
#include <random>

namespace snipehill::soak
{

const char *toString(FaultKind kind) noexcept
{
    static constexpr const char *names[faultKindCount] = {
        "kill entry",     "stop entry", "pause entry",  "reload entry", "kill all entries",   "kill target",     "pause target",  "leave target", "drop target",
        "silence target", "cut target", "delay target", "refuse work",  "fail work",          "break stream",    "extra answers", "slow target",  "drop store",
        "silence store",  "cut store",  "delay store",  "store down",   "lose store answers", "publish version", "withdraw key",
    };
    return names[static_cast<int>(kind)];
}

std::vector<Fault> planFaults(std::uint64_t seed, const SoakSize &size)
{
    constexpr int minDuration = 100; // ms, as the two below
    constexpr int maxDuration = 2500;
    constexpr int seriesGap = 600;
    std::mt19937_64 random(seed);
    const auto below = [&random](std::int64_t bound) {
        return std::uniform_int_distribution<std::int64_t>(0, bound - 1)(random);
    };
    std::vector<Fault> faults;
    while (faults.size() < size.faults) {
        Fault fault{.kind = static_cast<FaultKind>(below(faultKindCount))};
        fault.start = milliseconds(below(std::max<std::int64_t>(1, size.duration.count() - maxDuration)));
        fault.index = static_cast<std::size_t>(below(1000));
        const auto repeats = below(4) == 0 ? 3 : 1;
        for (int repeat = 0; repeat < repeats && faults.size() < size.faults; ++repeat) {
            fault.end = std::min(size.duration, fault.start + milliseconds(minDuration + below(maxDuration - minDuration)));
            faults.push_back(fault);
            fault.start = std::min(size.duration, fault.end + milliseconds(below(seriesGap)));
            fault.index += static_cast<std::size_t>(below(2));
        }
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &left, const Fault &right) {
        return left.start < right.start;
    });
    return faults;
}

} // namespace snipehill::soak
