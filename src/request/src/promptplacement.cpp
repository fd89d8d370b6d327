#include <request/promptplacement.h>

#include <algorithm>

namespace snipehill
{

namespace
{

Duration fromMs(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

Duration scaled(Duration time, double factor)
{
    return std::chrono::duration_cast<Duration>(time * factor);
}

/** Cost of sending the request body to an engine, as time. */
Duration bodyTransferCost(const PlacementEngine &engine, const PromptDemand &demand, const PlacementSettings &settings)
{
    if (engine.failureDomain == demand.failureDomain) {
        return {};
    }
    return settings.crossDomainCostPerKilobyte * static_cast<std::int64_t>(demand.bodyBytes) / 1024;
}

Duration transferTime(const PlacementEngine &from, const PlacementEngine &to, std::uint64_t tokens, const PlacementSettings &settings)
{
    const double bits = 8.0 * static_cast<double>(tokens) * static_cast<double>(settings.kvBytesPerToken);
    const double factor = from.failureDomain == to.failureDomain ? 1 : settings.crossDomainFactor;
    return fromMs(settings.rates.transferSetupMs + factor * 1000 * bits / settings.linkBitsPerSecond);
}

/** Duration of one engine step, including a prefill chunk if prefill is queued; a new stream gets its first token after the current step. */
Duration stepTime(const PlacementEngine &engine, const PlacementSettings &settings)
{
    const double chunk = settings.rates.decodeChunk / settings.rates.decodeTokensPerMs;
    return scaled(fromMs(settings.rates.stepMs + (engine.backlog > Duration::zero() ? chunk : 0)), engine.slowness);
}

/** Expected wait for a free slot. The remaining length of the running streams is unknown, so a full engine is assumed to free slots soon. */
Duration slotWait(const PlacementEngine &engine)
{
    constexpr std::chrono::milliseconds usualStream{300};
    if (engine.running < engine.slots) {
        return {};
    }
    return usualStream * (engine.running - engine.slots + 1) / engine.slots;
}

/** Predicted prefill of a prompt on one engine, with the KV cache that it fetches from another engine. */
struct PrefillPlan
{
    Duration time{};
    Duration work{};
    Duration fetch{};
    Duration risk{}; //!< expected loss if the source has evicted the KV cache to fetch
    std::optional<std::size_t> fetchFrom;
};

PrefillPlan planPrefill(std::span<const PlacementEngine> engines, std::size_t position, const PromptDemand &demand, const PlacementSettings &settings)
{
    const PlacementEngine &engine = engines[position];
    const auto planWithCache = [&](std::uint64_t cachedTokens) {
        const std::uint64_t tokens = demand.promptTokens - cachedTokens;
        return PrefillPlan{.time = scaled(estimatePrefillTime(settings.rates, engine.role, tokens, cachedTokens), engine.slowness),
                           .work = scaled(estimatePrefillWork(settings.rates, engine.role, tokens, cachedTokens), engine.slowness)};
    };
    PrefillPlan best = planWithCache(std::min(engine.cachedTokens, demand.promptTokens));
    if (settings.linkBitsPerSecond <= 0) {
        return best;
    }
    const Duration withoutFetch = best.time;
    for (std::size_t other = 0; other < engines.size(); ++other) {
        const std::uint64_t cachedTokens = std::min(engines[other].cachedTokens, demand.promptTokens);
        if (other == position || engines[other].suspect || cachedTokens < engine.cachedTokens + settings.minFetchTokens) {
            continue;
        }
        PrefillPlan candidate = planWithCache(cachedTokens);
        candidate.fetch = transferTime(engines[other], engine, cachedTokens - engine.cachedTokens, settings);
        candidate.fetchFrom = other;
        if (engines[other].role != EngineRole::Prefill) {
            candidate.risk = scaled(withoutFetch - candidate.time, settings.evictionProbability);
        }
        if (candidate.time + candidate.fetch + candidate.risk < best.time + best.fetch + best.risk) {
            best = candidate;
        }
    }
    return best;
}

struct Candidate
{
    PromptPlacement placement;
    Duration cost{}; //!< time to the first event plus costs
};

void keepCheaper(std::optional<Candidate> &best, const Candidate &candidate)
{
    if (!best || candidate.cost < best->cost) {
        best = candidate;
    }
}

Duration suspectPenalty(const PlacementEngine &engine, const PlacementSettings &settings)
{
    return engine.suspect ? settings.suspectPenalty : Duration::zero();
}

Candidate prefillCandidate(std::span<const PlacementEngine> engines, std::size_t position, const PromptDemand &demand, const PlacementSettings &settings)
{
    const PlacementEngine &engine = engines[position];
    const PrefillPlan prefillPlan = planPrefill(engines, position, demand, settings);
    Candidate candidate;
    candidate.placement.decodeEngine = position;
    candidate.placement.fetchFrom = prefillPlan.fetchFrom;
    candidate.placement.prefillTime = prefillPlan.time;
    candidate.placement.prefillWork = prefillPlan.work;
    candidate.placement.wait = engine.backlog + slotWait(engine);
    candidate.placement.firstToken = settings.roundTrip + engine.backlog + slotWait(engine) + prefillPlan.fetch + prefillPlan.time;
    candidate.cost = candidate.placement.firstToken + bodyTransferCost(engine, demand, settings) + suspectPenalty(engine, settings);
    return candidate;
}

/**
 * Chooses the engine that decodes a prompt prefilled on another engine.
 *
 * @param delay set to the predicted time from the end of the prefill to the first event
 */
std::optional<std::size_t> chooseDecodeEngine(std::span<const PlacementEngine> engines,
                                              std::size_t prefillEngine,
                                              const PromptDemand &demand,
                                              const PlacementSettings &settings,
                                              Duration &delay)
{
    std::optional<std::size_t> best;
    Duration bestCost{};
    for (std::size_t i = 0; i < engines.size(); ++i) {
        const PlacementEngine &engine = engines[i];
        if (engine.role == EngineRole::Prefill) {
            continue;
        }
        const std::uint64_t moved = demand.promptTokens - std::min(engine.cachedTokens, demand.promptTokens);
        // An engine starts prompts in order of arrival, including those prefilled elsewhere, so its own backlog counts.
        const Duration needed = settings.roundTrip + transferTime(engines[prefillEngine], engine, moved, settings) + stepTime(engine, settings) + engine.backlog
            + slotWait(engine);
        const Duration occupied = scaled(std::chrono::milliseconds(1), engine.running);
        const Duration cost = needed + occupied + bodyTransferCost(engine, demand, settings) + suspectPenalty(engine, settings);
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
            delay = needed;
        }
    }
    return best;
}

} // namespace

std::uint32_t urgencyOf(std::uint32_t priority, std::uint64_t promptTokens) noexcept
{
    return 2 * priority + (promptTokens > shortPromptTokens ? 1 : 0);
}

Duration estimatePrefillWork(const PrefillRates &rates, EngineRole role, std::uint64_t tokens, std::uint64_t cachedBefore) noexcept
{
    const bool prefill = role == EngineRole::Prefill;
    const double count = static_cast<double>(tokens);
    const double steps = count / (prefill ? rates.prefillChunk : rates.decodeChunk);
    const double pairs = count * (static_cast<double>(cachedBefore) + count / 2) / 1e6;
    return fromMs(count / (prefill ? rates.prefillTokensPerMs : rates.decodeTokensPerMs) + rates.stepMs * steps + rates.attentionMsPerMillionPairs * pairs);
}

Duration estimatePrefillTime(const PrefillRates &rates, EngineRole role, std::uint64_t tokens, std::uint64_t cachedBefore) noexcept
{
    return estimatePrefillWork(rates, role, tokens, cachedBefore) + fromMs(rates.promptMs + rates.stepMs);
}

std::optional<PromptPlacement>
placePrompt(std::span<const PlacementEngine> engines, const PromptDemand &demand, const PlacementSettings &settings, Reason &reason)
{
    std::optional<Candidate> best;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        const PlacementEngine &engine = engines[i];
        if (engine.role != EngineRole::Prefill) {
            Candidate candidate = prefillCandidate(engines, i, demand, settings);
            candidate.cost += scaled(candidate.placement.prefillTime, settings.streamDelayWeight);
            keepCheaper(best, candidate);
            continue;
        }
        Duration decodeDelay{};
        const auto decodeEngine = demand.allowDisaggregation ? chooseDecodeEngine(engines, i, demand, settings, decodeDelay) : std::nullopt;
        if (!decodeEngine) {
            continue;
        }
        Candidate candidate = prefillCandidate(engines, i, demand, settings);
        if (engine.transfersFailing) {
            candidate.cost += settings.suspectPenalty;
        }
        candidate.placement.prefillEngine = i;
        candidate.placement.decodeEngine = *decodeEngine;
        candidate.placement.firstToken += decodeDelay;
        candidate.cost += decodeDelay + bodyTransferCost(engines[*decodeEngine], demand, settings) + suspectPenalty(engines[*decodeEngine], settings);
        keepCheaper(best, candidate);
    }
    if (!best) {
        reason = {Step::ChooseTarget, "", engines.empty() ? "the target group has no live engine" : "no engine can run prompts"};
        return std::nullopt;
    }
    return best->placement;
}

} // namespace snipehill
