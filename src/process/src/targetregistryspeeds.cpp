#include "targetregistryshard.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipehill
{

namespace
{

constexpr double slownessWeight = 0.2; // weight of the newest measurement in the moving average
constexpr milliseconds minMeasuredPrefill{1}; // shorter predictions are too coarse for a ratio
constexpr double minSlowness = 0.7;
constexpr double maxSlowness = 8;

/** Updates the engine's factor and the evidence on its statements from a prefill that has ended. */
template<typename Target> void recordMeasuredPrefill(Target &target, const PendingPrefill &prefill, const PaceSettings &settings, TimePoint now)
{
    const Duration took = now - prefill.placedAt;
    if (prefill.predicted < minMeasuredPrefill) {
        return;
    }
    const auto ratioTo = [took](Duration predicted) {
        return std::chrono::duration<double>(took) / std::chrono::duration<double>(predicted);
    };
    const double ratio = std::clamp(ratioTo(prefill.predicted), 0.5, 2.0);
    target.slowness = std::clamp(slownessOf(target, settings, now) * (1 + slownessWeight * (ratio - 1)), minSlowness, maxSlowness);
    target.slownessAt = now;
    const Duration backlog = prefill.predicted - prefill.ownTime;
    // Behind a long backlog the measured time says more about the prompts ahead than about this one.
    if (backlog <= prefill.ownTime / 2) {
        const auto usual = std::chrono::duration_cast<Duration>(prefill.ownTime / prefill.slowness);
        recordPaceEvidence(target.pace, prefill.statedPace, ratioTo(backlog + usual), now, settings);
    }
}

} // namespace

Duration idleWorkOf(const PlacementEngine &engine,
                    const PromptDemand &demand,
                    std::span<const PrefixBlock> blocks,
                    const PromptPlacement &placement,
                    const TargetRegistrySettings &settings)
{
    constexpr milliseconds maxIdleBacklog{1};
    // A shared part that is not known to be cached may be, as after a restart of this entry. It would make the engine seem fast.
    const std::uint64_t sharedTokens = demand.sharedPart == 0 ? 0 : demand.promptTokens - std::min(demand.promptTokens, blocks.back().tokens);
    if (engine.backlog > maxIdleBacklog || engine.running >= engine.slots || placement.fetchFrom || engine.cachedTokens < sharedTokens) {
        return {};
    }
    const std::uint64_t cachedTokens = std::min(engine.cachedTokens, demand.promptTokens);
    return estimatePrefillWork(settings.placement.rates, engine.role, demand.promptTokens - cachedTokens, cachedTokens);
}

void TargetRegistry::finishPrefill(const WorkReservation &reservation, TimePoint now)
{
    const auto shard = shardOf(reservation.target.group);
    if (!shard) {
        return;
    }
    const std::lock_guard lock(shard->lock);
    const auto found = shard->targets.find(reservation.target.id);
    if (found == shard->targets.end()) {
        return;
    }
    Target &target = found->second;
    const auto pending = target.pendingPrefills.extract(reservation.id);
    if (!pending) {
        return;
    }
    const PendingPrefill &prefill = pending.mapped();
    recordMeasuredPrefill(target, prefill, m_settings.pace, now);
    // A statement that no measured time has confirmed would carry its error over to the rates of the group.
    const bool usualPace = std::abs(prefill.usedPace - 1) < m_settings.pace.minDeviation;
    if (prefill.idleWork > Duration::zero() && (usualPace || isConfirmed(target.pace, now, m_settings.pace))) {
        const auto took = std::chrono::duration_cast<Duration>((now - prefill.placedAt) / prefill.usedPace);
        recordIdlePrefill(shard->rates, m_settings.placement.rates, target.entry.role, prefill.idleWork, took, now, m_settings.rates);
    }
    target.prefillStartedAt = now;
}

void TargetRegistry::cancelPrefill(const WorkReservation &reservation, TimePoint now)
{
    const auto shard = shardOf(reservation.target.group);
    if (!shard) {
        return;
    }
    const std::lock_guard lock(shard->lock);
    const auto found = shard->targets.find(reservation.target.id);
    if (found == shard->targets.end()) {
        return;
    }
    Target &target = found->second;
    const auto pending = target.pendingPrefills.extract(reservation.id);
    if (!pending) {
        return;
    }
    // A prefill that was given up late would have taken longer still; a quick refusal tells nothing.
    if (now - pending.mapped().placedAt > pending.mapped().predicted) {
        recordMeasuredPrefill(target, pending.mapped(), m_settings.pace, now);
    }
    target.prefillStartedAt = now;
}

PrefillRates TargetRegistry::prefillRates(const std::string &group) const
{
    const auto shard = shardOf(group);
    if (!shard) {
        return m_settings.placement.rates;
    }
    const std::lock_guard lock(shard->lock);
    return learnedRates(shard->rates, m_settings.placement.rates, m_settings.rates);
}

std::vector<TargetSpeed> TargetRegistry::targetSpeeds(TimePoint now) const
{
    std::vector<TargetSpeed> speeds;
    for (const auto &shard : shards()) {
        const std::lock_guard lock(shard->lock);
        for (const auto &[id, target] : shard->targets) {
            TargetSpeed speed{.group = target.entry.group, .id = id, .slowness = slownessOf(target, m_settings.pace, now)};
            if (target.slownessAt != TimePoint{}) {
                speed.slownessAge = now - target.slownessAt;
            }
            if (target.pace.percent != 0) {
                speed.statedPercent = target.pace.percent;
                speed.statedAge = now - target.pace.statedAt;
                speed.contradicted = isContradicted(target.pace, now, m_settings.pace);
            }
            if (target.callPace.speedAt != TimePoint{}) {
                speed.slowness = callSpeed(target.callPace, now, m_settings.pace);
                speed.slownessAge = now - target.callPace.speedAt;
                speed.usableConcurrency = usableConcurrency(target.callPace.shape, shard->callShape, target.entry.slots, m_settings.calls);
            }
            speed.factor = speed.slowness * paceFactor(target.pace, now, m_settings.pace);
            if (speed.contradicted || std::abs(speed.factor - 1) >= m_settings.pace.minDeviation) {
                speeds.push_back(std::move(speed));
            }
        }
    }
    std::sort(speeds.begin(), speeds.end(), [](const TargetSpeed &left, const TargetSpeed &right) {
        return left.factor > right.factor;
    });
    return speeds;
}

std::vector<GroupSpeed> TargetRegistry::groupSpeeds(TimePoint now) const
{
    std::vector<GroupSpeed> speeds;
    const std::lock_guard lock(m_lock);
    for (const auto &[group, shard] : m_shards) {
        const std::lock_guard shardLock(shard->lock);
        const GroupRates &known = shard->rates;
        if (ownRateSamples(known) == 0 && known.adoptedSamples == 0) {
            continue;
        }
        GroupSpeed speed{.group = group,
                         .rates = learnedRates(known, m_settings.placement.rates, m_settings.rates),
                         .prefillSamples = known.prefill.count,
                         .otherSamples = known.other.count,
                         .adoptedSamples = known.adoptedSamples};
        if (known.prefill.count + known.other.count > 0) {
            speed.age = now - std::max(known.prefill.measuredAt, known.other.measuredAt);
        }
        speeds.push_back(std::move(speed));
    }
    return speeds;
}

void TargetRegistry::fillGroupRates(PeerUpdate &update) const
{
    const std::lock_guard lock(m_lock);
    for (const auto &[group, shard] : m_shards) {
        const std::lock_guard shardLock(shard->lock);
        if (const std::uint32_t samples = ownRateSamples(shard->rates); samples > 0) {
            const PrefillRates rates = ownRates(shard->rates, m_settings.placement.rates);
            update.groupRates[nameHash(group)] = {fixedPrefillMs(rates), prefillTokensPerMs(rates), samples};
        }
    }
}

void TargetRegistry::applyGroupRates(const PeerUpdate &update, TimePoint now)
{
    const std::lock_guard lock(m_lock);
    for (const auto &[group, shard] : m_shards) {
        const auto rates = update.groupRates.find(nameHash(group));
        if (rates != update.groupRates.end()) {
            const std::lock_guard shardLock(shard->lock);
            adoptRates(shard->rates, rates->second.fixedMs, rates->second.tokensPerMs, rates->second.samples, now, m_settings.rates);
        }
    }
}

} // namespace snipehill
