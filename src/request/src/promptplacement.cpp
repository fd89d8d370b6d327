#include <request/promptplacement.h>

#include <algorithm>
#include <iterator>
#include <tuple>

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
    const double chunk = settings.rates.otherWorkFactor * settings.rates.decodeChunk / settings.rates.decodeTokensPerMs;
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

/** Fraction of an engine's slots in use, at most 1. */
double occupiedShare(const PlacementEngine &engine)
{
    return std::min(1.0, static_cast<double>(engine.running) / engine.slots);
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

/** Finalizer of splitmix64; spreads the bits of a hash that was combined with another one. */
std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/** Key that orders engines by a draw, differently for each draw. */
auto drawOrder(std::span<const PlacementEngine> engines, std::uint64_t draw)
{
    return [engines, draw](std::size_t position) {
        return mixed(engines[position].hash ^ mixed(draw));
    };
}

void markAll(const std::vector<std::size_t> &positions, std::vector<bool> &marked)
{
    for (const std::size_t position : positions) {
        marked[position] = true;
    }
}

/** Marks the given number of positions with the lowest keys. */
template<typename Key> void markFirst(std::vector<std::size_t> positions, std::size_t count, Key key, std::vector<bool> &marked)
{
    if (positions.size() > count) {
        const auto end = positions.begin() + static_cast<std::ptrdiff_t>(count);
        std::nth_element(positions.begin(), end, positions.end(), [&key](std::size_t left, std::size_t right) {
            return key(left) < key(right);
        });
        positions.erase(end, positions.end());
    }
    markAll(positions, marked);
}

std::optional<std::size_t> positionIn(const std::vector<std::size_t> &chosen, std::optional<std::size_t> position)
{
    return position ? std::optional(chosen[*position]) : std::nullopt;
}

/** The cheapest placement on any of the engines; empty if none can run the prompt. */
std::optional<PromptPlacement> comparePlacements(std::span<const PlacementEngine> engines, const PromptDemand &demand, const PlacementSettings &settings)
{
    std::optional<Candidate> best;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        const PlacementEngine &engine = engines[i];
        if (engine.role != EngineRole::Prefill) {
            Candidate candidate = prefillCandidate(engines, i, demand, settings);
            candidate.cost += scaled(candidate.placement.prefillTime, settings.streamDelayWeight * std::max(settings.decodePressure, occupiedShare(engine)));
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
        candidate.placement.idleDecode = decodeDelay - engines[*decodeEngine].backlog - slotWait(engines[*decodeEngine]);
        candidate.cost += decodeDelay + bodyTransferCost(engines[*decodeEngine], demand, settings) + suspectPenalty(engines[*decodeEngine], settings);
        keepCheaper(best, candidate);
    }
    return best ? std::optional(best->placement) : std::nullopt;
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
    const double factor = prefill ? rates.prefillWorkFactor : rates.otherWorkFactor;
    return fromMs(factor
                  * (count / (prefill ? rates.prefillTokensPerMs : rates.decodeTokensPerMs) + rates.stepMs * steps + rates.attentionMsPerMillionPairs * pairs));
}

Duration estimatePrefillTime(const PrefillRates &rates, EngineRole role, std::uint64_t tokens, std::uint64_t cachedBefore) noexcept
{
    return estimatePrefillWork(rates, role, tokens, cachedBefore) + fromMs((role == EngineRole::Prefill ? rates.promptMs : rates.otherPromptMs) + rates.stepMs);
}

std::vector<std::size_t>
drawEngines(std::span<const PlacementEngine> engines, const PromptDemand &demand, const PlacementSettings &settings, std::size_t factor)
{
    const std::size_t drawn = settings.drawnEngines * factor;
    std::vector<bool> marked(engines.size());
    for (const bool prefill : {true, false}) {
        std::vector<std::size_t> sound;
        std::vector<std::size_t> all;
        for (std::size_t i = 0; i < engines.size(); ++i) {
            if ((engines[i].role == EngineRole::Prefill) == prefill) {
                all.push_back(i);
                if (!engines[i].suspect) {
                    sound.push_back(i);
                }
            }
        }
        if (all.size() <= 2 * drawn) {
            markAll(all, marked);
            continue;
        }
        std::vector<std::size_t> near;
        std::copy_if(sound.begin(), sound.end(), std::back_inserter(near), [&](std::size_t position) {
            return engines[position].failureDomain == demand.failureDomain;
        });
        if (!prefill || !demand.drawBySharedPart || demand.sharedPart == 0 || sound.empty()) {
            markFirst(near, drawn / 2, drawOrder(engines, demand.draw), marked);
            markFirst(sound.empty() ? all : sound, drawn - drawn / 2, drawOrder(engines, ~demand.draw), marked);
        }
        if (prefill && demand.sharedPart != 0) {
            markFirst(sound, drawn / 2, drawOrder(engines, demand.sharedPart), marked);
        }
        std::erase_if(sound, [&](std::size_t position) {
            return engines[position].cachedTokens < settings.minFetchTokens;
        });
        const auto byCachedTokens = [&](std::size_t position) {
            return std::tuple(~engines[position].cachedTokens, engines[position].backlog, mixed(engines[position].hash ^ demand.draw));
        };
        markFirst(sound, settings.cachingEngines * factor, byCachedTokens, marked);
    }
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        if (marked[i]) {
            chosen.push_back(i);
        }
    }
    return chosen;
}

std::optional<PromptPlacement>
placePrompt(std::span<const PlacementEngine> engines, const PromptDemand &demand, const PlacementSettings &settings, Reason &reason)
{
    std::optional<PromptPlacement> best;
    for (const std::size_t factor : {std::size_t(1), settings.widerDraw}) {
        const std::vector<std::size_t> chosen = drawEngines(engines, demand, settings, factor);
        if (factor > 1 && chosen.size() == engines.size() && best) {
            break;
        }
        std::vector<PlacementEngine> compared;
        compared.reserve(chosen.size());
        for (const std::size_t position : chosen) {
            compared.push_back(engines[position]);
        }
        auto placement = comparePlacements(compared, demand, settings);
        if (placement && (!best || placement->firstToken < best->firstToken)) {
            placement->decodeEngine = chosen[placement->decodeEngine];
            placement->prefillEngine = positionIn(chosen, placement->prefillEngine);
            placement->fetchFrom = positionIn(chosen, placement->fetchFrom);
            best = placement;
        }
        if (best && isWithin(demand.bounds, best->firstToken, best->wait)) {
            break;
        }
    }
    if (!best) {
        reason = {Step::ChooseTarget, "", engines.empty() ? "the target group has no live engine" : "no engine can run prompts"};
    }
    return best;
}

} // namespace snipehill
