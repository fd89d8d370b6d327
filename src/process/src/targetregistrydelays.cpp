#include "targetregistryshard.h"

namespace snipehill
{

void TargetRegistry::recordPhaseDelays(const std::string &group, const PromptPhases &phases, TimePoint now)
{
    const auto shard = shardOf(group);
    if (!shard) {
        return;
    }
    const std::lock_guard lock(shard->lock);
    addPhaseDelay(shard->prefillDelay, phases.prefill, phases.predictedPrefill, m_settings.phaseDelay, now);
    addPhaseDelay(shard->decodeDelay, phases.decode, phases.predictedDecode, m_settings.phaseDelay, now);
}

RoleDelays TargetRegistry::roleDelays(const std::string &group) const
{
    const auto shard = shardOf(group);
    if (!shard) {
        return {};
    }
    const std::lock_guard lock(shard->lock);
    return {typicalDelay(shard->prefillDelay), typicalDelay(shard->decodeDelay)};
}

} // namespace snipehill
