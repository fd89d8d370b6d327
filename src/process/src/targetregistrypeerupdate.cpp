#include "targetregistryshard.h"

#include <request/estimate.h>

#include <iterator>
#include <utility>

namespace snipehill
{

namespace
{

void announceLeaving(PeerUpdate &update, std::uint64_t run, const TargetNotice &notice, TimePoint now)
{
    if (isAnnounced(notice, now)) {
        update.leavingRuns[run] = now - *notice.leavingSince;
    }
}

/** Records what another entry was told; appends the ids of registered targets for which that is new. */
template<typename Shard> void applyLeavingRuns(Shard &shard, const PeerUpdate &update, TimePoint now, std::vector<std::string> &leaving)
{
    std::map<std::uint64_t, Duration> absent = update.leavingRuns;
    for (auto &[id, target] : shard.targets) {
        const auto run = absent.find(target.run);
        if (run == absent.end()) {
            continue;
        }
        if (recordLeaving(target.notice, false, now - run->second)) {
            leaving.push_back(id);
        }
        absent.erase(run);
    }
    for (const auto &[run, age] : absent) {
        recordLeaving(shard.absentNotices[run], false, now - age);
    }
}

/** Applies what another entry tells of prefix caches. */
template<typename Shard>
void mergeStatedParts(Shard &shard, const std::map<TargetHash, std::string_view> &ids, const PeerUpdate &update, TimePoint now, PeerUpdateEffect &effect)
{
    for (const HeldParts &held : update.heldParts) {
        const auto id = ids.find(held.target);
        if (id != ids.end()) {
            ++effect.heldPartTargets;
            effect.newHeldParts += mergeHeldParts(shard.targets.find(id->second)->second.held, held.parts, now);
        }
    }
}

} // namespace

void TargetRegistry::recordRoleChange(std::string_view id, EngineRole role, TimePoint until)
{
    for (const auto &shard : shards()) {
        const std::lock_guard lock(shard->lock);
        const auto target = shard->targets.find(id);
        if (target != shard->targets.end()) {
            target->second.orderedRole = role;
            target->second.roleChangeUntil = until;
            target->second.orderedLocally = true;
        }
    }
}

void TargetRegistry::fillPeerUpdate(PeerUpdate &update, TimePoint now)
{
    fillGroupRates(update);
    for (const auto &shard : shards()) {
        const std::lock_guard lock(shard->lock);
        std::erase_if(shard->absentNotices, [now](const auto &notice) {
            return !isCurrent(notice.second, now);
        });
        for (const auto &[run, notice] : shard->absentNotices) {
            announceLeaving(update, run, notice, now);
        }
        for (auto &[id, target] : shard->targets) {
            expireHeldParts(target.held, now);
            announceLeaving(update, target.run, target.notice, now);
            if (!std::exchange(target.pace.announced, true)) {
                update.targetPaces[target.hash] = {target.pace.percent, now - target.pace.statedAt};
            }
            if (target.running > 0 || !target.pendingPrefills.empty()) {
                update.loads[target.hash] = {ownBacklog(target, now), target.running};
            }
            if (target.orderedLocally && isChanging(target, now)) {
                update.roleChanges[target.hash] = {target.orderedRole, target.roleChangeUntil - now};
            }
        }
        std::move(shard->unsentBlocks.begin(), shard->unsentBlocks.end(), std::back_inserter(update.routedBlocks));
        shard->unsentBlocks.clear();
        for (const auto &[id, tokens] : std::exchange(shard->unsentShortPromptTokens, {})) {
            // One block with a hash that no prompt has represents all short prompts, so that peers account for the cache space they take.
            update.routedBlocks.push_back({targetHash(id), {{fingerprintOf(m_settings.instance, fingerprintOf(id, shard->nextReservationId++)), tokens}}});
        }
    }
}

PeerUpdateEffect TargetRegistry::applyPeerUpdate(const PeerUpdate &update, TimePoint now)
{
    PeerUpdateEffect effect;
    applyGroupRates(update, now);
    for (const auto &shard : shards()) {
        const std::lock_guard lock(shard->lock);
        if (!update.leavingRuns.empty()) {
            applyLeavingRuns(*shard, update, now, effect.leaving);
        }
        std::map<TargetHash, std::string_view> ids;
        for (auto &[id, target] : shard->targets) {
            ids[target.hash] = id;
            if (const auto pace = update.targetPaces.find(target.hash); pace != update.targetPaces.end()) {
                recordStatement(target.pace, pace->second.percent, now - pace->second.age, true);
            }
            const auto load = update.loads.find(target.hash);
            if (load == update.loads.end()) {
                target.peers.erase(update.sender.instance);
            } else {
                target.peers[update.sender.instance] = {load->second, now};
            }
        }
        for (const auto &[hash, change] : update.roleChanges) {
            const auto id = ids.find(hash);
            if (id != ids.end()) {
                Target &target = shard->targets.find(id->second)->second;
                const bool known = isChanging(target, now);
                target.orderedRole = change.role;
                target.roleChangeUntil = now + change.remaining;
                target.orderedLocally = false;
                if (!known && isChanging(target, now)) {
                    effect.roleChanges.push_back(target.entry.id);
                }
            }
        }
        mergeStatedParts(*shard, ids, update, now, effect);
        for (const RoutedBlocks &routed : update.routedBlocks) {
            const auto id = ids.find(routed.target);
            if (id != ids.end()) {
                recordRoutedBlocks(shard->prefixIndex, id->second, routed.blocks);
            }
        }
    }
    return effect;
}

} // namespace snipehill
