#pragma once

#include <core/loadreport.h>
#include <core/reason.h>
#include <core/time.h>
#include <request/prefixindex.h>
#include <request/promptadmission.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace snipehill
{

/** How fast engines read prompts. Figures of the engines in use; what one engine deviates by is measured, see PlacementEngine::slowness. */
struct PrefillRates
{
    double prefillTokensPerMs = 50; //!< an engine of the prefill role
    double decodeTokensPerMs = 25; //!< an engine of another role, which reads between the tokens of its streams
    double stepMs = 6; //!< fixed time of one step
    double promptMs = 10; //!< fixed time of one prompt, in which the engine reads others: 300 tokens take 23 ms on an idle engine, of which 6 are theirs
    std::uint32_t prefillChunk = 2048; //!< tokens read in one step
    std::uint32_t decodeChunk = 512;
    double attentionMsPerMillionPairs = 0.37; //!< attention, for each million pairs of a token read and one before it
    double transferSetupMs = 3; //!< of moving memory between two engines
};

/** Prompts up to this size go ahead of longer ones of the same priority: they delay those by little and gain much. */
constexpr std::uint64_t shortPromptTokens = 2048;

/** Order in which an engine serves requests that wait, 0 first: by priority, then short prompts before long ones. */
std::uint32_t urgencyOf(std::uint32_t priority, std::uint64_t promptTokens) noexcept;

/** Time by which reading tokens that follow others which the engine keeps delays the prompts behind: prompts share steps. */
Duration estimatePrefillWork(const PrefillRates &rates, EngineRole role, std::uint64_t tokens, std::uint64_t cachedBefore) noexcept;

/** Time that an idle engine of the role needs to read such tokens. */
Duration estimatePrefillTime(const PrefillRates &rates, EngineRole role, std::uint64_t tokens, std::uint64_t cachedBefore) noexcept;

/** One engine as an entry sees it when a prompt is placed. Plain value, filled under the lock of its owner. */
struct PlacementEngine
{
    std::string id;
    std::string failureDomain;
    EngineRole role = EngineRole::Mixed;
    Duration backlog{}; //!< reading that is ahead of a new prompt
    std::uint32_t running = 0; //!< requests on it, of all entries as far as known
    std::uint32_t slots = 1;
    std::uint64_t cachedTokens = 0; //!< leading prompt tokens that it keeps
    double slowness = 1; //!< measured time over predicted time
    bool suspect = false; //!< failed a short while ago
    bool transfersFailing = false; //!< prompts that it read for other engines could not be taken a short while ago
};

/** The prompt to place. */
struct PromptDemand
{
    std::uint64_t promptTokens = 0;
    std::uint64_t bodyBytes = 0; //!< sent to each engine that is involved
    std::string failureDomain; //!< of the entry
    bool allowDisaggregation = true; //!< false: the prompt goes to the engine that runs it
    PromptBounds bounds; //!< beyond which the work isn't booked
};

/** Settings of the placement. */
struct PlacementSettings
{
    PrefillRates rates;
    std::uint64_t kvBytesPerToken = 0; //!< of memory, for transfers between engines
    double linkBitsPerSecond = 0; //!< 0: engines don't exchange memory
    double crossDomainFactor = 2; //!< a transfer between failure domains takes so many times as long
    Duration roundTrip = std::chrono::milliseconds(2); //!< a call to an engine and back, without its work
    Duration crossDomainCostPerKilobyte = std::chrono::microseconds(700); //!< price of body bytes between failure domains, as time
    double streamDelayWeight = 1.5; //!< price of reading where streams run, in times of the reading: it delays each token of all of them
    Duration suspectPenalty = std::chrono::seconds(2); //!< added to an engine that failed a short while ago
    double evictionProbability = 0.3; //!< odds that an engine which runs streams has given up a part that it kept: its memory is full of them
    std::uint64_t minFetchTokens = 512; //!< tokens below which memory is not fetched from another engine
};

/** Where a prompt goes. Positions are those of the span that was passed in. */
struct PromptPlacement
{
    std::size_t decodeEngine = 0; //!< engine that produces the answer
    std::optional<std::size_t> prefillEngine; //!< engine that reads the prompt first; empty: the runner does
    std::optional<std::size_t> fetchFrom; //!< engine that the reading one takes covered tokens from
    Duration wait{}; //!< predicted, for prompts ahead
    Duration prefillTime{}; //!< of the engine that reads, without what is ahead
    Duration prefillWork{}; //!< time by which that reading delays prompts behind it
    Duration firstToken{}; //!< predicted time to the first event
};

/**
 * Chooses the engines for one prompt: the least predicted time to the first event, with bytes between failure domains
 * priced in. Prompts are read apart or where they run, whichever is sooner, and covered tokens are fetched from the
 * engine that keeps most of them when that is quicker than reading them.
 *
 * Answers loads whose mix of long and short prompts swings faster than roles can change: all engines read, so the
 * work goes where there is room at the moment.
 *
 * @return empty with step ChooseTarget when no engine can run the prompt
 */
std::optional<PromptPlacement>
placePrompt(std::span<const PlacementEngine> engines, const PromptDemand &demand, const PlacementSettings &settings, Reason &reason);

} // namespace snipehill
