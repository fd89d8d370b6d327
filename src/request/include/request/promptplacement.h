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

/** Prefill performance of the engines in use. The deviation of a single engine is in PlacementEngine::slowness. */
struct PrefillRates
{
    double prefillTokensPerMs = 50; //!< of an engine in the prefill role
    double decodeTokensPerMs = 25; //!< of an engine in another role, which interleaves prefill with the decode steps of its streams
    double stepMs = 6; //!< fixed overhead of one engine step
    double promptMs = 10; //!< fixed latency of one prompt; others are prefilled meanwhile: 300 tokens take 23 ms on an idle engine, 6 ms of it are their work
    std::uint32_t prefillChunk = 2048; //!< prompt tokens processed in one step, prefill role
    std::uint32_t decodeChunk = 512; //!< the same for other roles
    double attentionMsPerMillionPairs = 0.37; //!< attention cost in ms per million pairs of a prefilled token and a preceding token
    double transferSetupMs = 3; //!< fixed time of a KV cache transfer between two engines
    double otherPromptMs = 10; //!< promptMs of an engine in a role other than prefill
    double prefillWorkFactor = 1; //!< measured prefill work over that by the rates above, prefill role
    double otherWorkFactor = 1; //!< the same for other roles
};

/** Prompts up to this size precede longer ones of the same priority, because they gain much and delay the longer ones little. */
constexpr std::uint64_t shortPromptTokens = 2048;

/** Scheduling order of waiting requests at an engine, 0 first: by priority, then short prompts before long ones. */
std::uint32_t urgencyOf(std::uint32_t priority, std::uint64_t promptTokens) noexcept;

/**
 * Time by which the prefill of a prompt delays the prompts queued behind it. Shorter than the prefill time, because prompts
 * share engine steps.
 *
 * @param tokens prompt tokens to prefill
 * @param cachedBefore preceding prompt tokens whose KV cache the engine has
 */
Duration estimatePrefillWork(const PrefillRates &rates, EngineRole role, std::uint64_t tokens, std::uint64_t cachedBefore) noexcept;

/** Time that an idle engine in the role needs for the prefill of a prompt; parameters as for estimatePrefillWork(). */
Duration estimatePrefillTime(const PrefillRates &rates, EngineRole role, std::uint64_t tokens, std::uint64_t cachedBefore) noexcept;

/** Snapshot of an engine that an entry considers for a prompt. Plain value, filled under the lock of its owner. */
struct PlacementEngine
{
    std::string id;
    std::uint64_t hash = 0; //!< of the id, the same in every process; orders the engines for a draw
    std::string failureDomain;
    EngineRole role = EngineRole::Mixed;
    Duration backlog{}; //!< prefill work queued ahead of a new prompt
    std::uint32_t running = 0; //!< requests of all entries on the engine, as far as known
    std::uint32_t slots = 1;
    std::uint64_t cachedTokens = 0; //!< leading prompt tokens in the engine's prefix cache
    double slowness = 1; //!< ratio of measured to predicted prefill time
    bool suspect = false; //!< failed recently
    bool transfersFailing = false; //!< KV cache that it prefilled for other engines could recently not be transferred
};

/** The prompt to place. */
struct PromptDemand
{
    std::uint64_t promptTokens = 0;
    std::uint64_t bodyBytes = 0; //!< size of the request body, which is sent to each engine involved
    std::string failureDomain; //!< failure domain of the entry
    std::uint64_t draw = 0; //!< differs from request to request; selects the engines to compare
    std::uint64_t sharedPart = 0; //!< hash of a leading part that other prompts share and that is worth caching; 0: none
    bool drawBySharedPart = false; //!< draw prefill engines by the shared part instead of at random, see PlacementSettings::sharedPartTime
    bool allowDisaggregation = true; //!< whether prefill and decode may run on different engines
    PromptBounds bounds; //!< a placement outside these bounds is refused
};

