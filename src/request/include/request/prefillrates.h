#pragma once

#include <core/time.h>
#include <request/promptplacement.h>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace snipehill
{

/** Settings for learning the prefill rates of a group. */
struct RateSettings
{
    double quantile = 0.25; //!< low, because many measured times include a wait that the entry does not know of
    std::size_t maxSamples = 32; //!< kept for each role and size, newest first
    std::size_t minSamples = 4; //!< of one role and size, before they are used
    std::uint32_t ownSamples = 32; //!< of one role, from which on they are preferred to the rates of another entry
    Duration smallWork = std::chrono::milliseconds(40); //!< prompts of less work at the initial rates tell the fixed time, others the time per token
    double minWorkFactor = 0.2;
    double maxWorkFactor = 6;
    double maxFixedMs = 300;
    Duration adoptedMaxAge = std::chrono::seconds(5); //!< older rates of another entry are replaced by any newer ones
};

/** Measured prefill of a prompt that found an engine idle. */
struct RateSample
{
    double workMs = 0; //!< by estimatePrefillWork() at the initial rates
    double tookMs = 0;
};

/** Samples of the engines in one role and the line fitted to them: time = fixed time + factor * work. */
struct RoleRates
{
    std::vector<RateSample> small;
    std::vector<RateSample> large;
    std::size_t nextSmall = 0; //!< position of the oldest one once maxSamples are kept
    std::size_t nextLarge = 0;
    std::uint32_t count = 0; //!< of all samples since the start of the entry
    std::optional<double> fixedMs; //!< empty: not learned
    std::optional<double> workFactor; //!< on the work at the initial rates; empty: not learned
    TimePoint measuredAt{};
};

/** What an entry has learned of the prefill rates of a group's engines. Plain value, kept under the lock of its owner. */
struct GroupRates
{
    RoleRates prefill; //!< of engines in the prefill role
    RoleRates other; //!< of engines in other roles, which prefill between the steps of their streams
    std::uint32_t adoptedSamples = 0; //!< of the other entry; 0: none
    double adoptedFixedMs = 0;
    double adoptedTokensPerMs = 0;
    TimePoint adoptedAt{};
};

/**
 * Records a prompt that found an engine idle and whose cached tokens are known.
 *
 * Handles engines whose speed differs from the constants. Fits the low quantile, which is not moved by samples that include unknown
 * waiting or come from a few slow engines.
 *
 * @param work estimatePrefillWork() at the initial rates
 * @param took measured time, without the factor that the engine stated
 */
void recordIdlePrefill(GroupRates &group,
                       const PrefillRates &initial,
                       EngineRole role,
                       Duration work,
                       Duration took,
                       TimePoint now,
                       const RateSettings &settings);

/** Keeps the rates that another entry measured if they rest on more samples than the known ones of other entries, or these are old. */
void adoptRates(GroupRates &group, double fixedMs, double tokensPerMs, std::uint32_t samples, TimePoint now, const RateSettings &settings) noexcept;

/**
 * Rates to predict with: those measured for each role; before there are enough samples, those of the other entry with most samples; a
 * role without samples deviates from the initial rates like the other role does.
 */
PrefillRates learnedRates(const GroupRates &group, const PrefillRates &initial, const RateSettings &settings) noexcept;

/** Number of own samples behind the rates of the prefill role, which the entry sends to the others; 0 if it has learned nothing. */
std::uint32_t ownRateSamples(const GroupRates &group) noexcept;

/** Rates from the entry's own samples alone. */
PrefillRates ownRates(const GroupRates &group, const PrefillRates &initial) noexcept;

/** Tokens that an engine in the prefill role prefills in a ms by the rates. */
double prefillTokensPerMs(const PrefillRates &rates) noexcept;

/** Latency of a prompt that finds an engine in the prefill role idle, without its tokens, in ms. */
double fixedPrefillMs(const PrefillRates &rates) noexcept;

} // namespace snipehill
