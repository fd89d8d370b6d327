#include <request/phasedelay.h>

#include <algorithm>
#include <cmath>

namespace snipehill
{

namespace
{

double inMilliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

Duration fromMs(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

/** Weight of a sample that came the given time after the previous one. */
double sampleWeight(Duration elapsed, seconds timeConstant)
{
    constexpr double maxWeight = 0.25; // of a sample after a pause
    return std::min(maxWeight, 1 - std::exp(-inMilliseconds(elapsed) / inMilliseconds(timeConstant)));
}

} // namespace

void addPhaseDelay(PhaseDelay &delay, Duration measured, Duration predicted, const PhaseDelaySettings &settings, TimePoint now) noexcept
{
    const double error = inMilliseconds(measured - predicted);
    if (delay.samples == 0) {
        delay = {.samples = 1, .baselineMs = error, .updated = now};
        return;
    }
    const double step = inMilliseconds(delay.samples < settings.firstSamples ? settings.firstStep : settings.baselineStep);
    ++delay.samples;
    if (error < delay.baselineMs) {
        delay.baselineMs = std::max(error, delay.baselineMs - step * (1 - settings.baselineQuantile));
    } else {
        delay.baselineMs = std::min(error, delay.baselineMs + step * settings.baselineQuantile);
    }
    const double excess = std::clamp(error - delay.baselineMs, 0.0, inMilliseconds(settings.maxDelay));
    const Duration elapsed = now - delay.updated;
    delay.recentMs += sampleWeight(elapsed, settings.recentTime) * (excess - delay.recentMs);
    delay.averageMs += sampleWeight(elapsed, settings.averageTime) * (excess - delay.averageMs);
    delay.updated = now;
}

Duration recentDelay(const PhaseDelay &delay, const PhaseDelaySettings &settings, TimePoint now) noexcept
{
    const double age = inMilliseconds(now - delay.updated);
    return fromMs(delay.recentMs * std::exp(-age / inMilliseconds(settings.recentTime)));
}

Duration typicalDelay(const PhaseDelay &delay) noexcept
{
    return fromMs(delay.averageMs);
}

} // namespace snipehill
