#include "soakplan.h"

#include <algorithm>
#include <array>
#include <random>
#include <set>

namespace snipehill::soak
{

const char *toString(FaultKind kind) noexcept
{
    static constexpr const char *names[faultKindCount] = {
        "kill entry",   "stop entry",     "pause entry",    "reload entry",   "kill all entries", "kill target",      "pause target",       "leave target",
        "drop target",  "silence target", "cut target",     "delay target",   "refuse work",      "fail work",        "break stream",       "extra answers",
        "slow target",  "drop store",     "silence store",  "cut store",      "delay store",      "store down",       "lose store answers", "publish version",
        "withdraw key", "silent target",  "leaving target", "pausing target", "older store copy", "broken responses",
    };
    return names[static_cast<int>(kind)];
}

namespace
{

constexpr std::array planned{FaultKind::StopEntry,
                             FaultKind::ReloadEntry,
                             FaultKind::PublishVersion,
                             FaultKind::WithdrawKey,
                             FaultKind::SilentTarget,
                             FaultKind::SilentTarget,
                             FaultKind::SilentTarget};
constexpr std::array copied{FaultKind::OlderStoreCopy,
                            FaultKind::OlderStoreCopy,
                            FaultKind::OlderStoreCopy,
                            FaultKind::KillEntry,
                            FaultKind::KillAllEntries,
                            FaultKind::StopEntry,
                            FaultKind::PublishVersion};
constexpr std::array stated{FaultKind::LeavingTarget,
                            FaultKind::LeavingTarget,
                            FaultKind::LeavingTarget,
                            FaultKind::PausingTarget,
                            FaultKind::PausingTarget,
                            FaultKind::PausingTarget,
                            FaultKind::KillEntry,
                            FaultKind::StopEntry,
                            FaultKind::StoreDown};
constexpr milliseconds leavingTime{3500}; // longer than the drain time, after which a leaving target must get nothing

/** Adds the given number of faults, whose kinds the function draws from a random number below its bound. */
void addFaults(std::vector<Fault> &faults, std::mt19937_64 &random, std::size_t count, milliseconds duration, int kinds, FaultKind (*kindOf)(std::int64_t))
{
    constexpr int minDuration = 100; // ms, as the two below
    constexpr int maxDuration = 2500;
    constexpr int seriesGap = 600;
    const auto below = [&random](std::int64_t bound) {
        return std::uniform_int_distribution<std::int64_t>(0, bound - 1)(random);
    };
    const std::size_t total = faults.size() + count;
    while (faults.size() < total) {
        Fault fault{.kind = kindOf(below(kinds))};
        fault.start = milliseconds(below(std::max<std::int64_t>(1, duration.count() - maxDuration)));
        fault.index = static_cast<std::size_t>(below(1000));
        const auto repeats = below(4) == 0 ? 3 : 1;
        for (int repeat = 0; repeat < repeats && faults.size() < total; ++repeat) {
            fault.end = std::min(duration, fault.start + milliseconds(minDuration + below(maxDuration - minDuration)));
            faults.push_back(fault);
            fault.start = std::min(duration, fault.end + milliseconds(below(seriesGap)));
            fault.index += static_cast<std::size_t>(below(2));
        }
    }
}

} // namespace

std::vector<Fault> planFaults(std::uint64_t seed, const SoakSize &size)
{
    constexpr std::uint64_t plannedSalt = 0x706c616e;
    constexpr std::uint64_t copySalt = 0x636f7079;
    constexpr std::uint64_t statementSalt = 0x73746174;
    constexpr std::uint64_t responseSalt = 0x72657370;
    std::vector<Fault> faults;
    std::mt19937_64 random(seed);
    addFaults(faults, random, size.faults, size.duration, static_cast<int>(FaultKind::SilentTarget), [](std::int64_t kind) {
        return static_cast<FaultKind>(kind);
    });
    std::mt19937_64 plannedRandom(seed ^ plannedSalt);
    addFaults(faults, plannedRandom, size.plannedWork, size.duration, static_cast<int>(planned.size()), [](std::int64_t kind) {
        return planned.at(static_cast<std::size_t>(kind));
    });
    std::mt19937_64 copyRandom(seed ^ copySalt);
    if (size.copies > 0) {
        addFaults(faults, copyRandom, 1, size.duration, 1, [](std::int64_t) {
            return FaultKind::OlderStoreCopy;
        });
        addFaults(faults, copyRandom, size.copies - 1, size.duration, static_cast<int>(copied.size()), [](std::int64_t kind) {
            return copied.at(static_cast<std::size_t>(kind));
        });
    }
    std::mt19937_64 statementRandom(seed ^ statementSalt);
    const std::size_t first = faults.size();
    if (size.statements > 0) {
        addFaults(faults, statementRandom, 1, size.duration, 2, [](std::int64_t kind) {
            return kind == 0 ? FaultKind::LeavingTarget : FaultKind::PausingTarget;
        });
        addFaults(faults, statementRandom, size.statements - 1, size.duration, static_cast<int>(stated.size()), [](std::int64_t kind) {
            return stated.at(static_cast<std::size_t>(kind));
        });
    }
    for (std::size_t i = first; i < faults.size(); ++i) {
        if (faults[i].kind == FaultKind::LeavingTarget) {
            faults[i].end = std::min(size.duration, faults[i].end + leavingTime);
        }
    }
    std::mt19937_64 responseRandom(seed ^ responseSalt);
    addFaults(faults, responseRandom, size.brokenResponses, size.duration, 1, [](std::int64_t) {
        return FaultKind::BrokenResponses;
    });
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &left, const Fault &right) {
        return left.start < right.start;
    });
    return faults;
}

bool isUndisturbed(const std::vector<Fault> &faults, milliseconds from, milliseconds to)
{
    static const std::set<FaultKind> harmless{FaultKind::ReloadEntry,
                                              FaultKind::FailWork,
                                              FaultKind::BreakStream,
                                              FaultKind::DuplicateResponses,
                                              FaultKind::RefuseWork,
                                              FaultKind::SlowTarget,
                                              FaultKind::PublishVersion,
                                              FaultKind::WithdrawKey,
                                              FaultKind::DrainTarget,
                                              FaultKind::LeavingTarget,
                                              FaultKind::PausingTarget,
                                              FaultKind::SilentTarget};
    constexpr milliseconds contactTime{3000};
    return std::none_of(faults.begin(), faults.end(), [&](const Fault &fault) {
        return !harmless.contains(fault.kind) && fault.start < to && fault.end + contactTime > from;
    });
}

} // namespace snipehill::soak
