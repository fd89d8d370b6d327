#include "targetregistryshard.h"

#include <request/estimate.h>

#include <iterator>
#include <utility>

namespace snipehill
{

void TargetRegistry::fillPeerUpdate(PeerUpdate &update, TimePoint now)
{
    for (const auto &shard : shards()) {
        const std::lock_guard lock(shard->lock);
        for (const auto &[id, target] : shard->targets) {
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

std::vector<std::string> TargetRegistry::applyPeerUpdate(const PeerUpdate &update, TimePoint now)
{
    std::vector<std::string> changing;
    for (const auto &shard : shards()) {
        const std::lock_guard lock(shard->lock);
        std::map<TargetHash, std::string_view> ids;
        for (auto &[id, target] : shard->targets) {
            ids[target.hash] = id;
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
                    changing.push_back(target.entry.id);
                }
            }
        }
        for (const RoutedBlocks &routed : update.routedBlocks) {
            const auto id = ids.find(routed.target);
            if (id != ids.end()) {
                recordRoutedBlocks(shard->prefixIndex, id->second, routed.blocks);
            }
        }
    }
    return changing;
}

} // namespace snipehill
