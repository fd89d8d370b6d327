#pragma once

#include <core/time.h>

#include <cstdint>

namespace snipehill
{

/** Settings of the delay of a phase. */
struct PhaseDelaySettings
{
    double baselineQuantile = 0.2; //!< of the prediction errors: prompts that found an engine idle are among the lowest
    milliseconds baselineStep{1}; //!< by which one prompt moves the baseline at most
    std::uint32_t firstSamples = 200; //!< of which each moves the baseline by up to firstStep, as the first prompt may have found an overloaded engine
    milliseconds firstStep{20};
    seconds recentTime{1}; //!< time constant of the recent mean; follows a burst
    seconds averageTime{8}; //!< time constant of the mean; spans several swings of demand
    milliseconds maxDelay{300}; //!< one prompt counts with this delay at most, so that a few on a failing engine don't outweigh all others
};

/**
 * Delay of one phase of prompts, prefill or decode, beyond what an unloaded engine takes.
 *
 * A constant error of the prediction, as with engines of another kind, is in the baseline and not in the delay. Plain data; the
 * owner locks.
 */
struct PhaseDelay
{
    std::uint32_t samples = 0;
    double baselineMs = 0; //!< error of the prediction on an unloaded engine
    double recentMs = 0; //!< recent mean
    double averageMs = 0; //!< mean over several swings of demand
    TimePoint updated{};
};

/** Adds the phase of one prompt that took the measured time where the predicted one was expected on an idle engine. */
void addPhaseDelay(PhaseDelay &delay, Duration measured, Duration predicted, const PhaseDelaySettings &settings, TimePoint now) noexcept;

/** Recent mean delay; falls towards zero while nothing is measured, so that engines are tried again. */
Duration recentDelay(const PhaseDelay &delay, const PhaseDelaySettings &settings, TimePoint now) noexcept;

/** Mean delay over several swings of demand. */
Duration typicalDelay(const PhaseDelay &delay) noexcept;

} // namespace snipehill