/** Settings of the placement. */
struct PlacementSettings
{
    PrefillRates rates;
    std::uint64_t kvBytesPerToken = 0; //!< KV cache size of one token, for transfers between engines
    double linkBitsPerSecond = 0; //!< 0 if engines don't exchange KV cache
    double crossDomainFactor = 2; //!< slowdown of a transfer between failure domains
    Duration roundTrip = std::chrono::milliseconds(2); //!< network round trip to an engine, without processing
    Duration crossDomainCostPerKilobyte = std::chrono::microseconds(700); //!< cost of sending body bytes between failure domains, as time
    double streamDelayWeight = 1.5; //!< cost of prefill on a decoding engine, in multiples of its time, because it delays all tokens of the streams there
    double decodePressure = 1; //!< fraction of this cost that applies, from 0 to 1: how far decoding engines delay prompts by now
    Duration suspectPenalty = std::chrono::seconds(2); //!< cost added to an engine that failed recently
    double evictionProbability = 0.3; //!< probability that a decoding engine has evicted a cached block, because its KV cache is full of streams
    std::size_t drawnEngines = 4; //!< engines of each role that are drawn for a prompt; groups with at most twice as many are compared whole
    std::size_t cachingEngines = 2; //!< engines compared in addition because they have most of the prompt cached
    std::size_t widerDraw = 4; //!< factor on both numbers before a prompt is found to be outside its bounds
    /**
     * Time from the first prompt of a group after a start, when it is not known yet what the engines have cached. Prompts then go to the engines that
     * their shared part hashes to, which are the same before and after the start and in all entries: one prompt prefills the shared part, and others
     * follow it to the same engine. Without effect in groups that are compared whole.
     */
    Duration sharedPartTime = std::chrono::seconds(1);
    std::uint64_t minFetchTokens = 512; //!< minimum number of tokens for which KV cache is fetched from another engine
};

/**
 * Returns the indices, ascending, of the engines to compare for a prompt: some of each role drawn by its hash, half of them in the
 * entry's failure domain, some drawn by its shared part, and those with most of it cached.
 *
 * Handles many entries that place prompts at once: each knows the load of the others only as of their last update, so entries that
 * compare all engines choose the same one between two updates. Also bounds the time of a placement in large groups.
 *
 * @param factor on the number of engines
 */
std::vector<std::size_t>
drawEngines(std::span<const PlacementEngine> engines, const PromptDemand &demand, const PlacementSettings &settings, std::size_t factor);

/** Engines chosen for a prompt, as indices into the span that was passed in, and the predictions for it. */
struct PromptPlacement
{
    std::size_t decodeEngine = 0; //!< engine that generates the response
    std::optional<std::size_t> prefillEngine; //!< separate engine that prefills the prompt; empty if decodeEngine does
    std::optional<std::size_t> fetchFrom; //!< engine from which the prefilling engine fetches KV cache of cached tokens
    Duration wait{}; //!< predicted wait for earlier prompts
    Duration prefillTime{}; //!< predicted prefill time, without the wait
    Duration prefillWork{}; //!< predicted delay that the prefill causes for later prompts
    Duration firstToken{}; //!< predicted time to the first event
    Duration idleDecode{}; //!< predicted time from the end of a separate prefill to the first event on an idle engine
};

/**
 * Chooses the engines for one prompt by the lowest predicted time to the first event, plus a cost for bytes sent between
 * failure domains. Prefill and decode run on separate engines or on the same one, whichever is faster, and the KV cache of
 * cached tokens is fetched from another engine if that is faster than computing it.
 *
 * Handles loads whose mix of long and short prompts changes faster than engine roles can: all engines can prefill, so work
 * goes to whichever engine currently has capacity. Compares the engines of drawEngines(), more of them if the prompt's bounds
 * can't be met on these.
 *
 * @return empty with step ChooseTarget when no engine can run the prompt
 */
std::optional<PromptPlacement>
placePrompt(std::span<const PlacementEngine> engines, const PromptDemand &demand, const PlacementSettings &settings, Reason &reason);

} // namespace snipehill
