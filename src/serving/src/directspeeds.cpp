#include "directspeeds.h"

#include <process/log.h>

#include <algorithm>
#include <cmath>

namespace snipehill
{

namespace
{

constexpr std::size_t maxLoggedTargets = 16;

std::int64_t toPercent(double factor)
{
    return std::lround(100 * factor);
}

/** Age in ms; -1 if there is none. */
std::int64_t ageMs(const std::optional<Duration> &age)
{
    return age ? std::chrono::duration_cast<milliseconds>(*age).count() : -1;
}

} // namespace

void logSpeeds(const TargetRegistry &targets, TimePoint now)
{
    for (const GroupSpeed &speed : targets.groupSpeeds(now)) {
        logEvent(LogComponent::Entry,
                 LogLevel::Info,
                 "rates of a group",
                 {{"group", speed.group},
                  {"fixedMs", std::lround(fixedPrefillMs(speed.rates))},
                  {"tokensPerMs", std::lround(prefillTokensPerMs(speed.rates))},
                  {"otherWorkPercent", toPercent(speed.rates.otherWorkFactor)},
                  {"prefillSamples", speed.prefillSamples},
                  {"otherSamples", speed.otherSamples},
                  {"adoptedSamples", speed.adoptedSamples},
                  {"ageMs", ageMs(speed.age)}});
    }
    const std::vector<TargetSpeed> speeds = targets.targetSpeeds(now);
    const std::size_t logged = std::min(speeds.size(), maxLoggedTargets);
    for (std::size_t i = 0; i < logged; ++i) {
        const TargetSpeed &speed = speeds[i];
        logEvent(LogComponent::Entry,
                 LogLevel::Info,
                 "speed of a target",
                 {{"target", speed.id},
                  {"percent", toPercent(speed.factor)},
                  {"measuredPercent", toPercent(speed.slowness)},
                  {"measuredAgeMs", ageMs(speed.slownessAge)},
                  {"statedPercent", speed.statedPercent},
                  {"statedAgeMs", ageMs(speed.statedAge)},
                  {"ignored", speed.contradicted ? "yes" : "no"},
                  {"usableConcurrency", speed.usableConcurrency},
                  {"targetsListed", logged},
                  {"targetsDeviating", speeds.size()}});
    }
}

} // namespace snipehill
