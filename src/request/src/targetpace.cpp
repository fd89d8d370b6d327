#include <request/targetpace.h>

#include <algorithm>
#include <cmath>

namespace snipehill
{

namespace
{

/** Share that is left after a time. */
double remainingShare(Duration age, Duration halfLife)
{
    return std::exp2(-std::max(0.0, std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife)));
}

/** Learned factor at a concurrency; empty if there are too few samples. */
std::optional<double> learnedFactor(const ConcurrencyShape &shape, std::size_t position, const CallSettings &settings)
{
    if (position >= shape.points.size() || shape.points[position].samples < settings.minSamples) {
        return std::nullopt;
    }
    return shape.points[position].factor;
}

void updateShape(ConcurrencyShape &shape, std::uint32_t requests, double ratio, double known, const CallSettings &settings)
{
    const std::size_t position = std::min<std::size_t>(requests, settings.maxConcurrency) - 1;
    if (shape.points.size() <= position) {
        shape.points.resize(position + 1);
    }
    ConcurrencyShape::Point &point = shape.points[position];
    if (point.samples == 0) {
        point.factor = known;
    }
    ++point.samples;
    // A concurrency of 1 is the reference of the others.
    point.factor = position == 0 ? 1 : std::clamp(point.factor * std::pow(ratio, settings.shapeWeight), 1.0, settings.maxFactor);
}

} // namespace

bool recordStatement(TargetPace &pace, std::uint32_t percent, TimePoint statedAt, bool fromPeer) noexcept
{
    if (percent == 0 || (pace.percent != 0 && statedAt <= pace.statedAt)) {
        return false;
    }
    pace.percent = percent;
    pace.statedAt = statedAt;
    pace.announced = fromPeer;
    return true;
}

double statedFactor(const TargetPace &pace, TimePoint now, const PaceSettings &settings) noexcept
{
    if (pace.percent == 0 || now - pace.statedAt > settings.maxAge) {
        return 1;
    }
    return std::clamp(pace.percent / 100.0, settings.minFactor, settings.maxFactor);
}

bool isContradicted(const TargetPace &pace, TimePoint now, const PaceSettings &settings) noexcept
{
    return pace.evidence < 0 && pace.evidence * remainingShare(now - pace.measuredAt, settings.evidenceHalfLife) < settings.contradicted;
}

bool isConfirmed(const TargetPace &pace, TimePoint now, const PaceSettings &settings) noexcept
{
    return pace.evidence > 0 && pace.evidence * remainingShare(now - pace.measuredAt, settings.evidenceHalfLife) > settings.confirmed;
}

double paceFactor(const TargetPace &pace, TimePoint now, const PaceSettings &settings) noexcept
{
    return isContradicted(pace, now, settings) ? 1 : statedFactor(pace, now, settings);
}

void recordPaceEvidence(TargetPace &pace, double stated, double ratio, TimePoint now, const PaceSettings &settings) noexcept
{
    if (std::abs(stated - 1) < settings.minDeviation || !(ratio > 0)) {
        return;
    }
    const double measured = std::log(ratio);
    const double gain = std::clamp(std::abs(measured) - std::abs(measured - std::log(stated)), -settings.maxEvidence, settings.maxEvidence);
    const double known = pace.evidence * remainingShare(now - pace.measuredAt, settings.evidenceHalfLife);
    pace.evidence = known + settings.evidenceWeight * (gain - known);
    pace.measuredAt = now;
}

double decayedFactor(double factor, Duration age, Duration halfLife) noexcept
{
    return 1 + (factor - 1) * remainingShare(age, halfLife);
}

double concurrencyFactor(const ConcurrencyShape &own, const ConcurrencyShape &group, std::uint32_t requests, std::uint32_t slots, const CallSettings &settings)
{
    const std::uint32_t usedSlots = std::max(1U, slots);
    const std::size_t count = std::min<std::size_t>({std::max(1U, requests), usedSlots, settings.maxConcurrency});
    double factor = 1;
    for (std::size_t position = 0; position < count; ++position) {
        if (const auto learned = learnedFactor(own, position, settings)) {
            factor = std::max(factor, *learned);
        } else {
            factor = std::max(factor, learnedFactor(group, position, settings).value_or(1));
        }
    }
    return requests > usedSlots ? factor * requests / usedSlots : factor;
}

std::uint32_t usableConcurrency(const ConcurrencyShape &own, const ConcurrencyShape &group, std::uint32_t slots, const CallSettings &settings)
{
    std::uint32_t best = 1;
    double highest = 0;
    for (std::uint32_t requests = 1; requests <= std::max(1U, slots); ++requests) {
        const double factor = concurrencyFactor(own, group, requests, slots, settings);
        const double power = requests / (factor * factor);
        if (power >= highest) {
            highest = power;
            best = requests;
        }
    }
    return best;
}

double callSpeed(const CallPace &pace, TimePoint now, const PaceSettings &settings) noexcept
{
    return decayedFactor(pace.speed, now - pace.speedAt, settings.slownessHalfLife);
}

double comparedSpeed(double factor, const CallSettings &settings) noexcept
{
    if (factor > settings.equalSpeed) {
        return factor / settings.equalSpeed;
    }
    return factor * settings.equalSpeed < 1 ? factor * settings.equalSpeed : 1;
}

void recordCall(CallTime &time,
                CallPace &target,
                ConcurrencyShape &group,
                const MeasuredCall &call,
                TimePoint now,
                const PaceSettings &pace,
                const CallSettings &settings)
{
    if (call.took <= Duration::zero() || call.requests == 0 || call.requests > call.slots) {
        return;
    }
    if (call.predicted <= Duration::zero()) {
        // Before there are predictions, the shortest of the first calls is the best guess of the usual time.
        time.usual = time.samples == 0 ? call.took : std::min(time.usual, call.took);
        ++time.samples;
        return;
    }
    ++time.samples;
    // Averages of the logarithm: one call with an unknown wait moves them less than that of the ratio.
    const double ratio = std::clamp(std::chrono::duration<double>(call.took) / std::chrono::duration<double>(call.predicted), 1 / 3.0, 3.0);
    time.usual = std::chrono::duration_cast<Duration>(time.usual * std::pow(ratio, settings.usualWeight));
    const double known = concurrencyFactor(target.shape, group, call.requests, call.slots, settings);
    updateShape(target.shape, call.requests, ratio, known, settings);
    updateShape(group, call.requests, ratio, known, settings);
    const double weight = std::clamp(1 - remainingShare(now - target.speedAt, settings.speedHalfLife), settings.minSpeedWeight, settings.maxSpeedWeight);
    target.speed = std::clamp(callSpeed(target, now, pace) * std::pow(ratio, weight), settings.minFactor, settings.maxFactor);
    target.speedAt = now;
}

} // namespace snipehill
