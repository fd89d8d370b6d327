#include <request/prefillrates.h>

#include <algorithm>
#include <cmath>

namespace snipehill
{

namespace
{

double toMs(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

template<typename Function> double quantileOf(const std::vector<RateSample> &samples, double quantile, Function function)
{
    std::vector<double> values;
    values.reserve(samples.size());
    for (const RateSample &sample : samples) {
        values.push_back(function(sample));
    }
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

void keepSample(std::vector<RateSample> &samples, std::size_t &next, const RateSample &sample, std::size_t maxSamples)
{
    if (samples.size() < maxSamples) {
        samples.push_back(sample);
        return;
    }
    samples[next] = sample;
    next = (next + 1) % maxSamples;
}

/** Fits the two parameters in turn; a parameter without enough samples keeps its initial value. */
void fitRates(RoleRates &rates, double initialFixedMs, const RateSettings &settings)
{
    constexpr int rounds = 6; // the error shrinks in each one by the ratio of small to large work
    const bool hasFixed = rates.small.size() >= settings.minSamples;
    const bool hasFactor = rates.large.size() >= settings.minSamples;
    double fixed = rates.fixedMs.value_or(initialFixedMs);
    double factor = rates.workFactor.value_or(1);
    for (int round = 0; round < rounds; ++round) {
        if (hasFactor) {
            factor = std::clamp(quantileOf(rates.large,
                                           settings.quantile,
                                           [fixed](const RateSample &sample) {
                                               return (sample.tookMs - fixed) / sample.workMs;
                                           }),
                                settings.minWorkFactor,
                                settings.maxWorkFactor);
        }
        if (hasFixed) {
            fixed = std::clamp(quantileOf(rates.small,
                                          settings.quantile,
                                          [factor](const RateSample &sample) {
                                              return sample.tookMs - factor * sample.workMs;
                                          }),
                               0.0,
                               settings.maxFixedMs);
        }
    }
    rates.fixedMs = hasFixed ? std::optional(fixed) : rates.fixedMs;
    rates.workFactor = hasFactor ? std::optional(factor) : rates.workFactor;
}

struct Line
{
    double fixedMs = 0;
    double workFactor = 1;
};

Line lineOf(const RoleRates &rates, const RoleRates &sibling, const Line &initial)
{
    return {rates.fixedMs.value_or(sibling.fixedMs.value_or(initial.fixedMs)), rates.workFactor.value_or(sibling.workFactor.value_or(initial.workFactor))};
}

PrefillRates withLines(PrefillRates rates, const Line &prefill, const Line &other)
{
    rates.promptMs = prefill.fixedMs - rates.stepMs;
    rates.prefillWorkFactor = prefill.workFactor;
    rates.otherPromptMs = other.fixedMs - rates.stepMs;
    rates.otherWorkFactor = other.workFactor;
    return rates;
}

} // namespace

void recordIdlePrefill(GroupRates &group,
                       const PrefillRates &initial,
                       EngineRole role,
                       Duration work,
                       Duration took,
                       TimePoint now,
                       const RateSettings &settings)
{
    const RateSample sample{toMs(work), toMs(took)};
    if (!(sample.workMs > 0) || !(sample.tookMs > 0)) {
        return;
    }
    RoleRates &rates = role == EngineRole::Prefill ? group.prefill : group.other;
    if (work < settings.smallWork) {
        keepSample(rates.small, rates.nextSmall, sample, settings.maxSamples);
    } else {
        keepSample(rates.large, rates.nextLarge, sample, settings.maxSamples);
    }
    ++rates.count;
    rates.measuredAt = now;
    fitRates(rates, (role == EngineRole::Prefill ? initial.promptMs : initial.otherPromptMs) + initial.stepMs, settings);
}

void adoptRates(GroupRates &group, double fixedMs, double tokensPerMs, std::uint32_t samples, TimePoint now, const RateSettings &settings) noexcept
{
    if (samples < settings.minSamples || (samples < group.adoptedSamples && now - group.adoptedAt <= settings.adoptedMaxAge)) {
        return;
    }
    group.adoptedSamples = samples;
    group.adoptedFixedMs = fixedMs;
    group.adoptedTokensPerMs = tokensPerMs;
    group.adoptedAt = now;
}

PrefillRates ownRates(const GroupRates &group, const PrefillRates &initial) noexcept
{
    return withLines(initial,
                     lineOf(group.prefill, group.other, {initial.promptMs + initial.stepMs, initial.prefillWorkFactor}),
                     lineOf(group.other, group.prefill, {initial.otherPromptMs + initial.stepMs, initial.otherWorkFactor}));
}

PrefillRates learnedRates(const GroupRates &group, const PrefillRates &initial, const RateSettings &settings) noexcept
{
    PrefillRates rates = ownRates(group, initial);
    const double initialTokensPerMs = prefillTokensPerMs(initial);
    if (group.adoptedSamples == 0 || !(group.adoptedTokensPerMs > 0)) {
        return rates;
    }
    const double fixedMs = std::clamp(group.adoptedFixedMs, 0.0, settings.maxFixedMs);
    const double factor = std::clamp(initialTokensPerMs / group.adoptedTokensPerMs, settings.minWorkFactor, settings.maxWorkFactor);
    if (group.prefill.count < std::min(settings.ownSamples, group.adoptedSamples)) {
        rates.promptMs = fixedMs - rates.stepMs;
        rates.prefillWorkFactor = factor;
    }
    if (group.other.count < std::min(settings.ownSamples, group.adoptedSamples)) {
        rates.otherPromptMs = fixedMs - rates.stepMs;
        rates.otherWorkFactor = factor;
    }
    return rates;
}

std::uint32_t ownRateSamples(const GroupRates &group) noexcept
{
    const auto learned = [](const RoleRates &rates) {
        return rates.fixedMs || rates.workFactor ? rates.count : 0;
    };
    return group.prefill.count > 0 ? learned(group.prefill) : learned(group.other);
}

double prefillTokensPerMs(const PrefillRates &rates) noexcept
{
    return rates.prefillTokensPerMs / rates.prefillWorkFactor;
}

double fixedPrefillMs(const PrefillRates &rates) noexcept
{
    return rates.promptMs + rates.stepMs;
}

} // namespace snipehill
